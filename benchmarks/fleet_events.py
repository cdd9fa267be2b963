"""What one event costs the nodes of a deployment: messages, and processor time.

All nodes run in this process, in virtual time, with callers at each of them. The time
of each step of a task is charged to its node, as in `gateway_load.py`.
"""

import argparse
import gc
import json

import trio
from gateway_load import Charge
from trio.testing import MockClock

from rosemaryknot.process.logs import configure_logs
from rosemaryknot.standin.users.fleet_events import (
    FLEET_EVENTS,
    FleetLoad,
    MessageCounts,
    count_messages,
)
from rosemaryknot.standin.users.system import PlatformSystem, platform_system

NODES = (24, 30, 60, 91)
SERVERS = 44
REQUESTS_PER_S = 3.0
SETTLE_S = 4.0
# A cut shows its cost once links have been silent for 3 s; all else begins at once.
AFTER_S = {"cut": 3.0}
MEASURED_S = 2.5


def relays_of(fleet: PlatformSystem) -> set[str]:
    """Return the relays of all zones; empty for a full mesh."""
    hubs = next(iter(fleet.nodes.values())).exchange.hubs
    if not hubs.is_enabled:
        return set()
    zones = {node.node.zone for node in fleet.nodes.values()}
    return {name for zone in zones for name in hubs.relays(zone)}


def summarize(
    names: set[str], counts: dict[str, int], spent_ms: dict[str, float]
) -> dict[str, float]:
    """Return the mean and the most of some nodes."""
    if not names:
        return {}
    return {
        "messages": round(sum(counts[n] for n in names) / len(names), 1),
        "messages_most": max(counts[n] for n in names),
        "cpu_ms": round(sum(spent_ms[n] for n in names) / len(names), 1),
        "cpu_ms_most": round(max(spent_ms[n] for n in names), 1),
    }


async def measure(charge: Charge, nodes: int, event: str, per_s: float) -> dict:
    """Return what an event costs relays and other nodes, sent and received."""
    async with (
        platform_system(nodes=nodes, plain=4, models=SERVERS) as fleet,
        trio.open_nursery() as nursery,
    ):
        load = FleetLoad(fleet, per_s)
        nursery.start_soon(load.run)
        await trio.sleep(SETTLE_S)
        relays = relays_of(fleet)
        links = MessageCounts(fleet).links
        gc.disable()
        charge.clear()
        by_node = await count_messages(
            fleet, event, AFTER_S.get(event, 0.0), MEASURED_S
        )
        counts = {name: sum(kinds.values()) for name, kinds in by_node.items()}
        total_s = AFTER_S.get(event, 0.0) + MEASURED_S
        spent_ms = {
            name: 1000 * sum(charge.spent[name].values()) / total_s
            for name in fleet.nodes
        }
        gc.enable()
        nursery.cancel_scope.cancel()
    return {
        "event": event,
        "nodes": nodes,
        "links_most": max(links.values()),
        "relays": summarize(relays, counts, spent_ms),
        "others": summarize(set(counts) - relays, counts, spent_ms),
        "statuses": dict(load.statuses),
    }


def main() -> None:
    """Print one line of JSON for each number of nodes and event."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="*", default=NODES)
    parser.add_argument("--events", nargs="*", default=list(FLEET_EVENTS))
    parser.add_argument("--requests", type=float, default=REQUESTS_PER_S)
    args = parser.parse_args()
    configure_logs(level="error")
    for nodes in args.nodes:
        for event in args.events:
            charge = Charge()
            clock = MockClock(autojump_threshold=0)
            figures = trio.run(
                measure,
                charge,
                nodes,
                event,
                args.requests,
                clock=clock,
                instruments=[charge],
            )
            print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
