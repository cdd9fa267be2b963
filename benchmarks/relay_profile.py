"""Where the processor time of a relayed token goes: the entry alone, by function.

Run: ``python benchmarks/relay_profile.py --help`` lists the options. The profiler
slows every Python call, so shares are to be read and not times.
"""

import argparse
import json
import pstats
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path

import trio
from fleet import SERVICE, BenchNode
from processes import Processes
from relay import HERE, NODE_PORT, SOURCE_PORT
from stream_load import StreamLoad

PACKAGES = ("rosemaryknot", "hypercorn", "quart", "httpx", "h11", "trio")
PROFILE = "entry.profile"


class ProfiledProcesses(Processes):
    """Processes of which the entry runs under the profiler."""

    def start(self, name: str, *arguments: str) -> int:
        """Start a process; see `Processes.start`."""
        if name == "entry":
            output = str(self.log_directory / PROFILE)
            arguments = ("-m", "cProfile", "-o", output, *arguments)
        return super().start(name, *arguments)


def layer_of(file: str) -> str:
    """Return the package that a profiled function belongs to."""
    parts = Path(file).parts
    return next((p for p in PACKAGES if p in parts), "interpreter and system calls")


def layer_shares(stats: pstats.Stats) -> dict[str, float]:
    """Return each package's share of the time spent in its own functions."""
    own: dict[str, float] = defaultdict(float)
    for (file, _, name), (_, _, own_s, _, _) in stats.stats.items():
        if "epoll" not in name:
            own[layer_of(file)] += own_s
    total = sum(own.values())
    ranked = sorted(own.items(), key=lambda item: -item[1])
    return {layer: round(spent / total, 3) for layer, spent in ranked}


def profile(options: argparse.Namespace, folder: Path) -> pstats.Stats:
    """Run one load and return the entry's profile."""
    with ProfiledProcesses(folder) as processes:
        source = [str(SOURCE_PORT), str(options.tokens), str(options.gap_ms)]
        processes.start("source", str(HERE / "token_source.py"), *source)
        node = BenchNode(processes, folder, NODE_PORT)
        node.start(SOURCE_PORT)
        time.sleep(1.0)
        load = StreamLoad(node.entry_port, node.api_key, SERVICE, options.tokens)
        trio.run(load.run, options.streams)
    return pstats.Stats(str(folder / PROFILE), stream=sys.stderr)


def main() -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--streams", type=int, default=100)
    parser.add_argument("--tokens", type=int, default=400)
    parser.add_argument("--gap-ms", type=float, default=60.0)
    parser.add_argument("--functions", type=int, default=40)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        stats = profile(options, Path(name))
    stats.sort_stats("tottime").print_stats(options.functions)
    print(json.dumps(layer_shares(stats)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
