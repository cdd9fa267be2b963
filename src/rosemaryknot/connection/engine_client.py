"""Calls to model engines, each on a connection of its own."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httpx
import trio

from rosemaryknot.connection.engine_frames import (
    Broken,
    EngineCall,
    FrameChecker,
    Refused,
    StreamEnd,
)
from rosemaryknot.connection.network import Network
from rosemaryknot.connection.stream_transport import stream_client
from rosemaryknot.values.nodes import BackendServer

__all__ = ["EngineClient", "EngineStatus", "KvExport"]

CONNECT_TIMEOUT_S = 2.0
ASK_TIMEOUT_S = 1.0
HEADERS = {"connection": "close", "accept-encoding": "identity"}
LEAVING_HEADER = "rosemaryknot-leaving"


@dataclass(slots=True)
class EngineStatus:
    """What an engine says of one request.

    Attributes
    ----------
    status : str
        ``waiting``, ``running``, ``done`` or ``unknown``.
    offset : int
        Tokens that it has emitted.
    """

    status: str
    offset: int


@dataclass(slots=True)
class KvExport:
    """KV cache that an engine holds ready to be fetched.

    Attributes
    ----------
    handle : str
        Name under which the target fetches it.
    tokens : int
        Prompt and answer tokens that it covers.
    size : int
        Size in bytes.
    """

    handle: str
    tokens: int
    size: int


class EngineClient:
    """Calls to model engines, each on a connection of its own.

    A connection that was idle may have gone silent unnoticed, and new ones work all
    the same; so none is kept for a second call. A call lasts as long as an answer,
    beside which the time to connect does not count.

    Parameters
    ----------
    network : Network
        Where connections come from.
    check_id, check_lineage : bool
        Safeguards; off only in tests.
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
    ) -> StreamEnd:
        """Run a completion and pass its tokens on as they come.

        Parameters
        ----------
        server : BackendServer
            Where.
        call : EngineCall
            What.
        emit : callable
            Called with the next tokens; also with an empty list where bytes came
            that complete none.

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
                if response.status_code != httpx.codes.OK:
                    leaving = response.headers.get(LEAVING_HEADER) == "1"
                    return Refused(response.status_code, leaving)
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
        """Ask what became of a request; None without an answer."""
        fields = await self.ask("GET", server, f"/v1/requests/{request_id}")
        try:
            return EngineStatus(str(fields["status"]), int(fields.get("offset", 0)))
        except (TypeError, LookupError, ValueError):
            return None

    async def cancel(self, server: BackendServer, request_id: str) -> bool:
        """Cancel a request; False without an answer."""
        path = f"/v1/requests/{request_id}/cancel"
        return await self.ask("POST", server, path) is not None

    async def export_kv(
        self, server: BackendServer, request_id: str
    ) -> KvExport | None:
        """Have a request's KV cache held ready; None where it is not."""
        fields = await self.ask("POST", server, "/kv/export", {"id": request_id})
        try:
            return KvExport(
                str(fields["kv"]), int(fields["tokens"]), int(fields["bytes"])
            )
        except (TypeError, LookupError, ValueError):
            return None

    async def import_kv(
        self,
        target: BackendServer,
        source: BackendServer,
        export: KvExport,
        request_id: str,
        timeout_s: float,
    ) -> bool:
        """Have the target fetch a KV cache; False where it does not have it."""
        order = {"source": source.address, "kv": export.handle, "id": request_id}
        fields = await self.ask("POST", target, "/kv/import", order, timeout_s)
        return fields is not None

    async def ask(
        self,
        method: str,
        server: BackendServer,
        path: str,
        body: dict[str, Any] | None = None,
        timeout_s: float = ASK_TIMEOUT_S,
    ) -> dict[str, Any] | None:
        """Make a short call on a new connection.

        Returns
        -------
        fields : dict or None
            The JSON answer; None where there is none in time or it is an error.
        """
        with trio.move_on_after(timeout_s):
            try:
                response = await self.client.request(
                    method,
                    f"http://{server.address}{path}",
                    json=body,
                    headers=HEADERS,
                )
                answer = response.json() if response.is_success else None
            except (httpx.HTTPError, ValueError):
                return None
            return answer if isinstance(answer, dict) else None
        return None
