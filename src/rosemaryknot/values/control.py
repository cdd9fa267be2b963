"""Messages of an agent's other duties: servers, decisions, planned stops."""

from dataclasses import dataclass, field
from typing import ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = [
    "DecisionsFetch",
    "DecisionsFound",
    "DrainAccepted",
    "DrainRequest",
    "LeavingMarkTaken",
    "ServersFetch",
    "ServersSame",
]


@message("servers_fetch")
@dataclass(slots=True)
class ServersFetch(Message):
    """Asks for the backend servers that a peer knows, if they differ.

    Answered by a `rosemaryknot.values.servers.ServersPush` or a `ServersSame`.

    Attributes
    ----------
    digest : int
        Digest of the servers and marks that the sender knows.
    """

    kind: ClassVar[str]
    digest: int


@message("servers_same")
@dataclass(slots=True)
class ServersSame(Message):
    """Tells that the two ends know the same backend servers.

    Attributes
    ----------
    listed_age_s : float
        How long ago the newest list that the sender knows was read, in seconds.
    """

    kind: ClassVar[str]
    listed_age_s: float


@message("leaving_mark_taken")
@dataclass(slots=True)
class LeavingMarkTaken(Message):
    """Tells that a mark of a leaving server has been taken over."""

    kind: ClassVar[str]


@message("decisions_fetch")
@dataclass(slots=True)
class DecisionsFetch(Message):
    """Asks a process what it remembers of a request.

    Attributes
    ----------
    request : str
        Id of the request.
    """

    kind: ClassVar[str]
    request: str


@message("decisions_found")
@dataclass(slots=True)
class DecisionsFound(Message):
    """What a process remembers of a request.

    Attributes
    ----------
    decisions : list of dict
        See `rosemaryknot.process.decisions.Decision`.
    """

    kind: ClassVar[str]
    decisions: list = field(default_factory=list)


@message("drain_request")
@dataclass(slots=True)
class DrainRequest(Message):
    """Asks a process for a planned stop.

    Attributes
    ----------
    operator : str
        Who asked, for the log.
    deadline_unix_s : float
        When the node is taken away, as seconds of the epoch; 0 where it is not.
    """

    kind: ClassVar[str]
    operator: str = ""
    deadline_unix_s: float = 0.0


@message("drain_accepted")
@dataclass(slots=True)
class DrainAccepted(Message):
    """Tells that the planned stop has begun.

    Attributes
    ----------
    entries : int
        Entries that were asked too.
    """

    kind: ClassVar[str]
    entries: int = 0
