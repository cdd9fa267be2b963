"""One request of a caller: admitted, sent to a backend server, answered once."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from rosemaryknot.connection.gateway_caller import Reply
from rosemaryknot.connection.gateway_server import ServerConnection, ServerPool
from rosemaryknot.process.gateway_servers import ServerState, ServerTable
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, histogram
from rosemaryknot.request.durations import Durations
from rosemaryknot.request.event_stream import EventSplitter
from rosemaryknot.request.gateway_placement import (
    POLICIES,
    Candidate,
    PlacementInput,
    usable,
)
from rosemaryknot.values.gateway import (
    CustomerLimit,
    GatewayConfiguration,
    GatewayRequest,
    GatewayRoute,
    GatewayService,
    Repeat,
)
from rosemaryknot.values.gateway_answers import (
    AnswerHead,
    Broken,
    Completed,
    GatewayWire,
    Lost,
    NotRunThere,
    NotSent,
    Refusal,
)

__all__ = ["Gateway", "GatewayParts"]

DEFAULT_PATIENCE_S = 60.0
# What is left must cover the way to the server and back, or nobody gains by sending.
LEAST_LEFT_S = 0.01
# Without a first byte for this many times the wanted latency, a request that may be
# repeated is tried elsewhere: servers that turned slow or mute take eight times as
# long as others.
REPEAT_PATIENCE = 2.0
MIN_REPEAT_PATIENCE_S = 0.3
# Attempts that left no byte at a server cost little; this many may follow each other.
MAX_UNSENT = 3
# Longest that the delivery of a whole answer goes on after its time.
DELIVERY_S = 1.0
# Callers come back within this time, drawn evenly, so that they do not come at once.
RETURN_SPREAD_S = 0.4
RETURN_LEAST_S = 0.05
OK = 200
TOO_MANY = 429
UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
SERVER_ERROR = 500

REQUESTS = counter("gateway_requests_total", "Requests by outcome.")
ATTEMPTS = counter("gateway_attempts_total", "Attempts at backend servers by outcome.")
FIRST_BYTE = histogram("gateway_first_byte_seconds", "Time to the first byte.")
WHOLE = histogram("gateway_answer_seconds", "Time to the end of the answer.")

log = logger("gateway")


@dataclass(slots=True)
class GatewayParts:
    """What a gateway works with.

    Attributes
    ----------
    zone : str
        Availability zone of this node.
    wire : GatewayWire
        Names of headers.
    configuration : callable
        Returns the configuration in force, or None.
    servers : ServerTable
        The backend servers.
    pool : ServerPool
        Connections to them.
    take_quota : callable
        Of customer and units; returns after how many seconds they would be there,
        0 where they were taken.
    explain_quota : callable
        Of a customer; returns what the last answer of ``take_quota`` rests on.
    may_retry : callable
        Of a service; tells whether one more attempt is within the budget, and
        counts it.
    note_request : callable
        Of a service; counts a request for the budget of attempts.
    note_run : callable
        Of a customer; counts a request that began to run.
    note_work : callable
        Of a service and prompt tokens that it has to read; counts the work.
    stops_at_s : callable
        Returns when a planned stop ends requests, in trio time; infinite without.
    rng : random.Random
        Spreads returns and breaks ties.
    """

    zone: str
    wire: GatewayWire
    configuration: Callable[[], GatewayConfiguration | None]
    servers: ServerTable
    pool: ServerPool
    take_quota: Callable[[CustomerLimit, float], float]
    explain_quota: Callable[[CustomerLimit], dict[str, float]]
    may_retry: Callable[[str], bool]
    note_request: Callable[[str], None]
    note_run: Callable[[str], None]
    note_work: Callable[[str, int], None]
    stops_at_s: Callable[[], float]
    rng: random.Random


@dataclass(slots=True)
class Course:
    """One request on its way.

    Attributes
    ----------
    request : GatewayRequest
        What was asked.
    reply : Reply
        Where the answer goes.
    route : GatewayRoute
        The route in force when it came.
    service : GatewayService
        Drawn among the route's.
    customer : CustomerLimit or None
        Whose it is.
    until_s : float
        When it is given up, in trio time.
    tried : set of str
        Servers that were asked.
    sent : int
        Attempts of which a byte may have left.
    may_have_run : bool
        Whether an attempt may have run.
    last_event_id : bytes or None
        Where the stream goes on.
    version : int
        Of the configuration.
    first_s : float or None
        When the first bytes went to the caller, from its arrival, in seconds.
    chosen : Candidate or None
        The last server that was asked, as it looked then.
    """

    request: GatewayRequest
    reply: Reply
    route: GatewayRoute
    service: GatewayService
    customer: CustomerLimit | None
    until_s: float
    version: int
    tried: set[str] = field(default_factory=set)
    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False
    last_event_id: bytes | None = None
    is_counted: bool = False
    first_s: float | None = None
    chosen: Candidate | None = None

    def left_s(self) -> float:
        """Return how long is left, in seconds."""
        return self.until_s - trio.current_time()


class Gateway:
    """Answers requests.

    Parameters
    ----------
    parts : GatewayParts
        What it works with.
    """

    def __init__(self, parts: GatewayParts) -> None:
        self.parts = parts
        self.durations = Durations()

    async def handle(self, request: GatewayRequest, reply: Reply) -> None:
        """Answer a request."""
        course = self.admit(request, reply)
        if isinstance(course, Refusal):
            await self.refuse(request, reply, course)
            return
        outcome = None
        with trio.move_on_at(course.until_s):
            outcome = await self.run(course)
        if outcome is None:
            outcome = self.timed_out(course)
        if isinstance(outcome, Refusal) and not reply.is_started:
            await self.refuse(request, reply, outcome)
        else:
            self.log_end(course, outcome)

    # Admission.

    def admit(self, request: GatewayRequest, reply: Reply) -> Course | Refusal:
        """Return a request's course, or why it is refused."""
        parts = self.parts
        configuration = parts.configuration()
        if configuration is None:
            return self.refusal(UNAVAILABLE, "no configuration is known yet")
        route = configuration.route_of(request.host, request.path)
        if route is None:
            return Refusal(404, "no route matches")
        customer = self.customer_of(configuration, route, request)
        if isinstance(customer, Refusal):
            return customer
        patience_s = request.patience_s
        patience_s = DEFAULT_PATIENCE_S if patience_s is None else patience_s
        until_s = request.arrived_s + min(patience_s, route.timeout_s)
        if until_s - trio.current_time() < LEAST_LEFT_S:
            return self.refusal(UNAVAILABLE, "no time is left")
        service = self.service_of(configuration, route)
        if service is None:
            return self.refusal(UNAVAILABLE, "the route has no service")
        if not self.ends_in_time(route, request):
            return self.refusal(UNAVAILABLE, "stops before the answer would end")
        wait_s = self.quota_wait_s(customer, request)
        if wait_s > 0:
            log.info(
                "over the customer's limit",
                request=request.id,
                customer=customer.name,
                **parts.explain_quota(customer),
            )
            return self.refusal(TOO_MANY, "over the customer's limit", wait_s)
        parts.note_request(service.name)
        return Course(
            request, reply, route, service, customer, until_s, configuration.version
        )

    def ends_in_time(self, route: GatewayRoute, request: GatewayRequest) -> bool:
        """Tell whether an answer most likely ends before a planned stop.

        While most of a zone's nodes are away, the balancer sends callers to those
        that stop as well. A long stream taken late would be cut in its middle.
        """
        left_s = self.parts.stops_at_s() - trio.current_time()
        if left_s == math.inf:
            return True
        return self.durations.likely_s(route.name, output_tokens(request)) < left_s

    def customer_of(
        self,
        configuration: GatewayConfiguration,
        route: GatewayRoute,
        request: GatewayRequest,
    ) -> CustomerLimit | None | Refusal:
        """Return whose request it is, or a refusal."""
        if not configuration.customers or route.is_public:
            return None
        name = configuration.customer_by_key.get(request.key or "")
        if name is None:
            return Refusal(401, "the key is not known")
        return configuration.customers[name]

    def quota_wait_s(
        self, customer: CustomerLimit | None, request: GatewayRequest
    ) -> float:
        """Take the request's units from its customer's limit."""
        if customer is None or customer.rate <= 0:
            return 0.0
        units = 1.0
        if customer.counts_tokens:
            size = request.size
            units = float(customer.plain_tokens)
            if size is not None:
                units = float(size.prompt_tokens + size.max_output_tokens)
        return self.parts.take_quota(customer, units)

    def service_of(
        self, configuration: GatewayConfiguration, route: GatewayRoute
    ) -> GatewayService | None:
        """Draw one of a route's services by weight."""
        known = [
            (configuration.services[name], weight)
            for name, weight in route.backends
            if name in configuration.services and weight > 0
        ]
        if not known:
            return None
        services, weights = zip(*known, strict=True)
        return self.parts.rng.choices(services, weights)[0]

    def refusal(
        self, status: int, reason: str, least_s: float = RETURN_LEAST_S
    ) -> Refusal:
        """Return a refusal whose return is spread over some time."""
        spread_s = self.parts.rng.uniform(0, RETURN_SPREAD_S)
        return Refusal(status, reason, least_s + spread_s)

    # Attempts.

    async def run(self, course: Course) -> Completed | Refusal | Broken:
        """Try servers until one answers, or none is left."""
        while True:
            candidate = self.place(course)
            if candidate is None:
                return self.no_server(course)
            outcome = await self.attempt(course, candidate)
            ATTEMPTS.add(outcome=type(outcome).__name__)
            if isinstance(outcome, Completed):
                return outcome
            if not self.may_go_on(course, outcome):
                return self.given_up(course, outcome)
            log.info(
                "tries another server",
                request=course.request.id,
                after=type(outcome).__name__,
                reason=getattr(outcome, "reason", ""),
                left_s=round(course.left_s(), 3),
                **choice_of(course),
            )

    def place(self, course: Course) -> Candidate | None:
        """Choose a server."""
        parts = self.parts
        name = course.service.name
        states = [s for s in parts.servers.by_id.values() if s.entry.service == name]
        is_model = course.service.engine is not None
        size = course.request.size if is_model else None
        now_s = trio.current_time()
        candidates = []
        for state in usable(states, now_s, course.tried, is_model):
            requests, tokens = state.load()
            kept = 0
            if size is not None:
                kept = parts.servers.kept_tokens(state.entry.id, size)
            candidates.append(Candidate(state, requests, tokens, kept))
        policy = "least_busy" if size is None else "unread_tokens"
        return POLICIES[policy](PlacementInput(parts.zone, size, candidates, parts.rng))

    def no_server(self, course: Course) -> Refusal:
        """Return the answer where no server is left."""
        if course.may_have_run:
            return Refusal(BAD_GATEWAY, "no other server is left")
        return self.refusal(UNAVAILABLE, "no server can take the request")

    def may_go_on(self, course: Course, outcome: object) -> bool:
        """Tell whether another server may be asked after a failed attempt."""
        if isinstance(outcome, NotSent):
            course.unsent += 1
            return course.unsent <= MAX_UNSENT
        if course.sent >= course.route.max_attempts:
            return False
        if not isinstance(outcome, NotRunThere) and not course.route.may_repeat:
            return False
        if isinstance(outcome, Broken) and course.last_event_id is None:
            return False
        return self.parts.may_retry(course.service.name)

    def given_up(self, course: Course, outcome: object) -> Refusal | Broken:
        """Return the answer after the last attempt."""
        if isinstance(outcome, Broken):
            return outcome
        if isinstance(outcome, Lost) or course.may_have_run:
            return Refusal(BAD_GATEWAY, getattr(outcome, "reason", "server failed"))
        return self.refusal(UNAVAILABLE, "the servers are full")

    def timed_out(self, course: Course) -> Refusal | Broken | Completed:
        """Return the answer of a request whose time is over."""
        if course.reply.is_done:
            return Completed(course.reply.status)
        if course.reply.is_started:
            return Broken("the time is over")
        if course.may_have_run:
            return Refusal(GATEWAY_TIMEOUT, "the time is over; it may have run")
        return self.refusal(UNAVAILABLE, "the time is over; it did not run")

    async def attempt(
        self, course: Course, candidate: Candidate
    ) -> Completed | Broken | Lost | NotRunThere | NotSent:
        """Send the request to one server and relay its answer."""
        state = candidate.state
        course.chosen = candidate
        course.tried.add(state.entry.id)
        size = course.request.size
        tokens = 0
        if size is not None:
            tokens = max(0, size.prompt_tokens - candidate.kept_tokens)
            self.parts.note_work(course.service.name, tokens)
        attempt = Attempt(self, course, state, tokens, candidate.tokens)
        self.parts.servers.begin(state, size, tokens)
        outcome = None
        try:
            outcome = await attempt.run()
        finally:
            if outcome is None:
                self.judge_cut_off(course, attempt)
            self.parts.servers.end(state, attempt.waiting_tokens)
        self.judge(state, outcome)
        return outcome

    def judge_cut_off(self, course: Course, attempt: "Attempt") -> None:
        """Count against a server that it let a request's time pass without a byte.

        Once its last request has ended, a server that went dark owes nothing and
        looks idle; it would be the next one's choice.
        """
        now_s = trio.current_time()
        is_late = now_s >= course.until_s
        if is_late and attempt.state.heard_s < attempt.began_s:
            self.parts.servers.note_failure(attempt.state, "silent to the end")

    def judge(self, state: ServerState, outcome: object) -> None:
        """Count what an attempt says of its server."""
        servers = self.parts.servers
        if isinstance(outcome, Completed):
            if outcome.status < SERVER_ERROR:
                servers.note_success(state)
            return
        if isinstance(outcome, NotRunThere) and outcome.status == 421:
            # Another server has the address now; this one is gone.
            state.is_gone = True
            log.info("server gone: its address is another's", server=state.entry.id)
            return
        servers.note_failure(state, getattr(outcome, "reason", "not run"))

    # Ends.

    async def refuse(
        self, request: GatewayRequest, reply: Reply, refusal: Refusal
    ) -> None:
        """Answer a request ourselves."""
        REQUESTS.add(outcome=str(refusal.status))
        log.info(
            "refused",
            request=request.id,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
            took_s=round(trio.current_time() - request.arrived_s, 3),
        )
        body = (refusal.reason + "\n").encode()
        headers = self.parts.wire.refusal_headers(request)
        headers.append((b"content-type", b"text/plain"))
        headers.append((b"content-length", str(len(body)).encode()))
        if refusal.retry_after_s is not None:
            seconds = f"{refusal.retry_after_s:.3f}".encode()
            headers.append((b"retry-after", seconds))
        await reply.whole(refusal.status, headers, body)

    def log_end(self, course: Course, outcome: object) -> None:
        """Log how a request ended that got an answer of a server."""
        took_s = trio.current_time() - course.request.arrived_s
        if isinstance(outcome, Completed):
            tokens = output_tokens(course.request)
            self.durations.note(course.route.name, took_s, tokens)
        REQUESTS.add(outcome=type(outcome).__name__)
        WHOLE.observe(took_s)
        log.info(
            "answered" if isinstance(outcome, Completed) else "broke off",
            request=course.request.id,
            route=course.route.name,
            version=course.version,
            status=getattr(outcome, "status", None),
            reason=getattr(outcome, "reason", None),
            servers=len(course.tried),
            took_s=round(took_s, 3),
            first_s=None if course.first_s is None else round(course.first_s, 3),
            **choice_of(course),
        )


