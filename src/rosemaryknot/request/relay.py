"""Runs accepted model requests: attempt after attempt until there is an outcome."""

import secrets
import time
from collections.abc import Callable

import trio

from rosemaryknot.connection.engine_client import EngineClient
from rosemaryknot.connection.engine_frames import Broken, Crossed, Finished, Refused
from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.network import Network
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.prefix_estimate import Guess, prompt_blocks
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.process.server_health import ServerHealth
from rosemaryknot.process.server_load import LoadTable
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.request.attempts import Attempt, AttemptEnd, Leave, Moved, Silent
from rosemaryknot.request.course import Course
from rosemaryknot.request.generation_table import GenerationTable
from rosemaryknot.request.generations import Generation
from rosemaryknot.request.moves import Mover
from rosemaryknot.request.relay_records import note_begun, note_end, note_outcome
from rosemaryknot.request.router import Prompt, Router
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.outcomes import (
    Answered,
    NotRun,
    Reason,
    Running,
    Unknown,
)
from rosemaryknot.values.requests import ModelRequest

__all__ = ["ModelRelay"]

NO_SERVER_RETRY_S = 2.0
NO_SERVER_WAIT_S = 60.0
RECOVERED_PRIORITY = -1
CALLERS_FAULTS = frozenset({400, 413, 422})
LINEAGE_BYTES = 6


def may_have_run(end: AttemptEnd) -> bool:
    """Tell whether a server may have computed something in an attempt."""
    if isinstance(end, Broken):
        return end.sent
    return not isinstance(end, Refused)


