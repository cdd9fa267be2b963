"""How well customers' limits hold over all instances, and what a flood does to others.

Run: ``python benchmarks/limits.py [--seed N] [--part PART]``. The whole
system runs in virtual time over the stand-ins. Over- and under-admission are shares of
what the limit allows in the measured time: 0.02 over is 2 % more. The last line of
standard output is JSON.
"""

import argparse
import json
import math
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import httpx
import numpy as np
import trio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.process.limits.shares import LimitKey, owner_of
from rosemaryknot.process.logs import configure_logs
from rosemaryknot.replay.caller_records import ModelRecord
from rosemaryknot.replay.callers import Caller
from rosemaryknot.replay.system import System, SystemPlan
from rosemaryknot.replay.virtual_time import run_in_virtual_time
from rosemaryknot.values.nodes import Node
from rosemaryknot.version.keys import new_key

__all__ = ["measure_admission", "measure_flood", "measure_limits"]

ZONES = ["waco-a", "waco-b", "temple-c"]
MODEL = "kit-assistant"
CUSTOMER = "estimator-1"
SMALL = ("framer-1", "framer-2", "framer-3")
STEP_S = 0.003
WARM_UP_S = 10.0
MEASURED_S = 60.0
TOKENS_PER_MINUTE = 30_000
ANSWER_TOKENS = 16
OFFERED = 2.0
LARGE_TOKENS = 400
LARGE_OFFERED = 1 / 3
LARGE_WAIT_S = 10.0
PATIENCE_S = 40.0

FLOOD_S = 6.0
FLOOD_SLOTS = 8
SMALL_RATE = 8.0
LARGE_RATE = 12.0
FLOOD_FACTOR = 10


def say(text: str) -> None:
    """Show progress."""
    print(f"limits: {text}", file=sys.stderr, flush=True)


@dataclass(slots=True)
class Offered:
    """What a customer's program sent and got.

    Attributes
    ----------
    notes : list of ModelRecord
        Its requests.
    sent_s : list of float
        When each was sent, in virtual seconds.
    """

    notes: list[ModelRecord] = field(default_factory=list)
    sent_s: list[float] = field(default_factory=list)

    def used_tokens(self, prompt_tokens: float, from_s: float, to_s: float) -> float:
        """Return the tokens of the requests accepted in a time."""
        return sum(
            prompt_tokens + len(note.tokens)
            for note in self.notes
            if note.accepted_s and from_s <= note.accepted_s < to_s
        )


def new_plan(
    seed: int, customers: dict[str, dict], engine_slots: int = 64
) -> tuple[SystemPlan, dict[str, str]]:
    """Return what a run starts with, and the key of each customer."""
    api_keys, keys = {}, {}
    for name in customers:
        api_keys[name], stored = new_key(name)
        keys |= stored
    service = {
        "kind": "model",
        "step_time_ms": STEP_S * 1000,
        "max_tokens": 4096,
        "timeout_s": 60,
    }
    document = {
        "services": {MODEL: service},
        "placements": {MODEL: {zone: {"count": 1} for zone in ZONES}},
        "customers": customers,
        "keys": keys,
    }
    plan = SystemPlan(
        document,
        ZONES,
        nodes_per_zone=2,
        servers={MODEL: 1},
        kinds={MODEL: "model"},
        seed=seed,
    )
    plan.engine.step_time_s = STEP_S
    plan.engine.slots = engine_slots
    return plan, api_keys


