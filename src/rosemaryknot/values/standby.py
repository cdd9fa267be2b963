"""Messages by which accepted model requests survive the loss of their entry.

The relaying entry copies a request to a standby through its agent, then sends the
emitted text in batches. The same messages hand a request over and find it again.
"""

from dataclasses import dataclass, field
from typing import Any, ClassVar, TypeVar

from rosemaryknot.values.messages import (
    Message,
    MessageError,
    decode_message,
    message,
)

__all__ = [
    "AdoptGeneration",
    "GenerationAdopted",
    "StandbyAck",
    "StandbyBatch",
    "StandbyCopy",
    "StandbyFind",
    "StandbyFound",
    "StandbyProbe",
    "StandbyProbed",
    "StandbyRead",
    "StandbyTaken",
    "StandbyText",
    "StandbyUpdate",
    "are_tokens",
    "read_inner",
]

InnerType = TypeVar("InnerType", bound=Message)


@message("standby_copy")
@dataclass(slots=True)
class StandbyCopy(Message):
    """An accepted request: entry to its agent, and on to the standby's agent.

    Answered by a `StandbyTaken`.

    Attributes
    ----------
    request, customer, service, lineage : str
        See `rosemaryknot.values.requests.ModelRequest`.
    body : bytes
        The caller's body as JSON.
    max_tokens, priority : int
        See `rosemaryknot.values.requests.ModelRequest`.
    left_s : float
        Time to the deadline, in seconds.
    tokens : list of bytes
        Text emitted so far, each token as the inside of a JSON string.
    server : str
        Instance that was at work on it last; empty where none was.
    relay : str
        Node that relays it.
    incarnation : int
        Incarnation of the entry that relays it.
    address : str
        Where that entry accepts callers; empty where not known.
    take_over : bool
        Whether the standby is to go on with it at once.
    preferred : str
        Node to ask first; empty for none.
    avoided : str
        Node that did not answer lately; empty for none.
    """

    kind: ClassVar[str]
    request: str
    customer: str
    service: str
    lineage: str
    body: bytes = field(repr=False)
    max_tokens: int
    priority: int
    left_s: float
    tokens: list = field(default_factory=list, repr=False)
    server: str = ""
    relay: str = ""
    incarnation: int = 0
    address: str = ""
    take_over: bool = False
    preferred: str = ""
    avoided: str = ""


@message("standby_taken")
@dataclass(slots=True)
class StandbyTaken(Message):
    """Tells who holds a copy now.

    Attributes
    ----------
    node : str
        The standby; empty where nobody took it.
    """

    kind: ClassVar[str]
    node: str = ""


@message("standby_update")
@dataclass(slots=True)
class StandbyUpdate(Message):
    """What is new of one request; travels within a `StandbyBatch`.

    Attributes
    ----------
    customer, request : str
        Whose, and which.
    offset : int
        Position of the first token.
    tokens : list of bytes
        Text emitted since the last update.
    outcome, reason, detail : str
        How it ended; empty while it runs.
    server : str
        Instance that is at work on it; empty for none.
    """

    kind: ClassVar[str]
    customer: str
    request: str
    offset: int
    tokens: list = field(default_factory=list, repr=False)
    outcome: str = ""
    reason: str = ""
    detail: str = ""
    server: str = ""


@message("standby_batch")
@dataclass(slots=True)
class StandbyBatch(Message):
    """Text emitted since the last batch; also shows that the entry is there.

    Answered by a `StandbyAck`.

    Attributes
    ----------
    standby : str
        Node that holds the copies.
    relay : str
        Node of the sender.
    incarnation : int
        Incarnation of the sending entry.
    updates : list of bytes
        Encoded `StandbyUpdate` messages.
    """

    kind: ClassVar[str]
    standby: str
    relay: str
    incarnation: int
    updates: list = field(repr=False)


