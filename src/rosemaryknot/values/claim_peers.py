"""Messages between agents about shards: claims, replication, handover and the map."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = [
    "ReplicasGathered",
    "ReplicasStored",
    "ReplicateRecords",
    "GatherReplicas",
    "HandoverRecords",
    "HandoverStored",
    "MapRequest",
    "MapPush",
    "NotOwner",
    "OwnerCall",
    "WireRecord",
]

# Customer, service, key, and the fields of the record.
WireRecord = list[Any]


@message("claim_owner_call")
@dataclass(slots=True)
class OwnerCall(Message):
    """Forwards a claim, closing or result to the owner of its shard.

    Attributes
    ----------
    payload : bytes
        Encoded message.
    """

    kind: ClassVar[str]
    payload: bytes


@message("claim_not_owner")
@dataclass(slots=True)
class NotOwner(Message):
    """The called node did not handle the call; it does not admit for the shard now.

    Attributes
    ----------
    shard_map : dict or None
        Newest shard map that the node knows.
    """

    kind: ClassVar[str]
    shard_map: dict[str, Any] | None = None


@message("claim_map_ask")
@dataclass(slots=True)
class MapRequest(Message):
    """Request for the shard map of a peer, if it is newer.

    Attributes
    ----------
    number : int
        Number of the map that the sender knows.
    """

    kind: ClassVar[str]
    number: int


@message("claim_map_push")
@dataclass(slots=True)
class MapPush(Message):
    """A shard map.

    Attributes
    ----------
    shard_map : dict or None
        The map; None if the sender has no newer one.
    """

    kind: ClassVar[str]
    shard_map: dict[str, Any] | None = None


@message("claim_copy")
@dataclass(slots=True)
class ReplicateRecords(Message):
    """Request to a peer to store replicas of records.

    Attributes
    ----------
    shard : int
        Shard that the records belong to.
    records : list
        `WireRecord` values.
    """

    kind: ClassVar[str]
    shard: int
    records: list[WireRecord]


@message("claim_copied")
@dataclass(slots=True)
class ReplicasStored(Message):
    """Response to a `ReplicateRecords`.

    Attributes
    ----------
    stored : bool
        Whether the records are stored; false if there is no capacity.
    """

    kind: ClassVar[str]
    stored: bool


@message("claim_gather")
@dataclass(slots=True)
class GatherReplicas(Message):
    """Request for a page of the replicas of a shard.

    Attributes
    ----------
    shard : int
        The shard.
    node : str
        Node that gathers the replicas.
    after : int
        Cursor from the previous page; 0 for the first page.
    """

    kind: ClassVar[str]
    shard: int
    node: str
    after: int = 0


@message("claim_gathered")
@dataclass(slots=True)
class ReplicasGathered(Message):
    """A page of replicas.

    Attributes
    ----------
    records : list
        `WireRecord` values.
    after : int
        Cursor for the next page; 0 if this is the last one.
    age_s : float
        How long the process of the sender has stored replicas, in seconds. An earlier
        process of the node may have stored more.
    """

    kind: ClassVar[str]
    records: list[WireRecord]
    after: int = 0
    age_s: float = 0.0


@message("claim_handover")
@dataclass(slots=True)
class HandoverRecords(Message):
    """A part of the table of a shard, handed over to the next owner.

    Attributes
    ----------
    shard : int
        The shard.
    epoch : int
        Epoch of the ownership of the next owner.
    records : list
        `WireRecord` values.
    is_first, is_last : bool
        Whether this is the first or the last part of the table.
    serial : int
        Increases with each handover attempt of the owner, so that a late part of an
        earlier attempt is recognized.
    since : int
        ``since`` of the shard in the map, which a handover does not change.
    doubt_age_s : float
        How long ago the table was last lost with an owner, in seconds; negative if
        never.
    """

    kind: ClassVar[str]
    shard: int
    epoch: int
    records: list[WireRecord] = field(default_factory=list)
    is_first: bool = True
    is_last: bool = True
    serial: int = 0
    since: int = 0
    doubt_age_s: float = -1.0


@message("claim_handover_stored")
@dataclass(slots=True)
class HandoverStored(Message):
    """Response of the next owner to a `HandoverRecords`.

    Attributes
    ----------
    stored : bool
        Whether the records are stored; false if there is no capacity.
    """

    kind: ClassVar[str]
    stored: bool
