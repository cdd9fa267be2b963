"""Tables handed over to this node that the shard map does not confirm yet."""

from dataclasses import dataclass, field

import trio

from rosemaryknot.process.claims.owner import SETTLING_PERIOD_S, TakeoverUncertainty
from rosemaryknot.process.claims.replication import Item
from rosemaryknot.process.claims.shard_map import Shard
from rosemaryknot.process.claims.table import from_wire
from rosemaryknot.values.claim_peers import HandoverRecords

__all__ = ["PendingTable", "PendingTables"]


@dataclass(slots=True)
class PendingTable:
    """A table that the owner handed over and the shard map has not confirmed.

    Attributes
    ----------
    epoch, since : int
        Values of the shard in the map if exactly this handover takes effect.
    uncertainty : TakeoverUncertainty or None
        Uncertainty about lost records that the previous owner had itself.
    items : list of (ClaimId, ClaimRecord)
        Records of the table.
    serial : int
        Number of the owner's handover attempt.
    is_whole : bool
        Whether the last page was received.
    """

    epoch: int
    since: int
    uncertainty: TakeoverUncertainty | None
    items: list[Item] = field(default_factory=list)
    serial: int = 0
    is_whole: bool = False

    def matches(self, page: HandoverRecords) -> bool:
        """Return whether a page belongs to the same handover attempt."""
        return (self.epoch, self.serial) == (page.epoch, page.serial)


class PendingTables:
    """Tables that are being handed over to this node.

    Attributes
    ----------
    tables : dict of int to PendingTable
        Tables by shard.
    """

    def __init__(self) -> None:
        self.tables: dict[int, PendingTable] = {}

    def add(self, page: HandoverRecords) -> bool:
        """Store a page of a table and return whether it matches the earlier pages."""
        pending = self.tables.get(page.shard)
        if page.is_first and not is_stale(page, pending):
            pending = new_pending(page)
            self.tables[page.shard] = pending
        if pending is None or not pending.matches(page):
            return False
        pending.items.extend(from_wire(page.records, trio.current_time()))
        pending.is_whole = page.is_last
        return True

    def take_over(self, index: int, shard: Shard) -> PendingTable | None:
        """Remove and return the table of a shard that the map assigns to this node.

        `since` distinguishes a handover from a takeover under the same epoch: the owner
        may have aborted the handover after it sent the table, granted more claims, and
        then failed.
        """
        pending = self.tables.pop(index, None)
        if pending is None or not pending.is_whole:
            return None
        if (pending.epoch, pending.since) != (shard.epoch, shard.since):
            return None
        return pending


def is_stale(page: HandoverRecords, pending: PendingTable | None) -> bool:
    """Return whether a page belongs to an attempt before the one that is stored."""
    if pending is None or pending.epoch != page.epoch:
        return False
    return pending.serial >= page.serial


def new_pending(page: HandoverRecords) -> PendingTable:
    """Return a new table for the first page of a handover."""
    uncertainty = None
    if page.doubt_age_s >= 0:
        takeover_s = trio.current_time() - page.doubt_age_s
        uncertainty = TakeoverUncertainty(
            page.since, takeover_s, takeover_s + SETTLING_PERIOD_S
        )
    return PendingTable(page.epoch, page.since, uncertainty, serial=page.serial)
