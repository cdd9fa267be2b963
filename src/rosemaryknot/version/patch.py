"""Configuration changes as JSON Patch documents against a numbered version."""

import copy
from dataclasses import dataclass
from typing import Any

import jsonpatch
import jsonpointer

from rosemaryknot.version.document import Problem, document_problems

__all__ = ["Patch", "apply_operations", "changed_document", "operations_between"]

MAX_OPERATIONS = 1000

ERRORS = (
    jsonpatch.JsonPatchException,
    jsonpointer.JsonPointerException,
    TypeError,
    KeyError,
    ValueError,
)


@dataclass(slots=True)
class Patch:
    """Change submitted by an operator.

    Attributes
    ----------
    patch_id : str
        Id chosen by the client; identifies the change if the response is lost.
    base : int
        Version number that the patch applies to.
    operations : list of dict
        JSON Patch (RFC 6902).
    author : str
        Name of the operator.
    """

    patch_id: str
    base: int
    operations: list[dict]
    author: str


def apply_operations(document: dict, operations: Any) -> dict | list[Problem]:
    """Apply JSON Patch operations one by one to a copy of a document.

    Parameters
    ----------
    document : dict
        Base document; not modified.
    operations : list of dict
        JSON Patch.

    Returns
    -------
    result : dict or list of Problem
        The changed document, or the error of the first invalid operation.
    """
    if not isinstance(operations, list) or not operations:
        return [Problem("", "a patch is a list of at least one operation")]
    if len(operations) > MAX_OPERATIONS:
        return [Problem("", f"more than {MAX_OPERATIONS} operations")]
    changed = copy.deepcopy(document)
    for index, operation in enumerate(operations):
        try:
            changed = jsonpatch.apply_patch(changed, [operation], in_place=True)
        except ERRORS as error:
            return [Problem(f"/{index}", error_text(error))]
    return changed


def error_text(error: Exception) -> str:
    """Return why an operation cannot be applied.

    The library's messages quote the entire value that was searched or tested. Such a
    message hides the reason in a page of JSON and contains the digests of API keys.

    Examples
    --------
    >>> error_text(jsonpointer.JsonPointerException("member 'a' not found in {'b': 1}"))
    "member 'a' not found"
    >>> error_text(KeyError("a"))
    "member 'a' not found"
    """
    if isinstance(error, jsonpatch.JsonPatchTestFailed):
        return "the tested value is another one"
    if isinstance(error, KeyError):
        return f"member {error.args[0]!r} not found"
    text, searched, _ = str(error).partition(" not found in ")
    if searched:
        return f"{text} not found"
    return text or "not an operation"


def changed_document(document: dict, operations: Any) -> dict | list[Problem]:
    """Apply operations and validate the resulting document; see `apply_operations`."""
    changed = apply_operations(document, operations)
    if isinstance(changed, list):
        return changed
    return document_problems(changed) or changed


def operations_between(old: dict, new: dict) -> list[dict]:
    """Return the JSON Patch that converts the old document into the new one."""
    return jsonpatch.make_patch(old, new).patch
