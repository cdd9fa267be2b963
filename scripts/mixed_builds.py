"""Checks that processes of two builds work together, as in a rolling upgrade.

``python scripts/mixed_builds.py OLD NEW`` takes the roots of two checkouts and runs
both mixes: one process of OLD among those of NEW, and the reverse. It prints a row
for each check and ends with ``N passed, N failed``. Stand-ins and clients are those of
the checkout that this script belongs to.
"""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any

import httpx
import trio
import typer
from demo import Demo
from demo_callers import READ_TIMEOUT_S
from demo_fleet import Fleet, Process
from demo_operator import OPERATIONS, operator_headers, submit, wait_in_force
from demo_plan import Plan, make_plan
from soak import GRACE_S, READY_S, SoakNode, SoakSystem
from soak_proxy import SoakProxy

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.network import SocketNetwork
from rosemaryknot.standin.users.configuration_changes import changed_document
from rosemaryknot.standin.users.servers import server_entry
from rosemaryknot.standin.users.system import (
    MODEL,
    MODEL_HEADERS,
    PLAIN,
    Answer,
    document,
)
from rosemaryknot.values.nodes import Address

__all__ = ["Checks", "main"]

FOLDER = Path(".demo/mixed")
HOST = "127.0.0.1"
PREFIX = "127.0.1"
SEEDS = {"old": 4001, "new": 4002}
MIXES = {"old": ("old", "new", "new"), "new": ("new", "old", "old")}
OK = 200
REFUSED = 429
# A version of the configuration is active on all nodes within this time.
ACTIVE_S = 6.0
# A request of the plain service counts as many units of its customer's limit.
REQUEST_UNITS = 200
LIMIT_REQUESTS = 40
LIMIT_WINDOW_S = 1.0
# The most that all nodes together may admit in a window, as a share of the limit.
LIMIT_TOLERANCE = 1.16
LIMIT_LOAD_S = 4.0
LIMIT_LOAD_PER_S = 60
# Nodes have exchanged their usage after this time.
LIMIT_SETTLE_S = 1.0
# Prints kind, name and type of all message fields of a build, and whether required.
SCHEMA_SCRIPT = """
import importlib, json, pkgutil
from dataclasses import MISSING, fields
import rosemaryknot
from rosemaryknot.values.messages import FIELD_TYPES, KINDS
for info in pkgutil.walk_packages(rosemaryknot.__path__, "rosemaryknot."):
    if info.name.startswith(("rosemaryknot.values", "rosemaryknot.connection")):
        importlib.import_module(info.name)
print(json.dumps({
    f"{kind}.{field.name}": [
        str(FIELD_TYPES[cls][field.name]),
        field.default is MISSING and field.default_factory is MISSING,
    ]
    for kind, cls in KINDS.items() for field in fields(cls)
}))
"""
# Log texts that only a message of another form causes.
UNREADABLE = ("not a message", "unknown kind", "Traceback")


class Checks:
    """Results of the checks.

    Attributes
    ----------
    passed, failed : int
        How many checks passed and failed.
    """

    def __init__(self) -> None:
        self.passed = 0
        self.failed = 0

    def row(self, mix: str, name: str, is_passed: bool, detail: str = "") -> None:
        """Count and print one check."""
        self.passed += is_passed
        self.failed += not is_passed
        word = "passed" if is_passed else "FAILED"
        print(f"{mix:12} {name:44} {word} {detail}".rstrip(), flush=True)


def environment(root: Path) -> dict[str, str]:
    """Return the environment in which the build of a checkout is imported."""
    return os.environ | {"PYTHONPATH": str(root / "src")}


class MixedNode(SoakNode):
    """A gateway node that runs the build of a checkout."""

    def __init__(
        self, folder: Path, name: str, settings: dict[str, Any], root: Path
    ) -> None:
        super().__init__(folder, name, settings)
        self.root = root

    def start(self) -> None:
        """Start the process."""
        self.write()
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "rosemaryknot.process.node_main", self.path],
                stdout=log,
                stderr=log,
                env=environment(self.root),
            )
        self.settings["is_first_start"] = False


