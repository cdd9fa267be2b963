"""Messages by which nodes learn of each other, and forward for each other."""

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
    """What is said of a node; of two statements alike in age the higher one wins."""

    LIVE = 0
    SUSPECT = 1
    LEFT = 2


@dataclass(slots=True)
class PeerRecord:
    """One statement about a node.

    Attributes
    ----------
    name, zone, incarnation
        See `rosemaryknot.values.nodes.Node`.
    address : str
        Where it accepts links.
    sequence : int
        Rises when the node itself contradicts what is said of it.
    state : int
        A `PeerState` value.
    suspect_since_s : float
        Since when it is not live, in the local trio time.
    """

    name: str
    zone: str
    incarnation: int
    address: str
    sequence: int = 0
    state: int = PeerState.LIVE
    suspect_since_s: float = 0.0

    @property
    def node(self) -> Node:
        """The node that the record is of."""
        return Node(self.name, self.zone, self.incarnation)

    @property
    def rank(self) -> tuple[int, int, int]:
        """Order of statements: the higher one is believed."""
        return (self.incarnation, self.sequence, self.state)

    def to_fields(self, now_s: float) -> list:
        """Return the record as a message carries it, with ages for times."""
        age_s = 0.0 if self.state == PeerState.LIVE else now_s - self.suspect_since_s
        return [
            self.name,
            self.zone,
            self.incarnation,
            self.address,
            self.sequence,
            int(self.state),
            round(age_s, 3),
        ]

    @classmethod
    def from_fields(cls, fields: object, now_s: float) -> "PeerRecord | None":
        """Read what `to_fields` made.

        Parameters
        ----------
        fields : object
            What came; a newer peer may append fields.
        now_s : float
            Local trio time, in seconds.

        Returns
        -------
        record : PeerRecord or None
            None where the fields are of other types.
        """
        types = (str, str, int, str, int, int, float | int)
        if not isinstance(fields, list) or len(fields) < len(types):
            return None
        if not all(map(isinstance, fields, types)):
            return None
        name, zone, incarnation, address, sequence, state, age_s = fields[: len(types)]
        if state not in set(PeerState):
            return None
        return cls(
            name, zone, incarnation, address, sequence, PeerState(state), now_s - age_s
        )


@message("peer_records")
@dataclass(slots=True)
class PeerRecords(Message):
    """Statements about nodes.

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
    """Asks for the other end's records where its digest differs.

    Attributes
    ----------
    digest : int
        Digest of all the sender's records.
    """

    kind: ClassVar[str]
    digest: int


@message("peer_probe")
@dataclass(slots=True)
class PeerProbe(Message):
    """Asks a node, through another one, whether it is there."""

    kind: ClassVar[str]


@message("peer_alive")
@dataclass(slots=True)
class PeerAlive(Message):
    """Answer to `PeerProbe`."""

    kind: ClassVar[str]


@message("peer_forward")
@dataclass(slots=True)
class PeerForward(Message):
    """A message that a relay passes on.

    Attributes
    ----------
    target : str
        Node that the message is for.
    source : list
        Name, zone and incarnation of the sender.
    path : list of str
        Nodes that it went through.
    payload : bytes
        The message, encoded.
    timeout_s : float
        Time left, in seconds.
    wants_answer : bool
        Whether the sender waits for an answer.
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
    """Answer to `PeerForward`.

    Attributes
    ----------
    payload : bytes
        The target's answer, encoded; empty where there is none.
    reason : str
        Why there is none; see `rosemaryknot.connection.links.CallFailed`.
    maybe_handled : bool
        Whether the target may have handled the message all the same.
    """

    kind: ClassVar[str]
    payload: bytes = b""
    reason: str = ""
    maybe_handled: bool = field(default=False)
