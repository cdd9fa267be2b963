"""Budget of one limit in one zone, as held by its owner.

The owner of a limit leases tokens and slots to the entry processes of its zone. Slots
bound the concurrent requests.
"""

import math
from dataclasses import dataclass

from rosemaryknot.process.limits.bucket import Bucket
from rosemaryknot.values.limits import BudgetRequest

__all__ = ["LEASE_S", "LOAN_DURATION_S", "Budget", "EntryLease"]

LEASE_S = 1.0
USED_SLOT_TTL_S = 5.0
LOAN_DURATION_S = 3.0
LOAN_MARGIN_S = 0.5
BURST_S = 1.0
SPARE_SHARE = 0.5
DEMAND_WINDOW_S = 1.0
SLOT_RETRY_S = 1.0
QUEUE_ENTRY_TTL_S = 0.6


@dataclass(slots=True)
class EntryLease:
    """Tokens and slots leased to one entry process.

    Attributes
    ----------
    incarnation, sequence : int
        Incarnation and sequence number of the entry's latest budget request.
    tokens : float
        Tokens that the entry may still spend.
    slots, used_slots : int
        Slots leased to the entry, and slots in use by its requests in flight.
    last_request_s : float
        Time of the entry's latest budget request.
    """

    incarnation: int
    sequence: int
    tokens: float
    slots: int
    used_slots: int
    last_request_s: float

    def tokens_at(self, now_s: float) -> float:
        """Return the tokens that the entry may still spend."""
        return self.tokens if now_s < self.last_request_s + LEASE_S else 0.0

    def slots_at(self, now_s: float) -> int:
        """Return the slots that must be counted as held.

        The requests of a silent entry continue, so the slots in use expire later than
        the spare ones.
        """
        if now_s < self.last_request_s + LEASE_S:
            return self.slots
        return self.used_slots if now_s < self.last_request_s + USED_SLOT_TTL_S else 0


@dataclass(slots=True)
class Loan:
    """Slots lent by one zone to another.

    Attributes
    ----------
    slots : int
        Number of slots.
    deadline_s : float
        Time at which the slots return to the donor unless the loan is renewed.
    sequence : int
        Sequence number of the borrower's latest request.
    """

    slots: int
    deadline_s: float
    sequence: int = 0


@dataclass(slots=True)
class QueuedRequest:
    """A request of an entry that waits for tokens.

    Attributes
    ----------
    tokens : float
        Tokens that the request needs.
    deadline_s : float
        Time at which the request leaves the queue unless the entry repeats its
        budget request.
    """

    tokens: float
    deadline_s: float


