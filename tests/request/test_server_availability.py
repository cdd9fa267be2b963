"""Tests of servers of the own interface that state drains and ask for pauses."""

import math

import pytest
import trio
from tests.process.entry_fleet import booking, chat, start_fleet

from rosemaryknot.process.server_pauses import MAX_PAUSES, ServerPauses
from rosemaryknot.standin.plain import PlainFault
from rosemaryknot.values.nodes import BackendServer

BOOK = "/services/dispatch-app/slots/7"
STOCK = "/services/dispatch-app/stock/7"
CHAT = "/v1/chat/completions"


def refuse(plain, count=1000):
    """Let a plain server turn requests away, and ask for a pause of a second."""
    plain.faults.append(PlainFault("refuse", count=count))


class TestDrains:
    """A server that states in any response that it drains gets no more requests."""

    async def test_plain_server(self, nursery, autojump_clock):
        fleet = await start_fleet(nursery)
        drained = fleet.plains["p1"]
        drained.drain_header.is_stated = True
        async with fleet.caller() as caller:
            for _ in range(20):
                assert (await caller.get(STOCK)).status_code == 200
        assert len(drained.rate_limit.arrivals) == 1

    async def test_engine(self, nursery, autojump_clock):
        fleet = await start_fleet(nursery)
        drained = fleet.engines["e1"]
        drained.drain_header.is_stated = True
        async with fleet.caller() as caller:
            for number in range(12):
                body = chat(5, text=f"question {number}")
                assert (await caller.post(CHAT, json=body)).status_code == 200
        assert len(drained.rate_limit.arrivals) <= 1


class TestPauses:
    """A server that asks for a pause gets nothing until its end."""

    async def test_other_server_serves(self, nursery, autojump_clock):
        fleet = await start_fleet(nursery)
        refuse(fleet.plains["p1"])
        started_s = trio.current_time()
        async with fleet.caller() as caller:
            for _ in range(40):
                assert (await caller.get(STOCK)).status_code == 200
        lasted_s = trio.current_time() - started_s
        arrivals = fleet.plains["p1"].rate_limit.arrivals
        assert 1 <= len(arrivals) <= 1 + math.ceil(lasted_s)

    async def test_all_servers(self, nursery, autojump_clock):
        """Callers are refused at once, or wait if the pause ends soon enough."""
        fleet = await start_fleet(nursery)
        for plain in fleet.plains.values():
            refuse(plain)
        started_s = trio.current_time()
        async with fleet.caller() as caller:
            answers = [
                await caller.get(STOCK, headers={"Rosemaryknot-Timeout": "2"})
                for _ in range(10)
            ]
        lasted_s = trio.current_time() - started_s
        assert 503 in {answer.status_code for answer in answers}
        for plain in fleet.plains.values():
            times = plain.rate_limit.arrivals
            gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
            assert all(gap >= 0.99 for gap in gaps)
            assert len(times) <= 2 + lasted_s

    async def test_booking_runs_after_the_pause(self, nursery, autojump_clock):
        fleet = await start_fleet(nursery)
        for plain in fleet.plains.values():
            refuse(plain, count=1)
        async with fleet.caller() as caller:
            for number in range(2):
                await caller.post(BOOK, headers=booking(f"first{number}", 1))
            answer = await caller.post(BOOK, headers=booking("b1", 1))
        assert answer.status_code == 200
        assert fleet.runs()["b1"] == 1

    async def test_engine_with_a_full_queue(self, nursery, autojump_clock):
        fleet = await start_fleet(nursery)
        full = fleet.engines["e1"]
        full.settings.max_waiting = 0
        started_s = trio.current_time()
        async with fleet.caller() as caller:
            for number in range(12):
                body = chat(5, text=f"question {number}")
                assert (await caller.post(CHAT, json=body)).status_code == 200
        lasted_s = trio.current_time() - started_s
        assert len(full.rate_limit.arrivals) <= 1 + math.ceil(lasted_s)


class TestPausesOfServers:
    @pytest.mark.parametrize("length_s", [0.0, -1.0])
    def test_no_pause(self, length_s):
        pauses = ServerPauses()
        pauses.record("i", length_s, "r")
        assert not pauses.by_instance

    async def test_bounded(self, autojump_clock):
        pauses = ServerPauses()
        for number in range(MAX_PAUSES + 10):
            pauses.record(f"i{number}", 1.0 + number, "r")
        assert len(pauses.by_instance) == MAX_PAUSES
        assert "i0" not in pauses.by_instance

    async def test_delay(self, autojump_clock):
        pauses = ServerPauses()
        servers = [
            BackendServer(name, "s", "z", "c", False, "10.0.0.1:1") for name in "ab"
        ]
        pauses.record("a", 3.0, "r")
        assert pauses.delay_s(servers) is None
        pauses.record("b", 2.0, "r")
        assert pauses.delay_s(servers) == 2.0
        assert pauses.delay_s([]) is None
