"""Exchange of periodic reports between gateways."""

import random
from dataclasses import dataclass
from typing import Any

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.exchange_components import ExchangeComponents
from rosemaryknot.process.hub_exchange import HubExchange
from rosemaryknot.process.logs import logger
from rosemaryknot.process.newcomers import is_helper
from rosemaryknot.process.server_state import PeerLoad
from rosemaryknot.process.store_reports import (
    known_eras,
    known_revisions,
    reported,
    seen_revisions,
)
from rosemaryknot.values.gateway_peers import (
    GatewayReport,
    HubReport,
    LoadReport,
    StateOffer,
)
from rosemaryknot.values.messages import Message
from rosemaryknot.values.platform import Listed, StoredObject
from rosemaryknot.values.store_revisions import era_of, qualified, revision_of

__all__ = ["GatewayExchange"]

REPORT_INTERVAL_S = 0.25
LOAD_REPORT_INTERVAL_S = 0.05
# A peer's load is discarded if it was reported longer ago than this. Streams last for
# seconds, and a gateway whose load does not change sends no load report.
LOAD_MAX_AGE_S = 3.0
# The demand of a gateway that has not reported for this long is ignored.
REPORT_MAX_AGE_S = 1.0
# Maximum number of prefix locations in one report.
MAX_REPORTED_LOCATIONS = 200
OFFER_INTERVAL_S = 0.5
# A lag behind other gateways that lasts longer than this is not explained by message
# latency, by kind of object. The configuration is requested from other gateways before
# it is requested from the store.
MAX_LAG_S = {"configuration": 1.5, "servers": 0.6}

log = logger("exchange")


@dataclass(slots=True)
class Lag:
    """Lag of this gateway behind others for a kind of object.

    Attributes
    ----------
    since_s : float
        Since when it lasts, in trio time.
    reported_s : float
        When a gateway that is ahead reported last, in trio time.
    revision : int
        Newest revision in such a report.
    """

    since_s: float
    reported_s: float
    revision: int

    def is_over(self, revision: int, now_s: float) -> bool:
        """Return whether it is over, by the revision that is known here.

        A report of a gateway that is behind as well shows nothing.
        """
        is_outdated = now_s - self.reported_s > REPORT_MAX_AGE_S
        return revision >= self.revision or is_outdated


