"""A small deployment on loopback for the cases of the review.

The nodes are the project's own program, started as processes with the command of the
deploy file. Store, cloud and backend servers are stand-ins in the process of the case.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import h11
import trio

from rosemaryknot.connection.network import SocketNetwork
from rosemaryknot.standin.users.cloud import CloudStandIn
from rosemaryknot.standin.users.store import StoreStandIn
from rosemaryknot.values.nodes import Address

__all__ = [
    "BOUNDS",
    "HOST",
    "KEY",
    "ZONES",
    "Booker",
    "Case",
    "Deployment",
    "Reply",
    "ask",
    "configuration",
    "free_port",
    "receive",
    "reset",
    "route",
    "run_case",
    "server_entry",
]

ROOT = Path(__file__).resolve().parent.parent
SETTINGS_PATH = "/etc/rosemaryknot/node.toml"
ZONES = ("waco-a", "waco-b", "temple-c")
HOST = "desk.example"
KEY = "review-key"
READY_TIMEOUT_S = 20.0
# The bounds of the small deployment on the users' pages, in the template's layout.
BOUNDS = {
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 54,
    "limit_window_s": 8,
    "usage_window_s": 5,
    "usage_delay_s": 10,
    "lease_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
}


class Case:
    """Record of a case: what was sent, answered and run, and which rules broke."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        # `run.sh` passes this on from the variable TROUBLE.
        self.has_trouble = "--without-trouble" not in sys.argv
        self.lines: list[str] = []
        self.broken: list[str] = []
        self.started_s = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line to the record."""
        line = f"{time.monotonic() - self.started_s:7.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def breaks(self, text: str) -> None:
        """Record that a rule was broken."""
        self.broken.append(text)
        self.note(f"BROKEN: {text}")

    def write(self) -> None:
        """Write the record to its file."""
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")


def free_port(hosts: list[str]) -> int:
    """Return a port that is free at all of the hosts."""
    while True:
        with socket.socket() as first:
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
        try:
            for host in hosts:
                with socket.socket() as other:
                    other.bind((host, port))
        except OSError:
            continue
        return port


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route as an operator writes it to the store."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 15000,
        "targetLatencyMs": 500,
        "service": service,
        "maxAttempts": 1,
        "priority": 0,
    } | fields


def configuration(
    routes: list[dict], services: list[dict], version: int = 1
) -> dict[str, Any]:
    """Return a configuration as an operator writes it to the store."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": "bluebonnet", "apiKeys": [KEY], "ratePerS": 0}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def server_entry(
    service: str, address: object, zone: str = ZONES[0], **fields: Any
) -> dict[str, Any]:
    """Return a server's entry in the store."""
    return {
        "service": service,
        "address": str(address),
        "zone": zone,
        "version": "v1",
        "slots": 16,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    } | fields


def reset(stream: trio.SocketStream) -> None:
    """Reset a connection."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


class Deployment:
    """Store, cloud and nodes of a case.

    Parameters
    ----------
    case : Case
        Record of the case.
    nursery : trio.Nursery
        Runs the stand-ins.
    count : int
        Number of nodes.
    """

    def __init__(self, case: Case, nursery: trio.Nursery, count: int = 1) -> None:
        self.case = case
        self.nursery = nursery
        self.network = SocketNetwork()
        self.store = StoreStandIn()
        self.cloud = CloudStandIn()
        self.folder = tempfile.TemporaryDirectory(prefix="rosemaryknot-review-")
        net = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
        self.hosts = [f"{net}.{number + 1}" for number in range(count)]
        names = ("callers", "readiness", "peers", "metrics")
        self.ports: dict[str, int] = {}
        for name in names:
            self.ports[name] = free_port(self.hosts)
        self.nodes: dict[int, subprocess.Popen] = {}
        self.store_address = self.cloud_address = None
        self.is_first_start = True

    async def start_platform(self) -> None:
        """Start the store and the cloud."""
        here = Address("127.0.0.1", 0)
        serve = self.nursery.start
        self.store_address = await serve(self.store.server.serve, self.network, here)
        self.cloud_address = await serve(self.cloud.server.serve, self.network, here)

    def settings(self, number: int, **fields: Any) -> dict[str, Any]:
        """Return the settings of a node."""
        host = self.hosts[number]
        zone = ZONES[number % len(ZONES)]
        return {
            "node": f"edge-{zone}-{number}",
            "zone": zone,
            "region": "tx-central",
            "zones": dict.fromkeys(ZONES, "tx-central"),
            "listen": {
                name: f"{host}:{self.ports[name]}"
                for name in ("callers", "readiness", "peers")
            },
            "metrics_port": self.ports["metrics"],
            "seeds": [f"{h}:{self.ports['peers']}" for h in self.hosts[:3]],
            "is_first_start": self.is_first_start,
            "store": {"address": str(self.store_address)},
            "cloud": {"address": str(self.cloud_address), "duties": ["usage"]},
            "machine": {
                "memory_mb": 300,
                "files": 4200,
                "processor_share": 0.537,
                "processor_speed": 2,
            },
            "bounds": BOUNDS,
        } | fields

    def start_node(self, number: int, **fields: Any) -> None:
        """Start the process of a node with the command of the deploy file."""
        path = Path(self.folder.name) / f"node-{number}.json"
        path.write_text(json.dumps(self.settings(number, **fields)))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        command = [str(path) if word == SETTINGS_PATH else word for word in words]
        command[0] = sys.executable
        environment = {"PYTHONPATH": str(ROOT / "target/deps"), "LANG": "C.UTF-8"}
        with open(Path(self.folder.name) / f"node-{number}.log", "ab") as log:
            self.nodes[number] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, numbers: list[int] | None = None) -> None:
        """Wait until nodes are ready."""
        for number in self.nodes if numbers is None else numbers:
            with trio.fail_after(READY_TIMEOUT_S):
                while not await self.is_ready(number):
                    await trio.sleep(0.05)

    async def is_ready(self, number: int) -> bool:
        """Return whether a node says that it is ready."""
        try:
            reply = await ask(
                self.hosts[number], self.ports["readiness"], "GET", "/v1/readyz", {}
            )
        except OSError:
            return False
        return reply.status == 200

    def log_lines(self, number: int) -> list[dict]:
        """Return the log of a node."""
        path = Path(self.folder.name) / f"node-{number}.log"
        lines = []
        for line in path.read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"event": line})
        return lines

    def stop(self) -> None:
        """End all processes that this case started."""
        for process in self.nodes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.nodes.values():
            process.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for path in Path(self.folder.name).glob("*.log"):
                (Path(kept) / path.name).write_bytes(path.read_bytes())
        self.folder.cleanup()


class Reply:
    """What a client received on a connection.

    Attributes
    ----------
    status : int
        Status code; 0 if there was none.
    headers : dict of str to str
        By name in lower case.
    body : bytes
        Body without its framing.
    is_whole : bool
        Whether its framing says that the response is complete.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False


