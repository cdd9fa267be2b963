"""An httpx transport for long streams: one connection for each request.

`rosemaryknot.connection.http_client` goes through a connection pool, which runs
several generators, locks and timers for each chunk. A stream of tokens arrives in
chunks of one token, so that cost is paid for each; here a chunk passes from the
socket through h11 to the reader.
"""

import math
from collections.abc import AsyncIterator

import h11
import httpx
import trio

from rosemaryknot.connection.network import Network, receive_next
from rosemaryknot.values.nodes import Address

__all__ = ["StreamTransport", "stream_client"]

RECEIVE_BYTES = 65536
LINE_END = b"\r\n"
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError)


def mapped_error(error: Exception) -> httpx.TransportError:
    """Return the httpx error for a broken connection or response."""
    if isinstance(error, h11.RemoteProtocolError):
        return httpx.RemoteProtocolError(str(error))
    return httpx.ReadError("the connection broke")


def is_at_end(event: h11.Data, parser: h11.Connection) -> bool:
    """Tell whether nothing can follow a part of a body before more bytes come.

    Asking the parser once more costs as much as the token. Behind a chunk there may
    be the end of its line; the next chunk takes more bytes than that.
    """
    return event.chunk_end and len(parser.trailing_data[0]) <= len(LINE_END)


class StreamBody(httpx.AsyncByteStream):
    """Body of a response, read as it arrives.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        The connection, which ends with the body.
    parser : h11.Connection
        Its state, with the response's head read.
    """

    def __init__(
        self, stream: trio.abc.HalfCloseableStream, parser: h11.Connection
    ) -> None:
        self.stream = stream
        self.parser = parser

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield what has arrived; chunks that came together are joined."""
        parser, stream = self.parser, self.stream
        parts: list[bytes] = []
        try:
            while True:
                event = parser.next_event()
                if type(event) is h11.Data:
                    parts.append(bytes(event.data))
                    if not is_at_end(event, parser):
                        continue
                if parts:
                    yield b"".join(parts)
                    parts.clear()
                if event is not h11.NEED_DATA and type(event) is not h11.Data:
                    return
                parser.receive_data(await receive_next(stream, RECEIVE_BYTES))
        except BROKEN as error:
            raise mapped_error(error) from error

    async def aclose(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self.stream)


class StreamTransport(httpx.AsyncBaseTransport):
    """Requests over a `Network`, each on a connection of its own.

    Only the timeout of connecting is kept here. Whoever makes a call bounds the
    whole of it: a timer for each read costs as much as a token.

    Parameters
    ----------
    network : Network
        Where connections come from.
    """

    def __init__(self, network: Network) -> None:
        self.network = network

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the response with its open body."""
        stream = await self.connect(request)
        try:
            return await self.exchange(stream, request)
        except BROKEN as error:
            await trio.aclose_forcefully(stream)
            raise mapped_error(error) from error
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise

    async def connect(self, request: httpx.Request) -> trio.abc.HalfCloseableStream:
        """Dial the request's server."""
        timeouts = request.extensions.get("timeout", {})
        timeout_s = timeouts.get("connect")
        address = Address(request.url.host, request.url.port or 80)
        try:
            with trio.fail_after(math.inf if timeout_s is None else timeout_s):
                return await self.network.dial(address)
        except trio.TooSlowError as error:
            raise httpx.ConnectTimeout("no connection in time") from error
        except OSError as error:
            raise httpx.ConnectError(str(error)) from error

    async def exchange(
        self, stream: trio.abc.HalfCloseableStream, request: httpx.Request
    ) -> httpx.Response:
        """Send the request in one write and read the response's head."""
        parser = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method=request.method,
            target=request.url.raw_path,
            headers=request.headers.raw,
        )
        body = await request.aread()
        data = parser.send(head)
        if body:
            data += parser.send(h11.Data(body))
        await stream.send_all(data + parser.send(h11.EndOfMessage()))
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await stream.receive_some(RECEIVE_BYTES))
            elif type(event) is h11.Response:
                break
        return httpx.Response(
            event.status_code,
            headers=event.headers.raw_items(),
            stream=StreamBody(stream, parser),
        )


def stream_client(network: Network, connect_timeout_s: float) -> httpx.AsyncClient:
    """Return a client whose every request has a connection of its own.

    Parameters
    ----------
    network : Network
        Where connections come from.
    connect_timeout_s : float
        Bound on connecting, in seconds.

    Returns
    -------
    client : httpx.AsyncClient
        Its calls are to be bounded by whoever makes them.
    """
    return httpx.AsyncClient(
        transport=StreamTransport(network),
        timeout=httpx.Timeout(None, connect=connect_timeout_s),
        trust_env=False,
    )
