"""What is remembered of one id, and the decisions that follow from it.

Plain functions of a record and a message; both forms of at-most-once execution use
them. Times are in the clock of whoever holds the record.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from rosemaryknot.values.claims import (
    MAX_KEPT_BODY_BYTES,
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
    "OPEN_GRANT_S",
    "ClaimRecord",
    "RunState",
    "apply_result",
    "close_attempts",
    "close_reply",
    "decide_claim",
    "grant",
    "record_from_map",
    "record_to_map",
    "refuse_closed",
    "release",
    "reply_from_run",
]

CLOSED_ALL = 2**31
# A granted claim whose entry says nothing is kept far longer than an answer: its
# holder may be paused, and send when it wakes. Forgetting the grant would let a
# repeat run beside it.
OPEN_GRANT_S = 24 * 3600.0
RECORD_BYTES = 1000
RUNNING_RETRY_S = 1.0
KEY_CLOSED = (
    "A send without Rosemaryknot-Attempt was refused, which closed the key for good; "
    "send a new Idempotency-Key."
)


class RunState(StrEnum):
    """What is known of the one run of an id."""

    NONE = "none"
    GRANTED = "granted"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class ClaimRecord:
    """What is remembered of one id.

    Attributes
    ----------
    closed : int
        Attempts up to this number never run; `CLOSED_ALL` closes the id.
    state : str
        A `RunState`.
    claim : str
        Claim that holds or held the grant; empty where nothing was granted.
    attempt : int
        Attempt of that claim.
    body_digest : bytes
        Digest of the first claim's body; empty before a claim.
    reason : str
        Why the run is unknown.
    status, headers, body
        The kept answer.
    is_kept : bool
        Whether the answer was small enough to be kept.
    granted_s, timeout_s, expires_s : float
        When the grant was given, how long a run may take, when to forget the record.
    epoch, version : int
        Order of the copies of this record.
    is_known : bool
        Whether nothing can have been forgotten about the id. False for a record
        that a successor found in a copy, which may be an old one.
    holder : str
        Process that holds the newest copy; empty where none does.
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
        """Whether a claim was granted that may have been used."""
        return self.state != RunState.NONE

    @property
    def size_bytes(self) -> int:
        """Memory that the record is counted with."""
        return RECORD_BYTES + len(self.body)

    def closes(self, attempt: int) -> bool:
        """Tell whether an attempt is closed; 0 is an undeclared one.

        An undeclared attempt may be an early one, so any closing covers it.
        """
        return self.closed >= max(attempt, 1)


def reply_from_run(record: ClaimRecord, now_s: float) -> ClaimAnswered | ClaimRefused:
    """Return what a repeat is told while a run stands in the record."""
    if record.state == RunState.ANSWERED and record.is_kept:
        return ClaimAnswered(record.status, record.headers, record.body)
    if record.state == RunState.ANSWERED:
        detail = "It was answered; the answer was too large to keep."
        return ClaimRefused(RefusedKind.UNKNOWN, Reason.ANSWER_LOST, detail=detail)
    if record.state == RunState.UNKNOWN:
        return ClaimRefused(RefusedKind.UNKNOWN, record.reason)
    if now_s < record.granted_s + record.timeout_s:
        return ClaimRefused(
            RefusedKind.RUNNING, Reason.ALREADY_RUNNING, RUNNING_RETRY_S
        )
    return ClaimRefused(RefusedKind.UNKNOWN, Reason.TIMED_OUT)


def decide_claim(
    record: ClaimRecord, request: ClaimRequest, now_s: float
) -> Message | None:
    """Return the answer that a run already gives, or None where there is no run.

    Parameters
    ----------
    record : ClaimRecord
        What is remembered of the id.
    request : ClaimRequest
        The claim.
    now_s : float
        Time in the record's clock.

    Returns
    -------
    reply : Message or None
        None where the id has not run; it may still be closed or in doubt.
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
    """Return the refusal of a closed attempt."""
    detail = "A later attempt was refused; send a higher Rosemaryknot-Attempt."
    if record.closed >= CLOSED_ALL:
        detail = KEY_CLOSED
    return ClaimRefused(RefusedKind.NOT_RUN, Reason.ATTEMPT_CLOSED, detail=detail)


def grant(record: ClaimRecord, request: ClaimRequest, now_s: float) -> None:
    """Give the one right to send to a claim."""
    record.state = RunState.GRANTED
    record.claim = request.claim
    record.attempt = request.attempt
    record.body_digest = request.body_digest
    record.granted_s = now_s
    record.timeout_s = request.timeout_s
    record.expires_s = now_s + max(OPEN_GRANT_S, request.horizon_s)
    record.version += 1


def release(record: ClaimRecord) -> None:
    """Take back a grant that was certainly not used."""
    record.state = RunState.NONE
    record.claim = ""
    record.version += 1


def close_attempts(
    record: ClaimRecord, attempt: int, horizon_s: float, now_s: float
) -> bool:
    """Close all attempts up to a number; an undeclared one closes the id.

    Returns
    -------
    changed : bool
        Whether the record says more than before.
    """
    record.expires_s = max(record.expires_s, now_s + horizon_s)
    number = attempt or CLOSED_ALL
    if number <= record.closed:
        return False
    record.closed = number
    record.version += 1
    return True


def close_reply(record: ClaimRecord, now_s: float) -> CloseReply:
    """Return why an id with a run cannot be closed."""
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
    room_bytes: float = MAX_KEPT_BODY_BYTES,
) -> bool:
    """Take in what came of a claim.

    Parameters
    ----------
    record : ClaimRecord
        What is remembered of the id.
    result : ResultRecord
        The entry's report.
    now_s : float
        Time in the record's clock.
    room_bytes : float
        Room for the body; a larger one is not kept.

    Returns
    -------
    changed : bool
        False for a repeated report, and for one about another claim than the one
        that holds the grant.
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
    record.is_kept = result.is_whole and size <= min(room_bytes, MAX_KEPT_BODY_BYTES)
    if record.is_kept:
        record.headers = [list(pair) for pair in result.headers]
        record.body = result.body
    return True


def apply_not_sent(record: ClaimRecord, result: ResultRecord, now_s: float) -> bool:
    """Take in that a claim was not used."""
    is_holder = record.claim == result.claim
    if is_holder and record.state != RunState.GRANTED:
        return False
    if is_holder:
        release(record)
        record.expires_s = now_s + result.horizon_s
    if result.close or not is_holder:
        # The claim itself may still be on its way here, slower than this report;
        # it must find its attempt closed, as nobody waits for its grant any more.
        close_attempts(record, result.attempt, result.horizon_s, now_s)
    return True


def record_to_map(record: ClaimRecord, now_s: float = 0.0) -> dict[str, Any]:
    """Return the record for the wire, with times relative to ``now_s``."""
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


def record_from_map(value: dict[str, Any], now_s: float = 0.0) -> ClaimRecord:
    """Return the record of `record_to_map`, with times in our own clock."""
    record = ClaimRecord(**value)
    record.granted_s += now_s
    record.expires_s += now_s
    return record
