"""A soak of the retry budget: real node processes, failing servers, load that moves.

Nearly all requests to all servers fail, so that every node sends as many retries as it
may, while the load goes from zone to zone and nodes are killed, suspended, cut off from
the servers and throttled. The retries are counted at the servers, over all nodes. The
script stops only processes that it started itself, by their process ids.
"""

import json
import random
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Annotated

import trio
import typer
from soak import (
    CUTS,
    GRACE_S,
    READY_S,
    THROTTLE_PROGRAM,
    THROTTLED_SHARES,
    SoakNode,
    SoakSystem,
)

from rosemaryknot.standin.users.audit import Observations, Violation, audit
from rosemaryknot.standin.users.play import (
    LoadMove,
    Play,
    play_load,
    record_observations,
)
from rosemaryknot.standin.users.retry_windows import (
    RetryWindow,
    fullest_window,
    repeats,
)
from rosemaryknot.standin.users.system import DEPLOYMENT_BOUNDS, PLAIN
from rosemaryknot.values.nodes import Address

ZONES = 3
SERVERS = 12
# Requests fail from this time of the load on, when a window of requests has passed.
FAILING_FROM_S = 12.0
DURATION_S = 32.0
FAILING_SHARE = 0.9
# More requests than a server gets.
MAX_REQUESTS = 20_000
# What the servers do to the requests that fail, drawn for a whole seed.
FAILURES = (("error",), ("error", "reset"), ("error", "shed"), ("error", "mute"))
SETTLE_S = 3.0
# Throttles are processes of their own.
MAX_THROTTLED = 6
# Violations of other rules are found by the soak, whose load is made for them.
CHECKED = ("retries_are_bounded", "runs_once", "not_run_is_true", "starts", "recovers")

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

Trouble = Callable[[SoakSystem, list[SoakNode], random.Random, float], Awaitable[None]]
TROUBLES: dict[str, Trouble] = {}


def trouble(kind: str) -> Callable[[Trouble], Trouble]:
    """Register trouble for a group of nodes: a coroutine that returns at its end."""

    def register(function: Trouble) -> Trouble:
        TROUBLES[kind] = function
        return function

    return register


@dataclass(slots=True)
class DrawnTrouble:
    """Trouble of a schedule.

    Attributes
    ----------
    at_s, for_s : float
        When it begins after the start of the load, and how long it lasts.
    kind : str
        A name in `TROUBLES`.
    nodes : list of str
        Nodes that it befalls.
    """

    at_s: float
    for_s: float
    kind: str
    nodes: list[str]


@dataclass(slots=True)
class Schedule:
    """What happens in a seed, drawn before its start.

    Attributes
    ----------
    moves : list of LoadMove
        When the load goes to which nodes.
    troubles : list of DrawnTrouble
        What befalls the nodes meanwhile; some of it overlaps.
    failures : tuple of str
        What servers do to the requests that fail.
    """

    moves: list[LoadMove]
    troubles: list[DrawnTrouble]
    failures: tuple[str, ...]


