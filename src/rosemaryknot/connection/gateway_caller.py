"""HTTP/1.1 connections from callers to the gateway, implemented on h11.

Quart on hypercorn cannot abort a response so that the caller sees it as incomplete,
detect a caller's disconnect while nothing is being sent, or announce the close of
persistent connections. This module therefore uses h11 directly over network streams.
"""

import h11
import trio

from rosemaryknot.connection.body_budget import BodyReservation
from rosemaryknot.connection.body_reader import (
    BAD_REQUEST,
    TIMEOUT_STATUS,
    TOO_LARGE,
    BodyReader,
)
from rosemaryknot.connection.caller_gone import CallerGone, cause_of
from rosemaryknot.connection.listener_state import ListenerState
from rosemaryknot.connection.network import (
    close_in_order,
    linger,
    receive_next,
    reset_on_close,
    send_now,
    wait_delivered,
)
from rosemaryknot.connection.pending_responses import Cause, PendingResponse, Phase
from rosemaryknot.process.caller_memory import CONNECTION_BYTES, HeldBytes
from rosemaryknot.process.logs import logger
from rosemaryknot.values.gateway import GatewayRequest, Headers
from rosemaryknot.values.gateway_responses import (
    Refusal,
    TargetFault,
)

__all__ = ["CallerConnection", "Reply"]

READ_BYTES = 65536
# Bytes that are read at a time until a head is complete.
HEAD_READ_BYTES = 16384
# A connection whose caller reads nothing for this long is closed. Callers abandon a
# stalled stream after two seconds, so this timeout is longer.
WRITE_TIMEOUT_S = 10.0
# Limit on pipelined bytes that are buffered while the current request is handled.
MAX_PIPELINED_BYTES = 16384
# Memory of a request that is handled: its tasks, context and connection to a server.
REQUEST_BYTES = 48 * 1024
# Memory of a header field, however short: its objects in the head and in the request.
FIELD_BYTES = 400
# Fields that are accounted for with the request.
FREE_FIELDS = 32
# A head whose fields take more counts as large, so that others have room left.
LARGE_HEAD_BYTES = 16 * 1024
# How long incoming bytes are dropped after a refusal.
LINGER_S = 0.5
HEADERS_TOO_LARGE = 431

log = logger("callers")


def declared_size(head: h11.Request) -> int:
    """Return the size of a body that a head states; 0 for one in chunks."""
    return int(dict(head.headers).get(b"content-length", 0))


def head_memory(buffered: bytes) -> int:
    r"""Return the memory that a head takes once it is parsed, beyond an ordinary one.

    Examples
    --------
    >>> head_memory(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    0
    >>> head_memory(b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 131) // FIELD_BYTES
    100
    """
    end = buffered.find(b"\r\n\r\n")
    lines = buffered.count(b"\n", 0, end if end >= 0 else len(buffered))
    return max(0, lines - FREE_FIELDS) * FIELD_BYTES


