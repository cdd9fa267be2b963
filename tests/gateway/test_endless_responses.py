"""Tests of servers that send bytes without end, in the place of a response or in it."""

import h11
import pytest
import trio
from tests.gateway.availability_load import OK, AvailabilityLoad

from rosemaryknot.request.held_responses import MAX_TOTAL_BYTES
from rosemaryknot.standin.users.endless_responses import ENDLESS_BODIES, ENDLESS_NAMES
from rosemaryknot.standin.users.system import PLAIN, platform_system

MEGABYTE = 1 << 20
# What a node may read, and so hold, of one such response whose caller reads nothing.
MAX_READ_BYTES = 8 * MEGABYTE
BAD_GATEWAY = 502
# A request that goes elsewhere or fails at once, and not at its deadline.
SOON_S = 0.5
NOT_IN_BODY = ("endless_status", "endless_header", "endless_interim", "endless_stray")


def large_response(size, framing, interval_s=0.0):
    """Return a stand-in's response with a large body."""

    async def respond(server, arrival, wire):
        arrival.has_run = True
        headers = server.headers(arrival)
        if framing == "length":
            headers["Content-Length"] = str(size)
        elif framing == "chunks":
            headers["Transfer-Encoding"] = "chunked"
        await wire.head(200, headers)
        for _ in range(size // MEGABYTE):
            data = b"x" * MEGABYTE
            await (wire.chunk(data) if framing == "chunks" else wire.send(data))
            await trio.sleep(interval_s)
        if framing == "chunks":
            await wire.last_chunk()
        elif framing == "close":
            wire.close()

    return respond


def respond_with(server, response):
    async def run(arrival, wire):
        await response(server, arrival, wire)

    server.run = run


class TestMemory:
    """A response without end takes a bounded part of a node's memory."""

    @pytest.mark.parametrize("fault", ENDLESS_NAMES)
    async def test_one_response(self, autojump_clock, fault):
        async with platform_system(nodes=1, plain=1) as fleet:
            server = fleet.servers["p0"]
            server.faults.append(fault)
            caller = await fleet.caller().open()
            await caller.send("/book/x")
            await trio.sleep(3.0)
            assert server.endless_bytes < MAX_READ_BYTES

    async def test_many_responses(self, autojump_clock):
        """Responses that are each small enough are too much together."""
        async with platform_system(nodes=1, plain=1) as fleet:
            node = fleet.nodes["n0"]
            held = node.gateway.components.held
            held.record_complete(PLAIN, 4 * MEGABYTE)
            server = fleet.servers["p0"]
            respond_with(server, large_response(6 * MEGABYTE, "length", 0.2))
            most = 0
            async with trio.open_nursery() as nursery:
                callers = [await fleet.caller().open() for _ in range(12)]
                for number, caller in enumerate(callers):
                    await caller.send("/book/x", request_id=f"r{number}")
                for _ in range(20):
                    await trio.sleep(0.1)
                    most = max(most, held.total)
                nursery.cancel_scope.cancel()
            assert most <= MAX_TOTAL_BYTES + 12 * MEGABYTE
            await trio.sleep(3.0)
            assert held.total == 0


class TestOutcome:
    """The request goes elsewhere at once, and the server counts as failed."""

    @pytest.mark.parametrize("fault", ENDLESS_NAMES)
    async def test_another_server_responds(self, autojump_clock, fault):
        async with platform_system(nodes=1, plain=2) as fleet:
            fleet.servers["p0"].faults.extend([fault] * 20)
            load = AvailabilityLoad(fleet)
            for _ in range(8):
                await load.ask("/stock/x", "n0")
            assert load.statuses() == [OK] * 8
            assert load.reached("p0")
            assert max(a.answer.took_s for a in load.asked) < SOON_S

    @pytest.mark.parametrize("fault", NOT_IN_BODY)
    async def test_request_that_may_run_once(self, autojump_clock, fault):
        async with platform_system(nodes=1, plain=1) as fleet:
            fleet.servers["p0"].faults.append(fault)
            load = AvailabilityLoad(fleet)
            asked = await load.ask("/book/x", "n0")
            assert asked.answer.status == BAD_GATEWAY
            assert asked.answer.took_s < SOON_S
            assert fleet.nodes["n0"].state.servers.by_id["p0"].failures == 1

    @pytest.mark.parametrize("fault", ENDLESS_BODIES)
    async def test_body_is_broken_off(self, autojump_clock, fault):
        """Its caller must not take it for complete."""
        async with platform_system(nodes=1, plain=1) as fleet:
            fleet.servers["p0"].faults.append(fault)
            load = AvailabilityLoad(fleet)
            asked = await load.ask("/book/x", "n0", version="1.0")
            assert not asked.answer.is_whole
            assert fleet.nodes["n0"].gateway.components.held.total == 0

    async def test_other_tasks_run(self, autojump_clock, monkeypatch):
        """Thousands of tiny chunks in one read do not hold the other requests back."""
        parsed = 0
        next_event = h11.Connection.next_event

        def count_events(connection):
            nonlocal parsed
            parsed += 1
            return next_event(connection)

        async def tiny_chunks(server, arrival, wire):
            chunked = {"Transfer-Encoding": "chunked"}
            await wire.head(200, server.headers(arrival) | chunked)
            await wire.send(b"1\r\nx\r\n" * 10000)
            await trio.sleep_forever()

        async with platform_system(nodes=1, plain=1) as fleet:
            respond_with(fleet.servers["p0"], tiny_chunks)
            caller = await fleet.caller().open()
            monkeypatch.setattr(h11.Connection, "next_event", count_events)
            await caller.send("/book/x")
            most = 0
            for _ in range(2000):
                before = parsed
                await trio.lowlevel.checkpoint()
                most = max(most, parsed - before)
            assert parsed > 5000
            assert most < 200


class TestSoundResponses:
    """Nothing sound is cut."""

    @pytest.mark.parametrize("framing", ["length", "chunks", "close"])
    @pytest.mark.parametrize("path", ["/stock/x", "/book/x"])
    @pytest.mark.parametrize("size", [MEGABYTE // 2, 3 * MEGABYTE, 12 * MEGABYTE])
    async def test_large_responses(self, autojump_clock, path, framing, size):
        async with platform_system(nodes=1, plain=2) as fleet:
            for server in fleet.servers.values():
                respond_with(server, large_response(max(size, MEGABYTE), framing))
            load = AvailabilityLoad(fleet)
            for _ in range(2):
                asked = await load.ask(path, "n0")
                assert asked.answer.status == OK
                assert asked.answer.is_whole
                assert len(asked.answer.body) == max(size, MEGABYTE)

    async def test_slow_response(self, autojump_clock):
        async with platform_system(nodes=1, plain=1) as fleet:
            response = large_response(4 * MEGABYTE, "length", 0.4)
            respond_with(fleet.servers["p0"], response)
            load = AvailabilityLoad(fleet)
            asked = await load.ask("/book/x", "n0")
            assert asked.answer.is_whole
            assert len(asked.answer.body) == 4 * MEGABYTE

    async def test_large_response_of_a_known_service_is_held(self, autojump_clock):
        """It can be replaced by another server's as long as it is held."""
        async with platform_system(nodes=1, plain=2) as fleet:
            for server in fleet.servers.values():
                respond_with(server, large_response(3 * MEGABYTE, "length"))
            load = AvailabilityLoad(fleet)
            await load.ask("/stock/x", "n0")
            arrivals = len(fleet.ledger.arrivals)
            await load.ask("/stock/x", "n0")
            assert len(fleet.ledger.arrivals) == arrivals + 1

    @pytest.mark.parametrize("status", [100, 102, 103])
    async def test_interim_responses(self, autojump_clock, status):
        async with platform_system(nodes=1, plain=1) as fleet:
            server = fleet.servers["p0"]

            async def run(arrival, wire):
                for _ in range(3):
                    await wire.send(b"HTTP/1.1 %d x\r\n\r\n" % status)
                await server.serve(arrival, wire)

            server.run = run
            load = AvailabilityLoad(fleet)
            for _ in range(3):
                asked = await load.ask("/book/x", "n0")
                assert asked.answer.status == OK
