"""Connections of callers to the gateway, by h11.

Quart on hypercorn cannot break an answer off so that it looks broken, notice that a
caller leaves while nothing is sent to it, or tell kept connections to close; hence
h11 over the network's streams here.
"""

import h11
import trio

from rosemaryknot.connection.listener_state import ListenerState
from rosemaryknot.connection.network import receive_next, send_now
from rosemaryknot.connection.owed_answers import Cause, OwedAnswer, Phase
from rosemaryknot.process.logs import logger
from rosemaryknot.values.gateway import GatewayRequest, Headers
from rosemaryknot.values.gateway_answers import (
    Refusal,
    TargetFault,
)

__all__ = ["CallerConnection", "Reply"]

READ_BYTES = 65536
# A caller that reads nothing for this long gets its connection closed; longer than
# the two seconds after which callers give a stream up themselves.
WRITE_TIMEOUT_S = 10.0
# Bytes of a next request that are kept while the current one is answered.
MAX_AHEAD_BYTES = 65536
# A connection closed with unread bytes is reset, and the reset destroys an answer
# that is still on its way; so what comes is read and dropped for this long.
LINGER_S = 0.5
# How long a body may stand still before it counts as given up.
BODY_IDLE_S = 5.0
BAD_REQUEST = 400
TIMEOUT_STATUS = 408
TOO_LARGE = 413
HEADERS_TOO_LARGE = 431

log = logger("callers")


class CallerGone(Exception):
    """The caller closed its connection, or stopped reading.

    Attributes
    ----------
    cause : Cause
        Which of the two.
    """

    def __init__(self, cause: Cause = Cause.CALLER_LEFT) -> None:
        super().__init__(cause)
        self.cause = cause


def cause_of(group: BaseExceptionGroup) -> Cause:
    """Return why a caller is gone, out of a group of `CallerGone`.

    Examples
    --------
    >>> inner = ExceptionGroup("", [CallerGone(Cause.CALLER_STALLED)])
    >>> str(cause_of(ExceptionGroup("", [inner])))
    'the caller stood still'
    """
    first = group.exceptions[0]
    return cause_of(first) if isinstance(first, BaseExceptionGroup) else first.cause


