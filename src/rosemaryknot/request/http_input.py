"""Reading and validation of the headers, paths and bodies of callers' requests."""

import math

import trio
from quart import Request
from werkzeug.exceptions import RequestEntityTooLarge

from rosemaryknot.connection.upload_limit import get_upload
from rosemaryknot.values.outcomes import NotRun, Reason

__all__ = [
    "read_attempt",
    "read_body",
    "read_key",
    "read_offset",
    "read_timeout_s",
    "service_path",
    "wants_async",
]

KEY_HEADER = "Idempotency-Key"
ATTEMPT_HEADER = "Rosemaryknot-Attempt"
DEADLINE_HEADER = "Rosemaryknot-Deadline"
MAX_KEY_LENGTH = 200
MAX_NUMBER_DIGITS = 9
SERVICES_PREFIX = b"/services/"
SLOW_BODY_RETRY_AFTER_S = 1.0


def bad_request(detail: str) -> NotRun:
    """Return the refusal of invalid input."""
    return NotRun(Reason.BAD_REQUEST, detail=detail)


def is_bounded_integer(text: str) -> bool:
    """Return whether a text is a decimal integer of at most `MAX_NUMBER_DIGITS`."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS


def read_single_header(request: Request, header: str) -> str | NotRun:
    """Return the only value of a header, or an empty string if it is absent.

    Repeated headers are refused, since other programs may use another one of the
    values than this one.
    """
    values = request.headers.getlist(header)
    if len(values) > 1:
        return bad_request(f"{header} was sent {len(values)} times")
    return values[0].strip() if values else ""


def read_key(request: Request) -> str | NotRun:
    """Return the idempotency key; empty if none was sent.

    Parameters
    ----------
    request : quart.Request
        The request.

    Returns
    -------
    key : str or NotRun
        The key, or the validation error.
    """
    key = read_single_header(request, KEY_HEADER)
    if isinstance(key, NotRun):
        return key
    if len(key) > MAX_KEY_LENGTH:
        return bad_request(f"{KEY_HEADER} is longer than {MAX_KEY_LENGTH} characters")
    if not (key.isascii() and key.isprintable()):
        return bad_request(f"{KEY_HEADER} must be printable ASCII")
    return key


def read_attempt(request: Request) -> int | NotRun:
    """Return the attempt number that the caller declared, 0 if none."""
    text = read_single_header(request, ATTEMPT_HEADER)
    if isinstance(text, NotRun) or not text:
        return text or 0
    if not is_bounded_integer(text) or int(text) < 1:
        return bad_request(f"{ATTEMPT_HEADER} must be a whole number from 1")
    return int(text)


def read_timeout_s(request: Request, max_timeout_s: float) -> float | NotRun:
    """Return the caller's timeout in seconds, at most ``max_timeout_s``."""
    text = read_single_header(request, DEADLINE_HEADER)
    if isinstance(text, NotRun) or not text:
        return text or max_timeout_s
    try:
        wanted_s = float(text)
    except ValueError:
        wanted_s = math.nan
    if not 0 < wanted_s < math.inf:
        return bad_request(f"{DEADLINE_HEADER} must be a number of seconds above 0")
    return min(wanted_s, max_timeout_s)


def read_offset(request: Request) -> int | NotRun:
    """Return the token offset from which a stream is requested."""
    text = request.args.get("offset", "0")
    if not is_bounded_integer(text):
        return bad_request("offset must be a whole number from 0")
    return int(text)


def wants_async(request: Request) -> bool:
    """Return whether the caller wants a response as soon as a request is accepted."""
    preferences = ",".join(request.headers.getlist("Prefer")).split(",")
    return any(p.strip().lower() == "respond-async" for p in preferences)


def service_path(request: Request) -> str | NotRun:
    """Return the path and query for the service, unchanged.

    Parameters
    ----------
    request : quart.Request
        A request below ``/services/``.

    Returns
    -------
    path : str or NotRun
        The path with a leading slash, or the validation error. Percent-encoding is
        left unchanged, since the service may distinguish paths that are equal when
        decoded.
    """
    raw: bytes = request.scope["raw_path"]
    name, _, rest = raw.removeprefix(SERVICES_PREFIX).partition(b"/")
    if not raw.startswith(SERVICES_PREFIX) or b"%" in name:
        return bad_request("write the path as /services/<name>/<path>")
    query: bytes = request.query_string
    return ("/" + rest.decode("ascii")) + (f"?{query.decode('ascii')}" if query else "")


async def read_body(request: Request, timeout_s: float) -> bytes | NotRun:
    """Read the whole body within a timeout.

    Parameters
    ----------
    request : quart.Request
        The request. The ``MAX_CONTENT_LENGTH`` of its application bounds the body.
    timeout_s : float
        Timeout in seconds. Without it, a caller that sends a byte now and then could
        hold a task and a slot indefinitely.

    Returns
    -------
    body : bytes or NotRun
        The body, or the reason for the refusal.
    """
    upload = get_upload(request.scope)
    try:
        with trio.move_on_after(max(0.0, timeout_s)) as scope:
            if upload is not None:
                upload.reservation.begin_upload(scope)
                if upload.is_refused:
                    scope.cancel()
            return bytes(await request.get_data(cache=False))
    except RequestEntityTooLarge:
        return NotRun(Reason.BODY_TOO_LARGE, detail="the body is too large")
    finally:
        if upload is not None:
            upload.reservation.end_upload()
    if upload is not None and (upload.is_refused or upload.reservation.is_withdrawn):
        refusal = upload.reservation.budget.refusal()
        return NotRun(Reason.OVERLOADED, refusal.retry_after_s, refusal.reason)
    detail = f"the body did not arrive within {timeout_s:g} s"
    return NotRun(Reason.BODY_TOO_SLOW, SLOW_BODY_RETRY_AFTER_S, detail)
