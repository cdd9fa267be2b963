"""What knowing of each other costs gateways: processor time and bytes by their number.

All nodes run in this process, in virtual time, without requests of callers; the store,
the network and the readiness asked of nodes are stand-ins.
"""

import json
import sys
import time

import trio
from trio.testing import MockClock

from rosemaryknot.connection.link_traffic import Traffic
from rosemaryknot.standin.users.system import platform_system

SIZES = (7, 24, 30, 65, 91)
SETTLE_S = 4.0
MEASURED_S = 4.0


def sent_bytes(traffic: Traffic) -> int:
    """Return the bytes of all kinds of messages."""
    return sum(kind.bytes for kind in traffic.sent.values())


async def measure(nodes: int) -> dict[str, float]:
    """Return processor time, bytes and calls to the store of a node in a second."""
    async with platform_system(nodes=nodes) as fleet:
        await trio.sleep(SETTLE_S)
        parts = [node.peers.traffic for node in fleet.nodes.values()]
        bytes_before = [sent_bytes(traffic) for traffic in parts]
        calls_before = len(fleet.store.calls)
        began_s = time.process_time()
        await trio.sleep(MEASURED_S)
        took_s = time.process_time() - began_s
        sent = [
            sent_bytes(traffic) - before
            for traffic, before in zip(parts, bytes_before, strict=True)
        ]
        calls = len(fleet.store.calls) - calls_before
        return {
            "nodes": nodes,
            "cpu_ms": round(1000 * took_s / MEASURED_S / nodes, 1),
            "kb_sent": round(sum(sent) / MEASURED_S / nodes / 1000, 2),
            "kb_sent_most": round(max(sent) / MEASURED_S / 1000, 1),
            "store_calls": round(calls / MEASURED_S / nodes, 2),
        }


def main() -> None:
    """Print a line for each size, and all of them as JSON."""
    sizes = [int(arg) for arg in sys.argv[1:]] or SIZES
    figures = []
    for nodes in sizes:
        clock = MockClock(autojump_threshold=0)
        figures.append(trio.run(measure, nodes, clock=clock))
        print(figures[-1], flush=True)
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
