"""Bound on the bytes of request bodies that a node holds at a time.

A body is held until its response is complete, as the request may have to be sent again.
Uploads that are each within the limits of a deployment would together fill the memory
of a node, which ends with all that it serves.
"""

import math
import random
from types import TracebackType

import trio

from rosemaryknot.process.caller_memory import CallerMemory
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.values.gateway_responses import Refusal

__all__ = ["BodyBudget", "BodyReservation"]

UNAVAILABLE = 503
# Share of a node's memory for bodies, within what it may hold for callers in all.
MEMORY_SHARE = 0.3
# Bodies of this size are accepted while larger ones fill the node.
SMALL_BYTES = 16 * 1024
# A body is stalled if fewer bytes than these arrive in this time.
STALL_BYTES = 4096
STALL_S = 1.0
# Bodies are searched for stalled ones no more often than this: a full node refuses
# hundreds a second.
STALL_CHECK_INTERVAL_S = 0.1
# Stalled bodies that are given up at a time for new connections.
MAX_WITHDRAWN = 10
# Weight of the newest sample in the moving average of the time for which a body is
# held, and the bounds of the Retry-After that follows from it.
SMOOTHING_FACTOR = 0.1
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0
JITTER = 0.25

BODY_BYTES = gauge("request_body_bytes", "Bytes reserved for bodies of requests.")
BODIES_REFUSED = counter(
    "request_bodies_refused_total", "Requests refused since bodies fill the node."
)

log = logger("callers")


class BodyReservation:
    """Bytes that are reserved for the body of one request.

    Parameters
    ----------
    budget : BodyBudget
        Budget that they belong to.

    Attributes
    ----------
    size : int
        Number of bytes.
    scope : trio.CancelScope or None
        Scope in which the body is read; None before and after.
    is_withdrawn : bool
        Whether its room was given to others since it was stalled.
    """

    __slots__ = (
        "began_s",
        "budget",
        "is_withdrawn",
        "progress_s",
        "recent_bytes",
        "scope",
        "size",
    )

    def __init__(self, budget: "BodyBudget") -> None:
        self.budget = budget
        self.size = 0
        self.began_s = self.progress_s = trio.current_time()
        self.recent_bytes = 0
        self.scope: trio.CancelScope | None = None
        self.is_withdrawn = False

    def __enter__(self) -> "BodyReservation":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self.size > SMALL_BYTES:
            self.budget.record_held(trio.current_time() - self.began_s)
        self.end_upload()
        self.release()

    def release(self) -> None:
        """Release all bytes."""
        self.budget.change_total(-self.size)
        self.size = 0

    def begin_upload(self, scope: trio.CancelScope) -> None:
        """Let the body be withdrawn if it stalls, by cancelling a scope."""
        self.scope = scope
        self.budget.uploads.add(self)

    def end_upload(self) -> None:
        """Let the body not be withdrawn any more."""
        self.scope = None
        self.budget.uploads.discard(self)

    def record_received(self, count: int) -> None:
        """Record that bytes of the body have arrived."""
        self.recent_bytes += count
        if self.recent_bytes >= STALL_BYTES:
            self.recent_bytes = 0
            self.progress_s = trio.current_time()

    def withdraw(self) -> None:
        """Give up the body, and release its room."""
        self.is_withdrawn = True
        self.scope.cancel()
        self.end_upload()
        self.release()

    def extend(self, size: int) -> bool:
        """Reserve bytes so that the body may have a size; return whether they are."""
        change = size - self.size
        if change <= 0:
            return True
        budget = self.budget
        if not budget.make_room(size, change):
            BODIES_REFUSED.add()
            return False
        self.size = size
        budget.change_total(change)
        return True


class BodyBudget:
    """Bytes that the bodies of all requests of a node may have together.

    Parameters
    ----------
    memory_bytes : float
        Memory that the node may use.
    rng : random.Random
        Jitter of Retry-After.
    memory : CallerMemory, optional
        Account that the bodies take from, beside connections and responses.
    share : float, optional
        Share of the node's memory that they may have.

    Attributes
    ----------
    max_bytes : float
        Bound of the bytes.
    total : int
        Bytes that are reserved.
    held_s : float
        For how long large bodies were held of late, in seconds.
    uploads : set of BodyReservation
        Bodies that are not complete.
    """

    def __init__(
        self,
        memory_bytes: float,
        rng: random.Random,
        memory: CallerMemory | None = None,
        share: float = MEMORY_SHARE,
    ) -> None:
        self.max_bytes = share * memory_bytes
        self.rng = rng
        self.memory = CallerMemory(memory_bytes) if memory is None else memory
        self.total = 0
        self.held_s = 1.0
        self.uploads: set[BodyReservation] = set()
        self.checked_s = -math.inf

    def begin(self) -> BodyReservation:
        """Return a reservation without bytes; they are released when it is left."""
        return BodyReservation(self)

    def has_room(self, size: int, change: int) -> bool:
        """Return whether a body may grow by some bytes to a size."""
        if size <= SMALL_BYTES:
            return self.memory.has_room(change)
        is_within = self.total + change <= self.max_bytes
        return is_within and self.memory.has_room(change, is_large=True)

    def make_room(self, size: int, change: int) -> bool:
        """Return whether a body may grow, at the cost of stalled ones if need be."""
        if self.has_room(size, change):
            return True
        for upload in self.stalled():
            log.info("stalled body withdrawn", size=upload.size, needed=change)
            upload.withdraw()
            if self.has_room(size, change):
                return True
        return False

    def withdraw_stalled(self) -> bool:
        """Give up some stalled bodies, for new connections; return whether any was."""
        uploads = self.stalled()[:MAX_WITHDRAWN]
        for upload in uploads:
            log.info("stalled body withdrawn", size=upload.size)
            upload.withdraw()
        return bool(uploads)

    def stalled(self) -> list[BodyReservation]:
        """Return the stalled bodies, the largest first; none if just asked."""
        now_s = trio.current_time()
        if now_s - self.checked_s < STALL_CHECK_INTERVAL_S:
            return []
        self.checked_s = now_s
        stalled = [u for u in self.uploads if now_s - u.progress_s > STALL_S]
        return sorted(stalled, key=lambda upload: upload.size, reverse=True)

    def change_total(self, change: int) -> None:
        """Change the number of bytes that are reserved."""
        self.total += change
        self.memory.add(change)
        BODY_BYTES.set(self.total)

    def record_held(self, held_s: float) -> None:
        """Record for how long a large body was held."""
        self.held_s += SMOOTHING_FACTOR * (held_s - self.held_s)

    def refusal(self) -> Refusal:
        """Return the refusal of a request whose body has no room.

        Until the caller is back, bodies that are held now make room.
        """
        retry_after_s = self.held_s * self.rng.uniform(1 - JITTER, 1 + JITTER)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
        return Refusal(UNAVAILABLE, "bodies of requests fill this node", retry_after_s)
