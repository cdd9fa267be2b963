"""Drain that a stand-in states in all its responses while it serves requests."""

from quart import Quart, Response

__all__ = ["DrainHeader"]

HEADER = "Rosemaryknot-Leaving"


class DrainHeader:
    """Statement of a server that drains.

    Parameters
    ----------
    app : Quart
        HTTP interface of the server.

    Attributes
    ----------
    is_stated : bool
        Whether the responses state it.
    """

    def __init__(self, app: Quart) -> None:
        self.is_stated = False
        app.after_request(self.state)

    async def state(self, response: Response) -> Response:
        """Add the statement to a response."""
        if self.is_stated:
            response.headers[HEADER] = "1"
        return response
