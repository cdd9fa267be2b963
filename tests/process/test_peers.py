"""Tests of cluster membership: discovery, failure detection and recovery."""

import random
from dataclasses import dataclass
from typing import ClassVar

import trio

from rosemaryknot.connection.links import CallFailed, Handlers
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.process.peer_links import LinkPlan, select_relays
from rosemaryknot.process.peer_table import RECORD_TTL_S, PeerTable
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.replay.hosts import Host, HostInstrument
from rosemaryknot.values.messages import Message, message
from rosemaryknot.values.nodes import Address, Node
from rosemaryknot.values.peers import PeerRecord

KEY = b"k" * 32
ZONES = ("waco-a", "waco-b", "temple-c")


@message("test_ping")
@dataclass(slots=True)
class Ping(Message):
    """A test call; the response contains the names of both ends."""

    kind: ClassVar[str]
    text: str = ""


class Fleet:
    """Nodes on one network."""

    def __init__(self, nursery: trio.Nursery, plan: LinkPlan | None = None) -> None:
        self.nursery = nursery
        self.plan = plan
        self.network = MemoryNetwork()
        self.sets: dict[str, PeerSet] = {}
        self.hosts: dict[str, Host] = {}

    def host(self, name: str) -> str:
        return f"127.0.1.{name[1:]}"

    def address(self, name: str) -> Address:
        return Address(self.host(name), 8300)

    def nodes_of(self, number: int) -> list[Node]:
        """Return the nodes of a zone."""
        zone = ZONES[number]
        return [p.node for p in self.sets.values() if p.node.zone == zone]

    async def start(
        self,
        name: str,
        seeds=("n1",),
        incarnation: int = 1,
        capacity: int = 0,
    ) -> PeerSet:
        """Start a node, called n1, n2 and so on."""
        handlers = Handlers()
        zone = ZONES[int(name[1:]) % 3]

        @handlers.on(Ping)
        async def handle_ping(value: Ping, link) -> Ping:
            if value.text == "slow":
                await trio.sleep(20)
            return Ping(f"{link.hello.name}>{name}")

        peers = PeerSet(
            self.network.with_host(self.host(name)),
            Node(name, zone, incarnation, capacity),
            self.address(name),
            KEY,
            [self.address(seed) for seed in seeds],
            handlers,
            self.plan,
            random.Random(name),
        )
        self.sets[name] = peers
        await self.nursery.start(self.run, name, peers)
        return peers

    async def run(self, name: str, peers: PeerSet, task_status) -> None:
        self.hosts[name] = Host(self.network.with_host(self.host(name)))
        await self.hosts[name].run(peers.run, task_status)

    def kill(self, name: str) -> None:
        """Terminate a node without a graceful shutdown."""
        self.hosts[name].scope.cancel()
        self.network.kill_host(self.host(name))

    def memberships(self) -> dict[str, list[str]]:
        return {
            name: [node.name for node in peers.nodes()]
            for name, peers in self.sets.items()
        }

    def is_converged(self) -> bool:
        """Return whether all nodes see all others as live."""
        return all(
            len(view) == len(self.sets) - 1 for view in self.memberships().values()
        )

    async def wait_converged(self, timeout_s: float) -> float:
        """Wait for convergence; return the elapsed time in seconds."""
        start_s = trio.current_time()
        with trio.fail_after(timeout_s):
            while not self.is_converged():
                await trio.sleep(0.1)
        return trio.current_time() - start_s


async def start_fleet(
    nursery: trio.Nursery, size: int, plan: LinkPlan | None = None
) -> Fleet:
    """Start nodes and wait until their memberships converge."""
    fleet = Fleet(nursery, plan)
    for number in range(1, size + 1):
        await fleet.start(f"n{number}")
    await fleet.wait_converged(20)
    return fleet


class TestIdleFleet:
    """Traffic between nodes when the membership does not change."""

    async def test_equal_tables_are_not_sent_again(self, autojump_clock):
        """Twelve nodes know each other, partly by links and partly by gossip.

        Nodes compare digests every few seconds. If the digest depended on how a record
        was received, the tables would never be equal: every comparison would send
        whole tables indefinitely, at a cost that grows with the square of the fleet.
        """
        async with trio.open_nursery() as nursery:
            plan = LinkPlan(full_mesh_nodes=6, relays_per_zone=2, neighbours=1)
            fleet = await start_fleet(nursery, 12, plan)
            await trio.sleep(60)
            before = self.sent(fleet, "peer_records")
            compared = self.sent(fleet, "peer_digest")
            await trio.sleep(60)
            assert self.sent(fleet, "peer_digest") > compared + 100
            assert self.sent(fleet, "peer_records") == before
            nursery.cancel_scope.cancel()

    def sent(self, fleet: Fleet, kind: str) -> int:
        """Return the number of messages of a kind sent by all nodes."""
        counts = [peers.traffic.sent.get(kind) for peers in fleet.sets.values()]
        return sum(count.messages for count in counts if count is not None)


