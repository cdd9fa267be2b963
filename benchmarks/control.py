"""What control costs a node, at several sizes, and how the figures grow.

Run: ``python benchmarks/control.py --help`` lists the options. Times to "in force"
come from tasks in virtual time, cost from real processes. The last line of standard
output is JSON.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import numpy as np

HERE = Path(__file__).parent
ROOT = HERE.parent
AGENTS = [sys.executable, str(HERE / "agents.py")]
CONFIGURATION = [sys.executable, "-m", "benchmarks.configuration"]
LIMITS = [sys.executable, str(HERE / "limits.py")]
LIMIT_PARTS = ("admission", "flood")
PART_TIMEOUT_S = 400
COSTS = ("control_bytes_per_s_per_node", "control_cpu_share", "control_mb")
SPREAD = ("in_force_p99_s", "in_force_partition_healed_s", "platform_calls_per_change")


def say(text: str) -> None:
    """Show progress."""
    print(f"control: {text}", file=sys.stderr, flush=True)


def run_part(command: list[str]) -> dict:
    """Run one part and return its last line.

    Raises
    ------
    RuntimeError
        If it could not measure.
    """
    environment = os.environ | {"PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}"}
    part = subprocess.Popen(
        command, cwd=ROOT, env=environment, stdout=subprocess.PIPE, text=True
    )
    try:
        output, _ = part.communicate(timeout=PART_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        output = ""
    finally:
        # A part that is killed would leave its agents behind.
        part.terminate()
        part.wait()
    lines = output.strip().splitlines()
    if part.returncode or not lines:
        raise RuntimeError(f"{' '.join(command[1:])} ended with {part.returncode}")
    # A later part that fails must not take what was measured with it.
    say(lines[-1])
    return json.loads(lines[-1])


def slope(sizes: list[int], values: list[float]) -> dict[str, float]:
    """Return the straight line through a figure at several sizes."""
    if len(sizes) < 2:
        return {"per_node": 0.0, "at_zero": values[0]}
    per_node, at_zero = np.polyfit(sizes, values, 1)
    return {"per_node": float(f"{per_node:.4g}"), "at_zero": float(f"{at_zero:.4g}")}


def measure(sizes: list[int], seconds: float) -> dict:
    """Return the figures of the largest fleet, all sizes, and slopes over them."""
    at_size: dict[int, dict] = {}
    for nodes in sizes:
        say(f"{nodes} agents in virtual time")
        figures = run_part([*CONFIGURATION, "--nodes", str(nodes)])
        say(f"{nodes} agents as processes")
        options = ["--nodes", str(nodes), "--seconds", str(seconds)]
        at_size[nodes] = figures | run_part([*AGENTS, *options])
    say("limits in virtual time")
    limits = {}
    for name in LIMIT_PARTS:
        limits |= run_part([*LIMITS, "--part", name])
    names = (*SPREAD, *COSTS)
    largest = at_size[max(sizes)]
    return {
        **{name: largest[name] for name in names},
        "reverts": sum(figures["reverts"] for figures in at_size.values()),
        "over_admission": limits["over_admission"],
        "flood_p95_ratio": limits["flood_p95_ratio"],
        "slopes": {
            name: slope(sizes, [at_size[nodes][name] for nodes in sizes])
            for name in names
        },
        "at_size": at_size,
        "limits": limits,
    }


def main() -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", type=int, nargs="+", default=[7, 21, 63])
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    # Ended from outside, it must still end the part that runs.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        result = measure(options.sizes, options.seconds)
    except (RuntimeError, KeyError, ValueError) as error:
        say(f"could not measure: {error!r}")
        return 2
    print(json.dumps(result))
    return 1 if result["reverts"] else 0


if __name__ == "__main__":
    sys.exit(main())
