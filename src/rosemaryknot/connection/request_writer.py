"""Writing of requests beside the task that reads their responses."""

import os

import trio

__all__ = ["RequestWriter"]

BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError)


class RequestWriter:
    """Sending direction of a connection to a server.

    The system reports a reset to one call only. If a write gets it, the next read sees
    an end in order. Trio's streams let other tasks run before they raise the error of a
    write, so sockets are written to here directly: `is_broken` is set before the reader
    can run.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        Connection to the server, without another writer.

    Attributes
    ----------
    is_broken : bool
        Whether a write failed. A response that only the end of the connection ends is
        not complete then, if the reader has not seen that end yet.
    """

    __slots__ = ("is_broken", "stream")

    def __init__(self, stream: trio.abc.HalfCloseableStream) -> None:
        self.stream = stream
        self.is_broken = False

    def write_now(self, data: bytes | memoryview) -> int:
        """Write as many bytes as possible without waiting; return how many."""
        if not isinstance(self.stream, trio.SocketStream):
            return self.stream.send_now(data)
        try:
            return os.write(self.stream.socket.fileno(), data)
        except BlockingIOError:
            return 0
        except OSError:
            self.is_broken = True
            return 0

    async def write_all(self, data: bytes) -> bool:
        """Write all bytes, and return whether that succeeded."""
        try:
            if isinstance(self.stream, trio.SocketStream):
                await self.write_to_socket(data)
            else:
                await self.stream.send_all(data)
        except BROKEN:
            self.is_broken = True
        return not self.is_broken

    async def write_to_socket(self, data: bytes) -> None:
        """Write all bytes to a socket, or as many as it takes before it fails."""
        rest = memoryview(data)
        while rest and not self.is_broken:
            descriptor = self.stream.socket.fileno()
            if descriptor < 0:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_writable(descriptor)
            rest = rest[self.write_now(rest) :]
