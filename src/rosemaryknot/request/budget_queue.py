"""Requests of one account that wait for tokens, first come first served."""

from collections import deque
from dataclasses import dataclass, field

import trio

from rosemaryknot.process.limits.budget import BURST_S
from rosemaryknot.process.metrics import gauge

__all__ = ["MAX_WAITING", "BudgetQueue", "Lack", "Waiter"]

MAX_WAITING = 64

waiting_now = gauge("budget_waiting", "Requests that wait here for tokens.")


@dataclass(slots=True, frozen=True)
class Lack:
    """What a request lacks.

    Attributes
    ----------
    wait_s : float
        When it will be there, in seconds.
    is_by_slots : bool
        Whether slots are missing.
    is_guess : bool
        Whether nobody can tell the time, as when a slot must be given back.
    """

    wait_s: float
    is_by_slots: bool = False
    is_guess: bool = False


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits.

    Attributes
    ----------
    tokens : float
        Tokens that it may use.
    until_s : float
        How long it may wait, in trio time.
    is_next : trio.Event
        Set when it is at the head, or is refused.
    lack : Lack or None
        Why it may not wait on.
    """

    tokens: float
    until_s: float
    is_next: trio.Event = field(default_factory=trio.Event)
    lack: Lack | None = None


class BudgetQueue:
    """Waiting requests of one account, in the order of their arrival.

    Only the head asks the owner. Nothing that came later is charged before it: a
    customer's small requests would else take what its large one waits for.

    Attributes
    ----------
    waiters : deque of Waiter
        The head first.
    due_s : float
        When the head is due, in trio time.
    """

    __slots__ = ("waiters", "due_s")

    def __init__(self) -> None:
        self.waiters: deque[Waiter] = deque()
        self.due_s = 0.0

    def __len__(self) -> int:
        return len(self.waiters)

    def lack_behind(self, tokens: float, rate: float) -> Lack:
        """Return when a request that comes now would be due.

        Parameters
        ----------
        tokens : float
            Tokens that it may use.
        rate : float
            Tokens a second of the zone.
        """
        ahead = sum(waiter.tokens for waiter in self.waiters)
        return Lack(self.wait_s(tokens, ahead, rate))

    def wait_s(self, tokens: float, ahead: float, rate: float) -> float:
        """Return the time until a request is due that has others before it."""
        burst = rate * BURST_S
        first = min(self.waiters[0].tokens, burst)
        missing = ahead + min(tokens, burst) - first
        return max(0.0, self.due_s - trio.current_time()) + missing / rate

    def join(self, tokens: float, until_s: float) -> Waiter:
        """Let a request wait; it leaves by `leave`."""
        waiter = Waiter(tokens, until_s)
        self.waiters.append(waiter)
        waiting_now.add(1)
        self.call_next()
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Take a request out, if it still stands here."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            waiting_now.add(-1)
            self.call_next()

    def call_next(self) -> None:
        """Wake the request at the head."""
        if self.waiters:
            self.waiters[0].is_next.set()

    def note_due(self, wait_s: float, rate: float) -> None:
        """Note when the head is due, and refuse those that cannot wait as long."""
        now_s = trio.current_time()
        self.due_s = now_s + wait_s
        ahead = 0.0
        for waiter in list(self.waiters):
            due_in_s = self.wait_s(waiter.tokens, ahead, rate)
            if ahead and now_s + due_in_s > waiter.until_s:
                waiter.lack = Lack(due_in_s)
                self.leave(waiter)
                waiter.is_next.set()
            else:
                ahead += waiter.tokens
