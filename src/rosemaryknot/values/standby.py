"""Messages by which accepted model requests survive the loss of their entry.

The relaying entry replicates a request to a standby through its agent, then sends the
emitted text in batches. The same messages hand a request over and locate it later.
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
    "StandbyAccepted",
    "StandbyText",
    "StandbyUpdate",
    "is_token_list",
    "decode_nested",
]

InnerType = TypeVar("InnerType", bound=Message)


@message("standby_copy")
@dataclass(slots=True)
class StandbyCopy(Message):
    """An accepted request, sent by the entry to its agent and by that to the standby.

    Answered by a `StandbyAccepted`.

    Attributes
    ----------
    request, customer, service, lineage : str
        See `rosemaryknot.values.requests.ModelRequest`.
    body : bytes
        JSON body of the caller's request.
    max_tokens, priority : int
        See `rosemaryknot.values.requests.ModelRequest`.
    left_s : float
        Time until the deadline, in seconds.
    tokens : list of bytes
        Text emitted so far, each token encoded as the content of a JSON string.
    server : str
        Instance that ran it last; empty for none.
    relay : str
        Node that relays the request.
    incarnation : int
        Incarnation of the entry that relays it.
    address : str
        Address where that entry accepts callers; empty if unknown.
    take_over : bool
        Whether the standby is to continue the request immediately.
    preferred : str
        Node to try first; empty for none.
    avoided : str
        Node that recently did not respond; empty for none.
    software_version : str or None
        Version of the server that emitted the first token; None if unknown.
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
    software_version: str | None = None


@message("standby_taken")
@dataclass(slots=True)
class StandbyAccepted(Message):
    """Response to a `StandbyCopy`.

    Attributes
    ----------
    node : str
        Node that now holds the replica; empty if none accepted it.
    """

    kind: ClassVar[str]
    node: str = ""


@message("standby_update")
@dataclass(slots=True)
class StandbyUpdate(Message):
    """New state of one request, sent within a `StandbyBatch`.

    Attributes
    ----------
    customer, request : str
        Customer, and id of the request.
    offset : int
        Position of the first token of ``tokens``.
    tokens : list of bytes
        Text emitted since the last update.
    outcome, reason, detail : str
        How the request ended; empty while it runs.
    server : str
        Instance that runs it; empty for none.
    software_version : str or None
        Version of the server that emitted the first token; None if unknown.
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
    software_version: str | None = None


@message("standby_batch")
@dataclass(slots=True)
class StandbyBatch(Message):
    """Text emitted since the last batch; also a heartbeat of the entry.

    Answered by a `StandbyAck`.

    Attributes
    ----------
    standby : str
        Node that holds the replicas.
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
    """Response to a `StandbyBatch`.

    Attributes
    ----------
    missing : list of [str, str]
        Customer and id of the requests of which the standby holds no replica.
    is_reached : bool
        Whether the standby responded; False if only the local agent did.
    """

    kind: ClassVar[str]
    missing: list = field(default_factory=list)
    is_reached: bool = True


@message("standby_probe")
@dataclass(slots=True)
class StandbyProbe(Message):
    """Request to the agent of a relaying node whether an entry is still alive.

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
    """Response to a `StandbyProbe`.

    Attributes
    ----------
    is_alive : bool
        Whether the entry is connected to its agent and responds.
    """

    kind: ClassVar[str]
    is_alive: bool


@message("standby_adopt")
@dataclass(slots=True)
class AdoptGeneration(Message):
    """Request to an entry to continue a request that another entry relayed.

    Attributes
    ----------
    copy : bytes
        Encoded `StandbyCopy`, with the text that is known.
    """

    kind: ClassVar[str]
    copy: bytes = field(repr=False)


@message("standby_adopted")
@dataclass(slots=True)
class GenerationAdopted(Message):
    """Response to an `AdoptGeneration`.

    Attributes
    ----------
    accepted : bool
        Whether the entry continues the request, or already did.
    """

    kind: ClassVar[str]
    accepted: bool


@message("standby_find")
@dataclass(slots=True)
class StandbyFind(Message):
    """Request for the location of a request; answered by a `StandbyFound`."""

    kind: ClassVar[str]
    customer: str
    request: str


@message("standby_found")
@dataclass(slots=True)
class StandbyFound(Message):
    """Location of a request.

    Attributes
    ----------
    node : str
        Node that holds it; empty if it was not found.
    is_copy : bool
        Whether the node holds only a replica of a request that no entry runs.
    service : str
        Service that the request is for.
    unreached : int
        Number of nodes that could not be queried.
    """

    kind: ClassVar[str]
    node: str = ""
    is_copy: bool = False
    service: str = ""
    unreached: int = 0


@message("standby_read")
@dataclass(slots=True)
class StandbyRead(Message):
    """Request for the text of a request from an offset; answered by `StandbyText`.

    Attributes
    ----------
    node : str
        Node that holds the request.
    customer, request : str
        Customer, and id of the request.
    offset : int
        Position of the first token to return.
    wait_s : float
        How long to wait for a token, in seconds.
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
        Whether the node runs the request or holds its complete response.
    lineage : str
        Lineage of the text.
    tokens : list of bytes
        Tokens from the requested offset, up to a maximum size.
    total : int
        Total number of tokens so far.
    outcome, reason, detail : str
        How the request ended; empty while it runs.
    """

    kind: ClassVar[str]
    is_found: bool = False
    lineage: str = ""
    tokens: list = field(default_factory=list, repr=False)
    total: int = 0
    outcome: str = ""
    reason: str = ""
    detail: str = ""


def is_token_list(value: list[Any]) -> bool:
    """Return whether a decoded list holds only tokens."""
    return all(isinstance(token, bytes) for token in value)


def decode_nested(payload: Any, wanted: type[InnerType]) -> InnerType | None:
    """Decode a message that was sent within another one.

    Parameters
    ----------
    payload : bytes
        Output of `rosemaryknot.values.messages.encode_message`.
    wanted : type
        `StandbyCopy` or `StandbyUpdate`.

    Returns
    -------
    value : Message or None
        None if the bytes are not such a message.
    """
    if not isinstance(payload, bytes):
        return None
    try:
        value, _, _ = decode_message(payload)
    except MessageError:
        return None
    if not isinstance(value, wanted) or not is_token_list(value.tokens):
        return None
    return value
