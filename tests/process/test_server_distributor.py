"""Tests of the distribution of server state among agents."""

import random

import trio

from rosemaryknot.connection.links import Handlers
from rosemaryknot.process.server_distributor import ServerDistributor
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.values.control import ServersFetch, ServersUnchanged
from rosemaryknot.values.nodes import BackendServer


class FakePeers:
    """The attributes of `PeerSet` that a comparison needs."""

    def __init__(self):
        self.on_entry_link = []


class FakeLink:
    """A link that accepts marks and discards them."""

    async def send(self, value):
        return True


def server(name):
    return BackendServer(name, "chat", "waco-a", "g1", True, "10.0.1.1:80")


def new_distributor():
    rng = random.Random(1)
    return ServerDistributor(
        ServerTable(absence_timeout_s=6), FakePeers(), Handlers(), rng
    )


async def compare(client, peer):
    """Compare the table of one node with another's."""
    fetch = ServersFetch(client.digest())
    response = await peer.handle_fetch(fetch, FakeLink())
    if isinstance(response, ServersUnchanged):
        client.apply_same(response)
    else:
        client.apply_push(response, "peer")


class TestServerDistributor:
    async def test_removed_server(self, autojump_clock):
        """A server is missing from the list that one of two nodes reads.

        Until that node drops it, both know the same servers. If the other node took
        this as a current list, it would report the server back to the first, and so on
        indefinitely: requests would still be sent to a machine that no longer exists.
        """
        watcher, other = new_distributor(), new_distributor()
        watcher.table.apply_list([server("e1"), server("e2")])
        await compare(other, watcher)
        for _ in range(60):
            await trio.sleep(1)
            watcher.table.apply_list([server("e2")])
            await compare(other, watcher)
            await compare(watcher, other)
        for node in (watcher, other):
            assert list(node.table.servers) == ["e2"]
