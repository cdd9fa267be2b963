"""Which shards this node owns, and how they pass from one owner to the next.

Ownership has no expiry, since a paused owner goes on as such when it wakes. It passes
from the owner itself, or by proof that the owner's process has ended.
"""

import trio

from rosemaryknot.process.claims.copies import (
    Copier,
    CopyHolder,
    Item,
    holder_name,
    pages_of,
)
from rosemaryknot.process.claims.map_keeper import Change, MapKeeper
from rosemaryknot.process.claims.owner import (
    SETTLE_S,
    Doubt,
    OwnedShard,
    OwnerState,
)
from rosemaryknot.process.claims.pending import Pending, PendingTables
from rosemaryknot.process.claims.shard_map import Shard, ShardMap
from rosemaryknot.process.claims.table import TableBounds, TableUse, to_wire
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.values.claim_peers import HandoverRecords, HandoverStored
from rosemaryknot.values.nodes import Node

__all__ = ["ShardOwnership"]

HANDOVER_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 3.0
UNSURE_PAUSE_S = 0.5
POLL_S = 0.01
# Within this time after the end of a process that held copies, the owners have copied
# their records to another one.
YOUNG_S = 60.0

log = logger("shards")
OWNED = gauge("shards_owned", "Shards that this node owns.")
PASSED = counter("shards_passed_total", "Shards that came or went, by way.")
RECORDS = gauge("claim_records", "Ids that this node remembers as owner.")
RECORD_BYTES = gauge("claim_bytes", "Bytes of these ids and their kept answers.")


