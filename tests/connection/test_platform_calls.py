"""Tests for platform calls whose responses arrive slowly."""

import pytest
import trio

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.platform_calls import PlatformCalls
from rosemaryknot.standin.users.raw_http import RawServer
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.platform import PlatformFailed

OURS = "10.0.0.1"
ADDRESS = Address("10.0.0.2", 80)
LINK_BYTES_PER_S = 5e6 / 8
# Takes three seconds to transmit over the link.
LARGE = b"x" * 1_875_000


async def respond_completely(request, wire):
    await wire.answer(200, {}, LARGE)


async def respond_partially(request, wire):
    await wire.head(200, {"Content-Length": str(len(LARGE))})
    await wire.send(LARGE[:1000])
    await trio.sleep_forever()


async def respond_byte_by_byte(request, wire):
    await wire.head(200, {"Content-Length": str(len(LARGE))})
    while True:
        await wire.send(b"x")
        await trio.sleep(1)


class TestSlowResponses:
    @pytest.fixture
    def call(self, nursery):
        """Return a function that calls a server with the given handler."""

        async def call_server(handler, method="GET"):
            network = MemoryNetwork(OURS)
            network.limit_link(OURS, LINK_BYTES_PER_S)
            server = RawServer(handler)
            server_network = network.with_host(ADDRESS.host)
            await nursery.start(server.serve, server_network, ADDRESS)
            calls = PlatformCalls(network, ADDRESS)
            started_s = trio.current_time()
            response = await calls.call(method, "/x")
            await calls.aclose()
            return response, trio.current_time() - started_s

        return call_server

    async def test_slow_link_delivers_complete_response(self, call, autojump_clock):
        """Guards against a read that is abandoned and repeated over a full link."""
        response, _ = await call(respond_completely)
        assert response.status_code == 200 and response.content == LARGE

    async def test_response_that_stalls(self, call, autojump_clock):
        response, took_s = await call(respond_partially)
        assert response == PlatformFailed("timeout", maybe_done=True)
        assert took_s < 2.5

    async def test_response_byte_by_byte(self, call, autojump_clock):
        response, took_s = await call(respond_byte_by_byte)
        assert response == PlatformFailed("timeout", maybe_done=True)
        assert took_s < 8.5

    async def test_write_timeout_is_not_extended(self, call, autojump_clock):
        response, took_s = await call(respond_byte_by_byte, "POST")
        assert response == PlatformFailed("timeout", maybe_done=True)
        assert took_s < 2.5


class TestReconnection:
    @pytest.mark.parametrize("status", [429, 503])
    async def test_refused_calls(self, autojump_clock, nursery, status):
        """Guards against silent watches that nothing replaces after refused calls."""
        statuses = [200, status, 200]

        async def respond(request, wire):
            await wire.answer(statuses.pop(0))

        network = MemoryNetwork(OURS)
        server = RawServer(respond)
        await nursery.start(server.serve, network.with_host(ADDRESS.host), ADDRESS)
        calls = PlatformCalls(network, ADDRESS)
        times = []
        for _ in range(3):
            await trio.sleep(1)
            await calls.call("GET", "/x")
            times.append(calls.reconnected_s)
        assert times == [float("-inf"), float("-inf"), trio.current_time()]
        await calls.aclose()
        nursery.cancel_scope.cancel()
