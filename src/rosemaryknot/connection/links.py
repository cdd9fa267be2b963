"""Message links: authenticated streams between two processes of a cluster.

A frame consists of a length and a msgpack array (see `rosemaryknot.values.messages`).
In the handshake, both ends prove that they hold the cluster key. One task reads a link
and one writes it; a heartbeat is sent if nothing else was sent for a second. Each
message is handled in its own task, so that a slow handler does not delay heartbeats.
Messages may therefore be handled out of order: state that must not go backwards
carries a version number.
"""

from collections import deque
from collections.abc import Awaitable, Callable

import trio

from rosemaryknot.connection.link_compression import (
    ZSTD,
    compress,
    decompress,
)
from rosemaryknot.connection.link_handlers import Handlers
from rosemaryknot.connection.link_hello import (
    MAX_FRAME_BYTES,
    FrameReader,
    exchange_hellos,
)
from rosemaryknot.connection.link_messages import (
    Busy,
    CallFailed,
    Heartbeat,
    Hello,
    LinkClosed,
    Unsupported,
)
from rosemaryknot.connection.link_traffic import Traffic
from rosemaryknot.process.logs import fault_fields, logger
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
MIN_SLEEP_S = 0.001
SLOW_WRITE_S = 0.5
# Messages that wait while others are to be sent: what they say may come later or is
# repeated, and after an event they are the most.
DEFERRABLE_KINDS = frozenset(
    {"crash_notice", "server_limit_notice", "duty_reports", "gateway_load"}
)
# Deferrable bytes in one write, which the other messages wait for; 13 ms at 5 Mbit/s.
MAX_DEFERRED_WRITE_BYTES = 8192

log = logger("links")

REFUSAL_REASONS = {Busy: "busy", Unsupported: "unsupported"}


