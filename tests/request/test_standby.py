"""Tests of replication to standbys, handover and retrieval from other nodes."""

import json

import trio
from tests.request.relay_fleet import SERVICE, Fleet, events_of

from rosemaryknot.connection.links import CallFailed, Handlers
from rosemaryknot.process.drain import Drain
from rosemaryknot.request.adoption import GenerationAdopter
from rosemaryknot.request.generation_table import GenerationTable
from rosemaryknot.request.retrieval import RemoteFinder, RemoteGeneration
from rosemaryknot.request.standby import StandbyReplicator
from rosemaryknot.values.messages import encode_message
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.outcomes import Answered, Running
from rosemaryknot.values.requests import ModelRequest
from rosemaryknot.values.standby import (
    AdoptGeneration,
    StandbyAccepted,
    StandbyAck,
    StandbyBatch,
    StandbyCopy,
    StandbyFind,
    StandbyFound,
    StandbyText,
    StandbyUpdate,
    decode_nested,
)


class FakeLink:
    """Link to an agent that responds by message kind and records the calls."""

    is_connected = True

    def __init__(self, **answers):
        self.answers = answers
        self.calls = []
        self.delay_s = 0.0

    async def call(self, value, timeout_s):
        self.calls.append(value)
        with trio.move_on_after(timeout_s):
            await trio.sleep(self.delay_s)
            answer = self.answers.get(value.kind)
            return answer(value) if callable(answer) else answer
        return CallFailed("timeout", maybe_handled=True)

    def of(self, kind):
        return [value for value in self.calls if isinstance(value, kind)]


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


async def new_replicator(nursery, link):
    fleet = await Fleet().start(nursery, "waco-a")
    replicator = StandbyReplicator(
        Node("waco-a-1", "waco-a", 7),
        fleet.relay,
        link,
        fleet.relay.holder,
    )
    nursery.start_soon(replicator.run)
    await trio.sleep(0.01)
    return fleet, replicator


