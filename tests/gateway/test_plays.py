"""Seeded plays of load and faults against nodes, held to the promises."""

import json

import pytest

from rosemaryknot.replay.virtual_time import run_in_virtual_time
from rosemaryknot.standin.users.audit import Asked, Seen, audit
from rosemaryknot.standin.users.play import (
    PLAY_FAULTS,
    Play,
    load_play,
    random_play,
    run_play,
)

# Drawn faults that meet: a kill in a silent store, a lapse during a stop, cuts.
SEEDS = (100, 101, 102, 103, 104, 105)


class TestPlays:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_drawn_faults(self, seed):
        result = run_in_virtual_time(seed, run_play, random_play(seed), seed)
        assert not result.violations
        assert result.outcomes.total() > 200

    def test_same_seed_same_outcomes(self):
        play = Play(length_s=4, faults=[{"at": 1, "kind": "compact"}])
        first, second = (
            run_in_virtual_time(7, run_play, play, 7).outcomes for _ in range(2)
        )
        assert first == second

    def test_each_kind_is_drawn(self):
        drawn = {f["kind"] for seed in range(200) for f in random_play(seed).faults}
        assert drawn == set(PLAY_FAULTS)

    def test_file(self, tmp_path):
        path = tmp_path / "play.json"
        path.write_text(
            json.dumps({"nodes": 2, "faults": [{"at": 1, "kind": "lapse"}]})
        )
        assert load_play(path).nodes == 2
        for wrong in ({"nodez": 2}, {"faults": [{"at": 1, "kind": "lapses"}]}):
            path.write_text(json.dumps(wrong))
            with pytest.raises(ValueError, match="unknown"):
                load_play(path)


class TestAudit:
    """Each promise is found broken where it is."""

    @pytest.mark.parametrize(
        ("promise", "seen"),
        [
            ("runs_once", Seen([Asked("a", "plain", False)], {"a": 2})),
            ("not_run_is_true", Seen([Asked("a", "plain", False, 503)], {"a": 1})),
            ("asked_for", Seen([], {"a": 1})),
            ("ones_own", Seen([Asked("a", "plain", True, 200, b"x answers b", True)])),
            ("in_order", Seen([Asked("a", "stream", True, 200, b"", True, 2)])),
            ("in_order", Seen([Asked("a", "stream", True, 200, b"id: 1\n", False, 2)])),
            ("named_by_servers", Seen(trapped=["a"])),
            ("one_usage_report", Seen(usage_doubled=[7])),
            ("fences_rise", Seen(fences=[2, 1])),
            ("fences_rise", Seen(holders=[("n1", 3), ("n2", 3)])),
        ],
    )
    def test_breach_is_found(self, promise, seen):
        assert [violation.promise for violation in audit(seen)] == [promise]
