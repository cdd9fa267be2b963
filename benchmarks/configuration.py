"""Time from acceptance of a patch to in force everywhere, and what a change costs.

Run: ``PYTHONPATH=src python -m benchmarks.configuration --nodes 7``. The agents' real
configuration, peers and platform client run over the platform stand-in in virtual
time, so processor time is not in the latencies. The last line of standard output is
JSON.
"""

import argparse
import json
import random
import sys
import time

import trio
from tests.process.configuration_fleet import PLATFORM, Agent, Region, run_region

from rosemaryknot.process.logs import configure_logs
from rosemaryknot.values.platform import Listed

ZONE_DELAY_S = 0.0005
PLATFORM_DELAY_S = 0.002
SETTLE_S = 5.0
BETWEEN_S = 2.0
CUT_S = 20.0
KINDS = ("configuration_offer", "configuration_fetch", "configuration_push")


def say(text: str) -> None:
    """Show progress."""
    print(f"configuration: {text}", file=sys.stderr, flush=True)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile, rounded to tenths of a millisecond."""
    ordered = sorted(values)
    return round(ordered[int(share * (len(ordered) - 1))], 4)


def set_delays(region: Region) -> None:
    """Put the delays of a region on its links."""
    for one in region.agents:
        region.network.delays_s[frozenset((one.ip, PLATFORM.host))] = PLATFORM_DELAY_S
        for other in region.agents:
            if one.zone != other.zone:
                region.network.delays_s[frozenset((one.ip, other.ip))] = ZONE_DELAY_S


def spread_bytes(region: Region) -> int:
    """Return the bytes that all agents sent about the configuration."""
    return sum(
        agent.peers.traffic.sent[kind].bytes
        for agent in region.agents
        for kind in KINDS
        if kind in agent.peers.traffic.sent
    )


async def change_once(region: Region, agent: Agent) -> list[float]:
    """Submit one patch; return the seconds until it is in force at each agent."""
    base = agent.holder.number
    await agent.submit(base, 3 + base % 2)
    accepted_s = trio.current_time()
    await region.wait_active(base + 1)
    await trio.sleep(BETWEEN_S)
    return [
        time_s - accepted_s
        for other in region.agents
        for time_s, number in other.seen
        if number == base + 1
    ]


async def measure_changes(region: Region, changes: int, seed: int) -> dict:
    """Measure changes through random agents in steady state."""
    rng = random.Random(seed)
    await trio.sleep(SETTLE_S)
    calls, sent = sum(region.standin.calls.values()), spread_bytes(region)
    await trio.sleep(SETTLE_S)
    idle_calls = (sum(region.standin.calls.values()) - calls) / SETTLE_S
    idle_bytes = (spread_bytes(region) - sent) / SETTLE_S
    calls, sent = sum(region.standin.calls.values()), spread_bytes(region)
    start_s = trio.current_time()
    times = []
    for _ in range(changes):
        times += await change_once(region, rng.choice(region.agents))
    took_s = trio.current_time() - start_s
    calls = sum(region.standin.calls.values()) - calls - idle_calls * took_s
    sent = spread_bytes(region) - sent - idle_bytes * took_s
    return {
        "in_force_p50_s": percentile(times, 0.5),
        "in_force_p99_s": percentile(times, 0.99),
        "in_force_max_s": percentile(times, 1.0),
        "platform_calls_per_change": round(calls / changes, 2),
        "link_bytes_per_change": round(sent / changes),
        "idle_platform_calls_per_s": round(idle_calls, 2),
        "idle_link_bytes_per_s_per_node": round(idle_bytes / len(region.agents), 1),
        "open_watches": len(region.standin.watches.open),
    }


async def measure_partition(region: Region) -> float:
    """Return the seconds from a partition's end until a change is in force."""
    region.partition_zone("temple-c")
    await trio.sleep(CUT_S)
    agent = region.agents[0]
    number = agent.holder.number
    await agent.submit(number, 5)
    await trio.sleep(CUT_S)
    region.partition_zone("temple-c", heal=True)
    return round(await region.wait_active(number + 1), 3)


async def measure(region: Region, options: argparse.Namespace) -> dict:
    """Run all measurements on one region."""
    say(f"starting {options.nodes} agents")
    await region.start(options.nodes)
    set_delays(region)
    say(f"{options.changes} changes")
    figures = await measure_changes(region, options.changes, options.seed)
    say("a zone is cut off and healed")
    figures["in_force_partition_healed_s"] = await measure_partition(region)
    figures["reverts"] = region.reverts()
    listed = await region.agents[0].platform.list_objects("configuration")
    if isinstance(listed, Listed):
        figures["object_bytes"] = len(json.dumps(listed.objects["main"].value))
    return figures


def main() -> int:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--nodes", type=int, default=7)
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--without-watch", action="store_true")
    options = parser.parse_args()
    configure_logs(level="error")
    started_s = time.process_time()
    figures = run_region(
        lambda region: measure(region, options),
        seed=options.seed,
        without_watch=options.without_watch,
    )
    figures["processor_s"] = round(time.process_time() - started_s, 1)
    print(json.dumps(vars(options) | figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
