"""Gateway nodes, the platform's store and cloud, and servers on a memory network."""

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

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
from rosemaryknot.process.true_time import TrueTime
from rosemaryknot.standin.users.cloud import CloudStandIn
from rosemaryknot.standin.users.servers import Ledger, ServerStandIn
from rosemaryknot.standin.users.store import StoreStandIn
from rosemaryknot.values.nodes import Address

STORE = Address("10.0.0.1", 8361)
CLOUD = Address("10.0.0.2", 8361)
CALLERS = "10.9.0.1"
HOST = "a.example"
MODEL = "writer"
PLAIN = "booking"
KEY = "key-of-ada"
EPOCH_S = 1_000_000.0

MODEL_HEADERS = {
    "Rosemaryknot-Model": "m",
    "Rosemaryknot-Token-Usage": "1000,50",
    "Rosemaryknot-Prefix-Hash": "aa:400,bb:300,cc:300",
}


def route(name, prefix, kind, service, **fields):
    """Return a route as the operator writes it."""
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


def document(version=1, **fields):
    """Return a configuration as the operator writes it."""
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


@dataclass
class Answer:
    """What a caller got.

    Attributes
    ----------
    status : int
        0 where no head came.
    is_whole : bool
        Whether the answer ended as it said it would.
    """

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    took_s: float = 0.0


class Caller:
    """Sends requests over connections of its own."""

    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.stream = None

    async def open(self):
        self.stream = await self.network.dial(self.address)
        self.conn = h11.Connection(h11.CLIENT)
        return self

    async def close(self):
        await trio.aclose_forcefully(self.stream)

    async def send(self, path, method="POST", request_id="r1", body=b"", **headers):
        """Send a request on the open connection."""
        names = {
            "Host": HOST,
            "Rosemaryknot-Attempt-Id": request_id,
            "Rosemaryknot-Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
        }
        for name, value in headers.items():
            names[name.replace("_", "-")] = value
        if body or method == "POST":
            names["Content-Length"] = str(len(body))
        pairs = [(k, v) for k, v in names.items() if v is not None]
        data = self.conn.send(h11.Request(method=method, target=path, headers=pairs))
        if body:
            data += self.conn.send(h11.Data(data=body))
        data += self.conn.send(h11.EndOfMessage())
        await self.stream.send_all(data)

    async def receive(self):
        """Return the answer."""
        answer = Answer()
        began_s = trio.current_time()
        while True:
            try:
                event = self.conn.next_event()
            except h11.RemoteProtocolError:
                break
            if event is h11.NEED_DATA:
                try:
                    data = await self.stream.receive_some(65536)
                except trio.BrokenResourceError:
                    break
                self.conn.receive_data(data)
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.is_whole = True
                break
            else:
                break
        answer.took_s = trio.current_time() - began_s
        return answer

    def reuse(self):
        """Make the connection ready for the next request."""
        self.conn.start_next_cycle()


class PlatformFleet:
    """Everything around some nodes."""

    def __init__(self, nursery, seed=1):
        self.nursery = nursery
        self.network = MemoryNetwork()
        self.store = StoreStandIn()
        self.cloud = CloudStandIn()
        self.ledger = Ledger()
        self.servers = {}
        self.nodes: dict[str, GatewayNode] = {}
        self.stops = {}
        self.scopes = {}
        self.seed = seed

    async def start(self, nodes=1, plain=2, models=2, configuration=None, **options):
        """Start the platform, servers and nodes."""
        start = self.nursery.start
        store_net = self.network.with_host(STORE.host)
        await start(self.store.server.serve, store_net, STORE)
        cloud_net = self.network.with_host(CLOUD.host)
        await start(self.cloud.server.serve, cloud_net, CLOUD)
        self.store.put("config", "main", configuration or document())
        for number in range(plain):
            await self.add_server(f"p{number}", PLAIN, zone=f"z{number % 3}")
        for number in range(models):
            await self.add_server(f"m{number}", MODEL, zone=f"z{number % 3}")
        for number in range(nodes):
            await self.add_node(number, **options)
        await trio.sleep(0.5)

    async def add_server(self, server_id, service, zone="z0", work_s=0.02, **entry):
        """Start a server and write its entry."""
        number = len(self.servers) + 1
        address = Address(f"10.1.0.{number}", 8000)
        server = ServerStandIn(server_id, service == MODEL, work_s, self.ledger)
        self.servers[server_id] = server
        await self.nursery.start(
            server.server.serve, self.network.with_host(address.host), address
        )
        server.entry = {
            "service": service,
            "address": str(address),
            "zone": zone,
            "slots": 16,
            "state": "ready",
        } | entry
        self.store.put("servers", server_id, server.entry)
        return server

    def settings(self, number, is_first_start=True, bounds=None, duties=()):
        """Return a node's settings."""
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
            bounds=bounds or Bounds(retry_ratio=0.5, retry_slack=100),
        )

    async def add_node(self, number, **options):
        """Start a node."""
        settings = self.settings(number, **options)
        stop = trio.Event()
        clock = TrueTime(lambda: EPOCH_S + trio.current_time(), trio.current_time)

        async def run(task_status):
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

    def kill(self, name):
        """End a node at once, as SIGKILL does."""
        self.scopes[name].cancel()
        self.network.kill_host(self.nodes[name].settings.listen.callers.host)

    def caller(self, node="n0", host=CALLERS):
        """Return a caller of a node."""
        address = self.nodes[node].settings.listen.callers
        return Caller(self.network.with_host(host), address)

    async def ask(self, path, node="n0", **options):
        """Send one request on a connection of its own and return the answer."""
        caller = await self.caller(node).open()
        began_s = trio.current_time()
        await caller.send(path, **options)
        answer = await caller.receive()
        answer.took_s = trio.current_time() - began_s
        await caller.close()
        return answer


@asynccontextmanager
async def platform_fleet(**options):
    """Run a fleet."""
    async with trio.open_nursery() as nursery:
        fleet = PlatformFleet(nursery)
        await fleet.start(**options)
        yield fleet
        nursery.cancel_scope.cancel()
