"""The processes of the demo: stand-ins, agents and entries of three zones."""

import json
import secrets
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx
import trio

from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.values.servers import server_to_dict
from rosemaryknot.version.patch import Patch
from rosemaryknot.version.stored import StoredConfiguration
from rosemaryknot.version.view import new_key, new_operator_key

__all__ = [
    "OPERATOR",
    "ZONES",
    "Fleet",
    "NodePlan",
    "Plan",
    "Process",
    "ServerPlan",
    "make_plan",
    "say",
]

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
ZONES = ("waco-a", "waco-b", "temple-c")
NODES_PER_ZONE = 2
OPERATOR = "ana"
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.1
STEP_TIME_S = 0.005
SERVERS = (
    ("kit-assistant", "engine", 2),
    ("brief-writer", "engine", 1),
    ("dispatch-app", "plain", 1),
    ("visit-notify", "plain", 1),
)
CLASSES = {"engine": "g1", "plain": "c1"}
PRICES = {"engine": 1.2, "plain": 0.1}


def say(text: str) -> None:
    """Tell the person who waits what is going on."""
    print(f"demo: {text}", flush=True)


@dataclass(slots=True)
class ServerPlan:
    """One stand-in of a backend server.

    Attributes
    ----------
    kind : str
        ``engine`` or ``plain``.
    server : BackendServer
        As the platform lists it.
    """

    kind: str
    server: BackendServer


@dataclass(slots=True)
class NodePlan:
    """One node of ours: an agent and an entry.

    Attributes
    ----------
    name, zone : str
        From its settings.
    callers, operators, links : Address
        Where it listens.
    """

    name: str
    zone: str
    callers: Address
    operators: Address
    links: Address


@dataclass(slots=True)
class Plan:
    """What runs where.

    Attributes
    ----------
    folder : Path
        For settings and logs.
    platform : Address
        The platform.
    nodes : list of NodePlan
        Our nodes.
    servers : list of ServerPlan
        Backend servers of all zones.
    keys : dict of str to str
        API keys by name of customer or operator.
    """

    folder: Path
    platform: Address
    nodes: list[NodePlan] = field(default_factory=list)
    servers: list[ServerPlan] = field(default_factory=list)
    keys: dict[str, str] = field(default_factory=dict)

    def servers_of(self, zone: str) -> list[ServerPlan]:
        """Return the backend servers of a zone."""
        return [plan for plan in self.servers if plan.server.zone == zone]


@dataclass(slots=True)
class Process:
    """One started process.

    Attributes
    ----------
    name : str
        What it is.
    child : subprocess.Popen
        The process; it is ended by its id and by nothing else.
    log : Path
        Where its output goes.
    """

    name: str
    child: subprocess.Popen
    log: Path


def make_plan(folder: Path, prefix: str) -> Plan:
    """Lay out three zones on loopback addresses.

    Parameters
    ----------
    folder : Path
        For settings and logs.
    prefix : str
        First three numbers of all addresses, for example ``127.0.0``.

    Returns
    -------
    plan : Plan
        What will run where.
    """
    plan = Plan(folder, Address(f"{prefix}.9", 7000))
    for number, zone in enumerate(ZONES, 1):
        port = 9000
        for service, kind, count in SERVERS:
            for n in range(1, count + 1):
                port += 1
                server = BackendServer(
                    instance=f"{service}-{zone}-{n}",
                    service=service,
                    zone=zone,
                    machine_class=CLASSES[kind],
                    reclaimable=True,
                    address=f"{prefix}.{number}0:{port}",
                    price_per_hour=PRICES[kind],
                )
                plan.servers.append(ServerPlan(kind, server))
        for n in range(1, NODES_PER_ZONE + 1):
            ports = [Address(f"{prefix}.{number}{n}", p) for p in (8100, 8200, 8300)]
            plan.nodes.append(NodePlan(f"{zone}-{n}", zone, *ports))
    return plan


