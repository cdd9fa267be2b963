"""Errors in a settings file with their messages and locations."""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

__all__ = [
    "SettingsError",
    "check_json",
    "os_error_text",
    "convert_errors",
    "format_path",
]

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
    """One error in a settings file.

    Attributes
    ----------
    path : str
        Location, such as ``listen.callers`` or ``peers[0]``; empty for the whole
        file.
    reason : str
        Message, which never contains the value since that may be a secret.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}" if self.path else self.reason


def format_path(location: Sequence[str | int]) -> str:
    """Return a location in dotted notation.

    Examples
    --------
    >>> format_path(("peers", 0))
    'peers[0]'
    >>> format_path(("listen", "callers"))
    'listen.callers'
    """
    text = ""
    for part in location:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")


def error_reason(error: Mapping[str, Any]) -> str:
    """Return the message for an error of pydantic, without the value."""
    known = MESSAGES.get(error["type"])
    if known is not None:
        return known
    message = error["msg"].removeprefix("Value error, ")
    return message.replace("Input should be", "must be", 1)


def convert_errors(invalid: ValidationError) -> list[SettingsError]:
    """Convert the errors of a pydantic validation."""
    found = invalid.errors(include_url=False, include_input=False)
    return [SettingsError(format_path(e["loc"]), error_reason(e)) for e in found]


def os_error_text(error: Exception) -> str:
    """Return the system message for an error, without path or value."""
    return getattr(error, "strerror", None) or type(error).__name__


def reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build a JSON object; raise `ValueError` for a duplicate key."""
    built = dict(pairs)
    if len(built) < len(pairs):
        keys = [key for key, _ in pairs]
        duplicate = next(key for key in keys if keys.count(key) > 1)
        # JSON parsers keep the last of two equal keys. An operator who edits the first
        # one would see neither an effect nor an error.
        raise ValueError(f"{duplicate!r} is a duplicate key in one object")
    return built


def check_json(text: str) -> SettingsError | None:
    """Return the error if the text is invalid JSON, or None."""
    try:
        json.loads(text, object_pairs_hook=reject_duplicate_keys)
    except json.JSONDecodeError as error:
        position = f"line {error.lineno} column {error.colno}"
        return SettingsError("", f"invalid JSON: {error.msg} at {position}")
    except (ValueError, RecursionError) as error:
        return SettingsError("", f"invalid JSON: {error}")
    return None
