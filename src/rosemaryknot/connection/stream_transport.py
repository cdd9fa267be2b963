"""An httpx transport for long streams, with one connection for each request.

`rosemaryknot.connection.http_client` uses a connection pool, which runs several
generators, locks and timers for each chunk. A stream of tokens arrives in chunks of one
token, so this cost would be paid for every token. Here a chunk passes directly from the
socket through h11 to the reader.
"""

import math
from collections.abc import AsyncIterator

import h11
import httpx
import trio

from rosemaryknot.connection.network import Network, receive_next
from rosemaryknot.connection.status_lines import check_status_line
from rosemaryknot.values.nodes import Address

__all__ = ["StreamTransport", "stream_client"]

RECEIVE_BYTES = 65536
LINE_END = b"\r\n"
# Interim responses (1xx) before a response; a server sends one or two.
MAX_INTERIM_RESPONSES = 16
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError)


def map_error(error: Exception) -> httpx.TransportError:
    """Return the httpx error for a failed connection or an invalid response."""
    if isinstance(error, h11.RemoteProtocolError):
        return httpx.RemoteProtocolError(str(error))
    return httpx.ReadError("connection failed while reading the response")


def is_at_end(event: h11.Data, parser: h11.Connection) -> bool:
    """Return whether the parser has no further event before more bytes arrive.

    Calling the parser once more would cost as much as the token itself. At most the
    line end of the chunk may remain in its buffer; another chunk takes more bytes.
    """
    return event.chunk_end and len(parser.trailing_data[0]) <= len(LINE_END)


class StreamBody(httpx.AsyncByteStream):
    """Response body that is read as it arrives.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        The connection, which is closed after the body.
    parser : h11.Connection
        Parser that has read the head of the response.
    """

    def __init__(
        self, stream: trio.abc.HalfCloseableStream, parser: h11.Connection
    ) -> None:
        self.stream = stream
        self.parser = parser

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield received data; chunks that arrived together are joined."""
        parser, stream = self.parser, self.stream
        chunks: list[bytes] = []
        try:
            while True:
                event = parser.next_event()
                if type(event) is h11.Data:
                    chunks.append(bytes(event.data))
                    if not is_at_end(event, parser):
                        continue
                if chunks:
                    yield b"".join(chunks)
                    chunks.clear()
                if event is not h11.NEED_DATA and type(event) is not h11.Data:
                    return
                parser.receive_data(await receive_next(stream, RECEIVE_BYTES))
        except BROKEN as error:
            raise map_error(error) from error

    async def aclose(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self.stream)


class StreamTransport(httpx.AsyncBaseTransport):
    """httpx transport that opens a new connection for each request.

    Only the connect timeout is enforced here. The calling code has to limit the
    duration of the whole request, since a timer for each read would cost as much as
    processing a token.

    Parameters
    ----------
    network : Network
        Network that opens the connections.
    """

    def __init__(self, network: Network) -> None:
        self.network = network

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the response with its body unread."""
        stream = await self.connect(request)
        try:
            return await self.exchange(stream, request)
        except BROKEN as error:
            await trio.aclose_forcefully(stream)
            raise map_error(error) from error
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
            raise httpx.ConnectTimeout("connecting timed out") from error
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
        interim_responses = 0
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await stream.receive_some(RECEIVE_BYTES))
            elif type(event) is h11.Response:
                check_status_line(event)
                break
            else:
                interim_responses += 1
                if interim_responses > MAX_INTERIM_RESPONSES:
                    raise h11.RemoteProtocolError("too many interim responses")
        return httpx.Response(
            event.status_code,
            headers=event.headers.raw_items(),
            stream=StreamBody(stream, parser),
        )


def stream_client(network: Network, connect_timeout_s: float) -> httpx.AsyncClient:
    """Return a client that opens a new connection for each request.

    Parameters
    ----------
    network : Network
        Network that opens the connections.
    connect_timeout_s : float
        Timeout for connecting, in seconds.

    Returns
    -------
    client : httpx.AsyncClient
        Client without read and write timeouts; the calling code has to limit the
        duration of its requests.
    """
    return httpx.AsyncClient(
        transport=StreamTransport(network),
        timeout=httpx.Timeout(None, connect=connect_timeout_s),
        trust_env=False,
    )
