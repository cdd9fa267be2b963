"""Admission of claims by the owner of a shard, from memory.

Only the owner grants claims for ids of its shard. This module makes no calls to the
store. State that a successor needs if this process fails is replicated to a peer first.
"""

from dataclasses import dataclass
from enum import StrEnum

import trio

from rosemaryknot.process.claims.forms import refuse_unconfirmed
from rosemaryknot.process.claims.records import (
    ClaimRecord,
    RunState,
    apply_result,
    close_attempts,
    close_reply,
    decide_claim,
    grant,
    refuse_closed,
    release,
    reply_from_run,
)
from rosemaryknot.process.claims.replication import Replicator
from rosemaryknot.process.claims.table import RecordTable, TableUsage
from rosemaryknot.values.claims import (
    ClaimGranted,
    ClaimId,
    ClaimRefused,
    ClaimRequest,
    CloseReply,
    CloseRequest,
    RefusedKind,
    ResultRecord,
    ResultStored,
)
from rosemaryknot.values.messages import Message
from rosemaryknot.values.outcomes import Reason

__all__ = ["OwnedShard", "OwnerState", "TakeoverUncertainty"]

CLOSING_CAPACITY_FACTOR = 1.25
# Maximum time that a request is assumed to be in transit between its caller and an
# entry. Used only where replicas may be lost; otherwise the replicas contain the
# closed attempts.
SETTLING_PERIOD_S = 30.0
FULL_RETRY_AFTER_S = 10.0


class OwnerState(StrEnum):
    """State of a shard at its owner; only an active shard handles calls."""

    GATHERING = "gathering"
    ACTIVE = "active"
    HANDING_OVER = "handing_over"


@dataclass(slots=True)
class TakeoverUncertainty:
    """Uncertainty after a takeover: records of the failed owner may be missing.

    Attributes
    ----------
    since : int
        Number of the shard map with which the shard was taken over.
    takeover_s : float
        When it was taken over.
    settling_ends_s : float
        Until when first attempts are refused because replicas may be lost together
        with the owner. A first attempt that was in transit to an entry for a long time
        may have been closed meanwhile.
    """

    since: int
    takeover_s: float
    settling_ends_s: float = 0.0


