"""At-most-once execution with one stored object per id: the claim form ``objects``.

A claim is a conditional write to the platform's object API before the request is sent.
It costs two writes per request, and nothing can be claimed while the store is
unavailable.
"""

import base64
import heapq
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio
import xxhash

from rosemaryknot.process.claims.forms import claim_form, refuse_unconfirmed
from rosemaryknot.process.claims.records import (
    ClaimRecord,
    RunState,
    apply_result,
    close_attempts,
    close_reply,
    decide_claim,
    grant,
    record_from_dict,
    record_to_dict,
    refuse_closed,
)
from rosemaryknot.process.logs import logger
from rosemaryknot.values.claims import (
    ClaimGranted,
    ClaimId,
    ClaimRequest,
    CloseReply,
    CloseRequest,
    RefusedKind,
    ResultRecord,
    ResultStored,
)
from rosemaryknot.values.messages import Message
from rosemaryknot.values.outcomes import Reason
from rosemaryknot.values.platform import (
    Missing,
    ObjectStore,
    PlatformFailed,
    StoredObject,
    Written,
)
from rosemaryknot.values.store_revisions import era_of

__all__ = ["ObjectClaims"]

KIND = "claims"
CALL_TIMEOUT_S = 2.5
MAX_ATTEMPTS = 8
MAX_CACHED_RECORDS = 10_000
MAX_SCHEDULED_DELETIONS = 200_000
RETRY_DELAY_S = 0.1
SWEEP_INTERVAL_S = 5.0

# Returns the reply, and whether the record was changed and must be written.
Decision = Callable[[ClaimRecord, float], tuple[Message, bool]]

log = logger("claims")


def object_name(claim_id: ClaimId) -> str:
    """Return the name of an id's object.

    It is a 128-bit hash, since two ids must never share an object.
    """
    text = "\0".join((claim_id.customer, claim_id.service, claim_id.key))
    return xxhash.xxh3_128_hexdigest(text.encode())


def to_object_value(claim_id: ClaimId, record: ClaimRecord) -> dict[str, Any]:
    """Return a record as the value of its object."""
    value = record_to_dict(record)
    value["body"] = base64.b64encode(record.body).decode()
    value["body_digest"] = record.body_digest.hex()
    value["id"] = [claim_id.customer, claim_id.service, claim_id.key]
    return value


def from_object_value(value: dict[str, Any]) -> ClaimRecord:
    """Return the record for the value of an object."""
    fields = {name: field for name, field in value.items() if name != "id"}
    fields["body"] = base64.b64decode(fields["body"])
    fields["body_digest"] = bytes.fromhex(fields["body_digest"])
    return record_from_dict(fields)


@dataclass(slots=True)
class VersionedRecord:
    """A record and the version of the object that stores it; 0 if there is none yet."""

    version: int
    record: ClaimRecord


class DeletionSchedule:
    """Objects that this agent was the last to write, with the time to delete each.

    Open grants are held in a separate dict instead of the heap. Nearly all of them are
    written again within seconds, and their outdated entries would stay in the heap for
    one day, the time after which an open grant expires.

    Attributes
    ----------
    not_planned : int
        Number of objects that are not deleted because the schedule was full.
    """

    def __init__(self) -> None:
        self.open_grants: dict[ClaimId, tuple[float, int]] = {}
        self.heap: list[tuple[float, int, ClaimId]] = []
        self.not_planned = 0

    def schedule(
        self, claim_id: ClaimId, expires_s: float, version: int, is_open: bool
    ) -> None:
        """Schedule the deletion of an object."""
        self.open_grants.pop(claim_id, None)
        if len(self.open_grants) + len(self.heap) >= MAX_SCHEDULED_DELETIONS:
            self.not_planned += 1
        elif is_open:
            self.open_grants[claim_id] = (expires_s, version)
        else:
            heapq.heappush(self.heap, (expires_s, version, claim_id))

    def pop_due(self, now_s: float) -> list[tuple[ClaimId, int]]:
        """Remove and return the objects that are due for deletion."""
        due = [
            (claim_id, version)
            for claim_id, (expires_s, version) in self.open_grants.items()
            if expires_s < now_s
        ]
        for claim_id, _ in due:
            del self.open_grants[claim_id]
        while self.heap and self.heap[0][0] < now_s:
            _, version, claim_id = heapq.heappop(self.heap)
            due.append((claim_id, version))
        return due