class TestMesh:
    """A full mesh of up to seven nodes."""

    async def test_nodes_find_each_other_from_one_seed(self, autojump_clock):
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            for number in range(1, 8):
                await fleet.start(f"n{number}")
            await fleet.wait_converged(5)
            response = await fleet.sets["n2"].call("n7", Ping(), 1)
            assert response == Ping("n2>n7")
            nursery.cancel_scope.cancel()

    async def test_silent_link_is_replaced(self, autojump_clock):
        """The connection between two nodes goes silent permanently; new ones work.

        Calls on the silent link get no response. Within seconds the nodes open a new
        link and calls work again. Neither is suspected, since the new link shows that
        both are alive.
        """
        async with trio.open_nursery() as nursery:
            fleet = await start_fleet(nursery, 3)
            one, two = fleet.sets["n1"], fleet.sets["n2"]
            assert fleet.network.silence(fleet.host("n1"), fleet.host("n2")) > 0
            response = await one.call("n2", Ping(), 1)
            assert response == CallFailed("timeout", maybe_handled=True)
            await trio.sleep(4)
            assert await one.call("n2", Ping(), 1) == Ping("n1>n2")
            assert await two.call("n1", Ping(), 1) == Ping("n2>n1")
            assert one.counters["suspicions"] == two.counters["suspicions"] == 0
            nursery.cancel_scope.cancel()

    async def test_link_silent_in_one_direction(self, autojump_clock):
        """n2 receives nothing from n1 any more, while n1 still receives from n2.

        Only n2 can detect this. The new link that it opens must carry the messages of
        n1 too, although the old link seems usable to n1.
        """
        async with trio.open_nursery() as nursery:
            fleet = await start_fleet(nursery, 2)
            near = fleet.host("n1")
            for stream in fleet.network.streams:
                stream.silent = stream.silent or stream.near == near
            await trio.sleep(5)
            response = await fleet.sets["n1"].call("n2", Ping(), 1)
            assert response == Ping("n1>n2")
            nursery.cancel_scope.cancel()

    async def test_simultaneous_dials(self, autojump_clock):
        """Two nodes dial each other simultaneously over a slow network.

        Both links are opened. Both ends send on the same one, and after a while the
        other one is closed, without aborting a call that waits on it.
        """
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            fleet.network.delays_s[frozenset(map(fleet.host, ("n1", "n2")))] = 0.1
            await fleet.start("n1", seeds=["n2"])
            await fleet.start("n2", seeds=["n1"])
            await fleet.wait_converged(5)
            ends = [
                fleet.sets[a].peers[b].links for a, b in (("n1", "n2"), ("n2", "n1"))
            ]
            await trio.sleep(1)
            assert [len(links) for links in ends] == [2, 2]
            used = [
                fleet.sets[a].peers[b].best().is_dialled
                for a, b in (("n1", "n2"), ("n2", "n1"))
            ]
            assert used == [True, False]
            responses = []

            async def call() -> None:
                responses.append(await fleet.sets["n1"].call("n2", Ping("slow"), 30))

            nursery.start_soon(call)
            await trio.sleep(25)
            assert [len(links) for links in ends] == [1, 1]
            assert responses == [Ping("n1>n2")]
            nursery.cancel_scope.cancel()

    async def test_restart_with_a_higher_incarnation(self, autojump_clock):
        """A node fails without notice and restarts immediately.

        The others still hold links of the ended process. They must accept the new
        incarnation, close the old links and reject the old incarnation.
        """
        async with trio.open_nursery() as nursery:
            fleet = await start_fleet(nursery, 4)
            fleet.network.silence(fleet.host("n2"), fleet.host("n1"))
            fleet.kill("n2")
            await fleet.start("n2", incarnation=2)
            await trio.sleep(5)
            assert fleet.is_converged()
            for name in ("n1", "n3", "n4"):
                [node] = [n for n in fleet.sets[name].nodes() if n.name == "n2"]
                assert node.incarnation == 2
                links = fleet.sets[name].peers["n2"].links
                assert {end.link.hello.incarnation for end in links} == {2}
            fleet.kill("n2")
            await fleet.start("n2", incarnation=1)
            await trio.sleep(10)
            assert not fleet.sets["n1"].linked_to("n2")
            assert fleet.sets["n1"].counters["hellos_refused"] > 0
            nursery.cancel_scope.cancel()

    async def test_graceful_leave(self, autojump_clock):
        async with trio.open_nursery() as nursery:
            fleet = await start_fleet(nursery, 4)
            await fleet.sets.pop("n3").leave()
            fleet.kill("n3")
            assert await fleet.wait_converged(1) < 0.5
            assert sum(s.counters["suspicions"] for s in fleet.sets.values()) == 0
            nursery.cancel_scope.cancel()

    async def test_failed_node_is_suspected_then_evicted(self, autojump_clock):
        async with trio.open_nursery() as nursery:
            fleet = await start_fleet(nursery, 4)
            del fleet.sets["n3"]
            fleet.kill("n3")
            assert await fleet.wait_converged(10) < 6
            await trio.sleep(RECORD_TTL_S + 20)
            for peers in fleet.sets.values():
                assert "n3" not in peers.table.records
                assert "n3" not in peers.peers
            nursery.cancel_scope.cancel()


