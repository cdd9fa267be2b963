"""The users' platform on loopback: stand-ins, three node processes, callers.

Run it by ``make platform-demo``. It ends with a table of answers and a line of JSON;
the nodes' logs are in ``.demo/platform``.
"""

import json
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path

import httpx
import trio

from rosemaryknot.connection.network import SocketNetwork
from rosemaryknot.standin.users.cloud import CloudStandIn
from rosemaryknot.standin.users.servers import Ledger, ServerStandIn
from rosemaryknot.standin.users.store import StoreStandIn
from rosemaryknot.values.nodes import Address

FOLDER = Path(".demo/platform")
ZONES = ("waco-a", "waco-b", "temple-c")
STORE = Address("127.0.0.1", 18361)
CLOUD = Address("127.0.0.1", 18362)
NODE_HOSTS = ("127.0.0.21", "127.0.0.22", "127.0.0.23")
CALLERS_PORT = 18360
HOST = "desk.example"
KEY = "demo-key"
REQUESTS = 200


def route(name: str, kind: str, service: str, attempts: int) -> dict:
    """Return a route as an operator writes it to the store."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "resumable": attempts > 1,
        "timeoutMs": 5000,
        "targetLatencyMs": 500,
        "service": service,
        "maxAttempts": attempts,
    }


def configuration() -> dict:
    """Return the configuration of the demo."""
    return {
        "version": 1,
        "routes": [
            route("takeoff", "streaming", "kit-assistant", 1),
            route("question", "streaming", "kit-assistant", 2),
            route("booking", "non_idempotent", "dispatch-app", 1),
            route("stock", "idempotent", "dispatch-app", 2),
        ],
        "services": [
            {"name": "kit-assistant", "engine": {"slots": 16, "kvCapacity": 100000}},
            {"name": "dispatch-app"},
        ],
        "tenants": [{"name": "bluebonnet", "apiKeys": [KEY], "ratePerS": 0}],
    }


def node_settings(number: int) -> dict:
    """Return a node's settings."""
    host = NODE_HOSTS[number]
    return {
        "node": f"edge-{number}",
        "zone": ZONES[number],
        "region": "tx-central",
        "listen": {
            "callers": f"{host}:{CALLERS_PORT}",
            "readiness": f"{host}:18365",
            "peers": f"{host}:18367",
        },
        "metrics_port": 18464,
        "seeds": [f"{NODE_HOSTS[0]}:18367"],
        "is_first_start": True,
        "store": {"address": str(STORE)},
        "cloud": {"address": str(CLOUD), "duties": ["usage"]},
    }


async def start_stand_ins(nursery: trio.Nursery) -> tuple[Ledger, CloudStandIn]:
    """Start store, cloud and backend servers."""
    network = SocketNetwork()
    store, cloud, ledger = StoreStandIn(), CloudStandIn(), Ledger()
    await nursery.start(store.server.serve, network, STORE)
    await nursery.start(cloud.server.serve, network, CLOUD)
    store.put("config", "main", configuration())
    for number in range(6):
        is_model = number < 3
        server = ServerStandIn(f"i-{number}", is_model, 0.02, ledger)
        address = await nursery.start(
            server.server.serve, network, Address("127.0.0.1", 0)
        )
        entry = {
            "service": "kit-assistant" if is_model else "dispatch-app",
            "address": str(address),
            "zone": ZONES[number % 3],
            "slots": 16,
            "state": "ready",
        }
        store.put("servers", server.id, entry)
    return ledger, cloud


def start_nodes() -> list[subprocess.Popen]:
    """Start the nodes as processes of their own."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    nodes = []
    for number in range(len(NODE_HOSTS)):
        path = FOLDER / f"edge-{number}.json"
        path.write_text(json.dumps(node_settings(number), indent=2))
        with open(FOLDER / f"edge-{number}.log", "w") as log:
            command = [sys.executable, "-m", "rosemaryknot.process.node_main", path]
            nodes.append(subprocess.Popen(command, stdout=log))
    return nodes


async def wait_ready() -> None:
    """Wait until all nodes are ready."""
    async with httpx.AsyncClient() as client:
        for host in NODE_HOSTS:
            for _ in range(200):
                await trio.sleep(0.05)
                try:
                    answer = await client.get(f"http://{host}:18365/v1/readyz")
                except httpx.TransportError:
                    continue
                if answer.is_success:
                    break


async def ask(number: int, client: httpx.AsyncClient, outcomes: Counter) -> None:
    """Send one request and count what became of it."""
    kind = ("takeoff", "question", "booking", "stock")[number % 4]
    url = f"http://{NODE_HOSTS[number % 3]}:{CALLERS_PORT}/{kind}/{number}"
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "Rosemaryknot-Attempt-Id": f"r{number}",
        "Rosemaryknot-Deadline-Ms": "4000",
    }
    if kind in ("takeoff", "question"):
        headers["Rosemaryknot-Token-Usage"] = "800,100"
        headers["Rosemaryknot-Prefix-Hash"] = f"aa:400,s{number % 20}:300,x:100"
    method = "GET" if kind == "stock" else "POST"
    try:
        answer = await client.request(method, url, headers=headers)
        outcomes[kind, answer.status_code] += 1
    except httpx.TransportError as error:
        outcomes[kind, type(error).__name__] += 1


async def main() -> None:
    """Start everything, ask, stop the nodes and report."""
    outcomes: Counter = Counter()
    async with trio.open_nursery() as nursery:
        ledger, cloud = await start_stand_ins(nursery)
        print("demo: starting three nodes")
        nodes = start_nodes()
        try:
            await wait_ready()
            print(f"demo: sending {REQUESTS} requests")
            async with httpx.AsyncClient(timeout=6) as client:
                async with trio.open_nursery() as callers:
                    for number in range(REQUESTS):
                        callers.start_soon(ask, number, client, outcomes)
                        await trio.sleep(0.02)
        finally:
            for node in nodes:
                node.send_signal(signal.SIGTERM)
            for node in nodes:
                await trio.to_thread.run_sync(node.wait)
        nursery.cancel_scope.cancel()
    for (kind, outcome), count in sorted(outcomes.items(), key=str):
        print(f"{kind:10} {outcome!s:20} {count:4}")
    twice = sum(ledger.runs_of(f"r{n}") > 1 for n in range(REQUESTS))
    answered = sum(count for (_, outcome), count in outcomes.items() if outcome == 200)
    exits = [node.returncode for node in nodes]
    print(
        json.dumps(
            {
                "requests": REQUESTS,
                "answered": answered,
                "ran_twice": twice,
                "usage_reports": len(cloud.calls),
                "node_exits": exits,
            }
        )
    )


if __name__ == "__main__":
    trio.run(main)
