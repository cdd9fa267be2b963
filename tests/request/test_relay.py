"""Tests of the relay with stand-in engines, in virtual time."""

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
    return b"".join([chunk async for chunk in generation.subscribe(offset, lineage)])


class TestModelRelay:
    async def test_relays_a_complete_response(self, nursery, autojump_clock):
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        generation = await fleet.request()
        events = events_of(await read_all(generation))
        assert_whole(generation)
        texts = [e["choices"][0]["delta"]["content"] for e in events[:-2]]
        assert texts == generation.token_texts()
        assert events[-2:] == [{"outcome": "answered", "tokens": len(texts)}, "[DONE]"]

    async def test_disconnected_caller_loses_nothing(self, nursery, autojump_clock):
        """A caller disconnects after ten tokens and resumes from there.

        The generation continues without it, so the caller gets the rest of the same
        response, and nothing is recomputed.
        """
        fleet = await Fleet().start(nursery, "waco-a")
        generation = await fleet.request()
        with trio.CancelScope() as caller:
            async for _ in generation.subscribe():
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
        """An accepted request waits if the only engine stops.

        Another engine starts ten seconds later, and the caller gets the rest after the
        gap.
        """
        fleet = await Fleet().start(nursery, "waco-a")
        generation = await fleet.request()
        await generation.wait_for_tokens(20)
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
        """The deadline passes while a slow engine streams.

        The last event of the stream gives the outcome at the deadline, not later, and
        the request is cancelled at the engine.
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
        """An engine stops while its response is streamed.

        The relay resumes at another server from the prompt and the emitted tokens, so
        the caller gets the rest in the same lineage after one gap.
        """
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        generation = await fleet.request(max_tokens=400)
        await generation.wait_for_tokens(50)
        fleet.kill(fleet.server_of(generation))
        await generation.wait_finished()
        assert_whole(generation)
        assert generation.attempts == 2

    async def test_engine_stops_without_a_reset(self, nursery, autojump_clock):
        """A machine stops without closing its connections.

        The stream is silent and the status request over a new connection gets no
        response. The rest comes from another server within two seconds.
        """
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        generation = await fleet.request(max_tokens=400)
        await generation.wait_for_tokens(50)
        fleet.network.cut(fleet.network.host, fleet.host(fleet.server_of(generation)))
        with trio.fail_after(2.0):
            await generation.wait_for_tokens(len(generation.tokens))
        await generation.wait_finished()
        assert_whole(generation)

    async def test_draining_engine_refuses(self, nursery, autojump_clock):
        """An engine refuses requests before the relay receives its reclaim notice.

        The engine responds with 503 and states that it is draining. The request goes
        to the other server immediately, and the server is marked as draining, so the
        next request is not sent there.
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
        """Accepted requests wait while the queues of all engines are full.

        Each of the ten requests runs when there is free capacity; none is refused after
        it was accepted.
        """
        fleet = await Fleet().start(nursery, "waco-a", slots=1, max_waiting=1)
        generations = [await fleet.request(f"r{n}") for n in range(10)]
        for generation in generations:
            await generation.wait_finished()
            assert_whole(generation)


