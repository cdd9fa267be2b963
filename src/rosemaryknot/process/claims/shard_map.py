"""Map of shards to their owners, stored as one object per region.

An owner is one incarnation of a node, and its ownership does not expire. Each change
of the owner increments the shard's epoch, and each change of the map its number.
"""

from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field, replace
from typing import Any

import xxhash

from rosemaryknot.values.claims import ClaimId
from rosemaryknot.values.nodes import Node

__all__ = [
    "DEFAULT_SHARD_COUNT",
    "Shard",
    "ShardMap",
    "initial_map",
    "rendezvous_order",
    "shard_of",
]

DEFAULT_SHARD_COUNT = 48
ZONE_HINT = "zone:"


@dataclass(slots=True, frozen=True)
class Shard:
    """One shard and its owner.

    Attributes
    ----------
    zone : str
        Home zone of the shard; its owner is in this zone if the zone has a live node.
    owner : str
        Name of the owning node.
    incarnation : int
        Incarnation of the owning node.
    epoch : int
        Incremented with each change of the owner.
    since : int
        Number of the map with which the shard was last taken over from a stopped
        owner; 0 if its table was never lost.
    """

    zone: str
    owner: str
    incarnation: int
    epoch: int = 1
    since: int = 0

    def is_owned_by(self, node: Node) -> bool:
        """Return whether this incarnation of a node owns the shard."""
        return (self.owner, self.incarnation) == (node.name, node.incarnation)


@dataclass(slots=True)
class ShardMap:
    """All shards of a region.

    Attributes
    ----------
    number : int
        Incremented with each change.
    shards : list of Shard
        Shards by index.
    """

    number: int
    shards: list[Shard]
    by_zone: dict[str, list[int]] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        for index, shard in enumerate(self.shards):
            self.by_zone.setdefault(shard.zone, []).append(index)

    def with_owners(self, changes: dict[int, Shard]) -> "ShardMap":
        """Return the next map, with some shards replaced."""
        shards = list(self.shards)
        for index, shard in changes.items():
            shards[index] = shard
        return ShardMap(self.number + 1, shards)

    def owned_by(self, node: Node) -> list[int]:
        """Return the indexes of the shards that one incarnation of a node owns."""
        return [
            index for index, shard in enumerate(self.shards) if shard.is_owned_by(node)
        ]

    def with_takeover(self, indexes: Iterable[int], node: Node) -> "ShardMap":
        """Return the next map, with shards of a stopped owner assigned to a node."""
        changes = {}
        for index in indexes:
            shard = self.shards[index]
            changes[index] = Shard(
                shard.zone,
                node.name,
                node.incarnation,
                shard.epoch + 1,
                self.number + 1,
            )
        return self.with_owners(changes)

    def with_handover(self, index: int, node: Node) -> "ShardMap":
        """Return the next map, with a shard that was handed over with its table."""
        shard = self.shards[index]
        handed = replace(
            shard,
            owner=node.name,
            incarnation=node.incarnation,
            epoch=shard.epoch + 1,
        )
        return self.with_owners({index: handed})

    def to_value(self) -> dict[str, Any]:
        """Return the map as the value of its stored object."""
        return {
            "number": self.number,
            "shards": [asdict(shard) for shard in self.shards],
        }

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "ShardMap":
        """Return the map for the value of a stored object."""
        return cls(value["number"], [Shard(**shard) for shard in value["shards"]])


def rendezvous_order(index: int, nodes: Sequence[Node]) -> list[Node]:
    """Return nodes in order of preference for a shard, by rendezvous hashing."""
    return sorted(
        nodes,
        key=lambda node: xxhash.xxh3_64_intdigest(f"{index}/{node.name}".encode()),
    )


def shard_of(shard_map: ShardMap, claim_id: ClaimId) -> int:
    """Return the shard of an id.

    A key like ``zone:waco-a/booking-7`` gets a shard whose home is that zone, so that
    the zone still owns the ids of its callers during a network partition.

    Parameters
    ----------
    shard_map : ShardMap
        Any map of the region; home zones never change.
    claim_id : ClaimId
        The id.

    Returns
    -------
    index : int
        Index of the shard.
    """
    text = "\0".join((claim_id.customer, claim_id.service, claim_id.key))
    digest = xxhash.xxh3_64_intdigest(text.encode())
    hint, separator, _ = claim_id.key.removeprefix(ZONE_HINT).partition("/")
    if separator and claim_id.key.startswith(ZONE_HINT):
        indexes = shard_map.by_zone.get(hint)
        if indexes:
            return indexes[digest % len(indexes)]
    return digest % len(shard_map.shards)


def initial_map(nodes: Sequence[Node], count: int = DEFAULT_SHARD_COUNT) -> ShardMap:
    """Return the first map of a region, with shards distributed over zones and nodes.

    Parameters
    ----------
    nodes : sequence of Node
        Live nodes.
    count : int
        Number of shards, which cannot be changed later.

    Returns
    -------
    shard_map : ShardMap
        The map with number 1.
    """
    zones = sorted({node.zone for node in nodes})
    shards = []
    for index in range(count):
        zone = zones[index % len(zones)]
        inside = sorted(
            (node for node in nodes if node.zone == zone), key=lambda node: node.name
        )
        owner = inside[index // len(zones) % len(inside)]
        shards.append(Shard(zone, owner.name, owner.incarnation))
    return ShardMap(1, shards)
