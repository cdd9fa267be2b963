"""The entry's part in the limits, against an owner that answers as told."""

import math

import pytest
import trio

from rosemaryknot.connection.links import CallFailed
from rosemaryknot.request.accounts import Charge
from rosemaryknot.request.budget import EntryBudgets
from rosemaryknot.request.budget_queue import MAX_WAITING
from rosemaryknot.values.limits import BudgetGrant
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.outcomes import NotRun
from rosemaryknot.version.tables import Limit

CUSTOMER, SERVICE = "estimator-1", "kit-assistant"
LIMIT = Limit(tokens_per_minute=6000, concurrent_requests=10)


class Owner:
    """Grants what is needed, or nothing; keeps the asks."""

    def __init__(self):
        self.asks = []
        self.is_silent = False
        self.retry_after_s = 0.0

    async def call(self, ask, timeout_s):
        self.asks.append(ask)
        if self.is_silent:
            await trio.sleep(timeout_s)
            return CallFailed("timeout", maybe_handled=True)
        await trio.sleep(0.001)
        if self.retry_after_s:
            return BudgetGrant(True, 0.0, 0, 1.0, self.retry_after_s, 100.0, 0.01)
        slots = max(ask.needed_slots, 2 * ask.needed_slots)
        return BudgetGrant(
            True, ask.needed_tokens + ask.wanted_tokens, slots, 1.0, 0.0, 100.0, 0.01
        )


@pytest.fixture
def owner():
    return Owner()


@pytest.fixture
async def entry(owner, nursery):
    budgets = EntryBudgets(Node("waco-a-1", "waco-a", 1), owner)
    nursery.start_soon(budgets.run)
    return budgets


async def take(entry, tokens=10.0, limit=LIMIT, max_wait_s=0.0):
    return await entry.take(CUSTOMER, SERVICE, limit, tokens, max_wait_s)


