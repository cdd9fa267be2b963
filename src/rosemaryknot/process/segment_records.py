"""Records of prompt segments that were read when backend servers crashed.

A segment that crashes each server which begins to answer on it comes in requests of
which no two are alike. It is present at each of those crashes, and no response that
begins afterwards on a prompt with it gets past its beginning. The other segments of
those requests are present at the same crashes, but sound requests have them too.
"""

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from rosemaryknot.process.crash_table import CrashTable
from rosemaryknot.process.segment_suspicions import (
    EVIDENCE_S,
    SIMULTANEOUS_S,
    SegmentCrash,
    SegmentRequests,
    Suspicion,
    assess,
)
from rosemaryknot.values.request_identity import (
    SEGMENT_DIGEST_BYTES,
    SegmentUnit,
    digest_of_segment,
)

__all__ = ["SIMULTANEOUS_S", "SegmentRecord", "SegmentRecords"]

# How long a suspected segment is observed before it is refused: requests that were sent
# before have got past the beginning of their responses by then if it is sound.
OBSERVATION_S = 0.5
# How long it is observed from the begin of a trial in that time, and at most in all.
# Other requests with the segment wait until then.
TRIAL_OBSERVATION_S = 0.6
MAX_OBSERVATION_S = 0.9
# How long it is observed at most while no server of its service is available, beside
# `OBSERVATION_S` after that: nothing can show before that it is sound, and nothing is
# sent. Servers that crashed for another reason or asked for a pause are back by then.
MAX_UNSERVED_S = 10.0
# Crashes kept for one segment; the latest ones.
MAX_SEGMENT_CRASHES = 16
# How long a segment that nobody uses any more stays refused.
FORGET_S = 3600.0
# How often suspicions are assessed again although no record has changed.
REASSESS_S = 0.5
# The same while segments are observed, as servers become available.
REASSESS_UNSERVED_S = 0.1
# Minimum time between two assessments if only the number of requests has changed.
MIN_REASSESS_S = 0.1


@dataclass(slots=True)
class SegmentRecord:
    """Crashes of servers at the beginning of one customer's responses on a segment.

    Attributes
    ----------
    digest : bytes
        Digest of the customer and the segment.
    customer : str
        Name of the customer; empty without one.
    segment : str
        Id of the segment, for logs.
    service : str
        Service of the servers.
    crashes : dict of str to SegmentCrash
        Crashes by server.
    trials : int
        Trials that the segment has had since it is refused.
    tried_s : float
        When the last one began, in trio time.
    is_refused : bool
        Whether requests with the segment are refused.
    is_stored : bool
        Whether the platform's store has a record of it.
    was_stored : bool
        Whether it had one before it was restored from a copy.
    is_own : bool
        Whether this node saw one of the servers crash.
    is_restored : bool
        Whether this node has read it at its start, from the store and from no other
        node, and knows of no trial since then.
    """

    digest: bytes
    customer: str
    segment: str
    crashes: dict[str, SegmentCrash] = field(default_factory=dict)
    trials: int = 0
    tried_s: float = -math.inf
    is_refused: bool = False
    is_stored: bool = False
    was_stored: bool = False
    is_own: bool = False
    is_restored: bool = False

    @property
    def has_trial(self) -> bool:
        """Whether the segment has had a trial."""
        return self.trials > 0

    @property
    def unit(self) -> bytes:
        """Digest of the segment, the same for all customers."""
        return self.digest[-SEGMENT_DIGEST_BYTES:]

    def reset(self) -> None:
        """Forget the trials: a response has gone on since then."""
        self.trials = 0
        if not self.crashes:
            self.is_stored = False


