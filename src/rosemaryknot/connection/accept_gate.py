"""Decides whether to accept new connections of callers, by the load of the node."""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from rosemaryknot.connection.accept_rules import ACCEPT_RULES, AcceptInput
from rosemaryknot.connection.network import AcceptPolicy
from rosemaryknot.process.logs import logger
from rosemaryknot.process.loop_delay import LoopDelay
from rosemaryknot.process.metrics import counter, gauge

__all__ = ["AcceptGate"]

ACCEPT_RULE = "delay"
# Time between two decisions on the rate: the delay of tasks follows it this fast.
DECISION_INTERVAL_S = 0.2
# Connections that may be accepted at once after a pause, by the time that they last.
BURST_S = 0.1
# Connections in progress, of those accepted under a limit, up to which the next one is
# accepted in any case. If tasks are late for another reason than the connections, such
# as a busy machine, all nodes would send a caller on until it gives up.
MIN_IN_PROGRESS = 4
LOG_INTERVAL_S = 1.0

CLOSED = counter(
    "caller_connections_closed_unread_total",
    "New connections that were closed unread while the node was overloaded.",
)
DELAY = gauge("task_delay_seconds", "Delay that most tasks exceeded in half a second.")

log = logger("callers")


class AcceptGate(AcceptPolicy):
    """Limits the rate of new connections while the tasks of the process are delayed.

    Parameters
    ----------
    delay : LoopDelay
        Delay of the tasks.

    Attributes
    ----------
    rate : float
        Connections accepted per second; infinite without a limit.
    budget : float
        Connections that may be accepted now.
    starting : int
        Connections that were accepted and are not handled yet.
    in_progress : int
        Connections in progress whose handling began while there was a limit.
    decide : callable
        Rule in use; one of `ACCEPT_RULES`.
    sampled : trio.lowlevel.ParkingLot
        Woken with each sample of the delay.
    """

    def __init__(self, delay: LoopDelay) -> None:
        self.delay = delay
        self.rate = math.inf
        self.budget = 0.0
        self.filled_s = self.decided_s = -math.inf
        self.accepted = self.arrived = 0
        self.starting = self.in_progress = 0
        self.logged_s = -math.inf
        self.closed_since_log = 0
        self.decide = ACCEPT_RULES[ACCEPT_RULE]
        self.sampled = trio.lowlevel.ParkingLot()
        delay.on_sample = self.update

    @property
    def is_limited(self) -> bool:
        """Whether the node is overloaded, and closes some connections unread."""
        return not math.isinf(self.rate)

    async def wait_turn(self) -> None:
        """Wait for the next sample of the delay while the node is overloaded.

        To wake up for each connection costs more than to close it.
        """
        if self.is_limited:
            await self.sampled.park()

    def may_accept(self) -> bool:
        """Decide on a new connection, and count it."""
        self.arrived += 1
        if self.is_limited and not (self.spend() or self.has_room()):
            self.closed_since_log += 1
            CLOSED.add()
            return False
        self.accepted += 1
        self.starting += 1
        return True

    def has_room(self) -> bool:
        """Return whether few of the connections under the limit are in progress."""
        return self.starting + self.in_progress < MIN_IN_PROGRESS

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count an accepted connection as in progress while the block runs."""
        self.starting -= 1
        if not self.is_limited:
            yield
            return
        self.in_progress += 1
        try:
            yield
        finally:
            self.in_progress -= 1

    def spend(self) -> bool:
        """Take one connection off the budget, if it is left."""
        now_s = trio.current_time()
        most = max(1.0, self.rate * BURST_S)
        self.budget = min(most, self.budget + self.rate * (now_s - self.filled_s))
        self.filled_s = now_s
        if self.budget < 1.0:
            return False
        self.budget -= 1.0
        return True

    def update(self) -> None:
        """Decide on the rate again, if it is time."""
        self.sampled.unpark_all()
        now_s = trio.current_time()
        passed_s = now_s - self.decided_s
        if passed_s < DECISION_INTERVAL_S:
            return
        delay_s = self.delay.delay_s
        inputs = AcceptInput(
            delay_s, self.rate, self.accepted / passed_s, self.arrived / passed_s
        )
        was_limited = self.is_limited
        self.rate = self.decide(inputs)
        self.decided_s = now_s
        self.accepted = self.arrived = 0
        DELAY.set(delay_s)
        if self.is_limited and not was_limited:
            self.budget, self.filled_s = 0.0, now_s
        self.log_decision(inputs, was_limited, now_s)

    def log_decision(
        self, inputs: AcceptInput, was_limited: bool, now_s: float
    ) -> None:
        """Log the begin and the end of a limit, and each second of it."""
        is_due = now_s - self.logged_s >= LOG_INTERVAL_S
        if not (was_limited or self.is_limited):
            return
        if was_limited == self.is_limited and not is_due:
            return
        self.logged_s = now_s
        log.warning(
            "new connections limited: this node is overloaded"
            if self.is_limited
            else "new connections not limited any more",
            delay_s=round(inputs.delay_s, 3),
            rate=round(self.rate, 1) if self.is_limited else None,
            arrived_per_s=round(inputs.arrived, 1),
            accepted_per_s=round(inputs.accepted, 1),
            closed_unread=self.closed_since_log,
        )
        self.closed_since_log = 0
