"""Tests of the sizes of services, ordered by a node in virtual time."""

import pytest
import trio

from rosemaryknot.standin.users.system import (
    MODEL,
    MODEL_HEADERS,
    document,
    platform_system,
)

ZONES = ("z0", "z1", "z2")
BOOT_S = 4.0


def with_sizes():
    """Return a configuration in which the model service's size may be set."""
    configuration = document()
    configuration["services"][0]["scaling"] = {
        "minReplicas": 1,
        "maxReplicas": 3,
        "bootS": BOOT_S,
        "spotPrice": 0.18,
        "zonePrices": dict.fromkeys(ZONES, 1.0),
    }
    return configuration


@pytest.fixture
async def fleet():
    """Return one node that has the sizes it wants: two reclaimable servers a zone."""
    async with platform_system(
        models=0, configuration=with_sizes(), duties=["usage", "scaling"]
    ) as system:
        for number in range(6):
            zone = ZONES[number % 3]
            await system.add_server(f"r{number}", MODEL, zone=zone, spot=True)
        await trio.sleep(20)
        system.cloud.calls.clear()
        yield system


def orders_since(fleet, since_s):
    """Return (time since, zone, on demand, count) of the orders that were given."""
    return [
        (call.at_s - since_s, call.body["zone"], not call.body.get("spot"), wanted)
        for call in fleet.cloud.calls
        if call.duty == "scale" and call.at_s >= since_s
        if (wanted := call.body["desired"])
    ]


class TestReclaim:
    async def test_servers_that_do_not_say_that_they_leave(self, autojump_clock, fleet):
        """A zone is reclaimed; its servers' entries vanish without a word of leaving.

        The cloud has no reclaimable ones there. Those that vanished counted as there
        for two seconds, the refusal was answered a step later, and an on-demand server
        takes four to boot: a second zone was reclaimed before it came.
        """
        fleet.cloud.faults.dry_zones.add("z1")
        began_s = trio.current_time()
        for name in ("r1", "r4"):
            fleet.store.remove("servers", name)
        await trio.sleep(1.0)
        on_demand = [order for order in orders_since(fleet, began_s) if order[2]]
        assert on_demand
        assert on_demand[0][0] < 0.6

    async def test_soon_after_an_order(self, autojump_clock, fleet):
        """A zone loses its servers three seconds after their last order.

        They had come by then. Their place was filled only when an order had had the
        time for a boot and four seconds more.
        """
        fleet.store.remove("servers", "r1")
        fleet.store.remove("servers", "r4")
        await trio.sleep(2.5)
        for name in ("r1", "r4"):
            entry = fleet.servers[name].entry
            fleet.store.put("servers", f"{name}-next", entry)
        await trio.sleep(0.7)
        began_s = trio.current_time()
        for name in ("r1-next", "r4-next"):
            fleet.store.remove("servers", name)
        await trio.sleep(1.2)
        assert [order[1] for order in orders_since(fleet, began_s)] == ["z1"]

    async def test_entries_lapse_in_an_outage(self, autojump_clock, fleet):
        """Entries of all zones are gone at one moment, and back within two seconds.

        They lapsed while the store was away; replaced, each server would be paid twice.
        """
        began_s = trio.current_time()
        entries = {name: fleet.servers[name].entry for name in ("r0", "r1", "r2")}
        for name in entries:
            fleet.store.remove("servers", name)
        await trio.sleep(1.5)
        for name, entry in entries.items():
            fleet.store.put("servers", name, entry)
        await trio.sleep(1.5)
        assert not orders_since(fleet, began_s)


class TestFirstTraffic:
    async def test_servers_are_kept_for_the_first_wave(self, autojump_clock, fleet):
        """Servers were given up in the first dip, and the cloud had none for the wave.

        Traffic begins low. What was ordered for it costs a fraction of others and is
        kept as many times longer.
        """
        began_s = trio.current_time()
        for number in range(24):
            await fleet.ask("/plan/x", request_id=f"r{number}", **MODEL_HEADERS)
            await trio.sleep(0.5)
        given_up = [order for order in orders_since(fleet, began_s) if order[3] < 2]
        assert not given_up
