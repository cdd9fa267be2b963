"""Interface to the network: dial an address, or listen on one.

All network access goes through `Network`. `SocketNetwork` implements it with TCP. Tests
use in-memory streams that can be delayed, silenced, partitioned and reset in virtual
time.
"""

import errno
import fcntl
import os
import socket
import struct
import termios
from collections.abc import Awaitable, Callable, Iterator
from typing import Protocol

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.values.nodes import Address

__all__ = [
    "ACCEPT_ALL",
    "AcceptPolicy",
    "Network",
    "SocketNetwork",
    "StreamHandler",
    "close_in_order",
    "close_shielded",
    "dial_failure",
    "linger",
    "reset_on_close",
    "receive_next",
    "send_now",
    "wait_delivered",
]

CONNECT_TIMEOUT_S = 2.0
# Value of SO_LINGER: linger enabled with a timeout of zero, so that closing resets.
LINGER_ZERO = struct.pack("ii", 1, 0)
# Value of SO_LINGER: linger disabled, so that closing sends what is left in order.
LINGER_OFF = struct.pack("ii", 0, 0)
DELIVERY_CHECK_INTERVAL_S = 0.005
# Bytes that are dropped at a time.
DROP_BYTES = 65536
# Connections accepted in one pass of the scheduler.
MAX_ACCEPTED = 100
# Errors of `accept` that pass once other connections have ended, and the pause then.
SHORT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)
ACCEPT_PAUSE_S = 0.1

log = logger("network")

StreamHandler = Callable[[trio.abc.HalfCloseableStream], Awaitable[None]]


class AcceptPolicy:
    """Decides which connections a listener accepts; this one accepts all."""

    async def wait_turn(self) -> None:
        """Wait until the next connections may be accepted."""

    def may_accept(self) -> bool:
        """Return whether to pass the next connection to the handler.

        Otherwise it is closed unread.
        """
        return True


ACCEPT_ALL = AcceptPolicy()


class Network(Protocol):
    """Network interface that the rest of the program uses."""

    async def dial(self, address: Address) -> trio.abc.HalfCloseableStream:
        """Connect to an address.

        Parameters
        ----------
        address : Address
            Address to connect to.

        Returns
        -------
        stream : trio.abc.HalfCloseableStream
            The open connection.

        Raises
        ------
        OSError
            If the connection is refused or times out.
        """

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
        policy: AcceptPolicy = ACCEPT_ALL,
    ) -> None:
        """Accept connections until cancelled, with one task for each connection.

        Parameters
        ----------
        address : Address
            Address to listen on; port 0 selects a free port.
        handler : callable
            Called with each new stream, which is closed when the handler returns.
        task_status : trio.TaskStatus
            Receives the bound address once connections are accepted.
        policy : AcceptPolicy
            Decides which connections are accepted.

        Raises
        ------
        OSError
            If the address is in use.
        """


class SocketNetwork:
    """Network of TCP connections to numeric IP addresses."""

    async def dial(self, address: Address) -> trio.abc.HalfCloseableStream:
        """Connect by TCP; see `Network.dial`."""
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                return await trio.open_tcp_stream(address.host, address.port)
            except (ValueError, OverflowError) as error:
                raise OSError(f"{address} is no address of a socket") from error
            except OSError as error:
                raise dial_cause(error) from error
        raise TimeoutError(f"connecting to {address} timed out")

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
        policy: AcceptPolicy = ACCEPT_ALL,
    ) -> None:
        """Accept TCP connections; see `Network.listen`."""
        (listener,) = await trio.open_tcp_listeners(address.port, host=address.host)
        bound = listener.socket.getsockname()

        async def handle(stream: trio.SocketStream) -> None:
            try:
                await handler(stream)
            finally:
                await trio.aclose_forcefully(stream)

        async with listener, trio.open_nursery() as nursery:
            task_status.started(Address(address.host, bound[1]))
            with socket.socket(fileno=os.dup(listener.socket.fileno())) as accepting:
                accepting.setblocking(False)
                while True:
                    await policy.wait_turn()
                    await trio.lowlevel.wait_readable(accepting)
                    try:
                        for stream in accept_waiting(accepting, policy.may_accept):
                            nursery.start_soon(handle, stream)
                    except OSError as error:
                        if error.errno not in SHORT_OF_RESOURCES:
                            raise
                        log.error("no connection accepted", error=error.strerror)
                        await trio.sleep(ACCEPT_PAUSE_S)


