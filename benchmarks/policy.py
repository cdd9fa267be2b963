"""Route policies on equal work: what fleet each needs to meet the latency target.

Run: ``python benchmarks/policy.py [--seeds N] [--mix NAME] [--half tune|report]``. For
each mix of requests and each policy it looks, by halving the range, for the fewest
engines at which every trace meets the target (first token and time between tokens for
95 in 100 model requests, nothing lost); the cost is that of these engines. Traces come
from seeds: even ones are for tuning, odd ones only for the report. Engines are slower
and smaller than real ones, so that a hundred requests load them. Two zones lose engines
by reclaim in each run. ``--resume FILE`` keeps the figures of each run there, and does
not make a run again that it holds. The last line of standard output is JSON.
"""

import argparse
import json
import sys
from collections import defaultdict
from dataclasses import asdict, dataclass, field
from pathlib import Path

from route_time import measure

import rosemaryknot.request.route_policies  # noqa: F401  (fills the registry)
from rosemaryknot.process.logs import configure_logs
from rosemaryknot.replay.figures import Figures
from rosemaryknot.replay.scenario_run import run_scenario
from rosemaryknot.replay.trace_generator import generate_trace
from rosemaryknot.replay.traces import traced_scenario

OURS = "estimated_time"
BASELINES = ("round_robin", "least_loaded", "prefix_only")
FEWEST, MOST = 2, 9
TARGET_SHARE = 0.95
TRACE_S = 20.0
MODEL = {"bluebonnet": "kit-assistant", "pawbridge": "brief-writer"}
PLAIN = {"bluebonnet": "dispatch-app", "pawbridge": "visit-notify"}
ZONES = {
    "bluebonnet": ("waco-a", "waco-b", "temple-c"),
    "pawbridge": ("dub-a", "dub-b", "dub-c"),
}
PRICES = (0.9, 1.1, 1.3)
SYSTEM = """scenario "policies on the {mix} mix"
seed {seed}
zones {zones} delay 0.5ms
engines step 25ms slots 2 cache 3000 tokens
servers {plain} 1 per zone
{groups}
at 6s   reclaim {model} in {first} with notice 3s
at 7s   start {model} in {first}
at 12s  reclaim {model} in {second} with notice 3s
at 13s  start {model} in {second}
by 60s  configuration 1 in force everywhere
"""


def say(text: str) -> None:
    """Show progress."""
    print(f"policy: {text}", file=sys.stderr, flush=True)


