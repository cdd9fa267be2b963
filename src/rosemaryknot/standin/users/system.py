"""Gateway nodes and the stand-ins for their platform, on an in-memory network."""

import math
import random
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import h11
import trio

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.platform.adapter import make_adapter
from rosemaryknot.process.node import GatewayNode, run_node
from rosemaryknot.process.node_settings import (
    Bounds,
    Cloud,
    NodeListen,
    NodeSettings,
    Store,
)
from rosemaryknot.process.synchronized_clock import SynchronizedClock
from rosemaryknot.standin.users.cloud import CloudStandIn
from rosemaryknot.standin.users.disturbances import Disturbances
from rosemaryknot.standin.users.restores import restore_store
from rosemaryknot.standin.users.servers import Ledger, ServerStandIn, server_entry
from rosemaryknot.standin.users.store import PAGE_SIZE, StoreStandIn
from rosemaryknot.values.nodes import Address

__all__ = [
    "Answer",
    "CRASH_DOWN_S",
    "CUTS",
    "Caller",
    "DEPLOYMENT_BOUNDS",
    "HOST",
    "KEY",
    "MODEL",
    "MODEL_HEADERS",
    "PLAIN",
    "STORE",
    "PlatformSystem",
    "document",
    "platform_system",
    "route",
]

STORE = Address("10.0.0.1", 8361)
CLOUD = Address("10.0.0.2", 8361)
CALLER_HOST = "10.9.0.1"
TRAP = Address("10.1.9.9", 8000)
HOST = "a.example"
MODEL = "writer"
PLAIN = "booking"
KEY = "key-of-ada"
EPOCH_S = 1_000_000.0
# Retry budget of a small deployment of the users.
DEPLOYMENT_BOUNDS = Bounds(retry_ratio=0.2, retry_window_s=10, retry_slack=54)
# How long a server that a request crashed stays down.
CRASH_DOWN_S = 2.0
READ_BYTES = 65536
SERVERS_NETWORK = "10.1.0."
MAX_SERVERS = 100
LOST_SHARE = 0.3
# Processor time of a whole core that a node takes for what it reads at once, such as a
# message or a part of a response, and for a write.
READ_S = 0.0005
WRITE_S = 0.0002

Cut = Callable[[MemoryNetwork, str, str], None]
# Ways in which a node and a server may be cut off from each other.
CUTS: dict[str, Cut] = {
    "silent": lambda network, node, server: network.cut(node, server),
    "reset": lambda network, node, server: network.reset(node, server),
    "refuse": lambda network, node, server: network.refuse(node, server),
    "requests": lambda network, node, server: network.cut_one_way(node, server),
    "responses": lambda network, node, server: network.cut_one_way(server, node),
    "lossy": lambda network, node, server: network.lose(node, server, LOST_SHARE),
}

MODEL_HEADERS = {
    "Rosemaryknot-Model": "m",
    "Rosemaryknot-Token-Usage": "1000,50",
    "Rosemaryknot-Prefix-Hash": "aa:400,bb:300,cc:300",
}


def route(name: str, prefix: str, kind: str, service: str, **fields: Any) -> dict:
    """Return a route in the form that the operator writes."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": prefix,
        "type": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 200,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    } | fields


def document(version: int = 1, **fields: Any) -> dict:
    """Return a configuration in the form that the operator writes."""
    return {
        "version": version,
        "routes": [
            route("plan", "/plan/", "streaming", MODEL, maxAttempts=1),
            route("ask", "/ask/", "streaming", MODEL, resumable=True),
            route("book", "/book/", "non_idempotent", PLAIN, maxAttempts=1),
            route("stock", "/stock/", "idempotent", PLAIN),
        ],
        "services": [
            {
                "name": MODEL,
                "healthPath": "/healthz",
                "maxConnections": 100,
                "engine": {"slots": 16, "kvCapacity": 100000},
            },
            {"name": PLAIN, "healthPath": "/healthz", "maxConnections": 100},
        ],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 1000,
            "idleTimeoutMs": 5000,
        },
        "tenants": [
            {
                "name": "ada",
                "apiKeys": [KEY],
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 0,
                "burst": 0,
            }
        ],
    } | fields


def now_ms() -> int:
    """Return the servers' wall-clock time, in milliseconds since the epoch."""
    return int((EPOCH_S + trio.current_time()) * 1000)


