"""Records by id, with a bound on their number and bytes."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from rosemaryknot.process.claims.records import (
    ClaimRecord,
    RunState,
    record_from_map,
    record_to_map,
)
from rosemaryknot.values.claim_peers import WireRecord
from rosemaryknot.values.claims import ClaimId

__all__ = ["RecordTable", "TableBounds", "TableUse", "from_wire", "to_wire"]

OPEN_CHECK_S = 600.0


@dataclass(slots=True)
class TableBounds:
    """Bounds on what a node remembers of ids.

    Attributes
    ----------
    max_records : int
        Bound on the records of claims. A quarter more is left for closings, which
        must not fail where new claims are refused.
    max_bytes : int
        Bound on their memory, kept answers included.
    """

    max_records: int = 100_000
    max_bytes: int = 64 * 1024 * 1024


@dataclass(slots=True)
class TableUse:
    """What all tables of a node use together.

    Attributes
    ----------
    bounds : TableBounds
        The bounds.
    records, bytes : int
        What is used.
    """

    bounds: TableBounds
    records: int = 0
    bytes: int = 0

    def has_room(self, share: float = 1.0) -> bool:
        """Tell whether a new id fits into a share of the bounds."""
        return (
            self.records < self.bounds.max_records * share
            and self.bytes < self.bounds.max_bytes * share
        )

    def room_bytes(self, share: float = 1.0) -> float:
        """Return how many bytes are left of a share of the bound."""
        return max(0.0, self.bounds.max_bytes * share - self.bytes)


class RecordTable:
    """Records of one shard.

    Nothing is dropped before its time: a forgotten id would run again.

    Parameters
    ----------
    use : TableUse
        Shared by all tables of the node.

    Attributes
    ----------
    records : dict of ClaimId to ClaimRecord
        By id.
    """

    def __init__(self, use: TableUse) -> None:
        self.use = use
        self.records: dict[ClaimId, ClaimRecord] = {}
        self.expiring: list[tuple[float, int, ClaimId]] = []
        self.planned: set[ClaimId] = set()
        self.open: set[ClaimId] = set()
        self.open_checked_s = 0.0
        self.counted: dict[ClaimId, int] = {}
        self.added = 0

    def __len__(self) -> int:
        return len(self.records)

    def get(self, claim_id: ClaimId) -> ClaimRecord | None:
        """Return the record of an id."""
        return self.records.get(claim_id)

    def put(self, claim_id: ClaimId, record: ClaimRecord) -> None:
        """Keep a record, and count what it takes now."""
        if claim_id not in self.records:
            self.use.records += 1
        size = record.size_bytes
        self.use.bytes += size - self.counted.get(claim_id, 0)
        self.counted[claim_id] = size
        self.records[claim_id] = record
        if record.state == RunState.GRANTED:
            # Kept for a day, but nearly all change within seconds: in the heap
            # their entries would outnumber the records by far.
            self.open.add(claim_id)
        else:
            self.open.discard(claim_id)
            self.plan(claim_id, record.expires_s)

    def plan(self, claim_id: ClaimId, expires_s: float) -> None:
        """Look at a record again when its time has passed."""
        if claim_id not in self.planned:
            self.planned.add(claim_id)
            self.added += 1
            heapq.heappush(self.expiring, (expires_s, self.added, claim_id))

    def remove(self, claim_id: ClaimId) -> None:
        """Forget a record."""
        if self.records.pop(claim_id, None) is not None:
            self.use.records -= 1
            self.use.bytes -= self.counted.pop(claim_id)
            self.open.discard(claim_id)

    def expire(self, now_s: float) -> int:
        """Forget the records whose time has passed.

        Returns
        -------
        count : int
            Number of records forgotten.
        """
        before = len(self.records)
        while self.expiring and self.expiring[0][0] <= now_s:
            _, _, claim_id = heapq.heappop(self.expiring)
            self.planned.discard(claim_id)
            self.check(claim_id, now_s)
        if now_s >= self.open_checked_s + OPEN_CHECK_S:
            self.open_checked_s = now_s
            for claim_id in list(self.open):
                self.check(claim_id, now_s)
        return before - len(self.records)

    def check(self, claim_id: ClaimId, now_s: float) -> None:
        """Forget a record if its time has passed, else look again later."""
        record = self.records.get(claim_id)
        if record is None:
            return
        if record.expires_s <= now_s:
            self.remove(claim_id)
        elif claim_id not in self.open:
            self.plan(claim_id, record.expires_s)

    def clear(self) -> None:
        """Forget everything."""
        for claim_id in list(self.records):
            self.remove(claim_id)
        self.expiring.clear()
        self.planned.clear()


def to_wire(
    items: Iterable[tuple[ClaimId, ClaimRecord]], now_s: float
) -> list[WireRecord]:
    """Return records for the wire, with times relative to ``now_s``."""
    return [
        [
            claim_id.customer,
            claim_id.service,
            claim_id.key,
            record_to_map(record, now_s),
        ]
        for claim_id, record in items
    ]


def from_wire(
    records: Iterable[WireRecord], now_s: float
) -> list[tuple[ClaimId, ClaimRecord]]:
    """Return records from the wire, with times in our own clock."""
    return [
        (ClaimId(customer, service, key), record_from_map(fields, now_s))
        for customer, service, key, fields in records
    ]
