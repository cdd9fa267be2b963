"""Start-time fair queueing between the customers of one service."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.request.admission import decrement
from rosemaryknot.values.outcomes import NotRun, Reason

__all__ = ["FREE_STARTS", "MAX_WAITING", "Place", "ServiceQueue"]

FREE_STARTS = 2
MAX_WAITING = 512
MAX_WAIT_S = 30.0
HOLD_WEIGHT = 0.1
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0

waiting_now = gauge("engine_queue_waiting", "Model requests that wait here.")
refused = counter("engine_queue_refused_total", "Model requests refused, by reason.")


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for its turn."""

    customer: str
    cost: float
    event: trio.Event = field(default_factory=trio.Event)
    place: "Place | None" = None


@dataclass(slots=True)
class Backlog:
    """Waiting requests of one customer, short ones first.

    Attributes
    ----------
    tag : float
        Virtual time at which its next request is due.
    short, long : deque of Waiter
        In the order of their arrival.
    """

    tag: float = 0.0
    short: deque[Waiter] = field(default_factory=deque)
    long: deque[Waiter] = field(default_factory=deque)

    def __len__(self) -> int:
        return len(self.short) + len(self.long)

    def next(self) -> Waiter:
        """Return the request that is next."""
        return (self.short or self.long)[0]

    def newest(self) -> Waiter:
        """Return the request that comes last."""
        return (self.long or self.short)[-1]

    def remove(self, waiter: Waiter) -> bool:
        """Take a request out; False where it does not stand here."""
        for queue in (self.short, self.long):
            if waiter in queue:
                queue.remove(waiter)
                return True
        return False


@dataclass(slots=True, eq=False)
class Place:
    """The right of one request to be at an engine, given back by `leave`.

    Attributes
    ----------
    queue : ServiceQueue
        Where it came from.
    customer : str
        Whose request it is.
    rank : int
        How much of the engines the customer had when it started: 0 with nothing
        there, one more for each doubling, and one more where it had to wait.
    started_s : float
        When that was, in trio time.
    is_held : bool
        Whether it is still to be given back.
    """

    queue: "ServiceQueue"
    customer: str
    rank: int
    started_s: float
    is_held: bool = True

    def leave(self) -> None:
        """Give the place back; a second call does nothing."""
        if self.is_held:
            self.is_held = False
            self.queue.give_back(self)


