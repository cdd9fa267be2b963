"""ASGI middleware that bounds the bodies of requests that an entry holds."""

from collections.abc import MutableMapping
from typing import Any

from rosemaryknot.connection.body_budget import BodyBudget, BodyReservation

__all__ = ["Upload", "UploadLimitMiddleware", "get_upload"]

UPLOAD = "rosemaryknot.upload"


class Upload:
    """Body of one request, as far as it has arrived.

    Parameters
    ----------
    reservation : BodyReservation
        Room for the body.

    Attributes
    ----------
    size : int
        Bytes that were passed on to the application.
    is_answered : bool
        Whether the response has begun, so that the rest of the body is of no use.
    is_refused : bool
        Whether the body found no room.
    """

    __slots__ = ("is_answered", "is_refused", "reservation", "size")

    def __init__(self, reservation: BodyReservation) -> None:
        self.reservation = reservation
        self.size = 0
        self.is_answered = self.is_refused = False

    def accept(self, message: MutableMapping[str, Any]) -> None:
        """Count the bytes of a message, or drop them."""
        data = message.get("body", b"")
        self.reservation.record_received(len(data))
        if not self.is_answered and self.reservation.extend(self.size + len(data)):
            self.size += len(data)
            return
        message["body"] = b""
        if data and not self.is_answered:
            self.is_refused = True
            if self.reservation.scope is not None:
                self.reservation.scope.cancel()


class UploadLimitMiddleware:
    """ASGI middleware that counts the bodies of requests, and drops useless ones.

    The server passes on a body as it arrives, also if the application has refused the
    request without it, and the application holds what it gets.

    Parameters
    ----------
    app : callable
        The ASGI application.
    budget : BodyBudget
        Bytes that the bodies may have together.
    """

    def __init__(self, app: Any, budget: BodyBudget) -> None:
        self.app = app
        self.budget = budget

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return

        async def receive_counted() -> MutableMapping[str, Any]:
            message = await receive()
            if message["type"] == "http.request":
                upload.accept(message)
            return message

        async def send_noted(message: MutableMapping[str, Any]) -> None:
            upload.is_answered = True
            await send(message)

        with self.budget.begin() as reservation:
            upload = Upload(reservation)
            scope["extensions"][UPLOAD] = upload
            await self.app(scope, receive_counted, send_noted)


def get_upload(scope: dict[str, Any]) -> Upload | None:
    """Return the upload of an ASGI scope, or None if uploads are not limited."""
    return scope.get("extensions", {}).get(UPLOAD)
