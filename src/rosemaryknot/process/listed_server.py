"""View of a listed backend server for the detector of crashes."""

from rosemaryknot.process.servers import ServerTable
from rosemaryknot.values.nodes import Address, BackendServer, ServerState

__all__ = ["ListedServer"]


class ListedServer:
    """One backend server in the table of an entry.

    A server that restarts is a new instance, so its name identifies the incarnation.

    Parameters
    ----------
    server : BackendServer
        The server, as it was when an attempt began.
    table : ServerTable
        Table of servers, for its current state.

    Attributes
    ----------
    last_answered_s : float
        Always before any attempt: an entry does not track it.
    process_lost_s : float
        When its process was seen to have ended, in trio time.
    """

    __slots__ = ("last_answered_s", "process_lost_s", "server", "table")

    def __init__(self, server: BackendServer, table: ServerTable) -> None:
        self.server = server
        self.table = table
        self.last_answered_s = float("-inf")
        self.process_lost_s = float("-inf")

    @property
    def incarnation_key(self) -> str:
        """Name of the instance."""
        return self.server.instance

    @property
    def service(self) -> str:
        """Service that the server runs."""
        return self.server.service

    @property
    def address(self) -> Address:
        """Address that the server listens on."""
        return Address.from_text(self.server.address)

    @property
    def has_announced_drain(self) -> bool:
        """Whether the server is draining."""
        known = self.table.get(self.server.instance)
        return known is not None and known.state == ServerState.LEAVING

    @property
    def is_missing(self) -> bool:
        """Whether the latest list omits the server."""
        return self.server.instance in self.table.absent_since_s

    @property
    def is_removed(self) -> bool:
        """Whether the server was dropped from the table."""
        return self.table.get(self.server.instance) is None
