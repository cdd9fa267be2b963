"""Comparison of the retries that a service got with the retry budget."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

from rosemaryknot.process.node_settings import Bounds

__all__ = ["RetryWindow", "fullest_window", "repeats"]


@dataclass(slots=True)
class RetryWindow:
    """A window in which a service got retries.

    Attributes
    ----------
    start_s : float
        Start of the window, in trio time.
    retries : int
        Arrivals in it beyond the first of each request.
    allowed : float
        Retries that the budget allows in it.
    """

    start_s: float
    retries: int
    allowed: float

    @property
    def used_share(self) -> float:
        """Share of the budget that was used; above 1 if it was exceeded."""
        return self.retries / self.allowed if self.allowed else float("inf")


def repeats(arrivals: Iterable[tuple[float, str]]) -> list[float]:
    """Return the times of the arrivals beyond the first of each request.

    Parameters
    ----------
    arrivals : iterable of tuple of (float, str)
        Time and request id of each arrival.

    Examples
    --------
    >>> repeats([(2.0, "a"), (1.0, "a"), (1.5, "b"), (3.0, "a")])
    [2.0, 3.0]
    """
    seen: set[str] = set()
    times = []
    for time_s, request_id in sorted(arrivals):
        if request_id in seen:
            times.append(time_s)
        seen.add(request_id)
    return times


def fullest_window(
    retries: list[float], requests: list[float], bounds: Bounds
) -> RetryWindow | None:
    """Return the window that uses the largest share of the retry budget.

    The requests are counted in the window, in the one before it or in the one half a
    window before it, whichever has most.

    Parameters
    ----------
    retries, requests : list of float
        Times of the retries that arrived and of the requests that callers sent, in
        ascending order.
    bounds : Bounds
        Bounds of the deployment.

    Returns
    -------
    window : RetryWindow or None
        None without any retry.

    Examples
    --------
    >>> bounds = Bounds(retry_ratio=0.5, retry_window_s=10, retry_slack=1)
    >>> fullest_window([3.0, 30.0, 30.5], [1.0, 2.0], bounds)
    RetryWindow(start_s=30.0, retries=2, allowed=1.0)
    """
    length_s = bounds.retry_window_s

    def count(times: list[float], start_s: float) -> int:
        end = bisect_right(times, start_s + length_s)
        return end - bisect_left(times, start_s)

    def window(start_s: float) -> RetryWindow:
        starts = (start_s, start_s - length_s / 2, start_s - length_s)
        most = max(count(requests, at_s) for at_s in starts)
        allowed = bounds.retry_ratio * most + bounds.retry_slack
        return RetryWindow(start_s, count(retries, start_s), allowed)

    # Windows that begin or end with a retry hold the most.
    starts = [*retries, *(time_s - length_s for time_s in retries)]
    windows = (window(start_s) for start_s in starts)
    return max(windows, key=lambda found: found.used_share, default=None)