def make_configuration(plan: Plan) -> dict[str, Any]:
    """Return the sample configuration with fresh keys, which go into the plan."""
    document = json.loads((EXAMPLES / "configuration.json").read_text())
    for customer in document["customers"]:
        plan.keys[customer], entry = new_key(customer)
        document["keys"].update(entry)
    plan.keys[OPERATOR], entry = new_operator_key(OPERATOR, "editor")
    document["keys"].update(entry)
    return document


def first_version(document: dict[str, Any]) -> dict[str, Any]:
    """Return the stored object of the configuration's first version."""
    patch = Patch("demo-first-version", 0, None, "demo")
    stored = StoredConfiguration()
    return stored.changed_by(patch, document, ["first version"], time.time()).to_value()


def write_files(plan: Plan) -> None:
    """Write the settings of all processes."""
    plan.folder.mkdir(parents=True, exist_ok=True)
    write_secret(plan.folder / "cluster-key", secrets.token_hex(32))
    write_secret(plan.folder / "keys.json", json.dumps(plan.keys, indent=2))
    for node in plan.nodes:
        write_json(plan.folder / f"settings-{node.name}.json", settings_of(plan, node))
    for zone in ZONES:
        standins = [
            {
                "kind": item.kind,
                "listen": item.server.address,
                "settings": standin_settings(item),
            }
            for item in plan.servers_of(zone)
        ]
        write_json(plan.folder / f"standins-{zone}.json", standins)
    listed = [server_to_dict(item.server) for item in plan.servers]
    listed += [server_to_dict(instance_of(node)) for node in plan.nodes]
    write_json(plan.folder / "instances.json", listed)


def write_secret(file: Path, text: str) -> None:
    """Write a file that nobody else may read."""
    file.touch(mode=0o600)
    file.write_text(text + "\n")


def write_json(file: Path, value: Any) -> None:
    """Write a JSON file for people and programs."""
    file.write_text(json.dumps(value, indent=2) + "\n")


def standin_settings(item: ServerPlan) -> dict[str, Any]:
    """Return the settings of a stand-in."""
    return {"step_time_s": STEP_TIME_S} if item.kind == "engine" else {}


def instance_of(node: NodePlan) -> BackendServer:
    """Return a node of ours as the platform lists it."""
    address = str(node.callers)
    return BackendServer(node.name, "rosemaryknot", node.zone, "c1", False, address)


def settings_of(plan: Plan, node: NodePlan) -> dict[str, Any]:
    """Return the settings of a node, after the sample."""
    settings = json.loads((EXAMPLES / "settings-waco-a-1.json").read_text())
    settings["node"], settings["zone"] = node.name, node.zone
    settings["listen"] = {
        "callers": str(node.callers),
        "operators": str(node.operators),
        "links": str(node.links),
    }
    settings["agent"] = str(node.links)
    settings["peers"] = [str(peer.links) for peer in plan.nodes if peer is not node]
    settings["platform"] = str(plan.platform)
    return settings


