"""The entry process, which runs the data plane of a node."""

import random
import time
from collections.abc import Callable

import trio

from rosemaryknot.connection.body_budget import BodyBudget
from rosemaryknot.connection.http_server import HttpServer
from rosemaryknot.connection.links import Handlers, Hello, MessageLink
from rosemaryknot.connection.network import Network
from rosemaryknot.connection.plain_client import PlainClient
from rosemaryknot.connection.relay_client import RelayPeers
from rosemaryknot.connection.response_memory import ResponseMemory
from rosemaryknot.connection.server_dialler import ServerDialler
from rosemaryknot.connection.server_network import ServerNetwork
from rosemaryknot.process.agent_link import AgentLink
from rosemaryknot.process.background_tasks import supervise
from rosemaryknot.process.caller_memory import CallerMemory
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.configuration_distributor import (
    register_configuration_handlers,
)
from rosemaryknot.process.control_handlers import register_control_handlers
from rosemaryknot.process.crash_detector import CrashDetector
from rosemaryknot.process.crash_records import CrashRecords
from rosemaryknot.process.detached import Detached
from rosemaryknot.process.drain import Drain
from rosemaryknot.process.entry_crashes import EntryCrashes
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peer_dialler import RELAY_ROLE
from rosemaryknot.process.relay_nodes import KnownRelayNodes
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.process.server_health import ServerHealth
from rosemaryknot.process.server_limits.entry_limits import EntryLimits
from rosemaryknot.process.server_limits.records import LimitRecords
from rosemaryknot.process.server_paths import ServerPaths
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.process.settings import Settings
from rosemaryknot.request.admission import Admission, AdmissionLimits
from rosemaryknot.request.adoption import GenerationAdopter
from rosemaryknot.request.at_most_once import AtMostOnce, ClaimPolicy
from rosemaryknot.request.budget import EntryBudgets
from rosemaryknot.request.crash_guard import CrashGuard
from rosemaryknot.request.generation_table import GenerationTable
from rosemaryknot.request.http_api import CallerApi, create_app
from rosemaryknot.request.limit_guard import LimitGuard
from rosemaryknot.request.model_admission import ModelAdmission
from rosemaryknot.request.model_api import ModelApi
from rosemaryknot.request.permit_client import PermitClient
from rosemaryknot.request.plain import PlainRelay
from rosemaryknot.request.plain_api import PlainApi
from rosemaryknot.request.relay import ModelRelay
from rosemaryknot.request.retrieval import RemoteFinder, register_retrieval_handlers
from rosemaryknot.request.standby import StandbyReplicator
from rosemaryknot.values.nodes import Address, Node
from rosemaryknot.values.servers import LeavingMark, ServersPush
from rosemaryknot.version.view import ConfigurationView

__all__ = ["Entry", "run_entry"]

CLAIM_MARGIN_S = 5.0
CLOSE_GRACE_S = 0.2
LATE_REQUESTS_TIMEOUT_S = 5.0
REPORTS_TIMEOUT_S = 5.0
HANDOVER_RESERVE_S = 1.0
LINEAGE_BITS = 48
BYTES_PER_MB = 1 << 20
# Share of the memory for bodies of requests. The HTTP server grows each as it arrives,
# and copies it once it is complete.
BODY_SHARE = 0.2

log = logger("entry")


