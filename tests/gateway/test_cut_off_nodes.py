"""Tests of nodes that lose their links to servers which other nodes reach."""

import random
from collections import Counter
from dataclasses import dataclass, field
from functools import partial

import pytest
import trio

from rosemaryknot.connection.relay_client import PeerCall
from rosemaryknot.connection.server_relay import MAX_RELAYS
from rosemaryknot.process.server_paths import SLOW_PAUSE_S
from rosemaryknot.standin.users.system import (
    MODEL,
    MODEL_HEADERS,
    PLAIN,
    STORE,
    platform_system,
)
from rosemaryknot.values.server_relays import RelayOpen

CUT_S = 12.0
# Requests count from this time after the begin of a cut, within which nodes have to
# find another path.
CONTACT_S = 3.0
REQUESTS_PER_S = 30.0
# Share of the first attempts that may fail at nodes without a fault of their own.
MAX_FAILED_SHARE = 0.02
# First attempts that may fail besides at a node that is cut off, as the users state.
MAX_FAILED = 10
OK, BAD_GATEWAY, REFUSED = 200, 502, 503
SOON_S = 0.4
PATHS = {"ask": 0.4, "plan": 0.2, "book": 0.2, "stock": 0.2}
STREAMS = frozenset(("ask", "plan"))
SILENT, RESET, REFUSE = "silent", "reset", "refuse"
KINDS = (SILENT, RESET, REFUSE, "requests", "responses")


@dataclass
class Load:
    """Requests to some nodes and how they ended, by node."""

    fleet: object
    served: Counter = field(default_factory=Counter)
    asked: Counter = field(default_factory=Counter)
    statuses: Counter = field(default_factory=Counter)
    slowest_s: float = 0.0

    async def ask(self, kind, node, name, body):
        headers = MODEL_HEADERS if kind in STREAMS else {}
        answer = await self.fleet.ask(
            f"/{kind}/x", node, request_id=name, body=body, **headers
        )
        self.asked[node] += 1
        self.statuses[answer.status] += 1
        self.served[node] += answer.status == 200 and answer.is_whole
        self.slowest_s = max(self.slowest_s, answer.first_s)

    async def run(self, for_s, nodes=None, same_body_share=0.0):
        rng = random.Random(7)
        nodes = list(nodes or self.fleet.nodes)
        end_s = trio.current_time() + for_s
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                await trio.sleep(rng.expovariate(REQUESTS_PER_S))
                kind = rng.choices(list(PATHS), PATHS.values())[0]
                number += 1
                is_same = rng.random() < same_body_share
                body = b"popular" if is_same else b"%d" % number
                node = rng.choice(nodes)
                name = f"{kind}-{number}-{end_s}"
                nursery.start_soon(self.ask, kind, node, name, body)

    def failed_share(self, nodes):
        asked = sum(self.asked[n] for n in nodes)
        assert asked > 10
        return 1 - sum(self.served[n] for n in nodes) / asked


