"""Result types of a submitted patch."""

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
    """Result for a patch that is stored and will be applied by every node.

    Attributes
    ----------
    number : int
        Version number that the patch created.
    patch_id : str
        Id of the patch.
    effect : list of str
        Descriptions of what it changes.
    """

    number: int
    patch_id: str
    effect: list[str]


@dataclass(slots=True)
class DryRun:
    """Result of a dry run; nothing was changed.

    Attributes
    ----------
    number : int
        Version number that the patch would create.
    effect : list of str
        Descriptions of what it would change.
    dangers : list of Danger
        Losses that must be confirmed.
    """

    number: int
    effect: list[str]
    dangers: list[Danger]


@dataclass(slots=True)
class InvalidPatch:
    """Result for a patch that does not apply or yields an invalid document.

    Attributes
    ----------
    problems : list of Problem
        All errors of the patch.
    """

    problems: list[Problem]


@dataclass(slots=True)
class StalePatch:
    """Result for a patch whose base is not the current version; nothing was changed.

    Attributes
    ----------
    number : int
        Current version number.
    changes : list of Change
        Changes since the base that are in the history.
    effect : list of str
        Descriptions of all changes since the base; empty if the base is no longer in
        the history.
    """

    number: int
    changes: list[Change]
    effect: list[str]


@dataclass(slots=True)
class NeedsConfirm:
    """Result for a patch with losses that must be confirmed by name.

    Attributes
    ----------
    dangers : list of Danger
        Losses that were not confirmed.
    effect : list of str
        Descriptions of what the patch would change.
    """

    dangers: list[Danger]
    effect: list[str]


@dataclass(slots=True)
class StoreConflict:
    """Result for a store that lacks the current version of this node.

    Attributes
    ----------
    stored : int
        Version number in the store; 0 if the object is missing.
    in_force : int
        Current version number of this node.
    """

    stored: int
    in_force: int


@dataclass(slots=True)
class ReusedPatchId:
    """Result for a patch id under which another patch was accepted.

    Attributes
    ----------
    number : int
        Version number that the other patch created.
    """

    number: int


@dataclass(slots=True)
class StoreUnavailable:
    """Result for an unreachable store; the patch was certainly not written.

    Attributes
    ----------
    reason : str
        Why the call failed.
    """

    reason: str


@dataclass(slots=True)
class DamagedObject:
    """Result for a stored object that is not a configuration; nothing was changed."""


@dataclass(slots=True)
class PatchUnknown:
    """Result for a patch that may or may not be stored, now or later.

    Attributes
    ----------
    patch_id : str
        Id for querying the result again.
    reason : str
        Why the result is unknown.
    """

    patch_id: str
    reason: str


@dataclass(slots=True)
class NotAccepted:
    """Result for a patch that is not stored and can no longer be accepted.

    Attributes
    ----------
    number : int
        Current version number.
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