def output_tokens(request: GatewayRequest) -> int:
    """Return the most tokens that an answer may have, 0 for a plain one."""
    return 0 if request.size is None else request.size.max_output_tokens


def choice_of(course: Course) -> dict[str, object]:
    """Return what the last choice of a server was made from, for the log."""
    chosen = course.chosen
    if chosen is None:
        return {}
    return {
        "server": chosen.state.entry.id,
        "server_zone": chosen.state.entry.zone,
        "requests_there": chosen.requests,
        "tokens_there": chosen.tokens,
        "tokens_kept": chosen.kept_tokens,
        "prompt": 0
        if course.request.size is None
        else course.request.size.prompt_tokens,
    }


class Attempt:
    """One request at one server.

    Attributes
    ----------
    waiting_tokens : int
        Tokens that the server has not read yet, as far as is known.
    """

    def __init__(
        self,
        gateway: Gateway,
        course: Course,
        state: ServerState,
        tokens: int,
        ahead: int,
    ) -> None:
        self.gateway = gateway
        self.parts = gateway.parts
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
                self.priority(),
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

    def priority(self) -> int | None:
        """Return the rank of a model request."""
        if self.course.service.engine is None:
            return None
        customer = self.course.customer
        rank = self.course.route.priority
        if customer is not None and customer.priority is not None:
            rank = customer.priority
        return max(0, min(9, rank))

    def patience_s(self) -> float:
        """Return how long to wait for a first byte before trying elsewhere.

        Without another server there is no elsewhere, and a late answer is better
        than none.
        """
        course = self.course
        route = course.route
        if not route.may_repeat or course.sent >= route.max_attempts:
            return math.inf
        if self.gateway.place(course) is None:
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
        # An answer that is there is delivered, also where its time ends just now: cut
        # here, the caller would see a closed connection instead of it.
        with trio.move_on_after(DELIVERY_S, shield=True):
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
