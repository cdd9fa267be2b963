"""Handling of one request: admission, attempts at backend servers, one response."""

import math
from functools import partial

import trio

from rosemaryknot.connection.gateway_caller import Reply
from rosemaryknot.process.crash_store import RELEASE_CHECK_INTERVAL_S
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, histogram
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.request.crash_rules import Allowed, Barred
from rosemaryknot.request.gateway_attempt import Attempt
from rosemaryknot.request.gateway_choice import select_server, usable_servers
from rosemaryknot.request.gateway_context import (
    UNAVAILABLE,
    GatewayComponents,
    RequestContext,
    abort_log_fields,
    closed_log_fields,
    output_tokens,
    placement_log_fields,
    refusal,
)
from rosemaryknot.request.gateway_placement import Candidate
from rosemaryknot.request.gateway_request_admission import RequestAdmission
from rosemaryknot.request.origin_guard import (
    Resumption,
    is_resumption,
    new_beginning,
)
from rosemaryknot.request.origin_rules import Unresumable
from rosemaryknot.request.pause_queue import PauseQueue
from rosemaryknot.request.response_durations import ResponseDurations
from rosemaryknot.request.server_absence import (
    are_all_paused,
    explain_absence,
    may_wait,
    paused_servers,
)
from rosemaryknot.values.gateway import GatewayRequest
from rosemaryknot.values.gateway_responses import (
    Broken,
    Completed,
    Lost,
    NodeFull,
    NotPermitted,
    NotRunThere,
    NotSent,
    Refusal,
    RetryRefused,
)
from rosemaryknot.values.stream_origins import StreamOrigin

__all__ = ["Gateway", "GatewayComponents"]

# Limit of attempts per request that sent no byte to a server. They cost little, so they
# do not count towards the route's limit of attempts.
MAX_UNSENT = 3
# The same while neither this node's link to the servers works nor a peer helps: another
# server would only delay the refusal.
MAX_WITHOUT_PATH = 1
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
SERVER_ERROR = 500
# Share of the remaining time for which a request waits until another attempt of the
# same request has ended; the rest is for its own.
MAX_WAIT_SHARE = 0.3
# Retry-After of a request whose wait was too short.
RUNNING_RETRY_AFTER_S = 0.5
MAX_LOGGED_SERVERS = 8
NO_SERVER = "no server can take the request"
CALLER_TOO_SLOW = "the caller did not read it in time"

REQUESTS = counter("gateway_requests_total", "Requests by outcome.")
ATTEMPTS = counter("gateway_attempts_total", "Attempts at backend servers by outcome.")
BARRED = counter(
    "gateway_barred_requests_total",
    "Requests that were refused since servers crashed under them.",
)
RESPONSE_TIME = histogram("gateway_answer_seconds", "Time to the end of the answer.")

log = logger("gateway")


