"""Tests of the relay against stand-in engines, in virtual time."""

import pytest
import trio
from tests.request.relay_fleet import (
    SERVICE,
    Fleet,
    assert_whole,
    events_of,
    expected,
)

from rosemaryknot.values.outcomes import NotRun, Reason, Unknown


async def read_all(generation, offset=0, lineage="") -> bytes:
    return b"".join([part async for part in generation.follow(offset, lineage)])


class TestModelRelay:
    async def test_relays_a_whole_answer(self, nursery, autojump_clock):
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        generation = await fleet.request()
        events = events_of(await read_all(generation))
        assert_whole(generation)
        texts = [e["choices"][0]["delta"]["content"] for e in events[:-2]]
        assert texts == generation.token_texts()
        assert events[-2:] == [{"outcome": "answered", "tokens": len(texts)}, "[DONE]"]

    async def test_caller_who_goes_away_loses_nothing(self, nursery, autojump_clock):
        """A caller reads ten tokens and hangs up; it asks again from there.

        The generation runs on without it, so the pick-up gives the rest of the same
        answer, and nothing is computed twice.
        """
        fleet = await Fleet().start(nursery, "waco-a")
        generation = await fleet.request()
        with trio.CancelScope() as caller:
            async for _ in generation.follow():
                if len(generation.tokens) >= 10:
                    caller.cancel()
        await generation.wait_finished()
        found = fleet.relay.table.find("estimator-1", "r1")
        assert len(events_of(await read_all(found, 10))) == len(found.tokens) - 8
        assert_whole(found)
        assert fleet.recomputed() == 0

    async def test_no_server_is_refused_before_acceptance(
        self, nursery, autojump_clock
    ):
        fleet = await Fleet().start(nursery)
        refusal = await fleet.request()
        assert (refusal.reason, refusal.retry_after_s > 0) == (Reason.NO_SERVER, True)

    async def test_accepted_work_waits_for_a_server(self, nursery, autojump_clock):
        """The only engine dies, and another one starts ten seconds later.

        The request was accepted, so its caller sees a pause and then the rest.
        """
        fleet = await Fleet().start(nursery, "waco-a")
        generation = await fleet.request()
        await generation.wait_beyond(20)
        fleet.kill("e0")
        fleet.servers.mark_terminated("e0", "list")
        await trio.sleep(10)
        assert generation.outcome is None
        await fleet.add(nursery, "e9", "waco-b")
        await generation.wait_finished()
        assert_whole(generation)

    async def test_deadline_ends_the_stream_with_an_outcome(
        self, nursery, autojump_clock
    ):
        """The engine is so slow that the caller's deadline passes midway.

        The stream's last event gives the outcome at the deadline, not later, and
        the engine is told to stop.
        """
        fleet = await Fleet().start(nursery, "waco-a", step_time_s=0.05)
        generation = await fleet.request(timeout_s=2.0)
        events = events_of(await read_all(generation))
        assert trio.current_time() < 2.1
        assert events[-2]["outcome"] == "unknown"
        assert events[-2]["reason"] == Reason.TIMED_OUT
        await trio.sleep(0.5)
        assert fleet.engines["e0"].batch.ledger[0].outcome == "cancelled"

    async def test_engine_refuses_the_body(self, nursery, autojump_clock):
        fleet = await Fleet().start(nursery, "waco-a", kv_tokens=100)
        generation = await fleet.request(max_tokens=500)
        outcome = await generation.wait_finished()
        assert isinstance(outcome, NotRun) and outcome.reason == Reason.BAD_REQUEST
        assert generation.attempts == 1


