"""Message links: one authenticated stream between two of our processes.

A frame is a length and a msgpack array (see `rosemaryknot.values.messages`). Both
ends prove in the hello that they hold the cluster key. One task reads a link;
each call from the other end is handled in a task of its own, so that one slow
handler does not hold up heartbeats.
"""

import hashlib
import hmac
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import ClassVar, TypeVar

import trio

from rosemaryknot.values.messages import (
    Message,
    MessageError,
    UnknownKind,
    decode_message,
    encode_message,
    message,
)
from rosemaryknot.values.nodes import Node

__all__ = [
    "CallFailed",
    "Handlers",
    "Hello",
    "LinkClosed",
    "MessageLink",
    "accept_link",
    "open_link",
]

MAX_FRAME_BYTES = 8 * 1024 * 1024
HELLO_TIMEOUT_S = 3.0
MAX_HANDLERS = 2048
SEND_TIMEOUT_S = 5.0
PROTOCOL = 1
RECEIVE_BYTES = 65536

MessageType = TypeVar("MessageType", bound=Message)


@message("hello")
@dataclass(slots=True)
class Hello(Message):
    """First message of each end.

    Attributes
    ----------
    name, zone, incarnation
        See `rosemaryknot.values.nodes.Node`.
    role : str
        ``agent`` or ``entry``.
    nonce : bytes
        Random bytes that the other end's proof must cover.
    protocol : int
        Version of the link protocol.
    address : str
        Where the sender accepts links, or empty.
    """

    kind: ClassVar[str]
    name: str
    zone: str
    incarnation: int
    role: str
    nonce: bytes
    protocol: int = PROTOCOL
    address: str = ""

    @property
    def node(self) -> Node:
        """The node that sent it."""
        return Node(self.name, self.zone, self.incarnation)


@message("proof")
@dataclass(slots=True)
class Proof(Message):
    """Shows that the sender holds the cluster key."""

    kind: ClassVar[str]
    mac: bytes


@message("busy")
@dataclass(slots=True)
class Busy(Message):
    """Answer to a call that the other end has no room to handle."""

    kind: ClassVar[str]


@dataclass(slots=True)
class CallFailed:
    """A call without an answer.

    Attributes
    ----------
    reason : str
        ``timeout``, ``closed`` or ``busy``.
    maybe_handled : bool
        Whether the other end may have handled the call all the same.
    """

    reason: str
    maybe_handled: bool


class LinkClosed(Exception):
    """The link ended, or its other end broke the protocol."""


class Handlers:
    """Registry of what a process does with each kind of message.

    Examples
    --------
    >>> handlers = Handlers()
    >>> @handlers.on(Busy)
    ... async def handle(message, link):
    ...     return None
    """

    def __init__(self) -> None:
        self.by_type: dict[type[Message], Callable] = {}

    def on(
        self, message_type: type[MessageType]
    ) -> Callable[
        [Callable[[MessageType, "MessageLink"], Awaitable[Message | None]]], Callable
    ]:
        """Register an async function of message and link that returns the reply.

        Parameters
        ----------
        message_type : type
            Kind of message that the function handles.

        Returns
        -------
        decorator : callable
            Returns the function unchanged.
        """

        def register(function: Callable) -> Callable:
            self.by_type[message_type] = function
            return function

        return register


def proof_of(key: bytes, nonce: bytes, hello: Hello) -> Proof:
    """Return the proof for the other end's nonce and our own hello."""
    text = encode_message(hello)
    return Proof(hmac.new(key, nonce + text, hashlib.sha256).digest())


class FrameReader:
    """Cuts a stream into frames."""

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self.stream = stream
        self.buffer = bytearray()

    async def read_exactly(self, size: int) -> bytes:
        """Return the next ``size`` bytes."""
        while len(self.buffer) < size:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise LinkClosed("end of stream")
            self.buffer += data
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        return data

    async def read_frame(self) -> bytes:
        """Return the next frame's payload."""
        size = int.from_bytes(await self.read_exactly(4), "big")
        if size > MAX_FRAME_BYTES:
            raise LinkClosed(f"frame of {size} bytes is too large")
        return await self.read_exactly(size)


