"""The whole system in one process and in virtual time, over the stand-ins.

The entries and agents are the same functions that the live programs run; only the
network and the clock differ. Each process is a host of its own, so that an agent can
be frozen or killed while the entry of its node goes on.
"""

import math
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import trio

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.process.agent import Agent, run_agent
from rosemaryknot.process.entry import Entry, run_entry
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.process.settings import Listen, Settings
from rosemaryknot.replay.hosts import Host
from rosemaryknot.standin.engine import EngineSettings, EngineStandIn
from rosemaryknot.standin.plain import PlainSettings, PlainStandIn
from rosemaryknot.standin.platform import PlatformStandIn
from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.version.stored import StoredConfiguration

__all__ = ["NodeProcesses", "ServerProcess", "System", "SystemPlan", "unix_time"]

EPOCH_UNIX_S = 1_800_000_000.0
CLUSTER_KEY = b"a key for runs in virtual time"
NODE_SERVICE = "rosemaryknot"
PLATFORM = Address("10.255.0.1", 7000)
CALLERS_HOST = "10.254.0.1"
CALLERS_PORT, OPERATORS_PORT, LINKS_PORT, SERVER_PORT = 8100, 8200, 8300, 9000


def unix_time() -> float:
    """Return the wall clock of a run in virtual time, seconds of the epoch."""
    return EPOCH_UNIX_S + trio.current_time()


@dataclass(slots=True)
class SystemPlan:
    """What a run starts with.

    Attributes
    ----------
    document : dict
        Configuration document in force from the start.
    zones : list of str
        Availability zones.
    nodes_per_zone : int
        Entry instances of each zone.
    servers : dict of str to int
        Backend servers of each service in each zone.
    kinds : dict of str to str
        ``model`` or ``plain`` for each service.
    delay_s : float
        One-way delay between zones, in seconds.
    engine : EngineSettings
        What the engines are like.
    plain : PlainSettings
        What the plain services are like.
    safeguards : Safeguards
        All on, but in a run that proves what one prevents.
    seed : int
        Seed of every random choice of the processes.
    move_policy : str
        What the entries do with the streams of a leaving server.
    """

    document: dict[str, Any]
    zones: list[str]
    nodes_per_zone: int
    servers: dict[str, int]
    kinds: dict[str, str]
    delay_s: float = 0.0005
    engine: EngineSettings = field(default_factory=EngineSettings)
    plain: PlainSettings = field(default_factory=PlainSettings)
    safeguards: Safeguards = field(default_factory=Safeguards)
    seed: int = 0
    move_policy: str = "planned_moves"


@dataclass(slots=True)
class NodeProcesses:
    """The entry and the agent of one node.

    Attributes
    ----------
    settings : Settings
        Of both.
    entry, agent : Host
        Where they run.
    entry_stop, agent_stop : trio.Event
        Ask for a planned stop.
    entry_ended, agent_ended : trio.Event
        Set when a planned stop is over.
    entry_process : Entry or None
        The entry that serves; None while there is none.
    agent_process : Agent or None
        The agent that serves; None while there is none.
    """

    settings: Settings
    entry: Host
    agent: Host
    entry_stop: trio.Event = field(default_factory=trio.Event)
    agent_stop: trio.Event = field(default_factory=trio.Event)
    entry_ended: trio.Event = field(default_factory=trio.Event)
    agent_ended: trio.Event = field(default_factory=trio.Event)
    entry_process: Entry | None = None
    agent_process: Agent | None = None


@dataclass(slots=True)
class ServerProcess:
    """One backend server.

    Attributes
    ----------
    listed : BackendServer
        As the platform lists it.
    host : Host
        Where it runs.
    standin : EngineStandIn or PlainStandIn
        Its stand-in, with the ledger.
    started_s, ended_s : float
        When it began to serve and was terminated, in virtual seconds; infinite
        while it was not.
    """

    listed: BackendServer
    host: Host
    standin: EngineStandIn | PlainStandIn
    started_s: float
    ended_s: float = math.inf


