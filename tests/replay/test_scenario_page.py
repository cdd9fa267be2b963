"""Tests that run all examples of the documentation of the scenario language."""

import re
from pathlib import Path

import pytest

from rosemaryknot.replay.scenario_language import PARSER, parse_scenario
from rosemaryknot.replay.scenario_run import run_scenario

PAGE = Path(__file__).parents[2] / "docs" / "SCENARIOS.md"
BLOCKS = re.findall(r"```scenario\n(.*?)```", PAGE.read_text(), re.DOTALL)
HEAD = BLOCKS[0].split("\n\n")[0] + "\n"


def whole(block: str) -> str:
    """Return an example, preceded by the common head if it has none."""
    return block if "scenario " in block else HEAD + block


class TestPage:
    """The documentation agrees with the program."""

    @pytest.mark.parametrize("block", BLOCKS)
    def test_each_example_holds(self, block):
        report = run_scenario(parse_scenario(whole(block)))
        wrong = [(v.expectation.text, v.seen) for v in report.verdicts if v.seen]
        assert report.verdicts
        assert wrong == []

    def test_each_rule_of_the_grammar_has_an_example(self):
        rules = {str(rule.alias or rule.origin.name) for rule in PARSER.rules}
        used = set()
        for block in BLOCKS:
            tree = PARSER.parse(whole(block) + "\n")
            used |= {str(found.data) for found in tree.iter_subtrees()}
        named = {rule for rule in rules if not rule.startswith("_")}
        assert named - used == set()
