"""Limit on the number of caller connections, and the refusal of further ones."""

import json
from collections.abc import Callable, Iterable

import h11
import trio

from rosemaryknot.connection.network import StreamHandler
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.values.outcomes import Reason

__all__ = ["ConnectionLimiter"]

REFUSAL_TIMEOUT_S = 1.0
# Connections beyond the limit: those that are refused, and those for which idle ones
# are being closed.
MAX_BEYOND = 100
# Those of them for which idle ones are being closed; the others are left for refusals.
MAX_CLOSING = 50
RETRY_AFTER_S = 1
READ_BYTES = 65536
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 504
KEY_HEADER = b"idempotency-key"
ATTEMPT_HEADER = b"rosemaryknot-attempt"
FIRST_ATTEMPT = b"1"

log = logger("http")
open_gauge = gauge("caller_connections", "Open connections of callers.")
refused_counter = counter(
    "caller_connections_refused_total", "Connections of callers beyond the bound."
)


class ConnectionLimiter:
    """Limiter that handles a bounded number of connections and refuses the others.

    A caller that opens an unlimited number of connections would exhaust the memory and
    file descriptors of the process: the requests of all callers would fail, and so
    would the links to the agent and to the backend servers. This limit is sufficient,
    since other limits apply to each connection that is handled.

    Parameters
    ----------
    handler : callable
        Handles a connection until it ends.
    max_connections : int
        Maximum number of concurrent connections.
    close_idle : callable
        Closes the connection that has waited longest for a request, if any does;
        returns whether there was one. Clients that send nothing would otherwise keep
        all others out.

    Attributes
    ----------
    open : int
        Number of connections being handled.
    refusals : int
        Number of connections being refused.
    """

    def __init__(
        self,
        handler: StreamHandler,
        max_connections: int,
        close_idle: Callable[[], bool],
    ) -> None:
        self.handler = handler
        self.max_connections = max_connections
        self.close_idle = close_idle
        self.open = 0
        self.refusals = 0

    async def handle(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Handle a connection, or refuse it."""
        if not self.has_room():
            await self.refuse(stream)
            return
        self.open += 1
        open_gauge.set(self.open)
        try:
            await self.handler(stream)
        finally:
            self.open -= 1
            open_gauge.set(self.open)

    def has_room(self) -> bool:
        """Return whether to handle a new connection, if need be for an idle one."""
        if self.open < self.max_connections:
            return True
        is_closing_many = self.open >= self.max_connections + MAX_CLOSING
        if is_closing_many or self.is_full or not self.close_idle():
            return False
        log.info("waiting connection closed for a new one", open=self.open)
        return True

    @property
    def is_full(self) -> bool:
        """Whether there are as many connections beyond the limit as there may be."""
        beyond = max(0, self.open - self.max_connections)
        return beyond + self.refusals >= MAX_BEYOND

    async def refuse(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Refuse the first request of a connection beyond the limit.

        If too many connections are being refused already, the connection is closed
        without a response.
        """
        refused_counter.add()
        log.warning("connection refused: connection limit reached", open=self.open)
        if self.is_full:
            return
        self.refusals += 1
        try:
            with trio.move_on_after(REFUSAL_TIMEOUT_S):
                await send_refusal(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.refusals -= 1


async def send_refusal(stream: trio.abc.HalfCloseableStream) -> None:
    """Read the head of one request, refuse it, and drain the stream to its end.

    Closing a connection while the rest of a request arrives resets it, and the caller
    loses the response.
    """
    protocol = h11.Connection(h11.SERVER)
    try:
        event = protocol.next_event()
        while event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(READ_BYTES))
            event = protocol.next_event()
    except h11.RemoteProtocolError:
        return
    if not isinstance(event, h11.Request):
        return
    await stream.send_all(build_refusal(protocol, event))
    await stream.send_eof()
    while await stream.receive_some(READ_BYTES):
        pass


def build_refusal(protocol: h11.Connection, request: h11.Request) -> bytes:
    """Return the encoded response to a request beyond the connection limit.

    A retried request that is not idempotent may have run on an earlier attempt, so
    its outcome is "unknown" and not "not run".
    """
    is_retry = may_have_run(request.headers)
    document = {
        "outcome": "unknown" if is_retry else "not_run",
        "reason": str(Reason.OVERLOADED),
        "retry_after": RETRY_AFTER_S,
        "detail": "too many connections are open",
    }
    body = json.dumps(document).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Retry-After", str(RETRY_AFTER_S)),
        ("Connection", "close"),
    ]
    status = UNKNOWN_STATUS if is_retry else NOT_RUN_STATUS
    head = protocol.send(h11.Response(status_code=status, headers=headers))
    content = b"" if request.method == b"HEAD" else body
    return head + content


def may_have_run(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether an earlier attempt of the same request may have run."""
    values: dict[bytes, list[bytes]] = {}
    for name, value in headers:
        values.setdefault(name, []).append(value)
    if KEY_HEADER not in values:
        return False
    return values.get(ATTEMPT_HEADER) != [FIRST_ATTEMPT]
