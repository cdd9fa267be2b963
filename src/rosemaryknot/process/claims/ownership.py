"""Ownership of shards by this node, with handover and takeover.

Ownership does not expire, since an owner that was paused continues as owner when it
resumes. A shard changes its owner only by a handover from the owner itself, or by a
takeover after it is confirmed that the owner's process has stopped.
"""

import trio

from rosemaryknot.process.claims.owner import (
    SETTLING_PERIOD_S,
    OwnedShard,
    OwnerState,
    TakeoverUncertainty,
)
from rosemaryknot.process.claims.pending_tables import PendingTable, PendingTables
from rosemaryknot.process.claims.replication import (
    Item,
    ReplicaStore,
    Replicator,
    holder_name,
    split_pages,
)
from rosemaryknot.process.claims.shard_map import Shard, ShardMap
from rosemaryknot.process.claims.shard_map_manager import MapChange, ShardMapManager
from rosemaryknot.process.claims.table import TableBounds, TableUsage, to_wire
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.values.claim_peers import HandoverRecords, HandoverStored
from rosemaryknot.values.nodes import Node

__all__ = ["ShardOwnership"]

HANDOVER_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 3.0
UNCERTAIN_WRITE_RETRY_S = 0.5
POLL_INTERVAL_S = 0.01
# When a process that held replicas stops, the owners replicate their records to another
# one within this time. The replicas of a process that has run for less may therefore
# be incomplete.
MIN_REPLICA_AGE_S = 60.0

log = logger("shards")
OWNED = gauge("shards_owned", "Shards that this node owns.")
OWNERSHIP_CHANGES = counter("shards_passed_total", "Shards that came or went, by way.")
RECORDS = gauge("claim_records", "Ids that this node remembers as owner.")
RECORD_BYTES = gauge("claim_bytes", "Bytes of these ids and their kept answers.")


