"""A region of agents with peers, a platform and hosts that can be suspended."""

import random
from collections.abc import Callable

import trio
from tests.version.documents import count_patch, first_patch
from trio.testing import MockClock

from rosemaryknot.connection.links import Handlers
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.platform import PlatformClient
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.configuration_distributor import (
    ConfigurationDistributor,
    register_configuration_handlers,
)
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.replay.hosts import Host, HostInstrument
from rosemaryknot.standin.platform import PlatformStandIn
from rosemaryknot.values.nodes import Address, Node
from rosemaryknot.version.patch import Patch
from rosemaryknot.version.store import ConfigurationStore
from rosemaryknot.version.submission import SubmitResult
from rosemaryknot.version.view import ConfigurationView
from rosemaryknot.version.watch import ConfigurationWatcher

KEY = b"k" * 32
ZONES = ("waco-a", "waco-b", "temple-c")
PLATFORM = Address("127.0.9.9", 7000)
SEEDS = 3


class Agent:
    """The configuration components of one agent, on a host of its own."""

    def __init__(self, region: "Region", index: int, incarnation: int = 1) -> None:
        self.region = region
        self.zone = ZONES[index % len(ZONES)]
        self.ip = f"127.0.{1 + index // 200}.{1 + index % 200}"
        self.host = Host(region.network.with_host(self.ip))
        self.node = Node(f"n{index}", self.zone, incarnation)
        self.holder = ConfigurationHolder(ConfigurationView.from_document)
        handlers = Handlers()
        rng = random.Random(f"{region.seed} {index} {incarnation}")
        seeds = [Address(f"127.0.1.{1 + i}", 8300) for i in range(SEEDS)]
        self.peers = PeerSet(
            self.host.network,
            self.node,
            Address(self.ip, 8300),
            KEY,
            [seed for seed in seeds if seed.host != self.ip],
            handlers,
            rng=rng,
        )
        self.distributor = ConfigurationDistributor(
            self.node, self.holder, self.peers, expected=region.expected, rng=rng
        )
        register_configuration_handlers(handlers, self.holder, self.distributor)
        self.platform = PlatformClient(self.host.network, PLATFORM)
        self.store = ConfigurationStore(self.platform, self.holder, lambda: 1000.0)
        self.watcher = ConfigurationWatcher(self.store, self.distributor, rng)
        self.seen: list[tuple[float, int]] = []

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.record_versions)
            await nursery.start(self.peers.run)
            nursery.start_soon(self.distributor.run)
            if not self.region.without_watch:
                nursery.start_soon(self.watcher.run)

    async def record_versions(self) -> None:
        """Record the times at which versions became active."""
        number = 0
        while True:
            number = (await self.holder.wait_changed(number)).number
            self.seen.append((trio.current_time(), number))

    async def submit(self, base: int, count: int, name: str = "") -> SubmitResult:
        name = name or f"patch-{self.node.name}-{base}"
        operations = count_patch("waco-b", count)
        return await self.store.submit(Patch(name, base, operations, "ana"))


class Region:
    """Agents assigned round-robin to three zones, and one platform."""

    def __init__(self, nursery: trio.Nursery, seed: int = 1) -> None:
        self.nursery = nursery
        self.seed = seed
        self.network = MemoryNetwork("127.0.9.1")
        self.standin = PlatformStandIn()
        self.agents: list[Agent] = []
        self.hosts: list[Host] = []
        self.expected = 0
        self.without_watch = False

    async def start(self, count: int) -> None:
        """Start the platform with version 1 and a number of agents."""
        network = self.network.with_host(PLATFORM.host)
        await self.nursery.start(self.standin.serve, network, PLATFORM)
        for index in range(count):
            self.add(index)
        await trio.sleep(1)
        first = Patch("patch-first", 0, first_patch(), "ana")
        await self.agents[0].store.submit(first)
        await self.wait_active(1)

    def add(self, index: int, incarnation: int = 1) -> Agent:
        """Start an agent, or restart one."""
        agent = Agent(self, index, incarnation)
        self.agents[index : index + 1] = [agent]
        self.hosts.append(agent.host)
        self.nursery.start_soon(agent.host.run, agent.run)
        return agent

    def numbers(self) -> list[int]:
        return [agent.holder.number for agent in self.agents]

    async def wait_active(self, number: int, timeout_s: float = 30.0) -> float:
        """Return the seconds until the version is active at all agents."""
        start = trio.current_time()
        with trio.fail_after(timeout_s):
            for agent in self.agents:
                await agent.holder.wait_changed(number - 1)
        return trio.current_time() - start

    def hosts_of(self, zone: str) -> list[str]:
        return [agent.ip for agent in self.agents if agent.zone == zone]

    def partition_zone(self, zone: str, heal: bool = False) -> None:
        """Partition a zone from the others and the platform, or heal the partition."""
        inside = self.hosts_of(zone)
        outside = [agent.ip for agent in self.agents if agent.zone != zone]
        change = self.network.heal if heal else self.network.cut
        for one in inside:
            for other in [*outside, PLATFORM.host]:
                change(one, other)

    def reverts(self) -> int:
        """Return how often an agent reverted to an older version."""
        return sum(
            later[1] < earlier[1]
            for agent in self.agents
            for earlier, later in zip(agent.seen, agent.seen[1:], strict=False)
        )


def run_region(main: Callable, seed: int = 1, **options) -> object:
    """Run an async test function with a region in virtual time."""

    async def run() -> object:
        async with trio.open_nursery() as nursery:
            region = Region(nursery, seed)
            for name, value in options.items():
                setattr(region, name, value)
            try:
                result = await main(region)
            finally:
                # A suspended task cannot be cancelled, so the run would never end.
                for host in region.hosts:
                    host.dispose()
                nursery.cancel_scope.cancel()
        return result

    clock = MockClock(autojump_threshold=0)
    return trio.run(run, clock=clock, instruments=[HostInstrument()])
