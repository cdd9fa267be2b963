"""One attempt at a backend server: sends the request and relays the response."""

import math
from collections.abc import AsyncIterator
from functools import partial

import trio

from rosemaryknot.connection.gateway_server import ServerConnection
from rosemaryknot.connection.pending_responses import Phase
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import histogram
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.request.event_stream import EventSplitter
from rosemaryknot.request.gateway_choice import usable_servers
from rosemaryknot.request.gateway_context import GatewayComponents, RequestContext
from rosemaryknot.request.gateway_response import (
    DIRECT_PATH,
    log_response_end,
    may_be_event_stream,
    stream_headers,
)
from rosemaryknot.request.held_responses import (
    MAX_RESPONSE_BYTES,
    HeldEvent,
    HeldResponse,
)
from rosemaryknot.request.server_statements import StatementRecorder
from rosemaryknot.values.gateway import RetryPolicy
from rosemaryknot.values.gateway_responses import (
    Broken,
    Completed,
    Framing,
    Lost,
    NodeFull,
    NotPermitted,
    NotRunThere,
    NotSent,
    ResponseHead,
    RetryRefused,
)

__all__ = ["Attempt"]

# A request that may be repeated is sent to another server if no byte has arrived within
# this multiple of the target latency. Servers that became slow or stopped responding
# take eight times as long as others.
FIRST_BYTE_TIMEOUT_FACTOR = 2.0
MIN_FIRST_BYTE_TIMEOUT_S = 0.3
# How long a buffered response may still be delivered after the request's deadline.
DELIVERY_GRACE_S = 1.0
# Attempts of a request that may end because of a lost path and are repeated.
MAX_LOST_PATHS = 2
OK = 200
CLIENT_ERROR = 400
SERVER_ERROR = 500
NO_CONTENT = frozenset((204, 205))
UNSETTLED_VERSION = "nodes may hold the version of an earlier attempt"
UNCONFIRMED_END = "closed without a length by a server that accepts no connection"

log = logger("gateway")
FIRST_BYTE = histogram("gateway_first_byte_seconds", "Time to the first byte.")