async def serve_during_cut(fleet, cut_off, how, cut_s=CUT_S, **options):
    """Cut nodes off under load; return the load from `CONTACT_S` after that."""
    load = Load(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(partial(Load(fleet).run, 2.0 + CONTACT_S, **options))
        await trio.sleep(2.0)
        for node in cut_off:
            fleet.cut_off(node, how)
    await load.run(cut_s - CONTACT_S, **options)
    return load


def slow_down(fleet, work_s):
    for server in fleet.servers.values():
        server.work_s = work_s


def start_requests(fleet, nursery, path, node, count, **headers):
    """Send requests r0, r1 and so on at once; return the list of their responses."""
    answers = [None] * count
    if path.split("/")[1] in STREAMS:
        headers |= MODEL_HEADERS

    async def ask(number):
        name = f"r{number}"
        body = b"body %d" % number
        answers[number] = await fleet.ask(
            path, node, request_id=name, body=body, **headers
        )

    for number in range(count):
        nursery.start_soon(ask, number)
    return answers


def count_dials(dialler):
    """Return a list to which each connection by the own path adds its address."""
    dials = []
    dial_direct = dialler.dial_direct

    async def record(address):
        dials.append(address)
        return await dial_direct(address)

    dialler.dial_direct = record
    return dials


def count_relays(relay):
    """Return a list to which each request for a relay adds its address."""
    requests = []
    open_connection = relay.open

    async def record(request):
        requests.append(request.address)
        return await open_connection(request)

    relay.open = record
    return requests


async def serve_unframed(server, arrival, wire):
    """Send a response without a length in parts, and close the connection late."""
    arrival.has_run = True
    body = server.body(arrival)
    await wire.head(OK, server.headers(arrival))
    await wire.send(body[:5])
    await trio.sleep(0.5)
    await wire.send(body[5:])
    wire.close()


async def fall_silent(server, at_s, for_s):
    await trio.sleep(at_s)
    server.pause(for_s)


class TestServed:
    """Callers of nodes that are cut off from all servers are served by way of peers."""

    @pytest.mark.parametrize("how", KINDS)
    @pytest.mark.parametrize(
        "cut_off", [("n1",), ("n0", "n3"), ("n0", "n1", "n3", "n4")], ids=len
    )
    async def test_as_often_as_at_the_others(self, autojump_clock, how, cut_off):
        async with platform_system(nodes=6, plain=3, models=3) as fleet:
            load = await serve_during_cut(fleet, cut_off, how)
            others = set(fleet.nodes) - set(cut_off)
            assert load.failed_share(cut_off) <= MAX_FAILED_SHARE
            assert load.failed_share(others) <= MAX_FAILED_SHARE

    @pytest.mark.parametrize("how", KINDS)
    async def test_long_requests(self, autojump_clock, how):
        async with platform_system(nodes=6, plain=3, models=3) as fleet:
            for server in fleet.servers.values():
                server.work_s = 0.06 if server.is_model else 0.6
            load = await serve_during_cut(fleet, ["n1"], how, same_body_share=0.3)
            assert load.failed_share(["n1"]) <= MAX_FAILED_SHARE
            assert load.failed_share(set(fleet.nodes) - {"n1"}) <= MAX_FAILED_SHARE

    @pytest.mark.parametrize("how", KINDS)
    async def test_first_request_in_the_middle_of_a_cut(self, autojump_clock, how):
        async with platform_system(nodes=3, plain=3, models=3) as fleet:
            fleet.cut_off("n1", how)
            await Load(fleet).run(5.0, nodes=["n0", "n2"])
            load = Load(fleet)
            await load.run(3.0, nodes=["n1"])
            assert load.failed_share(["n1"]) == 0


class TestCrashRecords:
    """A cut is not taken for crashes, for which all nodes would refuse requests."""

    @pytest.mark.parametrize("how", KINDS)
    @pytest.mark.parametrize("cut_off", [("n1",), ("n0", "n3")], ids=len)
    async def test_no_server_crashed(self, autojump_clock, info_lines, how, cut_off):
        async with platform_system(nodes=6, plain=3, models=3) as fleet:
            for server in fleet.servers.values():
                server.work_s = 0.06 if server.is_model else 0.6
            await serve_during_cut(fleet, cut_off, how, same_body_share=0.3)
        events = [line["event"] for line in info_lines]
        assert not [event for event in events if event.endswith(" crashed")]
        assert "request barred after server crashes" not in events


async def cut_off_and_settle(fleet, node, how, servers=()):
    """Cut a node off and let it learn of it by a few requests."""
    fleet.cut_off(node, how, servers)
    await Load(fleet).run(CONTACT_S, nodes=[node])


def paths_of(info_lines, event="answered"):
    return Counter(line.get("path") for line in info_lines if line["event"] == event)


class TestPartialCuts:
    """A node that lost some of its paths uses the others, and peers for the rest."""

    @pytest.mark.parametrize("how", (SILENT, RESET))
    @pytest.mark.parametrize("service", (PLAIN, MODEL))
    async def test_all_servers_of_a_service(self, autojump_clock, how, service):
        async with platform_system(nodes=3) as fleet:
            servers = [
                name
                for name, server in fleet.servers.items()
                if server.entry["service"] == service
            ]
            await cut_off_and_settle(fleet, "n1", how, servers)
            load = Load(fleet)
            await load.run(3.0, nodes=["n1"])
            assert load.failed_share(["n1"]) == 0

    @pytest.mark.parametrize("how", KINDS)
    async def test_one_server(self, autojump_clock, how):
        async with platform_system(nodes=3) as fleet:
            await cut_off_and_settle(fleet, "n1", how, ["m0"])
            load = Load(fleet)
            await load.run(3.0, nodes=["n1"])
            assert load.failed_share(["n1"]) == 0

    async def test_peer_that_lost_one_server(self, autojump_clock):
        """A peer that waits for one server in vain is asked for the others."""
        async with platform_system(nodes=2, plain=3, models=3) as fleet:
            fleet.cut_off("n0", SILENT, ["p0", "m0"])
            await cut_off_and_settle(fleet, "n1", SILENT)
            load = Load(fleet)
            await load.run(3.0, nodes=["n1"])
            assert load.failed_share(["n1"]) <= MAX_FAILED_SHARE

    async def test_lost_packets(self, autojump_clock):
        async with platform_system(nodes=3, plain=3, models=3) as fleet:
            await cut_off_and_settle(fleet, "n1", "lossy")
            load = Load(fleet)
            await load.run(6.0, nodes=["n1"])
            failed = load.asked["n1"] - load.served["n1"]
            assert failed <= MAX_FAILED + MAX_FAILED_SHARE * load.asked["n1"]

    async def test_open_connections_are_used(self, autojump_clock, info_lines):
        async with platform_system(nodes=3) as fleet:
            await Load(fleet).run(2.0, nodes=["n1"])
            fleet.cut_off("n1", REFUSE)
            info_lines.clear()
            await Load(fleet).run(1.0, nodes=["n1"])
        assert paths_of(info_lines)["direct"]

    async def test_node_without_peers_or_servers(self, autojump_clock):
        """What cannot be served is refused at once, with a time to come back."""
        async with platform_system(nodes=2) as fleet:
            fleet.network.cut("10.2.0.1", "10.2.0.2")
            await cut_off_and_settle(fleet, "n1", SILENT)
            for number in range(4):
                answer = await fleet.ask("/stock/x", "n1", request_id=f"s{number}")
                assert answer.status == REFUSED and answer.took_s <= SOON_S
                assert float(answer.headers["retry-after"]) > 0
            load = Load(fleet)
            await load.run(2.0, nodes=["n0"])
            assert load.failed_share(["n0"]) == 0


class TestUnderWay:
    """Requests under way as a path is lost are repeated only where that is allowed."""

    async def test_stream_goes_on_by_another_path(self, autojump_clock):
        async with platform_system(nodes=3, models=3) as fleet:
            slow_down(fleet, 0.1)
            async with trio.open_nursery() as nursery:
                answers = start_requests(fleet, nursery, "/ask/x", "n1", 4)
                await trio.sleep(0.35)
                fleet.cut_off("n1", SILENT)
            for answer in answers:
                assert answer.status == OK and answer.is_whole
                assert answer.body == b"".join(
                    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(10)
                )

    async def test_booking_is_not_repeated(self, autojump_clock):
        async with platform_system(nodes=3, plain=3) as fleet:
            slow_down(fleet, 0.5)
            async with trio.open_nursery() as nursery:
                answers = start_requests(fleet, nursery, "/book/x", "n1", 4)
                await trio.sleep(0.2)
                fleet.cut_off("n1", SILENT)
            assert len(answers) == 4
            for number, answer in enumerate(answers):
                assert fleet.ledger.runs_of(f"r{number}") == 1
                assert answer.status not in (REFUSED, 429, OK)

    @pytest.mark.parametrize("path", ["/ask/x", "/stock/x"])
    async def test_peer_is_killed(self, autojump_clock, info_lines, path):
        async with platform_system(nodes=3, plain=3, models=3) as fleet:
            await cut_off_and_settle(fleet, "n1", SILENT)
            slow_down(fleet, 0.1 if path == "/ask/x" else 0.6)
            async with trio.open_nursery() as nursery:
                answers = start_requests(fleet, nursery, path, "n1", 6)
                await trio.sleep(0.35)
                fleet.kill("n0")
            assert [answer.status for answer in answers] == [OK] * 6
            assert all(answer.is_whole for answer in answers)
        assert not [x for x in info_lines if x["event"].endswith(" crashed")]

    async def test_killed_peer_ends_no_response(self, autojump_clock):
        """A response without a length is not whole if the peer was killed."""
        async with platform_system(nodes=2, plain=1) as fleet:
            await cut_off_and_settle(fleet, "n1", SILENT)
            server = fleet.servers["p0"]
            server.serve = partial(serve_unframed, server)
            async with trio.open_nursery() as nursery:
                answers = start_requests(fleet, nursery, "/book/x", "n1", 1)
                await trio.sleep(0.2)
                fleet.kill("n0")
            assert answers[0].status == BAD_GATEWAY

    async def test_booking_through_a_killed_peer_is_unknown(self, autojump_clock):
        async with platform_system(nodes=2, plain=3) as fleet:
            await cut_off_and_settle(fleet, "n1", SILENT)
            slow_down(fleet, 0.5)
            async with trio.open_nursery() as nursery:
                answers = start_requests(fleet, nursery, "/book/x", "n1", 3)
                await trio.sleep(0.2)
                fleet.kill("n0")
            for number, answer in enumerate(answers):
                assert answer.status == BAD_GATEWAY
                assert fleet.ledger.runs_of(f"r{number}") == 1

    async def test_planned_stop_of_the_peer_cuts_nothing(self, autojump_clock):
        async with platform_system(nodes=2, plain=3, models=3) as fleet:
            await cut_off_and_settle(fleet, "n1", SILENT)
            slow_down(fleet, 0.29)
            async with trio.open_nursery() as nursery:
                plans = start_requests(
                    fleet, nursery, "/plan/x", "n1", 2, Rosemaryknot_Deadline_Ms="3000"
                )
                await trio.sleep(0.05)
                fleet.stops["n0"].set()
            assert [(a.status, a.is_whole) for a in plans] == [(OK, True)] * 2

    async def test_server_stops_when_the_caller_leaves(self, autojump_clock):
        async with platform_system(nodes=3, models=3) as fleet:
            await cut_off_and_settle(fleet, "n1", SILENT)
            slow_down(fleet, 0.1)
            caller = await fleet.caller("n1").open()
            await caller.send("/ask/x", request_id="gone", **MODEL_HEADERS)
            await trio.sleep(0.25)
            await caller.close()
            await trio.sleep(0.5)
            relayed = [node.relay.active for node in fleet.nodes.values()]
            assert relayed == [0, 0, 0]


class TestWayBack:
    """A restored path is used again, and calm nodes ask no peer."""

    @pytest.mark.parametrize("how", KINDS)
    async def test_restored_path(self, autojump_clock, info_lines, how):
        async with platform_system(nodes=3) as fleet:
            await cut_off_and_settle(fleet, "n1", how)
            fleet.end_cut("n1")
            await trio.sleep(CONTACT_S)
            assert not fleet.nodes["n1"].dialler.paths.lost
            info_lines.clear()
            await Load(fleet).run(2.0)
        assert set(paths_of(info_lines)) == {"direct"}

    async def test_calm(self, autojump_clock, info_lines):
        async with platform_system(nodes=3) as fleet:
            await Load(fleet).run(5.0)
        events = Counter(line["event"] for line in info_lines)
        assert not events["relay requested"]
        assert set(paths_of(info_lines)) == {"direct"}

    async def test_pace_of_a_node_without_peers(self, autojump_clock):
        """A node that reaches nothing dials a few times a second, not each server."""
        async with platform_system(nodes=1, plain=3, models=3) as fleet:
            await cut_off_and_settle(fleet, "n0", SILENT)
            dials = count_dials(fleet.nodes["n0"].dialler)
            await trio.sleep(20.0)
            assert len(dials) <= 20.0 / 1.0


class TestServersThatFail:
    """A failed server is no lost path, and a silent one has not crashed."""

    async def test_crashed_server(self, autojump_clock, info_lines):
        async with platform_system(nodes=3, plain=3, models=3) as fleet:
            load = Load(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run, 4.0)
                await trio.sleep(1.0)
                nursery.start_soon(fleet.restart_server, "p0", 2.0)
            assert all(not n.dialler.paths.lost for n in fleet.nodes.values())
        events = [line["event"] for line in info_lines]
        assert not [event for event in events if event.startswith("path to server")]

    @pytest.mark.parametrize("at_once", [False, True])
    async def test_sound_servers_silent_for_a_second(
        self, autojump_clock, info_lines, at_once
    ):
        async with platform_system(nodes=3, plain=3, models=3) as fleet:
            load = Load(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run, 10.0)
                for number, server in enumerate(fleet.servers.values()):
                    at_s = 2.0 if at_once else 1.0 + 1.3 * number
                    nursery.start_soon(fall_silent, server, at_s, 1.2)
            others = load.statuses[REFUSED] + load.statuses[BAD_GATEWAY]
            assert others <= MAX_FAILED_SHARE * sum(load.asked.values())
        events = [line["event"] for line in info_lines]
        assert not [event for event in events if event.endswith(" crashed")]
        assert not [event for event in events if event.startswith("path to server")]

    @pytest.mark.parametrize("seed", range(4))
    async def test_crashed_servers_are_no_lost_link_of_a_peer(
        self, autojump_clock, seed
    ):
        """A peer takes crashed servers for a lost link of its own and helps nobody."""
        async with platform_system(seed, nodes=2, plain=6, models=0) as fleet:
            fleet.cut_off("n0", REFUSE)
            await trio.sleep(1.0)
            for name in ("p0", "p1", "p2", "p3"):
                host = fleet.servers[name].entry["address"].partition(":")[0]
                fleet.network.kill_host(host)
            load = Load(fleet)
            async with trio.open_nursery() as nursery:
                for number in range(100):
                    await trio.sleep(0.05)
                    body = b"%d" % number
                    nursery.start_soon(load.ask, "stock", "n0", f"r{number}", body)
        assert load.asked["n0"] - load.served["n0"] <= MAX_FAILED


class TestPeers:
    """Peers relay only what they may, and each cut-off node draws its own."""

    async def test_busy_peer_says_no(self, autojump_clock):
        async with platform_system(nodes=3, plain=3, models=3) as fleet:
            await cut_off_and_settle(fleet, "n1", RESET)
            slow_down(fleet, 0.5)
            async with trio.open_nursery() as nursery:
                start_requests(fleet, nursery, "/stock/x", "n1", 200)
                await trio.sleep(0.2)
                active = [node.relay.active for node in fleet.nodes.values()]
            assert max(active) <= MAX_RELAYS + 1
            assert active[1] == 0

    async def test_relays_are_spread(self, autojump_clock, info_lines):
        # Long enough for the peers, which are drawn, to have some forty requests each.
        cut_s = 3 * CUT_S
        async with platform_system(nodes=9, plain=3, models=3) as fleet:
            await serve_during_cut(fleet, ["n0", "n3", "n6"], SILENT, cut_s)
        results = Counter(
            line["result"] for line in info_lines if line["event"] == "relay requested"
        )
        # Each of three nodes asks two that are cut off, with a pause in between.
        assert results["cut_off"] <= 3 * 2 * cut_s / SLOW_PAUSE_S
        peers = paths_of(info_lines)
        assert peers["direct"] > 0
        by_peer = [count for path, count in peers.items() if path not in ("direct", "")]
        assert len(by_peer) == 6
        assert max(by_peer) <= 3 * min(by_peer)

    async def test_overloaded_servers_get_few_more_connections(self, autojump_clock):
        """Servers that accept connections late are not tried by all peers as well."""
        async with platform_system(nodes=6, plain=3, models=0) as fleet:
            delays = [
                frozenset((node.settings.listen.callers.host, f"10.1.0.{server}"))
                for node in fleet.nodes.values()
                for server in (1, 2, 3)
            ]
            fleet.network.delays_s.update(dict.fromkeys(delays, 0.2))
            dials = [count_dials(node.dialler) for node in fleet.nodes.values()]
            relayed = [count_relays(node.relay) for node in fleet.nodes.values()]
            load = Load(fleet)
            async with trio.open_nursery() as nursery:
                for number in range(600):
                    node = f"n{number % 6}"
                    nursery.start_soon(load.ask, "book", node, f"book-{number}", b"")
                    await trio.sleep(1 / 60)
            own = sum(len(opened) for opened in dials)
            by_peers = sum(len(opened) for opened in relayed)
            assert by_peers <= own

    @pytest.mark.parametrize("carries_request", [False, True])
    async def test_only_to_servers(self, autojump_clock, carries_request):
        """A peer opens connections to listed servers and to nothing else."""
        async with platform_system(nodes=2) as fleet:
            dialler = fleet.nodes["n1"].dialler
            node = fleet.nodes["n0"].node
            message = RelayOpen(str(STORE), carries_request)
            reply = await dialler.relay_client.open_relay(PeerCall(node), message)
            assert reply.result == "unknown_server"
