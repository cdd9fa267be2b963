"""Messages that carry what is known of backend servers between our processes."""

from dataclasses import asdict, dataclass, fields
from typing import Any, ClassVar

from rosemaryknot.values.messages import Message, message
from rosemaryknot.values.nodes import BackendServer

__all__ = ["LeavingMark", "ServersPush", "server_from_dict", "server_to_dict"]

SERVER_FIELDS = frozenset(field.name for field in fields(BackendServer))


@message("servers_push")
@dataclass(slots=True)
class ServersPush(Message):
    """Backend servers that the sender knows.

    Attributes
    ----------
    servers : list of dict
        Each made by `server_to_dict`.
    full : bool
        Whether these are all, so that a server that is absent is gone.
    """

    kind: ClassVar[str]
    servers: list[dict]
    full: bool = True


@message("leaving_mark")
@dataclass(slots=True)
class LeavingMark(Message):
    """An instance is leaving; never taken back.

    Attributes
    ----------
    instance : str
        The platform's name of the instance.
    deadline_unix_s : float
        When it is taken away, as seconds of the epoch; 0 where not known.
    source : str
        Who found out: ``notice``, ``list``, ``peer`` or ``server``.
    """

    kind: ClassVar[str]
    instance: str
    deadline_unix_s: float
    source: str


def server_to_dict(server: BackendServer) -> dict[str, Any]:
    """Return the fields of a server as JSON and msgpack carry them.

    Examples
    --------
    >>> server = BackendServer("e1", "chat", "waco-a", "g1", True, "127.0.0.1:9000")
    >>> server_from_dict(server_to_dict(server)) == server
    True
    """
    return {**asdict(server), "state": str(server.state)}


def server_from_dict(data: dict[str, Any]) -> BackendServer:
    """Return the server of a dict; unknown fields are ignored.

    Raises
    ------
    TypeError
        If a field without default is missing.
    """
    return BackendServer(**{k: v for k, v in data.items() if k in SERVER_FIELDS})