class Fleet:
    """Starts the processes and ends them.

    Parameters
    ----------
    plan : Plan
        What to start.

    Attributes
    ----------
    processes : list of Process
        Those that were started and not ended on purpose.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.processes: list[Process] = []

    def start(self, name: str, module: str, *arguments: str) -> Process:
        """Start one of our programs; its output goes to a file."""
        log = self.plan.folder / f"{name}.log"
        with log.open("wb") as output:
            # A session of its own: an interrupt at the terminal reaches this script
            # alone, which then ends each process once, in order.
            child = subprocess.Popen(
                [sys.executable, "-m", f"rosemaryknot.{module}", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        process = Process(name, child, log)
        self.processes.append(process)
        return process

    async def start_all(self, client: httpx.AsyncClient) -> None:
        """Start everything and wait until callers can be served."""
        document = make_configuration(self.plan)
        write_files(self.plan)
        self.start_standins()
        await self.store_configuration(client, document)
        say(f"starting agents and entries of {len(self.plan.nodes)} nodes")
        for node in self.plan.nodes:
            settings = str(self.plan.folder / f"settings-{node.name}.json")
            self.start(f"agent-{node.name}", "process.agent_main", settings)
            self.start(f"entry-{node.name}", "process.entry_main", settings)
        for node in self.plan.nodes:
            await self.wait_for(client, f"http://{node.callers}/readyz")

    def start_standins(self) -> None:
        """Start the platform and one process of stand-ins a zone."""
        say("starting the platform and the backend servers of three zones")
        folder = self.plan.folder
        listen = ["--listen", str(self.plan.platform)]
        instances = ["--instances", str(folder / "instances.json")]
        self.start("platform", "standin.main", "platform", *listen, *instances)
        for zone in ZONES:
            file = str(folder / f"standins-{zone}.json")
            self.start(f"standins-{zone}", "standin.main", "all", file)

    async def store_configuration(
        self, client: httpx.AsyncClient, document: dict[str, Any]
    ) -> None:
        """Store the first version, as the platform's owner does once a region."""
        platform = f"http://{self.plan.platform}"
        await self.wait_for(client, f"{platform}/instances")
        for item in self.plan.servers:
            await self.wait_for(client, f"http://{item.server.address}/test/ledger")
        # Started replacements would have no process behind them here.
        starts = [[zone, name] for zone in ZONES for name in CLASSES.values()]
        faults = {"refused_starts": starts}
        (await client.post(f"{platform}/test/faults", json=faults)).raise_for_status()
        response = await client.put(
            f"{platform}/objects/configuration/main",
            json=first_version(document),
            headers={"If-None-Match": "*"},
        )
        response.raise_for_status()

    async def wait_for(self, client: httpx.AsyncClient, url: str) -> None:
        """Wait until a URL answers 200."""
        deadline = trio.current_time() + START_TIMEOUT_S
        while trio.current_time() < deadline:
            self.check_running()
            try:
                if (await client.get(url)).status_code == httpx.codes.OK:
                    return
            except httpx.TransportError:
                pass
            await trio.sleep(POLL_S)
        raise RuntimeError(f"{url} was not ready in {START_TIMEOUT_S:.0f} s")

    def check_running(self) -> None:
        """Raise if a process has ended by itself."""
        for process in self.ended():
            last = process.log.read_text(errors="replace").strip()[-2000:]
            code = process.child.returncode
            raise RuntimeError(f"{process.name} ended with code {code}:\n{last}")

    def ended(self) -> list[Process]:
        """Return the processes that ended by themselves."""
        return [p for p in self.processes if p.child.poll() is not None]

    def kill(self, name: str) -> None:
        """End a process at once, as the cloud does."""
        process = next(p for p in self.processes if p.name == name)
        self.processes.remove(process)
        process.child.kill()
        process.child.wait()

    async def stop_all(self) -> dict[str, int]:
        """End all processes, ours first.

        Returns
        -------
        codes : dict of str to int
            Exit codes by name; negative for those that had to be killed.
        """
        ours = [p for p in self.processes if p.name.startswith(("entry-", "agent-"))]
        standins = [p for p in self.processes if p not in ours]
        codes = {}
        for group in (ours, standins):
            for process in group:
                if process.child.poll() is None:
                    process.child.send_signal(signal.SIGTERM)
            for process in group:
                codes[process.name] = await self.wait_end(process)
        self.processes.clear()
        return codes

    async def wait_end(self, process: Process) -> int:
        """Wait for the end of a process; kill it when that takes too long."""
        deadline = trio.current_time() + STOP_TIMEOUT_S
        while process.child.poll() is None and trio.current_time() < deadline:
            await trio.sleep(POLL_S / 2)
        if process.child.poll() is None:
            process.child.kill()
        return process.child.wait()
