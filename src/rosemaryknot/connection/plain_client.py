"""Calls to plain services that tell what was not sent from what may have run."""

from typing import Any

import httpx
import trio

from rosemaryknot.connection.http_client import NetworkTransport
from rosemaryknot.connection.network import Network
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.outcomes import Answered, Reason, Unknown
from rosemaryknot.values.requests import NotSent, PlainRequest, SendResult

__all__ = ["PlainClient", "is_leaving", "passed_headers"]

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024
REQUEST_HEADER = "rosemaryknot-request"
LEAVING_HEADER = "rosemaryknot-leaving"
UNAVAILABLE = 503

# The first trace event of httpcore at which a byte of the request may leave.
FIRST_WRITE = "http11.send_request_headers.started"

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


def passed_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that belong to a message, not to its connection.

    Parameters
    ----------
    headers : list of tuple of (str, str)
        All headers.

    Returns
    -------
    passed : list of tuple of (str, str)
        Without hop-by-hop ones, those named by ``Connection`` and our own id.

    Examples
    --------
    >>> passed_headers([("Connection", "x-once"), ("X-Once", "1"), ("X-A", "2")])
    [('X-A', '2')]
    """
    dropped = {REQUEST_HEADER} | HOP_BY_HOP
    for name, value in headers:
        if name.lower() == "connection":
            dropped |= {part.strip().lower() for part in value.split(",")}
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def answer_headers(
    method: str, headers: list[tuple[str, str]]
) -> list[tuple[str, str]]:
    """Return the headers of an answer that are passed on.

    The date is ours to give; a ``HEAD`` answer has no other length than the one that
    the server told.
    """
    passed = [pair for pair in passed_headers(headers) if pair[0].lower() != "date"]
    if method == "HEAD":
        passed += [pair for pair in headers if pair[0].lower() == "content-length"]
    return passed


def is_leaving(answer: Answered) -> bool:
    """Tell whether a server refused because it is leaving."""
    return answer.status == UNAVAILABLE and any(
        name.lower() == LEAVING_HEADER and value == "1"
        for name, value in answer.headers
    )


class SendTrace:
    """Learns from httpcore whether a byte of one request may have left.

    The kind of error does not tell: a timeout or a cancelled wait may fall before
    or after the first write. Taking "not sent" from anything but this could let a
    request that may not be repeated run twice.

    Attributes
    ----------
    has_started : bool
        Whether writing began.
    """

    def __init__(self) -> None:
        self.has_started = False

    async def __call__(self, event: str, info: dict[str, Any]) -> None:
        """Note one event."""
        if event == FIRST_WRITE:
            self.has_started = True


class AnswerTooLarge(Exception):
    """The answer is larger than what is passed on."""


class PlainClient:
    """Sends requests to plain services.

    Parameters
    ----------
    network : Network
        Where connections come from.
    """

    def __init__(self, network: Network) -> None:
        self.transport = NetworkTransport(network)

    async def send(
        self, server: BackendServer, request: PlainRequest, reuse: bool, until_s: float
    ) -> SendResult:
        """Send a request to a server and read the whole answer.

        Parameters
        ----------
        server : BackendServer
            Where.
        request : PlainRequest
            What.
        reuse : bool
            Whether an open connection may be used again. The server may just be
            closing an idle one, which then looks as if the request had been lost on
            the way; so what may not be repeated gets a new connection.
        until_s : float
            When the call is given up, in trio time.

        Returns
        -------
        result : SendResult
            The answer, or whether the request may have run.
        """
        trace = SendTrace()
        with trio.move_on_at(until_s):
            try:
                return await self.exchange(server, request, reuse, trace)
            except AnswerTooLarge:
                detail = f"the answer is larger than {MAX_ANSWER_BYTES} bytes"
                return Unknown(Reason.ANSWER_LOST, detail)
            except httpx.TransportError as error:
                return result_of_failure(trace, Reason.ANSWER_LOST, error)
        return result_of_failure(trace, Reason.TIMED_OUT, None)

    async def exchange(
        self,
        server: BackendServer,
        request: PlainRequest,
        reuse: bool,
        trace: SendTrace,
    ) -> Answered:
        """Write the request and read the answer."""
        response = await self.transport.handle_async_request(
            built_request(server, request, reuse, trace)
        )
        body = bytearray()
        try:
            async for chunk in response.aiter_raw():
                body += chunk
                if len(body) > MAX_ANSWER_BYTES:
                    raise AnswerTooLarge
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()
        headers = answer_headers(request.method, response.headers.multi_items())
        return Answered(response.status_code, headers, bytes(body))

    async def aclose(self) -> None:
        """Close all connections."""
        await self.transport.aclose()


def built_request(
    server: BackendServer, request: PlainRequest, reuse: bool, trace: SendTrace
) -> httpx.Request:
    """Return the request as httpx sends it."""
    headers = passed_headers(request.headers)
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


def result_of_failure(
    trace: SendTrace, reason: Reason, error: Exception | None
) -> NotSent | Unknown:
    """Return what a failed call says of the request."""
    if not trace.has_started:
        return NotSent(Reason.SERVER_FAILED if error is not None else Reason.TIMED_OUT)
    name = "the deadline passed" if error is None else type(error).__name__
    return Unknown(reason, f"the connection failed after the request: {name}")
