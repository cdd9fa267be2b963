"""The agent process, which runs the control plane of a node."""

import os
import random
import time
from collections.abc import Callable

import trio

from rosemaryknot.connection.http_server import HttpServer
from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.connection.network import Network
from rosemaryknot.connection.order_client import HttpOrderClient
from rosemaryknot.connection.platform import PlatformClient
from rosemaryknot.connection.relay_client import RelayPeers
from rosemaryknot.connection.server_dialler import ServerDialler
from rosemaryknot.connection.server_network import ServerNetwork
from rosemaryknot.connection.server_relay import ServerRelay
from rosemaryknot.process.background_tasks import supervise
from rosemaryknot.process.claims.forms import ClaimForm
from rosemaryknot.process.claims.handlers import register_claim_handlers
from rosemaryknot.process.claims.objects import ObjectClaims
from rosemaryknot.process.claims.operators_api import ShardsApi
from rosemaryknot.process.claims.shards import ShardClaims
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.configuration_distributor import (
    ConfigurationDistributor,
    keep_entry_current,
    register_configuration_handlers,
)
from rosemaryknot.process.crash_exchange import CrashExchange
from rosemaryknot.process.crash_records import CrashRecords
from rosemaryknot.process.limits.live_limits import LiveLimits
from rosemaryknot.process.limits.owner import LimitOwner
from rosemaryknot.process.limits.stopped_nodes import StoppedNodes
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peer_metrics import PeerMetrics
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.placement.manager import PlacementManager
from rosemaryknot.process.platform_watch import PlatformWatch
from rosemaryknot.process.relay_broadcast import PlanRelays
from rosemaryknot.process.relay_nodes import RelayNodesSender
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.process.server_distributor import ServerDistributor
from rosemaryknot.process.server_limits.exchange import LimitExchange
from rosemaryknot.process.server_limits.owner import PermitOwner
from rosemaryknot.process.server_limits.records import LimitRecords
from rosemaryknot.process.server_paths import ServerPaths
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.process.settings import Settings
from rosemaryknot.process.standby import StandbyManager
from rosemaryknot.process.status import StatusApi
from rosemaryknot.values.control import DrainAccepted, DrainRequest
from rosemaryknot.values.nodes import Node
from rosemaryknot.version.operators_api import operators_app
from rosemaryknot.version.placement_targets import placement_targets
from rosemaryknot.version.store import ConfigurationStore
from rosemaryknot.version.view import ConfigurationView
from rosemaryknot.version.watch import ConfigurationWatcher

__all__ = ["Agent", "run_agent"]

BOOTSTRAP_ENV = "ROSEMARYKNOT_BOOTSTRAP_KEY"
ENTRY_STOP_TIMEOUT_S = 5.0
ENTRY_CHECK_INTERVAL_S = 0.1
MIN_ENTRY_WAIT_S = 0.3
DRAIN_TIMEOUT_S = 2.0
HANDOVER_TIMEOUT_S = 20.0

log = logger("agent")