class TestReplicas:
    async def test_replicated_before_acceptance(self, nursery, autojump_clock):
        """A request is not accepted until the standby has responded, after 0.3 s."""
        link = FakeLink(standby_copy=StandbyAccepted("waco-b-1"), standby_batch=ack)
        fleet, replicator = await new_replicator(nursery, link)
        link.delay_s = 0.3
        started_s = trio.current_time()
        generation = await replicator.start(request())
        assert trio.current_time() - started_s >= 0.3
        assert json.loads(link.of(StandbyCopy)[0].body)["max_tokens"] == 300
        assert generation.tokens == []
        link.delay_s = 0.0
        await generation.wait_finished()
        await trio.sleep(1.0)
        updates = [u for batch in link.of(StandbyBatch) for u in batch.updates]
        assert 1 <= len(updates) <= 6
        assert replicator.replicas == {}

    async def test_short_requests_are_replicated_only_if_async(
        self, nursery, autojump_clock
    ):
        link = FakeLink(standby_copy=StandbyAccepted("waco-b-1"), standby_batch=ack)
        _, replicator = await new_replicator(nursery, link)
        await replicator.start(request(20, "r1"))
        assert link.of(StandbyCopy) == []
        await replicator.start(request(20, "r2", is_async=True))
        assert [copy.request for copy in link.of(StandbyCopy)] == ["r2"]

    async def test_no_standby_responds(self, nursery, autojump_clock):
        """A request starts without a replica if the agent does not respond in time."""
        link = FakeLink()
        link.delay_s = 1e6
        _, replicator = await new_replicator(nursery, link)
        with trio.fail_after(2.0):
            generation = await replicator.start(request())
        assert isinstance(await generation.wait_finished(), Answered)

    async def test_handover_ends_the_local_stream(self, nursery, autojump_clock):
        """The stream of a draining entry ends with "running", without a cancel.

        The engine continues, so the next entry joins the attempt there and nothing is
        recomputed.
        """
        link = FakeLink(standby_copy=StandbyAccepted("waco-b-1"), standby_batch=ack)
        fleet, replicator = await new_replicator(nursery, link)
        generation = await replicator.start(request(2000))
        await generation.wait_for_tokens(20)
        await replicator.hand_over_all()
        assert isinstance(generation.outcome, Running)
        assert link.of(StandbyCopy)[-1].take_over
        assert link.of(StandbyCopy)[-1].server == "e0"
        chunks = [chunk async for chunk in generation.subscribe()]
        assert events_of(b"".join(chunks))[-2]["outcome"] == "running"
        order = AdoptGeneration(encode_message(link.of(StandbyCopy)[-1]))
        other_link = FakeLink(
            standby_copy=StandbyAccepted("waco-c-1"), standby_batch=ack
        )
        other = StandbyReplicator(
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

    async def test_abandoned_standby_drops_its_replica(self, nursery, autojump_clock):
        """A partitioned standby is message to remove its replica when it is reachable.

        It is partitioned for 4 s, and the request is replicated to another standby. If
        the relay failed, the old replica would be taken over although the request has
        another standby or has ended.
        """
        reachable_s = trio.current_time() + 4.0

        def choose_standby(copy):
            return StandbyAccepted("waco-c-1" if copy.avoided else "waco-b-1")

        def acknowledge(batch):
            is_partitioned = (
                batch.standby == "waco-b-1" and trio.current_time() < reachable_s
            )
            return StandbyAck(is_reached=not is_partitioned)

        link = FakeLink(standby_copy=choose_standby, standby_batch=acknowledge)
        _, replicator = await new_replicator(nursery, link)
        await replicator.start(request(2000))
        await trio.sleep(8.0)
        batches = [b for b in link.of(StandbyBatch) if b.standby == "waco-b-1"]
        update = decode_nested(batches[-1].updates[0], StandbyUpdate)
        assert update.outcome == "running"
        assert not replicator.cleanup.abandoned

    async def test_adopted_request_is_never_not_run(self, nursery, autojump_clock):
        """An adopted request without a server may have run at its old relay."""
        link = FakeLink()
        fleet, replicator = await new_replicator(nursery, link)
        copy = replicator.create_copy(await fleet.request("r9", timeout_s=5.0))
        fleet.servers.mark_leaving("e0", 0.0, "notice")
        copy.request = "r8"
        order = AdoptGeneration(encode_message(copy))
        adopter = GenerationAdopter(
            fleet.relay, replicator, Drain(), nursery, Handlers()
        )
        assert (await adopter.handle_adopt(order, None)).accepted
        adopted = fleet.relay.table.find("estimator-1", "r8")
        outcome = await adopted.wait_finished()
        assert type(outcome).__name__ == "Unknown"


def ack(batch):
    return StandbyAck()


class TestRemoteGeneration:
    """Retrieval at an entry that does not hold the request."""

    def remote(self, read, find=None):
        found = find or StandbyFound("waco-b-1")
        link = FakeLink(standby_read=read, standby_find=found)
        return RemoteGeneration(RemoteFinder(link), "estimator-1", "r1", "waco-a-1")

    async def events(self, remote, offset=0, lineage=""):
        chunks = [chunk async for chunk in remote.subscribe(offset, lineage)]
        return events_of(b"".join(chunks))

    async def test_foreign_lineage_starts_at_zero(self, autojump_clock):
        """A caller with two tokens of another lineage gets the text from the start."""
        text = [b"a", b"b", b"c"]

        def read(message):
            part = text[message.offset :]
            return StandbyText(True, "l2", part, 3, "answered")

        events = await self.events(self.remote(read), 2, "l1")
        assert [event["offset"] for event in events[:3]] == [0, 1, 2]
        assert events[3] == {"outcome": "answered", "tokens": 3}
        same = await self.events(self.remote(read), 2, "l2")
        assert [event["offset"] for event in same[:1]] == [2]

    async def test_holder_fails_midway(self, autojump_clock):
        """If the node that is read from stops, the rest comes from the next holder."""

        def read(message):
            if message.node == "waco-a-1" and message.offset:
                return CallFailed("closed", maybe_handled=True)
            if message.node == "waco-a-1":
                return StandbyText(True, "l1", [b"a"], 1)
            return StandbyText(
                True, "l1", [b"a", b"b"][message.offset :], 2, "answered"
            )

        events = await self.events(self.remote(read))
        assert [event.get("offset") for event in events[:2]] == [0, 1]
        assert events[2]["outcome"] == "answered"

    async def test_no_node_continues(self, autojump_clock):
        """A replica that no node runs gives "running" after a bounded time."""
        events = await self.events(self.remote(StandbyText()), 5)
        assert events[0]["outcome"] == "running"
        assert events[0]["retry_after"] > 0
        assert events[1] == "[DONE]"
        assert trio.current_time() < 30.0

    async def test_not_found_and_unreachable(self, autojump_clock):
        """A request is "not found" only if all nodes were reachable."""
        for found, kind in (
            (StandbyFound(), "NoneType"),
            (StandbyFound(unreached=1), "Unknown"),
            (CallFailed("timeout", True), "Unknown"),
        ):
            finder = RemoteFinder(FakeLink(standby_find=found))
            answer = await finder.find("estimator-2", "r1")
            assert type(answer).__name__ == kind
            assert isinstance(finder.link.calls[0], StandbyFind)