class TestSilentAndCrossed:
    async def test_silent_connection(self, nursery, autojump_clock):
        """A network device drops the state of a connection; new connections work.

        The engine continues to compute. A status request over a new connection shows
        that it is ahead, so the stream is resumed there: the gap is less than a second,
        and nothing is recomputed.
        """
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        generation = await fleet.request(max_tokens=600)
        await generation.wait_for_tokens(50)
        first = fleet.server_of(generation)
        assert fleet.silence(first)
        known = len(generation.tokens)
        with trio.fail_after(1.0):
            await generation.wait_for_tokens(known + 1)
        assert fleet.server_of(generation) == first
        await generation.wait_finished()
        assert_whole(generation)
        assert fleet.recomputed() == 0

    async def test_silent_before_the_first_byte(self, nursery, autojump_clock):
        """A connection becomes silent just after the request was sent."""
        fleet = await Fleet().start(nursery, "waco-a")
        generation = await fleet.request()
        await trio.sleep(0.001)
        assert fleet.silence("e0")
        await generation.wait_finished()
        assert trio.current_time() < 3.0
        assert_whole(generation)

    async def test_late_response_is_dropped(self, nursery, autojump_clock):
        """The response of an engine arrives ten seconds late and is dropped.

        The request has been resumed elsewhere, and the connection was closed, so late
        data reaches no caller.
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
        """Run two requests whose responses are swapped after some tokens."""
        fleet = await Fleet(**safeguards).start(nursery, "waco-a")
        generations = [await fleet.request(f"r{n}", max_tokens=400) for n in range(2)]
        for generation in generations:
            await generation.wait_for_tokens(after - 1)
        fleet.engines["e0"].apply_faults({"swap": True})
        for generation in generations:
            await generation.wait_finished()
        return generations

    @pytest.mark.parametrize("after", [0, 30])
    async def test_swapped_responses(self, after, nursery, autojump_clock):
        """The responses of two open connections are swapped from one token on.

        Each frame contains its request id, so no text reaches the wrong caller: both
        connections are closed and both responses are resumed.
        """
        for generation in await self.swap(nursery, after):
            assert_whole(generation)

    async def test_swapped_responses_cross_without_the_check(
        self, nursery, autojump_clock
    ):
        """Without the id check, a caller gets the response of another caller."""
        one, other = await self.swap(nursery, 0, id_check=False)
        assert one.token_texts() == expected(other)

    async def mix_lineages(self, nursery, **safeguards):
        """Make the engine continue with another sample of the same response."""
        fleet = await Fleet(**safeguards).start(nursery, "waco-a", "waco-b")
        generation = await fleet.request(max_tokens=400)
        await generation.wait_for_tokens(30)
        engine = fleet.engines[fleet.server_of(generation)]
        other = engine.batch.generations["r1"]
        other.lineage, other.seed = "foreign", other.seed + 1
        await generation.wait_finished()
        return generation

    async def test_foreign_lineage(self, nursery, autojump_clock):
        """An engine's stream continues with text of another lineage.

        Two samples of one prompt are both valid but must not be joined. The frame of
        the other lineage closes the connection, and the response continues in its own.
        """
        assert_whole(await self.mix_lineages(nursery))

    async def test_lineages_mix_without_the_check(self, nursery, autojump_clock):
        """Without the lineage check, the response is a mix of two samples."""
        generation = await self.mix_lineages(nursery, lineage_check=False)
        assert generation.token_texts() != expected(generation)


class TestReclaims:
    async def running(self, nursery, fleet, count, **options) -> list:
        generations = [await fleet.request(f"r{n}", **options) for n in range(count)]
        for generation in generations:
            await generation.wait_for_tokens(100)
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
        """A long stream is moved within a notice of three seconds.

        Its KV cache is transferred to a server in another zone while the stream
        continues. After the switch, only the tokens emitted meanwhile are prefilled.
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
        """A notice arrives during the prefill of a long prompt.

        Three seconds are enough to finish the prefill and move its KV cache. An
        immediate resume would prefill the prompt twice.
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

    async def test_reclaim_wave_hits_the_move_target(self, nursery, autojump_clock):
        """The target of a move gets a reclaim notice during the transfer.

        The import is cancelled immediately and another server is used: waiting for the
        import would leave no time for a second one.
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

    async def test_source_stops_during_the_move(self, nursery, autojump_clock):
        """A draining server stops before its deadline, during an export.

        The import cannot finish, and the stream resumes on another server from the
        emitted tokens.
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

    async def test_target_stops_after_the_move(self, nursery, autojump_clock):
        """The new server of a stream stops just after the switch."""
        fleet = await Fleet().start(nursery, "waco-a", "waco-b", "temple-c")
        (generation,) = await self.running(nursery, fleet, 1, max_tokens=3000)
        source = fleet.server_of(generation)
        fleet.reclaim(source, 3.0)
        while fleet.server_of(generation) == source:
            await trio.sleep(0.01)
        fleet.kill(fleet.server_of(generation))
        await self.finish([generation])

    async def test_last_server_keeps_its_streams(self, nursery, autojump_clock):
        """Streams continue on their server if all servers are draining.

        They wait after the server has stopped, and end at one that starts later.
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

    async def test_recovered_requests_have_priority(self, nursery, autojump_clock):
        """A request that lost its server has priority over later requests.

        The only other server is full. The engine pauses a later request instead of
        refusing the recovered one.
        """
        fleet = await Fleet().start(nursery, "waco-a", "waco-b", slots=2)
        await trio.sleep(2)  # the first load reports contain the number of slots
        generations = await self.running(nursery, fleet, 4, max_tokens=1000, priority=5)
        lost = fleet.server_of(generations[0])
        fleet.kill(lost)
        known = len(generations[0].tokens)
        with trio.fail_after(2.0):
            await generations[0].wait_for_tokens(known)
        await self.finish(generations)


class TestStop:
    async def test_subscribers_get_outcome_when_relay_stops(
        self, nursery, autojump_clock
    ):
        fleet = Fleet()
        await fleet.add(nursery, "e0")
        async with trio.open_nursery() as process:
            await process.start(fleet.relay.run)
            generation = await fleet.request(max_tokens=3000)
            await generation.wait_for_tokens(10)
            process.cancel_scope.cancel()
        assert isinstance(generation.outcome, Unknown)
        assert events_of(await read_all(generation))[-1] == "[DONE]"
