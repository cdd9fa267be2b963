"""Tests of servers that state in their responses that they drain."""

import pytest
import trio
from tests.gateway.availability_load import OK, REFUSED, AvailabilityLoad

from rosemaryknot.standin.users.system import PLAIN, document, platform_system
from rosemaryknot.values.incarnation import ServerIncarnation

# Time after which all nodes know of a drain.
NOTICE_S = 1.0
BOOT_S = 4.0


def served_share(load, since_s):
    statuses = load.statuses(since_s)
    return sum(status == OK for status in statuses) / len(statuses)


async def write_entry(fleet, server, interval_s=1.0, **fields):
    """Write a server's entry again and again, as its heartbeat does."""
    while True:
        fleet.store.put("servers", server.id, server.entry | fields)
        await trio.sleep(interval_s)


async def run_drained(fleet, server, path, for_s=6.0, **options):
    """Run a load during which one server drains; return the load and when."""
    load = AvailabilityLoad(fleet, **options)
    await load.run(1.0, path)
    fleet.servers[server].draining = "1"
    drained_s = trio.current_time()
    await load.run(for_s, path)
    return load, drained_s


class TestStatements:
    """A server that states that it drains gets no requests, whatever its entry says."""

    @pytest.mark.parametrize(
        ("path", "server"),
        [("/ask/x", "m0"), ("/stock/x", "p0"), ("/book/x", "p0")],
    )
    async def test_no_requests_after_the_statement(self, autojump_clock, path, server):
        async with platform_system(nodes=6, plain=3, models=4) as fleet:
            load = AvailabilityLoad(fleet)
            await load.run(2.0, path)
            fleet.servers[server].draining = "1"
            drained_s = trio.current_time()
            await load.run(8.0, path)
            assert load.late() == []
            assert load.reached(server, drained_s + NOTICE_S) == []
            assert served_share(load, drained_s) == 1.0

    async def test_entry_stays_ready(self, autojump_clock):
        async with platform_system(nodes=6, plain=3) as fleet:
            server = fleet.servers["p0"]
            fleet.nursery.start_soon(write_entry, fleet, server)
            load, drained_s = await run_drained(fleet, "p0", "/stock/x")
            assert load.reached("p0", drained_s + NOTICE_S) == []

    @pytest.mark.parametrize("mode", ["silent", "busy", "reset"])
    async def test_store_is_away(self, autojump_clock, mode):
        async with platform_system(nodes=6, plain=3) as fleet:
            fleet.store.faults.begin(mode)
            load, drained_s = await run_drained(fleet, "p0", "/stock/x")
            fleet.store.faults.end()
            await load.run(4.0, "/stock/x")
            assert load.reached("p0", drained_s + NOTICE_S) == []

    async def test_entry_lapses_and_returns(self, autojump_clock):
        async with platform_system(nodes=6, plain=3) as fleet:
            load, drained_s = await run_drained(fleet, "p0", "/stock/x", 2.0)
            fleet.store.remove("servers", "p0")
            await load.run(2.5, "/stock/x")
            fleet.store.put("servers", "p0", fleet.servers["p0"].entry)
            await load.run(3.0, "/stock/x")
            assert load.reached("p0", drained_s + NOTICE_S) == []

    async def test_server_without_a_birth_time(self, autojump_clock):
        async with platform_system(nodes=6, plain=2) as fleet:
            server = await fleet.add_server("old", PLAIN, born=None)
            fleet.nursery.start_soon(write_entry, fleet, server)
            await trio.sleep(0.5)
            load, drained_s = await run_drained(fleet, "old", "/stock/x")
            assert load.reached("old", 0.0)
            assert load.reached("old", drained_s + NOTICE_S) == []

    @pytest.mark.parametrize("fault", ["error", "shed"])
    async def test_failures_state_it(self, autojump_clock, fault):
        """Its callers never get the responses with the statement."""
        async with platform_system(nodes=6, plain=3) as fleet:
            server = fleet.servers["p0"]
            server.faults.extend([fault] * 1000)
            load, drained_s = await run_drained(fleet, "p0", "/stock/x")
            assert load.reached("p0", drained_s)
            assert load.reached("p0", drained_s + NOTICE_S) == []

    async def test_head_of_a_stream_states_it(self, autojump_clock):
        """The stream goes on for longer than the server may get requests."""
        async with platform_system(nodes=2, models=2) as fleet:
            for server in fleet.servers.values():
                server.work_s = 0.4
            load = AvailabilityLoad(fleet)
            async with trio.open_nursery() as nursery:
                fleet.servers["m0"].draining = "1"
                nursery.start_soon(load.run, 3.0, "/plan/x", 4.0)
            assert load.reached("m0")
            assert load.reached("m0", load.reached("m0")[0] + NOTICE_S) == []

    async def test_skipped_response_states_it(self, autojump_clock):
        """A second response to an earlier request, where another one is expected."""
        async with platform_system(nodes=1, plain=2) as fleet:
            server = fleet.servers["p0"]
            earlier = {
                "Rosemaryknot-Attempt-Id": "earlier",
                "Rosemaryknot-Instance-Signature": "p0.sig",
                "Server-Leaving": "1",
            }

            async def serve_after_extra(arrival, wire):
                await wire.answer(OK, earlier, b"extra")
                await server.serve(arrival, wire)

            server.run = serve_after_extra
            load = AvailabilityLoad(fleet)
            for _ in range(10):
                await load.ask("/stock/x", "n0")
            assert load.statuses() == [OK] * 10
            assert len(load.reached("p0")) == 1

    @pytest.mark.parametrize("value", ["0", "yes", "11", "", "true"])
    async def test_other_values_state_nothing(self, autojump_clock, value):
        async with platform_system(nodes=3, plain=3) as fleet:
            load = AvailabilityLoad(fleet)
            fleet.servers["p0"].draining = value
            await load.run(3.0, "/stock/x")
            assert load.reached("p0", 2.5)

    @pytest.mark.parametrize("status", [200, 421])
    async def test_response_of_another_server_states_nothing(
        self, autojump_clock, status
    ):
        """Such a response has no signature, or refuses requests for the other id."""
        async with platform_system(nodes=2, plain=2) as fleet:

            async def answer_unsigned(arrival, wire):
                await wire.answer(status, {"Server-Leaving": "1"}, b"whose?")

            fleet.servers["p0"].run = answer_unsigned
            load = AvailabilityLoad(fleet)
            await load.run(1.0, "/stock/x", 5.0)
            states = [n.state.servers.by_id.get("p0") for n in fleet.nodes.values()]
            assert load.reached("p0")
            assert not any(s.has_announced_drain for s in states if s is not None)


