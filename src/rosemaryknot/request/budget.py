"""Customer limits at an entry: requests are charged to budgets that it leases.

A lease is granted by the owner of the customer's limit in the zone, which the entry
reaches through its agent.
"""

import math
from collections.abc import Callable
from typing import Protocol

import trio

from rosemaryknot.connection.links import CallFailed
from rosemaryknot.process.background_tasks import BackgroundTasks
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.request.accounts import (
    MIN_REQUEST_INTERVAL_S,
    MIN_RETRY_AFTER_S,
    UNLIMITED_CHARGE,
    Account,
    Charge,
    limit_reached,
    new_account,
)
from rosemaryknot.request.budget_queue import MAX_WAITING, Shortfall, Waiter
from rosemaryknot.values.limits import BudgetGrant
from rosemaryknot.values.messages import Message
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.outcomes import NotRun, Reason
from rosemaryknot.version.tables import Limit

__all__ = ["Charge", "EntryBudgets"]

REQUEST_TIMEOUT_S = 0.25
RENEW_INTERVAL_S = 0.3
PREFETCH_THRESHOLD_SHARE = 0.5
IDLE_TTL_S = 60.0
SPEND_RATE_WEIGHT = 0.3

log = logger("limits")
fallbacks = counter("budget_fallbacks_total", "Asks for budget without an owner.")


class AgentClient(Protocol):
    """Interface of the link to the agent that is needed here."""

    async def call(self, value: Message, timeout_s: float) -> Message | CallFailed:
        """Send a message to the agent and wait for the reply."""


