"""What one gateway of a deployment spends its processor time on, by part.

All nodes run in this process, in virtual time, with callers at each of them; the time
of each step of a task is charged to the node that the task belongs to. What the kernel
does for a socket is missing, and the stand-ins' work is charged to nobody. Nodes,
servers and requests a second are varied apart, so that what grows with each shows.
"""

import argparse
import cProfile
import gc
import json
import pstats
import random
import time
from collections import defaultdict

import trio
from trio.testing import MockClock

from rosemaryknot.standin.users.system import (
    HOST,
    Caller,
    PlatformSystem,
    document,
    platform_system,
)

NODES = (7, 30, 91)
SERVERS = (10, 50, 100)
REQUESTS = (2.0, 6.0, 12.0)
SETTLE_S = 3.0
MEASURED_S = 6.0
CUSTOMERS = 16
# Of each hundred requests; tokens of the prompt and of the answer, events of five
# tokens. As at the large deployment: 55 events a long prompt, 3 a short one.
MIX = (
    ("plan", 20, 6610, 275),
    ("ask", 54, 1800, 15),
    ("book", 19, 0, 0),
    ("stock", 7, 0, 0),
)
EVENT_S = 0.03
# Below the idle time that the configuration allows, in seconds.
KEPT_S = 3.0
# Tasks whose steps are work of a part, by the name of their function.
PARTS = {
    "GatewayExchange.run": "reports",
    "GatewayExchange.run_loads": "loads",
    "MessageLink.handle": "messages handled",
    "MessageLink.run_until_end": "links read and written",
    "MessageLink.send_heartbeats": "heartbeats",
    "PeerSet.send": "messages sent",
    "PeerSet.run_peer": "looks at links",
    "PeerSet.maintain_table": "membership",
    "Lease.run": "lease",
    "StoreWatcher.run": "store",
    "ChangeDistributor.run": "changes",
    "PageServer.run": "pages",
    "GatewayNode.clean_up": "tidying",
    "CallerConnection.watch_disconnect": "requests",
}


class Charge(trio.abc.Instrument):
    """Charges the time of tasks' steps to nodes and parts.

    Parameters
    ----------
    profiled : str
        Node whose steps are profiled by function; empty for none.
    """

    def __init__(self, profiled: str = "") -> None:
        self.profiled = profiled
        self.profile = cProfile.Profile()
        self.roots: dict[trio.lowlevel.Task, str] = {}
        self.owners: dict[trio.lowlevel.Task, tuple[str, str]] = {}
        self.spent: dict[str, dict[str, float]] = {}
        self.current = ("", "")
        self.began_s = 0.0
        self.clear()

    def clear(self) -> None:
        """Begin anew."""
        self.spent = defaultdict(lambda: defaultdict(float))
        self.profile = cProfile.Profile()

    def owner(self, task: trio.lowlevel.Task) -> tuple[str, str]:
        """Return the node and the part that a task belongs to."""
        found = self.owners.get(task)
        if found is None:
            found = self.owners[task] = self.find_owner(task)
        return found

    def find_owner(self, task: trio.lowlevel.Task) -> tuple[str, str]:
        """Look a task's node up among those that began it."""
        part = ""
        while task is not None:
            name = task.coro.__qualname__
            if not part or name.startswith("CallerConnection"):
                part = part_of(name)
            node = getattr(task.coro.cr_frame, "f_locals", {}).get("settings")
            if name.endswith("add_node.<locals>.run") and node is not None:
                return node.node, part
            nursery = task.parent_nursery
            task = None if nursery is None else nursery.parent_task
        return "", part

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Begin to charge."""
        # A task that ends in its step is forgotten before the step is charged.
        self.current = self.owner(task)
        if self.profiled and self.current[0] == self.profiled:
            self.profile.enable()
        self.began_s = time.process_time()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Charge a step."""
        took_s = time.process_time() - self.began_s
        node, part = self.current
        if self.profiled and node == self.profiled:
            self.profile.disable()
        self.spent[node][part] += took_s

    def task_exited(self, task: trio.lowlevel.Task) -> None:
        """Forget a task."""
        self.owners.pop(task, None)


