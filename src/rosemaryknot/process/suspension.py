"""How long the machine of this process was suspended."""

import time

from rosemaryknot.process.true_time import running_time_s

__all__ = ["Suspension"]


class Suspension:
    """Tells how long the machine was suspended since the start."""

    def __init__(self) -> None:
        self.first = self.difference()

    def difference(self) -> float:
        """Return how far the time that goes on is ahead of the steady one."""
        return running_time_s() - time.monotonic()

    def passed_s(self) -> float:
        """Return the time in suspension, in seconds."""
        return max(0.0, self.difference() - self.first)
