"""Processor time a relayed token costs the entry, against a bare socket relay.

Run: ``python benchmarks/relay.py --help`` lists the options. Both relay the same
paced streams, one after the other in the same run. The last line of standard output
is JSON.
"""

import argparse
import json
import statistics
import sys
import tempfile
import time
from pathlib import Path

import trio
from fleet import SERVICE, BenchNode
from processes import Processes, cpu_seconds, resident_mb
from stream_load import StreamLoad

HERE = Path(__file__).parent
SOURCE_PORT, FLOOR_PORT, NODE_PORT = 17901, 17902, 17910


def say(text: str) -> None:
    """Show progress."""
    print(f"relay: {text}", file=sys.stderr, flush=True)


class RelayBench:
    """One measurement.

    Parameters
    ----------
    options : argparse.Namespace
        Streams, tokens, gap and rounds.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.incomplete = 0

    def measure(self, pid: int, port: int, api_key: str) -> float:
        """Return the microseconds a token that a relay spends on one load."""
        load = StreamLoad(port, api_key, SERVICE, self.options.tokens)
        before = cpu_seconds(pid)
        trio.run(load.run, self.options.streams)
        spent = cpu_seconds(pid) - before
        self.incomplete += self.options.streams - load.finished
        return spent / (self.options.streams * self.options.tokens) * 1e6

    def run(self) -> dict:
        """Measure both relays, round by round, and return the figures."""
        options = self.options
        with (
            tempfile.TemporaryDirectory() as name,
            Processes(Path(name)) as processes,
        ):
            folder = Path(name)
            source = [str(SOURCE_PORT), str(options.tokens), str(options.gap_ms)]
            processes.start("source", str(HERE / "token_source.py"), *source)
            floor_pid = processes.start(
                "floor",
                *(str(HERE / "floor_relay.py"), str(FLOOR_PORT), str(SOURCE_PORT)),
            )
            say("starting platform, agent and entry")
            node = BenchNode(processes, folder, NODE_PORT)
            node.start(SOURCE_PORT)
            time.sleep(1.0)
            self.measure(node.entry_pid, node.entry_port, node.api_key)  # warm up
            floor, entry = [], []
            for number in range(1, options.rounds + 1):
                floor.append(self.measure(floor_pid, FLOOR_PORT, node.api_key))
                entry.append(
                    self.measure(node.entry_pid, node.entry_port, node.api_key)
                )
                say(
                    f"round {number}: floor {floor[-1]:.0f}, entry {entry[-1]:.0f} "
                    "microseconds a token"
                )
            return self.figures(floor, entry, resident_mb(node.entry_pid))

    def figures(self, floor: list[float], entry: list[float], memory: float) -> dict:
        """Return what was measured."""
        floor_us, entry_us = statistics.median(floor), statistics.median(entry)
        return {
            "floor_us": round(floor_us, 1),
            "entry_us": round(entry_us, 1),
            "ratio": round(entry_us / floor_us, 2),
            "entry_mb": round(memory, 1),
            "streams": self.options.streams,
            "tokens": self.options.tokens,
            "gap_ms": self.options.gap_ms,
            "incomplete_streams": self.incomplete,
        }


def main() -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--streams", type=int, default=100)
    parser.add_argument("--tokens", type=int, default=200)
    parser.add_argument("--gap-ms", type=float, default=40.0)
    parser.add_argument("--rounds", type=int, default=3)
    bench = RelayBench(parser.parse_args())
    figures = bench.run()
    print(json.dumps(figures))
    return 1 if bench.incomplete else 0


if __name__ == "__main__":
    sys.exit(main())
