"""Message links: proof of the cluster key, bounds, and peers of a newer release."""

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
    """A call of these tests."""

    kind: ClassVar[str]
    text: str


@message("test_unheard")
@dataclass(slots=True)
class Unheard(Message):
    """A call that nobody handles."""

    kind: ClassVar[str]


def hello(name: str) -> Hello:
    return Hello(name, "waco-a", 1, "agent", b"")


def answering() -> Handlers:
    handlers = Handlers()

    @handlers.on(Question)
    async def answer(question: Question, link: MessageLink) -> Question:
        return Question(question.text.upper())

    return handlers


class Acceptor:
    """One accepting end, which keeps what became of its link."""

    def __init__(self, handlers: Handlers) -> None:
        self.network = MemoryNetwork("127.0.0.2")
        self.handlers = handlers
        self.link: MessageLink | None = None
        self.ends: list[str] = []

    async def accept(self, stream: trio.abc.HalfCloseableStream) -> None:
        try:
            self.link = await accept_link(stream, KEY, hello("b"), self.handlers)
        except LinkClosed as error:
            self.ends.append(str(error))
            return
        self.ends.append(await self.link.run())

    async def dial(self, nursery: trio.Nursery) -> trio.abc.HalfCloseableStream:
        await nursery.start(self.network.listen, ADDRESS, self.accept)
        return await self.network.with_host("127.0.0.1").dial(ADDRESS)


def incompressible(size: int) -> str:
    """Return a text that takes at least a byte a character on a link."""
    return random.Random(1).randbytes(size).decode("latin-1")


def raw_frame(payload: bytes) -> bytes:
    return len(payload).to_bytes(4, "big") + payload


async def read_raw(stream: trio.abc.ReceiveStream) -> bytes:
    data = b""
    while len(data) < 4 or len(data) < 4 + int.from_bytes(data[:4], "big"):
        data += await stream.receive_some(1)
    return data[4:]


async def opened(nursery: trio.Nursery, stream, key: bytes = KEY) -> MessageLink:
    """Make the dialling end's link, and run it."""
    link = await open_link(stream, key, hello("a"), Handlers())
    nursery.start_soon(link.run)
    return link


