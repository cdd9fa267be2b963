"""Message links: proof of the cluster key, bounds, and peers of a newer release."""

import hashlib
import hmac
from dataclasses import dataclass
from typing import ClassVar

import msgpack
import trio

from rosemaryknot.connection.links import (
    Handlers,
    Hello,
    LinkClosed,
    MessageLink,
    accept_link,
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


def raw_frame(payload: bytes) -> bytes:
    return len(payload).to_bytes(4, "big") + payload


async def read_raw(stream: trio.abc.ReceiveStream) -> bytes:
    data = b""
    while len(data) < 4 or len(data) < 4 + int.from_bytes(data[:4], "big"):
        data += await stream.receive_some(1)
    return data[4:]


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
            mac = hmac.new(
                KEY, b"dialled" + theirs["nonce"] + ours, hashlib.sha256
            ).digest()
            proof = msgpack.packb(["proof", 0, 0, {"mac": mac}])
            await stream.send_all(raw_frame(proof))
            await trio.sleep(1)
            assert acceptor.ends == []
            assert acceptor.link.hello.name == "a"
            nursery.cancel_scope.cancel()
