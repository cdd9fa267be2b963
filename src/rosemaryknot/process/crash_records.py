"""Records of requests during which backend servers crashed.

A request that crashes each server that runs it looks like any other one until servers
have crashed under it. A server that crashes ends all of its requests, so one crash
proves nothing against any of them. Two facts tell them apart: the request that is the
cause is present at each of several crashes, and it never completes. A request that is
repeated often is present at many crashes too, but it has completed before and does so
again.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from rosemaryknot.process.crash_table import (
    MAX_CLEARED,
    MAX_CLEARED_SERVERS,
    MAX_CRASHES,
    MAX_CUSTOMER_RECORDS,
    MAX_RECORDS,
    CrashTable,
)
from rosemaryknot.process.segment_records import (
    SIMULTANEOUS_S,
    SegmentRecord,
    SegmentRecords,
)
from rosemaryknot.values.request_identity import is_segment_digest

__all__ = [
    "MAX_CLEARED",
    "MAX_CLEARED_SERVERS",
    "MAX_CRASHES",
    "MAX_CUSTOMER_RECORDS",
    "MAX_RECORDS",
    "Crash",
    "CrashRecord",
    "CrashRecords",
]

# The same limit for a request that had completed before. It is probably not the cause,
# and until it has completed again it runs once at a time at each node.
MAX_CRASHES_IF_COMPLETED = 6
# Number of requests that completed last, at 0.2 KB each, among which a popular request
# is found. It covers some seconds of the requests of one gateway.
MAX_COMPLETED = 2048


@dataclass(slots=True, frozen=True)
class Crash:
    """Crash of a server while a request was running there.

    Attributes
    ----------
    server : str
        Text form of the server's incarnation.
    service : str
        Service of the server.
    crashed_s : float
        When the server closed the connection of the request, in trio time.
    """

    server: str
    service: str
    crashed_s: float


@dataclass(slots=True)
class CrashRecord:
    """Crashes of servers while one request, or a repeat of it, was running there.

    Attributes
    ----------
    digest : bytes
        Digest of the request, the same for each repeat.
    customer : str
        Name of the customer; empty without one.
    crashes : dict of str to Crash
        Crashes by server.
    has_completed : bool
        Whether the request completed at some node before the first of the crashes.
    is_tried : bool
        Whether the request has had its trial after it was refused.
    is_stored : bool
        Whether the platform's store has a record of it.
    was_stored : bool
        Whether it had one before it was restored from a copy.
    is_own : bool
        Whether this node saw one of the servers crash.
    """

    digest: bytes
    customer: str
    crashes: dict[str, Crash] = field(default_factory=dict)
    has_completed: bool = False
    is_tried: bool = False
    is_stored: bool = False
    was_stored: bool = False
    is_own: bool = False

    def reset(self) -> None:
        """Forget what was decided on crashes that no longer count."""
        self.is_tried = self.is_stored = False

    @property
    def has_trial(self) -> bool:
        """Whether the request has had its trial."""
        return self.is_tried

    @property
    def limit(self) -> int:
        """Number of crashes from which on the request is refused."""
        return MAX_CRASHES_IF_COMPLETED if self.has_completed else MAX_CRASHES

    @property
    def is_refused(self) -> bool:
        """Whether enough servers have crashed for the request to be refused."""
        return len(self.crashes) >= self.limit

    @property
    def last_crash_s(self) -> float:
        """Time of the last recorded crash, in trio time."""
        return max(crash.crashed_s for crash in self.crashes.values())

    @property
    def is_simultaneous(self) -> bool:
        """Whether all servers crashed at the same time, perhaps of another cause."""
        times = [crash.crashed_s for crash in self.crashes.values()]
        return max(times) - min(times) <= SIMULTANEOUS_S


class CrashRecords(CrashTable[CrashRecord]):
    """Table of requests during which servers crashed, bounded in size.

    Attributes
    ----------
    segments : SegmentRecords
        Crashes by segment of the prompts.
    era : int
        Era of the store to which it refers that a record is stored; 0 before any.
    completed : OrderedDict of bytes to None
        Digests of the requests that completed last at this node, the latest at the end.
    on_refused : callable
        Called with a record when its request is refused from now on.

    Examples
    --------
    >>> records = CrashRecords()
    >>> for server in ("a@", "b@", "c@"):
    ...     crash = Crash(server, "assistant", 0.0)
    ...     record = records.record(b"digest", "ada", crash)
    >>> record.is_refused
    True
    >>> sorted(records.clear(b"digest", "assistant"))
    ['a@', 'b@', 'c@']
    >>> b"digest" in records.by_digest
    False
    """

    def __init__(self) -> None:
        super().__init__()
        self.segments = SegmentRecords(self.signal_change)
        self.era = 0
        self.completed: OrderedDict[bytes, None] = OrderedDict()
        self.on_refused: Callable[[CrashRecord], None] = lambda record: None
        self.changed = trio.Event()

    def begin_era(self, era: int) -> bool:
        """Begin an era of the store; return whether there was another one before.

        A store that was restored from a copy may have lost all records.
        """
        before, self.era = self.era, era
        if before in (0, era):
            return False
        self.forget_stored()
        self.segments.forget_stored()
        return True

    def signal_change(self) -> None:
        """Wake all that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    def table_of(self, digest: bytes) -> CrashTable:
        """Return the table for the digest of a request or of a segment."""
        return self.segments if is_segment_digest(digest) else self

    def get(self, digest: bytes) -> CrashRecord | SegmentRecord | None:
        """Return the record of a request or a segment, or None."""
        return self.table_of(digest).by_digest.get(digest)

    def record_completed(self, digest: bytes) -> None:
        """Record that a request has completed."""
        self.completed[digest] = None
        self.completed.move_to_end(digest)
        if len(self.completed) > MAX_COMPLETED:
            self.completed.popitem(last=False)

    def record(self, digest: bytes, customer: str, crash: Crash) -> CrashRecord | None:
        """Record a crash; return the record if it changed, otherwise None."""
        if crash.server in self.cleared.get(digest, ()):
            return None
        record = self.by_digest.get(digest)
        if record is None:
            record = self.add(CrashRecord(digest, customer))
            record.has_completed = digest in self.completed
        if crash.server in record.crashes or record.is_refused:
            return None
        record.crashes[crash.server] = crash
        self.by_digest.move_to_end(digest)
        self.signal_change()
        if record.is_refused:
            self.on_refused(record)
        return record

    def merge(self, other: CrashRecord) -> bool:
        """Add what another node knows of a request; return whether a crash was new."""
        known = self.by_digest.get(other.digest)
        if known is not None:
            known.has_completed = known.has_completed or other.has_completed
        added = [
            self.record(other.digest, other.customer, crash)
            for crash in other.crashes.values()
        ]
        known = self.by_digest.get(other.digest)
        if known is not None:
            known.has_completed = known.has_completed or other.has_completed
            known.is_tried = known.is_tried or other.is_tried
            known.is_stored = known.is_stored or other.is_stored
        return any(record is not None for record in added)

    def merge_any(self, other: CrashRecord | SegmentRecord) -> bool:
        """Add what another node knows of a request or of a segment; see `merge`."""
        return self.table_of(other.digest).merge(other)

    def refused(self) -> list[CrashRecord]:
        """Return the records of requests that are refused."""
        return [record for record in self.by_digest.values() if record.is_refused]
