"""Tests of the sizes of services, by the load patterns that they answer."""

import math

from rosemaryknot.process.scaling_duty import SHRINK_S, HighestOfLate, Need
from rosemaryknot.process.scaling_policy import (
    ServiceDemand,
    ZoneServers,
    wanted_sizes,
)
from rosemaryknot.values.gateway import ScalingLimits

PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}
LIMITS = ScalingLimits(1, 4, 4.0, 0.18, PRICES)


def sizes(need, zones, dry=(), work=None, limits=LIMITS, held=None):
    """Return (reclaimable, on-demand) by zone."""
    work = max(0.0, need - 1) / 1.5 if work is None else work
    held = need if held is None else held
    demand = ServiceDemand(work, need, held, zones, set(dry))
    found = {}
    for order in wanted_sizes("s", limits, demand):
        pair = found.setdefault(order.zone, [0, 0])
        pair[0 if order.is_reclaimable else 1] = order.count
    return found


class TestSizes:
    def test_settled(self):
        zones = {z: ZoneServers(reclaimable=2) for z in PRICES}
        assert sizes(4, zones) == {"a": [2, 0], "b": [2, 0], "c": [2, 0]}

    def test_on_demand_servers_stay_while_others_boot(self):
        """Reclaimable servers were ordered and boot for four seconds.

        Counted as there, all on-demand servers would be given up at once, and for a
        boot nothing would serve.
        """
        zones = {z: ZoneServers(on_demand=2, booting=2) for z in PRICES}
        found = sizes(4, zones)
        assert sum(pair[1] for pair in found.values()) >= 4

    def test_both_kinds_within_the_bound(self):
        """Four on-demand servers fill a zone's bound.

        Reclaimable ones ordered beside them would be cut off in silence.
        """
        zones = {z: ZoneServers(on_demand=4) for z in PRICES}
        assert all(pair[0] == 0 for pair in sizes(6, zones).values())

    def test_zone_is_reclaimed(self):
        """A zone's reclaimable servers are taken, and there are no others to have.

        A second zone often follows within a boot: without its servers too, the work
        must find room.
        """
        zones = {
            "a": ZoneServers(),
            "b": ZoneServers(reclaimable=2),
            "c": ZoneServers(reclaimable=2),
        }
        found = sizes(4, zones, dry=["a"], work=3)
        assert sum(pair[1] for pair in found.values()) >= 1
        left = 2 + sum(pair[1] for pair in found.values())
        assert left >= 3

    def test_one_zone_has_no_reclaimable_servers(self):
        found = sizes(3, {"a": ZoneServers(on_demand=3)}, limits=LIMITS)
        assert found == {"a": [0, 3]}

    def test_least_of_a_zone(self):
        zones = {z: ZoneServers() for z in PRICES}
        assert all(sum(pair) >= 1 for pair in sizes(0, zones, dry=PRICES).values())

    def test_least_numbers_count_for_the_need(self):
        """Two of five zones are reclaimed, and two more servers are needed.

        These zones have to have one server each. Placed in the cheapest zones as well,
        the two were four, for as long as the cloud had no reclaimable ones.
        """
        prices = {"a": 0.85, "b": 1.2, "c": 1.0, "d": 1.1, "e": 0.9}
        limits = ScalingLimits(1, 4, 4.0, 0.18, prices)
        zones = {z: ZoneServers(reclaimable=1) for z in "abc"}
        zones |= {z: ZoneServers() for z in "de"}
        found = sizes(4.5, zones, dry="de", limits=limits)
        assert {z: pair[1] for z, pair in found.items() if pair[1]} == {"d": 1, "e": 1}

    def test_least_number_while_orders_are_refused(self):
        """A zone's on-demand server stands for its least number.

        It stays until a reclaimable one has come: given up when that one was ordered,
        it was ordered anew half a second later, each time that the order was refused.
        """
        zones = {z: ZoneServers(reclaimable=2) for z in "ac"}
        zones["b"] = ZoneServers(on_demand=1, booting=1)
        assert sizes(2, zones)["b"][1] == 1
        zones["b"] = ZoneServers(on_demand_ordered=1)
        assert sizes(2, zones)["b"][1] == 1
        zones["b"] = ZoneServers(on_demand=1, reclaimable=1)
        assert sizes(2, zones)["b"][1] == 0

    def test_none_to_be_had_as_reclaimable(self):
        limits = ScalingLimits(1, 8, 4.0, 0.0, PRICES)
        zones = {z: ZoneServers(on_demand=2) for z in PRICES}
        found = sizes(5, zones, work=5, limits=limits)
        assert all(pair[0] == 0 for pair in found.values())
        assert sum(pair[1] for pair in found.values()) == 5

    def test_reclaimable_ones_of_the_last_wave_are_kept(self):
        """The need has gone down between two waves, and a zone is reclaimed there.

        The cloud had no reclaimable servers for the next wave; those that had been
        given up in the dip were missing, or cost five times as much.
        """
        zones = {z: ZoneServers(reclaimable=2) for z in PRICES}
        found = sizes(2, zones, held=4)
        assert found == {"a": [2, 0], "b": [2, 0], "c": [2, 0]}
        assert sizes(2, zones, held=2) == {"a": [1, 0], "b": [1, 0], "c": [1, 0]}


class TestHighestOfLate:
    def test_waves_of_forty_seconds(self):
        """Load goes up and down in waves of 40 s, from two servers to six.

        What costs 0.18 of an on-demand server is kept as many times longer: over a
        dip, and no longer than the next wave would have come.
        """
        highest = HighestOfLate()
        kept = []
        for second in range(200):
            wave = 4 + 2 * math.cos(2 * math.pi * min(second, 80) / 40)
            need = wave if second < 100 else 2.0
            highest.note(need, float(second))
            kept.append(highest.value(float(second), SHRINK_S / 0.18))
        assert min(kept[:100]) > 5.9
        assert kept[150] == 2.0


class TestNeed:
    def test_grows_at_once_and_shrinks_late(self):
        need = Need(2.0)
        need.note(5.0, 1.0)
        assert need.servers == 5.0
        for step in range(int(SHRINK_S)):
            need.note(3.0, 1.5 + step)
        assert need.servers == 5.0
        need.note(2.0, 1.5 + SHRINK_S)
        assert need.servers == 3.0
