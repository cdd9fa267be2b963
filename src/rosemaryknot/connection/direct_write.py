"""Parts of an answer written straight to its connection, without a task of their own.

A token that goes up through the application costs a wake-up of the task that answers
its caller, a lock, a timer and another wake-up behind the write. Here whoever has the
token frames it with hypercorn's own h11 state and hands it to the socket at once.
"""

from typing import Any

import h11

__all__ = ["DIRECT_WRITE", "DirectWriter", "WithDirectWrite", "direct_writer_of"]

DIRECT_WRITE = "rosemaryknot.direct_write"
"""Name of the ASGI extension."""


class DirectWriter:
    """Writes parts of one answer's body while its application task sleeps.

    To be used only between two parts that the application sends itself, and not
    after it was cancelled.

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
        """Whether the caller has not taken what was written."""
        connection = self.connection
        return bool(connection.unsent) or connection.send_lock.locked()

    def write_now(self, data: bytes) -> bool:
        """Write a part of the body without waiting.

        Parameters
        ----------
        data : bytes
            Part of the body.

        Returns
        -------
        is_taken : bool
            False where nothing was taken. Whatever was taken and not written is
            kept, and nothing further is taken before `flush`: so a caller who
            never reads costs one part of memory.
        """
        connection = self.connection
        if connection.unsent or connection.send_lock.locked():
            return False
        try:
            framed = connection.protocol.protocol.connection.send(h11.Data(data))
        except h11.LocalProtocolError:
            return False
        connection.write_now(framed)
        return True

    async def flush(self) -> None:
        """Write what is kept, within the connection's bound on writes."""
        if self.is_behind:
            await self.connection.write(b"")


class WithDirectWrite:
    """Application wrapper that offers `DirectWriter` as an ASGI extension.

    Parameters
    ----------
    app : callable
        Hypercorn's wrapper of the application.
    connection : http_server.Connection
        The caller's connection.
    """

    def __init__(self, app: Any, connection: Any) -> None:
        self.app = app
        self.connection = connection

    async def __call__(self, scope: dict[str, Any], *rest: Any) -> None:
        """Handle one request; the answer to HEAD has no body to write."""
        if scope["type"] == "http" and scope["method"] != "HEAD":
            scope["extensions"][DIRECT_WRITE] = DirectWriter(self.connection)
        await self.app(scope, *rest)


def direct_writer_of(scope: dict[str, Any]) -> DirectWriter | None:
    """Return the writer of the request with an ASGI scope; None where there is none."""
    return scope.get("extensions", {}).get(DIRECT_WRITE)
