"""A time of day that gateways synchronize, and a clock that includes suspension."""

import time
from collections.abc import Callable
from statistics import median

__all__ = ["SynchronizedClock", "boot_time_s"]

# A peer's clock is used while its last report is no older than this.
REPORT_MAX_AGE_S = 5.0


def boot_time_s() -> float:
    """Return the time since boot, including time in suspension, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SynchronizedClock:
    """Computes the time of day as the median of all gateways' clocks.

    The time of day may jump by seconds on some machines. Usage is reported in windows
    of synchronized time, and a clock that jumped would assign requests to the wrong
    window. The clock reading at the start is one more value of the median, so that a
    gateway without peers does not follow its clock alone.

    Parameters
    ----------
    wall_clock : callable
        Returns this machine's time of day, in seconds since the epoch.
    boot_clock : callable
        Returns a monotonic time that includes suspension, in seconds.
    """

    def __init__(
        self,
        wall_clock: Callable[[], float] = time.time,
        boot_clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.wall_clock = wall_clock
        self.boot_clock = boot_clock
        self.start_offset_s = wall_clock() - boot_clock()
        self.peers: dict[str, tuple[float, float]] = {}

    def record_peer(self, node: str, clock_s: float) -> None:
        """Record another machine's time of day, which it has just reported."""
        boot_s = self.boot_clock()
        self.peers[node] = (clock_s - boot_s, boot_s)

    def now(self) -> float:
        """Return the synchronized time of day, in seconds since the epoch."""
        boot_s = self.boot_clock()
        offsets_s = [
            o for o, at in self.peers.values() if boot_s - at < REPORT_MAX_AGE_S
        ]
        return boot_s + median(
            [self.wall_clock() - boot_s, self.start_offset_s, *offsets_s]
        )
