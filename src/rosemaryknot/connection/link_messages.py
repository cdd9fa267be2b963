"""The messages of the links themselves, and what a call without an answer gives."""

from dataclasses import dataclass
from typing import ClassVar

from rosemaryknot.values.messages import Message, message
from rosemaryknot.values.nodes import Node

__all__ = [
    "Beat",
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
    """First message of each end.

    Attributes
    ----------
    name, zone, incarnation
        See `rosemaryknot.values.nodes.Node`.
    role : str
        ``agent`` or ``entry``.
    nonce : bytes
        Random bytes that the other end's proof must cover.
    protocol : int
        Version of the link protocol.
    address : str
        Where the sender accepts links, or empty.
    compression : str
        Of frames that the sender can read besides plain ones, or empty.
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

    @property
    def node(self) -> Node:
        """The node that sent it."""
        return Node(self.name, self.zone, self.incarnation)


@message("proof")
@dataclass(slots=True)
class Proof(Message):
    """Shows that the sender holds the cluster key."""

    kind: ClassVar[str]
    mac: bytes


@message("beat")
@dataclass(slots=True)
class Beat(Message):
    """Heartbeat: shows that the sender is there and the link carries its bytes."""

    kind: ClassVar[str]


@message("busy")
@dataclass(slots=True)
class Busy(Message):
    """Answer to a call that the other end has no room to handle."""

    kind: ClassVar[str]


@message("unsupported")
@dataclass(slots=True)
class Unsupported(Message):
    """Answer to a call that the other end knows no handler for."""

    kind: ClassVar[str]


@dataclass(slots=True)
class CallFailed:
    """A call without an answer.

    Attributes
    ----------
    reason : str
        ``timeout``, ``closed``, ``busy`` or ``unsupported``.
    maybe_handled : bool
        Whether the other end may have handled the call all the same.
    """

    reason: str
    maybe_handled: bool


class LinkClosed(Exception):
    """The link ended, or its other end broke the protocol."""
