"""Tests of servers that restart with the same id."""

from functools import partial

import pytest
import structlog
import trio

from rosemaryknot.process.gateway_servers import ServerTable
from rosemaryknot.process.hub_aggregates import HubAggregator
from rosemaryknot.standin.users.system import MODEL_HEADERS, PLAIN, platform_system
from rosemaryknot.values.gateway import ModelInput, PromptSegment, RoutedServer
from rosemaryknot.values.gateway_peers import HubReport, LoadReport
from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.nodes import Address

SIZE = ModelInput(1000, 50, (PromptSegment("aa", 400), PromptSegment("zz", 600)))
SOON_S = 0.2
REFUSED = 503
BAD_GATEWAY = 502


def state_of(fleet, server_id, node="n0"):
    return fleet.nodes[node].state.servers.by_id[server_id]


def entry_of(born, is_draining=False, port=80):
    return RoutedServer(
        ServerIncarnation("p0", born),
        PLAIN,
        "z0",
        Address("10.1.0.1", port),
        is_draining=is_draining,
    )


async def request_stock(fleet, request_id, node="n0"):
    return await fleet.ask("/stock/x", node, method="GET", request_id=request_id)


async def request_plan(fleet, request_id, node="n0"):
    return await fleet.ask("/plan/x", node, request_id=request_id, **MODEL_HEADERS)


