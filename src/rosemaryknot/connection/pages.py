"""Small pages for the balancer and the metrics collector, by h11.

Quart and hypercorn take 0.35 s to import, half of a node's start; where all nodes start
anew, callers meet closed ports for so much longer.
"""

from collections.abc import Callable
from dataclasses import dataclass

import h11
import trio

from rosemaryknot.connection.network import Network
from rosemaryknot.values.nodes import Address

__all__ = ["Page", "PageServer"]

READ_BYTES = 8192
# Longer than between two questions of a balancer or a collector.
IDLE_S = 30.0
NOT_FOUND = 404


@dataclass(slots=True)
class Page:
    """One answer.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        The text.
    content_type : str
        Its media type.
    """

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


class PageServer:
    """Serves pages by path.

    Parameters
    ----------
    network : Network
        Where to listen.
    pages : dict of str to callable
        Makes the page of a path.
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
        """Answer one request; return whether another may follow."""
        target = None
        while True:
            event = conn.next_event()
            if isinstance(event, h11.Request):
                target = event.target.decode("latin-1").partition("?")[0]
            elif isinstance(event, h11.EndOfMessage):
                break
            elif event is h11.NEED_DATA:
                data = b""
                with trio.move_on_after(IDLE_S):
                    data = await stream.receive_some(READ_BYTES)
                if not data:
                    return False
                conn.receive_data(data)
            elif not isinstance(event, h11.Data):
                return False
        make = self.pages.get(target)
        await stream.send_all(answer_of(conn, Page(NOT_FOUND) if not make else make()))
        return conn.our_state is h11.DONE and conn.their_state is h11.DONE


def answer_of(conn: h11.Connection, page: Page) -> bytes:
    """Return the bytes of a page."""
    headers = [
        ("content-type", page.content_type),
        ("content-length", str(len(page.body))),
    ]
    data = conn.send(h11.Response(status_code=page.status, headers=headers))
    data += conn.send(h11.Data(data=page.body))
    return data + conn.send(h11.EndOfMessage())
