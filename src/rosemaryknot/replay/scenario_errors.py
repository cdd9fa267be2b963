"""Errors of a scenario's text."""

from lark import Token

__all__ = ["ScenarioError", "wrong_value"]


class ScenarioError(ValueError):
    """A text that is no scenario.

    Parameters
    ----------
    line, column : int
        Where, from 1.
    found : str
        What stands there.
    expected : str
        What may stand there.
    """

    def __init__(self, line: int, column: int, found: str, expected: str) -> None:
        super().__init__(
            f"line {line}, column {column}: found {found}, expected {expected}"
        )
        self.line = line
        self.column = column
        self.found = found
        self.expected = expected


def wrong_value(token: Token, expected: str) -> ScenarioError:
    """Return the error of a word that fits the grammar and nothing else."""
    return ScenarioError(token.line, token.column, f'"{token}"', expected)
