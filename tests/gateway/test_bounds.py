"""Tests of promises that hold also where something takes longer than usual."""

import h11
import pytest
import trio

from rosemaryknot.connection.memory_network import MemoryStream
from rosemaryknot.process.logs import FLUSH_S
from rosemaryknot.standin.users.system import (
    CALLERS,
    HOST,
    KEY,
    document,
    platform_system,
)

NODE = "10.2.0.1"
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


def read_slowly(monkeypatch, write_s):
    """Let each write from the first node to its callers take a time."""

    async def send_all(stream, data):
        if (stream.near, stream.far) == (NODE, CALLERS):
            await trio.sleep(write_s)
        await send_at_once(stream, data)

    def send_now(stream, data):
        if (stream.near, stream.far) == (NODE, CALLERS):
            return 0
        return send_what_fits(stream, data)

    send_at_once = MemoryStream.send_all
    send_what_fits = MemoryStream.send_now
    monkeypatch.setattr(MemoryStream, "send_all", send_all)
    monkeypatch.setattr(MemoryStream, "send_now", send_now)


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


def freeze(fleet, name):
    """Cut a node off from everything, without a sign to anybody."""
    host = fleet.nodes[name].settings.listen.callers.host
    others = {f"10.2.0.{number + 1}" for number in range(len(fleet.nodes))}
    for other in (others | {"10.0.0.1"}) - {host}:
        fleet.network.cut(host, other)