class MixedSystem(SoakSystem):
    """Gateway nodes of two builds among the stand-ins of the soak.

    Parameters
    ----------
    roots : list of Path
        Checkout of each node.
    """

    def __init__(self, nursery: trio.Nursery, seed: int, roots: list[Path]) -> None:
        super().__init__(nursery, seed)
        self.folder = FOLDER / str(seed)
        self.link_bytes_per_s = 0
        self.roots = roots

    async def start(self) -> None:
        """Start everything and wait until the nodes are ready."""
        anywhere = Address(HOST, 0)
        self.folder.mkdir(parents=True, exist_ok=True)
        start = self.nursery.start
        store = await start(self.store.server.serve, self.network, anywhere)
        cloud = await start(self.cloud.server.serve, self.network, anywhere)
        trap = await start(self.trap.server.serve, self.network, anywhere)
        self.trap.entry = server_entry(PLAIN, trap, "z0", int(time.time() * 1000))
        self.store.put("config", "main", document())
        for number in range(6):
            await self.add_server(f"s{number}", MODEL if number < 3 else PLAIN)
        for number, root in enumerate(self.roots):
            proxy = SoakProxy(store)
            address = await start(proxy.serve, anywhere)
            self.proxies[f"n{number}"] = proxy
            settings = self.node_settings(number, address, cloud)
            settings["bounds"]["limit_window_s"] = LIMIT_WINDOW_S
            node = MixedNode(self.folder, settings["node"], settings, root)
            self.nodes[node.name] = node
            node.log.write_text("")
            node.start()

    async def ask_or_fail(self, path: str, node: str, **options: Any) -> Answer:
        """Send one request; without a connection the answer has status 0."""
        try:
            return await self.ask(path, node, **options)
        except (OSError, trio.BrokenResourceError):
            return Answer()


NodeCheck = Callable[[MixedSystem], Awaitable[tuple[bool, str]]]
NODE_CHECKS: dict[str, NodeCheck] = {}


def node_check(name: str) -> Callable[[NodeCheck], NodeCheck]:
    """Register a check of the gateway nodes; they run in the order of registration."""

    def register(check: NodeCheck) -> NodeCheck:
        NODE_CHECKS[name] = check
        return check

    return register


async def until_true(condition: Callable[[], Awaitable[bool]], within_s: float) -> bool:
    """Return whether a condition becomes true within a time."""
    deadline_s = trio.current_time() + within_s
    while trio.current_time() < deadline_s:
        if await condition():
            return True
        await trio.sleep(0.1)
    return False


async def statuses(system: MixedSystem, path: str, **options: Any) -> list[int]:
    """Return the status with which each node answers a request."""
    found = []
    for name in system.nodes:
        options["request_id"] = f"{path}-{name}-{trio.current_time()}"
        answer = await system.ask_or_fail(path, name, **options)
        found.append(answer.status if answer.is_whole else 0)
    return found


@node_check("nodes become ready")
async def check_ready(system: MixedSystem) -> tuple[bool, str]:
    """Check that all nodes answer."""
    found = [await system.wait_until_responding(name, READY_S) for name in system.nodes]
    await trio.sleep(2)
    return all(found), str(found)


@node_check("plain requests, repeatable and not")
async def check_plain(system: MixedSystem) -> tuple[bool, str]:
    """Check that each node serves both kinds of plain requests."""
    found = await statuses(system, "/stock/x", method="GET")
    found += await statuses(system, "/book/x")
    return set(found) == {OK}, str(found)


@node_check("model requests and resumable streams")
async def check_model(system: MixedSystem) -> tuple[bool, str]:
    """Check that each node serves whole streams."""
    found = await statuses(system, "/plan/x", **MODEL_HEADERS)
    found += await statuses(system, "/ask/x", **MODEL_HEADERS)
    return set(found) == {OK}, str(found)


async def is_active_everywhere(system: MixedSystem) -> bool:
    """Return whether all nodes serve the route that was added last."""
    version = system.store.objects["config"]["main"]["spec"]["version"]
    path = f"/added-{version}/x"

    async def is_active() -> bool:
        return set(await statuses(system, path)) == {OK}

    return await until_true(is_active, ACTIVE_S)


@node_check("a change of the configuration")
async def check_configuration(system: MixedSystem) -> tuple[bool, str]:
    """Check that a new version becomes active on all nodes."""
    system.store.put("config", "main", changed_document(system.store))
    return await is_active_everywhere(system), ""