class TestPartition:
    """Network partitions between zones or nodes."""

    async def test_zone_partition_and_recovery(self, autojump_clock):
        """waco-b is partitioned from the other zones for four minutes.

        Within seconds, each side sees only its own nodes as live. When the partition
        ends, all nodes see each other within seconds, without a restart.
        """
        async with trio.open_nursery() as nursery:
            fleet = await start_fleet(nursery, 7)
            inside = {"n1", "n4", "n7"}
            outside = set(fleet.sets) - inside
            pairs = [(fleet.host(a), fleet.host(b)) for a in inside for b in outside]
            for pair in pairs:
                fleet.network.cut(*pair)
            await trio.sleep(10)
            for name, view in fleet.memberships().items():
                side = inside if name in inside else outside
                assert set(view) == side - {name}
            response = await fleet.sets["n1"].call("n2", Ping(), 1)
            assert response == CallFailed("unreachable", maybe_handled=False)
            await trio.sleep(230)
            for pair in pairs:
                fleet.network.heal(*pair)
            assert await fleet.wait_converged(30) < 8
            nursery.cancel_scope.cancel()

    async def test_partition_between_two_nodes(self, autojump_clock):
        """n1 and n2 cannot reach each other, but all others reach both.

        Neither may be suspected. Messages between them are forwarded through another
        node, and the handler sees the original sender.
        """
        async with trio.open_nursery() as nursery:
            fleet = await start_fleet(nursery, 5)
            fleet.network.cut(fleet.host("n1"), fleet.host("n2"))
            await trio.sleep(20)
            assert fleet.is_converged()
            assert await fleet.sets["n1"].call("n2", Ping(), 1) == Ping("n1>n2")
            assert await fleet.sets["n2"].call("n1", Ping(), 1) == Ping("n2>n1")
            assert sum(s.counters["suspicions"] for s in fleet.sets.values()) == 0
            nursery.cancel_scope.cancel()

    async def test_suspended_process(self, autojump_clock):
        """A process is suspended for a minute and resumes with its old links and clock.

        The others suspect it. When it resumes, it must refute the suspicion, and be
        seen as live within a few seconds.
        """
        async with trio.open_nursery() as nursery:
            trio.lowlevel.add_instrument(HostInstrument())
            fleet = await start_fleet(nursery, 5)
            fleet.hosts["n3"].freeze()
            await trio.sleep(60)
            assert not fleet.sets["n1"].is_live("n3")
            fleet.hosts["n3"].thaw()
            assert await fleet.wait_converged(30) < 8
            nursery.cancel_scope.cancel()


