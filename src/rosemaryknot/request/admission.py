"""Which requests may start: bounded, fair between customers, deadline-aware."""

import math
from collections import Counter, deque
from dataclasses import dataclass, field

import trio

from rosemaryknot.values.outcomes import NotRun, Reason

__all__ = ["Admission", "AdmissionLimits", "Slot"]

HOLD_WEIGHT = 0.1
SHARE_OF_FREE = 4
LIMIT_RETRY_S = 1.0
MAX_RETRY_S = 30.0


@dataclass(slots=True, frozen=True)
class AdmissionLimits:
    """Bounds of one admission.

    Attributes
    ----------
    max_in_flight : int
        Requests that may hold a slot at once.
    max_waiting : int
        Requests that may wait for a slot.
    max_wait_s : float
        Longest wait for a slot, in seconds.
    """

    max_in_flight: int = 1024
    max_waiting: int = 256
    max_wait_s: float = 2.0


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a slot."""

    customer: str
    service: str
    event: trio.Event = field(default_factory=trio.Event)
    slot: "Slot | None" = None


class Slot:
    """The right of one request to be in flight, given back by `release`.

    Parameters
    ----------
    admission : Admission
        Where it came from.
    customer, service : str
        Whose request it is, and for which service.

    Attributes
    ----------
    charge : Charge or None
        What the request was charged, settled with the release.
    place : Place or None
        Its place at the engines, left with the release.
    """

    __slots__ = (
        "admission",
        "customer",
        "service",
        "started_s",
        "is_held",
        "charge",
        "place",
    )

    def __init__(self, admission: "Admission", customer: str, service: str) -> None:
        self.admission = admission
        self.customer = customer
        self.service = service
        self.started_s = trio.current_time()
        self.is_held = True
        self.charge = None
        self.place = None

    def release(self) -> None:
        """Give the slot back with all that it holds; a second call does nothing.

        A charge that was not settled before is of a request that did not run.
        """
        if self.is_held:
            self.is_held = False
            if self.charge is not None:
                self.charge.settle(0.0)
            if self.place is not None:
                self.place.leave()
            self.admission.give_back(self)


class Admission:
    """Hands out slots for requests in flight.

    A customer may take a slot only while it holds fewer than `SHARE_OF_FREE` times
    the free ones. One customer alone can so fill four fifths, and there is always
    room for another one's first request: a flood does not wait in front of it.

    Parameters
    ----------
    limits : AdmissionLimits
        Bounds.

    Attributes
    ----------
    in_flight : int
        Slots held.
    waiting_count : int
        Requests that wait.
    held : Counter of str
        Slots held, by customer.
    present : Counter of tuple of (str, str)
        Requests in flight or waiting, by customer and service.
    mean_hold_s : float
        Moving mean of how long a slot is held.
    """

    def __init__(self, limits: AdmissionLimits) -> None:
        self.limits = limits
        self.in_flight = 0
        self.waiting_count = 0
        self.mean_hold_s = 0.0
        self.held: Counter[str] = Counter()
        self.present: Counter[tuple[str, str]] = Counter()
        self.waiting: dict[str, deque[Waiter]] = {}

    async def admit(
        self, customer: str, service: str, concurrent: float, deadline_s: float
    ) -> Slot | NotRun:
        """Return a slot, or why the request is refused.

        Parameters
        ----------
        customer, service : str
            Whose request it is, and for which service.
        concurrent : float
            Requests that the customer may have at the service at once.
        deadline_s : float
            When the caller gives the request up, in trio time.

        Returns
        -------
        slot : Slot or NotRun
            The slot, to be released; or the refusal with when to come back.
        """
        if self.present[customer, service] >= concurrent:
            return self.limit_reached(concurrent)
        if self.may_start(customer) and not self.waiting.get(customer):
            return self.take(customer, service)
        left_s = deadline_s - trio.current_time()
        if self.expected_wait_s() > left_s:
            return NotRun(
                Reason.DEADLINE_TOO_SHORT,
                self.retry_after_s(),
                "the deadline would pass while waiting to start",
            )
        if not self.make_room(customer):
            return self.overloaded()
        return await self.wait(customer, service, min(left_s, self.limits.max_wait_s))

    def assign(self, slot: "Slot", service: str, concurrent: float) -> NotRun | None:
        """Count a slot under the service that its request turned out to be for.

        Parameters
        ----------
        slot : Slot
            A slot that was admitted without a service.
        service : str
            The service.
        concurrent : float
            Requests that the customer may have there at once.

        Returns
        -------
        refusal : NotRun or None
            Why the request may not go on; the slot is not released.
        """
        if self.present[slot.customer, service] >= concurrent:
            return self.limit_reached(concurrent)
        decrement(self.present, (slot.customer, slot.service))
        slot.service = service
        self.present[slot.customer, service] += 1
        return None

    def may_start(self, customer: str) -> bool:
        """Tell whether the customer may take a slot now."""
        free = self.limits.max_in_flight - self.in_flight
        return free > 0 and self.held[customer] < SHARE_OF_FREE * free

    def take(self, customer: str, service: str) -> Slot:
        """Hand out a slot."""
        self.in_flight += 1
        self.held[customer] += 1
        self.present[customer, service] += 1
        return Slot(self, customer, service)

    def give_back(self, slot: Slot) -> None:
        """Take a slot back and start those that may start now."""
        held_s = trio.current_time() - slot.started_s
        self.mean_hold_s += HOLD_WEIGHT * (held_s - self.mean_hold_s)
        self.in_flight -= 1
        decrement(self.held, slot.customer)
        decrement(self.present, (slot.customer, slot.service))
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start the waiting requests of those who hold least, while there is room."""
        while self.waiting:
            customer = min(self.waiting, key=lambda name: self.held[name])
            if not self.may_start(customer):
                return
            waiter = self.waiting[customer][0]
            self.forget(waiter)
            waiter.slot = self.take(customer, waiter.service)
            waiter.event.set()

    async def wait(self, customer: str, service: str, bound_s: float) -> Slot | NotRun:
        """Wait for a slot within a bound."""
        waiter = Waiter(customer, service)
        self.waiting.setdefault(customer, deque()).append(waiter)
        self.waiting_count += 1
        self.present[customer, service] += 1
        try:
            with trio.move_on_after(bound_s):
                await waiter.event.wait()
        except trio.Cancelled:
            if waiter.slot is not None:
                waiter.slot.release()
            raise
        finally:
            self.forget(waiter)
        if waiter.slot is None:
            return self.overloaded()
        return waiter.slot

    def make_room(self, customer: str) -> bool:
        """Tell whether the customer's request may wait.

        When the queue is full, the newest request of the customer with the longest
        queue is refused, so that a flood pushes out its own requests only.
        """
        if self.waiting_count < self.limits.max_waiting:
            return True
        if not self.waiting:
            return False
        longest = max(self.waiting, key=lambda name: len(self.waiting[name]))
        if len(self.waiting[longest]) <= len(self.waiting.get(customer, ())) + 1:
            return False
        newest = self.waiting[longest][-1]
        self.forget(newest)
        newest.event.set()
        return True

    def forget(self, waiter: Waiter) -> None:
        """Take a waiter out of the queue, if it still stands there."""
        queue = self.waiting.get(waiter.customer)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        self.waiting_count -= 1
        decrement(self.present, (waiter.customer, waiter.service))
        if not queue:
            del self.waiting[waiter.customer]

    def expected_wait_s(self) -> float:
        """Return how long a request that starts to wait now may have to wait."""
        places = max(1, self.limits.max_in_flight)
        return self.mean_hold_s * (self.waiting_count + 1) / places

    def retry_after_s(self) -> float:
        """Return when to come back, in seconds."""
        return min(MAX_RETRY_S, max(LIMIT_RETRY_S, self.expected_wait_s()))

    def limit_reached(self, concurrent: float) -> NotRun:
        """Return the refusal of a request beyond the customer's limit."""
        detail = f"the limit of {concurrent:g} concurrent requests is reached"
        return NotRun(Reason.LIMIT_REACHED, self.retry_after_s(), detail)

    def overloaded(self) -> NotRun:
        """Return the refusal of a request that there is no room for."""
        return NotRun(
            Reason.OVERLOADED,
            math.ceil(self.retry_after_s()),
            "too many requests are in flight",
        )


def decrement(counter: Counter, key: str | tuple[str, str]) -> None:
    """Count down, and drop the key at zero to bound the memory."""
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
