"""Client of the platform: object API, instance list and cloud API."""

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, TypeVar
from urllib.parse import quote

import httpx
import trio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.network import Network
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

__all__ = ["PlatformClient", "Watch"]

TIMEOUT_S = 2.0
IDLE_BOUND_S = 3.0
BAD_ANSWER = "bad_answer"
SURELY_UNSENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)

Item = TypeVar("Item")


class Pool:
    """Kept connections that are retired together.

    Attributes
    ----------
    users : int
        Calls under way.
    is_retired : bool
        Whether the last user closes it.
    """

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client
        self.users = 0
        self.is_retired = False


class Watch:
    """Lines of one open answer; see `rosemaryknot.values.platform.ObjectWatch`.

    Parameters
    ----------
    parse : callable
        Makes an item of the JSON value of a line.

    Attributes
    ----------
    ended : str
        Why it ended; empty while it lasts.
    """

    def __init__(self, parse: Callable[[dict], Any]) -> None:
        self.parse = parse
        self.lines: AsyncIterator[str] | None = None
        self.ended = ""

    def __aiter__(self) -> "Watch":
        return self

    async def __anext__(self) -> Any:
        """Return the next item.

        A connection that something on the way has lost track of says nothing for
        good and gives no error: the watcher would trust an old state for ever. The
        platform sends blank lines in quiet times, so a read that waits longer than
        the idle bound ends the watch.
        """
        if self.lines is None:
            await trio.lowlevel.checkpoint()
            raise StopAsyncIteration
        try:
            while True:
                line = await anext(self.lines)
                if line:
                    return self.parse(json.loads(line))
        except StopAsyncIteration:
            self.ended = "closed"
            raise
        except httpx.ReadTimeout:
            self.ended = "silent"
        except httpx.TransportError:
            self.ended = "broken"
        except (ValueError, KeyError, TypeError):
            self.ended = BAD_ANSWER
        raise StopAsyncIteration


def object_changed(line: dict) -> ObjectChanged:
    """Return the change that a line tells."""
    deleted = bool(line.get("deleted", False))
    return ObjectChanged(line["name"], line["version"], line["value"], deleted)


def notice(line: dict) -> Notice:
    """Return the notice that a line tells."""
    return Notice(line["instance"], line["deadline_unix_s"])


