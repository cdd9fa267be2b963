"""Keeps the requests that are refused for server crashes in the platform's store.

Gateways that lose power together have no other memory of them. There is one object for
each request, written once. An operator releases a request by deleting its object.
"""

import random
from collections.abc import Callable

import trio

from rosemaryknot.process.crash_exchange import (
    CrashExchange,
    log_refused,
    log_segment_refused,
    log_segment_released,
)
from rosemaryknot.process.crash_notices import record_from_value, record_to_value
from rosemaryknot.process.crash_records import CrashRecord, CrashRecords
from rosemaryknot.process.list_reader import ListReader
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import gauge
from rosemaryknot.process.segment_records import SegmentRecord
from rosemaryknot.values.platform import (
    Conflict,
    ListPage,
    ObjectStore,
    PlatformFailed,
    StoredObject,
    Written,
)

__all__ = ["KIND", "RELEASE_CHECK_INTERVAL_S", "CrashStore"]

KIND = "crashing-requests"
# How long a node waits for its first links before it decides whether it reads the
# records itself.
LOAD_DELAY_S = 0.5
MIN_RETRY_S = 0.2
MAX_RETRY_S = 5.0
# How long a record may stay unstored before a node writes it that saw no crash itself.
FALLBACK_DELAY_S = 1.0
# How often one node checks whether operators have released requests; only while any is
# refused, as each check is a call to the store.
RELEASE_CHECK_INTERVAL_S = 10.0
# How often one node on each side of a network partition reads the records: the nodes
# of the other side may have refused a request and reach this side only by the store.
PARTITION_CHECK_INTERVAL_S = 1.5
MIN_READ_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.25

REFUSED_REQUESTS = gauge(
    "crashing_requests", "Requests that are refused since servers crashed under them."
)

log = logger("crashes")


