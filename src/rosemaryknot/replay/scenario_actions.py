"""Registry of the actions of scenario steps, filled by decorators."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import httpx
import trio

from rosemaryknot.replay.fault_kinds import live_servers
from rosemaryknot.replay.hosts import Host
from rosemaryknot.replay.scenario import RequestStep, Target
from rosemaryknot.replay.system import PLATFORM_ADDRESS, ServerProcess, System
from rosemaryknot.standin.plain import PlainFault
from rosemaryknot.standin.platform_faults import OUTAGE_REFUSE, OUTAGE_SILENT
from rosemaryknot.values.nodes import ServerState

if TYPE_CHECKING:
    from rosemaryknot.replay.scenario_run import ScenarioRun

__all__ = ["ACTIONS", "Action", "action"]

Action = Callable[..., Awaitable[None]]

ACTIONS: dict[str, Action] = {}

PATCH_TIMEOUT_S = 8.0
RESPONSE_DELAY_S = 4.0
PLAIN_FAULTS = {
    "lose answers of": "lose_answer",
    "answer late": "late",
    "refuse": "refuse",
    "go silent before": "silent_before",
    "go silent after": "silent_after",
}


def action(name: str) -> Callable[[Action], Action]:
    """Register an action under its name in the scenario language."""

    def register(function: Action) -> Action:
        if name in ACTIONS:
            raise ValueError(f"action {name!r} is already registered")
        ACTIONS[name] = function
        return function

    return register


def find_server(system: System, target: Target) -> ServerProcess:
    """Return the first running server of a service in a zone.

    Raises
    ------
    LookupError
        If no server of the service is running there.
    """
    for server in live_servers(system):
        if (server.listed.service, server.listed.zone) == (target.name, target.zone):
            return server
    raise LookupError(f"no running server of {target.name} in {target.zone}")


def find_host(system: System, target: Target) -> Host:
    """Return the host that a fault affects."""
    if target.kind == "server":
        return find_server(system, target).host
    if target.kind == "platform":
        return system.platform_host
    node = system.nodes[target.name]
    return node.entry if target.kind == "entry" else node.agent


@action("send")
async def send(run: "ScenarioRun", request: RequestStep) -> None:
    """Send a caller's request."""
    await run.requests.send(request)


@action("start_server")
async def start_server(run: "ScenarioRun", target: Target) -> None:
    """Start a backend server."""
    await run.system.start_server(str(target.name), str(target.zone))


@action("reclaim")
async def reclaim(run: "ScenarioRun", target: Target, notice_s: float) -> None:
    """Send reclaim notices to one instance or to all backend servers of a zone."""
    system = run.system
    if target.kind == "zone":
        live = live_servers(system)
        names = [s.listed.instance for s in live if s.listed.zone == target.name]
    elif target.kind == "server":
        names = [find_server(system, target).listed.instance]
    else:
        names = [str(target.name)]
    for name in names:
        run.notices_s[name] = trio.current_time()
        system.platform.reclaim(name, notice_s)


@action("cut")
async def cut(run: "ScenarioRun", target: Target, far: Target) -> None:
    """Partition a zone from the platform, from another zone or from everything."""
    if far.kind == "everything":
        run.system.partition_zone(target.name)
        return
    hosts = [PLATFORM_ADDRESS.host]
    if far.kind == "zone":
        hosts = run.system.hosts_of_zone(far.name)
    for near in run.system.hosts_of_zone(target.name):
        for other in hosts:
            run.system.network.cut(near, other)


@action("heal")
async def heal(run: "ScenarioRun", target: Target) -> None:
    """End all partitions of a zone."""
    run.system.heal_zone(target.name)


@action("kill")
async def kill(run: "ScenarioRun", target: Target) -> None:
    """Kill a process without notice.

    The platform marks the instance of a killed server or node as terminated.
    """
    system = run.system
    if target.kind == "server":
        server = find_server(system, target)
        server.host.kill()
        system.platform.cloud.terminate(server.listed.instance)
        return
    node = system.nodes[target.name]
    if target.kind in ("node", "entry"):
        system.killed_entries.add(str(node.settings.listen.callers))
    if target.kind == "node":
        system.kill_node(target.name)
    else:
        find_host(system, target).kill()


