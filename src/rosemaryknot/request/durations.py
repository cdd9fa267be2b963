"""How long answers took of late, by route and by the length of their streams."""

from dataclasses import dataclass

from rosemaryknot.request.stop_admission import Likely

__all__ = ["Durations"]

# Weight of the newest answer in a route's duration, and how many mean deviations
# above the mean nearly all answers end.
DURATION_WEIGHT = 0.1
DEVIATIONS = 3.0
# How much of the largest value is left after each later one: half after seventy.
LARGEST_KEPT = 0.99
# Said of a route without answers; only whether a limit may be cut short rests on it.
FIRST_DURATION_S = 1.0


@dataclass(slots=True)
class Smoothed:
    """A figure's smoothed mean and mean deviation, and the largest of late.

    Examples
    --------
    >>> figure = Smoothed(1.0)
    >>> for value in [1.0] * 50 + [3.0]:
    ...     figure.note(value)
    >>> figure.high(), figure.count
    (3.0, 51)
    """

    mean: float
    deviation: float = 0.0
    largest: float = 0.0
    count: int = 0
    noted_s: float | None = None

    def note(self, value: float, now_s: float | None = None) -> None:
        """Take a value in."""
        self.deviation += DURATION_WEIGHT * (abs(value - self.mean) - self.deviation)
        self.mean += DURATION_WEIGHT * (value - self.mean)
        self.largest = max(value, self.largest * LARGEST_KEPT)
        self.count += 1
        self.noted_s = now_s

    def high(self) -> float:
        """Return what nearly all values lie below."""
        return max(self.mean + DEVIATIONS * self.deviation, self.largest)


class Durations:
    """How long answers of each route took of late, and a token of their streams.

    Examples
    --------
    >>> durations = Durations()
    >>> durations.likely("r", 100, 5.0)
    Likely(within_s=1.0, answers=0, age_s=None)
    >>> for _ in range(100):
    ...     durations.note("r", 0.2, 100, 4.0)
    >>> durations.likely("r", 300, 5.0)
    Likely(within_s=0.6, answers=100, age_s=1.0)
    """

    def __init__(self) -> None:
        self.by_route: dict[str, Smoothed] = {}
        self.pace_by_route: dict[str, Smoothed] = {}

    def note(
        self,
        route: str,
        took_s: float,
        tokens: int = 0,
        now_s: float | None = None,
    ) -> None:
        """Count an answer of some output tokens, 0 where it has none."""
        self.by_route.setdefault(route, Smoothed(took_s)).note(took_s, now_s)
        if tokens > 0:
            pace = took_s / tokens
            self.pace_by_route.setdefault(route, Smoothed(pace)).note(pace)

    def likely(self, route: str, tokens: int, now_s: float) -> Likely:
        """Return within which time such answers ended of late, and what it rests on.

        Streams of one route differ by far in length; a longer one than most takes
        its tokens' time.
        """
        known = self.by_route.get(route)
        if known is None:
            return Likely(FIRST_DURATION_S, 0, None)
        pace = self.pace_by_route.get(route)
        by_tokens = 0.0 if pace is None else tokens * pace.high()
        age_s = None if known.noted_s is None else now_s - known.noted_s
        return Likely(round(max(known.high(), by_tokens), 6), known.count, age_s)
