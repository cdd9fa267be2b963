"""Admission control: bounded, fair between customers and deadline-aware."""

import math
from collections import Counter, deque
from dataclasses import dataclass, field

import trio

from rosemaryknot.values.outcomes import NotRun, Reason

__all__ = ["Admission", "AdmissionLimits", "Slot"]

# Weight of the newest value in the moving mean of hold times.
HOLD_TIME_WEIGHT = 0.1
# See `Admission`: one customer alone can hold at most four fifths of the slots.
MAX_HELD_PER_FREE_SLOT = 4
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


@dataclass(slots=True, frozen=True)
class AdmissionLimits:
    """Limits of an `Admission`.

    Attributes
    ----------
    max_in_flight : int
        Maximum number of requests that hold a slot.
    max_waiting : int
        Maximum number of requests that wait for a slot.
    max_wait_s : float
        Maximum wait for a slot, in seconds.
    """

    max_in_flight: int = 1024
    max_waiting: int = 256
    max_wait_s: float = 2.0


@dataclass(slots=True, eq=False)
class Waiter:
    """Request that waits for a slot."""

    customer: str
    service: str
    event: trio.Event = field(default_factory=trio.Event)
    slot: "Slot | None" = None


class Slot:
    """Permission of one request to be in flight, until `release` is called.

    Parameters
    ----------
    admission : Admission
        Admission that issued the slot.
    customer, service : str
        Customer that sent the request, and the requested service.

    Attributes
    ----------
    charge : Charge or None
        Charge of the request, settled on release.
    permit : EnginePermit or None
        Engine permit of the request, released with the slot.
    """

    __slots__ = (
        "admission",
        "customer",
        "service",
        "started_s",
        "is_held",
        "charge",
        "permit",
    )

    def __init__(self, admission: "Admission", customer: str, service: str) -> None:
        self.admission = admission
        self.customer = customer
        self.service = service
        self.started_s = trio.current_time()
        self.is_held = True
        self.charge = None
        self.permit = None

    def release(self) -> None:
        """Release the slot, its charge and its engine permit; idempotent.

        A charge that has not been settled by then belongs to a request that did not
        run, so it is settled with 0 tokens.
        """
        if self.is_held:
            self.is_held = False
            if self.charge is not None:
                self.charge.settle(0.0)
            if self.permit is not None:
                self.permit.release()
            self.admission.release(self)


