"""A soak test: real node processes on loopback, external faults, invariants checked.

``make soak SEED=k`` runs one seed, ``make soak SEEDS=n`` new ones. The script stops
only processes that it started itself, by their process ids.
"""

import json
import math
import random
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Annotated, Any

import trio
import typer
from soak_proxy import SoakProxy

from rosemaryknot.connection.network import SocketNetwork
from rosemaryknot.process.node_settings import Bounds
from rosemaryknot.standin.users.audit import DRAIN_S, Observations, Violation, audit
from rosemaryknot.standin.users.cloud import CloudStandIn
from rosemaryknot.standin.users.configuration_changes import changed_document
from rosemaryknot.standin.users.disturbances import Disturbances
from rosemaryknot.standin.users.endless_responses import ENDLESS_NAMES
from rosemaryknot.standin.users.foreign_entries import (
    FOREIGN_ENTRIES,
    PAGE_SIZES,
    foreign_name,
    foreign_value,
)
from rosemaryknot.standin.users.play import (
    RESUMING_PER_S,
    SLOW_LINK_BYTES_PER_S,
    Play,
    play_load,
    record_observations,
)
from rosemaryknot.standin.users.response_ends import detectable_ends
from rosemaryknot.standin.users.restores import apply_restore, draw_restores
from rosemaryknot.standin.users.servers import (
    DEFAULT_VERSION,
    Ledger,
    ServerStandIn,
    server_entry,
)
from rosemaryknot.standin.users.servers import FAULTS as SERVER_FAULTS
from rosemaryknot.standin.users.store import StoreStandIn
from rosemaryknot.standin.users.system import (
    CRASH_DOWN_S,
    DEPLOYMENT_BOUNDS,
    MODEL,
    PLAIN,
    Answer,
    Caller,
    document,
)
from rosemaryknot.values.nodes import Address

FOLDER = Path(".demo/soak")
NODE_PROGRAM = Path(__file__).parent / "soak_node.py"
THROTTLE_PROGRAM = Path(__file__).parent / "soak_throttle.py"
# Shares of a core of a throttled node, which needs some hundredths for its load.
THROTTLED_SHARES = (0.03, 0.15)
HOST = "127.0.0.1"
NODES = 3
GRACE_S = 4.0
LOAD_DURATION_S = 14.0
HEARTBEAT_S = 1.0
STORE_PROXY_PREFIX = "store of "
READY_S = 8.0
# Maximum time until a node responds again after the last fault.
RECOVERY_S = 8.0
MAX_MEMORY_MB = 200
MAX_FILES = 400
PORTS = range(21000, 29000, 20)
PORTS_OF_NODE = 4
CRASHING_RATES = (0.0, 0.5, 3.0)
SEGMENT_RATES = (0.0, 0.7, 2.0)
# Share of the seeds in which no server states a rate limit.
UNLIMITED_SHARE = 0.3
# Share of the seeds in which no node is cut off from the servers.
UNCUT_SHARE = 0.3
CUTS = ("hang", "refuse", "reset")
VERSIONS = (DEFAULT_VERSION, "v1.1", "v2")
MAX_ADDED_SERVERS = 5
# Share of the requests that callers send in HTTP/1.0.
OLDER_SHARE = 0.2
# Services of the servers.
SERVICES = (MODEL, MODEL, MODEL, PLAIN, PLAIN, PLAIN)
LOAD = {"plan": 3.0, "ask": 5.0, "book": 6.0, "stock": 6.0}

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

SoakFault = Callable[["SoakSystem", random.Random, float], Awaitable[None]]
SOAK_FAULTS: dict[str, SoakFault] = {}


def soak_fault(kind: str) -> Callable[[SoakFault], SoakFault]:
    """Register a kind of fault: a coroutine that returns when the fault is over."""

    def register(fault: SoakFault) -> SoakFault:
        SOAK_FAULTS[kind] = fault
        return fault

    return register


