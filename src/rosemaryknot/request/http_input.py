"""Read what callers send, and say what is wrong with it."""

import math

import trio
from quart import Request
from werkzeug.exceptions import RequestEntityTooLarge

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
SLOW_RETRY_S = 1.0


def bad(detail: str) -> NotRun:
    """Return the refusal of bad input."""
    return NotRun(Reason.BAD_REQUEST, detail=detail)


def is_number(text: str) -> bool:
    """Tell whether a text is a plain whole number of a sane length."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS


def read_single(request: Request, header: str) -> str | NotRun:
    """Return the only value of a header, or an empty text where it is absent.

    Two values would be read in one order here and in another one elsewhere.
    """
    values = request.headers.getlist(header)
    if len(values) > 1:
        return bad(f"{header} was sent {len(values)} times")
    return values[0].strip() if values else ""


def read_key(request: Request) -> str | NotRun:
    """Return the idempotency key; empty where none was sent.

    Parameters
    ----------
    request : quart.Request
        The request.

    Returns
    -------
    key : str or NotRun
        The key, or what is wrong with it.
    """
    key = read_single(request, KEY_HEADER)
    if isinstance(key, NotRun):
        return key
    if len(key) > MAX_KEY_LENGTH:
        return bad(f"{KEY_HEADER} is longer than {MAX_KEY_LENGTH} characters")
    if not (key.isascii() and key.isprintable()):
        return bad(f"{KEY_HEADER} must be printable ASCII")
    return key


def read_attempt(request: Request) -> int | NotRun:
    """Return the attempt that the caller declared, 0 where none."""
    text = read_single(request, ATTEMPT_HEADER)
    if isinstance(text, NotRun) or not text:
        return text or 0
    if not is_number(text) or int(text) < 1:
        return bad(f"{ATTEMPT_HEADER} must be a whole number from 1")
    return int(text)


def read_timeout_s(request: Request, longest_s: float) -> float | NotRun:
    """Return how long the caller waits, in seconds, at most ``longest_s``."""
    text = read_single(request, DEADLINE_HEADER)
    if isinstance(text, NotRun) or not text:
        return text or longest_s
    try:
        wanted_s = float(text)
    except ValueError:
        wanted_s = math.nan
    if not 0 < wanted_s < math.inf:
        return bad(f"{DEADLINE_HEADER} must be a number of seconds above 0")
    return min(wanted_s, longest_s)


def read_offset(request: Request) -> int | NotRun:
    """Return the offset from which a pick-up goes on."""
    text = request.args.get("offset", "0")
    if not is_number(text):
        return bad("offset must be a whole number from 0")
    return int(text)


def wants_async(request: Request) -> bool:
    """Tell whether the caller wants to be answered once the request is accepted."""
    wishes = ",".join(request.headers.getlist("Prefer")).split(",")
    return any(wish.strip().lower() == "respond-async" for wish in wishes)


def service_path(request: Request) -> str | NotRun:
    """Return the path at the service as the caller wrote it, with its query.

    Parameters
    ----------
    request : quart.Request
        A request below ``/services/``.

    Returns
    -------
    path : str or NotRun
        With a leading slash; percent-encoding is left as it came, since the
        service may tell apart what is the same when decoded.
    """
    raw: bytes = request.scope["raw_path"]
    name, _, rest = raw.removeprefix(SERVICES_PREFIX).partition(b"/")
    if not raw.startswith(SERVICES_PREFIX) or b"%" in name:
        return bad("write the path as /services/<name>/<path>")
    query: bytes = request.query_string
    return ("/" + rest.decode("ascii")) + (f"?{query.decode('ascii')}" if query else "")


async def read_body(request: Request, timeout_s: float) -> bytes | NotRun:
    """Read the whole body within a time.

    Parameters
    ----------
    request : quart.Request
        The request. Its application's ``MAX_CONTENT_LENGTH`` bounds the body.
    timeout_s : float
        Bound on the wait for it, in seconds. A caller who sends a byte now and then
        would otherwise hold a task and a slot for as long as it likes.

    Returns
    -------
    body : bytes or NotRun
        The body, or why it is refused.
    """
    try:
        with trio.move_on_after(max(0.0, timeout_s)):
            return bytes(await request.get_data(cache=False))
    except RequestEntityTooLarge:
        return NotRun(Reason.BODY_TOO_LARGE, detail="the body is too large")
    detail = f"the body did not arrive within {timeout_s:g} s"
    return NotRun(Reason.BODY_TOO_SLOW, SLOW_RETRY_S, detail)
