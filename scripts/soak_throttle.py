"""Holds a process to a share of a core, by stopping it for the rest of each period.

The soak starts it with the id of a node process that it started itself.
"""

import os
import signal
import sys
import time

__all__ = ["throttle"]

PERIOD_S = 0.1
CHECK_INTERVAL_S = 0.001


def cpu_time_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    # The clock of a process, as the C library's clock_getcpuclockid returns it.
    return time.clock_gettime((~pid << 3) | 2)


def throttle(pid: int, share: float) -> None:
    """Throttle a process until it ends or this one is terminated.

    Parameters
    ----------
    pid : int
        Id of the process.
    share : float
        Processor time that it may use in each second, in seconds.
    """
    budget_s = 0.0
    used_s = cpu_time_s(pid)
    while True:
        period_end_s = time.monotonic() + PERIOD_S
        # What it has used beyond its share is taken off the next period.
        budget_s = min(0.0, budget_s) + share * PERIOD_S
        if budget_s > 0:
            os.kill(pid, signal.SIGCONT)
        while (left_s := period_end_s - time.monotonic()) > 0:
            now_used_s = cpu_time_s(pid)
            budget_s -= now_used_s - used_s
            used_s = now_used_s
            if budget_s <= 0:
                os.kill(pid, signal.SIGSTOP)
                time.sleep(left_s)
            else:
                time.sleep(min(left_s, CHECK_INTERVAL_S))


def main() -> None:
    """Throttle the process of the arguments, and let it run in the end."""
    pid, share = int(sys.argv[1]), float(sys.argv[2])
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
    try:
        throttle(pid, share)
    except OSError:
        # The process has ended.
        return
    finally:
        try:
            os.kill(pid, signal.SIGCONT)
        except OSError:
            pass


if __name__ == "__main__":
    main()
