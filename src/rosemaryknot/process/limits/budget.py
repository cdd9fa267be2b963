"""What the owner of one limit knows of it."""

import math
from dataclasses import dataclass

from rosemaryknot.process.limits.bucket import Bucket
from rosemaryknot.values.limits import BudgetAsk

__all__ = ["LEASE_S", "SLOTS_FOR_S", "Budget", "EntryLease"]

LEASE_S = 1.0
USED_SLOT_S = 5.0
SLOTS_FOR_S = 3.0
RETAKE_MARGIN_S = 0.5
BURST_S = 1.0
SPARE_SHARE = 0.5
DEMAND_WINDOW_S = 1.0
SLOT_RETRY_S = 1.0
TURN_S = 0.6


@dataclass(slots=True)
class EntryLease:
    """What one entry holds.

    Attributes
    ----------
    incarnation, sequence : int
        Of its newest ask.
    tokens : float
        Tokens that it may still spend.
    slots, used_slots : int
        Slots that it holds, and that its requests in flight take up.
    asked_s : float
        When it last asked.
    """

    incarnation: int
    sequence: int
    tokens: float
    slots: int
    used_slots: int
    asked_s: float

    def tokens_at(self, now_s: float) -> float:
        """Return the tokens that it may still spend."""
        return self.tokens if now_s < self.asked_s + LEASE_S else 0.0

    def slots_at(self, now_s: float) -> int:
        """Return the slots that must count as held.

        The requests of an entry that falls silent go on, so the slots that they use
        stay taken for longer than those that it had to spare.
        """
        if now_s < self.asked_s + LEASE_S:
            return self.slots
        return self.used_slots if now_s < self.asked_s + USED_SLOT_S else 0


@dataclass(slots=True)
class Loan:
    """Slots that one zone lent to another one.

    Attributes
    ----------
    slots : int
        How many.
    until_s : float
        When they are back, unless the loan is renewed.
    sequence : int
        Newest ask of the borrower.
    """

    slots: int
    until_s: float
    sequence: int = 0


@dataclass(slots=True)
class Turn:
    """An entry's request that waits for tokens.

    Attributes
    ----------
    tokens : float
        Tokens that it needs.
    until_s : float
        When the turn is lost, unless the entry asks again.
    """

    tokens: float
    until_s: float


