"""Plays a load and faults against nodes on the stand-ins, in virtual time."""

import json
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from rosemaryknot.standin.users.audit import Asked, Seen, Violation, audit
from rosemaryknot.standin.users.play_faults import (
    PLAY_FAULTS,
    draw_fault,
    draw_server_life,
)
from rosemaryknot.standin.users.servers import EVENT_TOKENS
from rosemaryknot.standin.users.system import (
    MODEL_HEADERS,
    PlatformSystem,
    platform_system,
)

__all__ = ["Play", "PlayResult", "load_play", "random_play", "run_play"]

REPEATABLE = frozenset(("ask", "stock"))
STREAMS = frozenset(("ask", "plan"))
OK = 200
EVENTS = 50 // EVENT_TOKENS
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
