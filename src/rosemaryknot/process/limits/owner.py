"""Owner of limits: grants leases to entries and transfers budget between zones.

Each limit has one owner among the agents of each zone. The owner leases tokens and
slots of the zone's share to the entry processes. Nodes that are not the owner forward
the budget requests of their entries to it.
"""

import math
from collections.abc import Callable
from typing import Protocol

import trio

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.limits.budget import LEASE_S, Budget, EntryLease
from rosemaryknot.process.limits.shares import (
    LimitKey,
    MembershipHistory,
    ZoneMembers,
    owner_of,
    slot_share,
)
from rosemaryknot.process.limits.transfers import Transfers
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.limits import BudgetGrant, BudgetRequest
from rosemaryknot.values.messages import Message
from rosemaryknot.values.nodes import Node
from rosemaryknot.version.tables import Limit

__all__ = ["LimitOwner", "LimitSource", "Peers"]

SETTLE_S = 5.0
TICK_S = 0.5
PAUSE_THRESHOLD_S = 2.0
FORWARD_TIMEOUT_S = 0.2
IDLE_TTL_S = 120.0
FALLBACK_SHARE = 0.1
MAX_BUDGETS = 10_000

log = logger("limits")
grants = counter("budget_asks_total", "Asks for budget at this owner, by result.")


class Peers(Protocol):
    """Interface for calls to other nodes."""

    async def call(
        self, name: str, value: Message, timeout_s: float
    ) -> Message | CallFailed:
        """Send a message to a node and return the response."""


class LimitSource(Protocol):
    """Interface to the configured limits and the membership of zones."""

    def limit(self, key: LimitKey) -> Limit:
        """Return the limit over all zones in the current configuration."""

    def zones(self) -> list[str]:
        """Return the zones that share a limit."""

    def members(self, zone: str) -> ZoneMembers:
        """Return the nodes of a zone."""


