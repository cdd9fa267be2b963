"""Tests of streams while servers of several software versions serve side by side."""

import random
from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from rosemaryknot.standin.users.resuming_callers import ResumingCaller
from rosemaryknot.standin.users.system import MODEL, STORE, platform_system

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


async def take_up(caller, system, first_events, pause_s, others, prepare=None):
    """Lose the node of a stream, and take the stream up at others in turn."""
    await caller.attempt("n0", first_events)
    if prepare is not None:
        await prepare()
    await trio.sleep(pause_s)
    for node in others[:-1]:
        await caller.attempt(node, 2)
    await caller.attempt(others[-1])


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("fleet", FLEETS)
class TestTakenUp:
    """A caller takes its stream up at a node that does not run it."""

    async def play(self, fleet, seed, others, first_events=3, prepare=None, **options):
        rng = random.Random(seed)
        async with system_of_versions(FLEETS[fleet], seed) as system:

            async def play_one(caller):
                pause_s = rng.uniform(0.05, 3.0)
                ready = None if prepare is None else partial(prepare, system)
                await take_up(caller, system, first_events, pause_s, others, ready)

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