class MessageLink:
    """One link, after both hellos.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        The connection.
    reader : FrameReader
        Reads the stream.
    hello : Hello
        What the other end said of itself.
    handlers : Handlers
        What to do with incoming messages.

    Attributes
    ----------
    hello : Hello
        What the other end said of itself.
    last_heard_s : float
        When the last frame came, in trio time.
    bytes_sent, bytes_received, unreadable : int
        Counters.
    """

    def __init__(
        self,
        stream: trio.abc.HalfCloseableStream,
        reader: FrameReader,
        hello: Hello,
        handlers: Handlers,
    ) -> None:
        self.stream = stream
        self.reader = reader
        self.hello = hello
        self.handlers = handlers
        self.send_lock = trio.Lock()
        self.waiting: dict[int, tuple[trio.Event, list[Message]]] = {}
        self.last_call = 0
        self.is_closed = False
        self.last_heard_s = trio.current_time()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.unreadable = 0

    async def send_frame(self, payload: bytes) -> None:
        """Write one frame; a peer that never reads closes the link."""
        if self.is_closed:
            raise LinkClosed("closed")
        frame = len(payload).to_bytes(4, "big") + payload
        try:
            with trio.fail_after(SEND_TIMEOUT_S):
                async with self.send_lock:
                    await self.stream.send_all(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.close()
            raise LinkClosed("broken") from error
        except trio.TooSlowError as error:
            self.close()
            raise LinkClosed("the other end does not read") from error
        except trio.Cancelled:
            # Half a frame may be out: whatever followed would be read as its rest.
            self.close()
            raise
        self.bytes_sent += len(frame)

    async def send(self, value: Message) -> bool:
        """Send a message that needs no answer.

        Parameters
        ----------
        value : Message
            The message.

        Returns
        -------
        sent : bool
            False where the link is closed; True is no proof of arrival.
        """
        try:
            await self.send_frame(encode_message(value))
        except LinkClosed:
            return False
        return True

    async def call(self, value: Message, timeout_s: float) -> Message | CallFailed:
        """Send a message and wait for its answer.

        Parameters
        ----------
        value : Message
            The message.
        timeout_s : float
            Bound on the wait, in seconds.

        Returns
        -------
        answer : Message or CallFailed
            The answer, or why there is none.
        """
        if self.is_closed:
            return CallFailed("closed", maybe_handled=False)
        self.last_call += 1
        number = self.last_call
        event, answers = trio.Event(), []
        self.waiting[number] = (event, answers)
        try:
            with trio.move_on_after(timeout_s):
                await self.send_frame(encode_message(value, call=number))
                await event.wait()
        except LinkClosed:
            return CallFailed("closed", maybe_handled=True)
        finally:
            del self.waiting[number]
        if not answers:
            reason = "closed" if self.is_closed else "timeout"
            return CallFailed(reason, maybe_handled=True)
        if isinstance(answers[0], Busy):
            return CallFailed("busy", maybe_handled=False)
        return answers[0]

    async def run(self) -> str:
        """Read messages until the link ends.

        Returns
        -------
        reason : str
            Why it ended.
        """
        try:
            async with trio.open_nursery() as nursery:
                try:
                    await self.read_messages(nursery)
                except LinkClosed as error:
                    reason = str(error)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    reason = "broken"
                except MessageError:
                    self.unreadable += 1
                    reason = "unreadable message"
                self.close()
                nursery.cancel_scope.cancel()
        finally:
            self.close()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)
        return reason

    async def read_messages(self, nursery: trio.Nursery) -> None:
        """Hand each message to its handler or to the call that waits for it."""
        while True:
            payload = await self.reader.read_frame()
            self.bytes_received += len(payload) + 4
            self.last_heard_s = trio.current_time()
            value, call, reply_to = decode_message(payload)
            if reply_to:
                self.resolve(reply_to, value)
            elif len(nursery.child_tasks) >= MAX_HANDLERS:
                # Without a bound a flood of calls fills the memory of the node;
                # the caller of a refused call knows that it was not handled.
                await self.send_frame(encode_message(Busy(), reply_to=call))
            else:
                nursery.start_soon(self.handle, value, call)

    async def handle(self, value: Message, call: int) -> None:
        """Run the handler of one message and send its answer."""
        handler = self.handlers.by_type.get(type(value))
        if handler is None or isinstance(value, UnknownKind):
            answer = Busy()
        else:
            answer = await handler(value, self)
        if call and answer is not None:
            try:
                await self.send_frame(encode_message(answer, reply_to=call))
            except LinkClosed:
                return

    def resolve(self, number: int, value: Message) -> None:
        """Give an answer to its call; one that comes too late is dropped."""
        waiting = self.waiting.get(number)
        if waiting is not None:
            event, answers = waiting
            answers.append(value)
            event.set()

    def close(self) -> None:
        """End the link; calls that wait fail at once."""
        self.is_closed = True
        for event, _ in self.waiting.values():
            event.set()