class TestNewIncarnation:
    """The state of the previous incarnation is dropped immediately."""

    async def test_has_no_cached_prompts(self, autojump_clock):
        """A model server has cached prompts of two gateways and restarts.

        Its cache is empty. If its prefixes were still assumed to be cached, prompts
        would be routed to it and recomputed.
        """
        async with platform_system(nodes=2, models=1) as fleet:
            await request_plan(fleet, "r1")
            await trio.sleep(SOON_S)
            for node in fleet.nodes.values():
                table = node.state.servers
                assert table.cached.tokens(table.by_id["m0"], SIZE) == 400
            await fleet.restart_server("m0")
            await trio.sleep(SOON_S)
            for node in fleet.nodes.values():
                table = node.state.servers
                assert table.cached.tokens(table.by_id["m0"], SIZE) == 0

    async def test_has_no_pending_requests(self, autojump_clock):
        """A server restarts twice within a heartbeat, with a stream on it.

        The stream is aborted. At both gateways, the new incarnation has no requests and
        no pending prefill tokens, before and after the attempt at the old one ends.
        """
        async with platform_system(nodes=2, models=1) as fleet:
            fleet.servers["m0"].work_s = 0.5
            async with trio.open_nursery() as nursery:
                nursery.start_soon(request_plan, fleet, "r1")
                await trio.sleep(SOON_S)
                assert state_of(fleet, "m0", "n1").load()[0] == 1
                await fleet.restart_server("m0")
                await fleet.restart_server("m0")
                await trio.sleep(SOON_S)
                for name in fleet.nodes:
                    assert state_of(fleet, "m0", name).load() == (0, 0)
            assert state_of(fleet, "m0").load() == (0, 0)
            assert fleet.ledger.runs_of("r1") == 1

    async def test_has_no_failures(self, autojump_clock):
        """The only server of a service resets requests, then restarts.

        Its consecutive failures belong to the previous incarnation: the new one gets
        requests immediately and not after the backoff for the previous one.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.extend(["reset"] * 8)
            for number in range(4):
                await fleet.ask("/book/x", request_id=f"b{number}")
            assert state_of(fleet, "p0").failures == 4
            await fleet.restart_server("p0")
            await trio.sleep(SOON_S)
            state = state_of(fleet, "p0")
            assert (state.failures, state.failure_share, state.backoff_until_s) == (
                0,
                0.0,
                0.0,
            )
            assert (await request_stock(fleet, "s1")).status == 200

    async def test_accepts_requests_after_a_drain(self, autojump_clock):
        """A server announces a drain, crashes while draining and is ready again.

        The announced drain is never reset within one incarnation. If it applied to the
        next one, a working server would stay idle indefinitely.
        """
        async with platform_system(plain=1) as fleet:
            entry = fleet.servers["p0"].entry | {"state": "draining"}
            fleet.store.put("servers", "p0", entry)
            await trio.sleep(SOON_S)
            assert (await request_stock(fleet, "s1")).status == REFUSED
            await fleet.restart_server("p0")
            await trio.sleep(SOON_S)
            assert (await request_stock(fleet, "s2")).status == 200

    async def test_after_an_outage(self, autojump_clock):
        """A server restarts while the store is unreachable, and its entry expires.

        The list after the outage contains the new incarnation, which replaces the
        previous one.
        """
        async with platform_system(plain=1, nodes=2) as fleet:
            before = state_of(fleet, "p0")
            fleet.store.faults.begin("busy")
            await trio.sleep(1)
            fleet.store.remove("servers", "p0")
            await fleet.restart_server("p0", down_s=1.0)
            fleet.store.forget_history()
            fleet.store.faults.end()
            await trio.sleep(3)
            for name in fleet.nodes:
                assert state_of(fleet, "p0", name).incarnation.is_newer_than(
                    before.incarnation
                )
                assert (await request_stock(fleet, f"s-{name}", name)).status == 200

    async def test_gets_connections_of_its_own(self, autojump_clock):
        """A machine loses power without closing connections and its server restarts.

        The idle connections to it are dead. Requests that were sent on them waited for
        a response until they were retried at another server.
        """
        async with platform_system(plain=1) as fleet:
            await request_stock(fleet, "s1")
            pool = fleet.nodes["n0"].pool
            assert pool.idle[state_of(fleet, "p0").incarnation]
            fleet.network.silence("10.2.0.1", "10.1.0.1")
            entry = fleet.servers["p0"].entry
            entry = entry | {"born": entry["born"] + 1}
            fleet.store.put("servers", "p0", entry)
            await trio.sleep(0.02)
            response = await request_stock(fleet, "s2")
            assert (response.status, response.took_s < 0.1) == (200, True)
            await trio.sleep(1)
            assert set(pool.idle) == {state_of(fleet, "p0").incarnation}


class TestRequestsInFlight:
    """Requests in flight at a server that restarts."""

    async def test_may_have_run(self, autojump_clock):
        """The only server restarts with a request on it that must not run twice.

        The request may have run. It is not sent to the new incarnation, and the
        response to its caller does not allow it to be sent again.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].work_s = 1.0
            responses = []

            async def book():
                responses.append(await fleet.ask("/book/x", request_id="b1"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(book)
                await trio.sleep(SOON_S)
                await fleet.restart_server("p0")
            assert responses[0].status == BAD_GATEWAY
            assert fleet.ledger.runs_of("b1") == 1

    async def test_may_be_retried_at_the_next_incarnation(self, autojump_clock):
        """The only server restarts with a request on it that may run again.

        No attempt was made at the new incarnation, although one was made at its id.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].work_s = 1.0
            responses = []

            async def stock():
                responses.append(await request_stock(fleet, "s1"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stock)
                await trio.sleep(SOON_S)
                old = fleet.servers["p0"]
                fleet.store.put(
                    "servers", "p0", old.entry | {"born": old.entry["born"] + 1}
                )
                await trio.sleep(0.02)
                old.work_s = 0.02
                fleet.network.kill_streams("10.1.0.1")
            assert responses[0].status == 200

    async def test_stream_resumes_at_another_server(self, autojump_clock):
        async with platform_system(models=2) as fleet:
            for server in fleet.servers.values():
                server.work_s = 0.1
            responses = []

            async def send():
                responses.append(
                    await fleet.ask("/ask/x", request_id="a1", **MODEL_HEADERS)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await trio.sleep(0.35)
                [used] = [s for s in ("m0", "m1") if fleet.servers[s].arrivals]
                await fleet.restart_server(used)
            assert responses[0].is_whole
            assert responses[0].body.count(b"data:") == 10

    async def test_silent_stream_resumes_at_another_server(self, autojump_clock):
        """A machine loses power during a stream and its server restarts.

        The connection of the stream is not reset; the gateway waited on it until the
        caller disconnected.
        """
        async with platform_system(models=2) as fleet:
            for server in fleet.servers.values():
                server.work_s = 0.1
            responses = []

            async def send():
                options = MODEL_HEADERS | {"Rosemaryknot-Deadline-Ms": "9000"}
                responses.append(await fleet.ask("/ask/x", request_id="a1", **options))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await trio.sleep(0.35)
                [used] = [s for s in ("m0", "m1") if fleet.servers[s].arrivals]
                entry = fleet.servers[used].entry
                fleet.network.silence("10.2.0.1", entry["address"].split(":")[0])
                entry = entry | {"born": entry["born"] + 1}
                fleet.store.put("servers", used, entry)
            assert responses[0].is_whole
            assert responses[0].took_s < 2.5

    async def test_active_stream_continues(self, autojump_clock):
        """Another writer stores a later birth time in the entry of a busy server."""
        async with platform_system(models=1) as fleet:
            fleet.servers["m0"].work_s = 0.2
            responses = []

            async def plan():
                options = MODEL_HEADERS | {"Rosemaryknot-Deadline-Ms": "9000"}
                responses.append(await fleet.ask("/plan/x", request_id="a1", **options))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(plan)
                await trio.sleep(0.35)
                entry = fleet.servers["m0"].entry
                entry = entry | {"born": entry["born"] + 1}
                fleet.store.put("servers", "m0", entry)
            assert responses[0].is_whole

    async def test_failure_does_not_count_for_the_next_incarnation(
        self, autojump_clock
    ):
        """A request to an unresponsive server ends after the server has restarted.

        Its deadline passed without a byte, which counts as a failure of the incarnation
        that it was sent to and not of the next one.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].is_mute = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(partial(fleet.ask, "/book/x", request_id="b1"))
                await trio.sleep(SOON_S)
                old = state_of(fleet, "p0")
                entry = fleet.servers["p0"].entry
                entry = entry | {"born": entry["born"] + 1}
                fleet.store.put("servers", "p0", entry)
                fleet.servers["p0"].is_mute = False
            assert old.failures == 1
            assert state_of(fleet, "p0").failures == 0
            assert (old.load(), state_of(fleet, "p0").load()) == ((0, 0), (0, 0))


class TestLateMessages:
    """Late messages of the previous incarnation do not affect the new one."""

    async def test_entry(self, autojump_clock):
        """A write of the previous incarnation takes effect seconds after its end.

        If applied, it would restore the previous address and the draining state.
        """
        async with platform_system(plain=1) as fleet:
            old = fleet.servers["p0"].entry
            await trio.sleep(1)
            await fleet.restart_server("p0")
            await trio.sleep(SOON_S)
            late = old | {"state": "draining", "address": "10.1.0.9:8000"}
            for entry in (late, {k: v for k, v in late.items() if k != "born"}):
                fleet.store.put("servers", "p0", entry)
                await trio.sleep(SOON_S)
                assert not state_of(fleet, "p0").is_draining
                assert (await request_stock(fleet, "s1")).status == 200

    async def test_entry_in_a_list(self, autojump_clock):
        async with platform_system(plain=1) as fleet:
            old = fleet.servers["p0"].entry | {"state": "draining"}
            await trio.sleep(1)
            await fleet.restart_server("p0")
            await trio.sleep(SOON_S)
            fleet.store.put("servers", "p0", old)
            fleet.store.forget_history()
            await trio.sleep(6)
            state = state_of(fleet, "p0")
            assert not state.is_draining and not state.is_missing

    async def test_is_logged_once(self, autojump_clock):
        async with platform_system(plain=1) as fleet:
            old = fleet.servers["p0"].entry
            await trio.sleep(1)
            await fleet.restart_server("p0")
            await trio.sleep(SOON_S)
            with structlog.testing.capture_logs() as lines:
                fleet.store.put("servers", "p0", old)
                await trio.sleep(SOON_S)
                for _ in range(3):
                    await fleet.nodes["n0"].watchers["servers"].list_all()
            ignored = [x for x in lines if "left alone" in x["event"]]
            assert len(ignored) == 1
            assert "no newer incarnation" in ignored[0]["reason"]

    async def test_of_peers(self, autojump_clock):
        """A gateway still reports its load and prompts at the previous incarnation."""
        async with platform_system(models=1) as fleet:
            old = state_of(fleet, "m0").incarnation_key
            await trio.sleep(1)
            await fleet.restart_server("m0")
            await trio.sleep(SOON_S)
            exchange = fleet.nodes["n0"].exchange
            report = LoadReport("n9", {old: [7, 9000]}, [["aa", old]])
            await exchange.handle_load(report, None)
            table = fleet.nodes["n0"].state.servers
            state = state_of(fleet, "m0")
            assert state.load() == (0, 0)
            assert table.cached.tokens(state, SIZE) == 0
            current = LoadReport(
                "n9", {state.incarnation_key: [2, 30]}, [["aa", state.incarnation_key]]
            )
            await exchange.handle_load(current, None)
            assert state.load() == (2, 30)
            assert table.cached.tokens(state, SIZE) == 400

    def test_in_aggregates_of_hubs(self):
        """Loads reported at two incarnations of one server are not added."""
        book = HubAggregator("n0", 1)
        book.apply_report(HubReport("n1", 1, 1, 1, loads={"m0@5": [3, 100]}), 0.0)
        book.apply_report(HubReport("n2", 1, 1, 1, loads={"m0@8": [1, 20]}), 0.0)
        loads = book.local_aggregate(0.1, 0.0).loads
        assert loads == {"m0@5": [3, 100], "m0@8": [1, 20]}

    async def test_after_the_end(self, autojump_clock):
        """A late write takes effect after the new incarnation was removed too."""
        async with platform_system(plain=2) as fleet:
            old = fleet.servers["p0"].entry
            await trio.sleep(1)
            await fleet.restart_server("p0")
            await trio.sleep(SOON_S)
            fleet.store.remove("servers", "p0")
            await trio.sleep(4)
            assert "p0" not in fleet.nodes["n0"].state.servers.by_id
            fleet.store.put("servers", "p0", old)
            await trio.sleep(SOON_S)
            assert "p0" not in fleet.nodes["n0"].state.servers.by_id


class TestTable:
    """Entries that the table applies or ignores."""

    async def test_order_of_incarnations(self, autojump_clock):
        table = ServerTable()
        assert not table.put(entry_of(None))
        assert not table.put(entry_of(None, is_draining=True))
        assert table.by_id["p0"].is_draining
        # Restarted with software that reports a birth time.
        assert not table.put(entry_of(100))
        assert not table.by_id["p0"].is_draining
        assert table.put(entry_of(99, is_draining=True))
        assert table.put(entry_of(None, is_draining=True))
        assert not table.by_id["p0"].is_draining
        assert not table.put(entry_of(101))
        assert table.by_id["p0"].entry.born == 101

    async def test_same_incarnation_returns(self, autojump_clock):
        """An entry is missing for longer than its timeout and is written again.

        It is the same incarnation: its announced drain and cached prompts still apply.
        """
        table = ServerTable()
        table.put(entry_of(100, is_draining=True))
        state = table.by_id["p0"]
        table.remove("p0")
        assert "p0" not in table.by_id
        table.put(entry_of(100))
        assert table.by_id["p0"] is state and state.has_announced_drain

    @pytest.mark.parametrize("born", [None, 100])
    async def test_cached_prompts_survive_an_expired_entry(self, autojump_clock, born):
        """In an outage an entry is missing for longer than its timeout.

        The server was running all the time and has the prompts of its sessions cached.
        """
        table = ServerTable()
        table.put(entry_of(born))
        table.begin(table.by_id["p0"], SIZE, 0)
        table.end(table.by_id["p0"], 0)
        table.remove("p0")
        await trio.sleep(5)
        table.clean_up()
        assert "p0" not in table.by_id
        table.put(entry_of(born))
        assert table.cached.tokens(table.by_id["p0"], SIZE) == 400

    async def test_drain_without_a_birth_time(self, autojump_clock):
        """A server that reports no birth time drains and then returns with its id.

        Whether it has restarted is unknown; it gets requests, as with older software.
        """
        table = ServerTable()
        table.put(entry_of(None, is_draining=True))
        table.remove("p0")
        table.put(entry_of(None))
        assert not table.by_id["p0"].is_draining

    async def test_without_birth_times(self, autojump_clock):
        """Older software reports no birth time; all its entries are one incarnation."""
        async with platform_system(plain=0) as fleet:
            await fleet.add_server("p0", PLAIN, born=None)
            await trio.sleep(SOON_S)
            state = state_of(fleet, "p0")
            await fleet.restart_server("p0")
            await trio.sleep(SOON_S)
            assert state_of(fleet, "p0") is state
            assert (await request_stock(fleet, "s1")).status == 200


class TestLogs:
    async def test_failed_request_logs_the_incarnation(
        self, autojump_clock, info_lines
    ):
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("reset")
            await fleet.ask("/book/x", request_id="b1")
            born = fleet.servers["p0"].entry["born"]
            [refused] = [x for x in info_lines if x["event"] == "refused"]
            assert (refused["request"], refused["server_born"]) == ("b1", born)
            assert refused["server_known_s"] >= refused["server_entry_s"] > 0
            assert refused["server_failures"] == 0
            [failed] = [x for x in info_lines if x["event"] == "server p0 failed"]
            assert failed["born"] == born
