"""HTTP calls and watches of the platform, without decoding of their content."""

import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import httpx
import trio

from rosemaryknot.connection.http_client import ResponseTooLarge, http_client
from rosemaryknot.connection.network import Network
from rosemaryknot.connection.store_era import EraTracker
from rosemaryknot.values.json_text import JSON_ERRORS, parse_json
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.platform import (
    OUTDATED,
    TIMEOUT,
    Conflict,
    PlatformFailed,
)
from rosemaryknot.values.store_revisions import era_of

__all__ = ["BAD_RESPONSE", "PlatformCalls", "Watch", "era_of_response"]

TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 3.0
# Maximum duration of a read whose response keeps arriving, in multiples of its timeout.
MAX_READ_TIMEOUTS = 4.0
# An item of a watch holds one object.
MAX_LINE_BYTES = 4 << 20
TOO_MANY_REQUESTS = 429
BAD_RESPONSE = "bad_answer"
BROKEN = "broken"
UNREACHABLE = "unreachable"
# Extension of a response that holds the era of the store that sent it.
ERA = "store_era"
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class Pool:
    """Pooled connections that are retired together.

    Attributes
    ----------
    active_calls : int
        Number of calls in progress.
    is_retired : bool
        Whether the pool is closed when its last call ends.
    """

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client
        self.active_calls = 0
        self.is_retired = False


class Watch:
    """Items of a streamed response; see `rosemaryknot.values.platform.ObjectWatch`.

    Parameters
    ----------
    parse : callable
        Decodes the JSON value of a line to an item.
    lines : async iterator of str, optional
        Lines of the response; None if there is no response.
    ended : str
        Why there is no response.

    Attributes
    ----------
    ended : str
        Why the watch ended; empty while it is open.
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

        If a middlebox drops the state of a connection, it delivers nothing more and no
        error is reported, so the watcher would rely on stale state indefinitely. The
        platform sends blank lines while nothing changes, so a read that waits longer
        than the idle timeout ends the watch.
        """
        if self.lines is None:
            await trio.lowlevel.checkpoint()
            raise StopAsyncIteration
        try:
            async for line in self.lines:
                if line:
                    return self.parse(parse_json(line))
            self.ended = "closed"
        except httpx.ReadTimeout:
            self.ended = "silent"
        except httpx.TransportError:
            self.ended = BROKEN
        except JSON_ERRORS:
            self.ended = BAD_RESPONSE
        self.lines = None
        raise StopAsyncIteration


async def bounded_lines(response: httpx.Response) -> AsyncIterator[str]:
    """Yield the lines of a response as they arrive.

    Raises
    ------
    ResponseTooLarge
        If a line does not end.
    """
    rest = b""
    async for chunk in response.aiter_bytes():
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            yield line.decode().rstrip("\r")
        if len(rest) > MAX_LINE_BYTES:
            raise ResponseTooLarge("a line of a watch does not end")
    if rest:
        yield rest.decode()


def map_error(error: httpx.TransportError) -> PlatformFailed:
    """Return the `PlatformFailed` for a transport error."""
    if isinstance(error, NOT_SENT_ERRORS):
        return PlatformFailed(UNREACHABLE, maybe_done=False)
    reason = TIMEOUT if isinstance(error, httpx.TimeoutException) else BROKEN
    return PlatformFailed(reason, maybe_done=True)


def era_of_response(response: httpx.Response) -> int:
    """Return the era of the store in which a response was sent; 0 if it has none."""
    return response.extensions.get(ERA, 0)


def check_status(response: httpx.Response) -> httpx.Response | PlatformFailed:
    """Return the response, or a failure for a server error.

    The platform responds with 503 before it does anything; after any other server error
    the call may have taken effect.
    """
    if response.status_code == 503:
        return PlatformFailed("unavailable", maybe_done=False)
    if response.status_code >= 500:
        return PlatformFailed(f"status {response.status_code}", maybe_done=True)
    return response


