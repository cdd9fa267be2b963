"""Faults of the platform stand-in."""

from dataclasses import dataclass, field, fields
from typing import Any

__all__ = ["OUTAGE_REFUSE", "OUTAGE_SILENT", "PlatformFaults"]

OUTAGE_REFUSE = "refuse"
OUTAGE_SILENT = "silent"


@dataclass(slots=True)
class PlatformFaults:
    """What goes wrong at the platform; each attribute may be set at any time.

    Attributes
    ----------
    outage : str
        ``refuse`` answers 503 and does nothing; ``silent`` never answers; empty
        for none.
    slow_s : float
        How long each answer takes, in seconds. A write takes effect first.
    late_effect_s : float
        How long after it was received a write takes effect, in seconds, also where
        the caller has gone.
    lose_answers : int
        How many of the next writes take effect but get no answer.
    watch_silent : bool
        Whether watches, open and new, say nothing more, not even heartbeats.
    watch_gaps : int
        How many of the next lines of changes are left out of a watch.
    list_lag_s : float
        How far the instance list lags, in seconds.
    start_delay_s : float
        How long a started instance takes until it is live, in seconds.
    refused_starts : set of tuple of (str, str)
        Pairs of zone and machine class whose starts are refused.
    max_writes_per_s : int
        Writes beyond this rate are refused with 503; 0 for no bound.
    """

    outage: str = ""
    slow_s: float = 0.0
    late_effect_s: float = 0.0
    lose_answers: int = 0
    watch_silent: bool = False
    watch_gaps: int = 0
    list_lag_s: float = 2.0
    start_delay_s: float = 0.0
    refused_starts: set[tuple[str, str]] = field(default_factory=set)
    max_writes_per_s: int = 0

    def change(self, values: dict[str, Any]) -> None:
        """Set attributes by name.

        Parameters
        ----------
        values : dict
            New values; ``refused_starts`` is a list of pairs.

        Raises
        ------
        ValueError
            If there is no such fault.
        """
        unknown = set(values) - {known.name for known in fields(self)}
        if unknown:
            raise ValueError(f"no such fault: {sorted(unknown)}")
        for name, value in values.items():
            if name == "refused_starts":
                value = {(zone, machine_class) for zone, machine_class in value}
            setattr(self, name, value)
