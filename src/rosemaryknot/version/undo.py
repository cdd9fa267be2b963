"""Undo of an earlier change as a new patch."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from rosemaryknot.version.stored import Change, StoredConfiguration

__all__ = ["Forgotten", "Overlap", "UndoPatch", "undo_patch"]


@dataclass(slots=True)
class UndoPatch:
    """Operations that take a change back.

    Attributes
    ----------
    base : int
        Number that they apply to.
    operations : list of dict
        JSON Patch.
    """

    base: int
    operations: list[dict]


@dataclass(slots=True)
class Overlap:
    """A later change touches the same place and would be taken back as well.

    Attributes
    ----------
    number : int
        Number of the later change.
    path : str
        The place.
    """

    number: int
    path: str


@dataclass(slots=True)
class Forgotten:
    """The change is no longer remembered, or there never was one."""


def touched(operations: Iterable[dict] | None) -> list[tuple[str, ...]]:
    """Return the places that operations change, lists as a whole.

    An index into a list means another element after each insertion, so everything
    from the index on counts as the list itself.
    """
    places = []
    for operation in operations or ():
        for key in ("path", "from"):
            if key not in operation:
                continue
            parts = operation[key].split("/")[1:]
            ends = (i for i, part in enumerate(parts) if part.isdigit() or part == "-")
            places.append(tuple(parts[: next(ends, len(parts))]))
    return places


def overlap_of(
    ours: Sequence[tuple[str, ...]], theirs: Sequence[tuple[str, ...]]
) -> str | None:
    """Return a place that both touch, or None."""
    for mine in ours:
        for other in theirs:
            length = min(len(mine), len(other))
            if mine[:length] == other[:length]:
                return "/" + "/".join(mine)
    return None


def undo_patch(
    stored: StoredConfiguration, number: int
) -> UndoPatch | Overlap | Forgotten:
    """Return the patch that takes one change back and leaves all others.

    Parameters
    ----------
    stored : StoredConfiguration
        Current version with its history.
    number : int
        Number that the change made.

    Returns
    -------
    patch : UndoPatch or Overlap or Forgotten
        The patch, or why there is none.
    """
    change: Change | None = stored.change(number)
    if change is None or change.undo is None:
        return Forgotten()
    places = touched(change.undo)
    for later in stored.changes_since(number):
        if later.undo is None:
            return Forgotten()
        path = overlap_of(places, touched(later.undo))
        if path is not None:
            return Overlap(later.number, path)
    return UndoPatch(stored.number, change.undo)
