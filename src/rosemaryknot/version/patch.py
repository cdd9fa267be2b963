"""A change of the configuration: JSON Patch against a numbered version."""

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
    """What an operator wants changed.

    Attributes
    ----------
    patch_id : str
        Chosen by the operator's program; names the change when its answer is lost.
    base : int
        Number that the operator looked at.
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
    """Apply JSON Patch operations one by one to a copy.

    Parameters
    ----------
    document : dict
        Base document; left as it is.
    operations : list of dict
        JSON Patch.

    Returns
    -------
    result : dict or list of Problem
        The changed document, or what is wrong with the first bad operation.
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

    The library's texts quote the whole of what was searched or tested: a page of JSON
    that hides the reason, with the digests of keys in it.

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
    """Apply operations and check the outcome whole; see `apply_operations`."""
    changed = apply_operations(document, operations)
    if isinstance(changed, list):
        return changed
    return document_problems(changed) or changed


def operations_between(old: dict, new: dict) -> list[dict]:
    """Return the JSON Patch that makes one document of the other."""
    return jsonpatch.make_patch(old, new).patch
