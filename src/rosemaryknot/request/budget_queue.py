"""Queue of one account's requests that wait for tokens, first come, first served."""

from collections import deque
from dataclasses import dataclass, field

import trio

from rosemaryknot.process.limits.budget import BURST_S
from rosemaryknot.process.metrics import gauge

__all__ = ["MAX_WAITING", "BudgetQueue", "Shortfall", "Waiter"]

MAX_WAITING = 64

waiting_now = gauge("budget_waiting", "Requests that wait here for tokens.")


@dataclass(slots=True, frozen=True)
class Shortfall:
    """Tokens or slots that a request lacks.

    Attributes
    ----------
    wait_s : float
        Time until they are available, in seconds.
    is_slot_shortfall : bool
        Whether slots are missing, and not tokens.
    is_estimate : bool
        Whether ``wait_s`` is only an estimate, for example because another request
        must first release its slot.
    """

    wait_s: float
    is_slot_shortfall: bool = False
    is_estimate: bool = False


@dataclass(slots=True, eq=False)
class Waiter:
    """Request that waits for tokens.

    Attributes
    ----------
    tokens : float
        Maximum number of tokens of the request.
    deadline_s : float
        End of its maximum wait, in trio time.
    is_next : trio.Event
        Set when the request becomes the head of the queue or is refused.
    shortfall : Shortfall or None
        Reason of the refusal.
    """

    tokens: float
    deadline_s: float
    is_next: trio.Event = field(default_factory=trio.Event)
    shortfall: Shortfall | None = None


class BudgetQueue:
    """Waiting requests of one account, in the order of their arrival.

    Budget is requested from the owner for the head only. No later request is charged
    before it, as a customer's small requests would otherwise use the tokens for which
    its large request waits.

    Attributes
    ----------
    waiters : deque of Waiter
        Waiting requests, the head first.
    head_due_s : float
        Time at which the head can be charged, in trio time.
    """

    __slots__ = ("waiters", "head_due_s")

    def __init__(self) -> None:
        self.waiters: deque[Waiter] = deque()
        self.head_due_s = 0.0

    def __len__(self) -> int:
        return len(self.waiters)

    def shortfall_behind(self, tokens: float, rate: float) -> Shortfall:
        """Return the shortfall of a request that arrives now.

        Parameters
        ----------
        tokens : float
            Maximum number of tokens of the request.
        rate : float
            Tokens per second that the zone gets.
        """
        ahead = sum(waiter.tokens for waiter in self.waiters)
        return Shortfall(self.wait_s(tokens, ahead, rate))

    def wait_s(self, tokens: float, ahead: float, rate: float) -> float:
        """Return the time until a request with others ahead of it can be charged."""
        burst = rate * BURST_S
        first = min(self.waiters[0].tokens, burst)
        missing = ahead + min(tokens, burst) - first
        return max(0.0, self.head_due_s - trio.current_time()) + missing / rate

    def enqueue(self, tokens: float, deadline_s: float) -> Waiter:
        """Append a request, which must be removed with `remove`."""
        waiter = Waiter(tokens, deadline_s)
        self.waiters.append(waiter)
        waiting_now.add(1)
        self.wake_head()
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request if it is still queued."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            waiting_now.add(-1)
            self.wake_head()

    def wake_head(self) -> None:
        """Wake the request at the head of the queue."""
        if self.waiters:
            self.waiters[0].is_next.set()

    def update_due(self, wait_s: float, rate: float) -> None:
        """Record when the head can be charged; refuse requests that cannot wait."""
        now_s = trio.current_time()
        self.head_due_s = now_s + wait_s
        ahead = 0.0
        for waiter in list(self.waiters):
            due_in_s = self.wait_s(waiter.tokens, ahead, rate)
            if ahead and now_s + due_in_s > waiter.deadline_s:
                waiter.shortfall = Shortfall(due_in_s)
                self.remove(waiter)
                waiter.is_next.set()
            else:
                ahead += waiter.tokens
