"""The entry's part in the limits: charges requests to budgets that it has on lease."""

import math
from collections.abc import Callable
from typing import Protocol

import trio

from rosemaryknot.connection.links import CallFailed
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.request.accounts import (
    MIN_RETRY_S,
    QUIET_S,
    UNLIMITED_CHARGE,
    Account,
    Charge,
    limit_reached,
    new_account,
)
from rosemaryknot.request.budget_queue import MAX_WAITING, Lack, Waiter
from rosemaryknot.values.limits import BudgetGrant
from rosemaryknot.values.messages import Message
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.outcomes import NotRun, Reason
from rosemaryknot.version.tables import Limit

__all__ = ["Charge", "EntryBudgets"]

ASK_TIMEOUT_S = 0.25
RENEW_S = 0.3
LOW_SHARE = 0.5
IDLE_S = 60.0
SPEND_WEIGHT = 0.3

log = logger("limits")
fallbacks = counter("budget_fallbacks_total", "Asks for budget without an owner.")


class Caller(Protocol):
    """What is needed of the link to the agent."""

    async def call(self, value: Message, timeout_s: float) -> Message | CallFailed:
        """Ask the agent and wait for its answer."""


class EntryBudgets:
    """Charges requests of limited customers.

    Parameters
    ----------
    node : Node
        This entry.
    link : AgentLink
        Link to the agent, which asks the owner.

    Attributes
    ----------
    accounts : dict of (str, str) to Account
        By customer and service.
    asks : int
        Asks made so far.
    is_stopping : callable
        Tells whether the process stops; what waits is then refused.
    """

    def __init__(self, node: Node, link: Caller) -> None:
        self.node = node
        self.link = link
        self.accounts: dict[tuple[str, str], Account] = {}
        self.nursery: trio.Nursery | None = None
        self.asks = 0
        self.is_stopping: Callable[[], bool] = lambda: False

    async def run(self) -> None:
        """Renew leases until cancelled."""
        async with trio.open_nursery() as self.nursery:
            while True:
                await trio.sleep(RENEW_S)
                for key, account in list(self.accounts.items()):
                    self.tend(key, account)

    def tend(self, key: tuple[str, str], account: Account) -> None:
        """Renew one lease in the background, or drop an account that is idle."""
        now_s = trio.current_time()
        rate = account.spent / RENEW_S
        account.spend_rate += SPEND_WEIGHT * (rate - account.spend_rate)
        if account.spend_rate < account.limit.tokens_per_minute * 1e-5:
            account.spend_rate = 0.0
        if account.is_busy():
            self.ask_soon(key, account)
        elif now_s - account.touched_s > IDLE_S:
            del self.accounts[key]
        account.spent = 0.0

    def ask_soon(self, key: tuple[str, str], account: Account) -> None:
        """Ask in the background, unless an ask is under way."""
        if self.nursery is not None and not account.is_asking:
            account.is_asking = True
            self.nursery.start_soon(self.ask_ahead, key, account)

    async def ask_ahead(self, key: tuple[str, str], account: Account) -> None:
        """Ask for what the next requests will need."""
        try:
            async with account.lock:
                await self.ask(key, account, 0.0, 0)
        finally:
            account.is_asking = False

    async def take(
        self,
        customer: str,
        service: str,
        limit: Limit,
        tokens: float,
        max_wait_s: float = 0.0,
    ) -> Charge | NotRun:
        """Charge a request, let it wait its turn, or refuse it at once.

        It waits only where it is known to be admitted within its time; one that
        would wait longer is refused as soon as that is known.

        Parameters
        ----------
        customer, service : str
            Whose request it is, and for which service.
        limit : Limit
            The customer's whole limit there.
        tokens : float
            Tokens that the request may use; 0 where they are not counted.
        max_wait_s : float
            How long it may wait for tokens, in seconds.

        Returns
        -------
        charge : Charge or NotRun
            To be settled when the request ends; or the refusal with when to come
            back.
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
        if not (account.queue and tokens) and self.is_ready(account, tokens):
            return self.charge(key, account, tokens)
        taken = await self.take_in_turn(key, account, tokens, max_wait_s)
        return limit_reached(limit, taken) if isinstance(taken, Lack) else taken

    async def take_in_turn(
        self, key: tuple[str, str], account: Account, tokens: float, max_wait_s: float
    ) -> Charge | Lack:
        """Charge a request now, or when those before it have been."""
        until_s = trio.current_time() + max_wait_s
        queue = account.queue
        if not (queue and tokens):
            taken = await self.make_ready(key, account, tokens, max_wait_s)
            if isinstance(taken, Charge) or taken.is_guess or not tokens:
                return taken
            if not queue:
                queue.due_s = trio.current_time() + taken.wait_s
        if queue:
            taken = queue.lack_behind(tokens, account.rate)
        left_s = until_s - trio.current_time()
        if taken.wait_s > left_s or len(queue) >= MAX_WAITING:
            return taken
        waiter = queue.join(tokens, until_s)
        try:
            await waiter.is_next.wait()
            return waiter.lack or await self.take_at_head(key, account, waiter)
        finally:
            queue.leave(waiter)

    async def take_at_head(
        self, key: tuple[str, str], account: Account, waiter: Waiter
    ) -> Charge | Lack:
        """Ask for the request at the head until it is charged, or waits too long."""
        while True:
            left_s = waiter.until_s - trio.current_time()
            taken = await self.make_ready(key, account, waiter.tokens, max(0.0, left_s))
            if isinstance(taken, Charge):
                return taken
            left_s = waiter.until_s - trio.current_time()
            if taken.is_guess or taken.wait_s > left_s or self.is_stopping():
                return taken
            account.queue.note_due(taken.wait_s, account.rate)
            await trio.sleep(min(QUIET_S, max(MIN_RETRY_S, taken.wait_s)))

    def account(self, customer: str, service: str, limit: Limit) -> Account:
        """Return the account of a customer, by the limit that is in force."""
        now_s = trio.current_time()
        account = self.accounts.get((customer, service))
        if account is None:
            account = self.accounts[customer, service] = new_account(limit)
        account.limit = limit
        account.touched_s = now_s
        return account

    def is_ready(self, account: Account, tokens: float) -> bool:
        """Tell whether the lease covers a request."""
        account.expire(trio.current_time())
        return account.has(tokens)

    async def make_ready(
        self, key: tuple[str, str], account: Account, tokens: float, max_wait_s: float
    ) -> Charge | Lack:
        """Ask for what a request lacks, and charge it where it is granted."""
        early = self.without_asking(account, tokens)
        if early is not None:
            return early
        async with account.lock:
            # Others waited here too: the budget may have come, or been refused.
            if self.is_ready(account, tokens):
                return self.charge(key, account, tokens)
            early = self.without_asking(account, tokens)
            if early is not None:
                return early
            slots = 0 if account.has_slot() else 1
            await self.ask(key, account, tokens, slots, max_wait_s)
            if self.is_ready(account, tokens):
                return self.charge(key, account, tokens)
            early = self.without_asking(account, tokens)
            return early or Lack(0.0)

    def without_asking(self, account: Account, tokens: float) -> Charge | Lack | None:
        """Return what can be said without the owner, or None where it must be asked."""
        if trio.current_time() < account.fallback_until_s:
            return account.fall_back(tokens)
        return account.known_lack(tokens)

    def charge(self, key: tuple[str, str], account: Account, tokens: float) -> Charge:
        """Charge a request that the lease covers."""
        account.tokens -= tokens
        account.spent += tokens
        account.used_slots += 1
        if tokens and account.tokens < account.wanted_tokens() * LOW_SHARE:
            if trio.current_time() >= account.quiet_until_s:
                self.ask_soon(key, account)
        return Charge(account, tokens)

    async def ask(
        self,
        key: tuple[str, str],
        account: Account,
        tokens: float,
        slots: int,
        max_wait_s: float = 0.0,
    ) -> None:
        """Ask once; what is given back leaves the account before the ask does."""
        asked_s = trio.current_time()
        account.expire(asked_s)
        # One count for all accounts: an account that is forgotten and made anew must
        # not begin again below what the owner has seen, who would take it for late.
        self.asks += 1
        ask = account.new_ask(key, self.node, self.asks, tokens, slots, max_wait_s)
        answer = await self.link.call(ask, ASK_TIMEOUT_S)
        if isinstance(answer, BudgetGrant) and answer.is_owner:
            account.note_grant(ask, answer, asked_s)
            return
        fallbacks.add()
        account.note_no_grant(ask, answer if isinstance(answer, BudgetGrant) else None)