class MessageLink:
    """An established link, after the exchange of hellos.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        The connection.
    reader : FrameReader
        Reader of the stream.
    hello : Hello
        Hello of the peer.
    handlers : Handlers
        Handlers of incoming messages.
    traffic : Traffic, optional
        Counters of messages.

    Attributes
    ----------
    hello : Hello
        Hello of the peer.
    last_received_s : float
        When the last frame was received, in trio time.
    opened_s : float
        When the hellos were exchanged, in trio time.
    is_closed : bool
        Whether the link has ended.
    output : bytearray
        Frames that wait to be written.
    deferred : collections.deque of bytes
        Frames that are written once no others wait.
    deferred_bytes : int
        Their size.
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
        self.pending_calls: dict[int, tuple[trio.Event, list[Message]]] = {}
        self.last_call_number = 0
        self.is_closed = False
        self.end_reason = ""
        self.opened_s = trio.current_time()
        self.last_received_s = self.opened_s
        self.last_sent_s = self.opened_s
        self.output = bytearray()
        self.deferred: deque[bytes] = deque()
        self.deferred_bytes = 0
        self.is_writing = False
        self.output_changed = trio.lowlevel.ParkingLot()

    async def queue_frame(self, kind: str, payload: bytes) -> None:
        """Queue one frame; close the link if the peer does not read.

        A cancelled sender leaves either the whole frame in the queue or nothing. If
        senders wrote to the stream directly, cancelling one could leave a partial
        frame behind, which would break the link for all its users.
        """
        if len(payload) + 4 > MAX_FRAME_BYTES:
            raise ValueError(f"{kind} message of {len(payload)} bytes is too large")
        payload = self.packed(payload)
        size = len(payload) + 4
        if not self.has_capacity(size):
            await self.wait_for_capacity(size)
        if self.is_closed:
            raise LinkClosed(self.end_reason)
        self.append_frame(kind, payload)

    def put(self, kind: str, payload: bytes) -> bool:
        """Queue an encoded message if that is possible without waiting.

        Parameters
        ----------
        kind : str
            Kind of the message.
        payload : bytes
            Message encoded by `rosemaryknot.values.messages.encode_message`.

        Returns
        -------
        queued : bool
            False if the link is closed or its queue is full.
        """
        if self.is_closed or len(payload) + 4 > MAX_FRAME_BYTES:
            return False
        payload = self.packed(payload)
        if not self.has_capacity(len(payload) + 4):
            return False
        self.append_frame(kind, payload)
        return True

    def packed(self, payload: bytes) -> bytes:
        """Return a payload, compressed if the peer supports it."""
        return compress(payload) if self.hello.compression == ZSTD else payload

    def append_frame(self, kind: str, payload: bytes) -> None:
        """Append one frame to the queue, which must have capacity for it."""
        size = len(payload) + 4
        frame = len(payload).to_bytes(4, "big") + payload
        if kind in DEFERRABLE_KINDS:
            self.deferred.append(frame)
            self.deferred_bytes += size
        else:
            self.output += frame
        self.output_changed.unpark_all()
        self.last_sent_s = trio.current_time()
        self.traffic.add_sent(kind, size)

    def has_capacity(self, size: int) -> bool:
        """Return whether a frame may be queued.

        True on a closed link, where queueing fails with `LinkClosed` afterwards.
        """
        queued = self.queued_bytes()
        return self.is_closed or not queued or queued + size <= MAX_QUEUED_BYTES

    def queued_bytes(self) -> int:
        """Return the number of bytes that wait to be written."""
        return len(self.output) + self.deferred_bytes

    def pop_output(self) -> bytes | bytearray:
        """Remove and return what is to be written next."""
        if self.output:
            data, self.output = self.output, bytearray()
            return data
        data = bytearray()
        while self.deferred and len(data) < MAX_DEFERRED_WRITE_BYTES:
            data += self.deferred.popleft()
        self.deferred_bytes -= len(data)
        return data

    async def wait_for_capacity(self, size: int) -> None:
        """Wait until a frame may be queued; close the link at the timeout."""
        with trio.move_on_after(SEND_TIMEOUT_S) as scope:
            while not self.has_capacity(size):
                await self.output_changed.park()
        if scope.cancelled_caught:
            self.close("the other end does not read")

    async def write_output(self) -> None:
        """Write the queue, coalescing the frames that accumulate during a write."""
        while not self.is_closed:
            if not self.queued_bytes():
                await self.output_changed.park()
                continue
            data = self.pop_output()
            self.is_writing = True
            self.output_changed.unpark_all()
            started_s = trio.current_time()
            with trio.fail_after(SEND_TIMEOUT_S):
                await self.stream.send_all(data)
            self.log_slow_write(len(data), trio.current_time() - started_s)
            self.is_writing = False
            self.output_changed.unpark_all()

    def log_slow_write(self, size: int, took_s: float) -> None:
        """Log a write that took longer than `SLOW_WRITE_S`."""
        if took_s > SLOW_WRITE_S:
            log.warning(
                "slow write to link",
                peer=self.hello.name,
                bytes=size,
                took_s=round(took_s, 3),
                queued_bytes=self.queued_bytes(),
            )

    async def send_heartbeats(self) -> None:
        """Send a heartbeat whenever nothing else was sent for `HEARTBEAT_S`."""
        while not self.is_closed:
            due_s = self.last_sent_s + HEARTBEAT_S
            if due_s > trio.current_time():
                await trio.sleep_until(due_s)
            elif not await self.send(Heartbeat()):
                return

    def silence_s(self) -> float:
        """Return the seconds since the last frame was received."""
        return trio.current_time() - self.last_received_s

    def age_s(self) -> float:
        """Return the seconds since the link was opened."""
        return trio.current_time() - self.opened_s

    async def close_when_silent(self, timeout_s: float) -> None:
        """Close the link once nothing was received for a time.

        To be run concurrently with `run`.

        Parameters
        ----------
        timeout_s : float
            Maximum silence, in seconds; longer than `HEARTBEAT_S`.
        """
        while not self.is_closed:
            remaining_s = timeout_s - self.silence_s()
            if remaining_s <= 0:
                self.close("silent")
            # A sleep too short to change the floating-point value of the clock would
            # make this loop spin without any time passing.
            await trio.sleep(max(remaining_s, MIN_SLEEP_S))

    async def flush(self, timeout_s: float) -> None:
        """Wait until the queue is written, at most until the timeout.

        Parameters
        ----------
        timeout_s : float
            Maximum wait, in seconds.
        """
        with trio.move_on_after(timeout_s):
            while (self.queued_bytes() or self.is_writing) and not self.is_closed:
                await self.output_changed.park()

    async def send(self, value: Message) -> bool:
        """Send a one-way message.

        Parameters
        ----------
        value : Message
            The message.

        Returns
        -------
        sent : bool
            False if the link is closed; True does not guarantee delivery.
        """
        try:
            await self.queue_frame(value.kind, encode_message(value))
        except LinkClosed:
            return False
        return True

    async def call(self, value: Message, timeout_s: float) -> Message | CallFailed:
        """Send a request message and wait for the reply.

        Parameters
        ----------
        value : Message
            The request message.
        timeout_s : float
            Maximum wait, in seconds.

        Returns
        -------
        reply : Message or CallFailed
            The reply, or why there is none.
        """
        if self.is_closed:
            return CallFailed("closed", maybe_handled=False)
        self.last_call_number += 1
        number = self.last_call_number
        event, replies = trio.Event(), []
        self.pending_calls[number] = (event, replies)
        try:
            with trio.move_on_after(timeout_s):
                await self.queue_frame(value.kind, encode_message(value, call=number))
                await event.wait()
        except LinkClosed:
            return CallFailed("closed", maybe_handled=True)
        finally:
            del self.pending_calls[number]
        if not replies:
            reason = "closed" if self.is_closed else "timeout"
            return CallFailed(reason, maybe_handled=True)
        refusal = REFUSAL_REASONS.get(type(replies[0]))
        if refusal is not None:
            return CallFailed(refusal, maybe_handled=False)
        return replies[0]

    async def run(self) -> str:
        """Read and write messages until the link ends.

        Handlers that still run when the link ends are cancelled, since their replies
        can no longer be delivered.

        Returns
        -------
        reason : str
            Why it ended.
        """
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.run_until_end, self.write_output, nursery)
                nursery.start_soon(self.send_heartbeats)
                await self.run_until_end(self.read_messages, nursery, nursery)
        finally:
            self.close("cancelled")
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)
        return self.end_reason

    async def run_until_end(
        self, work: Callable[..., Awaitable[None]], nursery: trio.Nursery, *args: object
    ) -> None:
        """Run a read or write loop, and close the link when the loop ends."""
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
        """Dispatch each message to its handler or to the call that awaits it."""
        while not self.is_closed:
            payload = await self.reader.read_frame()
            self.last_received_s = trio.current_time()
            message = decompress(payload, MAX_FRAME_BYTES)
            value, call, reply_to = decode_message(message)
            self.traffic.add_received(value.kind, len(payload) + 4)
            if isinstance(value, Heartbeat):
                continue
            if reply_to:
                self.resolve(reply_to, value)
            elif len(nursery.child_tasks) <= MAX_HANDLERS:
                nursery.start_soon(self.handle, value, call)
            elif call:
                # Without this limit, a flood of calls would exhaust the node's memory.
                # `Busy` tells the peer that its call was not handled.
                await self.reply(Busy(), call)

    async def handle(self, value: Message, call: int) -> None:
        """Run the handler of one message and send its reply."""
        handler = self.handlers.by_type.get(type(value))
        if handler is None:
            self.traffic.unsupported += 1
            reply = Unsupported()
        else:
            reply = await self.run_handler(handler, value)
        if call and reply is not None:
            await self.reply(reply, call)

    async def run_handler(
        self, handler: Callable[..., Awaitable[Message | None]], value: Message
    ) -> Message | None:
        """Return the reply of a handler; None if it fails.

        An exception would end the process, and then each node to which the message is
        sent or repeated.
        """
        try:
            return await handler(value, self)
        except (trio.BrokenResourceError, trio.ClosedResourceError, LinkClosed):
            raise
        except Exception as error:
            log.error(
                "message handler failed",
                kind=value.kind,
                peer=self.hello.name,
                **fault_fields(error),
            )
            return None

    async def reply(self, value: Message, call: int) -> None:
        """Send the reply to a call, if the link is still open."""
        payload = encode_message(value, reply_to=call)
        try:
            await self.queue_frame(value.kind, payload)
        except LinkClosed:
            return

    def resolve(self, number: int, value: Message) -> None:
        """Pass a reply to the call that awaits it; drop a late reply."""
        pending_call = self.pending_calls.get(number)
        if pending_call is not None:
            event, replies = pending_call
            replies.append(value)
            event.set()

    def close(self, reason: str = "closed") -> None:
        """Close the link; pending calls fail immediately.

        Parameters
        ----------
        reason : str
            Reason that `run` returns.
        """
        if self.is_closed:
            return
        self.is_closed = True
        self.end_reason = reason
        for event, _ in self.pending_calls.values():
            event.set()
        self.output_changed.unpark_all()


async def open_link(
    stream: trio.abc.HalfCloseableStream,
    key: bytes,
    hello: Hello,
    handlers: Handlers,
    traffic: Traffic | None = None,
) -> MessageLink:
    """Establish a link over a stream that this process dialled.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        The connection.
    key : bytes
        Cluster key.
    hello : Hello
        Hello of this process; its nonce is replaced.
    handlers : Handlers
        Handlers of incoming messages.
    traffic : Traffic, optional
        Counters of messages.

    Returns
    -------
    link : MessageLink
        The link; the caller has to run `MessageLink.run`.

    Raises
    ------
    LinkClosed
        If the peer does not prove that it holds the key.
    """
    reader = FrameReader(stream)
    peer_hello = await exchange_hellos(stream, reader, key, hello, is_dialled=True)
    return MessageLink(stream, reader, peer_hello, handlers, traffic)


async def accept_link(
    stream: trio.abc.HalfCloseableStream,
    key: bytes,
    hello: Hello,
    handlers: Handlers,
    traffic: Traffic | None = None,
) -> MessageLink:
    """Establish a link over a stream that this process accepted; see `open_link`."""
    reader = FrameReader(stream)
    peer_hello = await exchange_hellos(stream, reader, key, hello, is_dialled=False)
    return MessageLink(stream, reader, peer_hello, handlers, traffic)
