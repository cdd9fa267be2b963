"""Seeded faults together: partitions, pauses, outages, lost answers, restarts."""

import random
from collections.abc import Callable

import pytest
import trio
from tests.process.configuration_fleet import ZONES, Region, run_region

from rosemaryknot.version.submission import Accepted, PatchUnknown, StalePatch

NODES = 6
STEPS = 12
STEP_S = 4.0
QUIET_S = 30.0


class Chaos:
    """Operators at random agents, and one random fault at a time and kind."""

    def __init__(self, region: Region, seed: int) -> None:
        self.region = region
        self.rng = random.Random(seed)
        self.accepted: dict[str, int] = {}
        self.stale: set[str] = set()
        self.unknown: set[str] = set()
        self.submitted = 0
        self.faults: list[Callable[[], Callable[[], None]]] = [
            self.cut_zone,
            self.pause_node,
            self.outage,
            self.lose_answers,
            self.late_writes,
            self.restart_node,
        ]

    def cut_zone(self) -> Callable[[], None]:
        zone = self.rng.choice(ZONES)
        self.region.cut_off(zone)
        return lambda: self.region.cut_off(zone, heal=True)

    def pause_node(self) -> Callable[[], None]:
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

    async def operate(self) -> None:
        """Submit a patch through a random agent, as an operator who saw its number."""
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
        """Let faults and operators come, then quiet."""
        async with trio.open_nursery() as nursery:
            for _ in range(STEPS):
                ends = [fault() for fault in self.rng.sample(self.faults, 2)]
                for _ in range(3):
                    nursery.start_soon(self.operate)
                    await trio.sleep(self.rng.uniform(0, STEP_S / 2))
                for end in ends:
                    end()
                await trio.sleep(self.rng.uniform(0, STEP_S))
        await trio.sleep(QUIET_S)


class TestFaultsTogether:
    @pytest.mark.parametrize("seed", range(4))
    def test_accepted_changes_stay(self, seed):
        """Two faults at a time hit a region while operators race each other.

        Afterwards all nodes hold one version. Every patch that was called accepted
        is in it under the number that was given, no other has that number, none
        that was called stale came in all the same, and no node ever went back.
        """

        async def main(region: Region) -> None:
            await region.start(NODES)
            chaos = Chaos(region, seed)
            await chaos.run()
            stored = region.standin.kinds["configuration"].objects["main"].value
            assert region.numbers() == [stored["number"]] * NODES
            assert chaos.accepted.items() <= stored["patches"].items()
            assert not chaos.stale & stored["patches"].keys()
            assert len(set(stored["patches"].values())) == len(stored["patches"])
            assert not any(agent.holder.conflict for agent in region.agents)
            assert region.reverts() == 0
            assert chaos.accepted

        run_region(main, seed=seed, expected=2)