@action("restart")
async def restart(run: "ScenarioRun", target: Target) -> None:
    """Restart an entry or agent at its address, killing it if it is running."""
    if target.kind == "entry":
        node = run.system.nodes[target.name]
        run.system.killed_entries.add(str(node.settings.listen.callers))
        run.system.restart_entry(target.name)
    else:
        run.system.restart_agent(target.name)


@action("freeze")
async def freeze(run: "ScenarioRun", target: Target, lasts_s: float) -> None:
    """Freeze all tasks of a process for a time."""
    host = find_host(run.system, target)
    host.freeze()
    await trio.sleep(lasts_s)
    host.thaw()


@action("silence")
async def silence(run: "ScenarioRun", target: Target) -> None:
    """Make open connections of a process permanently silent; new ones work."""
    near = find_host(run.system, target).network.host
    streams = run.system.network.streams
    for far in sorted({s.far for s in streams if s.near == near}):
        run.system.network.silence(near, far)


@action("swap")
async def swap(run: "ScenarioRun", target: Target) -> None:
    """Make an engine swap two running responses between their streams."""
    find_server(run.system, target).standin.apply_faults({"swap": True})


@action("plain_fault")
async def plain_fault(
    run: "ScenarioRun", target: Target, fault: str, count: int
) -> None:
    """Make the next calls of a plain service fail."""
    planned = PlainFault(PLAIN_FAULTS[fault], count, late_s=RESPONSE_DELAY_S)
    find_server(run.system, target).standin.faults.append(planned)


@action("outage")
async def outage(run: "ScenarioRun", form: str, lasts_s: float) -> None:
    """Make the platform unavailable for a time."""
    faults = run.system.platform.faults
    faults.outage = OUTAGE_REFUSE if form == "refusing" else OUTAGE_SILENT
    await trio.sleep(lasts_s)
    faults.outage = ""


@action("slow")
async def slow(run: "ScenarioRun", delay_s: float, lasts_s: float) -> None:
    """Delay responses of the platform for a time; writes take effect immediately."""
    faults = run.system.platform.faults
    faults.slow_s = delay_s
    await trio.sleep(lasts_s)
    faults.slow_s = 0.0


@action("lose")
async def lose(run: "ScenarioRun", count: int) -> None:
    """Drop the responses of the next writes, which still take effect."""
    run.system.platform.faults.lose_answers += count


@action("refuse_starts")
async def refuse_starts(
    run: "ScenarioRun", target: Target, machine_class: str, lasts_s: float
) -> None:
    """Make the cloud refuse to start a machine class in a zone for a time."""
    refused = run.system.platform.faults.refused_starts
    refused.add((str(target.name), machine_class))
    await trio.sleep(lasts_s)
    refused.discard((str(target.name), machine_class))


@action("stale")
async def stale(run: "ScenarioRun", number: int) -> None:
    """Roll the store back to an older configuration, as restoring a backup does."""
    objects = run.system.platform.kinds["configuration"]
    for stored in objects.history["main"]:
        if stored.value["number"] == number:
            objects.rollback("main", stored.version)
            return
    raise LookupError(f"configuration {number} is not in the history of the store")


@action("patch")
async def patch(
    run: "ScenarioRun",
    operator: str,
    path: str,
    value: int | float | str,
    base: int | None,
    name: str,
    node: str | None,
) -> None:
    """Submit a patch as an operator does.

    Read the active configuration number unless ``base`` gives one, then send the
    change.
    """
    live = [
        n
        for n in sorted(run.system.nodes)
        if run.system.platform.cloud.servers[n].state == ServerState.LIVE
    ]
    settings = run.system.nodes[node or live[0]].settings
    url = f"http://{settings.listen.operators}/v1/configuration"
    headers = {"Authorization": f"Bearer {run.keys.by_operator[operator]}"}
    operations = [{"op": "add", "path": path, "value": value}]
    try:
        with trio.fail_after(PATCH_TIMEOUT_S):
            if base is None:
                shown = await run.client.get(url, headers=headers)
                base = shown.json()["number"]
            headers["If-Match"] = str(base)
            headers["Rosemaryknot-Patch"] = f"scenario-{name}"
            answer = await run.client.patch(url, headers=headers, json=operations)
        run.patches[name] = answer.json()["outcome"]
    except (httpx.HTTPError, trio.TooSlowError):
        run.patches[name] = "unknown"