class Gateway:
    """Request handler of a gateway node.

    Parameters
    ----------
    components : GatewayComponents
        Components that the gateway uses.

    Attributes
    ----------
    durations : ResponseDurations
        Recent durations of responses.
    entry : RequestAdmission
        Admission of requests.
    running : dict of Reply to Course
        Requests that were admitted and have not ended.
    pauses : PauseQueue
        Requests that wait until a server accepts requests again.
    """

    def __init__(self, components: GatewayComponents) -> None:
        self.components = components
        self.durations = ResponseDurations()
        self.entry = RequestAdmission(components, self.durations)
        self.running: dict[Reply, RequestContext] = {}
        self.pauses = PauseQueue()
        components.servers.on_available = self.pauses.signal

    async def handle(self, request: GatewayRequest, reply: Reply) -> None:
        """Handle a request and send its response."""
        context = self.entry.admit(request, reply)
        if isinstance(context, Refusal):
            await self.refuse(request, reply, context)
            return
        reply.pending.explain = partial(abort_log_fields, context)
        outcome = None
        with trio.move_on_at(context.deadline_s) as context.deadline_scope:
            self.running[reply] = context
            try:
                outcome = await self.run(context)
            finally:
                del self.running[reply]
        if outcome is None:
            outcome = self.timeout_outcome(context)
        if isinstance(outcome, Refusal) and not context.may_have_run:
            self.release_quota(context)
        if isinstance(outcome, Refusal) and not reply.is_started:
            await self.refuse(request, reply, outcome, failure_log_fields(context))
        else:
            self.log_outcome(context, outcome)

    async def refuse_by_head(self, request: GatewayRequest, reply: Reply) -> bool:
        """Refuse a request before its body is read, if its head is sufficient.

        Returns
        -------
        is_refused : bool
            Whether the request was refused and its response was sent.
        """
        refused = self.entry.refuse_by_head(request)
        if refused is None:
            return False
        await self.refuse(request, reply, refused)
        return True

    def check_head(self, request: GatewayRequest) -> float | Refusal:
        """Return when the time of a request ends, in trio time, or its refusal."""
        return self.entry.check_head(request)

    def shorten_deadlines(self, passed_s: float) -> None:
        """Move the deadlines of running requests earlier by the time of a suspension.

        The time of the callers passed during the suspension, and so did the time until
        the end of a graceful shutdown, which these deadlines must precede.
        """
        for context in self.running.values():
            context.deadline_s -= passed_s
            context.deadline_scope.deadline -= passed_s

    def abort_for_shutdown(self, last_s: float) -> None:
        """Abort requests without a response and limit deliveries as a shutdown ends.

        Without this, callers would see a closed connection and no status, even if
        nothing has run. Aborted requests still get an error response, and responses
        that have started may still finish.

        Parameters
        ----------
        last_s : float
            Deadline for the delivery of buffered responses, in trio time. A later one
            would keep the process alive until it is killed.
        """
        for reply, context in self.running.items():
            if context.delivery_scope is not None:
                context.delivery_scope.deadline = min(
                    context.delivery_scope.deadline, last_s
                )
            elif not reply.is_started:
                context.deadline_scope.cancel()

    def abort_refused(self) -> None:
        """Abort requests whose prompt segment is refused from now on.

        Servers may still queue them, and would crash under them later.
        """
        for reply, context in self.running.items():
            is_sent = context.may_have_run and not reply.is_started
            decision = context.crash_decision
            if not is_sent or isinstance(decision, Barred) or decision.is_trial:
                continue
            decision = self.components.crashes.refusal(context.identity)
            if decision is not None:
                context.crash_decision = decision
                context.deadline_scope.cancel()

    # Attempts.

    async def run(self, context: RequestContext) -> Completed | Refusal | Broken:
        """Attempt servers until one responds or no further attempt is allowed."""
        context.beginning = new_beginning(
            context.customer_name, context.request, context.route
        )
        refused = await self.resume(context)
        if refused is not None:
            return refused
        # Only now is it known which service gets a stream that the caller resumes.
        self.components.retries.record_request(context.service.name)
        if not await self.allowed_after_crashes(context):
            return self.barred_outcome(context)
        while True:
            candidate = await select_server(self.components, context)
            if candidate is None:
                if await self.wait_for_pauses(context):
                    continue
                if await self.finds_server_of_origin(context):
                    continue
                return self.no_server_outcome(context)
            if isinstance(candidate, Refusal):
                return candidate
            outcome = await self.attempt(context, candidate)
            ATTEMPTS.add(outcome=type(outcome).__name__)
            if isinstance(outcome, Completed):
                return outcome
            if not await self.may_try_another(context, outcome):
                return self.final_failure(context, outcome)
            log.info(
                "attempting another server",
                request=context.request.id,
                after=type(outcome).__name__,
                reason=getattr(outcome, "reason", ""),
                left_s=round(context.remaining_s(), 3),
                **self.components.retries.explain(context),
                **failure_log_fields(context),
            )

    async def wait_for_pauses(self, context: RequestContext) -> bool:
        """Wait for a server that wants no requests for a time.

        Returns
        -------
        is_due : bool
            Whether to look for a server again; otherwise none accepts the request in
            the share of its time for which it may wait.
        """
        now_s = trio.current_time()
        if context.max_wait_s is None:
            context.max_wait_s = now_s + context.remaining_s() * MAX_WAIT_SHARE
        paused = paused_servers(self.components, context)
        if not may_wait(paused, now_s, context.max_wait_s):
            return False
        due_s = min(state.pause.next_s(now_s) for state in paused)
        order = (context.priority, context.request.arrived_s)
        is_due = await self.pauses.wait(
            context.service.name, order, due_s, context.max_wait_s
        )
        log.info(
            "request waited for the end of a pause",
            request=context.request.id,
            service=context.service.name,
            servers=[state.entry.id for state in paused[:MAX_LOGGED_SERVERS]],
            waited_s=round(trio.current_time() - now_s, 3),
            is_due=is_due,
            left_s=round(context.remaining_s(), 3),
        )
        return is_due

    async def finds_server_of_origin(self, context: RequestContext) -> bool:
        """Ask the store once whether a stream has servers to go on at.

        They may have joined while this node was suspended or cut off, or what it knows
        of them may be old.
        """
        if context.origin is None or context.are_entries_confirmed is not None:
            return False
        components = self.components
        versions = components.servers.versions
        age_s, started_s = versions.entries_age_s(), trio.current_time()
        context.are_entries_confirmed = await components.origins.confirm_entries()
        usable = usable_servers(components, context)
        log.info(
            "asked the store for servers of a stream",
            request=context.request.id,
            software_version=context.origin.software_version,
            entries_age_s=round(age_s, 3),
            took_s=round(trio.current_time() - started_s, 3),
            is_confirmed=context.are_entries_confirmed,
            servers=len(usable),
        )
        return bool(usable)

    async def resume(self, context: RequestContext) -> Refusal | None:
        """Find out where a stream that the caller resumes may go on, or refuse it."""
        request, route = context.request, context.route
        if not is_resumption(request, route):
            return None
        resumption = Resumption(
            context.customer_name, request, route, context.service.name
        )
        decision = await self.components.origins.resolve(resumption)
        if isinstance(decision, Unresumable):
            return self.unresumable_outcome(context, decision)
        # The server is left out: it began the stream, not this later attempt.
        origin = decision.origin
        context.origin = StreamOrigin(origin.service, origin.software_version)
        return self.select_service(context, origin.service)

    def select_service(self, context: RequestContext, name: str) -> Refusal | None:
        """Let a request go to a service of its route; refuse it if there is none."""
        if context.service.name == name:
            return None
        configuration = self.components.configuration()
        service = None if configuration is None else configuration.services.get(name)
        if service is None:
            reason = "the service that began the stream is not configured any more"
            return self.unresumable_outcome(context, Unresumable(reason))
        context.service = service
        context.known_identity = None
        context.lowest_priority = configuration.lowest_priority_by_service.get(name, 0)
        context.min_event_gap_s = configuration.min_event_gap_s_by_service.get(
            name, math.inf
        )
        return None

    def unresumable_outcome(
        self, context: RequestContext, decision: Unresumable
    ) -> Refusal:
        """Return the refusal of a stream that may not go on.

        Without a Retry-After the same request cannot succeed later, and its caller has
        to begin a new stream.
        """
        if decision.retry_after_s is None:
            return Refusal(UNAVAILABLE, f"{decision.reason}: begin a new stream")
        return refusal(
            self.components.rng, UNAVAILABLE, decision.reason, decision.retry_after_s
        )

    def no_server_outcome(self, context: RequestContext) -> Refusal:
        """Return the refusal of a request for which no server is eligible."""
        if context.may_have_run:
            return Refusal(BAD_GATEWAY, "no other server is left")
        if context.origin is not None and not are_all_paused(self.components, context):
            absence = self.components.origins.explain_absence(
                context.origin, bool(context.are_entries_confirmed)
            )
            return self.unresumable_outcome(context, absence)
        reason, retry_after_s = explain_absence(self.components, context)
        return refusal(self.components.rng, UNAVAILABLE, reason, retry_after_s)

    async def allowed_after_crashes(self, context: RequestContext) -> bool:
        """Return whether a request may be attempted although servers crashed."""
        context.crash_decision = await self.components.crashes.wait(
            context.identity,
            context.closed_by,
            context.may_have_run,
            context.remaining_s() * MAX_WAIT_SHARE,
        )
        return isinstance(context.crash_decision, Allowed)

    def barred_outcome(self, context: RequestContext) -> Refusal:
        """Return the response to a request that servers crashed under."""
        barred = context.crash_decision
        if context.may_have_run:
            return Refusal(BAD_GATEWAY, barred.reason)
        BARRED.add(temporary=str(barred.is_temporary))
        retry_after_s = RELEASE_CHECK_INTERVAL_S
        if barred.is_temporary:
            retry_after_s = RUNNING_RETRY_AFTER_S
            excluded = self.components.crashes.crashed_servers(context.identity)
            excluded |= self.components.limits.records.limited
            service = context.service.name
            if not self.components.servers.has_available(service, excluded):
                # It is not the suspicion that keeps it from being served.
                return refusal(
                    self.components.rng, UNAVAILABLE, NO_SERVER, retry_after_s
                )
        return refusal(self.components.rng, UNAVAILABLE, barred.reason, retry_after_s)

    async def may_try_another(self, context: RequestContext, outcome: object) -> bool:
        """Return whether another server may be attempted after a failure."""
        if not await self.allowed_after_crashes(context):
            return False
        if isinstance(outcome, RetryRefused | NodeFull):
            return False
        if isinstance(outcome, NotSent):
            context.unsent += 1
            limit = MAX_WITHOUT_PATH if outcome.is_path_failure else MAX_UNSENT
            return context.unsent <= limit
        if context.sent >= context.route.max_attempts:
            return False
        if not isinstance(outcome, NotRunThere) and not context.route.allows_retry:
            return False
        if isinstance(outcome, Broken) and not context.last_event_id:
            return False
        if not self.has_alternative(context) and not (
            await self.finds_server_of_origin(context)
        ):
            return False
        return self.components.retries.is_allowed(context)

    def has_alternative(self, context: RequestContext) -> bool:
        """Return whether another attempt has a server, now or within its time to wait.

        The budget of retries is not spent on one that has none.
        """
        if usable_servers(self.components, context):
            return True
        now_s = trio.current_time()
        max_wait_s = context.max_wait_s
        if max_wait_s is None:
            max_wait_s = now_s + context.remaining_s() * MAX_WAIT_SHARE
        return may_wait(paused_servers(self.components, context), now_s, max_wait_s)

    def final_failure(
        self, context: RequestContext, outcome: object
    ) -> Refusal | Broken:
        """Return the outcome of a request after its last failed attempt."""
        if isinstance(outcome, Broken):
            return outcome
        if isinstance(context.crash_decision, Barred):
            return self.barred_outcome(context)
        if isinstance(outcome, Lost) or context.may_have_run:
            return Refusal(BAD_GATEWAY, getattr(outcome, "reason", "server failed"))
        reason = "the servers are full"
        if isinstance(outcome, RetryRefused | NodeFull):
            return refusal(self.components.rng, UNAVAILABLE, reason)
        if isinstance(outcome, NotSent):
            reason = "no server accepts a connection"
            if outcome.is_path_failure:
                reason = "neither this node nor its peers reach the servers"
        elif not usable_servers(self.components, context):
            reason, retry_after_s = explain_absence(self.components, context)
            return refusal(self.components.rng, UNAVAILABLE, reason, retry_after_s)
        return refusal(self.components.rng, UNAVAILABLE, reason)

    def timeout_outcome(self, context: RequestContext) -> Refusal | Broken | Completed:
        """Return the outcome of a request aborted at its deadline or by a shutdown."""
        if context.reply.is_done:
            return Completed(context.reply.status)
        if context.reply.is_started:
            return Broken("the time is over")
        if isinstance(context.crash_decision, Barred):
            return self.barred_outcome(context)
        cause = "the node stops" if context.remaining_s() > 0 else "the time is over"
        if context.may_have_run:
            return Refusal(GATEWAY_TIMEOUT, f"{cause}; it may have run")
        return refusal(self.components.rng, UNAVAILABLE, f"{cause}; it did not run")

    async def attempt(
        self, context: RequestContext, candidate: Candidate
    ) -> Completed | Broken | Lost | NotRunThere | NotSent:
        """Send the request to one server and relay its response."""
        state = candidate.state
        context.chosen = candidate
        context.tried.add(state.incarnation)
        size = context.request.size
        tokens = 0
        if size is not None:
            tokens = max(0, size.prompt_tokens - candidate.cached_tokens)
            self.components.record_work(context.service.name, tokens)
        attempt = Attempt(self.components, context, state, tokens, candidate.tokens)
        attempt.statements.reserve()
        self.components.servers.begin(state, size, tokens)
        crashes = self.components.crashes
        record = crashes.begin(context.identity, context.crash_decision)
        outcome = None
        try:
            outcome = await attempt.run()
        finally:
            if outcome is None:
                self.record_timeout(context, attempt)
            attempt.statements.release()
            self.components.servers.end(state, attempt.pending_prefill_tokens)
            crashes.end(record)
            self.components.limits.give_back(
                context.permit, isinstance(outcome, NotRunThere)
            )
        is_turned_away = (
            isinstance(outcome, NotRunThere)
            and outcome.status == UNAVAILABLE
            and state.pause.is_active(trio.current_time())
        )
        if isinstance(outcome, NotPermitted) or is_turned_away:
            # The server did not fail, and may be chosen again with a permit or after
            # its pause.
            context.tried.discard(state.incarnation)
        else:
            self.record_outcome(state, outcome)
        return outcome

    def record_timeout(self, context: RequestContext, attempt: Attempt) -> None:
        """Record a failure of a server that sent no byte before the deadline.

        Otherwise a server that stopped responding would look idle once its last request
        has ended, and would be chosen for the next one.
        """
        now_s = trio.current_time()
        is_late = now_s >= context.deadline_s
        if is_late and attempt.state.last_received_s < attempt.started_s:
            self.components.servers.record_failure(
                attempt.state, "no byte before the deadline"
            )

    def record_outcome(self, state: ServerState, outcome: object) -> None:
        """Record the outcome of an attempt in the health of its server."""
        servers = self.components.servers
        if isinstance(outcome, Completed):
            if outcome.status < SERVER_ERROR:
                servers.record_success(state)
            return
        if isinstance(outcome, NotRunThere) and outcome.status == 421:
            # Another server uses the address now, so this one has been removed.
            state.is_removed = True
            log.info(
                "server removed: its address is used by another server",
                server=state.entry.id,
                born=state.entry.born,
            )
            return
        if not getattr(outcome, "is_path_failure", False):
            if isinstance(outcome, NotSent) and outcome.is_refused:
                state.process_lost_s = trio.current_time()
            servers.record_failure(state, getattr(outcome, "reason", "not run"))

    # Responses and outcomes.

    def release_quota(self, context: RequestContext) -> None:
        """Release the units of a request that has not run and will not."""
        if context.customer is not None and context.units:
            self.components.release_quota(context.customer, context.units)

    async def refuse(
        self,
        request: GatewayRequest,
        reply: Reply,
        refusal: Refusal,
        choice: dict[str, object] | None = None,
    ) -> None:
        """Send a refusal and log it with the last choice of a server."""
        REQUESTS.add(outcome=str(refusal.status))
        configuration = self.components.configuration()
        log.info(
            "refused",
            request=request.id,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
            version=None if configuration is None else configuration.version,
            newest_version=self.components.newest_version(),
            took_s=round(trio.current_time() - request.arrived_s, 3),
            **(choice or {}),
        )
        body = (refusal.reason + "\n").encode()
        headers = self.components.wire.refusal_headers(request)
        headers.append((b"content-type", b"text/plain"))
        headers.append((b"content-length", str(len(body)).encode()))
        if refusal.retry_after_s is not None:
            seconds = f"{refusal.retry_after_s:.3f}".encode()
            headers.append((b"retry-after", seconds))
        await reply.send_complete(refusal.status, headers, body)

    def log_outcome(self, context: RequestContext, outcome: object) -> None:
        """Log the outcome of a request and record its duration."""
        took_s = trio.current_time() - context.request.arrived_s
        is_whole = isinstance(outcome, Completed) and context.reply.is_done
        if is_whole:
            tokens = output_tokens(context.request)
            now_s = trio.current_time()
            self.durations.record(context.route.name, took_s, tokens, now_s)
        REQUESTS.add(outcome=type(outcome).__name__)
        RESPONSE_TIME.observe(took_s)
        log.info(
            "answered" if is_whole else "broke off",
            request=context.request.id,
            route=context.route.name,
            version=context.version,
            status=getattr(outcome, "status", None),
            reason=getattr(outcome, "reason", None if is_whole else CALLER_TOO_SLOW),
            servers=len(context.tried),
            took_s=round(took_s, 3),
            first_s=None
            if context.first_byte_s is None
            else round(context.first_byte_s, 3),
            pause_s=round(context.max_event_gap_s, 3),
            sent_bytes=context.reply.pending.sent_bytes,
            **failure_log_fields(context),
        )


def failure_log_fields(context: RequestContext) -> dict[str, object]:
    """Return log fields on the last choice and on connections that servers closed."""
    return {**placement_log_fields(context), **closed_log_fields(context)}
