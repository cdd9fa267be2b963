"""Clears servers that are leaving: plans for their streams, and carries them out."""

import time
from collections import Counter
from collections.abc import Callable

import trio

from rosemaryknot.connection.engine_client import EngineClient, KvExport
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
FIRST_BYTES_PER_TOKEN = 131_072.0
FIRST_BYTES_PER_S = 1e9
LEARNING_SHARE = 0.5

log = logger("move")
move_steps = counter("stream_moves_total", "Streams of leaving servers, by action.")


class Mover:
    """Deals with the streams of servers that are leaving.

    Parameters
    ----------
    servers : ServerTable
        Tells which servers are leaving, and until when.
    engines : EngineClient
        Makes the calls.
    router : Router
        Knows load and services.
    policy : str
        Name of a registered move policy.
    unix_time : callable
        Seconds of the epoch, since deadlines come from another machine.

    Attributes
    ----------
    running : dict of str to Attempt
        Attempts under way, by request id; kept by the relay.
    importing : Counter of str
        Imports under way, by target instance.
    bytes_per_token, bytes_per_s : float
        Learnt from exports and imports.
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
        self.bytes_per_token = FIRST_BYTES_PER_TOKEN
        self.bytes_per_s = FIRST_BYTES_PER_S
        self.nursery: trio.Nursery | None = None

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Watch the server table until cancelled."""
        async with trio.open_nursery() as self.nursery:
            task_status.started()
            seen = 0
            while True:
                self.check()
                seen = await self.servers.wait_changed(seen)

    def check(self) -> None:
        """Start to clear each leaving server that has unplanned streams of ours."""
        due: dict[str, list[Attempt]] = {}
        for attempt in self.running.values():
            server = self.leaving(attempt.server)
            if server is None or attempt.planned_deadline_s == server.deadline_unix_s:
                continue
            attempt.planned_deadline_s = server.deadline_unix_s
            due.setdefault(server.instance, []).append(attempt)
        for instance, attempts in due.items():
            self.nursery.start_soon(self.clear, self.servers.get(instance), attempts)

    def leaving(self, server: BackendServer) -> BackendServer | None:
        """Return what is known of a server if it is leaving, else None."""
        known = self.servers.get(server.instance)
        return None if known is None or known.state == ServerState.LIVE else known

    async def clear(self, server: BackendServer, attempts: list[Attempt]) -> None:
        """Plan for a server's streams and carry the plan out, step by step."""
        deadline_s = self.deadline_s(server)
        by_id = {attempt.generation.request_id: attempt for attempt in attempts}
        given = self.move_input(server, attempts, deadline_s)
        steps = plan_moves(self.policy, given)
        for step in steps:
            self.log_step(server, by_id[step.request_id], step)
        for step in steps:
            attempt = by_id[step.request_id]
            if attempt.end is None:
                await self.carry_out(step, attempt, server, deadline_s)

    async def carry_out(
        self,
        step: MoveStep,
        attempt: Attempt,
        server: BackendServer,
        deadline_s: float,
    ) -> None:
        """Carry one step out."""
        if step.action == MoveAction.MOVE:
            await self.move(attempt, server, deadline_s)
        elif step.action == MoveAction.RESUME and server.deadline_unix_s:
            self.leave(attempt)
        elif step.action == MoveAction.RESTART:
            attempt.stop(Leave(restart=True))

    def leave(self, attempt: Attempt) -> None:
        """Resume a stream elsewhere, if there is an elsewhere."""
        # Without another server the leaving one is the best there is: the stream
        # goes on until it ends or its server dies, and waits only then.
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
        """Return what the plan may look at."""
        service = self.router.service(server.service)
        return MoveInput(
            [self.stream_facts(attempt) for attempt in attempts],
            deadline_s - trio.current_time(),
            service is not None and service.moves_kv,
            self.bytes_per_token,
            self.bytes_per_s,
        )

    def stream_facts(self, attempt: Attempt) -> StreamFacts:
        """Return what a plan may know of one stream."""
        generation = attempt.generation
        emitted = len(generation.tokens)
        cached = self.router.cached_elsewhere(attempt.server, generation.request)
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

    def targets(self, attempt: Attempt, tried: set[str]) -> list[TargetFacts]:
        """Return the live servers that may take a stream."""
        live = self.servers.servers_of(attempt.generation.service)
        others = [
            s
            for s in self.router.health.usable(live)
            if s.instance != attempt.server.instance and s.instance not in tried
        ]
        return [self.target_facts(server) for server in others]

    def target_facts(self, server: BackendServer) -> TargetFacts:
        """Return what is known of one target."""
        load = self.router.loads.of(server)
        facts = TargetFacts(server, load.current_requests())
        facts.importing = self.importing[server.instance]
        if load.report is not None:
            facts.slots = load.report.slots
        return facts

    async def move(
        self, attempt: Attempt, server: BackendServer, deadline_s: float
    ) -> None:
        """Move a stream's KV cache while it goes on, then switch over."""
        request_id = attempt.generation.request_id
        tried: set[str] = set()
        if not await self.wait_ready(attempt, deadline_s):
            return
        while attempt.end is None:
            # Each try takes a new export, which covers what was emitted since.
            emitted = len(attempt.generation.tokens)
            export = await self.engines.export_kv(server, request_id)
            if attempt.end is not None:
                return
            targets = self.targets(attempt, tried)
            left_s = deadline_s - trio.current_time() - CUTOVER_MARGIN_S
            if export is None or not targets or self.transfer_s(export) > left_s:
                self.leave(attempt)
                return
            target = choose_target(server, targets).server
            if await self.import_at(target, attempt, export, left_s):
                attempt.stop(Moved(target, emitted))
            tried.add(target.instance)

    async def wait_ready(self, attempt: Attempt, deadline_s: float) -> bool:
        """Wait until there is KV cache to export; tell whether there is.

        What waits in the engine's queue has nothing to lose and leaves at once.
        """
        if attempt.has_token:
            return True
        generation = attempt.generation
        status = await self.engines.status(attempt.server, generation.request_id)
        if attempt.end is None and status is not None and status.status == "running":
            size = attempt.pending * self.bytes_per_token
            latest_s = deadline_s - CUTOVER_MARGIN_S - size / self.bytes_per_s
            with trio.move_on_at(latest_s):
                await generation.wait_beyond(attempt.first_offset)
        if attempt.end is None and not attempt.has_token:
            self.leave(attempt)
        return attempt.end is None

    def transfer_s(self, export: KvExport) -> float:
        """Return the time to fetch an export, and learn the size of a token."""
        self.bytes_per_token = export.size / max(1, export.tokens)
        return export.size / self.bytes_per_s

    async def import_at(
        self, target: BackendServer, attempt: Attempt, export: KvExport, left_s: float
    ) -> bool:
        """Have a target import; given up when the stream ends or the target leaves.

        Returns
        -------
        is_there : bool
            Whether the target holds the KV cache and is not leaving.
        """
        is_there = False
        began_s = trio.current_time()
        self.importing[target.instance] += 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.cancel_when_ended, attempt, nursery.cancel_scope)
            nursery.start_soon(self.cancel_when_leaving, target, nursery.cancel_scope)
            is_there = await self.engines.import_kv(
                target, attempt.server, export, attempt.generation.request_id, left_s
            )
            nursery.cancel_scope.cancel()
        self.importing[target.instance] -= 1
        if is_there:
            rate = export.size / max(1e-3, trio.current_time() - began_s)
            self.bytes_per_s += LEARNING_SHARE * (rate - self.bytes_per_s)
        return is_there and self.leaving(target) is None

    async def cancel_when_ended(
        self, attempt: Attempt, scope: trio.CancelScope
    ) -> None:
        """Cancel an import whose stream has ended."""
        await attempt.ended.wait()
        scope.cancel()

    async def cancel_when_leaving(
        self, target: BackendServer, scope: trio.CancelScope
    ) -> None:
        """Cancel an import when the next notice names its target."""
        seen = 0
        while self.leaving(target) is None:
            seen = await self.servers.wait_changed(seen)
        scope.cancel()

    def log_step(self, server: BackendServer, attempt: Attempt, step: MoveStep) -> None:
        """Write the line of a decision."""
        generation = attempt.generation
        move_steps.add(action=str(step.action))
        log.info(
            f"{step.action} for a stream of leaving {server.instance}",
            request=generation.request_id,
            reason=step.reason,
            emitted=len(generation.tokens),
        )
        generation.tell(f"move: {step.action} from {server.instance}: {step.reason}")
