"""Messages of at-most-once execution between an entry and its agent.

An entry claims the right to send a request before it sends it, and records what
came of it. The right is granted at most once for an id, never for a time.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = [
    "MAX_KEPT_BODY_BYTES",
    "ClaimAnswered",
    "ClaimGranted",
    "ClaimId",
    "ClaimRefused",
    "ClaimRequest",
    "CloseReply",
    "CloseRequest",
    "MapNumber",
    "RefusedKind",
    "ResultKind",
    "ResultRecord",
    "ResultStored",
]

# Answers up to this size are kept for repeats.
MAX_KEPT_BODY_BYTES = 256 * 1024


@dataclass(slots=True, frozen=True)
class ClaimId:
    """What a request is known by for at-most-once execution.

    Attributes
    ----------
    customer : str
        Customer that sent it; ids of two customers never meet.
    service : str
        Service that it is for.
    key : str
        Idempotency key that the customer chose.
    """

    customer: str
    service: str
    key: str


class RefusedKind(StrEnum):
    """What a refused claim means for the caller."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUNNING = "running"


class ResultKind(StrEnum):
    """What came of a grant."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@message("claim_request")
@dataclass(slots=True)
class ClaimRequest(Message):
    """Asks for the right to send a request.

    Attributes
    ----------
    customer, service, key
        See `ClaimId`.
    claim : str
        Unique name of this claim, chosen by the entry; also names the grant.
    attempt : int
        Attempt that the caller declared, from 1; 0 where none was declared.
    body_digest : bytes
        Tells a reused key from a repeat.
    arrival_number : int
        Number of the shard map that the entry knew when the request arrived; a
        request that arrived before its shard was taken over may have been closed.
    timeout_s : float
        Bound on the run; after it an open grant counts as unknown.
    horizon_s : float
        How long the id and its answer are kept.
    """

    kind: ClassVar[str]
    customer: str
    service: str
    key: str
    claim: str
    attempt: int
    body_digest: bytes
    arrival_number: int = 0
    timeout_s: float = 60.0
    horizon_s: float = 600.0

    @property
    def id(self) -> ClaimId:
        """Id that the claim is for."""
        return ClaimId(self.customer, self.service, self.key)


@message("claim_granted")
@dataclass(slots=True)
class ClaimGranted(Message):
    """The claim holds the right to send, once.

    Attributes
    ----------
    claim : str
        Name of the claim that was granted.
    """

    kind: ClassVar[str]
    claim: str


@message("claim_answered")
@dataclass(slots=True)
class ClaimAnswered(Message):
    """The id has been answered; this is the kept answer.

    Attributes
    ----------
    status, headers, body
        See `rosemaryknot.values.outcomes.Answered`.
    """

    kind: ClassVar[str]
    status: int
    headers: list[list[str]]
    body: bytes


@message("claim_refused")
@dataclass(slots=True)
class ClaimRefused(Message):
    """The claim gives no right to send.

    Attributes
    ----------
    outcome : str
        A `RefusedKind`.
    reason : str
        A `rosemaryknot.values.outcomes.Reason`.
    retry_after_s : float
        When to come back; 0 where coming back does not help.
    detail : str
        A sentence for people.
    maybe_granted : bool
        Whether the claim may have been granted all the same, by an answer that got
        lost; the entry then gives it up with a `ResultRecord`.
    """

    kind: ClassVar[str]
    outcome: str
    reason: str
    retry_after_s: float = 0.0
    detail: str = ""
    maybe_granted: bool = False


@message("claim_close")
@dataclass(slots=True)
class CloseRequest(Message):
    """Asks that no attempt up to a number ever runs.

    Attributes
    ----------
    customer, service, key
        See `ClaimId`.
    attempt : int
        Highest attempt to close; 0 closes all, as it has no place in the order.
    horizon_s : float
        How long the closing is kept.
    """

    kind: ClassVar[str]
    customer: str
    service: str
    key: str
    attempt: int
    horizon_s: float = 600.0

    @property
    def id(self) -> ClaimId:
        """Id that is closed."""
        return ClaimId(self.customer, self.service, self.key)


@message("claim_closed")
@dataclass(slots=True)
class CloseReply(Message):
    """Tells whether the attempts are closed.

    Attributes
    ----------
    closed : bool
        Whether none of them ran or will run. Only then may "not run" be said.
    outcome : str
        Otherwise a `RefusedKind`, or ``answered``.
    reason : str
        Otherwise a `rosemaryknot.values.outcomes.Reason`.
    retry_after_s : float
        When to ask again.
    status, headers, body
        The kept answer, where the id has been answered.
    """

    kind: ClassVar[str]
    closed: bool
    outcome: str = ""
    reason: str = ""
    retry_after_s: float = 0.0
    status: int = 0
    headers: list[list[str]] = field(default_factory=list)
    body: bytes = b""


@message("claim_result")
@dataclass(slots=True)
class ResultRecord(Message):
    """Tells what came of a claim.

    Attributes
    ----------
    customer, service, key, claim, attempt
        See `ClaimRequest`.
    result : str
        A `ResultKind`.
    close : bool
        For ``not_sent``: whether the caller is told "not run", so that all attempts
        up to this one must stay closed. A claim that never reached the owner is
        closed in any case, since it may still be on its way.
    reason : str
        For ``unknown``: a `rosemaryknot.values.outcomes.Reason`.
    status, headers, body
        For ``answered``: see `rosemaryknot.values.outcomes.Answered`.
    is_whole : bool
        Whether ``body`` is the whole body. A large one is left out; then a repeat is
        told that the request ran, without its answer.
    horizon_s : float
        How long the result is kept.
    """

    kind: ClassVar[str]
    customer: str
    service: str
    key: str
    claim: str
    attempt: int
    result: str
    close: bool = True
    reason: str = ""
    status: int = 0
    headers: list[list[str]] = field(default_factory=list)
    body: bytes = b""
    is_whole: bool = True
    horizon_s: float = 600.0

    @property
    def id(self) -> ClaimId:
        """Id that the claim was for."""
        return ClaimId(self.customer, self.service, self.key)


@message("claim_result_stored")
@dataclass(slots=True)
class ResultStored(Message):
    """Tells whether a result is kept; one that is not is sent again.

    Attributes
    ----------
    stored : bool
        Whether it is kept, or needs no keeping.
    """

    kind: ClassVar[str]
    stored: bool


@message("claim_map_number")
@dataclass(slots=True)
class MapNumber(Message):
    """Number of the newest shard map, from an agent to its entries and peers.

    Attributes
    ----------
    number : int
        Rises with each change of the map.
    """

    kind: ClassVar[str]
    number: int
