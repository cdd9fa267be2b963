"""One request at one backend server: sent, and its answer relayed."""

import math

import trio

from rosemaryknot.connection.gateway_server import ServerConnection
from rosemaryknot.connection.owed_answers import Phase
from rosemaryknot.process.metrics import histogram
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.request.event_stream import EventSplitter
from rosemaryknot.request.gateway_choice import usable_servers
from rosemaryknot.request.gateway_course import Course, GatewayParts
from rosemaryknot.values.gateway import Repeat
from rosemaryknot.values.gateway_answers import (
    AnswerHead,
    Broken,
    Completed,
    Lost,
    NotRunThere,
    NotSent,
)

__all__ = ["Attempt"]

# Without a first byte for this many times the wanted latency, a request that may be
# repeated is tried elsewhere: servers that turned slow or mute take eight times as
# long as others.
REPEAT_PATIENCE = 2.0
MIN_REPEAT_PATIENCE_S = 0.3
# Longest that the delivery of a whole answer goes on after its time.
DELIVERY_S = 1.0
OK = 200
SERVER_ERROR = 500

FIRST_BYTE = histogram("gateway_first_byte_seconds", "Time to the first byte.")


class Attempt:
    """One request at one server.

    Attributes
    ----------
    waiting_tokens : int
        Tokens that the server has not read yet, as far as is known.
    """

    def __init__(
        self,
        parts: GatewayParts,
        course: Course,
        state: ServerState,
        tokens: int,
        ahead: int,
    ) -> None:
        self.parts = parts
        self.course = course
        self.state = state
        self.waiting_tokens = tokens
        self.ahead = ahead
        self.began_s = trio.current_time()

    async def run(self) -> Completed | Broken | Lost | NotRunThere | NotSent:
        """Send, read the head, relay the body."""
        course = self.course
        # A server may close a kept connection just as a request goes out on it. One
        # that may not be repeated would be lost with it, so it dials anew.
        connection = await self.parts.pool.take(
            self.state.entry, course.route.may_repeat
        )
        if isinstance(connection, NotSent):
            return connection
        if not self.state.takes_work(trio.current_time()):
            # It was chosen before the connection was opened, which may take most of
            # the time that it serves on.
            await connection.aclose()
            return NotSent("the server leaves")
        try:
            outcome = await self.exchange(connection)
        except BaseException:
            with trio.CancelScope(shield=True):
                await connection.aclose()
            raise
        if isinstance(outcome, Completed):
            await self.parts.pool.give_back(connection)
        else:
            await connection.aclose()
        return outcome

    async def exchange(
        self, connection: ServerConnection
    ) -> Completed | Broken | Lost | NotRunThere:
        """Send the request and relay the answer over an open connection."""
        course = self.course
        request = course.request
        course.sent += 1
        await connection.send(
            request.method,
            request.target,
            self.parts.wire.server_headers(
                request,
                self.state.entry,
                None if course.customer is None else course.customer.name,
                course.left_s(),
                None if course.service.engine is None else course.rank,
                course.last_event_id or request.last_event_id,
            ),
            request.body,
        )
        before = course.may_have_run
        course.may_have_run = True
        if connection.is_sent:
            outcome = await self.receive(connection)
        else:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.send_rest)
                outcome = await self.receive(connection)
                nursery.cancel_scope.cancel()
        if isinstance(outcome, NotRunThere):
            course.may_have_run = before
        return outcome

    def patience_s(self) -> float:
        """Return how long to wait for a first byte before trying elsewhere.

        Without another server there is no elsewhere, and a late answer is better
        than none.
        """
        course = self.course
        route = course.route
        if not route.may_repeat or course.sent >= route.max_attempts:
            return math.inf
        if not usable_servers(self.parts, course):
            return math.inf
        return max(route.target_s * REPEAT_PATIENCE, MIN_REPEAT_PATIENCE_S)

    async def receive(
        self, connection: ServerConnection
    ) -> Completed | Broken | Lost | NotRunThere:
        """Read the head of the answer and relay what follows."""
        head: AnswerHead | Lost = Lost("no answer in time")
        with trio.move_on_after(self.patience_s()):
            head = await connection.head(self.parts.wire, self.course.request.id)
        if isinstance(head, Lost):
            self.note_run()
            return head
        self.state.heard_s = trio.current_time()
        if head.not_run:
            return NotRunThere(head.status)
        if self.course.reply.is_started and head.status != OK:
            # The caller has the beginning of a stream; a status cannot follow it.
            return Broken(f"not resumed: {head.status}", self.course.last_event_id)
        if not head.is_signed and head.status < SERVER_ERROR:
            return Lost("an answer that is not the server's own")
        if head.status >= SERVER_ERROR and self.may_repeat_failure():
            self.note_run()
            return Lost(f"the server answered {head.status}")
        return await self.relay(connection, head)

    def may_repeat_failure(self) -> bool:
        """Tell whether a server's failure is worth another attempt."""
        course = self.course
        return (
            course.route.may_repeat
            and not course.reply.is_started
            and course.sent < course.route.max_attempts
        )

    async def relay(
        self, connection: ServerConnection, head: AnswerHead
    ) -> Completed | Broken | Lost:
        """Pass the answer on."""
        if self.course.route.repeat == Repeat.STREAM and head.status < 300:
            return await self.relay_events(connection, head)
        self.note_run()
        return await self.relay_whole(connection, head)

    async def relay_whole(
        self, connection: ServerConnection, head: AnswerHead
    ) -> Completed | Lost:
        """Read a whole answer, then pass it on in one write.

        Passed on as it comes, an answer that breaks off could no longer be tried
        elsewhere.
        """
        body = bytearray()
        async for chunk in connection.chunks():
            if isinstance(chunk, Lost):
                return chunk
            body += chunk
        headers = [pair for pair in head.headers if pair[0] != b"content-length"]
        headers.append((b"content-length", str(len(body)).encode()))
        self.note_first()
        self.course.reply.owed.phase = Phase.DELIVERY
        # An answer that is there is delivered, also where its time ends just now: cut
        # here, the caller would see a closed connection instead of it.
        late_s = max(trio.current_time(), self.course.until_s) + DELIVERY_S
        with trio.CancelScope(deadline=late_s, shield=True) as scope:
            self.course.delivery = scope
            await self.course.reply.whole(head.status, headers, bytes(body))
        return Completed(head.status)

    async def relay_events(
        self, connection: ServerConnection, head: AnswerHead
    ) -> Completed | Broken | Lost:
        """Pass the events of a stream on as they come, each one whole."""
        course = self.course
        splitter = EventSplitter()
        async for chunk in connection.chunks():
            if isinstance(chunk, Lost):
                self.note_run()
                course.last_event_id = splitter.last_id or course.last_event_id
                if course.reply.is_started:
                    return Broken(chunk.reason, course.last_event_id)
                return chunk
            self.state.heard_s = trio.current_time()
            events = splitter.feed(chunk)
            if events:
                await self.pass_events(head, events)
        if splitter.rest:
            await self.pass_events(head, bytes(splitter.rest))
        if not course.reply.is_started:
            await course.reply.start(head.status, stream_headers(head))
        await course.reply.end()
        return Completed(head.status)

    async def pass_events(self, head: AnswerHead, events: bytes) -> None:
        """Send whole events to the caller."""
        reply = self.course.reply
        self.note_run()
        if not reply.is_started:
            self.note_first()
            await reply.start(head.status, stream_headers(head))
        self.course.note_events(trio.current_time())
        await reply.data(events)

    def note_first(self) -> None:
        """Count the first bytes to the caller."""
        now_s = trio.current_time()
        self.course.first_s = now_s - self.course.request.arrived_s
        FIRST_BYTE.observe(self.course.first_s)
        if self.waiting_tokens:
            self.parts.servers.first_event(
                self.state, self.waiting_tokens, self.ahead, now_s - self.began_s
            )
            self.waiting_tokens = 0

    def note_run(self) -> None:
        """Count that the request began to run, once for all its attempts."""
        if self.waiting_tokens and self.course.reply.is_started:
            self.state.waiting_tokens -= self.waiting_tokens
            self.waiting_tokens = 0
        course = self.course
        if course.is_counted:
            return
        course.is_counted = True
        if course.customer is not None:
            self.parts.note_run(course.customer.name)


def stream_headers(head: AnswerHead) -> list[tuple[bytes, bytes]]:
    """Return the headers of a stream, whose length its first server cannot know."""
    return [pair for pair in head.headers if pair[0] != b"content-length"]
