"""Maximum of the samples within a sliding window."""

from collections import deque

__all__ = ["SlidingMaximum"]


class SlidingMaximum:
    """Maximum of the samples within a sliding window.

    Attributes
    ----------
    samples : collections.deque of tuple of (float, float)
        Trio time and value, in order of decreasing value: a sample that is followed
        by a higher one can no longer be the maximum.
    """

    def __init__(self) -> None:
        self.samples: deque[tuple[float, float]] = deque()

    def record(self, value: float, now_s: float) -> None:
        """Record a sample."""
        while self.samples and self.samples[-1][1] <= value:
            self.samples.pop()
        self.samples.append((now_s, value))

    def value(self, now_s: float, window_s: float) -> float:
        """Return the maximum within the window, 0 if there is no sample."""
        while self.samples and now_s - self.samples[0][0] > window_s:
            self.samples.popleft()
        return self.samples[0][1] if self.samples else 0.0
