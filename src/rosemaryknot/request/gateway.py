"""One request of a caller: admitted, sent to a backend server, answered once."""

from functools import partial

import trio

from rosemaryknot.connection.gateway_caller import Reply
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, histogram
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.request.durations import Durations
from rosemaryknot.request.gateway_attempt import Attempt
from rosemaryknot.request.gateway_choice import choose_server, refuse_overload
from rosemaryknot.request.gateway_course import (
    UNAVAILABLE,
    Course,
    GatewayParts,
    choice_of,
    explain_cut,
    output_tokens,
    refusal,
)
from rosemaryknot.request.gateway_entry import Entry
from rosemaryknot.request.gateway_placement import Candidate
from rosemaryknot.values.gateway import GatewayRequest
from rosemaryknot.values.gateway_answers import (
    Broken,
    Completed,
    Lost,
    NotRunThere,
    NotSent,
    Refusal,
)

__all__ = ["Gateway", "GatewayParts"]

# Attempts that left no byte at a server cost little; this many may follow each other.
MAX_UNSENT = 3
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
SERVER_ERROR = 500
NOT_READ = "the caller did not read it in time"

REQUESTS = counter("gateway_requests_total", "Requests by outcome.")
ATTEMPTS = counter("gateway_attempts_total", "Attempts at backend servers by outcome.")
WHOLE = histogram("gateway_answer_seconds", "Time to the end of the answer.")

log = logger("gateway")


class Gateway:
    """Answers requests.

    Parameters
    ----------
    parts : GatewayParts
        What it works with.

    Attributes
    ----------
    durations : Durations
        How long answers have taken.
    running : dict of Reply to Course
        Requests that were admitted and not ended.
    """

    def __init__(self, parts: GatewayParts) -> None:
        self.parts = parts
        self.durations = Durations()
        self.entry = Entry(parts, self.durations)
        self.running: dict[Reply, Course] = {}

    async def handle(self, request: GatewayRequest, reply: Reply) -> None:
        """Answer a request."""
        course = self.entry.admit(request, reply)
        if isinstance(course, Refusal):
            await self.refuse(request, reply, course)
            return
        reply.owed.explain = partial(explain_cut, course)
        outcome = None
        with trio.move_on_at(course.until_s) as course.limit:
            self.running[reply] = course
            try:
                outcome = await self.run(course)
            finally:
                del self.running[reply]
        if outcome is None:
            outcome = self.timed_out(course)
        if isinstance(outcome, Refusal) and not reply.is_started:
            await self.refuse(request, reply, outcome, choice_of(course))
        else:
            self.log_end(course, outcome)

    async def refuse_by_head(self, request: GatewayRequest, reply: Reply) -> bool:
        """Refuse a request whose body is still to come, where its head is enough.

        Returns
        -------
        is_refused : bool
            Whether it was; its answer is out then.
        """
        refused = self.entry.refuse_by_head(request)
        if refused is None:
            return False
        await self.refuse(request, reply, refused)
        return True

    def take_off(self, passed_s: float) -> None:
        """Bring the limits of running requests nearer by a time in suspension.

        Their callers did not stand still meanwhile, nor did the end of a planned
        stop, which these limits have to come before.
        """
        for course in self.running.values():
            course.until_s -= passed_s
            course.limit.deadline -= passed_s

    def end_for_stop(self, last_s: float) -> None:
        """End what cannot begin before a stop ends, and bound what is on its way.

        Their callers would see a connection closed without a word, also where nothing
        has run; an honest failure is still possible, and a started answer may yet end.

        Parameters
        ----------
        last_s : float
            Until when whole answers may still be on their way, in trio time; kept up
            longer, they would hold the process up until it is killed.
        """
        for reply, course in self.running.items():
            if course.delivery is not None:
                course.delivery.deadline = min(course.delivery.deadline, last_s)
            elif not reply.is_started:
                course.limit.cancel()

    # Attempts.

    async def run(self, course: Course) -> Completed | Refusal | Broken:
        """Try servers until one answers, or none is left."""
        while True:
            candidate = choose_server(self.parts, course)
            if candidate is None:
                return self.no_server(course)
            refused = refuse_overload(self.parts, course, candidate)
            if refused is not None:
                return refused
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

    def no_server(self, course: Course) -> Refusal:
        """Return the answer where no server is left."""
        if course.may_have_run:
            return Refusal(BAD_GATEWAY, "no other server is left")
        return refusal(self.parts.rng, UNAVAILABLE, "no server can take the request")

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
        return refusal(self.parts.rng, UNAVAILABLE, "the servers are full")

    def timed_out(self, course: Course) -> Refusal | Broken | Completed:
        """Return the answer of a request whose time is over."""
        if course.reply.is_done:
            return Completed(course.reply.status)
        if course.reply.is_started:
            return Broken("the time is over")
        cause = "the node stops" if course.left_s() > 0 else "the time is over"
        if course.may_have_run:
            return Refusal(GATEWAY_TIMEOUT, f"{cause}; it may have run")
        return refusal(self.parts.rng, UNAVAILABLE, f"{cause}; it did not run")

    async def attempt(
        self, course: Course, candidate: Candidate
    ) -> Completed | Broken | Lost | NotRunThere | NotSent:
        """Send the request to one server and relay its answer."""
        state = candidate.state
        course.chosen = candidate
        course.tried.add(state.incarnation)
        size = course.request.size
        tokens = 0
        if size is not None:
            tokens = max(0, size.prompt_tokens - candidate.kept_tokens)
            self.parts.note_work(course.service.name, tokens)
        attempt = Attempt(self.parts, course, state, tokens, candidate.tokens)
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

    def judge_cut_off(self, course: Course, attempt: Attempt) -> None:
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
            log.info(
                "server gone: its address is another's",
                server=state.entry.id,
                born=state.entry.born,
            )
            return
        servers.note_failure(state, getattr(outcome, "reason", "not run"))

    # Ends.

    async def refuse(
        self,
        request: GatewayRequest,
        reply: Reply,
        refusal: Refusal,
        choice: dict[str, object] | None = None,
    ) -> None:
        """Answer a request ourselves; the log tells the last choice of a server."""
        REQUESTS.add(outcome=str(refusal.status))
        configuration = self.parts.configuration()
        log.info(
            "refused",
            request=request.id,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
            version=None if configuration is None else configuration.version,
            newest_version=self.parts.newest_version(),
            took_s=round(trio.current_time() - request.arrived_s, 3),
            **(choice or {}),
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
        is_whole = isinstance(outcome, Completed) and course.reply.is_done
        if is_whole:
            tokens = output_tokens(course.request)
            now_s = trio.current_time()
            self.durations.note(course.route.name, took_s, tokens, now_s)
        REQUESTS.add(outcome=type(outcome).__name__)
        WHOLE.observe(took_s)
        log.info(
            "answered" if is_whole else "broke off",
            request=course.request.id,
            route=course.route.name,
            version=course.version,
            status=getattr(outcome, "status", None),
            reason=getattr(outcome, "reason", None if is_whole else NOT_READ),
            servers=len(course.tried),
            took_s=round(took_s, 3),
            first_s=None if course.first_s is None else round(course.first_s, 3),
            pause_s=round(course.pause_s, 3),
            sent_bytes=course.reply.owed.sent_bytes,
            **choice_of(course),
        )
