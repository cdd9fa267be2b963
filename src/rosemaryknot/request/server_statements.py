"""Recording of what the responses of a server state of the server itself."""

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.request.gateway_context import GatewayComponents, RequestContext
from rosemaryknot.request.gateway_response import DIRECT_PATH
from rosemaryknot.values.gateway_responses import ResponseHead
from rosemaryknot.values.retry_after import InvalidRetryAfter, requested_pause_s
from rosemaryknot.values.server_limits import InvalidLimit

__all__ = ["StatementRecorder", "is_own_response"]

MISDIRECTED = 421
SERVER_ERROR = 500

log = logger("gateway")


def is_own_response(head: ResponseHead) -> bool:
    """Return whether the server that was named in the request sent a response.

    A response of another server that uses its address now, or of none, says nothing
    about this one.
    """
    return head.status != MISDIRECTED and (head.is_signed or head.not_run)


class StatementRecorder:
    """Records what the responses of one attempt state of their server.

    It binds later requests, so it is recorded when the head of a response arrives,
    whatever becomes of the rest.

    Parameters
    ----------
    components : GatewayComponents
        Components of the gateway.
    context : RequestContext
        Context of the request.
    state : ServerState
        Server of the attempt.

    Attributes
    ----------
    limit_version : int
        Version of the server's rate limit when the request was sent.
    is_limit_recorded : bool
        Whether what the response states of the rate limit was recorded.
    started_s : float
        When the attempt began, in trio time.
    """

    def __init__(
        self, components: GatewayComponents, context: RequestContext, state: ServerState
    ) -> None:
        self.components = components
        self.context = context
        self.state = state
        self.limit_version = 0
        self.is_limit_recorded = False
        self.started_s = trio.current_time()

    def reserve(self) -> None:
        """Record that the attempt begins, before it is sent."""
        self.state.pause.begin(self, trio.current_time())

    def release(self) -> None:
        """Record that the attempt has ended, with or without a response."""
        if self.state.pause.end(self):
            self.components.servers.on_available(self.state.service)

    def begin(self) -> None:
        """Record that the request is sent."""
        self.limit_version = self.components.limits.records.version(
            self.state.incarnation_key
        )

    def record(self, head: ResponseHead) -> None:
        """Record what the head of the response to the request states."""
        if not is_own_response(head):
            return
        self.record_availability(head)
        self.log_limit(head)
        if head.limit is not None:
            self.record_limit(head.limit)
        elif isinstance(head.brittle, float):
            self.record_brittle(head.brittle)

    def record_stray(self, head: ResponseHead) -> None:
        """Record what a second response to an earlier request states.

        It is not known which version of a rate limit it refers to.
        """
        if is_own_response(head):
            self.record_availability(head)

    # Availability.

    def record_availability(self, head: ResponseHead) -> None:
        """Record that the server states that it drains, or wants a pause."""
        if head.is_draining and not self.state.has_announced_drain:
            self.log_availability("server stated that it drains", head)
            self.components.record_drain(self.state)
        if isinstance(head.retry_after, InvalidRetryAfter):
            self.log_availability("invalid Retry-After ignored", head)
        length_s = requested_pause_s(head.status, head.retry_after)
        if length_s > 0:
            self.record_pause(head, length_s)
        elif not head.not_run:
            self.components.servers.record_response(self.state, self)

    def record_pause(self, head: ResponseHead, length_s: float) -> None:
        """Record that the server wants no requests for a time, in seconds."""
        if not self.state.pause.is_active(trio.current_time()):
            self.log_availability("server asked for a pause", head)
        path = self.context.path
        peer = "" if path == DIRECT_PATH else path
        self.components.record_pause(self.state, length_s, peer)

    def log_availability(self, event: str, head: ResponseHead) -> None:
        """Log what the server states of its availability."""
        log.info(
            event,
            request=self.context.request.id,
            server=self.state.entry.id,
            server_born=self.state.entry.born,
            status=head.status,
            not_run=head.not_run,
            retry_after=head.retry_after,
            path=self.context.path,
            entry_s=round(trio.current_time() - self.state.entry_updated_s, 3),
            after_s=round(trio.current_time() - self.started_s, 3),
        )

    # Rate limits.

    def record_brittle(self, turned_away: float) -> None:
        """Record that the server states that it is brittle."""
        self.is_limit_recorded = True
        state, limits = self.state, self.components.limits
        server = state.incarnation_key
        room = float(max(1, state.entry.slots or state.load()[0]))
        limits.record_brittle(
            state.service, server, self.limit_version, turned_away, room
        )
        record = limits.records.get_limited(server)
        if record is not None and record.turned_away is not None:
            self.record_limit(record.limit)

    def record_absent_limit(self, status: int) -> None:
        """Record that the server states no limit, once the response proves to be sound.

        That is the end of a response, or the first event of a stream, which may last
        for seconds while the server could take more.
        """
        if status < SERVER_ERROR and not self.is_limit_recorded:
            self.record_limit(None)

    def record_limit(self, limit: float | InvalidLimit | None) -> None:
        """Record the rate limit that the response states, or that it states none."""
        self.is_limit_recorded = True
        self.components.limits.record_statement(
            self.state.incarnation_key, self.limit_version, self.context.permit, limit
        )

    def log_limit(self, head: ResponseHead) -> None:
        """Log a rate limit that differs from that in the last response."""
        if head.limit == self.state.stated_limit:
            return
        log.info(
            "server stated a rate limit",
            request=self.context.request.id,
            server=self.state.entry.id,
            server_born=self.state.entry.born,
            limit=head.limit,
            before=self.state.stated_limit,
            status=head.status,
            after_s=round(trio.current_time() - self.started_s, 3),
        )
        self.state.stated_limit = head.limit
