"""The ``Retry-After`` header of a response (RFC 9110, section 10.2.3)."""

import math
import re
import time
from collections.abc import Sequence
from dataclasses import dataclass
from email.utils import parsedate_to_datetime

__all__ = [
    "InvalidRetryAfter",
    "MAX_RETRY_AFTER_S",
    "decode_date",
    "decode_retry_after",
    "requested_pause_s",
]

UNAVAILABLE = 503

# A longer delay is cut: a server that is not to be used for days has to drain.
MAX_RETRY_AFTER_S = 86_400.0
# No exponent, sign, infinity or NaN, which `float` accepts.
DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,9})?")
MAX_LOGGED_CHARS = 40


@dataclass(slots=True, frozen=True)
class InvalidRetryAfter:
    """A header that is neither a number of seconds nor a date.

    Attributes
    ----------
    text : str
        The text of the header.
    """

    text: str


def decode_retry_after(
    texts: Sequence[str], sent_unix_s: float | None = None
) -> float | InvalidRetryAfter | None:
    """Return the delay that the headers of a response state, in seconds.

    Parameters
    ----------
    texts : sequence of str
        Values of the header, which may occur several times.
    sent_unix_s : float, optional
        When the response was sent, from which a date counts, in seconds since the
        epoch; now by default.

    Returns
    -------
    delay_s : float or InvalidRetryAfter or None
        The longest stated delay, at most `MAX_RETRY_AFTER_S`; None without a header.

    Examples
    --------
    >>> decode_retry_after(["1.5", "rubbish"])
    1.5
    >>> decode_retry_after(["Thu, 01 Jan 1970 00:00:09 GMT"], 6.0)
    3.0
    >>> decode_retry_after(["1e300"])
    InvalidRetryAfter(text='1e300')
    """
    if not texts:
        return None
    if sent_unix_s is None:
        sent_unix_s = time.time()
    delays = [decode_delay_s(text.strip(), sent_unix_s) for text in texts]
    valid = [delay_s for delay_s in delays if delay_s is not None]
    if not valid:
        return InvalidRetryAfter(texts[0].strip()[:MAX_LOGGED_CHARS])
    return min(max(valid), MAX_RETRY_AFTER_S)


def requested_pause_s(
    status: int, retry_after: float | InvalidRetryAfter | None
) -> float:
    """Return for how long the sender of a response wants no requests, in seconds.

    A 429 concerns the one request, and not the node that sent it.

    Examples
    --------
    >>> requested_pause_s(503, 2.5), requested_pause_s(429, 2.5)
    (2.5, 0.0)
    """
    if status != UNAVAILABLE or not isinstance(retry_after, float):
        return 0.0
    return retry_after


def decode_delay_s(text: str, sent_unix_s: float) -> float | None:
    """Return one stated delay in seconds, None if it is invalid."""
    if DECIMAL.fullmatch(text):
        return float(text)
    date_s = decode_date(text)
    return None if date_s is None else max(0.0, date_s - sent_unix_s)


def decode_date(text: str) -> float | None:
    """Return an HTTP date in seconds since the epoch, None if it is invalid.

    Examples
    --------
    >>> decode_date("Sun, 06 Nov 1994 08:49:37 GMT")
    784111777.0
    >>> decode_date("06 Nov 1994 08:49:37") is None
    True
    """
    if not text:
        return None
    try:
        date = parsedate_to_datetime(text)
        date_s = date.timestamp() if date.tzinfo is not None else math.nan
    except (TypeError, ValueError, IndexError, OverflowError):
        return None
    return date_s if math.isfinite(date_s) else None
