"""What reclaim waves and at-most-once execution cost, in virtual time.

Run: ``python benchmarks/recovery.py [--seeds N]``. Each part compares ways of doing
the same work on the same seed in the same run. Times are of the network and the
platform alone: virtual time knows no processor time. The last line of standard output
is JSON.
"""

import argparse
import json
import random
import sys
from dataclasses import dataclass

import trio
from claims import ClaimsBench

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.process.logs import configure_logs
from rosemaryknot.replay.audit import audit_model
from rosemaryknot.replay.caller_records import ModelRecord
from rosemaryknot.replay.callers import Caller
from rosemaryknot.replay.system import System, SystemPlan
from rosemaryknot.replay.virtual_time import run_in_virtual_time
from rosemaryknot.standin.engine import EngineStandIn
from rosemaryknot.standin.ledger import recomputed_tokens
from rosemaryknot.version.keys import new_key

ZONES = ["waco-a", "waco-b", "temple-c"]
MODEL = "kit-assistant"
CUSTOMER = "estimator-1"
WARM_UP_S = 5.0
STEP_S = 0.004
NOTICE_S, WAVE_GAP_S, WAVES, RESTART_S = 3.0, 5.0, 3, 1.0
REQUESTS, SPREAD_S, PATIENCE_S = 36, 14.0, 90.0
BOOKINGS, STORE_MS, ZONE_DELAY_MS = 400, 5.0, 0.5
POLICIES = ("planned_moves", "always_resume", "always_restart")


def say(text: str) -> None:
    """Show progress."""
    print(f"recovery: {text}", file=sys.stderr, flush=True)


@dataclass(slots=True)
class WaveResult:
    """What one policy did on one seed.

    Attributes
    ----------
    recomputed, lost, answered : int
        Recomputed tokens by the engines' ledgers, and requests.
    """

    recomputed: int = 0
    lost: int = 0
    answered: int = 0


def new_plan(seed: int, move_policy: str = "planned_moves") -> tuple[SystemPlan, str]:
    """Return what a run starts with, and the caller's key."""
    api_key, keys = new_key(CUSTOMER)
    services = {
        MODEL: {
            "kind": "model",
            "step_time_ms": STEP_S * 1000,
            "max_tokens": 8192,
            "timeout_s": 300,
            "moves_kv": True,
        }
    }
    document = {"services": services, "customers": {CUSTOMER: {}}, "keys": keys}
    plan = SystemPlan(
        document,
        ZONES,
        nodes_per_zone=1,
        servers={MODEL: 2},
        kinds={MODEL: "model"},
        seed=seed,
        move_policy=move_policy,
    )
    plan.engine.step_time_s = STEP_S
    return plan, api_key


# Reclaim waves


async def reclaim_waves(system: System) -> None:
    """Reclaim one zone's engines after the other; new ones come a little later."""
    for wave in range(WAVES):
        await trio.sleep(WAVE_GAP_S)
        zone = ZONES[wave % len(ZONES)]
        gone = [
            server.listed
            for server in system.servers.values()
            if server.listed.zone == zone
            and server.listed.service == MODEL
            and not server.host.is_dead
        ]
        for listed in gone:
            system.platform.reclaim(listed.instance, NOTICE_S)
        await trio.sleep(RESTART_S)
        for _ in gone:
            await system.start_server(MODEL, zone)


async def run_waves(seed: int, move_policy: str) -> WaveResult:
    """Run the wave trace of a seed under a move policy."""
    plan, api_key = new_plan(seed, move_policy)
    rng = random.Random(seed)
    result = WaveResult()
    notes: list[ModelRecord] = []
    async with trio.open_nursery() as nursery:
        system = System(plan, nursery)
        await system.start()
        await trio.sleep(WARM_UP_S)
        entries = [str(n.settings.listen.callers) for n in system.nodes.values()]
        async with http_client(system.callers, None) as client:
            async with trio.open_nursery() as work:
                work.start_soon(reclaim_waves, system)
                for number in range(REQUESTS):
                    words = " ".join(["oak"] * rng.randint(50, 1500))
                    note = ModelRecord(
                        f"set {seed} {number} {words}", rng.randint(200, 3000)
                    )
                    notes.append(note)
                    caller = Caller(client, api_key, entries, random.Random(number))
                    work.start_soon(
                        later, rng.uniform(0, SPREAD_S), caller.ask, note, MODEL
                    )
        result.answered = sum(note.outcome == "answered" for note in notes)
        broken = [v for note in notes for v in audit_model(note, lambda note: False)]
        result.lost = len({violation.subject for violation in broken})
        result.lost += sum(not note.id for note in notes)
        result.recomputed = recomputed_tokens(
            entry
            for server in system.servers.values()
            if isinstance(server.standin, EngineStandIn)
            for entry in server.standin.batch.ledger
        )
        system.dispose()
        nursery.cancel_scope.cancel()
    return result


async def later(wait_s: float, ask, note: ModelRecord, service: str) -> None:
    """Ask after a wait."""
    await trio.sleep(wait_s)
    await ask(note, service, PATIENCE_S)


# Bookings


def measure_bookings() -> dict:
    """Return the figures of both forms of at-most-once execution."""
    options = argparse.Namespace(
        bookings=BOOKINGS, store_ms=STORE_MS, zone_delay_ms=ZONE_DELAY_MS, seed=0
    )
    bench = ClaimsBench(options)
    run_in_virtual_time(0, bench.run)
    return bench.figures


def main() -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    configure_logs("text", "error")
    totals = {policy: WaveResult() for policy in POLICIES}
    for seed in range(options.seeds):
        for policy in POLICIES:
            result = run_in_virtual_time(seed, run_waves, seed, policy)
            totals[policy].recomputed += result.recomputed
            totals[policy].lost += result.lost
            totals[policy].answered += result.answered
            say(
                f"seed {seed} {policy}: {result.recomputed} tokens recomputed, "
                f"{result.lost} lost, {result.answered} answered"
            )
    bookings = measure_bookings()
    ours, resume, restart = (totals[policy] for policy in POLICIES)
    if not restart.recomputed or not resume.recomputed:
        say("the waves hit no stream: nothing was measured")
        return 1
    figures = {
        "recomputed_ratio_vs_restart": round(ours.recomputed / restart.recomputed, 3),
        "recomputed_ratio_vs_resume": round(ours.recomputed / resume.recomputed, 3),
        "recomputed_tokens": {p: totals[p].recomputed for p in POLICIES},
        "lost": ours.lost,
        "lost_by_policy": {p: totals[p].lost for p in POLICIES},
        "answered": ours.answered,
        "store_calls_per_booking": bookings["shards"]["store_calls_per_booking"],
        "bookings_done_in_outage": bookings["shards"]["done_in_outage"],
        "bookings": bookings,
        "seeds": options.seeds,
    }
    print(json.dumps(figures))
    return 1 if ours.lost else 0


if __name__ == "__main__":
    sys.exit(main())
