"""What surrounds a request on a caller's connection: counting and lingering."""

from contextlib import AbstractContextManager
from typing import Any

import trio

__all__ = ["CallerConnections"]

LINGER_S = 1.0


class BodyWatch:
    """Notes when the body of a request has come whole.

    Parameters
    ----------
    receive : callable
        ASGI receive.
    """

    __slots__ = ("receive_next", "is_over")

    def __init__(self, receive: Any) -> None:
        self.receive_next = receive
        self.is_over = trio.Event()

    async def receive(self) -> dict[str, Any]:
        """Receive the next ASGI message."""
        message = await self.receive_next()
        if not message.get("more_body", False):
            self.is_over.set()
        return message


class CallerConnections:
    """ASGI layer below the application.

    An answer may be given before the request's body has come, as for one that is
    too large. Closing the connection then resets it, and the caller loses the
    answer together with the rest of its body. So the end of an answer waits a
    little until the body is over; the answer itself is out by then.

    Parameters
    ----------
    app : callable
        The ASGI application.
    in_flight : context manager
        Entered for as long as an answer is worked on or written.
    """

    def __init__(self, app: Any, in_flight: AbstractContextManager) -> None:
        self.app = app
        self.in_flight = in_flight

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        body = BodyWatch(receive)

        async def send_and_linger(message: dict[str, Any]) -> None:
            if not message.get("more_body", True) and not body.is_over.is_set():
                with trio.move_on_after(LINGER_S):
                    await body.is_over.wait()
            await send(message)

        with self.in_flight:
            await self.app(scope, body.receive, send_and_linger)
