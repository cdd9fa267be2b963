"""Copies before acceptance, and pick-ups that read from another node."""

import json

import trio
from tests.request.relay_fleet import SERVICE, Fleet, events_of

from rosemaryknot.connection.links import CallFailed, Handlers
from rosemaryknot.process.drain import Drain
from rosemaryknot.request.adoption import GenerationAdopter
from rosemaryknot.request.generation_table import GenerationTable
from rosemaryknot.request.pickup import RemoteFinder, RemoteGeneration
from rosemaryknot.request.standby import StandbyCopies
from rosemaryknot.values.messages import encode_message
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.outcomes import Answered, Running
from rosemaryknot.values.requests import ModelRequest
from rosemaryknot.values.standby import (
    AdoptGeneration,
    StandbyAck,
    StandbyBatch,
    StandbyCopy,
    StandbyFind,
    StandbyFound,
    StandbyTaken,
    StandbyText,
    StandbyUpdate,
    read_inner,
)


class FakeLink:
    """The agent's link: answers by kind of message, and notes what was asked."""

    is_connected = True

    def __init__(self, **answers):
        self.answers = answers
        self.asked = []
        self.delay_s = 0.0

    async def call(self, value, timeout_s):
        self.asked.append(value)
        with trio.move_on_after(timeout_s):
            await trio.sleep(self.delay_s)
            answer = self.answers.get(value.kind)
            return answer(value) if callable(answer) else answer
        return CallFailed("timeout", maybe_handled=True)

    def of(self, kind):
        return [value for value in self.asked if isinstance(value, kind)]


def request(max_tokens=300, request_id="r1", is_async=False):
    messages = [{"role": "user", "content": "span of a beam"}]
    now_s = trio.current_time()
    return ModelRequest(
        request_id,
        "estimator-1",
        SERVICE,
        messages,
        max_tokens,
        True,
        0,
        now_s,
        now_s + 60.0,
        {"model": SERVICE, "messages": messages, "max_tokens": max_tokens},
        is_async,
    )


async def new_copies(nursery, link):
    fleet = await Fleet().start(nursery, "waco-a")
    copies = StandbyCopies(
        Node("waco-a-1", "waco-a", 7),
        fleet.relay,
        link,
        fleet.relay.holder,
    )
    nursery.start_soon(copies.run)
    await trio.sleep(0.01)
    return fleet, copies


class TestCopies:
    async def test_copied_before_it_is_accepted(self, nursery, autojump_clock):
        """The standby takes 0.3 s to answer: nobody is told "accepted" until then."""
        link = FakeLink(standby_copy=StandbyTaken("waco-b-1"), standby_batch=ack)
        fleet, copies = await new_copies(nursery, link)
        link.delay_s = 0.3
        started_s = trio.current_time()
        generation = await copies.start(request())
        assert trio.current_time() - started_s >= 0.3
        assert json.loads(link.of(StandbyCopy)[0].body)["max_tokens"] == 300
        assert generation.tokens == []
        link.delay_s = 0.0
        await generation.wait_finished()
        await trio.sleep(1.0)
        updates = [u for batch in link.of(StandbyBatch) for u in batch.updates]
        assert 1 <= len(updates) <= 6
        assert copies.copies == {}

    async def test_short_ones_only_where_nobody_waits(self, nursery, autojump_clock):
        link = FakeLink(standby_copy=StandbyTaken("waco-b-1"), standby_batch=ack)
        _, copies = await new_copies(nursery, link)
        await copies.start(request(20, "r1"))
        assert link.of(StandbyCopy) == []
        await copies.start(request(20, "r2", is_async=True))
        assert [copy.request for copy in link.of(StandbyCopy)] == ["r2"]

    async def test_no_standby_answers(self, nursery, autojump_clock):
        """The agent is frozen: the request goes on without a copy, which is bounded."""
        link = FakeLink()
        link.delay_s = 1e6
        _, copies = await new_copies(nursery, link)
        with trio.fail_after(2.0):
            generation = await copies.start(request())
        assert isinstance(await generation.wait_finished(), Answered)

    async def test_hand_over_ends_the_stream_here(self, nursery, autojump_clock):
        """The stream of a leaving entry ends with "running", without a cancel.

        The engine goes on, so the next entry joins there and nothing is computed
        again.
        """
        link = FakeLink(standby_copy=StandbyTaken("waco-b-1"), standby_batch=ack)
        fleet, copies = await new_copies(nursery, link)
        generation = await copies.start(request(2000))
        await generation.wait_beyond(20)
        await copies.hand_over_all()
        assert isinstance(generation.outcome, Running)
        assert link.of(StandbyCopy)[-1].take_over
        assert link.of(StandbyCopy)[-1].server == "e0"
        parts = [part async for part in generation.follow()]
        assert events_of(b"".join(parts))[-2]["outcome"] == "running"
        order = AdoptGeneration(encode_message(link.of(StandbyCopy)[-1]))
        other_link = FakeLink(standby_copy=StandbyTaken("waco-c-1"), standby_batch=ack)
        other = StandbyCopies(
            Node("waco-b-1", "waco-b", 8), fleet.relay, other_link, fleet.relay.holder
        )
        fleet.relay.table = GenerationTable()
        await trio.sleep(0.01)
        adopter = GenerationAdopter(fleet.relay, other, Drain(), nursery, Handlers())
        assert (await adopter.handle_adopt(order, None)).accepted
        adopted = fleet.relay.table.find("estimator-1", "r1")
        assert adopted.lineage == generation.lineage
        assert isinstance(await adopted.wait_finished(), Answered)
        assert adopted.tokens[: len(generation.tokens)] == generation.tokens
        assert fleet.recomputed() == 0

    async def test_given_up_standby_drops_its_copy(self, nursery, autojump_clock):
        """A standby is cut off for 4 s and the request is copied to another one.

        Its old copy would be taken over when the relay dies, though the request has
        another standby or has ended: it is told once it can be reached again.
        """
        back_s = trio.current_time() + 4.0

        def place(copy):
            return StandbyTaken("waco-c-1" if copy.avoided else "waco-b-1")

        def take(batch):
            is_cut = batch.standby == "waco-b-1" and trio.current_time() < back_s
            return StandbyAck(is_reached=not is_cut)

        link = FakeLink(standby_copy=place, standby_batch=take)
        _, copies = await new_copies(nursery, link)
        await copies.start(request(2000))
        await trio.sleep(8.0)
        batches = [b for b in link.of(StandbyBatch) if b.standby == "waco-b-1"]
        update = read_inner(batches[-1].updates[0], StandbyUpdate)
        assert update.outcome == "running"
        assert not copies.drops.given_up

    async def test_adopted_never_claims_not_run(self, nursery, autojump_clock):
        """An adopted request finds no server: it may have run at its old relay."""
        link = FakeLink()
        fleet, copies = await new_copies(nursery, link)
        copy = copies.copy_of(await fleet.request("r9", timeout_s=5.0))
        fleet.servers.mark_leaving("e0", 0.0, "notice")
        copy.request = "r8"
        order = AdoptGeneration(encode_message(copy))
        adopter = GenerationAdopter(fleet.relay, copies, Drain(), nursery, Handlers())
        assert (await adopter.handle_adopt(order, None)).accepted
        adopted = fleet.relay.table.find("estimator-1", "r8")
        outcome = await adopted.wait_finished()
        assert type(outcome).__name__ == "Unknown"


