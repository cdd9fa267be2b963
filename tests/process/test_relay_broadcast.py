"""Tests of notices that reach all nodes along a tree of links."""

from dataclasses import dataclass, field

import pytest
import trio

from rosemaryknot.connection.link_messages import CallFailed
from rosemaryknot.process.peer_links import LinkPlan
from rosemaryknot.process.relay_broadcast import (
    MAX_PENDING_ITEMS,
    PlanRelays,
    Reach,
    RelayBroadcast,
)
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.notices import NoticeReceived
from rosemaryknot.values.server_availability import ServerDrainNotice

ZONES = ("z0", "z1", "z2")
NODES = [Node(f"n{number}", ZONES[number % 3], 1) for number in range(30)]


class FakeLink:
    """Link to a node that confirms notices, unless it is silent."""

    def __init__(self, node):
        self.hello = node
        self.is_silent = False
        self.notices = []

    async def call(self, notice, timeout_s):
        if self.is_silent:
            await trio.sleep(timeout_s)
            return CallFailed("timeout", maybe_handled=True)
        await trio.sleep(0.01)
        self.notices.append(notice)
        return NoticeReceived()


@dataclass
class FakePeers:
    """The other nodes, as one of them sees them.

    Attributes
    ----------
    to_zone : list
        Notices to the nodes of the zone, each with the names of the nodes.
    """

    node: Node
    entries: list = field(default_factory=list)
    to_zone: list = field(default_factory=list)
    plan: LinkPlan = field(default_factory=LinkPlan)

    def __post_init__(self):
        self.links = {n.name: FakeLink(n) for n in self.nodes()}

    def nodes(self):
        return [node for node in NODES if node != self.node]

    def linked(self):
        return self.nodes()

    def best_link(self, name):
        return self.links.get(name)

    def set_silent(self, names, is_silent=True):
        """Let nodes confirm no notices, or confirm them again."""
        for name in names:
            self.links[name].is_silent = is_silent

    async def send_all(self, names, notice):
        self.to_zone.append((sorted(names), notice))


def drains(items):
    return [ServerDrainNotice(sorted(items))]


def sender(is_relay):
    """Return the broadcast of a node, its peers, and the relays of its zone."""
    relays = PlanRelays(FakePeers(NODES[0])).relays("z0")
    is_wanted = [n for n in NODES if (n.name in relays) == is_relay and n.zone == "z0"]
    peers = FakePeers(is_wanted[0])
    return RelayBroadcast(peers, PlanRelays(peers), drains), peers, relays


@pytest.fixture
async def run(nursery, autojump_clock):
    """Return a function that runs a broadcast."""

    async def start(broadcast):
        nursery.start_soon(broadcast.run)
        await trio.testing.wait_all_tasks_blocked()

    return start


def received(peers):
    """Return the notices that single nodes have received, by name."""
    return {name: link.notices for name, link in peers.links.items() if link.notices}


class TestLeaf:
    async def test_one_relay_of_its_zone_gets_all_items(self, autojump_clock, run):
        """Guards against a message for each node and event."""
        broadcast, peers, relays = sender(is_relay=False)
        await run(broadcast)
        for number in range(50):
            broadcast.add(f"s{number}", f"s{number}")
        await trio.sleep(1)
        (name,) = received(peers)
        assert name in relays[1:] and not peers.to_zone
        assert sum(len(n.servers) for n in peers.links[name].notices) == 50

    async def test_relay_that_is_silent(self, autojump_clock, run):
        """Guards against notices that end at a relay which is suspended."""
        broadcast, peers, relays = sender(is_relay=False)
        peers.set_silent(relays[1:])
        await run(broadcast)
        broadcast.add("s1", "s1")
        await trio.sleep(1)
        assert list(received(peers)) == relays[:1]
        broadcast.add("s2", "s2")
        await trio.sleep(0.1)
        assert len(peers.links[relays[0]].notices) == 2

    async def test_all_relays_are_silent_for_a_while(self, autojump_clock, run):
        """Guards against notices that are lost while no relay confirms them."""
        broadcast, peers, relays = sender(is_relay=False)
        peers.set_silent(relays)
        await run(broadcast)
        broadcast.add("s1", "s1")
        await trio.sleep(1.5)
        peers.set_silent(relays, is_silent=False)
        await trio.sleep(1.5)
        assert [n.servers for ns in received(peers).values() for n in ns] == [["s1"]]

    async def test_notices_are_given_up_in_the_end(self, autojump_clock, run):
        """Guards against notices that wait without end for relays that are gone."""
        broadcast, peers, relays = sender(is_relay=False)
        peers.set_silent(relays)
        await run(broadcast)
        broadcast.add("s1", "s1")
        await trio.sleep(10)
        assert not broadcast.queues


class TestRelay:
    async def test_other_zones_get_each_item_once(self, autojump_clock, run):
        """Guards against relays that forward the notice of each node."""
        broadcast, peers, _ = sender(is_relay=True)
        await run(broadcast)
        for _ in range(20):
            broadcast.forward("s1", "s1", Reach.ALL)
            await trio.sleep(0.05)
        zones = [peers.links[name].hello.zone for name in received(peers)]
        assert sorted(zones) == ["z1", "z2"]
        assert sum(map(len, received(peers).values())) == 2
        ((names, notice),) = peers.to_zone
        assert notice.is_forwarded and len(names) == 9

    async def test_items_of_another_zone_stay_in_this_one(self, autojump_clock, run):
        broadcast, peers, _ = sender(is_relay=True)
        await run(broadcast)
        broadcast.forward("s1", "s1", Reach.ZONE)
        await trio.sleep(0.5)
        assert not received(peers) and len(peers.to_zone) == 1

    async def test_series_of_events(self, autojump_clock, run):
        """Guards against a message to each node for each event of a series."""
        broadcast, peers, _ = sender(is_relay=True)
        await run(broadcast)
        for number in range(250):
            broadcast.forward(number, f"s{number}", Reach.ALL)
            await trio.sleep(0.01)
        assert len(peers.to_zone) <= 10

    async def test_silent_zone_does_not_delay_the_others(self, autojump_clock, run):
        broadcast, peers, _ = sender(is_relay=True)
        for link in peers.links.values():
            link.is_silent = link.hello.zone == "z1"
        await run(broadcast)
        broadcast.add("s1", "s1")
        await trio.sleep(0.1)
        zones = {peers.links[name].hello.zone for name in received(peers)}
        assert zones == {"z2"} and peers.to_zone

    async def test_queue_is_bounded(self, autojump_clock, run):
        """Guards against a process that runs out of memory in a flood of events."""
        broadcast, peers, _ = sender(is_relay=True)
        for number in range(2 * MAX_PENDING_ITEMS):
            broadcast.forward(number, f"s{number}", Reach.ALL)
        assert len(broadcast.pending) == MAX_PENDING_ITEMS


class TestReach:
    def test_by_sender(self):
        broadcast, peers, _ = sender(is_relay=True)
        notice = ServerDrainNotice(["s1"])
        own_zone = next(n for n in NODES if n.zone == "z0" and n != peers.node)
        other_zone = next(n for n in NODES if n.zone == "z1")
        entry = FakeLink(peers.node)
        peers.entries.append(entry)
        assert broadcast.reach_of(notice, entry) is Reach.ALL
        assert broadcast.reach_of(notice, FakeLink(own_zone)) is Reach.ALL
        assert broadcast.reach_of(notice, FakeLink(other_zone)) is Reach.ZONE
        notice.is_forwarded = True
        assert broadcast.reach_of(notice, FakeLink(own_zone)) is None
