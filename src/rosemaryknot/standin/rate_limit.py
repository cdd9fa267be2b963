"""Rate limit that a stand-in states in its responses."""

import trio
from quart import Quart, Response, request

__all__ = ["RateLimit"]

HEADER = "Rosemaryknot-Rate-Limit"


class RateLimit:
    """Rate limit of a server, and the requests that arrived.

    Parameters
    ----------
    app : Quart
        HTTP interface of the server.
    path : str
        Prefix of the paths that are limited.

    Attributes
    ----------
    text : str or None
        Stated limit in requests per second; None for none.
    arrivals : list of float
        When requests arrived, in trio time.
    stated : list of tuple of (float, str or None)
        When responses were sent, in trio time, with the limit that they stated.
    """

    def __init__(self, app: Quart, path: str) -> None:
        self.path = path
        self.text: str | None = None
        self.arrivals: list[float] = []
        self.stated: list[tuple[float, str | None]] = []
        app.before_request(self.record_arrival)
        app.after_request(self.state)

    def is_limited(self) -> bool:
        """Return whether the current request is one that the limit applies to."""
        is_test = request.path.startswith("/test/")
        return request.path.startswith(self.path) and not is_test

    async def record_arrival(self) -> None:
        """Record a request."""
        if self.is_limited():
            self.arrivals.append(trio.current_time())

    async def state(self, response: Response) -> Response:
        """Add the limit to a response."""
        if self.is_limited():
            self.stated.append((trio.current_time(), self.text))
            if self.text is not None:
                response.headers[HEADER] = self.text
        return response
