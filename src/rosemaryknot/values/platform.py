"""Results of calls to the platform's APIs, and interfaces of its object store.

Every outcome is a value. A failed write states whether it may have taken effect, since
a response can be lost after the change.
"""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Any, Protocol

from rosemaryknot.values.nodes import BackendServer

__all__ = [
    "Conflict",
    "InstanceSource",
    "ListPage",
    "Listed",
    "Missing",
    "Notice",
    "NoticeWatch",
    "OUTDATED",
    "ObjectChanged",
    "ObjectStore",
    "ObjectWatch",
    "PlatformFailed",
    "Price",
    "StartRefused",
    "StoredObject",
    "TIMEOUT",
    "Written",
]

TIMEOUT = "timeout"
# Reason of a failed call whose response came from an earlier era of the store, or whose
# condition names a version of another era.
OUTDATED = "outdated"


@dataclass(slots=True)
class StoredObject:
    """An object of the store.

    Attributes
    ----------
    version : int
        Increases with each write of any object of its kind, and with each era of the
        store; see `rosemaryknot.values.store_revisions`.
    value : object
        Any JSON value.
    """

    version: int
    value: Any


@dataclass(slots=True)
class Missing:
    """There is no object or instance with that name.

    Attributes
    ----------
    version : int
        Version that is older than each one of the store's era; 0 for an instance.
    """

    version: int = 0


@dataclass(slots=True)
class PlatformFailed:
    """A call without a usable response.

    Attributes
    ----------
    reason : str
        ``unreachable``, ``timeout``, ``broken``, ``unavailable``, ``bad_answer`` or
        ``status <n>``.
    maybe_done : bool
        For a write, whether it may have taken effect, now or later. False only
        if nothing can have been sent, or the platform states that it did nothing.
    """

    reason: str
    maybe_done: bool = False


@dataclass(slots=True)
class Written:
    """A write took effect.

    Attributes
    ----------
    version : int
        New version of the object.
    """

    version: int


@dataclass(slots=True)
class Conflict:
    """A conditional write did not take effect because its condition failed.

    Attributes
    ----------
    version : int
        Current version of the object; 0 if there is no such object, or if the condition
        named a version of another era of the store.
    """

    version: int


@dataclass(slots=True)
class ObjectChanged:
    """One event of a watch.

    Attributes
    ----------
    name : str
        Name of the object.
    version : int
        New version of the object, which increases over the whole kind.
    value : object
        New value; None if it was deleted.
    deleted : bool
        Whether the object was deleted.
    """

    name: str
    version: int
    value: Any
    deleted: bool = False


@dataclass(slots=True)
class Listed:
    """All objects of a kind.

    Attributes
    ----------
    version : int
        Version of the kind; a watch that starts from it misses no change.
    objects : dict of str to StoredObject
        Objects by name.
    pages : int
        Number of responses that the list consists of.
    """

    version: int
    objects: dict[str, StoredObject] = field(default_factory=dict)
    pages: int = 0


@dataclass(slots=True)
class ListPage:
    """One page of the objects of a kind.

    Attributes
    ----------
    version : int
        Version of the store when it sent the page.
    objects : dict of str to StoredObject
        Objects by name.
    next_after : str or None
        Name after which the next page begins; None after the last page.
    """

    version: int
    objects: dict[str, StoredObject] = field(default_factory=dict)
    next_after: str | None = None


@dataclass(slots=True)
class Notice:
    """Notice that the cloud will reclaim an instance.

    Attributes
    ----------
    instance : str
        Name of the instance at the platform.
    deadline_unix_s : float
        When it is reclaimed, in seconds since the epoch.
    """

    instance: str
    deadline_unix_s: float


@dataclass(slots=True)
class StartRefused:
    """The cloud has no capacity for such an instance now.

    Attributes
    ----------
    reason : str
        Reason given by the cloud.
    """

    reason: str


@dataclass(slots=True)
class Price:
    """Current price of a kind of instance.

    Attributes
    ----------
    zone, machine_class, reclaimable
        See `rosemaryknot.values.nodes.BackendServer`.
    price_per_hour : float
        Price per hour of one instance.
    """

    zone: str
    machine_class: str
    reclaimable: bool
    price_per_hour: float


class ObjectWatch(Protocol):
    """Changes of one kind of object, in order.

    The iteration ends when the connection ends, or is silent for longer than its
    idle timeout. The user of the watch then lists again over a new connection.

    Attributes
    ----------
    ended : str
        Why the watch ended; empty while it is active.
    """

    ended: str

    def __aiter__(self) -> AsyncIterator[ObjectChanged]:
        """Return the iterator of changes."""


class NoticeWatch(Protocol):
    """Reclaim notices; ends as `ObjectWatch` does."""

    ended: str

    def __aiter__(self) -> AsyncIterator[Notice]:
        """Return the iterator of notices."""


class ObjectStore(Protocol):
    """Object API of the platform; see `connection.platform.PlatformClient`."""

    async def read(
        self, kind: str, name: str
    ) -> StoredObject | Missing | PlatformFailed:
        """Read one object."""

    async def list_objects(self, kind: str) -> Listed | PlatformFailed:
        """Read all objects of a kind in one call."""

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Written | Conflict | PlatformFailed:
        """Create an object that must not exist yet."""

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> Written | Conflict | PlatformFailed:
        """Update an object if it still has the version."""

    async def delete(
        self, kind: str, name: str, version: int
    ) -> Written | Conflict | PlatformFailed:
        """Delete an object if it still has the version."""

    def watch(
        self, kind: str, since: int | None = None
    ) -> AbstractAsyncContextManager[ObjectWatch]:
        """Watch the changes of a kind; without ``since`` start with a list."""


class InstanceSource(Protocol):
    """Instance list and reclaim notices of the platform."""

    async def instances(self) -> list[BackendServer] | PlatformFailed:
        """Return the instance list, which may be out of date."""

    async def instance(self, name: str) -> BackendServer | Missing | PlatformFailed:
        """Return the authoritative state of one instance."""

    def watch_notices(self) -> AbstractAsyncContextManager[NoticeWatch]:
        """Watch reclaim notices, starting with those that are pending."""
