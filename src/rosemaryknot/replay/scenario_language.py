"""Reads scenarios: text to values, with errors that name the place."""

from collections.abc import Sequence

from lark import Lark, Tree, UnexpectedInput
from lark.exceptions import UnexpectedCharacters, UnexpectedToken, VisitError

from rosemaryknot.replay.scenario import Scenario, Step
from rosemaryknot.replay.scenario_errors import ScenarioError
from rosemaryknot.replay.scenario_grammar import DESCRIPTIONS, GRAMMAR
from rosemaryknot.replay.scenario_names import (
    check_names,
    check_requests,
    check_whole,
)
from rosemaryknot.replay.scenario_reader import Reader

__all__ = ["PARSER", "parse_scenario"]

PARSER = Lark(GRAMMAR, parser="lalr", maybe_placeholders=True, propagate_positions=True)


def described(terminals: set[str], parser: Lark) -> str:
    """Return terminals in words."""
    words = []
    for name in terminals:
        if name in DESCRIPTIONS:
            words.append(DESCRIPTIONS[name])
        else:
            words.append(parser.get_terminal(name).pattern.value)
    return " or ".join(sorted(words))


def parse_scenario(text: str, traced: Sequence[Step] = ()) -> Scenario:
    """Read a scenario.

    Parameters
    ----------
    text : str
        Its text.
    traced : sequence of Step
        Requests of a trace, which happen besides.

    Returns
    -------
    scenario : Scenario
        All names in it are known.

    Raises
    ------
    ScenarioError
        If it is none; with line, column and what was expected.
    """
    try:
        tree = PARSER.parse(text + "\n")
    except UnexpectedInput as error:
        raise syntax_error(error) from None
    reader = Reader()
    try:
        reader.transform(tree)
    except VisitError as error:
        raise error.orig_exc from None
    add_places(reader.scenario, tree, text)
    reader.scenario.steps.extend(traced)
    check_whole(reader.scenario)
    check_names(reader.scenario)
    check_requests(reader.scenario)
    return reader.scenario


def syntax_error(error: UnexpectedInput) -> ScenarioError:
    """Return what the parser found in our words."""
    if isinstance(error, UnexpectedToken):
        token = error.token
        found = "the end of the line" if token.type == "_NL" else f'"{token}"'
        if token.type == "$END":
            found = "the end of the file"
        expected = described(set(error.accepts or error.expected), PARSER)
        return ScenarioError(error.line, error.column, found, expected)
    found = f'"{error.char}"' if isinstance(error, UnexpectedCharacters) else "this"
    expected = described(set(getattr(error, "allowed", ()) or ()), PARSER)
    return ScenarioError(error.line, error.column, found, expected)


def add_places(scenario: Scenario, tree: Tree, text: str) -> None:
    """Fill in where each expectation stands."""
    lines = text.splitlines()
    stated_at = [t.meta.line for t in tree.children if t.data in ("by", "expect")]
    for expectation, line in zip(scenario.expectations, stated_at, strict=True):
        expectation.line = line
        expectation.text = " ".join(lines[line - 1].split("#")[0].split())
