"""Cost and reach of at-most-once execution: one object an id against owned shards.

Run: ``python benchmarks/claims.py --help`` lists the options. The whole system runs
in virtual time over the stand-ins, so latencies are those of links and store alone.
The last line of standard output is JSON.
"""

import argparse
import json
import random
import sys
from collections import Counter

import httpx
import trio
from trio.testing import MockClock

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.process.logs import configure_logs
from rosemaryknot.replay.system import System, SystemPlan
from rosemaryknot.standin.platform_faults import OUTAGE_REFUSE
from rosemaryknot.version.keys import new_key

ZONES = ["waco-a", "waco-b", "temple-c"]
FORMS = ["objects", "shards"]
STOCK = "stock"
WARM_UP_S = 20.0
OUTAGE_S = 120.0


def say(text: str) -> None:
    """Show progress."""
    print(f"claims: {text}", file=sys.stderr, flush=True)


def document_of(keys: dict) -> dict:
    """Return the configuration: a service for each form, one without claims."""
    services = {
        name: {
            "kind": "plain",
            "timeout_s": 10,
            "idempotent": [{"method": "POST", "path": "/"}] if name == STOCK else [],
            "at_most_once": {
                "form": name if name in FORMS else "shards",
                "answer_horizon_s": 600,
            },
        }
        for name in [*FORMS, STOCK]
    }
    return {"services": services, "customers": {"estimator-1": {}}, "keys": keys}


def percentile(values: list[float], share: float) -> float:
    """Return a percentile in milliseconds."""
    ordered = sorted(values)
    return round(1000 * ordered[int(share * (len(ordered) - 1))], 3)


class ClaimsBench:
    """One measurement.

    Parameters
    ----------
    options : argparse.Namespace
        Bookings, store delay, zone delay and seed.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.rng = random.Random(options.seed)
        self.api_key, keys = new_key("estimator-1")
        self.plan = SystemPlan(
            document_of(keys),
            ZONES,
            nodes_per_zone=2,
            servers={name: 1 for name in [*FORMS, STOCK]},
            kinds={name: "plain" for name in [*FORMS, STOCK]},
            delay_s=options.zone_delay_ms / 1000,
            seed=options.seed,
        )
        self.sent = 0
        self.figures: dict = {}

    def entries(self, zones: list[str]) -> list[str]:
        """Return the callers' addresses of the entries of some zones."""
        return [
            str(node.settings.listen.callers)
            for node in self.system.nodes.values()
            if node.settings.zone in zones
        ]

    async def book(
        self, client: httpx.AsyncClient, service: str, zones: list[str], hint: str = ""
    ) -> tuple[str, float]:
        """Send one booking; return its outcome and its latency in seconds."""
        self.sent += 1
        entry = self.rng.choice(self.entries(zones))
        headers = {
            "Authorization": f"Bearer {self.api_key}",
            "Idempotency-Key": f"{hint}bench-{self.sent}",
            "Rosemaryknot-Attempt": "1",
        }
        started_s = trio.current_time()
        response = await client.post(
            f"http://{entry}/services/{service}/bookings", headers=headers, json={}
        )
        outcome = "answered"
        if response.status_code >= 400:
            outcome = f"{response.json()['outcome']} {response.json().get('reason')}"
        return outcome, trio.current_time() - started_s

    async def measure_cost(self, client: httpx.AsyncClient) -> None:
        """Measure store calls and latency of each form, and without claims."""
        latencies: dict[str, list[float]] = {}
        for name in [STOCK, *FORMS]:
            calls = self.store_calls()
            found = [
                await self.book(client, name, ZONES)
                for _ in range(self.options.bookings)
            ]
            done = sum(outcome == "answered" for outcome, _ in found)
            latencies[name] = [latency_s for _, latency_s in found]
            # Results are written after the answer.
            await trio.sleep(5)
            say(f"{name}: {done} of {len(found)} answered")
            if name in FORMS:
                made = self.store_calls() - calls
                self.figures[name] = {
                    "answered": done / len(found),
                    "store_calls_per_booking": round(made / len(found), 4),
                }
        for name in FORMS:
            for label, share in (("p50", 0.5), ("p99", 0.99)):
                added = percentile(latencies[name], share) - percentile(
                    latencies[STOCK], share
                )
                self.figures[name][f"added_{label}_ms"] = round(added, 3)

    def store_calls(self) -> int:
        """Return the calls that both forms made to the store, background included."""
        return self.calls["claims"] + self.calls["shards"]

    async def measure_reach(
        self, client: httpx.AsyncClient, label: str, zones: list[str], hint: str = ""
    ) -> None:
        """Measure what share of bookings each form completes under a fault."""
        for name in FORMS:
            outcomes: Counter[str] = Counter()
            for _ in range(self.options.bookings // 4):
                outcome, _ = await self.book(client, name, zones, hint)
                outcomes[outcome] += 1
            total = sum(outcomes.values())
            self.figures[name][label] = round(outcomes["answered"] / total, 4)
            say(f"{label}, {name}: {dict(outcomes)}")

    def count_calls(self) -> None:
        """Count the calls of the platform's objects by kind."""
        self.calls: Counter[str] = Counter()
        views = self.system.platform.app.view_functions

        def counted(view):
            async def count(kind: str, name: str):
                self.calls[kind] += 1
                return await view(kind, name)

            return count

        for name in ("read", "write"):
            views[name] = counted(views[name])

    async def run(self) -> None:
        """Measure cost, then reach in a store outage and in a partition."""
        async with trio.open_nursery() as nursery:
            self.system = System(self.plan, nursery)
            self.count_calls()
            await self.system.start()
            faults = self.system.platform.faults
            faults.slow_s = self.options.store_ms / 1000
            await trio.sleep(WARM_UP_S)
            async with http_client(self.system.callers, 30.0) as client:
                await self.measure_cost(client)
                faults.outage = OUTAGE_REFUSE
                await trio.sleep(OUTAGE_S)
                await self.measure_reach(client, "done_in_outage", ZONES)
                faults.outage = ""
                await trio.sleep(WARM_UP_S)
                self.system.partition_zone(ZONES[0])
                await trio.sleep(WARM_UP_S)
                hint = f"zone:{ZONES[0]}/"
                await self.measure_reach(client, "done_in_cut_zone", ZONES[:1])
                await self.measure_reach(
                    client, "done_in_cut_zone_with_hint", ZONES[:1], hint
                )
                await self.measure_reach(client, "done_outside_cut_zone", ZONES[1:])
            self.system.dispose()
            nursery.cancel_scope.cancel()


def main() -> None:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bookings", type=int, default=400)
    parser.add_argument("--store-ms", type=float, default=5.0)
    parser.add_argument("--zone-delay-ms", type=float, default=0.5)
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    configure_logs(level="error")
    bench = ClaimsBench(options)
    trio.run(bench.run, clock=MockClock(autojump_threshold=0))
    print(json.dumps(bench.figures | {"options": vars(options)}))
    sys.exit(0 if all(name in bench.figures for name in FORMS) else 1)


if __name__ == "__main__":
    main()
