"""Tests of promises that hold also where something takes longer than usual."""

import json

import h11
import pytest
import trio
from tests.gateway.slow_callers import read_slowly

from rosemaryknot.process.attempt_budget import AttemptBudget
from rosemaryknot.process.logs import FLUSH_S
from rosemaryknot.process.node_settings import Bounds
from rosemaryknot.process.settings_watch import reload_settings
from rosemaryknot.standin.users.system import (
    HOST,
    KEY,
    document,
    platform_system,
)

GRACE_S = 8.0


def question(caller):
    """Return the bytes of a request, for a test that decides when they go out."""
    headers = [
        ("Host", HOST),
        ("Rosemaryknot-Attempt-Id", "late"),
        ("Rosemaryknot-Deadline-Ms", "2000"),
        ("Authorization", f"Bearer {KEY}"),
    ]
    request = h11.Request(method="GET", target="/stock/x", headers=headers)
    return caller.conn.send(request) + caller.conn.send(h11.EndOfMessage())


class TestLastMomentOfAStop:
    async def test_request_behind_the_last_look(self, autojump_clock):
        """A stop is nearly over: nothing is in flight, and the node looks once more.

        A request lies on a connection that was opened late, and is read in the same
        moment. It went out to a server, the process ended, and the caller saw a
        closed connection. The node counted requests that were read, not connections
        that may still bring one.
        """
        async with platform_system(plain=1) as fleet:
            # A connection to the server is kept, so nothing is waited for.
            await fleet.ask("/stock/x", method="GET", request_id="early")
            node = fleet.nodes["n0"]
            callers = []
            leave = node.peers.leave

            async def leave_and_be_asked():
                callers.append(await fleet.caller().open())
                await leave()
                callers[0].stream.send_now(question(callers[0]))

            node.peers.leave = leave_and_be_asked
            fleet.stops["n0"].set()
            await trio.sleep(4)
            answer = await callers[0].receive()
            assert answer.is_whole or not fleet.ledger.runs_of("late")

    async def test_half_a_head_shuts_nobody_out(self, autojump_clock):
        """In the only node's planned stop one caller sends half a head, then nothing.

        Nothing else is in flight, so the node closed every new connection unread, and
        waited for the rest of the head: five seconds in which it neither served, nor
        refused with when to come back, nor ended to start again.
        """
        configuration = document()
        configuration["limits"]["headerTimeoutMs"] = 5000
        async with platform_system(configuration=configuration) as fleet:
            fleet.stops["n0"].set()
            await trio.sleep(2)
            half = await fleet.caller().open()
            await half.stream.send_all(b"GET /stock/x HT")
            await trio.sleep(1)
            for number in range(20):
                answer = await fleet.ask("/stock/x", "n0", request_id=f"r{number}")
                assert answer.status in (200, 503), f"{number}: {answer}"
                await trio.sleep(0.1)
            await half.close()
            await trio.sleep(0.3)
            with pytest.raises(ConnectionRefusedError):
                await fleet.caller().open()

    async def test_store_is_silent(self, autojump_clock):
        """The node that stops holds the duties, and the store answers nothing.

        It waited for the store, twice two seconds and more, before it closed idle
        connections: their callers went on sending until the process ended.
        """
        async with platform_system(duties=("usage",)) as fleet:
            await trio.sleep(4)
            assert fleet.nodes["n0"].lease.is_held()
            idle = await fleet.caller().open()
            await idle.send("/stock/x", method="GET", request_id="idle")
            assert (await idle.receive()).status == 200
            fleet.store.faults.begin("silent")
            began_s = trio.current_time()
            fleet.stops["n0"].set()
            assert await idle.stream.receive_some(10) == b""
            assert trio.current_time() - began_s < 3.0


class TestSlowReader:
    async def test_whole_answer_has_the_requests_time(
        self, autojump_clock, monkeypatch
    ):
        """A caller with two seconds left reads a whole answer within 1.2 s.

        What keeps a ready answer from being cut by the end of its time, for a second
        more, began when the answer was there, and cut it while time was left. The log
        said that it was answered.
        """
        async with platform_system() as fleet:
            read_slowly(monkeypatch, 0.6)
            answer = await fleet.ask("/stock/x", method="GET")
            assert 1.2 < answer.took_s < 2
            assert answer.is_whole

    @pytest.mark.parametrize("taken_before_s", [1.0, 8.0])
    async def test_node_ends_within_its_grace(
        self, autojump_clock, monkeypatch, taken_before_s
    ):
        """A whole answer is on its way to a caller that reads nothing as a stop ends.

        It was kept up for a second more, and the node was killed before: the stop
        leaves only 0.6 s of the grace. Lines that were held for the end were lost.
        """
        configuration = document()
        for entry in configuration["routes"]:
            entry["timeoutMs"] = 30_000
        async with platform_system(configuration=configuration) as fleet:
            read_slowly(monkeypatch, 9.0)
            for name in ("p0", "p1"):
                fleet.servers[name].work_s = 8.25
            caller = await fleet.caller().open()
            await caller.send("/book/x", Rosemaryknot_Deadline_Ms="30000")
            await trio.sleep(taken_before_s)
            fleet.stops["n0"].set()
            await trio.sleep(GRACE_S - FLUSH_S)
            assert fleet.nodes["n0"].listener.state.open == 0


