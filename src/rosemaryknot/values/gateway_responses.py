"""Outcomes of attempts at a backend server, and the header codec of the platform."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from rosemaryknot.values.gateway import GatewayRequest, Headers, RoutedServer
from rosemaryknot.values.retry_after import InvalidRetryAfter
from rosemaryknot.values.server_limits import InvalidLimit

__all__ = [
    "RESPONSE_RESERVE_S",
    "ResponseHead",
    "Broken",
    "Completed",
    "Framing",
    "GatewayWire",
    "Lost",
    "NodeFull",
    "NotPermitted",
    "NotRunThere",
    "NotSent",
    "ShutdownSchedule",
    "Refusal",
    "RetryRefused",
    "TargetFault",
]


# Time reserved at the end of a graceful shutdown to send a response of the gateway
# itself: one write to a caller that reads.
RESPONSE_RESERVE_S = 0.1


class Framing(StrEnum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a backend server's response.

    Attributes
    ----------
    status : int
        HTTP status.
    request_id : str
        Request id that the server echoes.
    not_run : bool
        Whether the server states that it did not run the request.
    is_signed : bool
        Whether the response carries the server's signature header, which shows that
        the server itself sent it.
    is_closing : bool
        Whether the server closes the connection after the response.
    keep_alive_s : float or None
        How long the server keeps an idle connection open, if stated.
    framing : Framing
        What marks the end of the body.
    headers : list of tuple of (bytes, bytes)
        Headers that are forwarded to the caller.
    limit : float or InvalidLimit or None
        Requests per second that the server accepts from all gateways together; None if
        it states no limit.
    brittle : float or InvalidLimit or None
        Requests a second that the server may turn away for want of room before it
        crashes; None if it does not state that it is brittle.
    is_draining : bool
        Whether the server states that it drains.
    retry_after : float or InvalidRetryAfter or None
        Time for which the server wants no requests, in seconds; None if it states none.
    """

    status: int
    request_id: str
    not_run: bool
    is_signed: bool
    is_closing: bool
    keep_alive_s: float | None
    framing: Framing
    headers: Headers = field(default_factory=list)
    limit: float | InvalidLimit | None = None
    brittle: float | InvalidLimit | None = None
    is_draining: bool = False
    retry_after: float | InvalidRetryAfter | None = None


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """Times of a graceful shutdown in progress, in trio time.

    Attributes
    ----------
    signalled_s : float
        When the signal arrived.
    deregistered_s : float
        When the load balancer has had time to route new callers elsewhere.
    ends_s : float
        When requests that are still open are aborted.
    """

    signalled_s: float
    deregistered_s: float
    ends_s: float

    def earlier(self, by_s: float) -> "ShutdownSchedule":
        """Return the schedule with all times moved earlier by a duration.

        Examples
        --------
        >>> ShutdownSchedule(0.0, 2.6, 7.5).earlier(0.5)
        ShutdownSchedule(signalled_s=-0.5, deregistered_s=2.1, ends_s=7.0)
        """
        return ShutdownSchedule(
            self.signalled_s - by_s, self.deregistered_s - by_s, self.ends_s - by_s
        )


@dataclass(slots=True)
class NotSent:
    """No byte of the request can have been sent to the server.

    Attributes
    ----------
    reason : str
        Cause of the failure.
    is_path_failure : bool
        Whether it shows nothing of the server's state.
    is_refused : bool
        Whether nothing listens at the server's address.
    """

    reason: str
    is_path_failure: bool = False
    is_refused: bool = False


@dataclass(slots=True)
class NotPermitted(NotSent):
    """The server must not get the request, though it was chosen, and has not failed.

    It stated a rate limit or a drain after it was chosen, or the permit expired.
    """


class NodeFull(NotPermitted):
    """No descriptor of this node is left for a connection to a server."""


class RetryRefused(NotPermitted):
    """The retry budget was used up when the request was about to be sent again."""


@dataclass(slots=True)
class NotRunThere:
    """The server states that it did not run the request.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    """

    status: int


@dataclass(slots=True)
class Lost:
    """The request may have run, and no part of a response has reached the caller.

    Attributes
    ----------
    reason : str
        Cause of the failure.
    is_path_failure : bool
        Whether it shows nothing of the server's state.
    """

    reason: str
    is_path_failure: bool = False


@dataclass(slots=True)
class Broken:
    """The response broke off after a part of it had been sent to the caller.

    Attributes
    ----------
    reason : str
        Cause of the failure.
    last_event_id : bytes or None
        Id of the last complete event that was sent.
    is_path_failure : bool
        Whether it shows nothing of the server's state.
    """

    reason: str
    last_event_id: bytes | None = None
    is_path_failure: bool = False


@dataclass(slots=True)
class Completed:
    """The whole response was sent to the caller.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    """

    status: int


@dataclass(slots=True)
class Refusal:
    """A response of the gateway itself.

    Attributes
    ----------
    status : int
        HTTP status; 408, 421, 429 and 503 state that the request has not run.
    reason : str
        Explanation for people and logs.
    retry_after_s : float or None
        Delay after which the caller should retry.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclass(slots=True)
class TargetFault:
    """A request head that is invalid.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    reason : str
        What is invalid.
    """

    status: int
    reason: str


class GatewayWire(Protocol):
    """Header codec of a platform, implemented by its adapter."""

    def read_request(
        self, method: bytes, target: bytes, headers: Any, body: bytes, arrived_s: float
    ) -> GatewayRequest | TargetFault:
        """Decode a caller's request."""

    def server_headers(
        self,
        request: GatewayRequest,
        server: RoutedServer,
        customer: str | None,
        remaining_s: float,
        priority: int | None,
        last_event_id: bytes | None,
    ) -> Headers:
        """Return the headers of a request to a backend server."""

    def read_response(self, status: int, headers: Any) -> ResponseHead:
        """Decode the status and headers of a backend server's response."""

    def refusal_headers(self, request: GatewayRequest | None) -> Headers:
        """Return the headers that identify the request in a response of the gateway."""
