"""Tests of requests to plain services, in virtual time."""

import random

import pytest
import trio
from tests.process.entry_fleet import booking, start_fleet

from rosemaryknot.process.server_health import ServerHealth
from rosemaryknot.request.plain_route import PlainCandidate, choose_plain_server
from rosemaryknot.standin.plain import PlainFault
from rosemaryknot.values.nodes import BackendServer

BOOK = "/services/dispatch-app/slots/7"
STOCK = "/services/dispatch-app/stock/7"


def server(name, zone="waco-a"):
    return BackendServer(name, "dispatch-app", zone, "g1", True, f"{name}:1")


def fail_all(fleet, **fault):
    for plain in fleet.plains.values():
        plain.faults.append(PlainFault(**fault))


def total_runs(fleet):
    return sum(len(plain.runs) for plain in fleet.plains.values())


class TestAtMostOnce:
    async def test_connection_refused(self, nursery, autojump_clock):
        """A request to a stopped server that is still listed runs at another one.

        The connection is refused, so no byte was sent, and the booking runs once at the
        other server.
        """
        fleet = await start_fleet(nursery)
        fleet.plains["p1"].kill()
        fleet.network.kill_host(fleet.server_host("p1"))
        async with fleet.caller() as caller:
            for number in range(10):
                response = await caller.post(BOOK, headers=booking(f"b{number}", 1))
                assert response.status_code == 200
        assert fleet.runs() == {f"b{number}": 1 for number in range(10)}

    async def test_all_refused(self, nursery, autojump_clock):
        """If no server is reachable, the outcome is "not run"; a retry can run."""
        fleet = await start_fleet(nursery)
        hosts = {name: fleet.server_host(name) for name in fleet.plains}
        for host in hosts.values():
            fleet.network.cut("10.0.3.1", host)
        async with fleet.caller() as caller:
            refused = await caller.post(BOOK, headers=booking("b1", 1))
            assert refused.status_code == 503
            assert refused.json()["outcome"] == "not_run"
            assert int(refused.headers["Retry-After"]) >= 1
            for host in hosts.values():
                fleet.network.heal("10.0.3.1", host)
            response = await caller.post(BOOK, headers=booking("b1", 2))
        assert response.status_code == 200
        assert fleet.runs() == {"b1": 1}

    @pytest.mark.parametrize(
        ("fault", "runs"),
        [("die_before", 0), ("die_after", 1), ("lose_answer", 1), ("silent_after", 1)],
    )
    async def test_broken_after_send(self, nursery, autojump_clock, fault, runs):
        """A booking whose connection fails after it was sent must not run again.

        It is not known whether it ran: the caller gets "unknown", the booking is not
        sent to another server, and a repeat does not run it either.
        """
        fleet = await start_fleet(nursery)
        fail_all(fleet, fault=fault)
        async with fleet.caller() as caller:
            response = await caller.post(BOOK, headers=booking("b1", 1))
            assert response.status_code == 504
            assert response.json()["outcome"] == "unknown"
            repeat = await caller.post(BOOK, headers=booking("b1", 2))
            assert repeat.json()["outcome"] == "unknown"
        assert total_runs(fleet) == runs

    async def test_draining_server_refuses(self, nursery, autojump_clock):
        """A booking that a draining server refuses runs at another server.

        The refusal states that nothing ran. The server is marked as draining, and the
        mark is sent to the agent.
        """
        fleet = await start_fleet(nursery)
        fleet.plains["p1"].leaving = True
        entry = fleet.entries[0]
        async with fleet.caller() as caller:
            for number in range(10):
                response = await caller.post(BOOK, headers=booking(f"b{number}", 1))
                assert response.status_code == 200
        assert [s.instance for s in entry.servers.servers_of("dispatch-app")] == ["p2"]
        await trio.sleep(0.1)
        assert [mark.instance for mark in fleet.agents[0].marks] == ["p1"]

    async def test_caller_disconnects(self, nursery, autojump_clock):
        """The caller disconnects while its booking runs; a repeat gets the response."""
        fleet = await start_fleet(nursery)
        fail_all(fleet, fault="late", late_s=2.0)
        async with fleet.caller() as caller:
            with trio.move_on_after(1.0):
                await caller.post(BOOK, headers=booking("b1", 1))
            await trio.sleep(2.0)
            response = await caller.post(BOOK, headers=booking("b1", 2))
        assert response.status_code == 200
        assert fleet.runs() == {"b1": 1}


