"""Messages of an agent for servers, decisions and graceful shutdown."""

from dataclasses import dataclass, field
from typing import ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = [
    "DecisionsFetch",
    "DecisionsFound",
    "DrainAccepted",
    "DrainRequest",
    "LeavingMarkApplied",
    "ServersFetch",
    "ServersUnchanged",
]


@message("servers_fetch")
@dataclass(slots=True)
class ServersFetch(Message):
    """Request for the backend servers that a peer knows, if they differ.

    Answered by a `rosemaryknot.values.servers.ServersPush` or a `ServersUnchanged`.

    Attributes
    ----------
    digest : int
        Digest of the servers and draining marks that the sender knows.
    """

    kind: ClassVar[str]
    digest: int


@message("servers_same")
@dataclass(slots=True)
class ServersUnchanged(Message):
    """Response that both peers know the same backend servers.

    Attributes
    ----------
    listed_age_s : float
        How long ago the newest list that the sender knows was read, in seconds.
    """

    kind: ClassVar[str]
    listed_age_s: float


@message("leaving_mark_taken")
@dataclass(slots=True)
class LeavingMarkApplied(Message):
    """Response that the mark of a draining server has been applied."""

    kind: ClassVar[str]


@message("decisions_fetch")
@dataclass(slots=True)
class DecisionsFetch(Message):
    """Request for the recorded decisions of a process about a request.

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
    """Recorded decisions of a process about a request.

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
    """Request to a process for a graceful shutdown.

    Attributes
    ----------
    operator : str
        Operator that sent the request, for the log.
    deadline_unix_s : float
        When the node is terminated, in seconds since the epoch; 0 if it is not.
    """

    kind: ClassVar[str]
    operator: str = ""
    deadline_unix_s: float = 0.0


@message("drain_accepted")
@dataclass(slots=True)
class DrainAccepted(Message):
    """Response that the graceful shutdown has begun.

    Attributes
    ----------
    entries : int
        Number of entries to which the request was forwarded.
    """

    kind: ClassVar[str]
    entries: int = 0
