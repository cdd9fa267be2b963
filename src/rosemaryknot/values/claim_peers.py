"""Messages between agents about owned shards: claims, copies, handover, the map."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = [
    "CopiesGathered",
    "CopiesStored",
    "CopyRecords",
    "GatherCopies",
    "HandoverRecords",
    "HandoverStored",
    "MapAsk",
    "MapPush",
    "NotOwner",
    "OwnerCall",
    "WireRecord",
]

# Customer, service, key and the record's fields.
WireRecord = list[Any]


@message("claim_owner_call")
@dataclass(slots=True)
class OwnerCall(Message):
    """Passes a claim, closing or result on to the owner of its shard.

    Attributes
    ----------
    payload : bytes
        The encoded message.
    """

    kind: ClassVar[str]
    payload: bytes


@message("claim_not_owner")
@dataclass(slots=True)
class NotOwner(Message):
    """The called node did not handle the call: it does not admit for the shard now.

    Attributes
    ----------
    shard_map : dict or None
        The newest shard map it knows.
    """

    kind: ClassVar[str]
    shard_map: dict[str, Any] | None = None


@message("claim_map_ask")
@dataclass(slots=True)
class MapAsk(Message):
    """Asks a peer for its shard map where that is newer.

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
    """Gives a shard map.

    Attributes
    ----------
    shard_map : dict or None
        The map; None where the sender has no newer one.
    """

    kind: ClassVar[str]
    shard_map: dict[str, Any] | None = None


@message("claim_copy")
@dataclass(slots=True)
class CopyRecords(Message):
    """Asks a peer to hold copies of records.

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
class CopiesStored(Message):
    """Tells whether the copies are held.

    Attributes
    ----------
    stored : bool
        False where there is no room.
    """

    kind: ClassVar[str]
    stored: bool


@message("claim_gather")
@dataclass(slots=True)
class GatherCopies(Message):
    """Asks for a page of the copies of a shard.

    Attributes
    ----------
    shard : int
        The shard.
    node : str
        Node that gathers.
    after : int
        Cursor of the page before; 0 for the first one.
    """

    kind: ClassVar[str]
    shard: int
    node: str
    after: int = 0


@message("claim_gathered")
@dataclass(slots=True)
class CopiesGathered(Message):
    """A page of copies.

    Attributes
    ----------
    records : list
        `WireRecord` values.
    after : int
        Cursor for the next page; 0 where this is the last one.
    age_s : float
        For how long the sender's process has held copies. An earlier process of the
        node may have held more.
    """

    kind: ClassVar[str]
    records: list[WireRecord]
    after: int = 0
    age_s: float = 0.0


@message("claim_handover")
@dataclass(slots=True)
class HandoverRecords(Message):
    """Hands a part of a shard's table to its successor.

    Attributes
    ----------
    shard : int
        The shard.
    epoch : int
        Epoch that the successor will own it under.
    records : list
        `WireRecord` values.
    is_first, is_last : bool
        Whether the table starts or ends here.
    serial : int
        Rises with each try of the owner, so that a part of an earlier try which
        comes late is told apart.
    since : int
        The shard's ``since`` of the map, which a handover leaves as it is.
    doubt_age_s : float
        How long ago the table was last lost with an owner; negative where never.
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
    """Tells whether the successor holds the part.

    Attributes
    ----------
    stored : bool
        False where there is no room.
    """

    kind: ClassVar[str]
    stored: bool
