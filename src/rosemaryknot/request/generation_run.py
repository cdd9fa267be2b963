"""One accepted request on its way through attempts to an outcome."""

from dataclasses import dataclass

import trio

from rosemaryknot.connection.engine_client import EngineClient
from rosemaryknot.connection.engine_frames import Broken, Crossed, Finished, Refused
from rosemaryknot.process.prefix_estimate import Guess
from rosemaryknot.process.server_health import ServerHealth
from rosemaryknot.process.server_load import LoadTable
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.request.attempts import Attempt, AttemptEnd, Leave, Moved, Silent
from rosemaryknot.request.generations import Generation
from rosemaryknot.request.moves import Mover
from rosemaryknot.request.relay_records import note_end
from rosemaryknot.request.request_context import RequestContext
from rosemaryknot.request.router import Router
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.outcomes import Answered, NotRun, Reason, Unknown

__all__ = ["GenerationRun", "RelayParts"]

NO_SERVER_RETRY_S = 2.0
NO_SERVER_WAIT_S = 60.0
RECOVERED_PRIORITY = -1
CALLERS_FAULTS = frozenset({400, 413, 422})


@dataclass(slots=True)
class RelayParts:
    """What the runs of one process share.

    Attributes
    ----------
    servers : ServerTable
        Backend servers.
    health : ServerHealth
        Which of them fail.
    loads : LoadTable
        Their load.
    engines : EngineClient
        Makes the calls.
    router : Router
        Chooses servers.
    mover : Mover
        Clears leaving servers.
    nursery : trio.Nursery
        For calls that nobody waits for.
    """

    servers: ServerTable
    health: ServerHealth
    loads: LoadTable
    engines: EngineClient
    router: Router
    mover: Mover
    nursery: trio.Nursery


def may_have_run(end: AttemptEnd) -> bool:
    """Tell whether a server may have computed something in an attempt."""
    if isinstance(end, Broken):
        return end.sent
    return not isinstance(end, Refused)


