"""What a node does for its shards in the background.

It follows the map, takes shards of owners that are proven to have ended, and hands
shards to nodes that own fewer.
"""

import random
from collections import Counter
from collections.abc import Callable

import trio

from rosemaryknot.process.claims.ended_owners import EndedOwners
from rosemaryknot.process.claims.map_keeper import MapKeeper
from rosemaryknot.process.claims.ownership import ShardOwnership
from rosemaryknot.process.claims.shard_map import Shard, rendezvous
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import gauge
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.platform import InstanceSource, Missing

__all__ = ["ShardDuties"]

TICK_S = 1.0
GOSSIP_S = 2.0
READ_S = 60.0
STUCK_READ_S = 5.0
START_WAIT_S = 5.0
START_POLL_S = 0.2
ABSENT_S = 3.0
# After this long any node takes what the preferred successor did not take.
ABSENT_ANY_S = 13.0
REBALANCE_S = 5.0
# A node must have been live for this long before it gets shards, and own two fewer
# than the giver: a node that comes and goes then moves nothing.
STABLE_S = 10.0
HYSTERESIS = 2

log = logger("shards")
STUCK = gauge("shards_without_owner", "Shards whose owner does not answer.")


class ShardDuties:
    """Background tasks of a node's shards.

    Parameters
    ----------
    node : Node
        This node.
    maps : MapKeeper
        The shard map.
    ownership : ShardOwnership
        The shards in this node's hands.
    platform : InstanceSource
        Tells whether an instance is terminated.
    expected_nodes : callable
        Returns how many nodes the region should have at the start; the first map
        waits some seconds for them.
    rng : random.Random, optional
        Picks peers to ask.

    Attributes
    ----------
    absent_since_s : dict of str to float
        Owners that do not seem to live, since when.
    ended : EndedOwners
        Owners that are proven to have ended.
    """

    def __init__(
        self,
        node: Node,
        maps: MapKeeper,
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
        self.ended = EndedOwners(platform)
        self.read_s = 0.0

    async def run(self) -> None:
        """Look after the shards until cancelled.

        Start it once this process holds the node's listen address: from then on an
        earlier process of this node is known to have ended.
        """
        await self.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follow_map)
            nursery.start_soon(self.gossip)
            nursery.start_soon(self.tick)
            nursery.start_soon(self.rebalance)

    async def start(self) -> None:
        """Learn the map, or write the first one where there is none anywhere."""
        started_s = trio.current_time()
        while self.maps.map is None:
            await self.maps.ask_all()
            found = await self.maps.read()
            waited_s = trio.current_time() - started_s
            is_met = len(self.peers.nodes()) + 1 >= self.expected_nodes()
            if isinstance(found, Missing) and (is_met or waited_s > START_WAIT_S):
                await self.maps.ask_all()
                if self.maps.map is None:
                    await self.maps.create()
            else:
                await trio.sleep(START_POLL_S)
        # Peers may know a newer map than a store that was restored.
        await self.maps.ask_all()

    async def follow_map(self) -> None:
        """Let ownership follow each newer map."""
        while True:
            changed = self.maps.changed
            await self.ownership.reconcile()
            await changed.wait()

    async def gossip(self) -> None:
        """Ask one peer after the other for a newer map.

        Those with a link: the links connect all nodes, and what relays pass on
        would cost each of them the same again.
        """
        while True:
            await trio.sleep(GOSSIP_S)
            nodes = self.peers.linked() or self.peers.nodes()
            if nodes:
                await self.maps.ask(self.rng.choice(nodes).name)

    async def tick(self) -> None:
        """Do what is due, each second."""
        live: set[Node] = set()
        while True:
            await trio.sleep(TICK_S)
            now_live = set(self.peers.nodes())
            self.note_live(now_live)
            if now_live != live:
                live = now_live
                self.ownership.recopy_due = True
            self.ownership.expire()
            if self.ownership.recopy_due:
                await self.ownership.recopy()
            await self.ask_mute_peers()
            await self.read_map()
            if not self.ownership.is_stopping:
                await self.take_over()

    def note_live(self, live: set[Node]) -> None:
        """Keep since when each node lives, and each owner does not."""
        now_s = trio.current_time()
        self.live_since_s = {node: self.live_since_s.get(node, now_s) for node in live}
        names = {node.name for node in live} | {self.node.name}
        owners = {shard.owner for shard in self.maps.map.shards}
        self.absent_since_s = {
            name: self.absent_since_s.get(name, now_s) for name in owners - names
        }
        STUCK.set(
            sum(shard.owner in self.absent_since_s for shard in self.maps.map.shards)
        )

    async def ask_mute_peers(self) -> None:
        """Ask peers that were mute at a takeover, once they live again."""
        live = {node.name for node in self.peers.nodes()}
        for index, names in list(self.ownership.unasked.items()):
            if names & live:
                await self.ownership.ask_unasked(index)

    async def read_map(self) -> None:
        """Read the map from the store now and then, sooner where an owner is gone."""
        now_s = trio.current_time()
        pause_s = STUCK_READ_S if self.absent_since_s else READ_S
        if now_s >= self.read_s + pause_s:
            self.read_s = now_s
            await self.maps.read()

    async def take_over(self) -> None:
        """Take the shards of owners that are proven to have ended."""
        shards = self.maps.map.shards
        found = {index: shards[index] for index in self.ownership.lost()}
        for name in list(self.absent_since_s):
            found |= await self.ended.among(self.wanted(name))
        if found:
            await self.ownership.take(
                {i: (shard.owner, shard.incarnation) for i, shard in found.items()}
            )

    def wanted(self, name: str) -> dict[int, Shard]:
        """Return the shards of an absent owner that this node would take."""
        absence_s = trio.current_time() - self.absent_since_s[name]
        if absence_s < ABSENT_S:
            return {}
        return {
            index: shard
            for index, shard in enumerate(self.maps.map.shards)
            if shard.owner == name
            and (absence_s >= ABSENT_ANY_S or self.is_preferred(index, shard))
        }

    def is_preferred(self, index: int, shard: Shard) -> bool:
        """Tell whether this node comes first among the live nodes for a shard."""
        nodes = [self.node, *self.peers.nodes()]
        inside = [node for node in nodes if node.zone == shard.zone]
        return rendezvous(index, inside or nodes)[0] == self.node

    async def rebalance(self) -> None:
        """Hand a shard to a node that owns fewer, at leisure."""
        while True:
            await trio.sleep(REBALANCE_S)
            move = None if self.ownership.is_stopping else self.next_move()
            if move is not None:
                await self.ownership.hand_over(*move)

    def next_move(self) -> tuple[int, Node] | None:
        """Return a shard to hand over and its successor, or None."""
        now_s = trio.current_time()
        stable = [
            node
            for node, since_s in self.live_since_s.items()
            if now_s - since_s >= STABLE_S
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
            goes_home = successor.zone == zone and not is_home
            difference = counts[self.node.name] - counts[successor.name]
            if goes_home or difference >= HYSTERESIS:
                return index, successor
        return None

    async def hand_over_all(self) -> int:
        """Hand all shards to other nodes, for a planned stop.

        Returns
        -------
        left : int
            Shards that could not be handed over.
        """
        self.ownership.is_stopping = True
        for index in list(self.ownership.owned):
            nodes = self.peers.nodes()
            if not nodes or self.ownership.active(index) is None:
                continue
            zone = self.maps.map.shards[index].zone
            inside = [node for node in nodes if node.zone == zone]
            for successor in rendezvous(index, inside) or rendezvous(index, nodes):
                if await self.ownership.hand_over(index, successor):
                    break
        return len(self.ownership.owned)
