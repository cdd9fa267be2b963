"""What the demo runs where, and the files for it."""

import json
import secrets
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.values.servers import server_to_dict
from rosemaryknot.version.patch import Patch
from rosemaryknot.version.stored import StoredConfiguration
from rosemaryknot.version.view import new_key, new_operator_key

__all__ = [
    "CLASSES",
    "OPERATOR",
    "ZONES",
    "NodePlan",
    "Plan",
    "ServerPlan",
    "first_version",
    "make_configuration",
    "make_plan",
    "write_files",
]

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
ZONES = ("waco-a", "waco-b", "temple-c")
NODES_PER_ZONE = 2
OPERATOR = "ana"
STEP_TIME_S = 0.005
SERVERS = (
    ("kit-assistant", "engine", 2),
    ("brief-writer", "engine", 1),
    ("dispatch-app", "plain", 1),
    ("visit-notify", "plain", 1),
)
CLASSES = {"engine": "g1", "plain": "c1"}
PRICES = {"engine": 1.2, "plain": 0.1}


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
    return stored.with_change(
        patch, document, ["first version"], time.time()
    ).to_value()


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