class Agent:
    """The components of one agent process.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    network : Network
        Accepts and opens connections.
    stop : trio.Event
        Set to request a graceful shutdown.
    rng : random.Random
        Source of jitter and random choices.
    unix_time : callable
        Returns the Unix time in seconds.
    bootstrap_key : str
        Key of the operator who creates the first version; empty for none.
    safeguards : Safeguards, optional
        Safeguards that tests may disable.

    Attributes
    ----------
    node : Node
        This node; its incarnation is the wall-clock time of the start.
    handlers : Handlers
        Handlers of messages from entries and peers.
    peers : PeerSet
        The other nodes.
    platform : PlatformClient
        Client of the platform APIs.
    servers : ServerTable
        Backend servers.
    holder : ConfigurationHolder
        Active configuration.
    forms : dict of str to ClaimForm
        Implementations of at-most-once execution by name.
    is_draining : bool
        Whether the whole node shuts down, including its entries.
    deadline_unix_s : float
        Unix time in seconds at which the instance is terminated; 0 if not known.
    standby : StandbyManager
        Replicas of model requests that other nodes relay.
    limits : LimitOwner
        Budgets of the customers' limits.
    placement : PlacementManager
        Placement leases, and the duties (tasks that only a lease holder performs)
        of the leases that this node holds.
    """

    def __init__(
        self,
        settings: Settings,
        network: Network,
        stop: trio.Event,
        rng: random.Random,
        unix_time: Callable[[], float] = time.time,
        bootstrap_key: str = "",
        safeguards: Safeguards | None = None,
    ) -> None:
        self.safeguards = safeguards or Safeguards()
        self.settings = settings
        self.network = network
        self.stop = stop
        self.rng = rng
        self.unix_time = unix_time
        self.node = Node(settings.node, settings.zone, int(unix_time() * 1000))
        self.handlers = Handlers()
        self.peers = PeerSet(
            network,
            self.node,
            settings.listen.links,
            settings.cluster_key,
            settings.peers,
            self.handlers,
            rng=rng,
        )
        self.peer_metrics = PeerMetrics(self.peers)
        self.platform = PlatformClient(network, settings.platform)
        self.is_draining = False
        self.has_draining_entry = False
        self.deadline_unix_s = 0.0
        self.create_server_components()
        self.create_configuration_components()
        self.create_claim_components()
        self.create_standby_components()
        self.create_limit_components()
        self.create_placement_components()
        self.create_crash_components()
        self.create_server_limit_components()
        app = operators_app(self.holder, self.store, bootstrap_key)
        app.register_blueprint(StatusApi(self).blueprint())
        app.register_blueprint(ShardsApi(self.shards).blueprint())
        self.server = HttpServer(app, network)

    def create_server_components(self) -> None:
        """Create the components for backend servers."""
        self.servers = ServerTable(self.safeguards)
        self.server_distributor = ServerDistributor(
            self.servers, self.peers, self.handlers, self.rng
        )
        self.platform_watch = PlatformWatch(
            self.platform, self.servers, self.rng, self.server_distributor.is_watcher
        )
        self.create_path_components()

    def create_path_components(self) -> None:
        """Create the components that open connections to servers, also for peers."""
        paths = ServerPaths(self.settings.zone, self.rng)
        peers = RelayPeers(
            self.peers.nodes,
            self.peers.address_of,
            self.settings.cluster_key,
            self.peers.dialler.relay_hello,
        )
        self.dialler = ServerDialler(
            self.network, paths, peers, self.servers.addresses, self.rng
        )
        self.relay = ServerRelay(
            self.network,
            paths,
            lambda address, carries_request: self.servers.has_address(address),
            self.dialler.reaches_others,
        )
        self.peers.on_relay = self.relay.serve
        sender = RelayNodesSender(self.node, self.peers)
        self.peers.on_entry_link.append(sender.keep_entry_current)

    def create_configuration_components(self) -> None:
        """Create the components for the configuration."""
        self.holder = ConfigurationHolder(ConfigurationView.from_document)
        self.distributor = ConfigurationDistributor(
            self.node, self.holder, self.peers, len(self.settings.peers), self.rng
        )
        self.store = ConfigurationStore(self.platform, self.holder, self.unix_time)
        self.watcher = ConfigurationWatcher(self.store, self.distributor, self.rng)
        register_configuration_handlers(self.handlers, self.holder, self.distributor)
        self.peers.on_entry_link.append(
            lambda link: keep_entry_current(self.holder, link)
        )

    def create_claim_components(self) -> None:
        """Create the implementations of at-most-once execution."""
        self.objects = ObjectClaims(self.platform, self.unix_time)
        self.shards = ShardClaims(
            self.node,
            self.peers,
            self.platform,
            self.platform,
            safeguards=self.safeguards,
            expected_nodes=lambda: len(self.settings.peers) + 1,
            rng=self.rng,
        )
        self.shards.register(self.handlers)
        self.forms: dict[str, ClaimForm] = {
            "objects": self.objects,
            "shards": self.shards,
        }
        register_claim_handlers(
            self.handlers,
            self.forms,
            self.claim_form,
            lambda: self.shards.maps.number,
        )

    def create_standby_components(self) -> None:
        """Create the components for standby replicas and draining of entries."""
        self.standby = StandbyManager(
            self.peers,
            self.handlers,
            lambda name: self.servers.marks.get(name) is not None,
            self.rng,
        )
        self.peers.on_entry_link.append(self.drain_entry)

    def create_limit_components(self) -> None:
        """Create the components for the customers' limits."""
        self.ended_nodes = StoppedNodes(self.peers, self.platform)
        source = LiveLimits(
            self.holder, self.peers, self.ended_nodes.is_confirmed_stopped
        )
        self.limits = LimitOwner(self.node, self.peers, source, self.handlers)

    def create_crash_components(self) -> None:
        """Create the components for requests during which servers crashed."""
        self.crash_records = CrashRecords()
        self.crash_exchange = CrashExchange(
            self.node,
            self.peers,
            PlanRelays(self.peers),
            self.crash_records,
            self.handlers,
            self.rng,
        )
        self.peers.on_entry_link.append(self.crash_exchange.send_to_entry)

    def create_server_limit_components(self) -> None:
        """Create the components for the rate limits that servers state."""
        self.server_limits = LimitRecords(
            lambda instance: self.servers.get(instance) is not None
        )
        seeds = set(self.settings.peers) - {self.settings.listen.links}
        self.permit_owner = PermitOwner(
            self.node, self.peers, self.server_limits, self.handlers, len(seeds) + 1
        )
        self.limit_exchange = LimitExchange(
            self.peers,
            PlanRelays(self.peers),
            self.server_limits,
            self.permit_owner,
            self.handlers,
        )
        self.peers.on_entry_link.append(self.limit_exchange.send_to_entry)

    def create_placement_components(self) -> None:
        """Create the components for placement."""
        self.placement = PlacementManager(
            self.node,
            self.peers.nodes,
            lambda: placement_targets(self.holder.view),
            self.platform,
            self.platform,
            HttpOrderClient(ServerNetwork(self.dialler)),
            self.servers,
            lambda: self.is_draining or self.stop.is_set(),
            self.rng,
            self.safeguards,
        )

    def claim_form(self, service: str) -> str:
        """Return the at-most-once form of a service in the active configuration."""
        view = self.holder.view
        definition = None if view is None else view.services.get(service)
        return "" if definition is None else definition.at_most_once.form

    async def serve(self, nursery: trio.Nursery) -> None:
        """Start all tasks; return once peers, entries and operators can connect."""
        await nursery.start(self.peers.run)
        nursery.start_soon(supervise, self.server_distributor.run)
        nursery.start_soon(supervise, self.platform_watch.run)
        nursery.start_soon(supervise, self.dialler.run_rechecks)
        nursery.start_soon(supervise, self.distributor.run)
        nursery.start_soon(supervise, self.watcher.run)
        nursery.start_soon(supervise, self.objects.run)
        nursery.start_soon(supervise, self.shards.run)
        nursery.start_soon(supervise, self.standby.run)
        nursery.start_soon(supervise, self.limits.run)
        nursery.start_soon(supervise, self.ended_nodes.run)
        nursery.start_soon(supervise, self.placement.run)
        nursery.start_soon(supervise, self.crash_exchange.run)
        nursery.start_soon(supervise, self.crash_exchange.run_repeats)
        nursery.start_soon(supervise, self.crash_exchange.run_newcomers)
        nursery.start_soon(supervise, self.permit_owner.run)
        nursery.start_soon(supervise, self.limit_exchange.run)
        nursery.start_soon(supervise, self.limit_exchange.run_newcomers)
        nursery.start_soon(supervise, self.watch_own_reclaim)
        address = await nursery.start(self.server.serve, self.settings.listen.operators)
        log.info(f"serving operators at {address}, links at {self.peers.listen}")

    async def watch_own_reclaim(self) -> None:
        """Start a graceful shutdown when the instance of this node is reclaimed."""
        revision = 0
        while True:
            mark = self.servers.marks.get(self.node.name)
            if mark is not None:
                await self.drain("reclaim notice", mark.deadline_unix_s)
                return
            revision = await self.servers.wait_changed(revision)

    async def drain_entry(self, link: MessageLink) -> None:
        """Request an entry that connects during shutdown to drain too."""
        if self.is_draining:
            await self.request_drain(link, "stop of the node")

    async def request_drain(self, link: MessageLink, operator: str) -> bool:
        """Request an entry to drain; return whether it accepted."""
        request = DrainRequest(operator, self.deadline_unix_s)
        response = await link.call(request, DRAIN_TIMEOUT_S)
        accepted = isinstance(response, DrainAccepted)
        self.has_draining_entry = self.has_draining_entry or accepted
        return accepted

    def should_wait_for_entry(self) -> bool:
        """Return whether an entry may not know yet that the instance is reclaimed.

        An agent that restarts during the notice period finds the mark before its
        entry has connected, and a suspended entry responds late. If the agent exited
        then, the entry would accept requests until the instance is terminated, and
        lose them.
        """
        remaining_s = self.deadline_unix_s - self.unix_time()
        return not self.has_draining_entry and remaining_s > MIN_ENTRY_WAIT_S

    async def drain(self, operator: str, deadline_unix_s: float = 0.0) -> int:
        """Start the graceful shutdown of the node; return how many entries drain.

        Parameters
        ----------
        operator : str
            Who requested the shutdown, for the log.
        deadline_unix_s : float
            Unix time in seconds at which the instance is terminated; 0 for never.
        """
        log.info("starting graceful shutdown of the node", operator=operator)
        self.is_draining = True
        self.standby.is_stopping = True
        self.deadline_unix_s = deadline_unix_s
        draining = 0
        for link in list(self.peers.entries):
            draining += await self.request_drain(link, operator)
        self.stop.set()
        return draining

    async def end(self) -> None:
        """Hand over leases and claims, wait for the entries, and announce the leave."""
        self.standby.is_stopping = True
        with trio.move_on_after(HANDOVER_TIMEOUT_S) as scope:
            await self.hand_over()
        if scope.cancelled_caught:
            log.error("handover of leases and claims timed out")
        await self.wait_for_entries()
        await self.peers.leave()
        await self.server.close_idle()
        log.info("graceful shutdown complete")

    async def hand_over(self) -> None:
        """Hand over the placement leases and the claims."""
        await self.placement.end()
        for form in self.forms.values():
            hand_over = getattr(form, "hand_over", None)
            if hand_over is not None:
                await hand_over()

    async def wait_for_entries(self) -> None:
        """Wait for the draining entries, which still report their results."""
        timeout_s = ENTRY_STOP_TIMEOUT_S
        if self.is_draining:
            timeout_s = self.settings.limits.drain_timeout_s
        with trio.move_on_after(timeout_s):
            while self.peers.entries or self.should_wait_for_entry():
                await trio.sleep(ENTRY_CHECK_INTERVAL_S)


