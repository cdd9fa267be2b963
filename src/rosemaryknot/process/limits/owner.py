"""The agent's part in the limits: leases to entries, transfers between zones."""

import math
from collections.abc import Callable
from typing import Protocol

import trio

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.limits.budget import LEASE_S, Budget, EntryLease
from rosemaryknot.process.limits.shares import (
    LimitKey,
    ZoneMembers,
    ZoneViews,
    owner_of,
    slot_share,
)
from rosemaryknot.process.limits.transfers import Transfers
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.limits import BudgetAsk, BudgetGrant
from rosemaryknot.values.messages import Message
from rosemaryknot.values.nodes import Node
from rosemaryknot.version.tables import Limit

__all__ = ["LimitOwner", "LimitSource", "Peers"]

SETTLE_S = 5.0
TICK_S = 0.5
PAUSE_S = 2.0
FORWARD_TIMEOUT_S = 0.2
IDLE_S = 120.0
FALLBACK_SHARE = 0.1
MAX_BUDGETS = 10_000

log = logger("limits")
grants = counter("budget_asks_total", "Asks for budget at this owner, by result.")


class Peers(Protocol):
    """What is needed of the other nodes."""

    async def call(
        self, name: str, value: Message, timeout_s: float
    ) -> Message | CallFailed:
        """Call a node."""


class LimitSource(Protocol):
    """What is needed of configuration and membership."""

    def limit(self, key: LimitKey) -> Limit:
        """Return the whole limit by the configuration in force."""

    def zones(self) -> list[str]:
        """Return the zones among which a limit is shared."""

    def members(self, zone: str) -> ZoneMembers:
        """Return our nodes of a zone."""


