"""Local state of the shard map, and conditional changes of the stored map."""

from collections.abc import Callable
from enum import Enum, auto

import trio

from rosemaryknot.process.claims.replication import PeerClient
from rosemaryknot.process.claims.shard_map import (
    DEFAULT_SHARD_COUNT,
    ShardMap,
    initial_map,
)
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import gauge
from rosemaryknot.values.claim_peers import MapPush, MapRequest
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.platform import (
    Missing,
    ObjectStore,
    PlatformFailed,
    StoredObject,
    Written,
)

__all__ = ["MapChange", "ShardMapManager"]

KIND = "shards"
NAME = "map"
MAX_ATTEMPTS = 5
REQUEST_TIMEOUT_S = 1.0

log = logger("shards")
NUMBER = gauge("shard_map_number", "Number of the newest shard map that is known.")


class MapChange(Enum):
    """Outcome of a change of the map."""

    DONE = auto()
    NOT_NEEDED = auto()
    FAILED = auto()
    UNCERTAIN = auto()


class ShardMapManager:
    """Newest known shard map, replaced only by a map with a higher number.

    Parameters
    ----------
    node : Node
        This node.
    store : ObjectStore
        Stores the map.
    peers : PeerClient
        Peers that send newer maps, so that the store is rarely read.
    count : int
        Number of shards of a new map.

    Attributes
    ----------
    map : ShardMap or None
        The newest known map.
    changed : trio.Event
        Set and replaced when a newer map is adopted.
    store_calls : int
        Number of calls made to the store.
    """

    def __init__(
        self,
        node: Node,
        store: ObjectStore,
        peers: PeerClient,
        count: int = DEFAULT_SHARD_COUNT,
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
        """Number of the newest known map; 0 if there is none."""
        return 0 if self.map is None else self.map.number

    def adopt(self, shard_map: ShardMap) -> bool:
        """Adopt a map if it is newer than the known one; return whether it was."""
        if shard_map.number <= self.number:
            return False
        self.map = shard_map
        NUMBER.set(shard_map.number)
        self.changed.set()
        self.changed = trio.Event()
        return True

    def adopt_push(self, push: MapPush) -> bool:
        """Adopt a peer's map if it is newer; return whether it was."""
        return push.shard_map is not None and self.adopt(
            ShardMap.from_value(push.shard_map)
        )

    def push(self) -> MapPush:
        """Return the message that sends the known map to a peer."""
        return MapPush(None if self.map is None else self.map.to_value())

    async def read(self) -> StoredObject | Missing | PlatformFailed:
        """Read the stored map, adopt it if newer, and return the stored object."""
        self.store_calls += 1
        found = await self.store.read(KIND, NAME)
        if isinstance(found, StoredObject):
            self.adopt(ShardMap.from_value(found.value))
        return found

    async def request_map(self, name: str) -> bool:
        """Request a newer map from a peer; return whether it responded."""
        reply = await self.peers.call(name, MapRequest(self.number), REQUEST_TIMEOUT_S)
        if isinstance(reply, MapPush):
            self.adopt_push(reply)
        return isinstance(reply, MapPush)

    async def request_map_from_all(self) -> None:
        """Request a newer map from every live peer."""
        async with trio.open_nursery() as nursery:
            for node in self.peers.nodes():
                nursery.start_soon(self.request_map, node.name)

    async def create(self) -> None:
        """Write the first map of the region, for the nodes that are currently live."""
        shard_map = initial_map([self.node, *self.peers.nodes()], self.count)
        self.store_calls += 1
        written = await self.store.create(KIND, NAME, shard_map.to_value())
        if isinstance(written, Written):
            log.info("created the shard map", shards=len(shard_map.shards))
            self.adopt(shard_map)
            await self.peers.broadcast(self.push())

    async def change(self, decide: Callable[[ShardMap], ShardMap | None]) -> MapChange:
        """Change the map by conditional writes.

        Parameters
        ----------
        decide : callable
            Returns the map that replaces the stored one, or None if no change is
            needed. It is called again after each conflict and each lost response.

        Returns
        -------
        change : MapChange
            ``UNCERTAIN`` if a write may have taken effect, or may still do so.
        """
        failure = MapChange.FAILED
        for _ in range(MAX_ATTEMPTS):
            found = await self.read()
            if not isinstance(found, StoredObject) or self.is_older(found):
                return failure
            shard_map = decide(ShardMap.from_value(found.value))
            if shard_map is None:
                return MapChange.NOT_NEEDED
            self.store_calls += 1
            written = await self.store.update(
                KIND, NAME, shard_map.to_value(), found.version
            )
            if isinstance(written, Written):
                self.adopt(shard_map)
                await self.peers.broadcast(self.push())
                return MapChange.DONE
            if isinstance(written, PlatformFailed) and written.maybe_done:
                failure = MapChange.UNCERTAIN
        return failure

    def is_older(self, found: StoredObject) -> bool:
        """Return whether the stored map is older than the known one.

        This happens if the store is restored from a backup. A change based on the older
        map would name owners that have handed over their shards since.
        """
        number = found.value["number"]
        if number >= self.number:
            return False
        log.error(
            "stored shard map is older than the known one",
            stored=number,
            ours=self.number,
        )
        return True
