"""Tests of how gateways tell each other of configurations."""

import trio

from rosemaryknot.process.gateway_documents import Document, difference
from rosemaryknot.process.gateway_state import HEARD_S
from rosemaryknot.standin.users.system import (
    KEY,
    PLAIN,
    document,
    platform_system,
    route,
)
from rosemaryknot.values.gateway_peers import ConfigurationTold

NODES = 30
ROUTES = 400
# Until the watches that all nodes began at their start have ended.
FIRST_WATCHES_S = 8


def with_routes(version):
    """Return a configuration of many routes that names its version in one."""
    routes = [
        route(f"r{n}", f"/{n * 2654435761 % 2**32:08x}/", "idempotent", PLAIN)
        for n in range(ROUTES)
    ]
    routes.append(route("stock", f"/stock{version}/", "idempotent", PLAIN))
    return document(version, routes=routes)


def told_bytes(fleet):
    """Return how many bytes of configurations all nodes have sent."""
    counts = [node.peers.traffic.sent for node in fleet.nodes.values()]
    return sum(
        c["configuration_told"].bytes for c in counts if "configuration_told" in c
    )


def told_node(fleet):
    """Return a node that does not watch the store itself."""
    nodes = fleet.nodes.values()
    return next(n for n in nodes if not n.spread.watches("configuration"))


def lose(told):
    """Take nothing over, as if a message had been lost."""
    return "lost"


def versions(fleet):
    """Return the versions in force at any node."""
    return {node.state.version for node in fleet.nodes.values()}


class TestDifferences:
    async def test_change_costs_as_much_as_it_changes(self, autojump_clock):
        """Guards against large documents that are told whole at each change."""
        async with platform_system(nodes=NODES, configuration=with_routes(1)) as fleet:
            await trio.sleep(4)
            fleet.store.put("config", "main", with_routes(2))
            await trio.sleep(2)
            before = told_bytes(fleet)
            fleet.store.put("config", "main", with_routes(3))
            await trio.sleep(2)
            assert versions(fleet) == {3}
            assert told_bytes(fleet) - before < 300 * NODES

    async def test_node_with_another_version_asks(self, autojump_clock):
        """Guards against a node that is told only what changed since one it lacks."""
        async with platform_system(nodes=NODES, configuration=with_routes(1)) as fleet:
            await trio.sleep(FIRST_WATCHES_S)
            node = told_node(fleet)
            take, node.configurations.take = node.configurations.take, lose
            fleet.store.put("config", "main", with_routes(2))
            await trio.sleep(0.2)
            assert node.state.version == 1
            node.configurations.take = take
            teller = fleet.nodes[node.exchange.hubs.target()]
            told = teller.configurations.message(
                teller.state.document, Document.of(7, 90, with_routes(7))
            )
            await teller.peers.send(node.node.name, told)
            await trio.sleep(0.1)
            assert node.state.version == 2

    async def test_unreadable_ones_are_left_alone(self, autojump_clock):
        """Guards against bytes of a broken node that end the others."""
        async with platform_system(nodes=3) as fleet:
            await trio.sleep(1)
            for packed in (b"", b"nothing", difference(Document.of(9, 9, [1]), None)):
                told = ConfigurationTold(9, 99, 0, packed)
                await fleet.nodes["n0"].peers.broadcast(told)
            await trio.sleep(1)
            assert versions(fleet) == {1}
            assert (await fleet.ask("/stock/x", "n1", method="GET")).status == 200


class TestBehind:
    async def test_unknown_route_or_key_is_no_final_answer(self, autojump_clock):
        """Guards against 404 and 401 for what a newer version is heard to have."""
        async with platform_system() as fleet:
            state = fleet.nodes["n0"].state
            state.note_heard(5)
            for path, key in (("/new/x", KEY), ("/stock/x", "new key")):
                answer = await fleet.ask(
                    path, method="GET", Authorization=f"Bearer {key}"
                )
                assert answer.status == 503
                assert 0 < float(answer.headers["retry-after"]) < 1
            assert (await fleet.ask("/stock/x", method="GET")).status == 200
            await trio.sleep(HEARD_S)
            assert (await fleet.ask("/new/x", method="GET")).status == 404
            state.note_heard(1)
            assert (await fleet.ask("/new/x", method="GET")).status == 404

    async def test_lost_word_is_made_good(self, autojump_clock):
        """Guards against a node that misses a version and hears that others have it.

        The store serves nobody but the hubs meanwhile.
        """
        async with platform_system(nodes=NODES) as fleet:
            await trio.sleep(4)
            node = told_node(fleet)
            hubs = {n.exchange.hubs.target() for n in fleet.nodes.values()}
            others = [
                n.settings.listen.callers.host
                for name, n in fleet.nodes.items()
                if name not in hubs
            ]
            fleet.store.faults.begin("silent", *others)
            take, node.configurations.take = node.configurations.take, lose
            fleet.store.put("config", "main", with_routes(2))
            await trio.sleep(0.5)
            assert node.state.version == 1
            node.configurations.take = take
            await trio.sleep(1.2)
            assert node.state.version == 2

    async def test_hub_without_the_store_asks_another_zone(self, autojump_clock):
        """Guards against an old version in a zone whose hub lost the store."""
        async with platform_system(nodes=NODES) as fleet:
            await trio.sleep(4)
            zone = [n for n in fleet.nodes.values() if n.node.zone == "z1"]
            hosts = [node.settings.listen.callers.host for node in zone]
            fleet.store.faults.begin("silent", *hosts)
            fleet.store.put("config", "main", with_routes(2))
            await trio.sleep(2.0)
            assert {node.state.version for node in zone} == {2}
