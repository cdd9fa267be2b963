"""The highest of what was measured in the last seconds."""

from collections import deque

__all__ = ["HighestOfLate"]


class HighestOfLate:
    """The highest of what was measured in the last seconds.

    Attributes
    ----------
    measured : collections.deque of tuple of (float, float)
        When, in trio time, and what; falling, since one that is followed by a higher
        one never is the highest again.
    """

    def __init__(self) -> None:
        self.measured: deque[tuple[float, float]] = deque()

    def note(self, value: float, now_s: float) -> None:
        """Take a measurement in."""
        while self.measured and self.measured[-1][1] <= value:
            self.measured.pop()
        self.measured.append((now_s, value))

    def value(self, now_s: float, within_s: float) -> float:
        """Return the highest of the last seconds, 0 without one."""
        while self.measured and now_s - self.measured[0][0] > within_s:
            self.measured.popleft()
        return self.measured[0][1] if self.measured else 0.0
