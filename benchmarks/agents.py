"""Many agents of one region as separate processes, and what control costs each.

Run: ``python benchmarks/agents.py --nodes 7``. Idle but for one accepted change each
`CHANGE_EVERY_S` seconds. The last line of standard output is JSON.
"""

import argparse
import json
import re
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import httpx
from fleet import wait_until
from processes import Processes, cpu_seconds, resident_mb

from rosemaryknot.version.keys import new_key, new_operator_key
from rosemaryknot.version.stored import StoredConfiguration

ZONES = ("waco-a", "waco-b", "temple-c")
PLATFORM = "127.0.60.1:17000"
LINKS_PORT, OPERATORS_PORT = 17300, 17200
SEEDS_PER_ZONE = 2
SETTLE_S, CHANGE_EVERY_S = 30.0, 5.0
SHARDS_STILL_S, MAX_SHARDS_S = 15.0, 75.0
STARTED_AT_ONCE = 9
IMPORTS_ONLY = (
    "import rosemaryknot.process.agent, rosemaryknot.process.agent_main, time;"
    "print('ready', flush=True); time.sleep(600)"
)
BYTES_METRIC = re.compile(
    r'^rosemaryknot_link_bytes_total\{.*duty="([a-z_]+)".*\} ([0-9.e+]+)$', re.M
)
MAP_METRIC = re.compile(r"^rosemaryknot_shard_map_number(?:\{\})? ([0-9.e+]+)$", re.M)


def say(text: str) -> None:
    """Show progress."""
    print(f"agents: {text}", file=sys.stderr, flush=True)


class Region:
    """A platform and the agents of one region.

    Parameters
    ----------
    processes : Processes
        Where they are started.
    folder : Path
        For settings and logs.
    nodes : int
        Number of agents.
    """

    def __init__(self, processes: Processes, folder: Path, nodes: int) -> None:
        self.processes = processes
        self.folder = folder
        self.nodes = nodes
        self.pids: list[int] = []
        self.operator_key, operators = new_operator_key("ana", "editor")
        _, customers = new_key("estimator-1")
        self.document = {
            "services": {"kit-assistant": {"kind": "model"}},
            "customers": {"estimator-1": {}},
            "keys": operators | customers,
        }

    def host(self, index: int) -> str:
        """Return the IP number of an agent."""
        return f"127.0.{61 + index % len(ZONES)}.{1 + index // len(ZONES)}"

    def start(self) -> None:
        """Start everything, and wait until each agent answers operators.

        A few agents at a time: their imports fill the machine's processors.
        """
        platform = ("platform", "--listen", PLATFORM)
        self.processes.start("platform", "-m", "rosemaryknot.standin.main", *platform)
        wait_until(f"http://{PLATFORM}/instances")
        stored = StoredConfiguration(number=1, document=self.document).to_value()
        httpx.put(
            f"http://{PLATFORM}/objects/configuration/main",
            json=stored,
            headers={"If-None-Match": "*"},
        ).raise_for_status()
        (self.folder / "key").write_text("a key for benchmarks only")
        for index in range(self.nodes):
            settings = self.write_settings(index)
            self.pids.append(
                self.processes.start(
                    f"agent-{index}", "-m", "rosemaryknot.process.agent_main", settings
                )
            )
            if index >= STARTED_AT_ONCE:
                self.wait_for(index - STARTED_AT_ONCE)
        for index in range(self.nodes):
            self.wait_for(index)

    def wait_for(self, index: int) -> None:
        """Wait until an agent answers operators."""
        wait_until(f"http://{self.host(index)}:{OPERATORS_PORT}/healthz")

    def write_settings(self, index: int) -> str:
        """Write one agent's settings; return the file's name."""
        seeds = [
            f"{self.host(seed)}:{LINKS_PORT}"
            for seed in range(min(self.nodes, SEEDS_PER_ZONE * len(ZONES)))
            if seed != index
        ]
        zone = ZONES[index % len(ZONES)]
        settings = {
            "node": f"{zone}-{1 + index // len(ZONES)}",
            "zone": zone,
            "region": "tx-central",
            "listen": {
                "operators": f"{self.host(index)}:{OPERATORS_PORT}",
                "links": f"{self.host(index)}:{LINKS_PORT}",
            },
            "peers": seeds,
            "platform": PLATFORM,
            "cluster_key_file": "key",
            "log": {"level": "warning"},
        }
        path = self.folder / f"settings-{index}.json"
        path.write_text(json.dumps(settings))
        return str(path)

    def link_bytes(self) -> list[Counter[str]]:
        """Return each agent's bytes of links so far by duty, both ways."""
        totals = []
        for index in range(self.nodes):
            by_duty: Counter[str] = Counter()
            for duty, value in BYTES_METRIC.findall(self.metrics(index)):
                by_duty[duty] += float(value)
            totals.append(by_duty)
        return totals

    def metrics(self, index: int) -> str:
        """Return an agent's metrics."""
        url = f"http://{self.host(index)}:{OPERATORS_PORT}/metrics"
        return httpx.get(url, timeout=5.0).text

    def map_number(self) -> float:
        """Return the number of the newest shard map that the first agent knows."""
        found = MAP_METRIC.search(self.metrics(0))
        return float(found.group(1)) if found else 0.0

    def wait_settled(self) -> None:
        """Wait until links have settled and shards have stopped moving.

        Shards move to new nodes one by one, and each move tells all nodes. That is a
        cost of starting a whole region at once, and not of running it.
        """
        time.sleep(SETTLE_S)
        deadline_s = time.monotonic() + MAX_SHARDS_S
        number, since_s = self.map_number(), time.monotonic()
        while time.monotonic() < min(deadline_s, since_s + SHARDS_STILL_S):
            time.sleep(1.0)
            newest = self.map_number()
            if newest != number:
                number, since_s = newest, time.monotonic()

    def platform_calls(self) -> int:
        """Return the platform's calls so far."""
        url = f"http://{PLATFORM}/test/calls"
        return sum(httpx.get(url).json().values())

    def change(self, number: int) -> None:
        """Submit one change against a number."""
        agent = f"{self.host(number % self.nodes)}:{OPERATORS_PORT}"
        httpx.patch(
            f"http://{agent}/v1/configuration",
            json=[
                {
                    "op": "add",
                    "path": "/customers/estimator-1",
                    "value": {
                        "limits": {"kit-assistant": {"concurrent_requests": number}}
                    },
                }
            ],
            headers={
                "Authorization": f"Bearer {self.operator_key}",
                "If-Match": str(number),
                "Rosemaryknot-Patch": f"change-{number}",
            },
            timeout=10.0,
        ).raise_for_status()