class TestZones:
    """More nodes than a full mesh allows, which use relays."""

    PLAN = LinkPlan(full_mesh_nodes=6, relays_per_zone=2, neighbours=1)

    async def test_21_nodes_converge_and_reach_each_other(self, autojump_clock):
        async with trio.open_nursery() as nursery:
            fleet = await start_fleet(nursery, 21, self.PLAN)
            await trio.sleep(60)
            links = [len(peers.linked()) for peers in fleet.sets.values()]
            assert min(links) <= 4
            assert max(links) <= 11
            hops = 0
            for one in fleet.sets:
                for other in fleet.sets:
                    if one != other:
                        response = await fleet.sets[one].call(other, Ping(), 1)
                        assert response == Ping(f"{one}>{other}")
                        hops += not fleet.sets[one].linked_to(other)
            assert hops > 100
            nursery.cancel_scope.cancel()

    async def test_forwarding_is_distributed_over_relays(self, autojump_clock):
        """Every node calls every other node once, mostly through relays.

        If all nodes preferred the same relay, it would carry the messages of a zone or
        the whole region, and its traffic would grow with the fleet.
        """
        async with trio.open_nursery() as nursery:
            fleet = await start_fleet(nursery, 21, self.PLAN)
            await trio.sleep(60)
            for one in fleet.sets:
                for other in fleet.sets:
                    if one != other:
                        await fleet.sets[one].call(other, Ping(), 1)
            for zone in range(3):
                members = fleet.nodes_of(zone)
                forwarded = [
                    fleet.sets[name].forwarder.passed_on
                    for name in select_relays(members, 2)
                ]
                assert max(forwarded) < 3 * min(forwarded)
            nursery.cancel_scope.cancel()

    async def test_large_machines_are_relays(self, autojump_clock):
        """Guards against relays on the smallest machines of a zone.

        All nodes know the capacity of each, also without a link to it.
        """
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, self.PLAN)
            for number in range(1, 22):
                capacity = 215 if number > 15 else 52
                await fleet.start(f"n{number}", capacity=capacity)
            await fleet.wait_converged(30)
            await trio.sleep(10)
            for peers in fleet.sets.values():
                nodes = [*peers.nodes(), peers.node]
                for zone in ZONES:
                    members = [node for node in nodes if node.zone == zone]
                    relays = select_relays(members, 2)
                    assert all(int(name[1:]) > 15 for name in relays), peers.node
                linked = {node.name for node in peers.linked()}
                own = [node for node in nodes if node.zone == peers.node.zone]
                wanted = set(select_relays(own, 2)) - {peers.node.name}
                assert wanted <= linked
            nursery.cancel_scope.cancel()

    async def test_record_passed_on_by_earlier_software(self):
        """Guards against nodes that select other relays for good after an upgrade."""
        table = PeerTable(PeerRecord("n1", "z", 1, ""))
        record = PeerRecord("n2", "z", 1, "a:1", capacity=215)
        fields = record.to_fields(0.0)
        table.merge(PeerRecord.from_fields(fields[:-1], 0.0), 0.0)
        assert table.records["n2"].capacity == 0
        assert table.merge(PeerRecord.from_fields(fields, 0.0), 0.0)
        assert table.records["n2"].capacity == 215
        assert not table.merge(PeerRecord.from_fields(fields, 0.0), 0.0)

    async def test_all_relays_of_a_zone_fail(self, autojump_clock):
        """Both relays of a zone fail, and its other nodes have no links to other zones.

        The rest of the zone must select new relays and become reachable again.
        """
        async with trio.open_nursery() as nursery:
            fleet = await start_fleet(nursery, 21, self.PLAN)
            await trio.sleep(30)
            zone = [name for name in fleet.sets if int(name[1:]) % 3 == 0]
            for name in select_relays(fleet.nodes_of(0), 2):
                del fleet.sets[name]
                fleet.kill(name)
            assert await fleet.wait_converged(60) < 20
            last = [name for name in zone if name in fleet.sets][-1]
            response = None
            with trio.fail_after(5):
                while response != Ping(f"n1>{last}"):
                    response = await fleet.sets["n1"].call(last, Ping(), 2)
                    await trio.sleep(0.2)
            nursery.cancel_scope.cancel()

    async def test_suspended_leaf(self, autojump_clock):
        """A node to which most others have no link is suspended for half a minute.

        Its relays suspect it, and all nodes receive this record. When it resumes, only
        its own refutation can make nodes without a link to it see it as live.
        """
        async with trio.open_nursery() as nursery:
            trio.lowlevel.add_instrument(HostInstrument())
            fleet = await start_fleet(nursery, 12, self.PLAN)
            await trio.sleep(30)
            zone = [name for name in fleet.sets if int(name[1:]) % 3 == 0]
            relays = select_relays(fleet.nodes_of(0), 2)
            leaf = next(name for name in zone if name not in relays)
            fleet.hosts[leaf].freeze()
            await trio.sleep(30)
            others = [fleet.sets[name] for name in fleet.sets if name != leaf]
            assert not any(peers.is_live(leaf) for peers in others)
            fleet.hosts[leaf].thaw()
            assert await fleet.wait_converged(60) < 10
            nursery.cancel_scope.cancel()
