"""Tests of what a node knows of its paths to servers, and of the choice of peers."""

import random
from collections import Counter

import pytest
import trio

from rosemaryknot.process.server_paths import CUT_OFF_PAUSE_S, ServerPaths
from rosemaryknot.values.nodes import Address, Node

SERVER, OTHER = Address("10.1.0.1", 8000), Address("10.1.0.2", 8000)
# Nodes and zones of the deployments of today and of two years from now.
SIZES = [(6, 3), (65, 3), (2100, 24)]
MAX_ASKED = 4


def fleet(nodes, zones):
    return [Node(f"n{number}", f"z{number % zones}", 1) for number in range(nodes)]


def ask_until_open(paths, nodes, cut_off):
    """Ask peers as a request does; return the one that opens and the number asked."""
    asked = []
    while len(asked) < MAX_ASKED:
        node = paths.select(nodes, asked)
        if node is None:
            break
        asked.append(node.name)
        if node.name not in cut_off:
            return node, len(asked)
        paths.record_cut_off(node.name)
    return None, len(asked)


class TestPeers:
    """The peers that help the nodes of a zone are many, and reached at once."""

    @pytest.mark.parametrize(("count", "zones"), SIZES)
    async def test_whole_zone_is_cut_off(self, autojump_clock, count, zones):
        nodes = fleet(count, zones)
        cut_off = {node.name for node in nodes if node.zone == "z0"}
        helped = Counter()
        asked = []
        for name in cut_off:
            paths = ServerPaths("z0", random.Random(name))
            peers = [node for node in nodes if node.name != name]
            for _ in range(40):
                helper, number = ask_until_open(paths, peers, cut_off)
                helped[helper.name] += 1
                asked.append(number)
        requests = 40 * len(cut_off)
        assert sum(number > 1 for number in asked) <= 3 * len(cut_off)
        assert max(helped.values()) <= 10 + 3 * requests / (count - len(cut_off))

    @pytest.mark.parametrize(("count", "zones"), SIZES)
    async def test_own_zone_first(self, autojump_clock, count, zones):
        nodes = fleet(count, zones)
        paths = ServerPaths("z0", random.Random(1))
        peers = nodes[1:]
        chosen = {paths.select(peers, ()).zone for _ in range(50)}
        assert chosen == {"z0"}

    @pytest.mark.parametrize(("count", "zones"), SIZES)
    async def test_most_nodes_are_cut_off(self, autojump_clock, count, zones):
        """Each request finds one of few peers left once the others were asked."""
        nodes = fleet(count, zones)
        cut_off = {node.name for node in nodes[: count // 2]}
        paths = ServerPaths("z0", random.Random(2))
        peers = [node for node in nodes if node.name != "n0"]
        failed = sum(
            ask_until_open(paths, peers, cut_off)[0] is None for _ in range(200)
        )
        assert failed <= 200 * 0.5**MAX_ASKED + 5

    async def test_peer_that_is_back(self, autojump_clock):
        nodes = fleet(2, 1)
        paths = ServerPaths("z0", random.Random(1))
        paths.record_cut_off("n1")
        assert paths.select(nodes[1:], ()) is None
        await trio.sleep(CUT_OFF_PAUSE_S)
        assert paths.select(nodes[1:], ()) is nodes[1]


class TestPaths:
    """One lost path casts doubt on the others for a while only."""

    async def test_distrust_ends(self, autojump_clock):
        paths = ServerPaths("z0", random.Random(1))
        paths.record_lost(SERVER, is_silent=True, peer="n1")
        assert paths.may_be_silent(SERVER) and paths.may_be_silent(OTHER)
        await trio.sleep(2.5)
        assert paths.may_be_silent(SERVER) and not paths.may_be_silent(OTHER)
        paths.record_reached(SERVER)
        assert not paths.may_be_silent(SERVER)

    async def test_refused_connections_cast_no_doubt(self, autojump_clock):
        """Open connections may live on while new ones are refused."""
        paths = ServerPaths("z0", random.Random(1))
        paths.record_lost(SERVER, is_silent=False, peer="n1")
        assert not paths.may_be_silent(SERVER)

    async def test_evidence_is_newer_than_the_failure(self, autojump_clock):
        paths = ServerPaths("z0", random.Random(1))
        paths.record_reached(OTHER)
        await trio.sleep(0.1)
        failed_s = trio.current_time()
        assert not paths.reaches(SERVER, failed_s)
        paths.record_reached(SERVER)
        assert not paths.reaches(SERVER, failed_s)
        paths.record_reached(OTHER)
        assert paths.reaches(SERVER, failed_s)
