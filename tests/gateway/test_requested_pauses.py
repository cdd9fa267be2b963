"""Tests of servers that turn requests away and ask for a pause."""

from collections import Counter

import pytest
import trio
from tests.gateway.availability_load import OK, REFUSED, AvailabilityLoad

from rosemaryknot.standin.users.availability import (
    DrainStatement,
    PauseRequest,
    SentRequest,
    late_requests,
    requests_in_pauses,
)
from rosemaryknot.standin.users.system import PLAIN, document, platform_system, route

MODELS = ("m0", "m1", "m2", "m3")
PLAIN_SERVERS = ("p0", "p1", "p2")
SERVICES = [("/ask/x", MODELS), ("/stock/x", PLAIN_SERVERS), ("/book/x", PLAIN_SERVERS)]
# A request that is refused and not held back.
SOON_S = 0.1


def turn_away(fleet, names, retry_after="3"):
    for name in names:
        fleet.servers[name].retry_after = retry_after
        fleet.servers[name].is_turning_away = True


def accept(fleet, names):
    for name in names:
        fleet.servers[name].is_turning_away = False


async def run_paused(fleet, names, path, retry_after="3", away_s=8.0, for_s=8.0):
    """Run a load during which servers turn requests away; return it and when."""
    load = AvailabilityLoad(fleet)
    await load.run(1.0, path)
    turn_away(fleet, names, retry_after)
    started_s = trio.current_time()

    async def end():
        await trio.sleep(away_s)
        accept(fleet, names)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(end)
        await load.run(for_s, path)
    return load, started_s