def system_text(mix: str, seed: int, engines: int) -> str:
    """Return a system with so many engines, in turn over the zones."""
    zones, model = ZONES[mix], MODEL[mix]
    counts = [engines // len(zones) + (n < engines % len(zones)) for n in range(3)]
    groups = [
        f"price of class g1 in {zone} is {price}"
        for zone, price in zip(zones, PRICES, strict=True)
    ]
    groups += [
        f"servers {model} {count} in {zone}"
        for zone, count in zip(zones, counts, strict=True)
        if count
    ]
    return SYSTEM.format(
        mix=mix,
        seed=seed,
        zones=" ".join(zones),
        plain=PLAIN[mix],
        model=model,
        groups="\n".join(groups),
        first=zones[0],
        second=zones[1],
    )


@dataclass(slots=True)
class Result:
    """What a policy did with a number of engines.

    Attributes
    ----------
    figures : list of Figures
        One for each trace that was run.
    """

    figures: list[Figures] = field(default_factory=list)

    @property
    def meets_target(self) -> bool:
        """Whether each trace met the target and lost nothing."""
        return all(
            f.in_target_share >= TARGET_SHARE and not f.lost for f in self.figures
        )

    def total(self, name: str) -> float:
        """Return the sum of a figure."""
        return sum(getattr(found, name) for found in self.figures)

    def mean(self, name: str) -> float:
        """Return the mean of a figure."""
        return round(self.total(name) / len(self.figures), 4)


class Kept:
    """Figures of runs, in a file where one is given.

    Parameters
    ----------
    path : pathlib.Path or None
        JSON lines.
    """

    def __init__(self, path: Path | None) -> None:
        self.path = path
        self.figures: dict[str, Figures] = {}
        if path is not None and path.exists():
            for line in path.read_text().splitlines():
                name, figures = json.loads(line)
                self.figures[name] = Figures(**figures)

    def add(self, name: str, figures: Figures) -> None:
        """Keep the figures of one run."""
        self.figures[name] = figures
        if self.path is not None:
            with self.path.open("a") as file:
                file.write(json.dumps([name, asdict(figures)]) + "\n")


class Mix:
    """Runs of one mix, each made once.

    Parameters
    ----------
    name : str
        Mix.
    seeds : list of int
        Seeds of its traces.
    kept : Kept
        Figures of runs that need not be made again.
    """

    def __init__(self, name: str, seeds: list[int], kept: Kept) -> None:
        self.name = name
        self.seeds = seeds
        self.kept = kept
        self.results: dict[tuple[str, int], Result] = defaultdict(Result)

    def run(self, policy: str, engines: int) -> Result:
        """Run the traces by a policy, up to the first that misses the target."""
        result = self.results[policy, engines]
        for seed in self.seeds[len(result.figures) :]:
            if not result.meets_target:
                break
            figures = self.one_run(policy, engines, seed)
            result.figures.append(figures)
            say(
                f"{self.name} seed {seed} {policy} with {engines} engines: "
                f"{figures.in_target_share:.2f} in target, "
                f"first token p95 {figures.first_token_p95_s:.2f} s, "
                f"{figures.prefill_tokens} prefilled, "
                f"{figures.recomputed_tokens} recomputed"
            )
        return result

    def one_run(self, policy: str, engines: int, seed: int) -> Figures:
        """Return the figures of one run, made now where they are not kept."""
        name = f"{self.name} {policy} {engines} {seed}"
        if name not in self.kept.figures:
            trace = generate_trace(self.name, seed, TRACE_S)
            text = system_text(self.name, seed, engines)
            report = run_scenario(traced_scenario(trace, text), route_policy=policy)
            self.kept.add(name, report.figures)
        return self.kept.figures[name]

    def fewest(self, policy: str) -> int | None:
        """Return the fewest engines that meet the target, by halving the range."""
        low, high = FEWEST, MOST + 1
        while low < high:
            middle = (low + high) // 2
            if middle > MOST or self.run(policy, middle).meets_target:
                high = middle
            else:
                low = middle + 1
            if low > MOST:
                return None
        return low if self.run(policy, low).meets_target else None

    def figures(self) -> dict:
        """Return the figures of the mix."""
        fewest = {policy: self.fewest(policy) for policy in (OURS, *BASELINES)}
        costs = {
            policy: round(self.run(policy, engines).total("cost"), 5)
            for policy, engines in fewest.items()
            if engines is not None
        }
        baselines = {p: costs[p] for p in BASELINES if p in costs}
        found = {"fewest_engines": fewest, "cost": costs, "seeds": self.seeds}
        if OURS not in costs or not baselines:
            return found
        best = min(baselines, key=baselines.get)
        ours = self.run(OURS, fewest[OURS])
        return {
            "cost_ratio_vs_best_baseline": round(costs[OURS] / baselines[best], 3),
            "best_baseline": best,
            "in_target_share": ours.mean("in_target_share"),
            "lost": int(ours.total("lost")),
            "not_run_share": ours.mean("not_run_share"),
            **self.at_equal_fleet(max(fewest[OURS], fewest[best])),
            **found,
        }

    def at_equal_fleet(self, engines: int) -> dict:
        """Return recomputed and prefill tokens on one fleet.

        A policy that misses the target is left out: its other traces were not run.
        """
        results = {p: self.run(p, engines) for p in (OURS, *BASELINES)}
        results = {p: r for p, r in results.items() if r.meets_target}
        baselines = [p for p in BASELINES if p in results]
        recomputed = {p: int(r.total("recomputed_tokens")) for p, r in results.items()}
        prefill = {p: int(r.total("prefill_tokens")) for p, r in results.items()}
        figures = {
            "equal_fleet_engines": engines,
            "recomputed_tokens": recomputed,
            "prefill_tokens": prefill,
        }
        least = min((recomputed[p] for p in baselines), default=0)
        if least and OURS in results:
            ratio = round(recomputed[OURS] / least, 3)
            figures["recomputed_ratio_vs_best_baseline"] = ratio
        return figures


def main() -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--mix", choices=sorted(ZONES), action="append")
    parser.add_argument("--half", choices=("tune", "report"), default="report")
    parser.add_argument("--resume", type=Path)
    options = parser.parse_args()
    configure_logs("text", "error")
    odd = options.half == "report"
    seeds = [seed for seed in range(options.seeds) if seed % 2 == odd]
    if not seeds:
        say("no seed of this half: give more --seeds")
        return 1
    mixes = options.mix or sorted(ZONES)
    kept = Kept(options.resume)
    figures = {name: Mix(name, seeds, kept).figures() for name in mixes}
    line = {"half": options.half, **figures, "route_choice": measure()}
    print(json.dumps(line))
    measured = all("cost_ratio_vs_best_baseline" in figures[name] for name in mixes)
    return 0 if measured else 1


if __name__ == "__main__":
    sys.exit(main())
