"""The platform's store as an `ObjectStore`, with watches that wait for changes."""

import json
from typing import Any

import httpx

from rosemaryknot.connection.network import Network
from rosemaryknot.connection.platform_calls import BAD_ANSWER, PlatformCalls
from rosemaryknot.platform.store_answers import (
    changed_objects,
    item_of,
    objects_of,
    page_of,
    stored_object,
)
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.platform import (
    Conflict,
    Listed,
    Missing,
    PlatformFailed,
    StoredObject,
    Written,
)
from rosemaryknot.values.store_changes import Changes, HistoryGone

__all__ = ["PlatformStore"]

JSON = {"content-type": "application/json"}
OK = (200, 201)
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
MAX_PAGES = 1000


def object_path(kind: str, name: str = "") -> str:
    """Return the path of a kind, or of one of its objects."""
    return f"/v1/objects/{kind}" + (f"/{name}" if name else "")


def wrapped(name: str, value: Any, revision: int | None = None) -> bytes:
    """Return a value as the body of a write."""
    metadata: dict[str, Any] = {"name": name, "finalizers": []}
    if revision is not None:
        metadata["revision"] = revision
    return json.dumps({"metadata": metadata, "spec": value}).encode()


def written(response: httpx.Response | PlatformFailed) -> Any:
    """Return what a write came to."""
    if isinstance(response, PlatformFailed):
        return response
    try:
        if response.status_code in OK:
            return Written(int(response.json()["metadata"]["revision"]))
        if response.status_code == CONFLICT:
            return Conflict(int(response.json()["metadata"]["revision"]))
        if response.status_code == NOT_FOUND:
            return Conflict(0)
    except (ValueError, KeyError, TypeError):
        return PlatformFailed(BAD_ANSWER, maybe_done=True)
    return PlatformFailed(f"status {response.status_code}")


class PlatformStore:
    """The store at an address; every outcome is a value.

    Parameters
    ----------
    network : Network
        Where connections come from.
    address : Address
        Of the store.
    """

    def __init__(self, network: Network, address: Address) -> None:
        self.calls = PlatformCalls(network, address)

    @property
    def returned_s(self) -> float:
        """When the store was last there again after a call that had failed."""
        return self.calls.returned_s

    async def aclose(self) -> None:
        """Close the kept connections."""
        await self.calls.aclose()

    async def read(
        self, kind: str, name: str
    ) -> StoredObject | Missing | PlatformFailed:
        """Read one object."""
        response = await self.calls.get(object_path(kind, name))
        if isinstance(response, PlatformFailed):
            return response
        if response.status_code == NOT_FOUND:
            return Missing()
        # A value that cannot be read is no object; its revision is not known then.
        found = parsed(response, lambda content: stored_object(item_of(content), kind))
        return PlatformFailed(BAD_ANSWER) if found is None else found

    async def list_objects(self, kind: str) -> Listed | PlatformFailed:
        """Read all objects of a kind, page by page."""
        listed = Listed(0)
        after = ""
        for _ in range(MAX_PAGES):
            query = f"?sinceRevision={after}" if after else ""
            response = await self.calls.get(object_path(kind) + query)
            page = parsed(response, lambda content: page_of(content, "items"))
            if isinstance(page, PlatformFailed):
                return page
            try:
                # The first page's revision: a change between two pages is then
                # seen again in the watch rather than missed.
                listed.version = listed.version or int(page["storeRevision"])
            except (ValueError, KeyError, TypeError, OverflowError):
                return PlatformFailed(BAD_ANSWER)
            found = objects_of(page["items"], kind)
            listed.objects |= found
            if not page.get("hasMore"):
                return listed
            if not found:
                return PlatformFailed(BAD_ANSWER)
            after = list(found)[-1]
        return PlatformFailed("too many pages")

    async def create(self, kind: str, name: str, value: Any) -> Any:
        """Write an object that must not exist yet."""
        return await self.write("POST", object_path(kind), wrapped(name, value))

    async def update(self, kind: str, name: str, value: Any, version: int) -> Any:
        """Write an object that must still have the version."""
        content = wrapped(name, value, version)
        return await self.write("PUT", object_path(kind, name), content)

    async def write(self, method: str, path: str, content: bytes) -> Any:
        """Send a write."""
        return written(await self.calls.call(method, path, content, JSON))

    async def changes(
        self, kind: str, since: int, wait_s: float
    ) -> Changes | HistoryGone | PlatformFailed:
        """Wait for changes of a kind.

        Parameters
        ----------
        kind : str
            Kind of the objects.
        since : int
            Revision up to which changes are known.
        wait_s : float
            How long the store holds the answer while there are none, in seconds.

        Returns
        -------
        changes : Changes or HistoryGone or PlatformFailed
            `HistoryGone` where only a list helps.
        """
        query = f"?watch={since}&waitMs={int(wait_s * 1000)}"
        path = object_path(kind) + query
        response = await self.calls.call("GET", path, wait_s=wait_s)
        if isinstance(response, PlatformFailed):
            return response
        if response.status_code == GONE:
            return HistoryGone()
        return parsed(response, lambda content: changes_of(content, kind))


def changes_of(content: bytes, kind: str) -> Changes:
    """Return the changes that an answer to a watch tells."""
    page = page_of(content, "events")
    return Changes(int(page["storeRevision"]), changed_objects(page["events"], kind))


def parsed(response: httpx.Response | PlatformFailed, parse: Any) -> Any:
    """Return what an answer says, or a failure where it makes no sense."""
    if isinstance(response, PlatformFailed):
        return response
    if response.status_code not in OK:
        return PlatformFailed(f"status {response.status_code}")
    try:
        return parse(response.content)
    except (ValueError, KeyError, TypeError, OverflowError):
        return PlatformFailed(BAD_ANSWER)
