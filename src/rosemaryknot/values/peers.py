"""Messages of the membership protocol between nodes, and forwarded messages."""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import ClassVar

from rosemaryknot.values.messages import Message, message
from rosemaryknot.values.nodes import Node

__all__ = [
    "PeerAlive",
    "PeerDigest",
    "PeerForward",
    "PeerForwarded",
    "PeerProbe",
    "PeerRecord",
    "PeerRecords",
    "PeerState",
]


class PeerState(IntEnum):
    """Membership state of a node.

    Of two records with equal incarnation and sequence, the higher state wins.
    """

    LIVE = 0
    SUSPECT = 1
    LEFT = 2


@dataclass(slots=True)
class PeerRecord:
    """One record of the membership state of a node.

    Attributes
    ----------
    name, zone, incarnation
        See `rosemaryknot.values.nodes.Node`.
    address : str
        Address where the node accepts links.
    sequence : int
        Increases when the node refutes a record about itself.
    state : int
        A `PeerState` value.
    suspect_since_s : float
        When the node ceased to be live, in local trio time.
    capacity : int
        See `rosemaryknot.values.nodes.Node`; 0 in a record that a node of earlier
        software has passed on.
    """

    name: str
    zone: str
    incarnation: int
    address: str
    sequence: int = 0
    state: int = PeerState.LIVE
    suspect_since_s: float = 0.0
    capacity: int = 0

    @property
    def node(self) -> Node:
        """Node that the record describes."""
        return Node(self.name, self.zone, self.incarnation, self.capacity)

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key of records about one node; the highest one is valid."""
        return (self.incarnation, self.sequence, self.state)

    def to_fields(self, now_s: float) -> list:
        """Return the record as a list for a message, with ages in place of times."""
        age_s = 0.0 if self.state == PeerState.LIVE else now_s - self.suspect_since_s
        return [
            self.name,
            self.zone,
            self.incarnation,
            self.address,
            self.sequence,
            int(self.state),
            round(age_s, 3),
            self.capacity,
        ]

    @classmethod
    def from_fields(cls, fields: object, now_s: float) -> "PeerRecord | None":
        """Decode the output of `to_fields`.

        Parameters
        ----------
        fields : object
            Received value; a newer peer may append fields.
        now_s : float
            Local trio time, in seconds.

        Returns
        -------
        record : PeerRecord or None
            None if the fields have other types.
        """
        types = (str, str, int, str, int, int, float | int)
        if not isinstance(fields, list) or len(fields) < len(types):
            return None
        if not all(map(isinstance, fields, types)):
            return None
        name, zone, incarnation, address, sequence, state, age_s = fields[: len(types)]
        if state not in set(PeerState):
            return None
        capacity = fields[len(types)] if len(fields) > len(types) else 0
        return cls(
            name,
            zone,
            incarnation,
            address,
            sequence,
            PeerState(state),
            now_s - age_s,
            capacity if isinstance(capacity, int) else 0,
        )


@message("peer_records")
@dataclass(slots=True)
class PeerRecords(Message):
    """Membership records of nodes.

    Attributes
    ----------
    records : list of list
        See `PeerRecord.to_fields`.
    """

    kind: ClassVar[str]
    records: list


@message("peer_digest")
@dataclass(slots=True)
class PeerDigest(Message):
    """Request for the records of the peer, if its digest differs.

    Attributes
    ----------
    digest : int
        Digest of all records of the sender.
    """

    kind: ClassVar[str]
    digest: int


@message("peer_probe")
@dataclass(slots=True)
class PeerProbe(Message):
    """Indirect probe: asks a node, through another one, whether it is alive."""

    kind: ClassVar[str]


@message("peer_alive")
@dataclass(slots=True)
class PeerAlive(Message):
    """Response to `PeerProbe`."""

    kind: ClassVar[str]


@message("peer_forward")
@dataclass(slots=True)
class PeerForward(Message):
    """A message to be forwarded by a relay.

    Attributes
    ----------
    target : str
        Node that the message is for.
    source : list
        Name, zone and incarnation of the sender.
    path : list of str
        Nodes that the message passed through.
    payload : bytes
        Encoded message.
    timeout_s : float
        Remaining time, in seconds.
    wants_answer : bool
        Whether the sender waits for a response.
    """

    kind: ClassVar[str]
    target: str
    source: list
    path: list
    payload: bytes
    timeout_s: float
    wants_answer: bool = True


@message("peer_forwarded")
@dataclass(slots=True)
class PeerForwarded(Message):
    """Response to `PeerForward`.

    Attributes
    ----------
    payload : bytes
        Encoded response of the target; empty if there is none.
    reason : str
        Why there is no response; see `rosemaryknot.connection.links.CallFailed`.
    maybe_handled : bool
        Whether the target may have handled the message despite the failure.
    """

    kind: ClassVar[str]
    payload: bytes = b""
    reason: str = ""
    maybe_handled: bool = field(default=False)