class TestIdempotent:
    @pytest.mark.parametrize("fault", ["refuse", "lose_answer", "die_before"])
    async def test_retries_on_another_server(self, nursery, autojump_clock, fault):
        """An idempotent call that fails at one server succeeds at another one."""
        fleet = await start_fleet(nursery)
        fleet.plains["p1"].faults.append(PlainFault(fault, count=1000))
        async with fleet.caller() as caller:
            for _ in range(6):
                assert (await caller.get(STOCK)).status_code == 200

    async def test_each_server_is_tried_once(self, nursery, autojump_clock):
        fleet = await start_fleet(nursery)
        fail_all(fleet, fault="refuse", count=1000)
        async with fleet.caller() as caller:
            response = await caller.get(STOCK)
        assert response.status_code == 503
        left = [plain.faults[0].count for plain in fleet.plains.values()]
        assert left == [999, 999]

    async def test_retries_have_a_budget(self, nursery, autojump_clock):
        """Retries are limited when the whole service fails.

        Unlimited retries would double the load and prevent a recovery. After the budget
        is used up, each call is tried once.
        """
        fleet = await start_fleet(nursery)
        fail_all(fleet, fault="refuse", count=1000)
        async with fleet.caller() as caller:
            for _ in range(50):
                await caller.get(STOCK)
        tries = sum(1000 - plain.faults[0].count for plain in fleet.plains.values())
        assert 50 < tries <= 60

    async def test_silent_server(self, nursery, autojump_clock):
        """A server that accepts calls and never responds is ejected.

        The other server responds within the deadline, and the silent one is ejected
        after three such calls.
        """
        fleet = await start_fleet(nursery)
        silent = PlainFault("silent_before", count=1000)
        fleet.plains["p1"].faults.append(silent)
        async with fleet.caller() as caller:
            for _ in range(20):
                assert (await caller.get(STOCK)).status_code == 200
        assert 1000 - silent.count <= 4

    async def test_deadline(self, nursery, autojump_clock):
        fleet = await start_fleet(nursery)
        fail_all(fleet, fault="silent_before")
        started_s = trio.current_time()
        async with fleet.caller() as caller:
            response = await caller.get(STOCK, headers={"Rosemaryknot-Deadline": "0.5"})
        assert trio.current_time() - started_s == pytest.approx(0.5, abs=0.1)
        assert response.json()["outcome"] == "unknown"


class TestServerHealth:
    async def test_ejects_and_readmits(self, autojump_clock):
        health, servers = ServerHealth(), [server("a"), server("b"), server("c")]
        for _ in range(3):
            health.record_failure("a")
        assert [s.instance for s in health.usable(servers)] == ["b", "c"]
        await trio.sleep(5.0)
        assert len(health.usable(servers)) == 3

    async def test_min_usable_servers(self, autojump_clock):
        """If all servers fail, the half that was ejected first stays in use."""
        health, servers = ServerHealth(), [server(name) for name in "abcd"]
        for name in "abcd":
            for _ in range(3):
                health.record_failure(name)
            await trio.sleep(0.1)
        assert [s.instance for s in health.usable(servers)] == ["a", "b"]


class TestChoosePlainServer:
    def test_prefers_own_zone_until_it_queues(self):
        near, far = server("near"), server("far", zone="waco-b")
        chosen = [
            choose_plain_server(
                [PlainCandidate(near, queue), PlainCandidate(far, 0)],
                "waco-a",
                random.Random(1),
            ).server.instance
            for queue in (0, 1, 3)
        ]
        assert chosen == ["near", "near", "far"]