class TestServerLeavesMeanwhile:
    async def test_while_a_connection_is_opened(self, autojump_clock):
        """A server is chosen, and opening a connection to it takes half a second.

        Meanwhile the server says that it leaves. The request went out to it all the
        same, half a second nearer to the server's end than the choice had looked;
        another server was there to take it.
        """
        async with platform_system() as fleet:
            fleet.network.delays_s[frozenset(("10.2.0.1", "10.1.0.1"))] = 0.25
            caller = await fleet.caller().open()
            await caller.send("/book/x")
            await trio.sleep(0.1)
            entry = fleet.servers["p0"].entry | {"state": "draining"}
            fleet.store.put("servers", "p0", entry)
            answer = await caller.receive()
            assert answer.body == b"p1 answers r1"
            assert not fleet.servers["p0"].arrivals


class TestTimeLimitPassedOn:
    @pytest.mark.parametrize("first", ["shed", "mute"])
    async def test_second_attempt_behind_a_dial(self, autojump_clock, first):
        """A server sheds a request, or says nothing; the other one is far to dial.

        Each server is told what is left of the caller's time when the request goes
        out to it, never what was left when it came.
        """
        async with platform_system(configuration=patient()) as fleet:
            fleet.network.delays_s[frozenset(("10.2.0.1", "10.1.0.2"))] = 0.2
            fleet.servers["p0"].faults.append(first)
            began_s = trio.current_time()
            answer = await fleet.ask("/stock/x", method="GET")
            assert answer.body == b"p1 answers r1"
            assert len(fleet.ledger.arrivals) == 2
            for arrival in fleet.ledger.arrivals:
                told_ms = int(arrival.request.headers["rosemaryknot-deadline-ms"])
                # One way of 0.2 s passes after the request went out.
                gone_s = arrival.at_s - began_s
                assert 1.99 - gone_s <= told_ms / 1000 <= 2.2 - gone_s


def patient():
    """Return a configuration whose routes outlast the callers' time."""
    found = document()
    for entry in found["routes"]:
        entry["timeoutMs"] = 9000
    return found


class TestWordOfTheStore:
    @pytest.mark.parametrize("count", [1, 2])
    async def test_relays_of_a_zone_are_silent(self, autojump_clock, count):
        """The hub of a zone freezes, or it and the relay after it; a server leaves.

        The zone's other nodes hear nothing. Each turns to the next relay after a
        second, and counted the turn as if it had heard something: it went on trusting
        that a node watches the store for it. Some gave the server work for 2.1 s, and
        for 3.2 s where two were frozen.
        """
        async with platform_system(nodes=30) as fleet:
            await trio.sleep(12)
            here = [n for n in fleet.nodes.values() if n.node.zone == "z0"]
            silent = here[0].exchange.hubs.relays("z0")[:count]
            for name in silent:
                freeze(fleet, name)
            entry = fleet.servers["p0"].entry | {"state": "draining"}
            fleet.store.put("servers", "p0", entry)
            await trio.sleep(1.5)
            for node in here:
                if node.node.name not in silent:
                    assert node.state.servers.by_id["p0"].has_drained, node.node

    async def test_hub_is_cut_off_from_the_store(self, autojump_clock):
        """The hub of a zone loses the store, and servers leave one after the other.

        It does not know yet and says that it watches. The zone's other nodes see in
        the sums that they are behind and ask the store, once in two seconds; a server
        that left just after the question got work for up to 2.2 s.
        """
        async with platform_system(nodes=30, plain=8) as fleet:
            await trio.sleep(12)
            here = [n for n in fleet.nodes.values() if n.node.zone == "z0"]
            hub = here[0].exchange.hubs.target()
            fleet.network.cut(fleet.nodes[hub].settings.listen.callers.host, "10.0.0.1")
            left_s = {}
            for name in sorted(fleet.servers):
                entry = fleet.servers[name].entry | {"state": "draining"}
                fleet.store.put("servers", name, entry)
                left_s[name] = trio.current_time()
                await trio.sleep(0.3)
                for node in here:
                    servers = node.state.servers.by_id
                    late = [n for n in left_s if not servers[n].has_drained]
                    late = [n for n in late if trio.current_time() - left_s[n] > 1.5]
                    assert node.node.name == hub or not late


