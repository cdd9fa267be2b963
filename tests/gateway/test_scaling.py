"""Tests of the scaling duty of a node, in virtual time."""

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


def scalable_configuration():
    """Return a configuration that allows scaling of the model service."""
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
    """Return one node at its desired size: two reclaimable servers per zone."""
    async with platform_system(
        models=0, configuration=scalable_configuration(), duties=["usage", "scaling"]
    ) as system:
        for number in range(6):
            zone = ZONES[number % 3]
            await system.add_server(f"r{number}", MODEL, zone=zone, spot=True)
        await trio.sleep(20)
        system.cloud.calls.clear()
        yield system


def orders_since(fleet, since_s):
    """Return (time since, zone, on demand, count) of the orders that were sent."""
    return [
        (
            call.timestamp_s - since_s,
            call.body["zone"],
            not call.body.get("spot"),
            wanted,
        )
        for call in fleet.cloud.calls
        if call.duty == "scale" and call.timestamp_s >= since_s
        if (wanted := call.body["desired"])
    ]


class TestReclaim:
    async def test_servers_that_do_not_announce_a_drain(self, autojump_clock, fleet):
        """A zone is reclaimed; the entries of its servers vanish without a drain.

        The zone has no reclaimable capacity. The missing servers counted as running for
        two seconds, the refusal was handled one step later, and an on-demand server
        takes four seconds to boot: a second zone was reclaimed before it was running.
        """
        fleet.cloud.faults.exhausted_zones.add("z1")
        began_s = trio.current_time()
        for name in ("r1", "r4"):
            fleet.store.remove("servers", name)
        await trio.sleep(1.0)
        on_demand = [order for order in orders_since(fleet, began_s) if order[2]]
        assert on_demand
        assert on_demand[0][0] < 0.6

    async def test_soon_after_an_order(self, autojump_clock, fleet):
        """A zone loses its servers three seconds after their last order.

        That order was already fulfilled, but the lost servers were replaced only after
        the boot time of the order and four more seconds.
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

    async def test_entries_expire_in_an_outage(self, autojump_clock, fleet):
        """Entries of all zones vanish together and return within two seconds.

        They expired while the store was unreachable. If the servers were replaced, each
        of them would be paid for twice.
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
    async def test_servers_are_retained_for_the_first_wave(self, autojump_clock, fleet):
        """Traffic begins low, before the first wave.

        Servers were released in that trough, and the cloud had none for the wave. Those
        ordered in advance cost a fraction of on-demand servers and are retained longer
        by the inverse factor.
        """
        began_s = trio.current_time()
        for number in range(24):
            await fleet.ask("/plan/x", request_id=f"r{number}", **MODEL_HEADERS)
            await trio.sleep(0.5)
        released = [order for order in orders_since(fleet, began_s) if order[3] < 2]
        assert not released
