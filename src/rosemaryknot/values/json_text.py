"""Parsing of JSON that another program wrote."""

import json
from typing import Any

__all__ = ["JSON_ERRORS", "parse_json"]

# What parsing JSON and reading fields of the result may raise. A number such as 1e999
# is infinite, and no integer.
JSON_ERRORS = (ValueError, TypeError, LookupError, AttributeError, OverflowError)


def parse_json(text: str | bytes) -> Any:
    """Parse a JSON text.

    Raises
    ------
    ValueError
        If it is no JSON, or nested more deeply than the parser allows.

    Examples
    --------
    >>> parse_json("[" * 9000)
    Traceback (most recent call last):
        ...
    ValueError: JSON is nested too deeply
    """
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("JSON is nested too deeply") from error
