"""Faults that a play in virtual time lets happen, and how they are drawn."""

import random
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from typing import Any

import trio

from rosemaryknot.standin.users.changes import changed_document
from rosemaryknot.standin.users.contact import EVERYONE
from rosemaryknot.standin.users.foreign import FOREIGN, foreign_value
from rosemaryknot.standin.users.servers import FAULTS as SERVER_FAULTS
from rosemaryknot.standin.users.system import STORE, PlatformSystem

__all__ = [
    "PLAY_FAULTS",
    "draw_changes",
    "draw_fault",
    "draw_server_life",
]

RESTART_S = 0.5
# After so long a server writes its entry again, as with its heartbeat.
HEARTBEAT_S = 1.0
NODES_NETWORK = "10.2.0."
SERVERS = ("p0", "p1", "p2", "m0", "m1", "m2")

PlayFault = Callable[[PlatformSystem, dict[str, Any]], Awaitable[None]]
PLAY_FAULTS: dict[str, PlayFault] = {}


def play_fault(kind: str) -> Callable[[PlayFault], PlayFault]:
    """Register a kind of fault, which returns when it is over."""

    def register(fault: PlayFault) -> PlayFault:
        PLAY_FAULTS[kind] = fault
        return fault

    return register


@play_fault("store")
async def store_fault(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let the store be ``mode`` for ``for_s``, for one node or all."""
    hosts = [fault["host"]] if "host" in fault else []
    subject = node_of(hosts[0]) if hosts else EVERYONE
    with system.disturbances.disturb(subject):
        system.store.faults.begin(fault["mode"], *hosts)
        await trio.sleep(fault["for_s"])
        system.store.faults.end()


@play_fault("lost_writes")
async def lost_writes(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let ``count`` writes be done late and not be answered."""
    system.store.faults.delay_writes_s = fault.get("late_s", 0.0)
    system.store.faults.lose_writes += fault["count"]


@play_fault("compact")
async def compact(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let the store forget its history."""
    system.store.forget_history()


@play_fault("lapse")
async def lapse(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let all servers' entries go and come back after ``for_s``."""
    for name in list(system.store.objects["servers"]):
        system.store.remove("servers", name)
    await trio.sleep(fault["for_s"])
    for name, server in system.servers.items():
        system.store.put("servers", name, server.entry)


@play_fault("lost_duties")
async def lost_duties(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let ``count`` calls of duties be carried out and not be answered."""
    system.cloud.faults.lose_calls += fault["count"]


@play_fault("kill")
async def kill(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Kill a node and start it again after ``for_s``."""
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
    """Stop a node as planned and start it again."""
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
    """Start the next life of a node."""
    await system.add_node(int(name[1:]), is_first_start=False, duties=["usage"])
    system.down.discard(name)


@play_fault("server")
async def server_fault(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let the next ``count`` requests of a server meet a fault of its own."""
    server = system.servers[fault["server"]]
    server.faults.extend([fault["fault"]] * fault["count"])


@play_fault("mute")
async def mute(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let a server say nothing for ``for_s``."""
    server = system.servers[fault["server"]]
    server.is_mute = True
    await trio.sleep(fault["for_s"])
    server.is_mute = False


@play_fault("drain")
async def drain(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let a server say that it leaves, and come back under another id."""
    old = system.servers[fault["server"]]
    system.store.put("servers", old.id, old.entry | {"state": "draining"})
    await trio.sleep(fault["for_s"])
    system.store.remove("servers", old.id)
    name = f"{fault['server']}-next-{len(system.servers)}"
    await system.add_server(name, old.entry["service"], old.entry["zone"])


@play_fault("cut")
async def cut(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Cut a node off from another host for ``for_s``."""
    with ExitStack() as stack:
        # Nodes that are cut off from each other only reach the store all the same.
        if not fault["from"].startswith(NODES_NETWORK):
            disturbed = system.disturbances.disturb(node_of(fault["host"]))
            stack.enter_context(disturbed)
        system.network.cut(fault["host"], fault["from"])
        await trio.sleep(fault["for_s"])
        system.network.heal(fault["host"], fault["from"])


@play_fault("configure")
async def configure(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Write ``times`` new versions of the configuration, ``pause_s`` apart."""
    for _ in range(fault.get("times", 1)):
        document = changed_document(system.store, fault.get("routes", 0))
        system.store.put("config", "main", document)
        await trio.sleep(fault.get("pause_s", 0.0))


@play_fault("restart")
async def restart(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Let a server start again ``times`` times, each time ``down_s`` later.

    ``late`` lets a write of the life before be carried out after the last start, until
    the next heartbeat.
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
    """Let another writer write an entry, over a server's own or beside them.

    It leads to the trap. Over a server's own it stands until its next heartbeat.
    """
    rng = random.Random(fault["at"])
    value = foreign_value(fault["way"], system.trap.entry, rng)
    server = fault.get("server")
    if server is not None:
        system.store.put("servers", server, value)
        await write_again(system, server)
        return
    name = f"x-{fault['way']}-{fault['at']}"
    system.store.put("servers", name, value)
    system.store.put_stray("servers", fault["way"])
    await trio.sleep(fault["for_s"])
    system.store.remove("servers", name)


async def write_again(system: PlatformSystem, server: str) -> None:
    """Let a server that still has an entry write it with its next heartbeat."""
    await trio.sleep(HEARTBEAT_S)
    if server in system.store.objects["servers"]:
        system.store.put("servers", server, system.servers[server].entry)


def node_of(host: str) -> str:
    """Return the name of the node on a host."""
    return f"n{int(host.rpartition('.')[2]) - 1}"


def draw_changes(rng: random.Random) -> dict[str, Any]:
    """Draw a series of changes of the configuration, of a large one at times."""
    return {
        "kind": "configure",
        "at": round(rng.uniform(0.5, 10.0), 2),
        "times": rng.randint(2, 10),
        "pause_s": round(rng.uniform(0.2, 1.5), 2),
        "routes": rng.choice((0, 0, 400, 1600)),
    }


def draw_fault(rng: random.Random, nodes: int) -> dict[str, Any]:
    """Draw one fault of any kind."""
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


def draw_server_life(rng: random.Random) -> dict[str, Any]:
    """Draw a restart of a server under its id, or an entry of another writer."""
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
            {"kind": "foreign", "way": rng.choice(sorted(FOREIGN))},
            {
                "kind": "foreign",
                "way": rng.choice(sorted(FOREIGN)),
                "server": server,
            },
        )
    )
    at_s, for_s = rng.uniform(0.5, 15.0), rng.uniform(0.5, 5.0)
    return {"at": round(at_s, 2), "for_s": round(for_s, 2)} | drawn
