"""The entry process: the data plane of a node, put together."""

import random
import time
from collections.abc import Callable

import trio

from rosemaryknot.connection.http_server import HttpServer
from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.connection.network import Network
from rosemaryknot.connection.plain_client import PlainClient
from rosemaryknot.process.agent_link import AgentLink
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.configuration_distributor import (
    register_configuration_handlers,
)
from rosemaryknot.process.control_handlers import register_control_handlers
from rosemaryknot.process.detached import Detached
from rosemaryknot.process.drain import Drain
from rosemaryknot.process.logs import logger
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.process.server_health import ServerHealth
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.process.settings import Settings
from rosemaryknot.request.admission import Admission, AdmissionLimits
from rosemaryknot.request.adoption import GenerationAdopter
from rosemaryknot.request.at_most_once import AtMostOnce, ClaimPolicy
from rosemaryknot.request.budget import EntryBudgets
from rosemaryknot.request.generation_table import GenerationTable
from rosemaryknot.request.http_api import CallersApi, create_app
from rosemaryknot.request.model_api import ModelApi
from rosemaryknot.request.model_share import ModelShare
from rosemaryknot.request.pickup import RemoteFinder, register_pickup_handlers
from rosemaryknot.request.plain import PlainRelay
from rosemaryknot.request.plain_api import PlainApi
from rosemaryknot.request.relay import ModelRelay
from rosemaryknot.request.standby import StandbyCopies
from rosemaryknot.values.nodes import Address, Node
from rosemaryknot.values.servers import LeavingMark, ServersPush
from rosemaryknot.version.view import ConfigurationView

__all__ = ["Entry", "run_entry"]

CLAIM_MARGIN_S = 5.0
CLOSE_GRACE_S = 0.2
LATE_REQUESTS_S = 5.0
REPORTS_S = 5.0
HANDOVER_S = 1.0
LINEAGE_BITS = 48

log = logger("entry")