class CrashStore:
    """Writer and reader of the stored records.

    Parameters
    ----------
    store : ObjectStore
        The platform's store, which is also a `PageSource`.
    records : CrashRecords
        Records of this node.
    exchange : CrashExchange
        Sends changes to the other nodes.
    watching : callable
        Returns the names of the nodes that read the store on behalf of the others.
    is_partitioned : callable
        Returns whether nodes cannot be reached that may be alive.
    name : str
        Name of this node.
    rng : random.Random
        For jitter.

    Attributes
    ----------
    refused : dict of bytes to float
        When each request was first refused, in trio time, by digest.
    obsolete : list of bytes
        Digests of cleared requests whose objects are to be deleted.
    tried : list of bytes
        Digests of requests that have had their trial, which is to be stored.
    is_read_needed : bool
        Whether the records are read as soon as the store responds.
    last_read_s : float
        When the records were last read, in trio time.
    stored_before : list of bytes
        Digests of the requests that were known to be stored when a read of the records
        began.
    has_new_era : bool
        Whether the store was restored from a copy since the records were last read.
    on_segment_refused : callable
        Called when requests with a segment are refused from now on.
    """

    def __init__(
        self,
        store: ObjectStore,
        records: CrashRecords,
        exchange: CrashExchange,
        watching: Callable[[], set[str]],
        is_partitioned: Callable[[], bool],
        name: str,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.reader = ListReader(store, KIND, self.merge_page)
        self.stored_before: list[bytes] = []
        self.records = records
        self.exchange = exchange
        self.watching = watching
        self.is_partitioned = is_partitioned
        self.name = name
        self.rng = rng
        self.refused: dict[bytes, float] = {}
        self.obsolete: list[bytes] = []
        self.tried: list[bytes] = []
        self.has_work = trio.Event()
        self.is_read_needed = False
        self.last_read_s = float("-inf")
        self.retry_delay_s = MIN_RETRY_S
        self.retry_s = float("-inf")
        self.has_new_era = False
        self.on_segment_refused: Callable[[], None] = lambda: None
        records.on_refused = self.record_refused
        records.segments.on_refused = self.record_segment_refused
        records.segments.on_released = self.record_segment_released
        exchange.on_received = self.request_read

    def record_refused(self, record: CrashRecord) -> None:
        """Log that a request is refused from now on, and wake the writer."""
        self.refused[record.digest] = trio.current_time()
        self.has_work.set()
        log_refused(record)

    def record_segment_refused(self, record: SegmentRecord) -> None:
        """Log that a segment is refused, wake the writer and tell the gateway."""
        self.refused[record.digest] = trio.current_time()
        self.has_work.set()
        log_segment_refused(record)
        self.on_segment_refused()

    def record_segment_released(self, record: SegmentRecord) -> None:
        """Delete the object of a segment that is not refused any more."""
        log_segment_released(record)
        if record.is_stored or record.was_stored:
            record.is_stored = record.was_stored = False
            self.obsolete.append(record.digest)
            self.has_work.set()

    def record_era(self, era: int) -> None:
        """Store all records again, as the store may have lost them in a restore.

        Those whose objects it still has are found by the conflict of the write. The
        node that saw a crash writes first; see `FALLBACK_DELAY_S`.
        """
        if not self.records.begin_era(era):
            return
        now_s = trio.current_time()
        self.refused = dict.fromkeys(self.refused, now_s)
        self.has_new_era = True
        self.is_read_needed = self.is_read_needed or self.is_first_reader()
        self.has_work.set()

    def is_reader(self) -> bool:
        """Return whether this node reads the store on behalf of others."""
        return self.name in self.watching()

    def is_first_reader(self) -> bool:
        """Return whether this node reads for all nodes that it reaches."""
        return self.name == min(self.watching(), default="")

    async def run(self) -> None:
        """Read and write the records until cancelled."""
        await trio.sleep(LOAD_DELAY_S)
        self.is_read_needed = self.is_read_needed or self.is_reader()
        while True:
            if self.records.segments.by_digest:
                self.records.segments.assess(trio.current_time())
            if self.should_read():
                await self.read()
            await self.write_records()
            await self.write_trials()
            await self.delete_obsolete()
            self.remove_old()
            REFUSED_REQUESTS.set(len(self.refused))
            with trio.move_on_after(POLL_INTERVAL_S):
                await self.has_work.wait()
            self.has_work = trio.Event()

    def remove_old(self) -> None:
        """Remove requests that are no longer refused."""
        self.refused = {
            digest: since_s
            for digest, since_s in self.refused.items()
            if getattr(self.records.get(digest), "is_refused", False)
        }

    # Writing.

    async def write_records(self) -> None:
        """Write the records that this node is to write."""
        now_s = trio.current_time()
        for digest, since_s in list(self.refused.items()):
            record = self.records.get(digest)
            if record is None or record.is_stored:
                continue
            is_late = now_s - since_s > FALLBACK_DELAY_S and self.is_reader()
            if record.is_own or is_late:
                await self.write(record)

    async def write(self, record: CrashRecord | SegmentRecord) -> None:
        """Write one record; it is written again later if the store fails."""
        era = self.records.era
        outcome = await self.store.create(
            KIND, record.digest.hex(), record_to_value(record)
        )
        if isinstance(outcome, (Written, Conflict)):
            record.is_stored = era == self.records.era
            if isinstance(outcome, Conflict) and record.was_stored and record.has_trial:
                # The copy may hold the record as it was before its trial.
                self.tried.append(record.digest)
            self.exchange.enqueue(record)
            log.info("stored a refused request", request_digest=record.digest.hex())
        else:
            log.warning(
                "refused request not stored yet",
                request_digest=record.digest.hex(),
                reason=outcome.reason,
            )

    def record_trial(self, record: CrashRecord | SegmentRecord) -> None:
        """Record that the request of a record, or its segment, has a trial."""
        self.exchange.enqueue(record)
        if record.is_refused:
            self.tried.append(record.digest)
            self.has_work.set()

    async def write_trials(self) -> None:
        """Store that requests have had their trial; try again later if that fails."""
        digests, self.tried = self.tried, []
        for digest in digests:
            record = self.records.get(digest)
            if record is None:
                continue
            name = digest.hex()
            found = await self.store.read(KIND, name)
            if isinstance(found, StoredObject):
                value = record_to_value(record)
                found = await self.store.update(KIND, name, value, found.version)
            if isinstance(found, (Conflict, PlatformFailed)):
                log.warning("trial not stored yet", request_digest=name)
                self.tried.append(digest)

    def clear(self, digest: bytes, service: str) -> None:
        """Clear a request that a service has completed, and delete its object."""
        record = self.records.by_digest.get(digest)
        is_stored = record is not None and (record.is_stored or record.was_stored)
        if self.exchange.clear(digest, service) and is_stored:
            self.obsolete.append(digest)
            self.has_work.set()

    def clear_segment(self, digest: bytes, servers: set[str]) -> None:
        """Clear a segment of crashes that a response shows to have another cause."""
        record = self.records.segments.by_digest.get(digest)
        if record is None:
            return
        is_stored = record.is_stored or record.was_stored
        is_cleared = self.exchange.clear_servers(digest, servers)
        if is_cleared and not record.crashes and record.is_refused:
            record.is_stored = is_stored
            self.record_segment_released(record)

    async def delete_obsolete(self) -> None:
        """Delete the objects of cleared requests; try again later if the store fails.

        Otherwise the request would be refused again once all nodes have restarted.
        """
        names, self.obsolete = self.obsolete, []
        for digest in names:
            found = await self.store.read(KIND, digest.hex())
            if isinstance(found, StoredObject):
                found = await self.store.delete(KIND, digest.hex(), found.version)
            if isinstance(found, (Conflict, PlatformFailed)):
                log.warning(
                    "cleared request not deleted yet",
                    request_digest=digest.hex(),
                    reason=getattr(found, "reason", "conflict"),
                )
                self.obsolete.append(digest)

    # Reading.

    def request_read(self) -> None:
        """Read the records soon, since a server has crashed.

        Nodes that cannot be reached may have stored a record of its request. One node
        reads for all that it reaches: at 195 nodes, a read by each would be most of
        the calls to the store.
        """
        if self.is_first_reader():
            self.is_read_needed = True
            self.has_work.set()

    def should_read(self) -> bool:
        """Return whether to read the records now."""
        now_s = trio.current_time()
        since_s = now_s - self.last_read_s
        if now_s < self.retry_s or since_s < MIN_READ_INTERVAL_S:
            return False
        if self.is_read_needed:
            return True
        if not self.is_first_reader():
            return False
        if self.is_partitioned() and since_s >= PARTITION_CHECK_INTERVAL_S:
            return True
        return bool(self.stored()) and since_s >= RELEASE_CHECK_INTERVAL_S

    def stored(self) -> list[bytes]:
        """Return the digests of refused requests that the store has a record of."""
        records = ((digest, self.records.get(digest)) for digest in self.refused)
        return [digest for digest, record in records if record and record.is_stored]

    async def read(self) -> None:
        """Read the records; clear requests whose objects an operator has deleted."""
        self.is_read_needed = False
        if self.reader.listed is None:
            self.stored_before = self.stored()
        names = await self.read_records()
        now_s = trio.current_time()
        if names is None:
            self.is_read_needed = True
            self.retry_s = now_s + self.retry_delay_s * self.rng.uniform(0.8, 1.2)
            self.retry_delay_s = min(2 * self.retry_delay_s, MAX_RETRY_S)
            return
        self.last_read_s = now_s
        self.retry_delay_s = MIN_RETRY_S
        still_stored = set(self.stored())
        for digest in self.stored_before:
            # After a restore, a missing object was lost and not deleted.
            if digest.hex() not in names and digest in still_stored:
                self.exchange.clear(digest)

    async def read_records(self) -> set[str] | None:
        """Merge the stored records; return the names of all objects, None if failed."""
        listed = await self.reader.read()
        if isinstance(listed, PlatformFailed):
            log.warning("refused requests not read", reason=listed.reason)
            return None
        self.has_new_era = False
        return set(listed.objects)

    def merge_page(self, page: ListPage) -> None:
        """Merge the stored records of a page."""
        for name, item in page.objects.items():
            record = record_from_value(name, item.value, trio.current_time())
            if record is None:
                log.error("stored crash record left alone", revision=item.version)
                continue
            if isinstance(record, SegmentRecord):
                record.is_restored = self.last_read_s == float("-inf")
            if self.records.merge_any(record):
                # The nodes that do not read the store learn of it from this one.
                self.exchange.enqueue(self.records.get(record.digest))
            elif self.has_new_era and self.is_cleared(record):
                # Its object was deleted, but the copy has it.
                self.obsolete.append(record.digest)

    def is_cleared(self, record: CrashRecord | SegmentRecord) -> bool:
        """Return whether all crashes of a stored record no longer count."""
        cleared = self.records.table_of(record.digest).cleared.get(record.digest, ())
        return all(server in cleared for server in record.crashes)