def is_free(port: int) -> bool:
    """Return whether a loopback port can be bound."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def reserve(port: int) -> socket.socket | None:
    """Reserve a free port against other soaks; return what holds it, or None.

    The nodes bind it for TCP only once they start. Until then two soaks that begin
    together would take the same ports, and their nodes would serve both systems.
    """
    holder = socket.socket(type=socket.SOCK_DGRAM)
    try:
        holder.bind((HOST, port))
    except OSError:
        holder.close()
        return None
    if is_free(port):
        return holder
    holder.close()
    return None


def reserve_ports(seed: int, nodes: int) -> tuple[int, list[socket.socket]]:
    """Reserve a range of ports for all nodes; return the first, and what holds them."""
    begin = seed % len(PORTS)
    for base in [*PORTS[begin:], *PORTS[:begin]]:
        holders = []
        for port in range(base, base + nodes * PORTS_OF_NODE):
            holder = reserve(port)
            if holder is None:
                break
            holders.append(holder)
        else:
            return base, holders
        for holder in holders:
            holder.close()
    raise RuntimeError("no range of free ports for the nodes")


class SoakNode:
    """A gateway node that runs as a process."""

    def __init__(self, folder: Path, name: str, settings: dict[str, Any]) -> None:
        self.name = name
        self.settings = settings
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        self.is_busy = False

    def write(self) -> None:
        """Write the settings file."""
        self.path.write_text(json.dumps(self.settings))

    def start(self) -> None:
        """Start the process."""
        self.write()
        with open(self.log, "a") as log:
            command = [sys.executable, NODE_PROGRAM, self.path]
            self.process = subprocess.Popen(command, stdout=log, stderr=log)
        self.settings["is_first_start"] = False

    def cut_off(self, how: str, ports: list[int]) -> None:
        """Cut the process off from some ports; with an empty ``how``, end that."""
        self.path.with_suffix(".cut").write_text(json.dumps([how, ports]))

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if the process is still running."""
        with trio.move_on_after(timeout_s):
            while self.process.poll() is None:
                await trio.sleep(0.02)
        return self.process.poll()

    def usage(self) -> tuple[float, int]:
        """Return memory in MB and open files."""
        proc = Path("/proc") / str(self.process.pid)
        try:
            pages = int((proc / "statm").read_text().split()[1])
            return pages * 4096 / 1e6, len(list((proc / "fd").iterdir()))
        except OSError:
            return 0.0, 0


