"""Outcomes of requests for callers, with reasons from a closed list."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Answered", "NotRun", "Outcome", "Reason", "Running", "Unknown"]


class Reason(StrEnum):
    """Why a request was not answered.

    The text of each member is part of the API: callers and dashboards match on it.
    """

    # Invalid input: the same request would be refused again.
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_REQUEST = "unknown_request"
    BODY_DIFFERS = "body_differs"
    # Load and limits: retry after ``retry_after_s``.
    OVERLOADED = "overloaded"
    LIMIT_REACHED = "limit_reached"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    ID_TABLE_FULL = "id_table_full"
    # State of the system.
    STOPPING = "stopping"
    NO_CONFIGURATION = "no_configuration"
    NO_SERVER = "no_server"
    SERVER_FAILED = "server_failed"
    OWNER_UNREACHABLE = "owner_unreachable"
    STORE_UNAVAILABLE = "store_unavailable"
    ATTEMPT_CLOSED = "attempt_closed"
    ALREADY_RUNNING = "already_running"
    # After the request may have reached a backend server.
    ANSWER_LOST = "answer_lost"
    TIMED_OUT = "timed_out"
    OWNER_CHANGED = "owner_changed"
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
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@dataclass(slots=True)
class NotRun:
    """The request did not run, and no attempt up to this one will.

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
        Why this is unknown.
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
