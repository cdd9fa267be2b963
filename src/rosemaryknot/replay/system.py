"""Whole system in one operating system process and in virtual time.

Entries and agents run the same main functions as in production; only the network and
the clock are simulated, and the platform and the backend servers are stand-ins. Each
simulated process has its own host, so that an agent can be frozen or killed while the
entry of its node keeps running.
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
PLATFORM_ADDRESS = Address("10.255.0.1", 7000)
CALLERS_HOST = "10.254.0.1"
CALLERS_PORT, OPERATORS_PORT, LINKS_PORT, SERVER_PORT = 8100, 8200, 8300, 9000


def unix_time() -> float:
    """Return the simulated wall clock time of a run, in seconds since the epoch."""
    return EPOCH_UNIX_S + trio.current_time()


@dataclass(slots=True)
class SystemPlan:
    """Initial state and parameters of a run.

    Attributes
    ----------
    document : dict
        Configuration document that is active from the start.
    zones : list of str
        Availability zones.
    nodes_per_zone : int
        Number of nodes in each zone; each has one entry and one agent.
    servers : dict of str to int
        Number of backend servers of each service in each zone.
    kinds : dict of str to str
        Kind of each service: ``model`` or ``plain``.
    delay_s : float
        One-way delay between zones, in seconds.
    engine : EngineSettings
        Settings of the engine stand-ins.
    plain : PlainSettings
        Settings of the stand-ins of plain services.
    safeguards : Safeguards
        All enabled, except in a run that shows what one of them prevents.
    seed : int
        Seed of the random number generators of all processes.
    move_policy : str
        Policy by which entries move the streams of a draining server.
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
    """Entry and agent of one node.

    Attributes
    ----------
    settings : Settings
        Settings of both processes.
    entry, agent : Host
        Hosts on which they run.
    entry_stop, agent_stop : trio.Event
        Set to request a graceful shutdown.
    entry_stopped, agent_stopped : trio.Event
        Set when a graceful shutdown has completed.
    entry_process : Entry or None
        Running entry; None while none runs.
    agent_process : Agent or None
        Running agent; None while none runs.
    """

    settings: Settings
    entry: Host
    agent: Host
    entry_stop: trio.Event = field(default_factory=trio.Event)
    agent_stop: trio.Event = field(default_factory=trio.Event)
    entry_stopped: trio.Event = field(default_factory=trio.Event)
    agent_stopped: trio.Event = field(default_factory=trio.Event)
    entry_process: Entry | None = None
    agent_process: Agent | None = None


@dataclass(slots=True)
class ServerProcess:
    """Backend server of a run.

    Attributes
    ----------
    listed : BackendServer
        Its entry in the instance list of the platform.
    host : Host
        Host on which it runs.
    standin : EngineStandIn or PlainStandIn
        Its stand-in, which records in a ledger all requests that it executes.
    started_s, ended_s : float
        Times at which it started to serve and was terminated, in virtual seconds;
        ``ended_s`` is infinite until it is terminated.
    """

    listed: BackendServer
    host: Host
    standin: EngineStandIn | PlainStandIn
    started_s: float
    ended_s: float = math.inf