@node_check("a node without the store learns a change")
async def check_unreachable_store(system: MixedSystem) -> tuple[bool, str]:
    """Check that a node without the store gets a new version from the others."""
    found = []
    for proxy in (system.proxies["n0"], system.proxies["n1"]):
        proxy.reset_all()
        proxy.silent = {"to", "from"}
        await trio.sleep(0.5)
        system.store.put("config", "main", changed_document(system.store))
        found.append(await is_active_everywhere(system))
        proxy.silent = set()
        proxy.reset_all()
        await trio.sleep(3)
    return all(found), str(found)


@node_check("the store is lost and regained")
async def check_store(system: MixedSystem) -> tuple[bool, str]:
    """Check that nodes serve in an outage, and a later change becomes active."""
    system.store.faults.begin("reset")
    await trio.sleep(2)
    found = await statuses(system, "/stock/x", method="GET")
    system.store.faults.end()
    system.store.put("config", "main", changed_document(system.store))
    is_active = await is_active_everywhere(system)
    return set(found) == {OK} and is_active, f"{found}, active after: {is_active}"


def most_in_window(times: list[float]) -> int:
    """Return how many times lie in a window of the limit at most."""
    times = sorted(times)
    return max(
        (sum(s <= t < s + LIMIT_WINDOW_S for t in times) for s in times), default=0
    )


@node_check("a limit over all nodes")
async def check_limit(system: MixedSystem) -> tuple[bool, str]:
    """Check that nodes offered far more than a limit admit it once together."""
    units = LIMIT_REQUESTS * REQUEST_UNITS / 2
    spec = changed_document(system.store)
    spec["tenants"] = [t | {"ratePerS": units, "burst": units} for t in spec["tenants"]]
    system.store.put("config", "main", spec)
    await trio.sleep(3)
    admitted: list[float] = []
    refused: list[float] = []
    began_s = trio.current_time()

    async def send(name: str, number: int) -> None:
        asked_s = trio.current_time()
        answer = await system.ask_or_fail(
            "/stock/x", name, method="GET", request_id=f"limit-{name}-{number}"
        )
        if asked_s - began_s > LIMIT_SETTLE_S:
            (admitted if answer.status == OK else refused).append(asked_s)

    async with trio.open_nursery() as nursery:
        for number in range(int(LIMIT_LOAD_S * LIMIT_LOAD_PER_S)):
            for name in system.nodes:
                nursery.start_soon(send, name, number)
            await trio.sleep(1 / LIMIT_LOAD_PER_S)
    most = most_in_window(admitted)
    is_kept = 0 < most <= LIMIT_REQUESTS * LIMIT_TOLERANCE and bool(refused)
    system.store.put("config", "main", changed_document(system.store))
    await is_active_everywhere(system)
    return is_kept, f"{most} in a window, the limit is {LIMIT_REQUESTS}"


@node_check("a planned stop of one of each build")
async def check_stop(system: MixedSystem) -> tuple[bool, str]:
    """Check that a stream under way ends whole and its node ends by itself."""
    found = []
    for name in ("n0", "n1"):
        node = system.nodes[name]
        result: list[Answer] = []

        async def stream(name: str = name, result: list[Answer] = result) -> None:
            answer = await system.ask_or_fail(
                "/plan/x", name, request_id=f"stop-{name}", **MODEL_HEADERS
            )
            result.append(answer)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream)
            await trio.sleep(0.05)
            node.send(signal.SIGTERM)
            code = await node.wait(GRACE_S + 2)
        node.start()
        is_responding = await system.wait_until_responding(name, READY_S)
        is_whole = result[0].status == OK and result[0].is_whole
        found.append((code == 0, is_whole, is_responding))
        await trio.sleep(1)
    return all(map(all, found)), "exit, stream, back: " + str(found)


@node_check("usage is reported once a window")
async def check_usage(system: MixedSystem) -> tuple[bool, str]:
    """Check that the cloud has accepted usage, and no window twice."""

    async def has_usage() -> bool:
        return any(call.status == OK for call in system.cloud.calls)

    is_reported = await until_true(has_usage, 20.0)
    conflicting_windows = system.cloud.conflicting_windows
    return is_reported and not conflicting_windows, f"{len(system.cloud.calls)} calls"


@node_check("nodes end, and understood each other")
async def check_end(system: MixedSystem) -> tuple[bool, str]:
    """Check that exit codes are 0 and no log has an unreadable message."""
    await system.end()
    logs = [node.log.read_text() for node in system.nodes.values()]
    found = [text for text in UNREADABLE for log in logs if text in log]
    problems = [str(problem) for problem in system.problems]
    return not found and not problems, "; ".join(found + problems)


