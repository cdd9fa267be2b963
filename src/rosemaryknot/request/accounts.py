"""Budget of one customer as an entry holds it, and what requests are charged."""

import math
from dataclasses import dataclass, field

import trio

from rosemaryknot.process.limits.bucket import Bucket
from rosemaryknot.request.budget_queue import BudgetQueue, Lack
from rosemaryknot.values.limits import BudgetAsk, BudgetGrant
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.outcomes import NotRun, Reason
from rosemaryknot.version.tables import Limit

__all__ = ["UNLIMITED_CHARGE", "Account", "Charge", "limit_reached", "new_account"]

AHEAD_S = 0.4
FIRST_FALLBACK_SHARE = 0.01
MIN_RETRY_S = 0.001
MAX_RETRY_S = 60.0
SLOT_RETRY_S = 1.0
QUIET_S = 0.2
FALLBACK_S = 1.0
MIN_RATE = 1e-3
SPARE_SLOT_S = 1.0


@dataclass(slots=True)
class Account:
    """Budget of one customer at one service, as far as this entry has it.

    Attributes
    ----------
    limit : Limit
        The whole limit.
    tokens : float
        Tokens that may be spent; negative where requests used more than charged.
    slots, used_slots : int
        Slots on lease, and those that requests in flight take up.
    until_s : float
        When the lease ends, in trio time.
    refused_until_s : float
        When what the owner refused last will be there.
    quiet_until_s : float
        Until when the owner is not asked again for it.
    refused_tokens : float
        Tokens that it refused; 0 where slots were missing.
    rate : float
        Tokens a second that the zone gets.
    spent : float
        Tokens charged since the last renewal.
    spend_rate : float
        Moving mean of the tokens charged a second.
    fallback : Bucket
        Tokens of the fixed share, used while no owner answers.
    fallback_share : float
        That share of the whole limit.
    fallback_until_s : float
        Until when it is used.
    grants_from_s, early_tokens : float
        When a new owner that may not grant yet will grant what it was asked for,
        and how much that was.
    touched_s : float
        When a request last came.
    is_asking : bool
        Whether an ask ahead of need is under way.
    queue : BudgetQueue
        Requests that wait for tokens.
    lock : trio.Lock
        Held during an ask: the owner sees one at a time.
    """

    limit: Limit
    fallback: Bucket
    tokens: float = 0.0
    slots: int = 0
    used_slots: int = 0
    until_s: float = -math.inf
    refused_until_s: float = -math.inf
    quiet_until_s: float = -math.inf
    refused_tokens: float = math.inf
    rate: float = math.inf
    spent: float = 0.0
    spend_rate: float = 0.0
    fallback_until_s: float = -math.inf
    fallback_share: float = FIRST_FALLBACK_SHARE
    grants_from_s: float = -math.inf
    early_tokens: float = 0.0
    touched_s: float = 0.0
    is_asking: bool = False
    queue: BudgetQueue = field(default_factory=BudgetQueue)
    lock: trio.Lock = field(default_factory=trio.Lock)

    def expire(self, now_s: float) -> None:
        """Drop what the lease no longer covers; a debt stays."""
        if now_s >= self.until_s:
            self.tokens = min(self.tokens, 0.0)
            self.slots = min(self.slots, self.used_slots)

    def has_slot(self) -> bool:
        """Tell whether a request may start by the number of requests."""
        return math.isinf(self.limit.concurrent_requests) or (
            self.used_slots < self.slots
        )

    def has(self, tokens: float) -> bool:
        """Tell whether a request may start by the lease."""
        return self.has_slot() and (tokens <= 0 or self.tokens >= tokens)

    def wanted_tokens(self) -> float:
        """Return the tokens to have in stock until the next renewal."""
        return self.spend_rate * AHEAD_S

    def is_busy(self) -> bool:
        """Tell whether the lease is worth renewing."""
        stock = self.used_slots or self.slots or self.tokens
        return bool(stock or self.spent or self.spend_rate or self.queue)

    def known_lack(self, tokens: float) -> Lack | None:
        """Refuse without a call what the owner has refused until later.

        A customer who floods so costs the owner a few asks a second, and not one for
        each request. The owner is asked again before the time that it named: budget
        of other zones may come earlier.
        """
        now_s = trio.current_time()
        if now_s >= self.quiet_until_s:
            return None
        if self.refused_tokens == 0 and not self.has_slot():
            return Lack(self.refused_until_s - now_s, True, True)
        lacking = tokens - max(0.0, self.tokens) - self.refused_tokens
        if tokens <= 0 or self.refused_tokens == 0 or lacking < 0:
            return None
        wait_s = self.refused_until_s - now_s + lacking / self.rate
        return Lack(wait_s)

    def new_ask(
        self,
        key: tuple[str, str],
        node: Node,
        sequence: int,
        tokens: float,
        slots: int,
        max_wait_s: float = 0.0,
    ) -> BudgetAsk:
        """Return the next ask; what it gives back leaves the account."""
        wanted = self.wanted_tokens()
        returned = self.tokens - min(self.tokens, wanted)
        if self.tokens < 0:
            returned = self.tokens
        self.tokens -= returned
        is_recent = trio.current_time() - self.touched_s < SPARE_SLOT_S
        self.slots = min(self.slots, self.used_slots + is_recent)
        is_short = tokens > 0 and self.tokens < tokens
        return BudgetAsk(
            *key,
            node.name,
            node.incarnation,
            sequence,
            float(self.tokens),
            self.slots,
            self.used_slots,
            float(returned),
            float(tokens - self.tokens) if is_short else 0.0,
            slots,
            float(max(0.0, wanted - self.tokens)),
            max_wait_s,
        )

    def note_grant(self, ask: BudgetAsk, grant: BudgetGrant, asked_s: float) -> None:
        """Take over a grant; the lease runs from before the ask was sent."""
        self.until_s = asked_s + grant.lease_s
        self.tokens += grant.tokens
        self.slots += grant.slots
        self.fallback_until_s = -math.inf
        if grant.fallback_share > 0:
            self.fallback_share = grant.fallback_share
        has_needed = ask.needed_tokens or ask.needed_slots
        if grant.retry_after_s > 0 and has_needed:
            now_s = trio.current_time()
            self.refused_until_s = now_s + grant.retry_after_s
            self.quiet_until_s = now_s + min(QUIET_S, grant.retry_after_s)
            self.refused_tokens = 0 if grant.lacks_slots else ask.needed_tokens
            self.rate = max(MIN_RATE, grant.rate)

    def note_no_grant(self, ask: BudgetAsk, grant: BudgetGrant | None) -> None:
        """Live by the fixed share until an owner may grant.

        Parameters
        ----------
        ask : BudgetAsk
            What was asked.
        grant : BudgetGrant or None
            The answer of one who may not grant; None where there was none.
        """
        now_s = trio.current_time()
        self.fallback_until_s = now_s + FALLBACK_S
        self.grants_from_s = -math.inf
        if grant is None:
            return
        self.fallback_share = grant.fallback_share
        if grant.retry_after_s > 0 and not grant.lacks_slots:
            # It will be the owner soon, and keeps the turn of a request that waits
            # only while it hears of it.
            self.fallback_until_s = now_s + min(QUIET_S, grant.retry_after_s)
            self.grants_from_s = now_s + grant.retry_after_s
            self.early_tokens = ask.needed_tokens
            self.rate = max(MIN_RATE, grant.rate)

    def fall_back(self, tokens: float) -> "Charge | Lack":
        """Charge the fixed share that each entry has while no owner answers."""
        limit, share, bucket = self.limit, self.fallback_share, self.fallback
        slots = limit.concurrent_requests
        if not self.has_slot() and self.used_slots >= max(1, int(slots * share)):
            wait_s = self.owner_wait_s(tokens)
            if math.isinf(wait_s):
                return Lack(SLOT_RETRY_S, True, True)
            return Lack(wait_s, True)
        if tokens:
            bucket.rate = bucket.capacity = limit.tokens_per_minute / 60 * share
            bucket.refill(trio.current_time())
            if not bucket.acquire(tokens):
                return Lack(min(bucket.wait_s(tokens), self.owner_wait_s(tokens)))
        self.used_slots += 1
        self.slots = max(self.slots, self.used_slots)
        return Charge(self, tokens, is_fallback=True)

    def owner_wait_s(self, tokens: float) -> float:
        """Return when a new owner will grant what it was asked too early for."""
        left_s = self.grants_from_s - trio.current_time()
        if left_s <= 0:
            return math.inf
        return left_s + max(0.0, tokens - self.early_tokens) / self.rate


