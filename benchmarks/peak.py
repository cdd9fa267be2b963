"""Admission, waiting and placement at the worst load, without network.

First seven gateways that tell each other everything, then 91 that know of each other
by the sums of hubs, on 56 engines and on 32, then nine whose engines read prompts
between the tokens of answers, which pause meanwhile.
"""

import json
import sys
from dataclasses import replace

from rosemaryknot.standin import peak
from rosemaryknot.standin.peak import play_peak
from rosemaryknot.standin.peak_load import (
    LARGE,
    LOADS,
    PAUSING,
    SMALL,
    Deployment,
    Load,
    Way,
)

WAYS = {
    "any server": Way("all", "any_server"),
    "least busy": Way("all", "least_busy"),
    "unread tokens": Way("all", "unread_tokens"),
    "held back here": Way("in_time", "unread_tokens", holds=True),
    "refuse hopeless": Way("in_time", "unread_tokens"),
    "refuse by rank": Way("by_rank", "unread_tokens"),
}
BEFORE = "unread tokens"
AFTER = "refuse by rank"
LARGE_ENGINES = (56, 32)
LARGE_LENGTH_S = 10.0
LARGE_WAYS = {
    "all compared": Way("by_rank", "unread_tokens"),
    "three drawn": Way("by_rank", "unread_tokens_of_3"),
    "two drawn": Way("by_rank", "unread_tokens_of_drawn"),
    "two and most kept": Way("by_rank", "unread_tokens_of_2_and_kept"),
    "one drawn": Way("by_rank", "any_server"),
    "all, each 100 ms": Way("by_rank", "unread_tokens", report_s=0.1),
    "two, each 100 ms": Way("by_rank", "unread_tokens_of_drawn", report_s=0.1),
}
PAUSING_SERVERS = (4, 5, 7, 9)
PAUSING_LOAD = Load(strength=1.4, until_s=28.0)
PAUSING_WAYS = {
    "what waits": Way("by_rank", "unread_tokens_alone"),
    "and what runs": Way("by_rank", "unread_tokens_beside_few"),
    "servers for long": Way("by_rank", "unread_tokens"),
    "nothing refused": Way("all", "unread_tokens"),
    "least busy": Way("by_rank", "least_busy"),
}


def measure(
    way: Way, load: Load, seeds: list[int], deployment: Deployment = SMALL
) -> dict[str, float]:
    """Return the means of a way's figures over seeds."""
    runs = [play_peak(way, load, seed, deployment).figures() for seed in seeds]
    return {name: round(sum(r[name] for r in runs) / len(runs), 3) for name in runs[0]}


def main() -> None:
    """Print a table a load, and a line of JSON."""
    seeds = [int(arg) for arg in sys.argv[1:]] or [1, 2, 3]
    summary = {}
    for load_name, load in LOADS.items():
        print(load_name)
        figures = {}
        for name, way in WAYS.items():
            figures[name] = measure(way, load, seeds)
            print(f"  {name:16}", figures[name], flush=True)
        summary[load_name] = {"before": figures[BEFORE], "after": figures[AFTER]}
    print(json.dumps({**summary, "seeds": seeds}))
    show_large(seeds)
    show_pausing(seeds)


def show_large(seeds: list[int]) -> None:
    """Print how ways of placement do at the large deployment."""
    peak.LENGTH_S = LARGE_LENGTH_S
    for engines in LARGE_ENGINES:
        deployment = replace(LARGE, servers=engines)
        away = engines // 4
        loads = {
            "peak": Load(),
            "reclaimed": Load(1.1, away, from_s=3.0, until_s=7.0),
            "flooded": Load(1.6, away, from_s=3.0, until_s=7.0),
        }
        for load_name, load in loads.items():
            print(f"{engines} engines, {load_name}")
            for name, way in LARGE_WAYS.items():
                figures = measure(way, load, seeds, deployment)
                print(f"  {name:18}", figures, flush=True)


def show_pausing(seeds: list[int]) -> None:
    """Print how ways of placement do where long prompts make answers pause."""
    for servers in PAUSING_SERVERS:
        print(f"{servers} engines that read between tokens")
        for name, way in PAUSING_WAYS.items():
            deployment = replace(PAUSING, servers=servers)
            figures = measure(way, PAUSING_LOAD, seeds, deployment)
            print(f"  {name:18}", figures, flush=True)


if __name__ == "__main__":
    main()