class ServiceQueue:
    """Start-time fair queueing between the customers of one service.

    Each customer has a tag in virtual time that rises by the cost of what it starts;
    the lowest tag goes first. One who sends ten times as much gets ahead of nobody,
    and one who was idle saves nothing up.

    Parameters
    ----------
    capacity : callable
        Returns how many requests this entry may have at the engines now.

    Attributes
    ----------
    running : Counter of str
        Requests at engines, by customer.
    running_count, waiting_count : int
        Requests at engines and waiting, of all customers.
    backlogs : dict of str to Backlog
        Waiting requests, by customer.
    tags : dict of str to float
        Virtual time of the customers that have requests here.
    virtual_time : float
        Tag of the request that started last.
    mean_hold_s : float
        Moving mean of the time at an engine.
    """

    def __init__(self, capacity: Callable[[], float]) -> None:
        self.capacity = capacity
        self.running: Counter[str] = Counter()
        self.running_count = 0
        self.waiting_count = 0
        self.backlogs: dict[str, Backlog] = {}
        self.tags: dict[str, float] = {}
        self.virtual_time = 0.0
        self.mean_hold_s = 0.0

    async def enter(
        self, customer: str, cost: float, is_short: bool, deadline_s: float
    ) -> Place | NotRun:
        """Wait for a place; see `EngineQueue.enter`."""
        if self.may_start(customer):
            return self.start(customer, cost)
        left_s = deadline_s - trio.current_time()
        wait_s = self.expected_wait_s(customer)
        if wait_s > left_s:
            detail = "the deadline would pass while waiting for an engine"
            return self.refuse(Reason.DEADLINE_TOO_SHORT, detail)
        if not self.make_room(customer):
            return self.overloaded()
        return await self.wait(customer, cost, is_short, min(left_s, MAX_WAIT_S))

    def may_start(self, customer: str) -> bool:
        """Tell whether a request may start ahead of those that wait.

        A customer with little at the engines always may: its requests run before a
        flood there by their priority, so waiting here for a place that the flood
        holds would gain nothing.
        """
        if customer in self.backlogs:
            return False
        if self.running[customer] < FREE_STARTS:
            return True
        return not self.backlogs and self.running_count < self.capacity()

    def start(self, customer: str, cost: float, has_waited: bool = False) -> Place:
        """Hand out a place.

        A customer whose requests wait here has more than its part. At each entry its
        first ones would else rank as high as another customer's only one, and those
        of all entries together fill the slots of an engine.
        """
        tag = max(self.virtual_time, self.tags.get(customer, 0.0))
        self.tags[customer] = tag + cost
        rank = self.running[customer].bit_length() + has_waited
        self.running[customer] += 1
        self.running_count += 1
        return Place(self, customer, rank, trio.current_time())

    def give_back(self, place: Place) -> None:
        """Take a place back and start those whose turn it is."""
        held_s = trio.current_time() - place.started_s
        self.mean_hold_s += HOLD_WEIGHT * (held_s - self.mean_hold_s)
        self.running_count -= 1
        decrement(self.running, place.customer)
        self.start_waiting()
        if not self.running_count and not self.backlogs:
            self.tags.clear()
            self.virtual_time = 0.0

    def start_waiting(self) -> None:
        """Start waiting requests in the order of their tags, while there is room."""
        while self.backlogs:
            customer = min(self.backlogs, key=lambda name: self.backlogs[name].tag)
            few = [c for c in self.backlogs if self.running[c] < FREE_STARTS]
            if self.running_count >= self.capacity():
                if not few:
                    return
                customer = min(few, key=lambda name: self.backlogs[name].tag)
            waiter = self.backlogs[customer].next()
            self.virtual_time = max(self.virtual_time, self.backlogs[customer].tag)
            waiter.place = self.start(customer, waiter.cost, has_waited=True)
            self.forget(waiter)
            waiter.event.set()

    async def wait(
        self, customer: str, cost: float, is_short: bool, bound_s: float
    ) -> Place | NotRun:
        """Wait for the turn within a bound."""
        waiter = Waiter(customer, cost)
        if customer not in self.backlogs:
            tag = max(self.virtual_time, self.tags.get(customer, 0.0))
            self.backlogs[customer] = Backlog(tag)
        backlog = self.backlogs[customer]
        (backlog.short if is_short else backlog.long).append(waiter)
        self.note_waiting(1)
        try:
            with trio.move_on_after(bound_s):
                await waiter.event.wait()
        except trio.Cancelled:
            if waiter.place is not None:
                waiter.place.leave()
            raise
        finally:
            self.forget(waiter)
        return self.overloaded() if waiter.place is None else waiter.place

    def make_room(self, customer: str) -> bool:
        """Tell whether a request may wait.

        When the queue is full, the newest request of the customer with the longest
        queue is refused, so that a flood pushes out its own requests only.
        """
        if self.waiting_count < MAX_WAITING:
            return True
        longest = max(self.backlogs, key=lambda name: len(self.backlogs[name]))
        own = len(self.backlogs[customer]) if customer in self.backlogs else 0
        if len(self.backlogs[longest]) <= own + 1:
            return False
        newest = self.backlogs[longest].newest()
        self.forget(newest)
        newest.event.set()
        return True

    def forget(self, waiter: Waiter) -> None:
        """Take a waiter out, if it still stands here."""
        backlog = self.backlogs.get(waiter.customer)
        if backlog is None or not backlog.remove(waiter):
            return
        self.note_waiting(-1)
        if backlog:
            backlog.tag = max(backlog.tag, self.tags.get(waiter.customer, 0.0))
        else:
            del self.backlogs[waiter.customer]

    def note_waiting(self, change: int) -> None:
        """Count the waiting requests."""
        self.waiting_count += change
        waiting_now.add(change)

    def expected_wait_s(self, customer: str) -> float:
        """Return how long the customer's next request may have to wait.

        Each customer that waits gets its turn, so a request waits for those ahead
        of it in its own queue, once for each such customer.
        """
        own = len(self.backlogs[customer]) if customer in self.backlogs else 0
        others = sum(
            min(len(backlog), own + 1)
            for name, backlog in self.backlogs.items()
            if name != customer
        )
        places = max(1.0, self.capacity())
        return self.mean_hold_s * (own + others + 1) / places

    def give_up(self) -> None:
        """Refuse all that wait."""
        for backlog in list(self.backlogs.values()):
            for waiter in [*backlog.short, *backlog.long]:
                self.forget(waiter)
                waiter.event.set()

    def overloaded(self) -> NotRun:
        """Return the refusal of a request that there is no room for."""
        return self.refuse(Reason.OVERLOADED, "all engines of this service are busy")

    def refuse(self, reason: Reason, detail: str) -> NotRun:
        """Return a refusal with when to come back."""
        refused.add(reason=str(reason))
        wait_s = self.mean_hold_s * (self.waiting_count + 1)
        wait_s /= max(1.0, self.capacity())
        retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
        return NotRun(reason, round(retry_s, 1), detail)
