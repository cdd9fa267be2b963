"""Scaling policy: how many servers of each kind a service should have in each zone.

Load pattern: traffic rises and falls in waves with bursts on top. The cloud reclaims
all reclaimable servers of an availability zone together, with two seconds of notice,
often those of a second zone within seconds, and has no replacements at that time. A
server takes seconds to boot. Reclaimable servers cost a fraction of on-demand servers,
and a request that finds no free capacity costs far more than a server.

The policy therefore provides enough reclaimable servers to carry the demand without any
one zone. They are retained from one wave to the next, since the cloud may have none
when the next wave comes. On-demand servers cover only the remainder.
"""

import math
from dataclasses import dataclass, field

from rosemaryknot.values.duties import SizeOrder
from rosemaryknot.values.gateway import ScalingLimits

__all__ = ["ServiceDemand", "ZoneServers", "desired_sizes"]


@dataclass(slots=True)
class ZoneServers:
    """Servers of a service in an availability zone.

    Attributes
    ----------
    reclaimable, on_demand : int
        Servers of each kind that accept requests.
    booting : int
        Reclaimable servers that were ordered and may still be booting.
    on_demand_ordered : int
        On-demand servers in the last order, whether they have started or not.
    """

    reclaimable: int = 0
    on_demand: int = 0
    booting: int = 0
    on_demand_ordered: int = 0


@dataclass(slots=True)
class ServiceDemand:
    """Demand of a service and the servers that it has.

    Attributes
    ----------
    work : float
        Measured work as a number of servers; the minimum that must remain when a zone
        is reclaimed.
    servers : float
        The same with headroom for bursts; the desired number of servers.
    peak_servers : float
        Sliding maximum of the demand, for which reclaimable servers are retained.
    by_zone : dict of str to ZoneServers
        Existing servers by zone.
    exhausted_zones : set of str
        Zones whose capacity of reclaimable servers is currently exhausted.
    """

    work: float
    servers: float
    peak_servers: float
    by_zone: dict[str, ZoneServers] = field(default_factory=dict)
    exhausted_zones: set[str] = field(default_factory=set)


def reclaimable_per_zone(need: float, zones: int, max_servers: int) -> int:
    """Return how many reclaimable servers each zone gets.

    The servers of all other zones carry the demand if one zone is reclaimed.

    Examples
    --------
    >>> reclaimable_per_zone(4, 3, 4)
    2
    >>> reclaimable_per_zone(4, 1, 4)
    0
    """
    if zones < 2:
        return 0
    return min(max_servers, math.ceil(need / (zones - 1)))


def desired_sizes(
    service: str, limits: ScalingLimits, demand: ServiceDemand
) -> list[SizeOrder]:
    """Return the desired sizes of a service.

    On-demand servers cover what reclaimable servers do not. Booting reclaimable servers
    count when on-demand servers would be ordered but not when they would be released:
    otherwise neither kind would be available during the boot.

    Parameters
    ----------
    service : str
        Name of the service.
    limits : ScalingLimits
        Bounds on its size.
    demand : ServiceDemand
        Its demand and existing servers.

    Returns
    -------
    sizes : list of SizeOrder
        Two for each zone, cheapest zone first.
    """
    zones = sorted(demand.by_zone, key=lambda z: limits.zone_prices.get(z, 1.0))
    each = 0
    if 0 < limits.reclaimable_price < 1:
        each = reclaimable_per_zone(demand.peak_servers, len(zones), limits.max_servers)
    existing = sum(demand.by_zone[zone].on_demand for zone in zones)
    min_count = on_demand_shortfall(demand, each, with_booting=True)
    max_count = on_demand_shortfall(demand, each, with_booting=False)
    on_demand = distribute(
        zones, max(min_count, min(existing, max_count)), each, limits, demand
    )
    sizes = []
    for zone in zones:
        count = on_demand[zone]
        # The limit applies to both kinds together, and larger orders are truncated
        # without an error. Existing servers therefore count until they are terminated.
        used = max(count, demand.by_zone[zone].on_demand)
        reclaimable = max(0, min(each, limits.max_servers - used))
        if zone in demand.exhausted_zones:
            reclaimable = min(reclaimable, demand.by_zone[zone].reclaimable)
        sizes.append(SizeOrder(service, zone, True, reclaimable))
        sizes.append(SizeOrder(service, zone, False, count))
    return sizes


def on_demand_shortfall(demand: ServiceDemand, each: int, with_booting: bool) -> int:
    """Return how many servers are needed in addition to the reclaimable ones.

    All servers together carry the demand with its headroom for bursts. Without the zone
    that has the most reclaimable servers, which may be reclaimed next, they still carry
    the measured work.
    """
    counts = []
    for zone in demand.by_zone.values():
        booting = zone.booting if with_booting else 0
        counts.append(min(each, zone.reclaimable + booting))
    remaining = sum(counts) - max(counts, default=0)
    missing = max(demand.servers - sum(counts), demand.work - remaining)
    return max(0, math.ceil(missing - 1e-9))


def min_on_demand(
    zone: str, each: int, limits: ScalingLimits, demand: ServiceDemand
) -> int:
    """Return how many on-demand servers a zone needs for its minimum size.

    An existing on-demand server is retained until a reclaimable one is running. If it
    were released when the reclaimable one is ordered, it would be released and ordered
    again each time that order is refused.
    """
    existing = demand.by_zone[zone]
    reclaimable = min(each, limits.max_servers)
    if (
        zone in demand.exhausted_zones
        or existing.on_demand
        or existing.on_demand_ordered
    ):
        reclaimable = existing.reclaimable
    return max(0, limits.min_servers - reclaimable)


def distribute(
    zones: list[str],
    count: int,
    each: int,
    limits: ScalingLimits,
    demand: ServiceDemand,
) -> dict[str, int]:
    """Distribute on-demand servers over the zones.

    Zones below their minimum size come first and count towards the total: counted
    separately, a reclaimed zone cost one server more than the demand. The rest goes to
    the zones round-robin, cheapest first, so that a network partition of one zone
    cannot affect all of them.
    """
    sizes = {zone: min_on_demand(zone, each, limits, demand) for zone in zones}
    for _ in range(count - sum(sizes.values())):
        candidates = [
            zone
            for zone in zones
            if sizes[zone] + demand.by_zone[zone].reclaimable < limits.max_servers
        ]
        if not candidates:
            break
        zone = min(candidates, key=lambda z: (sizes[z], zones.index(z)))
        sizes[zone] += 1
    return sizes
