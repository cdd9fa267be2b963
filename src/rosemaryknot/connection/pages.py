"""Small HTTP server, on h11, for the load balancer and the metrics collector.

Importing quart and hypercorn takes 0.35 s, half of a node's startup time. If all nodes
restart together, callers would find the ports closed for that much longer.
"""

from collections.abc import Callable
from dataclasses import dataclass

import h11
import trio

from rosemaryknot.connection.network import Network
from rosemaryknot.process.logs import fault_fields, logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.nodes import Address

__all__ = ["Page", "PageServer"]

READ_BYTES = 8192
# Longer than the polling interval of a load balancer or a metrics collector.
IDLE_TIMEOUT_S = 30.0
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
    """

    def __init__(self, network: Network, pages: dict[str, Callable[[], Page]]) -> None:
        self.network = network
        self.pages = pages

    async def run(
        self,
        address: Address,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        await self.network.listen(address, self.handle, task_status=task_status)

    async def handle(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve one connection."""
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
        target, method = None, b"GET"
        while True:
            event = conn.next_event()
            if isinstance(event, h11.Request):
                target = event.target.decode("latin-1").partition("?")[0]
                method = event.method
            elif isinstance(event, h11.EndOfMessage):
                break
            elif event is h11.NEED_DATA:
                data = b""
                with trio.move_on_after(IDLE_TIMEOUT_S):
                    data = await stream.receive_some(READ_BYTES)
                if not data:
                    return False
                conn.receive_data(data)
            elif not isinstance(event, h11.Data):
                return False
        await stream.send_all(
            encode_response(conn, self.page(method, target), method == b"HEAD")
        )
        return conn.our_state is h11.DONE and conn.their_state is h11.DONE

    def page(self, method: bytes, target: str | None) -> Page:
        """Return the page in response to a request."""
        render = self.pages.get(target)
        if render is None:
            return Page(NOT_FOUND)
        return render() if method in METHODS else Page(METHOD_NOT_ALLOWED)


def encode_response(conn: h11.Connection, page: Page, is_head: bool) -> bytes:
    """Return the encoded response with a page, without its body for a HEAD."""
    headers = [
        ("content-type", page.content_type),
        ("content-length", str(len(page.body))),
    ]
    if page.status == METHOD_NOT_ALLOWED:
        headers.append(("allow", b", ".join(METHODS)))
    data = conn.send(h11.Response(status_code=page.status, headers=headers))
    if not is_head:
        data += conn.send(h11.Data(data=page.body))
    return data + conn.send(h11.EndOfMessage())
