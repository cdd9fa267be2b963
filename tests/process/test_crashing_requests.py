"""Tests of requests that crash each server that runs them, on the own interface."""

from contextlib import asynccontextmanager

import pytest
import trio
from tests.process.entry_fleet import MODEL, Fleet, booking, chat
from tests.process.standby_fleet import run_scenario

from rosemaryknot.replay.caller_records import ModelRecord
from rosemaryknot.standin.plain import PlainFault

# A prompt that is recognized by its length.
CRASHING = " ".join(["crash"] * 36)
CRASHING_TOKENS = 37
# A message that is recognized by its length, in a conversation with others.
CRASHING_MESSAGE_TOKENS = 100
CRASHING_MESSAGE = " ".join(["crash"] * 120)
MAX_CRASHES = 3
# An accepted generation is attempted until three servers have crashed under it, and
# three different ones show that a message that they share is the cause; then there is
# a trial.
MAX_MESSAGE_CRASHES = 2 * MAX_CRASHES + 2
SOON_S = 0.5
STEP_S = 0.001


def runs_crashing(engine):
    """Return whether an engine has begun to run a request that crashes it."""
    return any(
        is_crashing(generation.entry.prompt_tokens) and generation.offset
        for generation in engine.batch.generations.values()
    )


def is_crashing(tokens):
    return tokens == CRASHING_TOKENS or tokens > CRASHING_MESSAGE_TOKENS


def conversation(*texts):
    """Return a request with some messages, of which the last one is its own."""
    messages = [{"role": "user", "content": text} for text in texts]
    return chat(stream=False) | {"messages": messages}


async def ask_conversation(client, *texts):
    body = conversation(*texts)
    return await client.post("/v1/chat/completions", json=body)


class Crashes:
    """Crashes engines that run the request, and counts them."""

    def __init__(self, engines, kill):
        self.engines = engines
        self.kill = kill
        self.crashed = []

    async def run(self):
        while True:
            await trio.sleep(STEP_S)
            for name, engine in list(self.engines().items()):
                if name not in self.crashed and runs_crashing(engine):
                    self.crashed.append(name)
                    self.kill(name)


