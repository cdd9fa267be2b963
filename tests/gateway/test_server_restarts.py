"""Tests of servers that start again under the id that they had."""

import os
from functools import partial

import pytest
import structlog
import trio

from rosemaryknot.process.gateway_servers import ServerTable
from rosemaryknot.process.hub_sums import HubBook
from rosemaryknot.process.logs import configure_logs
from rosemaryknot.standin.users.system import MODEL_HEADERS, PLAIN, platform_system
from rosemaryknot.values.gateway import ModelInput, PromptPart, RoutedServer
from rosemaryknot.values.gateway_peers import HubReport, LoadReport
from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.nodes import Address

SIZE = ModelInput(1000, 50, (PromptPart("aa", 400), PromptPart("zz", 600)))
SOON_S = 0.2
REFUSED = 503
BAD_GATEWAY = 502


def state_of(fleet, server_id, node="n0"):
    return fleet.nodes[node].state.servers.by_id[server_id]


def entry_of(born, is_leaving=False, port=80):
    return RoutedServer(
        ServerIncarnation("p0", born),
        PLAIN,
        "z0",
        Address("10.1.0.1", port),
        is_leaving=is_leaving,
    )


async def ask_stock(fleet, request_id, node="n0"):
    return await fleet.ask("/stock/x", node, method="GET", request_id=request_id)


async def ask_plan(fleet, request_id, node="n0"):
    return await fleet.ask("/plan/x", node, request_id=request_id, **MODEL_HEADERS)


class TestNewLife:
    """What was believed of the life before ends with it, at once."""

    async def test_keeps_no_prompts(self, autojump_clock):
        """A model server has read prompts of two gateways and starts again.

        It keeps nothing; believed to, it would draw prompts that it has to read anew.
        """
        async with platform_system(nodes=2, models=1) as fleet:
            await ask_plan(fleet, "r1")
            await trio.sleep(SOON_S)
            for node in fleet.nodes.values():
                table = node.state.servers
                assert table.kept.tokens(table.by_id["m0"], SIZE) == 400
            await fleet.restart_server("m0")
            await trio.sleep(SOON_S)
            for node in fleet.nodes.values():
                table = node.state.servers
                assert table.kept.tokens(table.by_id["m0"], SIZE) == 0

    async def test_owes_nothing(self, autojump_clock):
        """A server starts again twice within a heartbeat, with a stream on it.

        The stream breaks. The new life has no requests and no unread tokens, before
        and after the attempt at the old one has ended, at both gateways.
        """
        async with platform_system(nodes=2, models=1) as fleet:
            fleet.servers["m0"].work_s = 0.5
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask_plan, fleet, "r1")
                await trio.sleep(SOON_S)
                assert state_of(fleet, "m0", "n1").load()[0] == 1
                await fleet.restart_server("m0")
                await fleet.restart_server("m0")
                await trio.sleep(SOON_S)
                for name in fleet.nodes:
                    assert state_of(fleet, "m0", name).load() == (0, 0)
            assert state_of(fleet, "m0").load() == (0, 0)
            assert fleet.ledger.runs_of("r1") == 1

    async def test_is_sound(self, autojump_clock):
        """The only server of a service resets requests, then starts again.

        Its failures in a row belong to the life before: the new one gets requests at
        once, and not after the pause for the other.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.extend(["reset"] * 8)
            for number in range(4):
                await fleet.ask("/book/x", request_id=f"b{number}")
            assert state_of(fleet, "p0").failures == 4
            await fleet.restart_server("p0")
            await trio.sleep(SOON_S)
            state = state_of(fleet, "p0")
            assert (state.failures, state.failure_share, state.avoid_until_s) == (
                0,
                0.0,
                0.0,
            )
            assert (await ask_stock(fleet, "s1")).status == 200

    async def test_takes_work_though_the_last_one_left(self, autojump_clock):
        """A server says that it leaves, crashes in its drain and is ready again.

        The mark of leaving is never taken back in one life; for the next one it would
        leave a sound server idle for good.
        """
        async with platform_system(plain=1) as fleet:
            entry = fleet.servers["p0"].entry | {"state": "draining"}
            fleet.store.put("servers", "p0", entry)
            await trio.sleep(SOON_S)
            assert (await ask_stock(fleet, "s1")).status == REFUSED
            await fleet.restart_server("p0")
            await trio.sleep(SOON_S)
            assert (await ask_stock(fleet, "s2")).status == 200

    async def test_after_an_outage(self, autojump_clock):
        """A server starts again while the store is away, and its entry lapses.

        The list after the outage holds the new life, which replaces the old one.
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
                assert (await ask_stock(fleet, f"s-{name}", name)).status == 200

    async def test_gets_connections_of_its_own(self, autojump_clock):
        """A machine loses power without a sign and its server starts again.

        Connections that were kept to it lead nowhere. Requests that were sent on them
        waited for an answer until they were tried elsewhere.
        """
        async with platform_system(plain=1) as fleet:
            await ask_stock(fleet, "s1")
            pool = fleet.nodes["n0"].pool
            assert pool.idle[state_of(fleet, "p0").incarnation]
            fleet.network.silence("10.2.0.1", "10.1.0.1")
            entry = fleet.servers["p0"].entry
            entry = entry | {"born": entry["born"] + 1}
            fleet.store.put("servers", "p0", entry)
            await trio.sleep(0.02)
            answer = await ask_stock(fleet, "s2")
            assert (answer.status, answer.took_s < 0.1) == (200, True)
            await trio.sleep(1)
            assert set(pool.idle) == {state_of(fleet, "p0").incarnation}


