"""Reading of the body of one request from a caller's connection."""

import math
from typing import TYPE_CHECKING

import h11
import trio

from rosemaryknot.connection.body_budget import SMALL_BYTES, BodyReservation
from rosemaryknot.connection.caller_gone import CallerGone
from rosemaryknot.connection.parsing_turns import ParsingTurn
from rosemaryknot.values.gateway import GatewayRequest
from rosemaryknot.values.gateway_responses import Refusal

if TYPE_CHECKING:
    from rosemaryknot.connection.gateway_caller import CallerConnection, Reply

__all__ = ["BAD_REQUEST", "TIMEOUT_STATUS", "TOO_LARGE", "BodyReader"]

# Bytes on the wire that a body may take: this many, and a multiple of its own bytes.
# Chunks of one byte take six; the rest is for extensions.
FREE_WIRE_BYTES = 65536
MAX_WIRE_RATIO = 16
BAD_REQUEST = 400
TIMEOUT_STATUS = 408
TOO_LARGE = 413


class BodyReader:
    """Reader of the body of one request.

    If the head is sufficient to refuse a request, the refusal is sent while the body is
    still being received, and the rest of the body is dropped. Otherwise a caller would
    send a slow body in vain, or be aborted within it by the end of a graceful shutdown.

    Parameters
    ----------
    connection : CallerConnection
        The caller's connection, whose parser has read the head.
    request : GatewayRequest
        The request, without its body.
    reply : Reply
        Response to the request.
    reservation : BodyReservation
        Room for the body.
    turn : ParsingTurn
        The connection's turns to parse small chunks.
    declared_bytes : int
        Length that the head states; 0 for a body in chunks.

    Attributes
    ----------
    body : bytearray
        Bytes received so far. A list of chunks would take fifty bytes of memory for
        each chunk.
    scope : trio.CancelScope
        Scope of the reading. Its deadline is that of the request, once it is known.
    head_refusal : Refusal or None
        Refusal that follows from the head, for a body that is not complete yet.
    is_head_checked : bool
        Whether the head was checked, and no shutdown began since.
    wire_bytes : int
        Bytes received since the head, with the framing of the chunks.
    """

    __slots__ = (
        "body",
        "connection",
        "declared_bytes",
        "head_refusal",
        "is_head_checked",
        "reply",
        "request",
        "reservation",
        "scope",
        "state",
        "turn",
        "wire_bytes",
    )

    def __init__(
        self,
        connection: "CallerConnection",
        request: GatewayRequest,
        reply: "Reply",
        reservation: BodyReservation,
        turn: ParsingTurn,
        declared_bytes: int,
    ) -> None:
        self.connection = connection
        self.state = connection.state
        self.request = request
        self.reply = reply
        self.reservation = reservation
        self.turn = turn
        self.declared_bytes = declared_bytes
        self.body = bytearray()
        self.scope = trio.CancelScope()
        self.head_refusal: Refusal | None = None
        self.is_head_checked = False
        self.wire_bytes = 0

    async def read(self) -> bytes | Refusal | None:
        """Return the body or its refusal; None if the response was sent meanwhile."""
        body = await self.read_in_time()
        if not isinstance(body, bytes):
            # The refusal takes half a second, in which others may use the room.
            self.body.clear()
            self.reservation.release()
        return body

    async def read_in_time(self) -> bytes | Refusal | None:
        """Return the body, or its refusal if it takes too long or is withdrawn."""
        self.reservation.begin_upload(self.scope)
        try:
            with self.scope:
                return await self.read_chunks()
        finally:
            self.reservation.end_upload()
        if self.reservation.is_withdrawn:
            return self.state.bodies.refusal()
        return Refusal(TIMEOUT_STATUS, "the body did not arrive in time")

    async def read_chunks(self) -> bytes | Refusal | None:
        """Return the body or its refusal, without a limit of the time."""
        conn = self.connection.conn
        while True:
            if self.turn.is_due and (refusal := await self.wait_turn()):
                return refusal
            event = conn.next_event()
            if isinstance(event, h11.Data):
                refusal = self.add(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return None if self.reply.is_done else bytes(self.body)
            elif event is h11.NEED_DATA:
                refusal = await self.receive()
            else:
                raise CallerGone
            if refusal is not None:
                return refusal

    def add(self, data: bytes) -> Refusal | None:
        """Add bytes to the body, unless the request was refused."""
        self.turn.chunks += 1
        if self.reply.is_done:
            return None
        self.body += data
        size = len(self.body)
        if size > self.state.limits().max_body_bytes:
            return Refusal(TOO_LARGE, "the body is too large")
        if size > SMALL_BYTES and self.head_refusal is not None:
            return self.head_refusal
        if not self.reservation.extend(size):
            return self.state.bodies.refusal()
        return None

    def is_mostly_framing(self) -> bool:
        """Return whether the body takes far more bytes on the wire than it has."""
        most = FREE_WIRE_BYTES + MAX_WIRE_RATIO * len(self.body)
        return self.wire_bytes > most and not self.reply.is_done

    async def wait_turn(self) -> Refusal | None:
        """Wait for a turn to parse further chunks."""
        if not self.connection.hold_buffer():
            return self.state.bodies.refusal()
        refusal = await self.check_head()
        if refusal is None:
            await self.turn.wait()
        return refusal

    async def check_head(self) -> Refusal | None:
        """Refuse a request by its head if possible, else send ``100 Continue``.

        A small body is read first, so that the connection can be used again.
        """
        if self.is_head_checked or self.reply.is_done:
            return None
        self.is_head_checked = True
        connection = self.connection
        # Neither the deadline nor a lack of room cuts off a refusal that is being sent.
        self.scope.deadline = math.inf
        self.reservation.end_upload()
        if await self.state.refuse_by_head(self.request, self.reply):
            connection.pending.is_logged = True
        self.reservation.begin_upload(self.scope)
        drop_deadline_s = trio.current_time() + self.state.limits().idle_timeout_s
        if self.reply.is_done:
            self.scope.deadline = drop_deadline_s
            return None
        checked = self.state.check_head(self.request)
        if isinstance(checked, Refusal):
            self.head_refusal = checked
            self.scope.deadline = drop_deadline_s
            if max(len(self.body), self.declared_bytes) > SMALL_BYTES:
                return checked
        else:
            self.scope.deadline = checked
        if connection.conn.they_are_waiting_for_100_continue:
            await connection.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        return None

    async def receive(self) -> Refusal | None:
        """Pass the next bytes to h11, unless a shutdown interrupts this."""
        self.turn.end()
        refusal = await self.check_head()
        if refusal is not None:
            return refusal
        if self.is_mostly_framing():
            return Refusal(BAD_REQUEST, "the chunks are mostly framing")
        with trio.move_on_after(self.state.limits().idle_timeout_s) as scope:
            self.state.body_scopes.add(scope)
            try:
                data = await self.connection.receive()
            finally:
                self.state.body_scopes.discard(scope)
            if not data:
                raise CallerGone
            self.wire_bytes += len(data)
            self.reservation.record_received(len(data))
            self.connection.conn.receive_data(data)
            return None
        if trio.current_time() >= scope.deadline:
            return Refusal(TIMEOUT_STATUS, "no more of the body arrived")
        # The shutdown may allow a refusal.
        self.is_head_checked = False
        return None
