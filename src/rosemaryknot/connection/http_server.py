"""HTTP server that runs a quart application with hypercorn over a `Network`.

Hypercorn's `TCPServer` is not a documented public interface; only this module uses it.
"""

from typing import Any

import h11
import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from quart_trio import QuartTrio

from rosemaryknot.connection.connection_limit import ConnectionLimiter
from rosemaryknot.connection.direct_write import DirectWriteMiddleware
from rosemaryknot.connection.network import Network, send_now
from rosemaryknot.process.logs import logger
from rosemaryknot.values.nodes import Address

__all__ = ["HttpServer"]

WRITE_TIMEOUT_S = 20.0
READ_TIMEOUT_S = 120.0
READ_BYTES = 16384
# Parts of a body that wait until the application receives them.
BODY_QUEUE_SIZE = 1
KEEPALIVE_S = 60.0
# Fields of a head. Each takes some 400 bytes while its request is handled, and a head
# has room for 4,000 of them.
MAX_FIELDS = 200
FIELDS_TOO_LARGE = 431

log = logger("http")


class TooManyFields(Exception):
    """A head has more than `MAX_FIELDS` fields, and was refused."""


class Connection(TCPServer):
    """One caller's connection.

    Parameters
    ----------
    app : callable
        ASGI application in hypercorn's wrapper.
    idle : dict of Connection to None
        Connections that wait for a request, the longest first.
    *args
        Further arguments of `TCPServer`.

    Attributes
    ----------
    read_scope : trio.CancelScope
        Scope of the reading; to cancel it ends the connection.
    unsent : bytes
        Bytes that `write_now` could not write; written before anything else.
    """

    def __init__(self, app: Any, idle: "dict[Connection, None]", *args: Any) -> None:
        super().__init__(DirectWriteMiddleware(app, self), *args)
        self.idle = idle
        self.read_scope = trio.CancelScope()
        self.unsent = b""

    async def protocol_send(self, event: Event) -> None:
        """Handle an event of hypercorn; writes are implemented by `write`."""
        if isinstance(event, RawData):
            await self.write(event.data)
        else:
            await self.send_event(event)

    def write_now(self, data: bytes) -> None:
        """Write as much as possible without waiting; buffer the rest for `write`.

        To be called only while `unsent` is empty and `send_lock` is free.

        Parameters
        ----------
        data : bytes
            Bytes to write.
        """
        self.unsent = data[send_now(self.stream, data) :]

    async def write(self, data: bytes) -> None:
        """Write the buffered bytes and then the data, with a timeout.

        Hypercorn shields its write from cancellation, so a timeout around it has no
        effect: a caller that stops reading would hold the task and its response
        indefinitely, and a graceful shutdown would never end. Closing the connection
        after `WRITE_TIMEOUT_S` is acceptable, since the response to an accepted request
        can be fetched again by its id.
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
        """Handle an event other than a write, even if the application is cancelled.

        The end of a response cancels the application task, which may be closing the
        connection or starting its idle timeout at that moment. Hypercorn would then
        leave the connection open without a timeout, and a caller that sends its body
        byte by byte would hold the connection and its reading task indefinitely.
        """
        if isinstance(event, Updated):
            self.set_idle(event.idle)
        with trio.CancelScope(shield=True):
            await super().protocol_send(event)
        if isinstance(event, Closed):
            self.read_scope.cancel()

    def set_idle(self, is_idle: bool) -> None:
        """Record whether the connection waits for a request from now on."""
        self.idle.pop(self, None)
        if is_idle:
            self.idle[self] = None

    async def _read_data(self) -> None:
        """Read until either end closes the connection."""
        self.replace_protocol_check()
        with self.read_scope:
            try:
                while data := await self.receive():
                    await self.protocol.handle(RawData(data))
            except TooManyFields:
                log.info("head refused: too many fields")
            await self.protocol.handle(Closed())
        # Hypercorn would wait for the idle timeout of the closed connection.
        await self.idle_task.stop()

    async def receive(self) -> bytes:
        """Return the next bytes from the caller; empty if there are no more.

        Hypercorn reads 64 KB at a time and buffers as much of each connection at
        several places.
        """
        try:
            with trio.fail_after(READ_TIMEOUT_S):
                return bytes(await self.stream.receive_some(READ_BYTES))
        except (
            trio.ClosedResourceError,
            trio.BrokenResourceError,
            trio.TooSlowError,
        ):
            return b""

    def replace_protocol_check(self) -> None:
        """Disable protocol upgrades, and refuse heads before they are handled.

        An HTTP/2 caller that opens no flow-control window blocks a response inside
        hypercorn, where the write timeout does not apply.
        """
        protocol = self.protocol.protocol

        async def check_head(event: h11.Request) -> None:
            if len(event.headers) > MAX_FIELDS:
                await protocol._send_error_response(FIELDS_TOO_LARGE)
                raise TooManyFields

        protocol._check_protocol = check_head


class HttpServer:
    """HTTP server for a quart application.

    Parameters
    ----------
    app : QuartTrio
        The application.
    network : Network
        Network to listen on.
    max_connections : int, optional
        Maximum number of concurrent connections; unlimited by default.

    Attributes
    ----------
    idle : dict of Connection to None
        Connections that wait for a request or the rest of its head, the longest first.
    """

    def __init__(
        self, app: QuartTrio, network: Network, max_connections: int | None = None
    ) -> None:
        self.app = app
        self.network = network
        self.max_connections = max_connections
        self.idle: dict[Connection, None] = {}
        self.context = WorkerContext(None)
        self.config = Config()
        self.config.keep_alive_timeout = KEEPALIVE_S
        self.config.max_app_queue_size = BODY_QUEUE_SIZE
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
            Address to listen on; port 0 selects a free port.
        task_status : trio.TaskStatus
            Receives the bound address.
        """
        wrapped = ASGIWrapper(self.app)

        async def handle(stream: trio.abc.HalfCloseableStream) -> None:
            connection = Connection(
                wrapped, self.idle, self.config, self.context, {}, stream
            )
            connection.set_idle(True)
            try:
                await connection.run()
            finally:
                connection.set_idle(False)

        if self.max_connections is not None:
            limiter = ConnectionLimiter(
                handle, self.max_connections, self.close_longest_idle
            )
            handle = limiter.handle
        await self.network.listen(address, handle, task_status=task_status)

    def close_longest_idle(self) -> bool:
        """Close the longest idle connection; return whether there was one."""
        if not self.idle:
            return False
        connection = next(iter(self.idle))
        connection.set_idle(False)
        connection.read_scope.cancel()
        return True

    async def close_idle(self) -> None:
        """Close idle connections; those with a request in flight continue."""
        await self.context.terminated.set()