class TestPauses:
    """A server that asks for a pause gets nothing of the node until its end."""

    @pytest.mark.parametrize(
        ("path", "servers"),
        [("/ask/x", ("m0", "m1", "m2", "m3")), ("/stock/x", ("p0", "p1", "p2"))],
    )
    async def test_all_servers_ask_for_a_pause(self, autojump_clock, path, servers):
        async with platform_system(nodes=6, plain=3, models=4) as fleet:
            load = AvailabilityLoad(fleet)
            await load.run(1.0, path)
            for name in servers:
                fleet.servers[name].retry_after = "3"
                fleet.servers[name].is_turning_away = True
            await load.run(8.0, path)
            assert load.in_pauses() == []
            assert trio.current_time() > 8.0

    @pytest.mark.parametrize(("path", "servers"), SERVICES)
    async def test_others_serve(self, autojump_clock, path, servers):
        async with platform_system(nodes=6, plain=3, models=4) as fleet:
            load, started_s = await run_paused(fleet, servers[:1], path)
            assert load.in_pauses() == []
            statuses = load.statuses(started_s)
            # Requests that may run once are refused by the servers that are paused.
            assert statuses.count(OK) >= len(statuses) - 24
            if not path.startswith("/book"):
                assert statuses.count(OK) == len(statuses)

    @pytest.mark.parametrize("retry_after", ["4", "1.5"])
    async def test_short_overload(self, autojump_clock, retry_after):
        """All servers turn requests away for half a second only."""
        async with platform_system(nodes=6, models=4) as fleet:
            load, started_s = await run_paused(
                fleet, MODELS, "/ask/x", retry_after, away_s=0.5, for_s=8.0
            )
            assert load.in_pauses() == []
            late = load.statuses(started_s + float(retry_after) + 1.5)
            assert late.count(OK) == len(late)

    async def test_shorter_pause_ends_nothing(self, autojump_clock):
        """Nor does a response to a request that the server ran before."""
        async with platform_system(nodes=1, plain=1, models=1) as fleet:
            server = fleet.servers["m0"]
            server.work_s = 0.1
            load = AvailabilityLoad(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.ask, "/plan/x", "n0")
                await trio.sleep(0.05)
                turn_away(fleet, ["m0"], "3")
                nursery.start_soon(load.ask, "/plan/x", "n0")
                nursery.start_soon(load.ask, "/plan/x", "n0")
                await trio.sleep(0.01)
                server.retry_after = "0.2"
            accept(fleet, ["m0"])
            asked_s = trio.current_time()
            assert asked_s < load.asked[0].sent_s + 2.0
            for _ in range(5):
                await load.ask("/plan/x", "n0")
            assert load.statuses(asked_s) == [REFUSED] * 5
            assert load.reached("m0", asked_s) == []

    @pytest.mark.parametrize(
        ("retry_after", "is_paused"),
        [
            ("3", True),
            ("0.4", True),
            ("86400", True),
            ("1000000000", True),
            ("0", False),
            ("-1", False),
            ("nan", False),
            ("inf", False),
            ("1e300", False),
            ("", False),
            ("soon", False),
        ],
    )
    async def test_values(self, autojump_clock, retry_after, is_paused):
        async with platform_system(nodes=1, plain=1) as fleet:
            turn_away(fleet, ["p0"], retry_after)
            load = AvailabilityLoad(fleet)
            await load.ask("/book/x", "n0")
            state = fleet.nodes["n0"].state.servers.by_id["p0"]
            assert state.pause.is_active(trio.current_time()) is is_paused
            assert load.statuses() == [REFUSED]

    async def test_date(self, autojump_clock):
        async with platform_system(nodes=1, plain=1) as fleet:
            headers = {
                "Date": "Thu, 01 Jan 1970 00:00:04 GMT",
                "Retry-After": "Thu, 01 Jan 1970 00:00:09 GMT",
                "Rosemaryknot-Not-Executed": "1",
            }

            async def answer(arrival, wire):
                await wire.answer(REFUSED, headers)

            fleet.servers["p0"].run = answer
            load = AvailabilityLoad(fleet)
            asked = await load.ask("/book/x", "n0")
            assert 4.9 < float(asked.answer.headers["retry-after"]) < 6.0

    @pytest.mark.parametrize(
        ("status", "headers"),
        [
            (429, {"Rosemaryknot-Not-Executed": "1"}),
            (503, {}),
            (421, {"Rosemaryknot-Not-Executed": "1"}),
            (500, {"Rosemaryknot-Instance-Signature": "p0.sig"}),
            (200, {"Rosemaryknot-Instance-Signature": "p0.sig"}),
        ],
    )
    async def test_other_responses_ask_for_none(self, autojump_clock, status, headers):
        """Only a 503 of the server itself does; a 429 concerns the one request."""
        async with platform_system(nodes=1, plain=1) as fleet:

            async def answer(arrival, wire):
                await wire.answer(status, headers | {"Retry-After": "3"})

            fleet.servers["p0"].run = answer
            load = AvailabilityLoad(fleet)
            await load.ask("/book/x", "n0")
            state = fleet.nodes["n0"].state.servers.by_id["p0"]
            assert not state.pause.is_active(trio.current_time())

    async def test_address_of_a_paused_server_is_used_by_another(self, autojump_clock):
        """The 421 to a request that was under way still removes the server."""
        async with platform_system(nodes=1, plain=1) as fleet:
            node = fleet.nodes["n0"]
            state = node.state.servers.by_id["p0"]

            async def answer(arrival, wire):
                node.availability.record_pause(state, 3.0, "")
                await wire.answer(421, {"Rosemaryknot-Instance-Id": "other"})

            fleet.servers["p0"].run = answer
            await AvailabilityLoad(fleet).ask("/book/x", "n0")
            assert state.is_removed

    async def test_next_incarnation_is_used(self, autojump_clock):
        async with platform_system(nodes=1, plain=1) as fleet:
            turn_away(fleet, ["p0"], "86400")
            load = AvailabilityLoad(fleet)
            await load.ask("/book/x", "n0")
            await fleet.restart_server("p0")
            await trio.sleep(1.0)
            asked = await load.ask("/book/x", "n0")
            assert asked.answer.status == OK


class TestPaths:
    """A peer that relays a request is the node that the server asks for a pause."""

    async def test_peer_learns_of_the_pause(self, autojump_clock):
        async with platform_system(nodes=3, plain=1) as fleet:
            fleet.cut_off("n0", "refuse", ["p0"])
            turn_away(fleet, ["p0"], "3")
            load = AvailabilityLoad(fleet)
            await load.ask("/book/x", "n0")
            await trio.sleep(0.5)
            paused = [
                name
                for name, node in fleet.nodes.items()
                if node.state.servers.by_id["p0"].pause.is_active(trio.current_time())
            ]
            assert "n0" in paused
            assert len(paused) == 2

    async def test_peer_relays_no_request_in_its_own_pause(self, autojump_clock):
        async with platform_system(nodes=2, plain=1) as fleet:
            fleet.cut_off("n0", "refuse", ["p0"])
            turn_away(fleet, ["p0"], "3")
            load = AvailabilityLoad(fleet)
            await load.ask("/book/x", "n1")
            accept(fleet, ["p0"])
            reached_s = trio.current_time()
            asked = await load.ask("/book/x", "n0")
            assert asked.answer.status == REFUSED
            assert load.reached("p0", reached_s) == []