class Budget:
    """The budget of one limit in one zone.

    Parameters
    ----------
    rate : float
        Tokens a second of the zone; infinite where not limited.
    slots : int or float
        Slots of the zone; infinite where not limited.
    is_full : bool
        Whether it starts full; a new owner's starts empty.
    now_s : float
        The time.

    Attributes
    ----------
    bucket : Bucket
        Tokens.
    slots : int or float
        Slots of the zone.
    leases : dict of str to EntryLease
        What the entries hold, by node.
    lent, borrowed : dict of str to Loan
        Slots at the owners in other zones, and from them, by node.
    turns : dict of str to Turn
        Requests that wait for tokens, one an entry, by node; first come first.
    held : float
        Tokens on lease when the bucket was last filled.
    demand : float
        Tokens a second that the zone's entries asked for lately.
    touched_s : float
        When an entry last asked.
    """

    def __init__(self, rate: float, slots: float, is_full: bool, now_s: float) -> None:
        capacity = rate * BURST_S
        self.bucket = Bucket(rate, capacity, capacity if is_full else 0.0, now_s)
        self.slots = slots
        self.leases: dict[str, EntryLease] = {}
        self.lent: dict[str, Loan] = {}
        self.borrowed: dict[str, Loan] = {}
        self.turns: dict[str, Turn] = {}
        self.held = 0.0
        self.demand = 0.0
        self.demand_s = now_s
        self.touched_s = now_s
        self.next_transfer_s = -math.inf

    def resize(self, rate: float, slots: float, now_s: float) -> None:
        """Take over a changed limit or share."""
        self.fill(now_s)
        self.bucket.rate = rate
        self.bucket.capacity = rate * BURST_S
        self.bucket.balance = min(self.bucket.balance, self.bucket.capacity)
        self.slots = slots

    def fill(self, now_s: float) -> None:
        """Let tokens accrue and loans end."""
        self.held = sum(lease.tokens_at(now_s) for lease in self.leases.values())
        self.bucket.fill(now_s, self.held)
        self.end_loans(now_s)

    def end_loans(self, now_s: float) -> None:
        """Drop the loans that were not renewed."""
        for loans in (self.lent, self.borrowed):
            for name in [n for n, loan in loans.items() if loan.until_s <= now_s]:
                del loans[name]

    def ahead(self, entry: str, now_s: float) -> float:
        """Return the tokens of the requests whose turn is before an entry's."""
        for name in [n for n, turn in self.turns.items() if turn.until_s <= now_s]:
            del self.turns[name]
        ahead = 0.0
        for name, turn in self.turns.items():
            if name == entry:
                break
            ahead += turn.tokens
        return ahead

    def keep_turn(self, ask: BudgetAsk, wait_s: float, now_s: float) -> None:
        """Note that an entry's request waits, or that it does not.

        Smaller requests of other entries would else take the tokens as they come,
        and the bucket would never hold enough for a large one.
        """
        if not 0 < wait_s <= ask.max_wait_s:
            self.turns.pop(ask.entry, None)
            return
        # A turn that is renewed stays where it is in the order.
        self.turns[ask.entry] = Turn(ask.needed_tokens, now_s + TURN_S)

    def reserved(self) -> float:
        """Return the tokens that requests wait for."""
        return sum(turn.tokens for turn in self.turns.values())

    def hold_back(self, now_s: float) -> None:
        """Let no tokens accrue: this node is not a settled owner."""
        self.bucket.filled_s = now_s
        self.bucket.balance = min(self.bucket.balance, 0.0)

    def free_slots(self, now_s: float) -> float:
        """Return the slots that nobody holds; negative where too many are held."""
        held = sum(lease.slots_at(now_s) for lease in self.leases.values())
        lent = sum(loan.slots for loan in self.lent.values())
        borrowed = sum(loan.slots for loan in self.borrowed.values())
        return self.slots + borrowed - lent - held

    def take_over(self, ask: BudgetAsk, now_s: float) -> EntryLease | None:
        """Note what an entry holds, and take back what it returns.

        Returns
        -------
        lease : EntryLease or None
            None for an ask that a newer one has overtaken.
        """
        known = self.leases.get(ask.entry)
        order = (ask.incarnation, ask.sequence)
        if known is not None and (known.incarnation, known.sequence) >= order:
            return None
        lease = EntryLease(
            ask.incarnation,
            ask.sequence,
            max(0.0, ask.held_tokens),
            max(0, ask.held_slots),
            max(0, ask.used_slots),
            now_s,
        )
        self.leases[ask.entry] = lease
        self.bucket.give_back(ask.returned_tokens)
        self.touched_s = now_s
        return lease

    def note_demand(self, tokens: float, now_s: float) -> None:
        """Count tokens that an entry spends."""
        kept = math.exp(-(now_s - self.demand_s) / DEMAND_WINDOW_S)
        self.demand = self.demand * kept + tokens / DEMAND_WINDOW_S
        self.demand_s = now_s

    def missing_tokens(self, ask: BudgetAsk, now_s: float) -> float:
        """Return the tokens without which the ask cannot be granted."""
        if not ask.needed_tokens:
            return 0.0
        ahead = self.ahead(ask.entry, now_s)
        needed = self.bucket.needed(ask.needed_tokens, self.held)
        if self.bucket.balance >= ahead + needed:
            return 0.0
        return ahead + ask.needed_tokens - self.bucket.balance

    def missing_slots(self, ask: BudgetAsk, now_s: float) -> int:
        """Return the slots without which the ask cannot be granted."""
        if not ask.needed_slots or math.isinf(self.slots):
            return 0
        return int(max(0, ask.needed_slots - self.free_slots(now_s)))

    def grant_slots(self, lease: EntryLease, ask: BudgetAsk, now_s: float) -> int:
        """Grant what is needed, and a spare one while there are many."""
        if math.isinf(self.slots) or not ask.needed_slots:
            return 0
        free = self.free_slots(now_s)
        if free < ask.needed_slots:
            return 0
        spare = int((free - ask.needed_slots) * SPARE_SHARE / max(1, len(self.leases)))
        granted = ask.needed_slots + spare
        # They count as used from now on: the entry may use all of them and die before
        # it tells.
        lease.slots += granted
        lease.used_slots += granted
        return granted

    def grant_tokens(self, lease: EntryLease, ask: BudgetAsk) -> float:
        """Grant what is needed, and some of what is expected to be."""
        needed = ask.needed_tokens
        if needed and not self.bucket.take(needed, self.held):
            return 0.0
        left = max(0.0, self.bucket.balance - self.reserved())
        spare = min(ask.wanted_tokens, left * SPARE_SHARE)
        self.bucket.balance -= spare
        # What is needed is spent as it comes, and only the rest is in stock there.
        lease.tokens += spare
        return needed + spare

    def donate_tokens(self, wanted: float, now_s: float) -> float:
        """Take out what another zone may have: what this one will not need soon."""
        if math.isinf(self.bucket.rate):
            return 0.0
        self.note_demand(0.0, now_s)
        reserve = min(self.demand, self.bucket.rate) * BURST_S / 2
        reserve += self.reserved()
        given = max(0.0, min(wanted, self.bucket.balance - reserve))
        self.bucket.balance -= given
        return given

    def note_loan(self, borrower: str, held: int, sequence: int, now_s: float) -> bool:
        """Note what a borrower still holds; False for an ask overtaken by a newer one.

        A loan counts as lent for longer than the borrower may use it, since the
        borrower's time runs from before it asked. It comes back by itself, whatever
        is lost.
        """
        known = self.lent.get(borrower)
        if known is not None and known.sequence >= sequence:
            return False
        until_s = now_s + SLOTS_FOR_S + RETAKE_MARGIN_S
        self.lent[borrower] = Loan(max(0, held), until_s, sequence)
        return True

    def donate_slots(self, borrower: str, wanted: int, now_s: float) -> int:
        """Lend free slots to a borrower whose ask has been noted."""
        if math.isinf(self.slots):
            return 0
        given = int(max(0, min(wanted, self.free_slots(now_s))))
        self.lent[borrower].slots += given
        return given

    def spare_borrowed(self, donor: str, now_s: float) -> int:
        """Give up the borrowed slots that nobody holds; return how many stay."""
        loan = self.borrowed[donor]
        loan.slots -= int(max(0, min(loan.slots, self.free_slots(now_s))))
        return loan.slots

    def receive(self, donor: str, tokens: float, slots: int, until_s: float) -> None:
        """Add what another zone has taken out of its budget."""
        self.bucket.balance += max(0.0, tokens)
        known = self.borrowed.get(donor)
        held = slots + (0 if known is None else known.slots)
        if held > 0:
            self.borrowed[donor] = Loan(held, until_s)

    def retry_after_s(self, ask: BudgetAsk, now_s: float) -> float:
        """Return when an ask that is not granted now will be."""
        wait_s = 0.0
        if ask.needed_tokens:
            ahead = self.ahead(ask.entry, now_s)
            wait_s = self.bucket.wait_s(ask.needed_tokens, self.held, ahead)
        if self.missing_slots(ask, now_s):
            wait_s = max(wait_s, SLOT_RETRY_S)
        return wait_s
