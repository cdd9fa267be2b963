"""Tests of relays with small processors while an event keeps all nodes busy."""

import trio

from rosemaryknot.process.peer_links import select_relays
from rosemaryknot.standin.users.fleet_events import FLEET_EVENTS, FleetLoad
from rosemaryknot.standin.users.system import PLAIN, document, platform_system, route

NODES = 30
SERVERS = 16
REQUESTS_PER_S = 1.0
SETTLE_S = 4.0
# Share of a core of the smallest machines that the users run nodes on.
SHARE = 0.12
BOUND_S = 3.0
PROBE_S = 1.0


def relays_of(fleet):
    """Return the relays of all zones."""
    zones = {}
    for node in fleet.nodes.values():
        zones.setdefault(node.node.zone, []).append(node.node)
    return [relay for nodes in zones.values() for relay in select_relays(nodes, 3)]


async def readiness_s(fleet, name):
    """Return how long a node takes to respond to a readiness probe, in seconds."""
    address = fleet.nodes[name].settings.listen.readiness
    started_s = trio.current_time()
    stream = await fleet.network.with_host("10.9.0.9").dial(address)
    path = fleet.nodes[name].adapter.readiness_path
    await stream.send_all(f"GET {path} HTTP/1.1\r\nHost: n\r\n\r\n".encode())
    await stream.receive_some(100)
    await trio.aclose_forcefully(stream)
    return trio.current_time() - started_s


class TestCrashes:
    async def test_changes_are_in_force_in_time(self, autojump_clock):
        """Guards against changes that wait behind the notices of a crash."""
        async with (
            platform_system(nodes=NODES, models=SERVERS) as fleet,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(FleetLoad(fleet, REQUESTS_PER_S).run)
            await trio.sleep(SETTLE_S)
            relays = relays_of(fleet)
            for name in relays:
                fleet.limit_processor(name, SHARE)
            await FLEET_EVENTS["crash"](fleet)
            await trio.sleep(0.5)
            routes = [route("stock", "/stock2/", "idempotent", PLAIN)]
            fleet.store.put("config", "main", document(2, routes=routes))
            probes = [await readiness_s(fleet, name) for name in relays]
            await trio.sleep(BOUND_S - sum(probes))
            old = [n for n, node in fleet.nodes.items() if node.state.version < 2]
            nursery.cancel_scope.cancel()
        assert not old
        assert max(probes) < PROBE_S
