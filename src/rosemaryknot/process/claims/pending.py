"""Tables that owners hand over to this node, until the map confirms it."""

from dataclasses import dataclass, field

import trio

from rosemaryknot.process.claims.copies import Item
from rosemaryknot.process.claims.owner import SETTLE_S, Doubt
from rosemaryknot.process.claims.shard_map import Shard
from rosemaryknot.process.claims.table import from_wire
from rosemaryknot.values.claim_peers import HandoverRecords

__all__ = ["Pending", "PendingTables"]


@dataclass(slots=True)
class Pending:
    """A table that the owner has handed over and the map has not confirmed.

    Attributes
    ----------
    epoch, since : int
        What the map will say of the shard if this very handover goes through.
    doubt : Doubt or None
        What the owner before did not know either.
    items : list of (ClaimId, ClaimRecord)
        The table.
    serial : int
        The owner's try.
    is_whole : bool
        Whether the last part has come.
    """

    epoch: int
    since: int
    doubt: Doubt | None
    items: list[Item] = field(default_factory=list)
    serial: int = 0
    is_whole: bool = False

    def fits(self, part: HandoverRecords) -> bool:
        """Tell whether a part belongs to this very try."""
        return (self.epoch, self.serial) == (part.epoch, part.serial)


class PendingTables:
    """Tables on their way to this node.

    Attributes
    ----------
    tables : dict of int to Pending
        By shard.
    """

    def __init__(self) -> None:
        self.tables: dict[int, Pending] = {}

    def add(self, part: HandoverRecords) -> bool:
        """Keep a part of a table; False where it does not fit what came before."""
        pending = self.tables.get(part.shard)
        if part.is_first and not is_late(part, pending):
            pending = new_pending(part)
            self.tables[part.shard] = pending
        if pending is None or not pending.fits(part):
            return False
        pending.items.extend(from_wire(part.records, trio.current_time()))
        pending.is_whole = part.is_last
        return True

    def take(self, index: int, shard: Shard) -> Pending | None:
        """Take out the table of a shard that the map now gives to this node.

        `since` tells a handover from a takeover under the same epoch: the owner may
        have taken the shard back after it gave the table, granted more, and died.
        """
        pending = self.tables.pop(index, None)
        if pending is None or not pending.is_whole:
            return None
        if (pending.epoch, pending.since) != (shard.epoch, shard.since):
            return None
        return pending


def is_late(part: HandoverRecords, pending: Pending | None) -> bool:
    """Tell whether a part is of an earlier try than the one that is kept."""
    if pending is None or pending.epoch != part.epoch:
        return False
    return pending.serial >= part.serial


def new_pending(part: HandoverRecords) -> Pending:
    """Return the table that a first part begins."""
    doubt = None
    if part.doubt_age_s >= 0:
        taken_s = trio.current_time() - part.doubt_age_s
        doubt = Doubt(part.since, taken_s, taken_s + SETTLE_S)
    return Pending(part.epoch, part.since, doubt, serial=part.serial)
