"""Budget that moves between the owners of a limit in different zones."""

from collections.abc import Iterator
from typing import Protocol

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.limits.budget import SLOTS_FOR_S, Budget
from rosemaryknot.process.limits.shares import (
    LimitKey,
    ZoneMembers,
    ZoneViews,
    owner_of,
)
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.limits import BudgetAsk, BudgetTransfer, BudgetTransferred
from rosemaryknot.values.nodes import Node

__all__ = ["Transfers"]

TIMEOUT_S = 0.1
GAP_S = 0.1
RENEW_BEFORE_S = 2.0
SEQUENCES_PER_MS = 1000

results = counter("budget_transfers_total", "Asks of other zones, by result.")


class Owner(Protocol):
    """What transfers need of the owner; see `LimitOwner`."""

    node: Node
    views: ZoneViews
    budgets: dict[LimitKey, Budget]

    def look(self) -> ZoneMembers:
        """Note who is in the zone now."""

    def is_owner(self, key: LimitKey, members: ZoneMembers) -> bool:
        """Tell whether this node grants a limit."""

    def budget(self, key: LimitKey, members: ZoneMembers) -> Budget | None:
        """Return a budget."""


class Transfers:
    """Asks the owners in other zones, and answers them.

    The donor takes out what it gives before it answers. A lost answer so loses
    budget and never mints it.

    Parameters
    ----------
    owner : LimitOwner
        The budgets.
    handlers : Handlers
        Handlers of the agent's links; this class adds its own kind.
    """

    def __init__(self, owner: Owner, handlers: Handlers) -> None:
        self.owner = owner
        self.sequence = owner.node.incarnation * SEQUENCES_PER_MS
        handlers.on(BudgetTransfer)(self.handle_transfer)

    # Asking

    async def fetch_missing(
        self, key: LimitKey, budget: Budget, ask: BudgetAsk
    ) -> None:
        """Ask the other zones for what an entry's ask lacks here."""
        now_s = self.owner.clock()
        tokens = budget.missing_tokens(ask, now_s)
        slots = budget.missing_slots(ask, now_s)
        if not (tokens or slots) or now_s < budget.next_transfer_s:
            return
        # One round at a time: a flood would otherwise ask once for each request.
        budget.next_transfer_s = now_s + GAP_S
        if tokens:
            # For some time to come, so that a zone with all of the traffic does not
            # ask for each request.
            tokens = max(tokens, budget.bucket.capacity)
        donors = list(self.donors(key))
        async with trio.open_nursery() as nursery:
            for donor in donors:
                part = tokens / len(donors)
                nursery.start_soon(self.ask_donor, key, donor, budget, part, slots)

    def donors(self, key: LimitKey) -> Iterator[str]:
        """Yield the owners in the other zones."""
        source = self.owner.source
        for zone in source.zones():
            if zone != self.owner.node.zone:
                donor = owner_of(key, source.members(zone).live)
                if donor is not None:
                    yield donor.name

    async def ask_donor(
        self, key: LimitKey, donor: str, budget: Budget, tokens: float, slots: int
    ) -> None:
        """Ask one donor, and renew what it lent."""
        asked_s = self.owner.clock()
        held = 0
        if donor in budget.borrowed:
            held = budget.spare_borrowed(donor, asked_s)
        self.sequence += 1
        wanted = BudgetTransfer(
            key.customer, key.service, tokens, slots, held, self.sequence
        )
        answer = await self.owner.peers.call(donor, wanted, TIMEOUT_S)
        if not isinstance(answer, BudgetTransferred) or not answer.slots_for_s:
            results.add(result="no_answer")
            return
        results.add(result="given" if answer.tokens or answer.slots else "empty")
        until_s = asked_s + answer.slots_for_s
        budget.receive(donor, answer.tokens, answer.slots, until_s)

    async def renew(self) -> None:
        """Renew the loans that end soon, and give up what nobody uses."""
        now_s = self.owner.clock()
        async with trio.open_nursery() as nursery:
            for key, budget in self.owner.budgets.items():
                budget.end_loans(now_s)
                for donor, loan in list(budget.borrowed.items()):
                    if loan.until_s - now_s < RENEW_BEFORE_S:
                        nursery.start_soon(self.ask_donor, key, donor, budget, 0.0, 0)

    # Giving

    async def handle_transfer(
        self, wanted: BudgetTransfer, link: MessageLink
    ) -> BudgetTransferred:
        """Give what this zone can spare."""
        owner = self.owner
        key = LimitKey(wanted.customer, wanted.service)
        members = owner.look()
        if not owner.is_owner(key, members):
            return BudgetTransferred()
        budget = owner.budget(key, members)
        now_s = owner.clock()
        borrower = link.hello.name
        if budget is None or not budget.note_loan(
            borrower, wanted.held_slots, wanted.sequence, now_s
        ):
            return BudgetTransferred()
        budget.touched_s = now_s
        if not owner.views.is_settled(key):
            return BudgetTransferred(0.0, 0, SLOTS_FOR_S)
        tokens = budget.donate_tokens(wanted.tokens, now_s)
        slots = budget.donate_slots(borrower, wanted.slots, now_s)
        return BudgetTransferred(tokens, slots, SLOTS_FOR_S)