@message("standby_ack")
@dataclass(slots=True)
class StandbyAck(Message):
    """Answer to a batch.

    Attributes
    ----------
    missing : list of [str, str]
        Customer and id of the copies that the standby does not hold.
    is_reached : bool
        Whether the standby answered; False where only our own agent did.
    """

    kind: ClassVar[str]
    missing: list = field(default_factory=list)
    is_reached: bool = True


@message("standby_probe")
@dataclass(slots=True)
class StandbyProbe(Message):
    """Asks a relaying node's agent whether an entry still lives.

    Attributes
    ----------
    incarnation : int
        Incarnation of the entry.
    """

    kind: ClassVar[str]
    incarnation: int


@message("standby_probed")
@dataclass(slots=True)
class StandbyProbed(Message):
    """Answer to a probe.

    Attributes
    ----------
    is_alive : bool
        Whether the entry is connected to its agent and answers.
    """

    kind: ClassVar[str]
    is_alive: bool


@message("standby_adopt")
@dataclass(slots=True)
class AdoptGeneration(Message):
    """Asks an entry to go on with a request that another one relayed.

    Attributes
    ----------
    copy : bytes
        The encoded `StandbyCopy`, with the text as far as it is known.
    """

    kind: ClassVar[str]
    copy: bytes = field(repr=False)


@message("standby_adopted")
@dataclass(slots=True)
class GenerationAdopted(Message):
    """Answer of the entry.

    Attributes
    ----------
    accepted : bool
        Whether it goes on with the request, or did already.
    """

    kind: ClassVar[str]
    accepted: bool


@message("standby_find")
@dataclass(slots=True)
class StandbyFind(Message):
    """Asks where a customer's request is; answered by a `StandbyFound`."""

    kind: ClassVar[str]
    customer: str
    request: str


@message("standby_found")
@dataclass(slots=True)
class StandbyFound(Message):
    """Where a request is.

    Attributes
    ----------
    node : str
        Node that holds it; empty where it was not found.
    is_copy : bool
        Whether the node holds no more than a copy that nobody works on.
    service : str
        Service that it is for.
    unreached : int
        Nodes that could not be asked.
    """

    kind: ClassVar[str]
    node: str = ""
    is_copy: bool = False
    service: str = ""
    unreached: int = 0


@message("standby_read")
@dataclass(slots=True)
class StandbyRead(Message):
    """Asks for the text of a request from an offset; answered by a `StandbyText`.

    Attributes
    ----------
    node : str
        Node that holds it.
    customer, request : str
        Whose, and which.
    offset : int
        First token that is wanted.
    wait_s : float
        How long to wait for one, in seconds.
    """

    kind: ClassVar[str]
    node: str
    customer: str
    request: str
    offset: int
    wait_s: float = 0.0


@message("standby_text")
@dataclass(slots=True)
class StandbyText(Message):
    """Text of a request.

    Attributes
    ----------
    is_found : bool
        Whether the node works on it or holds its whole answer.
    lineage : str
        Lineage of the text.
    tokens : list of bytes
        Tokens from the wanted offset, bounded.
    total : int
        Tokens that there are.
    outcome, reason, detail : str
        How it ended; empty while it runs.
    """

    kind: ClassVar[str]
    is_found: bool = False
    lineage: str = ""
    tokens: list = field(default_factory=list, repr=False)
    total: int = 0
    outcome: str = ""
    reason: str = ""
    detail: str = ""


def are_tokens(value: list[Any]) -> bool:
    """Tell whether a list from the wire holds tokens only."""
    return all(isinstance(token, bytes) for token in value)


def read_inner(payload: Any, wanted: type[InnerType]) -> InnerType | None:
    """Return the message that travelled within another one.

    Parameters
    ----------
    payload : bytes
        Made by `rosemaryknot.values.messages.encode_message`.
    wanted : type
        `StandbyCopy` or `StandbyUpdate`.

    Returns
    -------
    value : Message or None
        None where the bytes are no such message.
    """
    if not isinstance(payload, bytes):
        return None
    try:
        value, _, _ = decode_message(payload)
    except MessageError:
        return None
    if not isinstance(value, wanted) or not are_tokens(value.tokens):
        return None
    return value
