"""Records of requests during which backend servers crashed.

A request that crashes each server that runs it looks like any other one until servers
have crashed under it. A server that crashes ends all of its requests, so one crash
proves nothing against any of them. Two facts tell them apart: the request that is the
cause is present at each of several crashes, and it never completes. A request that is
repeated often is present at many crashes too, but it has completed before and does so
again.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio

__all__ = ["MAX_CRASHES", "Crash", "CrashRecord", "CrashRecords"]

# A request that was running on this many servers when they crashed is refused.
MAX_CRASHES = 3
# The same limit for a request that had completed before. It is probably not the cause,
# and until it has completed again it runs once at a time at each node.
MAX_CRASHES_IF_COMPLETED = 6
# Crashes that are no further apart may have a common cause, such as the loss of a rack.
SIMULTANEOUS_S = 0.1
# Maximum number of records, at 0.6 KB each, and of one customer's, so that a customer
# who sends many such requests does not evict the records of others.
MAX_RECORDS = 4096
MAX_CUSTOMER_RECORDS = 512
# Maximum number of cleared requests whose crashes are still recognized in late notices.
MAX_CLEARED = 1024
# Maximum number of servers remembered for one of them; beyond it only the latest are. A
# popular request is cleared after each crash of a server, for as long as a node runs.
MAX_CLEARED_SERVERS = 64
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
    is_own : bool
        Whether this node saw one of the servers crash.
    """

    digest: bytes
    customer: str
    crashes: dict[str, Crash] = field(default_factory=dict)
    has_completed: bool = False
    is_tried: bool = False
    is_stored: bool = False
    is_own: bool = False

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


class CrashRecords:
    """Table of requests during which servers crashed, bounded in size.

    Attributes
    ----------
    by_digest : OrderedDict of bytes to CrashRecord
        Records by digest of the request, the least recently changed first.
    counts : collections.Counter of str
        Number of records by customer.
    completed : OrderedDict of bytes to None
        Digests of the requests that completed last at this node, the latest at the end.
    cleared : OrderedDict of bytes to set of str
        Servers whose crashes no longer count against a request that has completed
        since, or was released, by digest of the request.
    on_refused : callable
        Called with a record when its request is refused from now on.
    changed : trio.Event
        Set, and replaced, when something has changed that decisions depend on.

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
        self.by_digest: OrderedDict[bytes, CrashRecord] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self.completed: OrderedDict[bytes, None] = OrderedDict()
        self.cleared: OrderedDict[bytes, set[str]] = OrderedDict()
        self.on_refused: Callable[[CrashRecord], None] = lambda record: None
        self.changed = trio.Event()

    def signal_change(self) -> None:
        """Wake all that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

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

    def add(self, record: CrashRecord) -> CrashRecord:
        """Add a record, after evicting another one if there is no room."""
        customer = record.customer
        if self.counts[customer] >= MAX_CUSTOMER_RECORDS:
            self.evict(r for r in self.by_digest.values() if r.customer == customer)
        elif len(self.by_digest) >= MAX_RECORDS:
            self.evict(self.by_digest.values())
        self.by_digest[record.digest] = record
        self.counts[customer] += 1
        return record

    def evict(self, records: Iterable[CrashRecord]) -> None:
        """Remove the record with the fewest crashes, of these the oldest."""
        self.remove(min(records, key=lambda record: len(record.crashes)))

    def remove(self, record: CrashRecord) -> None:
        """Remove a record."""
        del self.by_digest[record.digest]
        self.counts[record.customer] -= 1
        if not self.counts[record.customer]:
            del self.counts[record.customer]

    def clear(self, digest: bytes, service: str | None = None) -> set[str]:
        """Drop the crashes of a request that has completed or was released.

        A crash that was dropped is recognized in late notices and not counted again.

        Parameters
        ----------
        digest : bytes
            Digest of the request.
        service : str or None
            Service at which it completed; crashes of other services' servers still
            count. None for all services.

        Returns
        -------
        servers : set of str
            Servers whose crashes were dropped.
        """
        record = self.by_digest.get(digest)
        if record is None:
            return set()
        servers = {
            crash.server
            for crash in record.crashes.values()
            if service in (None, crash.service)
        }
        self.clear_servers(digest, servers)
        return servers

    def clear_servers(self, digest: bytes, servers: set[str]) -> bool:
        """Drop crashes from the record of a request; return whether any was there."""
        if not servers:
            return False
        known = self.cleared.setdefault(digest, set())
        if len(known | servers) > MAX_CLEARED_SERVERS:
            known.clear()
        known.update(servers)
        self.cleared.move_to_end(digest)
        while len(self.cleared) > MAX_CLEARED:
            self.cleared.popitem(last=False)
        record = self.by_digest.get(digest)
        if record is None or not servers & record.crashes.keys():
            return False
        for server in servers & record.crashes.keys():
            del record.crashes[server]
        record.is_tried = record.is_stored = False
        if not record.crashes:
            self.remove(record)
        self.signal_change()
        return True

    def refused(self) -> list[CrashRecord]:
        """Return the records of requests that are refused."""
        return [record for record in self.by_digest.values() if record.is_refused]