class TestEntryBudgets:
    async def test_admits_from_the_lease(self, autojump_clock, entry, owner):
        """A customer sends a steady stream: few requests wait for the owner."""
        waited = 0
        for _ in range(400):
            started_s = trio.current_time()
            charge = await take(entry)
            waited += trio.current_time() > started_s
            assert isinstance(charge, Charge)
            charge.settle(10.0)
            await trio.sleep(0.01)
        assert waited < 40
        assert len(owner.asks) < 80

    async def test_refused_requests_cost_no_call(self, autojump_clock, entry, owner):
        """The owner has refused; a flood of requests comes before its time.

        All are refused at once, with the time that is left, and the owner is asked
        a few times a second only.
        """
        owner.retry_after_s = 10.0
        first = await take(entry)
        assert isinstance(first, NotRun)
        asks = len(owner.asks)
        for _ in range(100):
            started_s = trio.current_time()
            refusal = await take(entry)
            assert trio.current_time() - started_s < 0.01
            assert 8.9 < refusal.retry_after_s <= 10.0
            await trio.sleep(0.01)
        assert len(owner.asks) - asks <= 10

    async def test_larger_request_is_told_a_later_time(
        self, autojump_clock, entry, owner
    ):
        owner.retry_after_s = 1.0
        await take(entry, 10.0)
        refusal = await take(entry, 110.0)
        assert refusal.retry_after_s == pytest.approx(2.0, abs=0.01)

    async def test_unused_tokens_go_back(self, autojump_clock, entry, owner):
        charge = await take(entry, 1000.0)
        charge.settle(100.0)
        charge.settle(100.0)
        await trio.sleep(20)
        granted = 1000.0 + sum(ask.wanted_tokens for ask in owner.asks)
        returned = sum(ask.returned_tokens for ask in owner.asks)
        assert granted - returned == pytest.approx(100.0, abs=1e-6)
        assert not entry.accounts[CUSTOMER, SERVICE].tokens

    async def test_more_used_than_charged(self, autojump_clock, entry, owner):
        """The prompt was longer than estimated: the owner is told of the debt."""
        charge = await take(entry, 100.0)
        charge.settle(150.0)
        await trio.sleep(20)
        granted = 100.0 + sum(ask.wanted_tokens for ask in owner.asks)
        returned = sum(ask.returned_tokens for ask in owner.asks)
        assert granted - returned == pytest.approx(150.0, abs=1e-6)

    async def test_unlimited_asks_nothing(self, autojump_clock, entry, owner):
        charge = await take(entry, 10.0, Limit())
        charge.settle(5.0)
        assert not owner.asks
        assert not entry.accounts

    async def test_silent_owner(self, autojump_clock, entry, owner):
        """The owner falls silent while requests run.

        One request waits for its answer; the others are admitted by the fixed share
        or refused at once. The slots of the requests in flight still count.
        """
        charges = [await take(entry, 0.0) for _ in range(3)]
        await trio.sleep(2)
        owner.is_silent = True
        await trio.sleep(2)
        started_s = trio.current_time()
        refusal = await take(entry, 0.0)
        assert trio.current_time() == started_s
        assert isinstance(refusal, NotRun)
        for charge in charges:
            charge.settle()
        first, second = await take(entry, 50.0), await take(entry, 50.0)
        assert isinstance(first, Charge)
        assert isinstance(second, NotRun)
        first.settle(50.0)
        owner.is_silent = False
        await trio.sleep(1)
        assert isinstance(await take(entry, 50.0), Charge)

    async def test_waits_in_turn(self, autojump_clock, entry, owner):
        """The budget is there in two seconds; a large and a small request come.

        The large one waits and the small one behind it, in this order, without
        slots. One that may not wait as long is refused at once.
        """
        owner.retry_after_s = 2.0
        order = []

        async def send(tokens):
            order.append((tokens, await take(entry, tokens, max_wait_s=5.0)))

        async with trio.open_nursery() as senders:
            senders.start_soon(send, 200.0)
            await trio.sleep(0.1)
            senders.start_soon(send, 10.0)
            await trio.sleep(0.1)
            account = entry.accounts[CUSTOMER, SERVICE]
            assert (len(account.queue), account.used_slots) == (2, 0)
            started_s = trio.current_time()
            refusal = await take(entry, 10.0, max_wait_s=1.0)
            assert trio.current_time() == started_s
            assert refusal.retry_after_s > 2.5
            await trio.sleep(1.0)
            owner.retry_after_s = 0.0
        assert [tokens for tokens, _ in order] == [200.0, 10.0]
        assert all(isinstance(charge, Charge) for _, charge in order)

    async def test_given_up_is_told_at_once(self, autojump_clock, entry, owner):
        """A request waits for a second, and then hears that it would take a minute.

        It is refused then, and those behind it, and not when their time is over.
        """
        owner.retry_after_s = 2.0
        refused = []

        async def send():
            refused.append(await take(entry, 50.0, max_wait_s=5.0))

        started_s = trio.current_time()
        async with trio.open_nursery() as senders:
            for _ in range(3):
                senders.start_soon(send)
            await trio.sleep(1.0)
            owner.retry_after_s = 60.0
        assert trio.current_time() - started_s < 1.5
        assert [type(answer) for answer in refused] == [NotRun] * 3
        assert min(answer.retry_after_s for answer in refused) > 55

    async def test_waiters_are_bounded(self, autojump_clock, entry, owner):
        owner.retry_after_s = 4.0
        async with trio.open_nursery() as senders:
            for _ in range(MAX_WAITING):
                senders.start_soon(lambda: take(entry, 0.1, max_wait_s=5.0))
            await trio.sleep(0.5)
            started_s = trio.current_time()
            assert isinstance(await take(entry, 0.1, max_wait_s=5.0), NotRun)
            assert trio.current_time() == started_s
            entry.is_stopping = lambda: True
        assert trio.current_time() - started_s < 0.5

    async def test_forgets_idle_customers(self, autojump_clock, entry):
        (await take(entry)).settle(10.0)
        await trio.sleep(120)
        assert not entry.accounts

    async def test_limit_of_zero(self, autojump_clock, entry, owner):
        refusal = await take(entry, 10.0, Limit(0, math.inf))
        assert refusal.retry_after_s == 0.0
        assert not owner.asks
