"""Faults of a play in virtual time, and functions that draw random ones.

Each fault is a coroutine that starts the fault and returns when it is over.
"""

import math
import random
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from typing import Any

import trio

from rosemaryknot.standin.users.configuration_changes import changed_document
from rosemaryknot.standin.users.disturbances import ALL_SUBJECTS
from rosemaryknot.standin.users.endless_responses import ENDLESS_NAMES
from rosemaryknot.standin.users.foreign_entries import (
    FOREIGN_ENTRIES,
    foreign_name,
    foreign_value,
)
from rosemaryknot.standin.users.response_ends import detectable_ends
from rosemaryknot.standin.users.restores import apply_restore
from rosemaryknot.standin.users.servers import FAULTS as SERVER_FAULTS
from rosemaryknot.standin.users.system import CUTS, STORE, PlatformSystem

__all__ = [
    "PLAY_FAULTS",
    "draw_busy_nodes",
    "draw_changes",
    "draw_cuts",
    "draw_ends",
    "draw_fault",
    "draw_limits",
    "draw_retries",
    "draw_server_entry_fault",
    "draw_statements",
    "draw_versions",
]

RESTART_S = 0.5
# Interval after which a server writes its entry again, as its heartbeat does.
HEARTBEAT_S = 1.0
NODES_NETWORK = "10.2.0."
# More requests than a failing server gets in a play.
MAX_FAILING = 10_000
SERVERS = ("p0", "p1", "p2", "m0", "m1", "m2")

PlayFault = Callable[[PlatformSystem, dict[str, Any]], Awaitable[None]]
PLAY_FAULTS: dict[str, PlayFault] = {}


def play_fault(kind: str) -> Callable[[PlayFault], PlayFault]:
    """Register a kind of fault."""

    def register(fault: PlayFault) -> PlayFault:
        PLAY_FAULTS[kind] = fault
        return fault

    return register


