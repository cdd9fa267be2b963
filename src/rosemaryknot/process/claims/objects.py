"""First form: one object of the object API for each id.

The claim is a conditional write before the request is sent. It costs two writes a
request, and nothing can be claimed while the store is down.
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

from rosemaryknot.process.claims.forms import claim_form, refuse_unproven
from rosemaryknot.process.claims.records import (
    ClaimRecord,
    RunState,
    apply_result,
    close_attempts,
    close_reply,
    decide_claim,
    grant,
    record_from_map,
    record_to_map,
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

__all__ = ["ObjectClaims"]

KIND = "claims"
CALL_TIMEOUT_S = 2.5
MAX_ROUNDS = 8
MAX_CACHED = 10_000
MAX_EXPIRING = 200_000
RETRY_S = 0.1
SWEEP_S = 5.0

Decision = Callable[[ClaimRecord, float], tuple[Message, bool]]

log = logger("claims")


def object_name(claim_id: ClaimId) -> str:
    """Return the object's name; 128 bits, since two ids must never share one."""
    text = "\0".join((claim_id.customer, claim_id.service, claim_id.key))
    return xxhash.xxh3_128_hexdigest(text.encode())


def to_json(claim_id: ClaimId, record: ClaimRecord) -> dict[str, Any]:
    """Return the object's value."""
    value = record_to_map(record)
    value["body"] = base64.b64encode(record.body).decode()
    value["body_digest"] = record.body_digest.hex()
    value["id"] = [claim_id.customer, claim_id.service, claim_id.key]
    return value


def from_json(value: dict[str, Any]) -> ClaimRecord:
    """Return the record of an object's value."""
    fields = {name: field for name, field in value.items() if name != "id"}
    fields["body"] = base64.b64decode(fields["body"])
    fields["body_digest"] = bytes.fromhex(fields["body_digest"])
    return record_from_map(fields)


@dataclass(slots=True)
class Versioned:
    """A record and the version of the object that holds it; 0 for none yet."""

    version: int
    record: ClaimRecord


class Deletions:
    """Objects that this agent wrote last, with the time to delete each.

    Open grants wait in a map of their own: nearly all of them are written again
    within seconds, and would fill the heap for the day that an open grant is kept.

    Attributes
    ----------
    not_planned : int
        Objects that stay in the store because there were too many to remember.
    """

    def __init__(self) -> None:
        self.open: dict[ClaimId, tuple[float, int]] = {}
        self.heap: list[tuple[float, int, ClaimId]] = []
        self.not_planned = 0

    def plan(
        self, claim_id: ClaimId, expires_s: float, version: int, is_open: bool
    ) -> None:
        """Remember when to delete an object."""
        self.open.pop(claim_id, None)
        if len(self.open) + len(self.heap) >= MAX_EXPIRING:
            self.not_planned += 1
        elif is_open:
            self.open[claim_id] = (expires_s, version)
        else:
            heapq.heappush(self.heap, (expires_s, version, claim_id))

    def due(self, now_s: float) -> list[tuple[ClaimId, int]]:
        """Take out the objects whose time has come."""
        found = [
            (claim_id, version)
            for claim_id, (expires_s, version) in self.open.items()
            if expires_s < now_s
        ]
        for claim_id, _ in found:
            del self.open[claim_id]
        while self.heap and self.heap[0][0] < now_s:
            _, version, claim_id = heapq.heappop(self.heap)
            found.append((claim_id, version))
        return found


