"""Serve a quart application by hypercorn over our `Network`.

Hypercorn's `TCPServer` is not documented as public; this is the only file that
uses it.
"""

from typing import Any

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from quart_trio import QuartTrio

from rosemaryknot.connection.connection_bound import ConnectionBound
from rosemaryknot.connection.direct_write import WithDirectWrite
from rosemaryknot.connection.network import Network, send_now
from rosemaryknot.values.nodes import Address

__all__ = ["HttpServer"]

WRITE_TIMEOUT_S = 20.0
READ_TIMEOUT_S = 120.0
KEEPALIVE_S = 60.0


class Connection(TCPServer):
    """One connection of a caller.

    Attributes
    ----------
    unsent : bytes
        What `write_now` could not write; goes out before anything else.
    """

    def __init__(self, app: Any, *args: Any) -> None:
        super().__init__(WithDirectWrite(app, self), *args)
        self.read_scope = trio.CancelScope()
        self.unsent = b""

    async def protocol_send(self, event: Event) -> None:
        """Carry out what hypercorn has decided; the writes are our own."""
        if isinstance(event, RawData):
            await self.write(event.data)
        else:
            await self.send_event(event)

    def write_now(self, data: bytes) -> None:
        """Write what the socket takes at once; the rest is kept for `write`.

        Parameters
        ----------
        data : bytes
            To be given only while `unsent` is empty and the lock is free.
        """
        self.unsent = data[send_now(self.stream, data) :]

    async def write(self, data: bytes) -> None:
        """Write what is kept and then the data to a caller, who may never read.

        Hypercorn shields its write from every cancellation, so no bound around it
        works: a caller who stops reading holds the task and its answer for ever, and
        a planned stop never ends. Hence a write of our own. Closing the connection
        after `WRITE_TIMEOUT_S` is enough, since an accepted answer can be picked up
        again by its id.
        """
        is_written = False
        async with self.send_lock:
            data, self.unsent = self.unsent + data, b""
            with trio.move_on_after(WRITE_TIMEOUT_S, shield=True):
                try:
                    await self.stream.send_all(data)
                    is_written = True
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass
        if not is_written:
            await trio.aclose_forcefully(self.stream)
            await self.protocol.handle(Closed())

    async def send_event(self, event: Event) -> None:
        """Carry out what is not a write, also when the application is cancelled.

        The end of an answer cancels the application's task, which is just closing
        the connection or starting its idle bound. Hypercorn leaves the connection
        open then, without a bound: a caller who sends its body byte by byte would
        hold it and its reading task for good.
        """
        with trio.CancelScope(shield=True):
            await super().protocol_send(event)
        if isinstance(event, Closed):
            self.read_scope.cancel()

    async def _read_data(self) -> None:
        """Read until the connection ends, on either side."""
        self.refuse_upgrades()
        with self.read_scope:
            await super()._read_data()
        # Hypercorn would wait for the idle bound of a connection that is gone.
        await self.idle_task.stop()

    def refuse_upgrades(self) -> None:
        """Stay with HTTP/1.1.

        An HTTP/2 caller who opens no flow-control window stops an answer inside
        hypercorn, where no bound on writes holds.
        """

        async def check_protocol(event: object) -> None:
            return

        self.protocol.protocol._check_protocol = check_protocol


class HttpServer:
    """A quart application on an address of the network.

    Parameters
    ----------
    app : QuartTrio
        The application.
    network : Network
        Where to listen.
    max_connections : int, optional
        Connections that are handled at once; by default without a bound.
    """

    def __init__(
        self, app: QuartTrio, network: Network, max_connections: int | None = None
    ) -> None:
        self.app = app
        self.network = network
        self.max_connections = max_connections
        self.context = WorkerContext(None)
        self.config = Config()
        self.config.keep_alive_timeout = KEEPALIVE_S
        self.config.read_timeout = READ_TIMEOUT_S
        self.config.include_server_header = False
        self.config.errorlog = None
        self.config.accesslog = None

    async def serve(
        self,
        address: Address,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        Parameters
        ----------
        address : Address
            Where to listen; port 0 takes a free one.
        task_status : trio.TaskStatus
            Told the bound address.
        """
        wrapped = ASGIWrapper(self.app)

        async def handle(stream: trio.abc.HalfCloseableStream) -> None:
            await Connection(wrapped, self.config, self.context, {}, stream).run()

        if self.max_connections is not None:
            handle = ConnectionBound(handle, self.max_connections).handle
        await self.network.listen(address, handle, task_status=task_status)

    async def close_idle(self) -> None:
        """Let idle connections end; those with a request in flight go on."""
        await self.context.terminated.set()
