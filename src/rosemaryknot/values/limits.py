"""Messages that lease and transfer budgets of customers' limits."""

from dataclasses import dataclass
from typing import ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = ["BudgetRequest", "BudgetGrant", "BudgetTransfer", "BudgetTransferred"]


@message("budget_ask")
@dataclass(slots=True)
class BudgetRequest(Message):
    """Request by an entry for budget; renews its lease and returns unneeded budget.

    Sent by the entry to its agent, and by that agent to the owner.

    Attributes
    ----------
    customer, service : str
        Customer and service that the budget is for.
    entry : str
        Node of the entry.
    incarnation : int
        Incarnation of the entry; a newer one inherits nothing of an older lease.
    sequence : int
        Increases with each request of one incarnation, so that a late request is
        recognized.
    held_tokens : float
        Tokens that the entry retains.
    held_slots : int
        Slots for concurrent requests that it retains.
    used_slots : int
        Retained slots that requests in flight occupy.
    returned_tokens : float
        Tokens that it returns; negative if requests used more than was charged.
    needed_tokens : float
        Tokens of the waiting request; 0 if none waits.
    needed_slots : int
        Slots of the waiting request.
    wanted_tokens : float
        Further tokens that it expects to use.
    max_wait_s : float
        How long the request may wait, in seconds; if that is long enough, the owner
        keeps its place in the queue.
    """

    kind: ClassVar[str]
    customer: str
    service: str
    entry: str
    incarnation: int
    sequence: int
    held_tokens: float = 0.0
    held_slots: int = 0
    used_slots: int = 0
    returned_tokens: float = 0.0
    needed_tokens: float = 0.0
    needed_slots: int = 0
    wanted_tokens: float = 0.0
    max_wait_s: float = 0.0


@message("budget_grant")
@dataclass(slots=True)
class BudgetGrant(Message):
    """Response of the owner to a `BudgetRequest`.

    Attributes
    ----------
    is_owner : bool
        Whether the sender may grant budget; otherwise the entry falls back to its
        fixed share.
    tokens : float
        Tokens granted.
    slots : int
        Slots granted.
    lease_s : float
        How long the lease is valid, in seconds, counted from before the request was
        sent.
    retry_after_s : float
        When the needed budget will be available, in seconds; 0 if it was granted.
        From a sender that will soon be the owner, when it starts to grant.
    rate : float
        Tokens per second of the zone, from which the time until more tokens are
        available is computed.
    fallback_share : float
        Share of the whole limit that the entry may use while it has no owner.
    lacks_slots : bool
        Whether slots are lacking; ``retry_after_s`` is then an estimate.
    """

    kind: ClassVar[str]
    is_owner: bool
    tokens: float = 0.0
    slots: int = 0
    lease_s: float = 0.0
    retry_after_s: float = 0.0
    rate: float = 0.0
    fallback_share: float = 0.0
    lacks_slots: bool = False


@message("budget_transfer")
@dataclass(slots=True)
class BudgetTransfer(Message):
    """Request by an owner for budget of the owner in another availability zone.

    Attributes
    ----------
    customer, service : str
        Customer and service that the budget is for.
    tokens : float
        Tokens requested.
    slots : int
        Slots requested.
    held_slots : int
        Slots of this donor that the sender still holds; it has released the rest.
    sequence : int
        Increases with each request of one sender, also across its restarts.
    """

    kind: ClassVar[str]
    customer: str
    service: str
    tokens: float = 0.0
    slots: int = 0
    held_slots: int = 0
    sequence: int = 0


@message("budget_transferred")
@dataclass(slots=True)
class BudgetTransferred(Message):
    """Budget that the donor has already deducted from its own.

    Attributes
    ----------
    tokens : float
        Tokens transferred permanently.
    slots : int
        Slots transferred for a time, in addition to those that the receiver holds.
    slots_for_s : float
        How long the receiver may use all of these slots, in seconds, counted from
        before it sent the request; 0 if the donor did not record the request.
    """

    kind: ClassVar[str]
    tokens: float = 0.0
    slots: int = 0
    slots_for_s: float = 0.0
