"""How many servers of each kind a service should have in each availability zone.

Load pattern: traffic goes up and down in waves with bursts on top, and the cloud takes
all reclaimable servers of a zone at once, with two seconds of notice, often a second
zone within seconds, while it has no others to give. A server takes seconds to boot.
Reclaimable servers cost a fraction of the others, and a request that finds no room
costs far more than a server. So there are reclaimable servers for the need with any one
zone gone, and on-demand servers only for what they cannot cover.
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
    """

    reclaimable: int = 0
    on_demand: int = 0


@dataclass(slots=True)
class ServiceDemand:
    """What is known of a service's need.

    Attributes
    ----------
    servers : float
        Servers' worth of work, with room for bursts.
    by_zone : dict of str to ZoneServers
        What there is.
    dry_zones : set of str
        Zones that have no reclaimable servers to give at the moment.
    """

    servers: float
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
    zones = sorted(limits.zone_prices or demand.by_zone, key=limits.zone_prices.get)
    if not zones:
        return []
    each = 0
    if 0 < limits.reclaimable_price < 1:
        each = reclaimable_in_each(demand.servers, len(zones), limits.max_servers)
    reclaimable = {
        zone: each if zone not in demand.dry_zones else kept(demand, zone, each)
        for zone in zones
    }
    on_demand = on_demand_sizes(zones, limits, demand, reclaimable, each)
    sizes = []
    for zone in zones:
        sizes.append(SizeOrder(service, zone, True, reclaimable[zone]))
        sizes.append(SizeOrder(service, zone, False, on_demand[zone]))
    return sizes


def kept(demand: ServiceDemand, zone: str, each: int) -> int:
    """Return the reclaimable servers that a zone without others still has."""
    return min(each, demand.by_zone.get(zone, ZoneServers()).reclaimable)


def on_demand_sizes(
    zones: list[str],
    limits: ScalingLimits,
    demand: ServiceDemand,
    reclaimable: dict[str, int],
    each: int,
) -> dict[str, int]:
    """Return the on-demand servers for what reclaimable ones do not cover.

    What counts are the reclaimable servers that are there, without the zone that has
    most of them: it may be the next to go. While they boot, on-demand servers stay.
    """
    present = {z: demand.by_zone.get(z, ZoneServers()).reclaimable for z in zones}
    counted = [min(present[zone], reclaimable[zone]) for zone in zones]
    safe = sum(counted) - max(counted, default=0)
    missing = max(0, math.ceil(demand.servers - 1e-9) - safe)
    sizes = dict.fromkeys(zones, 0)
    for zone in zones:
        least = max(0, limits.min_servers - reclaimable[zone])
        sizes[zone] = least
        missing -= least
    while missing > 0:
        room = [z for z in zones if reclaimable[z] + sizes[z] < limits.max_servers]
        if not room:
            break
        # One after the other over the zones, the cheapest first: a zone that is cut
        # off must not take all of them along.
        zone = min(room, key=lambda z: (sizes[z], zones.index(z)))
        sizes[zone] += 1
        missing -= 1
    return sizes
