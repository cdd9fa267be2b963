"""Messages about backend servers, exchanged between processes."""

from dataclasses import asdict, dataclass, field, fields
from typing import Any, ClassVar

from rosemaryknot.values.messages import Message, message
from rosemaryknot.values.nodes import BackendServer

__all__ = ["LeavingMark", "ServersPush", "server_from_dict", "server_to_dict"]

SERVER_FIELDS = frozenset(server_field.name for server_field in fields(BackendServer))


@message("servers_push")
@dataclass(slots=True)
class ServersPush(Message):
    """Backend servers from the table of the sender.

    Attributes
    ----------
    servers : list of dict
        Outputs of `server_to_dict`.
    full : bool
        Whether `servers` contains the whole table.
    seen_ages_s : list of float
        How long ago the platform last listed each server, in seconds; if empty, all
        were listed now.
    listed_age_s : float
        Age of the platform's newest list of servers that the sender knows, in seconds.
    """

    kind: ClassVar[str]
    servers: list[dict]
    full: bool = True
    seen_ages_s: list[float] = field(default_factory=list)
    listed_age_s: float = 0.0


@message("leaving_mark")
@dataclass(slots=True)
class LeavingMark(Message):
    """Irreversible mark that an instance is draining.

    Attributes
    ----------
    instance : str
        Name of the instance on the platform.
    deadline_unix_s : float
        When the instance is terminated, in seconds since the epoch; 0 if unknown.
    source : str
        Source of the mark: ``notice``, ``list``, ``peer``, ``server`` or ``placement``.
    age_s : float
        How long ago the platform or the server last reported this, in seconds.
    is_forwarded : bool
        Whether a relay has sent the mark to the nodes of its zone.
    """

    kind: ClassVar[str]
    instance: str
    deadline_unix_s: float
    source: str
    age_s: float = 0.0
    is_forwarded: bool = False


def server_to_dict(server: BackendServer) -> dict[str, Any]:
    """Return the fields of a server as values for JSON and msgpack.

    Examples
    --------
    >>> server = BackendServer("e1", "chat", "waco-a", "g1", True, "127.0.0.1:9000")
    >>> server_from_dict(server_to_dict(server)) == server
    True
    """
    return {**asdict(server), "state": str(server.state)}


def server_from_dict(data: dict[str, Any]) -> BackendServer:
    """Return the server of an output of `server_to_dict`; ignore unknown fields.

    Raises
    ------
    TypeError
        If a field without a default is missing.
    """
    return BackendServer(**{k: v for k, v in data.items() if k in SERVER_FIELDS})
