"""Recent durations of responses, by route and by the length of their streams."""

from dataclasses import dataclass

from rosemaryknot.request.shutdown_admission import DurationEstimate

__all__ = ["ResponseDurations"]

# Weight of the newest response in the duration of a route.
DURATION_WEIGHT = 0.1
# Nearly all responses complete within this many mean deviations above the mean.
UPPER_ESTIMATE_DEVIATIONS = 3.0
# Factor of the maximum for each later value: half of it remains after seventy values.
MAXIMUM_DECAY = 0.99
# Estimate for a route without responses; it only affects whether a deadline may be
# shortened.
DEFAULT_DURATION_S = 1.0


@dataclass(slots=True)
class DurationStatistics:
    """Smoothed mean and mean deviation of a value, and its decaying maximum.

    Examples
    --------
    >>> statistics = DurationStatistics(1.0)
    >>> for value in [1.0] * 50 + [3.0]:
    ...     statistics.record(value)
    >>> statistics.upper_estimate(), statistics.count
    (3.0, 51)
    """

    mean: float
    deviation: float = 0.0
    decaying_maximum: float = 0.0
    count: int = 0
    recorded_s: float | None = None

    def record(self, value: float, now_s: float | None = None) -> None:
        """Add a value."""
        self.deviation += DURATION_WEIGHT * (abs(value - self.mean) - self.deviation)
        self.mean += DURATION_WEIGHT * (value - self.mean)
        self.decaying_maximum = max(value, self.decaying_maximum * MAXIMUM_DECAY)
        self.count += 1
        self.recorded_s = now_s

    def upper_estimate(self) -> float:
        """Return an upper estimate that nearly all values do not exceed."""
        return max(
            self.mean + UPPER_ESTIMATE_DEVIATIONS * self.deviation,
            self.decaying_maximum,
        )


class ResponseDurations:
    """Recent durations of responses and of output tokens, by route.

    Examples
    --------
    >>> durations = ResponseDurations()
    >>> durations.estimate("r", 100, 5.0)
    DurationEstimate(within_s=1.0, answers=0, age_s=None)
    >>> for _ in range(100):
    ...     durations.record("r", 0.2, 100, 4.0)
    >>> durations.estimate("r", 300, 5.0)
    DurationEstimate(within_s=0.6, answers=100, age_s=1.0)
    """

    def __init__(self) -> None:
        self.by_route: dict[str, DurationStatistics] = {}
        self.seconds_per_token_by_route: dict[str, DurationStatistics] = {}

    def record(
        self,
        route: str,
        took_s: float,
        tokens: int = 0,
        now_s: float | None = None,
    ) -> None:
        """Record a response with its output tokens, or 0 if it has none."""
        self.by_route.setdefault(route, DurationStatistics(took_s)).record(
            took_s, now_s
        )
        if tokens > 0:
            seconds_per_token = took_s / tokens
            self.seconds_per_token_by_route.setdefault(
                route, DurationStatistics(seconds_per_token)
            ).record(seconds_per_token)

    def estimate(self, route: str, tokens: int, now_s: float) -> DurationEstimate:
        """Estimate the duration of a response from recent ones.

        Streams of one route differ greatly in length, so a stream that is longer than
        most is estimated from the time per token.
        """
        known = self.by_route.get(route)
        if known is None:
            return DurationEstimate(DEFAULT_DURATION_S, 0, None)
        seconds_per_token = self.seconds_per_token_by_route.get(route)
        by_tokens = (
            0.0
            if seconds_per_token is None
            else tokens * seconds_per_token.upper_estimate()
        )
        age_s = None if known.recorded_s is None else now_s - known.recorded_s
        return DurationEstimate(
            round(max(known.upper_estimate(), by_tokens), 6), known.count, age_s
        )