def accept_waiting(
    listening: socket.socket, may_accept: Callable[[], bool]
) -> Iterator[trio.SocketStream]:
    """Accept the connections that wait at a listening socket.

    A task for each, or a pass of the scheduler, would cost twice the processor time of
    a connection that is closed unread, which a node has to save when it is overloaded.

    Parameters
    ----------
    listening : socket.socket
        Non-blocking socket.
    may_accept : callable
        Returns whether to accept the next connection; otherwise it is closed unread.

    Yields
    ------
    stream : trio.SocketStream
        A connection that was accepted.

    Raises
    ------
    OSError
        If the process or the system has no resources for a connection.
    """
    for _ in range(MAX_ACCEPTED):
        try:
            connection, _ = listening.accept()
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno in SHORT_OF_RESOURCES:
                raise
            # The caller has closed it already.
            continue
        if may_accept():
            yield trio.SocketStream(trio.socket.from_stdlib_socket(connection))
        else:
            connection.close()


def dial_cause(error: OSError) -> OSError:
    """Return the error of the system call that opened no connection.

    Trio wraps it in another one, of which callers cannot tell whether the connection
    was refused.
    """
    cause = error.__cause__
    while isinstance(cause, BaseExceptionGroup):
        cause = cause.exceptions[0]
    return cause if isinstance(cause, OSError) else error


def dial_failure(error: OSError) -> str:
    """Return the name of the error because of which a connection was not opened.

    Examples
    --------
    >>> dial_failure(ConnectionRefusedError())
    'ConnectionRefusedError'
    """
    return type(error).__name__


def send_now(stream: trio.abc.HalfCloseableStream, data: bytes) -> int:
    """Write as many bytes to a stream as possible without waiting.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        Stream of a `Network` without a concurrent writer.
    data : bytes
        Bytes to write.

    Returns
    -------
    count : int
        Bytes written; 0 if the buffer is full or the connection is broken, which the
        next `send_all` reports.
    """
    if not isinstance(stream, trio.SocketStream):
        return stream.send_now(data)
    try:
        return os.write(stream.socket.fileno(), data)
    except OSError:
        return 0


def reset_on_close(stream: trio.abc.HalfCloseableStream) -> None:
    """Make closing a stream reset the connection and discard undelivered bytes.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        Stream of a `Network`.
    """
    if isinstance(stream, trio.SocketStream):
        set_linger(stream, LINGER_ZERO)
    else:
        stream.reset_on_close()


def close_in_order(stream: trio.abc.HalfCloseableStream) -> None:
    """Undo `reset_on_close`.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        Stream of a `Network`.
    """
    if isinstance(stream, trio.SocketStream):
        set_linger(stream, LINGER_OFF)
    else:
        stream.close_in_order()


def set_linger(stream: trio.SocketStream, value: bytes) -> None:
    """Set the socket option that decides how the connection is closed."""
    try:
        options = trio.socket
        stream.setsockopt(options.SOL_SOCKET, options.SO_LINGER, value)
    except OSError as error:
        # The connection was already closed by one of its ends.
        log.debug("setting SO_LINGER failed", error=type(error).__name__)


async def wait_delivered(
    stream: trio.abc.HalfCloseableStream, timeout_s: float
) -> None:
    """Wait until the system of the other end has received all that was sent.

    A reset discards what has not been received by then.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        Stream of a `Network`.
    timeout_s : float
        Longest wait, in seconds.
    """
    with trio.move_on_after(timeout_s):
        while has_undelivered(stream):
            await trio.sleep(DELIVERY_CHECK_INTERVAL_S)


def has_undelivered(stream: trio.abc.HalfCloseableStream) -> bool:
    """Return whether bytes were sent that the other end has not acknowledged."""
    if not isinstance(stream, trio.SocketStream):
        return stream.has_undelivered()
    try:
        unsent = fcntl.ioctl(stream.socket.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        # The connection is closed.
        return False
    return any(unsent)


async def linger(stream: trio.abc.HalfCloseableStream, timeout_s: float) -> None:
    """End the sending direction, and drop incoming bytes until the other end closes.

    Closing a connection with unread bytes resets it, and the reset discards a response
    that is still in transit.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        Stream of a `Network`.
    timeout_s : float
        Longest time to drop bytes, in seconds.
    """
    with trio.move_on_after(timeout_s):
        await stream.send_eof()
        while await stream.receive_some(DROP_BYTES):
            pass


async def receive_next(stream: trio.abc.HalfCloseableStream, max_bytes: int) -> bytes:
    """Receive from a stream on which most likely no data has arrived yet.

    Trio's streams try to read before they wait. Between two tokens that attempt always
    fails, and costs a system call, an exception and several context managers. This
    function waits first.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        Stream of a `Network` without a concurrent reader.
    max_bytes : int
        Maximum number of bytes to return.

    Returns
    -------
    data : bytes
        Bytes that have arrived; empty at the end of the stream.

    Raises
    ------
    trio.BrokenResourceError
        If the connection failed.
    trio.ClosedResourceError
        If the stream was closed on this side.
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


async def close_shielded(stream: trio.abc.AsyncResource | None) -> None:
    """Close a stream, if there is one, even if the task is cancelled."""
    if stream is not None:
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(stream)
