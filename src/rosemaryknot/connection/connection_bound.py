"""A bound on the connections of callers, and the answer beyond it."""

import json
from collections.abc import Iterable

import h11
import trio

from rosemaryknot.connection.network import StreamHandler
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.values.outcomes import Reason

__all__ = ["ConnectionBound"]

REFUSAL_S = 1.0
MAX_REFUSALS = 100
RETRY_S = 1
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


class ConnectionBound:
    """Passes a bounded number of connections on and refuses the others.

    A caller that opens connections without end would take the process's memory and
    open files: requests of all callers then fail, and so do the links to the agent
    and to the backend servers. The bound is enough, since the other bounds hold for
    each connection that is passed on.

    Parameters
    ----------
    handler : callable
        Handles a connection to its end.
    max_connections : int
        Connections that are handled at once.

    Attributes
    ----------
    open : int
        Connections that are being handled.
    refusals : int
        Connections that are being refused.
    """

    def __init__(self, handler: StreamHandler, max_connections: int) -> None:
        self.handler = handler
        self.max_connections = max_connections
        self.open = 0
        self.refusals = 0

    async def handle(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Handle a connection, or refuse it."""
        if self.open >= self.max_connections:
            await self.refuse(stream)
            return
        self.open += 1
        open_gauge.set(self.open)
        try:
            await self.handler(stream)
        finally:
            self.open -= 1
            open_gauge.set(self.open)

    async def refuse(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Answer the first request of a connection that there is no room for.

        Where too many are being refused already, the connection just ends.
        """
        refused_counter.add()
        log.warning("refused a connection: too many are open", open=self.open)
        if self.refusals >= MAX_REFUSALS:
            return
        self.refusals += 1
        try:
            with trio.move_on_after(REFUSAL_S):
                await answer_refusal(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.refusals -= 1


async def answer_refusal(stream: trio.abc.HalfCloseableStream) -> None:
    """Read the head of one request, refuse it, and read on to the caller's end.

    Closing a connection while the rest of its request comes in resets it, and the
    caller loses the answer.
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
    await stream.send_all(refusal(protocol, event))
    await stream.send_eof()
    while await stream.receive_some(READ_BYTES):
        pass


def refusal(protocol: h11.Connection, request: h11.Request) -> bytes:
    """Return the answer to a request that there is no room for.

    A repeat of a request that is not idempotent may have run on its first send, so
    "not run" would be a lie about it.
    """
    is_repeat = may_have_run(request.headers)
    document = {
        "outcome": "unknown" if is_repeat else "not_run",
        "reason": str(Reason.OVERLOADED),
        "retry_after": RETRY_S,
        "detail": "too many connections are open",
    }
    body = json.dumps(document).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Retry-After", str(RETRY_S)),
        ("Connection", "close"),
    ]
    status = UNKNOWN_STATUS if is_repeat else NOT_RUN_STATUS
    head = protocol.send(h11.Response(status_code=status, headers=headers))
    content = b"" if request.method == b"HEAD" else body
    return head + content


def may_have_run(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether an earlier send of the same request may have run."""
    values: dict[bytes, list[bytes]] = {}
    for name, value in headers:
        values.setdefault(name, []).append(value)
    if KEY_HEADER not in values:
        return False
    return values.get(ATTEMPT_HEADER) != [FIRST_ATTEMPT]
