"""Tests of clients whose servers send bytes without end."""

import json

import pytest
import trio

from rosemaryknot.connection import engine_client, platform_calls
from rosemaryknot.connection.engine_client import EngineClient
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.platform_calls import PlatformCalls
from rosemaryknot.standin.users.raw_http import RawServer
from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.values.platform import PlatformFailed

ADDRESS = Address("10.0.0.1", 80)
PIECE = b"x" * 65536
MAX_BYTES = 20 << 20


class EndlessServer:
    """Server that sends a head, and then bytes until its connection is closed."""

    def __init__(self, head):
        self.head = head
        self.sent_bytes = 0
        self.server = RawServer(self.respond)

    async def respond(self, request, wire):
        await wire.send(self.head)
        while True:
            await wire.send(PIECE)
            self.sent_bytes += len(PIECE)
            await trio.sleep(0.001)


HEADS = {
    "length": b"HTTP/1.1 200 x\r\nContent-Length: 99999999999\r\n\r\n",
    "close": b"HTTP/1.1 200 x\r\n\r\n",
}


@pytest.fixture(params=sorted(HEADS))
async def endless(request, nursery):
    network = MemoryNetwork()
    server = EndlessServer(HEADS[request.param])
    host = network.with_host(ADDRESS.host)
    await nursery.start(server.server.serve, host, ADDRESS)
    return server, network.with_host("10.0.0.2")


class TestClients:
    """A client reads no more than it could use, and fails."""

    async def test_platform_call(self, autojump_clock, endless):
        server, network = endless
        calls = PlatformCalls(network, ADDRESS, timeout_s=20.0)
        outcome = await calls.call("GET", "/x")
        assert isinstance(outcome, PlatformFailed)
        assert server.sent_bytes < MAX_BYTES

    async def test_watch(self, autojump_clock, endless):
        server, network = endless
        calls = PlatformCalls(network, ADDRESS)
        async with calls.open_watch("/x", json.loads) as watch:
            items = [item async for item in watch]
        assert items == []
        assert watch.ended == platform_calls.BROKEN
        assert server.sent_bytes < MAX_BYTES

    async def test_state_of_an_engine(self, autojump_clock, endless):
        server, network = endless
        client = EngineClient(network)
        backend = BackendServer("e", "s", "z", "c", False, str(ADDRESS))
        assert await client.status(backend, "r") is None
        assert server.sent_bytes < 2 * engine_client.MAX_JSON_BYTES
