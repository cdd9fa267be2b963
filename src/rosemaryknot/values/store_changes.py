"""Changes of a kind of object, as a store that is asked again and again tells them."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from rosemaryknot.values.platform import Listed, ObjectChanged, PlatformFailed

__all__ = ["ChangeSource", "Changes", "HistoryGone"]


@dataclass(slots=True)
class Changes:
    """Changes since a revision.

    Attributes
    ----------
    revision : int
        Up to which changes are known now.
    events : list of ObjectChanged
        In order; empty where the wait was over.
    """

    revision: int
    events: list[ObjectChanged] = field(default_factory=list)


@dataclass(slots=True)
class HistoryGone:
    """The store has forgotten the changes since that revision."""


class ChangeSource(Protocol):
    """A store whose kinds can be listed and then followed.

    Attributes
    ----------
    returned_s : float
        When it was last there again after a call that had failed, in trio time.
    """

    returned_s: float

    async def list_objects(self, kind: str) -> Listed | PlatformFailed:
        """Read all objects of a kind."""

    async def read(self, kind: str, name: str) -> Any:
        """Read one object."""

    async def changes(
        self, kind: str, since: int, wait_s: float
    ) -> Changes | HistoryGone | PlatformFailed:
        """Wait for changes of a kind."""
