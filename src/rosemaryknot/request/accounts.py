"""Budget that an entry leases for one customer, and charges of requests to it."""

import math
from dataclasses import dataclass, field

import trio

from rosemaryknot.process.limits.bucket import Bucket
from rosemaryknot.request.budget_queue import BudgetQueue, Shortfall
from rosemaryknot.values.limits import BudgetGrant, BudgetRequest
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.outcomes import NotRun, Reason
from rosemaryknot.version.tables import Limit

__all__ = ["UNLIMITED_CHARGE", "Account", "Charge", "limit_reached", "new_account"]

# Time for which prefetched tokens last at the current spend rate.
PREFETCH_S = 0.4
# Fixed share until an owner has sent one.
INITIAL_FALLBACK_SHARE = 0.01
MIN_RETRY_AFTER_S = 0.001
MAX_RETRY_AFTER_S = 60.0
SLOT_RETRY_AFTER_S = 1.0
# Minimum time between a refusal and the next budget request for the same shortfall.
MIN_REQUEST_INTERVAL_S = 0.2
FALLBACK_DURATION_S = 1.0
MIN_RATE_TOKENS_PER_S = 1e-3
# A spare slot is returned if no request came for this long.
SPARE_SLOT_TTL_S = 1.0


@dataclass(slots=True)
class Account:
    """Budget of one customer at one service that this entry leases.

    Attributes
    ----------
    limit : Limit
        Total limit of the customer at the service.
    fallback : Bucket
        Tokens of the fixed share, which is used while no owner responds.
    tokens : float
        Leased tokens; negative if requests used more than they were charged.
    slots, used_slots : int
        Leased slots, and those held by requests in flight.
    lease_expiry_s : float
        Expiry of the lease, in trio time.
    refused_until_s : float
        Time at which the budget that the owner refused last will be available.
    no_request_until_s : float
        Time before which the owner is not asked for it again.
    refused_tokens : float
        Tokens that the owner refused; 0 if slots were missing.
    rate : float
        Tokens per second that the zone gets.
    spent : float
        Tokens charged since the last renewal.
    spend_rate : float
        Moving mean of the tokens charged per second.
    fallback_until_s : float
        End of the use of the fixed share.
    fallback_share : float
        The fixed share, as a fraction of the total limit.
    granting_from_s, deferred_tokens : float
        Time from which a new owner that may not grant yet will grant a request, and
        the tokens of that request.
    last_request_s : float
        Arrival of the newest request, in trio time.
    is_prefetching : bool
        Whether a budget request ahead of need is under way.
    queue : BudgetQueue
        Requests that wait for tokens.
    lock : trio.Lock
        Held during a budget request, so that the owner receives one at a time.
    """

    limit: Limit
    fallback: Bucket
    tokens: float = 0.0
    slots: int = 0
    used_slots: int = 0
    lease_expiry_s: float = -math.inf
    refused_until_s: float = -math.inf
    no_request_until_s: float = -math.inf
    refused_tokens: float = math.inf
    rate: float = math.inf
    spent: float = 0.0
    spend_rate: float = 0.0
    fallback_until_s: float = -math.inf
    fallback_share: float = INITIAL_FALLBACK_SHARE
    granting_from_s: float = -math.inf
    deferred_tokens: float = 0.0
    last_request_s: float = 0.0
    is_prefetching: bool = False
    queue: BudgetQueue = field(default_factory=BudgetQueue)
    lock: trio.Lock = field(default_factory=trio.Lock)

    def expire(self, now_s: float) -> None:
        """Remove what an expired lease no longer covers; a debt remains."""
        if now_s >= self.lease_expiry_s:
            self.tokens = min(self.tokens, 0.0)
            self.slots = min(self.slots, self.used_slots)

    def has_slot(self) -> bool:
        """Return whether a slot is free for another request."""
        return math.isinf(self.limit.concurrent_requests) or (
            self.used_slots < self.slots
        )

    def covers(self, tokens: float) -> bool:
        """Return whether the lease covers a request."""
        return self.has_slot() and (tokens <= 0 or self.tokens >= tokens)

    def wanted_tokens(self) -> float:
        """Return the tokens to hold until the next renewal."""
        return self.spend_rate * PREFETCH_S

    def needs_lease(self) -> bool:
        """Return whether the lease has to be renewed."""
        held = self.used_slots or self.slots or self.tokens
        return bool(held or self.spent or self.spend_rate or self.queue)

    def known_shortfall(self, tokens: float) -> Shortfall | None:
        """Return the shortfall that follows from an earlier refusal of the owner.

        A customer that floods the entry thus costs the owner a few budget requests per
        second, and not one for each request. The owner is asked again before the time
        that it named, since budget of other zones may arrive earlier.
        """
        now_s = trio.current_time()
        if now_s >= self.no_request_until_s:
            return None
        if self.refused_tokens == 0 and not self.has_slot():
            return Shortfall(self.refused_until_s - now_s, True, True)
        lacking = tokens - max(0.0, self.tokens) - self.refused_tokens
        if tokens <= 0 or self.refused_tokens == 0 or lacking < 0:
            return None
        wait_s = self.refused_until_s - now_s + lacking / self.rate
        return Shortfall(wait_s)

    def new_request(
        self,
        key: tuple[str, str],
        node: Node,
        sequence: int,
        tokens: float,
        slots: int,
        max_wait_s: float = 0.0,
    ) -> BudgetRequest:
        """Return the next budget request; tokens that it returns leave the account."""
        wanted = self.wanted_tokens()
        returned = self.tokens - min(self.tokens, wanted)
        if self.tokens < 0:
            returned = self.tokens
        self.tokens -= returned
        is_recent = trio.current_time() - self.last_request_s < SPARE_SLOT_TTL_S
        self.slots = min(self.slots, self.used_slots + is_recent)
        is_short = tokens > 0 and self.tokens < tokens
        return BudgetRequest(
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

    def apply_grant(
        self, request: BudgetRequest, grant: BudgetGrant, sent_s: float
    ) -> None:
        """Apply a grant; the lease starts when the budget request was sent."""
        self.lease_expiry_s = sent_s + grant.lease_s
        self.tokens += grant.tokens
        self.slots += grant.slots
        self.fallback_until_s = -math.inf
        if grant.fallback_share > 0:
            self.fallback_share = grant.fallback_share
        has_needed = request.needed_tokens or request.needed_slots
        if grant.retry_after_s > 0 and has_needed:
            now_s = trio.current_time()
            self.refused_until_s = now_s + grant.retry_after_s
            self.no_request_until_s = now_s + min(
                MIN_REQUEST_INTERVAL_S, grant.retry_after_s
            )
            self.refused_tokens = 0 if grant.lacks_slots else request.needed_tokens
            self.rate = max(MIN_RATE_TOKENS_PER_S, grant.rate)

    def start_fallback(self, request: BudgetRequest, grant: BudgetGrant | None) -> None:
        """Use the fixed share until an owner grants budget again.

        Parameters
        ----------
        request : BudgetRequest
            The budget request that was not granted.
        grant : BudgetGrant or None
            Reply of a node that may not grant; None if there was no reply.
        """
        now_s = trio.current_time()
        self.fallback_until_s = now_s + FALLBACK_DURATION_S
        self.granting_from_s = -math.inf
        if grant is None:
            return
        self.fallback_share = grant.fallback_share
        if grant.retry_after_s > 0 and not grant.lacks_slots:
            # This node will be the owner soon. It keeps the position of a waiting
            # request only while it receives budget requests for it.
            self.fallback_until_s = now_s + min(
                MIN_REQUEST_INTERVAL_S, grant.retry_after_s
            )
            self.granting_from_s = now_s + grant.retry_after_s
            self.deferred_tokens = request.needed_tokens
            self.rate = max(MIN_RATE_TOKENS_PER_S, grant.rate)

    def charge_fallback(self, tokens: float) -> "Charge | Shortfall":
        """Charge the fixed share that each entry has while no owner responds."""
        limit, share, bucket = self.limit, self.fallback_share, self.fallback
        slots = limit.concurrent_requests
        if not self.has_slot() and self.used_slots >= max(1, int(slots * share)):
            wait_s = self.owner_wait_s(tokens)
            if math.isinf(wait_s):
                return Shortfall(SLOT_RETRY_AFTER_S, True, True)
            return Shortfall(wait_s, True)
        if tokens:
            bucket.rate = bucket.capacity = limit.tokens_per_minute / 60 * share
            bucket.refill(trio.current_time())
            if not bucket.acquire(tokens):
                return Shortfall(min(bucket.wait_s(tokens), self.owner_wait_s(tokens)))
        self.used_slots += 1
        self.slots = max(self.slots, self.used_slots)
        return Charge(self, tokens, is_fallback=True)

    def owner_wait_s(self, tokens: float) -> float:
        """Return the time until a new owner can grant a deferred request."""
        remaining_s = self.granting_from_s - trio.current_time()
        if remaining_s <= 0:
            return math.inf
        return remaining_s + max(0.0, tokens - self.deferred_tokens) / self.rate


@dataclass(slots=True, eq=False)
class Charge:
    """Charge of one request, settled when the request ends.

    Attributes
    ----------
    account : Account or None
        Account that was charged; None if the customer has no limit.
    tokens : float
        Tokens charged.
    is_fallback : bool
        Whether the fixed share was charged and not a lease.
    is_open : bool
        Whether the charge has not been settled yet.
    """

    account: Account | None = None
    tokens: float = 0.0
    is_fallback: bool = False
    is_open: bool = True

    def settle(self, used_tokens: float | None = None) -> None:
        """Release the slot and adjust the charge to the tokens used; idempotent.

        Parameters
        ----------
        used_tokens : float, optional
            Tokens used; by default all that were charged.
        """
        if self.account is None or not self.is_open:
            return
        self.is_open = False
        self.account.used_slots -= 1
        if used_tokens is None or not self.tokens:
            return
        if self.is_fallback:
            # These tokens did not come from the owner: returning them to it would
            # create additional budget.
            self.account.fallback.release(self.tokens - used_tokens)
        else:
            self.account.tokens += self.tokens - used_tokens


UNLIMITED_CHARGE = Charge(is_open=False)


def new_account(limit: Limit) -> Account:
    """Return an account without a lease and with a full fixed share."""
    now_s = trio.current_time()
    if math.isinf(limit.tokens_per_minute):
        return Account(limit, Bucket(0.0, 0.0, 0.0, now_s))
    rate = limit.tokens_per_minute / 60 * INITIAL_FALLBACK_SHARE
    return Account(limit, Bucket(rate, rate, rate, now_s))


def limit_reached(limit: Limit, shortfall: Shortfall) -> NotRun:
    """Return the refusal of a request that exceeds a customer's limit."""
    if shortfall.is_slot_shortfall:
        name = f"{limit.concurrent_requests:g} concurrent requests"
    else:
        name = f"{limit.tokens_per_minute:g} tokens per minute"
    wait_s = min(shortfall.wait_s, MAX_RETRY_AFTER_S)
    wait_s = max(MIN_RETRY_AFTER_S, math.ceil(wait_s * 1000) / 1000)
    return NotRun(Reason.LIMIT_REACHED, wait_s, f"the limit of {name} is reached")