class ShardOwnership:
    """Shards that this node owns.

    Parameters
    ----------
    node : Node
        This node, with the incarnation of this process.
    maps : ShardMapManager
        Manages the shard map.
    replicator : Replicator
        Replicates records to peers.
    holder : ReplicaStore
        Replicas that this node holds for other owners.
    bounds : TableBounds
        Bounds on all owned records together.

    Attributes
    ----------
    owned : dict of int to OwnedShard
        Owned shards by index.
    pending_peers : dict of int to set of str
        By shard, the peers whose replicas were not received yet.
    replication_due : bool
        Whether there may be records without a replica.
    is_stopping : bool
        Whether this node hands over its shards and accepts no more.
    """

    def __init__(
        self,
        node: Node,
        maps: ShardMapManager,
        replicator: Replicator,
        holder: ReplicaStore,
        bounds: TableBounds,
    ) -> None:
        self.node = node
        self.maps = maps
        self.replicator = replicator
        self.peers = replicator.peers
        self.holder = holder
        self.usage = TableUsage(bounds)
        self.owned: dict[int, OwnedShard] = {}
        self.pending = PendingTables()
        self.attempted_takeovers: set[tuple[int, int, int]] = set()
        self.stopped_owners: dict[int, tuple[str, int]] = {}
        self.pending_peers: dict[int, set[str]] = {}
        self.replication_due = False
        self.last_serial = 0
        self.is_stopping = False
        self.reconciled_number = 0

    def active(self, index: int) -> OwnedShard | None:
        """Return a shard if this node currently handles calls for it."""
        owned = self.owned.get(index)
        if owned is None or owned.state != OwnerState.ACTIVE:
            return None
        return owned

    def shards_without_table(self) -> list[int]:
        """Return the shards that the map assigns to this node but that have no table.

        Either an earlier process of this node owned them, which has stopped, since this
        process holds the node's listen address. Or a handover took effect without its
        table.
        """
        if self.maps.map is None or self.reconciled_number != self.maps.number:
            # A table that was handed over may not be installed yet.
            return []
        return [
            index
            for index, shard in enumerate(self.maps.map.shards)
            if shard.owner == self.node.name and index not in self.owned
        ]

    async def reconcile(self) -> None:
        """Update the owned shards to match the newest map."""
        if self.maps.map is None:
            return
        number = self.maps.number
        async with trio.open_nursery() as nursery:
            for index, shard in enumerate(self.maps.map.shards):
                owned = self.owned.get(index)
                is_ours = shard.is_owned_by(self.node)
                if owned and not (is_ours and owned.epoch == shard.epoch):
                    self.stop_owning(index, owned)
                if is_ours and index not in self.owned:
                    nursery.start_soon(self.start_owning, index, shard)
        self.reconciled_number = number
        OWNED.set(len(self.owned))

    def stop_owning(self, index: int, owned: OwnedShard) -> None:
        """Stop owning a shard that the map assigns to another owner."""
        if owned.state != OwnerState.HANDING_OVER:
            log.error(
                "shard map assigned a shard to another owner without a handover",
                shard=index,
            )
        owned.state = OwnerState.HANDING_OVER
        # The successor may fail before it has replicated the table, so this node keeps
        # its table as a replica.
        self.holder.store(index, list(owned.table.records.items()))
        owned.table.clear()
        del self.owned[index]
        self.pending_peers.pop(index, None)

    async def start_owning(self, index: int, shard: Shard) -> None:
        """Start owning a shard that the map assigns to this process."""
        pending = self.pending.take_over(index, shard)
        if pending is not None:
            self.install(index, shard, pending)
            return
        if (index, shard.epoch, shard.since) in self.attempted_takeovers:
            await self.gather_replicas(index, shard)
        elif shard.epoch == 1:
            self.owned[index] = OwnedShard(index, 1, self.usage, self.replicator)

    def install(self, index: int, shard: Shard, pending: PendingTable) -> None:
        """Start owning a shard with the table that its owner handed over."""
        owned = OwnedShard(
            index, shard.epoch, self.usage, self.replicator, pending.uncertainty
        )
        for claim_id, record in pending.items:
            owned.table.put(claim_id, record)
        owned.state = OwnerState.ACTIVE
        self.owned[index] = owned
        self.replication_due = True
        OWNERSHIP_CHANGES.add(way="received")
        log.info("shard received by handover", shard=index, records=len(owned.table))

    async def gather_replicas(self, index: int, shard: Shard) -> None:
        """Gather the replicas of a stopped owner's shard and start owning it."""
        uncertainty = TakeoverUncertainty(shard.since, trio.current_time())
        owned = OwnedShard(index, shard.epoch, self.usage, self.replicator, uncertainty)
        self.owned[index] = owned
        self.merge(owned, self.holder.items(index))
        self.pending_peers[index] = {node.name for node in self.peers.nodes()}
        is_whole = await self.query_pending_peers(index) and self.are_others_live(index)
        if not is_whole:
            uncertainty.settling_ends_s = trio.current_time() + SETTLING_PERIOD_S
        owned.state = OwnerState.ACTIVE
        self.replication_due = True
        OWNERSHIP_CHANGES.add(way="taken")
        log.warning(
            "shard taken over from a stopped owner",
            shard=index,
            records=len(owned.table),
            mute_peers=len(self.pending_peers.get(index, ())),
            is_whole=is_whole,
        )

    def is_own_restart(self, index: int) -> bool:
        """Return whether the stopped owner was an earlier process of this node."""
        return self.stopped_owners.get(index, ("", 0))[0] == self.node.name

    def are_others_live(self, index: int) -> bool:
        """Return whether all owners except the stopped one are live.

        The owners hold the replicas.
        """
        live = {(node.name, node.incarnation) for node in self.peers.nodes()}
        live.add((self.node.name, self.node.incarnation))
        live.add(self.stopped_owners.get(index, ("", 0)))
        return all(
            (shard.owner, shard.incarnation) in live for shard in self.maps.map.shards
        )

    async def query_pending_peers(self, index: int) -> bool:
        """Request the replicas of a shard from the live peers that have not sent them.

        Returns
        -------
        is_whole : bool
            Whether all peers have sent them, and none has started so recently that
            replicas may have been lost with an earlier process.
        """
        owned, names = self.owned[index], self.pending_peers[index]
        ages_s = [] if self.is_own_restart(index) else [self.holder.age_s]

        async def query(name: str) -> None:
            found = await self.replicator.gather_replicas(name, index)
            if found is not None:
                names.discard(name)
                ages_s.append(found[1])
                self.merge(owned, found[0])

        async with trio.open_nursery() as nursery:
            for node in self.peers.nodes():
                if node.name in names:
                    nursery.start_soon(query, node.name)
        return not names and min(ages_s, default=0.0) >= MIN_REPLICA_AGE_S

    def merge(self, owned: OwnedShard, items: list[Item]) -> None:
        """Merge replicas, any of which may be older than the owner's last state."""
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

    async def take_over(self, stopped_owners: dict[int, tuple[str, int]]) -> MapChange:
        """Take over shards whose owner's process has stopped, in one conditional write.

        Parameters
        ----------
        stopped_owners : dict of int to (str, int)
            By shard, the name and incarnation of the owner that is confirmed to have
            stopped.

        Returns
        -------
        change : MapChange
            Outcome of the write.
        """

        def decide(current: ShardMap) -> ShardMap | None:
            indexes = []
            for index, process in stopped_owners.items():
                shard = current.shards[index]
                if (shard.owner, shard.incarnation) == process:
                    indexes.append(index)
            if not indexes:
                return None
            taken = current.with_takeover(indexes, self.node)
            for index in indexes:
                shard = taken.shards[index]
                self.attempted_takeovers.add((index, shard.epoch, shard.since))
                self.stopped_owners[index] = stopped_owners[index]
            return taken

        return await self.maps.change(decide)

    async def hand_over(self, index: int, successor: Node) -> bool:
        """Hand over a shard and its table to another node.

        From the start of the handover this node handles no calls for the shard. It
        resumes only if the write of the map certainly did not take effect. As long as
        that is uncertain, the write is retried.

        Parameters
        ----------
        index : int
            Index of an active shard.
        successor : Node
            Next owner of the shard.

        Returns
        -------
        is_handed_over : bool
            Whether the successor owns the shard now.
        """
        owned = self.owned[index]
        owned.state = OwnerState.HANDING_OVER
        is_sent = await self.wait_until_idle(owned) and await self.send_table(
            owned, successor
        )
        if not is_sent:
            owned.state = OwnerState.ACTIVE
            return False

        def decide(current: ShardMap) -> ShardMap | None:
            if not current.shards[index].is_owned_by(self.node):
                return None
            return current.with_handover(index, successor)

        change = await self.maps.change(decide)
        while change == MapChange.UNCERTAIN:
            await trio.sleep(UNCERTAIN_WRITE_RETRY_S)
            again = await self.maps.change(decide)
            change = MapChange.UNCERTAIN if again == MapChange.FAILED else again
        if change == MapChange.FAILED:
            owned.state = OwnerState.ACTIVE
            return False
        if self.owned.get(index) is owned:
            self.stop_owning(index, owned)
        OWNERSHIP_CHANGES.add(way="handed")
        log.info("shard handed over", shard=index, to=successor.name)
        return True

    async def wait_until_idle(self, owned: OwnedShard) -> bool:
        """Wait for the calls in progress on a shard; return False on time-out."""
        with trio.move_on_after(IDLE_TIMEOUT_S):
            while owned.active_calls:
                await trio.sleep(POLL_INTERVAL_S)
        return not owned.active_calls

    async def send_table(self, owned: OwnedShard, successor: Node) -> bool:
        """Send a shard's table to its successor and return whether it stored it."""
        now_s = trio.current_time()
        doubt_age_s = (
            -1.0 if owned.uncertainty is None else now_s - owned.uncertainty.takeover_s
        )
        pages = split_pages(list(owned.table.records.items()))
        self.last_serial += 1
        for number, page in enumerate(pages):
            message = HandoverRecords(
                owned.index,
                owned.epoch + 1,
                to_wire(page, now_s),
                number == 0,
                number == len(pages) - 1,
                self.last_serial,
                0 if owned.uncertainty is None else owned.uncertainty.since,
                doubt_age_s,
            )
            reply = await self.peers.call(successor.name, message, HANDOVER_TIMEOUT_S)
            if not isinstance(reply, HandoverStored) or not reply.stored:
                return False
        return True

    def receive_table_page(self, page: HandoverRecords) -> HandoverStored:
        """Store a page of a table that its owner hands over."""
        if self.is_stopping or not self.usage.has_capacity():
            return HandoverStored(False)
        return HandoverStored(self.pending.add(page))

    async def replicate_missing(self) -> None:
        """Replicate the records of which no live peer holds a replica."""
        self.replication_due = False
        live = {holder_name(node) for node in self.peers.nodes()}
        for index, owned in list(self.owned.items()):
            items = [
                item
                for item in owned.table.records.items()
                if item[1].holder not in live
            ]
            for page in split_pages(items):
                if page and not await self.replicator.replicate(index, page):
                    self.replication_due = True
                    return

    def expire(self) -> None:
        """Remove expired records."""
        now_s = trio.current_time()
        for owned in self.owned.values():
            owned.table.expire(now_s)
        self.holder.expire(now_s)
        RECORDS.set(self.usage.records)
        RECORD_BYTES.set(self.usage.bytes)
