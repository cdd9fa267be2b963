"""Tests for message links: handshake, limits, and peers of other releases."""

import hashlib
import hmac
import math
import random
from dataclasses import dataclass
from typing import ClassVar

import msgpack
import pytest
import trio
import zstandard

from rosemaryknot.connection.links import (
    CallFailed,
    Handlers,
    Hello,
    LinkClosed,
    MessageLink,
    accept_link,
    open_link,
)
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.values.messages import Message, message
from rosemaryknot.values.nodes import Address

KEY = b"k" * 32
ADDRESS = Address("127.0.0.2", 8300)


@message("test_question")
@dataclass(slots=True)
class Question(Message):
    """A call that is handled in these tests."""

    kind: ClassVar[str]
    text: str


@message("test_unheard")
@dataclass(slots=True)
class UnhandledCall(Message):
    """A call without a handler."""

    kind: ClassVar[str]


def hello(name: str) -> Hello:
    return Hello(name, "waco-a", 1, "agent", b"")


def handlers_with_reply() -> Handlers:
    handlers = Handlers()

    @handlers.on(Question)
    async def answer(question: Question, link: MessageLink) -> Question:
        return Question(question.text.upper())

    return handlers


class Acceptor:
    """The accepting end, which records its link and why links closed."""

    def __init__(self, handlers: Handlers) -> None:
        self.network = MemoryNetwork("127.0.0.2")
        self.handlers = handlers
        self.link: MessageLink | None = None
        self.close_reasons: list[str] = []

    async def accept(self, stream: trio.abc.HalfCloseableStream) -> None:
        try:
            self.link = await accept_link(stream, KEY, hello("b"), self.handlers)
        except LinkClosed as error:
            self.close_reasons.append(str(error))
            return
        self.close_reasons.append(await self.link.run())

    async def dial(self, nursery: trio.Nursery) -> trio.abc.HalfCloseableStream:
        await nursery.start(self.network.listen, ADDRESS, self.accept)
        return await self.network.with_host("127.0.0.1").dial(ADDRESS)


def incompressible_text(size: int) -> str:
    """Return a random text that compression does not make shorter."""
    return random.Random(1).randbytes(size).decode("latin-1")


def raw_frame(payload: bytes) -> bytes:
    return len(payload).to_bytes(4, "big") + payload


async def read_raw(stream: trio.abc.ReceiveStream) -> bytes:
    data = b""
    while len(data) < 4 or len(data) < 4 + int.from_bytes(data[:4], "big"):
        data += await stream.receive_some(1)
    return data[4:]


async def open_running_link(
    nursery: trio.Nursery, stream, key: bytes = KEY
) -> MessageLink:
    """Establish the link of the dialling end, and run it."""
    link = await open_link(stream, key, hello("a"), Handlers())
    nursery.start_soon(link.run)
    return link


class TestHandlers:
    async def test_exception_ends_neither_link_nor_process(self, autojump_clock):
        """A message that a handler fails on would end each node that receives it."""
        handlers = handlers_with_reply()

        @handlers.on(UnhandledCall)
        async def fail(value: UnhandledCall, link: MessageLink) -> None:
            raise KeyError("field")

        acceptor = Acceptor(handlers)
        async with trio.open_nursery() as nursery:
            link = await open_running_link(nursery, await acceptor.dial(nursery))
            assert isinstance(await link.call(UnhandledCall(), 1.0), CallFailed)
            assert await link.call(Question("a"), 1.0) == Question("A")
            nursery.cancel_scope.cancel()


