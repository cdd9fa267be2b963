"""Tables of records by id, with bounds on the number and memory of records."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from rosemaryknot.process.claims.records import (
    ClaimRecord,
    RunState,
    record_from_dict,
    record_to_dict,
)
from rosemaryknot.values.claim_peers import WireRecord
from rosemaryknot.values.claims import ClaimId

__all__ = ["RecordTable", "TableBounds", "TableUsage", "from_wire", "to_wire"]

OPEN_GRANT_CHECK_INTERVAL_S = 600.0


@dataclass(slots=True)
class TableBounds:
    """Bounds on the records that a node stores.

    Attributes
    ----------
    max_records : int
        Maximum number of records for claims. A quarter more is reserved for close
        requests, which must not fail when new claims are refused.
    max_bytes : int
        Maximum memory of the records, including stored responses.
    """

    max_records: int = 100_000
    max_bytes: int = 64 * 1024 * 1024


@dataclass(slots=True)
class TableUsage:
    """Usage of all tables of a node together.

    Attributes
    ----------
    bounds : TableBounds
        Bounds on the usage.
    records, bytes : int
        Number of stored records and their memory.
    """

    bounds: TableBounds
    records: int = 0
    bytes: int = 0

    def has_capacity(self, factor: float = 1.0) -> bool:
        """Return whether a new id fits within the bounds multiplied by a factor."""
        return (
            self.records < self.bounds.max_records * factor
            and self.bytes < self.bounds.max_bytes * factor
        )

    def free_bytes(self, factor: float = 1.0) -> float:
        """Return the free memory in bytes, with the bound multiplied by a factor."""
        return max(0.0, self.bounds.max_bytes * factor - self.bytes)


class RecordTable:
    """Records of one shard.

    No record is evicted before it expires: a request whose record is missing would run
    again.

    Parameters
    ----------
    usage : TableUsage
        Usage, shared by all tables of the node.

    Attributes
    ----------
    records : dict of ClaimId to ClaimRecord
        Records by id.
    """

    def __init__(self, usage: TableUsage) -> None:
        self.usage = usage
        self.records: dict[ClaimId, ClaimRecord] = {}
        self.expiry_heap: list[tuple[float, int, ClaimId]] = []
        self.scheduled: set[ClaimId] = set()
        self.open_grants: set[ClaimId] = set()
        self.last_open_check_s = 0.0
        self.counted_bytes: dict[ClaimId, int] = {}
        self.insertions = 0

    def __len__(self) -> int:
        return len(self.records)

    def get(self, claim_id: ClaimId) -> ClaimRecord | None:
        """Return the record of an id, or None."""
        return self.records.get(claim_id)

    def put(self, claim_id: ClaimId, record: ClaimRecord) -> None:
        """Store a record and update the usage."""
        if claim_id not in self.records:
            self.usage.records += 1
        size = record.size_bytes
        self.usage.bytes += size - self.counted_bytes.get(claim_id, 0)
        self.counted_bytes[claim_id] = size
        self.records[claim_id] = record
        if record.state == RunState.GRANTED:
            # Open grants are kept for a day, but nearly all change within seconds. In
            # the heap, their outdated entries would far outnumber the records.
            self.open_grants.add(claim_id)
        else:
            self.open_grants.discard(claim_id)
            self.schedule(claim_id, record.expires_s)

    def schedule(self, claim_id: ClaimId, expires_s: float) -> None:
        """Schedule the expiry check of a record."""
        if claim_id not in self.scheduled:
            self.scheduled.add(claim_id)
            self.insertions += 1
            heapq.heappush(self.expiry_heap, (expires_s, self.insertions, claim_id))

    def remove(self, claim_id: ClaimId) -> None:
        """Remove a record and update the usage."""
        if self.records.pop(claim_id, None) is not None:
            self.usage.records -= 1
            self.usage.bytes -= self.counted_bytes.pop(claim_id)
            self.open_grants.discard(claim_id)

    def expire(self, now_s: float) -> int:
        """Remove expired records.

        Returns
        -------
        count : int
            Number of removed records.
        """
        before = len(self.records)
        while self.expiry_heap and self.expiry_heap[0][0] <= now_s:
            _, _, claim_id = heapq.heappop(self.expiry_heap)
            self.scheduled.discard(claim_id)
            self.remove_if_expired(claim_id, now_s)
        if now_s >= self.last_open_check_s + OPEN_GRANT_CHECK_INTERVAL_S:
            self.last_open_check_s = now_s
            for claim_id in list(self.open_grants):
                self.remove_if_expired(claim_id, now_s)
        return before - len(self.records)

    def remove_if_expired(self, claim_id: ClaimId, now_s: float) -> None:
        """Remove a record if it is expired, else schedule the next check."""
        record = self.records.get(claim_id)
        if record is None:
            return
        if record.expires_s <= now_s:
            self.remove(claim_id)
        elif claim_id not in self.open_grants:
            self.schedule(claim_id, record.expires_s)

    def clear(self) -> None:
        """Remove all records."""
        for claim_id in list(self.records):
            self.remove(claim_id)
        self.expiry_heap.clear()
        self.scheduled.clear()


def to_wire(
    items: Iterable[tuple[ClaimId, ClaimRecord]], now_s: float
) -> list[WireRecord]:
    """Return records as message values, with times relative to ``now_s``."""
    return [
        [
            claim_id.customer,
            claim_id.service,
            claim_id.key,
            record_to_dict(record, now_s),
        ]
        for claim_id, record in items
    ]


def from_wire(
    records: Iterable[WireRecord], now_s: float
) -> list[tuple[ClaimId, ClaimRecord]]:
    """Return the records of message values, with times in the local clock."""
    return [
        (ClaimId(customer, service, key), record_from_dict(fields, now_s))
        for customer, service, key, fields in records
    ]
