"""Messages about what servers state of their availability."""

from dataclasses import dataclass, field
from typing import ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = ["ServerDrainNotice", "ServerPauseNotice"]


@message("server_drain_notice")
@dataclass(slots=True)
class ServerDrainNotice(Message):
    """Servers that stated in a response that they drain.

    A drain is never revoked, so a notice that is repeated changes nothing.

    Attributes
    ----------
    servers : list of str
        Incarnations of the servers. A later incarnation does not drain.
    is_forwarded : bool
        Whether a relay has forwarded the notice to the nodes of its zone.
    """

    kind: ClassVar[str]
    servers: list = field(default_factory=list)
    is_forwarded: bool = False


@message("server_pause_notice")
@dataclass(slots=True)
class ServerPauseNotice(Message):
    """A server wants no requests of the receiver, which relayed one, for a time.

    Attributes
    ----------
    server : str
        Incarnation of the server.
    length_s : float
        Length of the pause, in seconds.
    """

    kind: ClassVar[str]
    server: str = ""
    length_s: float = 0.0
