"""What a node knows of the shard map, and conditional changes of it."""

from collections.abc import Callable
from enum import Enum, auto

import trio

from rosemaryknot.process.claims.copies import PeerCaller
from rosemaryknot.process.claims.shard_map import SHARDS, ShardMap, first_map
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import gauge
from rosemaryknot.values.claim_peers import MapAsk, MapPush
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.platform import (
    Missing,
    ObjectStore,
    PlatformFailed,
    StoredObject,
    Written,
)

__all__ = ["Change", "MapKeeper"]

KIND = "shards"
NAME = "map"
MAX_ROUNDS = 5
ASK_TIMEOUT_S = 1.0

log = logger("shards")
NUMBER = gauge("shard_map_number", "Number of the newest shard map that is known.")


class Change(Enum):
    """What came of a change of the map."""

    DONE = auto()
    NOT_NEEDED = auto()
    FAILED = auto()
    UNSURE = auto()


class MapKeeper:
    """Follows the shard map; only a higher number replaces what is known.

    Parameters
    ----------
    node : Node
        This node.
    store : ObjectStore
        Holds the map.
    peers : PeerCaller
        Tell newer maps, so that the store is asked seldom.
    count : int
        Number of shards of a new map.

    Attributes
    ----------
    map : ShardMap or None
        The newest map known.
    changed : trio.Event
        Set when a newer map is known, then replaced.
    store_calls : int
        Calls made to the store.
    """

    def __init__(
        self,
        node: Node,
        store: ObjectStore,
        peers: PeerCaller,
        count: int = SHARDS,
    ) -> None:
        self.node = node
        self.store = store
        self.peers = peers
        self.count = count
        self.map: ShardMap | None = None
        self.changed = trio.Event()
        self.store_calls = 0

    @property
    def number(self) -> int:
        """Number of the newest map; 0 for none."""
        return 0 if self.map is None else self.map.number

    def adopt(self, shard_map: ShardMap) -> bool:
        """Take in a map if it is newer than the one known."""
        if shard_map.number <= self.number:
            return False
        self.map = shard_map
        NUMBER.set(shard_map.number)
        self.changed.set()
        self.changed = trio.Event()
        return True

    def adopt_push(self, push: MapPush) -> bool:
        """Take in a peer's map."""
        return push.shard_map is not None and self.adopt(
            ShardMap.from_value(push.shard_map)
        )

    def push(self) -> MapPush:
        """Return the known map for a peer."""
        return MapPush(None if self.map is None else self.map.to_value())

    async def read(self) -> StoredObject | Missing | PlatformFailed:
        """Read the map's object and adopt it."""
        self.store_calls += 1
        found = await self.store.read(KIND, NAME)
        if isinstance(found, StoredObject):
            self.adopt(ShardMap.from_value(found.value))
        return found

    async def ask(self, name: str) -> bool:
        """Ask a peer for a newer map; False where it does not answer."""
        reply = await self.peers.call(name, MapAsk(self.number), ASK_TIMEOUT_S)
        if isinstance(reply, MapPush):
            self.adopt_push(reply)
        return isinstance(reply, MapPush)

    async def ask_all(self) -> None:
        """Ask every live peer for a newer map."""
        async with trio.open_nursery() as nursery:
            for node in self.peers.nodes():
                nursery.start_soon(self.ask, node.name)

    async def create(self) -> None:
        """Write the first map of the region, over the nodes that live now."""
        shard_map = first_map([self.node, *self.peers.nodes()], self.count)
        self.store_calls += 1
        written = await self.store.create(KIND, NAME, shard_map.to_value())
        if isinstance(written, Written):
            log.info("wrote the first map", shards=len(shard_map.shards))
            self.adopt(shard_map)
            await self.peers.broadcast(self.push())

    async def change(self, decide: Callable[[ShardMap], ShardMap | None]) -> Change:
        """Change the map by conditional writes.

        Parameters
        ----------
        decide : callable
            Returns the next map of the stored one, or None where nothing is to be
            done. It is asked again after each conflict and each lost answer.

        Returns
        -------
        change : Change
            ``UNSURE`` where a write may have landed, or may still land.
        """
        failure = Change.FAILED
        for _ in range(MAX_ROUNDS):
            found = await self.read()
            if not isinstance(found, StoredObject) or self.is_older(found):
                return failure
            shard_map = decide(ShardMap.from_value(found.value))
            if shard_map is None:
                return Change.NOT_NEEDED
            self.store_calls += 1
            written = await self.store.update(
                KIND, NAME, shard_map.to_value(), found.version
            )
            if isinstance(written, Written):
                self.adopt(shard_map)
                await self.peers.broadcast(self.push())
                return Change.DONE
            if isinstance(written, PlatformFailed) and written.maybe_done:
                failure = Change.UNSURE
        return failure

    def is_older(self, found: StoredObject) -> bool:
        """Tell whether the store went back, as a restored backup does.

        Building on the older map would name owners that have handed their shards on.
        """
        number = found.value["number"]
        if number >= self.number:
            return False
        log.error("the store's map is older than ours", stored=number, ours=self.number)
        return True
