"""Tests for the platform client against the stand-in under faults."""

import pytest
import trio

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.platform import PlatformClient
from rosemaryknot.standin.platform import PlatformStandIn
from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.values.platform import (
    Conflict,
    Listed,
    Missing,
    Notice,
    ObjectChanged,
    PlatformFailed,
    StartRefused,
    StoredObject,
    Written,
)

OURS = "10.0.0.1"
ADDRESS = Address("10.0.0.2", 80)


@pytest.fixture
async def bench(nursery):
    network = MemoryNetwork(OURS)
    platform = PlatformStandIn(trio.current_time)
    platform.add_instance(
        BackendServer("waco-a-e1", "chat", "waco-a", "g1", True, "10.0.1.1:80")
    )
    await nursery.start(platform.serve, network.with_host(ADDRESS.host), ADDRESS)
    async with PlatformClient(network, ADDRESS) as client:
        yield client, platform, network


async def collect(client, kind, changes, since=None):
    async with client.watch(kind, since) as watch:
        async for change in watch:
            changes.append(change)
    return watch.ended


class TestObjects:
    async def test_outcomes(self, bench, autojump_clock):
        client, _, _ = bench
        assert await client.read("shard", "a/b") == Missing()
        assert await client.create("shard", "a/b", {"owner": None}) == Written(1)
        assert await client.create("shard", "a/b", 2) == Conflict(1)
        assert await client.update("shard", "a/b", None, 1) == Written(2)
        assert await client.update("shard", "c", 1, 1) == Conflict(0)
        assert await client.read("shard", "a/b") == StoredObject(2, None)
        expected = Listed(2, {"a/b": StoredObject(2, None)})
        assert await client.list_objects("shard") == expected
        assert await client.delete("shard", "a/b", 1) == Conflict(2)
        assert await client.delete("shard", "a/b", 2) == Written(3)

    async def test_response_lost(self, bench, autojump_clock):
        """A write takes effect, then the connection closes without a response.

        The failure must have ``maybe_done``; a read shows that the write took effect.
        """
        client, platform, _ = bench
        platform.faults.lose_answers = 1
        written = await client.create("shard", "a", 1)
        assert written == PlatformFailed("broken", maybe_done=True)
        assert await client.read("shard", "a") == StoredObject(1, 1)

    async def test_slow(self, bench, autojump_clock):
        """A write takes effect immediately, and its response is sent after 3 s.

        The client times out after 2 s and does not know whether the write took effect.
        """
        client, platform, _ = bench
        platform.faults.slow_s = 3
        started_s = trio.current_time()
        written = await client.create("shard", "a", 1)
        assert written == PlatformFailed("timeout", maybe_done=True)
        assert trio.current_time() - started_s == pytest.approx(2)
        assert platform.kinds["shard"].objects["a"].value == 1

    async def test_write_that_cannot_have_taken_effect(self, bench, autojump_clock):
        """A write is refused during an outage, is partitioned, or finds no listener.

        The failure shows that nothing was done, so the write may safely be repeated:
        the platform refuses before any effect, and in the other cases no byte of the
        call was received.
        """
        client, platform, network = bench
        platform.faults.outage = "refuse"
        written = await client.create("shard", "a", 1)
        assert written == PlatformFailed("unavailable", maybe_done=False)
        network.cut(OURS, ADDRESS.host)
        async with PlatformClient(network, ADDRESS) as other:
            written = await other.create("shard", "a", 1)
        assert written == PlatformFailed("unreachable", maybe_done=False)
        async with PlatformClient(network, Address("10.0.0.9", 80)) as other:
            written = await other.create("shard", "a", 1)
        assert written == PlatformFailed("unreachable", maybe_done=False)
        assert platform.kinds["shard"].objects == {}

    async def test_silent_connections(self, bench, autojump_clock):
        """Five pooled connections become silent permanently.

        One call runs into its timeout. The next calls must not, since new connections
        work.
        """
        client, platform, network = bench
        platform.faults.slow_s = 0.1
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(client.read, "shard", "a")
        assert network.silence(OURS, ADDRESS.host) == 10
        assert await client.read("shard", "a") == PlatformFailed("timeout", True)
        started_s = trio.current_time()
        for _ in range(5):
            assert await client.read("shard", "a") == Missing()
        assert trio.current_time() - started_s < 1

    async def test_connection_reset(self, bench, autojump_clock):
        """A connection is reset while its call is in progress.

        A read is retried over a new connection and succeeds. A write is not retried;
        its failure has ``maybe_done``, and it did take effect.
        """
        client, platform, network = bench
        platform.faults.slow_s = 0.5
        outcomes = []

        async def record(call):
            outcomes.append(await call)

        for call in (client.read("shard", "a"), client.create("shard", "a", 1)):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(record, call)
                await trio.sleep(0.2)
                for stream in list(network.streams):
                    stream.kill()
        assert outcomes == [Missing(), PlatformFailed("broken", maybe_done=True)]
        assert platform.kinds["shard"].objects["a"].value == 1


