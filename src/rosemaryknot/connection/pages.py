"""Small HTTP server, on h11, for the load balancer and the metrics collector.

Importing quart and hypercorn takes 0.35 s, half of a node's startup time. If all nodes
restart together, callers would find the ports closed for that much longer.
"""

from collections.abc import Callable
from dataclasses import dataclass

import h11
import trio

from rosemaryknot.connection.network import Network, linger
from rosemaryknot.process.connection_slots import ConnectionSlots
from rosemaryknot.process.logs import fault_fields, logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.nodes import Address

__all__ = ["Page", "PageServer"]

READ_BYTES = 8192
# Longer than the polling interval of a load balancer or a metrics collector.
IDLE_TIMEOUT_S = 30.0
# Open connections; a few probes and collectors use one each.
MAX_CONNECTIONS = 64
# How long the body of a request is dropped, which pages have no use for.
LINGER_S = 0.5
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
METHODS = (b"GET", b"HEAD")

FAULTS = counter("page_faults_total", "Exceptions that ended a request for a page.")

log = logger("pages")


@dataclass(slots=True)
class Page:
    """Response with one page.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        Body of the response.
    content_type : str
        Media type of the body.
    """

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


class PageServer:
    """Server of pages by path.

    Parameters
    ----------
    network : Network
        Network to listen on.
    pages : dict of str to callable
        Functions that return the page of each path.

    Attributes
    ----------
    slots : ConnectionSlots
        Bound on the open connections.
    """

    def __init__(self, network: Network, pages: dict[str, Callable[[], Page]]) -> None:
        self.network = network
        self.pages = pages
        self.slots = ConnectionSlots(MAX_CONNECTIONS)

    async def run(
        self,
        address: Address,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        await self.network.listen(address, self.handle, task_status=task_status)

    async def handle(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve one connection."""
        with self.slots.hold():
            await self.serve(stream)

    async def serve(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve the requests of a connection."""
        conn = h11.Connection(h11.SERVER)
        try:
            while await self.serve_one(stream, conn):
                conn.start_next_cycle()
        except (
            h11.RemoteProtocolError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            return
        except Exception as error:
            FAULTS.add()
            log.error("page not served", **fault_fields(error))

    async def serve_one(
        self, stream: trio.abc.HalfCloseableStream, conn: h11.Connection
    ) -> bool:
        """Serve one request; return whether the connection remains usable."""
        request = await self.read_head(stream, conn)
        if request is None:
            return False
        target = request.target.decode("latin-1").partition("?")[0]
        page, is_head = self.page(request.method, target), request.method == b"HEAD"
        has_body = not isinstance(conn.next_event(), h11.EndOfMessage)
        await stream.send_all(encode_response(conn, page, is_head, has_body))
        if has_body:
            await linger(stream, LINGER_S)
        return not has_body and conn.our_state is h11.DONE

    async def read_head(
        self, stream: trio.abc.HalfCloseableStream, conn: h11.Connection
    ) -> h11.Request | None:
        """Return the head of the next request, or None if there is no further one."""
        while True:
            event = conn.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            data = b""
            with trio.move_on_after(IDLE_TIMEOUT_S):
                data = await stream.receive_some(READ_BYTES)
            if not data:
                return None
            conn.receive_data(data)

    def page(self, method: bytes, target: str | None) -> Page:
        """Return the page in response to a request."""
        render = self.pages.get(target)
        if render is None:
            return Page(NOT_FOUND)
        return render() if method in METHODS else Page(METHOD_NOT_ALLOWED)


def encode_response(
    conn: h11.Connection, page: Page, is_head: bool, is_closing: bool = False
) -> bytes:
    """Return the encoded response with a page, without its body for a HEAD."""
    headers = [
        ("content-type", page.content_type),
        ("content-length", str(len(page.body))),
    ]
    if is_closing:
        headers.append(("connection", "close"))
    if page.status == METHOD_NOT_ALLOWED:
        headers.append(("allow", b", ".join(METHODS)))
    data = conn.send(h11.Response(status_code=page.status, headers=headers))
    if not is_head:
        data += conn.send(h11.Data(data=page.body))
    return data + conn.send(h11.EndOfMessage())
