"""Processing of one accepted model request: attempts until there is an outcome."""

import json
import math
from collections.abc import Callable, Collection
from dataclasses import dataclass
from functools import partial
from operator import attrgetter

import trio

from rosemaryknot.connection.engine_client import EngineClient
from rosemaryknot.connection.engine_frames import Broken, Crossed, Finished, Refused
from rosemaryknot.process.background_tasks import BackgroundTasks
from rosemaryknot.process.listed_server import ListedServer
from rosemaryknot.process.prefix_estimate import Guess, prompt_segments
from rosemaryknot.process.server_health import ServerHealth
from rosemaryknot.process.server_load import LoadTable
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.request.attempts import Attempt, AttemptEnd, Leave, Moved, Silent
from rosemaryknot.request.crash_guard import CrashGuard
from rosemaryknot.request.crash_rules import TRIAL_DELAY_S, Allowed, Barred
from rosemaryknot.request.generations import Generation
from rosemaryknot.request.limit_guard import (
    LimitGuard,
    LimitsReached,
    Selected,
    SelectionInput,
)
from rosemaryknot.request.moves import Mover
from rosemaryknot.request.permit_client import Permit, PermitNeed
from rosemaryknot.request.relay_records import record_attempt_end
from rosemaryknot.request.request_context import RequestContext
from rosemaryknot.request.router import Router
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.outcomes import Answered, NotRun, Reason, Unknown
from rosemaryknot.values.request_identity import RequestIdentity
from rosemaryknot.values.server_limits import InvalidLimit

__all__ = ["GenerationRun", "RelayComponents"]

NO_SERVER_RETRY_AFTER_S = 2.0
NO_SERVER_TIMEOUT_S = 60.0
# The same while servers of other software versions only are live: the version has most
# likely been replaced, and a caller that learns of it can send a new request.
NO_VERSION_TIMEOUT_S = 5.0
# Retry-After of a request that may not run since servers crashed under it: the time
# after which a request that is not the cause has its trial.
BARRED_RETRY_AFTER_S = TRIAL_DELAY_S
RECOVERED_PRIORITY = -1
# Share of the remaining time for which a request waits for a server with a rate limit.
MAX_LIMIT_WAIT_SHARE = 0.3
# Shortest wait for a server that is paused, or in the slow start after it.
MIN_PAUSE_WAIT_S = 0.01
CALLER_ERROR_STATUSES = frozenset({400, 413, 422})


@dataclass(slots=True)
class RelayComponents:
    """Components shared by all generation runs of a process.

    Attributes
    ----------
    servers : ServerTable
        Backend servers.
    health : ServerHealth
        Failures of the servers.
    loads : LoadTable
        Load of the servers.
    engines : EngineClient
        Client for the engines.
    router : Router
        Chooses servers.
    mover : Mover
        Moves streams off draining servers.
    tasks : BackgroundTasks
        Runs background calls.
    crashes : CrashGuard or None
        Decides on requests during which servers crashed; None for no limit.
    limits : LimitGuard or None
        Selects servers under the rate limits that they state; None for no limits.
    """

    servers: ServerTable
    health: ServerHealth
    loads: LoadTable
    engines: EngineClient
    router: Router
    mover: Mover
    tasks: BackgroundTasks
    crashes: CrashGuard | None = None
    limits: LimitGuard | None = None


def may_have_run(end: AttemptEnd) -> bool:
    """Return whether a server may have computed something in an attempt."""
    if isinstance(end, Broken):
        return end.sent
    return not isinstance(end, Refused)