class SoakSystem:
    """Node processes, stand-ins and proxies."""

    def __init__(
        self,
        nursery: trio.Nursery,
        seed: int,
        nodes: int = NODES,
        services: Sequence[str] = SERVICES,
        bounds: Bounds = DEPLOYMENT_BOUNDS,
    ) -> None:
        self.nursery = nursery
        self.node_count = nodes
        self.services = services
        self.bounds = bounds
        self.network = SocketNetwork()
        self.folder = FOLDER / str(seed)
        self.base, self.reserved = reserve_ports(seed, nodes)
        self.link_bytes_per_s = random.Random(seed).choice((0, SLOW_LINK_BYTES_PER_S))
        self.store = StoreStandIn()
        self.store.page_size = random.Random(f"pages {seed}").choice(PAGE_SIZES)
        self.cloud = CloudStandIn()
        self.ledger = Ledger()
        self.servers: dict[str, ServerStandIn] = {}
        self.down: set[str] = set()
        self.trap = ServerStandIn("trap")
        self.proxies: dict[str, SoakProxy] = {}
        self.nodes: dict[str, SoakNode] = {}
        self.problems: list[Violation] = []
        self.disturbances = Disturbances()

    async def start(self) -> None:
        """Start all components and wait until the nodes are ready."""
        anywhere = Address(HOST, 0)
        self.folder.mkdir(parents=True, exist_ok=True)
        start = self.nursery.start
        store = await start(self.store.server.serve, self.network, anywhere)
        cloud = await start(self.cloud.server.serve, self.network, anywhere)
        trap = await start(self.trap.server.serve, self.network, anywhere)
        self.trap.entry = server_entry(PLAIN, trap, "z0", int(time.time() * 1000))
        self.store.put("config", "main", document())
        for number, service in enumerate(self.services):
            await self.add_server(f"s{number}", service)
        for number in range(self.node_count):
            proxy = SoakProxy(store)
            proxy.bytes_per_s = self.link_bytes_per_s
            address = await start(proxy.serve, anywhere)
            self.proxies[f"{STORE_PROXY_PREFIX}n{number}"] = proxy
            settings = self.node_settings(number, address, cloud)
            name = settings["node"]
            self.nodes[name] = SoakNode(self.folder, name, settings)
        for node in self.nodes.values():
            node.log.write_text("")
            node.start()
        for name in self.nodes:
            if not await self.wait_until_responding(name, READY_S):
                self.problems.append(Violation("starts", name))

    def node_settings(self, number: int, store: Address, cloud: Address) -> dict:
        """Return a node's settings."""
        first = self.base + number * PORTS_OF_NODE
        ports = range(first, first + PORTS_OF_NODE)
        return {
            "node": f"n{number}",
            "zone": f"z{number % 3}",
            "region": "r",
            "listen": {
                "callers": f"{HOST}:{ports[0]}",
                "readiness": f"{HOST}:{ports[1]}",
                "peers": f"{HOST}:{ports[2]}",
            },
            "metrics_port": ports[3],
            # Two, as a lone seed that restarts knows nobody until the others check it.
            "seeds": [
                f"{HOST}:{self.base + 2}",
                f"{HOST}:{self.base + PORTS_OF_NODE + 2}",
            ],
            "is_first_start": True,
            "store": {"address": str(store)},
            "cloud": {"address": str(cloud), "duties": ["usage"]},
            "bounds": {
                "grace_s": GRACE_S,
                "retry_ratio": self.bounds.retry_ratio,
                "retry_slack": self.bounds.retry_slack,
            },
        }

    async def add_server(
        self, name: str, service: str, version: str = DEFAULT_VERSION
    ) -> None:
        """Start a server behind a proxy and write its entry."""
        server = ServerStandIn(name, service == MODEL, 0.02, self.ledger)
        anywhere = Address(HOST, 0)
        target = await self.nursery.start(server.server.serve, self.network, anywhere)
        proxy = SoakProxy(target)
        address = await self.nursery.start(proxy.serve, anywhere)
        self.servers[name] = server
        self.proxies[name] = proxy
        self.set_crashes(server)
        zone = f"z{len(self.servers) % 3}"
        born_ms = int(time.time() * 1000)
        entry = server_entry(service, address, zone, born_ms)
        server.entry = entry | {"version": version}
        self.store.put("servers", name, server.entry)

    def set_crashes(self, server: ServerStandIn) -> None:
        """Let a server crash by its own requests, once in each incarnation."""
        start_soon = self.nursery.start_soon
        server.crash = partial(start_soon, self.crash_server, server)
        server.end_process = partial(start_soon, self.crash_server, server, False)

    async def crash_server(
        self, server: ServerStandIn, has_resets: bool = True, version: str = ""
    ) -> None:
        """Crash a server and restart it under the same id, perhaps with a version.

        One that is down already stays so: at the end of a second crash that began
        meanwhile, it would change its version while it serves.
        """
        if server.id in self.down:
            return
        self.down.add(server.id)
        server.crash = server.end_process = lambda: None
        self.proxies[server.id].crash(CRASH_DOWN_S, has_resets)
        await trio.sleep(CRASH_DOWN_S)
        self.down.discard(server.id)
        if version:
            server.entry = server.entry | {"version": version}
        server.start_incarnation(int(time.time() * 1000))
        self.set_crashes(server)
        if server.id in self.servers:
            self.store.put("servers", server.id, server.entry)

    async def overwrite(self, name: str, value: Any) -> None:
        """Replace a server's entry by another value until its next heartbeat."""
        self.store.put("servers", name, value)
        await trio.sleep(HEARTBEAT_S)
        if name in self.servers:
            self.store.put("servers", name, self.servers[name].entry)

    async def ask(
        self, path: str, node: str, max_events: int | None = None, **options: Any
    ) -> Answer:
        """Send a request on a new connection."""
        address = Address.from_text(self.nodes[node].settings["listen"]["callers"])
        caller = await Caller(self.network, address).open()
        try:
            await caller.send(path, **options)
            return await caller.receive(max_events)
        finally:
            with trio.CancelScope(shield=True):
                await caller.close()

    async def wait_until_responding(self, name: str, within_s: float) -> bool:
        """Return whether a node responds within a time."""
        end_s = trio.current_time() + within_s
        while trio.current_time() < end_s:
            try:
                answer = await self.ask("/none/x", name, request_id="")
            except (OSError, trio.BrokenResourceError):
                answer = Answer()
            if answer.status == 404:
                return True
            await trio.sleep(0.1)
        return False

    def check_resource_limits(self) -> None:
        """Record nodes that exceed the limits of memory or open files."""
        for node in self.nodes.values():
            memory_mb, files = node.usage()
            if memory_mb > MAX_MEMORY_MB or files > MAX_FILES:
                detail = f"{node.name}: {memory_mb:.0f} MB, {files} files"
                self.problems.append(Violation("bounded", detail))

    async def end(self) -> None:
        """Stop the nodes gracefully; kill and record those that do not exit in time."""
        for node in self.nodes.values():
            node.send(signal.SIGCONT)
            node.send(signal.SIGTERM)
        for node in self.nodes.values():
            code = await node.wait(GRACE_S + 2)
            if code != 0:
                self.problems.append(Violation("planned_stop", f"{node.name}: {code}"))
                node.send(signal.SIGKILL)
                node.process.wait()
        self.release_ports()

    def release_ports(self) -> None:
        """Let other soaks use the ports."""
        for holder in self.reserved:
            holder.close()


