"""Tests of what agents tell each other of the backend servers."""

import random

import trio

from rosemaryknot.connection.links import Handlers
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.process.servers_spread import ServersSpread
from rosemaryknot.values.control import ServersFetch, ServersSame
from rosemaryknot.values.nodes import BackendServer


class FakePeers:
    """The part of `PeerSet` that a comparison needs."""

    def __init__(self):
        self.on_entry_link = []


class FakeLink:
    """A link that takes marks and drops them."""

    async def send(self, value):
        return True


def server(name):
    return BackendServer(name, "chat", "waco-a", "g1", True, "10.0.1.1:80")


def new_spread():
    rng = random.Random(1)
    return ServersSpread(ServerTable(absence_timeout_s=6), FakePeers(), Handlers(), rng)


async def compare(asking, asked):
    """Let one node compare its table with another's."""
    fetch = ServersFetch(asking.digest())
    answer = await asked.handle_fetch(fetch, FakeLink())
    if isinstance(answer, ServersSame):
        asking.note_same(answer)
    else:
        asking.take(answer, "peer")


class TestServersSpread:
    async def test_gone_server(self, autojump_clock):
        """A server is gone from the list that one of two nodes reads.

        Until that node drops it, both know the same servers. Were that taken for a
        fresh list, the other node would name the server to the first again, and so
        on for ever: callers' requests would go on to a machine that is gone.
        """
        watcher, other = new_spread(), new_spread()
        watcher.table.apply_list([server("e1"), server("e2")])
        await compare(other, watcher)
        for _ in range(60):
            await trio.sleep(1)
            watcher.table.apply_list([server("e2")])
            await compare(other, watcher)
            await compare(watcher, other)
        for node in (watcher, other):
            assert list(node.table.servers) == ["e2"]
