"""Start-time fair queueing between the customers of one service."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.request.admission import decrement
from rosemaryknot.values.outcomes import NotRun, Reason

__all__ = ["GUARANTEED_CONCURRENCY", "MAX_WAITING", "EnginePermit", "ServiceQueue"]

# Requests that each customer may have at the engines even beyond the capacity.
GUARANTEED_CONCURRENCY = 2
MAX_WAITING = 512
MAX_WAIT_S = 30.0
# Weight of the newest value in the moving mean of hold times.
HOLD_TIME_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0

waiting_now = gauge("engine_queue_waiting", "Model requests that wait here.")
refused = counter("engine_queue_refused_total", "Model requests refused, by reason.")


@dataclass(slots=True, eq=False)
class Waiter:
    """Request that waits for a permit."""

    customer: str
    cost: float
    event: trio.Event = field(default_factory=trio.Event)
    permit: "EnginePermit | None" = None


@dataclass(slots=True)
class Backlog:
    """Waiting requests of one customer; those with short responses come first.

    Attributes
    ----------
    tag : float
        Start tag of its next request, in virtual time.
    short, long : deque of Waiter
        Requests with short and with long responses, in the order of arrival.
    """

    tag: float = 0.0
    short: deque[Waiter] = field(default_factory=deque)
    long: deque[Waiter] = field(default_factory=deque)

    def __len__(self) -> int:
        return len(self.short) + len(self.long)

    def next(self) -> Waiter:
        """Return the request that starts next."""
        return (self.short or self.long)[0]

    def newest(self) -> Waiter:
        """Return the request that starts last."""
        return (self.long or self.short)[-1]

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request; return False if it is not in the backlog."""
        for queue in (self.short, self.long):
            if waiter in queue:
                queue.remove(waiter)
                return True
        return False


@dataclass(slots=True, eq=False)
class EnginePermit:
    """Permission of one request to be at an engine, until `release` is called.

    Attributes
    ----------
    queue : ServiceQueue
        Queue that issued the permit.
    customer : str
        Customer that sent the request.
    usage_level : int
        Level of the customer's use of the engines when the request started: 0 if it
        had no requests there, one more for each doubling of their number, and one more
        if this request had to wait.
    started_s : float
        When the request started, in trio time.
    is_held : bool
        Whether the permit has not been released yet.
    """

    queue: "ServiceQueue"
    customer: str
    usage_level: int
    started_s: float
    is_held: bool = True

    def release(self) -> None:
        """Release the permit; idempotent."""
        if self.is_held:
            self.is_held = False
            self.queue.release(self)


