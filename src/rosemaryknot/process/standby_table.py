"""A bounded table of replicas of model requests that other nodes relay."""

from dataclasses import dataclass

import trio

from rosemaryknot.values.standby import StandbyCopy, StandbyUpdate

__all__ = ["HeldReplica", "StandbyTable"]

MAX_REPLICAS = 4096
MAX_BYTES = 64 * 1024 * 1024
ENDED_TTL_S = 120.0
BYTES_PER_TOKEN = 56
HANDED_OVER = "running"
"""Outcome that a relay reports for a request that another entry continues."""

ReplicaKey = tuple[str, str]


@dataclass(slots=True)
class HeldReplica:
    """One replica.

    Attributes
    ----------
    replica : StandbyCopy
        The request, with the text received so far.
    size : int
        Estimated size in bytes.
    deadline_s : float
        Deadline of the caller, in trio time.
    last_report_s : float
        When its relay last reported, in trio time.
    outcome, reason, detail : str
        Result of the request; empty while it runs.
    ended_s : float
        When the request ended, in trio time.
    is_pickup_requested : bool
        Whether a caller requested to pick it up.
    """

    replica: StandbyCopy
    size: int
    deadline_s: float
    last_report_s: float
    outcome: str = ""
    reason: str = ""
    detail: str = ""
    ended_s: float = 0.0
    is_pickup_requested: bool = False

    @property
    def key(self) -> ReplicaKey:
        """Customer and request id."""
        return self.replica.customer, self.replica.request

    @property
    def relay(self) -> tuple[str, int]:
        """Node and incarnation of the entry that relays it."""
        return self.replica.relay, self.replica.incarnation


class StandbyTable:
    """Replicas by customer and request id, bounded by count and bytes.

    A replica is kept for `ended_ttl_s` after its request ended, so that the response
    can be picked up even if its relay fails immediately after the end.

    Parameters
    ----------
    max_replicas : int
        Maximum number of replicas.
    max_bytes : int
        Maximum estimated size in bytes.
    ended_ttl_s : float
        How long a replica is kept after the end of its request, in seconds.
    """

    def __init__(
        self,
        max_replicas: int = MAX_REPLICAS,
        max_bytes: int = MAX_BYTES,
        ended_ttl_s: float = ENDED_TTL_S,
    ) -> None:
        self.max_replicas = max_replicas
        self.max_bytes = max_bytes
        self.ended_ttl_s = ended_ttl_s
        self.replicas: dict[ReplicaKey, HeldReplica] = {}
        self.size = 0

    def add(self, replica: StandbyCopy) -> bool:
        """Add a replica; return whether there was capacity for it.

        Text that a stored replica of the same lineage has in addition is retained.
        """
        key = replica.customer, replica.request
        now_s = trio.current_time()
        known = self.replicas.get(key)
        if known is not None and known.replica.lineage == replica.lineage:
            if len(known.replica.tokens) > len(replica.tokens):
                replica.tokens = known.replica.tokens
        size = len(replica.body) + BYTES_PER_TOKEN * replica.max_tokens
        self.remove(key)
        self.purge(now_s)
        if len(self.replicas) >= self.max_replicas or self.size + size > self.max_bytes:
            return False
        self.replicas[key] = HeldReplica(replica, size, now_s + replica.left_s, now_s)
        self.size += size
        return True

    def apply(self, update: StandbyUpdate) -> bool:
        """Apply a text update; return whether it applies to a stored replica.

        Text is appended only if it continues the stored text without a gap.
        """
        held = self.replicas.get((update.customer, update.request))
        if held is None:
            return False
        if update.outcome == HANDED_OVER:
            self.remove(held.key)
            return True
        text = held.replica.tokens
        if not 0 <= update.offset <= len(text):
            return False
        text += update.tokens[len(text) - update.offset :]
        held.replica.server = update.server or held.replica.server
        if update.software_version is not None:
            held.replica.software_version = update.software_version
        if update.outcome and not held.outcome:
            held.outcome, held.reason = update.outcome, update.reason
            held.detail = update.detail
            held.ended_s = trio.current_time()
        return True

    def record_report(self, relay: tuple[str, int]) -> None:
        """Record that an entry reported."""
        now_s = trio.current_time()
        for held in self.replicas.values():
            if held.relay == relay:
                held.last_report_s = now_s

    def find_silent_relays(
        self, min_silence_s: float
    ) -> dict[tuple[str, int], list[HeldReplica]]:
        """Return the replicas of running requests with a silent relay, by relay."""
        latest_report_s = trio.current_time() - min_silence_s
        found: dict[tuple[str, int], list[HeldReplica]] = {}
        for held in self.replicas.values():
            if not held.outcome and held.last_report_s <= latest_report_s:
                found.setdefault(held.relay, []).append(held)
        return found

    def get(self, customer: str, request: str) -> HeldReplica | None:
        """Return the replica of a request of a customer, or None."""
        self.purge(trio.current_time())
        return self.replicas.get((customer, request))

    def remove(self, key: ReplicaKey) -> None:
        """Remove a replica if it is stored."""
        held = self.replicas.pop(key, None)
        if held is not None:
            self.size -= held.size

    def purge(self, now_s: float) -> None:
        """Remove the replicas whose retention period is over."""
        for key, held in list(self.replicas.items()):
            end_s = held.ended_s if held.outcome else held.deadline_s
            if now_s > end_s + self.ended_ttl_s:
                self.remove(key)
