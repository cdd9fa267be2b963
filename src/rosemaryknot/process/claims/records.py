"""State of one request id, and the decisions that depend on it.

The functions depend only on a record and a message. Both implementations of
at-most-once execution use them. Times are in the clock of the process that holds the
record.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from rosemaryknot.values.claims import (
    MAX_STORED_BODY_BYTES,
    ClaimAnswered,
    ClaimGranted,
    ClaimRefused,
    ClaimRequest,
    CloseReply,
    RefusedKind,
    ResultKind,
    ResultRecord,
)
from rosemaryknot.values.messages import Message
from rosemaryknot.values.outcomes import Reason

__all__ = [
    "CLOSED_ALL",
    "OPEN_GRANT_TTL_S",
    "ClaimRecord",
    "RunState",
    "apply_result",
    "close_attempts",
    "close_reply",
    "decide_claim",
    "grant",
    "record_from_dict",
    "record_to_dict",
    "refuse_closed",
    "release",
    "reply_from_run",
]

CLOSED_ALL = 2**31
# A granted claim without a reported result is kept far longer than a response. The
# entry that holds it may be paused, and send the request when it resumes. If the grant
# were removed before, a repeated request could run as well.
OPEN_GRANT_TTL_S = 24 * 3600.0
RECORD_OVERHEAD_BYTES = 1000
RUNNING_RETRY_AFTER_S = 1.0
KEY_CLOSED_DETAIL = (
    "A send without Rosemaryknot-Attempt was refused, which closed the key for good; "
    "send a new Idempotency-Key."
)


class RunState(StrEnum):
    """State of the single run of an id."""

    NONE = "none"
    GRANTED = "granted"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class ClaimRecord:
    """State of one id.

    Attributes
    ----------
    closed : int
        Highest attempt that is closed, which means that it and all earlier attempts
        must never run; `CLOSED_ALL` closes the id.
    state : str
        A `RunState`.
    claim : str
        Claim that holds or held the grant; empty if nothing was granted.
    attempt : int
        Attempt of that claim.
    body_digest : bytes
        Digest of the first claim's body; empty before a claim.
    reason : str
        Why the outcome of the run is unknown.
    status, headers, body
        The stored response.
    is_kept : bool
        Whether the response was small enough to be stored.
    granted_s, timeout_s, expires_s : float
        When the claim was granted, how long a run may take, and when the record
        expires.
    epoch, version : int
        Order of the replicas of this record: the higher pair is the newer one.
    is_known : bool
        Whether the record is certainly complete. False for a record that a successor
        recovered from a replica, which may be outdated.
    holder : str
        Process that holds the newest replica; empty if there is none.
    """

    closed: int = 0
    state: str = RunState.NONE
    claim: str = ""
    attempt: int = 0
    body_digest: bytes = b""
    reason: str = ""
    status: int = 0
    headers: list[list[str]] = field(default_factory=list)
    body: bytes = b""
    is_kept: bool = True
    granted_s: float = 0.0
    timeout_s: float = 0.0
    expires_s: float = 0.0
    epoch: int = 0
    version: int = 0
    is_known: bool = True
    holder: str = ""

    @property
    def has_run(self) -> bool:
        """Whether a claim was granted and the request may have been sent."""
        return self.state != RunState.NONE

    @property
    def size_bytes(self) -> int:
        """Estimated memory of the record."""
        return RECORD_OVERHEAD_BYTES + len(self.body)

    def is_closed(self, attempt: int) -> bool:
        """Return whether an attempt is closed; 0 means that no number was declared.

        An attempt without a number may be an early one, so it counts as closed as soon
        as any attempt is.
        """
        return self.closed >= max(attempt, 1)


def reply_from_run(record: ClaimRecord, now_s: float) -> ClaimAnswered | ClaimRefused:
    """Return the reply to a repeated claim for an id that has a run."""
    if record.state == RunState.ANSWERED and record.is_kept:
        return ClaimAnswered(record.status, record.headers, record.body)
    if record.state == RunState.ANSWERED:
        detail = "It was answered; the answer was too large to keep."
        return ClaimRefused(RefusedKind.UNKNOWN, Reason.ANSWER_LOST, detail=detail)
    if record.state == RunState.UNKNOWN:
        return ClaimRefused(RefusedKind.UNKNOWN, record.reason)
    if now_s < record.granted_s + record.timeout_s:
        return ClaimRefused(
            RefusedKind.RUNNING, Reason.ALREADY_RUNNING, RUNNING_RETRY_AFTER_S
        )
    return ClaimRefused(RefusedKind.UNKNOWN, Reason.TIMED_OUT)


def decide_claim(
    record: ClaimRecord, request: ClaimRequest, now_s: float
) -> Message | None:
    """Return the reply that follows from an earlier run, or None without a run.

    Parameters
    ----------
    record : ClaimRecord
        State of the id.
    request : ClaimRequest
        The claim.
    now_s : float
        Current time in the record's clock.

    Returns
    -------
    reply : Message or None
        None if the record contains no run. The attempt may still be closed, or the
        state of the id uncertain.
    """
    if record.state == RunState.GRANTED and record.claim == request.claim:
        return ClaimGranted(request.claim)
    if record.body_digest and record.body_digest != request.body_digest:
        detail = "The key was used for another request."
        return ClaimRefused(RefusedKind.NOT_RUN, Reason.BODY_DIFFERS, detail=detail)
    if record.has_run:
        return reply_from_run(record, now_s)
    return None


def refuse_closed(record: ClaimRecord) -> ClaimRefused:
    """Return the refusal of a claim whose attempt is closed."""
    detail = "A later attempt was refused; send a higher Rosemaryknot-Attempt."
    if record.closed >= CLOSED_ALL:
        detail = KEY_CLOSED_DETAIL
    return ClaimRefused(RefusedKind.NOT_RUN, Reason.ATTEMPT_CLOSED, detail=detail)


def grant(record: ClaimRecord, request: ClaimRequest, now_s: float) -> None:
    """Grant a claim the only right to send the request."""
    record.state = RunState.GRANTED
    record.claim = request.claim
    record.attempt = request.attempt
    record.body_digest = request.body_digest
    record.granted_s = now_s
    record.timeout_s = request.timeout_s
    record.expires_s = now_s + max(OPEN_GRANT_TTL_S, request.horizon_s)
    record.version += 1


def release(record: ClaimRecord) -> None:
    """Withdraw a grant for which the request was certainly not sent."""
    record.state = RunState.NONE
    record.claim = ""
    record.version += 1


def close_attempts(
    record: ClaimRecord, attempt: int, horizon_s: float, now_s: float
) -> bool:
    """Close all attempts up to a number; 0 (no number declared) closes the id.

    Returns
    -------
    changed : bool
        Whether attempts were closed that were open before.
    """
    record.expires_s = max(record.expires_s, now_s + horizon_s)
    number = attempt or CLOSED_ALL
    if number <= record.closed:
        return False
    record.closed = number
    record.version += 1
    return True


def close_reply(record: ClaimRecord, now_s: float) -> CloseReply:
    """Return the reply that an id with a run cannot be closed."""
    reply = reply_from_run(record, now_s)
    if isinstance(reply, ClaimAnswered):
        return CloseReply(
            False, "answered", "", 0.0, reply.status, reply.headers, reply.body
        )
    return CloseReply(False, reply.outcome, reply.reason, reply.retry_after_s)


def apply_result(
    record: ClaimRecord,
    result: ResultRecord,
    now_s: float,
    free_bytes: float = MAX_STORED_BODY_BYTES,
) -> bool:
    """Apply the reported result of a claim.

    Parameters
    ----------
    record : ClaimRecord
        State of the id.
    result : ResultRecord
        The entry's report.
    now_s : float
        Current time in the record's clock.
    free_bytes : float
        Free capacity for the response body; a larger body is not stored.

    Returns
    -------
    changed : bool
        False for a repeated report, and for a report about a claim that does not
        hold the grant.
    """
    is_holder = record.claim == result.claim
    if result.result == ResultKind.NOT_SENT:
        return apply_not_sent(record, result, now_s)
    if record.has_run and not (is_holder and record.state == RunState.GRANTED):
        return False
    record.claim = result.claim
    record.attempt = result.attempt
    record.expires_s = now_s + result.horizon_s
    record.version += 1
    if result.result == ResultKind.UNKNOWN:
        record.state = RunState.UNKNOWN
        record.reason = result.reason
        return True
    record.state = RunState.ANSWERED
    record.status = result.status
    size = len(result.body)
    record.is_kept = result.is_whole and size <= min(free_bytes, MAX_STORED_BODY_BYTES)
    if record.is_kept:
        record.headers = [list(pair) for pair in result.headers]
        record.body = result.body
    return True


def apply_not_sent(record: ClaimRecord, result: ResultRecord, now_s: float) -> bool:
    """Apply the report that the request of a claim was not sent."""
    is_holder = record.claim == result.claim
    if is_holder and record.state != RunState.GRANTED:
        return False
    if is_holder:
        release(record)
        record.expires_s = now_s + result.horizon_s
    if result.close or not is_holder:
        # The claim itself may arrive after this report. Its attempt must be closed
        # by then, since no entry waits for the grant any more.
        close_attempts(record, result.attempt, result.horizon_s, now_s)
    return True


def record_to_dict(record: ClaimRecord, now_s: float = 0.0) -> dict[str, Any]:
    """Return the record as a dict for messages, with times relative to ``now_s``."""
    return {
        "closed": record.closed,
        "state": str(record.state),
        "claim": record.claim,
        "attempt": record.attempt,
        "body_digest": record.body_digest,
        "reason": str(record.reason),
        "status": record.status,
        "headers": record.headers,
        "body": record.body,
        "is_kept": record.is_kept,
        "granted_s": record.granted_s - now_s,
        "timeout_s": record.timeout_s,
        "expires_s": record.expires_s - now_s,
        "epoch": record.epoch,
        "version": record.version,
        "is_known": record.is_known,
    }


def record_from_dict(value: dict[str, Any], now_s: float = 0.0) -> ClaimRecord:
    """Return the record of a `record_to_dict` result, with times in the local clock."""
    record = ClaimRecord(**value)
    record.granted_s += now_s
    record.expires_s += now_s
    return record
