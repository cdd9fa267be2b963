"""Load of the stand-in engine, reported with a lag."""

from collections import deque
from dataclasses import dataclass

import trio

from rosemaryknot.standin.batch import Batch, EngineSettings

__all__ = ["LaggedLoad", "LoadReport"]


@dataclass(slots=True)
class LoadReport:
    """Load at one time, as ``GET /load`` reports it.

    Attributes
    ----------
    running, waiting : int
        Generations in slots and in the queue.
    slots : int
        Generations that can run at once.
    step_time_ms : float
        Time of one step.
    free_kv_tokens : int
        Memory left for running generations.
    """

    running: int
    waiting: int
    slots: int
    step_time_ms: float
    free_kv_tokens: int


class LaggedLoad:
    """The load as it was a while ago.

    Parameters
    ----------
    settings : EngineSettings
        Gives the lag.
    batch : Batch
        Whose load it is.
    """

    def __init__(self, settings: EngineSettings, batch: Batch) -> None:
        self.settings = settings
        self.batch = batch
        self.reports: deque[tuple[float, LoadReport]] = deque()

    def note(self, step_time_s: float) -> None:
        """Keep the load as it is now, for later reports."""
        report = LoadReport(
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            slots=self.settings.slots,
            step_time_ms=1000 * step_time_s,
            free_kv_tokens=self.settings.kv_tokens - self.batch.kv_used,
        )
        self.reports.append((trio.current_time(), report))
        self.report()

    def report(self) -> LoadReport:
        """Return the load of a while ago, and forget what is older."""
        limit = trio.current_time() - self.settings.load_lag_s
        while len(self.reports) > 1 and self.reports[1][0] <= limit:
            self.reports.popleft()
        if self.reports and self.reports[0][0] <= limit:
            return self.reports[0][1]
        idle = self.settings
        step_time_ms = 1000 * idle.step_time_s
        return LoadReport(0, 0, idle.slots, step_time_ms, idle.kv_tokens)
