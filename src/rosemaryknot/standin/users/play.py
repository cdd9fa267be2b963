"""Plays a load and faults against nodes on the stand-ins, in virtual time."""

import json
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from rosemaryknot.standin.users.audit import Asked, Seen, Violation, audit
from rosemaryknot.standin.users.servers import EVENT_TOKENS
from rosemaryknot.standin.users.servers import FAULTS as SERVER_FAULTS
from rosemaryknot.standin.users.system import (
    MODEL_HEADERS,
    STORE,
    PlatformSystem,
    document,
    platform_system,
)

__all__ = ["Play", "PlayResult", "load_play", "random_play", "run_play"]

REPEATABLE = frozenset(("ask", "stock"))
STREAMS = frozenset(("ask", "plan"))
OK = 200
EVENTS = 50 // EVENT_TOKENS
# After the last request, so that what is under way ends and usage is told.
SETTLE_S = 14.0
RESTART_S = 0.5


@dataclass(slots=True)
class Play:
    """What is played.

    Attributes
    ----------
    nodes, plain, models : int
        How many there are.
    length_s : float
        How long requests come.
    load : dict of str to float
        Requests in a second by route: plan, ask, book, stock.
    faults : list of dict
        ``at``, ``kind`` (a name in `PLAY_FAULTS`), and what the kind takes.
    """

    nodes: int = 3
    plain: int = 3
    models: int = 3
    length_s: float = 20.0
    load: dict[str, float] = field(
        default_factory=lambda: {"plan": 3.0, "ask": 5.0, "book": 5.0, "stock": 5.0}
    )
    faults: list[dict[str, Any]] = field(default_factory=list)


@dataclass(slots=True)
class PlayResult:
    """What became of a play.

    Attributes
    ----------
    outcomes : collections.Counter
        Answers by route and status.
    violations : list of Violation
        Promises that were not kept.
    faults : collections.Counter
        Faults that happened, by kind.
    """

    outcomes: Counter
    violations: list[Violation]
    faults: Counter

    def to_json(self) -> str:
        """Return one line for programs."""
        return json.dumps(
            {
                "requests": sum(self.outcomes.values()),
                "answered": sum(
                    count
                    for (_, status), count in self.outcomes.items()
                    if status == 200
                ),
                "faults": dict(self.faults),
                "violations": len(self.violations),
                "first": str(self.violations[0]) if self.violations else None,
            }
        )


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
    system.network.cut(fault["host"], fault["from"])
    await trio.sleep(fault["for_s"])
    system.network.heal(fault["host"], fault["from"])


@play_fault("configure")
async def configure(system: PlatformSystem, fault: dict[str, Any]) -> None:
    """Write a new version of the configuration."""
    known = system.store.objects["config"]["main"]["spec"]
    system.store.put("config", "main", document(known["version"] + 3))


async def play_load(
    system: PlatformSystem, play: Play, rng: random.Random, seen: Seen
) -> None:
    """Send requests to all nodes and note what each got."""
    number = 0

    async def ask(kind: str, node: str, name: str) -> None:
        asked = Asked(
            name,
            "stream" if kind in STREAMS else "plain",
            kind in REPEATABLE,
            events=EVENTS,
        )
        seen.asked.append(asked)
        headers = MODEL_HEADERS if kind in STREAMS else {}
        method = "GET" if kind == "stock" else "POST"
        try:
            answer = await system.ask(
                f"/{kind}/x", node, method=method, request_id=name, **headers
            )
        except (OSError, trio.BrokenResourceError):
            return
        asked.status = answer.status
        asked.body = answer.body
        asked.is_whole = answer.is_whole

    until_s = trio.current_time() + play.length_s
    kinds, rates = zip(*play.load.items(), strict=True)
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until_s:
            await trio.sleep(rng.expovariate(sum(rates)))
            kind = rng.choices(kinds, rates)[0]
            node = rng.choice(list(system.nodes))
            nursery.start_soon(ask, kind, node, f"{kind}-{number}")
            number += 1


async def run_play(play: Play, seed: int) -> PlayResult:
    """Play, and hold what was seen to the promises."""
    rng = random.Random(seed)
    seen = Seen()
    happened: Counter = Counter()
    async with platform_system(
        seed,
        nodes=play.nodes,
        plain=play.plain,
        models=play.models,
        duties=["usage"],
    ) as system:
        await trio.sleep(3)

        async def happen(fault: dict[str, Any]) -> None:
            await trio.sleep(fault["at"])
            happened[fault["kind"]] += 1
            await PLAY_FAULTS[fault["kind"]](system, fault)

        for fault in play.faults:
            system.nursery.start_soon(happen, fault)
        await play_load(system, play, rng, seen)
        await trio.sleep(SETTLE_S)
        note_seen(system, seen)
    outcomes = Counter((a.id.partition("-")[0], a.status) for a in seen.asked)
    return PlayResult(outcomes, audit(seen), happened)


def note_seen(system: PlatformSystem, seen: Seen) -> None:
    """Take over what servers and cloud have seen."""
    for arrival in system.ledger.arrivals:
        if arrival.has_run:
            seen.runs[arrival.id] = seen.runs.get(arrival.id, 0) + 1
    accepted = [call for call in system.cloud.calls if call.status == 200]
    seen.usage_doubled = system.cloud.doubled
    seen.fences = [call.fencing for call in accepted]
    seen.holders = [(call.holder, call.fencing) for call in accepted]


def random_play(seed: int) -> Play:
    """Return a play with faults drawn by a seed, some of which meet."""
    rng = random.Random(seed)
    play = Play(nodes=rng.choice((1, 2, 3, 4)))
    for _ in range(rng.randint(3, 7)):
        play.faults.append(draw_fault(rng, play))
    return play


def draw_fault(rng: random.Random, play: Play) -> dict[str, Any]:
    """Draw one fault of any kind."""
    node = rng.randrange(play.nodes)
    host = f"10.2.0.{node + 1}"
    server = rng.choice(("p0", "p1", "p2", "m0", "m1", "m2"))
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


def load_play(path: Path) -> Play:
    """Read a play from a JSON file.

    Raises
    ------
    ValueError
        If it names a field or a kind of fault that there is not.
    """
    data = json.loads(path.read_text(encoding="utf-8"))
    unknown = set(data) - set(Play.__slots__)
    if unknown:
        raise ValueError(f"unknown fields: {', '.join(sorted(unknown))}")
    for fault in data.get("faults", []):
        if fault.get("kind") not in PLAY_FAULTS:
            kinds = ", ".join(sorted(PLAY_FAULTS))
            raise ValueError(f"unknown kind {fault.get('kind')!r}; there are {kinds}")
    return Play(**data)
