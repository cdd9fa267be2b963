"""Moves of streams off draining servers: planning and execution."""

import time
from collections import Counter
from collections.abc import Callable

import trio

from rosemaryknot.connection.engine_client import EngineClient, KvExport
from rosemaryknot.process.background_tasks import BackgroundTasks
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.request.attempts import Attempt, Leave, Moved
from rosemaryknot.request.move_plan import (
    MoveAction,
    MoveInput,
    MoveStep,
    StreamFacts,
    TargetFacts,
    choose_target,
    plan_moves,
)
from rosemaryknot.request.router import Router
from rosemaryknot.values.nodes import BackendServer, ServerState

__all__ = ["Mover"]

ASSUMED_NOTICE_S = 3.0
CUTOVER_MARGIN_S = 0.2
INITIAL_BYTES_PER_TOKEN = 131_072.0
INITIAL_BYTES_PER_S = 1e9
SMOOTHING_FACTOR = 0.5

log = logger("move")
move_steps = counter("stream_moves_total", "Streams of leaving servers, by action.")


class Mover:
    """Planner and executor of moves of streams off draining servers.

    Parameters
    ----------
    servers : ServerTable
        Server table, with the draining servers and their deadlines.
    engines : EngineClient
        Client for the engines.
    router : Router
        Provides load and services.
    policy : str
        Name of a registered move policy.
    unix_time : callable
        Returns the Unix time in seconds, in which deadlines are given since they come
        from another machine.

    Attributes
    ----------
    running : dict of str to Attempt
        Running attempts, by request id; updated by `GenerationRun`.
    importing : Counter of str
        Number of running KV cache imports, by target instance.
    bytes_per_token, bytes_per_s : float
        KV cache size of a token and transfer rate, estimated from earlier exports and
        imports.
    """

    def __init__(
        self,
        servers: ServerTable,
        engines: EngineClient,
        router: Router,
        policy: str,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self.servers = servers
        self.engines = engines
        self.router = router
        self.policy = policy
        self.unix_time = unix_time
        self.running: dict[str, Attempt] = {}
        self.importing: Counter[str] = Counter()
        self.bytes_per_token = INITIAL_BYTES_PER_TOKEN
        self.bytes_per_s = INITIAL_BYTES_PER_S
        self.tasks = BackgroundTasks()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Check the running streams on each change of the server table."""
        async with self.tasks.open():
            task_status.started()
            seen = 0
            while True:
                self.check()
                seen = await self.servers.wait_changed(seen)

    def check(self) -> None:
        """Start a move plan for each draining server with streams that have none."""
        by_instance: dict[str, list[Attempt]] = {}
        for attempt in self.running.values():
            server = self.find_draining(attempt.server)
            if server is None or attempt.planned_deadline_s == server.deadline_unix_s:
                continue
            attempt.planned_deadline_s = server.deadline_unix_s
            by_instance.setdefault(server.instance, []).append(attempt)
        for instance, attempts in by_instance.items():
            self.tasks.start_soon(
                self.drain_server, self.servers.get(instance), attempts
            )

    def find_draining(self, server: BackendServer) -> BackendServer | None:
        """Return the current entry of a server if it is draining, else None."""
        entry = self.servers.get(server.instance)
        return None if entry is None or entry.state == ServerState.LIVE else entry

    async def drain_server(
        self, server: BackendServer, attempts: list[Attempt]
    ) -> None:
        """Plan the moves of a server's streams and execute the steps in order."""
        deadline_s = self.deadline_s(server)
        by_id = {attempt.generation.request_id: attempt for attempt in attempts}
        inputs = self.move_input(server, attempts, deadline_s)
        steps = plan_moves(self.policy, inputs)
        for step in steps:
            self.log_step(server, by_id[step.request_id], step)
        for step in steps:
            attempt = by_id[step.request_id]
            if attempt.end is None:
                await self.execute(step, attempt, server, deadline_s)

    async def execute(
        self,
        step: MoveStep,
        attempt: Attempt,
        server: BackendServer,
        deadline_s: float,
    ) -> None:
        """Execute one step of a plan."""
        if step.action == MoveAction.MOVE:
            await self.move(attempt, server, deadline_s)
        elif step.action == MoveAction.RESUME and server.deadline_unix_s:
            self.resume_elsewhere(attempt)
        elif step.action == MoveAction.RESTART:
            attempt.stop(Leave(restart=True))

    def resume_elsewhere(self, attempt: Attempt) -> None:
        """Resume a stream on another server if there is one."""
        # Without another server, the stream continues on the draining server until it
        # ends or the server stops, and waits only then.
        if self.targets(attempt, set()):
            attempt.stop(Leave())

    def deadline_s(self, server: BackendServer) -> float:
        """Return the server's deadline in trio time."""
        if not server.deadline_unix_s:
            return trio.current_time() + ASSUMED_NOTICE_S
        return trio.current_time() + server.deadline_unix_s - self.unix_time()

    def move_input(
        self, server: BackendServer, attempts: list[Attempt], deadline_s: float
    ) -> MoveInput:
        """Return the input of the move policy."""
        service = self.router.service(server.service)
        return MoveInput(
            [self.stream_facts(attempt) for attempt in attempts],
            deadline_s - trio.current_time(),
            service is not None and service.moves_kv,
            self.bytes_per_token,
            self.bytes_per_s,
        )

    def stream_facts(self, attempt: Attempt) -> StreamFacts:
        """Return the properties of one stream for the move policy."""
        generation = attempt.generation
        emitted = len(generation.tokens)
        cached = self.router.cached_share_elsewhere(attempt.server, generation.request)
        return StreamFacts(
            generation.request_id,
            attempt.prompt_tokens,
            emitted,
            max(0, generation.request.max_tokens - emitted),
            attempt.observed_step_s(),
            cached * attempt.prompt_tokens,
            priority=attempt.priority,
            ready_in_s=attempt.ready_in_s(),
        )

    def targets(self, attempt: Attempt, attempted: set[str]) -> list[TargetFacts]:
        """Return the live servers to which a stream can move.

        The KV cache of one software version is of no use to another one.
        """
        version = attempt.server.software_version
        live = [
            server
            for server in self.servers.servers_of(attempt.generation.service)
            if server.software_version == version
        ]
        others = [
            s
            for s in self.router.health.usable(live)
            if s.instance != attempt.server.instance and s.instance not in attempted
        ]
        return [self.target_facts(server) for server in others]

    def target_facts(self, server: BackendServer) -> TargetFacts:
        """Return a possible target with its load."""
        load = self.router.loads.of(server)
        facts = TargetFacts(server, load.current_requests())
        facts.importing = self.importing[server.instance]
        if load.report is not None:
            facts.slots = load.report.slots
        return facts

    async def move(
        self, attempt: Attempt, server: BackendServer, deadline_s: float
    ) -> None:
        """Transfer a stream's KV cache while it continues, then switch over."""
        request_id = attempt.generation.request_id
        attempted: set[str] = set()
        if not await self.wait_ready(attempt, deadline_s):
            return
        while attempt.end is None:
            # Each attempt uses a new export, which includes the tokens emitted since
            # the previous one.
            emitted = len(attempt.generation.tokens)
            export = await self.engines.export_kv(server, request_id)
            if attempt.end is not None:
                return
            targets = self.targets(attempt, attempted)
            remaining_s = deadline_s - trio.current_time() - CUTOVER_MARGIN_S
            if export is None or not targets or self.transfer_s(export) > remaining_s:
                self.resume_elsewhere(attempt)
                return
            target = choose_target(server, targets).server
            if await self.import_at(target, attempt, export, remaining_s):
                attempt.stop(Moved(target, emitted))
            attempted.add(target.instance)

    async def wait_ready(self, attempt: Attempt, deadline_s: float) -> bool:
        """Wait until there is KV cache to export; return whether there is.

        A stream that still waits in the engine's queue has no KV cache to lose and is
        resumed on another server immediately.
        """
        if attempt.has_token:
            return True
        generation = attempt.generation
        status = await self.engines.status(attempt.server, generation.request_id)
        if attempt.end is None and status is not None and status.status == "running":
            size = attempt.pending * self.bytes_per_token
            latest_s = deadline_s - CUTOVER_MARGIN_S - size / self.bytes_per_s
            with trio.move_on_at(latest_s):
                await generation.wait_for_tokens(attempt.first_offset)
        if attempt.end is None and not attempt.has_token:
            self.resume_elsewhere(attempt)
        return attempt.end is None

    def transfer_s(self, export: KvExport) -> float:
        """Return the transfer time of an export; update the size of a token."""
        self.bytes_per_token = export.size / max(1, export.tokens)
        return export.size / self.bytes_per_s

    async def import_at(
        self,
        target: BackendServer,
        attempt: Attempt,
        export: KvExport,
        remaining_s: float,
    ) -> bool:
        """Import into a target; cancel when the stream ends or the target drains.

        Returns
        -------
        is_imported : bool
            Whether the target holds the KV cache and is not draining.
        """
        is_imported = False
        started_s = trio.current_time()
        self.importing[target.instance] += 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.cancel_when_ended, attempt, nursery.cancel_scope)
            nursery.start_soon(self.cancel_when_draining, target, nursery.cancel_scope)
            is_imported = await self.engines.import_kv(
                target,
                attempt.server,
                export,
                attempt.generation.request_id,
                remaining_s,
            )
            nursery.cancel_scope.cancel()
        self.importing[target.instance] -= 1
        if is_imported:
            rate = export.size / max(1e-3, trio.current_time() - started_s)
            self.bytes_per_s += SMOOTHING_FACTOR * (rate - self.bytes_per_s)
        return is_imported and self.find_draining(target) is None

    async def cancel_when_ended(
        self, attempt: Attempt, scope: trio.CancelScope
    ) -> None:
        """Cancel an import when its stream ends."""
        await attempt.ended.wait()
        scope.cancel()

    async def cancel_when_draining(
        self, target: BackendServer, scope: trio.CancelScope
    ) -> None:
        """Cancel an import when its target starts draining."""
        seen = 0
        while self.find_draining(target) is None:
            seen = await self.servers.wait_changed(seen)
        scope.cancel()

    def log_step(self, server: BackendServer, attempt: Attempt, step: MoveStep) -> None:
        """Log a step and record it in the generation's timeline."""
        generation = attempt.generation
        move_steps.add(action=str(step.action))
        log.info(
            f"{step.action} for a stream of draining {server.instance}",
            request=generation.request_id,
            reason=step.reason,
            emitted=len(generation.tokens),
        )
        generation.record_event(
            f"move: {step.action} from {server.instance}: {step.reason}"
        )
