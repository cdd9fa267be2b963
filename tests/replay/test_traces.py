"""Tests of generating, reading, running and comparing traces."""

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from rosemaryknot.replay.main import app
from rosemaryknot.replay.scenario_run import run_scenario
from rosemaryknot.replay.trace_generator import MIXES, generate_trace
from rosemaryknot.replay.traces import (
    OUTCOMES_SUFFIX,
    TraceError,
    read_trace,
    traced_scenario,
    write_trace,
)

FOLDER = Path(__file__).parents[2] / "traces"
OUTCOMES = """scenario "two sends of a booking, and two plan sets of one builder"
zones waco-a
engines step 10ms slots 4 cache 8000 tokens
servers kit-assistant 1 in waco-a of class g2 on demand
servers dispatch-app 1 per zone
price of class g2 in waco-a is 4.5 on demand
price of class g1 in waco-a is 0
by 15s every plan-set is answered whole
expect runs of b1 = 1
"""
LINES = [
    {"time_s": 0.0, "kind": "booking", "key": "b1", "attempt": 1},
    {"time_s": 0.2, "kind": "booking", "key": "b1", "attempt": 2},
    {"time_s": 0.0, "kind": "plan-set", "key": "p1"},
    {"time_s": 8.0, "kind": "plan-set", "key": "p2"},
]


def small_trace(path: Path) -> Path:
    """Write a small trace and its outcomes."""
    lines = []
    for line in LINES:
        if line["kind"] == "booking":
            line = {**line, "service": "dispatch-app", "customer": "dispatcher"}
        else:
            sizes = {"prompt_tokens": 700, "answer_tokens": 30}
            shared = {"prefix": "builder", "prefix_tokens": 640}
            names = {"service": "kit-assistant", "customer": "estimator-1"}
            line = {**line, **names, **sizes, **shared}
        lines.append(json.dumps(line))
    path.write_text("\n".join(lines) + "\n")
    path.with_suffix(OUTCOMES_SUFFIX).write_text(OUTCOMES)
    return path


class TestGenerateTrace:
    """Traces depend only on their seed and resemble the users' load."""

    @pytest.mark.parametrize("name", sorted(MIXES))
    def test_the_stored_trace_is_the_one_of_its_seed(self, name, tmp_path):
        """A change of the generator would leave the stored traces outdated."""
        path = tmp_path / "trace.jsonl"
        write_trace(path, generate_trace(name, seed=1, duration_s=15.0))
        assert path.read_text() == (FOLDER / f"{name}.jsonl").read_text()
        assert read_trace(path) == generate_trace(name, seed=1, duration_s=15.0)

    def test_one_builder_sends_about_half_of_the_plan_sets(self):
        trace = generate_trace("bluebonnet", seed=5, duration_s=2000.0)
        plans = [r for r in trace if r.kind == "plan-set"]
        large = sum(r.customer == "builder-large" for r in plans) / len(plans)
        assert 0.45 < large < 0.55
        assert {r.prefix_tokens for r in plans if r.prefix == "builder-large"} == {1400}

    def test_more_requests_come_in_the_middle_of_the_day(self):
        trace = generate_trace("pawbridge", seed=5, duration_s=3000.0)
        pings = [r.time_s for r in trace if r.kind == "ping"]
        middle = sum(1000 < time_s < 2000 for time_s in pings) / len(pings)
        assert 0.45 < middle < 0.55

    def test_a_turn_of_a_chat_begins_with_the_turns_before_it(self):
        trace = generate_trace("pawbridge", seed=5, duration_s=200.0)
        turns = {r.key: r for r in trace if r.kind == "chat"}
        first, second = turns["chat-0-1"], turns["chat-0-2"]
        assert first.prefix == second.prefix
        assert second.prefix_tokens > first.prompt_tokens + first.answer_tokens - 20


class TestReadTrace:
    """An error in a trace gives the line."""

    @pytest.mark.parametrize(
        ("change", "message"),
        [
            ({"kind": "letter"}, "line 2: found 'letter'"),
            ({"service": "brief-writer"}, "line 2: found 'booking' for 'brief-writer'"),
            ({"time_s": "soon"}, "line 2: found 'soon' for time_s"),
            ({"colour": 1}, "line 2: found 'colour', expected time_s, customer"),
        ],
    )
    def test_names_the_line(self, tmp_path, change, message):
        path = small_trace(tmp_path / "trace.jsonl")
        first, second, *rest = path.read_text().splitlines()
        second = json.dumps({**json.loads(second), **change})
        path.write_text("\n".join([first, second, *rest]))
        with pytest.raises(TraceError, match=message):
            read_trace(path)


class TestRunTrace:
    """Runs of a trace are checked against its expected outcomes."""

    @pytest.mark.parametrize("name", sorted(MIXES))
    def test_the_stored_trace_comes_out_as_stated(self, name):
        path = FOLDER / f"{name}.jsonl"
        outcomes = path.with_suffix(OUTCOMES_SUFFIX).read_text()
        report = run_scenario(traced_scenario(read_trace(path), outcomes))
        assert report.verdicts
        assert [(v.expectation.text, v.seen) for v in report.verdicts if v.seen] == []

    def test_counts_what_was_computed_and_paid(self, tmp_path):
        """The second plan set finds the shared prefix of its builder in the cache.

        Therefore 640 of its 701 tokens (with the role), which are 20 full blocks of
        32, are not prefilled. Only the engine has a price and nothing is reclaimed,
        so the cost is its price multiplied by the duration of the run.
        """
        path = small_trace(tmp_path / "trace.jsonl")
        scenario = traced_scenario(read_trace(path), OUTCOMES)
        report = run_scenario(scenario)
        figures = report.figures
        assert report.held
        assert (figures.requests, figures.model_requests) == (3, 2)
        assert figures.prefill_tokens == 2 * 702 - 640
        assert figures.recomputed_tokens == 0
        assert figures.cost == pytest.approx(4.5 * scenario.end_s / 3600, abs=1e-4)
        assert figures.in_target_share == 1.0
        assert 0 < figures.between_tokens_p95_s < 0.011

    def test_compares_two_policies_on_the_same_requests(self, tmp_path):
        path = small_trace(tmp_path / "trace.jsonl")
        arguments = ["compare", "round_robin", "prefix_only", "--trace", str(path)]
        result = CliRunner().invoke(app, [*arguments, "--json"])
        figures = json.loads(result.stdout)["figures"]
        assert result.exit_code == 0
        assert list(figures) == ["round_robin", "prefix_only"]
        assert all(found["in_target_share"] == 1.0 for found in figures.values())

    def test_an_unknown_policy_is_refused_with_those_that_exist(self, tmp_path):
        path = small_trace(tmp_path / "trace.jsonl")
        result = CliRunner().invoke(app, ["trace", str(path), "--policy", "luck"])
        assert result.exit_code == 2
        assert "round_robin" in result.stderr
