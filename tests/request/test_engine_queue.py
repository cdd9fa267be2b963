"""Tests of fair queueing in front of the engines, in virtual time."""

import pytest
import trio

from rosemaryknot.process.server_load import LoadReport, ServerLoad
from rosemaryknot.request.admission import Admission, AdmissionLimits
from rosemaryknot.request.engine_queue import (
    EngineQueue,
    engine_capacity,
    fair_priority,
)
from rosemaryknot.request.service_queue import MAX_WAITING, EnginePermit
from rosemaryknot.values.outcomes import NotRun, Reason

SERVICE = "kit-assistant"
LATER_S = 1000.0


class Engines:
    """Engine queue over a number of slots, with a record of the start order."""

    def __init__(self, slots, nursery):
        self.slots = slots
        self.nursery = nursery
        self.queue = EngineQueue(lambda service: self.slots)
        self.started = []

    async def request(self, customer, held_s, cost=100, is_short=True):
        deadline_s = trio.current_time() + LATER_S
        permit = await self.queue.acquire(customer, SERVICE, cost, is_short, deadline_s)
        if not isinstance(permit, EnginePermit):
            self.started.append((customer, "refused"))
            return
        self.started.append((customer, "short" if is_short else "long"))
        await trio.sleep(held_s)
        permit.release()

    async def send(self, count, *args, **kwargs):
        for _ in range(count):
            self.nursery.start_soon(lambda: self.request(*args, **kwargs))
            await trio.sleep(0.0001)


class TestEngineQueue:
    async def test_busy_customer_delays_only_itself(self, autojump_clock, nursery):
        """One customer sends two hundred requests, then another one sends eight.

        The first customer holds all permits and fills the queue. The first requests of
        the other customer start immediately and the rest alternate with those of the
        first, so they do not wait for the two hundred.
        """
        engines = Engines(8, nursery)
        await engines.send(200, "large", 1.0)
        await engines.send(8, "small", 1.0)
        await trio.sleep(0.5)
        assert engines.started.count(("small", "short")) == 2
        await trio.sleep(2.0)
        assert engines.started.count(("small", "short")) == 8
        assert len(engines.started) < 40

    async def test_fairness_is_by_cost(self, autojump_clock, nursery):
        engines = Engines(16, nursery)
        await engines.send(200, "long answers", 1.0, cost=1000)
        await engines.send(200, "short answers", 1.0, cost=100)
        await trio.sleep(10.5)
        started = [customer for customer, _ in engines.started]
        assert started.count("short answers") > 2 * started.count("long answers")

    async def test_short_before_long(self, autojump_clock, nursery):
        engines = Engines(2, nursery)
        await engines.send(2, "estimator-1", 1.0)
        await engines.send(3, "estimator-1", 1.0, is_short=False)
        await engines.send(3, "estimator-1", 1.0)
        await trio.sleep(4.5)
        kinds = [kind for _, kind in engines.started]
        assert kinds == ["short"] * 5 + ["long"] * 3

    async def test_full_queue_evicts_requests_of_busy_customer(
        self, autojump_clock, nursery
    ):
        """One customer fills the queue; another customer's requests are still queued.

        The newest requests of the first customer are evicted for them. They are
        refused immediately and not after their maximum wait.
        """
        engines = Engines(4, nursery)
        await engines.send(MAX_WAITING + 4, "large", 1.0)
        assert ("large", "refused") not in engines.started
        await engines.send(6, "small", 1.0)
        await trio.sleep(0.01)
        assert engines.started.count(("large", "refused")) == 4
        assert ("small", "refused") not in engines.started
        started_s = trio.current_time()
        await engines.request("large", 1.0)
        assert engines.started[-1] == ("large", "refused")
        assert trio.current_time() == started_s

    async def test_deadline_that_cannot_be_met(self, autojump_clock, nursery):
        """A request whose deadline would pass in the queue is refused on arrival."""
        engines = Engines(1, nursery)
        await engines.send(1, "large", 5.0)
        await trio.sleep(6)
        engines.queue.queue(SERVICE).mean_hold_s = 5.0
        await engines.send(20, "large", 5.0)
        permit = await engines.queue.acquire(
            "large", SERVICE, 100, True, trio.current_time() + 20
        )
        assert isinstance(permit, NotRun)
        assert permit.reason == Reason.DEADLINE_TOO_SHORT
        assert permit.retry_after_s > 0

    async def test_shutdown_refuses_waiting_requests(self, autojump_clock, nursery):
        engines = Engines(2, nursery)
        nursery.start_soon(engines.queue.run)
        await engines.send(5, "large", 10.0)
        engines.queue.is_stopping = lambda: True
        await trio.sleep(0.2)
        assert engines.started.count(("large", "refused")) == 3

    async def test_caller_cancels_while_queued(self, autojump_clock, nursery):
        engines = Engines(1, nursery)
        await engines.send(3, "large", 1.0)
        with trio.move_on_after(0.5):
            await engines.request("large", 1.0)
        await trio.sleep(5)
        queue = engines.queue.queue(SERVICE)
        assert queue.waiting_count == queue.running_count == 0
        assert len(engines.started) == 3


class TestEngineCapacity:
    async def test_capacity_excludes_slots_used_by_others(self, autojump_clock):
        load = ServerLoad(LoadReport(20, 0, 32, 3.0, 0, trio.current_time()))
        assert engine_capacity([load]) == 12
        load.report.waiting = 40
        assert engine_capacity([load, ServerLoad()]) == 32

    async def test_priority_falls_with_running_requests(self, autojump_clock, nursery):
        """Requests of a busy customer have lower priority than another's first ones."""
        queue = EngineQueue(lambda service: 8)
        permits = {"large": [], "small": []}

        async def acquire(customer):
            permit = await queue.acquire(customer, SERVICE, 1, True, LATER_S)
            permits[customer].append(permit)

        for _ in range(20):
            nursery.start_soon(acquire, "large")
            await trio.sleep(0.001)
        await acquire("small")
        await acquire("small")
        for permit in permits["large"][:4]:
            permit.release()
        await trio.sleep(1)
        usage_levels = [permit.usage_level for permit in permits["large"]]
        assert usage_levels[:8] == [0, 1, 2, 2, 3, 3, 3, 3]
        assert min(usage_levels[8:]) >= 3
        assert [permit.usage_level for permit in permits["small"]] == [0, 1]
        assert fair_priority(1, 0) < fair_priority(0, 1)


class TestSlot:
    @pytest.mark.parametrize("count", [1, 2])
    async def test_release_settles_once(self, autojump_clock, count):
        admission = Admission(AdmissionLimits())
        slot = await admission.admit("large", SERVICE, float("inf"), LATER_S)
        settled = []
        slot.charge = type(
            "Charge", (), {"settle": lambda self, n: settled.append(n)}
        )()
        for _ in range(count):
            slot.release()
        assert settled == [0.0]
