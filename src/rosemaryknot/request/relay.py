"""Relay of model requests: accepts them and runs each to an outcome."""

import secrets
import time
from collections.abc import Callable

import trio

from rosemaryknot.connection.engine_client import EngineClient
from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.network import Network
from rosemaryknot.process.background_tasks import BackgroundTasks
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.process.server_health import ServerHealth
from rosemaryknot.process.server_load import LoadTable
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.request.attempts import Silent
from rosemaryknot.request.crash_guard import CrashGuard
from rosemaryknot.request.generation_run import (
    NO_SERVER_RETRY_AFTER_S,
    GenerationRun,
    RelayComponents,
)
from rosemaryknot.request.generation_table import GenerationTable
from rosemaryknot.request.generations import Generation
from rosemaryknot.request.limit_guard import LimitGuard
from rosemaryknot.request.moves import Mover
from rosemaryknot.request.relay_records import record_outcome, record_start
from rosemaryknot.request.request_context import RequestContext
from rosemaryknot.request.router import Router, prompt_of
from rosemaryknot.values.nodes import ServerState
from rosemaryknot.values.outcomes import (
    NotRun,
    Reason,
    Running,
    Unknown,
)
from rosemaryknot.values.requests import ModelRequest
from rosemaryknot.values.standby import StandbyCopy

__all__ = ["ModelRelay"]

LINEAGE_BYTES = 6


class ModelRelay:
    """Relay that accepts model requests and runs each to its outcome.

    Each generation runs in its own task, separate from the callers that read it, so
    accepted work is not lost when a caller disconnects.

    Parameters
    ----------
    network : Network
        Network for connections to backend servers.
    servers : ServerTable
        Backend servers.
    holder : ConfigurationHolder
        Current configuration.
    zone, node : str
        Availability zone and name of this node.
    health : ServerHealth, optional
        Failures of the servers; shared with the plain services.
    safeguards : Safeguards, optional
        Switches for safety checks; all are on outside of tests.
    move_policy : str
        Name of a registered move policy.
    unix_time : callable
        Returns the Unix time in seconds.
    new_lineage : callable, optional
        Returns a unique lineage id for a new generation.

    Attributes
    ----------
    table : GenerationTable
        Accepted requests, running and finished.
    loads : LoadTable
        Load of the servers.
    router : Router
        Chooses servers.
    mover : Mover
        Moves streams off draining servers.
    crashes : CrashGuard or None
        Decides on requests during which servers crashed; None for no limit.
    limits : LimitGuard or None
        Selects servers under the rate limits that they state; None for no limits.
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
        self.crashes: CrashGuard | None = None
        self.limits: LimitGuard | None = None
        self.tasks = BackgroundTasks()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run generations until cancelled."""
        async with (
            http_client(self.network) as client,
            self.tasks.open() as nursery,
        ):
            await nursery.start(self.mover.run)
            nursery.start_soon(self.loads.poll, client, self.router.servers_to_poll)
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
            The accepted generation, or the reason for the refusal.
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
        """Reserve capacity for a request without running it yet.

        Parameters
        ----------
        request : ModelRequest
            An admitted request, or one that is taken over.
        lineage : str
            Lineage of the tokens emitted earlier; empty for a new request.
        tokens : list of bytes, optional
            Tokens emitted earlier.

        Returns
        -------
        generation : Generation or NotRun
            The generation, to be passed to `begin` or `reject`; or the reason for the
            refusal.
        """
        if not self.tasks.is_open:
            return NotRun(Reason.STOPPING, 1.0, "this instance does not run")
        # A request that is taken over was accepted earlier, so it waits for a server
        # instead of being refused.
        if not lineage and not self.servers.servers_of(request.service):
            return NotRun(
                Reason.NO_SERVER,
                NO_SERVER_RETRY_AFTER_S,
                "no server of this service is live",
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
            Generation returned by `prepare`.
        is_resumed : bool
            Whether another entry accepted it, so that it may have run already.
        server : str
            Instance that may still be running it; empty for none.
        """
        record_start(generation)
        run = self.run_generation
        if not self.tasks.start_soon(run, generation, is_resumed, server):
            detail = "this instance does not run"
            refused = NotRun(Reason.STOPPING, 1.0, detail)
            unknown = Unknown(Reason.STOPPING, detail)
            generation.finish(unknown if is_resumed else refused)

    def hand_over(self, generation: Generation, outcome: Running) -> None:
        """Finish a generation here that another entry takes over.

        The attempt on its server is not cancelled, since the other entry may join it.
        """
        generation.finish(outcome)
        attempt = self.mover.running.get(generation.request_id)
        if attempt is not None and attempt.generation is generation:
            attempt.stop(Silent(True, "handed over"))

    def reject(self, generation: Generation, outcome: NotRun | Unknown) -> None:
        """Finish a prepared generation that will not run."""
        generation.finish(outcome)
        self.table.record_finished(generation)

    async def run_generation(
        self, generation: Generation, is_resumed: bool = False, server: str = ""
    ) -> None:
        """Run a generation and guarantee that it gets an outcome."""
        request_context = RequestContext(
            prompt_of(generation.request), was_sent=is_resumed
        )
        current = self.servers.get(server)
        if current is not None and current.state == ServerState.LIVE:
            request_context.next_server = current
        try:
            await GenerationRun(generation, request_context, self.components()).run()
        finally:
            # Also when the process stops, so that no stream ends without an outcome.
            generation.finish(Unknown(Reason.STOPPING, "the instance stopped"))
            self.table.record_finished(generation)
            record_outcome(generation)

    def version_of_copy(self, copy: StandbyCopy) -> str | None:
        """Return the software version that began a replicated request, if known."""
        if copy.software_version is not None:
            return copy.software_version
        server = self.servers.get(copy.server)
        return None if server is None else server.software_version

    def has_several_versions(self, service: str) -> bool:
        """Return whether the live servers of a service have several versions."""
        servers = self.servers.servers_of(service)
        return len({server.software_version for server in servers}) > 1

    def components(self) -> RelayComponents:
        """Return the components shared by all generation runs."""
        return RelayComponents(
            self.servers,
            self.health,
            self.loads,
            self.engines,
            self.router,
            self.mover,
            self.tasks,
            self.crashes,
            self.limits,
        )