class Reply:
    """Writer for the response to one request.

    Attributes
    ----------
    pending : PendingResponse
        State that is logged if the request is aborted.
    is_started : bool
        Whether any part of the response may have been sent.
    is_done : bool
        Whether the complete response was sent.
    is_ended_by_close : bool
        Whether only the close of the connection marks the end of the response.
    status : int
        Status code that was sent; 0 before.
    """

    def __init__(
        self, connection: "CallerConnection", pending: PendingResponse
    ) -> None:
        self.connection = connection
        self.pending = pending
        self.is_started = False
        self.is_done = False
        self.is_ended_by_close = False
        self.status = 0

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response."""
        self.is_started = True
        self.status = status
        headers = list(headers)
        if self.connection.is_closing():
            headers.append((b"connection", b"close"))
        if self.connection.ends_by_close(headers):
            # If the response breaks off, or the process ends, the connection is reset,
            # so that the caller does not take the part for the whole.
            self.is_ended_by_close = True
            reset_on_close(self.connection.stream)
        await self.connection.send(h11.Response(status_code=status, headers=headers))

    async def data(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self.connection.send(h11.Data(data=data))
        self.pending.sent_bytes += len(data)

    async def end(self) -> None:
        """Complete the response."""
        await self.connection.send(h11.EndOfMessage())
        if self.is_ended_by_close:
            close_in_order(self.connection.stream)
        self.is_done = True
        self.pending.is_whole = True

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        await self.start(status, headers)
        if body:
            await self.data(body)
        await self.end()


class CallerConnection:
    """One caller's connection, which handles its requests in sequence.

    Parameters
    ----------
    stream : trio.abc.HalfCloseableStream
        Stream of the connection.
    state : ListenerState
        State that all connections of the listener share.
    held : HeldBytes
        Memory of this connection, apart from bodies and responses.

    Attributes
    ----------
    head_bytes : int
        Memory of the fields of the current request's head, if they are many.
    """

    def __init__(
        self,
        stream: trio.abc.HalfCloseableStream,
        state: ListenerState,
        held: HeldBytes,
    ) -> None:
        self.stream = stream
        self.state = state
        self.held = held
        limits = state.limits()
        self.conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes + 4096
        )
        self.saw_eof = False
        self.head_bytes = 0
        self.pending: PendingResponse | None = None

    def is_closing(self) -> bool:
        """Return whether the connection closes after this response.

        A caller that still waits for ``100 Continue`` may send either its body or its
        next request after a refusal. The two cannot be distinguished, so a body could
        be parsed as a request. The callers of an overloaded node would stay at it with
        their connections after the load balancer sends them elsewhere.
        """
        awaits_continue = self.conn.they_are_waiting_for_100_continue
        is_leaving = self.state.stop is not None or self.state.gate.is_limited
        return is_leaving or awaits_continue

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
        """Serve one request; return whether the connection remains usable."""
        try:
            return await self.serve_next()
        except CallerGone as error:
            self.record_cause(error.cause)
            raise
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.record_cause(Cause.CALLER_LEFT)
            raise
        finally:
            if self.pending is not None:
                self.state.pending.end(self.pending)
                self.pending = None
            if self.head_bytes:
                self.head_bytes = 0
                self.hold_buffer()

    def record_cause(self, cause: Cause) -> None:
        """Record why the current request ends."""
        if self.pending is not None:
            self.pending.cause = cause

    async def serve_next(self) -> bool:
        """Read and handle a request; return whether the connection remains usable."""
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
        """Read the body and handle the request; return whether it stays usable."""
        arrived_s = trio.current_time()
        self.pending.received_s = arrived_s
        self.pending.phase = Phase.BODY
        self.pending.explain = lambda: self.explain(head, arrived_s)
        refusal = self.validate_head(head)
        request = None if refusal is not None else self.decode(head, arrived_s)
        if isinstance(request, TargetFault):
            refusal = Refusal(request.status, request.reason)
        if refusal is not None:
            await self.refuse(refusal)
            return False
        with self.state.bodies.begin() as reservation:
            return await self.serve_request(head, request, reservation)

    async def serve_request(
        self, head: h11.Request, request: GatewayRequest, reservation: BodyReservation
    ) -> bool:
        """Read the body of a valid request, and handle it."""
        reply = Reply(self, self.pending)
        with self.state.parsing.begin() as turn:
            body = await BodyReader(
                self, request, reply, reservation, turn, declared_size(head)
            ).read()
        if body is None:
            return self.can_keep_alive(reply)
        if isinstance(body, Refusal):
            headers = self.state.wire.refusal_headers(request)
            await self.refuse(body, headers)
            return False
        request.body = body
        return await self.handle_request(request, reply)

    def decode(
        self, head: h11.Request, arrived_s: float
    ) -> GatewayRequest | TargetFault:
        """Decode a request from its head, with an empty body."""
        return self.state.wire.read_request(
            head.method, head.target, head.headers.raw_items(), b"", arrived_s
        )

    def explain(self, head: h11.Request, arrived_s: float) -> dict[str, object]:
        """Return log fields for a request whose body has not been read."""
        return {"request": getattr(self.decode(head, arrived_s), "id", "")}

    def validate_head(self, head: h11.Request) -> Refusal | None:
        """Return the refusal for an invalid head, or None if the head is valid.

        Servers disagree on how to frame a request that has both ``Content-Length``
        and ``Transfer-Encoding``: what one reads as the body another one reads as a
        separate request (request smuggling).
        """
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            return Refusal(BAD_REQUEST, "both a length and chunks")
        if names.count(b"host") != 1:
            return Refusal(BAD_REQUEST, "needs one Host header")
        size = sum(len(name) + len(value) + 4 for name, value in head.headers)
        limits = self.state.limits()
        if size > limits.max_header_bytes:
            return Refusal(HEADERS_TOO_LARGE, "the headers are too large")
        if declared_size(head) > limits.max_body_bytes:
            return Refusal(TOO_LARGE, "the body is too large")
        return None

    async def read_head(self) -> h11.Request | None:
        """Return the next request's head, or None if no further request arrives."""
        limits = self.state.limits()
        started_s = trio.current_time()
        has_started = bool(self.conn.trailing_data[0])
        while True:
            if has_started and self.pending is None:
                self.pending = self.state.pending.begin()
            if has_started and not self.hold_head():
                await self.refuse(self.state.bodies.refusal())
                return None
            event = self.conn.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA or self.saw_eof:
                return None
            timeout_s = (
                limits.header_timeout_s if has_started else limits.idle_timeout_s
            )
            data = await self.receive_until(started_s + timeout_s, has_started)
            if data is None:
                if has_started:
                    await self.refuse(Refusal(TIMEOUT_STATUS, "headers took too long"))
                return None
            if not has_started and data:
                has_started = True
                started_s = trio.current_time()
            self.conn.receive_data(data)

    def hold_head(self) -> bool:
        """Account for a head before it is parsed; return whether there is room.

        Its fields take many times their bytes, and a refused request would hold them
        until the rest of it is dropped.
        """
        self.head_bytes = head_memory(self.conn.trailing_data[0])
        return self.hold_buffer()

    def hold_buffer(self, other_bytes: int = 0) -> bool:
        """Account for the bytes that are not parsed; return whether there is room.

        Parameters
        ----------
        other_bytes : int
            Further bytes that the connection holds.
        """
        buffered = len(self.conn.trailing_data[0])
        size = CONNECTION_BYTES + buffered + self.head_bytes + other_bytes
        return self.held.resize(size, self.head_bytes > LARGE_HEAD_BYTES)

    async def receive_until(self, deadline_s: float, has_started: bool) -> bytes | None:
        """Return the next bytes, or None if none arrive before the deadline."""
        state = self.state
        waiting = state.head_scopes if has_started else state.idle_scopes
        with trio.move_on_at(deadline_s) as scope:
            waiting[scope] = None
            try:
                return await self.receive(HEAD_READ_BYTES)
            finally:
                waiting.pop(scope, None)
        return None

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Return the next bytes from the caller; empty at the end of the stream."""
        data = await receive_next(self.stream, max_bytes)
        if not data:
            self.saw_eof = True
        return data

    async def handle_request(self, request: GatewayRequest, reply: Reply) -> bool:
        """Run the handler; cancel it if the caller disconnects meanwhile."""
        if not self.hold_buffer(REQUEST_BYTES):
            headers = self.state.wire.refusal_headers(request)
            await self.refuse(self.state.bodies.refusal(), headers)
            return False
        pending = self.pending
        pending.phase = Phase.RESPONSE
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch_disconnect, nursery.cancel_scope)
            try:
                await self.state.handler(request, reply)
                # The handler has logged the outcome of this request.
                pending.is_logged = True
            except* CallerGone as group:
                # While the rest of a request is still being sent to a server, the
                # error arrives in an exception group. Uncaught, the group would end
                # the listener and abort every other response.
                pending.cause = cause_of(group)
            nursery.cancel_scope.cancel()
        self.hold_buffer()
        if reply.is_ended_by_close and not reply.is_done and not self.saw_eof:
            await wait_delivered(self.stream, LINGER_S)
        return self.can_keep_alive(reply)

    def ends_by_close(self, headers: Headers) -> bool:
        """Return whether only the close of the connection marks the end of a body.

        A caller of HTTP/1.0 does not support chunks, so that is the case for it if the
        response has no length.
        """
        is_older = self.conn.their_http_version < b"1.1"
        return is_older and all(name != b"content-length" for name, _ in headers)

    def can_keep_alive(self, reply: Reply) -> bool:
        """Return whether the connection may carry another request."""
        if not reply.is_done or self.saw_eof:
            # A truncated response must not look complete: closing the connection
            # before its last chunk or full length shows the caller that it is not, and
            # one that has neither is reset.
            return False
        if self.conn.our_state is not h11.DONE:
            return False
        return self.conn.their_state is h11.DONE and not self.is_deregistered()

    def is_deregistered(self) -> bool:
        """Return whether the caller's next request should go to another node.

        A response head that was sent before a graceful shutdown could not announce the
        close, and this node would refuse the next request. A request that was already
        pipelined is still handled.
        """
        stop = self.state.stop
        if stop is None or self.conn.trailing_data[0]:
            return False
        return trio.current_time() >= stop.deregistered_s

    async def watch_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the request when its caller disconnects.

        While nothing is sent to a caller, only a read detects its disconnect. Without
        it, the server would continue to work on an abandoned request. Pipelined bytes
        are buffered.
        """
        room = MAX_PIPELINED_BYTES
        while room > 0:
            try:
                data = await self.receive(room)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
                self.saw_eof = True
            if not data:
                self.record_cause(Cause.CALLER_LEFT)
                scope.cancel()
                return
            room -= len(data)
            self.conn.receive_data(data)
            if not self.hold_buffer(REQUEST_BYTES):
                return

    async def send(self, event: h11.Event) -> None:
        """Send an event.

        Raises
        ------
        CallerGone
            If the caller does not read, or has closed the connection.
        """
        data = self.conn.send(event)
        # Bytes that the socket accepts immediately need no deadline and no scheduler
        # pass: 5 us per write instead of 27 (CPU time of 20,000 writes over loopback).
        # A view: a caller that does not read would hold up a copy of a long response.
        data = memoryview(data)[send_now(self.stream, data) :] if data else data
        if not data:
            return
        with trio.move_on_after(WRITE_TIMEOUT_S):
            try:
                await self.stream.send_all(data)
                return
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                raise CallerGone from None
        raise CallerGone(Cause.CALLER_STALLED)

    async def refuse(self, refusal: Refusal, headers: Headers = ()) -> None:
        """Refuse a request that is not read completely, and drop the rest of it."""
        if self.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        log.info(
            "request refused before it was read completely",
            status=refusal.status,
            reason=refusal.reason,
        )
        self.pending.phase = Phase.REFUSAL
        body = (refusal.reason + "\n").encode()
        headers = [
            *headers,
            (b"content-type", b"text/plain"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        if refusal.retry_after_s is not None:
            seconds = f"{refusal.retry_after_s:.3f}".encode()
            headers.append((b"retry-after", seconds))
        await self.send(h11.Response(status_code=refusal.status, headers=headers))
        await self.send(h11.Data(data=body))
        await self.send(h11.EndOfMessage())
        self.pending.is_logged = True
        await linger(self.stream, LINGER_S)