@dataclass
class Answer:
    """The response that a caller received.

    Attributes
    ----------
    status : int
        Status of the response; 0 if no response head was received.
    is_whole : bool
        Whether the response was complete according to its framing.
    took_s, first_s : float
        Time until the end and until the first bytes of the body, in seconds.
    """

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    took_s: float = 0.0
    first_s: float = math.inf


class Caller:
    """HTTP client that sends requests over its own connection."""

    def __init__(self, network: MemoryNetwork, address: Address) -> None:
        self.network = network
        self.address = address

    async def open(self) -> "Caller":
        """Open the connection."""
        self.stream = await self.network.dial(self.address)
        self.conn = h11.Connection(h11.CLIENT)
        return self

    async def close(self) -> None:
        """Close the connection immediately."""
        await trio.aclose_forcefully(self.stream)

    async def send(
        self,
        path: str,
        method: str = "POST",
        request_id: str = "r1",
        body: bytes = b"",
        version: str = "1.1",
        **headers: str | None,
    ) -> None:
        """Send a request; headers whose value is None are omitted."""
        names: dict[str, str | None] = {
            "Host": HOST,
            "Rosemaryknot-Attempt-Id": request_id,
            "Rosemaryknot-Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
        }
        for name, value in headers.items():
            names[name.replace("_", "-")] = value
        if body or method == "POST":
            names["Content-Length"] = str(len(body))
        pairs = [(name, value) for name, value in names.items() if value is not None]
        data = self.conn.send(h11.Request(method=method, target=path, headers=pairs))
        if body:
            data += self.conn.send(h11.Data(data=body))
        data += self.conn.send(h11.EndOfMessage())
        if version != "1.1":
            data = data.replace(b"HTTP/1.1", f"HTTP/{version}".encode(), 1)
        await self.stream.send_all(data)

    async def receive(self, max_events: int | None = None) -> Answer:
        """Return the response, or the part of it that was received.

        Parameters
        ----------
        max_events : int, optional
            Number of events of a stream after which no more is read.
        """
        answer = Answer()
        started_s = trio.current_time()
        while True:
            try:
                event = self.conn.next_event()
                if event is h11.NEED_DATA:
                    self.conn.receive_data(await self.stream.receive_some(READ_BYTES))
                    continue
            except (h11.RemoteProtocolError, trio.BrokenResourceError):
                break
            if isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                answer.first_s = min(answer.first_s, trio.current_time() - started_s)
                answer.body += bytes(event.data)
                if max_events is not None and answer.body.count(b"\n\n") >= max_events:
                    break
            else:
                answer.is_whole = isinstance(event, h11.EndOfMessage)
                break
        answer.took_s = trio.current_time() - started_s
        return answer

    def reuse(self) -> None:
        """Prepare the connection for the next request."""
        self.conn.start_next_cycle()


