"""Ordering the sizes of services, under the lease of the duties."""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import trio

from rosemaryknot.process.duty_parts import CALLS, RETRY_S, STEP_S, DutyParts
from rosemaryknot.process.highest_of_late import HighestOfLate
from rosemaryknot.process.logs import logger
from rosemaryknot.process.scaling_policy import (
    ServiceDemand,
    ZoneServers,
    wanted_sizes,
)
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.values.duties import DutyDone, DutyFailed, DutyRefused, SizeOrder
from rosemaryknot.values.gateway import GatewayService
from rosemaryknot.values.incarnation import ServerIncarnation

__all__ = ["Need", "ScalingDuty"]

# A zone that refused reclaimable servers, or lost them, is not asked for this long.
DRY_S = 4.0
# How long a smaller need must last before servers are given up, in seconds: longer
# than a dip between two clumps of traffic, shorter than half a wave.
SHRINK_S = 8.0
# Room above the measured work, for clumps and for what is not seen yet.
HEADROOM = 1.5
# Share of an engine's places that may be taken before requests wait for each other.
BUSY_SHARE = 0.5
# Need before there is any traffic, as a share of the most servers that there may be:
# servers enter one after the other at the start, so their number tells nothing yet.
FIRST_SHARE = 0.33
# Servers that there are besides: one may crash or leave at any moment, which for a
# small service is a large part of it.
SPARE_SERVERS = 1
# An order whose servers do not come is given again after their boot and this.
MISSING_S = 4.0
# Servers that are ordered are expected within their boot and this.
BOOT_MARGIN_S = 1.0
# Entries whose deletions are heard within this time were told by one answer of the
# store, or by two of its watches.
SAME_MOMENT_S = 0.2

log = logger("duties")


@dataclass(slots=True)
class Ordered:
    """The last order of one kind of server in a zone.

    Attributes
    ----------
    count : int
        Servers ordered.
    at_s : float
        When, in trio time.
    is_taken : bool
        Whether the platform has taken it.
    has_come : bool
        Whether so many were there since.
    """

    count: int
    at_s: float
    is_taken: bool
    has_come: bool = False


@dataclass(slots=True)
class Need:
    """A service's need, which grows at once and shrinks after a while.

    Attributes
    ----------
    servers : float
        In force.
    since_s : float
        Since when a smaller one is measured.
    highest : float
        The highest one measured since then.
    """

    servers: float
    since_s: float = 0.0
    highest: float = 0.0

    def note(self, measured: float, now_s: float) -> None:
        """Take a measurement in."""
        if measured >= self.servers:
            self.servers = measured
            self.since_s = now_s
            self.highest = 0.0
            return
        self.highest = max(self.highest, measured)
        if now_s - self.since_s > SHRINK_S:
            self.servers = self.highest
            self.since_s = now_s
            self.highest = 0.0