class System:
    """Running system in virtual time.

    Parameters
    ----------
    plan : SystemPlan
        Initial state and parameters.
    nursery : trio.Nursery
        Nursery in which its processes run.

    Attributes
    ----------
    network : MemoryNetwork
        Simulated network, into which faults can be injected.
    platform : PlatformStandIn
        Stand-in of the platform, into which faults can be injected.
    nodes : dict of str to NodeProcesses
        Nodes by name.
    servers : dict of str to ServerProcess
        Backend servers by instance, terminated ones included.
    killed_entries : set of str
        Addresses, as callers know them, of entries that were killed without notice.
    """

    def __init__(self, plan: SystemPlan, nursery: trio.Nursery) -> None:
        self.plan = plan
        self.nursery = nursery
        self.network = MemoryNetwork()
        self.platform = PlatformStandIn(unix_time)
        self.platform_host = Host(self.network.with_host(PLATFORM_ADDRESS.host))
        self.callers = self.network.with_host(CALLERS_HOST)
        self.nodes: dict[str, NodeProcesses] = {}
        self.servers: dict[str, ServerProcess] = {}
        self.hosts: list[Host] = [self.platform_host]
        self.zone_by_host: dict[str, str] = {}
        self.killed_entries: set[str] = set()
        self.start_count = 0
        self.launch_count = 0

    async def start(self) -> None:
        """Start the platform, the backend servers and the nodes."""
        self.platform.cloud.on_terminated.append(self.kill_terminated)
        self.platform.cloud.launcher = self.launch
        stored = StoredConfiguration(number=1, document=self.plan.document)
        self.platform.kinds["configuration"].put("main", stored.to_value(), 0)
        await self.start_on(
            self.platform_host,
            self.platform.serve,
            self.platform_host.network,
            PLATFORM_ADDRESS,
        )
        for number, zone in enumerate(self.plan.zones, 1):
            for service, count in self.plan.servers.items():
                for _ in range(count):
                    await self.start_server(service, zone)
            for index in range(1, self.plan.nodes_per_zone + 1):
                self.configure_node(zone, number, index)
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
        """Create a host with a new address in a zone."""
        address = f"10.{number}.{kind}.{index}"
        for other, other_zone in self.zone_by_host.items():
            if other_zone != zone:
                self.network.delays_s[frozenset((address, other))] = self.plan.delay_s
        self.zone_by_host[address] = zone
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
        """Start a backend server and add it to the instance list of the platform."""
        self.start_count += 1
        listed = BackendServer(
            instance=f"{service}-{zone}-{self.start_count}",
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

        The cloud stand-in also calls this when placement starts an instance.
        """
        self.launch_count += 1
        index = self.launch_count
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

    def configure_node(self, zone: str, number: int, index: int) -> None:
        """Configure a node and add it to the instance list.

        The first two nodes of each zone are the seed peers of all nodes.
        """
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
            platform=PLATFORM_ADDRESS,
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

    def new_random(self, name: str) -> random.Random:
        """Return the random number generator of one process."""
        return random.Random(f"{self.plan.seed} {name} {self.start_count}")

    def start_agent(self, node: NodeProcesses) -> None:
        """Start the agent of a node."""
        rng = self.new_random(f"agent {node.settings.node}")

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
            node.agent_stopped.set()

        self.nursery.start_soon(node.agent.run, run)

    def start_entry(self, node: NodeProcesses) -> None:
        """Start the entry of a node."""
        rng = self.new_random(f"entry {node.settings.node}")

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
            node.entry_stopped.set()

        self.nursery.start_soon(node.entry.run, run)

    def restart_agent(self, name: str) -> None:
        """Kill the agent of a node, if it is running, and start a new one."""
        node = self.nodes[name]
        node.agent.kill()
        node.agent = self.replace_host(node.agent)
        node.agent_process = None
        node.agent_stop, node.agent_stopped = trio.Event(), trio.Event()
        self.start_agent(node)

    def restart_entry(self, name: str) -> None:
        """Kill the entry of a node, if it is running, and start a new one."""
        node = self.nodes[name]
        node.entry.kill()
        node.entry = self.replace_host(node.entry)
        node.entry_process = None
        node.entry_stop, node.entry_stopped = trio.Event(), trio.Event()
        self.start_entry(node)

    def replace_host(self, host: Host) -> Host:
        """Create a host at the address of one that was killed."""
        self.start_count += 1
        replacement = Host(host.network)
        self.hosts.append(replacement)
        return replacement

    def kill_node(self, name: str) -> None:
        """Kill both processes of a node and mark its instance as terminated."""
        node = self.nodes[name]
        node.entry.kill()
        node.agent.kill()
        self.platform.cloud.terminate(name)

    def kill_terminated(self, instance: str) -> None:
        """Kill the processes of a terminated instance."""
        if instance in self.servers:
            self.servers[instance].host.kill()
            self.servers[instance].ended_s = trio.current_time()
        if instance in self.nodes:
            self.nodes[instance].entry.kill()
            self.nodes[instance].agent.kill()

    def hosts_of_zone(self, zone: str) -> list[str]:
        """Return the IP addresses of the hosts of a zone."""
        return [
            host for host, host_zone in self.zone_by_host.items() if host_zone == zone
        ]

    def partition_zone(self, zone: str, platform_too: bool = True) -> None:
        """Partition a zone from the other zones and, if requested, the platform."""
        self.for_each_cross_zone_pair(zone, platform_too, self.network.cut)

    def heal_zone(self, zone: str) -> None:
        """End the partition of a zone."""
        self.for_each_cross_zone_pair(zone, True, self.network.heal)

    def for_each_cross_zone_pair(
        self, zone: str, platform_too: bool, function: Callable[[str, str], None]
    ) -> None:
        """Call a function for each pair of hosts inside and outside a zone."""
        inside = self.hosts_of_zone(zone)
        outside = [h for h, host_zone in self.zone_by_host.items() if host_zone != zone]
        if platform_too:
            outside.append(PLATFORM_ADDRESS.host)
        for near in inside:
            for far in outside:
                function(near, far)

    def dispose(self) -> None:
        """Cancel the tasks of all processes, those of killed hosts included."""
        for host in self.hosts:
            host.dispose()