def baseline_mb(processes: Processes) -> float:
    """Return the resident memory of a process that only imports an agent's code."""
    pid = processes.start("imports", "-c", IMPORTS_ONLY)
    while "ready" not in processes.log_text("imports"):
        time.sleep(0.1)
    return resident_mb(pid)


def measure(nodes: int, seconds: float) -> dict:
    """Measure one fleet size."""
    with tempfile.TemporaryDirectory() as name, Processes(Path(name)) as processes:
        base_mb = baseline_mb(processes)
        region = Region(processes, Path(name), nodes)
        say(f"starting {nodes} agents")
        region.start()
        region.wait_settled()
        map_before = region.map_number()
        bytes_before, calls_before = region.link_bytes(), region.platform_calls()
        cpu_before = [cpu_seconds(pid) for pid in region.pids]
        start_s = time.monotonic()
        number = 1
        while time.monotonic() - start_s < seconds:
            region.change(number)
            number += 1
            time.sleep(CHANGE_EVERY_S)
        took_s = time.monotonic() - start_s
        cpu = [
            (cpu_seconds(pid) - before) / took_s
            for pid, before in zip(region.pids, cpu_before, strict=True)
        ]
        grown = [
            after - before
            for after, before in zip(region.link_bytes(), bytes_before, strict=True)
        ]
        # Each byte is sent by one agent and received by another: half of both.
        sent = [sum(by_duty.values()) / took_s / 2 for by_duty in grown]
        duties = sum(grown, Counter())
        calls = region.platform_calls() - calls_before
        map_changes = region.map_number() - map_before
        added_mb = [resident_mb(pid) - base_mb for pid in region.pids]
    return {
        "nodes": nodes,
        "control_cpu_share": round(statistics.mean(cpu), 4),
        "control_cpu_share_max": round(max(cpu), 4),
        "control_mb": round(max(added_mb), 1),
        "imports_mb": round(base_mb, 1),
        "control_bytes_per_s_per_node": round(statistics.mean(sent), 1),
        "control_bytes_per_s_max": round(max(sent), 1),
        "bytes_per_s_by_duty": {
            duty: round(total / took_s / 2 / nodes, 1)
            for duty, total in duties.most_common()
        },
        "platform_calls_per_s": round(calls / took_s, 2),
        "changes": number - 1,
        "shard_map_changes": round(map_changes),
        "seconds": round(took_s, 1),
    }


def main() -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--nodes", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    # Ended from outside, it must still end the agents that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    print(json.dumps(measure(options.nodes, options.seconds)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