class ShardOwnership:
    """The shards in this node's hands.

    Parameters
    ----------
    node : Node
        This node, with the incarnation of this start.
    maps : MapKeeper
        The shard map.
    copier : Copier
        Puts copies to peers.
    holder : CopyHolder
        Copies that this node holds.
    bounds : TableBounds
        Bounds on all owned records together.

    Attributes
    ----------
    owned : dict of int to OwnedShard
        By index.
    unasked : dict of int to set of str
        Peers that have not told their copies of a shard yet.
    recopy_due : bool
        Whether records may be without a copy.
    is_stopping : bool
        Whether this node gives its shards away and takes none.
    """

    def __init__(
        self,
        node: Node,
        maps: MapKeeper,
        copier: Copier,
        holder: CopyHolder,
        bounds: TableBounds,
    ) -> None:
        self.node = node
        self.maps = maps
        self.copier = copier
        self.peers = copier.peers
        self.holder = holder
        self.use = TableUse(bounds)
        self.owned: dict[int, OwnedShard] = {}
        self.pending = PendingTables()
        self.taking: set[tuple[int, int, int]] = set()
        self.ended: dict[int, tuple[str, int]] = {}
        self.unasked: dict[int, set[str]] = {}
        self.recopy_due = False
        self.last_serial = 0
        self.is_stopping = False
        self.reconciled = 0

    def active(self, index: int) -> OwnedShard | None:
        """Return a shard if this node admits for it now."""
        owned = self.owned.get(index)
        if owned is None or owned.state != OwnerState.ACTIVE:
            return None
        return owned

    def lost(self) -> list[int]:
        """Return the shards that the map gives this node, and whose table is lost.

        An earlier process of this node owned them; it has ended, since this process
        holds the node's listen address. Or a handover came without its table.
        """
        if self.maps.map is None or self.reconciled != self.maps.number:
            # A table that was handed over may wait to be taken in.
            return []
        return [
            index
            for index, shard in enumerate(self.maps.map.shards)
            if shard.owner == self.node.name and index not in self.owned
        ]

    async def reconcile(self) -> None:
        """Make what is owned follow the newest map."""
        if self.maps.map is None:
            return
        number = self.maps.number
        async with trio.open_nursery() as nursery:
            for index, shard in enumerate(self.maps.map.shards):
                owned = self.owned.get(index)
                is_ours = shard.is_owned_by(self.node)
                if owned and not (is_ours and owned.epoch == shard.epoch):
                    self.let_go(index, owned)
                if is_ours and index not in self.owned:
                    nursery.start_soon(self.receive, index, shard)
        self.reconciled = number
        OWNED.set(len(self.owned))

    def let_go(self, index: int, owned: OwnedShard) -> None:
        """Stop owning a shard that the map gives to another."""
        if owned.state != OwnerState.HANDING_OVER:
            log.error("the map took a shard that was not handed over", shard=index)
        owned.state = OwnerState.HANDING_OVER
        # The successor may die before it has copied the table: ours is a copy too.
        self.holder.store(index, list(owned.table.records.items()))
        owned.table.clear()
        del self.owned[index]
        self.unasked.pop(index, None)

    async def receive(self, index: int, shard: Shard) -> None:
        """Begin to own a shard that the map gives to this process."""
        pending = self.pending.take(index, shard)
        if pending is not None:
            self.install(index, shard, pending)
            return
        if (index, shard.epoch, shard.since) in self.taking:
            await self.gather(index, shard)
        elif shard.epoch == 1:
            self.owned[index] = OwnedShard(index, 1, self.use, self.copier)

    def install(self, index: int, shard: Shard, pending: Pending) -> None:
        """Own a shard whose table was handed over."""
        owned = OwnedShard(index, shard.epoch, self.use, self.copier, pending.doubt)
        for claim_id, record in pending.items:
            owned.table.put(claim_id, record)
        owned.state = OwnerState.ACTIVE
        self.owned[index] = owned
        self.recopy_due = True
        PASSED.add(way="received")
        log.info("received a shard", shard=index, records=len(owned.table))

    async def gather(self, index: int, shard: Shard) -> None:
        """Own a shard of an ended owner, with what the peers hold of it."""
        doubt = Doubt(shard.since, trio.current_time())
        owned = OwnedShard(index, shard.epoch, self.use, self.copier, doubt)
        self.owned[index] = owned
        self.merge(owned, self.holder.items(index))
        self.unasked[index] = {node.name for node in self.peers.nodes()}
        is_whole = await self.ask_unasked(index) and self.are_others_live(index)
        if not is_whole:
            doubt.settled_s = trio.current_time() + SETTLE_S
        owned.state = OwnerState.ACTIVE
        self.recopy_due = True
        PASSED.add(way="taken")
        log.warning(
            "took a shard over from an owner that ended",
            shard=index,
            records=len(owned.table),
            mute_peers=len(self.unasked.get(index, ())),
            is_whole=is_whole,
        )

    def is_own_restart(self, index: int) -> bool:
        """Tell whether a shard was taken from an earlier process of this node."""
        return self.ended.get(index, ("", 0))[0] == self.node.name

    def are_others_live(self, index: int) -> bool:
        """Tell whether all owners live but the one that ended: they held copies."""
        live = {(node.name, node.incarnation) for node in self.peers.nodes()}
        live.add((self.node.name, self.node.incarnation))
        live.add(self.ended.get(index, ("", 0)))
        return all(
            (shard.owner, shard.incarnation) in live for shard in self.maps.map.shards
        )

    async def ask_unasked(self, index: int) -> bool:
        """Ask the live peers that have not told their copies of a shard.

        Returns
        -------
        is_whole : bool
            Whether all have told, and none has started so lately that copies may
            have been lost with an earlier process.
        """
        owned, names = self.owned[index], self.unasked[index]
        ages_s = [] if self.is_own_restart(index) else [self.holder.age_s]

        async def ask(name: str) -> None:
            found = await self.copier.gather(name, index)
            if found is not None:
                names.discard(name)
                ages_s.append(found[1])
                self.merge(owned, found[0])

        async with trio.open_nursery() as nursery:
            for node in self.peers.nodes():
                if node.name in names:
                    nursery.start_soon(ask, node.name)
        return not names and min(ages_s, default=0.0) >= YOUNG_S

    def merge(self, owned: OwnedShard, items: list[Item]) -> None:
        """Take in copies; any of them may be older than what the owner last knew."""
        for claim_id, record in items:
            known = owned.table.get(claim_id)
            if known is not None and (
                known.is_known
                or (known.epoch, known.version) >= (record.epoch, record.version)
            ):
                continue
            record.is_known = False
            record.closed = max(record.closed, known.closed if known else 0)
            owned.table.put(claim_id, record)

    async def take(self, ended: dict[int, tuple[str, int]]) -> Change:
        """Take shards whose owner's process has ended, in one conditional write.

        Parameters
        ----------
        ended : dict of int to (str, int)
            Name and incarnation of the owner that is proven to have ended, by shard.

        Returns
        -------
        change : Change
            What came of the write.
        """

        def decide(current: ShardMap) -> ShardMap | None:
            indexes = []
            for index, process in ended.items():
                shard = current.shards[index]
                if (shard.owner, shard.incarnation) == process:
                    indexes.append(index)
            if not indexes:
                return None
            taken = current.taken_by(indexes, self.node)
            for index in indexes:
                shard = taken.shards[index]
                self.taking.add((index, shard.epoch, shard.since))
                self.ended[index] = ended[index]
            return taken

        return await self.maps.change(decide)

    async def hand_over(self, index: int, successor: Node) -> bool:
        """Hand a shard and its table to another node.

        From the first step on this node admits nothing for the shard. It goes on
        only if the map's write certainly did not take effect; as long as it may
        have, the write is tried again.

        Parameters
        ----------
        index : int
            An active shard.
        successor : Node
            Its next owner.

        Returns
        -------
        is_handed : bool
            Whether the successor owns it now.
        """
        owned = self.owned[index]
        owned.state = OwnerState.HANDING_OVER
        is_given = await self.is_idle(owned) and await self.give(owned, successor)
        if not is_given:
            owned.state = OwnerState.ACTIVE
            return False

        def decide(current: ShardMap) -> ShardMap | None:
            if not current.shards[index].is_owned_by(self.node):
                return None
            return current.handed_to(index, successor)

        change = await self.maps.change(decide)
        while change == Change.UNSURE:
            await trio.sleep(UNSURE_PAUSE_S)
            again = await self.maps.change(decide)
            change = Change.UNSURE if again == Change.FAILED else again
        if change == Change.FAILED:
            owned.state = OwnerState.ACTIVE
            return False
        if self.owned.get(index) is owned:
            self.let_go(index, owned)
        PASSED.add(way="handed")
        log.info("handed a shard over", shard=index, to=successor.name)
        return True

    async def is_idle(self, owned: OwnedShard) -> bool:
        """Wait for the calls under way on a shard; False where they take too long."""
        with trio.move_on_after(IDLE_TIMEOUT_S):
            while owned.busy:
                await trio.sleep(POLL_S)
        return not owned.busy

    async def give(self, owned: OwnedShard, successor: Node) -> bool:
        """Send a shard's table to its successor; False where it does not have it."""
        now_s = trio.current_time()
        doubt_age_s = -1.0 if owned.doubt is None else now_s - owned.doubt.taken_s
        pages = pages_of(list(owned.table.records.items()))
        self.last_serial += 1
        for number, page in enumerate(pages):
            message = HandoverRecords(
                owned.index,
                owned.epoch + 1,
                to_wire(page, now_s),
                number == 0,
                number == len(pages) - 1,
                self.last_serial,
                0 if owned.doubt is None else owned.doubt.since,
                doubt_age_s,
            )
            reply = await self.peers.call(successor.name, message, HANDOVER_TIMEOUT_S)
            if not isinstance(reply, HandoverStored) or not reply.stored:
                return False
        return True

    def take_in(self, part: HandoverRecords) -> HandoverStored:
        """Keep a part of a table that its owner hands over."""
        if self.is_stopping or not self.use.has_room():
            return HandoverStored(False)
        return HandoverStored(self.pending.add(part))

    async def recopy(self) -> None:
        """Copy the records that no live peer holds a copy of."""
        self.recopy_due = False
        live = {holder_name(node) for node in self.peers.nodes()}
        for index, owned in list(self.owned.items()):
            items = [
                item
                for item in owned.table.records.items()
                if item[1].holder not in live
            ]
            for page in pages_of(items):
                if page and not await self.copier.copy(index, page):
                    self.recopy_due = True
                    return

    def expire(self) -> None:
        """Forget the records whose time has passed."""
        now_s = trio.current_time()
        for owned in self.owned.values():
            owned.table.expire(now_s)
        self.holder.expire(now_s)
        RECORDS.set(self.use.records)
        RECORD_BYTES.set(self.use.bytes)
