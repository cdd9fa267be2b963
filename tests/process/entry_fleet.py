"""Test fleet of entries, agents and backend servers on an in-memory network."""

import random
from contextlib import asynccontextmanager

import httpx
import trio
from tests.process.claim_fakes import FakeStore

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.links import Handlers, Hello, LinkClosed, accept_link
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.process.claims.handlers import register_claim_handlers
from rosemaryknot.process.claims.objects import ObjectClaims
from rosemaryknot.process.entry import Entry, run_entry
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.process.settings import Limits, Listen, Settings
from rosemaryknot.standin.batch import EngineSettings
from rosemaryknot.standin.engine import EngineStandIn
from rosemaryknot.standin.plain import PlainStandIn
from rosemaryknot.values.configuration import ConfigurationPush, document_digest
from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.values.servers import LeavingMark
from rosemaryknot.version.view import new_key

EPOCH_S = 1_000_000.0
CLUSTER_KEY = b"a key of the cluster in tests"
MODEL = "kit-assistant"
PLAIN = "dispatch-app"
ZONE = "waco-a"
CALLERS = "10.9.0.1"
PUSH_INTERVAL_S = 2.0

API_KEY, STORED_KEY = new_key("estimator-1")
OTHER_API_KEY, OTHER_STORED_KEY = new_key("estimator-2")

DOCUMENT = {
    "services": {
        MODEL: {"kind": "model", "step_time_ms": 3, "max_tokens": 4096},
        PLAIN: {
            "kind": "plain",
            "timeout_s": 10,
            "idempotent": [{"method": "GET", "path": "/stock"}],
            "at_most_once": {"form": "objects"},
        },
    },
    "customers": {"estimator-1": {}, "estimator-2": {}},
    "keys": {**STORED_KEY, **OTHER_STORED_KEY},
}


def unix_time() -> float:
    return EPOCH_S + trio.current_time()


