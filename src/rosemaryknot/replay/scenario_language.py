"""Parser of the scenario language, with errors that give line and column."""

from collections.abc import Sequence

from lark import Lark, Tree, UnexpectedInput
from lark.exceptions import UnexpectedCharacters, UnexpectedToken, VisitError

from rosemaryknot.replay.scenario import Scenario, Step
from rosemaryknot.replay.scenario_errors import ScenarioError
from rosemaryknot.replay.scenario_grammar import DESCRIPTIONS, GRAMMAR
from rosemaryknot.replay.scenario_names import (
    check_complete,
    check_names,
    check_requests,
)
from rosemaryknot.replay.scenario_reader import Reader

__all__ = ["PARSER", "parse_scenario"]

PARSER = Lark(GRAMMAR, parser="lalr", maybe_placeholders=True, propagate_positions=True)


def describe_terminals(terminals: set[str], parser: Lark) -> str:
    """Describe terminals of the grammar for an error message."""
    words = []
    for name in terminals:
        if name in DESCRIPTIONS:
            words.append(DESCRIPTIONS[name])
        else:
            words.append(parser.get_terminal(name).pattern.value)
    return " or ".join(sorted(words))


def parse_scenario(text: str, traced: Sequence[Step] = ()) -> Scenario:
    """Parse a scenario.

    Parameters
    ----------
    text : str
        Text of the scenario.
    traced : sequence of Step
        Requests of a trace, which are added to the steps.

    Returns
    -------
    scenario : Scenario
        Scenario in which all names are defined.

    Raises
    ------
    ScenarioError
        If the text is not a valid scenario; gives the line, the column and what
        was expected.
    """
    try:
        tree = PARSER.parse(text + "\n")
    except UnexpectedInput as error:
        raise to_scenario_error(error) from None
    reader = Reader()
    try:
        reader.transform(tree)
    except VisitError as error:
        raise error.orig_exc from None
    set_positions(reader.scenario, tree, text)
    reader.scenario.steps.extend(traced)
    check_complete(reader.scenario)
    check_names(reader.scenario)
    check_requests(reader.scenario)
    return reader.scenario


def to_scenario_error(error: UnexpectedInput) -> ScenarioError:
    """Convert an error of the parser to a `ScenarioError`."""
    if isinstance(error, UnexpectedToken):
        token = error.token
        found = "the end of the line" if token.type == "_NL" else f'"{token}"'
        if token.type == "$END":
            found = "the end of the file"
        expected = describe_terminals(set(error.accepts or error.expected), PARSER)
        return ScenarioError(error.line, error.column, found, expected)
    found = f'"{error.char}"' if isinstance(error, UnexpectedCharacters) else "this"
    expected = describe_terminals(set(getattr(error, "allowed", ()) or ()), PARSER)
    return ScenarioError(error.line, error.column, found, expected)


def set_positions(scenario: Scenario, tree: Tree, text: str) -> None:
    """Set the line and the text of each expectation."""
    lines = text.splitlines()
    stated_at = [t.meta.line for t in tree.children if t.data in ("by", "expect")]
    for expectation, line in zip(scenario.expectations, stated_at, strict=True):
        expectation.line = line
        expectation.text = " ".join(lines[line - 1].split("#")[0].split())