class PlatformCalls:
    """HTTP client for the platform.

    Parameters
    ----------
    network : Network
        Network that opens the connections.
    address : Address
        Address of the platform.
    timeout_s : float
        Timeout of each call except watches, in seconds. A read whose response keeps
        arriving may take longer, since repeating it would load a slow link again.
    idle_timeout_s : float
        Maximum silence of a watch, in seconds.
    era_header : str
        Header in which the platform's store states its era; empty if it states none.

    Attributes
    ----------
    eras : EraTracker
        Era of the store, from all responses.
    call_count : int
        Number of calls made; a watch counts once.
    is_unreachable : bool
        Whether the last call failed or was refused.
    reconnected_s : float
        When a call last succeeded after such a one, in trio time.
    """

    def __init__(
        self,
        network: Network,
        address: Address,
        timeout_s: float = TIMEOUT_S,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        era_header: str = "",
    ) -> None:
        self.network = network
        self.url = f"http://{address}"
        self.eras = EraTracker(era_header)
        self.timeout_s = timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.call_count = 0
        self.is_unreachable = False
        self.reconnected_s = float("-inf")
        self.pool = self.new_pool()

    async def aclose(self) -> None:
        """Close the pooled connections."""
        await self.pool.client.aclose()

    def new_pool(self) -> Pool:
        """Return a pool without connections."""
        # The connect timeout is shorter than that of the call, so that an unreachable
        # platform is distinguished from one that may have received the request.
        client = http_client(self.network, self.timeout_s)
        client.timeout = httpx.Timeout(self.timeout_s, connect=self.timeout_s / 2)
        return Pool(client)

    async def get(self, path: str) -> httpx.Response | PlatformFailed:
        """Make a GET request, and retry it once on a new connection if it breaks.

        A pooled connection that the platform has closed fails at the next call. Since a
        read may be repeated, this failure is not returned.
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
        """Make one call and read its complete response.

        Parameters
        ----------
        method, path, content, headers
            Components of the HTTP request.
        wait_s : float
            How long the platform may delay its response (long polling), in seconds;
            added to the timeout of the call.
        """
        self.call_count += 1
        pool = self.pool
        pool.active_calls += 1
        failed = PlatformFailed(TIMEOUT, maybe_done=True)
        timeout = httpx.Timeout(self.timeout_s + wait_s, connect=self.timeout_s / 2)
        request = pool.client.build_request(
            method, self.url + path, content=content, headers=headers, timeout=timeout
        )
        try:
            with trio.move_on_after(self.timeout_s + wait_s) as scope:
                response = await pool.client.send(request, stream=True)
                body = await self.read_body(response, scope)
                return self.record_outcome(self.complete(response, body))
        except httpx.TransportError as error:
            failed = map_error(error)
        finally:
            await self.release_pool(pool)
        if failed.reason == TIMEOUT:
            self.retire(pool)
        return self.record_outcome(failed)

    async def write(
        self,
        method: str,
        path: str,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
        version: int | None = None,
    ) -> httpx.Response | Conflict | PlatformFailed:
        """Make a write whose condition names a version of an object.

        In another era the same version may have been given out again, perhaps to
        another object. The condition proves nothing then, so the write is not sent. If
        the era turns out to have changed meanwhile, only a read shows what the store
        holds.

        Parameters
        ----------
        method, path, content, headers
            Components of the HTTP request.
        version : int or None
            Version that the condition names, with its era; None for a write that
            creates an object.
        """
        if version is None:
            return await self.call(method, path, content, headers)
        era = era_of(version)
        if era != self.eras.era:
            return Conflict(0)
        response = await self.call(method, path, content, headers)
        if isinstance(response, httpx.Response) and era_of_response(response) != era:
            return PlatformFailed(OUTDATED, maybe_done=True)
        return response

    def complete(
        self, response: httpx.Response, body: bytes
    ) -> httpx.Response | PlatformFailed:
        """Return a complete response with its era, or a failure.

        A response of an earlier era tells what the store has lost since. A write that
        it confirms may be lost too.
        """
        era = self.eras.record(response.headers)
        if era is None:
            is_write = response.request.method != "GET"
            return PlatformFailed(OUTDATED, maybe_done=is_write)
        complete = httpx.Response(
            response.status_code, content=body, extensions={ERA: era}
        )
        return check_status(complete)

    async def read_body(
        self, response: httpx.Response, scope: trio.CancelScope
    ) -> bytes:
        """Return the body of a response; each chunk of a read extends its deadline."""
        is_read = response.request.method == "GET"
        max_deadline_s = scope.deadline + (MAX_READ_TIMEOUTS - 1) * self.timeout_s
        body = bytearray()
        try:
            async for chunk in response.aiter_bytes():
                body += chunk
                if is_read:
                    deadline_s = trio.current_time() + self.timeout_s
                    scope.deadline = min(
                        max_deadline_s, max(scope.deadline, deadline_s)
                    )
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()
        return bytes(body)

    def record_outcome(
        self, outcome: httpx.Response | PlatformFailed
    ) -> httpx.Response | PlatformFailed:
        """Record whether the platform is reachable.

        One that refuses calls may have given up watches that wait, without an error.
        """
        is_failed = isinstance(outcome, PlatformFailed)
        if is_failed or outcome.status_code == TOO_MANY_REQUESTS:
            self.is_unreachable = True
        elif self.is_unreachable:
            self.is_unreachable = False
            self.reconnected_s = trio.current_time()
        return outcome

    def retire(self, pool: Pool) -> None:
        """Replace a pool, so that further calls use new connections.

        Connections can become permanently silent while new ones work. If only the
        silent one were closed, each other pooled connection would cost a timeout of its
        own. Calls in progress on them may still succeed and are not interrupted.
        """
        if pool is not self.pool:
            return
        pool.is_retired = True
        self.pool = self.new_pool()

    async def release_pool(self, pool: Pool) -> None:
        """End a call on a pool; close a retired pool after its last call."""
        pool.active_calls -= 1
        if pool.is_retired and pool.active_calls == 0:
            with trio.CancelScope(shield=True):
                await pool.client.aclose()

    @asynccontextmanager
    async def open_watch(
        self, path: str, parse: Callable[[dict], Any]
    ) -> AsyncIterator[Watch]:
        """Open a streamed response on a new connection.

        Parameters
        ----------
        path : str
            Path and query.
        parse : callable
            Decodes the JSON value of a line to an item.

        Yields
        ------
        watch : Watch
            Items of the response. Without a response it is empty and its ``ended`` is
            the reason.
        """
        self.call_count += 1
        timeout = httpx.Timeout(self.timeout_s, read=self.idle_timeout_s)
        async with http_client(self.network, max_response_bytes=math.inf) as client:
            request = client.build_request("GET", self.url + path, timeout=timeout)
            response = await self.open(client, request)
            if isinstance(response, PlatformFailed):
                yield Watch(parse, None, response.reason)
                return
            try:
                yield Watch(parse, bounded_lines(response))
            finally:
                with trio.CancelScope(shield=True):
                    await response.aclose()

    async def open(
        self, client: httpx.AsyncClient, request: httpx.Request
    ) -> httpx.Response | PlatformFailed:
        """Send a request and return its response with the body unread."""
        try:
            response = await client.send(request, stream=True)
        except httpx.TransportError as error:
            return map_error(error)
        if self.eras.record(response.headers) is None:
            await response.aclose()
            return PlatformFailed(OUTDATED)
        if response.status_code != 200:
            await response.aclose()
            return PlatformFailed(f"status {response.status_code}")
        return response
