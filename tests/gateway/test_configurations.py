"""Tests of the distribution of configurations between gateways."""

import trio

from rosemaryknot.process.gateway_documents import Document, difference
from rosemaryknot.process.gateway_state import PEER_VERSION_TTL_S
from rosemaryknot.standin.users.system import (
    KEY,
    PLAIN,
    document,
    platform_system,
    route,
)
from rosemaryknot.values.gateway_peers import ConfigurationReply

NODES = 30
ROUTES = 400
# Time until the watches that all nodes opened at their start have ended.
FIRST_WATCHES_S = 8


def with_routes(version):
    """Return a configuration of many routes, one of which contains its version."""
    routes = [
        route(f"r{n}", f"/{n * 2654435761 % 2**32:08x}/", "idempotent", PLAIN)
        for n in range(ROUTES)
    ]
    routes.append(route("stock", f"/stock{version}/", "idempotent", PLAIN))
    return document(version, routes=routes)


def configuration_bytes_sent(fleet):
    """Return the number of bytes of configurations that all nodes have sent."""
    counts = [node.peers.traffic.sent for node in fleet.nodes.values()]
    return sum(
        c["configuration_told"].bytes for c in counts if "configuration_told" in c
    )


def non_watching_node(fleet):
    """Return a node that does not watch the store itself."""
    nodes = fleet.nodes.values()
    return next(
        n for n in nodes if not n.change_distributor.should_watch("configuration")
    )


def ignore_message(message):
    """Apply nothing, as if a message had been lost."""
    return "lost"


def versions(fleet):
    """Return the current versions of all nodes."""
    return {node.state.version for node in fleet.nodes.values()}


class TestDifferences:
    async def test_change_is_sent_as_a_difference(self, autojump_clock):
        """Guards against large documents that are sent whole for each change."""
        async with platform_system(nodes=NODES, configuration=with_routes(1)) as fleet:
            await trio.sleep(4)
            fleet.store.put("config", "main", with_routes(2))
            await trio.sleep(2)
            before = configuration_bytes_sent(fleet)
            fleet.store.put("config", "main", with_routes(3))
            await trio.sleep(2)
            assert versions(fleet) == {3}
            assert configuration_bytes_sent(fleet) - before < 300 * NODES

    async def test_node_with_another_base_requests_the_document(self, autojump_clock):
        """Guards against a node stuck behind a difference from a version it lacks."""
        async with platform_system(nodes=NODES, configuration=with_routes(1)) as fleet:
            await trio.sleep(FIRST_WATCHES_S)
            node = non_watching_node(fleet)
            apply, node.configurations.apply = node.configurations.apply, ignore_message
            fleet.store.put("config", "main", with_routes(2))
            await trio.sleep(0.2)
            assert node.state.version == 1
            node.configurations.apply = apply
            sender = fleet.nodes[node.exchange.hubs.target()]
            message = sender.configurations.message(
                sender.state.document, Document.of(7, 90, with_routes(7))
            )
            await sender.peers.send(node.node.name, message)
            await trio.sleep(0.1)
            assert node.state.version == 2

    async def test_invalid_documents_are_ignored(self, autojump_clock):
        """Guards against invalid bytes from a faulty node that stop other nodes."""
        async with platform_system(nodes=3) as fleet:
            await trio.sleep(1)
            for packed in (b"", b"nothing", difference(Document.of(9, 9, [1]), None)):
                message = ConfigurationReply(9, 99, 0, packed)
                await fleet.nodes["n0"].peers.broadcast(message)
            await trio.sleep(1)
            assert versions(fleet) == {1}
            assert (await fleet.ask("/stock/x", "n1", method="GET")).status == 200


class TestBehind:
    async def test_unknown_route_or_key_is_no_final_answer(self, autojump_clock):
        """Guards against 404 and 401 while a peer reports a newer version."""
        async with platform_system() as fleet:
            state = fleet.nodes["n0"].state
            state.record_peer_version(5)
            for path, key in (("/new/x", KEY), ("/stock/x", "new key")):
                response = await fleet.ask(
                    path, method="GET", Authorization=f"Bearer {key}"
                )
                assert response.status == 503
                assert 0 < float(response.headers["retry-after"]) < 1
            assert (await fleet.ask("/stock/x", method="GET")).status == 200
            await trio.sleep(PEER_VERSION_TTL_S)
            assert (await fleet.ask("/new/x", method="GET")).status == 404
            state.record_peer_version(1)
            assert (await fleet.ask("/new/x", method="GET")).status == 404

    async def test_lost_message_is_recovered(self, autojump_clock):
        """Guards against a node that misses a version that others report.

        Meanwhile the store serves only the hubs.
        """
        async with platform_system(nodes=NODES) as fleet:
            await trio.sleep(4)
            node = non_watching_node(fleet)
            hubs = {n.exchange.hubs.target() for n in fleet.nodes.values()}
            others = [
                n.settings.listen.callers.host
                for name, n in fleet.nodes.items()
                if name not in hubs
            ]
            fleet.store.faults.begin("silent", *others)
            apply, node.configurations.apply = node.configurations.apply, ignore_message
            fleet.store.put("config", "main", with_routes(2))
            await trio.sleep(0.5)
            assert node.state.version == 1
            node.configurations.apply = apply
            await trio.sleep(1.2)
            assert node.state.version == 2

    async def test_hub_without_the_store_asks_another_zone(self, autojump_clock):
        """Guards against an old version in a zone whose hub cannot reach the store."""
        async with platform_system(nodes=NODES) as fleet:
            await trio.sleep(4)
            zone = [n for n in fleet.nodes.values() if n.node.zone == "z1"]
            hosts = [node.settings.listen.callers.host for node in zone]
            fleet.store.faults.begin("silent", *hosts)
            fleet.store.put("config", "main", with_routes(2))
            await trio.sleep(2.0)
            assert {node.state.version for node in zone} == {2}
