"""Tests of thirty gateways with links of 5 Mbit/s under large configurations."""

from functools import partial

import trio

from rosemaryknot.process.node_settings import Bounds
from rosemaryknot.standin.users.changes import filler_routes
from rosemaryknot.standin.users.system import PLAIN, document, platform_system, route

NODES = 30
LINK_BYTES_PER_S = 5e6 / 8
ROUTES = 1600
CHANGES = 8
CHANGE_PAUSE_S = 0.5
# What the users' bounds allow from the store's confirmation on.
IN_FORCE_S = 3.0
DRAIN_S = 3.0
LOOK_S = 0.05


def large_document(version, routes=ROUTES):
    """Return a configuration of many routes, with one more in each version."""
    routes = filler_routes(routes + version)
    routes.append(route("stock", "/stock/", "idempotent", PLAIN))
    return document(version, routes=routes)


async def limit_links(fleet):
    """Wait until the nodes have met, then limit their links."""
    await trio.sleep(4)
    fleet.limit_links(LINK_BYTES_PER_S)


async def change_in_series(fleet, written, changes=CHANGES, routes=ROUTES):
    """Write a large configuration, then changes of it; note when each was written."""
    for version in range(2, changes + 2):
        fleet.store.put("config", "main", large_document(version, routes))
        written[version] = trio.current_time()
        await trio.sleep(CHANGE_PAUSE_S)


def is_late(node, written):
    """Tell whether a node goes by a version that should have been replaced."""
    now_s = trio.current_time()
    due = [v for v, at_s in written.items() if now_s - at_s > IN_FORCE_S]
    return node.state.version < max(due, default=0)


async def leave_in_series(fleet, left):
    """Let all plain servers but one leave, one after the other; note when."""
    servers = [s for s in fleet.servers.values() if not s.is_model]
    for server in servers[:-1]:
        entry = server.entry | {"state": "draining"}
        fleet.store.put("servers", server.id, entry)
        left[server.id] = trio.current_time()
        await trio.sleep(CHANGE_PAUSE_S)


async def ask_often(fleet, name):
    """Send requests to a node without waiting for their answers."""
    number = 0
    async with trio.open_nursery() as nursery:
        while True:
            number += 1
            ask = partial(fleet.ask, method="GET", request_id=f"{name}-{number}")
            nursery.start_soon(ask, "/stock/x", name)
            await trio.sleep(LOOK_S)


class TestLargeConfigurations:
    async def test_series_is_in_force_in_time(self, autojump_clock):
        """Guards against versions in series that outrun the link of a hub."""
        async with platform_system(nodes=NODES) as fleet:
            await limit_links(fleet)
            written = {}
            late = set()
            fleet.nursery.start_soon(change_in_series, fleet, written)
            end_s = trio.current_time() + CHANGES * CHANGE_PAUSE_S + IN_FORCE_S + 1
            while trio.current_time() < end_s:
                await trio.sleep(LOOK_S)
                late |= {n for n, node in fleet.nodes.items() if is_late(node, written)}
            assert not late

    async def test_store_is_read_slower_than_written(self, autojump_clock):
        """Guards against a watch whose answers hold ever more replaced versions."""
        changes, routes = 14, 2400
        async with platform_system(nodes=3) as fleet:
            await limit_links(fleet)
            written = {}
            late = set()
            fleet.nursery.start_soon(change_in_series, fleet, written, changes, routes)
            end_s = trio.current_time() + changes * CHANGE_PAUSE_S + IN_FORCE_S + 1
            while trio.current_time() < end_s:
                await trio.sleep(LOOK_S)
                late |= {n for n, node in fleet.nodes.items() if is_late(node, written)}
            assert not late

    async def test_store_is_silent_in_a_series(self, autojump_clock):
        """Guards against a watch that asks for more versions than its bound allows."""
        async with platform_system(nodes=1) as fleet:
            await limit_links(fleet)
            fleet.nursery.start_soon(change_in_series, fleet, {}, 2 * CHANGES)
            await trio.sleep(CHANGES * CHANGE_PAUSE_S)
            fleet.store.faults.begin("silent")
            await trio.sleep(1.0)
            fleet.store.faults.end()
            await trio.sleep(CHANGES * CHANGE_PAUSE_S + IN_FORCE_S)
            assert fleet.nodes["n0"].state.version == 2 * CHANGES + 1

    async def test_leaving_servers_get_no_late_requests(self, autojump_clock):
        """Guards against requests that wait behind documents in a node's own link."""
        bounds = Bounds(drain_ms=1000 * DRAIN_S)
        async with platform_system(nodes=NODES, plain=9, bounds=bounds) as fleet:
            await limit_links(fleet)
            left = {}
            hubs = {node.exchange.hubs.target() for node in fleet.nodes.values()}
            for name in hubs:
                fleet.nursery.start_soon(ask_often, fleet, name)
            fleet.nursery.start_soon(change_in_series, fleet, {})
            await leave_in_series(fleet, left)
            await trio.sleep(DRAIN_S + 2)
            late = [
                (server_id, arrival.at_s - left_s)
                for server_id, left_s in left.items()
                for arrival in fleet.servers[server_id].arrivals
                if arrival.at_s - left_s > DRAIN_S
            ]
            assert not late

    async def test_requests_pass_while_a_node_tells_the_others(self, autojump_clock):
        """Guards against callers who wait while their node passes documents on."""
        async with platform_system(nodes=NODES) as fleet:
            await limit_links(fleet)
            telling = fleet.nodes["n0"].exchange.hubs.target()
            fleet.nursery.start_soon(change_in_series, fleet, {})
            slowest_s = 0.0
            for _ in range(4 * CHANGES):
                answer = await fleet.ask("/stock/x", telling, method="GET")
                assert answer.status == 200
                slowest_s = max(slowest_s, answer.took_s)
                await trio.sleep(CHANGE_PAUSE_S / 4)
            assert slowest_s < 1.0