class TestHello:
    async def test_newer_release_with_an_unknown_field(self, autojump_clock):
        """An upgraded node connects to a node that is not upgraded yet.

        Its hello has a field that the older node does not know and drops. If the proof
        were computed over the hello as encoded again, it would differ, and old and new
        nodes could not connect during an upgrade.
        """
        acceptor = Acceptor(handlers_with_reply())
        async with trio.open_nursery() as nursery:
            stream = await acceptor.dial(nursery)
            body = dict(name="a", zone="waco-a", incarnation=1, role="agent")
            body |= dict(nonce=b"n" * 16, protocol=2, address="", colour="new")
            ours = msgpack.packb(["hello", 0, 0, body])
            await stream.send_all(raw_frame(ours))
            theirs = msgpack.unpackb(await read_raw(stream))[3]
            await read_raw(stream)
            mac = hmac.new(KEY, theirs["nonce"] + ours, hashlib.sha256).digest()
            proof = msgpack.packb(["proof", 0, 0, {"mac": mac}])
            await stream.send_all(raw_frame(proof))
            await trio.sleep(1)
            assert acceptor.close_reasons == []
            assert acceptor.link.hello.name == "a"
            nursery.cancel_scope.cancel()

    async def test_wrong_key(self, autojump_clock):
        """A process without the cluster key gets no link, and its calls are not read.

        Both ends report the failure immediately, so that a wrong setting is detected
        at startup.
        """
        acceptor = Acceptor(handlers_with_reply())
        async with trio.open_nursery() as nursery:
            stream = await acceptor.dial(nursery)
            with pytest.raises(LinkClosed, match="wrong cluster key"):
                await open_running_link(nursery, stream, b"another key")
            await stream.aclose()
            await trio.sleep(0.1)
            assert acceptor.link is None
            assert len(acceptor.close_reasons) == 1
            nursery.cancel_scope.cancel()

    async def test_peer_sends_no_hello(self, autojump_clock):
        acceptor = Acceptor(handlers_with_reply())
        async with trio.open_nursery() as nursery:
            await acceptor.dial(nursery)
            await trio.sleep(4)
            assert acceptor.close_reasons == ["no hello: TooSlowError"]
            nursery.cancel_scope.cancel()