@claim_form("objects")
class ObjectClaims:
    """Claim form that stores each id in an object of its own.

    Parameters
    ----------
    store : ObjectStore
        The platform's object API.
    unix_time : callable
        Returns the wall-clock time in seconds. Stored times are compared by other
        nodes, so the monotonic clock of a process cannot be used.

    Attributes
    ----------
    store_calls : int
        Number of calls made to the store.
    era : int or None
        Era of the store in its last response; None before any.
    restored_s : float
        When this agent found that the store had been restored from a copy, in Unix
        time; minus infinity before. Grants of the time that the copy lacks are lost.
    """

    def __init__(
        self, store: ObjectStore, unix_time: Callable[[], float] = time.time
    ) -> None:
        self.store = store
        self.unix_time = unix_time
        self.store_calls = 0
        self.cache: OrderedDict[ClaimId, VersionedRecord] = OrderedDict()
        self.deletions = DeletionSchedule()
        self.era: int | None = None
        self.restored_s = float("-inf")

    def status(self) -> dict[str, Any]:
        """Return the state of this form at this node for the status API.

        Returns
        -------
        status : dict
            Number of calls made to the store, of open grants, of objects scheduled for
            deletion, and of objects that are not deleted because the schedule was full.
        """
        return {
            "store_calls": self.store_calls,
            "open": len(self.deletions.open_grants),
            "to_delete": len(self.deletions.heap),
            "not_planned": self.deletions.not_planned,
        }

    async def claim(self, request: ClaimRequest) -> Message:
        """Grant or refuse the right to send a request; see `ClaimForm.claim`."""

        def decide(record: ClaimRecord, now_s: float) -> tuple[Message, bool]:
            reply = decide_claim(record, request, now_s)
            if reply is not None:
                return reply, False
            if record.is_closed(request.attempt):
                changed = close_attempts(
                    record, request.attempt, request.horizon_s, now_s
                )
                return refuse_closed(record), changed
            if self.may_have_lost_grant(request):
                return refuse_unconfirmed(request, Reason.NOT_PROVEN, False), False
            grant(record, request, now_s)
            return ClaimGranted(request.claim), True

        reply = await self.change(request.id, decide)
        if reply is None:
            return refuse_unconfirmed(request, Reason.STORE_UNAVAILABLE, True)
        if isinstance(reply, ClaimGranted) and self.may_have_lost_grant(request):
            # The response to this very write was the first one after a restore.
            return refuse_unconfirmed(request, Reason.NOT_PROVEN, True)
        return reply

    def record_version(self, version: int) -> None:
        """Record the era of a version that the store has returned."""
        era = era_of(version)
        if self.era is not None and era > self.era:
            self.restored_s = self.unix_time()
            log.warning("store was restored from a copy", era=era, before=self.era)
        self.era = era if self.era is None else max(self.era, era)

    def may_have_lost_grant(self, request: ClaimRequest | CloseRequest) -> bool:
        """Return whether the store may have lost an earlier grant of a request.

        A caller that declares the first attempt has not sent the request before.
        """
        since_s = self.unix_time() - self.restored_s
        return request.attempt != 1 and since_s < request.horizon_s

    async def close(self, request: CloseRequest) -> CloseReply:
        """Close all attempts up to a number; see `ClaimForm.close`."""

        def decide(record: ClaimRecord, now_s: float) -> tuple[Message, bool]:
            if record.has_run:
                return close_reply(record, now_s), False
            changed = close_attempts(record, request.attempt, request.horizon_s, now_s)
            return CloseReply(True), changed

        reply = await self.change(request.id, decide)
        if reply is None:
            return CloseReply(False, RefusedKind.UNKNOWN, Reason.STORE_UNAVAILABLE)
        if reply.closed and self.may_have_lost_grant(request):
            return CloseReply(False, RefusedKind.UNKNOWN, Reason.NOT_PROVEN)
        return reply

    async def record(self, result: ResultRecord) -> ResultStored:
        """Apply the result of a claim; see `ClaimForm.record`."""

        def decide(record: ClaimRecord, now_s: float) -> tuple[Message, bool]:
            return ResultStored(True), apply_result(record, result, now_s)

        reply = await self.change(result.id, decide)
        return reply or ResultStored(False)

    async def change(self, claim_id: ClaimId, decide: Decision) -> Message | None:
        """Apply a decision to the id's record and write the record if it changed.

        Each further attempt reads the stored record and decides again. If the response
        to a write was lost, the next attempt therefore reads the written record, and a
        write that takes effect late conflicts with the version written by a later
        attempt.

        Returns
        -------
        reply : Message or None
            None if the store did not confirm the change in time.
        """
        current = self.cache.pop(claim_id, None) or VersionedRecord(0, ClaimRecord())
        is_unconfirmed = True
        with trio.move_on_after(CALL_TIMEOUT_S):
            for _ in range(MAX_ATTEMPTS):
                if current is not None:
                    reply, changed = decide(current.record, self.unix_time())
                    # A cached record, or the empty one assumed without a cached record,
                    # is confirmed only by the conditional write. A refusal without a
                    # write could be based on an outdated record.
                    if not changed and not is_unconfirmed:
                        return reply
                    if changed and await self.save(claim_id, current):
                        return reply
                current, is_unconfirmed = await self.load(claim_id), False
                if current is None:
                    await trio.sleep(RETRY_DELAY_S)
        return None

    async def load(self, claim_id: ClaimId) -> VersionedRecord | None:
        """Read an id's record; return None if the store does not respond."""
        self.store_calls += 1
        found = await self.store.read(KIND, object_name(claim_id))
        if isinstance(found, (StoredObject, Missing)):
            self.record_version(found.version)
        if isinstance(found, StoredObject):
            return VersionedRecord(found.version, from_object_value(found.value))
        if isinstance(found, Missing):
            return VersionedRecord(0, ClaimRecord())
        return None

    async def save(self, claim_id: ClaimId, current: VersionedRecord) -> bool:
        """Write an id's record if its version is unchanged.

        Returns
        -------
        is_written : bool
            False if the store did not confirm the write.
        """
        self.store_calls += 1
        name, value = object_name(claim_id), to_object_value(claim_id, current.record)
        if current.version:
            written = await self.store.update(KIND, name, value, current.version)
        else:
            written = await self.store.create(KIND, name, value)
        if isinstance(written, PlatformFailed):
            log.warning("store did not confirm a claim write", reason=written.reason)
        if not isinstance(written, Written):
            return False
        self.record_version(written.version)
        current.version = written.version
        self.track_written(claim_id, current)
        return True

    def track_written(self, claim_id: ClaimId, current: VersionedRecord) -> None:
        """Cache an open grant for its next write, and schedule the deletion."""
        is_open = current.record.state == RunState.GRANTED
        if is_open:
            # Only open grants are cached: the write of their result is the only one
            # that uses a cached record.
            self.cache[claim_id] = current
        if len(self.cache) > MAX_CACHED_RECORDS:
            self.cache.popitem(last=False)
        self.deletions.schedule(
            claim_id, current.record.expires_s, current.version, is_open
        )

    async def run(self) -> None:
        """Delete expired objects until cancelled.

        Only the agent that was the last to write an object deletes it, and only that
        version. Objects of a failed agent stay; an operator may delete them.
        """
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            for claim_id, version in self.deletions.pop_due(self.unix_time()):
                self.cache.pop(claim_id, None)
                self.store_calls += 1
                await self.store.delete(KIND, object_name(claim_id), version)