class EntryBudgets:
    """Charges requests of limited customers.

    Parameters
    ----------
    node : Node
        This entry.
    link : AgentLink
        Link to the agent, which forwards budget requests to the owner.

    Attributes
    ----------
    accounts : dict of (str, str) to Account
        Accounts by customer and service.
    request_count : int
        Number of budget requests sent so far.
    is_stopping : callable
        Returns whether the process is shutting down; waiting requests are then
        refused.
    """

    def __init__(self, node: Node, link: AgentClient) -> None:
        self.node = node
        self.link = link
        self.accounts: dict[tuple[str, str], Account] = {}
        self.tasks = BackgroundTasks()
        self.request_count = 0
        self.is_stopping: Callable[[], bool] = lambda: False

    async def run(self) -> None:
        """Renew leases until cancelled."""
        async with self.tasks.open():
            while True:
                await trio.sleep(RENEW_INTERVAL_S)
                for key, account in list(self.accounts.items()):
                    self.renew_or_remove(key, account)

    def renew_or_remove(self, key: tuple[str, str], account: Account) -> None:
        """Renew a lease in the background, or remove an idle account."""
        now_s = trio.current_time()
        rate = account.spent / RENEW_INTERVAL_S
        account.spend_rate += SPEND_RATE_WEIGHT * (rate - account.spend_rate)
        if account.spend_rate < account.limit.tokens_per_minute * 1e-5:
            account.spend_rate = 0.0
        if account.needs_lease():
            self.prefetch_in_background(key, account)
        elif now_s - account.last_request_s > IDLE_TTL_S:
            del self.accounts[key]
        account.spent = 0.0

    def prefetch_in_background(self, key: tuple[str, str], account: Account) -> None:
        """Prefetch budget in the background unless this is already under way."""
        if not account.is_prefetching:
            account.is_prefetching = self.tasks.start_soon(self.prefetch, key, account)

    async def prefetch(self, key: tuple[str, str], account: Account) -> None:
        """Request the budget that the next requests will need."""
        try:
            async with account.lock:
                await self.request_budget(key, account, 0.0, 0)
        finally:
            account.is_prefetching = False

    async def acquire(
        self,
        customer: str,
        service: str,
        limit: Limit,
        tokens: float,
        max_wait_s: float = 0.0,
    ) -> Charge | NotRun:
        """Charge a request, possibly after a wait, or refuse it.

        A request waits only if it is expected to be admitted within ``max_wait_s``. If
        its wait will be longer, it is refused as soon as that is known.

        Parameters
        ----------
        customer, service : str
            Customer that sent the request, and the requested service.
        limit : Limit
            Total limit of the customer at the service.
        tokens : float
            Maximum number of tokens of the request; 0 if tokens are not counted.
        max_wait_s : float
            Maximum wait for tokens, in seconds.

        Returns
        -------
        charge : Charge or NotRun
            The charge, which the caller must settle when the request ends; or the
            refusal with the time after which to retry.
        """
        if math.isinf(limit.tokens_per_minute):
            tokens = 0.0
            if math.isinf(limit.concurrent_requests):
                return UNLIMITED_CHARGE
        if tokens > limit.tokens_per_minute:
            detail = "the request may use more tokens than the limit of a minute"
            return NotRun(Reason.LIMIT_REACHED, 0.0, detail)
        account = self.account(customer, service, limit)
        key = (customer, service)
        if not (account.queue and tokens) and self.is_covered(account, tokens):
            return self.charge(key, account, tokens)
        result = await self.acquire_in_order(key, account, tokens, max_wait_s)
        return limit_reached(limit, result) if isinstance(result, Shortfall) else result

    async def acquire_in_order(
        self, key: tuple[str, str], account: Account, tokens: float, max_wait_s: float
    ) -> Charge | Shortfall:
        """Charge a request now, or after the requests ahead of it in the queue."""
        deadline_s = trio.current_time() + max_wait_s
        queue = account.queue
        if not (queue and tokens):
            result = await self.acquire_from_owner(key, account, tokens, max_wait_s)
            if isinstance(result, Charge) or result.is_estimate or not tokens:
                return result
            if not queue:
                queue.head_due_s = trio.current_time() + result.wait_s
        if queue:
            result = queue.shortfall_behind(tokens, account.rate)
        remaining_s = deadline_s - trio.current_time()
        if result.wait_s > remaining_s or len(queue) >= MAX_WAITING:
            return result
        waiter = queue.enqueue(tokens, deadline_s)
        try:
            await waiter.is_next.wait()
            return waiter.shortfall or await self.acquire_at_head(key, account, waiter)
        finally:
            queue.remove(waiter)

    async def acquire_at_head(
        self, key: tuple[str, str], account: Account, waiter: Waiter
    ) -> Charge | Shortfall:
        """Request budget for the head of the queue until it is charged or refused."""
        while True:
            remaining_s = waiter.deadline_s - trio.current_time()
            result = await self.acquire_from_owner(
                key, account, waiter.tokens, max(0.0, remaining_s)
            )
            if isinstance(result, Charge):
                return result
            remaining_s = waiter.deadline_s - trio.current_time()
            if result.is_estimate or result.wait_s > remaining_s or self.is_stopping():
                return result
            account.queue.update_due(result.wait_s, account.rate)
            await trio.sleep(
                min(MIN_REQUEST_INTERVAL_S, max(MIN_RETRY_AFTER_S, result.wait_s))
            )

    def account(self, customer: str, service: str, limit: Limit) -> Account:
        """Return the account of a customer, updated to its current limit."""
        now_s = trio.current_time()
        account = self.accounts.get((customer, service))
        if account is None:
            account = self.accounts[customer, service] = new_account(limit)
        account.limit = limit
        account.last_request_s = now_s
        return account

    def is_covered(self, account: Account, tokens: float) -> bool:
        """Return whether the lease covers a request."""
        account.expire(trio.current_time())
        return account.covers(tokens)

    async def acquire_from_owner(
        self, key: tuple[str, str], account: Account, tokens: float, max_wait_s: float
    ) -> Charge | Shortfall:
        """Request the budget that a request lacks, and charge it if granted."""
        decision = self.decide_locally(account, tokens)
        if decision is not None:
            return decision
        async with account.lock:
            # Another request may have held the lock and obtained the budget, or a
            # refusal that also applies to this one.
            if self.is_covered(account, tokens):
                return self.charge(key, account, tokens)
            decision = self.decide_locally(account, tokens)
            if decision is not None:
                return decision
            slots = 0 if account.has_slot() else 1
            await self.request_budget(key, account, tokens, slots, max_wait_s)
            if self.is_covered(account, tokens):
                return self.charge(key, account, tokens)
            decision = self.decide_locally(account, tokens)
            return decision or Shortfall(0.0)

    def decide_locally(
        self, account: Account, tokens: float
    ) -> Charge | Shortfall | None:
        """Decide without a call to the owner; return None if one is needed."""
        if trio.current_time() < account.fallback_until_s:
            return account.charge_fallback(tokens)
        return account.known_shortfall(tokens)

    def charge(self, key: tuple[str, str], account: Account, tokens: float) -> Charge:
        """Charge a request that the lease covers, and prefetch if little is left."""
        account.tokens -= tokens
        account.spent += tokens
        account.used_slots += 1
        if (
            tokens
            and account.tokens < account.wanted_tokens() * PREFETCH_THRESHOLD_SHARE
        ):
            if trio.current_time() >= account.no_request_until_s:
                self.prefetch_in_background(key, account)
        return Charge(account, tokens)

    async def request_budget(
        self,
        key: tuple[str, str],
        account: Account,
        tokens: float,
        slots: int,
        max_wait_s: float = 0.0,
    ) -> None:
        """Request budget from the owner once.

        Returned tokens leave the account before the request is sent, so that they are
        never counted twice.
        """
        sent_s = trio.current_time()
        account.expire(sent_s)
        # One sequence for all accounts: if an account is removed and created again, its
        # sequence numbers must not restart below those that the owner has seen, or the
        # owner would ignore its requests as late.
        self.request_count += 1
        request = account.new_request(
            key, self.node, self.request_count, tokens, slots, max_wait_s
        )
        reply = await self.link.call(request, REQUEST_TIMEOUT_S)
        if isinstance(reply, BudgetGrant) and reply.is_owner:
            account.apply_grant(request, reply, sent_s)
            return
        fallbacks.add()
        account.start_fallback(
            request, reply if isinstance(reply, BudgetGrant) else None
        )
