"""Host of a stand-in: serves its application over connections that can fail."""

import trio
from quart_trio import QuartTrio

from rosemaryknot.connection.http_server import HttpServer
from rosemaryknot.connection.network import Network, StreamHandler
from rosemaryknot.values.nodes import Address

__all__ = ["Host", "HostStream", "new_app"]

CONTROL_PREFIXES = (b"POST /test/", b"GET /test/")
MAX_BODY_BYTES = 64 * 1024 * 1024


def new_app(name: str) -> QuartTrio:
    """Return an application without the limits that are not a stand-in's matter."""
    app = QuartTrio(name)
    app.config["RESPONSE_TIMEOUT"] = None
    app.config["BODY_TIMEOUT"] = None
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    return app


class HostStream(trio.abc.HalfCloseableStream):
    """A connection that can go silent while its socket stays open.

    Parameters
    ----------
    host : Host
        Host that accepted it.
    inner : trio.abc.HalfCloseableStream
        The connection itself.

    Attributes
    ----------
    silent : bool
        Nothing arrives and nothing leaves any more, and neither end is told.
    control : bool
        Whether it carries a call to ``/test/``, which faults leave alone.
    """

    def __init__(self, host: "Host", inner: trio.abc.HalfCloseableStream) -> None:
        self.host = host
        self.inner = inner
        self.socket = inner.socket
        self.silent = False
        self.control = False
        self.closed = trio.Event()

    async def send_all(self, data: bytes) -> None:
        """Send, unless the connection is silent."""
        if not self.control:
            await self.host.wait_thawed()
        if self.silent:
            await trio.lowlevel.checkpoint()
            return
        await self.inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Return when the connection has room."""
        await self.inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive; a silent connection waits until it is closed from this side."""
        data = b""
        if not self.silent:
            data = bytes(await self.inner.receive_some(max_bytes))
            self.control = self.control or data.startswith(CONTROL_PREFIXES)
        if not self.control:
            await self.host.wait_thawed()
        if self.silent:
            await self.closed.wait()
            raise trio.ClosedResourceError
        return data

    async def send_eof(self) -> None:
        """Close the sending direction, unless the connection is silent."""
        if self.silent:
            await trio.lowlevel.checkpoint()
            return
        await self.inner.send_eof()

    async def aclose(self) -> None:
        """Close; a silent connection stays open for the other end."""
        self.closed.set()
        if self.silent:
            await trio.lowlevel.checkpoint()
            return
        await self.inner.aclose()


class Host:
    """Serves one stand-in, and makes its connections fail on demand.

    Parameters
    ----------
    app : QuartTrio
        Application of the stand-in.

    Attributes
    ----------
    streams : set of HostStream
        Open connections.
    frozen : bool
        Whether the process stands still.
    dead : trio.Event
        Set once it is killed.
    """

    def __init__(self, app: QuartTrio) -> None:
        self.app = app
        self.streams: set[HostStream] = set()
        self.frozen = False
        self.thawed = trio.Event()
        self.dead = trio.Event()
        self.scope = trio.CancelScope()
        self.network: Network | None = None

    async def serve(
        self,
        network: Network,
        address: Address,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled or killed."""
        self.network = network
        server = HttpServer(self.app, self)
        with self.scope:
            await server.serve(address, task_status=task_status)

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections, each wrapped; see `Network.listen`."""

        async def handle(inner: trio.abc.HalfCloseableStream) -> None:
            stream = HostStream(self, inner)
            self.streams.add(stream)
            try:
                await handler(stream)
                if stream.silent:
                    await self.dead.wait()
            finally:
                self.streams.discard(stream)

        await self.network.listen(address, handle, task_status=task_status)

    async def wait_thawed(self) -> None:
        """Return when the process is not frozen."""
        while self.frozen and not self.dead.is_set():
            await self.thawed.wait()

    def freeze(self) -> None:
        """Stand still, with all connections open, until `thaw`."""
        if not self.frozen:
            self.frozen = True
            self.thawed = trio.Event()

    def thaw(self) -> None:
        """Go on."""
        self.frozen = False
        self.thawed.set()

    async def freeze_for(self, seconds: float) -> None:
        """Stand still for a time."""
        self.freeze()
        await trio.sleep(seconds)
        self.thaw()

    def silence(self) -> int:
        """Make the open connections silent for good; new ones work.

        Returns
        -------
        count : int
            Number of connections silenced.
        """
        chosen = [s for s in self.streams if not s.control and not s.silent]
        for stream in chosen:
            stream.silent = True
        return len(chosen)

    def kill(self) -> None:
        """End at once: no connection gets another byte."""
        for stream in self.streams:
            stream.silent = True
        self.dead.set()
        self.thaw()
        self.scope.cancel()