class Entry:
    """The components of one entry process.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    network : Network
        Accepts and opens connections.
    nursery : trio.Nursery
        Nursery that stays open as long as the process.
    rng : random.Random
        Source of ids, jitter and random choices.
    unix_time : callable
        Returns the Unix time in seconds.
    safeguards : Safeguards, optional
        Safeguards that tests may disable.

    Attributes
    ----------
    holder : ConfigurationHolder
        Active configuration.
    servers : ServerTable
        Backend servers.
    handlers : Handlers
        Handlers of messages from the agent.
    link : AgentLink
        Link to the agent.
    relay : ModelRelay
        Relays model requests to engines.
    at_most_once : AtMostOnce
        Executes requests that are not idempotent.
    budgets : EntryBudgets
        Budgets of the customers' limits, which apply across all instances.
    model_admission : ModelAdmission
        Fair sharing and queueing of the engine capacity among customers.
    standby : StandbyReplicator
        Replicates accepted model requests to other nodes.
    adopter : GenerationAdopter
        Continues model requests of other entries.
    drain : Drain
        Tracks the requests in flight.
    memory : CallerMemory
        Account of the memory held for callers.
    stop_deadline_unix_s : float
        Unix time in seconds at which the instance is terminated; 0 if not known.
    models : ModelApi
        API of model requests; its ``finders`` search other nodes for a request that
        a caller picks up.
    """

    def __init__(
        self,
        settings: Settings,
        network: Network,
        nursery: trio.Nursery,
        rng: random.Random,
        unix_time: Callable[[], float] = time.time,
        safeguards: Safeguards | None = None,
    ) -> None:
        self.settings = settings
        self.network = network
        self.rng = rng
        self.unix_time = unix_time
        self.stop_deadline_unix_s = 0.0
        self.has_deadline = trio.Event()
        limits = settings.limits
        self.node = Node(settings.node, settings.zone, int(unix_time() * 1000))
        self.holder = ConfigurationHolder(ConfigurationView.from_document)
        self.servers = ServerTable(safeguards)
        self.health = ServerHealth()
        self.handlers = self.new_handlers()
        self.link = AgentLink(
            settings.agent, network, settings.cluster_key, self.node, self.handlers, rng
        )
        self.drain = Drain()
        self.admission = Admission(AdmissionLimits(limits.max_requests_in_flight))
        self.at_most_once = AtMostOnce(self.link, self.claim_policy, safeguards)
        self.budgets = EntryBudgets(self.node, self.link)
        self.create_path_components()
        self.relay = ModelRelay(
            self.server_network,
            self.servers,
            self.holder,
            settings.zone,
            settings.node,
            self.health,
            safeguards=safeguards,
            unix_time=unix_time,
            new_lineage=lambda: f"{rng.getrandbits(LINEAGE_BITS):012x}",
        )
        self.relay.table = GenerationTable(
            limits.max_generations, ttl_s=limits.kept_answer_s
        )
        self.standby = StandbyReplicator(
            self.node,
            self.relay,
            self.link,
            self.holder,
            str(settings.listen.callers),
            safeguards is None or safeguards.standby_copy,
        )
        self.create_crash_components()
        self.create_server_limit_components()
        self.adopter = GenerationAdopter(
            self.relay, self.standby, self.drain, nursery, self.handlers
        )
        self.model_admission = ModelAdmission(
            self.budgets, self.relay.router, self.drain
        )
        register_retrieval_handlers(self.handlers, self.relay.table)
        self.memory = CallerMemory(limits.memory_mb * BYTES_PER_MB)
        self.plain_client = PlainClient(
            self.server_network, ResponseMemory(self.memory)
        )
        self.plain = PlainRelay(
            self.plain_client, self.servers, settings.zone, rng, self.health
        )
        self.plain.crashes = self.relay.crashes
        self.plain.limits = self.relay.limits
        self.models = ModelApi(
            self.admission,
            self.drain,
            nursery,
            self.standby,
            self.relay.table,
            limits.body_timeout_s,
            self.model_admission,
        )
        self.models.finders.append(RemoteFinder(self.link).find)
        app = create_app(self.new_api(nursery, unix_time))
        self.server = HttpServer(app, network, limits.max_connections)

    def create_path_components(self) -> None:
        """Create the components that open connections to servers."""
        self.relay_nodes = KnownRelayNodes(self.handlers)
        self.dialler = ServerDialler(
            self.network,
            ServerPaths(self.settings.zone, self.rng),
            RelayPeers(
                self.relay_nodes.nodes,
                self.relay_nodes.address_of,
                self.settings.cluster_key,
                self.relay_hello,
            ),
            self.servers.addresses,
            self.rng,
        )
        self.server_network = ServerNetwork(self.dialler)

    def relay_hello(self) -> Hello:
        """Return the hello of a connection that another node is to relay."""
        node = self.node
        return Hello(node.name, node.zone, node.incarnation, RELAY_ROLE, b"")

    def create_crash_components(self) -> None:
        """Create the components for requests during which servers crashed."""
        self.crash_records = CrashRecords()
        self.crash_detector = CrashDetector(
            self.dialler.check, self.dialler.accepts, self.crash_records
        )
        self.crashes = EntryCrashes(self.link, self.crash_records, self.handlers)
        self.crash_detector.on_recorded = self.crashes.enqueue
        # An entry knows no other nodes, so each may make the trial. Those that begin
        # it in the same moment make one each.
        self.relay.crashes = CrashGuard(
            self.crash_records,
            self.crash_detector,
            self.crashes.clear,
            lambda digest: True,
            self.crashes.enqueue,
            self.crashes.clear_segment,
        )

    def create_server_limit_components(self) -> None:
        """Create the components for the rate limits that servers state."""
        self.server_limits = LimitRecords(
            lambda instance: self.servers.get(instance) is not None
        )
        self.entry_limits = EntryLimits(self.link, self.server_limits, self.handlers)
        self.relay.limits = LimitGuard(
            PermitClient(
                self.node.name, self.server_limits, self.entry_limits.acquire, self.rng
            ),
            self.entry_limits.publish,
            self.entry_limits.report,
        )

    def new_api(
        self, nursery: trio.Nursery, unix_time: Callable[[], float]
    ) -> CallerApi:
        """Return the API that callers use."""
        limits = self.settings.limits
        plain = PlainApi(
            self.admission,
            self.drain,
            Detached(nursery, self.drain),
            self.plain,
            self.at_most_once,
            limits.body_timeout_s,
            self.budgets,
        )
        return CallerApi(
            self.holder,
            self.drain,
            plain,
            self.models,
            self.rng,
            limits.max_body_bytes,
            BodyBudget(
                limits.memory_mb * BYTES_PER_MB, self.rng, self.memory, BODY_SHARE
            ),
            unix_time,
        )

    def new_handlers(self) -> Handlers:
        """Return the handlers of messages from the agent."""
        handlers = Handlers()
        register_configuration_handlers(handlers, self.holder)

        @handlers.on(ServersPush)
        async def handle_servers(push: ServersPush, link: MessageLink) -> None:
            self.apply_servers(push)

        @handlers.on(LeavingMark)
        async def handle_mark(mark: LeavingMark, link: MessageLink) -> None:
            self.servers.apply_mark(mark)

        return handlers

    def apply_servers(self, push: ServersPush) -> None:
        """Apply the server list of the agent."""
        try:
            self.servers.apply_push(push)
        except (TypeError, ValueError, AttributeError) as error:
            log.error("invalid server list", error=type(error).__name__)

    def claim_policy(self, service: str) -> ClaimPolicy:
        """Return the time limits of the at-most-once requests of a service."""
        view = self.holder.view
        definition = None if view is None else view.services.get(service)
        if definition is None:
            return ClaimPolicy()
        return ClaimPolicy(
            definition.timeout_s + CLAIM_MARGIN_S,
            definition.at_most_once.answer_horizon_s,
        )

    async def report_draining_servers(self) -> None:
        """Report servers that announced their own draining to the agent.

        The entry learns of it first; the agent forwards the report to its peers.
        """
        reported: set[str] = set()
        link = None
        revision = 0
        while True:
            revision = await self.servers.wait_changed(revision)
            if link is not self.link.link:
                link = self.link.link
                reported.clear()
            marks = self.servers.leaving_marks()
            reported &= {mark.instance for mark in marks}
            for mark in marks:
                if mark.source == "server" and mark.instance not in reported:
                    if await self.link.send(mark):
                        reported.add(mark.instance)

    def set_stop_deadline(self, deadline_unix_s: float) -> None:
        """Set the Unix time at which the instance is terminated; 0 for never."""
        if deadline_unix_s:
            self.stop_deadline_unix_s = deadline_unix_s
            self.has_deadline.set()

    async def hand_over_before_deadline(self) -> None:
        """Hand streams over before the deadline, which may be set during a shutdown."""
        await self.has_deadline.wait()
        remaining_s = self.stop_deadline_unix_s - self.unix_time() - HANDOVER_RESERVE_S
        await self.standby.hand_over_long(remaining_s)
        remaining_s = self.stop_deadline_unix_s - self.unix_time() - HANDOVER_RESERVE_S
        await trio.sleep(max(0.0, remaining_s))
        await self.standby.hand_over_all()

    async def stay_unready(self, deadline_s: float) -> None:
        """Keep serving refusals until a deadline or the end of a notice period.

        Without requests in flight, the process would exit before the load balancer
        checks /readyz, and callers that it still routes here would have their
        connections refused. Until that check they get a response with "stopping".
        """
        with trio.CancelScope(deadline=deadline_s):
            await self.has_deadline.wait()
            remaining_s = (
                self.stop_deadline_unix_s - self.unix_time() - HANDOVER_RESERVE_S
            )
            await trio.sleep(max(0.0, remaining_s))

    async def serve(self, nursery: trio.Nursery, address: Address) -> None:
        """Start all tasks; return once callers can connect."""
        await nursery.start(self.relay.run)
        nursery.start_soon(supervise, self.link.run)
        nursery.start_soon(supervise, self.at_most_once.run_reports)
        nursery.start_soon(supervise, self.standby.run)
        nursery.start_soon(supervise, self.dialler.run_rechecks)
        nursery.start_soon(supervise, self.crash_detector.run)
        nursery.start_soon(supervise, self.crashes.run)
        nursery.start_soon(supervise, self.entry_limits.run)
        nursery.start_soon(supervise, self.budgets.run)
        nursery.start_soon(supervise, self.model_admission.queue.run)
        nursery.start_soon(supervise, self.report_draining_servers)
        await nursery.start(self.server.serve, address)
        log.info(f"serving callers at {address}")

    async def stop(self) -> None:
        """Complete the requests in flight, or hand them over if time is too short."""
        limits = self.settings.limits
        self.drain.start()
        unready_deadline_s = trio.current_time() + limits.not_ready_s
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervise, self.hand_over_before_deadline)
            await self.drain.wait_idle(limits.drain_timeout_s)
            nursery.cancel_scope.cancel()
        await self.standby.hand_over_all()
        await self.stay_unready(unready_deadline_s)
        # A request that is still being read must get a refusal. If the connection were
        # closed instead, the caller could not distinguish the request from a lost one.
        await trio.sleep(CLOSE_GRACE_S)
        await self.drain.wait_idle(LATE_REQUESTS_TIMEOUT_S)
        if not await self.at_most_once.reports.wait_empty(REPORTS_TIMEOUT_S):
            log.error("agent did not accept all results of at-most-once requests")


async def run_entry(
    settings: Settings,
    stop: trio.Event,
    network: Network,
    rng: random.Random | None = None,
    unix_time: Callable[[], float] = time.time,
    safeguards: Safeguards | None = None,
    task_status: trio.TaskStatus[Entry] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry until a graceful shutdown is complete.

    Parameters
    ----------
    settings : Settings
        Validated settings, with an address for callers.
    stop : trio.Event
        Set to request a graceful shutdown.
    network : Network
        Accepts and opens connections.
    rng : random.Random, optional
        Seeded random generator for tests and replay.
    unix_time : callable
        Returns the Unix time in seconds.
    safeguards : Safeguards, optional
        Safeguards that tests may disable.
    task_status : trio.TaskStatus
        Receives the entry once it serves callers.
    """
    rng = random.SystemRandom() if rng is None else rng
    async with trio.open_nursery() as nursery:
        entry = Entry(settings, network, nursery, rng, unix_time, safeguards)
        register_control_handlers(
            entry.handlers, stop, set_stop_deadline=entry.set_stop_deadline
        )
        await entry.serve(nursery, settings.listen.callers)
        task_status.started(entry)
        await stop.wait()
        await entry.stop()
        nursery.cancel_scope.cancel()
