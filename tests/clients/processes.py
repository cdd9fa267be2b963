"""Processes of the system on loopback, with limits that a small crowd reaches."""

import json
import random
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from rosemaryknot.connection.network import SocketNetwork
from rosemaryknot.standin.users.cloud import CloudStandIn
from rosemaryknot.standin.users.raw_http import RawRequest, RawServer, RawWire
from rosemaryknot.standin.users.store import StoreStandIn
from rosemaryknot.values.nodes import Address

__all__ = [
    "ATTEMPT_MARK",
    "HOST",
    "KEY",
    "MODEL_PATH",
    "SLOW_PATH",
    "NodeUnderTest",
    "ProcessFigures",
    "run_node",
]

HOST = "desk.example"
KEY = "crowd-key"
SLOW_PATH = "/stock/slow"
MODEL_PATH = "/plan/x"
MAX_BODY_BYTES = 4 << 20
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
ROUTE_TIMEOUT_MS = 20000
MEMORY_MB = 100
FILES = 2000
START_TIMEOUT_S = 30.0
# Replaced by the id of the attempt in what a backend server sends without end.
ATTEMPT_MARK = b"ATTEMPT"
PIECE_INTERVAL_S = 0.002
SAMPLE_INTERVAL_S = 0.05
KB_PER_MB = 1024


