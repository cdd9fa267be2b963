"""Tests of the comparison of variants, with a script in the place of the bench."""

import importlib
import json
import stat
import sys
from pathlib import Path

import numpy as np
import pytest
from typer.testing import CliRunner

SCRIPTS = Path(__file__).parents[2] / "scripts"
REPORT = {
    "G": 0.5,
    "served": 0.9,
    "all": {"n": 110, "not_owed": 10, "late": 5, "refused": 2, "failed": 1},
    "parts": [["whole day", 0.4, 0.9], ["worst windows", 0.28, 0.3]],
    "prices": [["machine-seconds", 800.0, 0.05], ["duties missed", 0.0, 0.0]],
    "breaks": {},
}
BENCH = """#!{python}
import sys
from pathlib import Path
arguments = sys.argv[1:]
log = Path({log!r})
log.write_text((log.read_text() if log.exists() else "") + arguments[2] + "\\n")
if arguments[2] == "given-up":
    sys.exit("too busy")
Path(arguments[arguments.index("--report") + 1]).write_text({report!r})
"""


class Bench:
    """A script in the bench's place, and two checkouts."""

    def __init__(self, folder, compare_variants):
        self.tool = compare_variants
        self.log = folder / "plays.txt"
        self.rows = folder / "rows.jsonl"
        self.path = folder / "bench"
        text = BENCH.format(
            python=sys.executable, log=str(self.log), report=json.dumps(REPORT)
        )
        self.path.write_text(text)
        self.path.chmod(self.path.stat().st_mode | stat.S_IXUSR)
        self.options = []
        for name in ("before", "after"):
            (folder / name / "deploy").mkdir(parents=True)
            (folder / name / "deploy" / "system.toml").touch()
            self.options += ["--variant", f"{name}={folder / name}"]

    def run(self, *arguments):
        return CliRunner().invoke(self.tool.app, [str(a) for a in arguments])

    def play(self, *days):
        named = [part for day in days for part in ("--day", day)]
        return self.run(
            "play", self.path, "site.toml", self.rows, *self.options, *named
        )

    def known(self):
        return self.tool.read_rows(self.rows)

    def played(self):
        return self.log.read_text().split() if self.log.exists() else []


@pytest.fixture
def compare_variants(monkeypatch):
    monkeypatch.syspath_prepend(str(SCRIPTS))
    yield importlib.import_module("compare_variants")
    for name in ("compare_variants", "bench_report"):
        sys.modules.pop(name, None)


@pytest.fixture
def bench(tmp_path, compare_variants):
    return Bench(tmp_path, compare_variants)


class TestPlays:
    def test_known_rows_are_not_played_again(self, bench):
        bench.play("quiet")
        bench.play("quiet", "trouble")
        assert bench.played() == ["quiet", "quiet", "trouble", "trouble"]
        assert len(bench.known()) == 4

    def test_play_that_is_given_up_has_a_row_of_its_own(self, bench):
        result = bench.play("quiet", "given-up")
        rows = bench.known()
        assert result.exit_code == 0
        assert [row.error for row in rows if row.day == "quiet"] == ["", ""]
        assert {row.error for row in rows if row.day == "given-up"} == {
            "exit 1: too busy"
        }

    def test_variant_that_is_no_checkout(self, bench):
        bench.options = ["--variant", "before"]
        result = bench.play("quiet")
        assert result.exit_code == 2
        assert "no name=checkout" in result.output
        assert not bench.played()


class TestReport:
    def test_shares_are_of_what_is_owed(self, tmp_path, compare_variants):
        path = tmp_path / "report.json"
        path.write_text(json.dumps(REPORT))
        played = compare_variants.read_report(
            compare_variants.PlayedDay("a", "s", "d", None), path
        )
        assert (played.late, played.refused, played.failed) == (0.05, 0.02, 0.01)
        assert played.prices == {"machine-seconds": 0.05}

    @pytest.mark.parametrize("text", ["", "{}", "[1]", '{"all": null}'])
    def test_other_forms_are_errors(self, tmp_path, text, compare_variants):
        path = tmp_path / "report.json"
        path.write_text(text)
        assert compare_variants.read_report(
            compare_variants.PlayedDay("a", "s", "d", None), path
        ).error


class TestComparison:
    def test_paired_by_day_and_seed(self, compare_variants):
        PlayedDay = compare_variants.PlayedDay
        rows = [
            PlayedDay("before", "s", "d", 1, worth=0.4),
            PlayedDay("before", "s", "d", 2, worth=0.8),
            PlayedDay("after", "s", "d", 2, worth=0.9),
            PlayedDay("after", "s", "d", 3, worth=0.1),
        ]
        pairs = compare_variants.paired(rows, "before", "after")
        assert [(one.worth, other.worth) for one, other in pairs] == [(0.8, 0.9)]

    def test_one_pair_decides_nothing(self, compare_variants):
        assert compare_variants.interval(np.array([0.1]))[1] == float("inf")

    def test_difference_within_its_interval_is_called_none(self, bench):
        bench.play("quiet", "trouble")
        result = bench.run("compare", bench.rows, "--baseline", "before")
        worth = [line for line in result.output.splitlines() if "worth" in line]
        assert worth and worth[0].endswith("none")

    def test_unknown_baseline(self, bench):
        bench.play("quiet")
        result = bench.run("compare", bench.rows, "--baseline", "other")
        assert result.exit_code == 2
        assert "no rows of 'other'" in result.output

    def test_plot(self, bench, tmp_path):
        bench.play("quiet", "trouble")
        path = tmp_path / "worth.png"
        bench.run("compare", bench.rows, "--baseline", "before", "--plot", path)
        assert path.stat().st_size > 1000
