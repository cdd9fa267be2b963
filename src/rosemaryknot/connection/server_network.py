"""The network as clients of backend servers see it: with paths through peers."""

import trio

from rosemaryknot.connection.network import ACCEPT_ALL, AcceptPolicy, StreamHandler
from rosemaryknot.connection.server_dialler import ServerDialler
from rosemaryknot.values.nodes import Address

__all__ = ["ServerNetwork"]


class ServerNetwork:
    """A `Network` on which only servers are dialled.

    Parameters
    ----------
    dialler : ServerDialler
        Opens connections by the path that works.
    """

    def __init__(self, dialler: ServerDialler) -> None:
        self.dialler = dialler

    async def dial(self, address: Address) -> trio.abc.HalfCloseableStream:
        """Connect to a server; see `ServerDialler.dial`."""
        return await self.dialler.dial(address)

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
        policy: AcceptPolicy = ACCEPT_ALL,
    ) -> None:
        """Raise an error: clients of servers accept no connections."""
        raise OSError("cannot listen")
