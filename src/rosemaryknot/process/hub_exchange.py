"""What gateways of a large deployment tell each other, through a hub of each zone.

Load pattern: told to everybody, reports grow with the square of the nodes; at 65 nodes
they took more processor time than the requests. Here a node reports to the hub of its
zone, hubs tell each other the sums, and each node gets one sum back. The hub is the
zone's first relay, which has a link to every node of the zone; a node whose hub does
not answer turns to the next relay, and a node that is reported to acts as a hub.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.exchange_parts import ExchangeParts
from rosemaryknot.process.highest_of_late import HighestOfLate
from rosemaryknot.process.hub_sums import HubBook, OwnReports
from rosemaryknot.process.leases import lease_candidates
from rosemaryknot.process.limit_takings import FORGET_S
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peer_links import relays_of
from rosemaryknot.process.server_state import PeerLoad
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

# Up to this many nodes everybody tells everybody: the full mesh of links ends here.
DIRECT_NODES = 24
RELAYS = 3
# A hub that has told nothing for this long is passed over; four reports.
SILENT_S = 1.0
# What only duties need is told each second time.
DUTIES_EACH = 2
# Under this name all other gateways are kept where one is kept by name.
OTHERS = "others"

log = logger("hubs")


class HubExchange:
    """One node's reports to its hub, and its work as a hub.

    Parameters
    ----------
    parts : ExchangeParts
        What reports are made from and taken into.
    exchange : GatewayExchange
        Compares states and helps those that are behind.
    handlers : Handlers
        Of the node's links.

    Attributes
    ----------
    book : HubBook
        What was reported here.
    turn : int
        Which of the zone's relays this node reports to.
    turned_s : float
        When a sum came last, or this node turned to another relay.
    heard_s : float
        When a sum came last.
    nodes : HighestOfLate
        How many nodes seem to live, this one included.
    holds_lease : callable
        Tells whether this node holds the lease of the duties.
    """

    def __init__(
        self, parts: ExchangeParts, exchange: "GatewayExchange", handlers: Handlers
    ) -> None:
        self.parts = parts
        self.exchange = exchange
        self.book = HubBook(parts.node.name, parts.node.incarnation)
        self.own = OwnReports()
        self.sequence = 0
        self.turn = 0
        self.turned_s = 0.0
        self.heard_s = 0.0
        self.is_on = False
        self.nodes = HighestOfLate()
        self.last: HubSum | None = None
        self.totals: dict[str, float] = {}
        self.holds_lease: Callable[[], bool] = lambda: False
        handlers.on(HubReport)(self.handle_report)
        handlers.on(HubSum)(self.handle_sum)
        handlers.on(DutyReports)(self.handle_for_duties)

    def is_large(self) -> bool:
        """Tell whether the deployment has too many nodes to tell everybody.

        One that has just become small may be cut in two: what the hubs know of the
        other side's takings must not be forgotten then.
        """
        now_s = trio.current_time()
        self.nodes.note(len(self.parts.peers.nodes()) + 1, now_s)
        is_large = self.nodes.value(now_s, FORGET_S) > DIRECT_NODES
        if is_large != self.is_on:
            self.is_on = is_large
            self.parts.state.servers.is_told_late = is_large
            self.turned_s = self.heard_s = trio.current_time()
            self.parts.quota.report_through_hubs(is_large)
            log.info("reports go through hubs" if is_large else "reports go to all")
        return is_large

    def relays(self, zone: str) -> list[str]:
        """Return the names of a zone's relays, the hub first."""
        nodes = [*self.parts.peers.nodes(), self.parts.node]
        return relays_of([n.name for n in nodes if n.zone == zone], RELAYS)

    def target(self) -> str:
        """Return the node to report to."""
        relays = self.relays(self.parts.node.zone)
        return relays[self.turn % len(relays)]

    def is_hub(self) -> bool:
        """Tell whether this node acts as a hub."""
        name = self.parts.node.name
        return self.target() == name or self.book.is_hub(trio.current_time())

    def watching(self, kind: str) -> list[str]:
        """Return the nodes that were told to watch a kind of object.

        While no sum comes nobody is trusted to, however many relays were asked: a
        turn to a relay that is silent too would hide changes for a second more.
        """
        if self.last is None or trio.current_time() - self.heard_s > SILENT_S:
            return []
        return self.last.watching.get(kind, [])

    # As one of many.

    async def tell(self) -> None:
        """Report once."""
        now_s = trio.current_time()
        report = self.report()
        if self.sequence % DUTIES_EACH == 0:
            report.duties = await self.tell_for_duties()
        self.own.note(report)
        target = self.target()
        if target == self.parts.node.name:
            self.book.take_report(report, now_s)
        else:
            await self.parts.peers.send(target, report)
        if self.is_hub():
            await self.serve()
        if now_s - self.turned_s > SILENT_S:
            self.turn += 1
            self.turned_s = now_s
            log.info("hub silent, turns to another", silent=target, to=self.target())

    def report(self) -> HubReport:
        """Return this gateway's state."""
        parts = self.parts
        now_s = trio.current_time()
        self.sequence += 1
        servers = parts.state.servers
        return HubReport(
            node=parts.node.name,
            incarnation=parts.node.incarnation,
            sequence=self.sequence,
            version=parts.state.version,
            revisions={kind: f.revision for kind, f in parts.followers.items()},
            seen={kind: f.seen for kind, f in parts.followers.items()},
            returned_ago_s=now_s - parts.store.returned_s,
            lost=[kind for kind, f in parts.followers.items() if f.is_lost()],
            watches=self.is_hub(),
            holds=self.holds_lease(),
            spent=parts.quota.told(),
            loads=servers.loads(),
        )

    async def tell_for_duties(self) -> list:
        """Return what only duties need, for the hub to pass on.

        From each node to each candidate, 91 nodes sent 550 such reports a second, most
        of them past missing links by relays. The holder of the lease tells it to the
        candidates itself: they look sooner for another holder where it falls silent,
        which the end of its hub must not bring about.
        """
        report = self.exchange.report()
        if self.holds_lease():
            await self.parts.peers.send_all(self.with_duties(), report)
        return [
            report.sequence,
            report.clock_s,
            report.counted_s,
            report.runs,
            report.demand,
        ]

    def with_duties(self) -> list[str]:
        """Return the names of those that have duties, or would take them.

        The holder of the lease took it when the deployment was small, and need not
        be among those that would take it now.
        """
        parts = self.parts
        nodes = [*parts.peers.nodes(), parts.node]
        names = {n.name for n in lease_candidates(nodes, self.exchange.lease_name)}
        if self.last is not None:
            names.update(self.last.holders)
        return sorted(names)

    def take_region(self, told: HubSum) -> None:
        """Take over the sum of all gateways."""
        if told.hub != self.target():
            return
        now_s = trio.current_time()
        self.turned_s = self.heard_s = now_s
        last, self.last = self.last, told
        is_same = last is not None and (last.hub, last.incarnation) == (
            told.hub,
            told.incarnation,
        )
        if not is_same:
            self.totals = {}
            self.own.counted = None
        sequence = told.counted.get(self.parts.node.name, -1)
        own_taken = self.own.taken_between(sequence)
        if is_same:
            self.take_spent(told, own_taken)
        self.totals |= {name: total for name, (total, _) in told.spent.items()}
        self.take_loads(told, now_s)
        self.parts.clock.note_peer(OTHERS, told.clock_s)
        self.parts.configurations.note_heard(told.version, told.hub, now_s)
        self.exchange.compare(newest_of(told), now_s)

    def take_spent(self, told: HubSum, own_taken: dict[str, float]) -> None:
        """Count what the other gateways have taken of customers' limits."""
        configuration = self.parts.state.configuration
        if configuration is None:
            return
        counted = self.own.counted
        own = {} if counted is None else counted.spent
        now_s = trio.current_time()
        for customer, (total, asked) in told.spent.items():
            limit = configuration.customers.get(customer)
            if limit is None or limit.rate <= 0:
                continue
            taken = total - self.totals.get(customer, 0.0)
            taken -= own_taken.get(customer, 0.0)
            asked -= own.get(customer, (0.0, 0.0))[1]
            self.parts.quota.note_others(
                limit, OTHERS, told.nodes - 1, max(0.0, taken), max(0.0, asked), now_s
            )

    def take_loads(self, told: HubSum, now_s: float) -> None:
        """Take over what the other gateways have in flight.

        Where they sent parts of prompts is not told: with two drawn engines to choose
        from, it saved two of a thousand tokens and no waits (`make bench-peak`, four
        runs each), and took 40 of 100 bytes of a sum.
        """
        counted = self.own.counted
        own = {} if counted is None else counted.loads
        servers = self.parts.state.servers
        for state in servers.by_id.values():
            requests, tokens = told.loads.get(state.told_as, (0, 0))
            own_requests, own_tokens = own.get(state.told_as, (0, 0))
            load = PeerLoad(
                max(0, requests - own_requests), max(0, tokens - own_tokens), now_s
            )
            state.peers = {OTHERS: load}

    # As a hub.

    async def serve(self) -> None:
        """Tell the other hubs this one's sum, and those that report here all sums."""
        now_s = trio.current_time()
        members = int(self.nodes.value(now_s, FORGET_S))
        self.book.assume_unheard(now_s, members)
        here = self.book.here_sum(now_s, self.parts.clock.now())
        region = self.book.region_sum(now_s, here)
        self.book.forget(now_s)
        here.counted = {}
        zones = {node.zone for node in self.parts.peers.nodes()}
        relays = [name for zone in zones for name in self.relays(zone)]
        await self.parts.peers.send_all(relays, here)
        await self.parts.peers.send_all(list(region.counted), region)
        if self.target() == self.parts.node.name:
            self.take_region(region)
        await self.pass_on_for_duties()

    async def pass_on_for_duties(self) -> None:
        """Pass on what the gateways that report here have told for duties."""
        reports = self.book.take_for_duties()
        if not reports:
            return
        names = self.with_duties()
        await self.parts.peers.send_all(names, DutyReports(reports))
        if self.parts.node.name in names:
            self.exchange.take_for_duties(reports)

    async def tell_reporters(self, value: Message) -> None:
        """Send a message to the gateways that report here."""
        names = [r.node for r in self.book.fresh_reports(trio.current_time())]
        await self.parts.peers.send_all(names, value)

    async def handle_report(self, report: HubReport, link: MessageLink) -> None:
        """Count a gateway's report, and help it where it has lost the store."""
        self.book.take_report(report, trio.current_time())
        if report.lost:
            await self.exchange.offer(report, trio.current_time())

    async def handle_sum(self, told: HubSum, link: MessageLink) -> None:
        """Take over a sum."""
        if told.is_region:
            self.take_region(told)
        else:
            now_s = trio.current_time()
            self.book.take_sum(told, now_s)
            self.parts.configurations.note_heard(told.version, told.hub, now_s)

    async def handle_for_duties(self, told: DutyReports, link: MessageLink) -> None:
        """Take over what duties need of a zone's gateways."""
        self.exchange.take_for_duties(told.reports)


def newest_of(told: HubSum) -> GatewayReport:
    """Return what is newest among the gateways, as if one of them had told it."""
    return GatewayReport(
        node=OTHERS,
        incarnation=told.incarnation,
        sequence=0,
        clock_s=told.clock_s,
        version=told.version,
        seen=told.seen,
        returned_ago_s=told.returned_ago_s,
    )
