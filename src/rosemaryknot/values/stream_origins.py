"""Origins of streams: the service and software version that wrote the first event.

Servers of several software versions may serve side by side, and what two versions write
does not fit together. So a stream may go on only at the version that began it, at
whichever node its caller resumes it.
"""

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = [
    "OriginQuery",
    "OriginReply",
    "OriginsStored",
    "StoreOrigins",
    "StreamOrigin",
    "origin_key",
]

KEY_BYTES = 16


@dataclass(slots=True, frozen=True)
class StreamOrigin:
    """The server that wrote the first event of a stream.

    Attributes
    ----------
    service : str
        Its service.
    software_version : str
        Version of its software; empty if unknown.
    server : str
        Text form of its incarnation.
    """

    service: str
    software_version: str
    server: str = ""


def origin_key(customer: str, attempt_id: str) -> bytes:
    """Return the key under which the origin of an attempt's stream is recorded.

    The digest includes the customer, and is cryptographic: no caller can name an origin
    of another customer.

    Examples
    --------
    >>> origin_key("ada", "r1") == origin_key("ada", "r1")
    True
    >>> origin_key("ada", "r1") == origin_key("adar", "1")
    False
    """
    length = len(customer).to_bytes(4, "big")
    content = length + customer.encode() + attempt_id.encode()
    return blake2b(content, digest_size=KEY_BYTES).digest()


@message("stream_origins")
@dataclass(slots=True)
class StoreOrigins(Message):
    """Records of origins for another node to hold; answered by `OriginsStored`.

    Attributes
    ----------
    records : list of list
        For each stream: see `rosemaryknot.process.origin_records.OriginRecord.to_list`.
    """

    kind: ClassVar[str]
    records: list = field(default_factory=list)


@message("stream_origins_stored")
@dataclass(slots=True)
class OriginsStored(Message):
    """Confirmation that all records of a `StoreOrigins` are held."""

    kind: ClassVar[str]


@message("stream_origin_query")
@dataclass(slots=True)
class OriginQuery(Message):
    """Request for the origin of a stream; answered by `OriginReply`.

    Attributes
    ----------
    key : bytes
        Key of the stream; see `origin_key`.
    """

    kind: ClassVar[str]
    key: bytes = b""


@message("stream_origin")
@dataclass(slots=True)
class OriginReply(Message):
    """Reply to an `OriginQuery`.

    Attributes
    ----------
    record : list
        The record, as in `StoreOrigins`; empty if the node holds none.
    """

    kind: ClassVar[str]
    record: list = field(default_factory=list)
