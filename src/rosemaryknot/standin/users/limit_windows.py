"""Comparison of the requests that a server got with the rate limit that it stated."""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "CONTACT_S",
    "LimitStatement",
    "LimitedPeriod",
    "allowed_requests",
    "limited_periods",
    "most_in_window",
]

WINDOW_S = 4.0
# Time from the first statement of a limit until it is enforced on all gateways.
CONTACT_S = 3.0
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5


@dataclass(slots=True, frozen=True)
class LimitStatement:
    """What one response said of its server's rate limit.

    Attributes
    ----------
    server : str
        Incarnation of the server.
    timestamp_s : float
        When the head of the response was sent, in trio time.
    limit : str or None
        Text of the header; None for a response without it.
    """

    server: str
    timestamp_s: float
    limit: str | None

    @property
    def rate(self) -> float | None:
        """Stated requests per second; None if there are none or they are invalid."""
        try:
            return float(self.limit)
        except (TypeError, ValueError):
            return None


@dataclass(slots=True)
class LimitedPeriod:
    """A period in which every response of a server stated a rate limit.

    Attributes
    ----------
    server : str
        Incarnation of the server.
    started_s, ended_s : float
        When the first response with a limit, and the last one, were sent.
    rate : float
        Highest rate that was stated, in requests per second.
    """

    server: str
    started_s: float
    ended_s: float
    rate: float


def limited_periods(statements: Iterable[LimitStatement]) -> list[LimitedPeriod]:
    """Return the periods in which servers stated limits.

    Examples
    --------
    >>> limited_periods(
    ...     [
    ...         LimitStatement("s", 1.0, "2"),
    ...         LimitStatement("s", 3.0, "2.5"),
    ...         LimitStatement("s", 4.0, None),
    ...     ]
    ... )
    [LimitedPeriod(server='s', started_s=1.0, ended_s=3.0, rate=2.5)]
    """
    periods: list[LimitedPeriod] = []
    current: dict[str, LimitedPeriod] = {}
    for statement in statements:
        server, now_s = statement.server, statement.timestamp_s
        if statement.limit is None:
            current.pop(server, None)
        elif statement.rate is None:
            continue
        elif server in current:
            period = current[server]
            period.ended_s = now_s
            period.rate = max(period.rate, statement.rate)
        else:
            current[server] = LimitedPeriod(server, now_s, now_s, statement.rate)
            periods.append(current[server])
    return periods


def allowed_requests(rate: float) -> float:
    """Return the requests that a server with a limit may get in any window."""
    return TOLERANCE_FACTOR * WINDOW_S * rate + TOLERANCE_REQUESTS


def most_in_window(times: Iterable[float], start_s: float, end_s: float) -> int:
    """Return the largest number of times in any window between two moments.

    Examples
    --------
    >>> most_in_window([0.0, 1.0, 4.0, 5.5, 6.0], 0.5, 10.0)
    3
    """
    inside = sorted(t for t in times if start_s <= t <= end_s)
    return max(
        (bisect_left(inside, t + WINDOW_S) - n for n, t in enumerate(inside)), default=0
    )