class ProcessFigures:
    """Memory and descriptors of a process.

    Parameters
    ----------
    process : subprocess.Popen
        The process.

    Attributes
    ----------
    calm_files : int
        Open descriptors before the crowd.
    most_files : int
        Most open descriptors that were seen.
    """

    def __init__(self, process: subprocess.Popen) -> None:
        self.process = process
        self.calm_files = self.most_files = self.files()

    @property
    def is_alive(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def files(self) -> int:
        """Return the number of open descriptors."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def peak_mb(self) -> float:
        """Return the highest resident memory so far, in megabytes."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = (x for x in status.splitlines() if x.startswith("VmHWM"))
        return int(line.split()[1]) / KB_PER_MB

    async def sample(self) -> None:
        """Sample the open descriptors until cancelled."""
        while self.is_alive:
            self.most_files = max(self.most_files, self.files())
            await trio.sleep(SAMPLE_INTERVAL_S)


class NodeUnderTest:
    """A node process, its stand-ins, and what it was started with.

    Attributes
    ----------
    host : str
        Host of its addresses.
    ports : dict of str to int
        Port of each of its addresses.
    memory_mb, files : int
        Memory and descriptors of its machine.
    figures : ProcessFigures
        Memory and descriptors that it uses.
    bodies : list of bytes
        Bodies that reached the backend server, in order.
    work_s : float
        Time that the backend server takes for a request to `SLOW_PATH`.
    response : bytes
        Body of its responses.
    endless : dict of str to tuple of (bytes, bytes)
        What the backend server sends to requests with a path: bytes, and then others
        again and again until the connection is closed.
    """

    def __init__(self, memory_mb: int, files: int) -> None:
        numbers = [random.SystemRandom().randrange(2, 250) for _ in range(3)]
        self.host = "127." + ".".join(map(str, numbers))
        names = ("callers", "readiness", "peers", "metrics")
        self.ports = {name: 18400 + number for number, name in enumerate(names)}
        self.memory_mb = memory_mb
        self.files = files
        self.bodies: list[bytes] = []
        self.work_s = 0.01
        self.response = b"done"
        self.endless: dict[str, tuple[bytes, bytes]] = {}
        self.figures: ProcessFigures

    async def serve(self, request: RawRequest, wire: RawWire) -> None:
        """Respond as a backend server."""
        self.bodies.append(request.body)
        if request.path == SLOW_PATH:
            await trio.sleep(self.work_s)
        attempt = request.headers["rosemaryknot-attempt-id"]
        if request.path in self.endless:
            begin, piece = self.endless[request.path]
            await wire.send(begin.replace(ATTEMPT_MARK, attempt.encode()))
            while True:
                await wire.send(piece)
                await trio.sleep(PIECE_INTERVAL_S)
        headers = {
            "Rosemaryknot-Instance-Signature": "signed",
            "Rosemaryknot-Attempt-Id": attempt,
        }
        if request.path == MODEL_PATH:
            headers["Content-Type"] = "text/event-stream"
        await wire.answer(200, headers, self.response)

    def settings(self, store: Address, cloud: Address) -> dict[str, Any]:
        """Return the settings of the process."""
        names = ("callers", "readiness", "peers")
        return {
            "node": "edge-1",
            "zone": "waco-a",
            "region": "tx-central",
            "listen": {name: f"{self.host}:{self.ports[name]}" for name in names},
            "metrics_port": self.ports["metrics"],
            "seeds": [f"{self.host}:{self.ports['peers']}"],
            "is_first_start": True,
            "store": {"address": str(store)},
            "cloud": {"address": str(cloud), "duties": []},
            "machine": {"memory_mb": self.memory_mb, "files": self.files},
        }


def configuration(limits: dict[str, int]) -> dict[str, Any]:
    """Return the configuration as an operator writes it."""
    plain = {
        "name": "stock",
        "hostname": HOST,
        "pathPrefix": "/stock/",
        "type": "idempotent",
        "timeoutMs": ROUTE_TIMEOUT_MS,
        "targetLatencyMs": 2000,
        "service": "dispatch-app",
        "maxAttempts": 1,
    }
    model = plain | {
        "name": "plan",
        "pathPrefix": "/plan/",
        "type": "streaming",
        "service": "writer",
    }
    engine = {"slots": 2000, "kvCapacity": 1 << 30}
    return {
        "version": 1,
        "routes": [plain, model],
        "services": [{"name": "dispatch-app"}, {"name": "writer", "engine": engine}],
        "tenants": [{"name": "bluebonnet", "apiKeys": [KEY], "ratePerS": 0}],
        "limits": LIMITS | limits,
    }


def server_entry(number: int, service: str, address: Address) -> dict[str, Any]:
    """Return the entry of a backend server."""
    return {
        "service": service,
        "address": str(address),
        "zone": "waco-a",
        "version": "v1",
        "slots": 2000,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": 1700000000000 + number,
    }


@asynccontextmanager
async def run_node(
    folder: Path,
    memory_mb: int = MEMORY_MB,
    files: int = FILES,
    **limits: int,
) -> AsyncIterator[NodeUnderTest]:
    """Run a node with its stand-ins, and end it by its id.

    Parameters
    ----------
    folder : Path
        Folder for its settings and its log.
    memory_mb, files : int
        Memory and descriptors of its machine.
    **limits : int
        Limits of the configuration that differ from `LIMITS`.
    """
    node = NodeUnderTest(memory_mb, files)
    network, here = SocketNetwork(), Address("127.0.0.1", 0)
    async with trio.open_nursery() as nursery:
        store = StoreStandIn()
        store_at = await nursery.start(store.server.serve, network, here)
        cloud_at = await nursery.start(CloudStandIn().server.serve, network, here)
        server_at = await nursery.start(RawServer(node.serve).serve, network, here)
        store.put("config", "main", configuration(limits))
        for number, service in enumerate(("dispatch-app", "writer")):
            entry = server_entry(number, service, server_at)
            store.put("servers", f"p{number}", entry)
        settings = folder / "node.json"
        settings.write_text(json.dumps(node.settings(store_at, cloud_at)))
        with (folder / "node.log").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "rosemaryknot.process.node_main", settings],
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        try:
            await wait_listening(node, process)
            node.figures = ProcessFigures(process)
            nursery.start_soon(node.figures.sample)
            yield node
        finally:
            process.kill()
            process.wait()
            nursery.cancel_scope.cancel()


async def wait_listening(node: NodeUnderTest, process: subprocess.Popen) -> None:
    """Wait until a node accepts callers and knows its configuration."""
    request = f"GET /v1/readyz HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    with trio.fail_after(START_TIMEOUT_S):
        while process.poll() is None:
            try:
                stream = await trio.open_tcp_stream(node.host, node.ports["readiness"])
                async with stream:
                    await stream.send_all(request)
                    if b" 200 " in await stream.receive_some(65536):
                        return
            except (OSError, trio.BrokenResourceError):
                pass
            await trio.sleep(SAMPLE_INTERVAL_S)
    raise RuntimeError(f"the node ended with code {process.returncode}")
