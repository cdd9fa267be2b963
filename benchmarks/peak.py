"""Placement at the peak: the load pattern of clumps of long prompts, without network.

Seven gateways place requests on model servers by their own tables, which learn of each
other's work four times a second. A server reads one prompt after the other and keeps
what it has read for a while. Each way of placing meets the same seeded requests.
"""

import json
import random
import sys
from dataclasses import dataclass, field

import trio
from trio.testing import MockClock

from rosemaryknot.process.gateway_servers import PeerLoad, ServerState, ServerTable
from rosemaryknot.request.gateway_placement import (
    POLICIES,
    Candidate,
    PlacementInput,
    placement_policy,
    usable,
)
from rosemaryknot.values.gateway import ModelInput, PromptPart, RoutedServer
from rosemaryknot.values.nodes import Address

__all__ = ["measure"]

GATEWAYS = 7
SERVERS = 5
ZONES = ("a", "b", "c")
# Tokens that a server reads in a second, and the least time to a first event.
READ_RATE = 157_000.0
FIRST_S = 0.026
KEPT_S = 20.0
REPORT_S = 0.05
LENGTH_S = 30.0
# Requests a second; they come in clumps of three.
LONG_PER_S = 38.0
SHORT_PER_S = 88.0
CLUMP = 3
AIM_S = {"long": 0.6, "short": 0.5}
WORTH = {"long": 5.4, "short": 1.5}
BEFORE = "least_busy"
AFTER = "unread_tokens"


@placement_policy("any_server")
def any_server(given: PlacementInput) -> Candidate | None:
    """Draw a server: first come, first served, without a choice."""
    return given.rng.choice(given.candidates) if given.candidates else None


@dataclass(slots=True)
class Engine:
    """A model server that reads one prompt after the other."""

    free_s: float = 0.0
    kept: dict[str, float] = field(default_factory=dict)

    def unread(self, size: ModelInput) -> int:
        """Return the tokens that it does not keep."""
        now_s = trio.current_time()
        unread = size.prompt_tokens
        for part in size.parts[:-1]:
            if now_s - self.kept.get(part.id, -KEPT_S) >= KEPT_S:
                break
            unread -= part.tokens
        return unread

    async def first_event(self, size: ModelInput) -> None:
        """Return with the first event."""
        now_s = trio.current_time()
        begin_s = max(self.free_s, now_s)
        self.free_s = begin_s + self.unread(size) / READ_RATE
        for part in size.parts[:-1]:
            self.kept[part.id] = self.free_s
        await trio.sleep_until(self.free_s + FIRST_S)


class Gateway:
    """One gateway's table and choices."""

    def __init__(self, number: int, policy: str, rng: random.Random) -> None:
        self.name = f"n{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.policy = POLICIES[policy]
        self.rng = rng
        self.table = ServerTable()
        for server in range(SERVERS):
            self.table.put(
                RoutedServer(
                    f"s{server}",
                    "model",
                    ZONES[server % len(ZONES)],
                    Address("10.0.0.1", 80 + server),
                    128,
                )
            )

    def place(self, size: ModelInput) -> Candidate:
        """Choose a server."""
        candidates = []
        for state in usable(
            list(self.table.by_id.values()), trio.current_time(), set(), True
        ):
            requests, tokens = state.load()
            kept = self.table.kept_tokens(state.entry.id, size)
            candidates.append(Candidate(state, requests, tokens, kept))
        return self.policy(PlacementInput(self.zone, size, candidates, self.rng))

    def hear(self, other: "Gateway") -> None:
        """Take over what another gateway has in flight."""
        now_s = trio.current_time()
        for name, state in self.table.by_id.items():
            theirs = other.table.by_id[name]
            state.peers[other.name] = PeerLoad(
                theirs.in_flight, theirs.waiting_tokens, now_s
            )


@dataclass(slots=True)
class Tally:
    """What became of the requests of one way of placing."""

    owed: float = 0.0
    in_time: float = 0.0
    waits_s: list[float] = field(default_factory=list)
    unread: int = 0


