"""Runs the soak of the retry budget: real node processes, and load that moves."""

import importlib
import json
import subprocess
import sys
from pathlib import Path

import pytest

RETRY_SOAK = Path(__file__).parents[2] / "scripts" / "retry_soak.py"
# The load moves twice within a window, beside nodes that are killed, cut off, throttled
# and suspended.
SEEDS = (150,)
TIMEOUT_S = 150


class TestRetrySoak:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_seed(self, seed, tmp_path):
        """Guards against nodes that together exceed the retry budget."""
        completed = subprocess.run(
            [sys.executable, RETRY_SOAK, "--seed", str(seed)],
            cwd=tmp_path,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        summary = json.loads(completed.stdout.splitlines()[-1])
        assert summary["bad_seeds"] == [], completed.stdout
        assert completed.returncode == 0 and summary["seeds"] == 1


class TestSchedule:
    def test_seed_names_one_schedule(self, monkeypatch):
        """Guards against a seed that plays other trouble each time."""
        monkeypatch.syspath_prepend(str(RETRY_SOAK.parent))
        soak = importlib.import_module("retry_soak")
        first, second = soak.draw_schedule(7, 6), soak.draw_schedule(7, 6)
        assert first == second and len(first.moves) > 2
        assert first != soak.draw_schedule(8, 6)
