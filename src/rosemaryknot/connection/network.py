"""The one seam to the network: dial an address, or listen on one.

`SocketNetwork` fills it with TCP. Tests fill it with in-memory streams that can
be delayed, silenced, cut and killed in virtual time.
"""

import os
import struct
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.values.nodes import Address

__all__ = [
    "Network",
    "SocketNetwork",
    "StreamHandler",
    "drop_undelivered",
    "receive_next",
    "send_now",
]

CONNECT_TIMEOUT_S = 2.0
# Of the socket's option: to linger, for no time.
CLOSE_BY_RESET = struct.pack("ii", 1, 0)

log = logger("network")

StreamHandler = Callable[[trio.abc.HalfCloseableStream], Awaitable[None]]


class Network(Protocol):
    """What the rest of the program may ask of the network."""

    async def dial(self, address: Address) -> trio.abc.HalfCloseableStream:
        """Connect to an address.

        Parameters
        ----------
        address : Address
            Where to connect.

        Returns
        -------
        stream : trio.abc.HalfCloseableStream
            The open connection.

        Raises
        ------
        OSError
            If nobody answers there in time.
        """

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled, one task for each.

        Parameters
        ----------
        address : Address
            Where to listen; port 0 takes a free one.
        handler : callable
            Called with each new stream, which is closed when it returns.
        task_status : trio.TaskStatus
            Told the bound address once connections are accepted.

        Raises
        ------
        OSError
            If the address is taken.
        """


class SocketNetwork:
    """TCP by IP number."""

    async def dial(self, address: Address) -> trio.abc.HalfCloseableStream:
        """Connect by TCP; see `Network.dial`."""
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            return await trio.open_tcp_stream(address.host, address.port)
        raise TimeoutError(f"no answer from {address}")

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept TCP connections; see `Network.listen`."""
        listeners = await trio.open_tcp_listeners(address.port, host=address.host)
        bound = listeners[0].socket.getsockname()

        async def handle(stream: trio.SocketStream) -> None:
            try:
                await handler(stream)
            finally:
                await trio.aclose_forcefully(stream)

        task_status.started(Address(address.host, bound[1]))
        await trio.serve_listeners(handle, listeners)


def send_now(stream: trio.abc.HalfCloseableStream, data: bytes) -> int:
    """Write what a stream takes without waiting.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        A stream of a `Network` that nobody else writes to at the moment.
    data : bytes
        What to write.

    Returns
    -------
    count : int
        Bytes written; 0 where it is full or broken, which its next `send_all` tells.
    """
    if not isinstance(stream, trio.SocketStream):
        return stream.send_now(data)
    try:
        return os.write(stream.socket.fileno(), data)
    except OSError:
        return 0


def drop_undelivered(stream: trio.abc.HalfCloseableStream) -> None:
    """Let the close of a stream reset the connection and drop what was not delivered.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        A stream of a `Network`; those in memory deliver nothing late.
    """
    if not isinstance(stream, trio.SocketStream):
        return
    try:
        options = trio.socket
        stream.setsockopt(options.SOL_SOCKET, options.SO_LINGER, CLOSE_BY_RESET)
    except OSError as error:
        # Closed already, by either end.
        log.debug("no reset", error=type(error).__name__)


async def receive_next(stream: trio.abc.HalfCloseableStream, max_bytes: int) -> bytes:
    """Receive from a stream that has most likely nothing yet.

    Trio's streams try to read before they wait. Between two tokens that always fails,
    and costs a system call, an exception and the managers around it.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        A stream of a `Network` that nobody else reads from.
    max_bytes : int
        Most that is returned.

    Returns
    -------
    data : bytes
        What has arrived; empty at the end of the stream.

    Raises
    ------
    trio.BrokenResourceError
        If the connection broke.
    trio.ClosedResourceError
        If it was closed on this side.
    """
    if not isinstance(stream, trio.SocketStream):
        return await stream.receive_some(max_bytes)
    while True:
        descriptor = stream.socket.fileno()
        if descriptor < 0:
            raise trio.ClosedResourceError
        await trio.lowlevel.wait_readable(descriptor)
        try:
            return os.read(descriptor, max_bytes)
        except BlockingIOError:
            continue
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error
