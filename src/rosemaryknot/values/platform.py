"""What calls of the platform's APIs return, and what others may ask of a store.

Every outcome is a value. A failed write says whether it may have taken effect all
the same, since answers get lost after the change.
"""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Any, Protocol

from rosemaryknot.values.nodes import BackendServer

__all__ = [
    "Conflict",
    "InstanceSource",
    "Listed",
    "Missing",
    "Notice",
    "NoticeWatch",
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


@dataclass(slots=True)
class StoredObject:
    """An object as the store holds it.

    Attributes
    ----------
    version : int
        Rises with each write of any object of its kind.
    value : object
        Any JSON value.
    """

    version: int
    value: Any


@dataclass(slots=True)
class Missing:
    """There is no object or instance of that name."""


@dataclass(slots=True)
class PlatformFailed:
    """A call without a usable answer.

    Attributes
    ----------
    reason : str
        ``unreachable``, ``timeout``, ``broken``, ``unavailable``, ``bad_answer`` or
        ``status <n>``.
    maybe_done : bool
        For a write, whether it may have taken effect, now or later. False only
        where nothing can have been sent, or the platform says it did nothing.
    """

    reason: str
    maybe_done: bool = False


@dataclass(slots=True)
class Written:
    """A write took effect.

    Attributes
    ----------
    version : int
        The object's new version.
    """

    version: int


@dataclass(slots=True)
class Conflict:
    """A conditional write did not take effect: its condition does not hold.

    Attributes
    ----------
    version : int
        The object's current version; 0 where there is no such object.
    """

    version: int


@dataclass(slots=True)
class ObjectChanged:
    """One line of a watch.

    Attributes
    ----------
    name : str
        Name of the object.
    version : int
        Its new version, which rises over the whole kind.
    value : object
        Its new value; None where it was deleted.
    deleted : bool
        Whether it was deleted.
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
        Version of the kind: a watch since it misses nothing.
    objects : dict of str to StoredObject
        By name.
    """

    version: int
    objects: dict[str, StoredObject] = field(default_factory=dict)


@dataclass(slots=True)
class Notice:
    """The cloud will take an instance back.

    Attributes
    ----------
    instance : str
        The platform's name of the instance.
    deadline_unix_s : float
        When it is taken, as seconds of the epoch.
    """

    instance: str
    deadline_unix_s: float


@dataclass(slots=True)
class StartRefused:
    """The cloud has no such instance to give now.

    Attributes
    ----------
    reason : str
        What the cloud said.
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
        Price of one instance.
    """

    zone: str
    machine_class: str
    reclaimable: bool
    price_per_hour: float


class ObjectWatch(Protocol):
    """Changes of one kind of object, in order.

    The iteration ends by itself when the connection ends, or says nothing for
    longer than its idle bound. The caller then lists again over a new connection.

    Attributes
    ----------
    ended : str
        Why it ended; empty while it lasts.
    """

    ended: str

    def __aiter__(self) -> AsyncIterator[ObjectChanged]:
        """Return the iterator of changes."""


class NoticeWatch(Protocol):
    """Reclaim notices; see `ObjectWatch` for its end."""

    ended: str

    def __aiter__(self) -> AsyncIterator[Notice]:
        """Return the iterator of notices."""


class ObjectStore(Protocol):
    """The platform's object API, as `connection.platform.PlatformClient` fills it."""

    async def read(
        self, kind: str, name: str
    ) -> StoredObject | Missing | PlatformFailed:
        """Read one object."""

    async def list_objects(self, kind: str) -> Listed | PlatformFailed:
        """Read all objects of a kind in one call."""

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Written | Conflict | PlatformFailed:
        """Write an object that must not exist yet."""

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> Written | Conflict | PlatformFailed:
        """Write an object that must still have the version."""

    async def delete(
        self, kind: str, name: str, version: int
    ) -> Written | Conflict | PlatformFailed:
        """Delete an object that must still have the version."""

    def watch(
        self, kind: str, since: int | None = None
    ) -> AbstractAsyncContextManager[ObjectWatch]:
        """Follow the changes of a kind; without ``since`` starts with a list."""


class InstanceSource(Protocol):
    """The platform's instance list and reclaim notices."""

    async def instances(self) -> list[BackendServer] | PlatformFailed:
        """Return the instance list, which lags."""

    async def instance(self, name: str) -> BackendServer | Missing | PlatformFailed:
        """Return the authoritative state of one instance."""

    def watch_notices(self) -> AbstractAsyncContextManager[NoticeWatch]:
        """Follow reclaim notices; starts with those that are open."""