class Reply:
    """Writes the answer to one request.

    Attributes
    ----------
    owed : OwedAnswer
        What is told of the request where it is cut.
    is_started : bool
        Whether a part of the answer may have gone out.
    is_done : bool
        Whether it went out whole.
    status : int
        What was sent; 0 before.
    """

    def __init__(self, connection: "CallerConnection", owed: OwedAnswer) -> None:
        self.connection = connection
        self.owed = owed
        self.is_started = False
        self.is_done = False
        self.status = 0

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        self.is_started = True
        self.status = status
        headers = list(headers)
        if self.connection.is_closing():
            headers.append((b"connection", b"close"))
        await self.connection.send(h11.Response(status_code=status, headers=headers))

    async def data(self, data: bytes) -> None:
        """Send a part of the body."""
        await self.connection.send(h11.Data(data=data))
        self.owed.sent_bytes += len(data)

    async def end(self) -> None:
        """End the answer whole."""
        await self.connection.send(h11.EndOfMessage())
        self.is_done = True
        self.owed.is_whole = True

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send an answer in one write."""
        await self.start(status, headers)
        if body:
            await self.data(body)
        await self.end()


class CallerConnection:
    """One connection: reads a request, has it answered, goes on.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        The connection.
    state : ListenerState
        What all connections share.
    """

    def __init__(
        self, stream: trio.abc.HalfCloseableStream, state: ListenerState
    ) -> None:
        self.stream = stream
        self.state = state
        limits = state.limits()
        self.conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes + 4096
        )
        self.saw_end = False
        self.owed: OwedAnswer | None = None

    def is_closing(self) -> bool:
        """Tell whether the connection closes after this answer.

        A caller that waits to be asked for its body may send it or the next request
        behind a refusal; read as the other one, a body would become a request.
        """
        is_body_unasked = self.conn.they_are_waiting_for_100_continue
        return self.state.stop is not None or is_body_unasked

    async def run(self) -> None:
        """Serve the connection until it ends."""
        self.state.open += 1
        try:
            while await self.serve_one():
                self.conn.start_next_cycle()
        except (CallerGone, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            self.state.open -= 1

    async def serve_one(self) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            return await self.serve_next()
        except CallerGone as error:
            self.note_cause(error.cause)
            raise
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.note_cause(Cause.CALLER_LEFT)
            raise
        finally:
            if self.owed is not None:
                self.state.owed.end(self.owed)
                self.owed = None

    def note_cause(self, cause: Cause) -> None:
        """Note why the request would end now."""
        if self.owed is not None:
            self.owed.cause = cause

    async def serve_next(self) -> bool:
        """Read a request and have it answered; return whether another may follow."""
        try:
            head = await self.read_head()
            if head is None:
                return False
            self.state.busy += 1
            try:
                return await self.serve_head(head)
            finally:
                self.state.busy -= 1
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or BAD_REQUEST
            await self.refuse(Refusal(status, "not a proper HTTP request"))
            return False

    async def serve_head(self, head: h11.Request) -> bool:
        """Read the rest of a request, answer it, return whether another may follow."""
        arrived_s = trio.current_time()
        self.owed.since_s = arrived_s
        self.owed.phase = Phase.BODY
        self.owed.explain = lambda: self.explain(head, arrived_s)
        fault = self.fault_of(head)
        request = None if fault is not None else self.decode(head, arrived_s)
        if isinstance(request, TargetFault):
            fault = Refusal(request.status, request.reason)
        if fault is not None:
            await self.refuse(fault)
            return False
        reply = Reply(self, self.owed)
        body = await self.read_body(request, reply)
        if reply.is_done:
            return self.may_follow(reply)
        if body is None:
            await self.refuse(Refusal(TOO_LARGE, "the body is too large"))
            return False
        request.body = body
        return await self.answer(request, reply)

    def decode(
        self, head: h11.Request, arrived_s: float
    ) -> GatewayRequest | TargetFault:
        """Return a request by its head, as yet without its body."""
        return self.state.wire.read_request(
            head.method, head.target, head.headers.raw_items(), b"", arrived_s
        )

    def explain(self, head: h11.Request, arrived_s: float) -> dict[str, object]:
        """Return what a line tells of a request that is not read whole."""
        return {"request": getattr(self.decode(head, arrived_s), "id", "")}

    def fault_of(self, head: h11.Request) -> Refusal | None:
        """Return why a head is refused, or None.

        A request with both a length and chunks is read differently by different
        servers; what one takes for its body another one takes for a request of its
        own that nobody asked for.
        """
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            return Refusal(BAD_REQUEST, "both a length and chunks")
        if names.count(b"host") != 1:
            return Refusal(BAD_REQUEST, "needs one Host header")
        size = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size > self.state.limits().max_header_bytes:
            return Refusal(HEADERS_TOO_LARGE, "the headers are too large")
        return None

    async def read_head(self) -> h11.Request | None:
        """Return the next request's head, or None where none comes any more."""
        limits = self.state.limits()
        began_s = trio.current_time()
        is_begun = bool(self.conn.trailing_data[0])
        while True:
            if is_begun and self.owed is None:
                self.owed = self.state.owed.begin()
            event = self.conn.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA or self.saw_end:
                return None
            limit_s = limits.header_timeout_s if is_begun else limits.idle_timeout_s
            data = await self.receive_until(began_s + limit_s, is_begun)
            if data is None:
                if is_begun:
                    await self.refuse(Refusal(TIMEOUT_STATUS, "headers took too long"))
                return None
            if not is_begun and data:
                is_begun = True
                began_s = trio.current_time()
            self.conn.receive_data(data)

    async def receive_until(self, until_s: float, is_begun: bool) -> bytes | None:
        """Return what comes next, or None where nothing comes in time."""
        with trio.move_on_at(until_s) as scope:
            if not is_begun:
                self.state.idle.add(scope)
            try:
                return await self.receive()
            finally:
                self.state.idle.discard(scope)
        return None

    async def read_body(self, request: GatewayRequest, reply: Reply) -> bytes | None:
        """Return the body of a request, or None where it is too large.

        Where the head is enough to refuse a request, its caller is told while the body
        still comes, and the rest is dropped. Told behind it only, a caller sends a slow
        body for nothing, or is cut in it by the end of a stop.
        """
        limit = self.state.limits().max_body_bytes
        parts: list[bytes] = []
        size = 0
        is_head_checked = False
        while True:
            event = self.conn.next_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limit:
                    return None
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            elif event is not h11.NEED_DATA:
                raise CallerGone
            elif is_head_checked or reply.is_done:
                is_head_checked = await self.read_more()
            else:
                await self.check_head(request, reply)
                is_head_checked = True

    async def check_head(self, request: GatewayRequest, reply: Reply) -> None:
        """Refuse a request by its head where that is enough, or ask for its body."""
        if await self.state.refuse_by_head(request, reply):
            self.owed.is_told = True
        elif self.conn.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))

    async def read_more(self) -> bool:
        """Feed what the caller sends next; return False where the stop comes first."""
        with trio.move_on_after(BODY_IDLE_S) as scope:
            self.state.bodies.add(scope)
            try:
                data = await self.receive()
            finally:
                self.state.bodies.discard(scope)
            if not data:
                raise CallerGone
            self.conn.receive_data(data)
            return True
        if trio.current_time() >= scope.deadline:
            raise CallerGone(Cause.CALLER_STALLED)
        return False

    async def receive(self) -> bytes:
        """Return what the caller sends next; empty at the end."""
        data = await receive_next(self.stream, READ_BYTES)
        if not data:
            self.saw_end = True
        return data

    async def answer(self, request: GatewayRequest, reply: Reply) -> bool:
        """Have a request answered; stop when the caller leaves meanwhile."""
        owed = self.owed
        owed.phase = Phase.ANSWER
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch_caller, nursery.cancel_scope)
            try:
                await self.state.handler(request, reply)
                # What ends here has its line of the handler.
                owed.is_told = True
            except* CallerGone as group:
                # Raised beside a request's rest that is being sent, it comes in a
                # group, which would end the listener and every other answer.
                owed.cause = cause_of(group)
            nursery.cancel_scope.cancel()
        return self.may_follow(reply)

    def may_follow(self, reply: Reply) -> bool:
        """Tell whether another request may follow an answer."""
        if not reply.is_done or self.saw_end:
            # An answer that ends early must not look whole: without its last chunk
            # or its full length, the closed connection shows that it broke off.
            return False
        if self.conn.our_state is not h11.DONE:
            return False
        return self.conn.their_state is h11.DONE and not self.is_left_out()

    def is_left_out(self) -> bool:
        """Tell whether the caller's next request should go to another node.

        The head of an answer that began before a stop could not tell so, and the next
        request would be refused here; one that was sent ahead is answered.
        """
        stop = self.state.stop
        if stop is None or self.conn.trailing_data[0]:
            return False
        return trio.current_time() >= stop.left_out_s

    async def watch_caller(self, scope: trio.CancelScope) -> None:
        """Cancel the request when its caller leaves.

        A caller that leaves while nothing is sent to it shows only in a read. Its
        server would go on working for nobody. What it sends ahead is kept.
        """
        ahead = 0
        while ahead < MAX_AHEAD_BYTES:
            try:
                data = await self.receive()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
                self.saw_end = True
            if not data:
                self.note_cause(Cause.CALLER_LEFT)
                scope.cancel()
                return
            ahead += len(data)
            self.conn.receive_data(data)

    async def send(self, event: h11.Event) -> None:
        """Send an event.

        Raises
        ------
        CallerGone
            If the caller does not read, or has closed.
        """
        data = self.conn.send(event)
        # What the connection takes at once needs no deadline and no turn of the loop:
        # 5 us a write instead of 27 (processor time of 20,000 writes over loopback).
        data = data[send_now(self.stream, data) :] if data else data
        if not data:
            return
        with trio.move_on_after(WRITE_TIMEOUT_S):
            try:
                await self.stream.send_all(data)
                return
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                raise CallerGone from None
        raise CallerGone(Cause.CALLER_STALLED)

    async def refuse(self, refusal: Refusal) -> None:
        """Answer a request that cannot be read, and drop what still comes of it."""
        if self.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        log.info("refused unread", status=refusal.status, reason=refusal.reason)
        self.owed.phase = Phase.REFUSAL
        body = (refusal.reason + "\n").encode()
        headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        await self.send(h11.Response(status_code=refusal.status, headers=headers))
        await self.send(h11.Data(data=body))
        await self.send(h11.EndOfMessage())
        self.owed.is_told = True
        await self.linger()

    async def linger(self) -> None:
        """Let the answer arrive before the connection is closed."""
        with trio.move_on_after(LINGER_S):
            await self.stream.send_eof()
            while await self.stream.receive_some(READ_BYTES):
                pass
