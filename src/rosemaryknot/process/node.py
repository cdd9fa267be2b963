"""A gateway node: all its parts as tasks of one process."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import trio

from rosemaryknot.connection.gateway_listener import GatewayListener
from rosemaryknot.connection.gateway_server import ServerPool
from rosemaryknot.connection.links import Handlers
from rosemaryknot.connection.network import Network
from rosemaryknot.connection.owed_answers import OWED
from rosemaryknot.connection.pages import Page, PageServer
from rosemaryknot.process.attempt_budget import AttemptBudget
from rosemaryknot.process.change_spread import ChangeSpread
from rosemaryknot.process.duty_components import DutyComponents
from rosemaryknot.process.exchange_components import Demand, ExchangeComponents
from rosemaryknot.process.gateway_configurations import GatewayConfigurations
from rosemaryknot.process.gateway_exchange import GatewayExchange
from rosemaryknot.process.gateway_quota import QuotaTracker
from rosemaryknot.process.gateway_state import GatewayState
from rosemaryknot.process.leases import Lease, lease_candidates
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import render_metrics
from rosemaryknot.process.node_settings import Bounds, NodeSettings
from rosemaryknot.process.peer_metrics import PeerMetrics
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.planned_stop import NodeStop
from rosemaryknot.process.scaling_duty import ScalingDuty
from rosemaryknot.process.settings_watch import watch_settings
from rosemaryknot.process.store_follower import StoreFollower
from rosemaryknot.process.suspension import Suspension
from rosemaryknot.process.true_time import TrueTime
from rosemaryknot.process.usage_duty import STORED_USAGE_RECORD, UsageDuty
from rosemaryknot.process.usage_tracker import UsageTracker
from rosemaryknot.request.gateway import Gateway, GatewayComponents
from rosemaryknot.values.duties import DutyCalls
from rosemaryknot.values.gateway_answers import GatewayWire
from rosemaryknot.values.nodes import Node

__all__ = ["Adapter", "GatewayNode", "run_node"]

# The links run between our own machines, on ports that nobody else reaches; the key
# only keeps a node of another deployment away. See docs/design/platform.md.
LINK_KEY = b"rosemaryknot-gateway-links"
LEASE_NAME = "gateway-duties"
LEASE_MARGIN_S = 0.4
# Of the time in which a duty must not go to and fro. A shorter lease is renewed more
# often and changes hands sooner: at two thirds, within three seconds of a kill.
LEASE_SHARE = 0.67
# An entry that lapsed while the store was away is written again within two seconds of
# its return, if its server lives; what is still missing then is gone.
RETURN_S = 2.0
DRAIN_USED = 0.85
TIDY_S = 0.5
# Descriptors that are not for callers: backend servers, store, peers, files.
OTHER_FILES = 600
READY = 200
NOT_READY = 503

log = logger("node")


@dataclass(slots=True)
class Adapter:
    """How the platform is spoken to.

    Attributes
    ----------
    wire : GatewayWire
        Headers of requests and answers.
    store : object
        The store; see `rosemaryknot.values.store_changes.ChangeSource` and
        `rosemaryknot.values.platform.ObjectStore`.
    duties : DutyCalls or None
        Calls for duties.
    decode_configuration, decode_server : callable
        Decode objects of the store.
    configuration_kind, configuration_name, servers_kind : str
        Where these objects are.
    readiness_path : str
        What the balancer asks for.
    """

    wire: GatewayWire
    store: Any
    duties: DutyCalls | None
    decode_configuration: Callable
    decode_server: Callable
    configuration_kind: str
    configuration_name: str
    servers_kind: str
    readiness_path: str


class GatewayNode:
    """The parts of one node.

    Parameters
    ----------
    settings : NodeSettings
        Checked settings.
    adapter : Adapter
        The platform.
    network : Network
        Where connections come from and go to.
    rng : random.Random
        Jitter and draws.
    clock : TrueTime, optional
        Another one in tests.
    """

    def __init__(
        self,
        settings: NodeSettings,
        adapter: Adapter,
        network: Network,
        rng: random.Random,
        clock: TrueTime | None = None,
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.network = network
        self.rng = rng
        self.clock = TrueTime() if clock is None else clock
        # From when it was started, so that a later life of the node is known as such.
        incarnation = int(self.clock.wall() * 1000)
        self.node = Node(settings.node, settings.zone, incarnation)
        self.state = GatewayState(
            adapter.decode_configuration,
            adapter.decode_server,
            adapter.configuration_name,
        )
        self.pool = ServerPool(network)
        self.demand = Demand()
        bounds = settings.bounds
        self.quota = QuotaTracker(bounds.limit_window_s, settings.is_first_start, rng)
        self.usage = UsageTracker(
            self.node.name, self.node.incarnation, bounds.usage_window_s
        )
        handlers = Handlers()
        self.peers = PeerSet(
            network,
            self.node,
            settings.listen.peers,
            LINK_KEY,
            settings.seeds,
            handlers,
            rng=rng,
        )
        self.peer_metrics = PeerMetrics(self.peers)
        self.budget = AttemptBudget(
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.retry_slack,
            lambda: len(self.peers.nodes()) + 1,
        )
        self.followers = self.make_followers()
        self.configurations = GatewayConfigurations(
            self.peers, self.state, self.followers["configuration"], handlers
        )
        self.exchange = GatewayExchange(
            ExchangeComponents(
                self.node,
                self.peers,
                self.state,
                self.quota,
                self.usage,
                self.clock,
                self.followers,
                self.demand,
                self.configurations,
                adapter.store,
            ),
            handlers,
            rng,
            LEASE_NAME,
        )
        self.spread = ChangeSpread(
            self.node,
            self.peers,
            self.followers,
            self.exchange,
            self.configurations,
            handlers,
        )
        self.gateway = Gateway(self.gateway_components())
        self.listener = GatewayListener(
            network,
            adapter.wire,
            self.gateway.handle,
            self.gateway.refuse_by_head,
            self.state.limits,
            max(100, settings.machine.files - OTHER_FILES),
            self.state.wait_known,
        )
        self.lease = self.make_lease()
        self.take_bounds(settings.bounds)
        self.exchange.hubs.holds_lease = self.lease.is_held

    def make_followers(self) -> dict[str, StoreFollower]:
        """Return what follows the configuration and the servers."""
        adapter, state = self.adapter, self.state
        return {
            "configuration": StoreFollower(
                adapter.store,
                adapter.configuration_kind,
                state.list_configuration,
                state.change_configuration,
                self.rng,
                is_single=True,
            ),
            "servers": StoreFollower(
                adapter.store,
                adapter.servers_kind,
                state.list_servers,
                state.change_server,
                self.rng,
            ),
        }

    def gateway_components(self) -> GatewayComponents:
        """Return what requests are answered with."""

        def acquire_quota(limit: Any, units: float) -> float:
            return self.quota.acquire(limit, units, trio.current_time())

        def release_quota(limit: Any, units: float) -> None:
            self.quota.release(limit, units, trio.current_time())

        return GatewayComponents(
            zone=self.settings.zone,
            wire=self.adapter.wire,
            configuration=lambda: self.state.configuration,
            newest_version=lambda: self.state.newest_version,
            is_behind=self.state.is_behind,
            servers=self.state.servers,
            pool=self.pool,
            acquire_quota=acquire_quota,
            release_quota=release_quota,
            explain_quota=self.quota.explain,
            may_retry=lambda name: self.budget.acquire(name, trio.current_time()),
            record_request=lambda name: self.budget.record_request(
                name, trio.current_time()
            ),
            record_run=lambda name: self.usage.record(name, self.clock.now()),
            record_work=self.demand.record,
            stop=lambda: self.listener.state.stop,
            is_alone=self.is_alone_in_zone,
            rng=self.rng,
        )

    def make_lease(self) -> Lease:
        """Return this node's view of the duties' lease."""
        return Lease(
            self.adapter.store,
            LEASE_NAME,
            f"{self.node.name}/{self.node.incarnation}",
            self.is_candidate,
            self.rng,
            margin_s=LEASE_MARGIN_S,
            suspended_s=Suspension().passed_s,
            fresh_notes=self.kept_usage,
            is_heard=self.is_holder_heard,
            is_first_start=self.settings.is_first_start,
        )

    def take_bounds(self, bounds: Bounds) -> None:
        """Go by bounds, at the start and when the settings have changed.

        A usage window that is under way keeps its length: counted by another one, a
        window would be told twice with different counts.
        """
        self.settings.bounds = bounds
        # A deletion may be a lapse of an outage, or the word of leaving: it must be
        # heeded well before work has to have stopped.
        drained_s = bounds.drain_ms / 1000 * DRAIN_USED
        self.state.servers.missing_timeout_s = min(RETURN_S, drained_s)
        self.lease.least_s = bounds.lease_ms / 1000
        self.lease.duration_s = LEASE_SHARE * bounds.lease_ms / 1000
        self.quota.window_s = bounds.limit_window_s
        self.budget.ratio = bounds.retry_ratio
        self.budget.window_s = bounds.retry_window_s
        self.budget.slack = bounds.retry_slack

    def is_holder_heard(self, holder: str) -> bool:
        """Tell whether the node of a lease's holder was heard just now."""
        name = holder.partition("/")[0]
        return any(r.node == name for r in self.exchange.current_reports())

    def kept_usage(self, notes: dict[str, Any]) -> dict[str, Any]:
        """Return the usage that is kept in the store, with what stands there."""
        self.usage.restore(notes.get(STORED_USAGE_RECORD, {}))
        return {STORED_USAGE_RECORD: self.usage.to_store(self.clock.now())}

    def is_candidate(self) -> bool:
        """Tell whether this node should take the duties where nobody does them."""
        if self.is_stopping() or not self.state.is_known():
            return False
        nodes = [*self.peers.nodes(), self.node]
        return self.node in lease_candidates(nodes, LEASE_NAME)

    def is_alone_in_zone(self) -> bool:
        """Tell whether no other node of the zone is known."""
        return all(node.zone != self.node.zone for node in self.peers.nodes())

    def is_stopping(self) -> bool:
        """Tell whether a planned stop goes on."""
        return self.listener.state.stop is not None

    def is_ready(self) -> bool:
        """Tell whether this node should get new connections."""
        return self.state.is_known() and not self.is_stopping()

    async def serve(self, nursery: trio.Nursery) -> None:
        """Start all tasks."""
        start_soon = nursery.start_soon
        listen = self.settings.listen
        await nursery.start(self.peers.run)
        await nursery.start(self.serve_pages, listen.readiness)
        if self.settings.metrics_address != listen.readiness:
            await nursery.start(self.serve_pages, self.settings.metrics_address)
        await nursery.start(self.listener.run, listen.callers)
        for follower in self.followers.values():
            start_soon(follower.run)
        start_soon(self.spread.run)
        start_soon(self.configurations.run)
        start_soon(self.exchange.run)
        start_soon(self.exchange.run_loads)
        start_soon(self.clean_up)
        if self.adapter.duties is not None:
            self.start_duties(nursery)
        log.info(
            "started",
            node=self.node.name,
            zone=self.node.zone,
            incarnation=self.node.incarnation,
            callers=str(listen.callers),
            first_start=self.settings.is_first_start,
        )

    def start_duties(self, nursery: trio.Nursery) -> None:
        """Start what is done under the lease."""
        parts = DutyComponents(
            self.lease,
            self.adapter.duties,
            self.state,
            self.usage,
            self.clock,
            self.exchange,
        )
        nursery.start_soon(self.lease.run)
        duties = self.settings.cloud.duties
        delay_s = self.settings.bounds.usage_delay_s
        if "usage" in duties:
            nursery.start_soon(UsageDuty(parts, delay_s).run)
        if "scaling" in duties:
            nursery.start_soon(ScalingDuty(parts, self.rng).run)

    async def serve_pages(
        self, address: Any, task_status: Any = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve readiness and metrics."""
        pages = {
            self.adapter.readiness_path: self.readiness_page,
            "/metrics": self.metrics_page,
        }
        await PageServer(self.network, pages).run(address, task_status=task_status)

    def readiness_page(self) -> Page:
        """Return what the balancer is told."""
        return Page(READY if self.is_ready() else NOT_READY)

    def metrics_page(self) -> Page:
        """Return what the collector is told."""
        OWED.set(len(self.listener.state.owed.all))
        self.peer_metrics.update()
        body, content_type = render_metrics()
        return Page(READY, body, content_type)

    async def clean_up(self) -> None:
        """Close what is idle or gone, for ever."""
        while True:
            await trio.sleep(TIDY_S)
            for life in self.state.servers.pop_replaced():
                self.pool.note_over(life)
            await self.pool.clean_up()
            for life in self.state.servers.clean_up():
                await self.pool.close_all(life)

    async def end(self) -> None:
        """End a planned stop: what was read is answered first."""
        stop = NodeStop(
            self.listener.state,
            self.gateway,
            self.lease,
            self.peers,
            Suspension().passed_s,
        )
        await stop.run(self.settings.bounds.grace_s)


async def run_node(
    settings: NodeSettings,
    path: Path | None,
    make_adapter: Callable[[NodeSettings, Network], Adapter],
    stop: trio.Event,
    network: Network,
    rng: random.Random | None = None,
    clock: TrueTime | None = None,
    task_status: trio.TaskStatus[GatewayNode] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a node until a planned stop is over.

    Parameters
    ----------
    settings : NodeSettings
        Checked settings.
    path : pathlib.Path or None
        Their file, which is read again when it changes.
    make_adapter : callable
        Makes the adapter of the platform.
    stop : trio.Event
        Asks for a planned stop.
    network : Network
        Where connections come from and go to.
    rng : random.Random, optional
        A seeded one in tests.
    clock : TrueTime, optional
        Another one in tests.
    task_status : trio.TaskStatus
        Told the node once it serves.
    """
    rng = random.Random() if rng is None else rng
    adapter = make_adapter(settings, network)
    node = GatewayNode(settings, adapter, network, rng, clock)
    async with trio.open_nursery() as nursery:
        await node.serve(nursery)
        if path is not None:
            nursery.start_soon(watch_settings, node, path)
        task_status.started(node)
        await stop.wait()
        await node.end()
        nursery.cancel_scope.cancel()