class TestWaiting:
    """Requests wait for the end of a pause if they have the time, or are refused."""

    @pytest.mark.parametrize(("path", "servers"), SERVICES)
    async def test_refused_at_once_with_the_time(self, autojump_clock, path, servers):
        async with platform_system(nodes=1, plain=3, models=4) as fleet:
            turn_away(fleet, servers, "3")
            load = AvailabilityLoad(fleet)
            for _ in range(12):
                await load.ask(path, "n0")
            accept(fleet, servers)
            asked = await load.ask(path, "n0")
            assert asked.answer.status == REFUSED
            assert asked.answer.took_s < SOON_S
            assert b"asked for a pause" in asked.answer.body
            assert 2.0 < float(asked.answer.headers["retry-after"]) < 3.9

    async def test_one_attempt_at_each_server_is_not_spent(self, autojump_clock):
        """A second attempt at servers that are paused would only use up the budget."""
        async with platform_system(nodes=1, plain=3) as fleet:
            turn_away(fleet, PLAIN_SERVERS, "3")
            load = AvailabilityLoad(fleet)
            for _ in range(10):
                await load.ask("/stock/x", "n0")
            assert len(fleet.ledger.arrivals) == 3

    async def test_waits_for_a_short_pause(self, autojump_clock):
        async with platform_system(nodes=1, plain=1) as fleet:
            turn_away(fleet, ["p0"], "0.3")
            load = AvailabilityLoad(fleet)
            await load.ask("/book/x", "n0")
            accept(fleet, ["p0"])
            asked = await load.ask("/book/x", "n0")
            assert asked.answer.status == OK
            assert 0.2 < asked.answer.took_s < 0.6

    async def test_new_server_ends_the_wait(self, autojump_clock):
        async with platform_system(nodes=1, plain=1) as fleet:
            turn_away(fleet, ["p0"], "0.5")
            load = AvailabilityLoad(fleet)
            await load.ask("/book/x", "n0")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.ask, "/book/x", "n0")
                await trio.sleep(0.1)
                service = fleet.servers["p0"].entry["service"]
                await fleet.add_server("new", service)
            asked = load.asked[-1]
            assert asked.answer.status == OK
            assert asked.answer.took_s < 0.25

    async def test_order_of_return(self, autojump_clock):
        """One request first, and more as the server responds: by priority, then age."""
        urgent = route("urgent", "/urgent/", "idempotent", PLAIN)
        later = route("stock", "/stock/", "idempotent", PLAIN, priority=5)
        configuration = document(routes=[urgent, later])
        async with platform_system(
            nodes=1, plain=1, configuration=configuration
        ) as fleet:
            turn_away(fleet, ["p0"], "0.4")
            load = AvailabilityLoad(fleet)
            await load.ask("/stock/x", "n0")
            accept(fleet, ["p0"])
            async with trio.open_nursery() as nursery:
                for path in ["/stock/x"] * 6 + ["/urgent/x"] * 6:
                    await trio.sleep(0.005)
                    nursery.start_soon(load.ask, path, "n0")
            assert load.statuses().count(OK) >= 12
            arrivals = fleet.ledger.arrivals[-12:]
            numbers = [*range(7, 13), *range(1, 7)]
            assert [a.id for a in arrivals] == [f"a{n}" for n in numbers]
            first_s = arrivals[0].timestamp_s
            assert arrivals[1].timestamp_s > first_s + 0.01


