"""What can become of a submitted patch, each a value."""

from dataclasses import dataclass

from rosemaryknot.version.document import Problem
from rosemaryknot.version.effect import Danger
from rosemaryknot.version.stored import Change

__all__ = [
    "Accepted",
    "DamagedObject",
    "DryRun",
    "InvalidPatch",
    "NeedsConfirm",
    "NotAccepted",
    "PatchUnknown",
    "ReusedPatchId",
    "StalePatch",
    "StoreConflict",
    "StoreUnavailable",
    "SubmitResult",
]


@dataclass(slots=True)
class Accepted:
    """The patch is stored and will be in force everywhere.

    Attributes
    ----------
    number : int
        Number that it made.
    patch_id : str
        Its id.
    effect : list of str
        What it changes, in words.
    """

    number: int
    patch_id: str
    effect: list[str]


@dataclass(slots=True)
class DryRun:
    """What the patch would do; nothing was changed.

    Attributes
    ----------
    number : int
        Number that it would make.
    effect : list of str
        What it would change, in words.
    dangers : list of Danger
        What must be confirmed.
    """

    number: int
    effect: list[str]
    dangers: list[Danger]


@dataclass(slots=True)
class InvalidPatch:
    """The patch does not apply, or its outcome is no good document.

    Attributes
    ----------
    problems : list of Problem
        Everything that is wrong.
    """

    problems: list[Problem]


@dataclass(slots=True)
class StalePatch:
    """The base is not the current number; nothing was changed.

    Attributes
    ----------
    number : int
        Current number.
    changes : list of Change
        What changed since the base, and by whom, as far as it is remembered.
    effect : list of str
        All changes since the base in words; empty where it is forgotten.
    """

    number: int
    changes: list[Change]
    effect: list[str]


@dataclass(slots=True)
class NeedsConfirm:
    """The patch takes something away and must be confirmed by name.

    Attributes
    ----------
    dangers : list of Danger
        What is lost and was not confirmed.
    effect : list of str
        What it would change, in words.
    """

    dangers: list[Danger]
    effect: list[str]


@dataclass(slots=True)
class StoreConflict:
    """The store holds less or something else than what is in force here.

    Attributes
    ----------
    stored : int
        Number in the store; 0 where the object is gone.
    in_force : int
        Number in force.
    """

    stored: int
    in_force: int


@dataclass(slots=True)
class ReusedPatchId:
    """Another patch was accepted under this id.

    Attributes
    ----------
    number : int
        Number that the other one made.
    """

    number: int


@dataclass(slots=True)
class StoreUnavailable:
    """The store does not answer; the patch was surely not written.

    Attributes
    ----------
    reason : str
        What came of the call.
    """

    reason: str


@dataclass(slots=True)
class DamagedObject:
    """The store's object is no configuration; nothing was changed."""


@dataclass(slots=True)
class PatchUnknown:
    """Nobody can tell yet whether the patch is or will be stored.

    Attributes
    ----------
    patch_id : str
        Id to ask again with.
    reason : str
        Why it cannot be told.
    """

    patch_id: str
    reason: str


@dataclass(slots=True)
class NotAccepted:
    """The patch is not stored and never will be.

    Attributes
    ----------
    number : int
        Current number.
    """

    number: int


SubmitResult = (
    Accepted
    | DryRun
    | InvalidPatch
    | StalePatch
    | NeedsConfirm
    | StoreConflict
    | ReusedPatchId
    | StoreUnavailable
    | DamagedObject
    | PatchUnknown
)
