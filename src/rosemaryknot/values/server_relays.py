"""Messages with which a node opens a connection to a backend server through a peer."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = ["RelayNodes", "RelayOpen", "RelayOpened", "RelayResult"]


class RelayResult(StrEnum):
    """Whether a peer opened a connection to a server, or why it did not.

    ``CUT_OFF``: the peer has no path of its own to the server. ``NO_CONNECTION``: the
    server refused its connection. ``SILENT``: the server did not answer in time.
    ``BUSY``: the peer relays as much as it may, or stops. ``UNKNOWN_SERVER``: it knows
    no server with that address that accepts requests.
    """

    OPEN = "open"
    CUT_OFF = "cut_off"
    NO_CONNECTION = "no_connection"
    SILENT = "silent"
    BUSY = "busy"
    UNKNOWN_SERVER = "unknown_server"


@message("server_relay_open")
@dataclass(slots=True)
class RelayOpen(Message):
    """Request to open a connection to a server and to relay its bytes.

    Attributes
    ----------
    address : str
        Address of the server.
    carries_request : bool
        Whether a request is to be sent on it, rather than the server's state checked.
    """

    kind: ClassVar[str]
    address: str = ""
    carries_request: bool = False


@message("server_relay_opened")
@dataclass(slots=True)
class RelayOpened(Message):
    """Reply to `RelayOpen`, after which the bytes of the connection follow.

    Attributes
    ----------
    result : str
        A `RelayResult` value.
    reaches_others : bool
        Whether the peer reaches other servers, so that its failure to reach this one is
        evidence of the server's state.
    """

    kind: ClassVar[str]
    result: str = RelayResult.BUSY
    reaches_others: bool = False


@message("relay_nodes")
@dataclass(slots=True)
class RelayNodes(Message):
    """Nodes that may relay connections, from an agent to the entries of its node.

    Attributes
    ----------
    nodes : list of list
        For each node: name, zone, incarnation and the address where it accepts links.
    """

    kind: ClassVar[str]
    nodes: list = field(default_factory=list)