@asynccontextmanager
async def fleet_with_crashes(engines=8, entries=1):
    """Run a fleet whose engines crash when they run the request."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery)
        for number in range(engines):
            await fleet.add_engine(f"e{number}")
        for _ in range(entries):
            await fleet.add_entry()

        def kill(name):
            fleet.engines[name].kill()
            fleet.network.kill_host(fleet.server_host(name))

        crashes = Crashes(lambda: fleet.engines, kill)
        nursery.start_soon(crashes.run)
        yield fleet, crashes
        nursery.cancel_scope.cancel()


async def start_crashing_engines(system, per_zone):
    """Start engines of a whole system that crash when they run the request."""
    for zone in system.plan.zones * per_zone:
        await system.start_server(MODEL, zone)
    await trio.sleep(3)

    def kill(name):
        system.servers[name].host.kill()

    crashes = Crashes(
        lambda: {name: s.standin for name, s in system.servers.items()}, kill
    )
    system.nursery.start_soon(crashes.run)
    return crashes


class TestModelRequests:
    """A generation is not carried from engine to engine until none is left."""

    async def test_generation_ends_after_three_engines(self, autojump_clock):
        async with fleet_with_crashes() as (fleet, crashes):
            async with fleet.caller() as client:
                with trio.fail_after(20):
                    answer = await client.post(
                        "/v1/chat/completions", json=chat(stream=False, text=CRASHING)
                    )
            assert answer.json()["outcome"] == "unknown"
            assert answer.json()["reason"] == "server_failed"
            assert len(crashes.crashed) <= MAX_CRASHES

    async def test_repeats_are_refused(self, autojump_clock):
        async with fleet_with_crashes() as (fleet, crashes):
            async with fleet.caller() as client:
                outcomes = []
                for _ in range(6):
                    with trio.fail_after(20):
                        answer = await client.post(
                            "/v1/chat/completions",
                            json=chat(stream=False, text=CRASHING),
                        )
                    outcomes.append(answer.json()["outcome"])
                    await trio.sleep(SOON_S)
                other = await client.post(
                    "/v1/chat/completions", json=chat(stream=False)
                )
            assert len(crashes.crashed) == MAX_CRASHES
            assert outcomes[-4:] == ["not_run"] * 4
            assert other.status_code == 200

    async def test_engine_lost_for_another_reason(self, autojump_clock):
        """Two engines in turn are lost under a generation that is not the cause."""
        async with fleet_with_crashes(4) as (fleet, crashes):
            async with fleet.caller() as client, trio.open_nursery() as nursery:
                answers = []

                async def ask():
                    body = chat(max_tokens=400, stream=False)
                    answers.append(await client.post("/v1/chat/completions", json=body))

                nursery.start_soon(ask)
                for _ in range(2):
                    await trio.sleep(0.3)
                    [name] = [
                        name
                        for name, engine in fleet.engines.items()
                        if engine.batch.running and name not in crashes.crashed
                    ]
                    crashes.crashed.append(name)
                    crashes.kill(name)
            assert answers[0].status_code == 200


class TestMessages:
    """Conversations that share one message crash engines, and no two are alike."""

    @pytest.mark.parametrize("position", [0, 1])
    async def test_refused_after_three_conversations(self, autojump_clock, position):
        async with fleet_with_crashes(12, entries=1) as (fleet, crashes):
            answers = []

            async def ask_sound(client):
                for number in range(80):
                    texts = ("system", f"document {number % 3}", f"question {number}")
                    answers.append(await ask_conversation(client, *texts))
                    await trio.sleep(0.2)

            async with fleet.caller() as client, trio.open_nursery() as nursery:
                nursery.start_soon(ask_sound, client)
                await trio.sleep(1)
                outcomes = []
                for number in range(8):
                    texts = ["system", f"own {number}"]
                    texts.insert(position, CRASHING_MESSAGE)
                    with trio.fail_after(20):
                        answer = await ask_conversation(client, *texts)
                    outcomes.append(answer.json()["outcome"])
                    await trio.sleep(SOON_S)
            assert len(crashes.crashed) <= MAX_MESSAGE_CRASHES
            assert outcomes[-4:] == ["not_run"] * 4
            assert [answer.status_code for answer in answers] == [200] * 80

    def test_agents_tell_the_entries_of_all_nodes(self):
        """The beginning of a long message is shared; the agent tells the entries."""

        async def scenario(fleet):
            system = fleet.system
            crashes = await start_crashing_engines(system, 4)
            outcomes = []
            for number in range(9):
                node = list(system.nodes)[number % len(system.nodes)]
                record = ModelRecord(f"{CRASHING_MESSAGE} own {number}", 100)
                await fleet.caller([node]).ask(record, MODEL, 10.0)
                outcomes.append(record.outcome)
                await trio.sleep(SOON_S)
            assert len(crashes.crashed) <= MAX_MESSAGE_CRASHES
            assert outcomes[-4:] == ["not_run"] * 4

        run_scenario(scenario)


class TestPlainRequests:
    async def test_bookings_end_three_servers(self, autojump_clock):
        """Each booking has a key of its own and runs once; the body is the same."""
        async with fleet_with_crashes(1) as (fleet, _):
            for number in range(6):
                await fleet.add_plain(f"p{number}")
            await trio.sleep(3)
            crashed = set()

            async def crash():
                while True:
                    await trio.sleep(STEP_S)
                    for name, plain in fleet.plains.items():
                        if plain.host.dead.is_set() and name not in crashed:
                            crashed.add(name)
                            fleet.network.kill_host(fleet.server_host(name))

            for plain in fleet.plains.values():
                plain.faults.append(PlainFault("die_after"))
            fleet.nursery.start_soon(crash)
            async with fleet.caller() as client:
                statuses = []
                for number in range(6):
                    answer = await client.post(
                        "/services/dispatch-app/slots",
                        json={"slot": CRASHING},
                        headers=booking(f"k{number}", 1),
                    )
                    statuses.append(answer.status_code)
                    await trio.sleep(SOON_S)
            assert len(crashed) == MAX_CRASHES
            assert statuses == [504] * 3 + [503] * 3


class TestOtherNodes:
    def test_agents_tell_the_entries_of_all_nodes(self):
        """The request is repeated at an entry of another zone."""

        async def scenario(fleet):
            system = fleet.system
            crashes = await start_crashing_engines(system, 2)
            outcomes = []
            for node in [*system.nodes, *system.nodes]:
                record = ModelRecord(CRASHING, 100)
                await fleet.caller([node]).ask(record, MODEL, 10.0)
                outcomes.append(record.outcome)
                await trio.sleep(SOON_S)
            assert len(crashes.crashed) == MAX_CRASHES
            assert outcomes[-4:] == ["not_run"] * 4

        run_scenario(scenario)