class ModelRelay:
    """Accepts model requests and brings each to its outcome.

    Each generation runs in a task of its own, apart from the callers that follow
    it, so a caller who goes away does not lose accepted work.

    Parameters
    ----------
    network : Network
        Where connections come from.
    servers : ServerTable
        Backend servers.
    holder : ConfigurationHolder
        Configuration in force.
    zone, node : str
        Where we are.
    health : ServerHealth, optional
        Which servers fail; shared with the plain services.
    safeguards : Safeguards, optional
        All on outside of tests.
    move_policy : str
        Name of a registered move policy.
    unix_time : callable
        Seconds of the epoch.
    new_lineage : callable, optional
        Returns an id that no other generation has.

    Attributes
    ----------
    table : GenerationTable
        Accepted requests, for pick-up.
    loads : LoadTable
        Load of the servers.
    router : Router
        Chooses servers.
    mover : Mover
        Clears leaving servers.
    """

    def __init__(
        self,
        network: Network,
        servers: ServerTable,
        holder: ConfigurationHolder,
        zone: str = "",
        node: str = "",
        health: ServerHealth | None = None,
        safeguards: Safeguards | None = None,
        move_policy: str = "planned_moves",
        unix_time: Callable[[], float] = time.time,
        new_lineage: Callable[[], str] | None = None,
    ) -> None:
        switches = Safeguards() if safeguards is None else safeguards
        health = ServerHealth() if health is None else health
        self.network = network
        self.servers = servers
        self.holder = holder
        self.health = health
        self.engines = EngineClient(network, switches.id_check, switches.lineage_check)
        self.loads = LoadTable()
        self.router = Router(servers, holder, self.loads, health, zone, node)
        self.mover = Mover(servers, self.engines, self.router, move_policy, unix_time)
        self.new_lineage = new_lineage or (lambda: secrets.token_hex(LINEAGE_BYTES))
        self.table = GenerationTable()
        self.nursery: trio.Nursery | None = None

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run generations until cancelled."""
        async with (
            http_client(self.network) as client,
            trio.open_nursery() as self.nursery,
        ):
            await self.nursery.start(self.mover.run)
            self.nursery.start_soon(self.loads.poll, client, self.router.polled)
            task_status.started()
            await trio.sleep_forever()

    async def start(self, request: ModelRequest) -> Generation | NotRun:
        """Accept a request and start to run it.

        Parameters
        ----------
        request : ModelRequest
            An admitted request.

        Returns
        -------
        generation : Generation or NotRun
            The accepted generation, to be followed; or why it was refused.
        """
        generation = self.prepare(request)
        if isinstance(generation, Generation):
            self.begin(generation)
        return generation

    def prepare(
        self,
        request: ModelRequest,
        lineage: str = "",
        tokens: list[bytes] | None = None,
    ) -> Generation | NotRun:
        """Make room for a request without running it yet.

        Parameters
        ----------
        request : ModelRequest
            An admitted request, or one taken over.
        lineage : str
            Lineage of the tokens that were emitted before; empty for a new one.
        tokens : list of bytes, optional
            Those tokens.

        Returns
        -------
        generation : Generation or NotRun
            To be given to `begin` or `give_up`; or why it was refused.
        """
        if self.nursery is None:
            return NotRun(Reason.STOPPING, 1.0, "this instance does not run")
        # Work that is taken over was accepted before: it waits, and is not refused.
        if not lineage and not self.servers.servers_of(request.service):
            return NotRun(
                Reason.NO_SERVER, NO_SERVER_RETRY_S, "no server of this service is live"
            )
        generation = Generation(request, lineage or self.new_lineage(), tokens)
        return self.table.add(generation) or generation

    def begin(
        self, generation: Generation, is_resumed: bool = False, server: str = ""
    ) -> None:
        """Run a prepared generation.

        Parameters
        ----------
        generation : Generation
            From `prepare`.
        is_resumed : bool
            Whether another entry accepted it, so that it may have run before.
        server : str
            Instance that may still be at work on it; empty for none.
        """
        note_begun(generation)
        self.nursery.start_soon(self.run_generation, generation, is_resumed, server)

    def hand_over(self, generation: Generation, outcome: Running) -> None:
        """End a generation here that another entry goes on with.

        Its server is not told: the other entry may join it there.
        """
        generation.finish(outcome)
        attempt = self.mover.running.get(generation.request_id)
        if attempt is not None and attempt.generation is generation:
            attempt.stop(Silent(True, "handed over"))

    def give_up(self, generation: Generation, outcome: NotRun | Unknown) -> None:
        """End a prepared generation that will not run."""
        generation.finish(outcome)
        self.table.note_finished(generation)

    async def run_generation(
        self, generation: Generation, is_resumed: bool = False, server: str = ""
    ) -> None:
        """Bring a generation to its outcome within its deadline."""
        texts = [str(part.get("content")) for part in generation.request.messages]
        prompt = Prompt(sum(map(len, texts)), prompt_blocks(texts))
        course = Course(prompt, was_sent=is_resumed)
        known = self.servers.get(server)
        if known is not None and known.state == ServerState.LIVE:
            course.next_server = known
        try:
            with trio.CancelScope(deadline=generation.request.deadline_s):
                while generation.outcome is None:
                    await self.run_attempt(generation, course)
            if generation.outcome is None:
                self.time_out(generation, course)
        finally:
            # Followers are told even when the process ends: no stream ends silently.
            generation.finish(Unknown(Reason.STOPPING, "the instance stopped"))
            self.table.note_finished(generation)
            note_outcome(generation)

    async def run_attempt(self, generation: Generation, course: Course) -> None:
        """Make one attempt and draw the conclusions."""
        server = course.next_server
        if server is None:
            server = await self.choose_server(generation, course)
        if generation.outcome is not None:
            return
        if server is None:
            self.finish_without_server(generation, course)
            return
        attempt = self.new_attempt(generation, course, server)
        guess = self.router.guess(server, course.prompt)
        course.start_attempt(server)
        end = await self.stream(attempt)
        note_end(attempt, end)
        self.conclude(attempt, course, guess, end)

    async def stream(self, attempt: Attempt) -> AttemptEnd:
        """Run an attempt where the mover can find it."""
        request_id = attempt.generation.request_id
        self.mover.running[request_id] = attempt
        self.mover.check()
        try:
            return await attempt.run()
        finally:
            del self.mover.running[request_id]

    async def choose_server(
        self, generation: Generation, course: Course
    ) -> BackendServer | None:
        """Choose a server, waiting for one within a bound; None where none comes."""
        seen = self.servers.revision
        with trio.move_on_after(NO_SERVER_WAIT_S):
            while True:
                excluded = course.still_excluded()
                choice = self.router.choose(generation, course.prompt, excluded)
                if choice is not None:
                    return choice.server
                next_try_s = min(excluded.values(), default=float("inf"))
                with trio.move_on_at(next_try_s):
                    seen = await self.servers.wait_changed(seen)
        return None

    def new_attempt(
        self, generation: Generation, course: Course, server: BackendServer
    ) -> Attempt:
        """Return the next attempt and count what it computes again."""
        service = self.router.service(generation.service)
        load = self.loads.of(server)
        step_time_ms = service.step_time_ms if service else 1.0
        if load.report is not None:
            step_time_ms = max(step_time_ms, load.report.step_time_ms)
        tokens = self.router.sizes.tokens(generation.service, course.prompt.chars)
        # Accepted work that lost its server goes before new work, which makes room
        # for it by pausing and not by refusing.
        priority = generation.request.priority
        if course.was_sent:
            priority = min(priority, RECOVERED_PRIORITY)
            self.count_recomputed(generation, course, tokens)
        generation.attempts += 1
        return Attempt(
            generation,
            server,
            load,
            self.engines,
            step_time_ms / 1000,
            tokens,
            priority,
            course.restart,
        )

    def count_recomputed(
        self, generation: Generation, course: Course, prompt_tokens: float
    ) -> None:
        """Count the tokens that the next attempt computes again."""
        if course.joins:
            return
        again = len(generation.tokens)
        if course.moved_tokens >= 0:
            again -= course.moved_tokens
        else:
            again += round(prompt_tokens)
        generation.recomputed_tokens += again

    def conclude(
        self, attempt: Attempt, course: Course, guess: Guess, end: AttemptEnd
    ) -> None:
        """Decide what follows from how an attempt ended."""
        generation, server = attempt.generation, attempt.server
        course.note_progress(len(generation.tokens))
        course.was_sent |= may_have_run(end)
        course.in_flight = False
        match end:
            case Finished():
                self.note_finished(attempt, course, guess, end)
            case Refused(status=status) if status in CALLERS_FAULTS:
                self.finish_refused(generation, status)
            case Refused(leaving=True):
                self.servers.mark_leaving(server.instance, 0.0, "server")
                course.exclude(server)
            case Refused():
                course.exclude(server)
            case Silent(resume_here=True) | Crossed():
                if not course.resume_here(server):
                    self.health.note_failure(server.instance)
            case Moved(target=target, emitted=moved):
                course.next_server, course.moved_tokens = target, moved
                self.cancel_at(server, generation)
            case Leave(restart=restart):
                course.restart = restart
                course.exclude(server)
                self.cancel_at(server, generation)
            case _:
                self.health.note_failure(server.instance)
                course.exclude(server)
                self.cancel_at(server, generation)

    def cancel_at(self, server: BackendServer, generation: Generation) -> None:
        """Free the slot of an abandoned attempt; nobody waits for the answer."""
        self.nursery.start_soon(self.engines.cancel, server, generation.request_id)

    def note_finished(
        self, attempt: Attempt, course: Course, guess: Guess, end: Finished
    ) -> None:
        """End a generation whose answer is whole, and learn from the report."""
        generation, server = attempt.generation, attempt.server
        self.health.note_success(server.instance)
        generation.prompt_tokens = end.prompt_tokens
        generation.cached_tokens = end.cached_tokens
        prompt, prefixes = course.prompt, attempt.load.prefixes
        self.router.sizes.learn(generation.service, prompt.chars, end.prompt_tokens)
        if end.prompt_tokens and generation.attempts == 1:
            share = end.cached_tokens / end.prompt_tokens
            prefixes.confirm(prompt.blocks, guess, share)
        prefixes.note_sent(prompt.blocks, trio.current_time())
        generation.finish(Answered(200, [], b""))

    def finish_refused(self, generation: Generation, status: int) -> None:
        """End a generation that no server will take."""
        detail = f"the engine refused the request with status {status}"
        if generation.tokens:
            generation.finish(Unknown(Reason.SERVER_FAILED, detail))
        else:
            generation.finish(NotRun(Reason.BAD_REQUEST, 0.0, detail))

    def finish_without_server(self, generation: Generation, course: Course) -> None:
        """End a generation for which no server came."""
        detail = f"no server of this service was live for {NO_SERVER_WAIT_S:.0f} s"
        if course.was_sent:
            generation.finish(Unknown(Reason.NO_SERVER, detail))
        else:
            generation.finish(NotRun(Reason.NO_SERVER, NO_SERVER_RETRY_S, detail))

    def time_out(self, generation: Generation, course: Course) -> None:
        """End a generation whose deadline has passed."""
        detail = "the deadline of the request has passed"
        if course.in_flight:
            self.cancel_at(course.server, generation)
        if course.in_flight or course.was_sent:
            generation.finish(Unknown(Reason.TIMED_OUT, detail))
        else:
            generation.finish(NotRun(Reason.TIMED_OUT, 1.0, detail))