def part_of(name: str) -> str:
    """Return the part of a task's function."""
    return PARTS.get(name, name)


def prefix_hash(rng: random.Random, tokens: int) -> str:
    """Return the parts of a prompt: a common one, a caller's, and its own."""
    common, things = (40, 1749)
    first = rng.randrange(common)
    thing = rng.randrange(things)
    own = rng.getrandbits(60)
    head = min(500, tokens // 4)
    middle = tokens // 2
    rest = tokens - head - middle
    return f"c{first:x}:{head},t{thing:x}:{middle},o{own:x}:{rest}"


def request_of(rng: random.Random) -> tuple[str, dict]:
    """Draw a request: its path, and the options of `Caller.send`."""
    route, _, prompt, answer = rng.choices(MIX, [row[1] for row in MIX])[0]
    options = {
        "request_id": f"{rng.getrandbits(64):x}",
        "Authorization": f"Bearer key-{rng.randrange(CUSTOMERS)}",
        "method": "GET" if route == "stock" else "POST",
    }
    if prompt:
        options["Rosemaryknot-Model"] = "m"
        options["Rosemaryknot-Token-Usage"] = f"{prompt},{answer}"
        options["Rosemaryknot-Prefix-Hash"] = prefix_hash(rng, prompt)
    return f"/{route}/x", options


class Load:
    """Callers at one node: requests at random times, on kept connections."""

    def __init__(self, fleet: PlatformSystem, node: str, per_s: float) -> None:
        self.fleet = fleet
        self.node = node
        self.per_s = per_s
        self.rng = random.Random(node)
        self.idle: list[tuple[float, Caller]] = []
        self.answers: list[int] = []

    async def run(self) -> None:
        """Ask until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.rng.expovariate(self.per_s))
                nursery.start_soon(self.ask)

    async def connection(self) -> Caller:
        """Return a connection that was used lately, or a new one."""
        now_s = trio.current_time()
        self.idle = [(at_s, kept) for at_s, kept in self.idle if now_s - at_s < KEPT_S]
        if self.idle:
            return self.idle.pop()[1]
        return await self.fleet.caller(self.node).open()

    async def ask(self) -> None:
        """Send one request."""
        path, options = request_of(self.rng)
        kept = await self.connection()
        await kept.send(path, **options)
        answer = await kept.receive()
        self.answers.append(answer.status)
        if answer.is_whole and answer.headers.get("connection") != "close":
            kept.reuse()
            self.idle.append((trio.current_time(), kept))
        else:
            await kept.close()


def configuration() -> dict:
    """Return a configuration with customers that have limits."""
    tenants = [
        {
            "name": f"customer-{number}",
            "apiKeys": [f"key-{number}"],
            "unit": "tokens",
            "plainTokens": 200,
            "ratePerS": 1_000_000,
            "burst": 1_000_000,
        }
        for number in range(CUSTOMERS)
    ]
    whole = document(tenants=tenants)
    for route in whole["routes"]:
        route["timeoutMs"] = 15000
        route["hostname"] = HOST
    return whole


async def measure(
    charge: Charge, nodes: int, servers: int, per_s: float
) -> dict[str, float]:
    """Return milliseconds of processor time of a node in a second, by part."""
    plain = max(1, servers // 12)
    async with (
        platform_system(
            nodes=nodes,
            plain=plain,
            models=servers - plain,
            configuration=configuration(),
            duties=["usage"],
        ) as fleet,
        trio.open_nursery() as nursery,
    ):
        for server in fleet.servers.values():
            server.work_s = EVENT_S if server.is_model else server.work_s
        loads = [Load(fleet, name, per_s) for name in fleet.nodes]
        for load in loads:
            nursery.start_soon(load.run)
        await trio.sleep(SETTLE_S)
        # The collector walks through the objects of all nodes of this process, and
        # would charge that to one of them.
        gc.disable()
        start = {name: sum(parts.values()) for name, parts in charge.spent.items()}
        charge.clear()
        asked = sum(len(load.answers) for load in loads)
        received = received_kinds(fleet)
        await trio.sleep(MEASURED_S)
        asked = sum(len(load.answers) for load in loads) - asked
        failed = sum(status != 200 for load in loads for status in load.answers)
        messages = {
            kind: round((count - received.get(kind, 0)) / MEASURED_S / nodes, 2)
            for kind, count in received_kinds(fleet).items()
        }
        spent = [sum(charge.spent[name].values()) for name in fleet.nodes]
        figures = {
            "nodes": nodes,
            "servers": servers,
            "per_s": per_s,
            "answers_per_s": round(asked / MEASURED_S / nodes, 2),
            "not_ok": failed,
            "cpu_ms": round(1000 * sum(spent) / MEASURED_S / nodes, 2),
            "cpu_ms_most": round(1000 * max(spent) / MEASURED_S, 1),
            "most_at": max(fleet.nodes, key=lambda n: sum(charge.spent[n].values())),
            "start_ms": round(
                1000 * sum(start.get(name, 0.0) for name in fleet.nodes) / nodes
            ),
            "messages": messages,
            "parts": parts_of(charge, list(fleet.nodes)),
        }
        gc.enable()
        nursery.cancel_scope.cancel()
    return figures


def received_kinds(fleet: PlatformSystem) -> dict[str, int]:
    """Return the messages that all nodes have received, by kind."""
    counts: dict[str, int] = defaultdict(int)
    for node in fleet.nodes.values():
        for kind, traffic in node.peers.traffic.received.items():
            counts[kind] += traffic.messages
    return counts


def parts_of(charge: Charge, nodes: list[str]) -> dict[str, float]:
    """Return milliseconds of a node in a second by part, the largest first."""
    sums: dict[str, float] = defaultdict(float)
    for name in nodes:
        for part, took_s in charge.spent[name].items():
            sums[part] += 1000 * took_s / MEASURED_S / len(nodes)
    ranked = sorted(sums.items(), key=lambda item: -item[1])
    return {part: round(ms, 3) for part, ms in ranked if ms >= 0.02}


def show(figures: dict) -> None:
    """Print one setting's figures."""
    parts = figures["parts"]
    print(json.dumps({key: v for key, v in figures.items() if key != "parts"}))
    for part, ms in parts.items():
        print(f"    {ms:9.3f} ms/s  {part}")


def main() -> None:
    """Print figures of each setting, one varied at a time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int)
    parser.add_argument("--servers", type=int)
    parser.add_argument("--requests", type=float)
    parser.add_argument("--profile", default="", help="node to profile by function")
    parser.add_argument("--lines", type=int, default=60)
    args = parser.parse_args()
    nodes, servers, per_s = NODES[-1], SERVERS[-1], REQUESTS[1]
    settings = [(count, servers, per_s) for count in NODES]
    settings += [(nodes, count, per_s) for count in SERVERS[:-1]]
    settings += [(nodes, servers, rate) for rate in REQUESTS if rate != per_s]
    if args.nodes or args.servers or args.requests is not None or args.profile:
        rate = per_s if args.requests is None else args.requests
        settings = [(args.nodes or nodes, args.servers or servers, rate)]
    for setting in settings:
        charge = Charge(args.profile)
        clock = MockClock(autojump_threshold=0)
        show(trio.run(measure, charge, *setting, clock=clock, instruments=[charge]))
        if args.profile:
            stats = pstats.Stats(charge.profile)
            stats.sort_stats("tottime").print_stats(args.lines)
            stats.sort_stats("cumulative").print_stats(args.lines)


if __name__ == "__main__":
    main()
