"""Tests of generations, their subscribers and their table."""

import json

import pytest
import trio
from tests.request.relay_fleet import events_of

from rosemaryknot.connection.engine_frames import (
    Broken,
    Crossed,
    EngineCall,
    Finished,
    FrameChecker,
)
from rosemaryknot.request.generation_table import GenerationTable
from rosemaryknot.request.generations import Generation
from rosemaryknot.values.outcomes import Answered, NotRun, Reason
from rosemaryknot.values.requests import ModelRequest

ANSWERED = Answered(200, [], b"")


def generation(request_id="r1", customer="estimator-1", max_tokens=100, **options):
    messages = [{"role": "user", "content": "span of a beam"}]
    request = ModelRequest(
        request_id, customer, "s", messages, max_tokens, True, 0, 0.0, 9.0, {}
    )
    return Generation(request, "l1", **options)


async def offsets(one, offset=0, lineage=""):
    chunks = [chunk async for chunk in one.subscribe(offset, lineage)]
    return [e["offset"] for e in events_of(b"".join(chunks))[:-2]]


class TestGeneration:
    async def test_subscribers_read_from_any_offset(self, nursery, autojump_clock):
        """One caller subscribes from the start, another one from token 3."""
        one = generation()
        one.emit([b"a", b"b"])
        read = {}

        async def subscribe(offset):
            read[offset] = await offsets(one, offset)

        for offset in (0, 3, 9):
            nursery.start_soon(subscribe, offset)
        for token in (b"c", b"d", b"e"):
            await trio.sleep(1)
            one.emit([token])
        one.finish(ANSWERED)
        await trio.testing.wait_all_tasks_blocked()
        assert read == {0: [0, 1, 2, 3, 4], 3: [3, 4], 9: []}

    async def test_foreign_lineage_starts_from_zero(self, autojump_clock):
        """A caller with tokens of another lineage gets the text from the start.

        The caller has two tokens from another instance. The tokens of this lineage are
        another sample and cannot be appended to them.
        """
        one = generation(tokens=[b"a", b"b", b"c"])
        one.finish(ANSWERED)
        assert await offsets(one, 2, "l1") == [2]
        assert await offsets(one, 2, "other") == [0, 1, 2]

    async def test_slow_subscriber_gets_joined_tokens(self, autojump_clock):
        one = generation()
        one.emit([b"a"])
        subscriber = one.subscribe()
        await anext(subscriber)
        for token in (b"b", b"\\u00e9\\n", b'\\"'):
            one.emit([token])
        assert len(events_of(await anext(subscriber))) == 3
        assert one.text() == 'abé\n"'

    async def test_only_the_first_outcome_counts(self, autojump_clock):
        one = generation()
        one.finish(NotRun(Reason.TIMED_OUT))
        one.finish(ANSWERED)
        assert isinstance(await one.wait_finished(), NotRun)


class TestGenerationTable:
    async def test_request_of_another_customer_is_not_found(self, autojump_clock):
        table = GenerationTable()
        one = generation()
        assert table.add(one) is None
        assert table.find("estimator-1", "r1") is one
        assert table.find("estimator-2", "r1") is None

    async def test_finished_requests_expire(self, autojump_clock):
        table = GenerationTable(ttl_s=600)
        one = generation()
        table.add(one)
        one.finish(ANSWERED)
        table.record_finished(one)
        await trio.sleep(599)
        assert table.find("estimator-1", "r1") is one
        await trio.sleep(2)
        assert table.find("estimator-1", "r1") is None
        assert (table.size, table.entries) == (0, {})

    async def test_only_finished_requests_are_evicted(self, autojump_clock):
        """A full table evicts a finished response, but never a running one."""
        table = GenerationTable(max_count=2)
        first, second = generation("r1"), generation("r2")
        table.add(first)
        table.add(second)
        refusal = table.add(generation("r3"))
        assert refusal.reason == Reason.OVERLOADED and refusal.retry_after_s > 0
        first.finish(ANSWERED)
        table.record_finished(first)
        assert table.add(generation("r3")) is None
        assert table.find("estimator-1", "r1") is None
        assert table.running() == [second, table.find("estimator-1", "r3")]

    async def test_reserved_bytes_are_bounded_and_released(self, autojump_clock):
        table = GenerationTable(max_bytes=10_000)
        one = generation(max_tokens=150)
        assert table.add(one) is None
        assert table.add(generation("r2", max_tokens=150)) is not None
        one.emit([b"a"])
        one.finish(ANSWERED)
        table.record_finished(one)
        assert table.add(generation("r2", max_tokens=150)) is None

    async def test_duplicate_id_is_refused(self, autojump_clock):
        table = GenerationTable()
        table.add(generation())
        assert table.add(generation()).reason == Reason.ALREADY_RUNNING


def checker(prefix=()) -> FrameChecker:
    head = generation().head
    return FrameChecker(EngineCall("r1", "l1", head, {}, list(prefix), 0), True, True)


def frame(offset, token="a", id="r1", lineage="l1") -> bytes:
    choices = [{"index": 0, "delta": {"content": token}}]
    fields = {"id": id, "lineage": lineage, "offset": offset, "choices": choices}
    return b"data: " + json.dumps(fields, separators=(",", ":")).encode() + b"\n\n"


def done(offset) -> bytes:
    usage = {"prompt_tokens": 9, "cached_tokens": 4, "completion_tokens": offset}
    fields = {"id": "r1", "lineage": "l1", "offset": offset, "done": True}
    return b"data: " + json.dumps({**fields, "usage": usage}).encode() + b"\n\n"


class TestFrameChecker:
    def test_any_split_of_the_bytes_gives_the_same_tokens(self):
        data = b": hello\n\n" + frame(0) + frame(1, 'é\n"') + frame(2) + done(3)
        for size in (1, 7, 64, len(data)):
            one = checker()
            parts = [data[at : at + size] for at in range(0, len(data), size)]
            tokens = [token for part in parts for token in one.feed(part)]
            assert json.loads(b'["' + b'","'.join(tokens) + b'"]') == ["a", 'é\n"', "a"]
            assert one.end == Finished(3, 9, 4)

    @pytest.mark.parametrize(
        ("bad", "end"),
        [
            (frame(1, id="r2"), Crossed("id")),
            (frame(1, lineage="l2"), Crossed("lineage")),
            (frame(2), Broken("an offset is missing or came twice")),
            (frame(0), Broken("an offset is missing or came twice")),
            (done(5), Broken("the engine counts another number of tokens")),
            (b"data: [1]\n\n", Broken("a frame cannot be read")),
            (
                b'data: {"id":"r1","lineage":"l1"}\n\n',
                Broken("the engine reported an error"),
            ),
        ],
    )
    def test_invalid_frame_ends_the_stream(self, bad, end):
        """No frame after an invalid one is accepted, even if it is valid itself."""
        one = checker()
        assert one.feed(frame(0) + bad + frame(1)) == [b"a"]
        assert one.end == end

    def test_token_text_cannot_hide_fields(self):
        """A token text that contains another id field is detected.

        The frame starts and ends like a valid one.
        """
        inside = 'a"}}],"id":"r2","choices":[{"index":0,"delta":{"content":"b'
        one = checker()
        raw = frame(0, "X").replace(b"X", inside.encode())
        assert one.feed(raw) == []
        assert one.end == Crossed("id")