def lapsed_servers(states: list[ServerState]) -> set[ServerIncarnation]:
    """Return missing servers whose entries have most likely lapsed in an outage.

    While the store is away entries lapse everywhere, and a node hears of it at one
    moment. A reclaim takes the servers of one zone; a crash takes one.

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
        and abs(one.gone_at_s - other.gone_at_s) < SAME_MOMENT_S
    }


class ScalingDuty:
    """Keeps the sizes of services at what their traffic needs.

    Parameters
    ----------
    parts : DutyParts
        What it works with.
    rng : random.Random
        Spreads steps.
    now : callable
        Returns trio time.
    """

    def __init__(
        self,
        parts: DutyParts,
        rng: random.Random,
        now: Callable[[], float] = trio.current_time,
    ) -> None:
        self.parts = parts
        self.rng = rng
        self.now = now
        self.ordered: dict[tuple[str, str, bool], Ordered] = {}
        self.needs: dict[str, Need] = {}
        self.highest: dict[str, HighestOfLate] = defaultdict(HighestOfLate)
        self.dry_until_s: dict[tuple[str, str], float] = defaultdict(float)
        self.fencing = 0
        self.busy: set[str] = set()

    async def run(self) -> None:
        """Do the duty while the lease is held, until cancelled."""
        while True:
            await trio.sleep(STEP_S * self.rng.uniform(0.8, 1.0))
            if self.parts.lease.is_held():
                await self.step()

    async def step(self) -> None:
        """Compare what is wanted with what was ordered, and order the difference."""
        configuration = self.parts.state.configuration
        if configuration is None or not self.parts.state.servers.is_listed:
            return
        if self.fencing != self.parts.lease.fencing:
            # What the holder before has ordered is not known.
            self.fencing = self.parts.lease.fencing
            self.ordered.clear()
        for service in configuration.services.values():
            if service.scaling is not None and service.scaling.max_servers > 0:
                await self.scale(service)

    async def scale(self, service: GatewayService) -> None:
        """Order what one service lacks, or has too much of."""
        refused = await self.give_due(service)
        if refused:
            # The zone has none to give: what takes their place is ordered at once, and
            # not after the next step, half a second later.
            await self.give_due(service)

    async def give_due(self, service: GatewayService) -> bool:
        """Give the orders that are due; tell whether reclaimable ones were refused."""
        demand = self.demand_of(service)
        async with trio.open_nursery() as nursery:
            # At once: a call whose answer is lost holds the others up for seconds.
            for order in wanted_sizes(service.name, service.scaling, demand):
                if order.is_reclaimable and order.zone in demand.dry_zones:
                    # Refused, or just taken back; asked when it may have some again.
                    continue
                if self.is_due(order, service, demand):
                    nursery.start_soon(self.give, order, demand)
        return bool(self.dry_zones(service.name) - demand.dry_zones)

    def dry_zones(self, service: str) -> set[str]:
        """Return the zones that have no reclaimable servers to give at the moment."""
        now_s = self.now()
        return {
            zone
            for (name, zone), until_s in self.dry_until_s.items()
            if name == service and until_s > now_s
        }

    def demand_of(self, service: GatewayService) -> ServiceDemand:
        """Return a service's need and what it has."""
        now_s = self.now()
        by_zone = self.servers_there(service, now_s)
        for zone, there in by_zone.items():
            there.booting = self.booting(service, zone, there, now_s)
            on_demand = self.ordered.get((service.name, zone, False))
            there.on_demand_ordered = 0 if on_demand is None else on_demand.count
        need = self.need_of(service, by_zone, now_s)
        work = max(0.0, need - SPARE_SERVERS) / HEADROOM
        held = max(need, self.held(service, now_s))
        return ServiceDemand(work, need, held, by_zone, self.dry_zones(service.name))

    def servers_there(
        self, service: GatewayService, now_s: float
    ) -> dict[str, ZoneServers]:
        """Return a service's servers by zone, and note the zones that are reclaimed."""
        by_zone: dict[str, ZoneServers] = {
            zone: ZoneServers() for zone in service.scaling.zone_prices
        }
        states = [
            state
            for state in self.parts.state.servers.by_id.values()
            if state.entry.service == service.name
        ]
        lapsed = lapsed_servers(states)
        for state in states:
            entry = state.entry
            there = by_zone.setdefault(entry.zone, ZoneServers())
            if state.is_leaving:
                if entry.is_reclaimable and entry.leaves_s is not None:
                    self.dry_until_s[service.name, entry.zone] = now_s + DRY_S
            elif state.is_missing and state.incarnation not in lapsed:
                # Some never say that they leave; their entry is removed. Counted as
                # there until it counted as gone, their place was filled two seconds
                # later, which with its boot were six without.
                continue
            elif entry.is_reclaimable:
                there.reclaimable += 1
            else:
                there.on_demand += 1
        return by_zone

    def held(self, service: GatewayService, now_s: float) -> float:
        """Return the need that reclaimable servers are kept for.

        What costs a fraction is kept as many times longer: over the dip between two
        waves, in which a zone may be reclaimed and the cloud have none for the next.
        """
        price = service.scaling.reclaimable_price
        if not 0 < price < 1:
            return 0.0
        return self.highest[service.name].value(now_s, SHRINK_S / price)

    def booting(
        self, service: GatewayService, zone: str, there: ZoneServers, now_s: float
    ) -> int:
        """Return how many reclaimable servers are ordered and may still boot."""
        last = self.ordered.get((service.name, zone, True))
        if last is None or not last.is_taken:
            return 0
        if now_s - last.at_s > service.scaling.boot_s + BOOT_MARGIN_S:
            return 0
        return max(0, last.count - there.reclaimable)

    def need_of(
        self, service: GatewayService, by_zone: dict[str, ZoneServers], now_s: float
    ) -> float:
        """Return how many servers the traffic needs."""
        tokens, requests, rate = self.measured(service.name)
        need = self.needs.get(service.name)
        if need is None:
            bound = service.scaling.max_servers * len(by_zone)
            first = bound * FIRST_SHARE + SPARE_SERVERS
            need = self.needs[service.name] = Need(first, now_s)
        if tokens > 0 and service.name not in self.busy:
            # What was ordered for traffic to come is not given up as it begins.
            self.busy.add(service.name)
            need.since_s = now_s
            self.highest[service.name].note(need.servers, now_s)
        if service.name in self.busy:
            slots = 1 if service.engine is None else service.engine.slots
            work = max(tokens / rate, requests / (slots * BUSY_SHARE * HEADROOM))
            wanted = work * HEADROOM + SPARE_SERVERS
            need.note(wanted, now_s)
            self.highest[service.name].note(wanted, now_s)
        return need.servers

    def measured(self, service: str) -> tuple[float, int, float]:
        """Return tokens a second, requests in flight and tokens a server reads."""
        exchange = self.parts.exchange
        own = exchange.report_demand().get(service)
        found = [] if own is None else [own]
        for report in exchange.fresh_reports():
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
        """Tell whether an order is to be given now."""
        key = (order.service, order.zone, order.is_reclaimable)
        there = demand.by_zone.get(order.zone, ZoneServers())
        present = there.reclaimable if order.is_reclaimable else there.on_demand
        last = self.ordered.get(key)
        now_s = self.now()
        if last is None:
            return present != order.count
        if last.count != order.count:
            return last.is_taken or now_s - last.at_s > RETRY_S
        if present == order.count:
            last.has_come = True
            return False
        wait_s = RETRY_S
        if last.is_taken and not last.has_come:
            # They boot. One that was there and is not any more was lost: waited for
            # like these, its place was empty for twice the time of a boot.
            wait_s = service.scaling.boot_s + MISSING_S
        return now_s - last.at_s > wait_s

    async def give(self, order: SizeOrder, demand: ServiceDemand) -> None:
        """Give one order."""
        parts = self.parts
        if not parts.lease.is_held():
            return
        fencing = parts.lease.fencing
        outcome = await parts.calls.send_order(order, fencing)
        key = (order.service, order.zone, order.is_reclaimable)
        is_taken = isinstance(outcome, DutyDone)
        self.ordered[key] = Ordered(order.count, self.now(), is_taken)
        CALLS.add(duty="scaling", outcome=type(outcome).__name__)
        there = demand.by_zone.get(order.zone, ZoneServers())
        log.info(
            f"servers ordered in {order.zone}",
            service=order.service,
            reclaimable=order.is_reclaimable,
            count=order.count,
            there=there.reclaimable if order.is_reclaimable else there.on_demand,
            need=round(demand.servers, 2),
            fencing=fencing,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", None),
        )
        if isinstance(outcome, DutyRefused):
            self.note_refused(order, fencing)
        elif isinstance(outcome, DutyFailed):
            self.ordered[key].at_s = self.now()

    def note_refused(self, order: SizeOrder, fencing: int) -> None:
        """Tell a zone without servers from a lease that another has taken over.

        Both are refused alike. Orders of on-demand servers are refused for a higher
        number only, so that kind decides; a zone that is out of reclaimable ones is
        left alone for a while.
        """
        if order.is_reclaimable and order.count > 0:
            key = (order.service, order.zone)
            self.dry_until_s[key] = self.now() + DRY_S
            return
        self.parts.lease.note_fencing(fencing + 1)