class TestReturn:
    """The nodes and requests that were turned away do not all come back at once."""

    async def test_nodes_are_spread(self, autojump_clock):
        async with platform_system(nodes=6, plain=1) as fleet:
            load = AvailabilityLoad(fleet)
            turn_away(fleet, ["p0"], "2")
            async with trio.open_nursery() as nursery:
                for node in fleet.nodes:
                    nursery.start_soon(load.ask, "/book/x", node)
            accept(fleet, ["p0"])
            ends = {
                round(node.state.servers.by_id["p0"].pause.until_s, 3)
                for node in fleet.nodes.values()
            }
            assert len(ends) == 6

    async def test_no_response_to_the_first_request(self, autojump_clock):
        """A request that gets no response holds the others back for a second only."""
        async with platform_system(nodes=1, plain=1) as fleet:
            turn_away(fleet, ["p0"], "0.2")
            load = AvailabilityLoad(fleet)
            await load.ask("/book/x", "n0")
            accept(fleet, ["p0"])
            await trio.sleep(0.3)
            fleet.servers["p0"].faults.append("mute")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.ask, "/book/x", "n0")
                await trio.sleep(1.2)
                asked = await load.ask("/book/x", "n0")
                assert asked.answer.status == OK
                nursery.cancel_scope.cancel()

    async def test_server_is_used_as_before(self, autojump_clock):
        async with platform_system(nodes=3, plain=3) as fleet:
            load, started_s = await run_paused(
                fleet, ["p0"], "/stock/x", "1", away_s=0.5, for_s=8.0
            )
            recent = load.reached("p0", started_s + 4.0)
            assert len(recent) > 20


class TestSending:
    """What counts is the moment at which a request is sent."""

    async def test_pause_begins_while_a_connection_opens(self, autojump_clock):
        async with platform_system(nodes=1, plain=2) as fleet:
            node = fleet.nodes["n0"]
            acquire = node.pool.acquire

            async def acquire_slowly(server, may_reuse):
                connection = await acquire(server, may_reuse)
                if server.id == "p0":
                    state = node.state.servers.by_id["p0"]
                    node.availability.record_pause(state, 5.0, "")
                return connection

            node.pool.acquire = acquire_slowly
            load = AvailabilityLoad(fleet)
            for _ in range(8):
                await load.ask("/book/x", "n0")
            assert load.statuses() == [OK] * 8
            assert load.reached("p0") == []
            assert node.state.servers.by_id["p0"].failures == 0

    async def test_permit_of_a_paused_server_is_not_lost(self, autojump_clock):
        async with platform_system(nodes=2, plain=1) as fleet:
            server = fleet.servers["p0"]
            server.limit = "2"
            load = AvailabilityLoad(fleet)
            await load.run(4.0, "/stock/x", 8.0)
            turn_away(fleet, ["p0"], "1")
            await load.run(0.5, "/stock/x", 8.0)
            accept(fleet, ["p0"])
            before = load.statuses().count(OK)
            await load.run(6.0, "/stock/x", 8.0)
            assert load.in_pauses() == []
            assert load.statuses().count(OK) - before > 0.5 * 2 * 5

    async def test_brittle_servers(self, autojump_clock):
        """Places of requests that are not sent are given back."""
        async with platform_system(nodes=3, plain=3) as fleet:
            for name in PLAIN_SERVERS:
                fleet.servers[name].brittle, fleet.servers[name].room = 4, 8
                fleet.servers[name].retry_after = "0.5"
            load = AvailabilityLoad(fleet)
            await load.run(6.0, "/stock/x", 60.0)
            statuses = Counter(load.statuses(3.0))
            assert load.in_pauses() == []
            assert statuses[OK] > 0.9 * statuses.total()


class TestChecks:
    """The counts of the stand-ins find what breaks the bounds."""

    ARRIVALS = {"s": [(1.0, "r1"), (1.6, "r2"), (2.0, "r3"), (3.9, "r4"), (4.1, "r5")]}

    @pytest.mark.parametrize(("length_s", "broken"), [(3.0, 3), (2.0, 0)])
    def test_requests_in_pauses(self, length_s, broken):
        pause = PauseRequest("s", "r1", 1.0, length_s)
        found = requests_in_pauses([pause], self.ARRIVALS, lambda request: "n")
        assert [count for _, _, count in found] == ([broken] if broken else [])
        assert not requests_in_pauses([pause], self.ARRIVALS, lambda request: request)

    def test_late_requests(self):
        statement = DrainStatement("s", "r1", 1.0)
        sent = {
            f"r{n + 1}": SentRequest("n", time_s, time_s + 0.1, True)
            for n, (time_s, _) in enumerate(self.ARRIVALS["s"])
        }
        found = late_requests([statement], self.ARRIVALS, sent, 2.0)
        assert [late.request for late in found] == ["r4", "r5"]