class OwnedShard:
    """One shard at its owner.

    Parameters
    ----------
    index : int
        Index of the shard.
    epoch : int
        Epoch under which this process owns it.
    usage : TableUsage
        Usage and bounds of all tables of the node.
    replicator : Replicator
        Replicates records to peers.
    uncertainty : TakeoverUncertainty, optional
        Given if the table of an earlier owner was lost.

    Attributes
    ----------
    table : RecordTable
        Records of the shard.
    state : OwnerState
        Whether the shard handles calls.
    active_calls : int
        Calls in progress.
    """

    def __init__(
        self,
        index: int,
        epoch: int,
        usage: TableUsage,
        replicator: Replicator,
        uncertainty: TakeoverUncertainty | None = None,
    ) -> None:
        self.index = index
        self.epoch = epoch
        self.replicator = replicator
        self.uncertainty = uncertainty
        self.table = RecordTable(usage)
        self.state = OwnerState.GATHERING if uncertainty else OwnerState.ACTIVE
        self.active_calls = 0

    async def handle(self, value: Message) -> Message:
        """Handle a claim, close request or result; the shard must be active."""
        self.active_calls += 1
        try:
            if isinstance(value, ClaimRequest):
                return await self.claim(value)
            if isinstance(value, CloseRequest):
                return await self.close(value)
            return await self.record(value)
        finally:
            self.active_calls -= 1

    async def claim(self, request: ClaimRequest) -> Message:
        """Grant or refuse the right to send a request; see `ClaimForm.claim`."""
        now_s = trio.current_time()
        record = self.table.get(request.id)
        reply = decide_claim(record or ClaimRecord(), request, now_s)
        if isinstance(reply, ClaimGranted):
            # The claim was received twice. The reply to the first one was sent already
            # or follows.
            return ClaimRefused(RefusedKind.RUNNING, Reason.ALREADY_RUNNING)
        if reply is not None:
            return reply
        if self.is_claim_uncertain(record, request):
            return refuse_uncertain_id(request)
        if record is None and self.is_settling():
            return refuse_unconfirmed(request, Reason.OWNER_CHANGED, False)
        if record is not None and record.is_closed(request.attempt):
            return await self.refuse_closed(request, record)
        if record is None and not self.table.usage.has_capacity():
            return await self.refuse_full(request)
        return await self.grant(request, record or ClaimRecord())

    async def grant(self, request: ClaimRequest, record: ClaimRecord) -> Message:
        """Grant a claim after replicating it to a peer."""
        grant(record, request, trio.current_time())
        self.put(request.id, record)
        is_replicated = bool(
            await self.replicator.replicate(self.index, [(request.id, record)])
        )
        if record.state != RunState.GRANTED or record.claim != request.claim:
            # The entry abandoned the claim during the replication.
            return refuse_unconfirmed(request, Reason.OWNER_UNREACHABLE, False)
        if is_replicated or request.attempt <= 1:
            # Without a replica a successor does not know of the grant. It refuses later
            # attempts as "unknown", so the id still runs only once. It could grant an
            # earlier attempt, but there is none before attempt 1.
            return ClaimGranted(request.claim)
        release(record)
        self.put(request.id, record)
        return refuse_unconfirmed(request, Reason.NOT_PROVEN, False)

    def is_claim_uncertain(
        self, record: ClaimRecord | None, request: ClaimRequest
    ) -> bool:
        """Return whether an id may have run without a record at this owner.

        Records that the failed owner had not replicated, or had replicated to a peer
        that does not respond, are missing. A declared attempt 1 is the first of its id,
        but if it arrived before the takeover, it may have been closed meanwhile.
        """
        if self.uncertainty is None:
            return False
        if trio.current_time() > self.uncertainty.takeover_s + request.horizon_s:
            return False
        if record is not None:
            return not record.is_known
        return request.attempt != 1 or request.arrival_number < self.uncertainty.since

    def is_settling(self) -> bool:
        """Return whether first attempts are still refused after a takeover."""
        return (
            self.uncertainty is not None
            and trio.current_time() < self.uncertainty.settling_ends_s
        )

    async def refuse_closed(
        self, request: ClaimRequest, record: ClaimRecord
    ) -> ClaimRefused:
        """Refuse a closed attempt after confirming that a peer knows it is closed."""
        now_s = trio.current_time()
        if close_attempts(record, request.attempt, request.horizon_s, now_s):
            self.put(request.id, record)
        if await self.confirm_closing(request.id, record):
            return refuse_closed(record)
        if record.has_run:
            return reply_from_run(record, trio.current_time())
        return refuse_unconfirmed(request, Reason.NOT_PROVEN, False)

    async def refuse_full(self, request: ClaimRequest) -> ClaimRefused:
        """Refuse a new id because the capacity is exhausted."""
        closed = request.attempt == 1
        if not closed:
            message = CloseRequest(
                request.customer,
                request.service,
                request.key,
                request.attempt,
                request.horizon_s,
            )
            closed = (await self.close(message)).closed
        outcome = RefusedKind.NOT_RUN if closed else RefusedKind.UNKNOWN
        return ClaimRefused(outcome, Reason.ID_TABLE_FULL, FULL_RETRY_AFTER_S)

    async def close(self, request: CloseRequest) -> CloseReply:
        """Close all attempts up to a number; see `ClaimForm.close`."""
        now_s = trio.current_time()
        record = self.table.get(request.id)
        if record is not None and record.has_run:
            return close_reply(record, now_s)
        if self.is_close_uncertain(record, request):
            return CloseReply(False, RefusedKind.UNKNOWN, Reason.OWNER_CHANGED)
        if record is None and not self.table.usage.has_capacity(
            CLOSING_CAPACITY_FACTOR
        ):
            return CloseReply(False, RefusedKind.UNKNOWN, Reason.ID_TABLE_FULL)
        record = record or ClaimRecord()
        if close_attempts(record, request.attempt, request.horizon_s, now_s):
            self.put(request.id, record)
        if await self.confirm_closing(request.id, record):
            return CloseReply(True)
        if record.has_run:
            return close_reply(record, trio.current_time())
        return CloseReply(False, RefusedKind.UNKNOWN, Reason.NOT_PROVEN)

    def is_close_uncertain(
        self, record: ClaimRecord | None, request: CloseRequest
    ) -> bool:
        """Return whether an attempt may have run without a record at this owner."""
        if self.uncertainty is None or (record is not None and record.is_known):
            return False
        return trio.current_time() <= self.uncertainty.takeover_s + request.horizon_s

    async def confirm_closing(self, claim_id: ClaimId, record: ClaimRecord) -> bool:
        """Return whether closed attempts are held by a peer, replicating if necessary.

        Without a replica the record is lost if this process fails. A higher attempt may
        be granted during the replication; False is returned then, because the caller
        must not be told "not run" about an id that runs.
        """
        is_held = bool(record.holder)
        if not is_held:
            is_held = bool(
                await self.replicator.replicate(self.index, [(claim_id, record)])
            )
        return is_held and not record.has_run

    async def record(self, result: ResultRecord) -> ResultStored:
        """Apply the result of a claim; see `ClaimForm.record`."""
        record = self.table.get(result.id)
        if record is None:
            record = ClaimRecord(is_known=self.uncertainty is None)
        free_bytes = self.table.usage.free_bytes(CLOSING_CAPACITY_FACTOR)
        if apply_result(record, result, trio.current_time(), free_bytes):
            self.put(result.id, record)
            await self.replicator.replicate(self.index, [(result.id, record)])
        return ResultStored(True)

    def put(self, claim_id: ClaimId, record: ClaimRecord) -> None:
        """Store a changed record, of which there is no current replica yet."""
        record.epoch = self.epoch
        record.holder = ""
        self.table.put(claim_id, record)


def refuse_uncertain_id(request: ClaimRequest) -> ClaimRefused:
    """Return the refusal of an id that the failed owner may have granted."""
    detail = "The owner of this id ended; its run cannot be told."
    return ClaimRefused(RefusedKind.UNKNOWN, Reason.OWNER_CHANGED, detail=detail)
