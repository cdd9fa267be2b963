"""Tracks how often a store has been restored from an older copy.

A restored store has lost its latest changes and gives out their revisions again. Its
responses state its era, a number that rises by one with each restore.
"""

import re
from collections.abc import Callable, Mapping

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge

__all__ = ["EraTracker"]

# Largest era that a message can carry.
MAX_ERA = 2**63 - 1
ERA_PATTERN = re.compile(r"[0-9]{1,19}")
# A response of an earlier era is a late one, unless no other arrives for this long: the
# store counts its eras anew then. A read may take up to eight seconds.
ERA_FALL_TIMEOUT_S = 10.0

ERA = gauge("store_era", "Era of the platform's store; 0 if it states none.")
OUTDATED_RESPONSES = counter(
    "store_outdated_responses_total", "Responses of an earlier era of the store."
)

log = logger("store")


class EraTracker:
    """Era of one store, as its responses state it.

    Parameters
    ----------
    header : str
        Name of the header that states the era; empty for a store that states none.

    Attributes
    ----------
    era : int
        Current era; 0 as long as no response has stated one.
    first : int or None
        Era that the first response stated; None as long as none has.
    on_changed : list of callable
        Called with the new era after it has changed.
    stated_s : float
        When a response last stated the current era, in trio time.
    fallen_since_s : float
        Since when all responses are of an earlier era, in trio time; infinite if the
        last one is not.

    Examples
    --------
    >>> tracker = EraTracker("object-era")
    >>> tracker.record({}), tracker.record({"object-era": "no number"})
    (0, 0)
    """

    def __init__(self, header: str) -> None:
        self.header = header
        self.era = 0
        self.first: int | None = None
        self.on_changed: list[Callable[[int], None]] = []
        self.stated_s = float("-inf")
        self.fallen_since_s = float("inf")

    def record(self, headers: Mapping[str, str]) -> int | None:
        """Record the headers of a response; return its era, None if it is outdated.

        A response that states no era, or no valid one, counts as one of the current
        era.
        """
        text = headers.get(self.header, "") if self.header else ""
        if not ERA_PATTERN.fullmatch(text) or int(text) > MAX_ERA:
            return self.era
        era = int(text)
        if self.first is None:
            self.first = era
        if era < self.era and not self.has_fallen():
            OUTDATED_RESPONSES.add()
            return None
        self.fallen_since_s = float("inf")
        self.stated_s = trio.current_time()
        if era != self.era:
            self.change(era)
        return era

    def has_fallen(self) -> bool:
        """Return whether responses of the current era have ceased for long."""
        now_s = trio.current_time()
        self.fallen_since_s = min(self.fallen_since_s, now_s)
        return now_s - self.fallen_since_s >= ERA_FALL_TIMEOUT_S

    def change(self, era: int) -> None:
        """Begin another era."""
        before, self.era = self.era, era
        ERA.set(era)
        if before:
            log.warning("store was restored from a copy", era=era, before=before)
        for callback in self.on_changed:
            callback(era)