@claim_form("objects")
class ObjectClaims:
    """Keep each id in an object of its own.

    Parameters
    ----------
    store : ObjectStore
        The platform's object API.
    unix_time : callable
        Wall time in seconds, since other nodes compare what is stored.

    Attributes
    ----------
    store_calls : int
        Calls made to the store.
    """

    def __init__(
        self, store: ObjectStore, unix_time: Callable[[], float] = time.time
    ) -> None:
        self.store = store
        self.unix_time = unix_time
        self.store_calls = 0
        self.cache: OrderedDict[ClaimId, Versioned] = OrderedDict()
        self.deletions = Deletions()

    def status(self) -> dict[str, Any]:
        """Return what operators see of this form at this node.

        Returns
        -------
        status : dict
            Calls made to the store, objects that wait for their deletion, and
            objects that stay because there were too many.
        """
        return {
            "store_calls": self.store_calls,
            "open": len(self.deletions.open),
            "to_delete": len(self.deletions.heap),
            "not_planned": self.deletions.not_planned,
        }

    async def claim(self, request: ClaimRequest) -> Message:
        """Grant or refuse the right to send; see `ClaimForm.claim`."""

        def decide(record: ClaimRecord, now_s: float) -> tuple[Message, bool]:
            reply = decide_claim(record, request, now_s)
            if reply is not None:
                return reply, False
            if record.closes(request.attempt):
                changed = close_attempts(
                    record, request.attempt, request.horizon_s, now_s
                )
                return refuse_closed(record), changed
            grant(record, request, now_s)
            return ClaimGranted(request.claim), True

        reply = await self.change(request.id, decide)
        if reply is None:
            return refuse_unproven(request, Reason.STORE_UNAVAILABLE, True)
        return reply

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
        return reply

    async def record(self, result: ResultRecord) -> ResultStored:
        """Take in what came of a claim; see `ClaimForm.record`."""

        def decide(record: ClaimRecord, now_s: float) -> tuple[Message, bool]:
            return ResultStored(True), apply_result(record, result, now_s)

        reply = await self.change(result.id, decide)
        return reply or ResultStored(False)

    async def change(self, claim_id: ClaimId, decide: Decision) -> Message | None:
        """Decide on the id's record and write what changed.

        Each round decides anew on what the store holds. So a write whose answer was
        lost is found by the next round's read, and one that lands late loses
        against the version that a later round wrote.

        Returns
        -------
        reply : Message or None
            None where the store did not confirm the change in time.
        """
        current = self.cache.pop(claim_id, None) or Versioned(0, ClaimRecord())
        is_guess = True
        with trio.move_on_after(CALL_TIMEOUT_S):
            for _ in range(MAX_ROUNDS):
                if current is not None:
                    reply, changed = decide(current.record, self.unix_time())
                    # A guess is proven by the conditional write alone. A refusal
                    # without a write may rest on what others have changed since.
                    if not changed and not is_guess:
                        return reply
                    if changed and await self.save(claim_id, current):
                        return reply
                current, is_guess = await self.load(claim_id), False
                if current is None:
                    await trio.sleep(RETRY_S)
        return None

    async def load(self, claim_id: ClaimId) -> Versioned | None:
        """Read an id's record; None where the store does not answer."""
        self.store_calls += 1
        found = await self.store.read(KIND, object_name(claim_id))
        if isinstance(found, StoredObject):
            return Versioned(found.version, from_json(found.value))
        if isinstance(found, Missing):
            return Versioned(0, ClaimRecord())
        return None

    async def save(self, claim_id: ClaimId, current: Versioned) -> bool:
        """Write an id's record if nobody else did; False where that is not sure."""
        self.store_calls += 1
        name, value = object_name(claim_id), to_json(claim_id, current.record)
        if current.version:
            written = await self.store.update(KIND, name, value, current.version)
        else:
            written = await self.store.create(KIND, name, value)
        if isinstance(written, PlatformFailed):
            log.warning("store did not confirm a write", reason=written.reason)
        if not isinstance(written, Written):
            return False
        current.version = written.version
        self.remember(claim_id, current)
        return True

    def remember(self, claim_id: ClaimId, current: Versioned) -> None:
        """Keep the version for the next write, and the id for its deletion."""
        is_open = current.record.state == RunState.GRANTED
        if is_open:
            # Only the result of an open grant is written from memory.
            self.cache[claim_id] = current
        if len(self.cache) > MAX_CACHED:
            self.cache.popitem(last=False)
        self.deletions.plan(
            claim_id, current.record.expires_s, current.version, is_open
        )

    async def run(self) -> None:
        """Delete the objects whose horizon has passed, until cancelled.

        Only the agent that wrote a record last deletes it, and only that version.
        Objects of an agent that died stay; an operator may delete them.
        """
        while True:
            await trio.sleep(SWEEP_S)
            for claim_id, version in self.deletions.due(self.unix_time()):
                self.cache.pop(claim_id, None)
                self.store_calls += 1
                await self.store.delete(KIND, object_name(claim_id), version)
