"""A loopback TCP proxy that can delay, drop and reset the forwarded traffic."""

import trio

from rosemaryknot.connection.network import reset_on_close
from rosemaryknot.values.nodes import Address

__all__ = ["SoakProxy"]

READ_BYTES = 65536


class SoakProxy:
    """Proxy that forwards connections to a target address.

    Attributes
    ----------
    delay_s : float
        Delay of each received block of data.
    bytes_per_s : float
        Bandwidth of each direction of a connection; 0 for no limit.
    silent : set of str
        Directions whose data is dropped: ``to`` the target, ``from`` it. A connection
        that has lost data stays silent in that direction until it is closed.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.delay_s = 0.0
        self.bytes_per_s = 0.0
        self.silent: set[str] = set()
        self.streams: set[trio.SocketStream] = set()
        self.muted_streams: set[trio.SocketStream] = set()
        self.down_s = 0.0
        self.listening = trio.CancelScope()
        self.listeners: list[trio.SocketListener] = []

    async def serve(
        self,
        address: Address,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; after `crash` begin again at the same port."""
        listeners = await trio.open_tcp_listeners(address.port, host=address.host)
        self.listeners = listeners
        port = listeners[0].socket.getsockname()[1]
        task_status.started(Address(address.host, port))
        while True:
            with trio.CancelScope() as self.listening:
                await trio.serve_listeners(self.handle, listeners)
            await trio.sleep(self.down_s)
            listeners = await trio.open_tcp_listeners(port, host=address.host)
            self.listeners = listeners

    def crash(self, down_s: float, has_resets: bool = True) -> None:
        """End all connections and refuse new ones for a while, as a crash does.

        Parameters
        ----------
        down_s : float
            How long new connections are refused, in seconds.
        has_resets : bool
            Whether connections are reset; otherwise they are closed, like those of a
            process that has read everything.
        """
        self.down_s = down_s
        for listener in self.listeners:
            listener.socket.close()
        if has_resets:
            self.reset_all()
        self.listening.cancel()

    async def handle(self, near: trio.SocketStream) -> None:
        """Forward one connection."""
        try:
            far = await trio.open_tcp_stream(self.target.host, self.target.port)
        except OSError:
            self.reset(near)
            return
        self.streams |= {near, far}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.pump, near, far, "to", nursery.cancel_scope)
                nursery.start_soon(self.pump, far, near, "from", nursery.cancel_scope)
        finally:
            self.streams -= {near, far}
            self.muted_streams -= {near, far}
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(near)
                await trio.aclose_forcefully(far)

    async def pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: str,
        scope: trio.CancelScope,
    ) -> None:
        """Forward one direction."""
        try:
            while data := await source.receive_some(READ_BYTES):
                if direction in self.silent:
                    self.muted_streams.add(sink)
                if sink in self.muted_streams:
                    continue
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                if self.bytes_per_s:
                    await trio.sleep(len(data) / self.bytes_per_s)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # Forwarded as a reset: an orderly end would make a truncated response
            # without a length look complete.
            self.reset(sink)
        scope.cancel()

    def reset(self, stream: trio.SocketStream) -> None:
        """Reset one connection."""
        reset_on_close(stream)
        stream.socket.close()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for stream in list(self.streams):
            self.reset(stream)