class System:
    """A running system.

    Parameters
    ----------
    plan : SystemPlan
        What it starts with.
    nursery : trio.Nursery
        Where its processes run.

    Attributes
    ----------
    network : MemoryNetwork
        The network, with its faults.
    platform : PlatformStandIn
        The platform, with its faults.
    nodes : dict of str to NodeProcesses
        Our nodes by name.
    servers : dict of str to ServerProcess
        Backend servers by instance, terminated ones included.
    unannounced : set of str
        Callers' addresses of entries that died without notice.
    """

    def __init__(self, plan: SystemPlan, nursery: trio.Nursery) -> None:
        self.plan = plan
        self.nursery = nursery
        self.network = MemoryNetwork()
        self.platform = PlatformStandIn(unix_time)
        self.platform_host = Host(self.network.with_host(PLATFORM.host))
        self.callers = self.network.with_host(CALLERS_HOST)
        self.nodes: dict[str, NodeProcesses] = {}
        self.servers: dict[str, ServerProcess] = {}
        self.hosts: list[Host] = [self.platform_host]
        self.zone_of_host: dict[str, str] = {}
        self.unannounced: set[str] = set()
        self.starts = 0
        self.launches = 0

    async def start(self) -> None:
        """Start the platform, the backend servers and the nodes."""
        self.platform.cloud.on_terminated.append(self.note_terminated)
        self.platform.cloud.launcher = self.launch
        stored = StoredConfiguration(number=1, document=self.plan.document)
        self.platform.kinds["configuration"].put("main", stored.to_value(), 0)
        await self.start_on(
            self.platform_host,
            self.platform.serve,
            self.platform_host.network,
            PLATFORM,
        )
        for number, zone in enumerate(self.plan.zones, 1):
            for service, count in self.plan.servers.items():
                for _ in range(count):
                    await self.start_server(service, zone)
            for index in range(1, self.plan.nodes_per_zone + 1):
                self.plan_node(zone, number, index)
        for node in self.nodes.values():
            self.start_agent(node)
            self.start_entry(node)

    async def start_on(
        self, host: Host, serve: Callable[..., Awaitable[None]], *args: Any
    ) -> None:
        """Run a server on a host and wait until it listens."""
        listening = trio.Event()

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(serve, *args)
                listening.set()

        self.nursery.start_soon(host.run, run)
        await listening.wait()

    def new_host(self, number: int, kind: int, index: int, zone: str) -> Host:
        """Return a host at an address of its own in a zone."""
        address = f"10.{number}.{kind}.{index}"
        for other, other_zone in self.zone_of_host.items():
            if other_zone != zone:
                self.network.delays_s[frozenset((address, other))] = self.plan.delay_s
        self.zone_of_host[address] = zone
        host = Host(self.network.with_host(address))
        self.hosts.append(host)
        return host

    async def start_server(
        self,
        service: str,
        zone: str,
        machine_class: str = "g1",
        reclaimable: bool = True,
    ) -> ServerProcess:
        """Start one backend server and let the platform list it."""
        self.starts += 1
        listed = BackendServer(
            instance=f"{service}-{zone}-{self.starts}",
            service=service,
            zone=zone,
            machine_class=machine_class,
            reclaimable=reclaimable,
            address="",
            price_per_hour=self.platform.cloud.price(zone, machine_class, reclaimable),
        )
        listed.address = await self.launch(listed)
        self.platform.add_instance(listed)
        return self.servers[listed.instance]

    async def launch(self, listed: BackendServer) -> str:
        """Start the process of a new instance and return its address.

        The cloud calls this too, when our placement starts an instance.
        """
        self.launches += 1
        index = self.launches
        number = self.plan.zones.index(listed.zone) + 1
        host = self.new_host(number, 100 + index // 250, index % 250, listed.zone)
        address = Address(host.network.host, SERVER_PORT)
        if self.plan.kinds[listed.service] == "model":
            standin = EngineStandIn(self.plan.engine, unix_time)
        else:
            standin = PlainStandIn(self.plan.plain, unix_time)
        process = ServerProcess(listed, host, standin, trio.current_time())
        await self.start_on(host, standin.serve, host.network, address)
        self.servers[listed.instance] = process
        return str(address)

    def plan_node(self, zone: str, number: int, index: int) -> None:
        """Lay out one node; the first two of each zone are everybody's seeds."""
        entry = self.new_host(number, 0, index, zone)
        agent = self.new_host(number, 1, index, zone)
        links = Address(agent.network.host, LINKS_PORT)
        settings = Settings(
            node=f"{zone}-{index}",
            zone=zone,
            region="tx-central",
            listen=Listen(
                callers=Address(entry.network.host, CALLERS_PORT),
                operators=Address(agent.network.host, OPERATORS_PORT),
                links=links,
            ),
            agent=links,
            peers=[
                Address(f"10.{other}.1.{seed}", LINKS_PORT)
                for other in range(1, len(self.plan.zones) + 1)
                for seed in range(1, min(2, self.plan.nodes_per_zone) + 1)
                if (other, seed) != (number, index)
            ],
            platform=PLATFORM,
            cluster_key_env="KEY",
        )
        settings.cluster_key = CLUSTER_KEY
        self.nodes[settings.node] = NodeProcesses(settings, entry, agent)
        self.platform.add_instance(
            BackendServer(
                instance=settings.node,
                service=NODE_SERVICE,
                zone=zone,
                machine_class="small",
                reclaimable=True,
                address=str(settings.listen.callers),
            )
        )

    def random_for(self, name: str) -> random.Random:
        """Return the random numbers of one process."""
        return random.Random(f"{self.plan.seed} {name} {self.starts}")

    def start_agent(self, node: NodeProcesses) -> None:
        """Start the agent of a node."""
        rng = self.random_for(f"agent {node.settings.node}")

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                node.agent_process = await nursery.start(
                    partial(run_agent, safeguards=self.plan.safeguards),
                    node.settings,
                    node.agent_stop,
                    node.agent.network,
                    rng,
                    unix_time,
                )
            node.agent_process = None
            node.agent_ended.set()

        self.nursery.start_soon(node.agent.run, run)

    def start_entry(self, node: NodeProcesses) -> None:
        """Start the entry of a node."""
        rng = self.random_for(f"entry {node.settings.node}")

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                process = await nursery.start(
                    run_entry,
                    node.settings,
                    node.entry_stop,
                    node.entry.network,
                    rng,
                    unix_time,
                    self.plan.safeguards,
                )
                process.relay.mover.policy = self.plan.move_policy
                node.entry_process = process
            node.entry_process = None
            node.entry_ended.set()

        self.nursery.start_soon(node.entry.run, run)

    def restart_agent(self, name: str) -> None:
        """Kill the agent of a node, if it lives, and start a new one."""
        node = self.nodes[name]
        node.agent.kill()
        node.agent = self.replace_host(node.agent)
        node.agent_process = None
        node.agent_stop, node.agent_ended = trio.Event(), trio.Event()
        self.start_agent(node)

    def restart_entry(self, name: str) -> None:
        """Kill the entry of a node, if it lives, and start a new one."""
        node = self.nodes[name]
        node.entry.kill()
        node.entry = self.replace_host(node.entry)
        node.entry_process = None
        node.entry_stop, node.entry_ended = trio.Event(), trio.Event()
        self.start_entry(node)

    def replace_host(self, host: Host) -> Host:
        """Return a new host at the same address."""
        self.starts += 1
        replacement = Host(host.network)
        self.hosts.append(replacement)
        return replacement

    def kill_node(self, name: str) -> None:
        """Take a node's instance away: both processes, confirmed by the platform."""
        node = self.nodes[name]
        node.entry.kill()
        node.agent.kill()
        self.platform.cloud.terminate(name)

    def note_terminated(self, instance: str) -> None:
        """Kill the process of a terminated instance."""
        if instance in self.servers:
            self.servers[instance].host.kill()
            self.servers[instance].ended_s = trio.current_time()
        if instance in self.nodes:
            self.nodes[instance].entry.kill()
            self.nodes[instance].agent.kill()

    def hosts_of_zone(self, zone: str) -> list[str]:
        """Return the IP numbers of a zone."""
        return [host for host, known in self.zone_of_host.items() if known == zone]

    def cut_zone(self, zone: str, platform_too: bool = True) -> None:
        """Partition a zone from the other zones, and from the platform."""
        self.for_each_border(zone, platform_too, self.network.cut)

    def heal_zone(self, zone: str) -> None:
        """End the partition of a zone."""
        self.for_each_border(zone, True, self.network.heal)

    def for_each_border(
        self, zone: str, platform_too: bool, act: Callable[[str, str], None]
    ) -> None:
        """Act on each pair of hosts with one inside and one outside of a zone."""
        inside = self.hosts_of_zone(zone)
        outside = [h for h, known in self.zone_of_host.items() if known != zone]
        if platform_too:
            outside.append(PLATFORM.host)
        for near in inside:
            for far in outside:
                act(near, far)

    def dispose(self) -> None:
        """End all processes, dead ones included."""
        for host in self.hosts:
            host.dispose()