def object_path(kind: str, name: str) -> str:
    """Return the path of an object."""
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


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
    calls : int
        Calls made, watches included.
    """

    def __init__(
        self,
        network: Network,
        address: Address,
        timeout_s: float = TIMEOUT_S,
        idle_bound_s: float = IDLE_BOUND_S,
    ) -> None:
        self.network = network
        self.address = address
        self.timeout_s = timeout_s
        self.idle_bound_s = idle_bound_s
        self.calls = 0
        self.pool = self.new_pool()

    async def __aenter__(self) -> "PlatformClient":
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close the kept connections."""
        await self.pool.client.aclose()

    def new_pool(self) -> Pool:
        """Return a pool without connections."""
        # Shorter than the whole call, so that a platform that can't be reached is
        # told apart from one that may have heard us.
        client = http_client(self.network, self.timeout_s)
        client.timeout = httpx.Timeout(self.timeout_s, connect=self.timeout_s / 2)
        return Pool(client)

    async def call(
        self,
        method: str,
        path: str,
        content: bytes | None = None,
        headers: dict | None = None,
    ) -> httpx.Response | PlatformFailed:
        """Make one call and read its whole answer."""
        self.calls += 1
        pool = self.pool
        pool.users += 1
        try:
            with trio.move_on_after(self.timeout_s):
                response = await pool.client.request(
                    method,
                    f"http://{self.address}{path}",
                    content=content,
                    headers=headers,
                )
                return self.checked(response)
            self.retire(pool)
            return PlatformFailed("timeout", maybe_done=True)
        except SURELY_UNSENT:
            return PlatformFailed("unreachable", maybe_done=False)
        except httpx.TimeoutException:
            self.retire(pool)
            return PlatformFailed("timeout", maybe_done=True)
        except httpx.TransportError:
            return PlatformFailed("broken", maybe_done=True)
        finally:
            await self.leave(pool)

    def checked(self, response: httpx.Response) -> httpx.Response | PlatformFailed:
        """Return the answer, or a failure for a server error."""
        if response.status_code == 503:
            return PlatformFailed("unavailable", maybe_done=False)
        if response.status_code >= 500:
            return PlatformFailed(f"status {response.status_code}", maybe_done=True)
        return response

    def retire(self, pool: Pool) -> None:
        """Use new connections from now on.

        Connections can go silent for good while new ones work. With only the
        silent one closed, each other kept connection would cost a timeout of its
        own; calls under way on them may still end well and are left alone.
        """
        if pool is self.pool:
            pool.is_retired = True
            self.pool = self.new_pool()

    async def leave(self, pool: Pool) -> None:
        """Close a retired pool after its last user."""
        pool.users -= 1
        if pool.is_retired and pool.users == 0:
            with trio.CancelScope(shield=True):
                await pool.client.aclose()

    async def read(
        self, kind: str, name: str
    ) -> StoredObject | Missing | PlatformFailed:
        """Read one object."""
        response = await self.call("GET", object_path(kind, name))
        if isinstance(response, PlatformFailed):
            return response
        if response.status_code == 404:
            return Missing()
        return parsed(
            response, lambda data: StoredObject(data["version"], data["value"])
        )

    async def list_objects(self, kind: str) -> Listed | PlatformFailed:
        """Read all objects of a kind in one call."""
        response = await self.call("GET", f"/objects/{quote(kind, safe='')}")
        if isinstance(response, PlatformFailed):
            return response
        return parsed(response, listed)

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Written | Conflict | PlatformFailed:
        """Write an object that must not exist yet."""
        content = json.dumps(value).encode()
        return await self.write("PUT", kind, name, {"If-None-Match": "*"}, content)

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> Written | Conflict | PlatformFailed:
        """Write an object that must still have the version."""
        content = json.dumps(value).encode()
        return await self.write("PUT", kind, name, {"If-Match": str(version)}, content)

    async def delete(
        self, kind: str, name: str, version: int
    ) -> Written | Conflict | PlatformFailed:
        """Delete an object that must still have the version."""
        return await self.write("DELETE", kind, name, {"If-Match": str(version)}, None)

    async def write(
        self, method: str, kind: str, name: str, condition: dict, content: bytes | None
    ) -> Written | Conflict | PlatformFailed:
        """Make one conditional write."""
        path = object_path(kind, name)
        response = await self.call(method, path, content, condition)
        if isinstance(response, PlatformFailed):
            return response
        if response.status_code == 412:
            return parsed(response, lambda data: Conflict(data["version"]))
        return parsed(response, lambda data: Written(data["version"]), maybe_done=True)

    @asynccontextmanager
    async def watch(self, kind: str, since: int | None = None) -> AsyncIterator[Watch]:
        """Follow the changes of a kind.

        Parameters
        ----------
        kind : str
            Kind of object.
        since : int, optional
            Version of the kind after which changes are wanted; without it, the
            watch starts with a list.

        Yields
        ------
        watch : Watch
            Async iterator of `ObjectChanged`. Where no connection comes about, it
            is empty and says why in ``ended``.
        """
        path = f"/objects/{quote(kind, safe='')}?watch=1"
        if since is not None:
            path += f"&since={since}"
        async with self.follow(path, object_changed) as watch:
            yield watch

    @asynccontextmanager
    async def watch_notices(self) -> AsyncIterator[Watch]:
        """Follow reclaim notices; starts with those that are open."""
        async with self.follow("/cloud/notices", notice) as watch:
            yield watch

    @asynccontextmanager
    async def follow(
        self, path: str, parse: Callable[[dict], Any]
    ) -> AsyncIterator[Watch]:
        """Open an answer that goes on, on a connection of its own."""
        self.calls += 1
        watch = Watch(parse)
        timeout = httpx.Timeout(self.timeout_s, read=self.idle_bound_s)
        async with http_client(self.network) as client:
            request = client.build_request(
                "GET", f"http://{self.address}{path}", timeout=timeout
            )
            try:
                response = await client.send(request, stream=True)
            except httpx.TransportError:
                watch.ended = "unreachable"
                yield watch
                return
            try:
                if response.status_code == 200:
                    watch.lines = response.aiter_lines()
                else:
                    watch.ended = f"status {response.status_code}"
                yield watch
            finally:
                with trio.CancelScope(shield=True):
                    await response.aclose()

    async def instances(self) -> list[BackendServer] | PlatformFailed:
        """Return the instance list, which lags."""
        response = await self.call("GET", "/instances")
        if isinstance(response, PlatformFailed):
            return response
        return parsed(
            response, lambda data: [server_from_dict(d) for d in data["instances"]]
        )

    async def instance(self, name: str) -> BackendServer | Missing | PlatformFailed:
        """Return the authoritative state of one instance."""
        response = await self.call("GET", f"/instances/{quote(name, safe='')}")
        if isinstance(response, PlatformFailed):
            return response
        if response.status_code == 404:
            return Missing()
        return parsed(response, server_from_dict)

    async def prices(self) -> list[Price] | PlatformFailed:
        """Return the current prices."""
        response = await self.call("GET", "/cloud/prices")
        if isinstance(response, PlatformFailed):
            return response
        return parsed(response, lambda data: [Price(**d) for d in data["prices"]])

    async def start_instance(
        self, service: str, zone: str, machine_class: str, reclaimable: bool
    ) -> BackendServer | StartRefused | PlatformFailed:
        """Ask the cloud for an instance."""
        body = {
            "service": service,
            "zone": zone,
            "machine_class": machine_class,
            "reclaimable": reclaimable,
        }
        content = json.dumps(body).encode()
        response = await self.call("POST", "/cloud/instances", content)
        if isinstance(response, PlatformFailed):
            return response
        if response.status_code == 409:
            return parsed(response, lambda data: StartRefused(data["reason"]))
        return parsed(response, server_from_dict, maybe_done=True)

    async def release_instance(self, name: str) -> Written | Missing | PlatformFailed:
        """Give an instance back to the cloud."""
        response = await self.call("DELETE", f"/cloud/instances/{quote(name, safe='')}")
        if isinstance(response, PlatformFailed):
            return response
        if response.status_code == 404:
            return Missing()
        return Written(0)


def listed(data: dict) -> Listed:
    """Return the objects of a list answer."""
    objects = {
        d["name"]: StoredObject(d["version"], d["value"]) for d in data["objects"]
    }
    return Listed(data["version"], objects)


def parsed(
    response: httpx.Response, parse: Callable[[Any], Item], maybe_done: bool = False
) -> Item | PlatformFailed:
    """Return what an answer says, or a failure where it makes no sense."""
    if response.status_code >= 400 and response.status_code != 412:
        if response.status_code != 409:
            return PlatformFailed(f"status {response.status_code}", maybe_done=False)
    try:
        return parse(response.json())
    except (ValueError, KeyError, TypeError):
        return PlatformFailed(BAD_ANSWER, maybe_done)
