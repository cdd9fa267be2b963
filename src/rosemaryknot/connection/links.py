"""Message links: one authenticated stream between two of our processes.

A frame is a length and a msgpack array (see `rosemaryknot.values.messages`). Both
ends prove in the hello that they hold the cluster key. One task reads a link and
one writes it, with a heartbeat when nothing else was sent for a second. Each message
is handled in a task of its own, so that one slow handler does not hold up
heartbeats. Messages may therefore be handled in another order than they were sent:
what must not go back carries a number.
"""

from collections.abc import Awaitable, Callable

import trio

from rosemaryknot.connection.link_compression import (
    ZSTD,
    compressed,
    decompressed,
)
from rosemaryknot.connection.link_handlers import Handlers
from rosemaryknot.connection.link_hello import (
    MAX_FRAME_BYTES,
    FrameReader,
    exchange_hellos,
)
from rosemaryknot.connection.link_messages import (
    Beat,
    Busy,
    CallFailed,
    Hello,
    LinkClosed,
    Unsupported,
)
from rosemaryknot.connection.link_traffic import Traffic
from rosemaryknot.process.logs import logger
from rosemaryknot.values.messages import (
    Message,
    MessageError,
    decode_message,
    encode_message,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "CallFailed",
    "Handlers",
    "Hello",
    "LinkClosed",
    "MessageLink",
    "Traffic",
    "accept_link",
    "open_link",
]

MAX_QUEUED_BYTES = 1024 * 1024
MAX_HANDLERS = 2048
SEND_TIMEOUT_S = 5.0
HEARTBEAT_S = 1.0
SHORTEST_SLEEP_S = 0.001
SLOW_WRITE_S = 0.5

log = logger("links")