class TestOtherNodes:
    """The other nodes learn of a drain that one of them has read in a response."""

    async def test_nodes_that_get_no_response(self, autojump_clock):
        async with platform_system(nodes=6, plain=3) as fleet:
            await run_drained(fleet, "p0", "/stock/x", 1.0, nodes=["n0"])
            load = AvailabilityLoad(fleet, nodes=["n1", "n2", "n3", "n4", "n5"])
            await load.run(2.0, "/stock/x")
            assert load.reached("p0", trio.current_time() - 2.0) == []

    async def test_paths_through_peers(self, autojump_clock):
        async with platform_system(nodes=6, plain=3) as fleet:
            for node in ("n0", "n1"):
                fleet.cut_off(node, "refuse", ["p0"])
            load, drained_s = await run_drained(fleet, "p0", "/stock/x")
            assert load.reached("p0", drained_s + NOTICE_S) == []
            assert served_share(load, drained_s) == 1.0

    async def test_node_that_joins(self, autojump_clock):
        async with platform_system(nodes=3, plain=3) as fleet:
            await run_drained(fleet, "p0", "/stock/x", 1.0)
            fleet.store.faults.begin("silent")
            fleet.kill("n2")
            await trio.sleep(1.0)
            fleet.store.faults.end()
            await fleet.add_node(2, is_first_start=False)
            await trio.sleep(1.0)
            started_s = trio.current_time()
            load = AvailabilityLoad(fleet, nodes=["n2"])
            await load.run(2.0, "/stock/x")
            assert load.reached("p0", started_s) == []
            assert served_share(load, started_s) == 1.0

    async def test_node_that_was_partitioned(self, autojump_clock):
        async with platform_system(nodes=3, plain=3) as fleet:
            host = fleet.nodes["n2"].settings.listen.callers.host
            others = [
                fleet.nodes[name].settings.listen.callers.host for name in ("n0", "n1")
            ]
            for other in others:
                fleet.network.cut(host, other)
            await trio.sleep(4.0)
            await run_drained(fleet, "p0", "/stock/x", 1.0, nodes=["n0"])
            for other in others:
                fleet.network.heal(host, other)
            await trio.sleep(4.0)
            table = fleet.nodes["n2"].state.servers
            assert table.by_id["p0"].has_announced_drain

    async def test_notice_precedes_the_entry(self, autojump_clock):
        async with platform_system(nodes=1, plain=2) as fleet:
            table = fleet.nodes["n0"].state.servers
            entry = fleet.servers["p0"].entry
            entry = entry | {"born": entry["born"] + 5}
            later = ServerIncarnation("p0", entry["born"]).to_text()
            assert not table.record_drain(later, "n1")
            assert not table.by_id["p0"].has_announced_drain
            fleet.store.put("servers", "p0", entry)
            await trio.sleep(0.5)
            assert table.by_id["p0"].has_announced_drain

    async def test_notice_of_an_ended_incarnation(self, autojump_clock):
        """A late notice must not take out a server that has started again."""
        async with platform_system(nodes=2, plain=2) as fleet:
            table = fleet.nodes["n0"].state.servers
            before = table.by_id["p0"].incarnation_key
            await fleet.restart_server("p0")
            await trio.sleep(1.0)
            assert not table.record_drain(before, "n1")
            assert not table.by_id["p0"].has_announced_drain

    async def test_next_incarnation_is_used(self, autojump_clock):
        async with platform_system(nodes=6, plain=3) as fleet:
            load, _ = await run_drained(fleet, "p0", "/stock/x", 2.0)
            await fleet.restart_server("p0", 1.0)
            restarted_s = trio.current_time()
            await load.run(3.0, "/stock/x")
            assert len(load.reached("p0", restarted_s + 1.0)) > 5


