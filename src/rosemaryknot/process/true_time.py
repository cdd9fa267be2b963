"""The time of day that most gateways agree on, and time that passed in suspension."""

import time
from collections.abc import Callable
from statistics import median

__all__ = ["TrueTime", "running_time_s"]

# A peer's clock counts while it was heard within this time.
HEARD_S = 5.0


def running_time_s() -> float:
    """Return time that goes on while the machine is suspended, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TrueTime:
    """Agrees on the time of day by the median of all gateways' clocks.

    The time of day may jump by seconds on some machines. Usage is told by windows of
    true time, and a jumped clock would put requests into a wrong one. What the clock
    said at the start counts as one voice more, so that a gateway alone keeps to it.

    Parameters
    ----------
    wall : callable
        Returns this machine's time of day, in seconds of the epoch.
    running : callable
        Returns a time that never jumps, in seconds.
    """

    def __init__(
        self,
        wall: Callable[[], float] = time.time,
        running: Callable[[], float] = running_time_s,
    ) -> None:
        self.wall = wall
        self.running = running
        self.first = wall() - running()
        self.peers: dict[str, tuple[float, float]] = {}

    def record_peer(self, node: str, clock_s: float) -> None:
        """Take note of another machine's time of day, just heard."""
        now = self.running()
        self.peers[node] = (clock_s - now, now)

    def now(self) -> float:
        """Return the agreed time of day, in seconds of the epoch."""
        running = self.running()
        heard = [o for o, at in self.peers.values() if running - at < HEARD_S]
        return running + median([self.wall() - running, self.first, *heard])
