"""Tests of nodes that handle late what they receive, and of those that rely on them."""

from operator import itemgetter

import pytest
import trio

from rosemaryknot.process.peer_links import select_relays
from rosemaryknot.standin.users.late_nodes import delay_node
from rosemaryknot.standin.users.system import PLAIN, document, platform_system, route

NODES = 26
SERVERS = 8
SETTLE_S = 4.0
SERIES_S = 7.0
WAIT_S = 5.0
POLL_INTERVAL_S = 0.05
# Longest time from the store's confirmation until a node acts by it, as the users
# require.
BOUND_S = 3.0
RELAYS = 3
LONG_LAG_S = 2.5


class Changes:
    """Configurations each second, drains each two, and when nodes act by them.

    Attributes
    ----------
    written_s : dict
        By version or server: when the store confirmed it, in trio time.
    known_s : dict
        By node, and version or server: when the node acted by it.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.written_s = {}
        self.known_s = {}

    async def run(self):
        """Write the changes in a series, and record when nodes act by them."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.observe)
            await self.write()
            await trio.sleep(WAIT_S)
            nursery.cancel_scope.cancel()

    async def write(self):
        drained = [s for s in self.fleet.servers.values() if not s.is_model][:-1]
        for number in range(int(SERIES_S)):
            version = number + 2
            routes = [route("stock", f"/stock{version}/", "idempotent", PLAIN)]
            self.fleet.store.put("config", "main", document(version, routes=routes))
            self.written_s[version] = trio.current_time()
            if number % 2 == 0:
                server = drained[number // 2]
                entry = server.entry | {"state": "draining"}
                self.fleet.store.put("servers", server.id, entry)
                self.written_s[server.id] = trio.current_time()
            await trio.sleep(1.0)

    async def observe(self):
        while True:
            now_s = trio.current_time()
            for name, node in self.fleet.nodes.items():
                for change in self.written_s:
                    if (name, change) not in self.known_s and is_known(node, change):
                        self.known_s[name, change] = now_s
            await trio.sleep(POLL_INTERVAL_S)

    def longest_s(self, names):
        """Return the longest time of some nodes, with node and change."""
        times = [
            (self.known_s.get((name, change), float("inf")) - written_s, name, change)
            for name in names
            for change, written_s in self.written_s.items()
        ]
        return max(times, key=itemgetter(0))


def is_known(node, change):
    """Return whether a node acts by a version, or knows that a server drains."""
    if isinstance(change, int):
        return node.state.version >= change
    return node.state.servers.by_id[change].has_announced_drain


def relays_of(fleet, zone):
    """Return the relays of a zone, the hub first."""
    nodes = [n.node for n in fleet.nodes.values() if n.node.zone == zone]
    return select_relays(nodes, RELAYS)


LATE = {
    "hubs": lambda fleet: [relays_of(fleet, zone)[0] for zone in ("z0", "z1", "z2")],
    "hub": lambda fleet: relays_of(fleet, "z1")[:1],
    "zone": lambda fleet: relays_of(fleet, "z1"),
    "relays": lambda fleet: [
        name for zone in ("z0", "z1", "z2") for name in relays_of(fleet, zone)
    ],
}


async def run_series(late, lag_s):
    """Return the late nodes and the changes of a series that they took part in."""
    async with platform_system(nodes=NODES, plain=SERVERS, models=0) as fleet:
        names = LATE[late](fleet)
        await trio.sleep(SETTLE_S)
        for name in names:
            delay_node(fleet.nodes[name], lambda: lag_s)
        changes = Changes(fleet)
        await changes.run()
    return names, changes


class TestLateRelays:
    @pytest.mark.parametrize(
        ("late", "lag_s"),
        [("hub", 1.2), ("hubs", 1.6), ("zone", 1.6), ("relays", 1.6), ("relays", 2.5)],
    )
    async def test_others_act_in_time(self, autojump_clock, late, lag_s):
        """Guards against nodes that rely on a relay which is late but not silent."""
        names, changes = await run_series(late, lag_s)
        others = changes.fleet.nodes.keys() - set(names)
        longest_s, node, change = changes.longest_s(others)
        assert longest_s < BOUND_S, (node, change)


class TestLateNode:
    async def test_it_learns_of_changes(self, autojump_clock):
        """Guards against a node that gives up each call before its late response."""
        names, changes = await run_series("relays", LONG_LAG_S)
        longest_s, node, change = changes.longest_s(names)
        assert longest_s < BOUND_S + LONG_LAG_S, (node, change)
