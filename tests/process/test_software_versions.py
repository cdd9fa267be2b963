"""Tests of what a node knows of the software versions of servers over time."""

import math

import trio

from rosemaryknot.process.gateway_servers import ServerTable
from rosemaryknot.values.gateway import RoutedServer
from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.nodes import Address

EPOCH_S = 1_000_000.0


def table():
    servers = ServerTable()
    servers.versions.unix_time = lambda: EPOCH_S + trio.current_time()
    servers.versions.entries_current_since_s = lambda: 0.0
    return servers


def put(servers, version="v1", born_s=0.0, name="m0"):
    born = None if born_s is None else int((EPOCH_S + born_s) * 1000)
    incarnation = ServerIncarnation(name, born)
    address = Address("10.1.0.1", 8000)
    servers.put(
        RoutedServer(incarnation, "writer", "z0", address, software_version=version)
    )
    return servers.by_id[name]


class TestCurrent:
    async def test_process_was_lost(self, autojump_clock):
        """A server that refused a connection may be back with another version."""
        servers = table()
        state = put(servers)
        await trio.sleep(10)
        assert servers.versions.is_current(state)
        state.process_lost_s = trio.current_time()
        assert not servers.versions.is_current(state)
        await trio.sleep(1)
        assert servers.versions.is_current(put(servers, "v2", born_s=11.0))

    async def test_old_entry_is_listed_again(self, autojump_clock):
        """Guards against an entry from before the restart that counts as a new one."""
        servers = table()
        state = put(servers)
        await trio.sleep(10)
        state.process_lost_s = trio.current_time()
        await trio.sleep(1)
        assert put(servers) is state
        assert not servers.versions.is_current(state)

    async def test_store_was_away_as_it_started(self, autojump_clock):
        """Guards against an entry that the server could not write yet."""
        servers = table()
        state = put(servers)
        await trio.sleep(10)
        state.process_lost_s = trio.current_time()
        await trio.sleep(1.8)
        state.record_answered(trio.current_time())
        servers.versions.entries_current_since_s = lambda: 12.2
        servers.versions.entries_known_at_s = trio.current_time
        await trio.sleep(2.0)
        assert not servers.versions.is_current(state)
        await trio.sleep(0.5)
        assert servers.versions.is_current(state)

    async def test_server_has_not_responded_since(self, autojump_clock):
        """Guards against a server that is down for longer than its entry takes."""
        servers = table()
        state = put(servers)
        await trio.sleep(10)
        state.process_lost_s = trio.current_time()
        await trio.sleep(30)
        assert not servers.versions.is_current(state)

    async def test_no_entry_follows(self, autojump_clock):
        """The store has to have answered after the time for the entry."""
        servers = table()
        state = put(servers)
        await trio.sleep(10)
        state.process_lost_s = trio.current_time()
        await trio.sleep(0.1)
        state.record_answered(trio.current_time())
        servers.versions.entries_known_at_s = lambda: 11.0
        await trio.sleep(5)
        assert not servers.versions.is_current(state)
        servers.versions.entries_known_at_s = lambda: 12.5
        assert servers.versions.is_current(state)

    async def test_older_connection_delivers(self, autojump_clock):
        """A process that refuses new connections has not ended."""
        servers = table()
        state = put(servers)
        await trio.sleep(10)
        state.process_lost_s = trio.current_time()
        await trio.sleep(1.5)
        state.record_received(sent_s=9.0, was_confirmed=False)
        assert servers.versions.is_current(state)

    async def test_last_bytes_of_a_process_are_read_late(self, autojump_clock):
        """Guards against bytes from before its end that show that it goes on."""
        servers = table()
        state = put(servers)
        await trio.sleep(10)
        state.process_lost_s = trio.current_time()
        await trio.sleep(0.2)
        state.record_received(sent_s=9.0, was_confirmed=False)
        assert not servers.versions.is_current(state)

    async def test_entries_are_not_current(self, autojump_clock):
        servers = table()
        state = put(servers)
        await trio.sleep(10)
        servers.versions.entries_current_since_s = lambda: math.inf
        assert not servers.versions.is_current(state)
        state.record_received(sent_s=9.0, was_confirmed=True)
        assert servers.versions.is_current(state)
        await trio.sleep(1)
        assert not servers.versions.is_current(state)

    async def test_version_is_not_known(self, autojump_clock):
        servers = table()
        assert not servers.versions.is_current(put(servers, version=""))


class TestUncertain:
    async def test_next_incarnation_has_another_version(self, autojump_clock):
        """Streams from shortly before the start on may have begun at the new one."""
        servers = table()
        key = put(servers).incarnation_key
        await trio.sleep(20)
        put(servers, "v2", born_s=18.0)
        is_uncertain = servers.versions.is_uncertain
        assert not is_uncertain(key, 17.0)
        assert is_uncertain(key, 18.0)
        assert is_uncertain(key, 19.0)

    async def test_next_incarnation_has_the_same_version(self, autojump_clock):
        servers = table()
        key = put(servers).incarnation_key
        await trio.sleep(20)
        put(servers, "v1", born_s=18.0)
        assert not servers.versions.is_uncertain(key, 19.0)

    async def test_server_without_birth_time(self, autojump_clock):
        """Its entry does not tell when it started again."""
        servers = table()
        key = put(servers, born_s=None).incarnation_key
        await trio.sleep(20)
        put(servers, "v2", born_s=None)
        assert servers.versions.is_uncertain(key, 1.0)


class TestOnlyVersion:
    def only(self, servers, period_s=30.0):
        states = servers.of_service("writer")
        return servers.versions.only_version("writer", states, period_s)

    async def test_node_has_just_started(self, autojump_clock):
        servers = table()
        put(servers)
        assert self.only(servers) is None
        await trio.sleep(31)
        assert self.only(servers) == "v1"

    async def test_watch_was_interrupted(self, autojump_clock):
        servers = table()
        put(servers)
        await trio.sleep(100)
        servers.versions.entries_current_since_s = lambda: 90.0
        assert self.only(servers) is None

    async def test_other_version_served_lately(self, autojump_clock):
        servers = table()
        put(servers)
        await trio.sleep(100)
        state = put(servers, "v2", born_s=100.0, name="m1")
        assert self.only(servers) is None
        servers.drop(state)
        await trio.sleep(10)
        assert self.only(servers) is None
        await trio.sleep(30)
        assert self.only(servers) == "v1"
