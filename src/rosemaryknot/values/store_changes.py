"""Changes of a kind of object, as a store returns them to repeated queries."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from rosemaryknot.values.platform import Listed, ObjectChanged, PlatformFailed

__all__ = ["ChangeSource", "Changes", "HistoryExpired"]


@dataclass(slots=True)
class Changes:
    """Changes since a revision.

    Attributes
    ----------
    revision : int
        Revision up to which changes are included.
    events : list of ObjectChanged
        Changes in order; empty if there were none until the wait timed out.
    """

    revision: int
    events: list[ObjectChanged] = field(default_factory=list)


@dataclass(slots=True)
class HistoryExpired:
    """The store no longer has the changes since that revision."""


class ChangeSource(Protocol):
    """A store whose kinds of objects can be listed and then watched.

    Attributes
    ----------
    reconnected_s : float
        When the store last became reachable again after a failed call, in trio time.
    """

    reconnected_s: float

    async def list_objects(self, kind: str) -> Listed | PlatformFailed:
        """Read all objects of a kind."""

    async def read(self, kind: str, name: str) -> Any:
        """Read one object."""

    async def changes(
        self, kind: str, since: int, wait_s: float
    ) -> Changes | HistoryExpired | PlatformFailed:
        """Wait for changes of a kind."""
