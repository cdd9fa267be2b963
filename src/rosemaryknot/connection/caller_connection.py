"""ASGI middleware that counts requests in flight and closes connections gracefully."""

from contextlib import AbstractContextManager
from typing import Any

import trio

__all__ = ["LingeringCloseMiddleware"]

LINGER_S = 1.0


class BodyTracker:
    """Wrapper of ASGI ``receive`` that detects the end of a request body.

    Parameters
    ----------
    receive : callable
        ASGI receive callable.
    """

    __slots__ = ("receive_next", "is_received")

    def __init__(self, receive: Any) -> None:
        self.receive_next = receive
        self.is_received = trio.Event()

    async def receive(self) -> dict[str, Any]:
        """Receive the next ASGI message."""
        message = await self.receive_next()
        if not message.get("more_body", False):
            self.is_received.set()
        return message


class LingeringCloseMiddleware:
    """ASGI middleware that delays the end of a response until the body has arrived.

    A response may be sent before the request body was received, for example if the
    body is too large. Closing the connection then resets it, and the caller loses the
    response while it still sends its body. Therefore the end of a response waits for
    the end of the body, at most `LINGER_S`; the response itself has been sent by then.

    Parameters
    ----------
    app : callable
        The ASGI application.
    in_flight : context manager
        Entered while a request is handled and its response is written.
    """

    def __init__(self, app: Any, in_flight: AbstractContextManager) -> None:
        self.app = app
        self.in_flight = in_flight

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        body = BodyTracker(receive)

        async def send_and_linger(message: dict[str, Any]) -> None:
            if not message.get("more_body", True) and not body.is_received.is_set():
                with trio.move_on_after(LINGER_S):
                    await body.is_received.wait()
            await send(message)

        with self.in_flight:
            await self.app(scope, body.receive, send_and_linger)
