"""Tracking of requests that await their responses, and logging of aborted ones."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge

__all__ = [
    "PENDING_RESPONSES",
    "Cause",
    "PendingResponse",
    "PendingResponses",
    "Phase",
    "ShutdownSummary",
]

# Aborted responses that a graceful shutdown logs before its final log line; the others
# are logged as their connections end. Below the number of lines that are buffered
# while a process exits, so that the final line is not lost.
MAX_LOGGED_AT_SHUTDOWN = 250

ABORTED_RESPONSES = counter(
    "caller_answers_cut_total", "Answers that were not given, by cause."
)
PENDING_RESPONSES = gauge(
    "caller_answers_owed", "Requests read in part or whole, not answered."
)

log = logger("callers")


class Phase(StrEnum):
    """Progress of a request."""

    HEAD = "reading its head"
    BODY = "reading its body"
    RESPONSE = "answering"
    DELIVERY = "delivering a whole answer"
    REFUSAL = "refusing it unread"


class Cause(StrEnum):
    """Reason why a response is not sent."""

    STOP = "planned stop"
    CALLER_LEFT = "the caller left"
    CALLER_STALLED = "the caller stood still"
    PROCESS_ENDS = "the process ends"


def unknown_request_fields() -> dict[str, object]:
    """Return the log fields of a request whose head has not been decoded."""
    return {"request": ""}


@dataclass(slots=True, eq=False)
class PendingResponse:
    """One caller's request, from its first byte to the end of its response.

    Attributes
    ----------
    received_s : float
        When its head was complete, or its first byte before that, in trio time.
    phase : Phase
        Its progress.
    cause : Cause
        Reason that is logged if it is aborted now.
    sent_bytes : int
        Bytes of the response body that were sent.
    is_whole : bool
        Whether the complete response was sent.
    is_logged : bool
        Whether its outcome has been logged.
    explain : callable
        Returns the fields of its log line, among them ``request``.
    """

    received_s: float
    phase: Phase = Phase.HEAD
    cause: Cause = Cause.PROCESS_ENDS
    sent_bytes: int = 0
    is_whole: bool = False
    is_logged: bool = False
    explain: Callable[[], dict[str, object]] = unknown_request_fields


@dataclass(slots=True)
class ShutdownSummary:
    """Counts of pending responses when a graceful shutdown ends the connections.

    Attributes
    ----------
    cut_off : int
        Aborted responses; each is logged.
    delivering : int
        Complete responses that are being sent, which get a little more time.
    heads_unread : int
        Connections with an incomplete head, so that their request is unknown.
    """

    cut_off: int = 0
    delivering: int = 0
    heads_unread: int = 0


@dataclass(slots=True)
class PendingResponses:
    """The pending responses of all connections of a listener.

    Attributes
    ----------
    shutdown_started_s : float
        When a graceful shutdown started, in trio time; infinite without one.
    all : set of PendingResponse
        Requests that have not ended.
    """

    shutdown_started_s: float = math.inf
    all: set[PendingResponse] = field(default_factory=set)

    def begin(self) -> PendingResponse:
        """Start tracking a request at its first bytes."""
        pending = PendingResponse(trio.current_time())
        self.all.add(pending)
        return pending

    def end(self, pending: PendingResponse) -> None:
        """End the tracking of a request, and log its outcome if not yet logged."""
        self.all.discard(pending)
        if pending.phase is not Phase.HEAD:
            self.log_request_end(pending)

    def log_aborted(self) -> ShutdownSummary:
        """Log the responses that the end of a graceful shutdown aborts.

        Operators search for requests by the id that the caller has. Logging starts
        before the connections are cancelled, since the process could be killed before
        a later line is written.
        """
        summary = ShutdownSummary()
        for pending in tuple(self.all):
            pending.cause = Cause.STOP
            if pending.is_logged or pending.is_whole:
                continue
            if pending.phase is Phase.HEAD:
                summary.heads_unread += 1
            elif pending.phase is Phase.DELIVERY:
                summary.delivering += 1
            else:
                summary.cut_off += 1
                if summary.cut_off <= MAX_LOGGED_AT_SHUTDOWN:
                    self.log_request_end(pending)
        return summary

    def log_request_end(self, pending: PendingResponse) -> None:
        """Log how a request ended, once."""
        if pending.is_logged:
            return
        pending.is_logged = True
        if not pending.is_whole:
            ABORTED_RESPONSES.add(cause=pending.cause)
        after_stop_s = pending.received_s - self.shutdown_started_s
        log.info(
            "ended after its whole answer" if pending.is_whole else "cut off",
            cause=pending.cause,
            phase=pending.phase,
            taken_after_stop_s=seconds_or_none(after_stop_s),
            ran_s=round(trio.current_time() - pending.received_s, 3),
            sent_bytes=pending.sent_bytes,
            **pending.explain(),
        )


def seconds_or_none(value_s: float) -> float | None:
    """Return a duration rounded for a log line, or None if it is not finite.

    Examples
    --------
    >>> seconds_or_none(1.23456), seconds_or_none(-math.inf)
    (1.235, None)
    """
    return round(value_s, 3) if math.isfinite(value_s) else None