def ack(batch):
    return StandbyAck()


class TestRemoteGeneration:
    """A pick-up at an entry that does not hold the request."""

    def remote(self, read, find=None):
        found = find or StandbyFound("waco-b-1")
        link = FakeLink(standby_read=read, standby_find=found)
        return RemoteGeneration(RemoteFinder(link), "estimator-1", "r1", "waco-a-1")

    async def events(self, remote, offset=0, lineage=""):
        parts = [part async for part in remote.follow(offset, lineage)]
        return events_of(b"".join(parts))

    async def test_foreign_lineage_starts_at_zero(self, autojump_clock):
        """The caller holds two tokens of another sample: it gets all of this one."""
        text = [b"a", b"b", b"c"]

        def read(asked):
            part = text[asked.offset :]
            return StandbyText(True, "l2", part, 3, "answered")

        events = await self.events(self.remote(read), 2, "l1")
        assert [event["offset"] for event in events[:3]] == [0, 1, 2]
        assert events[3] == {"outcome": "answered", "tokens": 3}
        same = await self.events(self.remote(read), 2, "l2")
        assert [event["offset"] for event in same[:1]] == [2]

    async def test_holder_is_lost_midway(self, autojump_clock):
        """The node that is read from dies: the rest comes from the next holder."""

        def read(asked):
            if asked.node == "waco-a-1" and asked.offset:
                return CallFailed("closed", maybe_handled=True)
            if asked.node == "waco-a-1":
                return StandbyText(True, "l1", [b"a"], 1)
            return StandbyText(True, "l1", [b"a", b"b"][asked.offset :], 2, "answered")

        events = await self.events(self.remote(read))
        assert [event.get("offset") for event in events[:2]] == [0, 1]
        assert events[2]["outcome"] == "answered"

    async def test_nobody_goes_on(self, autojump_clock):
        """Only a copy that nobody works on is found: an explicit end, in bounds."""
        events = await self.events(self.remote(StandbyText()), 5)
        assert events[0]["outcome"] == "running"
        assert events[0]["retry_after"] > 0
        assert events[1] == "[DONE]"
        assert trio.current_time() < 30.0

    async def test_not_found_and_not_reached(self, autojump_clock):
        """Unknown everywhere is "not found"; where one cannot be asked, it is not."""
        for found, kind in (
            (StandbyFound(), "NoneType"),
            (StandbyFound(unreached=1), "Unknown"),
            (CallFailed("timeout", True), "Unknown"),
        ):
            finder = RemoteFinder(FakeLink(standby_find=found))
            answer = await finder.find("estimator-2", "r1")
            assert type(answer).__name__ == kind
            assert isinstance(finder.link.asked[0], StandbyFind)