class Entry:
    """The parts of one entry process.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    network : Network
        Where connections come from and go to.
    nursery : trio.Nursery
        Lives as long as the process.
    rng : random.Random
        For ids, jitter and choices.
    unix_time : callable
        Seconds of the epoch.
    safeguards : Safeguards, optional
        Tests may turn safeguards off.

    Attributes
    ----------
    holder : ConfigurationHolder
        Configuration in force.
    servers : ServerTable
        Backend servers.
    handlers : Handlers
        What to do with messages of the agent.
    link : AgentLink
        Link to the agent.
    relay : ModelRelay
        Model requests.
    at_most_once : AtMostOnce
        Requests that are not idempotent.
    budgets : EntryBudgets
        What the customers may use over all instances.
    share : ModelShare
        What they may use of the engines, and whose turn it is.
    standby : StandbyCopies
        Copies of accepted model requests.
    adopter : GenerationAdopter
        Goes on with requests of other entries.
    drain : Drain
        What is in flight.
    stop_deadline_unix_s : float
        When the node is taken away, as seconds of the epoch; 0 where not known.
    models : ModelApi
        Takes model requests; its ``finders`` look elsewhere for a pick-up.
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
        self.relay = ModelRelay(
            network,
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
            limits.max_generations, keep_s=limits.kept_answer_s
        )
        self.standby = StandbyCopies(
            self.node,
            self.relay,
            self.link,
            self.holder,
            str(settings.listen.callers),
            safeguards is None or safeguards.standby_copy,
        )
        self.adopter = GenerationAdopter(
            self.relay, self.standby, self.drain, nursery, self.handlers
        )
        self.share = ModelShare(self.budgets, self.relay.router, self.drain)
        register_pickup_handlers(self.handlers, self.relay.table)
        self.plain_client = PlainClient(network)
        self.plain = PlainRelay(
            self.plain_client, self.servers, settings.zone, rng, self.health
        )
        self.models = ModelApi(
            self.admission,
            self.drain,
            nursery,
            self.standby,
            self.relay.table,
            limits.body_timeout_s,
            self.share,
        )
        self.models.finders.append(RemoteFinder(self.link).find)
        app = create_app(self.new_api(nursery, unix_time))
        self.server = HttpServer(app, network, limits.max_connections)

    def new_api(
        self, nursery: trio.Nursery, unix_time: Callable[[], float]
    ) -> CallersApi:
        """Return the parts behind the callers' interface."""
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
        return CallersApi(
            self.holder,
            self.drain,
            plain,
            self.models,
            self.rng,
            limits.max_body_bytes,
            unix_time,
        )

    def new_handlers(self) -> Handlers:
        """Return what to do with messages of the agent."""
        handlers = Handlers()
        register_configuration_handlers(handlers, self.holder)

        @handlers.on(ServersPush)
        async def take_servers(push: ServersPush, link: MessageLink) -> None:
            self.apply_servers(push)

        @handlers.on(LeavingMark)
        async def take_mark(mark: LeavingMark, link: MessageLink) -> None:
            self.servers.apply_mark(mark)

        return handlers

    def apply_servers(self, push: ServersPush) -> None:
        """Take over the agent's servers."""
        try:
            self.servers.apply_push(push)
        except (TypeError, ValueError, AttributeError) as error:
            log.error("unusable list of servers", error=type(error).__name__)

    def claim_policy(self, service: str) -> ClaimPolicy:
        """Return the bounds of a service's at-most-once requests."""
        view = self.holder.view
        known = None if view is None else view.services.get(service)
        if known is None:
            return ClaimPolicy()
        return ClaimPolicy(
            known.timeout_s + CLAIM_MARGIN_S, known.at_most_once.answer_horizon_s
        )

    async def report_leaving(self) -> None:
        """Tell the agent which servers themselves say that they are leaving.

        The entry is the first to hear it; the agent passes it on to its peers.
        """
        told: set[str] = set()
        link = None
        revision = 0
        while True:
            revision = await self.servers.wait_changed(revision)
            if link is not self.link.link:
                link = self.link.link
                told.clear()
            marks = self.servers.leaving_marks()
            told &= {mark.instance for mark in marks}
            for mark in marks:
                if mark.source == "server" and mark.instance not in told:
                    if await self.link.send(mark):
                        told.add(mark.instance)

    def note_deadline(self, deadline_unix_s: float) -> None:
        """Note when the node is taken away, as seconds of the epoch; 0 for never."""
        if deadline_unix_s:
            self.stop_deadline_unix_s = deadline_unix_s
            self.has_deadline.set()

    async def hand_over_in_time(self) -> None:
        """Hand streams over once there is a deadline, which may come during a stop."""
        await self.has_deadline.wait()
        left_s = self.stop_deadline_unix_s - self.unix_time() - HANDOVER_S
        await self.standby.hand_over_long(left_s)
        left_s = self.stop_deadline_unix_s - self.unix_time() - HANDOVER_S
        await trio.sleep(max(0.0, left_s))
        await self.standby.hand_over_all()

    async def stay_not_ready(self, until_s: float) -> None:
        """Go on refusing with an answer until a time, or the end of a notice.

        Without requests in flight the process would end before the balancer looks at
        /readyz, and callers that it still sends here would find their connections
        refused. Until it has looked they get an answer with "stopping".
        """
        with trio.CancelScope(deadline=until_s):
            await self.has_deadline.wait()
            left_s = self.stop_deadline_unix_s - self.unix_time() - HANDOVER_S
            await trio.sleep(max(0.0, left_s))

    async def serve(self, nursery: trio.Nursery, address: Address) -> None:
        """Start all tasks; return once callers can connect."""
        await nursery.start(self.relay.run)
        nursery.start_soon(self.link.run)
        nursery.start_soon(self.at_most_once.run_reports)
        nursery.start_soon(self.standby.run)
        nursery.start_soon(self.budgets.run)
        nursery.start_soon(self.share.queue.run)
        nursery.start_soon(self.report_leaving)
        await nursery.start(self.server.serve, address)
        log.info(f"serving callers at {address}")

    async def stop(self) -> None:
        """End what is in flight whole, or hand it over where time is too short."""
        limits = self.settings.limits
        self.drain.start()
        not_ready_until_s = trio.current_time() + limits.not_ready_s
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.hand_over_in_time)
            await self.drain.wait_idle(limits.drain_timeout_s)
            nursery.cancel_scope.cancel()
        await self.standby.hand_over_all()
        await self.stay_not_ready(not_ready_until_s)
        # A request that is just being read is still refused with an answer, which a
        # closed connection would not tell from a lost one.
        await trio.sleep(CLOSE_GRACE_S)
        await self.drain.wait_idle(LATE_REQUESTS_S)
        if not await self.at_most_once.reports.wait_empty(REPORTS_S):
            log.error("results of at-most-once requests were not taken")


async def run_entry(
    settings: Settings,
    stop: trio.Event,
    network: Network,
    rng: random.Random | None = None,
    unix_time: Callable[[], float] = time.time,
    safeguards: Safeguards | None = None,
    task_status: trio.TaskStatus[Entry] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry until a planned stop is over.

    Parameters
    ----------
    settings : Settings
        Checked settings, with an address for callers.
    stop : trio.Event
        Asks for a planned stop.
    network : Network
        Where connections come from and go to.
    rng : random.Random, optional
        A seeded one in tests and replay.
    unix_time : callable
        Seconds of the epoch.
    safeguards : Safeguards, optional
        Tests may turn safeguards off.
    task_status : trio.TaskStatus
        Told the entry once it serves callers.
    """
    rng = random.SystemRandom() if rng is None else rng
    async with trio.open_nursery() as nursery:
        entry = Entry(settings, network, nursery, rng, unix_time, safeguards)
        register_control_handlers(
            entry.handlers, stop, note_deadline=entry.note_deadline
        )
        await entry.serve(nursery, settings.listen.callers)
        task_status.started(entry)
        await stop.wait()
        await entry.stop()
        nursery.cancel_scope.cancel()
