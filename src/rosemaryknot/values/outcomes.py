"""Outcomes of requests as reported to callers, with a fixed set of reasons."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Answered", "NotRun", "Outcome", "Reason", "Running", "Unknown"]


class Reason(StrEnum):
    """Why a caller receives no response from a backend server.

    The values are part of the API: callers and dashboards match on them.
    """

    # Invalid input: the same request would be refused again.
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_REQUEST = "unknown_request"
    # The idempotency key was used for another request.
    BODY_DIFFERS = "body_differs"
    # Load and limits: retry after ``retry_after_s``.
    OVERLOADED = "overloaded"
    LIMIT_REACHED = "limit_reached"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    # No capacity to store another idempotency key.
    ID_TABLE_FULL = "id_table_full"
    # State of the system.
    STOPPING = "stopping"
    NO_CONFIGURATION = "no_configuration"
    NO_SERVER = "no_server"
    SERVER_FAILED = "server_failed"
    OWNER_UNREACHABLE = "owner_unreachable"
    STORE_UNAVAILABLE = "store_unavailable"
    # A later attempt with the same idempotency key was refused, or the key is closed.
    ATTEMPT_CLOSED = "attempt_closed"
    ALREADY_RUNNING = "already_running"
    # The request may have reached a backend server, unless the outcome is `NotRun`.
    ANSWER_LOST = "answer_lost"
    TIMED_OUT = "timed_out"
    OWNER_CHANGED = "owner_changed"
    # It could not be confirmed whether the request ran.
    NOT_PROVEN = "not_proven"


@dataclass(slots=True)
class Answered:
    """The complete response of a backend server.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    headers : list of tuple of (str, str)
        Headers that are forwarded.
    body : bytes
        The whole body.
    is_ended_by_close : bool
        Whether only the close of the connection marked the end of the body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    is_ended_by_close: bool = False


@dataclass(slots=True)
class NotRun:
    """The request did not run; neither this attempt nor an earlier one will run later.

    Attributes
    ----------
    reason : Reason
        Why it was refused.
    retry_after_s : float
        Delay before a retry, in seconds; 0 if a retry does not help.
    detail : str
        Explanation for people. Never contains text from the caller.
    """

    reason: Reason
    retry_after_s: float = 0.0
    detail: str = ""


@dataclass(slots=True)
class Unknown:
    """It is unknown whether the request ran.

    Attributes
    ----------
    reason : Reason
        Why it is unknown whether the request ran.
    detail : str
        Explanation for people. Never contains text from the caller.
    """

    reason: Reason
    detail: str = ""


@dataclass(slots=True)
class Running:
    """The request has been accepted and is not finished.

    Attributes
    ----------
    retry_after_s : float
        Delay before the next query, in seconds.
    """

    retry_after_s: float = 1.0


Outcome = Answered | NotRun | Unknown | Running