class Admission:
    """Admission control that issues slots for requests in flight.

    A customer may acquire a slot only while it holds fewer than
    `MAX_HELD_PER_FREE_SLOT` times the number of free slots. One customer alone can
    therefore hold at most four fifths of the slots, and the first request of another
    customer always finds a free one, even if one customer floods the service.

    Parameters
    ----------
    limits : AdmissionLimits
        Limits on slots and waiting requests.

    Attributes
    ----------
    in_flight : int
        Number of slots held.
    waiting_count : int
        Number of waiting requests.
    held : Counter of str
        Slots held, by customer.
    in_flight_or_waiting : Counter of tuple of (str, str)
        Requests in flight or waiting, by customer and service.
    mean_hold_s : float
        Moving mean of the time for which a slot is held, in seconds.
    """

    def __init__(self, limits: AdmissionLimits) -> None:
        self.limits = limits
        self.in_flight = 0
        self.waiting_count = 0
        self.mean_hold_s = 0.0
        self.held: Counter[str] = Counter()
        self.in_flight_or_waiting: Counter[tuple[str, str]] = Counter()
        self.waiting: dict[str, deque[Waiter]] = {}

    async def admit(
        self, customer: str, service: str, max_concurrent: float, deadline_s: float
    ) -> Slot | NotRun:
        """Return a slot, possibly after a wait, or a refusal.

        Parameters
        ----------
        customer, service : str
            Customer that sent the request, and the requested service.
        max_concurrent : float
            Maximum number of concurrent requests of the customer at the service.
        deadline_s : float
            Deadline of the request, in trio time.

        Returns
        -------
        slot : Slot or NotRun
            The slot, which the caller must release; or the refusal with the time
            after which to retry.
        """
        if self.in_flight_or_waiting[customer, service] >= max_concurrent:
            return self.limit_reached(max_concurrent)
        if self.may_start(customer) and not self.waiting.get(customer):
            return self.acquire(customer, service)
        remaining_s = deadline_s - trio.current_time()
        if self.expected_wait_s() > remaining_s:
            return NotRun(
                Reason.DEADLINE_TOO_SHORT,
                self.retry_after_s(),
                "the deadline would pass while waiting to start",
            )
        if not self.ensure_queue_space(customer):
            return self.overloaded()
        return await self.wait(
            customer, service, min(remaining_s, self.limits.max_wait_s)
        )

    def assign(
        self, slot: "Slot", service: str, max_concurrent: float
    ) -> NotRun | None:
        """Assign a slot to a service once the service of its request is known.

        Parameters
        ----------
        slot : Slot
            Slot that was acquired without a service.
        service : str
            Service of the request.
        max_concurrent : float
            Maximum number of concurrent requests of the customer at the service.

        Returns
        -------
        refusal : NotRun or None
            Reason of a refusal; the slot is then not released.
        """
        if self.in_flight_or_waiting[slot.customer, service] >= max_concurrent:
            return self.limit_reached(max_concurrent)
        decrement(self.in_flight_or_waiting, (slot.customer, slot.service))
        slot.service = service
        self.in_flight_or_waiting[slot.customer, service] += 1
        return None

    def may_start(self, customer: str) -> bool:
        """Return whether the customer may acquire a slot now."""
        free = self.limits.max_in_flight - self.in_flight
        return free > 0 and self.held[customer] < MAX_HELD_PER_FREE_SLOT * free

    def acquire(self, customer: str, service: str) -> Slot:
        """Issue a slot."""
        self.in_flight += 1
        self.held[customer] += 1
        self.in_flight_or_waiting[customer, service] += 1
        return Slot(self, customer, service)

    def release(self, slot: Slot) -> None:
        """Release a slot and start waiting requests that may now start."""
        held_s = trio.current_time() - slot.started_s
        self.mean_hold_s += HOLD_TIME_WEIGHT * (held_s - self.mean_hold_s)
        self.in_flight -= 1
        decrement(self.held, slot.customer)
        decrement(self.in_flight_or_waiting, (slot.customer, slot.service))
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start waiting requests while there are free slots.

        Requests of the customer that holds the fewest slots start first.
        """
        while self.waiting:
            customer = min(self.waiting, key=lambda name: self.held[name])
            if not self.may_start(customer):
                return
            waiter = self.waiting[customer][0]
            self.remove_waiter(waiter)
            waiter.slot = self.acquire(customer, waiter.service)
            waiter.event.set()

    async def wait(
        self, customer: str, service: str, timeout_s: float
    ) -> Slot | NotRun:
        """Wait for a slot until a timeout."""
        waiter = Waiter(customer, service)
        self.waiting.setdefault(customer, deque()).append(waiter)
        self.waiting_count += 1
        self.in_flight_or_waiting[customer, service] += 1
        try:
            with trio.move_on_after(timeout_s):
                await waiter.event.wait()
        except trio.Cancelled:
            if waiter.slot is not None:
                waiter.slot.release()
            raise
        finally:
            self.remove_waiter(waiter)
        if waiter.slot is None:
            return self.overloaded()
        return waiter.slot

    def ensure_queue_space(self, customer: str) -> bool:
        """Make space in the queue; return whether the customer's request may wait.

        If the queue is full, the newest request of the customer with the longest
        queue is refused, so that a customer who floods the queue evicts only its own
        requests.
        """
        if self.waiting_count < self.limits.max_waiting:
            return True
        if not self.waiting:
            return False
        longest = max(self.waiting, key=lambda name: len(self.waiting[name]))
        if len(self.waiting[longest]) <= len(self.waiting.get(customer, ())) + 1:
            return False
        newest = self.waiting[longest][-1]
        self.remove_waiter(newest)
        newest.event.set()
        return True

    def remove_waiter(self, waiter: Waiter) -> None:
        """Remove a waiter from the queue if it is still queued."""
        queue = self.waiting.get(waiter.customer)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        self.waiting_count -= 1
        decrement(self.in_flight_or_waiting, (waiter.customer, waiter.service))
        if not queue:
            del self.waiting[waiter.customer]

    def expected_wait_s(self) -> float:
        """Return the expected wait of a request that is queued now, in seconds."""
        slots = max(1, self.limits.max_in_flight)
        return self.mean_hold_s * (self.waiting_count + 1) / slots

    def retry_after_s(self) -> float:
        """Return the time after which to retry, in seconds."""
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, self.expected_wait_s()))

    def limit_reached(self, max_concurrent: float) -> NotRun:
        """Return the refusal of a request that exceeds the customer's limit."""
        detail = f"the limit of {max_concurrent:g} concurrent requests is reached"
        return NotRun(Reason.LIMIT_REACHED, self.retry_after_s(), detail)

    def overloaded(self) -> NotRun:
        """Return the refusal of a request for which there is no capacity."""
        return NotRun(
            Reason.OVERLOADED,
            math.ceil(self.retry_after_s()),
            "too many requests are in flight",
        )


def decrement(counter: Counter, key: str | tuple[str, str]) -> None:
    """Decrement a count, and delete the key at zero to bound the memory."""
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
