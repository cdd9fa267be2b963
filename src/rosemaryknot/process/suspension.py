"""Measures how long the machine of this process has been suspended."""

import time

from rosemaryknot.process.synchronized_clock import boot_time_s

__all__ = ["Suspension"]


class Suspension:
    """Measures the time in suspension since this object was created."""

    def __init__(self) -> None:
        self.start_difference_s = self.clock_difference_s()

    def clock_difference_s(self) -> float:
        """Return how far the boot-time clock is ahead of the monotonic clock."""
        return boot_time_s() - time.monotonic()

    def elapsed_s(self) -> float:
        """Return the time spent in suspension, in seconds."""
        return max(0.0, self.clock_difference_s() - self.start_difference_s)
