"""Tests of the rules on requests during which servers crashed."""

import pytest

from rosemaryknot.request.crash_rules import (
    CRASH_RULES,
    SIMULTANEOUS_TRIAL_DELAY_S,
    TRIAL_DELAY_S,
    Allowed,
    Barred,
    CrashInput,
)

decide = CRASH_RULES["limited_servers"]


def refused(**fields):
    """Return the input for a request whose trial is due."""
    due = {"is_trial_node": True, "refused_for_s": TRIAL_DELAY_S}
    return CrashInput(crashes=3, limit=3, **(due | fields))


class TestLimitedServers:
    @pytest.mark.parametrize("crashes", [0, 1])
    def test_first_crash_changes_nothing(self, crashes):
        inputs = CrashInput(crashes, limit=3, running=9, has_run=True)
        assert decide(inputs) == Allowed()

    def test_suspect_runs_once_at_a_time(self):
        assert decide(CrashInput(2, limit=3)) == Allowed()
        for fields in ({"running": 1}, {"has_run": True}):
            decision = decide(CrashInput(2, limit=3, **fields))
            assert isinstance(decision, Barred) and decision.is_temporary

    def test_completed_before_and_waited(self):
        """An attempt that hangs for another reason refuses no repeat of its request."""
        inputs = CrashInput(2, limit=6, has_completed=True, running=1, has_waited=True)
        assert decide(inputs) == Allowed()
        inputs.has_completed = False
        assert isinstance(decide(inputs), Barred)

    @pytest.mark.parametrize("crashes", [3, 4, 5])
    def test_limit_of_a_request_that_completed_before(self, crashes):
        assert decide(CrashInput(crashes, limit=6)) == Allowed()
        assert decide(CrashInput(crashes, limit=6, running=1)).is_temporary
        assert not decide(CrashInput(crashes, limit=3)).is_temporary

    def test_trial(self):
        assert decide(refused()) == Allowed(is_trial=True)

    @pytest.mark.parametrize(
        "fields",
        [
            {"is_tried": True},
            {"is_trial_node": False},
            {"has_run": True},
            {"running": 1},
            {"refused_for_s": TRIAL_DELAY_S - 1},
        ],
    )
    def test_no_trial(self, fields):
        assert isinstance(decide(refused(**fields)), Barred)

    def test_earlier_trial_after_simultaneous_crashes(self):
        inputs = refused(refused_for_s=SIMULTANEOUS_TRIAL_DELAY_S)
        assert isinstance(decide(inputs), Barred)
        inputs.is_simultaneous = True
        assert decide(inputs) == Allowed(is_trial=True)
