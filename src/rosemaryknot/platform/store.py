"""Client of the platform's object store, with watches by long polling."""

import json
from typing import Any
from urllib.parse import quote

import httpx

from rosemaryknot.connection.network import Network
from rosemaryknot.connection.platform_calls import (
    BAD_RESPONSE,
    TOO_MANY_REQUESTS,
    PlatformCalls,
    era_of_response,
)
from rosemaryknot.connection.store_era import EraTracker
from rosemaryknot.platform.list_cursors import next_cursor
from rosemaryknot.platform.store_responses import (
    AnswerError,
    decode_events,
    decode_object,
    decode_objects,
    names_of,
    parse_item,
    parse_page,
)
from rosemaryknot.values.json_text import JSON_ERRORS
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.platform import (
    OUTDATED,
    Conflict,
    ListPage,
    Missing,
    PlatformFailed,
    StoredObject,
    Written,
)
from rosemaryknot.values.store_changes import CURSOR_REFUSED, Changes, HistoryExpired
from rosemaryknot.values.store_revisions import era_of, qualified, revision_of

__all__ = ["PlatformStore"]

JSON = {"content-type": "application/json"}
OK = (200, 201)
NO_CONTENT = 204
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
# Rises by one each time the store has been restored from a copy.
ERA_HEADER = "store-era"


def path_segment(name: str) -> str:
    """Return a name as a segment of a path."""
    # Clients and servers remove the segments "." and ".." from a path.
    return quote(name, safe="") if name.strip(".") else name.replace(".", "%2E")


def object_path(kind: str, name: str = "") -> str:
    """Return the path of a kind of object, or of one object."""
    path = f"/v1/objects/{path_segment(kind)}"
    return f"{path}/{path_segment(name)}" if name else path


def encode_object(name: str, value: Any, revision: int | None = None) -> bytes:
    """Encode a value as the body of a write."""
    metadata: dict[str, Any] = {"name": name, "finalizers": []}
    if revision is not None:
        metadata["revision"] = revision_of(revision)
    return json.dumps({"metadata": metadata, "spec": value}).encode()


def decode_revision(response: httpx.Response) -> int:
    """Return the revision of the object that a response to a write contains."""
    # The value of the object need not be readable.
    revision = int(parse_item(response.content)["metadata"]["revision"])
    return qualified(era_of_response(response), revision)


def decode_write(response: httpx.Response | PlatformFailed) -> Any:
    """Return the outcome of a write."""
    if isinstance(response, PlatformFailed):
        return response
    try:
        if response.status_code in OK:
            return Written(decode_revision(response))
        if response.status_code == CONFLICT:
            return Conflict(decode_revision(response))
        if response.status_code == NOT_FOUND:
            return Conflict(0)
    except JSON_ERRORS:
        return PlatformFailed(BAD_RESPONSE, maybe_done=True)
    return PlatformFailed(f"status {response.status_code}")


