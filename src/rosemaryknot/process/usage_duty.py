"""Duty that reports each customer's usage to the platform.

A duty is a task that only the holder of a lease performs.
"""

from dataclasses import dataclass
from typing import Any

import trio

from rosemaryknot.process.duty_components import (
    DUTY_CALLS,
    RETRY_DELAY_S,
    STEP_INTERVAL_S,
    DutyComponents,
)
from rosemaryknot.process.logs import logger
from rosemaryknot.process.usage_tracker import UsageTracker, counts_of
from rosemaryknot.values.duties import DutyDone, DutyRefused

__all__ = [
    "FIRST_UNREPORTED",
    "STORED_USAGE_RECORD",
    "UsageDuty",
    "first_certain_window",
    "noted_window",
]

# Minimum time between the end of a window and its report, for gateways whose links are
# only just established.
MIN_SETTLE_S = 2.0
# Maximum time that a window waits for gateways that have not reported their counts, as
# a share of the time after which usage is due. The remaining time is for two calls that
# take two seconds each.
MAX_WAIT_SHARE = 0.5
# A window that could not be reported for this many windows is abandoned, and reporting
# continues with later ones.
GIVE_UP_WINDOWS = 8
USAGE_RECORD = "usage"
# Maximum number of characters of an invalid record in a log line.
MAX_LOGGED_CHARS = 80
STORED_USAGE_RECORD = "usage_kept"
FIRST_UNREPORTED = "usage_from"

log = logger("duties")


def first_certain_window(usage: UsageTracker, acquired_s: float) -> int:
    """Return the first window that was not reported before the lease was acquired.

    Parameters
    ----------
    usage : UsageTracker
        Tells the windows.
    acquired_s : float
        When it was acquired, in synchronized time.
    """
    return usage.window_of(acquired_s - MIN_SETTLE_S)


def noted_window(notes: dict[str, Any]) -> int:
    """Return the first unreported window that a holder has noted; 0 without one."""
    window = notes.get(FIRST_UNREPORTED, 0)
    return window if type(window) is int and window > 0 else 0


@dataclass(slots=True)
class UsageRecord:
    """A window's counts as recorded in the store for the next holder of the lease.

    Attributes
    ----------
    window : int
        Number of the window.
    counts : dict of str to int
        Counts by customer.
    """

    window: int
    counts: dict[str, int]


class UsageDuty:
    """Reporter of the usage of each window, once and always with the same counts.

    Parameters
    ----------
    components : DutyComponents
        Components that the duty uses.
    delay_s : float
        Time after the end of a window at which its usage is due, in seconds.

    Attributes
    ----------
    started_window : int
        Window in which this node started.
    done : int or None
        Last window that was reported or abandoned.
    retry_s : float
        Time before which no further step is performed.
    """

    def __init__(self, components: DutyComponents, delay_s: float) -> None:
        self.components = components
        self.delay_s = delay_s
        self.started_window = components.usage.window_of(components.clock.now())
        self.done: int | None = None
        self.retry_s = 0.0

    async def run(self) -> None:
        """Perform the duty while the lease is held, until cancelled."""
        while True:
            await trio.sleep(STEP_INTERVAL_S)
            if self.components.lease.is_held() and trio.current_time() >= self.retry_s:
                await self.step()

    async def step(self) -> None:
        """Report the oldest window that has ended and is not reported."""
        components = self.components
        recorded = self.recorded()
        if recorded is not None and self.done != recorded.window:
            # The previous holder may have sent these counts without receiving a
            # response. Different counts for the same window would be a second report.
            await self.send(recorded.window, recorded.counts)
            return
        if recorded is not None:
            last = recorded.window
        else:
            last = self.started_window - 1 if self.done is None else self.done
        window = max(last + 1, self.first_unreported())
        now_s = components.clock.now()
        current = components.usage.window_of(now_s)
        if current - window > GIVE_UP_WINDOWS:
            window = current - GIVE_UP_WINDOWS
        elif not self.is_settled(window, now_s):
            return
        configuration = components.state.configuration
        if configuration is None:
            return
        if window > last + 1:
            log.warning("usage windows not reported", first=last + 1, next=window)
        counts = components.usage.total(window, configuration.customers)
        record = {"window": window, "counts": counts}
        if await components.lease.note(USAGE_RECORD, record):
            await self.send(window, counts)

    def first_unreported(self) -> int:
        """Return the first window that no earlier holder can have reported.

        A record of the last window that the store has lost is not known. To report that
        window again, with other counts, is worse than to leave it out. The first holder
        after a restore notes the window for the holders that follow.
        """
        components = self.components
        noted = noted_window(components.lease.notes)
        if not components.lease.has_lost_notes:
            return noted
        held_s = trio.current_time() - components.lease.acquired_s
        acquired_s = components.clock.now() - held_s
        return max(noted, first_certain_window(components.usage, acquired_s))

    def is_settled(self, window: int, now_s: float) -> bool:
        """Return whether a window may be reported.

        This is the case if all gateways have reported their counts or the window is
        due soon. A window is reported only once, so counts of a gateway whose reports
        are late, for example under load, would be missing permanently.
        """
        ended_s = (window + 1) * self.components.usage.window_s
        if now_s < ended_s + MIN_SETTLE_S:
            return False
        waiting = self.components.exchange.nodes_missing_counts(ended_s)
        if not waiting:
            return True
        if now_s < ended_s + self.delay_s * MAX_WAIT_SHARE:
            return False
        log.warning(
            "reporting usage without some gateways", window=window, missing=len(waiting)
        )
        return True

    def recorded(self) -> "UsageRecord | None":
        """Return the last window that a holder has recorded, or None without one."""
        value = self.components.lease.notes.get(USAGE_RECORD)
        if value is None:
            return None
        try:
            return UsageRecord(int(value["window"]), counts_of(value["counts"]))
        except (KeyError, TypeError, ValueError, OverflowError):
            # Written by another program. An error here would stop the node that
            # performs the duty.
            log.warning(
                "invalid usage record in the store", note=str(value)[:MAX_LOGGED_CHARS]
            )
            return None

    async def send(self, window: int, counts: dict[str, int]) -> None:
        """Report one window with exactly the counts that are recorded in the store."""
        components = self.components
        if not components.lease.is_held():
            return
        fencing = components.lease.fencing
        outcome = await components.calls.send_usage(window, counts, fencing)
        DUTY_CALLS.add(duty="usage", outcome=type(outcome).__name__)
        log.info(
            "sent usage report",
            window=window,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", None),
            fencing=fencing,
            requests=sum(counts.values()),
        )
        if isinstance(outcome, DutyDone):
            self.done = window
        elif isinstance(outcome, DutyRefused):
            components.lease.record_fencing(fencing + 1)
            self.retry_s = trio.current_time() + RETRY_DELAY_S
        else:
            self.retry_s = trio.current_time() + RETRY_DELAY_S
            late = components.usage.window_of(components.clock.now()) - window
            if late > GIVE_UP_WINDOWS:
                self.done = window
