"""Tests of streams while servers of several software versions serve side by side."""

import random
from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from rosemaryknot.standin.users.resuming_callers import ResumingCaller
from rosemaryknot.standin.users.system import (
    MODEL,
    MODEL_HEADERS,
    STORE,
    document,
    platform_system,
)

STREAMS = 6
EVENTS = 10
FLEETS = {"halves": ("v1", "v1", "v2", "v2"), "one": ("v1", "v2", "v2", "v2")}
SEEDS = (1, 2, 3)


@asynccontextmanager
async def system_of_versions(versions, seed=1, nodes=3, **options):
    """Run a system whose model servers have the given software versions."""
    async with platform_system(seed, nodes=0, models=0, **options) as system:
        for number, version in enumerate(versions):
            await system.add_server(
                f"m{number}", MODEL, f"z{number % 3}", version=version
            )
        for number in range(nodes):
            await system.add_node(number)
        await trio.sleep(1.0)
        yield system


async def run_callers(system, play, **options):
    """Let several callers play at once; return them."""
    callers = [
        ResumingCaller(system, f"s{number}", **options) for number in range(STREAMS)
    ]
    async with trio.open_nursery() as nursery:
        for caller in callers:
            nursery.start_soon(play, caller)
    return callers


def count_mixed(callers):
    """Return the number of streams that hold events of several software versions."""
    return sum(len(caller.versions) > 1 for caller in callers)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("fleet", FLEETS)
class TestBrokenOff:
    """A server breaks a stream off, and servers of other versions are free."""

    async def test_stream_goes_on_at_its_version(self, autojump_clock, fleet, seed):
        async with system_of_versions(FLEETS[fleet], seed) as system:
            for server in system.servers.values():
                if server.is_model:
                    server.faults.append("cut_event")
            callers = await run_callers(
                system, partial(ResumingCaller.attempt, node="n0")
            )
            assert count_mixed(callers) == 0
            assert all(caller.is_in_order for caller in callers)


async def resume_elsewhere(caller, system, first_events, pause_s, others, prepare=None):
    """Lose the node of a stream, and resume it at others in turn."""
    await caller.attempt("n0", first_events)
    if prepare is not None:
        await prepare()
    await trio.sleep(pause_s)
    for node in others[:-1]:
        await caller.attempt(node, 2)
    await caller.attempt(others[-1])


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("fleet", FLEETS)
class TestResumedByCaller:
    """A caller resumes its stream at a node that does not run it."""

    async def play(self, fleet, seed, others, first_events=3, prepare=None, **options):
        rng = random.Random(seed)
        async with system_of_versions(FLEETS[fleet], seed) as system:

            async def play_one(caller):
                pause_s = rng.uniform(0.05, 3.0)
                ready = None if prepare is None else partial(prepare, system)
                await resume_elsewhere(
                    caller, system, first_events, pause_s, others, ready
                )

            callers = await run_callers(system, play_one, **options)
        assert count_mixed(callers) == 0
        assert all(caller.is_in_order for caller in callers)
        return callers

    @pytest.mark.parametrize("first_events", [1, 3])
    async def test_at_another_node(self, autojump_clock, fleet, seed, first_events):
        async def kill_first(system):
            if "n0" not in system.down:
                system.down.add("n0")
                await trio.sleep(0.2)
                system.kill("n0")

        callers = await self.play(fleet, seed, ["n1"], first_events, kill_first)
        assert all(len(caller.events) == EVENTS for caller in callers)

    async def test_at_the_same_node(self, autojump_clock, fleet, seed):
        callers = await self.play(fleet, seed, ["n0"])
        assert all(len(caller.events) == EVENTS for caller in callers)

    async def test_at_a_node_that_has_just_started(self, autojump_clock, fleet, seed):
        async def start_another(system):
            if "n3" not in system.down:
                system.down.add("n3")
                await system.add_node(3, is_first_start=False)
            while "n3" not in system.nodes:
                await trio.sleep(0.01)

        callers = await self.play(fleet, seed, ["n3"], prepare=start_another)
        assert all(len(caller.events) == EVENTS for caller in callers)

    async def test_twice_in_a_row(self, autojump_clock, fleet, seed):
        callers = await self.play(fleet, seed, ["n1", "n2"])
        assert all(len(caller.events) == EVENTS for caller in callers)

    async def test_at_a_node_that_is_cut_off(self, autojump_clock, fleet, seed):
        async def cut_off(system):
            for host in (STORE.host, "10.2.0.1", "10.2.0.3"):
                system.network.cut("10.2.0.2", host)

        await self.play(fleet, seed, ["n1"], prepare=cut_off)

    async def test_unknown_origin(self, autojump_clock, fleet, seed):
        await self.play(fleet, seed, ["n1"], headers={"Resumes": "nobody"})

    async def test_caller_that_names_no_origin(self, autojump_clock, fleet, seed):
        await self.play(fleet, seed, ["n1"], names_origin=False)


