"""Messages by which budgets of customers' limits are leased and transferred."""

from dataclasses import dataclass
from typing import ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = ["BudgetAsk", "BudgetGrant", "BudgetTransfer", "BudgetTransferred"]


@message("budget_ask")
@dataclass(slots=True)
class BudgetAsk(Message):
    """An entry asks for budget, renews its lease and gives back what it can spare.

    Sent by the entry to its agent, and by that agent to the owner.

    Attributes
    ----------
    customer, service : str
        What the budget is for.
    entry : str
        Node of the entry.
    incarnation : int
        Life of the entry; a newer one holds nothing of the older one's lease.
    sequence : int
        Rises with each ask of one life, so that a late ask is recognized.
    held_tokens : float
        Tokens that the entry keeps.
    held_slots : int
        Slots for concurrent requests that it keeps.
    used_slots : int
        Those of them that requests in flight take up.
    returned_tokens : float
        Tokens that it gives back; negative where requests used more than charged.
    needed_tokens : float
        Tokens of the request that waits, 0 where none does.
    needed_slots : int
        Slots of the request that waits.
    wanted_tokens : float
        Tokens that it expects to spend besides.
    max_wait_s : float
        How long the request that waits may do so, in seconds; the owner keeps its
        turn where that is long enough.
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
    """The owner's answer to a `BudgetAsk`.

    Attributes
    ----------
    is_owner : bool
        Whether the sender may grant; else the entry falls back to its fixed share.
    tokens : float
        Tokens granted.
    slots : int
        Slots granted.
    lease_s : float
        How long the lease holds, in seconds from before the ask was sent.
    retry_after_s : float
        When what was needed and not granted will be there, in seconds; 0 where it
        was granted. Of a sender that will be the owner soon, the time from when
        on it grants.
    rate : float
        Tokens a second of the zone, by which the time for more than that is known.
    fallback_share : float
        Share of the whole limit that the entry may use while it has no owner.
    lacks_slots : bool
        Whether slots are missing: the time named is then a guess.
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
    """An owner asks the owner in another zone for budget.

    Attributes
    ----------
    customer, service : str
        What the budget is for.
    tokens : float
        Tokens that are wanted.
    slots : int
        Slots that are wanted.
    held_slots : int
        Slots of this donor that the sender still holds; it has given up the rest.
    sequence : int
        Rises with each ask of one sender, over its restarts too.
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
    """What the donor has already taken out of its own budget.

    Attributes
    ----------
    tokens : float
        Tokens given, for good.
    slots : int
        Slots given for a time, besides those that the sender holds.
    slots_for_s : float
        How long the receiver may use all of them, in seconds from before it asked;
        0 where the donor has not noted the ask.
    """

    kind: ClassVar[str]
    tokens: float = 0.0
    slots: int = 0
    slots_for_s: float = 0.0