class GenerationRun:
    """Sequence of attempts that brings a generation to its outcome.

    Parameters
    ----------
    generation : Generation
        Generation to run.
    request_context : RequestContext
        State kept between attempts.
    components : RelayComponents
        Shared components.
    """

    def __init__(
        self,
        generation: Generation,
        request_context: RequestContext,
        components: RelayComponents,
    ) -> None:
        self.generation = generation
        self.request_context = request_context
        self.components = components
        self.closed_by: list[ListedServer] = []
        self.identity = identity_of(generation)
        self.began_s = math.inf
        self.permit: Permit | None = None

    async def run(self) -> None:
        """Run attempts until there is an outcome or the deadline passes."""
        generation = self.generation
        with trio.CancelScope(deadline=generation.request.deadline_s):
            while generation.outcome is None:
                await self.run_attempt()
        if generation.outcome is None:
            self.time_out()

    async def run_attempt(self) -> None:
        """Make one attempt and handle its end."""
        generation, request_context = self.generation, self.request_context
        decision = await self.decide_after_crashes()
        if isinstance(decision, Barred):
            self.finish_barred(decision)
            return
        server = await self.determined_server()
        if server is None:
            server = await self.choose_server()
        if generation.outcome is not None:
            return
        if isinstance(server, LimitsReached):
            await self.handle_limits_reached(server)
            return
        if server is None:
            self.finish_without_server()
            return
        attempt = self.new_attempt(server)
        guess = self.components.router.guess(server, request_context.prompt)
        attempt.load.prefixes.record_sent(
            request_context.prompt.blocks, trio.current_time()
        )
        request_context.start_attempt(server)
        end = await self.stream_guarded(attempt, decision)
        record_attempt_end(attempt, end)
        self.handle_attempt_end(attempt, guess, end)

    async def stream(self, attempt: Attempt) -> AttemptEnd:
        """Run an attempt while it is registered with the mover."""
        request_id = attempt.generation.request_id
        self.components.mover.running[request_id] = attempt
        self.components.mover.check()
        attempt.on_limit = self.limit_recorder(attempt.server)
        instance = attempt.server.instance
        attempt.on_drain = partial(
            self.components.servers.mark_leaving, instance, 0.0, "server"
        )
        pauses = self.components.router.pauses
        pauses.begin(instance, attempt)
        try:
            end = await attempt.run()
        finally:
            if attempt.has_token:
                pauses.record_response(instance, attempt)
            pauses.end(instance, attempt)
            del self.components.mover.running[request_id]
        if isinstance(end, Refused):
            pauses.record(instance, end.pause_s, request_id)
        return end

    def limit_recorder(
        self, server: BackendServer
    ) -> Callable[[float | InvalidLimit | None], None]:
        """Return a function that records what a server states in this attempt."""
        limits = self.components.limits
        if limits is None:
            return lambda limit: None
        name = server.instance
        version = limits.records.version(name)
        return partial(limits.record_statement, name, version, self.permit)

    async def decide_after_crashes(self) -> Allowed | Barred:
        """Decide whether the request may be attempted although servers crashed."""
        crashes = self.components.crashes
        if crashes is None:
            return Allowed()
        remaining_s = self.generation.request.deadline_s - trio.current_time()
        # An accepted generation goes on after it has lost a server, so that earlier
        # attempts do not bar the next one until the limit is reached.
        return await crashes.wait(
            self.identity, self.closed_by, has_run=False, timeout_s=remaining_s
        )

    async def stream_guarded(self, attempt: Attempt, decision: Allowed) -> AttemptEnd:
        """Run an attempt, and record how its server ended it."""
        crashes = self.components.crashes
        if crashes is None:
            return await self.stream(attempt)
        record = crashes.begin(self.identity, decision)
        if decision.is_trial:
            crashes.begin_trial(self.identity)
        self.began_s = math.inf
        attempt.on_tokens = self.record_progress
        try:
            end = await self.stream(attempt)
        finally:
            crashes.end(record)
        listed = ListedServer(attempt.server, self.components.servers)
        if isinstance(end, Finished):
            crashes.record_complete(listed, self.identity, began_s=self.began_s)
        elif isinstance(end, Broken) and end.sent:
            self.closed_by.append(listed)
            progress_s = max(0.0, trio.current_time() - self.began_s)
            crashes.record_closed(listed, self.identity, progress_s)
        return end

    def record_progress(self) -> None:
        """Record that tokens of the current attempt have arrived."""
        self.began_s = min(self.began_s, trio.current_time())
        crashes = self.components.crashes
        if crashes.watches_progress:
            crashes.record_progress(self.identity, self.began_s)

    async def determined_server(self) -> BackendServer | None:
        """Return the server that is already determined, unless its limit is reached."""
        context, limits = self.request_context, self.components.limits
        server = context.next_server
        self.permit = None
        if server is None or limits is None:
            return server
        if server.instance not in limits.records.limited:
            return server
        need = self.permit_need()
        self.permit = await limits.permits.request(server.instance, need, need.wait_s)
        if limits.permits.may_send(server.instance, self.permit):
            return server
        context.next_server, context.moved_tokens = None, -1
        context.joins_running_attempt = False
        return None

    def permit_need(self) -> PermitNeed:
        """Return the properties of the request that decide on permits."""
        request = self.generation.request
        remaining_s = max(0.0, request.deadline_s - trio.current_time())
        return PermitNeed(
            request.request_id,
            request.customer,
            RECOVERED_PRIORITY if self.request_context.was_sent else request.priority,
            remaining_s * MAX_LIMIT_WAIT_SHARE,
            may_repeat=True,
        )

    async def select_server(
        self, excluded: Collection[str]
    ) -> Selected[BackendServer] | LimitsReached | None:
        """Select a server under the limits that servers state."""
        router, limits = self.components.router, self.components.limits
        prompt = self.request_context.prompt
        usable: set[str] = set()

        def choose(allowed: Collection[str]) -> BackendServer | None:
            others = usable.difference(allowed)
            choice = router.choose(self.generation, prompt, others.union(excluded))
            return None if choice is None else choice.server

        if limits is None or not limits.records.limited:
            choice = choose(())
            return None if choice is None else Selected(choice)
        usable.update(router.usable_instances(self.generation, excluded))
        inputs = SelectionInput(
            usable, choose, attrgetter("instance"), self.permit_need()
        )
        return await limits.select(inputs)

    async def handle_limits_reached(self, reached: LimitsReached) -> None:
        """Refuse a generation that no server takes, or wait if one has run it."""
        if self.request_context.was_sent:
            await trio.sleep(reached.retry_after_s)
            return
        detail = "the engines of this service take no more requests for now"
        self.generation.finish(NotRun(Reason.OVERLOADED, reached.retry_after_s, detail))

    async def choose_server(self) -> BackendServer | LimitsReached | None:
        """Choose a server; wait for one for a limited time, else return None."""
        servers, request_context = self.components.servers, self.request_context
        seen = servers.revision
        with trio.move_on_after(self.no_server_timeout_s()):
            while True:
                excluded = request_context.current_exclusions()
                selected = await self.select_server(excluded)
                if isinstance(selected, LimitsReached):
                    return selected
                if selected is not None:
                    self.permit = selected.permit
                    return selected.choice
                paused = self.pause_delay_s(excluded)
                if paused is not None and self.must_refuse(paused):
                    return LimitsReached(paused)
                next_attempt_s = min(excluded.values(), default=float("inf"))
                if paused is not None:
                    due_s = trio.current_time() + max(MIN_PAUSE_WAIT_S, paused)
                    next_attempt_s = min(next_attempt_s, due_s)
                with trio.move_on_at(next_attempt_s):
                    seen = await servers.wait_changed(seen)
        return None

    def pause_delay_s(self, excluded: Collection[str]) -> float | None:
        """Return for how long all usable servers are paused, in seconds, or None."""
        router = self.components.router
        servers = router.ranking(self.generation.service).servers
        usable = self.components.health.usable(self.generation.eligible(servers))
        remaining = [s for s in usable if s.instance not in excluded]
        return router.pauses.delay_s(remaining)

    def must_refuse(self, delay_s: float) -> bool:
        """Return whether the generation cannot wait so long and has not run yet."""
        if self.request_context.was_sent:
            return False
        remaining_s = self.generation.request.deadline_s - trio.current_time()
        return delay_s > remaining_s * MAX_LIMIT_WAIT_SHARE

    def no_server_timeout_s(self) -> float:
        """Return how long the generation waits for a server."""
        if self.has_only_other_versions():
            return NO_VERSION_TIMEOUT_S
        return NO_SERVER_TIMEOUT_S

    def has_only_other_versions(self) -> bool:
        """Return whether all live servers have another version than the first token."""
        servers = self.components.servers.servers_of(self.generation.service)
        return bool(servers) and not self.generation.eligible(servers)

    def new_attempt(self, server: BackendServer) -> Attempt:
        """Return the next attempt, and count the tokens that it recomputes."""
        generation, request_context, components = (
            self.generation,
            self.request_context,
            self.components,
        )
        service = components.router.service(generation.service)
        load = components.loads.of(server)
        step_time_ms = service.step_time_ms if service else 1.0
        if load.report is not None:
            step_time_ms = max(step_time_ms, load.report.step_time_ms)
        tokens = components.router.token_estimator.tokens(
            generation.service, request_context.prompt.chars
        )
        # A request that lost its server gets priority over new requests. The engine
        # makes room for it by pausing a new request, not by refusing one.
        priority = generation.request.priority
        if request_context.was_sent:
            priority = min(priority, RECOVERED_PRIORITY)
            self.count_recomputed(tokens)
        generation.attempts += 1
        return Attempt(
            generation,
            server,
            load,
            components.engines,
            step_time_ms / 1000,
            tokens,
            priority,
            request_context.restart,
        )

    def count_recomputed(self, prompt_tokens: float) -> None:
        """Add the tokens that the next attempt recomputes to the generation's count."""
        generation, request_context = self.generation, self.request_context
        if request_context.joins_running_attempt:
            return
        recomputed = len(generation.tokens)
        if request_context.moved_tokens >= 0:
            recomputed -= request_context.moved_tokens
        else:
            recomputed += round(prompt_tokens)
        generation.recomputed_tokens += recomputed

    def handle_attempt_end(
        self, attempt: Attempt, guess: Guess, end: AttemptEnd
    ) -> None:
        """Finish the generation or prepare the next attempt."""
        request_context, server = self.request_context, attempt.server
        request_context.record_progress(len(self.generation.tokens))
        request_context.was_sent |= may_have_run(end)
        request_context.in_flight = False
        match end:
            case Finished():
                self.finish_answered(attempt, guess, end)
            case Refused(status=status) if status in CALLER_ERROR_STATUSES:
                self.finish_refused(status)
            case Refused(pause_s=pause_s) if pause_s > 0:
                # Its pause excludes it, for this generation and all others.
                pass
            case Refused():
                request_context.exclude(server)
            case Silent(resume_at_server=True) | Crossed():
                if not request_context.resume_at_server(server):
                    self.abandon_server(server)
            case Moved(target=target, emitted=moved):
                request_context.next_server, request_context.moved_tokens = (
                    target,
                    moved,
                )
                self.cancel_at(server)
            case Leave(restart=restart):
                request_context.restart = restart
                request_context.exclude(server)
                self.cancel_at(server)
            case _:
                self.abandon_server(server)

    def abandon_server(self, server: BackendServer) -> None:
        """Record a failure of a server and exclude it from the next attempts."""
        self.components.health.record_failure(server.instance)
        self.request_context.exclude(server)
        self.cancel_at(server)

    def cancel_at(self, server: BackendServer) -> None:
        """Cancel an abandoned attempt in the background to free its slot."""
        components = self.components
        components.tasks.start_soon(
            components.engines.cancel, server, self.generation.request_id
        )

    def finish_answered(self, attempt: Attempt, guess: Guess, end: Finished) -> None:
        """Finish an answered generation; update the token and prefix estimates."""
        generation, router = self.generation, self.components.router
        self.components.health.record_success(attempt.server.instance)
        generation.prompt_tokens = end.prompt_tokens
        generation.cached_tokens = end.cached_tokens
        prompt = self.request_context.prompt
        router.token_estimator.record_token_count(
            generation.service, prompt.chars, end.prompt_tokens
        )
        if end.prompt_tokens and generation.attempts == 1:
            share = end.cached_tokens / end.prompt_tokens
            attempt.load.prefixes.confirm(prompt.blocks, guess, share)
        generation.finish(Answered(200, [], b""))

    def finish_refused(self, status: int) -> None:
        """Finish a generation that the engine refused as invalid."""
        generation = self.generation
        detail = f"the engine refused the request with status {status}"
        if generation.tokens:
            generation.finish(Unknown(Reason.SERVER_FAILED, detail))
        else:
            generation.finish(NotRun(Reason.BAD_REQUEST, 0.0, detail))

    def finish_barred(self, barred: Barred) -> None:
        """Finish a generation that may not run since servers crashed under it."""
        generation = self.generation
        if self.request_context.was_sent:
            generation.finish(Unknown(Reason.SERVER_FAILED, barred.reason))
        else:
            generation.finish(
                NotRun(Reason.SERVER_FAILED, BARRED_RETRY_AFTER_S, barred.reason)
            )

    def finish_without_server(self) -> None:
        """Finish a generation for which no server became available."""
        generation = self.generation
        detail = "no server of this service became available in time"
        if self.has_only_other_versions():
            version = generation.software_version
            detail = (
                f"no server of software version {version!r}, which began it, is left"
            )
        if self.request_context.was_sent:
            generation.finish(Unknown(Reason.NO_SERVER, detail))
        else:
            generation.finish(NotRun(Reason.NO_SERVER, NO_SERVER_RETRY_AFTER_S, detail))

    def time_out(self) -> None:
        """Finish a generation whose deadline has passed."""
        generation, request_context = self.generation, self.request_context
        detail = "the deadline of the request has passed"
        if request_context.in_flight:
            self.cancel_at(request_context.server)
        if request_context.in_flight or request_context.was_sent:
            generation.finish(Unknown(Reason.TIMED_OUT, detail))
        else:
            generation.finish(NotRun(Reason.TIMED_OUT, 1.0, detail))


def identity_of(generation: Generation) -> RequestIdentity:
    """Return what is the same for each repeat of a generation's request."""
    request = generation.request
    return RequestIdentity(
        request.request_id,
        request.customer,
        (request.service.encode(),),
        json.dumps(request.body, sort_keys=True, default=str).encode(),
        request.service,
        partial(prompt_segments, request.messages),
    )
