"""Changes of a kind of object, as a store returns them to repeated queries."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from rosemaryknot.values.platform import ListPage, ObjectChanged, PlatformFailed

__all__ = [
    "CURSOR_REFUSED",
    "ChangeSource",
    "Changes",
    "HistoryExpired",
    "PageSource",
]

# Reason of a failed page: the store does not accept the name after which it begins.
CURSOR_REFUSED = "cursor refused"


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


class PageSource(Protocol):
    """A store whose kinds of objects can be listed page by page."""

    async def list_page(self, kind: str, after: str) -> ListPage | PlatformFailed:
        """Read a page of the objects of a kind.

        Parameters
        ----------
        kind : str
            Kind of the objects.
        after : str
            Name after which the page begins; empty for the first page.
        """


class ChangeSource(PageSource, Protocol):
    """A store whose kinds of objects can be listed and then watched.

    Attributes
    ----------
    reconnected_s : float
        When the store last became reachable again after a failed call, in trio time.
    """

    reconnected_s: float

    async def read(self, kind: str, name: str) -> Any:
        """Read one object."""

    async def changes(
        self, kind: str, since: int, wait_s: float
    ) -> Changes | HistoryExpired | PlatformFailed:
        """Wait for changes of a kind."""