async def begin_stream(system, name="s", max_events=3, **options):
    """Return a caller that has left its stream after some events at n0."""
    caller = ResumingCaller(system, name, **options)
    await caller.attempt("n0", max_events)
    assert len(caller.events) == max_events
    return caller


async def restart_with_late_entry(system, delay_s):
    """Restart the first server with another version, and its entry some time later."""
    restart = partial(
        system.restart_server, "m0", 0.1, version="v2", entry_delay_s=delay_s
    )
    system.nursery.start_soon(restart)
    await trio.sleep(0.3)


class TestServersChange:
    """Servers of the version that began a stream fail, restart or leave."""

    async def test_restarted_server_has_another_version(self, autojump_clock):
        """The id and address of a server do not tell its version."""
        async with system_of_versions(["v1", "v1"]) as system:
            callers = await run_callers(
                system, partial(ResumingCaller.attempt, node="n0", max_events=3)
            )
            await system.restart_server("m0", 0.5, version="v2")
            await trio.sleep(0.5)
            for caller in callers:
                await caller.attempt("n1")
            assert all(caller.versions == {"v1"} for caller in callers)
            assert all(len(caller.events) == EVENTS for caller in callers)

    async def test_entry_follows_the_restart(self, autojump_clock):
        """A stream began at the new version while the entry told the old one."""
        async with system_of_versions(["v1"]) as system:
            await restart_with_late_entry(system, 1.0)
            caller = await begin_stream(system)
            await system.add_server("m9", MODEL, "z1", version="v1")
            await trio.sleep(2.0)
            answer = await caller.attempt("n1")
            assert len(caller.versions) == 1
            assert answer.status in (200, 503)

    async def test_entry_follows_while_the_stream_runs(self, autojump_clock):
        """A stream breaks off after its server turned out to be of another version."""
        async with system_of_versions(["v1"]) as system:
            await restart_with_late_entry(system, 0.5)
            server = system.servers["m0"]
            server.work_s = 1.0
            server.faults.append("cut_event")
            system.nursery.start_soon(system.add_server, "m9", MODEL, "z1")
            caller = ResumingCaller(system, "s")
            await caller.attempt("n0")
            assert caller.versions == {"v2"}

    async def test_version_changes_in_the_entry_of_one_incarnation(
        self, autojump_clock
    ):
        """It is not certain at which version a stream began there."""
        async with system_of_versions(["v1"]) as system:
            caller = await begin_stream(system)
            server = system.servers["m0"]
            server.entry = server.entry | {"version": "v2"}
            system.store.put("servers", "m0", server.entry)
            await system.add_server("m9", MODEL, "z1", version="v1")
            await trio.sleep(1.0)
            answer = await caller.attempt("n0")
            assert (answer.status, caller.versions) == (503, {"v1"})

    async def test_no_server_of_the_version_is_left(self, autojump_clock):
        """What cannot be served is refused at once and never promised."""
        async with system_of_versions(["v1", "v2"]) as system:
            caller = ResumingCaller(system, "s")
            while not caller.events or caller.versions != {"v1"}:
                caller = ResumingCaller(system, f"s{trio.current_time()}")
                await caller.attempt("n0", 3)
            system.store.remove("servers", "m0")
            await trio.sleep(3.0)
            answer = await caller.attempt("n1")
            assert answer.status == 503
            assert b"begin a new stream" in answer.body
            assert "retry-after" not in answer.headers
            assert answer.took_s < 0.1

    async def test_both_servers_of_the_version_failed(self, autojump_clock):
        """Servers that only broke streams off go on with others."""
        async with system_of_versions(["v1", "v1", "v2", "v2", "v2"]) as system:
            callers = []
            while len(callers) < 4:
                caller = ResumingCaller(system, f"s{trio.current_time()}")
                await caller.attempt("n0", 3)
                if caller.versions == {"v1"}:
                    callers.append(caller)
            for name in ("m0", "m1"):
                system.servers[name].faults.append("cut_event")
            for caller in callers:
                for _ in range(3):
                    if len(caller.events) < EVENTS:
                        await caller.attempt("n1")
            assert count_mixed(callers) == 0
            assert all(len(caller.events) == EVENTS for caller in callers)

    async def test_entries_are_not_current(self, autojump_clock):
        """A server restarts while the store is away, and its entry stays old."""
        async with system_of_versions(["v1", "v1"]) as system:
            system.store.faults.begin("busy")
            await trio.sleep(1.0)
            caller = await begin_stream(system)
            await system.restart_server("m0", 0.5, version="v2")
            await system.restart_server("m1", 0.5, version="v2")
            system.store.put("servers", "m0", system.servers["m0"].entry)
            await caller.attempt("n0")
            assert caller.versions == {"v1"}
            system.store.faults.end()


