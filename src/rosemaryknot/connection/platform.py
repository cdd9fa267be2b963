"""Client for the platform: object API, instance list and cloud API."""

import json
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Any, TypeVar
from urllib.parse import quote

import httpx

from rosemaryknot.connection.network import Network
from rosemaryknot.connection.platform_calls import (
    BAD_RESPONSE,
    IDLE_TIMEOUT_S,
    TIMEOUT_S,
    PlatformCalls,
    Watch,
    era_of_response,
)
from rosemaryknot.values.json_text import JSON_ERRORS, parse_json
from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.values.platform import (
    Conflict,
    Listed,
    Missing,
    Notice,
    ObjectChanged,
    PlatformFailed,
    Price,
    StartRefused,
    StoredObject,
    Written,
)
from rosemaryknot.values.servers import server_from_dict
from rosemaryknot.values.store_revisions import qualified, revision_of

__all__ = ["PlatformClient"]

# Rises by one each time the objects have been restored from a copy.
ERA_HEADER = "object-era"

Item = TypeVar("Item")


def kind_path(kind: str) -> str:
    """Return the path of a kind of object."""
    return f"/objects/{quote(kind, safe='')}"


def object_path(kind: str, name: str) -> str:
    """Return the path of an object."""
    return f"{kind_path(kind)}/{quote(name, safe='')}"


def decode_object(data: dict, era: int) -> StoredObject:
    """Decode the response to a read of an object."""
    return StoredObject(qualified(era, data["version"]), data["value"])


def decode_list(data: dict, era: int) -> Listed:
    """Decode the response to a list of objects."""
    objects = {entry["name"]: decode_object(entry, era) for entry in data["objects"]}
    return Listed(qualified(era, data["version"]), objects)


def decode_change(line: dict) -> ObjectChanged:
    """Decode a line of a watch of objects."""
    deleted = bool(line.get("deleted", False))
    return ObjectChanged(line["name"], line["version"], line["value"], deleted)


def decode_notice(line: dict) -> Notice:
    """Decode a line of the watch of reclaim notices."""
    return Notice(line["instance"], line["deadline_unix_s"])


def decode_response(
    response: httpx.Response, parse: Callable[[Any], Item], maybe_done: bool = False
) -> Item | PlatformFailed:
    """Decode the body of a response, or return a failure if it is malformed."""
    try:
        return parse(parse_json(response.content))
    except JSON_ERRORS:
        return PlatformFailed(BAD_RESPONSE, maybe_done)


def decode_outcome(
    response: httpx.Response | PlatformFailed, by_status: dict[int, Callable]
) -> Any:
    """Decode the outcome of a call by the status of its response.

    Parameters
    ----------
    response : httpx.Response or PlatformFailed
        Response, or a failure, which is returned unchanged.
    by_status : dict of int to callable
        Functions that decode the JSON body, for each expected status.

    Returns
    -------
    outcome : object
        The decoded outcome. A `PlatformFailed` if the status is unexpected; the
        platform did nothing in that case.
    """
    if isinstance(response, PlatformFailed):
        return response
    parse = by_status.get(response.status_code)
    if parse is None:
        return PlatformFailed(f"status {response.status_code}")
    return decode_response(response, parse, maybe_done=response.is_success)


def decode_missing(data: Any) -> Missing:
    """Return the outcome of a response with status 404."""
    return Missing()


def era_decoder(
    response: httpx.Response | PlatformFailed, decode: Callable[[Any, int], Item]
) -> Callable[[Any], Item]:
    """Return a decoder that adds the era of a response to the versions in it."""
    is_failed = isinstance(response, PlatformFailed)
    era = 0 if is_failed else era_of_response(response)
    return lambda data: decode(data, era)