class GenerationRun:
    """Makes attempt after attempt until a generation has its outcome.

    Parameters
    ----------
    generation : Generation
        What is generated.
    course : RequestContext
        Where it stands.
    parts : RelayParts
        What all runs share.
    """

    def __init__(
        self, generation: Generation, course: RequestContext, parts: RelayParts
    ) -> None:
        self.generation = generation
        self.course = course
        self.parts = parts

    async def run(self) -> None:
        """Bring the generation to its outcome within its deadline."""
        generation = self.generation
        with trio.CancelScope(deadline=generation.request.deadline_s):
            while generation.outcome is None:
                await self.run_attempt()
        if generation.outcome is None:
            self.time_out()

    async def run_attempt(self) -> None:
        """Make one attempt and draw the conclusions."""
        generation, course = self.generation, self.course
        server = course.next_server
        if server is None:
            server = await self.choose_server()
        if generation.outcome is not None:
            return
        if server is None:
            self.finish_without_server()
            return
        attempt = self.new_attempt(server)
        guess = self.parts.router.guess(server, course.prompt)
        attempt.load.prefixes.record_sent(course.prompt.blocks, trio.current_time())
        course.start_attempt(server)
        end = await self.stream(attempt)
        note_end(attempt, end)
        self.conclude(attempt, guess, end)

    async def stream(self, attempt: Attempt) -> AttemptEnd:
        """Run an attempt where the mover can find it."""
        request_id = attempt.generation.request_id
        self.parts.mover.running[request_id] = attempt
        self.parts.mover.check()
        try:
            return await attempt.run()
        finally:
            del self.parts.mover.running[request_id]

    async def choose_server(self) -> BackendServer | None:
        """Choose a server, waiting for one within a bound; None where none comes."""
        servers, router, course = self.parts.servers, self.parts.router, self.course
        seen = servers.revision
        with trio.move_on_after(NO_SERVER_WAIT_S):
            while True:
                excluded = course.current_exclusions()
                choice = router.choose(self.generation, course.prompt, excluded)
                if choice is not None:
                    return choice.server
                next_try_s = min(excluded.values(), default=float("inf"))
                with trio.move_on_at(next_try_s):
                    seen = await servers.wait_changed(seen)
        return None

    def new_attempt(self, server: BackendServer) -> Attempt:
        """Return the next attempt and count what it computes again."""
        generation, course, parts = self.generation, self.course, self.parts
        service = parts.router.service(generation.service)
        load = parts.loads.of(server)
        step_time_ms = service.step_time_ms if service else 1.0
        if load.report is not None:
            step_time_ms = max(step_time_ms, load.report.step_time_ms)
        tokens = parts.router.sizes.tokens(generation.service, course.prompt.chars)
        # Accepted work that lost its server goes before new work, which makes room
        # for it by pausing and not by refusing.
        priority = generation.request.priority
        if course.was_sent:
            priority = min(priority, RECOVERED_PRIORITY)
            self.count_recomputed(tokens)
        generation.attempts += 1
        return Attempt(
            generation,
            server,
            load,
            parts.engines,
            step_time_ms / 1000,
            tokens,
            priority,
            course.restart,
        )

    def count_recomputed(self, prompt_tokens: float) -> None:
        """Count the tokens that the next attempt computes again."""
        generation, course = self.generation, self.course
        if course.joins_running_attempt:
            return
        again = len(generation.tokens)
        if course.moved_tokens >= 0:
            again -= course.moved_tokens
        else:
            again += round(prompt_tokens)
        generation.recomputed_tokens += again

    def conclude(self, attempt: Attempt, guess: Guess, end: AttemptEnd) -> None:
        """Decide what follows from how an attempt ended."""
        course, server = self.course, attempt.server
        course.record_progress(len(self.generation.tokens))
        course.was_sent |= may_have_run(end)
        course.in_flight = False
        match end:
            case Finished():
                self.note_finished(attempt, guess, end)
            case Refused(status=status) if status in CALLERS_FAULTS:
                self.finish_refused(status)
            case Refused(leaving=True):
                self.parts.servers.mark_leaving(server.instance, 0.0, "server")
                course.exclude(server)
            case Refused():
                course.exclude(server)
            case Silent(resume_at_server=True) | Crossed():
                if not course.resume_at_server(server):
                    self.give_up_on(server)
            case Moved(target=target, emitted=moved):
                course.next_server, course.moved_tokens = target, moved
                self.cancel_at(server)
            case Leave(restart=restart):
                course.restart = restart
                course.exclude(server)
                self.cancel_at(server)
            case _:
                self.give_up_on(server)

    def give_up_on(self, server: BackendServer) -> None:
        """Avoid a server that failed this request."""
        self.parts.health.record_failure(server.instance)
        self.course.exclude(server)
        self.cancel_at(server)

    def cancel_at(self, server: BackendServer) -> None:
        """Free the slot of an abandoned attempt; nobody waits for the answer."""
        parts = self.parts
        parts.nursery.start_soon(
            parts.engines.cancel, server, self.generation.request_id
        )

    def note_finished(self, attempt: Attempt, guess: Guess, end: Finished) -> None:
        """End a generation whose answer is whole, and learn from the report."""
        generation, router = self.generation, self.parts.router
        self.parts.health.record_success(attempt.server.instance)
        generation.prompt_tokens = end.prompt_tokens
        generation.cached_tokens = end.cached_tokens
        prompt = self.course.prompt
        router.sizes.learn(generation.service, prompt.chars, end.prompt_tokens)
        if end.prompt_tokens and generation.attempts == 1:
            share = end.cached_tokens / end.prompt_tokens
            attempt.load.prefixes.confirm(prompt.blocks, guess, share)
        generation.finish(Answered(200, [], b""))

    def finish_refused(self, status: int) -> None:
        """End a generation that no server will take."""
        generation = self.generation
        detail = f"the engine refused the request with status {status}"
        if generation.tokens:
            generation.finish(Unknown(Reason.SERVER_FAILED, detail))
        else:
            generation.finish(NotRun(Reason.BAD_REQUEST, 0.0, detail))

    def finish_without_server(self) -> None:
        """End a generation for which no server came."""
        generation = self.generation
        detail = f"no server of this service was live for {NO_SERVER_WAIT_S:.0f} s"
        if self.course.was_sent:
            generation.finish(Unknown(Reason.NO_SERVER, detail))
        else:
            generation.finish(NotRun(Reason.NO_SERVER, NO_SERVER_RETRY_S, detail))

    def time_out(self) -> None:
        """End a generation whose deadline has passed."""
        generation, course = self.generation, self.course
        detail = "the deadline of the request has passed"
        if course.in_flight:
            self.cancel_at(course.server)
        if course.in_flight or course.was_sent:
            generation.finish(Unknown(Reason.TIMED_OUT, detail))
        else:
            generation.finish(NotRun(Reason.TIMED_OUT, 1.0, detail))
