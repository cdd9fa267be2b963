"""A gateway node: all of its components, run as tasks of one process."""

import math
import random
from collections.abc import Callable, Collection
from functools import partial
from pathlib import Path
from typing import Any

import trio

from rosemaryknot.connection.accept_gate import AcceptGate
from rosemaryknot.connection.body_budget import BodyBudget
from rosemaryknot.connection.gateway_listener import GatewayListener
from rosemaryknot.connection.gateway_server import ServerPool
from rosemaryknot.connection.links import Handlers
from rosemaryknot.connection.network import Network
from rosemaryknot.connection.pages import Page, PageServer
from rosemaryknot.connection.path_monitor import PathMonitor
from rosemaryknot.connection.pending_responses import PENDING_RESPONSES
from rosemaryknot.connection.relay_client import RelayPeers
from rosemaryknot.connection.server_dialler import ServerDialler
from rosemaryknot.connection.server_relay import ServerRelay
from rosemaryknot.process.activity_log import ActivityLog
from rosemaryknot.process.attempt_budget import AttemptBudget
from rosemaryknot.process.availability_exchange import AvailabilityExchange
from rosemaryknot.process.background_tasks import supervise
from rosemaryknot.process.caller_memory import CallerMemory
from rosemaryknot.process.change_distributor import ChangeDistributor
from rosemaryknot.process.configuration_distributor import select_nodes
from rosemaryknot.process.crash_detector import CrashDetector
from rosemaryknot.process.crash_exchange import CrashExchange
from rosemaryknot.process.crash_records import CrashRecords
from rosemaryknot.process.crash_store import CrashStore
from rosemaryknot.process.duty_components import DutyComponents
from rosemaryknot.process.era_check import EraCheck
from rosemaryknot.process.exchange_components import Demand, ExchangeComponents
from rosemaryknot.process.gateway_configurations import GatewayConfigurations
from rosemaryknot.process.gateway_exchange import GatewayExchange
from rosemaryknot.process.gateway_quota import QuotaTracker
from rosemaryknot.process.gateway_state import GatewayState
from rosemaryknot.process.graceful_shutdown import GracefulShutdown
from rosemaryknot.process.leases import Lease, lease_candidates
from rosemaryknot.process.logs import logger
from rosemaryknot.process.loop_delay import LoopDelay
from rosemaryknot.process.metrics import render_metrics
from rosemaryknot.process.node_settings import Bounds, NodeSettings
from rosemaryknot.process.origin_exchange import OriginExchange
from rosemaryknot.process.origin_records import OriginRecords
from rosemaryknot.process.peer_metrics import PeerMetrics
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.platform_adapter import Adapter
from rosemaryknot.process.scaling_duty import ScalingDuty
from rosemaryknot.process.server_limits.exchange import LimitExchange
from rosemaryknot.process.server_limits.owner import PermitOwner
from rosemaryknot.process.server_limits.records import LimitRecords
from rosemaryknot.process.server_paths import ServerPaths
from rosemaryknot.process.settings_watch import watch_settings
from rosemaryknot.process.store_watcher import StoreWatcher
from rosemaryknot.process.suspension import Suspension
from rosemaryknot.process.synchronized_clock import SynchronizedClock
from rosemaryknot.process.usage_duty import (
    FIRST_UNREPORTED,
    STORED_USAGE_RECORD,
    UsageDuty,
    first_certain_window,
    noted_window,
)
from rosemaryknot.process.usage_tracker import UsageTracker
from rosemaryknot.request.crash_guard import CrashGuard
from rosemaryknot.request.gateway import Gateway, GatewayComponents
from rosemaryknot.request.held_responses import HeldResponses
from rosemaryknot.request.limit_guard import LimitGuard
from rosemaryknot.request.origin_guard import OriginGuard
from rosemaryknot.request.permit_client import PermitClient
from rosemaryknot.request.retry_guard import RetryGuard
from rosemaryknot.values.nodes import Node

__all__ = ["GatewayNode", "run_node"]