class Load:
    """Programs of customers that send at a rate, whatever they are answered.

    Parameters
    ----------
    system : System
        Where they send to.
    client : httpx.AsyncClient
        Their connections.
    api_keys : dict of str to str
        Their keys.
    rng : random.Random
        Gives the times.
    nursery : trio.Nursery
        Where the requests run.
    """

    def __init__(
        self,
        system: System,
        client: httpx.AsyncClient,
        api_keys: dict[str, str],
        rng: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        self.system = system
        self.client = client
        self.api_keys = api_keys
        self.rng = rng
        self.nursery = nursery
        self.sent = 0

    def entries(self, zones: list[str], count: int = 0) -> list[str]:
        """Return the callers' addresses of some entries that live."""
        addresses = [
            str(node.settings.listen.callers)
            for node in self.system.nodes.values()
            if node.settings.zone in zones and not node.entry.is_dead
        ]
        return addresses[:count] if count else addresses

    async def send(
        self,
        customer: str,
        rate: float,
        seconds: float,
        tokens: int,
        entries: list[str],
    ) -> Offered:
        """Send requests at random times for a while."""
        offered = Offered()
        caller = Caller(self.client, self.api_keys[customer], list(entries), self.rng)
        end_s = trio.current_time() + seconds
        while trio.current_time() < end_s:
            self.sent += 1
            prompt = f"beam span {self.sent} " + "timber " * 8
            note = ModelRecord(prompt, tokens)
            offered.notes.append(note)
            offered.sent_s.append(trio.current_time())
            self.nursery.start_soon(caller.ask, note, MODEL, PATIENCE_S)
            await trio.sleep(self.rng.expovariate(rate))
        return offered


@dataclass(slots=True)
class Admission:
    """Admitted tokens against the limit.

    Attributes
    ----------
    over, under : float
        Shares of the limit admitted beyond it, and not admitted of it.
    """

    over: float
    under: float


def admission_of(used: float, seconds: float, limit: float) -> Admission:
    """Return the shares of what a limit allows in a time."""
    ratio = used / (limit / 60 * seconds)
    return Admission(round(max(0.0, ratio - 1), 4), round(max(0.0, 1 - ratio), 4))


def prompt_tokens(system: System) -> float:
    """Return the mean prompt as the engines count it."""
    counts = [
        entry.prompt_tokens
        for server in system.servers.values()
        for entry in server.standin.batch.ledger
    ]
    return sum(counts) / max(1, len(counts))


async def measure_case(seed: int, case: str) -> Admission:
    """Measure one case: steady, burst, large, instance_lost or zone_cut.

    Large requests are offered at a part of the limit; what is not admitted counts
    against what was offered.
    """
    is_large = case == "large"
    share = LARGE_OFFERED if is_large else OFFERED
    tokens = LARGE_TOKENS if is_large else ANSWER_TOKENS
    limit = {"tokens_per_minute": TOKENS_PER_MINUTE}
    plan, api_keys = new_plan(seed, {CUSTOMER: {"limits": {MODEL: limit}}})
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        system = System(plan, nursery)
        await system.start()
        await trio.sleep(WARM_UP_S)
        async with (
            http_client(system.callers, None) as client,
            trio.open_nursery() as requests,
        ):
            load = Load(system, client, api_keys, rng, requests)
            size = tokens + 20
            rate = share * TOKENS_PER_MINUTE / 60 / size
            entries = load.entries(ZONES, 1 if case == "burst" else 0)
            start_fault(system, case, nursery)
            if case == "instance_lost":
                lost = system.nodes[owner_name(system, ZONES[0])]
                entries.remove(str(lost.settings.listen.callers))
            start_s = trio.current_time()
            offered = await load.send(CUSTOMER, rate, MEASURED_S, tokens, entries)
            end_s = trio.current_time()
            await trio.sleep(LARGE_WAIT_S if is_large else 3.0)
            requests.cancel_scope.cancel()
        used = offered.used_tokens(prompt_tokens(system), start_s, end_s)
        system.dispose()
        nursery.cancel_scope.cancel()
    if is_large:
        admitted = sum(note.accepted_s > 0 for note in offered.notes)
        return Admission(0.0, round(1 - admitted / len(offered.notes), 4))
    return admission_of(used, end_s - start_s, TOKENS_PER_MINUTE)


def owner_name(system: System, zone: str) -> str:
    """Return the node that grants the customer's budget in a zone."""
    nodes = [
        Node(name, zone, 0)
        for name, node in system.nodes.items()
        if node.settings.zone == zone
    ]
    return owner_of(LimitKey(CUSTOMER, MODEL), nodes).name


def start_fault(system: System, case: str, nursery: trio.Nursery) -> None:
    """Let the fault of a case happen while the load runs."""

    async def later(act: Callable[[], None]) -> None:
        await trio.sleep(MEASURED_S / 4)
        act()

    if case == "instance_lost":
        name = owner_name(system, ZONES[0])
        nursery.start_soon(later, lambda: system.kill_node(name))
    elif case == "zone_cut":
        nursery.start_soon(later, lambda: system.partition_zone(ZONES[-1]))


async def measure_first_tokens(seed: int, with_flood: bool) -> tuple[list, int]:
    """Return the small customers' times to the first token, and their refusals.

    The large customer sends at its usual rate, or ten times as much; both fit no
    engine's slots in the second case. Nothing limits it.
    """
    plan, api_keys = new_plan(
        seed, {name: {} for name in (CUSTOMER, *SMALL)}, FLOOD_SLOTS
    )
    rng = random.Random(seed)
    offered: dict[str, Offered] = {}
    async with trio.open_nursery() as nursery:
        system = System(plan, nursery)
        await system.start()
        await trio.sleep(WARM_UP_S)
        async with (
            http_client(system.callers, None) as client,
            trio.open_nursery() as requests,
        ):
            load = Load(system, client, api_keys, rng, requests)

            async def send(name: str, rate: float, tokens: int) -> None:
                entries = load.entries(ZONES)
                offered[name] = await load.send(name, rate, FLOOD_S, tokens, entries)

            large_rate = LARGE_RATE * (FLOOD_FACTOR if with_flood else 1)
            async with trio.open_nursery() as senders:
                senders.start_soon(send, CUSTOMER, large_rate, 200)
                for name in SMALL:
                    senders.start_soon(send, name, SMALL_RATE, 64)
            await trio.sleep(3.0)
            requests.cancel_scope.cancel()
        system.dispose()
        nursery.cancel_scope.cancel()
    times = [
        note.first_token_s - sent_s if note.first_token_s else math.nan
        for name in SMALL
        for note, sent_s in zip(offered[name].notes, offered[name].sent_s, strict=True)
    ]
    seen = [time_s for time_s in times if not math.isnan(time_s)]
    return seen, len(times) - len(seen)


def measure_flood(seed: int) -> dict:
    """Return the small customers' p95 with and without the flood.

    Parameters
    ----------
    seed : int
        Of the load and of all processes.

    Returns
    -------
    figures : dict
        Times in seconds, their ratio, and requests without a first token.
    """
    alone, alone_lost = run_in_virtual_time(seed, measure_first_tokens, seed, False)
    flooded, flooded_lost = run_in_virtual_time(seed, measure_first_tokens, seed, True)
    p95_alone, p95_flood = np.quantile(alone, 0.95), np.quantile(flooded, 0.95)
    return {
        "first_token_p95_s": round(float(p95_alone), 5),
        "first_token_p95_flood_s": round(float(p95_flood), 5),
        "flood_p95_ratio": round(float(p95_flood / p95_alone), 3),
        "small_without_token": alone_lost,
        "small_without_token_flood": flooded_lost,
        "small_requests": len(flooded) + flooded_lost,
    }


CASES = ("steady", "burst", "instance_lost", "zone_cut")


def measure_admission(seed: int) -> dict:
    """Return over- and under-admission by case.

    Parameters
    ----------
    seed : int
        Of the load and of all processes.

    Returns
    -------
    figures : dict
        Shares of the limit, and the worst over-admission without and with a fault.
    """
    over, under = {}, {}
    for case in CASES:
        result = run_in_virtual_time(seed, measure_case, seed, case)
        over[case], under[case] = result.over, result.under
        say(f"{case}: {over[case]:.4f} over, {under[case]:.4f} under")
    return {
        "over_admission": max(over["steady"], over["burst"]),
        "over_admission_partition": max(over["zone_cut"], over["instance_lost"]),
        "over_admission_by_case": over,
        "under_admission_by_case": under,
    }


def measure_large(seed: int) -> dict:
    """Return the share of large requests, at a third of the limit, that is refused.

    Parameters
    ----------
    seed : int
        Of the load and of all processes.

    Returns
    -------
    figures : dict
        Share of the requests offered.
    """
    refused = run_in_virtual_time(seed, measure_case, seed, "large").under
    say(f"large: {refused:.4f} refused")
    return {"large_refused": refused}


PARTS = {"admission": measure_admission, "large": measure_large, "flood": measure_flood}


def measure_limits(seed: int) -> dict:
    """Return all figures of the limits.

    Parameters
    ----------
    seed : int
        Of the load and of all processes.

    Returns
    -------
    figures : dict
        Those of `measure_admission` and of `measure_flood`.
    """
    return {
        name: value for part in PARTS.values() for name, value in part(seed).items()
    }


def main() -> None:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--part", choices=[*PARTS], help="only this part")
    arguments = parser.parse_args()
    configure_logs(level="error")
    started_s = time.monotonic()
    figures = PARTS.get(arguments.part, measure_limits)(arguments.seed)
    say(f"took {time.monotonic() - started_s:.0f} s")
    print(json.dumps(figures, allow_nan=False))


if __name__ == "__main__":
    main()
