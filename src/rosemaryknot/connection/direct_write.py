"""Direct writes of response chunks to a connection, bypassing the application task.

Sending a token through the application costs a wake-up of the task that handles the
request, a lock, a timer and another wake-up after the write. With a `DirectWriter`,
the task that receives the token frames it with hypercorn's h11 state and writes it to
the socket immediately.
"""

from typing import Any

import h11

__all__ = ["DIRECT_WRITE", "DirectWriter", "DirectWriteMiddleware", "get_direct_writer"]

DIRECT_WRITE = "rosemaryknot.direct_write"
"""Name of the ASGI extension."""


class DirectWriter:
    """Writer of body chunks of one response while its application task waits.

    It may be used only after the application has sent a chunk of the body and before it
    sends the next one, and not after the application was cancelled.

    Parameters
    ----------
    connection : http_server.Connection
        The caller's connection.
    """

    __slots__ = ("connection",)

    def __init__(self, connection: Any) -> None:
        self.connection = connection

    @property
    def is_behind(self) -> bool:
        """Whether bytes of earlier writes are still buffered or being written."""
        connection = self.connection
        return bool(connection.unsent) or connection.send_lock.locked()

    def write_now(self, data: bytes) -> bool:
        """Write a chunk of the body without waiting.

        Parameters
        ----------
        data : bytes
            Chunk of the body.

        Returns
        -------
        is_accepted : bool
            False if the chunk was rejected, neither written nor buffered. The part of
            an accepted chunk that the socket does not take is buffered, and further
            chunks are rejected before `flush`. A caller that never reads therefore uses
            the memory of one chunk.
        """
        connection = self.connection
        if connection.unsent or connection.send_lock.locked():
            return False
        try:
            # hypercorn's `ProtocolWrapper`, its `H11Protocol`, and its h11 connection.
            framed = connection.protocol.protocol.connection.send(h11.Data(data))
        except h11.LocalProtocolError:
            return False
        connection.write_now(framed)
        return True

    async def flush(self) -> None:
        """Write the buffered bytes, subject to the connection's write timeout."""
        if self.is_behind:
            await self.connection.write(b"")


class DirectWriteMiddleware:
    """ASGI middleware that provides `DirectWriter` as an extension.

    Parameters
    ----------
    app : callable
        ASGI application in hypercorn's wrapper.
    connection : http_server.Connection
        The caller's connection.
    """

    def __init__(self, app: Any, connection: Any) -> None:
        self.app = app
        self.connection = connection

    async def __call__(self, scope: dict[str, Any], *rest: Any) -> None:
        """Handle one request; HEAD gets no writer, since its response has no body."""
        if scope["type"] == "http" and scope["method"] != "HEAD":
            scope["extensions"][DIRECT_WRITE] = DirectWriter(self.connection)
        await self.app(scope, *rest)


def get_direct_writer(scope: dict[str, Any]) -> DirectWriter | None:
    """Return the direct writer of an ASGI scope, or None if it has none."""
    return scope.get("extensions", {}).get(DIRECT_WRITE)
