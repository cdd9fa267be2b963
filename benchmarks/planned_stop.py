"""What callers get while nodes stop as planned in series, by way to admit requests.

Run: ``python benchmarks/planned_stop.py [--seeds N] [--first N] [--reserves]``. In
virtual time, six nodes in three zones get their signals two seconds apart, and each is
back a second after its end. A balancer asks each second; servers slow down with load,
and a burst comes in the middle. Every way meets the same requests. Shares are of all
requests that are sent from the first signal on; the last line is JSON.
"""

import argparse
import json
import math
import random
from collections import Counter

import trio
from stop_deployment import KINDS, STOPS, ZONES, Deployment, Kind, start_deployment

import rosemaryknot.process.graceful_shutdown as stop_module
from rosemaryknot.replay.virtual_time import DecisionLog, run_in_virtual_time
from rosemaryknot.request.gateway_request_admission import SHUTDOWN_ADMISSION_RULE
from rosemaryknot.request.shutdown_admission import (
    MAY_OUTLAST_SHUTDOWN,
    SHUTDOWN_ADMISSION_RULES,
)
from rosemaryknot.standin.users.system import Answer, Caller

# Until durations are known; from the first signal until the last node is back.
WARM_UP_S, SERIES_S, SERIES = 12.0, 21.0, 2
# Requests in a second: three quarters of what the servers make, and far beyond it.
RATE = 36.0
BURST_S, BURST_FACTOR = (5.0, 11.0), 1.9
KEPT_SHARE, KEPT_S = 0.5, 3.0
RETRIES, MIN_REMAINING_S, RETRY_SHARE = 1, 0.1, 1 / 3
RESERVES_S = (0.3, 1.2)
OK, REFUSED = 200, (429, 503)
FIGURES = (
    "refused_once",
    "refused_for_good",
    "cut",
    "cut_taken_late",
    "whole_in_time",
    "on_target",
    "first_p95_s",
    "down_s",
)


class Callers:
    """Sends requests and counts what becomes of them."""

    def __init__(self, system: Deployment, rng: random.Random) -> None:
        self.system = system
        self.rng = rng
        self.kept: dict[str, list[tuple[Caller, float]]] = {z: [] for z in ZONES}
        self.counts: Counter = Counter()
        self.first_s: list[float] = []
        self.node_by_id: dict[str, str] = {}
        self.asked = 0

    async def come(self, nursery: trio.Nursery, until_s: float) -> None:
        """Send requests until a time, more in the burst."""
        began_s = trio.current_time()
        while trio.current_time() < until_s:
            since_s = trio.current_time() - began_s
            is_burst = BURST_S[0] <= since_s < BURST_S[1]
            rate = RATE * (BURST_FACTOR if is_burst else 1.0)
            await trio.sleep(self.rng.expovariate(rate))
            kind = self.rng.choices(KINDS, [k.share for k in KINDS])[0]
            self.asked += 1
            nursery.start_soon(
                self.ask,
                f"r{self.asked}",
                kind,
                self.rng.choice(ZONES),
                self.rng.randint(*kind.tokens),
                random.Random(self.rng.random()),
            )

    async def ask(
        self, name: str, kind: Kind, zone: str, tokens: int, rng: random.Random
    ) -> None:
        """Send one request, come back once where it is refused, and count."""
        began_s = trio.current_time()
        sent_s, answer, tried = began_s, Answer(), set()
        self.counts["asked"] += 1
        for attempt in range(RETRIES + 1):
            left_s = began_s + kind.limit_s - trio.current_time()
            sent_s = trio.current_time()
            sent = f"{name}-{attempt}"
            answer = await self.send(kind, zone, sent, tokens, left_s, tried, rng)
            if answer.status not in REFUSED:
                break
            self.counts["refused_once"] += attempt == 0
            self.counts["refused_by_stop"] += (
                MAY_OUTLAST_SHUTDOWN.encode() in answer.body
            )
            wait_s = float(answer.headers.get("retry-after", 0))
            await trio.sleep(min(wait_s, left_s * RETRY_SHARE))
        node = self.node_by_id.get(sent)
        is_late = sent_s > self.system.signalled_s.get(node, math.inf)
        took_s = trio.current_time() - began_s
        self.count(kind, answer, sent_s - began_s, took_s, is_late)

    def count(
        self, kind: Kind, answer: Answer, before_s: float, took_s: float, is_late: bool
    ) -> None:
        """Count how a request ended; a late one was sent to a node that stops."""
        is_overdue = took_s >= kind.limit_s - MIN_REMAINING_S
        first_s = before_s + answer.first_s
        if answer.status in REFUSED:
            self.counts["refused_for_good"] += 1
        elif answer.status in (0, OK) and not answer.is_whole:
            self.counts["overdue" if is_overdue else "cut"] += 1
            self.counts["cut_taken_late"] += is_late and not is_overdue
        elif answer.status == OK:
            self.counts["whole_in_time"] += took_s <= kind.limit_s
            self.counts["on_target"] += first_s <= kind.target_s
            self.first_s.append(first_s)
        else:
            self.counts[f"status_{answer.status}"] += 1

    async def send(
        self,
        kind: Kind,
        zone: str,
        name: str,
        tokens: int,
        left_s: float,
        tried: set[str],
        rng: random.Random,
    ) -> Answer:
        """Send a request on a kept connection, else on a new one to another node."""
        headers = {"Rosemaryknot-Deadline-Ms": str(int(1000 * left_s))}
        if tokens:
            headers |= {
                "Rosemaryknot-Model": "m",
                "Rosemaryknot-Token-Usage": f"300,{tokens}",
                "Rosemaryknot-Prefix-Hash": f"{rng.getrandbits(32):x}:300",
            }
        method = "POST" if tokens else "GET"
        caller = None if tried else self.take_kept(zone, rng)
        while True:
            is_kept = caller is not None
            try:
                caller = caller or await self.dial(zone, tried, rng)
                self.node_by_id[name] = self.system.name_of(caller.address)
                await caller.send(kind.path, method, name, **headers)
                answer = await caller.receive()
            except (OSError, trio.BrokenResourceError):
                answer = Answer()
            if answer.status or not is_kept:
                break
            caller = None
        if answer.is_whole and answer.headers.get("connection") != "close":
            caller.reuse()
            self.kept[zone].append((caller, trio.current_time()))
        return answer

    def take_kept(self, zone: str, rng: random.Random) -> Caller | None:
        """Return a kept connection of a zone's callers, or None."""
        if rng.random() >= KEPT_SHARE:
            return None
        while self.kept[zone]:
            caller, since_s = self.kept[zone].pop()
            if trio.current_time() - since_s < KEPT_S:
                return caller
        return None

    async def dial(self, zone: str, tried: set[str], rng: random.Random) -> Caller:
        """Connect to a node that the balancer gives, and to another if it is down."""
        while True:
            names = self.system.nodes_for(zone)
            fresh = [name for name in names if name not in tried]
            name = rng.choice(fresh or names)
            tried.add(name)
            try:
                return await self.system.caller(name).open()
            except ConnectionRefusedError:
                await trio.sleep(0.01)


