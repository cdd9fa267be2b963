"""System with placements in virtual time, for tests of placement."""

import trio
from trio.testing import MockClock

from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.replay.hosts import HostInstrument
from rosemaryknot.replay.system import System, SystemPlan
from rosemaryknot.values.nodes import ServerState

MODEL = "kit-assistant"
ZONES = ["waco-a", "waco-b", "temple-c"]
CLASSES = ["g1", "g2"]


class Fleet:
    """A running system whose placement starts its own instances."""

    def __init__(self, system):
        self.system = system
        self.platform = system.platform
        self.cloud = system.platform.cloud

    def live_instances(self, zone=None):
        """Return the live instances of the service according to the platform."""
        return sorted(
            server.instance
            for server in self.cloud.servers.values()
            if server.service == MODEL
            and server.state == ServerState.LIVE
            and zone in (None, server.zone)
        )

    def live_counts(self):
        return {zone: len(self.live_instances(zone)) for zone in ZONES}

    def duties(self):
        """Return the placement duties of all nodes by node name."""
        return {
            name: node.agent_process.placement.duties[MODEL]
            for name, node in self.system.nodes.items()
            if node.agent_process is not None
            and MODEL in node.agent_process.placement.duties
        }

    def holders(self):
        """Return the nodes that consider themselves holder of the lease."""
        duties = self.duties().items()
        return [name for name, duty in duties if duty.lease.is_held()]

    async def wait_for_holder(self, other_than=""):
        """Wait for a lease holder and return its name and duty."""
        while not [name for name in self.holders() if name != other_than]:
            await trio.sleep(0.1)
        name = next(name for name in self.holders() if name != other_than)
        return name, self.duties()[name]

    async def wait_until(self, condition, timeout_s):
        """Wait until a condition holds and return the elapsed time in seconds."""
        begin_s = trio.current_time()
        with trio.fail_after(timeout_s):
            while not condition():
                await trio.sleep(0.1)
        return trio.current_time() - begin_s


def run_fleet(scenario, per_zone=2, servers=0, share=0.5, service=None, **safeguards):
    """Run an async function with a fleet in virtual time and return its result."""
    placement = {"count": per_zone, "classes": CLASSES, "reclaimable_share": share}
    document = {
        "services": {
            MODEL: {"kind": "model", "timeout_s": 60, "checks_fencing": True}
            | (service or {})
        },
        "placements": {MODEL: {zone: placement for zone in ZONES}},
    }
    plan = SystemPlan(document, ZONES, 1, {MODEL: servers}, {MODEL: "model"})
    plan.engine.checks_fencing = document["services"][MODEL]["checks_fencing"]
    plan.safeguards = Safeguards(**safeguards)
    results = []

    async def main():
        async with trio.open_nursery() as nursery:
            system = System(plan, nursery)
            for zone in ZONES:
                for name, factor in zip(CLASSES, (1.0, 1.5), strict=True):
                    prices = system.platform.cloud.prices
                    prices[zone, name, True] = 1.0 * factor
                    prices[zone, name, False] = 3.0 * factor
            try:
                await system.start()
                with trio.fail_after(900.0):
                    results.append(await scenario(Fleet(system)))
            finally:
                system.dispose()
                nursery.cancel_scope.cancel()

    trio.run(
        main, clock=MockClock(autojump_threshold=0), instruments=[HostInstrument()]
    )
    return results[0]
