"""How many servers of each kind a service should have in each availability zone.

Load pattern: traffic goes up and down in waves with bursts on top, and the cloud takes
all reclaimable servers of a zone at once, with two seconds of notice, often a second
zone within seconds, while it has no others to give. A server takes seconds to boot.
Reclaimable servers cost a fraction of the others, and a request that finds no room
costs far more than a server. So there are reclaimable servers for the need with any one
zone gone, kept from one wave to the next since the cloud may have none for it, and
on-demand servers only for what they cannot cover.
"""

import math
from dataclasses import dataclass, field

from rosemaryknot.values.duties import SizeOrder
from rosemaryknot.values.gateway import ScalingLimits

__all__ = ["ServiceDemand", "ZoneServers", "wanted_sizes"]


@dataclass(slots=True)
class ZoneServers:
    """Servers of a service in a zone.

    Attributes
    ----------
    reclaimable, on_demand : int
        That take work.
    booting : int
        Reclaimable ones that are ordered and have not had the time to boot.
    on_demand_ordered : int
        On-demand ones by the last order, whether they have come or not.
    """

    reclaimable: int = 0
    on_demand: int = 0
    booting: int = 0
    on_demand_ordered: int = 0


@dataclass(slots=True)
class ServiceDemand:
    """What is known of a service's need.

    Attributes
    ----------
    work : float
        Servers' worth of work as measured; what must be left when a zone is reclaimed.
    servers : float
        The same with room for bursts; what there should be.
    held : float
        The highest of late, which reclaimable servers are kept for.
    by_zone : dict of str to ZoneServers
        What there is.
    dry_zones : set of str
        Zones that have no reclaimable servers to give at the moment.
    """

    work: float
    servers: float
    held: float
    by_zone: dict[str, ZoneServers] = field(default_factory=dict)
    dry_zones: set[str] = field(default_factory=set)


def reclaimable_in_each(need: float, zones: int, most: int) -> int:
    """Return how many reclaimable servers each zone gets.

    As many as carry the need when one zone is gone.

    Examples
    --------
    >>> reclaimable_in_each(4, 3, 4)
    2
    >>> reclaimable_in_each(4, 1, 4)
    0
    """
    if zones < 2:
        return 0
    return min(most, math.ceil(need / (zones - 1)))


def wanted_sizes(
    service: str, limits: ScalingLimits, demand: ServiceDemand
) -> list[SizeOrder]:
    """Return the sizes that a service should have.

    On-demand servers cover what reclaimable ones do not. Reclaimable ones that boot
    count against ordering more, but not for giving any up: between the two moments
    lies a boot, in which there would be neither.

    Parameters
    ----------
    service : str
        The service.
    limits : ScalingLimits
        Within which its size may be set.
    demand : ServiceDemand
        Its need and what there is.

    Returns
    -------
    sizes : list of SizeOrder
        Two for each zone, cheapest zone first.
    """
    zones = sorted(demand.by_zone, key=lambda z: limits.zone_prices.get(z, 1.0))
    each = 0
    if 0 < limits.reclaimable_price < 1:
        each = reclaimable_in_each(demand.held, len(zones), limits.max_servers)
    there = sum(demand.by_zone[zone].on_demand for zone in zones)
    least = missing_servers(demand, each, with_booting=True)
    most = missing_servers(demand, each, with_booting=False)
    on_demand = spread(zones, max(least, min(there, most)), each, limits, demand)
    sizes = []
    for zone in zones:
        count = on_demand[zone]
        # The bound holds for both kinds; what goes beyond it is cut off in silence, so
        # servers that are still there keep their places until they have gone.
        taken = max(count, demand.by_zone[zone].on_demand)
        reclaimable = max(0, min(each, limits.max_servers - taken))
        if zone in demand.dry_zones:
            reclaimable = min(reclaimable, demand.by_zone[zone].reclaimable)
        sizes.append(SizeOrder(service, zone, True, reclaimable))
        sizes.append(SizeOrder(service, zone, False, count))
    return sizes


def missing_servers(demand: ServiceDemand, each: int, with_booting: bool) -> int:
    """Return how many servers are missing besides the reclaimable ones.

    All together carry the need with its room for bursts; without the fullest zone,
    which may be reclaimed next, they still carry the measured work.
    """
    counts = []
    for zone in demand.by_zone.values():
        booting = zone.booting if with_booting else 0
        counts.append(min(each, zone.reclaimable + booting))
    safe = sum(counts) - max(counts, default=0)
    missing = max(demand.servers - sum(counts), demand.work - safe)
    return max(0, math.ceil(missing - 1e-9))


def least_on_demand(
    zone: str, each: int, limits: ScalingLimits, demand: ServiceDemand
) -> int:
    """Return how many on-demand servers a zone needs to have its least number.

    Where there is one, it stays until a reclaimable one has come. Given up when that
    one is ordered, it went and was ordered anew each time that the order was refused.
    """
    there = demand.by_zone[zone]
    reclaimable = min(each, limits.max_servers)
    if zone in demand.dry_zones or there.on_demand or there.on_demand_ordered:
        reclaimable = there.reclaimable
    return max(0, limits.min_servers - reclaimable)


def spread(
    zones: list[str],
    count: int,
    each: int,
    limits: ScalingLimits,
    demand: ServiceDemand,
) -> dict[str, int]:
    """Spread on-demand servers over the zones.

    The zones that lack their least number come first, since they get theirs anyway:
    counted besides, a zone that was reclaimed cost a server more than the need. Then
    the cheapest ones, one after the other: a zone that is cut off must not take all of
    them along.
    """
    sizes = {zone: least_on_demand(zone, each, limits, demand) for zone in zones}
    for _ in range(count - sum(sizes.values())):
        room = [
            zone
            for zone in zones
            if sizes[zone] + demand.by_zone[zone].reclaimable < limits.max_servers
        ]
        if not room:
            break
        zone = min(room, key=lambda z: (sizes[z], zones.index(z)))
        sizes[zone] += 1
    return sizes