class PlatformSystem:
    """Gateway nodes with their platform and backend servers.

    Attributes
    ----------
    store, cloud : StoreStandIn, CloudStandIn
        Stand-ins for the platform.
    servers : dict of str to ServerStandIn
        Backend servers by id.
    ledger : Ledger
        Requests that reached the servers.
    nodes : dict of str to GatewayNode
        Nodes by name; for a killed node its last incarnation.
    down : set of str
        Nodes and servers that a fault has stopped and will restart.
    trap : ServerStandIn
        Server at the address that foreign entries name and no server's entry does.
    disturbances : Disturbances
        Nodes and servers that faults have disturbed, and when.
    """

    def __init__(self, nursery: trio.Nursery, seed: int = 1) -> None:
        self.nursery = nursery
        self.seed = seed
        self.network = MemoryNetwork()
        self.store = StoreStandIn()
        self.cloud = CloudStandIn()
        self.ledger = Ledger()
        self.servers: dict[str, ServerStandIn] = {}
        self.nodes: dict[str, GatewayNode] = {}
        self.stops: dict[str, trio.Event] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.down: set[str] = set()
        self.trap = ServerStandIn("trap")
        self.disturbances = Disturbances()

    async def start(
        self,
        nodes: int = 1,
        plain: int = 2,
        models: int = 2,
        configuration: dict | None = None,
        page_size: int = PAGE_SIZE,
        **options: Any,
    ) -> None:
        """Start the platform, servers and nodes; options are passed to `settings`."""
        start = self.nursery.start
        self.store.page_size = page_size
        store_network = self.network.with_host(STORE.host)
        await start(self.store.server.serve, store_network, STORE)
        cloud_network = self.network.with_host(CLOUD.host)
        await start(self.cloud.server.serve, cloud_network, CLOUD)
        trap_network = self.network.with_host(TRAP.host)
        await start(self.trap.server.serve, trap_network, TRAP)
        self.trap.entry = server_entry(PLAIN, TRAP, "z0", now_ms())
        self.store.put("config", "main", configuration or document())
        for number in range(plain):
            await self.add_server(f"p{number}", PLAIN, zone=f"z{number % 3}")
        for number in range(models):
            await self.add_server(f"m{number}", MODEL, zone=f"z{number % 3}")
        for number in range(nodes):
            await self.add_node(number, **options)
        await trio.sleep(0.5)

    async def add_server(
        self,
        server_id: str,
        service: str,
        zone: str = "z0",
        work_s: float = 0.02,
        **entry: Any,
    ) -> ServerStandIn:
        """Start a new server and write its entry."""
        address = Address(f"{SERVERS_NETWORK}{len(self.servers) + 1}", 8000)
        server = ServerStandIn(server_id, service == MODEL, work_s, self.ledger)
        born = entry.pop("born", now_ms())
        server.entry = server_entry(service, address, zone, born) | entry
        await self.serve_server(server)
        return server

    async def serve_server(
        self, server: ServerStandIn, entry_delay_s: float = 0.0
    ) -> None:
        """Start listening for a server and write its entry."""
        address = Address.from_text(server.entry["address"])
        network = self.network.with_host(address.host)

        async def run(task_status: trio.TaskStatus[Address]) -> None:
            with trio.CancelScope() as scope:
                self.scopes[server.id] = scope
                await server.server.serve(network, address, task_status=task_status)

        server.crash = partial(self.nursery.start_soon, self.crash_server, server.id)
        server.end_process = partial(
            self.nursery.start_soon, self.crash_server, server.id, False
        )
        self.servers[server.id] = server
        await self.nursery.start(run)
        await trio.sleep(entry_delay_s)
        self.store.put("servers", server.id, server.entry)

    async def crash_server(self, server_id: str, has_resets: bool = True) -> None:
        """Crash a server and restart it, unless it is being restarted already."""
        if server_id in self.down:
            return
        self.down.add(server_id)
        await self.restart_server(server_id, CRASH_DOWN_S, has_resets)
        self.down.discard(server_id)

    async def restart_server(
        self,
        server_id: str,
        down_s: float = 0.0,
        has_resets: bool = True,
        version: str | None = None,
        entry_delay_s: float = 0.0,
    ) -> None:
        """Crash a server and restart it under the same id, without its former state.

        Its address stays and its birth time increases; a server whose entry has no
        birth time still has none. The system closes the connections of a process that
        has read everything; otherwise it resets them.

        Parameters
        ----------
        server_id : str
            Id of the server.
        down_s : float
            How long it is down, in seconds.
        has_resets : bool
            Whether its connections are reset rather than closed.
        version : str, optional
            Its software version from now on.
        entry_delay_s : float
            How long its new entry follows its start, in seconds.
        """
        old = self.servers[server_id]
        host = Address.from_text(old.entry["address"]).host
        self.network.stop_listening(host)
        self.scopes[server_id].cancel()
        if has_resets:
            self.network.kill_streams(host)
        await trio.sleep(down_s)
        server = ServerStandIn(server_id, old.is_model, old.work_s, self.ledger)
        server.entry = old.entry | {"state": "ready", "sequence": 1}
        server.brittle, server.room = old.brittle, old.room
        server.crashing, server.crash_events = old.crashing, old.crash_events
        if "born" in old.entry:
            server.entry["born"] = max(now_ms(), old.entry["born"] + 1)
        if version is not None:
            server.entry["version"] = version
        await self.serve_server(server, entry_delay_s)

    def settings(
        self,
        number: int,
        is_first_start: bool = True,
        bounds: Bounds | None = None,
        duties: tuple[str, ...] | list[str] = (),
    ) -> NodeSettings:
        """Return the settings of a node."""
        host = f"10.2.0.{number + 1}"
        return NodeSettings(
            node=f"n{number}",
            zone=f"z{number % 3}",
            region="r",
            listen=NodeListen(
                Address(host, 8360), Address(host, 8365), Address(host, 8367)
            ),
            store=Store(STORE),
            metrics_port=9464,
            seeds=[Address("10.2.0.1", 8367), Address("10.2.0.2", 8367)],
            is_first_start=is_first_start,
            cloud=Cloud(CLOUD, list(duties)) if duties else None,
            bounds=bounds or DEPLOYMENT_BOUNDS,
        )

    async def add_node(self, number: int, **options: Any) -> GatewayNode:
        """Start or restart a node."""
        settings = self.settings(number, **options)
        stop = trio.Event()
        clock = SynchronizedClock(
            lambda: EPOCH_S + trio.current_time(), trio.current_time
        )

        async def run(task_status: trio.TaskStatus[GatewayNode]) -> None:
            with trio.CancelScope() as scope:
                self.scopes[settings.node] = scope
                await run_node(
                    settings,
                    None,
                    make_adapter,
                    stop,
                    self.network.with_host(settings.listen.callers.host),
                    random.Random(self.seed + number),
                    clock,
                    task_status=task_status,
                )

        node = await self.nursery.start(run)
        self.nodes[settings.node] = node
        self.stops[settings.node] = stop
        return node

    def limit_links(self, bytes_per_s: float) -> None:
        """Limit the bandwidth of the links of all nodes."""
        for node in self.nodes.values():
            host = node.settings.listen.callers.host
            self.network.limit_link(host, bytes_per_s)

    def limit_processor(self, node: str, share: float) -> None:
        """Hold a node to a share of a core for what it reads and writes."""
        host = self.nodes[node].settings.listen.callers.host
        self.network.limit_processor(host, READ_S / share, WRITE_S / share)

    def free_processor(self, node: str) -> None:
        """End `limit_processor`."""
        host = self.nodes[node].settings.listen.callers.host
        self.network.free_processor(host)

    def cut_off(self, node: str, how: str, servers: Iterable[str] = ()) -> None:
        """Cut a node off from some servers, or from all present and later ones.

        Parameters
        ----------
        node : str
            Name of the node.
        how : str
            A name in `CUTS`.
        servers : iterable of str, optional
            Ids of the servers.
        """
        host = self.nodes[node].settings.listen.callers.host
        for server_host in self.server_hosts(servers):
            CUTS[how](self.network, host, server_host)

    def end_cut(self, node: str, servers: Iterable[str] = ()) -> None:
        """End a cut of a node; parameters as for `cut_off`."""
        host = self.nodes[node].settings.listen.callers.host
        for server_host in self.server_hosts(servers):
            self.network.heal(host, server_host)

    def server_hosts(self, servers: Iterable[str]) -> list[str]:
        """Return the hosts of some servers, or of all present and later ones."""
        found = [self.servers[name].entry["address"] for name in servers]
        if not found:
            return [f"{SERVERS_NETWORK}{number}" for number in range(1, MAX_SERVERS)]
        return [Address.from_text(address).host for address in found]

    async def restore_store(
        self, age_s: float, away_s: float = 0.0, mode: str = "busy"
    ) -> None:
        """Restore the store from a copy; see `restores.restore_store`."""
        await restore_store(self.store, self.servers, age_s, away_s, mode)

    def kill(self, name: str) -> None:
        """Stop a node immediately, as SIGKILL does."""
        self.scopes[name].cancel()
        self.network.kill_host(self.nodes[name].settings.listen.callers.host)

    def caller(self, node: str = "n0", host: str = CALLER_HOST) -> Caller:
        """Return a caller that connects to a node."""
        address = self.nodes[node].settings.listen.callers
        return Caller(self.network.with_host(host), address)

    async def ask(
        self,
        path: str,
        node: str = "n0",
        max_events: int | None = None,
        **options: Any,
    ) -> Answer:
        """Send a request on a new connection and return the response."""
        caller = await self.caller(node).open()
        started_s = trio.current_time()
        await caller.send(path, **options)
        answer = await caller.receive(max_events)
        answer.took_s = trio.current_time() - started_s
        await caller.close()
        return answer


@asynccontextmanager
async def platform_system(
    seed: int = 1, **options: Any
) -> AsyncIterator[PlatformSystem]:
    """Run a system while the block runs."""
    async with trio.open_nursery() as nursery:
        system = PlatformSystem(nursery, seed)
        await system.start(**options)
        yield system
        nursery.cancel_scope.cancel()
