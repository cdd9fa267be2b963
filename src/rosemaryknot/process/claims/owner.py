"""Admission by the owner of a shard, from memory.

The owner is the only one that grants ids of its shard. Nothing here asks the store;
what another process must know of after this one's death is copied to a peer first.
"""

from dataclasses import dataclass
from enum import StrEnum

import trio

from rosemaryknot.process.claims.copies import Copier
from rosemaryknot.process.claims.forms import refuse_unproven
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
from rosemaryknot.process.claims.table import RecordTable, TableUse
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

__all__ = ["Doubt", "OwnedShard", "OwnerState"]

CLOSING_SHARE = 1.25
# How long a request may lie between its caller and an entry, as far as is provided
# for. Only where copies may be lost; otherwise they tell.
SETTLE_S = 30.0
FULL_RETRY_S = 10.0


class OwnerState(StrEnum):
    """What an owner does with calls for its shard."""

    GATHERING = "gathering"
    ACTIVE = "active"
    HANDING_OVER = "handing_over"


@dataclass(slots=True)
class Doubt:
    """What a successor does not know, after it took a shard from an ended owner.

    Attributes
    ----------
    since : int
        Number of the map by which the shard was taken.
    taken_s : float
        When it was taken.
    settled_s : float
        Until when first attempts are refused, because copies may be lost with the
        owner: one that was on its way to an entry for long may have been closed.
    """

    since: int
    taken_s: float
    settled_s: float = 0.0


