"""Registry of the faults that can be injected into a run.

Each fault is an async function of the running system and a random number generator,
registered by a decorator. It starts the fault, sleeps for its duration and ends it.
Several faults run concurrently.
"""

import random
from collections.abc import Awaitable, Callable

import trio

from rosemaryknot.replay.system import (
    CALLERS_HOST,
    NodeProcesses,
    ServerProcess,
    System,
)
from rosemaryknot.standin.plain import PlainFault, PlainStandIn
from rosemaryknot.standin.platform_faults import OUTAGE_REFUSE, OUTAGE_SILENT
from rosemaryknot.values.nodes import ServerState

__all__ = ["BOOKING_FAULTS", "FAULTS", "Fault", "fault"]

Fault = Callable[[System, random.Random], Awaitable[None]]

FAULTS: dict[str, Fault] = {}

BOOKING_FAULTS = [
    "cut zone",
    "freeze agent",
    "freeze entry",
    "held requests",
    "held requests",
    "kill agent",
    "kill entry",
    "lost platform answers",
    "plain service",
    "plain service",
    "platform outage",
    "reclaim node",
    "restart agents",
    "service away",
]

NOTICE_RANGE_S = (2.0, 4.0)
RESTART_DELAY_RANGE_S = (0.3, 3.0)
DURATION_RANGE_S = (0.3, 8.0)


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under a name.

    Parameters
    ----------
    name : str
        Name in the reports.

    Returns
    -------
    decorator : callable
        Decorator that returns the function unchanged.
    """

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


def random_node(system: System, rng: random.Random) -> NodeProcesses:
    """Return a random node."""
    return system.nodes[rng.choice(sorted(system.nodes))]


def live_servers(system: System, plain: bool | None = None) -> list[ServerProcess]:
    """Return the running servers, of one kind or of both."""
    return [
        server
        for server in system.servers.values()
        if system.platform.cloud.servers[server.listed.instance].state
        == ServerState.LIVE
        and not server.host.is_dead
        and plain in (None, isinstance(server.standin, PlainStandIn))
    ]


def random_server(
    system: System, rng: random.Random, plain: bool | None = None
) -> ServerProcess | None:
    """Return a random running server, or None if there is none."""
    servers = live_servers(system, plain)
    return rng.choice(servers) if servers else None


async def sleep_fault_duration(rng: random.Random) -> None:
    """Sleep for a random fault duration."""
    await trio.sleep(rng.uniform(*DURATION_RANGE_S))


@fault("freeze entry")
async def freeze_entry(system: System, rng: random.Random) -> None:
    """Freeze an entry, as the hypervisor of a small instance may."""
    host = random_node(system, rng).entry
    host.freeze()
    await sleep_fault_duration(rng)
    host.thaw()


@fault("freeze agent")
async def freeze_agent(system: System, rng: random.Random) -> None:
    """Freeze an agent."""
    host = random_node(system, rng).agent
    host.freeze()
    await sleep_fault_duration(rng)
    host.thaw()


@fault("kill entry")
async def kill_entry(system: System, rng: random.Random) -> None:
    """Kill an entry without notice and restart it at the same address."""
    node = random_node(system, rng)
    node.entry.kill()
    system.killed_entries.add(str(node.settings.listen.callers))
    await trio.sleep(rng.uniform(*RESTART_DELAY_RANGE_S))
    system.restart_entry(node.settings.node)


@fault("kill agent")
async def kill_agent(system: System, rng: random.Random) -> None:
    """Kill an agent without notice and restart it at the same address."""
    node = random_node(system, rng)
    node.agent.kill()
    await trio.sleep(rng.uniform(*RESTART_DELAY_RANGE_S))
    system.restart_agent(node.settings.node)


@fault("restart agents")
async def restart_agents(system: System, rng: random.Random) -> None:
    """Kill all agents of a zone, or of all zones, and restart them together.

    Shard owners stop at the same time as the holders of their replicas, as in an
    upgrade that does not proceed node by node.
    """
    zone = rng.choice([*system.plan.zones, ""])
    names = sorted(n for n, p in system.nodes.items() if zone in ("", p.settings.zone))
    for name in names:
        system.nodes[name].agent.kill()
    await trio.sleep(rng.choice([0.0, rng.uniform(*RESTART_DELAY_RANGE_S)]))
    servers = system.platform.cloud.servers
    for name in names:
        if servers[name].state != ServerState.TERMINATED:
            system.restart_agent(name)


@fault("reclaim node")
async def reclaim_node(system: System, rng: random.Random) -> None:
    """Reclaim the instance of a node with notice, if at least two others remain."""
    cloud = system.platform.cloud
    live = [n for n in system.nodes if cloud.servers[n].state == ServerState.LIVE]
    if len(live) > 2:
        system.platform.reclaim(rng.choice(sorted(live)), rng.uniform(*NOTICE_RANGE_S))


@fault("reclaim zone")
async def reclaim_zone(system: System, rng: random.Random) -> None:
    """Reclaim all backend servers of a zone and start replacements one by one.

    Further reclaim notices may follow immediately.
    """
    zone = rng.choice(system.plan.zones)
    reclaimed = [s for s in live_servers(system) if s.listed.zone == zone]
    notice_s = rng.uniform(*NOTICE_RANGE_S)
    for server in reclaimed:
        system.platform.reclaim(server.listed.instance, notice_s)
    for server in reclaimed:
        await trio.sleep(rng.uniform(0.2, 2.0))
        await system.start_server(server.listed.service, zone)


@fault("reclaim target")
async def reclaim_target(system: System, rng: random.Random) -> None:
    """Reclaim a server, and shortly after it one that may have taken its streams."""
    for _ in range(2):
        server = random_server(system, rng, plain=False)
        if server is not None:
            system.platform.reclaim(
                server.listed.instance, rng.uniform(*NOTICE_RANGE_S)
            )
            await trio.sleep(rng.uniform(0.1, 1.5))
            await system.start_server(server.listed.service, server.listed.zone)


@fault("kill server")
async def kill_server(system: System, rng: random.Random) -> None:
    """Kill a backend server without notice."""
    server = random_server(system, rng)
    if server is not None:
        server.host.kill()
        await sleep_fault_duration(rng)
        system.platform.cloud.terminate(server.listed.instance)
        await system.start_server(server.listed.service, server.listed.zone)


@fault("freeze server")
async def freeze_server(system: System, rng: random.Random) -> None:
    """Freeze a backend server."""
    server = random_server(system, rng)
    if server is not None:
        server.host.freeze()
        await sleep_fault_duration(rng)
        server.host.thaw()


@fault("silent links")
async def silence_links(system: System, rng: random.Random) -> None:
    """Make some open connections permanently silent; new ones work."""
    pairs = {
        (stream.near, stream.far)
        for stream in system.network.streams
        if stream.near < stream.far
    }
    for near, far in rng.sample(sorted(pairs), min(len(pairs), rng.randint(1, 6))):
        system.network.silence(near, far)


@fault("cut zone")
async def partition_zone(system: System, rng: random.Random) -> None:
    """Partition a zone from the other zones and, in 70 % of cases, the platform."""
    zone = rng.choice(system.plan.zones)
    system.partition_zone(zone, platform_too=rng.random() < 0.7)
    await sleep_fault_duration(rng)
    system.heal_zone(zone)


@fault("platform outage")
async def platform_outage(system: System, rng: random.Random) -> None:
    """Make the platform unavailable: it refuses connections or does not respond."""
    faults = system.platform.faults
    faults.outage = rng.choice([OUTAGE_REFUSE, OUTAGE_SILENT])
    await sleep_fault_duration(rng)
    faults.outage = ""


@fault("slow platform")
async def slow_platform(system: System, rng: random.Random) -> None:
    """Delay the responses of the platform and the effect of writes."""
    faults = system.platform.faults
    faults.slow_s = rng.uniform(0.1, 3.0)
    faults.late_effect_s = rng.choice([0.0, rng.uniform(0.1, 2.0)])
    await sleep_fault_duration(rng)
    faults.slow_s = faults.late_effect_s = 0.0


@fault("lost platform answers")
async def lose_answers(system: System, rng: random.Random) -> None:
    """Drop the responses of writes that took effect, and events of watches."""
    system.platform.faults.lose_answers += rng.randint(1, 4)
    system.platform.faults.watch_gaps += rng.randint(0, 2)


@fault("plain service")
async def plain_service(system: System, rng: random.Random) -> None:
    """Make calls of a plain service fail before or after they are executed."""
    server = random_server(system, rng, plain=True)
    if server is not None:
        name = rng.choice(
            ["silent_before", "silent_after", "lose_answer", "late", "refuse"]
        )
        planned = PlainFault(name, rng.randint(1, 3), late_s=rng.uniform(0.5, 6.0))
        server.standin.faults.append(planned)


@fault("service away")
async def close_service_listeners(system: System, rng: random.Random) -> None:
    """Close the listeners of all servers of a plain service for a while."""
    service = rng.choice(
        sorted(s for s, k in system.plan.kinds.items() if k == "plain")
    )
    servers = [s for s in live_servers(system, True) if s.listed.service == service]
    closed = {}
    for server in servers:
        host = server.host.network.host
        listeners = system.network.listeners
        closed.update((a, accept) for a, accept in listeners.items() if a.host == host)
        system.network.kill_host(host)
    await sleep_fault_duration(rng)
    for server in servers:
        if not server.host.is_dead:
            host = server.host.network.host
            listening = {a: accept for a, accept in closed.items() if a.host == host}
            system.network.listeners.update(listening)


@fault("held requests")
async def held_requests(system: System, rng: random.Random) -> None:
    """Delay what callers send to an entry, as a full buffer on the path does.

    A caller times out and sends the request again to another entry; its first
    attempt arrives after that.
    """
    entry = random_node(system, rng).entry.network.host
    pair = frozenset((CALLERS_HOST, entry))
    system.network.delays_s[pair] = rng.uniform(0.3, 4.0)
    await sleep_fault_duration(rng)
    system.network.delays_s.pop(pair, None)


@fault("engine")
async def engine(system: System, rng: random.Random) -> None:
    """Make an engine respond late, swap two responses, hang or die in a stream."""
    server = random_server(system, rng, plain=False)
    if server is None:
        return
    kind = rng.choice(["swap", "late", "silent", "die"])
    if kind == "swap":
        server.standin.faults.swap = True
    elif kind == "late":
        server.standin.faults.late_s = rng.uniform(0.5, 5.0)
        await sleep_fault_duration(rng)
        server.standin.faults.late_s = 0.0
    elif kind == "silent":
        server.standin.host.silence()
    else:
        server.standin.faults.die_after_tokens = rng.randint(1, 200)
