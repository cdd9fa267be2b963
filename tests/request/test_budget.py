"""Tests of customer limits at an entry, against a scripted owner."""

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
    """Owner that grants what is needed, or nothing, and records the budget requests."""

    def __init__(self):
        self.requests = []
        self.is_silent = False
        self.retry_after_s = 0.0

    async def call(self, request, timeout_s):
        self.requests.append(request)
        if self.is_silent:
            await trio.sleep(timeout_s)
            return CallFailed("timeout", maybe_handled=True)
        await trio.sleep(0.001)
        if self.retry_after_s:
            return BudgetGrant(True, 0.0, 0, 1.0, self.retry_after_s, 100.0, 0.01)
        slots = max(request.needed_slots, 2 * request.needed_slots)
        return BudgetGrant(
            True,
            request.needed_tokens + request.wanted_tokens,
            slots,
            1.0,
            0.0,
            100.0,
            0.01,
        )


@pytest.fixture
def owner():
    return Owner()


@pytest.fixture
async def entry(owner, nursery):
    budgets = EntryBudgets(Node("waco-a-1", "waco-a", 1), owner)
    nursery.start_soon(budgets.run)
    return budgets


async def acquire(entry, tokens=10.0, limit=LIMIT, max_wait_s=0.0):
    return await entry.acquire(CUSTOMER, SERVICE, limit, tokens, max_wait_s)


class TestEntryBudgets:
    async def test_admits_from_lease(self, autojump_clock, entry, owner):
        """In a steady stream of requests, few wait for the owner."""
        waited = 0
        for _ in range(400):
            started_s = trio.current_time()
            charge = await acquire(entry)
            waited += trio.current_time() > started_s
            assert isinstance(charge, Charge)
            charge.settle(10.0)
            await trio.sleep(0.01)
        assert waited < 40
        assert len(owner.requests) < 80

    async def test_refused_requests_cost_no_call(self, autojump_clock, entry, owner):
        """Many requests arrive before the time that the owner named in a refusal.

        All are refused immediately with the remaining time, and the owner receives
        only a few budget requests per second.
        """
        owner.retry_after_s = 10.0
        first = await acquire(entry)
        assert isinstance(first, NotRun)
        requests = len(owner.requests)
        for _ in range(100):
            started_s = trio.current_time()
            refusal = await acquire(entry)
            assert trio.current_time() - started_s < 0.01
            assert 8.9 < refusal.retry_after_s <= 10.0
            await trio.sleep(0.01)
        assert len(owner.requests) - requests <= 10

    async def test_larger_request_gets_later_retry_time(
        self, autojump_clock, entry, owner
    ):
        owner.retry_after_s = 1.0
        await acquire(entry, 10.0)
        refusal = await acquire(entry, 110.0)
        assert refusal.retry_after_s == pytest.approx(2.0, abs=0.01)

    async def test_unused_tokens_are_returned(self, autojump_clock, entry, owner):
        charge = await acquire(entry, 1000.0)
        charge.settle(100.0)
        charge.settle(100.0)
        await trio.sleep(20)
        granted = 1000.0 + sum(request.wanted_tokens for request in owner.requests)
        returned = sum(request.returned_tokens for request in owner.requests)
        assert granted - returned == pytest.approx(100.0, abs=1e-6)
        assert not entry.accounts[CUSTOMER, SERVICE].tokens

    async def test_more_used_than_charged(self, autojump_clock, entry, owner):
        """The prompt was longer than estimated: the debt is reported to the owner."""
        charge = await acquire(entry, 100.0)
        charge.settle(150.0)
        await trio.sleep(20)
        granted = 100.0 + sum(request.wanted_tokens for request in owner.requests)
        returned = sum(request.returned_tokens for request in owner.requests)
        assert granted - returned == pytest.approx(150.0, abs=1e-6)

    async def test_unlimited_customer_needs_no_budget_request(
        self, autojump_clock, entry, owner
    ):
        charge = await acquire(entry, 10.0, Limit())
        charge.settle(5.0)
        assert not owner.requests
        assert not entry.accounts

    async def test_silent_owner(self, autojump_clock, entry, owner):
        """The owner stops responding while requests are in flight.

        One request waits for its response; the others are admitted by the fixed share
        or refused immediately. The slots of the requests in flight still count.
        """
        charges = [await acquire(entry, 0.0) for _ in range(3)]
        await trio.sleep(2)
        owner.is_silent = True
        await trio.sleep(2)
        started_s = trio.current_time()
        refusal = await acquire(entry, 0.0)
        assert trio.current_time() == started_s
        assert isinstance(refusal, NotRun)
        for charge in charges:
            charge.settle()
        first, second = await acquire(entry, 50.0), await acquire(entry, 50.0)
        assert isinstance(first, Charge)
        assert isinstance(second, NotRun)
        first.settle(50.0)
        owner.is_silent = False
        await trio.sleep(1)
        assert isinstance(await acquire(entry, 50.0), Charge)

    async def test_requests_wait_in_order(self, autojump_clock, entry, owner):
        """A large and a small request arrive two seconds before budget is available.

        They wait in this order and hold no slots. A request that may not wait as long
        is refused immediately.
        """
        owner.retry_after_s = 2.0
        order = []

        async def send(tokens):
            order.append((tokens, await acquire(entry, tokens, max_wait_s=5.0)))

        async with trio.open_nursery() as senders:
            senders.start_soon(send, 200.0)
            await trio.sleep(0.1)
            senders.start_soon(send, 10.0)
            await trio.sleep(0.1)
            account = entry.accounts[CUSTOMER, SERVICE]
            assert (len(account.queue), account.used_slots) == (2, 0)
            started_s = trio.current_time()
            refusal = await acquire(entry, 10.0, max_wait_s=1.0)
            assert trio.current_time() == started_s
            assert refusal.retry_after_s > 2.5
            await trio.sleep(1.0)
            owner.retry_after_s = 0.0
        assert [tokens for tokens, _ in order] == [200.0, 10.0]
        assert all(isinstance(charge, Charge) for _, charge in order)

    async def test_longer_wait_is_refused_immediately(
        self, autojump_clock, entry, owner
    ):
        """After a request has waited for a second, its wait is extended to a minute.

        It and the requests behind it are refused then, and not at the end of their
        maximum wait.
        """
        owner.retry_after_s = 2.0
        refused = []

        async def send():
            refused.append(await acquire(entry, 50.0, max_wait_s=5.0))

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
                senders.start_soon(lambda: acquire(entry, 0.1, max_wait_s=5.0))
            await trio.sleep(0.5)
            started_s = trio.current_time()
            assert isinstance(await acquire(entry, 0.1, max_wait_s=5.0), NotRun)
            assert trio.current_time() == started_s
            entry.is_stopping = lambda: True
        assert trio.current_time() - started_s < 0.5

    async def test_removes_idle_accounts(self, autojump_clock, entry):
        (await acquire(entry)).settle(10.0)
        await trio.sleep(120)
        assert not entry.accounts

    async def test_limit_of_zero(self, autojump_clock, entry, owner):
        refusal = await acquire(entry, 10.0, Limit(0, math.inf))
        assert refusal.retry_after_s == 0.0
        assert not owner.requests