class TestHello:
    async def test_newer_release_with_an_unknown_field(self, autojump_clock):
        """An upgraded node cannot join the nodes that are not upgraded yet.

        Its hello carries a field that they do not know. They drop the field when
        they decode it, and a proof that is compared with the hello encoded again
        fails: half-way through an upgrade the fleet falls into two parts.
        """
        acceptor = Acceptor(answering())
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
            assert acceptor.ends == []
            assert acceptor.link.hello.name == "a"
            nursery.cancel_scope.cancel()

    async def test_wrong_key(self, autojump_clock):
        """A process without the cluster key gets no link, and its calls are not read.

        Both ends say so at once, so that a wrong setting is found at the start.
        """
        acceptor = Acceptor(answering())
        async with trio.open_nursery() as nursery:
            stream = await acceptor.dial(nursery)
            with pytest.raises(LinkClosed, match="wrong cluster key"):
                await opened(nursery, stream, b"another key")
            await stream.aclose()
            await trio.sleep(0.1)
            assert acceptor.link is None
            assert len(acceptor.ends) == 1
            nursery.cancel_scope.cancel()

    async def test_says_nothing(self, autojump_clock):
        acceptor = Acceptor(answering())
        async with trio.open_nursery() as nursery:
            await acceptor.dial(nursery)
            await trio.sleep(4)
            assert acceptor.ends == ["no hello: TooSlowError"]
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
        """A peer sends no message, or one with a field missing or of a wrong type.

        A handler would fail on it and end the process. What follows in the stream
        cannot be trusted, so the link ends, is counted, and a call that waits on it
        fails at once instead of at its timeout.
        """
        acceptor = Acceptor(answering())
        async with trio.open_nursery() as nursery:
            link = await opened(nursery, await acceptor.dial(nursery))
            await link.stream.send_all(frame)
            start_s = trio.current_time()
            answer = await link.call(Question("late"), 60)
            assert answer == CallFailed("closed", maybe_handled=True)
            assert trio.current_time() - start_s < 1
            await trio.sleep(0.1)
            assert acceptor.ends == [reason or "unreadable message"]
            assert acceptor.link.traffic.unreadable == unreadable
            nursery.cancel_scope.cancel()

    async def test_large_message_is_compressed(self, autojump_clock):
        """Guards against documents that go over slow links in full size."""
        acceptor = Acceptor(answering())
        async with trio.open_nursery() as nursery:
            link = await opened(nursery, await acceptor.dial(nursery))
            text = "a route of many " * 10_000
            assert await link.call(Question(text), 1) == Question(text.upper())
            traffic = acceptor.link.traffic
            counts = (traffic.received, traffic.sent)
            assert all(c["test_question"].bytes < 2000 for c in counts)
            nursery.cancel_scope.cancel()

    async def test_peer_of_an_older_release_gets_plain_frames(self, autojump_clock):
        """Guards against frames that a peer cannot read during an upgrade."""
        acceptor = Acceptor(answering())
        async with trio.open_nursery() as nursery:
            link = await opened(nursery, await acceptor.dial(nursery))
            assert await link.call(Question("first"), 1) == Question("FIRST")
            link.hello.compression = acceptor.link.hello.compression = ""
            text = "a route of many " * 1000
            assert await link.call(Question(text), 1) == Question(text.upper())
            assert acceptor.link.traffic.received["test_question"].bytes > len(text)
            nursery.cancel_scope.cancel()

    async def test_newer_peer(self, autojump_clock):
        """During an upgrade a newer peer sends kinds and fields of its release.

        Nothing of that may end the link: a call of a kind that is not known here
        gets an answer which says that it was not handled.
        """
        acceptor = Acceptor(answering())
        async with trio.open_nursery() as nursery:
            link = await opened(nursery, await acceptor.dial(nursery))
            unknown = msgpack.packb(["of_next_year", 0, 0, {"a": 1}])
            await link.queue_frame("of_next_year", unknown)
            assert await link.call(Unheard(), 1) == CallFailed("unsupported", False)
            body = {"text": "hi", "colour": "new"}
            newer = msgpack.packb(["test_question", 99, 0, body])
            await link.queue_frame("test_question", newer)
            assert await link.call(Question("hello"), 1) == Question("HELLO")
            assert acceptor.link.traffic.unsupported == 2
            nursery.cancel_scope.cancel()

    async def test_caller_hangs_up_while_sending(self, autojump_clock):
        """One caller's cancellation must not cost the calls of all others.

        A large message waits for room. Its sender is cancelled. If half of it were
        out, the link would have to end, and every other call on it would turn into
        "unknown".
        """
        acceptor = Acceptor(answering())
        async with trio.open_nursery() as nursery:
            link = await opened(nursery, await acceptor.dial(nursery))
            large = incompressible(3 * 1024 * 1024)
            async with trio.open_nursery() as callers:
                for _ in range(3):
                    callers.start_soon(link.call, Question(large), 60)
                await trio.lowlevel.checkpoint()
                callers.cancel_scope.cancel()
            assert await link.call(Question("next"), 2) == Question("NEXT")
            assert not link.is_closed
            nursery.cancel_scope.cancel()

    async def test_peer_that_never_reads(self, autojump_clock):
        """A frozen peer keeps its connection open and reads nothing any more.

        The buffers fill; senders must get their answer within a bound, and the
        queue must not grow.
        """
        network = MemoryNetwork("127.0.0.2")

        async def accept_and_freeze(stream):
            await accept_link(stream, KEY, hello("b"), Handlers())
            await trio.sleep(math.inf)

        async with trio.open_nursery() as nursery:
            await nursery.start(network.listen, ADDRESS, accept_and_freeze)
            stream = await network.with_host("127.0.0.1").dial(ADDRESS)
            link = await opened(nursery, stream)
            text = incompressible(400_000)
            sent = [await link.send(Question(text)) for _ in range(8)]
            assert sent[0] and not sent[-1]
            assert link.end_reason == "the other end does not read"
            assert len(link.output) < 2 * 1024 * 1024
            nursery.cancel_scope.cancel()