class TestLostServers:
    async def test_engine_killed_midway(self, nursery, autojump_clock):
        """The engine dies while its answer streams.

        The caller sees one pause and then the rest: the relay resumes at another
        server from the prompt and the tokens that were emitted, in one lineage.
        """
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        generation = await fleet.request(max_tokens=400)
        await generation.wait_beyond(50)
        fleet.kill(fleet.server_of(generation))
        await generation.wait_finished()
        assert_whole(generation)
        assert generation.attempts == 2

    async def test_engine_vanishes_without_a_reset(self, nursery, autojump_clock):
        """The machine is gone: its connections stay open and nothing answers.

        The stream falls silent; the question over a new connection finds nobody;
        the rest comes from another server within two seconds.
        """
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        generation = await fleet.request(max_tokens=400)
        await generation.wait_beyond(50)
        fleet.network.cut(fleet.network.host, fleet.host(fleet.server_of(generation)))
        with trio.fail_after(2.0):
            await generation.wait_beyond(len(generation.tokens))
        await generation.wait_finished()
        assert_whole(generation)

    async def test_leaving_engine_refuses(self, nursery, autojump_clock):
        """A notice has reached the engine and not yet us: it answers 503, leaving.

        The request goes to the other server at once, and the mark spreads from
        here: the next request is not sent to the leaving one.
        """
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        fleet.engines["e0"].leaving = True
        for number in range(6):
            generation = await fleet.request(f"r{number}")
            await generation.wait_finished()
            assert_whole(generation)
        assert [s.instance for s in fleet.servers.servers_of(SERVICE)] == ["e1"]
        assert generation.attempts == 1

    async def test_full_queues_make_accepted_work_wait(self, nursery, autojump_clock):
        """Every engine refuses for a full queue while ten requests are accepted.

        Each waits and comes in when there is room; none is refused after it was
        accepted.
        """
        fleet = await Fleet().start(nursery, "waco-a", slots=1, max_waiting=1)
        generations = [await fleet.request(f"r{n}") for n in range(10)]
        for generation in generations:
            await generation.wait_finished()
            assert_whole(generation)


class TestSilentAndCrossed:
    async def test_silent_connection(self, nursery, autojump_clock):
        """Something in between loses track of the connection; new ones work.

        The engine goes on computing for nobody. Asked over a new connection it says
        that it is ahead, and the stream is taken up there from where it stands: the
        caller sees a pause below a second, and nothing is computed again.
        """
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        generation = await fleet.request(max_tokens=600)
        await generation.wait_beyond(50)
        first = fleet.server_of(generation)
        assert fleet.silence(first)
        known = len(generation.tokens)
        with trio.fail_after(1.0):
            await generation.wait_beyond(known + 1)
        assert fleet.server_of(generation) == first
        await generation.wait_finished()
        assert_whole(generation)
        assert fleet.recomputed() == 0

    async def test_silent_before_the_first_byte(self, nursery, autojump_clock):
        """The connection goes silent when the request has just been sent."""
        fleet = await Fleet().start(nursery, "waco-a")
        generation = await fleet.request()
        await trio.sleep(0.001)
        assert fleet.silence("e0")
        await generation.wait_finished()
        assert trio.current_time() < 3.0
        assert_whole(generation)

    async def test_late_answer_is_dropped(self, nursery, autojump_clock):
        """One engine answers ten seconds late; the request has long moved on.

        What comes late from it reaches nobody: its connection was closed.
        """
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        fleet.engines["e0"].faults.late_s = 10.0
        generations = [await fleet.request(f"r{n}") for n in range(6)]
        for generation in generations:
            await generation.wait_finished()
        assert trio.current_time() < 10.0
        await trio.sleep(15)
        for generation in generations:
            assert_whole(generation)

    async def swap(self, nursery, after, **safeguards) -> list:
        """Run two requests whose answers are exchanged after some tokens."""
        fleet = await Fleet(**safeguards).start(nursery, "waco-a")
        generations = [await fleet.request(f"r{n}", max_tokens=400) for n in range(2)]
        for generation in generations:
            await generation.wait_beyond(after - 1)
        fleet.engines["e0"].apply_faults({"swap": True})
        for generation in generations:
            await generation.wait_finished()
        return generations

    @pytest.mark.parametrize("after", [0, 30])
    async def test_swapped_answers(self, after, nursery, autojump_clock):
        """Two open connections get each other's answer from one token on.

        Each frame names its request, so neither text reaches the other caller: both
        connections are closed and both answers are taken up anew.
        """
        for generation in await self.swap(nursery, after):
            assert_whole(generation)

    async def test_swapped_answers_cross_without_the_check(
        self, nursery, autojump_clock
    ):
        """With the check off an estimator gets another one's whole cut order."""
        one, other = await self.swap(nursery, 0, id_check=False)
        assert one.token_texts() == expected(other)

    async def mix_lineages(self, nursery, **safeguards):
        """Have the engine go on with another sample of the same answer."""
        fleet = await Fleet(**safeguards).start(nursery, "waco-a", "waco-b")
        generation = await fleet.request(max_tokens=400)
        await generation.wait_beyond(30)
        engine = fleet.engines[fleet.server_of(generation)]
        other = engine.batch.generations["r1"]
        other.lineage, other.seed = "foreign", other.seed + 1
        await generation.wait_finished()
        return generation

    async def test_foreign_lineage(self, nursery, autojump_clock):
        """The engine's stream goes on with text of another lineage.

        Two samples of one prompt are both right and do not fit together. The
        foreign frame closes the connection, and the answer goes on in its own.
        """
        assert_whole(await self.mix_lineages(nursery))

    async def test_lineages_mix_without_the_check(self, nursery, autojump_clock):
        """With the check off the answer is spliced of two samples."""
        generation = await self.mix_lineages(nursery, lineage_check=False)
        assert generation.token_texts() != expected(generation)


