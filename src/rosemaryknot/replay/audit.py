"""Audit of a run: callers' records against the ledgers of the backend servers."""

import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from rosemaryknot.replay.caller_records import BookingRecord, ModelRecord
from rosemaryknot.standin.answers import answer_length, prompt_text, wrong_token
from rosemaryknot.standin.plain import Run

__all__ = ["Violation", "audit_booking", "audit_draining", "audit_model"]

CROSSED, MIXED, SHORT = "crossed", "mixed", "short"
OK = "200"
MAX_START_AFTER_NOTICE_S = 2.0


@dataclass(slots=True)
class Violation:
    """Violation of a guarantee in a run.

    Attributes
    ----------
    kind : str
        ``ran_twice``, ``false_not_run``, ``answer_without_run``, ``crossed``,
        ``mixed``, ``short``, ``lost`` or ``work_for_leaving``.
    subject : str
        Idempotency key or request id.
    detail : str
        Observed values.
    """

    kind: str
    subject: str
    detail: str


def is_false_not_run(record: BookingRecord, send: int, run: Run) -> bool:
    """Return whether an execution contradicts the ``not_run`` response of a send.

    The refusal of an attempt states that this attempt and all lower ones were not
    and will not be executed; higher ones may be. If the caller declares no attempt
    numbers, the refusal covers all sends with the key.
    """
    return not record.declares or int(run.send) <= send


def audit_booking(record: BookingRecord, runs: Iterable[Run]) -> list[Violation]:
    """Return the violations of one booking.

    Parameters
    ----------
    record : BookingRecord
        Responses that its caller received.
    runs : iterable of Run
        Executions with its key on all servers of the service.

    Returns
    -------
    violations : list of Violation
        Empty if there are none.
    """
    runs = list(runs)
    found = []
    if len(runs) > 1:
        sends = [run.send for run in runs]
        found.append(Violation("ran_twice", record.key, f"sends {sends}"))
    for reply in record.replies:
        if reply.outcome == "not_run":
            contradicting = [r for r in runs if is_false_not_run(record, reply.send, r)]
            if contradicting:
                detail = (
                    f"send {reply.send} {reply.reason}; ran {contradicting[0].send}"
                )
                found.append(Violation("false_not_run", record.key, detail))
        if reply.outcome != "answered" or reply.reason != OK:
            continue
        if json.loads(reply.body)["key"] != record.key:
            found.append(Violation(CROSSED, record.key, reply.body[:80]))
        if not runs:
            found.append(Violation("answer_without_run", record.key, ""))
    return found


def audit_model(
    record: ModelRecord, is_loss_allowed: Callable[[ModelRecord], bool]
) -> list[Violation]:
    """Return the violations of one model request.

    Parameters
    ----------
    record : ModelRecord
        Response that its caller received.
    is_loss_allowed : callable
        Returns whether its loss violates no guarantee, for example because the entry
        that accepted it was killed without notice.

    Returns
    -------
    violations : list of Violation
        Empty if there are none.
    """
    prompt = prompt_text([{"role": "user", "content": record.prompt}])
    found = []
    if record.tokens and wrong_token(prompt, record.lineage, record.tokens) is not None:
        found.append(Violation(MIXED, record.id, f"of {len(record.tokens)} tokens"))
    if record.outcome == "answered":
        length = answer_length(prompt, record.max_tokens)
        if len(record.tokens) != length or record.stated_tokens != length:
            detail = f"{len(record.tokens)} of {length}, stated {record.stated_tokens}"
            found.append(Violation(SHORT, record.id, detail))
    elif record.id and not is_loss_allowed(record):
        detail = f"{record.outcome} {record.reason} after {len(record.tokens)} tokens"
        found.append(Violation("lost", record.id, detail))
    return found


def audit_draining(
    instance: str, notice_unix_s: float, started: Mapping[str, float]
) -> list[Violation]:
    """Return violations for new requests that were sent to a draining server.

    Parameters
    ----------
    instance : str
        Instance of the server.
    notice_unix_s : float
        Time at which its reclaim notice was sent, in seconds since the epoch.
    started : mapping of str to float
        Time at which it started each request, in seconds since the epoch.

    Returns
    -------
    violations : list of Violation
        One for each request that started more than `MAX_START_AFTER_NOTICE_S` after the
        notice.
    """
    return [
        Violation("work_for_leaving", request, f"{instance} {late_s:.1f} s after")
        for request, unix_s in started.items()
        if (late_s := unix_s - notice_unix_s) > MAX_START_AFTER_NOTICE_S
    ]
