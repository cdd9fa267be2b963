"""The map of shards to their owners: one object for a region.

An owner is one incarnation of a node, named without expiry. Each change of owner
raises the shard's epoch, and each change of the map its number.
"""

from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field, replace
from typing import Any

import xxhash

from rosemaryknot.values.claims import ClaimId
from rosemaryknot.values.nodes import Node

__all__ = [
    "SHARDS",
    "Shard",
    "ShardMap",
    "first_map",
    "rendezvous",
    "shard_of",
]

SHARDS = 48
ZONE_HINT = "zone:"


@dataclass(slots=True, frozen=True)
class Shard:
    """One shard and its owner.

    Attributes
    ----------
    zone : str
        Home zone, where its owner lives if a node of the zone does.
    owner : str
        Name of the owning node.
    incarnation : int
        Incarnation of that node which owns it.
    epoch : int
        Rises with each change of the owner.
    since : int
        Number of the map by which it was last taken from an owner that had ended;
        0 where its table was never lost.
    """

    zone: str
    owner: str
    incarnation: int
    epoch: int = 1
    since: int = 0

    def is_owned_by(self, node: Node) -> bool:
        """Tell whether an incarnation of a node owns it."""
        return (self.owner, self.incarnation) == (node.name, node.incarnation)


@dataclass(slots=True)
class ShardMap:
    """All shards of a region.

    Attributes
    ----------
    number : int
        Rises with each change.
    shards : list of Shard
        By index.
    """

    number: int
    shards: list[Shard]
    by_zone: dict[str, list[int]] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        for index, shard in enumerate(self.shards):
            self.by_zone.setdefault(shard.zone, []).append(index)

    def with_owners(self, changes: dict[int, Shard]) -> "ShardMap":
        """Return the next map, with some shards changed."""
        shards = list(self.shards)
        for index, shard in changes.items():
            shards[index] = shard
        return ShardMap(self.number + 1, shards)

    def owned_by(self, node: Node) -> list[int]:
        """Return the shards of one incarnation of a node."""
        return [
            index for index, shard in enumerate(self.shards) if shard.is_owned_by(node)
        ]

    def taken_by(self, indexes: Iterable[int], node: Node) -> "ShardMap":
        """Return the next map, in which a node takes shards from an ended owner."""
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

    def handed_to(self, index: int, node: Node) -> "ShardMap":
        """Return the next map, in which a shard and its table went to a node."""
        shard = self.shards[index]
        handed = replace(
            shard,
            owner=node.name,
            incarnation=node.incarnation,
            epoch=shard.epoch + 1,
        )
        return self.with_owners({index: handed})

    def to_value(self) -> dict[str, Any]:
        """Return the object's value."""
        return {
            "number": self.number,
            "shards": [asdict(shard) for shard in self.shards],
        }

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "ShardMap":
        """Return the map of an object's value."""
        return cls(value["number"], [Shard(**shard) for shard in value["shards"]])


def rendezvous(index: int, nodes: Sequence[Node]) -> list[Node]:
    """Return nodes in the order in which they are preferred for a shard."""
    return sorted(
        nodes,
        key=lambda node: xxhash.xxh3_64_intdigest(f"{index}/{node.name}".encode()),
    )


def shard_of(shard_map: ShardMap, claim_id: ClaimId) -> int:
    """Return the shard of an id.

    A key like ``zone:waco-a/booking-7`` gets a shard whose home is that zone, so
    that a zone which is cut off still owns what its callers book.

    Parameters
    ----------
    shard_map : ShardMap
        Any map of the region; home zones never change.
    claim_id : ClaimId
        The id.

    Returns
    -------
    index : int
        The shard.
    """
    text = "\0".join((claim_id.customer, claim_id.service, claim_id.key))
    digest = xxhash.xxh3_64_intdigest(text.encode())
    hint, separator, _ = claim_id.key.removeprefix(ZONE_HINT).partition("/")
    if separator and claim_id.key.startswith(ZONE_HINT):
        indexes = shard_map.by_zone.get(hint)
        if indexes:
            return indexes[digest % len(indexes)]
    return digest % len(shard_map.shards)


def first_map(nodes: Sequence[Node], count: int = SHARDS) -> ShardMap:
    """Return the first map of a region: shards spread over zones, then over nodes.

    Parameters
    ----------
    nodes : sequence of Node
        Live nodes.
    count : int
        Number of shards, for good.

    Returns
    -------
    shard_map : ShardMap
        Number 1.
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
