"""Tests of calls of the platform whose answers take long."""

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
# Three seconds of the link.
LARGE = b"x" * 1_875_000


async def answer_whole(request, wire):
    await wire.answer(200, {}, LARGE)


async def answer_half(request, wire):
    await wire.head(200, {"Content-Length": str(len(LARGE))})
    await wire.send(LARGE[:1000])
    await trio.sleep_forever()


async def answer_in_drops(request, wire):
    await wire.head(200, {"Content-Length": str(len(LARGE))})
    while True:
        await wire.send(b"x")
        await trio.sleep(1)


class TestLongAnswers:
    @pytest.fixture
    def call(self, nursery):
        """Return a function that asks a server with an answer of its own."""

        async def ask(handler, method="GET"):
            network = MemoryNetwork(OURS)
            network.limit_link(OURS, LINK_BYTES_PER_S)
            server = RawServer(handler)
            theirs = network.with_host(ADDRESS.host)
            await nursery.start(server.serve, theirs, ADDRESS)
            calls = PlatformCalls(network, ADDRESS)
            began_s = trio.current_time()
            answer = await calls.call(method, "/x")
            await calls.aclose()
            return answer, trio.current_time() - began_s

        return ask

    async def test_slow_link_brings_a_whole_answer(self, call, autojump_clock):
        """Guards against a read that is given up and repeated over a full link."""
        answer, _ = await call(answer_whole)
        assert answer.status_code == 200 and answer.content == LARGE

    async def test_answer_that_stops(self, call, autojump_clock):
        answer, took_s = await call(answer_half)
        assert answer == PlatformFailed("timeout", maybe_done=True)
        assert took_s < 2.5

    async def test_answer_in_drops(self, call, autojump_clock):
        answer, took_s = await call(answer_in_drops)
        assert answer == PlatformFailed("timeout", maybe_done=True)
        assert took_s < 8.5

    async def test_write_keeps_its_bound(self, call, autojump_clock):
        answer, took_s = await call(answer_in_drops, "POST")
        assert answer == PlatformFailed("timeout", maybe_done=True)
        assert took_s < 2.5