REFUSALS = {Busy: "busy", Unsupported: "unsupported"}


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
    traffic : Traffic, optional
        Counts the messages.

    Attributes
    ----------
    hello : Hello
        What the other end said of itself.
    last_heard_s : float
        When the last frame came, in trio time.
    opened_s : float
        When the hellos were exchanged, in trio time.
    is_closed : bool
        Whether the link has ended.
    """

    def __init__(
        self,
        stream: trio.abc.HalfCloseableStream,
        reader: FrameReader,
        hello: Hello,
        handlers: Handlers,
        traffic: Traffic | None = None,
    ) -> None:
        self.stream = stream
        self.reader = reader
        self.hello = hello
        self.handlers = handlers
        self.traffic = Traffic() if traffic is None else traffic
        self.waiting: dict[int, tuple[trio.Event, list[Message]]] = {}
        self.last_call = 0
        self.is_closed = False
        self.end_reason = ""
        self.opened_s = trio.current_time()
        self.last_heard_s = self.opened_s
        self.last_sent_s = self.opened_s
        self.output = bytearray()
        self.is_writing = False
        self.output_changed = trio.lowlevel.ParkingLot()

    async def queue_frame(self, kind: str, payload: bytes) -> None:
        """Queue one frame; a peer that never reads closes the link.

        A cancelled sender leaves either the whole frame in the queue or nothing of
        it. Writing the stream from the senders would let a caller who hangs up
        leave half a frame behind, which costs every other user of the link.
        """
        if len(payload) + 4 > MAX_FRAME_BYTES:
            raise ValueError(f"{kind} message of {len(payload)} bytes is too large")
        payload = self.packed(payload)
        size = len(payload) + 4
        if not self.has_room(size):
            await self.wait_for_room(size)
        if self.is_closed:
            raise LinkClosed(self.end_reason)
        self.append_frame(kind, payload)

    def put(self, kind: str, payload: bytes) -> bool:
        """Queue an encoded message if that needs no wait.

        Parameters
        ----------
        kind : str
            Its kind.
        payload : bytes
            Made by `rosemaryknot.values.messages.encode_message`.

        Returns
        -------
        queued : bool
            False where the link is closed or full.
        """
        if self.is_closed or len(payload) + 4 > MAX_FRAME_BYTES:
            return False
        payload = self.packed(payload)
        if not self.has_room(len(payload) + 4):
            return False
        self.append_frame(kind, payload)
        return True

    def packed(self, payload: bytes) -> bytes:
        """Return a payload as it goes out on this link."""
        return compressed(payload) if self.hello.compression == ZSTD else payload

    def append_frame(self, kind: str, payload: bytes) -> None:
        """Queue one frame, for which there is room."""
        size = len(payload) + 4
        self.output += len(payload).to_bytes(4, "big") + payload
        self.output_changed.unpark_all()
        self.last_sent_s = trio.current_time()
        self.traffic.add_sent(kind, size)

    def has_room(self, size: int) -> bool:
        """Tell whether a frame may be queued; on a closed link it fails later."""
        fits = len(self.output) + size <= MAX_QUEUED_BYTES
        return self.is_closed or not self.output or fits

    async def wait_for_room(self, size: int) -> None:
        """Wait until a frame may be queued; close the link where none is read."""
        with trio.move_on_after(SEND_TIMEOUT_S) as scope:
            while not self.has_room(size):
                await self.output_changed.park()
        if scope.cancelled_caught:
            self.close("the other end does not read")

    async def write_output(self) -> None:
        """Write what is queued, in as few writes as there is time for."""
        while not self.is_closed:
            if not self.output:
                await self.output_changed.park()
                continue
            data, self.output = self.output, bytearray()
            self.is_writing = True
            self.output_changed.unpark_all()
            began_s = trio.current_time()
            with trio.fail_after(SEND_TIMEOUT_S):
                await self.stream.send_all(data)
            self.note_write(len(data), trio.current_time() - began_s)
            self.is_writing = False
            self.output_changed.unpark_all()

    def note_write(self, size: int, took_s: float) -> None:
        """Log a write that the link held up."""
        if took_s > SLOW_WRITE_S:
            log.warning(
                "slow write",
                peer=self.hello.name,
                bytes=size,
                took_s=round(took_s, 3),
                queued_bytes=len(self.output),
            )

    async def send_heartbeats(self) -> None:
        """Send a heartbeat whenever nothing else was sent for a while."""
        while not self.is_closed:
            due_s = self.last_sent_s + HEARTBEAT_S
            if due_s > trio.current_time():
                await trio.sleep_until(due_s)
            elif not await self.send(Beat()):
                return

    def silence_s(self) -> float:
        """Return for how many seconds nothing has come."""
        return trio.current_time() - self.last_heard_s

    def age_s(self) -> float:
        """Return for how many seconds the link has been open."""
        return trio.current_time() - self.opened_s

    async def close_when_silent(self, bound_s: float) -> None:
        """Close the link once nothing has come for a time; runs beside `run`.

        Parameters
        ----------
        bound_s : float
            Longest silence, in seconds; more than `HEARTBEAT_S`.
        """
        while not self.is_closed:
            left_s = bound_s - self.silence_s()
            if left_s <= 0:
                self.close("silent")
            # A rest too small to change the clock's floating-point value would make
            # this loop spin without time passing.
            await trio.sleep(max(left_s, SHORTEST_SLEEP_S))

    async def flush(self, timeout_s: float) -> None:
        """Wait until everything queued is written, but no longer than the timeout.

        Parameters
        ----------
        timeout_s : float
            Bound on the wait, in seconds.
        """
        with trio.move_on_after(timeout_s):
            while (self.output or self.is_writing) and not self.is_closed:
                await self.output_changed.park()

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
            await self.queue_frame(value.kind, encode_message(value))
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
                await self.queue_frame(value.kind, encode_message(value, call=number))
                await event.wait()
        except LinkClosed:
            return CallFailed("closed", maybe_handled=True)
        finally:
            del self.waiting[number]
        if not answers:
            reason = "closed" if self.is_closed else "timeout"
            return CallFailed(reason, maybe_handled=True)
        refusal = REFUSALS.get(type(answers[0]))
        if refusal is not None:
            return CallFailed(refusal, maybe_handled=False)
        return answers[0]

    async def run(self) -> str:
        """Read and write messages until the link ends.

        The handlers that still run when the link ends are cancelled: nobody can
        get their answer any more.

        Returns
        -------
        reason : str
            Why it ended.
        """
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.until_end, self.write_output, nursery)
                nursery.start_soon(self.send_heartbeats)
                await self.until_end(self.read_messages, nursery, nursery)
        finally:
            self.close("cancelled")
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)
        return self.end_reason

    async def until_end(
        self, work: Callable[..., Awaitable[None]], nursery: trio.Nursery, *args: object
    ) -> None:
        """Read or write, and close the link when that is over."""
        try:
            await work(*args)
        except LinkClosed as error:
            self.close(str(error))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.close("broken")
        except trio.TooSlowError:
            self.close("the other end does not read")
        except MessageError:
            self.traffic.unreadable += 1
            self.close("unreadable message")
        nursery.cancel_scope.cancel()

    async def read_messages(self, nursery: trio.Nursery) -> None:
        """Hand each message to its handler or to the call that waits for it."""
        while not self.is_closed:
            payload = await self.reader.read_frame()
            self.last_heard_s = trio.current_time()
            message = decompressed(payload, MAX_FRAME_BYTES)
            value, call, reply_to = decode_message(message)
            self.traffic.add_received(value.kind, len(payload) + 4)
            if isinstance(value, Beat):
                continue
            if reply_to:
                self.resolve(reply_to, value)
            elif len(nursery.child_tasks) <= MAX_HANDLERS:
                nursery.start_soon(self.handle, value, call)
            elif call:
                # Without a bound a flood of calls fills the memory of the node;
                # the caller of a refused call knows that it was not handled.
                await self.reply(Busy(), call)

    async def handle(self, value: Message, call: int) -> None:
        """Run the handler of one message and send its answer."""
        handler = self.handlers.by_type.get(type(value))
        if handler is None:
            self.traffic.unsupported += 1
            answer = Unsupported()
        else:
            answer = await handler(value, self)
        if call and answer is not None:
            await self.reply(answer, call)

    async def reply(self, answer: Message, call: int) -> None:
        """Answer a call, if the link is still there."""
        payload = encode_message(answer, reply_to=call)
        try:
            await self.queue_frame(answer.kind, payload)
        except LinkClosed:
            return

    def resolve(self, number: int, value: Message) -> None:
        """Give an answer to its call; one that comes too late is dropped."""
        waiting = self.waiting.get(number)
        if waiting is not None:
            event, answers = waiting
            answers.append(value)
            event.set()

    def close(self, reason: str = "closed") -> None:
        """End the link; calls that wait fail at once.

        Parameters
        ----------
        reason : str
            What `run` returns.
        """
        if self.is_closed:
            return
        self.is_closed = True
        self.end_reason = reason
        for event, _ in self.waiting.values():
            event.set()
        self.output_changed.unpark_all()


async def open_link(
    stream: trio.abc.HalfCloseableStream,
    key: bytes,
    hello: Hello,
    handlers: Handlers,
    traffic: Traffic | None = None,
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
    traffic : Traffic, optional
        Counts the messages.

    Returns
    -------
    link : MessageLink
        Ready to `MessageLink.run`.

    Raises
    ------
    LinkClosed
        If the other end does not prove that it holds the key.
    """
    reader = FrameReader(stream)
    theirs = await exchange_hellos(stream, reader, key, hello, is_dialled=True)
    return MessageLink(stream, reader, theirs, handlers, traffic)


async def accept_link(
    stream: trio.abc.HalfCloseableStream,
    key: bytes,
    hello: Hello,
    handlers: Handlers,
    traffic: Traffic | None = None,
) -> MessageLink:
    """Make a link of a stream that we accepted; see `open_link`."""
    reader = FrameReader(stream)
    theirs = await exchange_hellos(stream, reader, key, hello, is_dialled=False)
    return MessageLink(stream, reader, theirs, handlers, traffic)
