"""An httpx client whose connections are opened by a `Network`."""

import select
import ssl
from collections.abc import Iterable
from typing import Any

import httpcore
import httpx
import trio

from rosemaryknot.connection.network import Network
from rosemaryknot.connection.status_lines import is_valid_status_line
from rosemaryknot.values.nodes import Address

__all__ = ["NetworkTransport", "ResponseTooLarge", "http_client", "read_bounded"]

MAX_CONNECTIONS = 4096
KEEPALIVE_S = 30.0
# A list of the platform has 1 MB at most, and servers' reports are far smaller.
MAX_RESPONSE_BYTES = 16 << 20

ERRORS = {
    httpcore.ConnectError: httpx.ConnectError,
    httpcore.ConnectTimeout: httpx.ConnectTimeout,
    httpcore.PoolTimeout: httpx.PoolTimeout,
    httpcore.ReadTimeout: httpx.ReadTimeout,
    httpcore.WriteTimeout: httpx.WriteTimeout,
    httpcore.ReadError: httpx.ReadError,
    httpcore.WriteError: httpx.WriteError,
    httpcore.RemoteProtocolError: httpx.RemoteProtocolError,
    httpcore.LocalProtocolError: httpx.LocalProtocolError,
}


class ResponseTooLarge(httpx.ReadError):
    """A response is larger than its reader accepts."""


async def read_bounded(response: httpx.Response, max_bytes: int) -> bytes:
    """Return the body of a response; a server may send one without end.

    Raises
    ------
    ResponseTooLarge
        If it has more than ``max_bytes``.
    """
    body = bytearray()
    async for chunk in response.aiter_raw():
        body += chunk
        if len(body) > max_bytes:
            raise ResponseTooLarge(f"a response is larger than {max_bytes} bytes")
    return bytes(body)


def map_error(error: Exception) -> Exception:
    """Return the httpx error for an httpcore error."""
    for known, target in ERRORS.items():
        if isinstance(error, known):
            return target(str(error))
    return httpx.TransportError(str(error))


class HttpStream(httpcore.AsyncNetworkStream):
    """Adapter of a trio stream to httpcore's stream interface."""

    def __init__(self, stream: trio.abc.HalfCloseableStream) -> None:
        self.stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read the bytes that have arrived, at most ``max_bytes``."""
        try:
            if timeout is None:
                return bytes(await self.stream.receive_some(max_bytes))
            with trio.fail_after(timeout):
                return bytes(await self.stream.receive_some(max_bytes))
        except trio.TooSlowError as error:
            raise httpcore.ReadTimeout from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write the whole buffer."""
        if not buffer:
            return
        try:
            with trio.fail_after(float("inf") if timeout is None else timeout):
                await self.stream.send_all(buffer)
        except trio.TooSlowError as error:
            raise httpcore.WriteTimeout from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.WriteError from error

    async def aclose(self) -> None:
        """Close the stream without waiting for the peer."""
        await trio.aclose_forcefully(self.stream)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise an error, since backend servers are reached without TLS."""
        raise httpcore.ConnectError("TLS is not supported")

    def get_extra_info(self, info: str) -> Any:
        """Return whether the stream is readable; httpcore requests nothing else."""
        return is_readable(self.stream) if info == "is_readable" else None


def is_readable(stream: trio.abc.HalfCloseableStream) -> bool:
    """Return whether a read would return immediately.

    An idle connection is readable if the server has closed it. A request sent on a
    closed connection cannot be distinguished from one that was lost in transit.
    """
    if not isinstance(stream, trio.SocketStream):
        return stream.is_readable()
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


class HttpNetwork(httpcore.AsyncNetworkBackend):
    """Adapter of a `Network` to httpcore's network backend interface."""

    def __init__(self, network: Network) -> None:
        self.network = network

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> HttpStream:
        """Dial an address of the network."""
        try:
            with trio.fail_after(float("inf") if timeout is None else timeout):
                return HttpStream(await self.network.dial(Address(host, port)))
        except trio.TooSlowError as error:
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error

    async def connect_unix_socket(self, path: str, **options: Any) -> HttpStream:
        """Raise an error, since only TCP is supported."""
        raise httpcore.ConnectError("Unix sockets are not supported")

    async def sleep(self, seconds: float) -> None:
        """Sleep on the trio clock, which may be virtual."""
        await trio.sleep(seconds)


class BodyStream(httpx.AsyncByteStream):
    """Response body that maps httpcore errors to httpx errors, and has a maximum size.

    Parameters
    ----------
    stream : object
        Body of httpcore.
    max_bytes : float
        Maximum size.
    """

    def __init__(self, stream: Any, max_bytes: float) -> None:
        self.stream = stream
        self.max_bytes = max_bytes

    async def __aiter__(self):
        """Yield the chunks of the body as they arrive."""
        size = 0
        try:
            async for chunk in self.stream:
                size += len(chunk)
                if size > self.max_bytes:
                    raise ResponseTooLarge(f"more than {self.max_bytes} bytes")
                yield chunk
        except ResponseTooLarge:
            raise
        except Exception as error:
            raise map_error(error) from error

    async def aclose(self) -> None:
        """Return the connection to the pool, or close it if the body is incomplete."""
        await self.stream.aclose()


class NetworkTransport(httpx.AsyncBaseTransport):
    """httpx transport with a connection pool over a `Network`.

    Parameters
    ----------
    network : Network
        Network that opens the connections.
    max_response_bytes : float
        Maximum size of a response's body; infinite for one that is read as it arrives.
    """

    def __init__(
        self, network: Network, max_response_bytes: float = MAX_RESPONSE_BYTES
    ) -> None:
        self.max_response_bytes = max_response_bytes
        self.pool = httpcore.AsyncConnectionPool(
            network_backend=HttpNetwork(network),
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_S,
            retries=0,
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the response with its body unread."""
        target = httpcore.URL(
            scheme=request.url.raw_scheme,
            host=request.url.raw_host,
            port=request.url.port,
            target=request.url.raw_path,
        )
        core_request = httpcore.Request(
            method=request.method,
            url=target,
            headers=request.headers.raw,
            content=request.stream,
            extensions=request.extensions,
        )
        try:
            response = await self.pool.handle_async_request(core_request)
        except Exception as error:
            raise map_error(error) from error
        version = response.extensions["http_version"].removeprefix(b"HTTP/")
        if not is_valid_status_line(response.status, version):
            await response.aclose()
            raise httpx.RemoteProtocolError("the status line is not valid")
        return httpx.Response(
            status_code=response.status,
            headers=response.headers,
            stream=BodyStream(response.stream, self.max_response_bytes),
            extensions=response.extensions,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self.pool.aclose()


def http_client(
    network: Network,
    timeout_s: float | None = 5.0,
    max_response_bytes: float = MAX_RESPONSE_BYTES,
) -> httpx.AsyncClient:
    """Return an httpx client over a `Network`.

    Parameters
    ----------
    network : Network
        Network that opens the connections.
    timeout_s : float or None
        Timeout for connecting and for each read and write, in seconds.
    max_response_bytes : float
        Maximum size of a response's body; infinite for one that is read as it arrives.

    Returns
    -------
    client : httpx.AsyncClient
        Client to be used as an async context manager.
    """
    return httpx.AsyncClient(
        transport=NetworkTransport(network, max_response_bytes),
        timeout=timeout_s,
        trust_env=False,
    )