class LimitOwner:
    """Grants budget where this node is the owner, and passes asks on where not.

    Parameters
    ----------
    node : Node
        This node.
    peers : Peers
        The other nodes.
    source : LimitSource
        Limits and members.
    handlers : Handlers
        Handlers of the agent's links; this class adds its own kinds.
    settle_s : float
        How long a new owner waits; 0 only in tests that show what it prevents.
    clock : callable
        Returns the time in seconds.

    Attributes
    ----------
    budgets : dict of LimitKey to Budget
        Budgets that this node grants.
    views : ZoneViews
        Membership of the zone, lately.
    owners : dict of LimitKey to str
        Owners among the nodes that were seen last; empty text for none.
    transfers : Transfers
        Moves budget between zones.
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
        self.views = ZoneViews(node.name, settle_s, clock())
        self.ticked_s = clock()
        self.owners: dict[LimitKey, str] = {}
        self.owners_of: tuple[Node, ...] = ()
        handlers.on(BudgetAsk)(self.handle_ask)
        self.transfers = Transfers(self, handlers)

    async def run(self) -> None:
        """Follow the membership until cancelled."""
        while True:
            self.look()
            self.forget_idle()
            await self.transfers.renew()
            await trio.sleep(TICK_S)

    def look(self) -> ZoneMembers:
        """Note who is in the zone now, and whether this process was paused."""
        now_s = self.clock()
        members = self.source.members(self.node.zone)
        if now_s - self.ticked_s > PAUSE_S:
            # A paused owner wakes up and believes that it still is one, while the
            # zone has had another for long: both would grant.
            log.warning("paused; waiting like a new owner")
            self.views.forget(members.live, now_s)
        else:
            self.views.note(members.live, now_s)
        self.ticked_s = now_s
        if members.live != self.owners_of or len(self.owners) > MAX_BUDGETS:
            self.owners_of = members.live
            self.owners.clear()
        return members

    def forget_idle(self) -> None:
        """Drop the budgets of customers that send nothing.

        One with a debt is kept until it is paid: a new budget would start full.
        """
        now_s = self.clock()
        for key, budget in list(self.budgets.items()):
            kept_s = IDLE_S + budget.bucket.wait_s(0.0)
            if now_s - budget.touched_s > kept_s and not budget.lent:
                del self.budgets[key]

    def is_owner(self, key: LimitKey, members: ZoneMembers) -> bool:
        """Tell whether this node grants a limit, by what it knows."""
        return self.owner(key, members) == self.node.name

    def owner(self, key: LimitKey, members: ZoneMembers) -> str:
        """Return the node that grants a limit; members are those of the last look."""
        name = self.owners.get(key)
        if name is None:
            owner = owner_of(key, members.live)
            name = self.owners[key] = "" if owner is None else owner.name
        return name

    def budget(self, key: LimitKey, members: ZoneMembers) -> Budget | None:
        """Return a budget with what has accrued; None where this node may not grant."""
        now_s = self.clock()
        is_settled = self.views.is_settled(key)
        rate, slots = self.zone_limit(key, members)
        budget = self.budgets.get(key)
        if budget is None:
            if len(self.budgets) >= MAX_BUDGETS:
                return None
            budget = self.budgets[key] = Budget(rate, slots, is_settled, now_s)
        elif not is_settled:
            budget.hold_back(now_s)
        if (rate, slots) != (budget.bucket.rate, budget.slots):
            budget.resize(rate, slots, now_s)
        budget.fill(now_s) if is_settled else budget.hold_back(now_s)
        return budget

    def zone_limit(self, key: LimitKey, members: ZoneMembers) -> tuple[float, float]:
        """Return this zone's tokens a second and slots, for this part of the zone."""
        limit = self.source.limit(key)
        zones = sorted(self.source.zones())
        zone = self.node.zone
        present = members.present_share
        share = present / len(zones) if zone in zones else 0.0
        rate, slots = limit.tokens_per_minute / 60, limit.concurrent_requests
        if not math.isinf(rate):
            rate *= share
        if not math.isinf(slots):
            slots = int(slot_share(key, slots, zone, zones) * present)
        return rate, slots

    def fallback_share(self, members: ZoneMembers) -> float:
        """Return the share of a limit that each entry has without an owner."""
        zones = max(1, len(self.source.zones()))
        return FALLBACK_SHARE / zones / max(1, members.known, len(members.live))

    # Asks of entries

    async def handle_ask(self, ask: BudgetAsk, link: MessageLink) -> BudgetGrant:
        """Answer an ask, here or by the owner."""
        key = LimitKey(ask.customer, ask.service)
        members = self.look()
        if self.is_owner(key, members):
            return await self.grant(key, ask, members)
        if link.hello.role == "entry":
            return await self.pass_on(key, ask, members)
        return BudgetGrant(False, fallback_share=self.fallback_share(members))

    async def pass_on(
        self, key: LimitKey, ask: BudgetAsk, members: ZoneMembers
    ) -> BudgetGrant:
        """Ask the owner for an entry of this node."""
        owner = self.owner(key, members)
        if owner:
            answer = await self.peers.call(owner, ask, FORWARD_TIMEOUT_S)
            if isinstance(answer, BudgetGrant):
                return answer
        return BudgetGrant(False, fallback_share=self.fallback_share(members))

    async def grant(
        self, key: LimitKey, ask: BudgetAsk, members: ZoneMembers
    ) -> BudgetGrant:
        """Grant what this zone has, or what other zones can spare."""
        budget = self.budget(key, members)
        now_s = self.clock()
        fallback = self.fallback_share(members)
        lease = None if budget is None else budget.take_over(ask, now_s)
        if lease is None or not self.views.is_settled(key):
            grants.add(result="not_settled" if lease else "refused")
            refusal = BudgetGrant(False, fallback_share=fallback)
            if lease is not None:
                self.note_early(key, budget, ask, refusal)
            return refusal
        if ask.needed_tokens or ask.wanted_tokens:
            budget.note_demand(ask.needed_tokens + ask.wanted_tokens, now_s)
        await self.transfers.fetch_missing(key, budget, ask)
        return self.answer(budget, lease, ask, fallback)

    def note_early(
        self, key: LimitKey, budget: Budget, ask: BudgetAsk, refusal: BudgetGrant
    ) -> None:
        """Tell an ask that comes before this owner may grant when it will."""
        now_s = self.clock()
        wait_s = self.views.settled_in_s(key, now_s)
        if not math.isfinite(wait_s):
            return
        wait_s += budget.retry_after_s(ask, now_s)
        lacks_slots = budget.missing_slots(ask, now_s) > 0
        budget.keep_turn(ask, 0.0 if lacks_slots else wait_s, now_s)
        refusal.retry_after_s, refusal.lacks_slots = wait_s, lacks_slots
        refusal.rate = budget.bucket.rate

    def answer(
        self, budget: Budget, lease: EntryLease, ask: BudgetAsk, fallback: float
    ) -> BudgetGrant:
        """Return the grant of what is there; all that is needed, or nothing."""
        now_s = self.clock()
        budget.fill(now_s)
        retry_s = budget.retry_after_s(ask, now_s)
        rate = budget.bucket.rate
        grant = BudgetGrant(True, 0.0, 0, LEASE_S, retry_s, rate, fallback)
        grant.lacks_slots = budget.missing_slots(ask, now_s) > 0
        if ask.needed_tokens:
            budget.keep_turn(ask, 0.0 if grant.lacks_slots else retry_s, now_s)
        if retry_s == 0.0:
            grant.slots = budget.grant_slots(lease, ask, now_s)
            grant.tokens = budget.grant_tokens(lease, ask)
        grants.add(result="granted" if retry_s == 0.0 else "limit_reached")
        return grant
