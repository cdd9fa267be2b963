"""Run the fault runner over many seeds, in several processes at once.

Run: ``python scripts/faults.py SEEDS [--first N] [--jobs N] [--without SAFEGUARD]``.
Progress goes to standard error; the last line of standard output is JSON.
"""

import argparse
import json
import os
import subprocess
import sys
import threading
import time
from collections import Counter

CHUNK = 10
REPLAY = [sys.executable, "-m", "rosemaryknot.replay.main", "faults"]
SUMS = ("runs", "violations", "lost_unannounced", "recomputed_tokens")
COUNTERS = ("faults", "violations_by_kind", "outcomes")


class Totals:
    """Sums over the chunks, shared by the threads that wait for them.

    Parameters
    ----------
    seeds : range
        All seeds.
    without : str
        Safeguard that is off, or empty.
    until_bad : bool
        Whether to stop at the first broken promise.
    """

    def __init__(self, seeds: range, without: str, until_bad: bool) -> None:
        self.seeds = seeds
        self.without = without
        self.until_bad = until_bad
        self.lock = threading.Lock()
        self.next_seed = seeds.start
        self.sums: Counter[str] = Counter()
        self.counters = {name: Counter() for name in COUNTERS}
        self.first_bad_seed: int | None = None
        self.failed = 0
        self.start_s = time.monotonic()

    def take_chunk(self) -> range | None:
        """Return the next seeds to run, or None where nothing is left."""
        with self.lock:
            bad = self.until_bad and self.sums["violations"]
            if self.next_seed >= self.seeds.stop or bad:
                return None
            chunk = range(self.next_seed, min(self.next_seed + CHUNK, self.seeds.stop))
            self.next_seed = chunk.stop
            return chunk

    def run_chunks(self) -> None:
        """Run chunk after chunk, each in a process of its own."""
        while (chunk := self.take_chunk()) is not None:
            command = [*REPLAY, "--first", str(chunk.start), "--seeds", str(len(chunk))]
            if self.without:
                command += ["--without", self.without]
            if self.until_bad:
                command.append("--until-bad")
            done = subprocess.run(command, capture_output=True, text=True)
            self.add(done)

    def add(self, done: subprocess.CompletedProcess) -> None:
        """Add a chunk's summary, and show what it broke."""
        lines = done.stdout.splitlines()
        with self.lock:
            for line in done.stderr.splitlines():
                if line.startswith("seed "):
                    print(line, file=sys.stderr)
            if not lines or not lines[-1].startswith("{"):
                self.failed += 1
                print(done.stderr[-2000:], file=sys.stderr)
                return
            self.merge(json.loads(lines[-1]))
            took_s = time.monotonic() - self.start_s
            print(
                f"faults: {self.sums['runs']} of {len(self.seeds)} runs, "
                f"{self.sums['violations']} violations, {took_s:.0f} s",
                file=sys.stderr,
                flush=True,
            )

    def merge(self, summary: dict) -> None:
        """Add one summary."""
        for name in SUMS:
            self.sums[name] += summary[name]
        for name in COUNTERS:
            self.counters[name].update(summary[name])
        bad = summary["first_bad_seed"]
        if bad is not None:
            known = self.first_bad_seed
            self.first_bad_seed = bad if known is None else min(bad, known)


def main() -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("seeds", type=int)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=max(1, os.cpu_count() // 3))
    parser.add_argument("--without", default="")
    parser.add_argument("--until-bad", action="store_true")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    totals = Totals(seeds, options.without, options.until_bad)
    threads = [threading.Thread(target=totals.run_chunks) for _ in range(options.jobs)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    summary = {name: totals.sums[name] for name in SUMS}
    summary |= totals.counters | {"first_bad_seed": totals.first_bad_seed}
    print(json.dumps(summary))
    return 1 if totals.sums["violations"] or totals.failed else 0


if __name__ == "__main__":
    sys.exit(main())
