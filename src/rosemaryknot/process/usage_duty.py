"""Telling the platform each customer's usage, under the lease of the duties."""

from dataclasses import dataclass

import trio

from rosemaryknot.process.duty_parts import CALLS, RETRY_S, STEP_S, DutyParts
from rosemaryknot.process.logs import logger
from rosemaryknot.process.usage_book import counts_of
from rosemaryknot.values.duties import DutyDone, DutyRefused

__all__ = ["KEPT_NOTE", "UsageDuty"]

# At least so long after the end of a window, for gateways that are just met.
SETTLE_S = 2.0
# Of the time after which usage is due: so long a window waits for gateways that have
# not told their counts. What is left is for two calls that take two seconds each.
WAITED_SHARE = 0.5
# A window that could not be told for this long counts as lost; the next ones go on.
GIVE_UP_WINDOWS = 8
USAGE_NOTE = "usage"
# Characters of an unreadable note in a log line.
MAX_SHOWN = 80
KEPT_NOTE = "usage_kept"

log = logger("duties")


@dataclass(slots=True)
class UsageNote:
    """A window's counts as a holder has left them to the next.

    Attributes
    ----------
    window : int
        Number of the window.
    counts : dict of str to int
        By customer.
    """

    window: int
    counts: dict[str, int]


class UsageDuty:
    """Tells the usage of each window once, and always with the same counts.

    Parameters
    ----------
    parts : DutyParts
        What it works with.
    delay_s : float
        When the usage of a window is due after its end, in seconds.
    """

    def __init__(self, parts: DutyParts, delay_s: float) -> None:
        self.parts = parts
        self.delay_s = delay_s
        self.started_window = parts.usage.window_of(parts.clock.now())
        self.done: int | None = None
        self.retry_s = 0.0

    async def run(self) -> None:
        """Do the duty while the lease is held, until cancelled."""
        while True:
            await trio.sleep(STEP_S)
            if self.parts.lease.is_held() and trio.current_time() >= self.retry_s:
                await self.step()

    async def step(self) -> None:
        """Tell the oldest window that is over and not told."""
        parts = self.parts
        noted = self.noted()
        if noted is not None and self.done != noted.window:
            # The holder before may have sent these counts without seeing an answer;
            # other counts for the same window would be a second report.
            await self.send(noted.window, noted.counts)
            return
        if noted is not None:
            last = noted.window
        else:
            last = self.started_window - 1 if self.done is None else self.done
        window = last + 1
        now_s = parts.clock.now()
        current = parts.usage.window_of(now_s)
        if current - window > GIVE_UP_WINDOWS:
            window = current - GIVE_UP_WINDOWS
        elif not self.is_settled(window, now_s):
            return
        configuration = parts.state.configuration
        if configuration is None:
            return
        counts = parts.usage.total(window, configuration.customers)
        note = {"window": window, "counts": counts}
        if await parts.lease.note(USAGE_NOTE, note):
            await self.send(window, counts)

    def is_settled(self, window: int, now_s: float) -> bool:
        """Tell whether a window may be told: all have counted it, or it is due soon.

        It is told once and for all, so a gateway whose reports are late, as under
        load, would be left out of it for good.
        """
        ended_s = (window + 1) * self.parts.usage.window_s
        if now_s < ended_s + SETTLE_S:
            return False
        waiting = self.parts.exchange.uncounted(ended_s)
        if not waiting:
            return True
        if now_s < ended_s + self.delay_s * WAITED_SHARE:
            return False
        log.warning("usage told without some", window=window, missing=len(waiting))
        return True

    def noted(self) -> "UsageNote | None":
        """Return the last window that a holder has written down, None without one."""
        value = self.parts.lease.notes.get(USAGE_NOTE)
        if value is None:
            return None
        try:
            return UsageNote(int(value["window"]), counts_of(value["counts"]))
        except (KeyError, TypeError, ValueError, OverflowError):
            # Another writer's; an error here would end the node with the duty.
            log.warning("usage note cannot be read", note=str(value)[:MAX_SHOWN])
            return None

    async def send(self, window: int, counts: dict[str, int]) -> None:
        """Tell one window; what is noted in the store is sent as it stands there."""
        parts = self.parts
        if not parts.lease.is_held():
            return
        fencing = parts.lease.fencing
        outcome = await parts.calls.send_usage(window, counts, fencing)
        CALLS.add(duty="usage", outcome=type(outcome).__name__)
        log.info(
            "usage told",
            window=window,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", None),
            fencing=fencing,
            requests=sum(counts.values()),
        )
        if isinstance(outcome, DutyDone):
            self.done = window
        elif isinstance(outcome, DutyRefused):
            parts.lease.note_fencing(fencing + 1)
            self.retry_s = trio.current_time() + RETRY_S
        else:
            self.retry_s = trio.current_time() + RETRY_S
            late = parts.usage.window_of(parts.clock.now()) - window
            if late > GIVE_UP_WINDOWS:
                self.done = window
