"""Server-sent events of a model stream, as sent to callers."""

import json

from rosemaryknot.values.outcomes import Answered, NotRun, Running, Unknown

__all__ = ["DONE", "frame_head", "outcome_event", "token_frame"]

CONTENT_KEY = b',"choices":[{"index":0,"delta":{"content":"'
CONTENT_END = b'"}}]}\n\n'
DONE = b"data: [DONE]\n\n"


def outcome_event(outcome: Answered | NotRun | Unknown | Running, tokens: int) -> bytes:
    r"""Return the last event of a stream.

    Parameters
    ----------
    outcome : Answered, NotRun, Unknown or Running
        Outcome of the request; `Running` if another entry has taken it over.
    tokens : int
        Number of tokens emitted.

    Returns
    -------
    event : bytes
        One server-sent event.

    Examples
    --------
    >>> outcome_event(Answered(200, [], b""), 3)
    b'data: {"outcome":"answered","tokens":3}\n\n'
    """
    if isinstance(outcome, Answered):
        fields = {"outcome": "answered", "tokens": tokens}
    elif isinstance(outcome, NotRun):
        fields = {
            "outcome": "not_run",
            "reason": outcome.reason,
            "retry_after": outcome.retry_after_s,
            "detail": outcome.detail,
        }
    elif isinstance(outcome, Running):
        fields = {
            "outcome": "running",
            "retry_after": outcome.retry_after_s,
            "tokens": tokens,
        }
    else:
        fields = {
            "outcome": "unknown",
            "reason": outcome.reason,
            "tokens": tokens,
            "detail": outcome.detail,
        }
    return b"data: " + json.dumps(fields, separators=(",", ":")).encode() + b"\n\n"


def token_frame(head: bytes, offset: int, token: bytes) -> bytes:
    """Return the event of one token; ``head`` is from `frame_head`."""
    return b"%b%d%b%b%b" % (head, offset, CONTENT_KEY, token, CONTENT_END)


def frame_head(request_id: str, lineage: str) -> bytes:
    """Return the common start of a generation's events, up to the offset."""
    return (
        f'data: {{"id":{json.dumps(request_id)},"lineage":{json.dumps(lineage)}'
        ',"offset":'
    ).encode()
