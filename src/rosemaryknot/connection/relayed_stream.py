"""Streams to backend servers that a peer relays.

Requests are relayed as they are. Responses are sent in frames, so that the end of a
relay is not taken for the end of a response: the system closes the connections of a
killed process in the same way as those of one that has sent everything.
"""

import trio

from rosemaryknot.connection.link_hello import FrameReader, send_raw
from rosemaryknot.connection.link_messages import LinkClosed
from rosemaryknot.connection.network import receive_next, reset_on_close, send_now
from rosemaryknot.connection.request_writer import RequestWriter

__all__ = ["RelayEnded", "RelayedStream", "relay_bytes"]

RECEIVE_BYTES = 65536
# First byte of each frame.
DATA = b"d"
END = b"e"
RESET = b"r"
MAX_FRAME_BYTES = RECEIVE_BYTES + 1
# A relay is closed after this time without a byte: its origin may have lost power.
IDLE_TIMEOUT_S = 30.0
# How long the origin has to close a relay after the end of the response.
CLOSE_TIMEOUT_S = 5.0

BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError)


class RelayEnded(trio.BrokenResourceError):
    """Raised if a relay ended; whether the server received the request is unknown."""


class RelayedStream(trio.abc.HalfCloseableStream):
    """Connection to a server through a peer.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        Connection to the peer.
    reader : FrameReader
        Reader of that connection.
    peer : str
        Name of the peer.
    """

    def __init__(
        self, stream: trio.abc.HalfCloseableStream, reader: FrameReader, peer: str
    ) -> None:
        self.stream = stream
        self.reader = reader
        self.peer = peer
        self.received = b""
        self.is_ended = False

    async def send_all(self, data: bytes) -> None:
        """Send bytes to the server."""
        await self.stream.send_all(data)

    def send_now(self, data: bytes) -> int:
        """Send bytes without waiting; return how many were accepted."""
        return send_now(self.stream, data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the connection to the peer accepts bytes."""
        await self.stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Close the sending direction, which ends the relay."""
        await self.stream.send_eof()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes of the server; raise `RelayEnded` if the peer ended the relay.

        Raises
        ------
        trio.BrokenResourceError
            If the server reset its connection.
        """
        if not self.received and not self.is_ended:
            try:
                frame = await self.reader.read_frame(MAX_FRAME_BYTES)
            except (LinkClosed, trio.BrokenResourceError) as error:
                raise RelayEnded(f"relay through {self.peer} ended") from error
            if frame[:1] == RESET:
                raise trio.BrokenResourceError("connection reset by the server")
            self.is_ended = frame[:1] == END
            self.received = frame[1:]
        size = len(self.received) if max_bytes is None else max_bytes
        data, self.received = self.received[:size], self.received[size:]
        return data

    def is_readable(self) -> bool:
        """Return True: pools must not reuse a relayed connection.

        The peer could not stop while others keep idle connections through it.
        """
        return True

    def reset_on_close(self) -> None:
        """Make closing reset the connection to the peer, and with it the server's."""
        reset_on_close(self.stream)

    async def aclose(self) -> None:
        """Close the connection to the peer."""
        await self.stream.aclose()


async def relay_bytes(
    origin: trio.abc.HalfCloseableStream,
    reader: FrameReader,
    server: trio.abc.HalfCloseableStream,
) -> None:
    """Relay the bytes of a connection until one of its ends closes.

    The server's connection is reset as soon as the origin closes its own, so that the
    server stops its work when the caller has left.

    Parameters
    ----------
    origin : trio.abc.HalfCloseableStream
        Connection of the node that sends the request.
    reader : FrameReader
        Reader of that connection, which may hold bytes already.
    server : trio.abc.HalfCloseableStream
        Connection to the server.
    """
    idle = trio.CancelScope(deadline=trio.current_time() + IDLE_TIMEOUT_S)
    writer = RequestWriter(server)
    with idle:
        async with trio.open_nursery() as nursery:

            async def relay_request() -> None:
                await copy_request(origin, reader, writer, idle)
                nursery.cancel_scope.cancel()

            nursery.start_soon(relay_request)
            await send_response(origin, server, writer, idle)
            idle.deadline = trio.current_time() + CLOSE_TIMEOUT_S
    reset_on_close(server)


async def copy_request(
    origin: trio.abc.ReceiveStream,
    reader: FrameReader,
    writer: RequestWriter,
    idle: trio.CancelScope,
) -> None:
    """Copy the bytes of requests until the origin closes its connection.

    A server may respond before it has read a request, and close its connection. The
    rest of the request is then discarded, and the response is still relayed.
    """
    data = bytes(reader.buffer)
    reader.buffer.clear()
    while True:
        if data and not writer.is_broken:
            await writer.write_all(data)
            idle.deadline = trio.current_time() + IDLE_TIMEOUT_S
        try:
            data = await receive_next(origin, RECEIVE_BYTES)
        except BROKEN:
            return
        if not data:
            return


async def send_response(
    origin: trio.abc.SendStream,
    server: trio.abc.ReceiveStream,
    writer: RequestWriter,
    idle: trio.CancelScope,
) -> None:
    """Send the bytes of responses in frames, and how the server ended them."""
    kind = DATA
    while kind == DATA:
        try:
            data = await receive_next(server, RECEIVE_BYTES)
            kind = DATA
            if not data:
                kind = RESET if writer.is_broken else END
        except BROKEN:
            data, kind = b"", RESET
        try:
            await send_raw(origin, kind + data)
        except BROKEN:
            return
        idle.deadline = trio.current_time() + IDLE_TIMEOUT_S
