"""Tests of the repository's scenarios, of determinism and of the run command."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from typer.testing import CliRunner

from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.replay.main import app
from rosemaryknot.replay.scenario_language import parse_scenario
from rosemaryknot.replay.scenario_run import run_scenario

FOLDER = Path(__file__).parents[2] / "scenarios"
FILES = sorted(FOLDER.glob("*.scenario"))


def read(name: str):
    """Return a scenario of the repository."""
    return parse_scenario((FOLDER / f"{name}.scenario").read_text())


def failed_expectations(report) -> list[tuple[str, str]]:
    """Return the expectations that did not hold and what was observed."""
    return [(v.expectation.text, v.seen) for v in report.verdicts if v.seen]


class TestScenarios:
    """All expectations of each scenario hold."""

    @pytest.mark.parametrize("path", FILES, ids=[path.stem for path in FILES])
    def test_comes_out_as_stated(self, path):
        report = run_scenario(parse_scenario(path.read_text()))
        assert report.verdicts
        assert failed_expectations(report) == []


class TestStatedOutcomes:
    """Expectations fail if the behaviour that they check is broken."""

    def test_a_lost_plan_set_is_seen(self):
        """An entry is killed while it relays a plan set, and no node holds a replica.

        The caller does not receive the rest of the response. With a replica the same
        scenario holds, so the expectations distinguish the two runs.
        """
        safeguards = Safeguards(standby_copy=False)
        report = run_scenario(read("entry-killed"), safeguards=safeguards)
        assert "by 16s r1 is answered whole" in dict(failed_expectations(report))

    def test_a_false_refusal_is_seen(self):
        """A booking is executed, its response is late, and its caller retries.

        The retry reaches a draining entry, which refuses it as ``not_run`` without
        closing the first attempt. That attempt is in the ledger, so the refusal is
        false.
        """
        safeguards = Safeguards(close_attempts=False)
        report = run_scenario(read("leaving-entry"), safeguards=safeguards)
        assert "expect no refused booking ran" in dict(failed_expectations(report))


class TestEqualRuns:
    """Equal seeds give equal decisions in every process."""

    def test_same_seed_gives_the_same_decisions_in_another_process(self):
        """Two processes hash strings differently and generate different message keys.

        Neither may affect a decision. The digest covers each line of the log with its
        virtual time, so a single task that ran earlier would change it.
        """
        report = run_scenario(read("death-in-reclaim"))
        path = FOLDER / "death-in-reclaim.scenario"
        command = [sys.executable, "-m", "rosemaryknot.replay.main", "run"]
        done = subprocess.run(
            [*command, "--json", str(path)],
            env={**os.environ, "PYTHONHASHSEED": "7", "PYTHONPATH": "src"},
            cwd=FOLDER.parent,
            capture_output=True,
            check=True,
            timeout=100,
        )
        other = json.loads(done.stdout)
        assert report.decisions > 50
        assert (other["digest"], other["decisions"]) == (
            report.digest,
            report.decisions,
        )

    def test_another_seed_gives_other_decisions(self):
        scenario = read("operator-race")
        first = run_scenario(scenario).digest
        scenario.seed += 1
        assert run_scenario(scenario).digest != first


class TestRunCommand:
    """Output and exit codes of the command."""

    def test_a_broken_outcome_is_printed_with_its_line(self, tmp_path):
        path = tmp_path / "wrong.scenario"
        path.write_text(
            'scenario "wrong"\nzones waco-a\nservers kit-assistant 1 per zone\n'
            "at 0s ana sends question as q1\nby 1s q1 is refused\n"
        )
        result = CliRunner().invoke(app, ["run", str(path), "--json"])
        assert result.exit_code == 1
        assert f"{path}:5: by 1s q1 is refused" in result.stderr
        assert "seen: q1 is answered" in result.stderr
        assert json.loads(result.stdout)["held"] is False

    def test_a_mistake_in_a_file_ends_the_command(self, tmp_path):
        path = tmp_path / "wrong.scenario"
        path.write_text("zones waco-a\nat soon kill\n")
        result = CliRunner().invoke(app, ["run", str(path)])
        assert result.exit_code == 2
        assert 'line 2, column 4: found "s' in result.stderr