class TestReclaims:
    async def running(self, nursery, fleet, count, **options) -> list:
        generations = [await fleet.request(f"r{n}", **options) for n in range(count)]
        for generation in generations:
            await generation.wait_beyond(100)
        return generations

    async def finish(self, generations) -> None:
        for generation in generations:
            await generation.wait_finished()
            assert_whole(generation)

    async def test_stream_that_ends_in_time_stays(self, nursery, autojump_clock):
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        (generation,) = await self.running(nursery, fleet, 1, max_tokens=300)
        fleet.reclaim(fleet.server_of(generation), 3.0)
        await self.finish([generation])
        assert generation.attempts == 1

    async def test_long_stream_moves_its_kv(self, nursery, autojump_clock):
        """A notice of three seconds for a server with a long answer.

        Its KV cache goes to a server of another zone while it streams on; the
        stream switches over, and only what was emitted meanwhile is prefilled.
        """
        fleet = await Fleet().start(nursery, "waco-a", "waco-a", "waco-b")
        (generation,) = await self.running(
            nursery, fleet, 1, words=2000, max_tokens=3000
        )
        source = fleet.server_of(generation)
        fleet.reclaim(source, 3.0)
        await trio.sleep(3.0)
        fleet.kill(source)
        assert fleet.server_of(generation) == "e2"
        await self.finish([generation])
        assert generation.attempts == 2
        assert fleet.recomputed() < 200

    async def test_engine_without_kv_moves_resumes(self, nursery, autojump_clock):
        fleet = await Fleet(moves_kv=False).start(nursery, "waco-a", "waco-b")
        generations = await self.running(nursery, fleet, 4, max_tokens=3000)
        fleet.reclaim("e0", 2.0)
        await trio.sleep(2.0)
        fleet.kill("e0")
        await self.finish(generations)
        assert {fleet.server_of(g) for g in generations if g.outcome is None} == set()

    async def test_notice_during_the_prefill(self, nursery, autojump_clock):
        """The notice comes while a long plan set is still being read.

        Three seconds are enough to end the prefill and move its result; resuming at
        once would read the plan set twice.
        """
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        generation = await fleet.request(words=3000, max_tokens=3000)
        await trio.sleep(0.1)
        source = fleet.server_of(generation)
        assert not generation.tokens
        fleet.reclaim(source, 3.0)
        await trio.sleep(3.0)
        fleet.kill(source)
        await self.finish([generation])
        assert fleet.recomputed() < 500

    async def test_wave_hits_the_target_of_the_move(self, nursery, autojump_clock):
        """While a stream's KV cache is on its way, the target gets a notice too.

        The import is given up at once and goes to the next server: waiting for it would
        leave no time for a second one.
        """
        fleet = await Fleet().start(
            nursery, "waco-a", "waco-b", "temple-c", kv_bytes_per_s=1.9e8
        )
        (generation,) = await self.running(
            nursery, fleet, 1, words=2000, max_tokens=3000
        )
        source = fleet.server_of(generation)
        fleet.reclaim(source, 3.0)
        await trio.sleep(0.3)
        (target,) = +fleet.relay.mover.importing
        fleet.reclaim(target, 3.0)
        await trio.sleep(2.7)
        fleet.kill(source)
        await trio.sleep(0.3)
        fleet.kill(target)
        assert fleet.server_of(generation) not in (source, target)
        await self.finish([generation])
        assert fleet.recomputed() < 600

    async def test_source_dies_during_the_move(self, nursery, autojump_clock):
        """The leaving server is taken away before its deadline, amid an export.

        The import cannot end; the stream resumes elsewhere from what was emitted.
        """
        fleet = await Fleet().start(
            nursery, "waco-a", "waco-b", "temple-c", kv_bytes_per_s=4e8
        )
        generations = await self.running(nursery, fleet, 3, words=2000, max_tokens=3000)
        source = fleet.server_of(generations[0])
        fleet.reclaim(source, 5.0)
        await trio.sleep(0.3)
        assert sum(fleet.relay.mover.importing.values()) == 1
        fleet.kill(source)
        await self.finish(generations)

    async def test_target_dies_after_the_move(self, nursery, autojump_clock):
        """The stream has just switched over when its new server dies."""
        fleet = await Fleet().start(nursery, "waco-a", "waco-b", "temple-c")
        (generation,) = await self.running(nursery, fleet, 1, max_tokens=3000)
        source = fleet.server_of(generation)
        fleet.reclaim(source, 3.0)
        while fleet.server_of(generation) == source:
            await trio.sleep(0.01)
        fleet.kill(fleet.server_of(generation))
        await self.finish([generation])

    async def test_last_server_keeps_its_streams(self, nursery, autojump_clock):
        """Every server is leaving: the streams go on where they are.

        They wait when their server is gone, and end at the one that starts later.
        """
        fleet = await Fleet().start(nursery, "waco-a")
        generations = await self.running(nursery, fleet, 2, max_tokens=3000)
        emitted = len(generations[0].tokens)
        fleet.reclaim("e0", 2.0)
        await trio.sleep(1.9)
        assert len(generations[0].tokens) > emitted + 500
        fleet.kill("e0")
        await trio.sleep(3)
        await fleet.add(nursery, "e9", "waco-b")
        await self.finish(generations)

    async def test_recovered_work_goes_first(self, nursery, autojump_clock):
        """The only other server is full of requests that came later.

        The accepted answer that lost its server pauses one of them and is refused
        by nobody.
        """
        fleet = await Fleet().start(nursery, "waco-a", "waco-b", slots=2)
        await trio.sleep(2)  # the first load reports tell the number of slots
        generations = await self.running(nursery, fleet, 4, max_tokens=1000, priority=5)
        lost = fleet.server_of(generations[0])
        fleet.kill(lost)
        known = len(generations[0].tokens)
        with trio.fail_after(2.0):
            await generations[0].wait_beyond(known)
        await self.finish(generations)


class TestStop:
    async def test_followers_are_told_when_the_relay_ends(
        self, nursery, autojump_clock
    ):
        fleet = Fleet()
        await fleet.add(nursery, "e0")
        async with trio.open_nursery() as process:
            await process.start(fleet.relay.run)
            generation = await fleet.request(max_tokens=3000)
            await generation.wait_beyond(10)
            process.cancel_scope.cancel()
        assert isinstance(generation.outcome, Unknown)
        assert events_of(await read_all(generation))[-1] == "[DONE]"
