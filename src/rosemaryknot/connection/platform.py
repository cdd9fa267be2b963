"""Client of the platform: object API, instance list and cloud API."""

import json
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Any, TypeVar
from urllib.parse import quote

import httpx

from rosemaryknot.connection.network import Network
from rosemaryknot.connection.platform_calls import (
    BAD_ANSWER,
    IDLE_BOUND_S,
    TIMEOUT_S,
    PlatformCalls,
    Watch,
)
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

__all__ = ["PlatformClient"]

Item = TypeVar("Item")


def kind_path(kind: str) -> str:
    """Return the path of a kind of object."""
    return f"/objects/{quote(kind, safe='')}"


def object_path(kind: str, name: str) -> str:
    """Return the path of an object."""
    return f"{kind_path(kind)}/{quote(name, safe='')}"


def stored_object(data: dict) -> StoredObject:
    """Return the object of a read."""
    return StoredObject(data["version"], data["value"])


def listed(data: dict) -> Listed:
    """Return the objects of a list."""
    objects = {entry["name"]: stored_object(entry) for entry in data["objects"]}
    return Listed(data["version"], objects)


def object_changed(line: dict) -> ObjectChanged:
    """Return the change of a line."""
    deleted = bool(line.get("deleted", False))
    return ObjectChanged(line["name"], line["version"], line["value"], deleted)


def notice(line: dict) -> Notice:
    """Return the notice of a line."""
    return Notice(line["instance"], line["deadline_unix_s"])


def parsed(
    response: httpx.Response, parse: Callable[[Any], Item], maybe_done: bool = False
) -> Item | PlatformFailed:
    """Return what an answer says, or a failure where it makes no sense."""
    try:
        return parse(response.json())
    except (ValueError, KeyError, TypeError):
        return PlatformFailed(BAD_ANSWER, maybe_done)


def answered(
    response: httpx.Response | PlatformFailed, by_status: dict[int, Callable]
) -> Any:
    """Return the outcome that the answer's status stands for.

    Parameters
    ----------
    response : httpx.Response or PlatformFailed
        A failure is returned as it is.
    by_status : dict of int to callable
        Makes an outcome of the JSON value, for each status that has a meaning.

    Returns
    -------
    outcome : object
        A `PlatformFailed` where the status has none; the platform did nothing.
    """
    if isinstance(response, PlatformFailed):
        return response
    parse = by_status.get(response.status_code)
    if parse is None:
        return PlatformFailed(f"status {response.status_code}")
    return parsed(response, parse, maybe_done=response.is_success)


def missing(data: Any) -> Missing:
    """Return the outcome of a 404."""
    return Missing()


class PlatformClient:
    """The platform at an address; every outcome is a value.

    Parameters
    ----------
    network : Network
        Where connections come from.
    address : Address
        Of the platform.
    timeout_s : float
        Bound on each call but the watches, in seconds.
    idle_bound_s : float
        Longest silence of a watch, in seconds.

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
        idle_bound_s: float = IDLE_BOUND_S,
    ) -> None:
        self.calls = PlatformCalls(network, address, timeout_s, idle_bound_s)

    async def __aenter__(self) -> "PlatformClient":
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close the kept connections."""
        await self.calls.aclose()

    async def read(
        self, kind: str, name: str
    ) -> StoredObject | Missing | PlatformFailed:
        """Read one object."""
        response = await self.calls.get(object_path(kind, name))
        return answered(response, {200: stored_object, 404: missing})

    async def list_objects(self, kind: str) -> Listed | PlatformFailed:
        """Read all objects of a kind in one call."""
        return answered(await self.calls.get(kind_path(kind)), {200: listed})

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Written | Conflict | PlatformFailed:
        """Write an object that must not exist yet.

        Parameters
        ----------
        kind, name : str
            Of the object.
        value : object
            Any JSON value.

        Returns
        -------
        outcome : Written, Conflict or PlatformFailed
            After a failure that may have been done, only a read tells.
        """
        content = json.dumps(value).encode()
        return await self.write("PUT", kind, name, {"If-None-Match": "*"}, content)

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> Written | Conflict | PlatformFailed:
        """Write an object that must still have the version; see `create`."""
        content = json.dumps(value).encode()
        return await self.write("PUT", kind, name, {"If-Match": str(version)}, content)

    async def delete(
        self, kind: str, name: str, version: int
    ) -> Written | Conflict | PlatformFailed:
        """Delete an object that must still have the version; see `create`."""
        return await self.write("DELETE", kind, name, {"If-Match": str(version)}, None)

    async def write(
        self,
        method: str,
        kind: str,
        name: str,
        condition: dict[str, str],
        content: bytes | None,
    ) -> Written | Conflict | PlatformFailed:
        """Make one conditional write."""
        path = object_path(kind, name)
        response = await self.calls.call(method, path, content, condition)
        return answered(
            response,
            {
                200: lambda data: Written(data["version"]),
                412: lambda data: Conflict(data["version"]),
            },
        )

    def watch(
        self, kind: str, since: int | None = None
    ) -> AbstractAsyncContextManager[Watch]:
        """Follow the changes of a kind.

        Parameters
        ----------
        kind : str
            Kind of object.
        since : int, optional
            Version of the kind after which changes are wanted; without it, the
            watch starts with a list.

        Returns
        -------
        manager : async context manager of Watch
            The watch is an async iterator of `ObjectChanged`. Where no connection
            comes about, it is empty and says why in ``ended``.
        """
        path = f"{kind_path(kind)}?watch=1"
        if since is not None:
            path += f"&since={since}"
        return self.calls.follow(path, object_changed)

    def watch_notices(self) -> AbstractAsyncContextManager[Watch]:
        """Follow reclaim notices; starts with those that are open."""
        return self.calls.follow("/cloud/notices", notice)

    async def instances(self) -> list[BackendServer] | PlatformFailed:
        """Return the instance list, which lags."""
        response = await self.calls.get("/instances")

        def parse(data: dict) -> list[BackendServer]:
            return [server_from_dict(entry) for entry in data["instances"]]

        return answered(response, {200: parse})

    async def instance(self, name: str) -> BackendServer | Missing | PlatformFailed:
        """Return the authoritative state of one instance."""
        response = await self.calls.get(f"/instances/{quote(name, safe='')}")
        return answered(response, {200: server_from_dict, 404: missing})

    async def prices(self) -> list[Price] | PlatformFailed:
        """Return the current prices."""
        response = await self.calls.get("/cloud/prices")

        def parse(data: dict) -> list[Price]:
            return [Price(**entry) for entry in data["prices"]]

        return answered(response, {200: parse})

    async def start_instance(
        self, service: str, zone: str, machine_class: str, reclaimable: bool
    ) -> BackendServer | StartRefused | PlatformFailed:
        """Ask the cloud for an instance.

        After a failure that may have been done, the instance may exist and cost
        money: it shows up in the instance list.
        """
        body = {
            "service": service,
            "zone": zone,
            "machine_class": machine_class,
            "reclaimable": reclaimable,
        }
        content = json.dumps(body).encode()
        response = await self.calls.call("POST", "/cloud/instances", content)
        return answered(
            response,
            {
                201: server_from_dict,
                409: lambda data: StartRefused(data["reason"]),
            },
        )

    async def release_instance(
        self, name: str
    ) -> BackendServer | Missing | PlatformFailed:
        """Give an instance back to the cloud."""
        path = f"/cloud/instances/{quote(name, safe='')}"
        response = await self.calls.call("DELETE", path)
        return answered(response, {200: server_from_dict, 404: missing})