class TestUnderWay:
    """Requests at a server that starts again."""

    async def test_may_have_run(self, autojump_clock):
        """The only server starts again with a request on it that must not run twice.

        The request may have run. It is not sent to the new life, and its caller is
        told nothing that would let it be sent again.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].work_s = 1.0
            answers = []

            async def book():
                answers.append(await fleet.ask("/book/x", request_id="b1"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(book)
                await trio.sleep(SOON_S)
                await fleet.restart_server("p0")
            assert answers[0].status == BAD_GATEWAY
            assert fleet.ledger.runs_of("b1") == 1

    async def test_may_be_tried_at_the_next_life(self, autojump_clock):
        """The only server starts again with a request on it that may run again.

        The new life was not asked yet, though its id was.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].work_s = 1.0
            answers = []

            async def stock():
                answers.append(await ask_stock(fleet, "s1"))

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
            assert answers[0].status == 200

    async def test_stream_goes_on_elsewhere(self, autojump_clock):
        async with platform_system(models=2) as fleet:
            for server in fleet.servers.values():
                server.work_s = 0.1
            answers = []

            async def ask():
                answers.append(
                    await fleet.ask("/ask/x", request_id="a1", **MODEL_HEADERS)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.35)
                [used] = [s for s in ("m0", "m1") if fleet.servers[s].arrivals]
                await fleet.restart_server(used)
            assert answers[0].is_whole
            assert answers[0].body.count(b"data:") == 10

    async def test_silent_stream_goes_on_elsewhere(self, autojump_clock):
        """A machine loses power in a stream and its server starts again.

        Nothing resets the stream's connection; it was waited on until the caller left.
        """
        async with platform_system(models=2) as fleet:
            for server in fleet.servers.values():
                server.work_s = 0.1
            answers = []

            async def ask():
                options = MODEL_HEADERS | {"Rosemaryknot-Deadline-Ms": "9000"}
                answers.append(await fleet.ask("/ask/x", request_id="a1", **options))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.35)
                [used] = [s for s in ("m0", "m1") if fleet.servers[s].arrivals]
                entry = fleet.servers[used].entry
                fleet.network.silence("10.2.0.1", entry["address"].split(":")[0])
                entry = entry | {"born": entry["born"] + 1}
                fleet.store.put("servers", used, entry)
            assert answers[0].is_whole
            assert answers[0].took_s < 2.5

    async def test_stream_that_flows_is_left_alone(self, autojump_clock):
        """Another writer writes a later birth over the entry of a busy server."""
        async with platform_system(models=1) as fleet:
            fleet.servers["m0"].work_s = 0.2
            answers = []

            async def plan():
                options = MODEL_HEADERS | {"Rosemaryknot-Deadline-Ms": "9000"}
                answers.append(await fleet.ask("/plan/x", request_id="a1", **options))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(plan)
                await trio.sleep(0.35)
                entry = fleet.servers["m0"].entry
                entry = entry | {"born": entry["born"] + 1}
                fleet.store.put("servers", "m0", entry)
            assert answers[0].is_whole

    async def test_tells_nothing_of_the_next_life(self, autojump_clock):
        """A request at a mute server ends after the server has started again.

        Its time passed without a byte, which speaks against the life that it was
        sent to and not against the next one.
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


class TestLateWord:
    """A word of the life before changes nothing for the new one."""

    async def test_entry(self, autojump_clock):
        """A write of the old life, sent before its end, is carried out seconds later.

        It would bring the old address and the mark of leaving back.
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
                assert not state_of(fleet, "p0").is_leaving
                assert (await ask_stock(fleet, "s1")).status == 200

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
            assert not state.is_leaving and not state.is_missing

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
                    await fleet.nodes["n0"].followers["servers"].list_all()
            left_alone = [x for x in lines if "left alone" in x["event"]]
            assert len(left_alone) == 1
            assert "of no newer life" in left_alone[0]["reason"]

    async def test_of_peers(self, autojump_clock):
        """A gateway still tells its load and its prompts at the old life."""
        async with platform_system(models=1) as fleet:
            old = state_of(fleet, "m0").told_as
            await trio.sleep(1)
            await fleet.restart_server("m0")
            await trio.sleep(SOON_S)
            exchange = fleet.nodes["n0"].exchange
            report = LoadReport("n9", {old: [7, 9000]}, [["aa", old]])
            await exchange.handle_load(report, None)
            table = fleet.nodes["n0"].state.servers
            state = state_of(fleet, "m0")
            assert state.load() == (0, 0)
            assert table.kept.tokens(state, SIZE) == 0
            told = LoadReport("n9", {state.told_as: [2, 30]}, [["aa", state.told_as]])
            await exchange.handle_load(told, None)
            assert state.load() == (2, 30)
            assert table.kept.tokens(state, SIZE) == 400

    def test_in_sums_of_hubs(self):
        """Two gateways report loads at two lives of one server, which are not added."""
        book = HubBook("n0", 1)
        book.take_report(HubReport("n1", 1, 1, 1, loads={"m0@5": [3, 100]}), 0.0)
        book.take_report(HubReport("n2", 1, 1, 1, loads={"m0@8": [1, 20]}), 0.0)
        loads = book.here_sum(0.1, 0.0).loads
        assert loads == {"m0@5": [3, 100], "m0@8": [1, 20]}

    async def test_after_the_end(self, autojump_clock):
        """The new life has left too when a late write of the old one is carried out."""
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
    """What the table takes over, entry by entry."""

    async def test_order_of_lives(self, autojump_clock):
        table = ServerTable()
        assert not table.put(entry_of(None))
        assert not table.put(entry_of(None, is_leaving=True))
        assert table.by_id["p0"].is_leaving
        # Software that tells its birth, started again.
        assert not table.put(entry_of(100))
        assert not table.by_id["p0"].is_leaving
        assert table.put(entry_of(99, is_leaving=True))
        assert table.put(entry_of(None, is_leaving=True))
        assert not table.by_id["p0"].is_leaving
        assert not table.put(entry_of(101))
        assert table.by_id["p0"].entry.born == 101

    async def test_same_life_comes_back(self, autojump_clock):
        """An entry lapses for longer than it is waited for, and is written again.

        It is the same life: what it said and what it keeps holds.
        """
        table = ServerTable()
        table.put(entry_of(100, is_leaving=True))
        state = table.by_id["p0"]
        table.remove("p0")
        assert "p0" not in table.by_id
        table.put(entry_of(100))
        assert table.by_id["p0"] is state and state.has_drained

    @pytest.mark.parametrize("born", [None, 100])
    async def test_keeps_its_prompts_over_a_lapse(self, autojump_clock, born):
        """An outage takes an entry away for longer than it is waited for.

        The server lived all the time, and its sessions' prompts are read there.
        """
        table = ServerTable()
        table.put(entry_of(born))
        table.begin(table.by_id["p0"], SIZE, 0)
        table.end(table.by_id["p0"], 0)
        table.remove("p0")
        await trio.sleep(5)
        table.tidy()
        assert "p0" not in table.by_id
        table.put(entry_of(born))
        assert table.kept.tokens(table.by_id["p0"], SIZE) == 400

    async def test_leaving_without_a_number(self, autojump_clock):
        """A server that tells no birth has left, and is there again under its id.

        It cannot be told whether it started again; as before, it gets work.
        """
        table = ServerTable()
        table.put(entry_of(None, is_leaving=True))
        table.remove("p0")
        table.put(entry_of(None))
        assert not table.by_id["p0"].is_leaving

    async def test_without_numbers(self, autojump_clock):
        """Older software tells no birth; all that its server writes is of one life."""
        async with platform_system(plain=0) as fleet:
            await fleet.add_server("p0", PLAIN, born=None)
            await trio.sleep(SOON_S)
            state = state_of(fleet, "p0")
            await fleet.restart_server("p0")
            await trio.sleep(SOON_S)
            assert state_of(fleet, "p0") is state
            assert (await ask_stock(fleet, "s1")).status == 200


@pytest.fixture
def info_lines():
    """Capture info lines too, and go back to the usual level afterwards."""
    null = os.open(os.devnull, os.O_WRONLY)
    configure_logs(level="info", fd=null)
    with structlog.testing.capture_logs() as lines:
        yield lines
    configure_logs(level="warning")
    os.close(null)


class TestLogs:
    async def test_failed_request_tells_the_life(self, autojump_clock, info_lines):
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