class Booker:
    """Client of non-idempotent requests with one kept connection to a node."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.conn = h11.Connection(h11.CLIENT)
        self.stream: trio.SocketStream | None = None

    async def open(self, node: int) -> None:
        """Open the connection."""
        deployment = self.deployment
        self.stream = await trio.open_tcp_stream(
            deployment.hosts[node], deployment.ports["callers"]
        )

    async def book(self, name: str) -> int:
        """Send a booking; return its status, 0 if the connection ends without one."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Rosemaryknot-Attempt-Id": name,
            "Rosemaryknot-Deadline-Ms": "10000",
            "Content-Length": "0",
        }
        request = h11.Request(
            method="POST", target=f"/book/{name}", headers=[*headers.items()]
        )
        data = self.conn.send(request) + self.conn.send(h11.EndOfMessage())
        await self.stream.send_all(data)
        reply = Reply()
        await receive(self.conn, self.stream, reply)
        if not reply.is_whole:
            return 0
        self.conn.start_next_cycle()
        return reply.status


async def ask(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 20.0,
) -> Reply:
    """Send one request on a new connection and return what came back."""
    reply = Reply()
    conn = h11.Connection(h11.CLIENT)
    stream = await trio.open_tcp_stream(host, port)
    fields = {"Host": HOST, "Content-Length": str(len(body))} | headers
    data = conn.send(h11.Request(method=method, target=path, headers=[*fields.items()]))
    if body:
        data += conn.send(h11.Data(data=body))
    data += conn.send(h11.EndOfMessage())

    async def send() -> None:
        try:
            await stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        with trio.move_on_after(timeout_s):
            await receive(conn, stream, reply)
        nursery.cancel_scope.cancel()
    await trio.aclose_forcefully(stream)
    return reply


async def receive(conn: Any, stream: trio.SocketStream, reply: Reply) -> None:
    """Read a response until it ends or breaks off."""
    while True:
        try:
            event = conn.next_event()
        except h11.RemoteProtocolError:
            return
        if event is h11.NEED_DATA:
            try:
                conn.receive_data(await stream.receive_some(65536))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
        elif isinstance(event, h11.Response):
            reply.status = event.status_code
            reply.headers = {k.decode(): v.decode() for k, v in event.headers}
        elif isinstance(event, h11.Data):
            reply.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            reply.is_whole = True
            return
        elif isinstance(event, h11.ConnectionClosed):
            return


def run_case(
    folder: Path,
    play: Callable[[Case, Deployment], Awaitable[None]],
    nodes: int = 1,
    limit_s: float = 110.0,
) -> None:
    """Play a case and exit with 1 if a rule was broken, 0 if not, 2 if it did not run.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, in which the record is written.
    play : callable
        Plays the case. Its store and cloud have been started.
    nodes : int
        Number of nodes of the deployment.
    limit_s : float
        Longest time, in seconds.
    """
    case = Case(folder)
    status = 2

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            deployment = Deployment(case, nursery, nodes)
            try:
                await deployment.start_platform()
                with trio.fail_after(limit_s):
                    await play(case, deployment)
            finally:
                deployment.stop()
            nursery.cancel_scope.cancel()

    try:
        trio.run(run)
        status = 1 if case.broken else 0
    except BaseException as error:
        case.note(f"the case could not run: {error!r}")
        if os.environ.get("TRACE"):
            raise
    words = {0: "the rule held", 1: "the rule was broken", 2: "could not run"}
    case.note(f"exit {status}: {words[status]}")
    case.write()
    sys.exit(status)