class Attempt:
    """One attempt to run a request at one server.

    Parameters
    ----------
    components : GatewayComponents
        Components of the gateway.
    context : RequestContext
        Context of the request.
    state : ServerState
        Server of the attempt.
    tokens : int
        Prompt tokens that the server has to prefill for this request.
    tokens_ahead : int
        Prompt tokens queued at the server when it was chosen.

    Attributes
    ----------
    pending_prefill_tokens : int
        Prompt tokens of this request that the server has not prefilled yet, as far as
        is known.
    statements : StatementRecorder
        Records what the responses state of the server.
    splitter : EventSplitter
        Splits the response into events, if it is a stream.
    began_s : float
        When the first event, or the head of another response, arrived, in trio time;
        infinite before.
    sent_s : float
        When the request was sent, in trio time; infinite before.
    is_confirmed : bool
        Whether the server's process was certainly that of its entry then.
    """

    def __init__(
        self,
        components: GatewayComponents,
        context: RequestContext,
        state: ServerState,
        tokens: int,
        tokens_ahead: int,
    ) -> None:
        self.components = components
        self.context = context
        self.state = state
        self.pending_prefill_tokens = tokens
        self.tokens_ahead = tokens_ahead
        self.started_s = trio.current_time()
        self.statements = StatementRecorder(components, context, state)
        self.splitter = EventSplitter(context.last_event_id)
        self.began_s = math.inf
        self.sent_s = math.inf
        self.is_confirmed = False

    async def run(self) -> Completed | Broken | Lost | NotRunThere | NotSent:
        """Send the request, read the response head and relay the body."""
        context = self.context
        # A server may close an idle connection just as a request is sent on it. A
        # request that may not be repeated would be lost, so it gets a new connection.
        connection = await self.components.pool.acquire(
            self.state.entry, context.route.allows_retry
        )
        if isinstance(connection, NodeFull):
            self.components.limits.permits.put_back(context.permit)
        if isinstance(connection, NotSent):
            return connection
        context.path = connection.peer or DIRECT_PATH
        if not self.state.accepts_requests(trio.current_time()):
            # The server was chosen before the connection was opened, and opening it may
            # take most of the time for which a draining server still serves requests.
            await connection.aclose()
            return NotPermitted("the server drains")
        if self.state.pause.is_active(trio.current_time()):
            self.components.limits.permits.put_back(context.permit)
            await self.components.pool.release_unused(connection)
            return NotPermitted("the server asked for a pause")
        if not self.components.limits.permits.may_send(
            self.state.incarnation_key, context.permit
        ):
            await self.components.pool.release_unused(connection)
            return NotPermitted("the server states a rate limit")
        if not self.components.retries.acquire(context):
            self.components.limits.permits.put_back(context.permit)
            await self.components.pool.release_unused(connection)
            return RetryRefused("the retry budget is used up")
        try:
            outcome = await self.exchange(connection)
        except BaseException:
            self.components.crashes.record_abandoned(
                self.state, context.identity, self.progress_s()
            )
            with trio.CancelScope(shield=True):
                await connection.aclose()
            raise
        log_response_end(
            context.request.id,
            connection,
            self.splitter,
            outcome,
            trio.current_time() - self.started_s,
        )
        if isinstance(outcome, Completed):
            self.statements.record_absent_limit(outcome.status)
            if outcome.status < SERVER_ERROR:
                # A server that rejects a request need not have read its prompt.
                is_rejected = outcome.status >= CLIENT_ERROR
                self.components.crashes.record_complete(
                    self.state,
                    context.identity,
                    connection.is_closed_by_server,
                    math.inf if is_rejected else self.began_s,
                )
            await self.components.pool.release(connection)
            return outcome
        if connection.is_path_lost and isinstance(outcome, Lost | Broken):
            outcome.is_path_failure = True
            self.record_path_loss(outcome)
        elif connection.is_closed_by_server and not isinstance(outcome, NotRunThere):
            context.closed_by.append(self.state)
            self.components.crashes.record_closed(
                self.state, context.identity, self.progress_s()
            )
        await connection.aclose()
        return outcome

    def progress_s(self) -> float:
        """Return for how long the response has been going on, in seconds."""
        return max(0.0, trio.current_time() - self.began_s)

    def record_path_loss(self, outcome: Lost | Broken) -> None:
        """Record that the path to the server was lost during the attempt.

        The server did not fail: it may be attempted again by another path, and the
        attempt does not count towards the route's limit.
        """
        context = self.context
        context.lost_paths += 1
        log.info(
            "path lost during an attempt",
            request=context.request.id,
            server=self.state.entry.id,
            path=context.path,
            reason=outcome.reason,
            lost_paths=context.lost_paths,
            after_s=round(trio.current_time() - self.started_s, 3),
        )
        if context.lost_paths <= MAX_LOST_PATHS:
            context.sent -= 1
            context.tried.discard(self.state.incarnation)

    async def exchange(
        self, connection: ServerConnection
    ) -> Completed | Broken | Lost | NotRunThere:
        """Send the request and relay the response over an open connection."""
        context = self.context
        request = context.request
        context.sent += 1
        self.sent_s = trio.current_time()
        versions = self.components.servers.versions
        is_current = versions.is_current(self.state)
        self.is_confirmed = is_current and versions.are_entries_witnessed()
        if context.beginning is not None and not context.reply.is_started:
            self.components.origins.record_attempt(
                context.beginning, self.state, is_current, context.origin
            )
        connection.may_abandon_path = context.route.allows_retry
        self.statements.begin()
        if context.crash_decision.is_trial:
            self.components.crashes.begin_trial(context.identity)
        await connection.send(
            request.method,
            request.target,
            self.components.wire.server_headers(
                request,
                self.state.entry,
                None if context.customer is None else context.customer.name,
                context.remaining_s(),
                None if context.service.engine is None else context.priority,
                context.last_event_id or request.last_event_id,
            ),
            request.body,
        )
        before = context.may_have_run
        context.may_have_run = True
        if connection.is_sent:
            outcome = await self.receive(connection)
        else:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.send_rest)
                outcome = await self.receive(connection)
                nursery.cancel_scope.cancel()
        if isinstance(outcome, NotRunThere):
            context.may_have_run = before
        return outcome

    def first_byte_timeout_s(self) -> float:
        """Return how long to wait for the first byte before another attempt.

        Without another eligible server the wait is not limited, since a late response
        is better than none.
        """
        context = self.context
        route = context.route
        if not route.allows_retry or context.sent >= route.max_attempts:
            return math.inf
        # A limited server is needed for requests that have no other, not for this one.
        limited = self.components.limits.records.limited
        others = usable_servers(self.components, context)
        if all(state.incarnation_key in limited for state in others):
            return math.inf
        return max(route.target_s * FIRST_BYTE_TIMEOUT_FACTOR, MIN_FIRST_BYTE_TIMEOUT_S)

    async def receive(
        self, connection: ServerConnection
    ) -> Completed | Broken | Lost | NotRunThere:
        """Read the head of the response and relay the rest."""
        head = await self.read_head(connection)
        if isinstance(head, Lost):
            self.record_run()
            return head
        self.state.record_answered(self.started_s)
        self.statements.record(head)
        if head.not_run:
            return NotRunThere(head.status)
        if self.context.reply.is_started and head.status != OK:
            # The caller already has part of the stream, so no status can be sent.
            return Broken(f"not resumed: {head.status}", self.context.last_event_id)
        if not head.is_signed and head.status < SERVER_ERROR:
            return Lost("an answer that is not the server's own")
        if head.status >= SERVER_ERROR and self.may_retry_failure():
            self.record_run()
            return Lost(f"the server answered {head.status}")
        return await self.relay(connection, head)

    async def read_head(self, connection: ServerConnection) -> ResponseHead | Lost:
        """Read the head, for a limited time while another attempt is possible."""
        read = partial(
            connection.head,
            self.components.wire,
            self.context.request.id,
            self.statements.record_stray,
        )
        with trio.move_on_after(self.first_byte_timeout_s()):
            return await read()
        if not self.components.retries.has_retry(self.context):
            # A late response is better than none.
            return await read()
        return Lost("no answer in time")

    def may_retry_failure(self) -> bool:
        """Return whether the request may be attempted again after a server error."""
        context = self.context
        return (
            context.route.allows_retry
            and not context.reply.is_started
            and context.sent < context.route.max_attempts
            and self.components.retries.has_retry(context)
        )

    def may_use_another_server(self) -> bool:
        """Return whether the request may be attempted again, and a server is left."""
        if not self.may_retry_failure():
            return False
        return bool(usable_servers(self.components, self.context))

    async def relay(
        self, connection: ServerConnection, head: ResponseHead
    ) -> Completed | Broken | Lost:
        """Relay the response to the caller."""
        is_stream = self.context.route.retry_policy == RetryPolicy.STREAM
        if is_stream and head.status < 300 and may_be_event_stream(head):
            return await self.relay_events(connection, head)
        self.record_run()
        self.began_s = trio.current_time()
        return await self.relay_buffered(connection, head)

    async def relay_buffered(
        self, connection: ServerConnection, head: ResponseHead
    ) -> Completed | Broken | Lost:
        """Read the whole response, then send it to the caller in one write.

        If it were relayed as it arrives, a response that is interrupted could no longer
        be replaced by that of another server. One that is too large to be held is
        requested at another server, or relayed as it arrives if that is not possible.
        """
        chunks = connection.chunks()
        service = self.context.service.name
        connection.read_bytes = self.components.held.read_bytes
        with self.components.held.begin(service) as held:
            async for chunk in chunks:
                if isinstance(chunk, Lost):
                    return chunk
                connection.read_bytes = self.components.held.read_bytes
                if held.add(chunk):
                    continue
                if held.is_too_large and self.may_use_another_server():
                    return Lost("larger than the responses of its service")
                # It would be held as long as the caller takes to read the rest.
                del chunk
                return await self.relay_large(connection, head, chunks, held)
            if not await self.is_whole(connection, head):
                return Lost(UNCONFIRMED_END)
            self.components.held.record_complete(service, held.size)
            await self.deliver(head, held.take())
        return Completed(head.status)

    async def relay_large(
        self,
        connection: ServerConnection,
        head: ResponseHead,
        chunks: AsyncIterator[bytes | Lost],
        held: HeldResponse,
    ) -> Completed | Broken:
        """Relay a response as it arrives whose begin has been received.

        A response of a server that goes on for ever is broken off.
        """
        reply, size = self.context.reply, held.size
        log.info(
            "relaying a large response as it arrives",
            request=self.context.request.id,
            server=self.state.entry.id,
            framing=head.framing,
            held_bytes=size,
            held_in_all=self.components.held.total,
        )
        self.record_first_byte()
        headers = head.headers
        if head.framing is not Framing.LENGTH:
            headers = stream_headers(head)
        await reply.start(head.status, headers)
        await reply.data(held.take())
        held.release()
        async for chunk in chunks:
            if isinstance(chunk, Lost):
                return Broken(chunk.reason)
            connection.read_bytes = self.components.held.read_bytes
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                return Broken("a response without end")
            await reply.data(chunk)
        if not await self.is_whole(connection, head):
            return Broken(UNCONFIRMED_END)
        await reply.end()
        self.components.held.record_complete(self.context.service.name, size)
        return Completed(head.status)

    async def is_whole(self, connection: ServerConnection, head: ResponseHead) -> bool:
        """Return whether the end of the transport is that of a plain response."""
        return head.status >= SERVER_ERROR or await self.is_end_confirmed(connection)

    async def deliver(self, head: ResponseHead, body: bytes) -> None:
        """Send a complete response to the caller."""
        headers = [pair for pair in head.headers if pair[0] != b"content-length"]
        headers.append((b"content-length", str(len(body)).encode()))
        self.record_first_byte()
        self.context.reply.pending.phase = Phase.DELIVERY
        # A complete response is delivered even if the deadline passes now. If it were
        # aborted here, the caller would see a closed connection instead.
        end_s = max(trio.current_time(), self.context.deadline_s) + DELIVERY_GRACE_S
        with trio.CancelScope(deadline=end_s, shield=True) as scope:
            self.context.delivery_scope = scope
            await self.context.reply.send_complete(head.status, headers, body)

    async def relay_events(
        self, connection: ServerConnection, head: ResponseHead
    ) -> Completed | Broken | Lost:
        """Relay the events of a stream as they arrive, only complete ones.

        The end of the transport is not that of the content: a server that fails may
        end the response in order at any byte.
        """
        context, splitter = self.context, self.splitter
        with self.components.held.begin_event() as held:
            failure = await self.forward_stream(connection, head, held)
        if failure is not None:
            return failure
        if splitter.is_inside_event:
            return self.break_off("the stream ended inside an event")
        if self.needs_event(head) and not splitter.has_events:
            return self.break_off("the stream ended without an event")
        if not await self.is_end_confirmed(connection):
            return self.break_off(UNCONFIRMED_END)
        if not await self.begin_stream():
            return Lost(UNSETTLED_VERSION)
        if splitter.buffer:
            await self.forward_events(head, bytes(splitter.buffer))
        if not context.reply.is_started:
            await context.reply.start(head.status, stream_headers(head))
        await context.reply.end()
        return Completed(head.status)

    async def forward_stream(
        self, connection: ServerConnection, head: ResponseHead, held: HeldEvent
    ) -> Broken | Lost | None:
        """Forward events until the transport ends; return why not, or None."""
        context, splitter = self.context, self.splitter
        async for chunk in connection.chunks():
            if isinstance(chunk, Lost):
                return self.break_off(chunk.reason)
            self.state.record_received(self.sent_s, self.is_confirmed)
            events = splitter.feed(chunk)
            # The next chunk would be read beside this one.
            del chunk
            if splitter.buffer:
                connection.read_bytes = self.components.held.read_bytes
            if splitter.is_out_of_order:
                # It is not known after which event another server could resume.
                context.last_event_id = None
                return Broken("an event came twice after the stream resumed")
            if splitter.is_too_large:
                return self.break_off("an event is too large")
            if not held.resize(len(splitter.buffer)):
                return self.break_off("no room for the rest of an event")
            if events:
                self.statements.record_absent_limit(head.status)
                if not await self.begin_stream():
                    return Lost(UNSETTLED_VERSION)
                await self.forward_events(head, events)
        return None

    async def begin_stream(self) -> bool:
        """Keep the stream at this server's software version from its first event on.

        Returns
        -------
        may_begin : bool
            Whether the first event may go out.
        """
        context = self.context
        if context.beginning is None or context.reply.is_started:
            return True
        if not await self.components.origins.is_settled(context.beginning):
            return False
        context.origin = context.beginning.origin
        return True

    def needs_event(self, head: ResponseHead) -> bool:
        """Return whether a stream without an event cannot be complete.

        After the last event, the rest of a resumed stream is empty.
        """
        request = self.context.request
        is_resumed = self.context.last_event_id or request.last_event_id
        has_body = request.method != b"HEAD" and head.status not in NO_CONTENT
        return has_body and not is_resumed

    async def is_end_confirmed(self, connection: ServerConnection) -> bool:
        """Return whether the end of the transport is that of the response."""
        if not connection.is_closed_by_server:
            return True
        # The response is ready: it is delivered even if the deadline passes now.
        with trio.CancelScope(shield=True):
            return await self.components.crashes.confirms_end(self.state)

    def break_off(self, reason: str) -> Broken | Lost:
        """Return the outcome of a stream that its server did not complete."""
        context = self.context
        self.record_run()
        if self.splitter.last_id is not None:
            context.last_event_id = self.splitter.last_id
        if context.reply.is_started:
            return Broken(reason, context.last_event_id)
        return Lost(reason)

    async def forward_events(self, head: ResponseHead, events: bytes) -> None:
        """Send complete events to the caller."""
        reply, crashes = self.context.reply, self.components.crashes
        self.record_run()
        self.began_s = min(self.began_s, trio.current_time())
        if crashes.watches_progress:
            crashes.record_progress(self.context.identity, self.began_s)
        if not reply.is_started:
            self.record_first_byte()
            await reply.start(head.status, stream_headers(head))
        self.context.record_events(trio.current_time())
        await reply.data(events)

    def record_first_byte(self) -> None:
        """Record the time to the first bytes sent to the caller."""
        now_s = trio.current_time()
        self.context.first_byte_s = now_s - self.context.request.arrived_s
        FIRST_BYTE.observe(self.context.first_byte_s)
        if self.pending_prefill_tokens:
            self.components.servers.record_first_event(
                self.state,
                self.pending_prefill_tokens,
                self.tokens_ahead,
                now_s - self.started_s,
            )
            self.pending_prefill_tokens = 0

    def record_run(self) -> None:
        """Record that the request began to run, once for all of its attempts."""
        if self.pending_prefill_tokens and self.context.reply.is_started:
            self.state.pending_prefill_tokens -= self.pending_prefill_tokens
            self.pending_prefill_tokens = 0
        context = self.context
        if context.is_run_recorded:
            return
        context.is_run_recorded = True
        if context.customer is not None:
            self.components.record_run(context.customer.name)
