"""The soak with fixed seeds: real processes, faults from outside."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

SOAK = Path(__file__).parents[2] / "scripts" / "soak.py"
SEEDS = (290016, 290017)
BOUND_S = 120


class TestSoak:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_seed(self, seed, tmp_path):
        command = [sys.executable, SOAK, "--seed", str(seed)]
        done = subprocess.run(
            command, cwd=tmp_path, capture_output=True, text=True, timeout=BOUND_S
        )
        told = json.loads(done.stdout.splitlines()[-1])
        assert told["violations"] == 0, done.stdout
        assert done.returncode == 0 and told["seeds"] == 1
