"""Messages of at-most-once execution between an entry and its agent.

An entry claims the right to send a request before it sends it, and records the result
afterwards. The right is granted at most once per id, and does not expire.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import ClassVar

from rosemaryknot.values.messages import Message, message

__all__ = [
    "MAX_STORED_BODY_BYTES",
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

# Responses up to this size are stored for retries.
MAX_STORED_BODY_BYTES = 256 * 1024


@dataclass(slots=True, frozen=True)
class ClaimId:
    """Identifies a request for at-most-once execution.

    Attributes
    ----------
    customer : str
        Customer that sent it; ids of different customers never collide.
    service : str
        Service that it is for.
    key : str
        Idempotency key that the customer chose.
    """

    customer: str
    service: str
    key: str


class RefusedKind(StrEnum):
    """State of a request whose claim was refused, as told to the caller."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUNNING = "running"


class ResultKind(StrEnum):
    """Result of a granted claim."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@message("claim_request")
@dataclass(slots=True)
class ClaimRequest(Message):
    """Request for the right to send a request to a backend server.

    Attributes
    ----------
    customer, service, key
        See `ClaimId`.
    claim : str
        Unique name of this claim, chosen by the entry; also identifies the grant.
    attempt : int
        Attempt number declared by the caller, from 1; 0 if it declared none.
    body_digest : bytes
        Digest that distinguishes a reused key from a retry.
    arrival_number : int
        Number of the shard map that the entry knew when the request arrived. A
        request that arrived before its shard changed owner may have been closed.
    timeout_s : float
        Timeout of the execution, after which an open grant counts as unknown.
    horizon_s : float
        How long the id and its response are stored.
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
        """Id of the claimed request."""
        return ClaimId(self.customer, self.service, self.key)


@message("claim_granted")
@dataclass(slots=True)
class ClaimGranted(Message):
    """The claim gives the right to send the request once.

    Attributes
    ----------
    claim : str
        Name of the granted claim.
    """

    kind: ClassVar[str]
    claim: str


@message("claim_answered")
@dataclass(slots=True)
class ClaimAnswered(Message):
    """The id has been answered already; carries the stored response.

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
    """The claim does not give the right to send the request.

    Attributes
    ----------
    outcome : str
        A `RefusedKind`.
    reason : str
        A `rosemaryknot.values.outcomes.Reason`.
    retry_after_s : float
        Delay before a retry, in seconds; 0 if a retry does not help.
    detail : str
        Explanation for people.
    maybe_granted : bool
        Whether the claim may have been granted by a response that was lost; the
        entry then releases it with a `ResultRecord`.
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
    """Request to close all attempts up to a number, so that none of them ever runs.

    Attributes
    ----------
    customer, service, key
        See `ClaimId`.
    attempt : int
        Highest attempt to close; 0, which has no place in the order, closes all.
    horizon_s : float
        How long the closing is stored.
    """

    kind: ClassVar[str]
    customer: str
    service: str
    key: str
    attempt: int
    horizon_s: float = 600.0

    @property
    def id(self) -> ClaimId:
        """Id whose attempts are closed."""
        return ClaimId(self.customer, self.service, self.key)


@message("claim_closed")
@dataclass(slots=True)
class CloseReply(Message):
    """Response to a `CloseRequest`.

    Attributes
    ----------
    closed : bool
        Whether no attempt ran or will run. Only then may the caller be told "not
        run".
    outcome : str
        If not closed, a `RefusedKind` or ``answered``.
    reason : str
        If not closed, a `rosemaryknot.values.outcomes.Reason`.
    retry_after_s : float
        Delay before a retry, in seconds.
    status, headers, body
        The stored response, if the id has been answered.
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
    """Result of a claim.

    Attributes
    ----------
    customer, service, key, claim, attempt
        See `ClaimRequest`.
    result : str
        A `ResultKind`.
    close : bool
        For ``not_sent``: whether the caller is told "not run", so that all attempts
        up to this one must stay closed. A claim that did not reach the owner is
        always closed, since it may still arrive.
    reason : str
        For ``unknown``: a `rosemaryknot.values.outcomes.Reason`.
    status, headers, body
        For ``answered``: see `rosemaryknot.values.outcomes.Answered`.
    is_whole : bool
        Whether ``body`` is the whole body. A large body is omitted; a retry is then
        told that the request ran, without the response.
    horizon_s : float
        How long the result is stored.
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
        """Id of the claimed request."""
        return ClaimId(self.customer, self.service, self.key)


@message("claim_result_stored")
@dataclass(slots=True)
class ResultStored(Message):
    """Response to a `ResultRecord`; a result that is not stored is sent again.

    Attributes
    ----------
    stored : bool
        Whether the result is stored, or need not be.
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
        Increases with each change of the map.
    """

    kind: ClassVar[str]
    number: int
