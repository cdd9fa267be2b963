"""Runs accepted model requests: attempt after attempt until there is an outcome."""

import secrets
import time
from collections.abc import Callable

import trio

from rosemaryknot.connection.engine_client import EngineClient
from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.network import Network
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.process.server_health import ServerHealth
from rosemaryknot.process.server_load import LoadTable
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.request.attempts import Silent
from rosemaryknot.request.generation_run import (
    NO_SERVER_RETRY_S,
    GenerationRun,
    RelayParts,
)
from rosemaryknot.request.generation_table import GenerationTable
from rosemaryknot.request.generations import Generation
from rosemaryknot.request.moves import Mover
from rosemaryknot.request.relay_records import note_begun, note_outcome
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

__all__ = ["ModelRelay"]

LINEAGE_BYTES = 6


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
        """Bring a generation to its outcome, whatever happens."""
        course = RequestContext(prompt_of(generation.request), was_sent=is_resumed)
        known = self.servers.get(server)
        if known is not None and known.state == ServerState.LIVE:
            course.next_server = known
        try:
            await GenerationRun(generation, course, self.parts()).run()
        finally:
            # Followers are told even when the process ends: no stream ends silently.
            generation.finish(Unknown(Reason.STOPPING, "the instance stopped"))
            self.table.note_finished(generation)
            note_outcome(generation)

    def parts(self) -> RelayParts:
        """Return what the runs share."""
        return RelayParts(
            self.servers,
            self.health,
            self.loads,
            self.engines,
            self.router,
            self.mover,
            self.nursery,
        )