async def run_nodes(checks: Checks, mix: str, roots: list[Path]) -> None:
    """Run all checks of the gateway nodes for one mix."""
    async with trio.open_nursery() as nursery:
        system = MixedSystem(nursery, SEEDS[mix], roots)
        await system.start()
        try:
            for name, check in NODE_CHECKS.items():
                is_passed, detail = await check(system)
                checks.row(f"{mix} + 2 other", name, is_passed, detail)
        finally:
            for node in system.nodes.values():
                node.send(signal.SIGKILL)
                node.process.wait()
        nursery.cancel_scope.cancel()


class MixedFleet(Fleet):
    """Agents and entries of two builds.

    Parameters
    ----------
    plan : Plan
        What to start.
    roots : dict of str to Path
        Checkout of each node; stand-ins run the build of this script.
    """

    def __init__(self, plan: Plan, roots: dict[str, Path]) -> None:
        super().__init__(plan)
        self.roots = roots

    def start(self, name: str, module: str, *arguments: str) -> Process:
        """Start one of our programs from the checkout of its node."""
        node = name.removeprefix("agent-").removeprefix("entry-")
        root = self.roots.get(node)
        if root is None:
            return super().start(name, module, *arguments)
        log = self.plan.folder / f"{name}.log"
        with log.open("wb") as output:
            child = subprocess.Popen(
                [sys.executable, "-m", f"rosemaryknot.{module}", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
                env=environment(root),
            )
        process = Process(name, child, log)
        self.processes.append(process)
        return process

    async def stop_nodes(self) -> dict[str, int]:
        """End agents and entries, and leave the stand-ins running."""
        standins = [
            p for p in self.processes if not p.name.startswith(("entry-", "agent-"))
        ]
        self.processes = [p for p in self.processes if p not in standins]
        codes = await self.stop_all()
        self.processes = standins
        return codes

    def start_nodes(self) -> None:
        """Start agents and entries anew, with the settings files that there are."""
        for node in self.plan.nodes:
            settings = str(self.plan.folder / f"settings-{node.name}.json")
            self.start(f"agent-{node.name}", "process.agent_main", settings)
            self.start(f"entry-{node.name}", "process.entry_main", settings)

    async def wait_ready(self, client: httpx.AsyncClient) -> None:
        """Wait until all entries are ready."""
        for node in self.plan.nodes:
            await self.wait_for(client, f"http://{node.callers}/readyz")


def unanswered(demo: Demo) -> str:
    """Return kind, outcome and reason of each request without a response."""
    found = [request for request in demo.requests if request.outcome != "answered"]
    return "".join(f"; {r.kind.name}: {r.outcome} ({r.reason})" for r in found)


async def run_demo(checks: Checks, mix: str, roots: tuple[Path, Path]) -> None:
    """Run the demo with the nodes of each zone from both builds.

    It covers claims and their copies, results, standby copies and their takeover, a
    configuration patch, limits, a reclaimed zone and a killed entry.
    """
    plan = make_plan(FOLDER / f"demo-{mix}", PREFIX)
    by_node = {node.name: roots[n % 2] for n, node in enumerate(plan.nodes)}
    async with http_client(SocketNetwork(), READ_TIMEOUT_S) as client:
        demo = Demo(plan, client, kill_entry=True)
        demo.fleet = MixedFleet(plan, by_node)
        detail = ""
        is_good = False
        codes: dict[str, int] = {}
        try:
            summary = await demo.run()
            is_good = summary.is_good
            detail = (
                f"{summary.answered} of {summary.requests} answered, lost "
                f"{summary.lost}, twice {summary.ran_twice}, crossed {summary.crossed}"
                f"{unanswered(demo)}"
            )
        except* (RuntimeError, httpx.HTTPError) as errors:
            detail = str(errors.exceptions[0])
        finally:
            with trio.CancelScope(shield=True):
                codes = await demo.fleet.stop_all()
    name = f"{mix} first"
    checks.row(name, "demo load: claims, results, standby", is_good, detail)
    bad = {key: code for key, code in codes.items() if code}
    checks.row(name, "agents and entries end by themselves", not bad, str(bad or ""))
    logs = [file.read_text(errors="replace") for file in plan.folder.glob("*.log")]
    found = sorted({text for text in UNREADABLE for log in logs if text in log})
    checks.row(name, "no log of an unreadable message", not found, "; ".join(found))


async def shown_version(client: httpx.AsyncClient, plan: Plan) -> dict[str, Any]:
    """Return the configuration as the first agent shows it."""
    node = plan.nodes[0]
    url = f"http://{node.operators}/v1/configuration"
    response = await client.get(url, headers=operator_headers(plan))
    response.raise_for_status()
    return response.json()


async def run_stored(checks: Checks, mix: str, first: Path, second: Path) -> None:
    """Let one build write the stored objects, and the other go on with them."""
    plan = make_plan(FOLDER / f"stored-{mix}", PREFIX)
    names = [node.name for node in plan.nodes]
    async with http_client(SocketNetwork(), READ_TIMEOUT_S) as client:
        fleet = MixedFleet(plan, dict.fromkeys(names, first))
        is_same, is_changed, detail = False, False, ""
        try:
            await fleet.start_all(client)
            response = await submit(client, plan, plan.nodes[0], "mixed-patch-1")
            response.raise_for_status()
            for node in plan.nodes:
                await wait_in_force(client, plan, node, response.json()["number"])
            before = await shown_version(client, plan)
            await fleet.stop_nodes()
            fleet.roots = dict.fromkeys(names, second)
            fleet.start_nodes()
            await fleet.wait_ready(client)
            after = await shown_version(client, plan)
            is_same = before == after
            number = await submit_next(client, plan, before["number"])
            is_changed = number == before["number"] + 1
        except (RuntimeError, httpx.HTTPError, KeyError) as error:
            detail = repr(error)
        finally:
            with trio.CancelScope(shield=True):
                await fleet.stop_all()
    name = f"{mix} writes"
    checks.row(name, "the other build reads settings and objects", is_same, detail)
    checks.row(name, "the other build writes the next version", is_changed, detail)


async def submit_next(client: httpx.AsyncClient, plan: Plan, base: int) -> int:
    """Submit a patch against a version; return the number of the new one."""
    operations = [OPERATIONS[0] | {"value": OPERATIONS[0]["value"] + 1}]
    headers = operator_headers(plan)
    headers |= {"If-Match": str(base), "Rosemaryknot-Patch": "mixed-patch-2"}
    url = f"http://{plan.nodes[0].operators}/v1/configuration"
    response = await client.patch(url, json=operations, headers=headers)
    response.raise_for_status()
    return response.json()["number"]


def message_fields(root: Path) -> dict[str, list]:
    """Return the fields of all messages of a build, by kind and name."""
    command = [sys.executable, "-c", SCHEMA_SCRIPT]
    output = subprocess.check_output(command, env=environment(root))
    return json.loads(output)


def check_messages(checks: Checks, old: Path, new: Path) -> None:
    """Check that each message of the old build is understood, and the reverse.

    A renamed field that has a default is not refused by the receiver: its value is
    lost without an error, and only the effect of the value would show it.
    """
    before, after = message_fields(old), message_fields(new)
    lost = sorted(name for name in before if name not in after)
    changed = sorted(n for n in before if n in after and before[n][0] != after[n][0])
    required = sorted(n for n in after if n not in before and after[n][1])
    detail = f"{len(before)} fields; lost {lost}, changed {changed}, new {required}"
    checks.row("both", "fields of messages", not lost + changed + required, detail)


async def run_all(old: Path, new: Path) -> Checks:
    """Run all checks in both mixes."""
    roots = {"old": old, "new": new}
    checks = Checks()
    check_messages(checks, old, new)
    for mix, builds in MIXES.items():
        await run_nodes(checks, mix, [roots[build] for build in builds])
    for mix, other in (("old", "new"), ("new", "old")):
        await run_demo(checks, mix, (roots[mix], roots[other]))
        await run_stored(checks, mix, roots[mix], roots[other])
    return checks


def main(
    old: Annotated[Path, typer.Argument(help="Root of a checkout.")],
    new: Annotated[Path, typer.Argument(help="Root of another checkout.")],
) -> None:
    """Run processes of two builds together and print a row for each check."""
    for root in (old, new):
        if not (root / "src" / "rosemaryknot").is_dir():
            raise typer.BadParameter(f"{root} is no checkout")
    checks = trio.run(run_all, old.resolve(), new.resolve())
    print(f"{checks.passed} passed, {checks.failed} failed")
    raise typer.Exit(1 if checks.failed else 0)


if __name__ == "__main__":
    typer.run(main)
