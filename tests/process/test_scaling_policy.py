"""Tests of the scaling policy for typical load patterns."""

import math

from rosemaryknot.process.scaling_duty import (
    SCALE_DOWN_DELAY_S,
    SlidingMaximum,
    SmoothedDemand,
)
from rosemaryknot.process.scaling_policy import (
    ServiceDemand,
    ZoneServers,
    desired_sizes,
)
from rosemaryknot.values.gateway import ScalingLimits

PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}
LIMITS = ScalingLimits(1, 4, 4.0, 0.18, PRICES)


def sizes(need, zones, exhausted=(), work=None, limits=LIMITS, peak_servers=None):
    """Return (reclaimable, on-demand) by zone."""
    work = max(0.0, need - 1) / 1.5 if work is None else work
    peak_servers = need if peak_servers is None else peak_servers
    demand = ServiceDemand(work, need, peak_servers, zones, set(exhausted))
    found = {}
    for order in desired_sizes("s", limits, demand):
        pair = found.setdefault(order.zone, [0, 0])
        pair[0 if order.is_reclaimable else 1] = order.count
    return found


class TestSizes:
    def test_settled(self):
        zones = {z: ZoneServers(reclaimable=2) for z in PRICES}
        assert sizes(4, zones) == {"a": [2, 0], "b": [2, 0], "c": [2, 0]}

    def test_on_demand_servers_stay_while_others_boot(self):
        """On-demand servers are retained while reclaimable ones boot for four seconds.

        If booting servers counted as running, all on-demand servers would be released
        immediately and no server would be available during the boot.
        """
        zones = {z: ZoneServers(on_demand=2, booting=2) for z in PRICES}
        found = sizes(4, zones)
        assert sum(pair[1] for pair in found.values()) >= 4

    def test_both_kinds_within_the_bound(self):
        """Four on-demand servers reach the limit of a zone.

        An order for additional reclaimable servers would be truncated without an error.
        """
        zones = {z: ZoneServers(on_demand=4) for z in PRICES}
        assert all(pair[0] == 0 for pair in sizes(6, zones).values())

    def test_zone_is_reclaimed(self):
        """The servers of a zone are reclaimed and its capacity is exhausted.

        A second zone is often reclaimed within the boot time, so the remaining servers
        must be able to carry the work without that zone too.
        """
        zones = {
            "a": ZoneServers(),
            "b": ZoneServers(reclaimable=2),
            "c": ZoneServers(reclaimable=2),
        }
        found = sizes(4, zones, exhausted=["a"], work=3)
        assert sum(pair[1] for pair in found.values()) >= 1
        remaining = 2 + sum(pair[1] for pair in found.values())
        assert remaining >= 3

    def test_one_zone_has_no_reclaimable_servers(self):
        found = sizes(3, {"a": ZoneServers(on_demand=3)}, limits=LIMITS)
        assert found == {"a": [0, 3]}

    def test_minimum_size_of_a_zone(self):
        zones = {z: ZoneServers() for z in PRICES}
        assert all(
            sum(pair) >= 1 for pair in sizes(0, zones, exhausted=PRICES).values()
        )

    def test_minimum_sizes_count_towards_the_demand(self):
        """Two of five zones are reclaimed, and two more servers are needed.

        These zones need one server each as their minimum. When the two servers were
        placed in the cheapest zones in addition, four were ordered for as long as the
        cloud had no reclaimable servers.
        """
        prices = {"a": 0.85, "b": 1.2, "c": 1.0, "d": 1.1, "e": 0.9}
        limits = ScalingLimits(1, 4, 4.0, 0.18, prices)
        zones = {z: ZoneServers(reclaimable=1) for z in "abc"}
        zones |= {z: ZoneServers() for z in "de"}
        found = sizes(4.5, zones, exhausted="de", limits=limits)
        assert {z: pair[1] for z, pair in found.items() if pair[1]} == {"d": 1, "e": 1}

    def test_minimum_size_while_orders_are_refused(self):
        """An on-demand server provides the minimum size of a zone.

        It is retained until a reclaimable server is running. When it was released with
        the order for that server, it was ordered again half a second later each time
        that the order was refused.
        """
        zones = {z: ZoneServers(reclaimable=2) for z in "ac"}
        zones["b"] = ZoneServers(on_demand=1, booting=1)
        assert sizes(2, zones)["b"][1] == 1
        zones["b"] = ZoneServers(on_demand_ordered=1)
        assert sizes(2, zones)["b"][1] == 1
        zones["b"] = ZoneServers(on_demand=1, reclaimable=1)
        assert sizes(2, zones)["b"][1] == 0

    def test_cloud_offers_no_reclaimable_servers(self):
        limits = ScalingLimits(1, 8, 4.0, 0.0, PRICES)
        zones = {z: ZoneServers(on_demand=2) for z in PRICES}
        found = sizes(5, zones, work=5, limits=limits)
        assert all(pair[0] == 0 for pair in found.values())
        assert sum(pair[1] for pair in found.values()) == 5

    def test_reclaimable_servers_of_the_last_wave_are_retained(self):
        """The demand has dropped between two waves, when a zone may be reclaimed.

        The cloud had no reclaimable servers for the next wave; those released in the
        trough were missing or were replaced at five times the cost.
        """
        zones = {z: ZoneServers(reclaimable=2) for z in PRICES}
        found = sizes(2, zones, peak_servers=4)
        assert found == {"a": [2, 0], "b": [2, 0], "c": [2, 0]}
        assert sizes(2, zones, peak_servers=2) == {
            "a": [1, 0],
            "b": [1, 0],
            "c": [1, 0],
        }


class TestSlidingMaximum:
    def test_waves_of_forty_seconds(self):
        """The load oscillates with a period of 40 s between two and six servers.

        Servers that cost 0.18 of an on-demand server are retained longer by the inverse
        factor: over a trough, but not beyond the time of the next wave.
        """
        highest = SlidingMaximum()
        values = []
        for second in range(200):
            wave = 4 + 2 * math.cos(2 * math.pi * min(second, 80) / 40)
            need = wave if second < 100 else 2.0
            highest.record(need, float(second))
            values.append(highest.value(float(second), SCALE_DOWN_DELAY_S / 0.18))
        assert min(values[:100]) > 5.9
        assert values[150] == 2.0


class TestSmoothedDemand:
    def test_grows_immediately_and_shrinks_after_a_delay(self):
        need = SmoothedDemand(2.0)
        need.record(5.0, 1.0)
        assert need.servers == 5.0
        for step in range(int(SCALE_DOWN_DELAY_S)):
            need.record(3.0, 1.5 + step)
        assert need.servers == 5.0
        need.record(2.0, 1.5 + SCALE_DOWN_DELAY_S)
        assert need.servers == 3.0