class SegmentRecords(CrashTable[SegmentRecord]):
    """Table of segments that were read when servers crashed, bounded in size.

    Parameters
    ----------
    signal_change : callable
        Called when something has changed that decisions depend on.

    Attributes
    ----------
    by_unit : dict of bytes to dict of bytes to SegmentRecord
        Records by segment, and then by their digest.
    requests : collections.Counter of bytes
        Requests with each segment that came to this node since its first crash.
    counted_since_s : dict of bytes to float
        Since when they are counted, in trio time.
    suspicions : dict of bytes to Suspicion
        Result of the last assessment, by segment.
    has_available : callable
        Takes a service and incarnations that have crashed; returns whether another one
        of its servers could run a request now.
    on_refused, on_released : callable
        Called with a record when its segment is refused from now on, or not any more.
    """

    def __init__(self, signal_change: Callable[[], None]) -> None:
        super().__init__()
        self.notify = signal_change
        self.by_unit: dict[bytes, dict[bytes, SegmentRecord]] = {}
        self.requests: Counter[bytes] = Counter()
        self.counted_since_s: dict[bytes, float] = {}
        self.suspicions: dict[bytes, Suspicion] = {}
        self.assessed_s = -math.inf
        self.valid_until_s = -math.inf
        self.has_available: Callable[[str, Collection[str]], bool] = (
            lambda service, crashed: True
        )
        self.on_refused: Callable[[SegmentRecord], None] = lambda record: None
        self.on_released: Callable[[SegmentRecord], None] = lambda record: None

    def signal_change(self) -> None:
        """Wake all that wait for a change, and assess the suspicions again."""
        self.valid_until_s = -math.inf
        self.notify()

    def record(
        self, customer: str, unit: SegmentUnit, crash: SegmentCrash
    ) -> SegmentRecord | None:
        """Record a crash; return the record if it changed, otherwise None."""
        digest = digest_of_segment(customer, unit.digest)
        return self.record_digest(digest, customer, unit.segment, crash)

    def record_digest(
        self, digest: bytes, customer: str, segment: str, crash: SegmentCrash
    ) -> SegmentRecord | None:
        """Record a crash under a digest; see `record`."""
        if crash.server in self.cleared.get(digest, ()):
            return None
        record = self.by_digest.get(digest)
        if record is None:
            record = self.add(SegmentRecord(digest, customer, segment))
        known = record.crashes.get(crash.server)
        if known is not None:
            crash = known.merged(crash)
            if crash == known:
                return None
        elif len(record.crashes) >= MAX_SEGMENT_CRASHES:
            oldest = min(record.crashes.values(), key=lambda c: c.crashed_s)
            del record.crashes[oldest.server]
        record.crashes[crash.server] = crash
        self.by_digest.move_to_end(digest)
        self.signal_change()
        return record

    def merge(self, other: SegmentRecord) -> bool:
        """Add what another node knows of a segment; return whether any was new."""
        is_new = other.digest not in self.by_digest
        added = [
            self.record_digest(other.digest, other.customer, other.segment, crash)
            for crash in other.crashes.values()
        ]
        known = self.by_digest.get(other.digest)
        if known is not None:
            if other.trials > known.trials:
                known.trials, known.tried_s = other.trials, other.tried_s
                known.is_restored = False
                self.signal_change()
            if is_new:
                known.is_restored = other.is_restored
            if other.is_stored and not known.is_stored:
                known.is_stored = True
                self.signal_change()
        return any(record is not None for record in added)

    def add(self, record: SegmentRecord) -> SegmentRecord:
        """Add a record, after evicting another one if there is no room."""
        super().add(record)
        self.by_unit.setdefault(record.unit, {})[record.digest] = record
        return record

    def remove(self, record: SegmentRecord) -> None:
        """Remove a record."""
        super().remove(record)
        records = self.by_unit[record.unit]
        del records[record.digest]
        if not records:
            del self.by_unit[record.unit]
            del self.requests[record.unit]
            self.counted_since_s.pop(record.unit, None)

    def survived_servers(
        self, record: SegmentRecord, began_s: float, progress_s: float
    ) -> set[str]:
        """Return the crashes of a record that a response shows to have another cause.

        Parameters
        ----------
        record : SegmentRecord
            Record of a segment of its prompt.
        began_s : float
            When the response began, in trio time.
        progress_s : float
            For how long it has gone on, in seconds; infinite once it is complete.
        """
        return {
            crash.server
            for crash in record.crashes.values()
            if crash.is_survived(began_s, progress_s)
        }

    # Assessment.

    def is_shadowed(self, unit: bytes) -> bool:
        """Return whether another refused segment was present at all of its crashes.

        One of the two is the cause, and they have not been told apart.
        """
        crashes = self.suspicions[unit].crashes.keys()
        return any(
            other.is_refused and crashes <= other.crashes.keys()
            for name, other in self.suspicions.items()
            if name != unit
        )

    def suspicion(self, unit: bytes, now_s: float) -> Suspicion | None:
        """Return what is suspected of a segment, or None."""
        self.assess(now_s)
        return self.suspicions.get(unit)

    def record_request(self, units: Iterable[SegmentUnit]) -> None:
        """Record that a request with some segments came to this node."""
        for unit in units:
            if unit.digest in self.by_unit:
                self.requests[unit.digest] += 1
                due_s = self.assessed_s + MIN_REASSESS_S
                self.valid_until_s = min(self.valid_until_s, due_s)

    def assess(self, now_s: float) -> None:
        """Assess all segments again, if anything may have changed."""
        if now_s < self.valid_until_s:
            return
        self.remove_old(now_s)
        refused = {unit for unit, s in self.suspicions.items() if s.is_refused}
        found = assess(self.by_unit, self.counted_requests(now_s), refused)
        self.assessed_s = now_s
        self.valid_until_s = now_s + REASSESS_S
        for unit, suspicion in found.items():
            before = self.suspicions.get(unit)
            if not suspicion.is_suspected:
                continue
            suspicion.since_s = now_s
            if before is not None and before.is_suspected:
                suspicion.since_s = before.since_s
                suspicion.unserved_s = before.unserved_s
                suspicion.is_refused = before.is_refused
            self.update_unserved(suspicion, now_s)
            is_stored = any(r.is_stored for r in self.by_unit[unit].values())
            suspicion.observed_until_s = self.observed_until_s(unit, suspicion)
            if is_stored or now_s >= suspicion.observed_until_s:
                suspicion.is_refused = True
            else:
                due_s = min(suspicion.observed_until_s, now_s + REASSESS_UNSERVED_S)
                self.valid_until_s = min(self.valid_until_s, due_s)
        self.suspicions = found
        self.update_records()

    def counted_requests(self, now_s: float) -> dict[bytes, SegmentRequests]:
        """Return the requests with each segment that came to this node."""
        since_s = self.counted_since_s
        return {
            unit: SegmentRequests(
                self.requests[unit], now_s - since_s.setdefault(unit, now_s)
            )
            for unit in self.by_unit
        }

    def observed_until_s(self, unit: bytes, suspicion: Suspicion) -> float:
        """Return until when a segment is observed before it is refused.

        That is longer while a trial is in progress that no server has crashed under, or
        if no server was available to run one.
        """
        until_s = suspicion.since_s + OBSERVATION_S
        tried_s = max(record.tried_s for record in self.by_unit[unit].values())
        if suspicion.last_crash_s < tried_s:
            until_s = max(until_s, tried_s + TRIAL_OBSERVATION_S)
        until_s = min(until_s, suspicion.since_s + MAX_OBSERVATION_S)
        served_s = min(suspicion.unserved_s, suspicion.since_s + MAX_UNSERVED_S)
        return max(until_s, served_s + OBSERVATION_S)

    def update_unserved(self, suspicion: Suspicion, now_s: float) -> None:
        """Record whether a server could run a request with a suspected segment."""
        crashed = suspicion.crashes
        services = {crash.service for crash in crashed.values()}
        if not any(self.has_available(service, crashed) for service in services):
            suspicion.unserved_s = now_s

    def update_records(self) -> None:
        """Tell which records are refused from now on, and which not any more."""
        for record in list(self.by_digest.values()):
            suspicion = self.suspicions.get(record.unit)
            is_refused = suspicion is not None and suspicion.refuses(record.customer)
            if is_refused == record.is_refused:
                continue
            record.is_refused = is_refused
            if is_refused:
                self.on_refused(record)
            else:
                self.on_released(record)

    def remove_old(self, now_s: float) -> None:
        """Remove crashes that are too old to count, and segments not used any more."""
        for record in list(self.by_digest.values()):
            max_age_s = FORGET_S if record.is_refused else EVIDENCE_S
            old = [
                c for c in record.crashes.values() if now_s - c.crashed_s > max_age_s
            ]
            if record.is_refused and len(old) < len(record.crashes):
                continue
            for crash in old:
                del record.crashes[crash.server]
            if not record.crashes:
                self.remove(record)
                if record.is_refused:
                    self.on_released(record)