@play_fault("store")
async def store_fault(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Apply the store fault ``mode`` for ``for_s``, for one node or all."""
    hosts = [fault["host"]] if "host" in fault else []
    subject = node_of(hosts[0]) if hosts else ALL_SUBJECTS
    with system.disturbances.disturb(subject):
        system.store.faults.begin(fault["mode"], *hosts)
        await trio.sleep(fault["for_s"])
        system.store.faults.end()


@play_fault("lost_writes")
async def lost_writes(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Apply the next ``count`` writes late and do not answer them."""
    system.store.faults.delay_writes_s = fault.get("late_s", 0.0)
    system.store.faults.lose_writes += fault["count"]


@play_fault("compact")
async def compact(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Drop the store's history."""
    system.store.forget_history()


@play_fault("restore")
async def restore(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Restore the store from a copy that is ``age_s`` old, after ``away_s``."""
    await apply_restore(system.store, system.servers, system.disturbances, fault)


@play_fault("lapse")
async def lapse(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Remove all servers' entries and write them again after ``for_s``."""
    for name in list(system.store.objects["servers"]):
        system.store.remove("servers", name)
    await trio.sleep(fault["for_s"])
    for name, server in system.servers.items():
        system.store.put("servers", name, server.entry)


@play_fault("lost_duties")
async def lost_duties(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Carry out the next ``count`` calls of duties but do not answer them.

    A duty is a task that only the holder of a lease performs.
    """
    system.cloud.faults.lose_calls += fault["count"]


@play_fault("kill")
async def kill(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Kill a node and restart it after ``for_s``."""
    name = fault["node"]
    if name in system.down:
        return
    system.down.add(name)
    with system.disturbances.disturb(name):
        system.kill(name)
        await trio.sleep(fault["for_s"])
        await start_again(system, name)


@play_fault("stop")
async def stop(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Shut a node down gracefully and restart it."""
    name = fault["node"]
    if name in system.down:
        return
    system.down.add(name)
    with system.disturbances.disturb(name):
        system.stops[name].set()
        await trio.sleep(system.nodes[name].settings.bounds.grace_s)
        system.kill(name)
        await trio.sleep(RESTART_S)
        await start_again(system, name)


async def start_again(system: PlatformSystem, name: str) -> None:
    """Start the next incarnation of a node."""
    bounds = system.nodes[name].settings.bounds
    await system.add_node(
        int(name[1:]), is_first_start=False, bounds=bounds, duties=["usage"]
    )
    system.down.discard(name)


@play_fault("server")
async def server_fault(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Apply a server fault to the next ``count`` requests of a server."""
    server = system.servers[fault["server"]]
    server.faults.extend([fault["fault"]] * fault["count"])


@play_fault("failing")
async def failing(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let ``servers`` fail a ``share`` of their requests in ``ways``, or by errors."""
    rng = random.Random(fault["at"])
    ways = fault.get("ways", ["error"])
    weights = [fault["share"] / len(ways)] * len(ways) + [1 - fault["share"]]
    servers = [system.servers[name] for name in fault["servers"]]
    for server in servers:
        server.faults.extend(rng.choices([*ways, ""], weights, k=MAX_FAILING))
    await trio.sleep(fault["for_s"])
    for server in servers:
        server.faults.clear()


@play_fault("ends")
async def ends(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let a server end its next responses in given ways at given places."""
    system.servers[fault["server"]].faults.extend(fault["ends"])
    await trio.lowlevel.checkpoint()


@play_fault("mute")
async def mute(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Keep a server from responding for ``for_s``."""
    server = system.servers[fault["server"]]
    server.is_mute = True
    await trio.sleep(fault["for_s"])
    server.is_mute = False


@play_fault("drain")
async def drain(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Set a server to draining, remove it, and start one under another id."""
    old = system.servers[fault["server"]]
    system.store.put("servers", old.id, old.entry | {"state": "draining"})
    await trio.sleep(fault["for_s"])
    system.store.remove("servers", old.id)
    name = f"{fault['server']}-next-{len(system.servers)}"
    await system.add_server(name, old.entry["service"], old.entry["zone"])


@play_fault("cut")
async def cut(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Partition a node from another host for ``for_s``."""
    with ExitStack() as stack:
        # A partition between nodes is no disturbance, as both still reach the store.
        node, disturbances = node_of(fault["host"]), system.disturbances
        if fault["from"].startswith(NODES_NETWORK):
            separated = disturbances.separate(node, node_of(fault["from"]))
            stack.enter_context(separated)
        else:
            stack.enter_context(disturbances.disturb(node))
        system.network.cut(fault["host"], fault["from"])
        await trio.sleep(fault["for_s"])
        system.network.heal(fault["host"], fault["from"])


@play_fault("cut_off")
async def cut_off(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Cut ``nodes`` off from ``servers``, or from all, for ``for_s``."""
    nodes = [name for name in fault["nodes"] if name in system.nodes]
    servers = [name for name in fault.get("servers", ()) if name in system.servers]
    with ExitStack() as stack:
        if not servers and fault["how"] != "lossy":
            stack.enter_context(system.disturbances.cut_off(nodes))
        for name in nodes:
            system.cut_off(name, fault["how"], servers)
        await trio.sleep(fault["for_s"])
        for name in nodes:
            system.end_cut(name, servers)


@play_fault("busy")
async def busy(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Hold a node to ``share`` of a core for ``for_s``."""
    name = fault["node"]
    with system.disturbances.disturb(name):
        system.limit_processor(name, fault["share"])
        await trio.sleep(fault["for_s"])
        system.free_processor(name)


@play_fault("brittle")
async def brittle(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let ``servers`` be brittle for ``for_s``, with less room for a part of it."""
    servers = [system.servers[name] for name in fault["servers"]]
    with system.disturbances.make_brittle(fault["servers"]):
        for room in fault["rooms"]:
            for server in servers:
                server.brittle, server.room = fault["turned_away"], room
            await trio.sleep(fault["for_s"] / len(fault["rooms"]))
        for name in fault["servers"]:
            server = system.servers[name]
            server.brittle, server.room = None, math.inf


@play_fault("silence")
async def silence(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let ``servers`` send nothing for ``for_s`` and go on, ``pause_s`` apart."""
    for name in fault["servers"]:
        system.servers[name].pause(fault["for_s"])
        await trio.sleep(fault["pause_s"])


@play_fault("configure")
async def configure(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Write ``times`` new versions of the configuration, ``pause_s`` apart."""
    for _ in range(fault.get("times", 1)):
        document = changed_document(system.store, fault.get("routes", 0))
        system.store.put("config", "main", document)
        await trio.sleep(fault.get("pause_s", 0.0))


@play_fault("restart")
async def restart(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Restart a server ``times`` times, each time after ``down_s``.

    With ``late``, a delayed write of an earlier incarnation is applied after the last
    restart; the server overwrites it with its next heartbeat.
    """
    name = fault["server"]
    if name in system.down:
        return
    system.down.add(name)
    before = system.servers[name].entry
    for _ in range(fault["times"]):
        await system.restart_server(name, fault["down_s"])
    system.down.discard(name)
    if fault.get("late"):
        await trio.sleep(RESTART_S)
        system.store.put("servers", name, before | {"state": "draining"})
        await write_again(system, name)


@play_fault("foreign")
async def foreign(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Write a foreign entry, over the entry of a server or beside them.

    The entry has the address of the trap, a server that must receive no request. Over
    the entry of a server it remains until the server's next heartbeat.
    """
    rng = random.Random(fault["at"])
    value = foreign_value(fault["way"], system.trap.entry, rng)
    server = fault.get("server")
    if server is not None:
        system.store.put("servers", server, value)
        await write_again(system, server)
        return
    name = foreign_name(f"{fault['way']}-{fault['at']}", rng)
    system.store.put("servers", name, value)
    system.store.put_invalid_item("servers", fault["way"])
    await trio.sleep(fault["for_s"])
    system.store.remove("servers", name)


@play_fault("limit")
async def limit(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let servers state rate limits, the next one each ``pause_s``, and then none."""
    for text in [*fault["limits"], None]:
        for name in fault["servers"]:
            system.servers[name].limit = text
        await trio.sleep(fault["pause_s"])


@play_fault("version")
async def version(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Start servers of another software version, beside one or in its place."""
    server = system.servers[fault["server"]]
    if fault["how"] == "beside":
        for number in range(fault["count"]):
            name = f"{server.id}-{fault['version']}-{len(system.servers)}-{number}"
            entry = server.entry
            await system.add_server(
                name, entry["service"], entry["zone"], version=fault["version"]
            )
        return
    if server.id in system.down:
        return
    system.down.add(server.id)
    await system.restart_server(server.id, fault["down_s"], version=fault["version"])
    system.down.discard(server.id)


@play_fault("state_drain")
async def state_drain(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let ``servers`` state that they drain, end after ``for_s`` and start again.

    Their entries stay as they are, as if the store did not respond to them.
    """
    servers = [system.servers[name] for name in fault["servers"]]
    for server in servers:
        server.draining = "1"
    await trio.sleep(fault["for_s"])
    for server in servers:
        if server.id in system.down:
            continue
        system.down.add(server.id)
        await system.restart_server(server.id, fault["down_s"])
        system.down.discard(server.id)


@play_fault("turn_away")
async def turn_away(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let ``servers`` turn all requests away for ``for_s`` and ask for pauses."""
    for text in fault["retry_after"]:
        servers = [system.servers[name] for name in fault["servers"]]
        for server in servers:
            server.retry_after, server.is_turning_away = text, True
        await trio.sleep(fault["for_s"])
        for server in servers:
            server.is_turning_away = False
        await trio.sleep(fault["pause_s"])


@play_fault("endless")
async def endless(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let a server send its next responses without end."""
    system.servers[fault["server"]].faults.extend(fault["ways"])
    await trio.lowlevel.checkpoint()


async def write_again(system: PlatformSystem, server: str) -> None:
    """Write a server's entry after a heartbeat interval, if it still has one."""
    await trio.sleep(HEARTBEAT_S)
    if server in system.store.objects["servers"]:
        system.store.put("servers", server, system.servers[server].entry)


def node_of(host: str) -> str:
    """Return the name of the node with a host address."""
    return f"n{int(host.rpartition('.')[2]) - 1}"


def draw_limits(rng: random.Random) -> list[dict[str, Any]]:
    """Draw servers that state rate limits, in some plays all servers of a service."""
    faults = []
    for _ in range(rng.randint(1, 3)):
        services = (SERVERS[:3], SERVERS[3:])
        servers = rng.choice((*services, *[[name] for name in SERVERS]))
        first = round(rng.uniform(0.3, 4.0), 2)
        second = rng.choice((first, first / 2, first * 2, first + 0.01, "rubbish"))
        faults.append(
            {
                "at": round(rng.uniform(0.5, 8.0), 2),
                "kind": "limit",
                "servers": list(servers),
                "limits": [str(first), str(second), str(first)],
                "pause_s": round(rng.uniform(1.0, 6.0), 2),
            }
        )
    return faults


def draw_cuts(rng: random.Random, nodes: int) -> list[dict[str, Any]]:
    """Draw cuts of nodes from servers, and silent and brittle servers."""
    faults = []
    for _ in range(rng.randint(1, 3)):
        names = [f"n{number}" for number in range(nodes)]
        fault = {
            "at": round(rng.uniform(0.5, 8.0), 2),
            "kind": "cut_off",
            "nodes": rng.sample(names, rng.randint(1, max(1, nodes - 1))),
            "how": rng.choice(sorted(CUTS)),
            "for_s": round(rng.uniform(1.0, 10.0), 2),
        }
        if rng.random() < 0.3:
            fault["servers"] = rng.choice([list(SERVERS[:3]), [rng.choice(SERVERS)]])
        faults.append(fault)
    if rng.random() < 0.5:
        faults.append(
            {
                "at": round(rng.uniform(0.5, 12.0), 2),
                "kind": "silence",
                "servers": rng.choice([list(SERVERS), list(SERVERS[3:])]),
                "for_s": round(rng.uniform(0.5, 1.3), 2),
                "pause_s": rng.choice([0.0, 1.5]),
            }
        )
    if rng.random() < 0.5:
        room = rng.randint(2, 12)
        faults.append(
            {
                "at": round(rng.uniform(0.5, 6.0), 2),
                "kind": "brittle",
                "servers": rng.choice([list(SERVERS[:3]), list(SERVERS[3:])]),
                "rooms": [16, room, 1 + room // 2],
                "turned_away": rng.randint(2, 8),
                "for_s": round(rng.uniform(6.0, 14.0), 2),
            }
        )
    return faults


def draw_busy_nodes(rng: random.Random, nodes: int) -> list[dict[str, Any]]:
    """Draw nodes whose processors are too small for a time, some at once."""
    return [
        {
            "kind": "busy",
            "at": round(rng.uniform(0.5, 15.0), 2),
            "for_s": round(rng.uniform(0.5, 5.0), 2),
            "node": f"n{rng.randrange(nodes)}",
            "share": round(rng.uniform(0.01, 0.1), 3),
        }
        for _ in range(rng.randint(1, 4))
    ]


def draw_retries(rng: random.Random, nodes: int) -> list[dict[str, Any]]:
    """Draw servers that nearly all fail, and restarts of most nodes meanwhile.

    The nodes are killed at the same time, in turn or twice, or shut down in turn.
    """
    at_s = round(rng.uniform(1.0, 6.0), 2)
    faults: list[dict[str, Any]] = [
        {
            "at": at_s,
            "kind": "failing",
            "servers": rng.choice([list(SERVERS), list(SERVERS[:3])]),
            "share": round(rng.uniform(0.5, 1.0), 2),
            "for_s": round(rng.uniform(4.0, 14.0), 2),
        }
    ]
    names = [f"n{number}" for number in range(nodes)]
    pause_s = rng.choice((0.0, 0.0, 1.0))
    for round_s in rng.choice(((2.0,), (4.0,), (1.0, 6.0))):
        kind = rng.choice(("kill", "kill", "stop"))
        count = rng.randint(nodes - 1, nodes)
        faults += [
            {
                "at": round(at_s + round_s + number * pause_s, 2),
                "kind": kind,
                "node": name,
                "for_s": round(rng.uniform(0.5, 2.5), 2),
            }
            for number, name in enumerate(rng.sample(names, count))
        ]
    return faults


def draw_versions(rng: random.Random) -> list[dict[str, Any]]:
    """Draw model servers of other software versions, beside others or in their place.

    A process takes some time to start, so that a server is down for a while before it
    has another version.
    """
    faults = []
    for _ in range(rng.randint(2, 6)):
        faults.append(
            {
                "at": round(rng.uniform(0.1, 14.0), 2),
                "kind": "version",
                "server": rng.choice(SERVERS[3:]),
                "version": rng.choice(("v1", "v1.1", "v2")),
                "how": rng.choice(("beside", "beside", "restart")),
                "count": rng.randint(1, 3),
                "down_s": rng.choice((0.3, 1.0, 2.5)),
            }
        )
    return faults


def draw_statements(rng: random.Random) -> list[dict[str, Any]]:
    """Draw servers that state drains or ask for pauses, in some plays all of a service.

    In some of the plays the store does not respond meanwhile, and in some a response
    has no end.
    """
    services = (SERVERS[:3], SERVERS[3:])
    faults: list[dict[str, Any]] = []
    for _ in range(rng.randint(1, 3)):
        servers = rng.choice((*services, *[[name] for name in SERVERS]))
        faults.append(
            {
                "at": round(rng.uniform(0.5, 14.0), 2),
                "kind": "turn_away",
                "servers": list(servers),
                "retry_after": rng.choice((["3"], ["0.4", "2.5"], ["1.5", "soon"])),
                "for_s": round(rng.choice((0.1, 0.5, 2.0)) * rng.uniform(0.5, 1.5), 2),
                "pause_s": round(rng.uniform(0.0, 4.0), 2),
            }
        )
    for _ in range(rng.randint(1, 2)):
        servers = rng.choice((*[[name] for name in SERVERS], list(SERVERS[3:5])))
        faults.append(
            {
                "at": round(rng.uniform(0.5, 12.0), 2),
                "kind": "state_drain",
                "servers": servers,
                "for_s": round(rng.uniform(2.0, 8.0), 2),
                "down_s": rng.choice((0.0, 0.3, 2.0)),
            }
        )
    if rng.random() < 0.5:
        faults.append(
            {
                "at": round(rng.uniform(0.5, 8.0), 2),
                "kind": "store",
                "mode": rng.choice(("busy", "reset", "silent")),
                "for_s": round(rng.uniform(3.0, 10.0), 2),
            }
        )
    if rng.random() < 0.5:
        faults.append(
            {
                "at": round(rng.uniform(0.5, 14.0), 2),
                "kind": "endless",
                "server": rng.choice(SERVERS),
                "ways": rng.sample(ENDLESS_NAMES, 2),
            }
        )
    return faults


def draw_ends(rng: random.Random) -> list[dict[str, Any]]:
    """Draw ends of responses that a gateway can detect, of all servers in turn."""
    faults = []
    for _ in range(rng.randint(10, 30)):
        server = rng.choice(SERVERS)
        possible = detectable_ends(is_stream=server in SERVERS[3:])
        drawn = rng.sample(possible, rng.randint(1, 4))
        faults.append(
            {
                "at": round(rng.uniform(0.5, 18.0), 2),
                "kind": "ends",
                "server": server,
                "ends": [end.name for end in drawn],
            }
        )
    return faults


def draw_changes(rng: random.Random) -> dict[str, Any]:
    """Draw a series of configuration changes, some with a large configuration."""
    return {
        "kind": "configure",
        "at": round(rng.uniform(0.5, 10.0), 2),
        "times": rng.randint(2, 10),
        "pause_s": round(rng.uniform(0.2, 1.5), 2),
        "routes": rng.choice((0, 0, 400, 1600)),
    }


def draw_fault(rng: random.Random, nodes: int) -> dict[str, Any]:
    """Draw a fault other than those of `draw_server_entry_fault`."""
    node = rng.randrange(nodes)
    host = f"10.2.0.{node + 1}"
    server = rng.choice(SERVERS)
    for_s = round(rng.uniform(0.5, 5.0), 2)
    drawn = rng.choice(
        (
            {"kind": "store", "mode": rng.choice(("busy", "many", "reset", "silent"))},
            {"kind": "store", "mode": rng.choice(("busy", "silent")), "host": host},
            {"kind": "lost_writes", "count": rng.randint(1, 4), "late_s": for_s},
            {"kind": "compact"},
            {"kind": "lapse"},
            {"kind": "lost_duties", "count": rng.randint(1, 3)},
            {"kind": "kill", "node": f"n{node}"},
            {"kind": "stop", "node": f"n{node}"},
            {
                "kind": "server",
                "server": server,
                "fault": rng.choice(sorted(SERVER_FAULTS)),
                "count": rng.randint(1, 10),
            },
            {"kind": "mute", "server": server},
            {"kind": "drain", "server": server},
            {"kind": "cut", "host": host, "from": STORE.host},
            {"kind": "cut", "host": host, "from": f"10.1.0.{rng.randint(1, 6)}"},
            {"kind": "cut", "host": host, "from": f"10.2.0.{rng.randint(1, 4)}"},
            {"kind": "configure"},
        )
    )
    return {"at": round(rng.uniform(0.5, 15.0), 2), "for_s": for_s} | drawn


def draw_server_entry_fault(rng: random.Random) -> dict[str, Any]:
    """Draw a restart of a server under the same id, or a foreign entry."""
    server = rng.choice(SERVERS)
    drawn = rng.choice(
        (
            {
                "kind": "restart",
                "server": server,
                "times": rng.choice((1, 1, 2)),
                "down_s": rng.choice((0.0, 0.05, 1.0)),
                "late": rng.random() < 0.5,
            },
            {"kind": "foreign", "way": rng.choice(sorted(FOREIGN_ENTRIES))},
            {
                "kind": "foreign",
                "way": rng.choice(sorted(FOREIGN_ENTRIES)),
                "server": server,
            },
        )
    )
    at_s, for_s = rng.uniform(0.5, 15.0), rng.uniform(0.5, 5.0)
    return {"at": round(at_s, 2), "for_s": round(for_s, 2)} | drawn
