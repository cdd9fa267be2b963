"""An HTTP server whose handler can truncate, reset, add and withhold bytes."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

import h11
import trio

from rosemaryknot.connection.network import Network, reset_on_close
from rosemaryknot.values.nodes import Address

__all__ = ["RawRequest", "RawServer", "RawWire"]

READ_BYTES = 65536
# Heads may be longer than any that a gateway accepts.
MAX_HEAD_BYTES = 1 << 20


@dataclass(slots=True)
class RawRequest:
    """A complete request.

    Attributes
    ----------
    method, target, path : str
        As received; the path without its query.
    query : dict of str to str
        Decoded query parameters.
    headers : dict of str to str
        By name in lower case; of a repeated header the last value.
    body : bytes
        As received.
    caller : str
        Host of the caller; empty if the network does not provide it.
    names : list of str
        Header names in the order received.
    """

    method: str
    target: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    caller: str = ""
    names: list[str] = field(default_factory=list)


class RawWire:
    """The sending side of a connection."""

    def __init__(self, stream: trio.abc.HalfCloseableStream) -> None:
        self.stream = stream
        self.is_open = True

    async def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        await self.stream.send_all(data)

    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of a response."""
        lines = [f"HTTP/1.1 {status} x"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        await self.send(("\r\n".join(lines) + "\r\n\r\n").encode())

    async def answer(
        self, status: int, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        """Send a complete response with its length."""
        headers = dict(headers or {}) | {"Content-Length": str(len(body))}
        lines = [f"HTTP/1.1 {status} x"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        await self.send(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def chunk(self, data: bytes) -> None:
        """Send one chunk of a chunked body."""
        await self.send(b"%x\r\n%s\r\n" % (len(data), data))

    async def last_chunk(self) -> None:
        """End a chunked body."""
        await self.send(b"0\r\n\r\n")

    def close(self) -> None:
        """Close the connection after the response is sent."""
        self.is_open = False

    def reset(self) -> None:
        """Reset the connection."""
        self.is_open = False
        if isinstance(self.stream, trio.SocketStream):
            reset_on_close(self.stream)
        else:
            self.stream.kill()


RawHandler = Callable[[RawRequest, RawWire], Awaitable[None]]


class RawServer:
    """Server that passes requests to a handler, which writes the response bytes.

    Parameters
    ----------
    handler : callable
        Called with a request and the sending side of its connection.
    """

    def __init__(self, handler: RawHandler) -> None:
        self.handler = handler

    async def serve(
        self,
        network: Network,
        address: Address,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        await network.listen(address, self.handle, task_status=task_status)

    async def handle(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve one connection."""
        wire = RawWire(stream)
        rest = b""
        try:
            while wire.is_open:
                found = await self.read(stream, rest)
                if found is None:
                    return
                request, rest = found
                await self.answer(request, wire, stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def answer(
        self, request: RawRequest, wire: RawWire, stream: trio.abc.HalfCloseableStream
    ) -> None:
        """Run the handler for a request; cancel it if the caller disconnects."""
        async with trio.open_nursery() as nursery:

            async def watch_disconnect() -> None:
                try:
                    if not await stream.receive_some(READ_BYTES):
                        wire.is_open = False
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    wire.is_open = False
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch_disconnect)
            try:
                await self.handler(request, wire)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                wire.is_open = False
            nursery.cancel_scope.cancel()

    async def read(
        self, stream: trio.abc.HalfCloseableStream, rest: bytes
    ) -> tuple[RawRequest, bytes] | None:
        """Return the next request and the bytes after it, or None at the end."""
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        if rest:
            conn.receive_data(rest)
        head = None
        body = b""
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(READ_BYTES)
                if not data:
                    return None
                conn.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                caller = str(getattr(stream, "far", ""))
                return make_request(head, body, caller), conn.trailing_data[0]
            else:
                return None


def make_request(head: h11.Request, body: bytes, caller: str) -> RawRequest:
    """Convert an h11 request to a `RawRequest`."""
    target = head.target.decode("latin-1")
    path, _, query = target.partition("?")
    headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in head.headers}
    return RawRequest(
        head.method.decode(),
        target,
        path,
        dict(parse_qsl(query)),
        headers,
        body,
        caller,
        list(headers),
    )