async def run_agent(
    settings: Settings,
    stop: trio.Event,
    network: Network,
    rng: random.Random | None = None,
    unix_time: Callable[[], float] = time.time,
    bootstrap_key: str | None = None,
    safeguards: Safeguards | None = None,
    task_status: trio.TaskStatus[Agent] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an agent until a graceful shutdown is complete.

    Parameters
    ----------
    settings : Settings
        Validated settings, with addresses for operators and links.
    stop : trio.Event
        Set to request a graceful shutdown.
    network : Network
        Accepts and opens connections.
    rng : random.Random, optional
        Seeded random generator for tests and replay.
    unix_time : callable
        Returns the Unix time in seconds.
    bootstrap_key : str, optional
        Key of the operator who creates the first version; by default the value of
        ``ROSEMARYKNOT_BOOTSTRAP_KEY`` in the environment.
    safeguards : Safeguards, optional
        Safeguards that tests may disable.
    task_status : trio.TaskStatus
        Receives the agent once it is reachable.
    """
    rng = random.SystemRandom() if rng is None else rng
    if bootstrap_key is None:
        bootstrap_key = os.environ.get(BOOTSTRAP_ENV, "")
    async with trio.open_nursery() as nursery:
        agent = Agent(
            settings, network, stop, rng, unix_time, bootstrap_key, safeguards
        )
        await agent.serve(nursery)
        task_status.started(agent)
        await stop.wait()
        await agent.end()
        nursery.cancel_scope.cancel()
    # Close the client only after all tasks ended. A task that called the platform
    # with a closed client would raise, and a graceful shutdown that had handed over
    # everything would end with a failure.
    await agent.platform.aclose()
