"""Tests for the in-memory network and its fault injection."""

import pytest
import trio

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.values.nodes import Address

SERVER = Address("10.0.0.1", 1)
CALLER = "10.0.0.2"


async def echo(stream):
    """Send back the received bytes."""
    while data := await stream.receive_some():
        await stream.send_all(data)


@pytest.fixture
async def network(nursery):
    """Start an echo server on a network."""
    network = MemoryNetwork()
    await nursery.start(network.with_host(SERVER.host).listen, SERVER, echo)
    return network


class TestMemoryNetwork:
    """Connections can be delayed, silenced, partitioned and reset."""

    async def test_delay_applies_in_each_direction(self, network, autojump_clock):
        network.delays_s[frozenset((SERVER.host, CALLER))] = 0.5
        stream = await network.with_host(CALLER).dial(SERVER)
        start = trio.current_time()
        await stream.send_all(b"ping")
        assert await stream.receive_some() == b"ping"
        assert trio.current_time() - start == 1.0

    async def test_silent_connection_stays_silent_while_new_ones_work(
        self, network, autojump_clock
    ):
        caller = network.with_host(CALLER)
        old = await caller.dial(SERVER)
        assert network.silence(SERVER.host, CALLER) == 2
        await old.send_all(b"ping")
        with trio.move_on_after(60) as scope:
            await old.receive_some()
        assert scope.cancelled_caught
        new = await caller.dial(SERVER)
        await new.send_all(b"ping")
        assert await new.receive_some() == b"ping"

    async def test_partition_prevents_connections_until_healed(
        self, network, autojump_clock
    ):
        caller = network.with_host(CALLER)
        network.cut(SERVER.host, CALLER)
        with pytest.raises(TimeoutError):
            await caller.dial(SERVER)
        network.heal(SERVER.host, CALLER)
        stream = await caller.dial(SERVER)
        await stream.send_all(b"ping")
        assert await stream.receive_some() == b"ping"

    async def test_killed_host_resets_and_refuses(self, network, autojump_clock):
        caller = network.with_host(CALLER)
        stream = await caller.dial(SERVER)
        network.kill_host(SERVER.host)
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()
        with pytest.raises(ConnectionRefusedError):
            await caller.dial(SERVER)

    async def test_bytes_sent_before_close_arrive(self, nursery, autojump_clock):
        """The server responds and closes while the response is still in transit.

        Guards against a reset at the end of the handler, which would discard the last
        bytes, so that callers would see streams fail just before their end.
        """
        network = MemoryNetwork()
        network.delays_s[frozenset((SERVER.host, CALLER))] = 0.5

        async def answer_and_close(stream):
            await stream.send_all(b"answer")

        await nursery.start(
            network.with_host(SERVER.host).listen, SERVER, answer_and_close
        )
        stream = await network.with_host(CALLER).dial(SERVER)
        assert await stream.receive_some() == b"answer"
        assert await stream.receive_some() == b""

    async def test_connections_share_the_bandwidth_of_a_host(
        self, network, autojump_clock
    ):
        network.limit_link(CALLER, 1000.0)
        first = await network.with_host(CALLER).dial(SERVER)
        second = await network.with_host(CALLER).dial(SERVER)
        start = trio.current_time()
        await first.send_all(bytes(2000))
        await second.send_all(bytes(1000))
        assert len(await second.receive_some()) == 1000
        # The second request is sent from 2 s to 3 s. Its echo returns after that of the
        # first one, from 4 s to 5 s.
        assert trio.current_time() - start == 5.0
