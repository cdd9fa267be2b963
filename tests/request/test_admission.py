"""Tests of admission control, in virtual time."""

import pytest
import trio

from rosemaryknot.request.admission import Admission, AdmissionLimits, Slot
from rosemaryknot.values.outcomes import NotRun, Reason

INF = float("inf")


async def fill(admission, customer, count):
    """Admit requests until the customer would have to wait; return the slots."""
    slots = []
    while len(slots) < count and admission.may_start(customer):
        slots.append(await admission.admit(customer, "s", INF, INF))
    return slots


class TestAdmission:
    async def test_one_customer_cannot_hold_all_slots(self, autojump_clock):
        """One customer sends more requests than there are slots.

        It acquires four fifths of them; the first request of another customer starts
        immediately.
        """
        admission = Admission(AdmissionLimits(max_in_flight=100))
        slots = await fill(admission, "flood", 1000)
        assert len(slots) == 80
        before_s = trio.current_time()
        assert isinstance(await admission.admit("small", "s", INF, INF), Slot)
        assert trio.current_time() == before_s

    async def test_free_slot_goes_to_customer_with_fewest(
        self, nursery, autojump_clock
    ):
        admission = Admission(AdmissionLimits(max_in_flight=3, max_wait_s=10.0))
        slots = [admission.acquire("flood", "s") for _ in range(3)]
        started = []

        async def request(customer):
            if isinstance(await admission.admit(customer, "s", INF, INF), Slot):
                started.append(customer)

        for customer in ("flood", "flood", "small"):
            nursery.start_soon(request, customer)
            await trio.sleep(0.1)
        slots[0].release()
        await trio.sleep(0.1)
        assert started == ["small"]

    async def test_full_queue_evicts_newest_of_longest_queue(
        self, nursery, autojump_clock
    ):
        limits = AdmissionLimits(max_in_flight=1, max_waiting=4, max_wait_s=10.0)
        admission = Admission(limits)
        await admission.admit("flood", "s", INF, INF)
        ends = {}

        async def request(name, customer):
            ends[name] = await admission.admit(customer, "s", INF, INF)

        for number in range(4):
            nursery.start_soon(request, f"f{number}", "flood")
            await trio.sleep(0.1)
        nursery.start_soon(request, "small", "small")
        await trio.sleep(0.1)
        assert list(ends) == ["f3"]
        assert ends["f3"].reason == Reason.OVERLOADED
        assert len(admission.waiting["small"]) == 1

    async def test_refuses_request_that_would_miss_its_deadline(self, autojump_clock):
        """The expected wait exceeds the deadline: the refusal is immediate."""
        admission = Admission(AdmissionLimits(max_in_flight=1))
        slot = await admission.admit("a", "s", INF, INF)
        await trio.sleep(60.0)
        slot.release()
        slot = await admission.admit("a", "s", INF, INF)
        refused = await admission.admit("b", "s", INF, trio.current_time() + 1.0)
        assert refused.reason == Reason.DEADLINE_TOO_SHORT
        assert refused.retry_after_s > 0

    async def test_wait_is_bounded(self, autojump_clock):
        admission = Admission(AdmissionLimits(max_in_flight=1, max_wait_s=2.0))
        await admission.admit("a", "s", INF, INF)
        refused = await admission.admit("b", "s", INF, INF)
        assert isinstance(refused, NotRun)
        assert trio.current_time() == pytest.approx(2.0)
        assert admission.waiting_count == 0

    async def test_customers_limit(self, autojump_clock):
        admission = Admission(AdmissionLimits())
        slots = [await admission.admit("a", "s", 2, INF) for _ in range(2)]
        refused = await admission.admit("a", "s", 2, INF)
        assert refused.reason == Reason.LIMIT_REACHED
        assert isinstance(await admission.admit("a", "other", 2, INF), Slot)
        slots[0].release()
        slots[0].release()
        assert isinstance(await admission.admit("a", "s", 2, INF), Slot)
        assert (await admission.admit("a", "s", 2, INF)).reason == Reason.LIMIT_REACHED

    async def test_cancelled_waiter_releases_its_slot(self, nursery, autojump_clock):
        """A caller disconnects at the moment at which its request gets the slot."""
        admission = Admission(AdmissionLimits(max_in_flight=1, max_wait_s=10.0))
        slot = await admission.admit("a", "s", INF, INF)
        scope = trio.CancelScope()

        async def request():
            with scope:
                await admission.admit("b", "s", INF, INF)

        nursery.start_soon(request)
        await trio.sleep(0.1)
        scope.cancel()
        slot.release()
        await trio.sleep(0.1)
        assert admission.in_flight == 0
        assert not admission.in_flight_or_waiting
        assert not admission.held