async def open_link(
    stream: trio.abc.HalfCloseableStream, key: bytes, hello: Hello, handlers: Handlers
) -> MessageLink:
    """Make a link of a stream that we dialled.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        The connection.
    key : bytes
        Cluster key.
    hello : Hello
        What we say of ourselves; its nonce is replaced.
    handlers : Handlers
        What to do with incoming messages.

    Returns
    -------
    link : MessageLink
        Ready to `MessageLink.run`.

    Raises
    ------
    LinkClosed
        If the other end does not prove that it holds the key.
    """
    return await exchange(stream, key, hello, handlers, speaks_first=True)


async def accept_link(
    stream: trio.abc.HalfCloseableStream, key: bytes, hello: Hello, handlers: Handlers
) -> MessageLink:
    """Make a link of a stream that we accepted; see `open_link`."""
    return await exchange(stream, key, hello, handlers, speaks_first=False)


async def exchange(
    stream: trio.abc.HalfCloseableStream,
    key: bytes,
    hello: Hello,
    handlers: Handlers,
    speaks_first: bool,
) -> MessageLink:
    """Exchange hellos and proofs."""
    ours = Hello(
        hello.name,
        hello.zone,
        hello.incarnation,
        hello.role,
        secrets.token_bytes(16),
        hello.protocol,
        hello.address,
    )
    reader = FrameReader(stream)
    try:
        with trio.fail_after(HELLO_TIMEOUT_S):
            if speaks_first:
                await send_raw(stream, ours)
                theirs = await read_as(reader, Hello)
                await check_proof(reader, key, ours.nonce, theirs)
                await send_raw(stream, proof_of(key, theirs.nonce, ours))
            else:
                theirs = await read_as(reader, Hello)
                await send_raw(stream, ours)
                await send_raw(stream, proof_of(key, theirs.nonce, ours))
                await check_proof(reader, key, ours.nonce, theirs)
    except (
        MessageError,
        trio.BrokenResourceError,
        trio.ClosedResourceError,
        trio.TooSlowError,
    ) as error:
        raise LinkClosed(f"no hello: {type(error).__name__}") from error
    return MessageLink(stream, reader, theirs, handlers)


async def send_raw(stream: trio.abc.SendStream, value: Message) -> None:
    """Write one frame outside of a link."""
    payload = encode_message(value)
    await stream.send_all(len(payload).to_bytes(4, "big") + payload)


async def read_as(reader: FrameReader, wanted: type[MessageType]) -> MessageType:
    """Read one message, which must be of the wanted kind."""
    value, _, _ = decode_message(await reader.read_frame())
    if not isinstance(value, wanted):
        raise LinkClosed(f"expected {wanted.kind}")
    return value


async def check_proof(
    reader: FrameReader, key: bytes, nonce: bytes, theirs: Hello
) -> None:
    """Read the other end's proof and compare it."""
    proof = await read_as(reader, Proof)
    if not hmac.compare_digest(proof.mac, proof_of(key, nonce, theirs).mac):
        raise LinkClosed("wrong cluster key")
