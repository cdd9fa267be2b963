"""The platform's store as an `ObjectStore`, with watches that wait for changes."""

import json
from typing import Any

import httpx

from rosemaryknot.connection.network import Network
from rosemaryknot.connection.platform_calls import BAD_ANSWER, PlatformCalls
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.platform import (
    Conflict,
    Listed,
    Missing,
    ObjectChanged,
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


def stored_object(item: dict) -> StoredObject:
    """Return an object; its ``spec`` holds the value."""
    return StoredObject(int(item["metadata"]["revision"]), item.get("spec"))


def changed_object(event: dict) -> ObjectChanged:
    """Return one change of a watch."""
    item = event["object"]
    is_deleted = bool(event.get("deleted"))
    return ObjectChanged(
        item["metadata"]["name"],
        int(item["metadata"]["revision"]),
        None if is_deleted else item.get("spec"),
        is_deleted,
    )


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
    def returns(self) -> int:
        """How often the store was there again after a call that failed."""
        return self.calls.returns

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
        return parsed(response, stored_object)

    async def list_objects(self, kind: str) -> Listed | PlatformFailed:
        """Read all objects of a kind, page by page."""
        listed = Listed(0)
        after = ""
        for _ in range(MAX_PAGES):
            query = f"?sinceRevision={after}" if after else ""
            response = await self.calls.get(object_path(kind) + query)
            page = parsed(response, lambda data: data)
            if isinstance(page, PlatformFailed):
                return page
            try:
                names = [item["metadata"]["name"] for item in page["items"]]
                found = [stored_object(item) for item in page["items"]]
                # The first page's revision: a change between two pages is then
                # seen again in the watch rather than missed.
                listed.version = listed.version or int(page["storeRevision"])
                listed.objects |= dict(zip(names, found, strict=True))
                if not page.get("hasMore") or not names:
                    return listed
                after = names[-1]
            except (ValueError, KeyError, TypeError):
                return PlatformFailed(BAD_ANSWER)
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
        return parsed(
            response,
            lambda data: Changes(
                int(data["storeRevision"]),
                [changed_object(event) for event in data["events"]],
            ),
        )


def parsed(response: httpx.Response | PlatformFailed, parse: Any) -> Any:
    """Return what an answer says, or a failure where it makes no sense."""
    if isinstance(response, PlatformFailed):
        return response
    if response.status_code not in OK:
        return PlatformFailed(f"status {response.status_code}")
    try:
        return parse(response.json())
    except (ValueError, KeyError, TypeError):
        return PlatformFailed(BAD_ANSWER)
