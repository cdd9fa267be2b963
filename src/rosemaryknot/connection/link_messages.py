"""Messages of the link protocol, and the outcome of calls without a reply."""

from dataclasses import dataclass
from typing import ClassVar

from rosemaryknot.values.messages import Message, message
from rosemaryknot.values.nodes import Node

__all__ = [
    "Heartbeat",
    "Busy",
    "CallFailed",
    "Hello",
    "LinkClosed",
    "Proof",
    "Unsupported",
]

PROTOCOL = 1


@message("hello")
@dataclass(slots=True)
class Hello(Message):
    """First message that each end sends.

    Attributes
    ----------
    name, zone, incarnation
        See `rosemaryknot.values.nodes.Node`.
    role : str
        ``agent`` or ``entry``.
    nonce : bytes
        Random bytes that the peer's proof must cover.
    protocol : int
        Version of the link protocol.
    address : str
        Address on which the sender accepts links, or empty.
    compression : str
        Compression of frames that the sender can read, or empty if it reads only
        uncompressed ones.
    capacity : int
        See `rosemaryknot.values.nodes.Node`.
    """

    kind: ClassVar[str]
    name: str
    zone: str
    incarnation: int
    role: str
    nonce: bytes
    protocol: int = PROTOCOL
    address: str = ""
    compression: str = ""
    capacity: int = 0

    @property
    def node(self) -> Node:
        """The node that sent it."""
        return Node(self.name, self.zone, self.incarnation, self.capacity)


@message("proof")
@dataclass(slots=True)
class Proof(Message):
    """Proof that the sender holds the cluster key."""

    kind: ClassVar[str]
    mac: bytes


@message("beat")
@dataclass(slots=True)
class Heartbeat(Message):
    """Heartbeat, which shows that the sender is alive and the link delivers data."""

    kind: ClassVar[str]


@message("busy")
@dataclass(slots=True)
class Busy(Message):
    """Reply to a call that was rejected because too many handlers are running."""

    kind: ClassVar[str]


@message("unsupported")
@dataclass(slots=True)
class Unsupported(Message):
    """Reply to a call for which the peer has no handler."""

    kind: ClassVar[str]


@dataclass(slots=True)
class CallFailed:
    """Outcome of a call without a reply.

    Attributes
    ----------
    reason : str
        ``timeout``, ``closed``, ``busy`` or ``unsupported``.
    maybe_handled : bool
        Whether the peer may have handled the call nevertheless.
    """

    reason: str
    maybe_handled: bool


class LinkClosed(Exception):
    """The link was closed, or the peer violated the protocol."""