class ServiceQueue:
    """Queue of one service, with start-time fair queueing between customers.

    Each customer has a start tag in virtual time that grows by the cost of each
    request that it starts; the customer with the lowest tag is served first. A
    customer that sends ten times as much as others gains no advantage, and an idle
    customer accumulates no credit.

    Parameters
    ----------
    capacity : callable
        Returns the number of requests that this entry may have at the engines now.

    Attributes
    ----------
    running : Counter of str
        Number of requests at the engines, by customer.
    running_count, waiting_count : int
        Number of requests at the engines, and of waiting requests, of all customers.
    backlogs : dict of str to Backlog
        Waiting requests, by customer.
    tags : dict of str to float
        Start tags by customer, of customers with requests here.
    virtual_time : float
        Tag of the request that started last.
    mean_hold_s : float
        Moving mean of the time for which a permit is held, in seconds.
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

    async def acquire(
        self, customer: str, cost: float, is_short: bool, deadline_s: float
    ) -> EnginePermit | NotRun:
        """Wait for a permit; see `EngineQueue.acquire`."""
        if self.may_start(customer):
            return self.start(customer, cost)
        remaining_s = deadline_s - trio.current_time()
        wait_s = self.expected_wait_s(customer)
        if wait_s > remaining_s:
            detail = "the deadline would pass while waiting for an engine"
            return self.refuse(Reason.DEADLINE_TOO_SHORT, detail)
        if not self.ensure_queue_space(customer):
            return self.overloaded()
        return await self.wait(customer, cost, is_short, min(remaining_s, MAX_WAIT_S))

    def may_start(self, customer: str) -> bool:
        """Return whether a request may start ahead of the waiting ones.

        A customer with fewer than `GUARANTEED_CONCURRENCY` requests at the engines
        always may. The engines run its requests before those of a customer that
        floods them, by priority, so that waiting here would gain nothing.
        """
        if customer in self.backlogs:
            return False
        if self.running[customer] < GUARANTEED_CONCURRENCY:
            return True
        return not self.backlogs and self.running_count < self.capacity()

    def start(
        self, customer: str, cost: float, has_waited: bool = False
    ) -> EnginePermit:
        """Issue a permit.

        A customer whose requests wait here already uses more than its share, so a
        request that waited gets a higher usage level. Otherwise the customer's first
        requests at each entry would have the same priority as the only request of
        another customer, and together they would fill the slots of an engine.
        """
        tag = max(self.virtual_time, self.tags.get(customer, 0.0))
        self.tags[customer] = tag + cost
        usage_level = self.running[customer].bit_length() + has_waited
        self.running[customer] += 1
        self.running_count += 1
        return EnginePermit(self, customer, usage_level, trio.current_time())

    def release(self, permit: EnginePermit) -> None:
        """Release a permit and start the waiting requests that are next."""
        held_s = trio.current_time() - permit.started_s
        self.mean_hold_s += HOLD_TIME_WEIGHT * (held_s - self.mean_hold_s)
        self.running_count -= 1
        decrement(self.running, permit.customer)
        self.start_waiting()
        if not self.running_count and not self.backlogs:
            self.tags.clear()
            self.virtual_time = 0.0

    def start_waiting(self) -> None:
        """Start waiting requests in the order of their tags, up to the capacity.

        Beyond the capacity only customers below `GUARANTEED_CONCURRENCY` start.
        """
        while self.backlogs:
            customer = min(self.backlogs, key=lambda name: self.backlogs[name].tag)
            below_guarantee = [
                c for c in self.backlogs if self.running[c] < GUARANTEED_CONCURRENCY
            ]
            if self.running_count >= self.capacity():
                if not below_guarantee:
                    return
                customer = min(
                    below_guarantee, key=lambda name: self.backlogs[name].tag
                )
            waiter = self.backlogs[customer].next()
            self.virtual_time = max(self.virtual_time, self.backlogs[customer].tag)
            waiter.permit = self.start(customer, waiter.cost, has_waited=True)
            self.remove_waiter(waiter)
            waiter.event.set()

    async def wait(
        self, customer: str, cost: float, is_short: bool, timeout_s: float
    ) -> EnginePermit | NotRun:
        """Wait for a permit until a timeout."""
        waiter = Waiter(customer, cost)
        if customer not in self.backlogs:
            tag = max(self.virtual_time, self.tags.get(customer, 0.0))
            self.backlogs[customer] = Backlog(tag)
        backlog = self.backlogs[customer]
        (backlog.short if is_short else backlog.long).append(waiter)
        self.change_waiting_count(1)
        try:
            with trio.move_on_after(timeout_s):
                await waiter.event.wait()
        except trio.Cancelled:
            if waiter.permit is not None:
                waiter.permit.release()
            raise
        finally:
            self.remove_waiter(waiter)
        return self.overloaded() if waiter.permit is None else waiter.permit

    def ensure_queue_space(self, customer: str) -> bool:
        """Make space in the queue; return whether a request may wait.

        If the queue is full, the newest request of the customer with the longest
        queue is refused, so that a customer who floods the queue evicts only its own
        requests.
        """
        if self.waiting_count < MAX_WAITING:
            return True
        longest = max(self.backlogs, key=lambda name: len(self.backlogs[name]))
        own = len(self.backlogs[customer]) if customer in self.backlogs else 0
        if len(self.backlogs[longest]) <= own + 1:
            return False
        newest = self.backlogs[longest].newest()
        self.remove_waiter(newest)
        newest.event.set()
        return True

    def remove_waiter(self, waiter: Waiter) -> None:
        """Remove a waiter if it is still queued."""
        backlog = self.backlogs.get(waiter.customer)
        if backlog is None or not backlog.remove(waiter):
            return
        self.change_waiting_count(-1)
        if backlog:
            backlog.tag = max(backlog.tag, self.tags.get(waiter.customer, 0.0))
        else:
            del self.backlogs[waiter.customer]

    def change_waiting_count(self, change: int) -> None:
        """Change the count of waiting requests, and its metric."""
        self.waiting_count += change
        waiting_now.add(change)

    def expected_wait_s(self, customer: str) -> float:
        """Return the expected wait of the customer's next request, in seconds.

        Customers are assumed to be served round-robin: a request waits for those
        ahead of it in its own queue and, for each other customer, for at most one
        more request than that.
        """
        own = len(self.backlogs[customer]) if customer in self.backlogs else 0
        others = sum(
            min(len(backlog), own + 1)
            for name, backlog in self.backlogs.items()
            if name != customer
        )
        capacity = max(1.0, self.capacity())
        return self.mean_hold_s * (own + others + 1) / capacity

    def refuse_all(self) -> None:
        """Refuse all waiting requests."""
        for backlog in list(self.backlogs.values()):
            for waiter in [*backlog.short, *backlog.long]:
                self.remove_waiter(waiter)
                waiter.event.set()

    def overloaded(self) -> NotRun:
        """Return the refusal of a request for which there is no capacity."""
        return self.refuse(Reason.OVERLOADED, "all engines of this service are busy")

    def refuse(self, reason: Reason, detail: str) -> NotRun:
        """Return a refusal with the time after which to retry."""
        refused.add(reason=str(reason))
        wait_s = self.mean_hold_s * (self.waiting_count + 1)
        wait_s /= max(1.0, self.capacity())
        retry_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return NotRun(reason, round(retry_s, 1), detail)
