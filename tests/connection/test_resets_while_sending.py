"""Tests of resets that reach the writer of a request and not the reader."""

import httpx
import pytest
import trio

from rosemaryknot.connection.gateway_server import ServerConnection
from rosemaryknot.connection.link_hello import FrameReader
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.plain_client import PlainClient
from rosemaryknot.connection.relayed_stream import relay_bytes
from rosemaryknot.platform.headers import PlatformWire
from rosemaryknot.values.gateway import RoutedServer
from rosemaryknot.values.gateway_responses import Lost
from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.values.outcomes import Answered, Unknown
from rosemaryknot.values.requests import PlainRequest

SERVER = RoutedServer(ServerIncarnation("i-1"), "s", "z", Address("10.0.0.1", 80))
HEAD = b"HTTP/1.1 200 OK\r\nRosemaryknot-Instance-Signature: i-1.sig\r\n"
CLOSE = HEAD + b"\r\npart"
LENGTH = HEAD + b"Content-Length: 4\r\n\r\npart"
BODY = b"x" * 100_000


class ResetStream(trio.abc.HalfCloseableStream):
    """Stream whose writer fails, and whose reader then sees an end in order."""

    def __init__(self, received):
        self.received = [received, b""]
        self.is_written = trio.Event()

    def send_now(self, data):
        return 10

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        self.is_written.set()
        raise trio.BrokenResourceError

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        if len(self.received) == 1:
            await self.is_written.wait()
        await trio.lowlevel.checkpoint()
        return self.received.pop(0)

    async def send_eof(self):
        await trio.lowlevel.checkpoint()

    async def aclose(self):
        await trio.lowlevel.checkpoint()


async def exchange(received):
    """Send a long request over a connection and return what its response ended with."""
    connection = ServerConnection(ResetStream(received), SERVER)
    headers = [(b"host", b"a"), (b"content-length", b"%d" % len(BODY))]
    await connection.send(b"POST", b"/x", headers, BODY)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.send_rest)
        await connection.head(PlatformWire(), "")
        chunks = [chunk async for chunk in connection.chunks()]
    return chunks[-1]


class TestServerConnection:
    async def test_response_without_length_is_broken_off(self, autojump_clock):
        """Guards against a reset that is taken for the end of a response."""
        assert isinstance(await exchange(CLOSE), Lost)

    async def test_response_with_its_whole_length_is_complete(self, autojump_clock):
        assert await exchange(LENGTH) == b"part"


class TestRelay:
    async def test_reset_is_relayed_as_one(self, nursery, autojump_clock):
        """Guards against a peer that relays a reset as an end in order."""
        near, far = trio.testing.memory_stream_pair()
        await near.send_all(BODY)
        nursery.start_soon(relay_bytes, far, FrameReader(far), ResetStream(CLOSE))
        reader = FrameReader(near)
        frames = [await reader.read_frame(1 << 20) for _ in range(2)]
        assert frames == [b"d" + CLOSE, b"r"]


class FailingTransport:
    """Transport whose request cannot be written, as httpcore reports it."""

    def __init__(self, headers):
        self.headers = headers

    async def handle_async_request(self, request):
        trace = request.extensions["trace"]
        await trace("http11.send_request_headers.started", {})
        await trace("http11.send_request_body.failed", {})
        return httpx.Response(200, headers=self.headers, stream=Body())


class Body(httpx.AsyncByteStream):
    async def __aiter__(self):
        yield b"part"


class TestPlainClient:
    @pytest.mark.parametrize(
        ("headers", "outcome"), [({}, Unknown), ({"content-length": "4"}, Answered)]
    )
    async def test_own_interface(self, autojump_clock, headers, outcome):
        """Guards against the same on the product's own interface."""
        client = PlainClient(MemoryNetwork("10.0.3.1"))
        client.transport = FailingTransport(headers)
        now_s = trio.current_time()
        request = PlainRequest(
            "r1", "ada", "app", "POST", "/x", [], BODY, "", 0, b"", now_s, now_s + 5.0
        )
        server = BackendServer("p0", "app", "z", "g1", True, "10.1.0.1:80")
        result = await client.send(server, request, True, now_s + 5.0)
        assert isinstance(result, outcome)
