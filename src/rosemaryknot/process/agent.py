"""The agent process: the control plane of a node, put together."""

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
from rosemaryknot.process.limits.live_limits import LiveLimits
from rosemaryknot.process.limits.owner import LimitOwner
from rosemaryknot.process.limits.stopped_nodes import StoppedNodes
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peer_metrics import PeerMetrics
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.placement.manager import PlacementManager
from rosemaryknot.process.platform_watch import PlatformWatch
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.process.server_distributor import ServerDistributor
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.process.settings import Settings
from rosemaryknot.process.standby import StandbyKeeper
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
ENTRY_GRACE_S = 5.0
ENTRY_CHECK_S = 0.1
LAST_MOMENT_S = 0.3
DRAIN_TIMEOUT_S = 2.0
HANDOVER_TIMEOUT_S = 20.0

log = logger("agent")


class Agent:
    """The parts of one agent process.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    network : Network
        Where connections come from and go to.
    stop : trio.Event
        Asks for a planned stop.
    rng : random.Random
        For jitter and choices.
    unix_time : callable
        Seconds of the epoch.
    bootstrap_key : str
        Key of the operator who makes the first version; empty for none.
    safeguards : Safeguards, optional
        Tests may turn safeguards off.

    Attributes
    ----------
    node : Node
        This node; its incarnation is the wall time of the start.
    handlers : Handlers
        What to do with messages of entries and peers.
    peers : PeerSet
        The other nodes.
    platform : PlatformClient
        The platform's APIs.
    servers : ServerTable
        Backend servers.
    holder : ConfigurationHolder
        Configuration in force.
    forms : dict of str to ClaimForm
        Forms of at-most-once execution.
    is_draining : bool
        Whether the whole node stops, its entries too.
    deadline_unix_s : float
        When the node is taken away, as seconds of the epoch; 0 where not known.
    standby : StandbyKeeper
        Copies of model requests that other nodes relay.
    limits : LimitOwner
        Budgets of the customers' limits.
    placement : PlacementManager
        Placement leases, and the duty of those that this node holds.
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
        self.has_stopped_entry = False
        self.deadline_unix_s = 0.0
        self.add_servers()
        self.add_configuration()
        self.add_claims()
        self.add_standby()
        self.add_limits()
        self.add_placement()
        app = operators_app(self.holder, self.store, bootstrap_key)
        app.register_blueprint(StatusApi(self).blueprint())
        app.register_blueprint(ShardsApi(self.shards).blueprint())
        self.server = HttpServer(app, network)

    def add_servers(self) -> None:
        """Put the parts about backend servers together."""
        self.servers = ServerTable(self.safeguards)
        self.server_distributor = ServerDistributor(
            self.servers, self.peers, self.handlers, self.rng
        )
        self.platform_watch = PlatformWatch(
            self.platform, self.servers, self.rng, self.server_distributor.is_watcher
        )

    def add_configuration(self) -> None:
        """Put the parts about the configuration together."""
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

    def add_claims(self) -> None:
        """Put the forms of at-most-once execution together."""
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
            self.form_of,
            lambda: self.shards.maps.number,
        )

    def add_standby(self) -> None:
        """Put the parts about standby copies and the node's own reclaim together."""
        self.standby = StandbyKeeper(
            self.peers,
            self.handlers,
            lambda name: self.servers.marks.get(name) is not None,
            self.rng,
        )
        self.peers.on_entry_link.append(self.drain_entry)

    def add_limits(self) -> None:
        """Put the parts about the customers' limits together."""
        self.ended_nodes = StoppedNodes(self.peers, self.platform)
        source = LiveLimits(
            self.holder, self.peers, self.ended_nodes.is_confirmed_stopped
        )
        self.limits = LimitOwner(self.node, self.peers, source, self.handlers)

    def add_placement(self) -> None:
        """Put the parts about placement together."""
        self.placement = PlacementManager(
            self.node,
            self.peers.nodes,
            lambda: placement_targets(self.holder.view),
            self.platform,
            self.platform,
            HttpOrderClient(self.network),
            self.servers,
            lambda: self.is_draining or self.stop.is_set(),
            self.rng,
            self.safeguards,
        )

    def form_of(self, service: str) -> str:
        """Return the form of a service by the configuration in force."""
        view = self.holder.view
        known = None if view is None else view.services.get(service)
        return "" if known is None else known.at_most_once.form

    async def serve(self, nursery: trio.Nursery) -> None:
        """Start all tasks; return once peers, entries and operators can connect."""
        await nursery.start(self.peers.run)
        nursery.start_soon(self.server_distributor.run)
        nursery.start_soon(self.platform_watch.run)
        nursery.start_soon(self.distributor.run)
        nursery.start_soon(self.watcher.run)
        nursery.start_soon(self.objects.run)
        nursery.start_soon(self.shards.run)
        nursery.start_soon(self.standby.run)
        nursery.start_soon(self.limits.run)
        nursery.start_soon(self.ended_nodes.run)
        nursery.start_soon(self.placement.run)
        nursery.start_soon(self.watch_own_reclaim)
        address = await nursery.start(self.server.serve, self.settings.listen.operators)
        log.info(f"serving operators at {address}, links at {self.peers.listen}")

    async def watch_own_reclaim(self) -> None:
        """Begin the planned stop when the instance of this node is taken back."""
        revision = 0
        while True:
            mark = self.servers.marks.get(self.node.name)
            if mark is not None:
                await self.drain("reclaim notice", mark.deadline_unix_s)
                return
            revision = await self.servers.wait_changed(revision)

    async def drain_entry(self, link: MessageLink) -> None:
        """Ask an entry that connects while the node stops to stop too."""
        if self.is_draining:
            await self.ask_to_drain(link, "stop of the node")

    async def ask_to_drain(self, link: MessageLink, operator: str) -> bool:
        """Ask an entry to stop; tell whether it does."""
        asked = DrainRequest(operator, self.deadline_unix_s)
        answer = await link.call(asked, DRAIN_TIMEOUT_S)
        accepted = isinstance(answer, DrainAccepted)
        self.has_stopped_entry = self.has_stopped_entry or accepted
        return accepted

    def awaits_entry(self) -> bool:
        """Tell whether an entry of a node that is taken away may not know it yet.

        An agent that restarts during the notice finds the mark before its entry has
        linked up, and a frozen entry answers late. If the agent ended then, the entry
        would go on accepting work until the node is gone, and lose it.
        """
        left_s = self.deadline_unix_s - self.unix_time()
        return not self.has_stopped_entry and left_s > LAST_MOMENT_S

    async def drain(self, operator: str, deadline_unix_s: float = 0.0) -> int:
        """Begin the planned stop of the whole node; return how many entries stop.

        Parameters
        ----------
        operator : str
            Who asked, for the log.
        deadline_unix_s : float
            When the node is taken away, as seconds of the epoch; 0 where it is not.
        """
        log.info("planned stop of the node", operator=operator)
        self.is_draining = True
        self.standby.is_stopping = True
        self.deadline_unix_s = deadline_unix_s
        stopping = 0
        for link in list(self.peers.entries):
            stopping += await self.ask_to_drain(link, operator)
        self.stop.set()
        return stopping

    async def end(self) -> None:
        """Hand over what only this node holds, and say goodbye."""
        self.standby.is_stopping = True
        with trio.move_on_after(HANDOVER_TIMEOUT_S) as scope:
            await self.hand_over()
        if scope.cancelled_caught:
            log.error("not all was handed over")
        await self.wait_entries()
        await self.peers.leave()
        await self.server.close_idle()
        log.info("planned stop is over")

    async def hand_over(self) -> None:
        """Hand over the placement leases and what the forms of claims own."""
        await self.placement.end()
        for form in self.forms.values():
            hand_over = getattr(form, "hand_over", None)
            if hand_over is not None:
                await hand_over()

    async def wait_entries(self) -> None:
        """Wait for the entries that stop too: they still report their results."""
        bound_s = ENTRY_GRACE_S
        if self.is_draining:
            bound_s = self.settings.limits.drain_timeout_s
        with trio.move_on_after(bound_s):
            while self.peers.entries or self.awaits_entry():
                await trio.sleep(ENTRY_CHECK_S)


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
    """Run an agent until a planned stop is over.

    Parameters
    ----------
    settings : Settings
        Checked settings, with addresses for operators and links.
    stop : trio.Event
        Asks for a planned stop.
    network : Network
        Where connections come from and go to.
    rng : random.Random, optional
        A seeded one in tests and replay.
    unix_time : callable
        Seconds of the epoch.
    bootstrap_key : str, optional
        Key of the operator who makes the first version; by default the value of
        ``ROSEMARYKNOT_BOOTSTRAP_KEY`` in the environment.
    safeguards : Safeguards, optional
        Tests may turn safeguards off.
    task_status : trio.TaskStatus
        Told the agent once it can be reached.
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
    # Only now: a task that still asks the platform with a closed client would raise,
    # and a planned stop that handed everything over would end with a failure.
    await agent.platform.aclose()
