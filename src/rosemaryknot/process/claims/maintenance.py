"""Background tasks for the shards of a node.

They watch the shard map, take over shards of owners that are confirmed to have stopped,
and hand over shards to nodes that own fewer.
"""

import random
from collections import Counter
from collections.abc import Callable

import trio

from rosemaryknot.process.claims.ownership import ShardOwnership
from rosemaryknot.process.claims.shard_map import Shard, rendezvous_order
from rosemaryknot.process.claims.shard_map_manager import ShardMapManager
from rosemaryknot.process.claims.stopped_owners import StoppedOwners
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import gauge
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.platform import InstanceSource, Missing

__all__ = ["ShardMaintenance"]

TICK_INTERVAL_S = 1.0
GOSSIP_INTERVAL_S = 2.0
READ_INTERVAL_S = 60.0
ABSENT_OWNER_READ_INTERVAL_S = 5.0
EXPECTED_NODES_TIMEOUT_S = 5.0
START_POLL_INTERVAL_S = 0.2
ABSENCE_TIMEOUT_S = 3.0
# After this time any node takes over the shards that the preferred successor did not
# take over.
FALLBACK_ABSENCE_TIMEOUT_S = 13.0
REBALANCE_INTERVAL_S = 5.0
# A node receives shards only after it has been live for this time, and only if it owns
# two fewer than the node that hands them over. So a node that repeatedly joins and
# leaves moves no shards.
STABLE_PERIOD_S = 10.0
MIN_SHARD_DIFFERENCE = 2

log = logger("shards")
SHARDS_WITHOUT_OWNER = gauge(
    "shards_without_owner", "Shards whose owner does not answer."
)