class TestMessages:
    @pytest.mark.parametrize(
        ("frame", "reason", "unreadable"),
        [
            (b"\xff\xff\xff\xff", "frame of 4294967295 bytes is too large", 0),
            (raw_frame(b"\xc1 no msgpack"), "unreadable message", 1),
            (raw_frame(msgpack.packb(["test_question", 1, 0, {}])), None, 1),
            (raw_frame(msgpack.packb(["test_question", 1, 0, {"text": 7}])), None, 1),
            (raw_frame(zstandard.FRAME_HEADER + b"\x00 no frame"), None, 1),
            (raw_frame(zstandard.compress(bytes(9 * 1024 * 1024))), None, 1),
        ],
    )
    async def test_broken_frame_closes_the_link(
        self, autojump_clock, frame, reason, unreadable
    ):
        """A peer sends an invalid frame, or a message with a missing or invalid field.

        A handler would fail on it and end the process. The rest of the stream cannot be
        trusted, so the link is closed and counted, and a pending call on it fails
        immediately instead of at its timeout.
        """
        acceptor = Acceptor(handlers_with_reply())
        async with trio.open_nursery() as nursery:
            link = await open_running_link(nursery, await acceptor.dial(nursery))
            await link.stream.send_all(frame)
            start_s = trio.current_time()
            reply = await link.call(Question("late"), 60)
            assert reply == CallFailed("closed", maybe_handled=True)
            assert trio.current_time() - start_s < 1
            await trio.sleep(0.1)
            assert acceptor.close_reasons == [reason or "unreadable message"]
            assert acceptor.link.traffic.unreadable == unreadable
            nursery.cancel_scope.cancel()

    async def test_large_message_is_compressed(self, autojump_clock):
        """Guards against sending large documents uncompressed over slow links."""
        acceptor = Acceptor(handlers_with_reply())
        async with trio.open_nursery() as nursery:
            link = await open_running_link(nursery, await acceptor.dial(nursery))
            text = "a route of many " * 10_000
            assert await link.call(Question(text), 1) == Question(text.upper())
            traffic = acceptor.link.traffic
            counts = (traffic.received, traffic.sent)
            assert all(c["test_question"].bytes < 2000 for c in counts)
            nursery.cancel_scope.cancel()

    async def test_peer_of_an_older_release_gets_plain_frames(self, autojump_clock):
        """Guards against sending frames that an older peer cannot read."""
        acceptor = Acceptor(handlers_with_reply())
        async with trio.open_nursery() as nursery:
            link = await open_running_link(nursery, await acceptor.dial(nursery))
            assert await link.call(Question("first"), 1) == Question("FIRST")
            link.hello.compression = acceptor.link.hello.compression = ""
            text = "a route of many " * 1000
            assert await link.call(Question(text), 1) == Question(text.upper())
            assert acceptor.link.traffic.received["test_question"].bytes > len(text)
            nursery.cancel_scope.cancel()

    async def test_newer_peer(self, autojump_clock):
        """During an upgrade, a newer peer sends unknown kinds of messages and fields.

        They must not end the link. A call of an unknown kind gets a reply which shows
        that it was not handled.
        """
        acceptor = Acceptor(handlers_with_reply())
        async with trio.open_nursery() as nursery:
            link = await open_running_link(nursery, await acceptor.dial(nursery))
            unknown = msgpack.packb(["of_next_year", 0, 0, {"a": 1}])
            await link.queue_frame("of_next_year", unknown)
            assert await link.call(UnhandledCall(), 1) == CallFailed(
                "unsupported", False
            )
            body = {"text": "hi", "colour": "new"}
            newer = msgpack.packb(["test_question", 99, 0, body])
            await link.queue_frame("test_question", newer)
            assert await link.call(Question("hello"), 1) == Question("HELLO")
            assert acceptor.link.traffic.unsupported == 2
            nursery.cancel_scope.cancel()

    async def test_sender_is_cancelled_while_sending(self, autojump_clock):
        """Cancelling one sender must not fail the calls of all others.

        The sender of a large message is cancelled while it waits for free capacity. If
        a part of the message had been written, the link would have to be closed, and
        the outcome of every other call on it would be unknown.
        """
        acceptor = Acceptor(handlers_with_reply())
        async with trio.open_nursery() as nursery:
            link = await open_running_link(nursery, await acceptor.dial(nursery))
            large = incompressible_text(3 * 1024 * 1024)
            async with trio.open_nursery() as callers:
                for _ in range(3):
                    callers.start_soon(link.call, Question(large), 60)
                await trio.lowlevel.checkpoint()
                callers.cancel_scope.cancel()
            assert await link.call(Question("next"), 2) == Question("NEXT")
            assert not link.is_closed
            nursery.cancel_scope.cancel()

    async def test_peer_that_never_reads(self, autojump_clock):
        """A frozen peer keeps its connection open but does not read.

        When the buffers are full, `send` must fail within its timeout, and the queue
        must not grow further.
        """
        network = MemoryNetwork("127.0.0.2")

        async def accept_and_freeze(stream):
            await accept_link(stream, KEY, hello("b"), Handlers())
            await trio.sleep(math.inf)

        async with trio.open_nursery() as nursery:
            await nursery.start(network.listen, ADDRESS, accept_and_freeze)
            stream = await network.with_host("127.0.0.1").dial(ADDRESS)
            link = await open_running_link(nursery, stream)
            text = incompressible_text(400_000)
            sent = [await link.send(Question(text)) for _ in range(8)]
            assert sent[0] and not sent[-1]
            assert link.end_reason == "the other end does not read"
            assert len(link.output) < 2 * 1024 * 1024
            nursery.cancel_scope.cancel()


class SlowStream:
    """A connection that takes some time for each write."""

    BYTES_PER_S = 100_000

    def __init__(self):
        self.written = []

    async def send_all(self, data):
        await trio.sleep(len(data) / self.BYTES_PER_S)
        self.written.append((trio.current_time(), bytes(data)))


class TestOrder:
    async def test_changes_pass_notices_that_wait(self, autojump_clock, nursery):
        """Guards against changes that wait behind the notices of an event."""
        stream = SlowStream()
        link = MessageLink(stream, None, hello("n1"), Handlers())
        for _ in range(300):
            link.append_frame("crash_notice", b"n" * 1000)
        nursery.start_soon(link.write_output)
        await trio.sleep(0.5)
        link.append_frame("store_changes", b"change")
        await trio.sleep(10)
        (arrived_s,) = [at_s for at_s, data in stream.written if b"change" in data]
        assert arrived_s < 0.65
        assert sum(len(data) for _, data in stream.written) == 300 * 1004 + 10
        assert not link.queued_bytes()
