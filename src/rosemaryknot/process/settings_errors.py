"""Faults of a settings file, in words and with their exact places."""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

__all__ = ["SettingsError", "check_json", "error_text", "errors_of", "path_text"]

MESSAGES = {
    "missing": "is missing",
    "unexpected_keyword_argument": "is not a known setting",
    "dataclass_type": "must be an object",
    "string_type": "must be text",
    "int_type": "must be a whole number",
    "float_type": "must be a number",
    "finite_number": "must be a finite number",
    "list_type": "must be a list",
    "string_pattern_mismatch": "must be lower-case letters, digits and dashes",
}


@dataclass(slots=True)
class SettingsError:
    """One fault of a settings file.

    Attributes
    ----------
    path : str
        Exact place, such as ``listen.callers`` or ``peers[0]``; empty for the file
        as a whole.
    reason : str
        What is wrong. Never holds the value, which may be a secret.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}" if self.path else self.reason


def path_text(location: Sequence[str | int]) -> str:
    """Return a place as people write it.

    Examples
    --------
    >>> path_text(("peers", 0))
    'peers[0]'
    >>> path_text(("listen", "callers"))
    'listen.callers'
    """
    text = ""
    for part in location:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")


def reason_text(error: Mapping[str, Any]) -> str:
    """Return one of pydantic's errors as a sentence without the value."""
    known = MESSAGES.get(error["type"])
    if known is not None:
        return known
    message = error["msg"].removeprefix("Value error, ")
    return message.replace("Input should be", "must be", 1)


def errors_of(invalid: ValidationError) -> list[SettingsError]:
    """Return all of pydantic's errors as ours."""
    found = invalid.errors(include_url=False, include_input=False)
    return [SettingsError(path_text(e["loc"]), reason_text(e)) for e in found]


def error_text(error: Exception) -> str:
    """Return the system's words for an error, without path or value."""
    return getattr(error, "strerror", None) or type(error).__name__


def refuse_repeated_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build a JSON object, or refuse it when a key stands in it twice."""
    built = dict(pairs)
    if len(built) < len(pairs):
        keys = [key for key, _ in pairs]
        twice = next(key for key in keys if keys.count(key) > 1)
        # JSON readers keep the last of two; a person who edits the first one would
        # see no effect and no message.
        raise ValueError(f"{twice!r} stands twice in one object")
    return built


def check_json(text: str) -> SettingsError | None:
    """Return what makes the text no JSON, or None."""
    try:
        json.loads(text, object_pairs_hook=refuse_repeated_keys)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno} column {error.colno}"
        return SettingsError("", f"no JSON: {error.msg} at {place}")
    except (ValueError, RecursionError) as error:
        return SettingsError("", f"no JSON: {error}")
    return None
