"""Exchange of reports through one hub per zone, for large deployments.

Load pattern: if every gateway reports to every other one, the number of reports grows
with the square of the number of nodes; at 65 nodes, reports took more processor time
than requests. With hubs, a node reports to the hub of its zone, hubs send each other
their aggregates, and each node receives one aggregate in return. The hub is the zone's
first relay, which has a link to every node of the zone. A node whose hub does not
respond selects the next relay, and a node that receives reports acts as a hub.

A duty is a task that only the holder of a lease performs.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.exchange_components import ExchangeComponents
from rosemaryknot.process.hub_aggregates import HubAggregator, OwnReports
from rosemaryknot.process.leases import lease_candidates
from rosemaryknot.process.limit_usage import SOURCE_EXPIRY_S
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peer_links import select_relays
from rosemaryknot.process.server_state import PeerLoad
from rosemaryknot.process.sliding_maximum import SlidingMaximum
from rosemaryknot.process.store_reports import (
    known_eras,
    known_revisions,
    seen_revisions,
)
from rosemaryknot.values.gateway_peers import (
    DutyReports,
    GatewayReport,
    HubReport,
    HubSum,
)
from rosemaryknot.values.messages import Message

if TYPE_CHECKING:
    from rosemaryknot.process.gateway_exchange import GatewayExchange

__all__ = ["HubExchange"]

# Up to this many nodes, every node reports to every other one. Larger deployments have
# no full mesh of links.
MAX_MESH_NODES = 24
RELAYS_PER_ZONE = 3
# A hub from which no aggregate arrives for this long is replaced by the next relay.
# Four report intervals.
HUB_TIMEOUT_S = 1.0
# A hub that aggregates reports later than this after they were sent is late, so that
# it may also be late with changes of the store: a report waits for the next aggregate,
# and the aggregate for the next report, each for one interval.
AGGREGATE_MAX_AGE_S = 1.1
# Values that only duties need are sent with every second report.
REPORTS_PER_DUTY_REPORT = 2
# Name under which all other gateways are stored where values are stored by gateway.
OTHERS = "others"

log = logger("hubs")


class HubExchange:
    """One node's reports to its hub, and its role as a hub.

    Parameters
    ----------
    components : ExchangeComponents
        Components that reports are built from and applied to.
    exchange : GatewayExchange
        Compares states and helps nodes that are behind.
    handlers : Handlers
        Message handlers of the node's links.

    Attributes
    ----------
    aggregator : HubAggregator
        Reports received by this node.
    own : OwnReports
        Recent reports of this node.
    relay_index : int
        Index of the zone's relay that this node reports to.
    silence_started_s : float
        Time of the last aggregate or of the last change of relay.
    last_aggregate_s : float
        Time of the last aggregate.
    counted_sent_s : float
        When the newest own report that the hub has aggregated was sent.
    is_enabled : bool
        Whether reports are sent through hubs.
    nodes : SlidingMaximum
        Sliding maximum of the number of live nodes, this one included.
    last_aggregate : HubSum or None
        Last aggregate of all gateways.
    counted_totals : dict of str to float
        Total usage in the last aggregate, by customer.
    holds_lease : callable
        Returns whether this node holds the lease for duties.
    """

    def __init__(
        self,
        components: ExchangeComponents,
        exchange: "GatewayExchange",
        handlers: Handlers,
    ) -> None:
        self.components = components
        self.exchange = exchange
        self.aggregator = HubAggregator(
            components.node.name, components.node.incarnation
        )
        self.own = OwnReports()
        self.sequence = 0
        self.relay_index = 0
        self.silence_started_s = 0.0
        self.last_aggregate_s = 0.0
        self.counted_sent_s = 0.0
        self.is_enabled = False
        self.nodes = SlidingMaximum()
        self.last_aggregate: HubSum | None = None
        self.counted_totals: dict[str, float] = {}
        self.holds_lease: Callable[[], bool] = lambda: False
        handlers.on(HubReport)(self.handle_report)
        handlers.on(HubSum)(self.handle_sum)
        handlers.on(DutyReports)(self.handle_duty_reports)

    def is_large(self) -> bool:
        """Return whether the deployment has too many nodes for direct reports.

        A deployment that has just become small may be split by a network partition.
        The hubs must not discard what they know of the other side's usage then.
        """
        now_s = trio.current_time()
        self.nodes.record(len(self.components.peers.nodes()) + 1, now_s)
        is_large = self.nodes.value(now_s, SOURCE_EXPIRY_S) > MAX_MESH_NODES
        if is_large != self.is_enabled:
            self.is_enabled = is_large
            self.components.state.servers.uses_hub_loads = is_large
            now_s = trio.current_time()
            self.silence_started_s = self.last_aggregate_s = self.counted_sent_s = now_s
            self.components.quota.set_hub_reporting(is_large)
            log.info("reporting through hubs" if is_large else "reporting directly")
        return is_large

    def relays(self, zone: str) -> list[str]:
        """Return the names of a zone's relays, with the hub first."""
        nodes = [*self.components.peers.nodes(), self.components.node]
        return select_relays([n for n in nodes if n.zone == zone], RELAYS_PER_ZONE)

    def target(self) -> str:
        """Return the name of the node to report to."""
        relays = self.relays(self.components.node.zone)
        return relays[self.relay_index % len(relays)]

    def is_hub(self) -> bool:
        """Return whether this node acts as a hub."""
        name = self.components.node.name
        return self.target() == name or self.aggregator.is_hub(trio.current_time())

    def watching(self, kind: str) -> list[str]:
        """Return the nodes that are reported to watch a kind of object.

        While no aggregate arrives, or only old ones, no node is trusted to watch,
        however many relays were tried. Otherwise a change to a relay that is silent or
        late too would hide changes of objects for another second.
        """
        if self.last_aggregate is None or self.is_late():
            return []
        return self.last_aggregate.watching.get(kind, [])

    def is_late(self) -> bool:
        """Return whether the hub is silent, or late with what it receives.

        A hub whose process waits for its processor goes on sending aggregates, each
        with reports that it received long ago.
        """
        now_s = trio.current_time()
        is_silent = now_s - self.last_aggregate_s > HUB_TIMEOUT_S
        return is_silent or self.age_s() > AGGREGATE_MAX_AGE_S

    def age_s(self) -> float:
        """Return how old the newest report is that the hub has aggregated."""
        return trio.current_time() - self.counted_sent_s

    # Role as a reporting node.

    async def send_report(self) -> None:
        """Send one report."""
        now_s = trio.current_time()
        report = self.report()
        if self.sequence % REPORTS_PER_DUTY_REPORT == 0:
            report.duties = await self.report_for_duties()
        self.own.record(report, now_s)
        target = self.target()
        if target == self.components.node.name:
            self.aggregator.apply_report(report, now_s)
        else:
            await self.components.peers.send(target, report)
        if self.is_hub():
            await self.publish()
        if now_s - self.silence_started_s > HUB_TIMEOUT_S:
            self.relay_index += 1
            self.silence_started_s = now_s
            log.info(
                "hub silent; selecting next relay", silent=target, to=self.target()
            )

    def report(self) -> HubReport:
        """Return a report of this gateway's state."""
        components = self.components
        now_s = trio.current_time()
        self.sequence += 1
        servers = components.state.servers
        return HubReport(
            node=components.node.name,
            incarnation=components.node.incarnation,
            sequence=self.sequence,
            version=components.state.version,
            revisions=known_revisions(components.watchers),
            seen=seen_revisions(components.watchers),
            eras=known_eras(components.watchers),
            returned_ago_s=now_s - components.store.reconnected_s,
            lost=[
                kind for kind, f in components.watchers.items() if f.is_unreachable()
            ],
            watches=self.is_hub(),
            holds=self.holds_lease(),
            spent=components.quota.report(),
            loads=servers.loads(),
        )

    async def report_for_duties(self) -> list:
        """Return the values that only duties need, for the hub to forward.

        When each node sent them to each candidate, 91 nodes sent 550 such reports per
        second, most of them forwarded by relays because of missing links. The holder of
        the lease still reports to the candidates directly: they look for a new holder
        earlier if the current one is silent, and a failure of its hub must not cause
        that.
        """
        report = self.exchange.report()
        if self.holds_lease():
            await self.components.peers.send_all(self.duty_nodes(), report)
        return [
            report.sequence,
            report.clock_s,
            report.counted_s,
            report.runs,
            report.demand,
        ]

    def duty_nodes(self) -> list[str]:
        """Return the names of nodes that perform duties or are candidates for them.

        The holder may have acquired the lease when the deployment was small and need
        not be among the current candidates.
        """
        components = self.components
        nodes = [*components.peers.nodes(), components.node]
        names = {n.name for n in lease_candidates(nodes, self.exchange.lease_name)}
        if self.last_aggregate is not None:
            names.update(self.last_aggregate.holders)
        return sorted(names)

    def apply_region(self, aggregate: HubSum) -> None:
        """Apply an aggregate of all gateways."""
        if aggregate.hub != self.target():
            return
        now_s = trio.current_time()
        self.silence_started_s = self.last_aggregate_s = now_s
        last_aggregate, self.last_aggregate = self.last_aggregate, aggregate
        is_same = last_aggregate is not None and (
            last_aggregate.hub,
            last_aggregate.incarnation,
        ) == (
            aggregate.hub,
            aggregate.incarnation,
        )
        if not is_same:
            self.counted_totals = {}
            self.own.counted = None
        sequence = aggregate.counted.get(self.components.node.name, -1)
        self.counted_sent_s = max(
            self.counted_sent_s, self.own.sent_s.get(sequence, 0.0)
        )
        own_acquired = self.own.newly_counted(sequence)
        if is_same:
            self.apply_spent(aggregate, own_acquired)
        self.counted_totals |= {
            name: total for name, (total, _) in aggregate.spent.items()
        }
        self.apply_loads(aggregate, now_s)
        self.components.clock.record_peer(OTHERS, aggregate.clock_s)
        self.components.configurations.record_peer_version(
            aggregate.version, aggregate.version_at or aggregate.hub, now_s
        )
        self.exchange.compare(newest_state(aggregate), now_s)

    def apply_spent(self, aggregate: HubSum, own_acquired: dict[str, float]) -> None:
        """Count the other gateways' usage of customers' limits."""
        configuration = self.components.state.configuration
        if configuration is None:
            return
        counted = self.own.counted
        own = {} if counted is None else counted.spent
        now_s = trio.current_time()
        for customer, (total, demand) in aggregate.spent.items():
            limit = configuration.customers.get(customer)
            if limit is None or limit.rate <= 0:
                continue
            acquired = total - self.counted_totals.get(customer, 0.0)
            acquired -= own_acquired.get(customer, 0.0)
            demand -= own.get(customer, (0.0, 0.0))[1]
            self.components.quota.record_others(
                limit,
                OTHERS,
                aggregate.nodes - 1,
                max(0.0, acquired),
                max(0.0, demand),
                now_s,
            )

    def apply_loads(self, aggregate: HubSum, now_s: float) -> None:
        """Apply the requests that the other gateways have in flight.

        Prefix locations are not reported through hubs: with a choice between two
        sampled engines, they saved two of a thousand tokens and did not shorten waits
        (`make bench-peak`, four runs each), but used 40 of 100 bytes of an aggregate.
        """
        counted = self.own.counted
        own = {} if counted is None else counted.loads
        servers = self.components.state.servers
        for state in servers.by_id.values():
            requests, tokens = aggregate.loads.get(state.incarnation_key, (0, 0))
            own_requests, own_tokens = own.get(state.incarnation_key, (0, 0))
            load = PeerLoad(
                max(0, requests - own_requests), max(0, tokens - own_tokens), now_s
            )
            state.peers = {OTHERS: load}

    # Role as a hub.

    async def publish(self) -> None:
        """Send this hub's aggregate to other hubs, and the total to reporting nodes."""
        now_s = trio.current_time()
        members = int(self.nodes.value(now_s, SOURCE_EXPIRY_S))
        self.aggregator.estimate_silent_nodes(now_s, members)
        local = self.aggregator.local_aggregate(now_s, self.components.clock.now())
        region = self.aggregator.region_aggregate(now_s, local)
        self.aggregator.remove_expired(now_s)
        local.counted = {}
        zones = {node.zone for node in self.components.peers.nodes()}
        relays = [name for zone in zones for name in self.relays(zone)]
        await self.components.peers.send_all(relays, local)
        await self.components.peers.send_all(list(region.counted), region)
        if self.target() == self.components.node.name:
            self.apply_region(region)
        await self.forward_duty_reports()

    async def forward_duty_reports(self) -> None:
        """Forward the values for duties that gateways reported to this hub."""
        reports = self.aggregator.pop_duty_reports()
        if not reports:
            return
        names = self.duty_nodes()
        await self.components.peers.send_all(names, DutyReports(reports))
        if self.components.node.name in names:
            self.exchange.apply_duty_reports(reports)

    async def send_to_reporters(self, value: Message) -> None:
        """Send a message to the gateways that report to this hub."""
        names = [r.node for r in self.aggregator.current_reports(trio.current_time())]
        await self.components.peers.send_all(names, value)

    async def handle_report(self, report: HubReport, link: MessageLink) -> None:
        """Apply a gateway's report; help the gateway if the store is unreachable."""
        self.aggregator.apply_report(report, trio.current_time())
        if report.lost:
            await self.exchange.offer(report, trio.current_time())

    async def handle_sum(self, aggregate: HubSum, link: MessageLink) -> None:
        """Apply an aggregate of one hub or of all gateways."""
        if aggregate.is_region:
            self.apply_region(aggregate)
        else:
            now_s = trio.current_time()
            self.aggregator.apply_aggregate(aggregate, now_s)
            self.components.configurations.record_peer_version(
                aggregate.version, aggregate.version_at or aggregate.hub, now_s
            )

    async def handle_duty_reports(
        self, message: DutyReports, link: MessageLink
    ) -> None:
        """Apply the values for duties of a zone's gateways."""
        self.exchange.apply_duty_reports(message.reports)


def newest_state(aggregate: HubSum) -> GatewayReport:
    """Return the newest state in an aggregate as the report of a single gateway."""
    return GatewayReport(
        node=OTHERS,
        incarnation=aggregate.incarnation,
        sequence=0,
        clock_s=aggregate.clock_s,
        version=aggregate.version,
        seen=aggregate.seen,
        eras=aggregate.eras,
        returned_ago_s=aggregate.returned_ago_s,
    )