async def replay(seed: int, way: str) -> dict[str, float]:
    """Play one seed one way and return its figures."""
    async with trio.open_nursery() as nursery:
        system = await start_deployment(nursery, seed, way)
        callers = Callers(system, random.Random(seed))
        async with trio.open_nursery() as callers_nursery:
            await callers.come(callers_nursery, trio.current_time() + WARM_UP_S)
        callers.counts.clear()
        callers.first_s.clear()
        async with trio.open_nursery() as callers_nursery:
            for _ in range(SERIES):
                nursery.start_soon(system.stop_in_turn)
                until_s = trio.current_time() + SERIES_S
                await callers.come(callers_nursery, until_s)
        nursery.cancel_scope.cancel()
    return figures_of(callers, system)


def figures_of(callers: Callers, system: Deployment) -> dict[str, float]:
    """Return shares of all requests, and times."""
    counts, first_s = callers.counts, sorted(callers.first_s)
    asked = counts.pop("asked")
    figures = {name: count / asked for name, count in counts.items()}
    figures["first_p95_s"] = first_s[int(0.95 * len(first_s))] if first_s else math.inf
    figures["down_s"] = system.down_s / (SERIES * STOPS)
    figures["asked"] = asked
    return figures


def means(runs: list[dict[str, float]]) -> dict[str, float]:
    """Return the mean of each figure over runs."""
    names = sorted({name for run in runs for name in run})
    return {n: round(sum(r.get(n, 0.0) for r in runs) / len(runs), 5) for n in names}


def measure(seeds: list[int], way: str, reserve_s: float) -> dict[str, float]:
    """Return a way's figures over seeds, at a reserve of the grace."""
    stop_module.SHUTDOWN_RESERVE_S = reserve_s
    with DecisionLog().recording():
        runs = [run_in_virtual_time(seed, replay, seed, way) for seed in seeds]
    found = means(runs)
    print(f"{way:20} reserve {reserve_s} s", flush=True)
    print("   ", {name: found.get(name, 0.0) for name in FIGURES}, flush=True)
    return found


def main() -> None:
    """Print the figures of each way, and a line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--ways", nargs="*", default=list(SHUTDOWN_ADMISSION_RULES))
    parser.add_argument("--reserves", action="store_true")
    options = parser.parse_args()
    seeds = list(range(options.first, options.first + options.seeds))
    reserve_s = stop_module.SHUTDOWN_RESERVE_S
    found = {way: measure(seeds, way, reserve_s) for way in options.ways}
    reserves = {}
    if options.reserves:
        for other_s in RESERVES_S:
            reserves[other_s] = measure(seeds, SHUTDOWN_ADMISSION_RULE, other_s)
    print(json.dumps({"ways": found, "reserves": reserves, "seeds": seeds}))


if __name__ == "__main__":
    main()
