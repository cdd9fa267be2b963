"""How long answers took of late, by route and by the length of their streams."""

from dataclasses import dataclass

from rosemaryknot.request.stop_admission import Likely

__all__ = ["Durations"]

# How much of the largest value is left after each later one: half after seventy.
LARGEST_KEPT = 0.99
# Said of a route without answers; no decision rests on it.
FIRST_DURATION_S = 1.0


@dataclass(slots=True)
class Largest:
    """The largest value of late, how many there were, and when the last one came.

    Examples
    --------
    >>> figure = Largest()
    >>> for value in [1.0] * 50 + [3.0] + [1.0] * 70:
    ...     figure.note(value)
    >>> round(figure.value, 1), figure.count
    (1.5, 121)
    """

    value: float = 0.0
    count: int = 0
    noted_s: float | None = None

    def note(self, value: float, now_s: float | None = None) -> None:
        """Take a value in."""
        self.value = max(value, self.value * LARGEST_KEPT)
        self.count += 1
        self.noted_s = now_s


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
        self.by_route: dict[str, Largest] = {}
        self.pace_by_route: dict[str, Largest] = {}

    def note(
        self,
        route: str,
        took_s: float,
        tokens: int = 0,
        now_s: float | None = None,
    ) -> None:
        """Count an answer of some output tokens, 0 where it has none."""
        self.by_route.setdefault(route, Largest()).note(took_s, now_s)
        if tokens > 0:
            self.pace_by_route.setdefault(route, Largest()).note(took_s / tokens)

    def likely(self, route: str, tokens: int, now_s: float) -> Likely:
        """Return within which time such answers ended of late, and what it rests on.

        Streams of one route differ by far in length; a longer one than most takes
        its tokens' time.
        """
        known = self.by_route.get(route)
        if known is None:
            return Likely(FIRST_DURATION_S, 0, None)
        pace = self.pace_by_route.get(route)
        by_tokens = 0.0 if pace is None else tokens * pace.value
        age_s = None if known.noted_s is None else now_s - known.noted_s
        return Likely(round(max(known.value, by_tokens), 6), known.count, age_s)
