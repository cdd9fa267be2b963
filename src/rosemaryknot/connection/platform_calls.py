"""Calls and open answers of the platform, without their meaning."""

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import httpx
import trio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.network import Network
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.platform import TIMEOUT, PlatformFailed

__all__ = ["BAD_ANSWER", "PlatformCalls", "Watch"]

TIMEOUT_S = 2.0
IDLE_BOUND_S = 3.0
# Longest time of a read whose answer goes on coming, as a multiple of its timeout.
LONGEST_READ = 4.0
BAD_ANSWER = "bad_answer"
BROKEN = "broken"
UNREACHABLE = "unreachable"
SURELY_UNSENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


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
    lines : async iterator of str, optional
        Lines of the answer; None where no answer came.
    ended : str
        Why there is no answer.

    Attributes
    ----------
    ended : str
        Why it ended; empty while it lasts.
    """

    def __init__(
        self,
        parse: Callable[[dict], Any],
        lines: AsyncIterator[str] | None,
        ended: str = "",
    ) -> None:
        self.parse = parse
        self.lines = lines
        self.ended = ended

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
            async for line in self.lines:
                if line:
                    return self.parse(json.loads(line))
            self.ended = "closed"
        except httpx.ReadTimeout:
            self.ended = "silent"
        except httpx.TransportError:
            self.ended = BROKEN
        except (ValueError, KeyError, TypeError):
            self.ended = BAD_ANSWER
        self.lines = None
        raise StopAsyncIteration


def failure_of(error: httpx.TransportError) -> PlatformFailed:
    """Return the failure that an error of the connection means."""
    if isinstance(error, SURELY_UNSENT):
        return PlatformFailed(UNREACHABLE, maybe_done=False)
    reason = TIMEOUT if isinstance(error, httpx.TimeoutException) else BROKEN
    return PlatformFailed(reason, maybe_done=True)


def checked(response: httpx.Response) -> httpx.Response | PlatformFailed:
    """Return the answer, or a failure for a server error.

    The platform answers 503 before it does anything; after any other server error
    the call may have been done.
    """
    if response.status_code == 503:
        return PlatformFailed("unavailable", maybe_done=False)
    if response.status_code >= 500:
        return PlatformFailed(f"status {response.status_code}", maybe_done=True)
    return response


class PlatformCalls:
    """Connections to the platform.

    Parameters
    ----------
    network : Network
        Where connections come from.
    address : Address
        Of the platform.
    timeout_s : float
        Bound on each call but the watches, in seconds. A read whose answer goes on
        coming is not given up then: asked again, it would fill a slow link anew.
    idle_bound_s : float
        Longest silence of a watch, in seconds.

    Attributes
    ----------
    made : int
        Calls made; a watch counts once.
    is_lost : bool
        Whether the last call failed.
    returned_s : float
        When a call last succeeded after one that had failed, in trio time.
    """

    def __init__(
        self,
        network: Network,
        address: Address,
        timeout_s: float = TIMEOUT_S,
        idle_bound_s: float = IDLE_BOUND_S,
    ) -> None:
        self.network = network
        self.url = f"http://{address}"
        self.timeout_s = timeout_s
        self.idle_bound_s = idle_bound_s
        self.made = 0
        self.is_lost = False
        self.returned_s = float("-inf")
        self.pool = self.new_pool()

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

    async def get(self, path: str) -> httpx.Response | PlatformFailed:
        """Read, over a second connection where the first one broke.

        A kept connection that the platform closed meanwhile breaks at the next
        call. A read may be repeated, so the caller need not hear of it.
        """
        response = await self.call("GET", path)
        if isinstance(response, PlatformFailed) and response.reason == BROKEN:
            self.retire(self.pool)
            response = await self.call("GET", path)
        return response

    async def call(
        self,
        method: str,
        path: str,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
        wait_s: float = 0.0,
    ) -> httpx.Response | PlatformFailed:
        """Make one call and read its whole answer.

        Parameters
        ----------
        method, path, content, headers
            Of the HTTP request.
        wait_s : float
            How long the platform may hold the answer back, in seconds; the bound on
            the call is that much longer.
        """
        self.made += 1
        pool = self.pool
        pool.users += 1
        failed = PlatformFailed(TIMEOUT, maybe_done=True)
        timeout = httpx.Timeout(self.timeout_s + wait_s, connect=self.timeout_s / 2)
        request = pool.client.build_request(
            method, self.url + path, content=content, headers=headers, timeout=timeout
        )
        try:
            with trio.move_on_after(self.timeout_s + wait_s) as scope:
                response = await pool.client.send(request, stream=True)
                body = await self.read_body(response, scope)
                whole = httpx.Response(response.status_code, content=body)
                return self.noted(checked(whole))
        except httpx.TransportError as error:
            failed = failure_of(error)
        finally:
            await self.leave(pool)
        if failed.reason == TIMEOUT:
            self.retire(pool)
        return self.noted(failed)

    async def read_body(
        self, response: httpx.Response, scope: trio.CancelScope
    ) -> bytes:
        """Return the body of an answer; each part of a read moves its deadline."""
        is_read = response.request.method == "GET"
        latest_s = scope.deadline + (LONGEST_READ - 1) * self.timeout_s
        body = bytearray()
        try:
            async for part in response.aiter_bytes():
                body += part
                if is_read:
                    due_s = trio.current_time() + self.timeout_s
                    scope.deadline = min(latest_s, max(scope.deadline, due_s))
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()
        return bytes(body)

    def noted(
        self, outcome: httpx.Response | PlatformFailed
    ) -> httpx.Response | PlatformFailed:
        """Take note of whether the platform is there."""
        if isinstance(outcome, PlatformFailed):
            self.is_lost = True
        elif self.is_lost:
            self.is_lost = False
            self.returned_s = trio.current_time()
        return outcome

    def retire(self, pool: Pool) -> None:
        """Use new connections from now on.

        Connections can go silent for good while new ones work. With only the
        silent one closed, each other kept connection would cost a timeout of its
        own; calls under way on them may still end well and are left alone.
        """
        if pool is not self.pool:
            return
        pool.is_retired = True
        self.pool = self.new_pool()

    async def leave(self, pool: Pool) -> None:
        """Close a retired pool after its last user."""
        pool.users -= 1
        if pool.is_retired and pool.users == 0:
            with trio.CancelScope(shield=True):
                await pool.client.aclose()

    @asynccontextmanager
    async def follow(
        self, path: str, parse: Callable[[dict], Any]
    ) -> AsyncIterator[Watch]:
        """Open an answer that goes on, on a connection of its own.

        Parameters
        ----------
        path : str
            Path and query.
        parse : callable
            Makes an item of the JSON value of a line.

        Yields
        ------
        watch : Watch
            Where no answer came, it is empty and says why in ``ended``.
        """
        self.made += 1
        timeout = httpx.Timeout(self.timeout_s, read=self.idle_bound_s)
        async with http_client(self.network) as client:
            request = client.build_request("GET", self.url + path, timeout=timeout)
            response = await self.open(client, request)
            if isinstance(response, PlatformFailed):
                yield Watch(parse, None, response.reason)
                return
            try:
                yield Watch(parse, response.aiter_lines())
            finally:
                with trio.CancelScope(shield=True):
                    await response.aclose()

    async def open(
        self, client: httpx.AsyncClient, request: httpx.Request
    ) -> httpx.Response | PlatformFailed:
        """Send a request and return its answer with the body unread."""
        try:
            response = await client.send(request, stream=True)
        except httpx.TransportError as error:
            return failure_of(error)
        if response.status_code != 200:
            await response.aclose()
            return PlatformFailed(f"status {response.status_code}")
        return response