class PlatformClient:
    """Client for the platform at an address.

    Failures are returned as values and not raised.

    Parameters
    ----------
    network : Network
        Network that opens the connections.
    address : Address
        Address of the platform.
    timeout_s : float
        Timeout of each call except watches, in seconds.
    idle_timeout_s : float
        Maximum silence of a watch, in seconds.

    Attributes
    ----------
    calls : PlatformCalls
        Connections and counters.
    """

    def __init__(
        self,
        network: Network,
        address: Address,
        timeout_s: float = TIMEOUT_S,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        self.calls = PlatformCalls(
            network, address, timeout_s, idle_timeout_s, ERA_HEADER
        )

    async def __aenter__(self) -> "PlatformClient":
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close the pooled connections."""
        await self.calls.aclose()

    async def read(
        self, kind: str, name: str
    ) -> StoredObject | Missing | PlatformFailed:
        """Read one object."""
        response = await self.calls.get(object_path(kind, name))
        return decode_outcome(
            response,
            {
                200: era_decoder(response, decode_object),
                404: era_decoder(response, lambda _, era: Missing(qualified(era, 0))),
            },
        )

    async def list_objects(self, kind: str) -> Listed | PlatformFailed:
        """Read all objects of a kind in one call."""
        response = await self.calls.get(kind_path(kind))
        return decode_outcome(response, {200: era_decoder(response, decode_list)})

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Written | Conflict | PlatformFailed:
        """Create an object that must not exist yet.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.
        value : object
            Any JSON value.

        Returns
        -------
        outcome : Written, Conflict or PlatformFailed
            After a `PlatformFailed` with ``maybe_done``, only a read shows whether the
            write took effect.
        """
        content = json.dumps(value).encode()
        condition = {"If-None-Match": "*"}
        return await self.write("PUT", kind, name, condition, content)

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> Written | Conflict | PlatformFailed:
        """Update an object that must still have the version; see `create`."""
        content = json.dumps(value).encode()
        condition = {"If-Match": str(revision_of(version))}
        return await self.write("PUT", kind, name, condition, content, version)

    async def delete(
        self, kind: str, name: str, version: int
    ) -> Written | Conflict | PlatformFailed:
        """Delete an object that must still have the version; see `create`."""
        condition = {"If-Match": str(revision_of(version))}
        return await self.write("DELETE", kind, name, condition, None, version)

    async def write(
        self,
        method: str,
        kind: str,
        name: str,
        condition: dict[str, str],
        content: bytes | None,
        version: int | None = None,
    ) -> Written | Conflict | PlatformFailed:
        """Make one conditional write; see `PlatformCalls.write`."""
        path = object_path(kind, name)
        response = await self.calls.write(method, path, content, condition, version)
        if isinstance(response, (Conflict, PlatformFailed)):
            return response
        era = era_of_response(response)
        return decode_outcome(
            response,
            {
                200: lambda data: Written(qualified(era, data["version"])),
                412: lambda data: Conflict(qualified(era, data["version"])),
            },
        )

    def watch(
        self, kind: str, since: int | None = None
    ) -> AbstractAsyncContextManager[Watch]:
        """Watch the objects of a kind for changes.

        Parameters
        ----------
        kind : str
            Kind of object.
        since : int, optional
            Version of the kind after which changes are returned; without it, the watch
            starts with a list of all objects.

        Returns
        -------
        manager : async context manager of Watch
            The watch is an async iterator of `ObjectChanged`. If no connection can be
            opened, it is empty and its ``ended`` is the reason.
        """
        path = f"{kind_path(kind)}?watch=1"
        if since is not None:
            path += f"&since={revision_of(since)}"
        return self.calls.open_watch(path, decode_change)

    def watch_notices(self) -> AbstractAsyncContextManager[Watch]:
        """Watch reclaim notices, starting with those that are open."""
        return self.calls.open_watch("/cloud/notices", decode_notice)

    async def instances(self) -> list[BackendServer] | PlatformFailed:
        """Return the instance list, which lags behind the actual state."""
        response = await self.calls.get("/instances")

        def parse(data: dict) -> list[BackendServer]:
            return [server_from_dict(entry) for entry in data["instances"]]

        return decode_outcome(response, {200: parse})

    async def instance(self, name: str) -> BackendServer | Missing | PlatformFailed:
        """Return the authoritative state of one instance."""
        response = await self.calls.get(f"/instances/{quote(name, safe='')}")
        return decode_outcome(response, {200: server_from_dict, 404: decode_missing})

    async def prices(self) -> list[Price] | PlatformFailed:
        """Return the current prices."""
        response = await self.calls.get("/cloud/prices")

        def parse(data: dict) -> list[Price]:
            return [Price(**entry) for entry in data["prices"]]

        return decode_outcome(response, {200: parse})

    async def start_instance(
        self, service: str, zone: str, machine_class: str, reclaimable: bool
    ) -> BackendServer | StartRefused | PlatformFailed:
        """Start an instance in the cloud.

        After a `PlatformFailed` with ``maybe_done``, the instance may exist and cost
        money; it then appears in the instance list.
        """
        body = {
            "service": service,
            "zone": zone,
            "machine_class": machine_class,
            "reclaimable": reclaimable,
        }
        content = json.dumps(body).encode()
        response = await self.calls.call("POST", "/cloud/instances", content)
        return decode_outcome(
            response,
            {
                201: server_from_dict,
                409: lambda data: StartRefused(data["reason"]),
            },
        )

    async def release_instance(
        self, name: str
    ) -> BackendServer | Missing | PlatformFailed:
        """Release an instance to the cloud."""
        path = f"/cloud/instances/{quote(name, safe='')}"
        response = await self.calls.call("DELETE", path)
        return decode_outcome(response, {200: server_from_dict, 404: decode_missing})
