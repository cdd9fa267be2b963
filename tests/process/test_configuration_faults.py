"""Seeded faults: partitions, suspensions, outages, lost responses, restarts."""

import random
from collections.abc import Callable

import pytest
import trio
from tests.process.configuration_fleet import ZONES, Region, run_region

from rosemaryknot.version.submission import Accepted, PatchUnknown, StalePatch

NODES = 6
STEPS = 12
STEP_S = 4.0
SETTLING_S = 30.0


class FaultInjector:
    """Operators at random agents, and random faults, at most one of each kind."""

    def __init__(self, region: Region, seed: int) -> None:
        self.region = region
        self.rng = random.Random(seed)
        self.accepted: dict[str, int] = {}
        self.stale: set[str] = set()
        self.unknown: set[str] = set()
        self.submitted = 0
        self.faults: list[Callable[[], Callable[[], None]]] = [
            self.partition_random_zone,
            self.suspend_node,
            self.outage,
            self.lose_answers,
            self.late_writes,
            self.restart_node,
        ]

    def partition_random_zone(self) -> Callable[[], None]:
        zone = self.rng.choice(ZONES)
        self.region.partition_zone(zone)
        return lambda: self.region.partition_zone(zone, heal=True)

    def suspend_node(self) -> Callable[[], None]:
        agent = self.rng.choice(self.region.agents)
        agent.host.freeze()
        return agent.host.thaw

    def outage(self) -> Callable[[], None]:
        faults = self.region.standin.faults
        faults.outage = self.rng.choice(["silent", "refuse"])
        return lambda: setattr(faults, "outage", "")

    def lose_answers(self) -> Callable[[], None]:
        self.region.standin.faults.lose_answers = self.rng.randint(1, 3)
        return lambda: None

    def late_writes(self) -> Callable[[], None]:
        faults = self.region.standin.faults
        faults.late_effect_s = self.rng.uniform(1, 9)
        return lambda: setattr(faults, "late_effect_s", 0.0)

    def restart_node(self) -> Callable[[], None]:
        index = self.rng.randrange(NODES)
        old = self.region.agents[index]
        old.host.kill()
        self.region.add(index, old.node.incarnation + 1)
        return lambda: None

    async def submit_patch(self) -> None:
        """Submit a patch to a random agent, based on the version active there."""
        agent = self.rng.choice(self.region.agents)
        self.submitted += 1
        name = f"patch-{self.submitted:04}"
        result = await agent.submit(agent.holder.number, 10 + self.submitted, name=name)
        if isinstance(result, Accepted):
            assert name not in self.accepted
            self.accepted[name] = result.number
        elif isinstance(result, PatchUnknown):
            self.unknown.add(name)
        elif isinstance(result, StalePatch):
            self.stale.add(name)

    async def run(self) -> None:
        """Inject faults and submit patches, then wait until the region settles."""
        async with trio.open_nursery() as nursery:
            for _ in range(STEPS):
                ends = [fault() for fault in self.rng.sample(self.faults, 2)]
                for _ in range(3):
                    nursery.start_soon(self.submit_patch)
                    await trio.sleep(self.rng.uniform(0, STEP_S / 2))
                for end in ends:
                    end()
                await trio.sleep(self.rng.uniform(0, STEP_S))
        await trio.sleep(SETTLING_S)


class TestFaultsTogether:
    @pytest.mark.parametrize("seed", range(4))
    def test_accepted_changes_stay(self, seed):
        """A region has two faults at a time while operators submit concurrently.

        Afterwards all nodes hold the same version. Every patch reported as accepted is
        in it under the reported number, which no other patch has. No patch reported as
        stale is in it, and no node ever reverted.
        """

        async def main(region: Region) -> None:
            await region.start(NODES)
            injector = FaultInjector(region, seed)
            await injector.run()
            stored = region.standin.kinds["configuration"].objects["main"].value
            assert region.numbers() == [stored["number"]] * NODES
            assert injector.accepted.items() <= stored["patches"].items()
            assert not injector.stale & stored["patches"].keys()
            assert len(set(stored["patches"].values())) == len(stored["patches"])
            assert not any(agent.holder.conflict for agent in region.agents)
            assert region.reverts() == 0
            assert injector.accepted

        run_region(main, seed=seed, expected=2)
