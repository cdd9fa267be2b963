"""Client for plain services that detects whether a failed request may have run."""

import math
from typing import Any

import httpx
import trio

from rosemaryknot.connection.http_client import NetworkTransport
from rosemaryknot.connection.network import Network
from rosemaryknot.connection.response_memory import ResponseMemory
from rosemaryknot.process.caller_memory import CallerMemory, HeldBytes
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.outcomes import Answered, Reason, Unknown
from rosemaryknot.values.requests import NotSent, PlainRequest, SendResult
from rosemaryknot.values.retry_after import decode_retry_after, requested_pause_s
from rosemaryknot.values.server_limits import InvalidLimit, decode_limit

__all__ = [
    "DRAINING_HEADER",
    "LIMIT_HEADER",
    "RETRY_AFTER_HEADER",
    "PlainClient",
    "end_to_end_headers",
    "is_refused_by_drain",
    "states_drain",
    "stated_pause_s",
    "stated_limit",
]

CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
REQUEST_HEADER = "rosemaryknot-request"
DRAINING_HEADER = "rosemaryknot-leaving"
LIMIT_HEADER = "rosemaryknot-rate-limit"
RETRY_AFTER_HEADER = "retry-after"
UNAVAILABLE = 503

# The first trace event of httpcore after which a byte of the request may be sent.
FIRST_WRITE = "http11.send_request_headers.started"
FAILED_WRITES = (
    "http11.send_request_headers.failed",
    "http11.send_request_body.failed",
)

HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def end_to_end_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the end-to-end headers of a message.

    Parameters
    ----------
    headers : list of tuple of (str, str)
        All headers.

    Returns
    -------
    end_to_end : list of tuple of (str, str)
        Headers without hop-by-hop ones, those that ``Connection`` names and
        ``Rosemaryknot-Request``.

    Examples
    --------
    >>> end_to_end_headers([("Connection", "x-once"), ("X-Once", "1"), ("X-A", "2")])
    [('X-A', '2')]
    """
    dropped = {REQUEST_HEADER} | HOP_BY_HOP
    for name, value in headers:
        if name.lower() == "connection":
            dropped |= {part.strip().lower() for part in value.split(",")}
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def forwarded_response_headers(
    method: str, headers: list[tuple[str, str]]
) -> list[tuple[str, str]]:
    """Return the headers of a server's response that are forwarded to the caller.

    ``Date`` is omitted, since this process sets its own. The response to a ``HEAD``
    request has no body, so its ``Content-Length`` is forwarded.
    """
    forwarded = [
        pair for pair in end_to_end_headers(headers) if pair[0].lower() != "date"
    ]
    if method == "HEAD":
        forwarded += [pair for pair in headers if pair[0].lower() == "content-length"]
    return forwarded


def states_drain(response: Answered) -> bool:
    """Return whether a server states that it drains, in any response."""
    return any(
        name.lower() == DRAINING_HEADER and value.strip() == "1"
        for name, value in response.headers
    )


def is_refused_by_drain(response: Answered) -> bool:
    """Return whether a server refused a request because it drains."""
    return response.status == UNAVAILABLE and states_drain(response)


def stated_pause_s(response: Answered) -> float:
    """Return for how long a server wants no requests, in seconds."""
    texts = [v for name, v in response.headers if name.lower() == RETRY_AFTER_HEADER]
    return requested_pause_s(response.status, decode_retry_after(texts))


def stated_limit(response: Answered) -> float | InvalidLimit | None:
    """Return the rate limit that a server states for all instances together."""
    return decode_limit(
        [value for name, value in response.headers if name.lower() == LIMIT_HEADER]
    )


class SendTrace:
    """httpcore trace callback that detects whether a request may have been sent.

    The type of an error is not sufficient: a timeout or a cancellation may occur before
    or after the first write. Deriving "not sent" from anything but this trace could let
    a request that must not be repeated run twice.

    Attributes
    ----------
    has_started : bool
        Whether writing of the request has started.
    has_failed : bool
        Whether it failed.
    """

    def __init__(self) -> None:
        self.has_started = self.has_failed = False

    async def __call__(self, event: str, info: dict[str, Any]) -> None:
        """Record one trace event."""
        if event == FIRST_WRITE:
            self.has_started = True
        elif event in FAILED_WRITES:
            self.has_failed = True


class AnswerTooLarge(Exception):
    """The response is larger than `MAX_RESPONSE_BYTES`."""


class PlainClient:
    """Client that forwards requests to plain services.

    Parameters
    ----------
    network : Network
        Network that opens the connections.
    memory : ResponseMemory, optional
        Memory for responses; unlimited by default.
    """

    def __init__(self, network: Network, memory: ResponseMemory | None = None) -> None:
        self.transport = NetworkTransport(network, math.inf)
        self.memory = memory or ResponseMemory(CallerMemory(math.inf))

    async def send(
        self,
        server: BackendServer,
        request: PlainRequest,
        reuse: bool,
        deadline_s: float,
    ) -> SendResult:
        """Send a request to a server and read the complete response.

        Parameters
        ----------
        server : BackendServer
            Server that receives the request.
        request : PlainRequest
            The request.
        reuse : bool
            Whether a pooled connection may be used. The server may be closing an idle
            connection at this moment, and the request would then seem lost in transit;
            so a request that must not be repeated needs a new connection.
        deadline_s : float
            Deadline of the call, in trio time.

        Returns
        -------
        result : SendResult
            The response, or whether the request may have run.
        """
        trace = SendTrace()
        with trio.move_on_at(deadline_s):
            try:
                return await self.exchange(server, request, reuse, trace)
            except AnswerTooLarge:
                detail = f"the answer is larger than {MAX_RESPONSE_BYTES} bytes"
                return Unknown(Reason.ANSWER_LOST, detail)
            except httpx.TransportError as error:
                return classify_failure(trace, Reason.ANSWER_LOST, error)
        return classify_failure(trace, Reason.TIMED_OUT, None)

    async def exchange(
        self,
        server: BackendServer,
        request: PlainRequest,
        reuse: bool,
        trace: SendTrace,
    ) -> Answered:
        """Write the request and read the response."""
        response = await self.transport.handle_async_request(
            build_request(server, request, reuse, trace)
        )
        body = bytearray()
        held = HeldBytes(self.memory.memory)
        try:
            await self.memory.wait(held, stated_size(request.method, response))
            async for chunk in response.aiter_raw():
                body += chunk
                if len(body) > MAX_RESPONSE_BYTES:
                    raise AnswerTooLarge
                await self.memory.wait(held, len(body))
        finally:
            held.release()
            with trio.CancelScope(shield=True):
                await response.aclose()
        if trace.has_failed and is_ended_by_close(response):
            # The system reports a reset once, and writing the request got it.
            raise httpx.ReadError("the connection was reset")
        headers = forwarded_response_headers(
            request.method, response.headers.multi_items()
        )
        return Answered(
            response.status_code, headers, bytes(body), is_ended_by_close(response)
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self.transport.aclose()


def stated_size(method: str, response: httpx.Response) -> int:
    """Return the size of a body that a head states, within what is read of it.

    The response to a ``HEAD`` request states a size and has no body.
    """
    if method == "HEAD":
        return 0
    text = response.headers.get("content-length", "")
    return min(int(text), MAX_RESPONSE_BYTES) if text.isdecimal() else 0


def is_ended_by_close(response: httpx.Response) -> bool:
    """Return whether only the end of the connection marks that of a body.

    A response without a body has no mark either, and the server need not close.
    """
    names = response.headers
    return "content-length" not in names and "transfer-encoding" not in names


def build_request(
    server: BackendServer, request: PlainRequest, reuse: bool, trace: SendTrace
) -> httpx.Request:
    """Return the httpx request for a request to a server."""
    headers = end_to_end_headers(request.headers)
    headers.append((REQUEST_HEADER, request.request_id))
    if not reuse:
        headers.append(("connection", "close"))
    url = httpx.URL(f"http://{server.address}").copy_with(
        raw_path=request.path.encode("ascii")
    )
    timeout = {"connect": CONNECT_TIMEOUT_S, "pool": CONNECT_TIMEOUT_S}
    return httpx.Request(
        request.method,
        url,
        headers=headers,
        content=request.body,
        extensions={"trace": trace, "timeout": timeout},
    )


def classify_failure(
    trace: SendTrace, reason: Reason, error: Exception | None
) -> NotSent | Unknown:
    """Return whether the request of a failed call was not sent or may have run."""
    if not trace.has_started:
        return NotSent(Reason.SERVER_FAILED if error is not None else Reason.TIMED_OUT)
    name = "the deadline passed" if error is None else type(error).__name__
    return Unknown(reason, f"the connection failed after the request: {name}")