def draw_schedule(seed: int, nodes: int) -> Schedule:
    """Return the schedule of a seed."""
    rng = random.Random(f"retries {seed}")
    names = [f"n{number}" for number in range(nodes)]
    zones = [names[zone::ZONES] for zone in range(ZONES)]
    rng.shuffle(zones)
    moves = [LoadMove(0.0, zones[0])]
    # The first move follows the burst of retries that a whole window has earned.
    at_s = FAILING_FROM_S + rng.uniform(1.0, 2.0)
    while at_s < DURATION_S - 4:
        moves.append(LoadMove(round(at_s, 2), zones[len(moves) % ZONES]))
        at_s += rng.uniform(3.0, 9.0)
    troubles = []
    at_s = FAILING_FROM_S + rng.uniform(0.0, 3.0)
    while at_s < DURATION_S - 8:
        group = rng.choice((rng.choice(zones), names, rng.sample(names, nodes // 2)))
        kind, for_s = rng.choice(sorted(TROUBLES)), rng.uniform(0.5, 4.0)
        troubles.append(DrawnTrouble(round(at_s, 2), round(for_s, 2), kind, group))
        at_s += rng.uniform(0.5, 5.0)
    return Schedule(moves, troubles, rng.choice(FAILURES))


@trouble("kill")
async def kill(
    system: SoakSystem, nodes: list[SoakNode], rng: random.Random, for_s: float
) -> None:
    """Kill nodes, at once or in turn, and start them again."""
    pause_s = rng.choice((0.0, 0.0, for_s / len(nodes)))
    async with trio.open_nursery() as nursery:
        for node in nodes:
            nursery.start_soon(restart, system, node, for_s / 4)
            await trio.sleep(pause_s)


async def restart(system: SoakSystem, node: SoakNode, down_s: float) -> None:
    """Kill a node and start it again."""
    if node.is_busy:
        return
    node.is_busy = True
    with system.disturbances.disturb(node.name):
        node.send(signal.SIGKILL)
        await node.wait(2)
        await trio.sleep(down_s)
        node.start()
        await system.wait_until_responding(node.name, 2 * READY_S)
    node.is_busy = False


@trouble("pause")
async def pause(
    system: SoakSystem, nodes: list[SoakNode], rng: random.Random, for_s: float
) -> None:
    """Suspend nodes and resume them."""
    idle = [node for node in nodes if not node.is_busy]
    for node in idle:
        node.is_busy = True
        node.send(signal.SIGSTOP)
    await trio.sleep(for_s)
    for node in idle:
        node.send(signal.SIGCONT)
        node.is_busy = False


@trouble("cut")
async def cut(
    system: SoakSystem, nodes: list[SoakNode], rng: random.Random, for_s: float
) -> None:
    """Cut nodes off from all servers."""
    addresses = [server.entry["address"] for server in system.servers.values()]
    ports = [Address.from_text(address).port for address in addresses]
    how = rng.choice(CUTS)
    for node in nodes:
        node.cut_off(how, ports)
    await trio.sleep(for_s)
    for node in nodes:
        node.cut_off("", [])


@trouble("hold")
async def hold(
    system: SoakSystem, nodes: list[SoakNode], rng: random.Random, for_s: float
) -> None:
    """Delay all that goes to and from half of the servers."""
    proxies = [system.proxies[name] for name in system.servers]
    drawn = rng.sample(proxies, len(proxies) // 2)
    delay_s = rng.uniform(0.1, 1.0)
    for proxy in drawn:
        proxy.delay_s = delay_s
    await trio.sleep(for_s)
    for proxy in drawn:
        proxy.delay_s = 0.0


@trouble("store")
async def store(
    system: SoakSystem, nodes: list[SoakNode], rng: random.Random, for_s: float
) -> None:
    """Let the store not answer."""
    system.store.faults.begin(rng.choice(("busy", "silent")))
    await trio.sleep(for_s)
    system.store.faults.end()


@trouble("throttle")
async def throttle(
    system: SoakSystem, nodes: list[SoakNode], rng: random.Random, for_s: float
) -> None:
    """Hold some of the nodes to a share of a core."""
    idle = [node for node in nodes if not node.is_busy][:MAX_THROTTLED]
    throttles = []
    for node in idle:
        node.is_busy = True
        share = str(rng.uniform(*THROTTLED_SHARES))
        command = [sys.executable, THROTTLE_PROGRAM, str(node.process.pid), share]
        throttles.append(subprocess.Popen(command))
    await trio.sleep(for_s)
    for process in throttles:
        process.send_signal(signal.SIGTERM)
        process.wait()
    for node in idle:
        node.send(signal.SIGCONT)
        node.is_busy = False


async def make_trouble(system: SoakSystem, schedule: Schedule, seed: int) -> None:
    """Let all servers fail, and play the troubles of a schedule."""
    started_s = trio.current_time()
    await trio.sleep(FAILING_FROM_S)
    rng = random.Random(f"failures {seed}")
    kinds = [*schedule.failures, ""]
    share = FAILING_SHARE / len(schedule.failures)
    weights = [share] * len(schedule.failures) + [1 - FAILING_SHARE]
    for server in system.servers.values():
        server.faults.extend(rng.choices(kinds, weights, k=MAX_REQUESTS))
    async with trio.open_nursery() as nursery:
        for number, drawn in enumerate(schedule.troubles):
            await trio.sleep_until(started_s + drawn.at_s)
            nodes = [system.nodes[name] for name in drawn.nodes]
            own_rng = random.Random(f"trouble {number} of {seed}")
            function = TROUBLES[drawn.kind]
            nursery.start_soon(function, system, nodes, own_rng, drawn.for_s)


def find_fullest(observations: Observations) -> RetryWindow:
    """Return the fullest window, with its start relative to that of the load."""
    sent_s = sorted(request.sent_s for request in observations.caller_requests)
    arrivals = observations.service_arrivals.get(PLAIN, [])
    found = fullest_window(repeats(arrivals), sent_s, observations.bounds)
    if found is None:
        return RetryWindow(0.0, 0, observations.bounds.retry_slack)
    return replace(found, start_s=found.start_s - sent_s[0])


async def run_seed(
    seed: int, nodes: int, slack: float, per_s: float
) -> tuple[RetryWindow, list[Violation]]:
    """Run one seed; return the fullest window and the violations."""
    bounds = replace(DEPLOYMENT_BOUNDS, retry_slack=slack)
    observations = Observations(bounds=bounds)
    schedule = draw_schedule(seed, nodes)
    play = Play(
        length_s=DURATION_S,
        load={"stock": per_s},
        added_per_s=0.0,
        moves=schedule.moves,
    )
    async with trio.open_nursery() as nursery:
        system = SoakSystem(nursery, seed, nodes, [PLAIN] * SERVERS, bounds)
        await system.start()
        async with trio.open_nursery() as load_nursery:
            load_nursery.start_soon(make_trouble, system, schedule, seed)
            await play_load(system, play, random.Random(seed), observations)
        await trio.sleep(SETTLE_S)
        for name in system.nodes:
            if not await system.wait_until_responding(name, READY_S):
                system.problems.append(Violation("recovers", name))
        await end(system)
        record_observations(system, observations)
        nursery.cancel_scope.cancel()
    found = audit(observations) + system.problems
    return find_fullest(observations), [v for v in found if v.invariant in CHECKED]


async def end(system: SoakSystem) -> None:
    """Stop the nodes; kill those that do not exit in time."""
    for node in system.nodes.values():
        node.send(signal.SIGTERM)
    for node in system.nodes.values():
        if await node.wait(GRACE_S + 2) is None:
            node.send(signal.SIGKILL)
            node.process.wait()
    system.release_ports()


@app.command()
def main(
    seed: Annotated[
        int | None, typer.Option(help="Seed to run; new seeds if omitted.")
    ] = None,
    seeds: Annotated[int, typer.Option(help="Number of new seeds.")] = 1,
    nodes: Annotated[int, typer.Option(help="Number of nodes.")] = 6,
    slack: Annotated[float, typer.Option(help="Slack of the budget.")] = 5.0,
    per_s: Annotated[float, typer.Option(help="Requests per second.")] = 120.0,
) -> None:
    """Run the soak; print a line for each seed, then one line of JSON."""
    first = int(time.time()) % 1_000_000 if seed is None else seed
    shares, bad = [], []
    for number in range(first, first + (seeds if seed is None else 1)):
        window, violations = trio.run(run_seed, number, nodes, slack, per_s)
        schedule = draw_schedule(number, nodes)
        drawn = [
            f"{t.at_s} {t.kind} {len(t.nodes)} {t.for_s}" for t in schedule.troubles
        ]
        moves = [move.at_s for move in schedule.moves]
        print(
            f"seed {number}: {window.retries} retries of {window.allowed:.1f} allowed "
            f"from {window.start_s:.1f} s ({window.used_share:.2f}), moves {moves}, "
            f"failures {schedule.failures}, troubles {drawn}"
        )
        for violation in violations[:5]:
            print(f"  {violation.invariant}: {violation.detail}")
        sys.stdout.flush()
        shares.append(round(window.used_share, 3))
        if violations:
            bad.append(number)
    print(json.dumps({"seeds": len(shares), "shares": shares, "bad_seeds": bad}))
    raise typer.Exit(1 if bad else 0)


if __name__ == "__main__":
    app()