class OwnedShard:
    """One shard in the hands of its owner.

    Parameters
    ----------
    index : int
        Its number.
    epoch : int
        Epoch under which this process owns it.
    use : TableUse
        Bounds of all tables of the node.
    copier : Copier
        Puts copies to peers.
    doubt : Doubt, optional
        Where the table of an earlier owner was lost.

    Attributes
    ----------
    table : RecordTable
        Its records.
    state : OwnerState
        Whether it admits.
    busy : int
        Calls under way.
    """

    def __init__(
        self,
        index: int,
        epoch: int,
        use: TableUse,
        copier: Copier,
        doubt: Doubt | None = None,
    ) -> None:
        self.index = index
        self.epoch = epoch
        self.copier = copier
        self.doubt = doubt
        self.table = RecordTable(use)
        self.state = OwnerState.GATHERING if doubt else OwnerState.ACTIVE
        self.busy = 0

    async def handle(self, value: Message) -> Message:
        """Handle a claim, closing or result; the shard must be active."""
        self.busy += 1
        try:
            if isinstance(value, ClaimRequest):
                return await self.claim(value)
            if isinstance(value, CloseRequest):
                return await self.close(value)
            return await self.record(value)
        finally:
            self.busy -= 1

    async def claim(self, request: ClaimRequest) -> Message:
        """Grant or refuse the right to send; see `ClaimForm.claim`."""
        now_s = trio.current_time()
        record = self.table.get(request.id)
        reply = decide_claim(record or ClaimRecord(), request, now_s)
        if isinstance(reply, ClaimGranted):
            # The same claim came twice; its first reply is or was on the way.
            return ClaimRefused(RefusedKind.RUNNING, Reason.ALREADY_RUNNING)
        if reply is not None:
            return reply
        if self.is_doubtful(record, request):
            return refuse_unproven_id(request)
        if record is None and self.is_settling():
            return refuse_unproven(request, Reason.OWNER_CHANGED, False)
        if record is not None and record.closes(request.attempt):
            return await self.refuse_closed(request, record)
        if record is None and not self.table.use.has_room():
            return await self.refuse_full(request)
        return await self.grant(request, record or ClaimRecord())

    async def grant(self, request: ClaimRequest, record: ClaimRecord) -> Message:
        """Grant a claim once a peer knows of it."""
        grant(record, request, trio.current_time())
        self.put(request.id, record)
        is_copied = bool(await self.copier.copy(self.index, [(request.id, record)]))
        if record.state != RunState.GRANTED or record.claim != request.claim:
            # The entry gave the claim up while the copy was on its way.
            return refuse_unproven(request, Reason.OWNER_UNREACHABLE, False)
        if is_copied or request.attempt <= 1:
            # Without the copy a successor does not know of the grant. It answers
            # later attempts "unknown" then, so the id still runs only once. An
            # earlier one than this could be granted, but attempt 1 has none.
            return ClaimGranted(request.claim)
        release(record)
        self.put(request.id, record)
        return refuse_unproven(request, Reason.NOT_PROVEN, False)

    def is_doubtful(self, record: ClaimRecord | None, request: ClaimRequest) -> bool:
        """Tell whether an id may have run unknown to this owner.

        The owner before died, and with it what it had not copied, or had copied to
        a peer that does not answer. A declared attempt 1 is the first of its id,
        but one that arrived before the takeover may have been closed meanwhile.
        """
        if self.doubt is None:
            return False
        if trio.current_time() > self.doubt.taken_s + request.horizon_s:
            return False
        if record is not None:
            return not record.is_known
        return request.attempt != 1 or request.arrival_number < self.doubt.since

    def is_settling(self) -> bool:
        """Tell whether first attempts are refused after an owner's end."""
        return self.doubt is not None and trio.current_time() < self.doubt.settled_s

    async def refuse_closed(
        self, request: ClaimRequest, record: ClaimRecord
    ) -> ClaimRefused:
        """Refuse a closed attempt, once the closing is proven."""
        now_s = trio.current_time()
        if close_attempts(record, request.attempt, request.horizon_s, now_s):
            self.put(request.id, record)
        if await self.prove(request.id, record):
            return refuse_closed(record)
        if record.has_run:
            return reply_from_run(record, trio.current_time())
        return refuse_unproven(request, Reason.NOT_PROVEN, False)

    async def refuse_full(self, request: ClaimRequest) -> ClaimRefused:
        """Refuse a new id for which there is no room."""
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
        return ClaimRefused(outcome, Reason.ID_TABLE_FULL, FULL_RETRY_S)

    async def close(self, request: CloseRequest) -> CloseReply:
        """Close all attempts up to a number; see `ClaimForm.close`."""
        now_s = trio.current_time()
        record = self.table.get(request.id)
        if record is not None and record.has_run:
            return close_reply(record, now_s)
        if self.close_is_doubtful(record, request):
            return CloseReply(False, RefusedKind.UNKNOWN, Reason.OWNER_CHANGED)
        if record is None and not self.table.use.has_room(CLOSING_SHARE):
            return CloseReply(False, RefusedKind.UNKNOWN, Reason.ID_TABLE_FULL)
        record = record or ClaimRecord()
        if close_attempts(record, request.attempt, request.horizon_s, now_s):
            self.put(request.id, record)
        if await self.prove(request.id, record):
            return CloseReply(True)
        if record.has_run:
            return close_reply(record, trio.current_time())
        return CloseReply(False, RefusedKind.UNKNOWN, Reason.NOT_PROVEN)

    def close_is_doubtful(
        self, record: ClaimRecord | None, request: CloseRequest
    ) -> bool:
        """Tell whether an attempt may have run unknown to this owner."""
        if self.doubt is None or (record is not None and record.is_known):
            return False
        return trio.current_time() <= self.doubt.taken_s + request.horizon_s

    async def prove(self, claim_id: ClaimId, record: ClaimRecord) -> bool:
        """Have a peer know of a closing; without that it ends with this process.

        A higher attempt may be granted while the copy is on its way; then "not run"
        would be said of an id that runs.
        """
        is_held = bool(record.holder)
        if not is_held:
            is_held = bool(await self.copier.copy(self.index, [(claim_id, record)]))
        return is_held and not record.has_run

    async def record(self, result: ResultRecord) -> ResultStored:
        """Take in what came of a claim; see `ClaimForm.record`."""
        record = self.table.get(result.id)
        if record is None:
            record = ClaimRecord(is_known=self.doubt is None)
        room_bytes = self.table.use.room_bytes(CLOSING_SHARE)
        if apply_result(record, result, trio.current_time(), room_bytes):
            self.put(result.id, record)
            await self.copier.copy(self.index, [(result.id, record)])
        return ResultStored(True)

    def put(self, claim_id: ClaimId, record: ClaimRecord) -> None:
        """Keep a changed record, of which nobody holds a copy yet."""
        record.epoch = self.epoch
        record.holder = ""
        self.table.put(claim_id, record)


def refuse_unproven_id(request: ClaimRequest) -> ClaimRefused:
    """Return the refusal of an id that an ended owner may have granted."""
    detail = "The owner of this id ended; its run cannot be told."
    return ClaimRefused(RefusedKind.UNKNOWN, Reason.OWNER_CHANGED, detail=detail)