@dataclass(slots=True, eq=False)
class Charge:
    """What one request was charged, settled when it ends.

    Attributes
    ----------
    account : Account or None
        None where nothing is limited.
    tokens : float
        Tokens charged.
    is_fallback : bool
        Whether it was charged to the fixed share and not to a lease.
    is_open : bool
        Whether it is still to be settled.
    """

    account: Account | None = None
    tokens: float = 0.0
    is_fallback: bool = False
    is_open: bool = True

    def settle(self, used_tokens: float | None = None) -> None:
        """Correct the charge by what was used; a second call does nothing.

        Parameters
        ----------
        used_tokens : float, optional
            Tokens used; by default the whole charge.
        """
        if self.account is None or not self.is_open:
            return
        self.is_open = False
        self.account.used_slots -= 1
        if used_tokens is None or not self.tokens:
            return
        if self.is_fallback:
            # The owner never gave these: returned to it they would be minted.
            self.account.fallback.release(self.tokens - used_tokens)
        else:
            self.account.tokens += self.tokens - used_tokens


UNLIMITED_CHARGE = Charge(is_open=False)


def new_account(limit: Limit) -> Account:
    """Return an account without a lease, and with its fixed share full."""
    now_s = trio.current_time()
    if math.isinf(limit.tokens_per_minute):
        return Account(limit, Bucket(0.0, 0.0, 0.0, now_s))
    rate = limit.tokens_per_minute / 60 * FIRST_FALLBACK_SHARE
    return Account(limit, Bucket(rate, rate, rate, now_s))


def limit_reached(limit: Limit, lack: Lack) -> NotRun:
    """Return the refusal of a request beyond a customer's limit."""
    if lack.is_by_slots:
        of = f"{limit.concurrent_requests:g} concurrent requests"
    else:
        of = f"{limit.tokens_per_minute:g} tokens per minute"
    wait_s = min(lack.wait_s, MAX_RETRY_S)
    wait_s = max(MIN_RETRY_S, math.ceil(wait_s * 1000) / 1000)
    return NotRun(Reason.LIMIT_REACHED, wait_s, f"the limit of {of} is reached")