class TestSending:
    """What counts is the moment at which a request is sent."""

    async def test_statement_arrives_while_a_connection_opens(self, autojump_clock):
        async with platform_system(nodes=1, plain=2) as fleet:
            node = fleet.nodes["n0"]
            acquire = node.pool.acquire

            async def acquire_slowly(server, may_reuse):
                connection = await acquire(server, may_reuse)
                if server.id == "p0":
                    node.availability.record_drain(node.state.servers.by_id["p0"])
                return connection

            node.pool.acquire = acquire_slowly
            load = AvailabilityLoad(fleet)
            for _ in range(8):
                await load.ask("/book/x", "n0")
            assert load.statuses() == [OK] * 8
            assert load.reached("p0") == []
            assert node.state.servers.by_id["p0"].failures == 0


class TestEnds:
    """A draining server that ends has not crashed."""

    async def test_no_request_is_blamed(self, autojump_clock):
        async with platform_system(nodes=2, models=3) as fleet:
            for server in fleet.servers.values():
                server.work_s = 0.2
            load = AvailabilityLoad(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run, 3.0, "/ask/x", 10.0)
                await trio.sleep(1.0)
                for name in ("m0", "m1"):
                    fleet.servers[name].draining = "1"
                await trio.sleep(1.5)
                for name in ("m0", "m1"):
                    fleet.servers[name].end_process()
            for node in fleet.nodes.values():
                assert not node.crash_records.by_digest
                assert not node.crash_records.segments.by_digest


class TestAllDrain:
    """All servers of a service drain."""

    async def test_requests_are_refused_until_servers_have_started(
        self, autojump_clock
    ):
        """Streams go on, and callers are told when replacements may serve."""
        configuration = document()
        configuration["services"][0]["scaling"] = {
            "minReplicas": 1,
            "maxReplicas": 4,
            "bootS": BOOT_S,
            "zonePrices": {"z0": 1.0},
        }
        async with platform_system(
            nodes=3, models=3, configuration=configuration
        ) as fleet:
            load = AvailabilityLoad(fleet)
            for server in fleet.servers.values():
                server.work_s = 0.1
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run, 1.0, "/ask/x", 10.0)
                await trio.sleep(0.5)
                for name in ("m0", "m1", "m2"):
                    fleet.servers[name].draining = "1"
                drained_s = trio.current_time()
            await load.run(2.0, "/ask/x", 10.0)
            before = [a.answer for a in load.asked if a.sent_s < drained_s]
            assert all(answer.status == OK and answer.is_whole for answer in before)
            after = [a.answer for a in load.asked if a.sent_s > drained_s + NOTICE_S]
            assert {answer.status for answer in after} == {REFUSED}
            assert max(answer.took_s for answer in after) < 0.1
            delays = [float(answer.headers["retry-after"]) for answer in after]
            assert max(delays) > BOOT_S / 2
            assert max(delays) <= BOOT_S + 0.5
            for name in ("m0", "m1", "m2"):
                assert load.reached(name, drained_s + NOTICE_S) == []