# Links connect only machines of the deployment, on ports that nobody else can reach.
# The key only rejects nodes of another deployment. See docs/design/platform.md.
LINK_KEY = b"rosemaryknot-gateway-links"
LEASE_NAME = "gateway-duties"
LEASE_MARGIN_S = 0.4
# Share of the time in which a duty must not move to another node and back. A shorter
# lease is renewed more often and taken over sooner: with two thirds, within three
# seconds after its holder is killed.
LEASE_DURATION_SHARE = 0.67
# An entry that expired while the store was unreachable is written again within two
# seconds after the store is back, if its server is alive. A server whose entry is still
# missing then is removed.
MISSING_ENTRY_TIMEOUT_S = 2.0
MAX_DRAIN_SHARE = 0.85
CLEANUP_INTERVAL_S = 0.5
# File descriptors reserved for other uses than callers: servers, store, peers, files.
RESERVED_FILES = 600
# Those of them that connections to servers may not use either.
OTHER_FILES = 300
# Connections that callers, and servers, may have whatever the machine has.
MIN_CONNECTIONS = 100
BYTES_PER_MB = 1 << 20
READY_STATUS = 200
NOT_READY_STATUS = 503

log = logger("node")


class GatewayNode:
    """The components of one node.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    adapter : Adapter
        Interface to the platform.
    network : Network
        Network for incoming and outgoing connections.
    rng : random.Random
        For jitter and sampling.
    clock : SynchronizedClock, optional
        Replacement for tests.
    """

    def __init__(
        self,
        settings: NodeSettings,
        adapter: Adapter,
        network: Network,
        rng: random.Random,
        clock: SynchronizedClock | None = None,
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.network = network
        self.rng = rng
        self.clock = SynchronizedClock() if clock is None else clock
        # The start time, so that a later incarnation of the node is recognized.
        incarnation = int(self.clock.wall_clock() * 1000)
        capacity = settings.machine.capacity
        self.node = Node(settings.node, settings.zone, incarnation, capacity)
        self.state = GatewayState(
            adapter.decode_configuration,
            adapter.decode_server,
            adapter.configuration_name,
        )
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
        self.create_path_components()
        self.budget = AttemptBudget(
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.retry_slack,
            lambda: len(self.peers.nodes()) + 1,
            -math.inf if settings.is_first_start else trio.current_time(),
        )
        self.watchers = self.make_watchers()
        for watcher in self.watchers.values():
            adapter.store.eras.on_changed.append(watcher.record_era)
        self.configurations = GatewayConfigurations(
            self.peers, self.state, self.watchers["configuration"], handlers
        )
        self.exchange = GatewayExchange(
            ExchangeComponents(
                self.node,
                self.peers,
                self.state,
                self.quota,
                self.usage,
                self.clock,
                self.watchers,
                self.demand,
                self.configurations,
                adapter.store,
            ),
            handlers,
            rng,
            LEASE_NAME,
        )
        self.change_distributor = ChangeDistributor(
            self.node,
            self.peers,
            self.watchers,
            self.exchange,
            self.configurations,
            handlers,
        )
        self.era_check = EraCheck(
            adapter.store, adapter.store.eras, self.is_era_checker, rng
        )
        self.crash_records = CrashRecords()
        self.crash_detector = CrashDetector(
            self.dialler.check, self.dialler.accepts, self.crash_records
        )
        self.crash_exchange = CrashExchange(
            self.node,
            self.peers,
            self.exchange.hubs,
            self.crash_records,
            handlers,
            rng,
        )
        self.crash_detector.on_recorded = self.crash_exchange.enqueue
        self.crash_store = CrashStore(
            adapter.store,
            self.crash_records,
            self.crash_exchange,
            self.change_distributor.watching,
            lambda: bool(self.peers.suspected()),
            self.node.name,
            rng,
        )
        adapter.store.eras.on_changed.append(self.crash_store.record_era)
        self.watchers["servers"].on_era_adopted = self.crash_store.record_era
        self.crash_detector.on_crashed = self.crash_store.request_read
        self.create_limit_components(handlers)
        self.availability = AvailabilityExchange(
            self.peers, self.exchange.hubs, self.state.servers, handlers, rng
        )
        self.crash_records.segments.has_available = self.has_available
        self.create_origin_components(handlers)
        memory_bytes = settings.machine.memory_mb * BYTES_PER_MB
        self.memory = CallerMemory(memory_bytes)
        self.gateway = Gateway(self.gateway_components())
        self.crash_store.on_segment_refused = self.gateway.abort_refused
        self.loop_delay = LoopDelay()
        self.activity_log = ActivityLog(
            self.peers, self.exchange.hubs, self.watchers, self.loop_delay
        )
        self.listener = GatewayListener(
            network,
            adapter.wire,
            self.gateway.handle,
            self.gateway.refuse_by_head,
            self.gateway.check_head,
            self.state.limits,
            self.max_callers,
            self.state.wait_known,
            AcceptGate(self.loop_delay),
            BodyBudget(memory_bytes, rng, self.memory),
        )
        self.pool.max_open = self.max_server_connections
        self.lease = self.make_lease()
        self.apply_bounds(settings.bounds)
        self.exchange.hubs.holds_lease = self.lease.is_held

    def max_callers(self) -> int:
        """Return how many connections callers may have open."""
        files = self.settings.machine.files
        shared = files - OTHER_FILES - self.pool.open_count
        return max(MIN_CONNECTIONS, min(files - RESERVED_FILES, shared))

    def max_server_connections(self) -> int:
        """Return how many connections to servers may be open."""
        shared = self.settings.machine.files - OTHER_FILES - self.listener.state.open
        return max(MIN_CONNECTIONS, shared)

    def create_limit_components(self, handlers: Handlers) -> None:
        """Create the components for the rate limits that servers state."""
        servers = self.state.servers
        self.server_limits = LimitRecords(servers.has_incarnation)
        other_seeds = set(self.settings.seeds) - {self.settings.listen.peers}
        self.permit_owner = PermitOwner(
            self.node,
            self.peers,
            self.server_limits,
            handlers,
            len(other_seeds) + 1,
            servers.in_flight,
        )
        self.limit_exchange = LimitExchange(
            self.peers,
            self.exchange.hubs,
            self.server_limits,
            self.permit_owner,
            handlers,
        )

    def create_origin_components(self, handlers: Handlers) -> None:
        """Create the components that keep streams at the version that began them."""
        versions = self.state.servers.versions
        watcher = self.watchers["servers"]
        versions.entries_current_since_s = watcher.current_since_s
        versions.entries_known_at_s = lambda: watcher.known_at_s
        versions.entries_witnessed_s = self.entries_witnessed_s
        versions.unix_time = self.clock.now
        self.origin_exchange = OriginExchange(
            self.node, self.peers, OriginRecords(), handlers
        )

    def entries_witnessed_s(self) -> float:
        """Return when something showed that this node misses no entry, in trio time.

        A node without others has only its calls to the store.
        """
        if not self.peers.nodes():
            return trio.current_time()
        return self.watchers["servers"].witnessed_s()

    def create_path_components(self) -> None:
        """Create the components that open connections to servers."""
        servers = self.state.servers
        paths = ServerPaths(self.node.zone, self.rng)
        peers = RelayPeers(
            self.peers.nodes,
            self.peers.address_of,
            LINK_KEY,
            self.peers.dialler.relay_hello,
        )
        self.dialler = ServerDialler(
            self.network, paths, peers, servers.addresses, self.rng
        )
        self.pool = ServerPool(self.dialler)
        self.path_monitor = PathMonitor(self.pool, self.dialler)
        self.relay = ServerRelay(
            self.network, paths, servers.may_relay, self.dialler.reaches_others
        )
        self.peers.on_relay = self.relay.serve

    def make_watchers(self) -> dict[str, StoreWatcher]:
        """Return the watchers of the configuration and the servers."""
        adapter, state = self.adapter, self.state
        return {
            "configuration": StoreWatcher(
                adapter.store,
                adapter.configuration_kind,
                state.list_configuration,
                state.change_configuration,
                self.rng,
                is_single=True,
            ),
            "servers": StoreWatcher(
                adapter.store,
                adapter.servers_kind,
                state.list_servers,
                state.change_server,
                self.rng,
            ),
        }

    def gateway_components(self) -> GatewayComponents:
        """Return the components that handle requests."""

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
            crashes=CrashGuard(
                self.crash_records,
                self.crash_detector,
                self.crash_store.clear,
                self.is_trial_node,
                self.crash_store.record_trial,
                self.crash_store.clear_segment,
            ),
            limits=LimitGuard(
                PermitClient(
                    self.node.name,
                    self.server_limits,
                    self.permit_owner.acquire,
                    self.rng,
                ),
                self.limit_exchange.publish,
                self.limit_exchange.report,
                self.limit_exchange.give_back,
            ),
            held=HeldResponses(self.memory),
            origins=OriginGuard(
                f"{self.node.name}/{self.node.incarnation}",
                self.state.servers,
                self.origin_exchange,
                self.watchers["servers"].confirm,
            ),
            acquire_quota=acquire_quota,
            release_quota=release_quota,
            explain_quota=self.quota.explain,
            retries=RetryGuard(self.budget),
            record_run=lambda name: self.usage.record(name, self.clock.now()),
            record_drain=self.availability.record_drain,
            record_pause=self.availability.record_pause,
            record_work=self.demand.record,
            stop=lambda: self.listener.state.stop,
            is_alone=self.is_alone_in_zone,
            rng=self.rng,
        )

    def make_lease(self) -> Lease:
        """Return this node's view of the lease of the duties."""
        return Lease(
            self.adapter.store,
            LEASE_NAME,
            f"{self.node.name}/{self.node.incarnation}",
            self.is_candidate,
            self.rng,
            margin_s=LEASE_MARGIN_S,
            suspended_s=Suspension().elapsed_s,
            current_notes=self.stored_usage,
            is_reporting=self.is_holder_reporting,
            is_first_start=self.settings.is_first_start,
            first_store_era=lambda: self.adapter.store.eras.first,
        )

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply bounds, at the start and when the settings have changed.

        The current usage window keeps its length. If it changed, a window would be
        reported twice with different counts.
        """
        self.settings.bounds = bounds
        # A deleted entry may have expired in an outage, or announce that the server is
        # draining: it must take effect well before the server stops its work.
        max_timeout_s = bounds.drain_ms / 1000 * MAX_DRAIN_SHARE
        self.state.servers.missing_timeout_s = min(
            MISSING_ENTRY_TIMEOUT_S, max_timeout_s
        )
        self.lease.reacquire_delay_s = bounds.lease_ms / 1000
        self.lease.duration_s = LEASE_DURATION_SHARE * bounds.lease_ms / 1000
        self.quota.window_s = bounds.limit_window_s
        self.budget.set_bounds(
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.retry_slack,
            trio.current_time(),
        )

    def is_holder_reporting(self, holder: str) -> bool:
        """Return whether the node of a lease's holder has reported recently."""
        name = holder.partition("/")[0]
        return any(r.node == name for r in self.exchange.current_reports())

    def stored_usage(self, notes: dict[str, Any]) -> dict[str, Any]:
        """Return the usage to keep in the store, merged with what it holds."""
        self.usage.restore(notes.get(STORED_USAGE_RECORD, {}))
        now_s = self.clock.now()
        stored: dict[str, Any] = {STORED_USAGE_RECORD: self.usage.to_store(now_s)}
        if self.lease.is_recovering:
            window = first_certain_window(self.usage, now_s)
            stored[FIRST_UNREPORTED] = max(window, noted_window(notes))
        return stored

    def is_candidate(self) -> bool:
        """Return whether this node should acquire the lease when nobody holds it."""
        # Duties need all servers: with a part of them, more would be ordered.
        is_complete = self.state.is_known() and self.state.servers.is_listed
        if self.is_stopping() or not is_complete:
            return False
        nodes = [*self.peers.nodes(), self.node]
        return self.node in lease_candidates(nodes, LEASE_NAME)

    def is_trial_node(self, digest: bytes) -> bool:
        """Return whether this node makes the trial of a refused request."""
        nodes = [*self.peers.nodes(), self.node]
        return self.node in select_nodes(nodes, digest.hex(), 1)

    def has_available(self, service: str, crashed: Collection[str]) -> bool:
        """Return whether a server of a service could run a request now."""
        excluded = self.server_limits.limited.union(crashed)
        return self.state.servers.has_available(service, excluded)

    def is_era_checker(self) -> bool:
        """Return whether this node is the first that watches and reaches the store."""
        names = self.exchange.watching("configuration")
        if not self.watchers["configuration"].is_unreachable():
            names.add(self.node.name)
        names &= self.change_distributor.watching()
        return self.node.name == min(names, default=self.node.name)

    def is_alone_in_zone(self) -> bool:
        """Return whether no other node of the zone is known."""
        return all(node.zone != self.node.zone for node in self.peers.nodes())

    def is_stopping(self) -> bool:
        """Return whether a graceful shutdown is in progress."""
        return self.listener.state.stop is not None

    def is_ready(self) -> bool:
        """Return whether this node should get new connections."""
        return self.state.is_known() and not self.is_stopping()

    async def serve(self, nursery: trio.Nursery) -> None:
        """Start all tasks."""
        start_soon = partial(nursery.start_soon, supervise)
        listen = self.settings.listen
        await nursery.start(self.peers.run)
        await nursery.start(self.serve_pages, listen.readiness)
        if self.settings.metrics_address != listen.readiness:
            await nursery.start(self.serve_pages, self.settings.metrics_address)
        await nursery.start(self.listener.run, listen.callers)
        start_soon(self.loop_delay.run)
        start_soon(self.activity_log.run)
        for watcher in self.watchers.values():
            start_soon(watcher.run)
        start_soon(self.change_distributor.run)
        start_soon(self.era_check.run)
        start_soon(self.configurations.run)
        start_soon(self.exchange.run)
        start_soon(self.exchange.run_loads)
        start_soon(self.path_monitor.run)
        start_soon(self.dialler.run_rechecks)
        start_soon(self.crash_detector.run)
        start_soon(self.crash_exchange.run)
        start_soon(self.crash_exchange.run_repeats)
        start_soon(self.crash_exchange.run_newcomers)
        start_soon(self.crash_store.run)
        await nursery.start(self.origin_exchange.run)
        start_soon(self.permit_owner.run)
        start_soon(self.limit_exchange.run)
        start_soon(self.limit_exchange.run_newcomers)
        start_soon(self.gateway.pauses.run)
        start_soon(self.availability.run)
        start_soon(self.availability.run_newcomers)
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
        """Start the lease and the duties, which only its holder performs."""
        components = DutyComponents(
            self.lease,
            self.adapter.duties,
            self.state,
            self.usage,
            self.clock,
            self.exchange,
        )
        start_soon = partial(nursery.start_soon, supervise)
        start_soon(self.lease.run)
        duties = self.settings.cloud.duties
        delay_s = self.settings.bounds.usage_delay_s
        if "usage" in duties:
            start_soon(UsageDuty(components, delay_s).run)
        if "scaling" in duties:
            start_soon(ScalingDuty(components, self.rng).run)

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
        """Return the response to a probe of the load balancer."""
        return Page(READY_STATUS if self.is_ready() else NOT_READY_STATUS)

    def metrics_page(self) -> Page:
        """Return the response to the metrics collector."""
        PENDING_RESPONSES.set(len(self.listener.state.pending.all))
        self.peer_metrics.update()
        body, content_type = render_metrics()
        return Page(READY_STATUS, body, content_type)

    async def clean_up(self) -> None:
        """Close idle connections and those to removed servers periodically."""
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            for incarnation in self.state.servers.pop_replaced():
                self.pool.record_replaced(incarnation)
            await self.pool.clean_up()
            for incarnation in self.state.servers.clean_up():
                await self.pool.close_all(incarnation)

    async def shut_down(self) -> None:
        """Shut down gracefully, responding to requests that were read first."""
        shutdown = GracefulShutdown(
            self.listener.state,
            self.gateway,
            self.lease,
            self.peers,
            self.relay,
            self.origin_exchange,
            Suspension().elapsed_s,
        )
        await shutdown.run(self.settings.bounds.grace_s)


async def run_node(
    settings: NodeSettings,
    path: Path | None,
    make_adapter: Callable[[NodeSettings, Network], Adapter],
    stop: trio.Event,
    network: Network,
    rng: random.Random | None = None,
    clock: SynchronizedClock | None = None,
    task_status: trio.TaskStatus[GatewayNode] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a node until its graceful shutdown is complete.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    path : pathlib.Path or None
        File of the settings, which is read again when it changes.
    make_adapter : callable
        Makes the adapter of the platform.
    stop : trio.Event
        Set to request a graceful shutdown.
    network : Network
        Network for incoming and outgoing connections.
    rng : random.Random, optional
        Seeded generator for tests.
    clock : SynchronizedClock, optional
        Replacement for tests.
    task_status : trio.TaskStatus
        Receives the node once it serves.
    """
    rng = random.Random() if rng is None else rng
    adapter = make_adapter(settings, network)
    node = GatewayNode(settings, adapter, network, rng, clock)
    async with trio.open_nursery() as nursery:
        await node.serve(nursery)
        if path is not None:
            nursery.start_soon(supervise, watch_settings, node, path)
        task_status.started(node)
        await stop.wait()
        await node.shut_down()
        nursery.cancel_scope.cancel()