def proxied_name(proxy: str) -> str:
    """Return the name of the node or server whose connections a proxy forwards."""
    return proxy.removeprefix(STORE_PROXY_PREFIX)


def idle_node(system: SoakSystem, rng: random.Random) -> SoakNode | None:
    """Return a random node without an active fault, or None if only one is left."""
    idle = [node for node in system.nodes.values() if not node.is_busy]
    return rng.choice(idle) if len(idle) > 1 else None


@soak_fault("kill")
async def kill(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Kill a node process and restart it."""
    node = idle_node(system, rng)
    if node is None:
        return
    with system.disturbances.disturb(node.name):
        node.is_busy = True
        node.send(signal.SIGKILL)
        await node.wait(2)
        await trio.sleep(for_s / 3)
        node.start()
        await system.wait_until_responding(node.name, READY_S)
        node.is_busy = False


@soak_fault("stop")
async def stop(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Shut a node process down gracefully and restart it."""
    node = idle_node(system, rng)
    if node is None:
        return
    with system.disturbances.disturb(node.name):
        node.is_busy = True
        node.send(signal.SIGTERM)
        if await node.wait(GRACE_S + 1.5) != 0:
            system.problems.append(Violation("planned_stop", node.name))
            node.send(signal.SIGKILL)
            await node.wait(2)
        node.start()
        await system.wait_until_responding(node.name, READY_S)
        node.is_busy = False


@soak_fault("pause")
async def pause(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Suspend a node process and resume it."""
    node = idle_node(system, rng)
    if node is None:
        return
    with system.disturbances.disturb(node.name):
        node.is_busy = True
        node.send(signal.SIGSTOP)
        await trio.sleep(for_s)
        node.send(signal.SIGCONT)
        node.is_busy = False


@soak_fault("hangup")
async def hangup(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Change the settings file of a node, with or without SIGHUP."""
    node = rng.choice(list(system.nodes.values()))
    most = int(DEPLOYMENT_BOUNDS.retry_slack)
    node.settings["bounds"]["retry_slack"] = float(rng.randint(most // 2, most))
    node.write()
    if rng.random() < 0.7:
        node.send(signal.SIGHUP)


@soak_fault("configure")
async def configure(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Write new versions of the configuration, sometimes large ones."""
    filler = rng.choice((0, 0, 800))
    for _ in range(rng.randint(1, 4)):
        system.store.put("config", "main", changed_document(system.store, filler))
        await trio.sleep(for_s / 4)


@soak_fault("leave")
async def leave(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Set a server to draining, remove it, and start one under another id."""
    name = rng.choice(list(system.servers))
    server = system.servers[name]
    service = server.entry["service"]
    ready_servers = [
        other
        for other in system.servers.values()
        if other.entry["service"] == service and other.entry["state"] == "ready"
    ]
    if len(ready_servers) < 2 or server not in ready_servers:
        return
    server.entry = server.entry | {"state": "draining"}
    system.store.put("servers", name, server.entry)
    await trio.sleep(DRAIN_S + for_s)
    del system.servers[name]
    system.store.remove("servers", name)
    await system.add_server(f"{name}-{len(system.proxies)}", service)


@soak_fault("store")
async def store_fault(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Let the store refuse, reset or not answer calls."""
    with system.disturbances.disturb():
        system.store.faults.begin(rng.choice(("busy", "many", "reset", "silent")))
        await trio.sleep(for_s)
        system.store.faults.end()


@soak_fault("lost_writes")
async def lost_writes(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Apply some writes late and do not answer them."""
    system.store.faults.delay_writes_s = rng.uniform(0, 2)
    system.store.faults.lose_writes += rng.randint(1, 3)


@soak_fault("compact")
async def compact(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Drop the store's history."""
    system.store.forget_history()


@soak_fault("lapse")
async def lapse(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Remove all servers' entries and write them again."""
    for name in list(system.store.objects["servers"]):
        system.store.remove("servers", name)
    await trio.sleep(min(for_s, 1.5))
    for name, server in system.servers.items():
        system.store.put("servers", name, server.entry)


@soak_fault("server")
async def server_fault(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Apply a server fault to the next requests of a server."""
    server = rng.choice(list(system.servers.values()))
    server.faults.extend([rng.choice(sorted(SERVER_FAULTS))] * rng.randint(1, 8))


@soak_fault("mute")
async def mute(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Keep a server from responding."""
    server = rng.choice(list(system.servers.values()))
    server.is_mute = True
    await trio.sleep(for_s)
    server.is_mute = False


@soak_fault("restart")
async def restart(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Restart a server under the same id, once or twice within a heartbeat."""
    name = rng.choice(list(system.servers))
    for _ in range(rng.choice((1, 2))):
        before = system.servers[name].entry
        system.servers[name].start_incarnation(int(time.time() * 1000))
        system.proxies[name].reset_all()
        system.store.put("servers", name, system.servers[name].entry)
    if rng.random() < 0.5:
        await system.overwrite(name, before | {"state": "draining"})


@soak_fault("foreign")
async def foreign(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Write a foreign entry, over the entry of a server or beside them."""
    way = rng.choice(sorted(FOREIGN_ENTRIES))
    value = foreign_value(way, system.trap.entry, rng)
    if rng.random() < 0.5:
        await system.overwrite(rng.choice(list(system.servers)), value)
        return
    name = foreign_name(way, rng)
    system.store.put("servers", name, value)
    system.store.put_invalid_item("servers", way)
    await trio.sleep(for_s)
    system.store.remove("servers", name)


@soak_fault("delay")
async def delay(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Delay the traffic through a proxy."""
    name, proxy = rng.choice(list(system.proxies.items()))
    with system.disturbances.disturb(proxied_name(name)):
        proxy.delay_s = rng.uniform(0.02, 0.3)
        await trio.sleep(for_s)
        proxy.delay_s = 0.0


@soak_fault("silence")
async def silence(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Silently drop one or both directions of the traffic through a proxy."""
    name, proxy = rng.choice(list(system.proxies.items()))
    with system.disturbances.disturb(proxied_name(name)):
        proxy.silent = set(rng.choice((("to",), ("from",), ("to", "from"))))
        await trio.sleep(for_s)
        proxy.silent = set()


@soak_fault("reset")
async def reset(system: SoakSystem, rng: random.Random, for_s: float) -> None:
    """Reset all connections through a proxy."""
    name, proxy = rng.choice(list(system.proxies.items()))
    with system.disturbances.disturb(proxied_name(name)):
        proxy.reset_all()


async def limit_servers(system: SoakSystem, seed: int) -> None:
    """Let servers state rate limits, change them and omit them again."""
    # A generator of its own: the other faults of a seed stay the same.
    rng = random.Random(f"limits {seed}")
    if rng.random() < UNLIMITED_SHARE:
        return
    end_s = trio.current_time() + LOAD_DURATION_S - 5
    while trio.current_time() < end_s:
        servers = list(system.servers.values())
        if rng.random() < 0.6:
            servers = [rng.choice(servers)]
        else:
            is_model = rng.random() < 0.5
            servers = [s for s in servers if s.is_model == is_model]
        first = rng.uniform(0.3, 4.0)
        for limit in (first, first * rng.choice((0.5, 1.01, 2.0)), None):
            for server in servers:
                server.limit = None if limit is None else f"{limit:.3f}"
            await trio.sleep(rng.uniform(1.0, 5.0))


async def cut_nodes(system: SoakSystem, seed: int) -> None:
    """Cut nodes off from all servers, one to all but one of them, again and again."""
    rng = random.Random(f"cuts {seed}")
    end_s = trio.current_time() + LOAD_DURATION_S - 4
    if rng.random() < UNCUT_SHARE:
        return
    while trio.current_time() < end_s:
        await trio.sleep(rng.uniform(0.5, 3.0))
        count = rng.randint(1, max(1, len(system.nodes) - 1))
        names = rng.sample(sorted(system.nodes), count)
        addresses = [server.entry["address"] for server in system.servers.values()]
        ports = [Address.from_text(address).port for address in addresses]
        how = rng.choice(CUTS)
        with system.disturbances.cut_off(names):
            for name in names:
                system.nodes[name].cut_off(how, ports)
            await trio.sleep(rng.uniform(1.0, 6.0))
            for name in names:
                system.nodes[name].cut_off("", [])


async def throttle_nodes(system: SoakSystem, seed: int) -> None:
    """Hold node processes to a share of a core, less than needed or a little more."""
    rng = random.Random(f"throttle {seed}")
    end_s = trio.current_time() + LOAD_DURATION_S - 4
    while trio.current_time() < end_s:
        await trio.sleep(rng.uniform(0.5, 4.0))
        node = idle_node(system, rng)
        if node is None or rng.random() < 0.5:
            continue
        with system.disturbances.disturb(node.name):
            node.is_busy = True
            share = str(rng.uniform(*THROTTLED_SHARES))
            command = [sys.executable, THROTTLE_PROGRAM, str(node.process.pid), share]
            throttle = subprocess.Popen(command)
            await trio.sleep(rng.uniform(1.0, 3.0))
            throttle.send_signal(signal.SIGTERM)
            throttle.wait()
            node.is_busy = False


async def trouble_servers(system: SoakSystem, seed: int) -> None:
    """Let sound servers fall silent for a second, and a service be brittle."""
    rng = random.Random(f"servers {seed}")
    await trio.sleep(rng.uniform(0.5, 4.0))
    is_model = rng.random() < 0.5
    servers = [s for s in system.servers.values() if s.is_model == is_model]
    for server in servers:
        server.pause(1.2)
        await trio.sleep(rng.choice((0.0, 1.3)))
    if rng.random() < 0.5:
        return
    with system.disturbances.make_brittle([server.id for server in servers]):
        for room in (16, rng.randint(2, 8), 2):
            for server in servers:
                server.brittle, server.room = rng.randint(2, 6), room
            await trio.sleep(2.5)
    for server in servers:
        server.brittle, server.room = None, math.inf


async def state_drains(system: SoakSystem, seed: int) -> None:
    """Let servers state that they drain, end later, and start again.

    Their entries stay as they are; in some seeds the store is away meanwhile.
    """
    rng = random.Random(f"drains {seed}")
    await trio.sleep(rng.uniform(1.0, 5.0))
    server = rng.choice(list(system.servers.values()))
    server.draining = "1"
    for_s = rng.uniform(2.0, DRAIN_S + 3.0)
    if rng.random() < 0.5:
        await store_fault(system, rng, for_s)
    else:
        await trio.sleep(for_s)
    if server.id in system.servers:
        await system.crash_server(server, has_resets=False)


async def turn_away(system: SoakSystem, seed: int) -> None:
    """Let one server, or all of a service, turn requests away and ask for pauses."""
    rng = random.Random(f"pauses {seed}")
    end_s = trio.current_time() + LOAD_DURATION_S - 5
    while trio.current_time() < end_s:
        await trio.sleep(rng.uniform(0.5, 5.0))
        servers = list(system.servers.values())
        is_model = rng.random() < 0.5
        servers = [s for s in servers if s.is_model == is_model]
        if rng.random() < 0.5:
            servers = [rng.choice(servers)]
        for server in servers:
            server.retry_after = rng.choice(("0.5", "2", "3", "soon"))
            server.is_turning_away = True
        await trio.sleep(rng.uniform(0.1, 1.0))
        for server in servers:
            server.is_turning_away = False


async def send_endlessly(system: SoakSystem, seed: int) -> None:
    """Let servers send responses without end."""
    rng = random.Random(f"endless {seed}")
    for _ in range(2):
        await trio.sleep(rng.uniform(0.5, 4.0))
        server = rng.choice(list(system.servers.values()))
        server.faults.append(rng.choice(ENDLESS_NAMES))


async def end_responses(system: SoakSystem, seed: int) -> None:
    """Let servers end responses in any way at any place that can be detected."""
    rng = random.Random(f"ends {seed}")
    end_s = trio.current_time() + LOAD_DURATION_S - 4
    while trio.current_time() < end_s:
        server = rng.choice(list(system.servers.values()))
        ends = detectable_ends(server.is_model)
        server.faults.extend(end.name for end in rng.sample(ends, rng.randint(1, 3)))
        await trio.sleep(rng.uniform(0.2, 1.5))


async def restore(system: SoakSystem, seed: int) -> None:
    """Restore the store from older copies in half of the seeds, up to twice."""
    rng = random.Random(f"restores {seed}")
    started_s = trio.current_time()
    for fault in draw_restores(rng) if rng.random() < 0.5 else ():
        await trio.sleep_until(started_s + fault["at"])
        await apply_restore(system.store, system.servers, system.disturbances, fault)


async def change_versions(system: SoakSystem, seed: int) -> None:
    """Start model servers of other software versions, beside others or in place."""
    rng = random.Random(f"versions {seed}")
    end_s = trio.current_time() + LOAD_DURATION_S - 4
    added = 0
    while trio.current_time() < end_s:
        await trio.sleep(rng.uniform(0.5, 3.0))
        version = rng.choice(VERSIONS)
        if added < MAX_ADDED_SERVERS and rng.random() < 0.7:
            added += 1
            await system.add_server(f"v{added}", MODEL, version)
            continue
        models = [server for server in system.servers.values() if server.is_model]
        await system.crash_server(rng.choice(models), version=version)


def crashing_rate(seed: int) -> float:
    """Return how often a request is repeated that crashes servers, per second."""
    return CRASHING_RATES[seed // 2 % len(CRASHING_RATES)]


def segment_rate(seed: int) -> float:
    """Return how many requests a second have a segment that crashes servers."""
    return SEGMENT_RATES[seed // 3 % len(SEGMENT_RATES)]


@dataclass(slots=True)
class DrawnFault:
    """A fault of a schedule.

    Attributes
    ----------
    at_s, for_s : float
        When it begins after the start of the load, and how long it lasts.
    kind : str
        A name in `SOAK_FAULTS`.
    """

    at_s: float
    for_s: float
    kind: str


def draw_schedule(seed: int) -> list[DrawnFault]:
    """Return the faults of a seed.

    They are drawn before the start: draws while nodes run would depend on the order in
    which these happen to respond, and a seed would name no schedule.
    """
    rng = random.Random(f"schedule {seed}")
    schedule = []
    at_s = 0.0
    while at_s < LOAD_DURATION_S - 4:
        kind = rng.choice(sorted(SOAK_FAULTS))
        for_s = rng.uniform(0.3, 4.0)
        schedule.append(DrawnFault(round(at_s, 2), round(for_s, 2), kind))
        at_s += rng.uniform(0.2, 2.5)
    return schedule


async def inject_faults(system: SoakSystem, seed: int) -> None:
    """Inject the faults of a seed, each with choices of its own."""
    started_s = trio.current_time()
    async with trio.open_nursery() as faults:
        for number, fault in enumerate(draw_schedule(seed)):
            await trio.sleep_until(started_s + fault.at_s)
            rng = random.Random(f"fault {number} of {seed}")
            faults.start_soon(SOAK_FAULTS[fault.kind], system, rng, fault.for_s)


async def run_seed(seed: int, nodes: int = NODES) -> tuple[list[Violation], Counter]:
    """Run one seed; return the violations, and the number of faults by kind."""
    observations = Observations(bounds=DEPLOYMENT_BOUNDS)
    fault_counts = Counter(fault.kind for fault in draw_schedule(seed))
    async with trio.open_nursery() as nursery:
        system = SoakSystem(nursery, seed, nodes)
        await system.start()

        async with trio.open_nursery() as load_nursery:
            load_nursery.start_soon(inject_faults, system, seed)
            load_nursery.start_soon(limit_servers, system, seed)
            load_nursery.start_soon(cut_nodes, system, seed)
            load_nursery.start_soon(throttle_nodes, system, seed)
            load_nursery.start_soon(trouble_servers, system, seed)
            load_nursery.start_soon(end_responses, system, seed)
            load_nursery.start_soon(change_versions, system, seed)
            load_nursery.start_soon(state_drains, system, seed)
            load_nursery.start_soon(turn_away, system, seed)
            load_nursery.start_soon(restore, system, seed)
            load_nursery.start_soon(send_endlessly, system, seed)
            play = Play(
                length_s=LOAD_DURATION_S,
                load=LOAD,
                crashing_per_s=crashing_rate(seed),
                crashing_segments_per_s=segment_rate(seed),
                older_share=OLDER_SHARE,
                resuming_per_s=RESUMING_PER_S,
            )
            load_rng = random.Random(f"load {seed}")
            await play_load(system, play, load_rng, observations)
        for name in system.nodes:
            if not await system.wait_until_responding(name, RECOVERY_S):
                system.problems.append(Violation("recovers", name))
        system.check_resource_limits()
        await system.end()
        record_observations(system, observations)
        observations.runs.pop("", None)
        nursery.cancel_scope.cancel()
    return audit(observations) + system.problems, fault_counts


@app.command()
def main(
    seed: Annotated[
        int | None, typer.Option(help="Seed to run; new seeds if omitted.")
    ] = None,
    seeds: Annotated[int, typer.Option(help="Number of new seeds.")] = 1,
    minutes: Annotated[
        float, typer.Option(help="Start no seed after this time.")
    ] = 60.0,
    nodes: Annotated[int, typer.Option(help="Number of nodes.")] = NODES,
) -> None:
    """Run the soak test; print a line for each seed, then one line of JSON."""
    first = int(time.time()) % 1_000_000 if seed is None else seed
    faults: Counter = Counter()
    by_kind: Counter = Counter()
    first_bad = None
    done = 0
    started_s = time.monotonic()
    for number in range(first, first + (seeds if seed is None else 1)):
        if time.monotonic() - started_s > minutes * 60:
            break
        violations, fault_counts = trio.run(run_seed, number, nodes)
        done += 1
        faults += fault_counts
        by_kind.update(violation.invariant for violation in violations)
        if violations and first_bad is None:
            first_bad = number
        schedule = [f"{f.at_s} {f.kind} {f.for_s}" for f in draw_schedule(number)]
        print(f"seed {number}: {len(violations)} violations, faults {schedule}")
        for violation in violations[:5]:
            print(f"  {violation.invariant}: {violation.detail}")
        sys.stdout.flush()
    print(
        json.dumps(
            {
                "seeds": done,
                "faults": dict(faults),
                "violations": by_kind.total(),
                "violations_by_kind": dict(by_kind),
                "first_bad_seed": first_bad,
            }
        )
    )
    raise typer.Exit(1 if first_bad is not None else 0)


if __name__ == "__main__":
    app()