class LimitOwner:
    """Grants budget of owned limits and forwards budget requests for others.

    Parameters
    ----------
    node : Node
        This node.
    peers : Peers
        Interface for calls to other nodes.
    source : LimitSource
        Configured limits and members of zones.
    handlers : Handlers
        Handlers of the agent's links; this class registers its message types.
    settle_s : float
        Time that a new owner waits before it grants. Only tests that demonstrate
        the need for the wait use 0.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    budgets : dict of LimitKey to Budget
        Budgets owned by this node.
    memberships : MembershipHistory
        Recent memberships of the zone.
    owners : dict of LimitKey to str
        Cached owners for ``owners_members``; an empty string means no owner.
    owners_members : tuple of Node
        Live nodes of the zone for which ``owners`` is valid.
    transfers : Transfers
        Transfers of budget between zones.
    """

    def __init__(
        self,
        node: Node,
        peers: Peers,
        source: LimitSource,
        handlers: Handlers,
        settle_s: float = SETTLE_S,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.node = node
        self.peers = peers
        self.source = source
        self.clock = clock
        self.budgets: dict[LimitKey, Budget] = {}
        self.memberships = MembershipHistory(node.name, settle_s, clock())
        self.last_tick_s = clock()
        self.owners: dict[LimitKey, str] = {}
        self.owners_members: tuple[Node, ...] = ()
        handlers.on(BudgetRequest)(self.handle_budget_request)
        self.transfers = Transfers(self, handlers)

    async def run(self) -> None:
        """Refresh membership, evict idle budgets and renew loans until cancelled."""
        while True:
            self.refresh_members()
            self.evict_idle()
            await self.transfers.renew()
            await trio.sleep(TICK_S)

    def refresh_members(self) -> ZoneMembers:
        """Record the current members of the zone and detect pauses of this process."""
        now_s = self.clock()
        members = self.source.members(self.node.zone)
        if now_s - self.last_tick_s > PAUSE_THRESHOLD_S:
            # An owner that resumes after a pause still considers itself the owner,
            # but the zone may have chosen another one meanwhile: both would grant.
            log.warning("process was paused; waiting to settle as a new owner")
            self.memberships.reset(members.live, now_s)
        else:
            self.memberships.record(members.live, now_s)
        self.last_tick_s = now_s
        if members.live != self.owners_members or len(self.owners) > MAX_BUDGETS:
            self.owners_members = members.live
            self.owners.clear()
        return members

    def evict_idle(self) -> None:
        """Evict the budgets of customers that send no requests.

        A budget with a debt is kept until the debt is repaid, because a new budget
        would start full.
        """
        now_s = self.clock()
        for key, budget in list(self.budgets.items()):
            ttl_s = IDLE_TTL_S + budget.bucket.wait_s(0.0)
            if now_s - budget.last_used_s > ttl_s and not budget.lent:
                del self.budgets[key]

    def is_owner(self, key: LimitKey, members: ZoneMembers) -> bool:
        """Return whether this node is the owner of a limit for these members."""
        return self.owner(key, members) == self.node.name

    def owner(self, key: LimitKey, members: ZoneMembers) -> str:
        """Return the name of the owner of a limit, or an empty string.

        The members must be those of the last call of `refresh_members`.
        """
        name = self.owners.get(key)
        if name is None:
            owner = owner_of(key, members.live)
            name = self.owners[key] = "" if owner is None else owner.name
        return name

    def budget(self, key: LimitKey, members: ZoneMembers) -> Budget | None:
        """Return the refilled budget of a limit, or None if there are too many budgets.

        Tokens accrue only while this node is a settled owner.
        """
        now_s = self.clock()
        is_settled = self.memberships.is_settled(key)
        rate, slots = self.zone_limit(key, members)
        budget = self.budgets.get(key)
        if budget is None:
            if len(self.budgets) >= MAX_BUDGETS:
                return None
            budget = self.budgets[key] = Budget(rate, slots, is_settled, now_s)
        elif not is_settled:
            budget.suspend_accrual(now_s)
        if (rate, slots) != (budget.bucket.rate, budget.slots):
            budget.resize(rate, slots, now_s)
        budget.refill(now_s) if is_settled else budget.suspend_accrual(now_s)
        return budget

    def zone_limit(self, key: LimitKey, members: ZoneMembers) -> tuple[float, float]:
        """Return the tokens per second and slots that this owner may grant.

        They are the zone's share of the limit, reduced to the share of the zone's
        nodes that are visible to this node.
        """
        limit = self.source.limit(key)
        zones = sorted(self.source.zones())
        zone = self.node.zone
        present_share = members.present_share
        share = present_share / len(zones) if zone in zones else 0.0
        rate, slots = limit.tokens_per_minute / 60, limit.concurrent_requests
        if not math.isinf(rate):
            rate *= share
        if not math.isinf(slots):
            slots = int(slot_share(key, slots, zone, zones) * present_share)
        return rate, slots

    def fallback_share(self, members: ZoneMembers) -> float:
        """Return the share of a limit that each entry may use without an owner."""
        zones = max(1, len(self.source.zones()))
        return FALLBACK_SHARE / zones / max(1, members.known, len(members.live))

    # Budget requests from entries.

    async def handle_budget_request(
        self, ask: BudgetRequest, link: MessageLink
    ) -> BudgetGrant:
        """Grant a budget request, or forward it to the owner if from an entry."""
        key = LimitKey(ask.customer, ask.service)
        members = self.refresh_members()
        if self.is_owner(key, members):
            return await self.grant(key, ask, members)
        if link.hello.role == "entry":
            return await self.forward(key, ask, members)
        return BudgetGrant(False, fallback_share=self.fallback_share(members))

    async def forward(
        self, key: LimitKey, ask: BudgetRequest, members: ZoneMembers
    ) -> BudgetGrant:
        """Forward the budget request of a local entry to the owner."""
        owner = self.owner(key, members)
        if owner:
            response = await self.peers.call(owner, ask, FORWARD_TIMEOUT_S)
            if isinstance(response, BudgetGrant):
                return response
        return BudgetGrant(False, fallback_share=self.fallback_share(members))

    async def grant(
        self, key: LimitKey, ask: BudgetRequest, members: ZoneMembers
    ) -> BudgetGrant:
        """Grant a budget request from this zone, or from what other zones can spare."""
        budget = self.budget(key, members)
        now_s = self.clock()
        fallback = self.fallback_share(members)
        lease = None if budget is None else budget.apply_request(ask, now_s)
        if lease is None or not self.memberships.is_settled(key):
            grants.add(result="not_settled" if lease else "refused")
            refusal = BudgetGrant(False, fallback_share=fallback)
            if lease is not None:
                self.set_early_retry(key, budget, ask, refusal)
            return refusal
        if ask.needed_tokens or ask.wanted_tokens:
            budget.record_demand(ask.needed_tokens + ask.wanted_tokens, now_s)
        await self.transfers.fetch_missing(key, budget, ask)
        return self.build_grant(budget, lease, ask, fallback)

    def set_early_retry(
        self, key: LimitKey, budget: Budget, ask: BudgetRequest, refusal: BudgetGrant
    ) -> None:
        """Set the retry time of a budget request that arrives before settling."""
        now_s = self.clock()
        wait_s = self.memberships.settled_in_s(key, now_s)
        if not math.isfinite(wait_s):
            return
        wait_s += budget.retry_after_s(ask, now_s)
        lacks_slots = budget.missing_slots(ask, now_s) > 0
        budget.update_queue(ask, 0.0 if lacks_slots else wait_s, now_s)
        refusal.retry_after_s, refusal.lacks_slots = wait_s, lacks_slots
        refusal.rate = budget.bucket.rate

    def build_grant(
        self, budget: Budget, lease: EntryLease, ask: BudgetRequest, fallback: float
    ) -> BudgetGrant:
        """Return a grant of all that is needed, or of nothing."""
        now_s = self.clock()
        budget.refill(now_s)
        retry_s = budget.retry_after_s(ask, now_s)
        rate = budget.bucket.rate
        grant = BudgetGrant(True, 0.0, 0, LEASE_S, retry_s, rate, fallback)
        grant.lacks_slots = budget.missing_slots(ask, now_s) > 0
        if ask.needed_tokens:
            budget.update_queue(ask, 0.0 if grant.lacks_slots else retry_s, now_s)
        if retry_s == 0.0:
            grant.slots = budget.grant_slots(lease, ask, now_s)
            grant.tokens = budget.grant_tokens(lease, ask)
        grants.add(result="granted" if retry_s == 0.0 else "limit_reached")
        return grant
