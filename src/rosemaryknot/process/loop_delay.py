"""Delay of the tasks of this process, from how late its timers are."""

from collections import deque
from collections.abc import Callable

import trio

__all__ = ["LoopDelay"]

SAMPLE_INTERVAL_S = 0.05
# Samples, of which those with this rank counts, the least first. A process that pauses
# at the end of each allowance of processor time is often late at half of its load, and
# nearly always if it is overloaded.
WINDOW_SAMPLES = 10
RANK = 2


class LoopDelay:
    """Samples of how late a timer is.

    A timer waits for the tasks that are ready before it, and for the processor. The
    share of a core that the process may use is nowhere stated, and a process that waits
    for its share looks the same as one with much to do.

    Attributes
    ----------
    samples : collections.deque of float
        How late the timer was the last times, in seconds.
    on_sample : callable
        Called after each sample.
    """

    def __init__(self) -> None:
        self.samples: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self.on_sample: Callable[[], None] = lambda: None

    @property
    def delay_s(self) -> float:
        """Delay that most of the last samples exceed, in seconds."""
        if len(self.samples) < WINDOW_SAMPLES:
            return 0.0
        return sorted(self.samples)[RANK]

    async def run(self) -> None:
        """Take samples until cancelled."""
        while True:
            due_s = trio.current_time() + SAMPLE_INTERVAL_S
            await trio.sleep_until(due_s)
            self.samples.append(trio.current_time() - due_s)
            self.on_sample()
