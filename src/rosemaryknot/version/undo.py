"""Reverting an earlier change by a new patch."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from rosemaryknot.version.stored import Change, StoredConfiguration

__all__ = ["NotInHistory", "Overlap", "UndoPatch", "undo_patch"]


@dataclass(slots=True)
class UndoPatch:
    """Operations that revert a change.

    Attributes
    ----------
    base : int
        Version number that they apply to.
    operations : list of dict
        JSON Patch.
    """

    base: int
    operations: list[dict]


@dataclass(slots=True)
class Overlap:
    """Result if a later change of the same path would be reverted as well.

    Attributes
    ----------
    number : int
        Version number that the later change created.
    path : str
        JSON Pointer to the common path.
    """

    number: int
    path: str


@dataclass(slots=True)
class NotInHistory:
    """Result if the history does not contain the change, or not in full."""


def changed_paths(operations: Iterable[dict] | None) -> list[tuple[str, ...]]:
    """Return the paths that operations change, truncated at the first list index.

    After an insertion an index refers to another element, so a change of a list element
    counts as a change of the entire list.
    """
    paths = []
    for operation in operations or ():
        for key in ("path", "from"):
            if key not in operation:
                continue
            segments = operation[key].split("/")[1:]
            ends = (
                i
                for i, segment in enumerate(segments)
                if segment.isdigit() or segment == "-"
            )
            paths.append(tuple(segments[: next(ends, len(segments))]))
    return paths


def overlapping_path(
    paths: Sequence[tuple[str, ...]], other_paths: Sequence[tuple[str, ...]]
) -> str | None:
    """Return a path that both change, or None."""
    for path in paths:
        for other in other_paths:
            length = min(len(path), len(other))
            if path[:length] == other[:length]:
                return "/" + "/".join(path)
    return None


def undo_patch(
    stored: StoredConfiguration, number: int
) -> UndoPatch | Overlap | NotInHistory:
    """Return the patch that reverts one change and preserves all others.

    Parameters
    ----------
    stored : StoredConfiguration
        Current version with its history.
    number : int
        Version number that the change created.

    Returns
    -------
    patch : UndoPatch or Overlap or NotInHistory
        The patch, or the reason why the change cannot be reverted.
    """
    change: Change | None = stored.change(number)
    if change is None or change.undo is None:
        return NotInHistory()
    paths = changed_paths(change.undo)
    for later in stored.changes_since(number):
        if later.undo is None:
            return NotInHistory()
        path = overlapping_path(paths, changed_paths(later.undo))
        if path is not None:
            return Overlap(later.number, path)
    return UndoPatch(stored.number, change.undo)
