"""Errors in the text of a scenario."""

from lark import Token

__all__ = ["ScenarioError", "invalid_value_error"]


class ScenarioError(ValueError):
    """Syntax error or invalid value in the text of a scenario.

    Parameters
    ----------
    line, column : int
        Position of the error, counted from 1.
    found : str
        Text found at this position.
    expected : str
        Description of what is allowed there.
    """

    def __init__(self, line: int, column: int, found: str, expected: str) -> None:
        super().__init__(
            f"line {line}, column {column}: found {found}, expected {expected}"
        )
        self.line = line
        self.column = column
        self.found = found
        self.expected = expected


def invalid_value_error(token: Token, expected: str) -> ScenarioError:
    """Create the error for a token that is syntactically valid but not allowed."""
    return ScenarioError(token.line, token.column, f'"{token}"', expected)
