"""Scaling duty: orders servers for services while this node holds the duty lease.

A duty is a task that only the holder of a lease performs.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import trio

from rosemaryknot.process.duty_components import (
    DUTY_CALLS,
    RETRY_DELAY_S,
    STEP_INTERVAL_S,
    DutyComponents,
)
from rosemaryknot.process.logs import logger
from rosemaryknot.process.scaling_policy import (
    ServiceDemand,
    ZoneServers,
    desired_sizes,
)
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.process.sliding_maximum import SlidingMaximum
from rosemaryknot.values.duties import DutyDone, DutyFailed, DutyRefused, SizeOrder
from rosemaryknot.values.gateway import GatewayService
from rosemaryknot.values.incarnation import ServerIncarnation

__all__ = ["ScalingDuty", "SmoothedDemand"]

# No reclaimable servers are ordered in a zone for this time after it refused an order
# or its servers were reclaimed.
EXHAUSTED_ZONE_TTL_S = 4.0
# How long a smaller demand must last before servers are released, in seconds: longer
# than a gap between two bursts, shorter than half a wave of traffic.
SCALE_DOWN_DELAY_S = 8.0
# Headroom above the measured work, for bursts and for load that is not yet reported.
HEADROOM_FACTOR = 1.5
# Share of an engine's slots that may be in use before requests delay each other.
MAX_SLOT_UTILIZATION = 0.5
# Demand before there is any traffic, as a share of the maximum number of servers.
# Servers register one after the other at startup, so their number is no indication.
INITIAL_SERVER_SHARE = 0.33
# Spare servers in addition to the demand: one may crash or drain at any time, which is
# a large share of a small service.
SPARE_SERVERS = 1
# An order whose servers do not start is repeated after the boot time and this margin.
REORDER_MARGIN_S = 4.0
# Ordered servers are expected within the boot time and this margin.
BOOT_MARGIN_S = 1.0
# Deletions that are received within this time came in one response of the store or
# from two of its watches.
SIMULTANEOUS_S = 0.2

log = logger("duties")


@dataclass(slots=True)
class LastOrder:
    """The last order for one kind of server in a zone.

    Attributes
    ----------
    count : int
        Servers ordered.
    ordered_s : float
        When the order was sent, in trio time.
    is_accepted : bool
        Whether the platform accepted the order.
    is_fulfilled : bool
        Whether that number of servers has been running since.
    """

    count: int
    ordered_s: float
    is_accepted: bool
    is_fulfilled: bool = False


@dataclass(slots=True)
class SmoothedDemand:
    """Demand of a service, which grows immediately and shrinks after a delay.

    Attributes
    ----------
    servers : float
        Current demand, in servers.
    since_s : float
        When the measured demand fell below it, in trio time.
    highest : float
        Maximum of the measurements since then.
    """

    servers: float
    since_s: float = 0.0
    highest: float = 0.0

    def record(self, measured: float, now_s: float) -> None:
        """Record a measurement."""
        if measured >= self.servers:
            self.servers = measured
            self.since_s = now_s
            self.highest = 0.0
            return
        self.highest = max(self.highest, measured)
        if now_s - self.since_s > SCALE_DOWN_DELAY_S:
            self.servers = self.highest
            self.since_s = now_s
            self.highest = 0.0


def expired_servers(states: list[ServerState]) -> set[ServerIncarnation]:
    """Return missing servers whose entries probably expired in a store outage.

    While the store is unreachable, entries of all zones expire, and a node receives
    their deletions together. A reclaim affects the servers of one zone; a crash affects
    one server.

    Parameters
    ----------
    states : list of ServerState
        The servers of a service.
    """
    missing = [state for state in states if state.is_missing]
    return {
        one.incarnation
        for one in missing
        for other in missing
        if one.entry.zone != other.entry.zone
        and abs(one.removal_deadline_s - other.removal_deadline_s) < SIMULTANEOUS_S
    }


class ScalingDuty:
    """Duty that scales services to the demand of their traffic.

    Parameters
    ----------
    components : DutyComponents
        Components shared by the duties.
    rng : random.Random
        Random source for the jitter between steps.
    now : callable
        Returns trio time.
    """

    def __init__(
        self,
        components: DutyComponents,
        rng: random.Random,
        now: Callable[[], float] = trio.current_time,
    ) -> None:
        self.components = components
        self.rng = rng
        self.now = now
        self.ordered: dict[tuple[str, str, bool], LastOrder] = {}
        self.demands: dict[str, SmoothedDemand] = {}
        self.highest: dict[str, SlidingMaximum] = defaultdict(SlidingMaximum)
        self.exhausted_until_s: dict[tuple[str, str], float] = defaultdict(float)
        self.fencing = 0
        self.with_traffic: set[str] = set()

    async def run(self) -> None:
        """Perform the duty while the lease is held, until cancelled."""
        while True:
            await trio.sleep(STEP_INTERVAL_S * self.rng.uniform(0.8, 1.0))
            if self.components.lease.is_held():
                await self.step()

    async def step(self) -> None:
        """Compare the desired sizes with the last orders and order the difference."""
        configuration = self.components.state.configuration
        if configuration is None or not self.components.state.servers.is_listed:
            return
        if self.fencing != self.components.lease.fencing:
            # The orders of the previous holder are not known.
            self.fencing = self.components.lease.fencing
            self.ordered.clear()
        for service in configuration.services.values():
            if service.scaling is not None and service.scaling.max_servers > 0:
                await self.scale(service)

    async def scale(self, service: GatewayService) -> None:
        """Order the servers that one service lacks, and release its surplus."""
        refused = await self.send_due_orders(service)
        if refused:
            # The zone's capacity is exhausted: replacements are ordered immediately
            # rather than in the next step, half a second later.
            await self.send_due_orders(service)

    async def send_due_orders(self, service: GatewayService) -> bool:
        """Send all due orders; return whether reclaimable servers were refused."""
        demand = self.demand_of(service)
        async with trio.open_nursery() as nursery:
            # Concurrently: a call whose response is lost would delay the others by
            # seconds.
            for order in desired_sizes(service.name, service.scaling, demand):
                if order.is_reclaimable and order.zone in demand.exhausted_zones:
                    # Refused or just reclaimed; ordered again when the zone may have
                    # capacity.
                    continue
                if self.is_due(order, service, demand):
                    nursery.start_soon(self.send_order, order, demand)
        return bool(self.exhausted_zones(service.name) - demand.exhausted_zones)

    def exhausted_zones(self, service: str) -> set[str]:
        """Return the zones whose capacity of reclaimable servers is exhausted."""
        now_s = self.now()
        return {
            zone
            for (name, zone), until_s in self.exhausted_until_s.items()
            if name == service and until_s > now_s
        }

    def demand_of(self, service: GatewayService) -> ServiceDemand:
        """Return the demand of a service and its existing servers."""
        now_s = self.now()
        by_zone = self.count_servers(service, now_s)
        for zone, existing in by_zone.items():
            existing.booting = self.booting(service, zone, existing, now_s)
            on_demand = self.ordered.get((service.name, zone, False))
            existing.on_demand_ordered = 0 if on_demand is None else on_demand.count
        need = self.required_servers(service, by_zone, now_s)
        work = max(0.0, need - SPARE_SERVERS) / HEADROOM_FACTOR
        peak_servers = max(need, self.peak_servers(service, now_s))
        return ServiceDemand(
            work, need, peak_servers, by_zone, self.exhausted_zones(service.name)
        )

    def count_servers(
        self, service: GatewayService, now_s: float
    ) -> dict[str, ZoneServers]:
        """Return a service's servers by zone, and record the zones being reclaimed."""
        by_zone: dict[str, ZoneServers] = {
            zone: ZoneServers() for zone in service.scaling.zone_prices
        }
        states = [
            state
            for state in self.components.state.servers.by_id.values()
            if state.entry.service == service.name
        ]
        expired = expired_servers(states)
        for state in states:
            entry = state.entry
            existing = by_zone.setdefault(entry.zone, ZoneServers())
            if state.is_draining:
                if entry.is_reclaimable and entry.shutdown_after_s is not None:
                    self.exhausted_until_s[service.name, entry.zone] = (
                        now_s + EXHAUSTED_ZONE_TTL_S
                    )
            elif state.is_missing and state.incarnation not in expired:
                # Some servers never announce a drain; only their entry is removed. If
                # they counted until the entry timed out, they would be replaced two
                # seconds later, which with the boot is six seconds without them.
                continue
            elif entry.is_reclaimable:
                existing.reclaimable += 1
            else:
                existing.on_demand += 1
        return by_zone

    def peak_servers(self, service: GatewayService, now_s: float) -> float:
        """Return the demand for which reclaimable servers are retained.

        The window is inversely proportional to their price. It covers the trough
        between two waves: a zone may be reclaimed then, and the cloud may have no
        servers for the next wave.
        """
        price = service.scaling.reclaimable_price
        if not 0 < price < 1:
            return 0.0
        return self.highest[service.name].value(now_s, SCALE_DOWN_DELAY_S / price)

    def booting(
        self, service: GatewayService, zone: str, existing: ZoneServers, now_s: float
    ) -> int:
        """Return how many reclaimable servers were ordered and may still be booting."""
        last = self.ordered.get((service.name, zone, True))
        if last is None or not last.is_accepted:
            return 0
        if now_s - last.ordered_s > service.scaling.boot_s + BOOT_MARGIN_S:
            return 0
        return max(0, last.count - existing.reclaimable)

    def required_servers(
        self, service: GatewayService, by_zone: dict[str, ZoneServers], now_s: float
    ) -> float:
        """Return how many servers the traffic needs."""
        tokens, requests, rate = self.measured(service.name)
        need = self.demands.get(service.name)
        if need is None:
            bound = service.scaling.max_servers * len(by_zone)
            first = bound * INITIAL_SERVER_SHARE + SPARE_SERVERS
            need = self.demands[service.name] = SmoothedDemand(first, now_s)
        if tokens > 0 and service.name not in self.with_traffic:
            # Servers that were ordered before any traffic are not released when the
            # traffic starts.
            self.with_traffic.add(service.name)
            need.since_s = now_s
            self.highest[service.name].record(need.servers, now_s)
        if service.name in self.with_traffic:
            slots = 1 if service.engine is None else service.engine.slots
            work = max(
                tokens / rate,
                requests / (slots * MAX_SLOT_UTILIZATION * HEADROOM_FACTOR),
            )
            required = work * HEADROOM_FACTOR + SPARE_SERVERS
            need.record(required, now_s)
            self.highest[service.name].record(required, now_s)
        return need.servers

    def measured(self, service: str) -> tuple[float, int, float]:
        """Return tokens per second, requests in flight and a server's prefill rate."""
        exchange = self.components.exchange
        own = exchange.report_demand().get(service)
        found = [] if own is None else [own]
        for report in exchange.current_reports():
            theirs = report.demand.get(service)
            if theirs is not None:
                found.append(theirs)
        if not found:
            return 0.0, 0, 1.0
        tokens = sum(entry[0] for entry in found)
        rates = sorted(entry[2] for entry in found)
        return tokens, sum(entry[1] for entry in found), rates[len(rates) // 2]

    def is_due(
        self, order: SizeOrder, service: GatewayService, demand: ServiceDemand
    ) -> bool:
        """Return whether an order is due."""
        key = (order.service, order.zone, order.is_reclaimable)
        existing = demand.by_zone.get(order.zone, ZoneServers())
        present = existing.reclaimable if order.is_reclaimable else existing.on_demand
        last = self.ordered.get(key)
        now_s = self.now()
        if last is None:
            return present != order.count
        if last.count != order.count:
            return last.is_accepted or now_s - last.ordered_s > RETRY_DELAY_S
        if present == order.count:
            last.is_fulfilled = True
            return False
        wait_s = RETRY_DELAY_S
        if last.is_accepted and not last.is_fulfilled:
            # The servers are booting. A server that is missing after the order was
            # fulfilled was lost; with the same wait, it was replaced only after twice
            # the boot time.
            wait_s = service.scaling.boot_s + REORDER_MARGIN_S
        return now_s - last.ordered_s > wait_s

    async def send_order(self, order: SizeOrder, demand: ServiceDemand) -> None:
        """Send one order."""
        components = self.components
        if not components.lease.is_held():
            return
        fencing = components.lease.fencing
        outcome = await components.calls.send_order(order, fencing)
        key = (order.service, order.zone, order.is_reclaimable)
        is_accepted = isinstance(outcome, DutyDone)
        self.ordered[key] = LastOrder(order.count, self.now(), is_accepted)
        DUTY_CALLS.add(duty="scaling", outcome=type(outcome).__name__)
        existing = demand.by_zone.get(order.zone, ZoneServers())
        log.info(
            f"servers ordered in {order.zone}",
            service=order.service,
            reclaimable=order.is_reclaimable,
            count=order.count,
            there=existing.reclaimable if order.is_reclaimable else existing.on_demand,
            need=round(demand.servers, 2),
            fencing=fencing,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", None),
        )
        if isinstance(outcome, DutyRefused):
            self.record_refusal(order, fencing)
        elif isinstance(outcome, DutyFailed):
            self.ordered[key].ordered_s = self.now()

    def record_refusal(self, order: SizeOrder, fencing: int) -> None:
        """Handle a refused order: zone capacity is exhausted, or the lease was lost.

        Both refusals look the same. Orders for on-demand servers are refused only for a
        higher fencing number, so the kind of server decides. A zone without capacity
        for reclaimable servers is skipped for `EXHAUSTED_ZONE_TTL_S`.
        """
        if order.is_reclaimable and order.count > 0:
            key = (order.service, order.zone)
            self.exhausted_until_s[key] = self.now() + EXHAUSTED_ZONE_TTL_S
            return
        self.components.lease.record_fencing(fencing + 1)