class Budget:
    """The budget of one limit in one zone.

    Parameters
    ----------
    rate : float
        Tokens per second of the zone; infinite if not limited.
    slots : int or float
        Slots of the zone; infinite if not limited.
    is_full : bool
        Whether the bucket starts full. The bucket of a new owner starts empty.
    now_s : float
        Current time.

    Attributes
    ----------
    bucket : Bucket
        Token bucket of the zone.
    slots : int or float
        Slots of the zone.
    leases : dict of str to EntryLease
        Leases of the entries by node.
    lent, borrowed : dict of str to Loan
        Slots lent to and borrowed from the owners in other zones, by node.
    queued_requests : dict of str to QueuedRequest
        Requests that wait for tokens by node, in order of arrival, at most one for
        each entry.
    leased_tokens : float
        Tokens on lease when the bucket was last refilled.
    demand : float
        Recent demand of the zone's entries in tokens per second.
    last_used_s : float
        Time of the latest budget request of an entry or another zone.
    """

    def __init__(self, rate: float, slots: float, is_full: bool, now_s: float) -> None:
        capacity = rate * BURST_S
        self.bucket = Bucket(rate, capacity, capacity if is_full else 0.0, now_s)
        self.slots = slots
        self.leases: dict[str, EntryLease] = {}
        self.lent: dict[str, Loan] = {}
        self.borrowed: dict[str, Loan] = {}
        self.queued_requests: dict[str, QueuedRequest] = {}
        self.leased_tokens = 0.0
        self.demand = 0.0
        self.demand_updated_s = now_s
        self.last_used_s = now_s
        self.next_transfer_s = -math.inf

    def resize(self, rate: float, slots: float, now_s: float) -> None:
        """Apply a changed limit or share."""
        self.refill(now_s)
        self.bucket.rate = rate
        self.bucket.capacity = rate * BURST_S
        self.bucket.balance = min(self.bucket.balance, self.bucket.capacity)
        self.slots = slots

    def refill(self, now_s: float) -> None:
        """Add the tokens accrued since the last call and remove expired loans."""
        self.leased_tokens = sum(
            lease.tokens_at(now_s) for lease in self.leases.values()
        )
        self.bucket.refill(now_s, self.leased_tokens)
        self.expire_loans(now_s)

    def expire_loans(self, now_s: float) -> None:
        """Remove the loans that were not renewed in time."""
        for loans in (self.lent, self.borrowed):
            for name in [n for n, loan in loans.items() if loan.deadline_s <= now_s]:
                del loans[name]

    def tokens_ahead(self, entry: str, now_s: float) -> float:
        """Return the tokens of the requests queued ahead of an entry's request."""
        for name in [
            n
            for n, request in self.queued_requests.items()
            if request.deadline_s <= now_s
        ]:
            del self.queued_requests[name]
        tokens = 0.0
        for name, request in self.queued_requests.items():
            if name == entry:
                break
            tokens += request.tokens
        return tokens

    def update_queue(self, ask: BudgetRequest, wait_s: float, now_s: float) -> None:
        """Queue the request of an entry if it waits, otherwise remove it.

        Without the queue, smaller requests of other entries would take the tokens as
        they accrue, and the bucket would never hold enough for a large request.
        """
        if not 0 < wait_s <= ask.max_wait_s:
            self.queued_requests.pop(ask.entry, None)
            return
        # A renewed request keeps its position in the queue.
        self.queued_requests[ask.entry] = QueuedRequest(
            ask.needed_tokens, now_s + QUEUE_ENTRY_TTL_S
        )

    def queued_tokens(self) -> float:
        """Return the tokens needed by all queued requests."""
        return sum(request.tokens for request in self.queued_requests.values())

    def suspend_accrual(self, now_s: float) -> None:
        """Prevent tokens from accruing while this node is not a settled owner."""
        self.bucket.refilled_s = now_s
        self.bucket.balance = min(self.bucket.balance, 0.0)

    def free_slots(self, now_s: float) -> float:
        """Return the number of free slots; negative if too many are held."""
        leased = sum(lease.slots_at(now_s) for lease in self.leases.values())
        lent = sum(loan.slots for loan in self.lent.values())
        borrowed = sum(loan.slots for loan in self.borrowed.values())
        return self.slots + borrowed - lent - leased

    def apply_request(self, ask: BudgetRequest, now_s: float) -> EntryLease | None:
        """Record what an entry holds, and release the tokens that it returns.

        Returns
        -------
        lease : EntryLease or None
            None if a newer budget request of the entry has already been applied.
        """
        current = self.leases.get(ask.entry)
        order = (ask.incarnation, ask.sequence)
        if current is not None and (current.incarnation, current.sequence) >= order:
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
        self.bucket.release(ask.returned_tokens)
        self.last_used_s = now_s
        return lease

    def record_demand(self, tokens: float, now_s: float) -> None:
        """Add requested tokens to the recent demand."""
        decay = math.exp(-(now_s - self.demand_updated_s) / DEMAND_WINDOW_S)
        self.demand = self.demand * decay + tokens / DEMAND_WINDOW_S
        self.demand_updated_s = now_s

    def missing_tokens(self, ask: BudgetRequest, now_s: float) -> float:
        """Return the number of tokens that this zone lacks for a budget request."""
        if not ask.needed_tokens:
            return 0.0
        tokens_ahead = self.tokens_ahead(ask.entry, now_s)
        needed = self.bucket.needed(ask.needed_tokens, self.leased_tokens)
        if self.bucket.balance >= tokens_ahead + needed:
            return 0.0
        return tokens_ahead + ask.needed_tokens - self.bucket.balance

    def missing_slots(self, ask: BudgetRequest, now_s: float) -> int:
        """Return the number of slots that this zone lacks for a budget request."""
        if not ask.needed_slots or math.isinf(self.slots):
            return 0
        return int(max(0, ask.needed_slots - self.free_slots(now_s)))

    def grant_slots(self, lease: EntryLease, ask: BudgetRequest, now_s: float) -> int:
        """Grant the needed slots, plus spare ones if many are free."""
        if math.isinf(self.slots) or not ask.needed_slots:
            return 0
        free = self.free_slots(now_s)
        if free < ask.needed_slots:
            return 0
        spare = int((free - ask.needed_slots) * SPARE_SHARE / max(1, len(self.leases)))
        granted = ask.needed_slots + spare
        # Count them as used immediately: the entry may use all of them and fail before
        # its next budget request.
        lease.slots += granted
        lease.used_slots += granted
        return granted

    def grant_tokens(self, lease: EntryLease, ask: BudgetRequest) -> float:
        """Grant the needed tokens, plus some of the expected demand."""
        needed = ask.needed_tokens
        if needed and not self.bucket.acquire(needed, self.leased_tokens):
            return 0.0
        available = max(0.0, self.bucket.balance - self.queued_tokens())
        spare = min(ask.wanted_tokens, available * SPARE_SHARE)
        self.bucket.balance -= spare
        # The entry spends the needed tokens immediately, so only the spare ones are
        # held on lease.
        lease.tokens += spare
        return needed + spare

    def donate_tokens(self, wanted: float, now_s: float) -> float:
        """Withdraw tokens for another zone that this zone will not need soon."""
        if math.isinf(self.bucket.rate):
            return 0.0
        self.record_demand(0.0, now_s)
        reserve = min(self.demand, self.bucket.rate) * BURST_S / 2
        reserve += self.queued_tokens()
        granted = max(0.0, min(wanted, self.bucket.balance - reserve))
        self.bucket.balance -= granted
        return granted

    def record_loan(
        self, borrower: str, held_slots: int, sequence: int, now_s: float
    ) -> bool:
        """Record the slots that a borrower still holds.

        A loan counts as lent for longer than the borrower may use it, because the
        borrower measures the duration from before its request. The slots return when
        the loan expires, regardless of lost messages.

        Returns
        -------
        is_recorded : bool
            False if a newer request of the borrower has already been recorded.
        """
        current = self.lent.get(borrower)
        if current is not None and current.sequence >= sequence:
            return False
        deadline_s = now_s + LOAN_DURATION_S + LOAN_MARGIN_S
        self.lent[borrower] = Loan(max(0, held_slots), deadline_s, sequence)
        return True

    def donate_slots(self, borrower: str, wanted: int, now_s: float) -> int:
        """Lend free slots to a borrower whose request has been recorded."""
        if math.isinf(self.slots):
            return 0
        granted = int(max(0, min(wanted, self.free_slots(now_s))))
        self.lent[borrower].slots += granted
        return granted

    def return_borrowed(self, donor: str, now_s: float) -> int:
        """Return unused borrowed slots to the donor.

        Returns
        -------
        slots : int
            Slots that remain borrowed.
        """
        loan = self.borrowed[donor]
        loan.slots -= int(max(0, min(loan.slots, self.free_slots(now_s))))
        return loan.slots

    def apply_transfer(
        self, donor: str, tokens: float, slots: int, deadline_s: float
    ) -> None:
        """Add the tokens and slots that another zone has withdrawn from its budget."""
        self.bucket.balance += max(0.0, tokens)
        current = self.borrowed.get(donor)
        total = slots + (0 if current is None else current.slots)
        if total > 0:
            self.borrowed[donor] = Loan(total, deadline_s)

    def retry_after_s(self, ask: BudgetRequest, now_s: float) -> float:
        """Return the time until a budget request can be granted, in seconds."""
        wait_s = 0.0
        if ask.needed_tokens:
            tokens_ahead = self.tokens_ahead(ask.entry, now_s)
            wait_s = self.bucket.wait_s(
                ask.needed_tokens, self.leased_tokens, tokens_ahead
            )
        if self.missing_slots(ask, now_s):
            wait_s = max(wait_s, SLOT_RETRY_S)
        return wait_s
