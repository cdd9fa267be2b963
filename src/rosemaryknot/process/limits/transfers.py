"""Transfers of budget between the owners of a limit in different zones."""

from collections.abc import Iterator
from typing import Protocol

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.limits.budget import LOAN_DURATION_S, Budget
from rosemaryknot.process.limits.shares import (
    LimitKey,
    MembershipHistory,
    ZoneMembers,
    owner_of,
)
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.limits import BudgetRequest, BudgetTransfer, BudgetTransferred
from rosemaryknot.values.nodes import Node

__all__ = ["Transfers"]

CALL_TIMEOUT_S = 0.1
MIN_ROUND_INTERVAL_S = 0.1
RENEW_BEFORE_S = 2.0
SEQUENCES_PER_MS = 1000

results = counter("budget_transfers_total", "Asks of other zones, by result.")


class Owner(Protocol):
    """Interface of the owner that transfers use; see `LimitOwner`."""

    node: Node
    memberships: MembershipHistory
    budgets: dict[LimitKey, Budget]

    def refresh_members(self) -> ZoneMembers:
        """Record the current members of the zone."""

    def is_owner(self, key: LimitKey, members: ZoneMembers) -> bool:
        """Return whether this node is the owner of a limit."""

    def budget(self, key: LimitKey, members: ZoneMembers) -> Budget | None:
        """Return the budget of a limit."""


class Transfers:
    """Requests budget from the owners in other zones and responds to their requests.

    The donor withdraws the budget before it responds, so a lost response can lose
    budget but never create it.

    Parameters
    ----------
    owner : LimitOwner
        Owner of the budgets in this zone.
    handlers : Handlers
        Handlers of the agent's links; this class registers its message type.
    """

    def __init__(self, owner: Owner, handlers: Handlers) -> None:
        self.owner = owner
        self.sequence = owner.node.incarnation * SEQUENCES_PER_MS
        handlers.on(BudgetTransfer)(self.handle_transfer)

    # Requests to donors.

    async def fetch_missing(
        self, key: LimitKey, budget: Budget, ask: BudgetRequest
    ) -> None:
        """Request the budget that an entry needs and this zone lacks from others."""
        now_s = self.owner.clock()
        tokens = budget.missing_tokens(ask, now_s)
        slots = budget.missing_slots(ask, now_s)
        if not (tokens or slots) or now_s < budget.next_transfer_s:
            return
        # Limit the rate of rounds: under overload, each request would otherwise cause
        # requests to all donors.
        budget.next_transfer_s = now_s + MIN_ROUND_INTERVAL_S
        if tokens:
            # Request enough for some time, so a zone that receives all traffic does
            # not send requests to the donors for each of its own.
            tokens = max(tokens, budget.bucket.capacity)
        donors = list(self.donors(key))
        async with trio.open_nursery() as nursery:
            for donor in donors:
                part = tokens / len(donors)
                nursery.start_soon(
                    self.request_from_donor, key, donor, budget, part, slots
                )

    def donors(self, key: LimitKey) -> Iterator[str]:
        """Yield the names of the owners in the other zones."""
        source = self.owner.source
        for zone in source.zones():
            if zone != self.owner.node.zone:
                donor = owner_of(key, source.members(zone).live)
                if donor is not None:
                    yield donor.name

    async def request_from_donor(
        self, key: LimitKey, donor: str, budget: Budget, tokens: float, slots: int
    ) -> None:
        """Request budget from one donor, and renew its loan."""
        requested_s = self.owner.clock()
        held = 0
        if donor in budget.borrowed:
            held = budget.return_borrowed(donor, requested_s)
        self.sequence += 1
        request = BudgetTransfer(
            key.customer, key.service, tokens, slots, held, self.sequence
        )
        response = await self.owner.peers.call(donor, request, CALL_TIMEOUT_S)
        if not isinstance(response, BudgetTransferred) or not response.slots_for_s:
            results.add(result="no_answer")
            return
        results.add(result="given" if response.tokens or response.slots else "empty")
        deadline_s = requested_s + response.slots_for_s
        budget.apply_transfer(donor, response.tokens, response.slots, deadline_s)

    async def renew(self) -> None:
        """Renew the loans that expire soon, and return unused slots."""
        now_s = self.owner.clock()
        async with trio.open_nursery() as nursery:
            for key, budget in self.owner.budgets.items():
                budget.expire_loans(now_s)
                for donor, loan in list(budget.borrowed.items()):
                    if loan.deadline_s - now_s < RENEW_BEFORE_S:
                        nursery.start_soon(
                            self.request_from_donor, key, donor, budget, 0.0, 0
                        )

    # Responses as a donor.

    async def handle_transfer(
        self, request: BudgetTransfer, link: MessageLink
    ) -> BudgetTransferred:
        """Transfer the budget that this zone can spare."""
        owner = self.owner
        key = LimitKey(request.customer, request.service)
        members = owner.refresh_members()
        if not owner.is_owner(key, members):
            return BudgetTransferred()
        budget = owner.budget(key, members)
        now_s = owner.clock()
        borrower = link.hello.name
        if budget is None or not budget.record_loan(
            borrower, request.held_slots, request.sequence, now_s
        ):
            return BudgetTransferred()
        budget.last_used_s = now_s
        if not owner.memberships.is_settled(key):
            return BudgetTransferred(0.0, 0, LOAN_DURATION_S)
        tokens = budget.donate_tokens(request.tokens, now_s)
        slots = budget.donate_slots(borrower, request.slots, now_s)
        return BudgetTransferred(tokens, slots, LOAN_DURATION_S)
