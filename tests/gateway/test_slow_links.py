"""Tests of thirty gateways with links of 5 Mbit/s under large configurations."""

from functools import partial

import trio

from rosemaryknot.process.node_settings import Bounds
from rosemaryknot.standin.users.configuration_changes import filler_routes
from rosemaryknot.standin.users.system import PLAIN, document, platform_system, route

NODES = 30
LINK_BYTES_PER_S = 5e6 / 8
ROUTES = 1600
CHANGES = 8
CHANGE_INTERVAL_S = 0.5
# Maximum delay after the store's confirmation, according to the users' requirements.
ACTIVATION_TIMEOUT_S = 3.0
DRAIN_S = 3.0
POLL_INTERVAL_S = 0.05


def large_document(version, routes=ROUTES):
    """Return a configuration of many routes, with one more in each version."""
    routes = filler_routes(routes + version)
    routes.append(route("stock", "/stock/", "idempotent", PLAIN))
    return document(version, routes=routes)


async def limit_links(fleet):
    """Wait until the nodes have established their links, then limit them."""
    await trio.sleep(4)
    fleet.limit_links(LINK_BYTES_PER_S)


async def change_in_series(fleet, written, changes=CHANGES, routes=ROUTES):
    """Write a series of large configurations and record when each was written."""
    for version in range(2, changes + 2):
        fleet.store.put("config", "main", large_document(version, routes))
        written[version] = trio.current_time()
        await trio.sleep(CHANGE_INTERVAL_S)


def is_late(node, written):
    """Return whether a node uses a version that should have been replaced."""
    now_s = trio.current_time()
    due = [
        v
        for v, timestamp_s in written.items()
        if now_s - timestamp_s > ACTIVATION_TIMEOUT_S
    ]
    return node.state.version < max(due, default=0)


async def drain_in_series(fleet, drained_s):
    """Drain all plain servers but one, one after the other; record when."""
    servers = [s for s in fleet.servers.values() if not s.is_model]
    for server in servers[:-1]:
        entry = server.entry | {"state": "draining"}
        fleet.store.put("servers", server.id, entry)
        drained_s[server.id] = trio.current_time()
        await trio.sleep(CHANGE_INTERVAL_S)


async def send_requests_continuously(fleet, name):
    """Send requests to a node without waiting for their responses."""
    number = 0
    async with trio.open_nursery() as nursery:
        while True:
            number += 1
            send = partial(fleet.ask, method="GET", request_id=f"{name}-{number}")
            nursery.start_soon(send, "/stock/x", name)
            await trio.sleep(POLL_INTERVAL_S)


class TestLargeConfigurations:
    async def test_series_is_applied_in_time(self, autojump_clock):
        """Guards against versions that arrive faster than a hub's link can send."""
        async with platform_system(nodes=NODES) as fleet:
            await limit_links(fleet)
            written = {}
            late = set()
            fleet.nursery.start_soon(change_in_series, fleet, written)
            end_s = (
                trio.current_time()
                + CHANGES * CHANGE_INTERVAL_S
                + ACTIVATION_TIMEOUT_S
                + 1
            )
            while trio.current_time() < end_s:
                await trio.sleep(POLL_INTERVAL_S)
                late |= {n for n, node in fleet.nodes.items() if is_late(node, written)}
            assert not late

    async def test_store_is_read_slower_than_written(self, autojump_clock):
        """Guards against a watch whose responses contain ever more old versions."""
        changes, routes = 14, 2400
        async with platform_system(nodes=3) as fleet:
            await limit_links(fleet)
            written = {}
            late = set()
            fleet.nursery.start_soon(change_in_series, fleet, written, changes, routes)
            end_s = (
                trio.current_time()
                + changes * CHANGE_INTERVAL_S
                + ACTIVATION_TIMEOUT_S
                + 1
            )
            while trio.current_time() < end_s:
                await trio.sleep(POLL_INTERVAL_S)
                late |= {n for n, node in fleet.nodes.items() if is_late(node, written)}
            assert not late

    async def test_store_is_silent_in_a_series(self, autojump_clock):
        """Guards against a watch that requests more versions than its size limit."""
        async with platform_system(nodes=1) as fleet:
            await limit_links(fleet)
            fleet.nursery.start_soon(change_in_series, fleet, {}, 2 * CHANGES)
            await trio.sleep(CHANGES * CHANGE_INTERVAL_S)
            fleet.store.faults.begin("silent")
            await trio.sleep(1.0)
            fleet.store.faults.end()
            await trio.sleep(CHANGES * CHANGE_INTERVAL_S + ACTIVATION_TIMEOUT_S)
            assert fleet.nodes["n0"].state.version == 2 * CHANGES + 1

    async def test_draining_servers_get_no_late_requests(self, autojump_clock):
        """Guards against requests queued behind documents in a node's own link."""
        bounds = Bounds(drain_ms=1000 * DRAIN_S)
        async with platform_system(nodes=NODES, plain=9, bounds=bounds) as fleet:
            await limit_links(fleet)
            drained_s = {}
            hubs = {node.exchange.hubs.target() for node in fleet.nodes.values()}
            for name in hubs:
                fleet.nursery.start_soon(send_requests_continuously, fleet, name)
            fleet.nursery.start_soon(change_in_series, fleet, {})
            await drain_in_series(fleet, drained_s)
            await trio.sleep(DRAIN_S + 2)
            late = [
                (server_id, arrival.timestamp_s - drain_s)
                for server_id, drain_s in drained_s.items()
                for arrival in fleet.servers[server_id].arrivals
                if arrival.timestamp_s - drain_s > DRAIN_S
            ]
            assert not late

    async def test_requests_pass_while_a_node_sends_documents(self, autojump_clock):
        """Guards against callers that wait while their node sends documents."""
        async with platform_system(nodes=NODES) as fleet:
            await limit_links(fleet)
            sender = fleet.nodes["n0"].exchange.hubs.target()
            fleet.nursery.start_soon(change_in_series, fleet, {})
            slowest_s = 0.0
            for _ in range(4 * CHANGES):
                response = await fleet.ask("/stock/x", sender, method="GET")
                assert response.status == 200
                slowest_s = max(slowest_s, response.took_s)
                await trio.sleep(CHANGE_INTERVAL_S / 4)
            assert slowest_s < 1.0