class ShardMaintenance:
    """Background tasks of a node's shards.

    Parameters
    ----------
    node : Node
        This node.
    maps : ShardMapManager
        Manages the shard map.
    ownership : ShardOwnership
        Shards that this node owns.
    platform : InstanceSource
        Source of instance states; a terminated instance has no owner process.
    expected_nodes : callable
        Returns the number of nodes that the region should have at the start. The first
        map is delayed some seconds until they are live.
    rng : random.Random, optional
        Selects the peers that are asked for newer maps.

    Attributes
    ----------
    absent_since_s : dict of str to float
        By name, the time since which an owner is not considered live.
    stopped_owners : StoppedOwners
        Owners that are confirmed to have stopped.
    """

    def __init__(
        self,
        node: Node,
        maps: ShardMapManager,
        ownership: ShardOwnership,
        platform: InstanceSource,
        expected_nodes: Callable[[], int] = lambda: 1,
        rng: random.Random | None = None,
    ) -> None:
        self.node = node
        self.maps = maps
        self.ownership = ownership
        self.peers = maps.peers
        self.platform = platform
        self.expected_nodes = expected_nodes
        self.rng = rng or random.Random()
        self.absent_since_s: dict[str, float] = {}
        self.live_since_s: dict[Node, float] = {}
        self.stopped_owners = StoppedOwners(platform)
        self.last_read_s = 0.0

    async def run(self) -> None:
        """Run the background tasks until cancelled.

        Call this after the process has bound the node's listen address, which confirms
        that an earlier process of this node has stopped.
        """
        await self.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch_map)
            nursery.start_soon(self.gossip)
            nursery.start_soon(self.tick)
            nursery.start_soon(self.rebalance)

    async def start(self) -> None:
        """Fetch the map, or create it if neither the store nor a peer has one."""
        started_s = trio.current_time()
        while self.maps.map is None:
            await self.maps.request_map_from_all()
            found = await self.maps.read()
            elapsed_s = trio.current_time() - started_s
            has_expected_nodes = len(self.peers.nodes()) + 1 >= self.expected_nodes()
            if isinstance(found, Missing) and (
                has_expected_nodes or elapsed_s > EXPECTED_NODES_TIMEOUT_S
            ):
                await self.maps.request_map_from_all()
                if self.maps.map is None:
                    await self.maps.create()
            else:
                await trio.sleep(START_POLL_INTERVAL_S)
        # Peers may know a newer map than a store that was restored from a backup.
        await self.maps.request_map_from_all()

    async def watch_map(self) -> None:
        """Reconcile the ownership with each newer map."""
        while True:
            changed = self.maps.changed
            await self.ownership.reconcile()
            await changed.wait()

    async def gossip(self) -> None:
        """Periodically request a newer map from a random peer.

        Linked peers are preferred. The links connect all nodes, and a request through
        relays would cause the same cost again at each relay.
        """
        while True:
            await trio.sleep(GOSSIP_INTERVAL_S)
            nodes = self.peers.linked() or self.peers.nodes()
            if nodes:
                await self.maps.request_map(self.rng.choice(nodes).name)

    async def tick(self) -> None:
        """Run the periodic tasks, each second."""
        live: set[Node] = set()
        while True:
            await trio.sleep(TICK_INTERVAL_S)
            now_live = set(self.peers.nodes())
            self.record_live_nodes(now_live)
            if now_live != live:
                live = now_live
                self.ownership.replication_due = True
            self.ownership.expire()
            if self.ownership.replication_due:
                await self.ownership.replicate_missing()
            await self.query_returned_peers()
            await self.read_map()
            if not self.ownership.is_stopping:
                await self.take_over()

    def record_live_nodes(self, live: set[Node]) -> None:
        """Record since when each node has been live and each owner absent."""
        now_s = trio.current_time()
        self.live_since_s = {node: self.live_since_s.get(node, now_s) for node in live}
        names = {node.name for node in live} | {self.node.name}
        owners = {shard.owner for shard in self.maps.map.shards}
        self.absent_since_s = {
            name: self.absent_since_s.get(name, now_s) for name in owners - names
        }
        SHARDS_WITHOUT_OWNER.set(
            sum(shard.owner in self.absent_since_s for shard in self.maps.map.shards)
        )

    async def query_returned_peers(self) -> None:
        """Query peers that were silent at a takeover and are live again."""
        live = {node.name for node in self.peers.nodes()}
        for index, names in list(self.ownership.pending_peers.items()):
            if names & live:
                await self.ownership.query_pending_peers(index)

    async def read_map(self) -> None:
        """Read the stored map periodically, more often while an owner is absent."""
        now_s = trio.current_time()
        interval_s = (
            ABSENT_OWNER_READ_INTERVAL_S if self.absent_since_s else READ_INTERVAL_S
        )
        if now_s >= self.last_read_s + interval_s:
            self.last_read_s = now_s
            await self.maps.read()

    async def take_over(self) -> None:
        """Take over the shards of owners that are confirmed to have stopped."""
        shards = self.maps.map.shards
        found = {
            index: shards[index] for index in self.ownership.shards_without_table()
        }
        for name in list(self.absent_since_s):
            found |= await self.stopped_owners.select_stopped(
                self.takeover_candidates(name)
            )
        if found:
            await self.ownership.take_over(
                {i: (shard.owner, shard.incarnation) for i, shard in found.items()}
            )

    def takeover_candidates(self, name: str) -> dict[int, Shard]:
        """Return the shards of an absent owner that this node may take over."""
        absence_s = trio.current_time() - self.absent_since_s[name]
        if absence_s < ABSENCE_TIMEOUT_S:
            return {}
        return {
            index: shard
            for index, shard in enumerate(self.maps.map.shards)
            if shard.owner == name
            and (
                absence_s >= FALLBACK_ABSENCE_TIMEOUT_S
                or self.is_preferred(index, shard)
            )
        }

    def is_preferred(self, index: int, shard: Shard) -> bool:
        """Return whether this node is the preferred live node for a shard."""
        nodes = [self.node, *self.peers.nodes()]
        inside = [node for node in nodes if node.zone == shard.zone]
        return rendezvous_order(index, inside or nodes)[0] == self.node

    async def rebalance(self) -> None:
        """Periodically hand over one shard to a node that owns fewer."""
        while True:
            await trio.sleep(REBALANCE_INTERVAL_S)
            move = None if self.ownership.is_stopping else self.next_move()
            if move is not None:
                await self.ownership.hand_over(*move)

    def next_move(self) -> tuple[int, Node] | None:
        """Return the next shard to hand over and its successor, or None."""
        now_s = trio.current_time()
        stable = [
            node
            for node, since_s in self.live_since_s.items()
            if now_s - since_s >= STABLE_PERIOD_S
        ]
        counts = Counter(shard.owner for shard in self.maps.map.shards)
        for index in self.ownership.owned:
            if self.ownership.active(index) is None:
                continue
            zone = self.maps.map.shards[index].zone
            inside = [node for node in stable if node.zone == zone]
            is_home = zone == self.node.zone
            nodes = inside if inside or is_home else stable
            if not nodes:
                continue
            successor = min(nodes, key=lambda node: (counts[node.name], node.name))
            returns_home = successor.zone == zone and not is_home
            difference = counts[self.node.name] - counts[successor.name]
            if returns_home or difference >= MIN_SHARD_DIFFERENCE:
                return index, successor
        return None

    async def hand_over_all(self) -> int:
        """Hand over all shards to other nodes, for a graceful shutdown.

        Returns
        -------
        remaining : int
            Number of shards that could not be handed over.
        """
        self.ownership.is_stopping = True
        for index in list(self.ownership.owned):
            nodes = self.peers.nodes()
            if not nodes or self.ownership.active(index) is None:
                continue
            zone = self.maps.map.shards[index].zone
            inside = [node for node in nodes if node.zone == zone]
            for successor in rendezvous_order(index, inside) or rendezvous_order(
                index, nodes
            ):
                if await self.ownership.hand_over(index, successor):
                    break
        return len(self.ownership.owned)