class FakeAgent:
    """Agent of one node that serves configuration, servers and claims over a link."""

    def __init__(self, fleet: "Fleet", network: MemoryNetwork, address: Address):
        self.fleet = fleet
        self.network = network
        self.address = address
        self.handlers = Handlers()
        self.marks = []
        self.servers = ServerTable()
        self.scope = trio.CancelScope()
        self.resumed = trio.Event()
        self.resumed.set()
        self.handlers.on(LeavingMark)(self.handle_mark)
        claims = ObjectClaims(fleet.store, unix_time)
        register_claim_handlers(
            self.handlers, {"objects": claims}, lambda service: "objects"
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        with self.scope:
            await self.network.listen(
                self.address, self.accept, task_status=task_status
            )

    def suspend(self):
        """Stop all activity except that connections are accepted."""
        self.resumed = trio.Event()
        self.network.silence(self.fleet.entry_host(0), self.network.host)

    def resume(self):
        self.resumed.set()

    async def accept(self, stream):
        await self.resumed.wait()
        hello = Hello("waco-a-1", ZONE, 1, "agent", b"")
        try:
            link = await accept_link(stream, CLUSTER_KEY, hello, self.handlers)
        except LinkClosed:
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            while not link.is_closed:
                await self.push(link)
                await trio.sleep(PUSH_INTERVAL_S)

    async def handle_mark(self, mark, link):
        self.marks.append(mark)

    async def push(self, link):
        document = self.fleet.document
        await link.send(ConfigurationPush(1, document_digest(document), document))
        self.servers.apply_list(list(self.fleet.backends.values()))
        await link.send(self.servers.to_push())

    def kill(self):
        """Terminate the agent and reset its connections."""
        self.scope.cancel()
        self.network.kill_host(self.network.host)


class Fleet:
    """Entries, their agents and backend servers, each on its own host."""

    def __init__(self, nursery, document=None):
        self.nursery = nursery
        self.network = MemoryNetwork(CALLERS)
        self.document = document or DOCUMENT
        self.store = FakeStore()
        self.store.nursery = nursery
        self.backends: dict[str, BackendServer] = {}
        self.engines: dict[str, EngineStandIn] = {}
        self.plains: dict[str, PlainStandIn] = {}
        self.agents: list[FakeAgent] = []
        self.entries: list[Entry] = []
        self.stops: list[trio.Event] = []
        self.ended: list[trio.Event] = []
        self.scopes: list[trio.CancelScope] = []

    def register_server(self, name, service, host):
        self.backends[name] = BackendServer(
            name, service, ZONE, "g1", True, f"{host}:9000"
        )

    async def add_engine(self, name, **settings):
        host = f"10.0.1.{len(self.backends) + 1}"
        engine = EngineStandIn(EngineSettings(**settings), unix_time)
        network = self.network.with_host(host)
        await self.nursery.start(engine.serve, network, Address(host, 9000))
        self.engines[name] = engine
        self.register_server(name, MODEL, host)
        return engine

    async def add_plain(self, name):
        host = f"10.0.1.{len(self.backends) + 1}"
        plain = PlainStandIn(clock=unix_time)
        network = self.network.with_host(host)
        await self.nursery.start(plain.serve, network, Address(host, 9000))
        self.plains[name] = plain
        self.register_server(name, PLAIN, host)
        return plain

    def server_host(self, name):
        return self.backends[name].address.split(":")[0]

    async def add_agent(self, index):
        host = f"10.0.2.{index + 1}"
        agent = FakeAgent(self, self.network.with_host(host), Address(host, 8300))
        await self.nursery.start(agent.run)
        return agent

    async def add_entry(self, **limits):
        index = len(self.entries)
        self.agents.append(await self.add_agent(index))
        host = f"10.0.3.{index + 1}"
        settings = Settings(
            f"waco-a-{index + 1}",
            ZONE,
            "tx-central",
            Listen(callers=Address(host, 8100)),
            agent=self.agents[-1].address,
            limits=Limits(**limits),
        )
        settings.cluster_key = CLUSTER_KEY
        stop, ended = trio.Event(), trio.Event()
        entry = await self.nursery.start(
            self.run_entry, settings, stop, ended, self.network.with_host(host)
        )
        self.entries.append(entry)
        self.stops.append(stop)
        self.ended.append(ended)
        while entry.holder.view is None or not entry.servers.servers:
            await trio.sleep(0.05)
        return entry

    async def run_entry(
        self, settings, stop, ended, network, task_status=trio.TASK_STATUS_IGNORED
    ):
        scope = trio.CancelScope()
        self.scopes.append(scope)
        rng = random.Random(len(self.entries))
        with scope:
            await run_entry(
                settings, stop, network, rng, unix_time, task_status=task_status
            )
        ended.set()

    def entry_host(self, index):
        return f"10.0.3.{index + 1}"

    def url(self, index=0):
        return f"http://{self.entry_host(index)}:8100"

    def runs(self):
        """Return the number of executions by idempotency key over all servers."""
        counts = {}
        for plain in self.plains.values():
            for run in plain.runs:
                if run.key:
                    counts[run.key] = counts.get(run.key, 0) + 1
        return counts

    @asynccontextmanager
    async def caller(self, index=0, api_key=API_KEY):
        async with http_client(self.network, None) as client:
            client.base_url = httpx.URL(self.url(index))
            client.headers["Authorization"] = f"Bearer {api_key}"
            yield client


async def start_fleet(nursery, **limits) -> Fleet:
    """Start two servers of each service and one entry."""
    fleet = Fleet(nursery)
    for name in ("e1", "e2"):
        await fleet.add_engine(name)
    for name in ("p1", "p2"):
        await fleet.add_plain(name)
    await fleet.add_entry(**limits)
    return fleet


def chat(max_tokens=50, stream=True, text="span of a beam"):
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": max_tokens,
        "stream": stream,
    }


def booking(key, attempt=None):
    headers = {"Idempotency-Key": key}
    if attempt is not None:
        headers["Rosemaryknot-Attempt"] = str(attempt)
    return headers
