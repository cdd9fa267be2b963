"""Small HTTP server, on h11, for the load balancer and the metrics collector.

Importing quart and hypercorn takes 0.35 s, half of a node's startup time. If all nodes
restart together, callers would find the ports closed for that much longer.
"""

from collections.abc import Callable
from dataclasses import dataclass

import h11
import trio

from rosemaryknot.connection.network import Network
from rosemaryknot.values.nodes import Address

__all__ = ["Page", "PageServer"]

READ_BYTES = 8192
# Longer than the polling interval of a load balancer or a metrics collector.
IDLE_TIMEOUT_S = 30.0
NOT_FOUND = 404


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

    async def serve_one(
        self, stream: trio.abc.HalfCloseableStream, conn: h11.Connection
    ) -> bool:
        """Serve one request; return whether the connection remains usable."""
        target = None
        while True:
            event = conn.next_event()
            if isinstance(event, h11.Request):
                target = event.target.decode("latin-1").partition("?")[0]
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
        render = self.pages.get(target)
        await stream.send_all(
            encode_response(conn, Page(NOT_FOUND) if not render else render())
        )
        return conn.our_state is h11.DONE and conn.their_state is h11.DONE


def encode_response(conn: h11.Connection, page: Page) -> bytes:
    """Return the encoded response with a page."""
    headers = [
        ("content-type", page.content_type),
        ("content-length", str(len(page.body))),
    ]
    data = conn.send(h11.Response(status_code=page.status, headers=headers))
    data += conn.send(h11.Data(data=page.body))
    return data + conn.send(h11.EndOfMessage())