class TestOrigins:
    """What nodes know of the streams that others began."""

    async def test_second_attempt_before_the_first_event(self, autojump_clock):
        """The version is that of the server that sent the first event."""
        for seed in range(8):
            async with system_of_versions(["v1", "v2"], seed) as system:
                for server in system.servers.values():
                    if server.is_model and not seed % 2:
                        server.faults.append("reset")
                system.servers["m0"].faults.append("reset")
                caller = ResumingCaller(system, "s")
                await caller.attempt("n0", 3)
                await caller.attempt("n1")
                await caller.attempt("n2")
                assert len(caller.versions) <= 1

    async def test_other_customer_names_the_attempt(self, autojump_clock):
        """No customer may use or find out about another one's stream."""
        configuration = document()
        configuration["tenants"].append(
            {"name": "bob", "apiKeys": ["key-of-bob"], "ratePerS": 0, "burst": 0}
        )
        async with system_of_versions(
            ["v1", "v2"], configuration=configuration
        ) as system:
            caller = await begin_stream(system)
            caller.headers["Authorization"] = "Bearer key-of-bob"
            answer = await caller.attempt("n1")
            assert answer.status == 503
            assert b"not known" in answer.body

    async def test_nodes_stop_in_series(self, autojump_clock):
        """Each node hands over what it holds before it leaves."""
        async with system_of_versions(["v1", "v1", "v2", "v2"], nodes=4) as system:
            callers = await run_callers(
                system, partial(ResumingCaller.attempt, node="n0", max_events=3)
            )
            for name in ("n0", "n1", "n2"):
                system.stops[name].set()
                await trio.sleep(4.0)
            for caller in callers:
                await caller.attempt("n3")
            assert count_mixed(callers) == 0
            assert all(len(caller.events) == EVENTS for caller in callers)

    async def test_zone_is_reclaimed(self, autojump_clock):
        """Two of six nodes are lost at once with their zone."""
        async with system_of_versions(["v1", "v1", "v2", "v2"], nodes=6) as system:
            callers = await run_callers(
                system, partial(ResumingCaller.attempt, node="n0", max_events=3)
            )
            for name in ("n0", "n3"):
                system.kill(name)
            await trio.sleep(0.05)
            for caller in callers:
                await caller.attempt("n1")
            assert count_mixed(callers) == 0
            assert all(len(caller.events) == EVENTS for caller in callers)

    async def test_holders_do_not_reply(self, autojump_clock):
        """The first event of a stream must not wait for nodes that are cut off."""
        async with system_of_versions(["v1", "v2"]) as system:
            usual_s = (await system.ask("/ask/x", **MODEL_HEADERS)).first_s
            for host in ("10.2.0.2", "10.2.0.3"):
                system.network.cut("10.2.0.1", host)
            answer = await system.ask("/ask/x", request_id="r2", **MODEL_HEADERS)
            assert answer.status == 200 and answer.is_whole
            assert answer.first_s < usual_s + 0.1

    async def test_only_version_for_long(self, autojump_clock):
        """Older callers go on once it is certain that there was one version only."""
        async with system_of_versions(["v1", "v1"]) as system:
            caller = await begin_stream(system, names_origin=False)
            assert (await caller.attempt("n1")).status == 503
            await trio.sleep(35.0)
            caller = await begin_stream(system, "t", names_origin=False)
            assert (await caller.attempt("n1")).status == 200
            await system.add_server("m9", MODEL, "z1", version="v2")
            await trio.sleep(0.5)
            caller = await begin_stream(system, "u", names_origin=False)
            assert (await caller.attempt("n1")).status == 503


class TestAllNodesRestart:
    """All nodes are killed at once, so that nobody knows where a stream began."""

    @pytest.mark.parametrize("names_origin", [True, False], ids=["named", "unnamed"])
    @pytest.mark.parametrize("pause_s", [0.2, 3.0, 12.0, 27.0])
    @pytest.mark.parametrize("old", ["stay", "left before", "left meanwhile"])
    async def test_stream_is_not_joined_from_two_versions(
        self, autojump_clock, old, pause_s, names_origin
    ):
        """Guards against a restarted node that knows only the newer version."""
        async with system_of_versions(["v1", "v1"]) as system:
            await trio.sleep(40.0)
            for name in ("m2", "m3"):
                await system.add_server(name, MODEL, version="v2")

            async def begin(caller):
                await caller.attempt("n0", 3)

            callers = await run_callers(system, begin, names_origin=names_origin)
            if old == "left before":
                remove_servers(system, ["m0", "m1"])
                await trio.sleep(0.3)
            for name in list(system.nodes):
                system.kill(name)
            if old == "left meanwhile":
                remove_servers(system, ["m0", "m1"])
            await trio.sleep(1.0)
            for number in range(len(system.nodes)):
                await system.add_node(number, is_first_start=False)
            await trio.sleep(pause_s)
            for caller in callers:
                await caller.attempt("n1")
            assert count_mixed(callers) == 0
            assert all(caller.is_in_order for caller in callers)
            began = await begin_stream(system, "after")
            assert (await began.attempt("n1")).status == 200


def remove_servers(system, names):
    """Let servers end, with their entries."""
    for name in names:
        system.scopes[name].cancel()
        system.store.remove("servers", name)