class PlatformStore:
    """Client of the object store; every outcome is a value.

    Parameters
    ----------
    network : Network
        Opens the connections.
    address : Address
        Address of the store.
    """

    def __init__(self, network: Network, address: Address) -> None:
        self.calls = PlatformCalls(network, address, era_header=ERA_HEADER)

    @property
    def eras(self) -> EraTracker:
        """Era of the store, from the responses to all calls."""
        return self.calls.eras

    @property
    def reconnected_s(self) -> float:
        """When the store last became reachable again after a failed call."""
        return self.calls.reconnected_s

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self.calls.aclose()

    async def read(
        self, kind: str, name: str
    ) -> StoredObject | Missing | PlatformFailed:
        """Read one object."""
        response = await self.calls.get(object_path(kind, name))
        if isinstance(response, PlatformFailed):
            return response
        era = era_of_response(response)
        if response.status_code == NOT_FOUND:
            return Missing(qualified(era, 0))
        # A response that cannot be parsed gives no object, as its revision is unknown.
        found = decode_response(
            response, lambda content: decode_object(parse_item(content), kind, era)
        )
        return PlatformFailed(BAD_RESPONSE) if found is None else found

    async def list_page(self, kind: str, after: str) -> ListPage | PlatformFailed:
        """Read a page of the objects of a kind; see `PageSource`."""
        query = f"?sinceRevision={quote(after, safe='')}" if after else ""
        response = await self.calls.get(object_path(kind) + query)
        if isinstance(response, PlatformFailed):
            return response
        status = response.status_code
        if after and 400 <= status < 500 and status != TOO_MANY_REQUESTS:
            return PlatformFailed(CURSOR_REFUSED)
        era = era_of_response(response)
        return decode_response(
            response, lambda content: decode_page(content, kind, era)
        )

    async def create(self, kind: str, name: str, value: Any) -> Any:
        """Create an object that must not exist yet."""
        return await self.write("POST", object_path(kind), encode_object(name, value))

    async def update(self, kind: str, name: str, value: Any, version: int) -> Any:
        """Update an object if it still has the version."""
        content = encode_object(name, value, version)
        return await self.write("PUT", object_path(kind, name), content, version)

    async def delete(self, kind: str, name: str, version: int) -> Any:
        """Delete an object if it still has the version."""
        path = f"{object_path(kind, name)}?revision={revision_of(version)}"
        response = await self.calls.write("DELETE", path, version=version)
        if isinstance(response, (Conflict, PlatformFailed)):
            return response
        if response.status_code in (*OK, NO_CONTENT, NOT_FOUND):
            return Written(version)
        return decode_write(response)

    async def write(
        self, method: str, path: str, content: bytes, version: int | None = None
    ) -> Any:
        """Send a write, whose condition names a version unless it creates."""
        response = await self.calls.write(method, path, content, JSON, version)
        return response if isinstance(response, Conflict) else decode_write(response)

    async def changes(
        self, kind: str, since: int, wait_s: float
    ) -> Changes | HistoryExpired | PlatformFailed:
        """Wait for changes of a kind.

        Parameters
        ----------
        kind : str
            Kind of the objects.
        since : int
            Revision up to which changes are known, with the era of the store.
        wait_s : float
            How long the store delays the response if there are no changes, in
            seconds.

        Returns
        -------
        changes : Changes or HistoryExpired or PlatformFailed
            `HistoryExpired` if the objects must be listed again: the store has dropped
            the history, or has another one.
        """
        if self.calls.eras.era > era_of(since):
            return HistoryExpired()
        query = f"?watch={revision_of(since)}&waitMs={int(wait_s * 1000)}"
        path = object_path(kind) + query
        response = await self.calls.call("GET", path, wait_s=wait_s)
        if isinstance(response, PlatformFailed):
            return response
        era = era_of_response(response)
        if era < era_of(since):
            return PlatformFailed(OUTDATED)
        if response.status_code == GONE or era > era_of(since):
            return HistoryExpired()
        changes = decode_response(
            response, lambda content: decode_changes(content, kind, era)
        )
        # Without eras, only a revision that has gone back shows another history.
        if isinstance(changes, Changes) and changes.revision < since:
            return HistoryExpired()
        return changes


def decode_page(content: bytes, kind: str, era: int) -> ListPage:
    """Decode a page of a list."""
    page = parse_page(content, "items")
    version = qualified(era, int(page["storeRevision"]))
    objects = decode_objects(page["items"], kind, era)
    if not page.get("hasMore"):
        return ListPage(version, objects)
    names = names_of(page["items"])
    if not names:
        raise AnswerError("no name to go on from")
    return ListPage(version, objects, next_cursor(names))


def decode_changes(content: bytes, kind: str, era: int) -> Changes:
    """Decode the changes from the response to a watch."""
    page = parse_page(content, "events")
    revision = qualified(era, int(page["storeRevision"]))
    return Changes(revision, decode_events(page["events"], kind, era))


def decode_response(response: httpx.Response | PlatformFailed, parse: Any) -> Any:
    """Parse the content of a response, or return a failure if it is invalid."""
    if isinstance(response, PlatformFailed):
        return response
    if response.status_code not in OK:
        return PlatformFailed(f"status {response.status_code}")
    try:
        return parse(response.content)
    except JSON_ERRORS:
        return PlatformFailed(BAD_RESPONSE)