class TestDutiesDoNotGoToAndFro:
    async def test_holder_is_back_soon(self, autojump_clock):
        """The holder loses the store, another node takes the duties and is stopped.

        The first one has the store again and took the duties back half a second later:
        calls of both may then arrive as of the one, the other and the one again,
        within the least time that the deployment sets for that.
        """
        async with platform_system(nodes=2, duties=["usage"]) as fleet:
            await trio.sleep(6)
            first = next(n for n in fleet.nodes.values() if n.lease.is_held())
            other = next(n for n in fleet.nodes.values() if n is not first)
            host = first.settings.listen.callers.host
            fleet.network.cut(host, "10.0.0.1")
            while not other.lease.is_held():
                if first.lease.is_held():
                    held_s = trio.current_time()
                await trio.sleep(0.02)
            fleet.network.heal(host, "10.0.0.1")
            fleet.stops[other.node.name].set()
            while not first.lease.is_held():
                await trio.sleep(0.02)
                assert trio.current_time() < held_s + 6
            least_s = first.settings.bounds.lease_ms / 1000
            assert trio.current_time() - held_s >= least_s


class TestUsageIsWaitedFor:
    async def test_reports_come_late(self, autojump_clock):
        """The reports of one node come 2.6 s late, and it serves to a window's end.

        The holder of the duty told the window two seconds after its end, as if all had
        been heard by then, and left the node's last requests out; there were eight
        seconds more until the counts were due.
        """
        async with platform_system(nodes=3, duties=["usage"]) as fleet:
            await trio.sleep(12 - trio.current_time())
            late = next(n for n in fleet.nodes.values() if not n.lease.is_held())
            host = late.settings.listen.callers.host
            for node in fleet.nodes.values():
                other = node.settings.listen.callers.host
                if other != host:
                    fleet.network.delays_s[frozenset((host, other))] = 2.6
            await trio.sleep_until(13.5)
            for number in range(12):
                request_id = f"u{number}"
                await fleet.ask("/book/x", late.node.name, request_id=request_id)
                await trio.sleep(0.1)
            assert trio.current_time() < 15
            await trio.sleep_until(24)
            window = late.usage.window_of(late.clock.now()) - 2
            assert fleet.cloud.usage[window] == {"ada": 12}

    async def test_node_is_gone(self, autojump_clock):
        """A node is killed in a window; the others' counts are told when they are due.

        Nobody hears from it that it has counted to the end, so there is a bound.
        """
        async with platform_system(nodes=3, duties=["usage"]) as fleet:
            await trio.sleep(14 - trio.current_time())
            gone = next(n for n in fleet.nodes.values() if not n.lease.is_held())
            fleet.kill(gone.node.name)
            await trio.sleep_until(15)
            window = gone.usage.window_of(gone.clock.now()) - 1
            await trio.sleep_until(15 + Bounds().usage_delay_s - 3)
            assert window in fleet.cloud.usage


class TestRetryBudget:
    def test_nodes_that_seem_dead(self):
        """Half of ten gateways is cut off, and each half takes the other for dead.

        Both go on serving. Each gateway took a fifth of what all may spend besides,
        and together they spent twice of it.
        """
        nodes = [10]
        budget = AttemptBudget(0.0, 10.0, 100.0, lambda: nodes[0])
        budget.take("s", 0.0)
        budget.note_request("s", 95.0)
        nodes[0] = 5
        taken = sum(budget.take("s", 100.0) for _ in range(50))
        assert 10 * taken <= 100

    def test_nodes_that_are_gone(self):
        """Gateways that stay away are counted no more, or callers are tried too little.

        Their part falls to those that are left after some windows.
        """
        nodes = [10]
        budget = AttemptBudget(0.0, 10.0, 100.0, lambda: nodes[0])
        budget.take("s", 0.0)
        nodes[0] = 5
        assert sum(budget.take("s", 61.0) for _ in range(50)) == 16


class TestSettingsAgain:
    async def test_shorter_drain(self, autojump_clock, tmp_path):
        """The settings name a shorter drain while the node runs.

        An entry that is missing is used for a part of it. The part was worked out at
        the start, and work went to servers that had ended by the new bound.
        """
        async with platform_system(plain=1) as fleet:
            node = fleet.nodes["n0"]
            reload_settings(node, settings_file(tmp_path, node, drain_ms=800))
            gone_s = trio.current_time()
            fleet.store.remove("servers", "p0")
            while trio.current_time() < gone_s + 3:
                await fleet.ask("/stock/x", method="GET")
                await trio.sleep(0.02)
            last_s = max(a.at_s for a in fleet.ledger.arrivals)
            assert last_s - gone_s < 0.8


def settings_file(folder, node, **bounds):
    """Write a node's settings with other bounds; return the path."""
    settings = node.settings
    path = folder / "node.json"
    value = {
        "node": settings.node,
        "zone": settings.zone,
        "region": settings.region,
        "listen": {
            "callers": str(settings.listen.callers),
            "readiness": str(settings.listen.readiness),
            "peers": str(settings.listen.peers),
        },
        "store": {"address": str(settings.store.address)},
        "bounds": bounds,
    }
    path.write_text(json.dumps(value))
    return path


def freeze(fleet, name):
    """Cut a node off from everything, without a sign to anybody."""
    host = fleet.nodes[name].settings.listen.callers.host
    others = {f"10.2.0.{number + 1}" for number in range(len(fleet.nodes))}
    for other in (others | {"10.0.0.1"}) - {host}:
        fleet.network.cut(host, other)