class GatewayExchange:
    """Sender of this gateway's reports and receiver of those of other gateways.

    Parameters
    ----------
    components : ExchangeComponents
        Components that reports are built from and applied to.
    handlers : Handlers
        Message handlers of the node's links.
    rng : random.Random
        Source of the jitter between reports.
    lease_name : str
        Name of the lease for duties, the tasks that only the holder of this lease
        performs. The candidates for the lease receive usage and demand.

    Attributes
    ----------
    reports : dict of str to tuple of (float, GatewayReport)
        Each gateway's last report, with the time at which it was received.
    """

    def __init__(
        self,
        components: ExchangeComponents,
        handlers: Handlers,
        rng: random.Random,
        lease_name: str,
    ) -> None:
        self.components = components
        self.rng = rng
        self.sequence = 0
        self.reports: dict[str, tuple[float, GatewayReport]] = {}
        self.last_offer_s: dict[str, float] = {}
        self.lags: dict[str, Lag] = {}
        self.lease_name = lease_name
        self.hubs = HubExchange(components, self, handlers)
        handlers.on(GatewayReport)(self.handle_report)
        handlers.on(LoadReport)(self.handle_load)
        handlers.on(StateOffer)(self.handle_offer)

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await trio.sleep(REPORT_INTERVAL_S * self.rng.uniform(0.9, 1.1))
            self.refresh()
            if self.hubs.is_large():
                await self.hubs.send_report()
            else:
                await self.components.peers.broadcast(self.report())

    def refresh(self) -> None:
        """Update customers' limits and remove expired state."""
        components = self.components
        now_s = trio.current_time()
        self.record_reconnect(components.store.reconnected_s, components.node.name)
        components.quota.tick(now_s, len(components.peers.nodes()) + 1)
        components.quota.remove_expired(now_s)
        components.usage.remove_expired(components.clock.now())
        for state in components.state.servers.by_id.values():
            state.peers = {
                name: load
                for name, load in state.peers.items()
                if now_s - load.reported_s < LOAD_MAX_AGE_S
            }

    def report(self) -> GatewayReport:
        """Return a report of this gateway's state."""
        components = self.components
        self.sequence += 1
        return GatewayReport(
            node=components.node.name,
            incarnation=components.node.incarnation,
            sequence=self.sequence,
            clock_s=components.clock.wall_clock(),
            version=components.state.version,
            revisions=known_revisions(components.watchers),
            seen=seen_revisions(components.watchers),
            eras=known_eras(components.watchers),
            returned_ago_s=trio.current_time() - components.store.reconnected_s,
            spent=components.quota.report(),
            runs=components.usage.report(components.clock.now()),
            demand=self.report_demand(),
            lost=[
                kind for kind, f in components.watchers.items() if f.is_unreachable()
            ],
            counted_s=components.clock.now(),
        )

    def report_demand(self) -> dict[str, list]:
        """Return the demand of this gateway's callers, by service."""
        components = self.components
        components.demand.decay()
        rate = round(components.state.servers.rate)
        return {
            name: [round(tokens), self.in_flight(name), rate]
            for name, tokens in components.demand.tokens.items()
        }

    def current_reports(self) -> list[GatewayReport]:
        """Return the latest reports of the gateways that are reporting."""
        now_s = trio.current_time()
        return [
            r
            for reported_s, r in self.reports.values()
            if now_s - reported_s < REPORT_MAX_AGE_S
        ]

    def nodes_missing_counts(self, synchronized_s: float) -> list[str]:
        """Return the live gateways whose usage up to a time was not received."""
        counted_s = self.components.usage.counted_s
        names = [node.name for node in self.components.peers.nodes()]
        return [name for name in names if counted_s.get(name, 0.0) < synchronized_s]

    def in_flight(self, service: str) -> int:
        """Return the number of this gateway's requests at a service's servers."""
        states = self.components.state.servers.of_service(service)
        return sum(s.in_flight for s in states)

    async def handle_report(self, report: GatewayReport, link: MessageLink) -> None:
        """Apply another gateway's report."""
        now_s = trio.current_time()
        if not self.apply_report(report, now_s) or self.hubs.is_enabled:
            # With hubs, only the part used by duties is applied. The rest arrives with
            # the hubs' aggregates and would be counted twice.
            return
        self.apply_spent(report, now_s)
        components = self.components
        components.configurations.record_peer_version(
            report.version, report.node, now_s
        )
        self.compare(report, now_s)
        await self.help(report, now_s)

    def apply_report(self, report: GatewayReport, now_s: float) -> bool:
        """Apply the part of a report that duties use; return False for a late one."""
        known = self.reports.get(report.node)
        if known is not None:
            last = known[1]
            if (last.incarnation, last.sequence) >= (
                report.incarnation,
                report.sequence,
            ):
                return False
        self.reports[report.node] = (now_s, report)
        self.components.clock.record_peer(report.node, report.clock_s)
        self.components.usage.record_report(
            report.node, report.incarnation, report.runs
        )
        self.components.usage.record_counted(report.node, report.counted_s)
        return True

    def apply_duty_reports(self, reports: list[list]) -> None:
        """Apply the reports for duties that the hub of a zone forwards."""
        now_s = trio.current_time()
        for node, incarnation, sequence, clock_s, counted_s, runs, demand in reports:
            if node != self.components.node.name:
                report = GatewayReport(
                    node,
                    incarnation,
                    sequence,
                    clock_s,
                    -1,
                    runs=runs,
                    demand=demand,
                    counted_s=counted_s,
                )
                self.apply_report(report, now_s)

    def apply_spent(self, report: GatewayReport, now_s: float) -> None:
        """Count a gateway's usage of customers' limits."""
        configuration = self.components.state.configuration
        if configuration is None:
            return
        for customer, (total, demand) in report.spent.items():
            limit = configuration.customers.get(customer)
            if limit is not None and limit.rate > 0:
                self.components.quota.record_peer(
                    limit, report.node, report.incarnation, total, demand, now_s
                )

    async def run_loads(self) -> None:
        """Report requests in flight soon after they change, until cancelled.

        Servers are chosen by the requests that all gateways have in flight, so these
        are reported more often than the other values.
        """
        servers = self.components.state.servers
        while True:
            await trio.sleep(LOAD_REPORT_INTERVAL_S * self.rng.uniform(0.9, 1.1))
            if servers.has_unreported_load and not self.hubs.is_enabled:
                servers.has_unreported_load = False
                await self.components.peers.broadcast(self.load_report())

    def load_report(self) -> LoadReport:
        """Return a report of the requests that this gateway has in flight."""
        servers = self.components.state.servers
        return LoadReport(
            self.components.node.name,
            servers.loads(),
            servers.pop_recent_locations(MAX_REPORTED_LOCATIONS),
        )

    async def handle_load(self, report: LoadReport, link: MessageLink) -> None:
        """Apply a gateway's requests in flight and its prefix locations."""
        now_s = trio.current_time()
        servers = self.components.state.servers
        for state in servers.by_id.values():
            load = report.loads.get(state.incarnation_key)
            if load is None:
                state.peers.pop(report.node, None)
            else:
                state.peers[report.node] = PeerLoad(int(load[0]), int(load[1]), now_s)
        for segment_id, incarnation_key in report.places:
            servers.record_location(segment_id, incarnation_key)

    def compare(self, report: GatewayReport, now_s: float) -> None:
        """Resynchronize with the store if another gateway stays ahead of this one."""
        self.record_reconnect(now_s - report.returned_ago_s, report.node)
        for kind, watcher in self.components.watchers.items():
            theirs = reported(report.seen, report.eras, kind, watcher)
            if kind not in report.lost:
                watcher.record_peer_seen(theirs)
            lag = self.lags.get(kind)
            if lag is not None and lag.is_over(watcher.revision, now_s):
                del self.lags[kind]
            if watcher.revision >= theirs:
                continue
            watcher.record_peer_era(era_of(theirs))
            lag = self.lags.setdefault(kind, Lag(now_s, now_s, theirs))
            lag.reported_s, lag.revision = now_s, max(lag.revision, theirs)
            if now_s - lag.since_s > MAX_LAG_S[kind]:
                watcher.resync(f"{report.node} has a newer revision")

    def record_reconnect(self, reconnected_s: float, node: str) -> None:
        """Resynchronize with the store if a node reached it after our pending query.

        An outage may have dropped this node's query without an error.
        """
        for watcher in self.components.watchers.values():
            if watcher.has_call_since_before(reconnected_s):
                watcher.resync(f"{node} reached the store again")

    async def help(self, report: GatewayReport, now_s: float) -> None:
        """Send newer state to a gateway that cannot reach the store."""
        if report.lost and is_helper(self.components.peers, report.node):
            await self.offer(report, now_s)

    async def offer(self, report: GatewayReport | HubReport, now_s: float) -> None:
        """Send a gateway the state that it lacks.

        Limited to once per offer interval, so that the gateway can apply one offer
        before the next.
        """
        last_s = self.last_offer_s.get(report.node, float("-inf"))
        if now_s - last_s < OFFER_INTERVAL_S:
            return
        self.last_offer_s[report.node] = now_s
        for offer in self.offers(report):
            await self.components.peers.send(report.node, offer)

    def watching(self, kind: str) -> set[str]:
        """Return the reporting nodes that reach the store for a kind of object."""
        if self.hubs.is_enabled:
            return set(self.hubs.watching(kind))
        return {r.node for r in self.current_reports() if kind not in r.lost}

    def offers(self, report: GatewayReport | HubReport) -> list[Message]:
        """Return messages with the state that a gateway lacks."""
        found: list[Message] = []
        configuration = self.components.configurations.newer_than(report.version)
        if configuration is not None:
            found.append(configuration)
        watcher = self.components.watchers["servers"]
        theirs = reported(report.revisions, report.eras, "servers", watcher)
        if theirs < watcher.revision and not watcher.is_unreachable():
            found.append(self.offer_of_servers())
        return found

    def offer_of_servers(self) -> StateOffer:
        """Return a message with all entries of servers."""
        revision = self.components.watchers["servers"].revision
        objects = {
            name: [revision_of(version), value]
            for name, (version, value) in self.components.state.entries.items()
        }
        return StateOffer("servers", revision_of(revision), objects, era_of(revision))

    async def handle_offer(self, offer: StateOffer, link: MessageLink) -> None:
        """Apply a newer list of servers from a node that has reached the store.

        It is needed while the store is unreachable from here, and after a restore.
        """
        watcher = self.components.watchers["servers"]
        # Nodes of earlier software state no era.
        era = offer.era or era_of(watcher.revision)
        revision = qualified(era, offer.revision)
        is_wanted = watcher.is_unreachable() or era > era_of(watcher.revision)
        if offer.kind_name != "servers" or not is_wanted:
            return
        if revision <= watcher.revision:
            return
        objects: dict[str, Any] = {
            name: StoredObject(qualified(era, int(entry[0])), entry[1])
            for name, entry in offer.objects.items()
        }
        log.info(
            "applied servers from another gateway", era=era, revision=offer.revision
        )
        watcher.adopt_list(Listed(revision, objects))
