"""Plays a load and faults against nodes on the stand-ins, in virtual time."""

import json
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from rosemaryknot.standin.users.audit import (
    Asked,
    Reached,
    Seen,
    Violation,
    audit,
)
from rosemaryknot.standin.users.changes import added_path
from rosemaryknot.standin.users.play_faults import (
    PLAY_FAULTS,
    draw_changes,
    draw_fault,
    draw_server_life,
)
from rosemaryknot.standin.users.servers import EVENT_TOKENS
from rosemaryknot.standin.users.system import (
    MODEL_HEADERS,
    PlatformSystem,
    platform_system,
)

__all__ = [
    "SLOW_LINK_BYTES_PER_S",
    "Play",
    "PlayResult",
    "load_play",
    "random_play",
    "run_play",
]

REPEATABLE = frozenset(("ask", "stock", "added"))
STREAMS = frozenset(("ask", "plan"))
OK = 200
EVENTS = 50 // EVENT_TOKENS
SLOW_LINK_BYTES_PER_S = 5e6 / 8
# After the last request, so that what is under way ends and usage is told.
SETTLE_S = 14.0


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
    added_per_s : float
        Requests in a second on routes that changes add and drop.
    link_bytes_per_s : float
        Bandwidth of each node's link; 0 for links without a limit.
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
    added_per_s: float = 4.0
    link_bytes_per_s: float = 0.0
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


async def play_load(
    system: PlatformSystem, play: Play, rng: random.Random, seen: Seen
) -> None:
    """Send requests to all nodes and note what each got."""
    until_s = trio.current_time() + play.length_s
    kinds, rates = zip(*play.load.items(), strict=True)
    number = 0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask_added, system, play, rng.random(), seen, nursery)
        while trio.current_time() < until_s:
            await trio.sleep(rng.expovariate(sum(rates)))
            kind = rng.choices(kinds, rates)[0]
            node = rng.choice(list(system.nodes))
            asked = new_asked(kind, f"{kind}-{number}", node, f"/{kind}/x")
            nursery.start_soon(ask, system, asked, seen)
            number += 1


async def ask_added(
    system: PlatformSystem,
    play: Play,
    seed: float,
    seen: Seen,
    nursery: trio.Nursery,
) -> None:
    """Send requests on the routes that changes of the configuration add and drop."""
    rng = random.Random(seed)
    until_s = trio.current_time() + play.length_s
    number = 0
    while play.added_per_s and trio.current_time() < until_s:
        await trio.sleep(rng.expovariate(play.added_per_s))
        node = rng.choice(list(system.nodes))
        path = added_path(system.store, rng)
        asked = new_asked("added", f"added-{number}", node, path)
        nursery.start_soon(ask, system, asked, seen)
        number += 1


def new_asked(kind: str, name: str, node: str, path: str) -> Asked:
    """Return a request that is about to be sent."""
    return Asked(
        name,
        "stream" if kind in STREAMS else "plain",
        kind in REPEATABLE,
        events=EVENTS,
        node=node,
        path=path,
    )


async def ask(system: PlatformSystem, asked: Asked, seen: Seen) -> None:
    """Send one request and note what it got."""
    seen.asked.append(asked)
    asked.sent_s = asked.ended_s = trio.current_time()
    headers = MODEL_HEADERS if asked.kind == "stream" else {}
    method = "GET" if asked.path.startswith("/stock/") else "POST"
    try:
        answer = await system.ask(
            asked.path, asked.node, method=method, request_id=asked.id, **headers
        )
    except (OSError, trio.BrokenResourceError):
        return
    finally:
        asked.ended_s = trio.current_time()
    asked.status = answer.status
    asked.body = answer.body
    asked.is_whole = answer.is_whole


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
        if play.link_bytes_per_s:
            system.limit_links(play.link_bytes_per_s)
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
        if arrival.ended != "refused":
            reached = Reached(arrival.server, arrival.id, arrival.at_s)
            seen.reached.append(reached)
    seen.written = system.store.written
    seen.disturbances = system.disturbances
    seen.trapped = [arrival.id for arrival in system.trap.arrivals]
    accepted = [call for call in system.cloud.calls if call.status == 200]
    seen.usage_doubled = system.cloud.doubled
    seen.fences = [call.fencing for call in accepted]
    seen.holders = [(call.holder, call.fencing) for call in accepted]


def random_play(seed: int) -> Play:
    """Return a play with faults drawn by a seed, some of which meet."""
    rng = random.Random(seed)
    play = Play(nodes=rng.choice((1, 2, 3, 4)))
    for _ in range(rng.randint(3, 7)):
        play.faults.append(draw_fault(rng, play.nodes))
    for _ in range(rng.randint(1, 4)):
        play.faults.append(draw_server_life(rng))
    for _ in range(rng.choice((0, 1, 2))):
        play.faults.append(draw_changes(rng))
    play.link_bytes_per_s = rng.choice((0.0, SLOW_LINK_BYTES_PER_S))
    return play


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
