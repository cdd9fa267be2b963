"""Client for model engines, with one connection for each call."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import httpx
import trio

from rosemaryknot.connection.engine_frames import (
    Broken,
    EngineCall,
    FrameChecker,
    Refused,
    StreamEnd,
)
from rosemaryknot.connection.http_client import read_bounded
from rosemaryknot.connection.network import Network
from rosemaryknot.connection.plain_client import (
    DRAINING_HEADER,
    LIMIT_HEADER,
    RETRY_AFTER_HEADER,
)
from rosemaryknot.connection.stream_transport import stream_client
from rosemaryknot.values.json_text import JSON_ERRORS, parse_json
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.retry_after import decode_retry_after, requested_pause_s
from rosemaryknot.values.server_limits import InvalidLimit, decode_limit

__all__ = ["EngineClient", "EngineStatus", "KvExport"]

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 1.0
MAX_JSON_BYTES = 1 << 20
HEADERS = {"connection": "close", "accept-encoding": "identity"}


def request_path(request_id: str) -> str:
    """Return the path of a request at its engine."""
    return f"/v1/requests/{quote(request_id, safe='')}"


@dataclass(slots=True)
class EngineStatus:
    """State of one request, as an engine reports it.

    Attributes
    ----------
    status : str
        ``waiting``, ``running``, ``done`` or ``unknown``.
    offset : int
        Number of tokens that the engine has emitted.
    """

    status: str
    offset: int


@dataclass(slots=True)
class KvExport:
    """KV cache that an engine has exported for another engine to fetch.

    Attributes
    ----------
    handle : str
        Handle with which the target fetches it.
    tokens : int
        Number of prompt and output tokens that it covers.
    size : int
        Size in bytes.
    """

    handle: str
    tokens: int
    size: int


class EngineClient:
    """Client for model engines.

    Each call uses a new connection. An idle connection may have become silent
    unnoticed although new ones work, so none is reused. A call lasts as long as the
    generation of a response, compared to which the time to connect is negligible.

    Parameters
    ----------
    network : Network
        Network that opens the connections.
    check_id, check_lineage : bool
        Whether the id and lineage of each frame are checked; disabled only in tests.
    """

    def __init__(
        self, network: Network, check_id: bool = True, check_lineage: bool = True
    ) -> None:
        self.client = stream_client(network, CONNECT_TIMEOUT_S)
        self.check_id = check_id
        self.check_lineage = check_lineage

    async def generate(
        self,
        server: BackendServer,
        call: EngineCall,
        emit: Callable[[list[bytes]], None],
        on_limit: Callable[[float | InvalidLimit | None], None] = lambda limit: None,
        on_drain: Callable[[], None] = lambda: None,
    ) -> StreamEnd:
        """Run a completion and emit its tokens as they arrive.

        Parameters
        ----------
        server : BackendServer
            Server of the engine.
        call : EngineCall
            Completion request.
        emit : callable
            Called with the next tokens after each received chunk; the list is empty if
            the chunk completes no token.
        on_limit : callable
            Called with the rate limit in the head of the response.
        on_drain : callable
            Called if the head of a response, of any status, states that the server
            drains.

        Returns
        -------
        end : Finished, Refused, Broken or Crossed
            How the stream ended.
        """
        checker = FrameChecker(call, self.check_id, self.check_lineage)
        try:
            async with self.client.stream(
                "POST",
                f"http://{server.address}/v1/chat/completions",
                content=call.payload(),
                headers={**HEADERS, "content-type": "application/json"},
            ) as response:
                on_limit(decode_limit(response.headers.get_list(LIMIT_HEADER)))
                stated = response.headers.get_list(DRAINING_HEADER)
                is_draining = "1" in [text.strip() for text in stated]
                if is_draining:
                    on_drain()
                if response.status_code != httpx.codes.OK:
                    retry_after = decode_retry_after(
                        response.headers.get_list(RETRY_AFTER_HEADER)
                    )
                    pause_s = requested_pause_s(response.status_code, retry_after)
                    return Refused(response.status_code, is_draining, pause_s)
                async for chunk in response.stream:
                    emit(checker.feed(chunk))
                    if checker.end is not None:
                        return checker.end
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return Broken(type(error).__name__, sent=False)
        except httpx.HTTPError as error:
            return Broken(type(error).__name__)
        return Broken("the stream ended early")

    async def status(
        self, server: BackendServer, request_id: str
    ) -> EngineStatus | None:
        """Return the state of a request; None if the engine does not respond."""
        fields = await self.request_json("GET", server, request_path(request_id))
        try:
            return EngineStatus(str(fields["status"]), int(fields.get("offset", 0)))
        except JSON_ERRORS:
            return None

    async def cancel(self, server: BackendServer, request_id: str) -> bool:
        """Cancel a request; return False if the engine does not respond."""
        path = f"{request_path(request_id)}/cancel"
        return await self.request_json("POST", server, path) is not None

    async def export_kv(
        self, server: BackendServer, request_id: str
    ) -> KvExport | None:
        """Export the KV cache of a request; return None if that fails."""
        fields = await self.request_json(
            "POST", server, "/kv/export", {"id": request_id}
        )
        try:
            return KvExport(
                str(fields["kv"]), int(fields["tokens"]), int(fields["bytes"])
            )
        except JSON_ERRORS:
            return None

    async def import_kv(
        self,
        target: BackendServer,
        source: BackendServer,
        export: KvExport,
        request_id: str,
        timeout_s: float,
    ) -> bool:
        """Let the target fetch an exported KV cache; return whether it succeeded."""
        order = {"source": source.address, "kv": export.handle, "id": request_id}
        fields = await self.request_json("POST", target, "/kv/import", order, timeout_s)
        return fields is not None

    async def request_json(
        self,
        method: str,
        server: BackendServer,
        path: str,
        body: dict[str, Any] | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> dict[str, Any] | None:
        """Make a short call and decode its JSON response.

        Returns
        -------
        fields : dict or None
            Fields of the response; None after a timeout or an error.
        """
        with trio.move_on_after(timeout_s):
            try:
                async with self.client.stream(
                    method,
                    f"http://{server.address}{path}",
                    json=body,
                    headers=HEADERS,
                ) as response:
                    text = await read_bounded(response, MAX_JSON_BYTES)
                fields = parse_json(text) if response.is_success else None
            except (httpx.HTTPError, ValueError):
                return None
            return fields if isinstance(fields, dict) else None
        return None
