"""What an attempt at a backend server came to, and the wire that tells it."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from rosemaryknot.values.gateway import GatewayRequest, Headers, RoutedServer

__all__ = [
    "ANSWER_S",
    "AnswerHead",
    "Broken",
    "Completed",
    "GatewayWire",
    "Lost",
    "NotRunThere",
    "NotSent",
    "PlannedStop",
    "Refusal",
    "TargetFault",
]


# Kept of the stop's end for an answer of our own to go out, in seconds: one write to a
# caller who reads.
ANSWER_S = 0.1


@dataclass(slots=True)
class AnswerHead:
    """Status and headers of a backend server's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    request_id : str
        The id that the server gives back.
    not_run : bool
        Whether it says that it did not run the request.
    is_signed : bool
        Whether it is the server's own answer.
    is_closing : bool
        Whether the server closes the connection after it.
    keep_alive_s : float or None
        How long the server keeps an idle connection, where it says so.
    has_length : bool
        Whether its end shows otherwise than by the connection's end.
    headers : list of tuple of (bytes, bytes)
        What the caller gets.
    """

    status: int
    request_id: str
    not_run: bool
    is_signed: bool
    is_closing: bool
    keep_alive_s: float | None
    has_length: bool
    headers: Headers = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class PlannedStop:
    """A planned stop that goes on; times are trio's.

    Attributes
    ----------
    signalled_s : float
        When its signal came.
    left_out_s : float
        When the balancer has had the time to send new callers elsewhere.
    ends_s : float
        When it ends what is still open.
    """

    signalled_s: float
    left_out_s: float
    ends_s: float

    def earlier(self, by_s: float) -> "PlannedStop":
        """Return it with all times earlier.

        Examples
        --------
        >>> PlannedStop(0.0, 2.6, 7.5).earlier(0.5)
        PlannedStop(signalled_s=-0.5, left_out_s=2.1, ends_s=7.0)
        """
        return PlannedStop(
            self.signalled_s - by_s, self.left_out_s - by_s, self.ends_s - by_s
        )


@dataclass(slots=True)
class NotSent:
    """No byte can have left for the server."""

    reason: str


@dataclass(slots=True)
class NotRunThere:
    """The server says that it did not run the request.

    Attributes
    ----------
    status : int
        What it answered.
    """

    status: int


@dataclass(slots=True)
class Lost:
    """The request may have run, and the caller has got nothing of an answer yet.

    Attributes
    ----------
    reason : str
        What happened.
    """

    reason: str


@dataclass(slots=True)
class Broken:
    """The answer broke off after a part of it had gone to the caller.

    Attributes
    ----------
    reason : str
        What happened.
    last_event_id : bytes or None
        Of the last whole event that went out.
    """

    reason: str
    last_event_id: bytes | None = None


@dataclass(slots=True)
class Completed:
    """The whole answer went to the caller.

    Attributes
    ----------
    status : int
        Its status.
    """

    status: int


@dataclass(slots=True)
class Refusal:
    """An answer of our own.

    Attributes
    ----------
    status : int
        HTTP status; 408, 421, 429 and 503 say that the request has not run.
    reason : str
        For people and logs.
    retry_after_s : float or None
        When the caller should come back.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclass(slots=True)
class TargetFault:
    """A head that cannot be taken as a request.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    reason : str
        What is wrong.
    """

    status: int
    reason: str


class GatewayWire(Protocol):
    """Names of headers, as the adapter of a platform fills them in."""

    def read_request(
        self, method: bytes, target: bytes, headers: Any, body: bytes, arrived_s: float
    ) -> GatewayRequest | TargetFault:
        """Decode a request of a caller."""

    def server_headers(
        self,
        request: GatewayRequest,
        server: RoutedServer,
        customer: str | None,
        left_s: float,
        priority: int | None,
        last_event_id: bytes | None,
    ) -> Headers:
        """Return the headers of a request as it goes to a server."""

    def read_answer(self, status: int, headers: Any) -> AnswerHead:
        """Decode the head of a server's answer."""

    def refusal_headers(self, request: GatewayRequest | None) -> Headers:
        """Return what identifies the request in an answer of our own."""