def draw_request(kind: str, rng: random.Random) -> ModelInput:
    """Return a prompt: a shared beginning, a session's part and the rest."""
    if kind == "long":
        shared = PromptPart(f"L{rng.randrange(3)}", 512)
        session = PromptPart(f"S{rng.randrange(454)}", 4870)
        own = int(min(54_600, rng.lognormvariate(8.0, 1.2)))
    else:
        shared = PromptPart(f"l{rng.randrange(20)}", 341)
        session = PromptPart(f"s{rng.randrange(702)}", 227)
        own = int(min(6_870, rng.lognormvariate(7.0, 0.9)))
    parts = (shared, session, PromptPart("own", own))
    return ModelInput(sum(part.tokens for part in parts), 100, parts)


async def play(policy: str, seed: int) -> Tally:
    """Play the load through one way of placing."""
    rng = random.Random(seed)
    gateways = [Gateway(n, policy, random.Random(seed + n)) for n in range(GATEWAYS)]
    engines = {f"s{number}": Engine() for number in range(SERVERS)}
    tally = Tally()

    async def ask(kind: str, gateway: Gateway, size: ModelInput) -> None:
        began_s = trio.current_time()
        chosen = gateway.place(size)
        state: ServerState = chosen.state
        tokens = size.prompt_tokens - chosen.kept_tokens
        gateway.table.begin(state, size, tokens)
        state.heard_s = began_s
        engine = engines[state.entry.id]
        tally.unread += engine.unread(size)
        await engine.first_event(size)
        gateway.table.first_event(state, tokens, 0, trio.current_time() - began_s)
        gateway.table.end(state, 0)
        wait_s = trio.current_time() - began_s
        tally.waits_s.append(wait_s)
        tally.owed += WORTH[kind]
        if wait_s <= AIM_S[kind]:
            tally.in_time += WORTH[kind]

    async def tell() -> None:
        while True:
            await trio.sleep(REPORT_S)
            for one in gateways:
                places, one.table.recent = one.table.recent, []
                for other in gateways:
                    if other is not one:
                        other.hear(one)
                        for part, server in places:
                            other.table.note_place(part, server)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(tell)
        async with trio.open_nursery() as requests:
            per_s = (LONG_PER_S + SHORT_PER_S) / CLUMP
            while trio.current_time() < LENGTH_S:
                await trio.sleep(rng.expovariate(per_s))
                for _ in range(CLUMP):
                    share = LONG_PER_S / (LONG_PER_S + SHORT_PER_S)
                    kind = "long" if rng.random() < share else "short"
                    size = draw_request(kind, rng)
                    requests.start_soon(ask, kind, rng.choice(gateways), size)
        nursery.cancel_scope.cancel()
    return tally


def measure(policy: str, seed: int) -> dict[str, float]:
    """Return the figures of one way of placing."""
    tally = trio.run(play, policy, seed, clock=MockClock(autojump_threshold=0))
    waits = sorted(tally.waits_s)
    return {
        "in_time_share": round(tally.in_time / tally.owed, 3),
        "refused": 0,
        "largest_wait_s": round(waits[-1], 3),
        "p95_wait_s": round(waits[int(0.95 * len(waits))], 3),
        "tokens_read": tally.unread,
    }


def main() -> None:
    """Print a table and a line of JSON."""
    seeds = [int(arg) for arg in sys.argv[1:]] or [1, 2, 3]
    means = {}
    for policy in ("any_server", BEFORE, AFTER):
        runs = [measure(policy, seed) for seed in seeds]
        means[policy] = {
            name: round(sum(run[name] for run in runs) / len(runs), 3)
            for name in runs[0]
        }
        print(f"{policy:15}", means[policy], flush=True)
    before = means[BEFORE]
    print(json.dumps({"before": before, "after": means[AFTER], "seeds": seeds}))


if __name__ == "__main__":
    main()
