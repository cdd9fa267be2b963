"""Tests of the scenario parser: accepted statements and error messages."""

import pytest

from rosemaryknot.replay.scenario_errors import ScenarioError
from rosemaryknot.replay.scenario_language import parse_scenario

HEAD = """scenario "a test"
zones waco-a waco-b
servers kit-assistant 1 per zone
"""


class TestScenarioError:
    """An error gives line, column and what is expected there."""

    @pytest.mark.parametrize(
        ("line", "column", "expected"),
        [
            ("at 1 reclaim zone waco-a with notice 3s", 4, "a time such as 3s"),
            ("at 1s reclaim zone waco-a in 3s", 27, "with"),
            ("at 1s ana sends letter as x", 17, "a kind of request (plan-set"),
            ("at 1s kill entry waco-c-1", 18, "a node of this scenario (waco-a-1"),
            ("at 1s cut waco-a from dub-a", 23, "a zone of this scenario (waco-a"),
            ("by 3s r9 is answered", 7, "a request of this scenario"),
            ("by 3s every question is", 24, "a result (answered whole"),
            ("servers kitchen 1 per zone", 9, "a service (kit-assistant"),
            ("at 1s ana sends booking as b", 17, "servers dispatch-app"),
            ("expect recomputed tokens < 5", 26, "<=, >= or ="),
        ],
    )
    def test_names_the_place_and_what_may_stand_there(self, line, column, expected):
        with pytest.raises(ScenarioError) as caught:
            parse_scenario(HEAD + "\n# a comment\n" + line)
        error = caught.value
        assert (error.line, error.column) == (6, column)
        assert expected in error.expected

    def test_refuses_a_name_that_is_used_twice(self):
        """Two requests with one name would share an idempotency key and a verdict."""
        line = "at 1s ana sends question as q1\n"
        with pytest.raises(ScenarioError, match='line 5.*"q1" again'):
            parse_scenario(HEAD + line + line)

    def test_refuses_a_scenario_without_zones(self):
        with pytest.raises(ScenarioError, match="one with zones"):
            parse_scenario('scenario "nowhere"\n')


class TestParseScenario:
    """Statements are converted to the data model."""

    def test_numbers_repeated_requests_and_keeps_their_times(self):
        scenario = parse_scenario(
            HEAD + "from 1s to 2s every 500ms ana sends question of 9 tokens as q"
        )
        found = [(s.at_s, s.arguments["request"].name) for s in scenario.steps]
        assert found == [(1.0, "q-1"), (1.5, "q-2"), (2.0, "q-3")]
        assert {r.tokens for r in scenario.requests} == {9}

    def test_keeps_the_text_of_a_stated_outcome_without_its_comment(self):
        scenario = parse_scenario(
            HEAD + "at 1s ana sends question as q\nby   4s q is answered # at last"
        )
        (expectation,) = scenario.expectations
        assert (expectation.text, expectation.line) == ("by 4s q is answered", 5)
        assert (expectation.at_s, scenario.end_s) == (4.0, 5.0)