class TestWatch:
    async def test_changes(self, bench, nursery, autojump_clock):
        client, _, _ = bench
        await client.create("shard", "a", 1)
        await client.create("shard", "b", 1)
        listed, later = [], []
        nursery.start_soon(collect, client, "shard", listed)
        nursery.start_soon(collect, client, "shard", later, 1)
        await trio.sleep(20)
        await client.delete("shard", "a", 1)
        await trio.sleep(0.1)
        changes = [
            ObjectChanged("a", 1, 1),
            ObjectChanged("b", 2, 1),
            ObjectChanged("a", 3, None, deleted=True),
        ]
        assert listed == changes
        assert later == changes[1:]

    async def test_silent_watch_ends(self, bench, autojump_clock):
        """The connection of a watch becomes silent, then an object changes.

        No error is reported. The watch must end at its idle timeout of 3 s, and a new
        one, which starts with a list, shows the change.
        """
        client, _, network = bench
        ended = []

        async def watch_once(changes):
            ended.append(await collect(client, "shard", changes))

        first, second = [], []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_once, first)
            await trio.sleep(10)
            assert ended == []
            network.silence(OURS, ADDRESS.host)
            assert await client.create("shard", "a", 1) == Written(1)
            await trio.sleep(3.5)
        assert (ended, first) == (["silent"], [])
        with trio.move_on_after(1):
            await collect(client, "shard", second)
        assert second == [ObjectChanged("a", 1, 1)]

    async def test_watch_cannot_be_opened(self, bench, autojump_clock):
        client, platform, network = bench
        platform.faults.outage = "refuse"
        assert await collect(client, "shard", []) == "status 503"
        platform.faults.outage = "silent"
        assert await collect(client, "shard", []) == "timeout"
        network.cut(OURS, ADDRESS.host)
        assert await collect(client, "shard", []) == "unreachable"

    async def test_outage_while_open(self, bench, autojump_clock):
        client, platform, _ = bench
        with trio.fail_after(5):
            async with client.watch("shard") as watch:
                platform.faults.outage = "refuse"
                assert [change async for change in watch] == []
        assert watch.ended == "closed"


class TestCloud:
    async def test_instances(self, bench, autojump_clock):
        client, platform, _ = bench
        (server,) = await client.instances()
        assert await client.instance(server.instance) == server
        assert await client.instance("other") == Missing()
        platform.faults.refused_starts = {("waco-b", "g1")}
        refused = await client.start_instance("chat", "waco-b", "g1", True)
        assert refused == StartRefused("no g1 in waco-b")
        started = await client.start_instance("chat", "waco-a", "g1", False)
        assert await client.instance(started.instance) == started
        released = await client.release_instance(started.instance)
        assert released.state == "terminated"
        assert await client.release_instance("other") == Missing()
        prices = {price.reclaimable: price for price in await client.prices()}
        assert prices[True].price_per_hour < prices[False].price_per_hour

    async def test_start_lost(self, bench, autojump_clock):
        """The cloud starts an instance, and its response is lost.

        A retry would start and pay for a second instance, so the failure must have
        ``maybe_done``.
        """
        client, platform, _ = bench
        platform.faults.lose_answers = 1
        started = await client.start_instance("chat", "waco-a", "g1", True)
        assert started == PlatformFailed("broken", maybe_done=True)
        assert len(platform.cloud.servers) == 2

    async def test_notices(self, bench, autojump_clock):
        client, platform, _ = bench
        platform.reclaim("waco-a-e1", 5.0)
        deadline_unix_s = trio.current_time() + 5
        with trio.fail_after(1):
            async with client.watch_notices() as notices:
                found = await anext(notices)
        assert found == Notice("waco-a-e1", pytest.approx(deadline_unix_s))
