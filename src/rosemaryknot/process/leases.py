"""Leases kept in the object store, with fencing numbers that only increase.

A lease is an object that its holder rewrites before it expires. No wall clock is
involved: the holder measures the duration from before it sent the write, a candidate
from after it first read it, so the lease always expires at the holder first.

A duty is a task that only the holder of a lease performs.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

import trio

from rosemaryknot.process.configuration_distributor import select_nodes
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.values.leases import MAX_FENCING, LeaseRecord
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.platform import (
    Conflict,
    Missing,
    ObjectStore,
    StoredObject,
    Written,
)
from rosemaryknot.values.store_revisions import era_of, revision_of

__all__ = ["KIND", "Lease", "lease_candidates"]

KIND = "leases"
DURATION_S = 10.0
MARGIN_S = 1.5
RENEW_INTERVAL_S = 3.0
POLL_INTERVAL_S = 3.0
RETRY_INTERVAL_S = 0.5
MAX_CANDIDATES = 3
RELEASE_ATTEMPTS = 2
UNKNOWN_HOLDER = "?"
# Fencing numbers of each era of the store begin at its multiple of this. Those of one
# whose records were lost are lower, as no lease changes its holder that often.
FENCING_PER_ERA = 1_000_000
# From lost records, processes may draw the same next number; they draw from this many.
MAX_LOST_FENCING = 10_000

CHANGES = counter("lease_changes_total", "Leases taken over, given back and lapsed.")

log = logger("leases")


def lease_candidates(
    nodes: Sequence[Node], duty: str, count: int = MAX_CANDIDATES
) -> list[Node]:
    """Choose the nodes that may hold a lease, preferring different zones.

    A whole zone can fail at once. If all candidates were in that zone, no node would
    be left to poll the lease.

    Examples
    --------
    >>> nodes = [Node(f"n{i}", zone, 1) for i, zone in enumerate("aaaab")]
    >>> {node.zone for node in lease_candidates(nodes, "placement-x", 2)} == {"a", "b"}
    True
    """
    by_priority = select_nodes(nodes, duty, len(nodes))
    firsts = list({node.zone: node for node in reversed(by_priority)}.values())
    firsts.sort(key=by_priority.index)
    return (firsts + [node for node in by_priority if node not in firsts])[:count]


def first_fencing(era: int) -> int:
    """Return the number that all fencing numbers of an era of the store exceed.

    Examples
    --------
    >>> first_fencing(0), first_fencing(3)
    (0, 3000000)
    """
    number = era * FENCING_PER_ERA
    return number if number <= MAX_FENCING // 2 else 0


class Lease:
    """One process's view of one lease.

    Parameters
    ----------
    store : ObjectStore
        The platform's object API.
    name : str
        Name of the object.
    holder : str
        Identity of this process, different for each incarnation.
    is_candidate : callable
        Returns whether this process should acquire the lease when nobody holds it.
    rng : random.Random
        For jitter.
    safeguards : Safeguards, optional
        Tests may turn ``lease_margin`` off.
    duration_s : float
        Duration of the lease, in seconds.
    margin_s : float
        Subtracted from the duration by the holder, to allow for clocks that run at
        different rates, in seconds.
    suspended_s : callable
        Returns how long the machine has been suspended since a fixed moment, in
        seconds. The monotonic clock does not count that time, so without it the lease
        would seem to last longer than it does.
    current_notes : callable
        Takes the notes in the store, including those of another holder, and returns
        the notes to send with each write, so that storing them costs no extra call.
    is_reporting : callable
        Takes a holder and returns whether its node has reported recently. A silent
        holder may have failed; polling sooner then sees its last write earlier, and
        the lease can be acquired earlier.
    first_store_era : callable
        Returns the era of the store at the first call of this process; None if it is
        not known.
    reacquire_delay_s : float
        Minimum time between two leases of this process if another process held the
        lease in between, in seconds.
    is_first_start : bool
        Whether the whole system starts for the first time: a missing record then
        means that nobody has held the lease.

    Attributes
    ----------
    record : LeaseRecord or None
        As last read or written; None if there is none.
    first_era : int or None
        Era of the store at the first call of this process; None before the first read.
    fencing : int
        Fencing number of this process's current or last lease.
    acquired_s : float
        When this process acquired the lease, in trio time.
    is_recovering : bool
        Whether it is being acquired with a record of an earlier era of the store, so
        that the write has to tell later holders what may be missing.
    has_lost_notes : bool
        Whether this process acquired the lease on a record from before a restore of the
        store, so that the notes of the last holder may be missing.
    is_clean_handover : bool
        Whether no other holder can still be active: the last one released the lease,
        or was this process.
    highest_fencing : int
        Highest fencing number seen in any record or at any backend server.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        holder: str,
        is_candidate: Callable[[], bool],
        rng: random.Random,
        safeguards: Safeguards | None = None,
        duration_s: float = DURATION_S,
        margin_s: float = MARGIN_S,
        suspended_s: Callable[[], float] = lambda: 0.0,
        current_notes: Callable[[dict[str, Any]], dict[str, Any]] = dict,
        is_reporting: Callable[[str], bool] = lambda holder: True,
        is_first_start: bool = False,
        first_store_era: Callable[[], int | None] = lambda: None,
        reacquire_delay_s: float = 0.0,
    ) -> None:
        self.store = store
        self.name = name
        self.holder = holder
        self.is_candidate = is_candidate
        self.rng = rng
        self.safeguards = Safeguards() if safeguards is None else safeguards
        self.duration_s = duration_s
        self.margin_s = margin_s
        self.suspended_s = suspended_s
        self.current_notes = current_notes
        self.is_reporting = is_reporting
        self.is_first_start = is_first_start
        self.first_store_era = first_store_era
        self.reacquire_delay_s = reacquire_delay_s
        self.record: LeaseRecord | None = None
        self.version = -1
        self.version_read_s = float("-inf")
        self.first_era: int | None = None
        self.fencing = 0
        self.highest_fencing = 0
        self.expiry_s = float("-inf")
        self.last_expiry_s = float("-inf")
        self.acquired_s = float("-inf")
        self.is_clean_handover = False
        self.has_lost_notes = self.is_recovering = False
        self.is_releasing = False
        self.write_count = 0
        self.sent_s: dict[str, float] = {}
        self.ended_instances: set[str] = set()
        self.lock = trio.Lock()

    # Interface for other components.

    def remaining_s(self) -> float:
        """Return the time left until the lease of this process expires, in seconds."""
        return self.expiry_s - self.time_s()

    def time_s(self) -> float:
        """Return trio time plus the time spent in suspension, in seconds."""
        return trio.current_time() + self.suspended_s()

    def is_held(self) -> bool:
        """Return whether this process holds the lease now; check before each order."""
        return self.remaining_s() > 0

    @property
    def leaving(self) -> tuple[str, ...]:
        """Instances that are draining because a holder decided to release them."""
        return () if self.record is None else self.record.leaving

    async def record_draining(self, names: Sequence[str]) -> bool:
        """Record durably that instances are to be released.

        Returns
        -------
        is_written : bool
            Whether the store is confirmed to hold the record, written by the holder.
        """
        async with self.lock:
            if not self.is_held():
                return False
            known = [name for name in self.leaving if name not in names]
            record = replace(self.record, leaving=(*known, *names))
            return await self.write(record)

    @property
    def notes(self) -> dict[str, Any]:
        """Notes that holders of the lease have stored for their successors, by name."""
        return {} if self.record is None else self.record.notes

    async def note(self, name: str, value: Any) -> bool:
        """Store a note for the next holder, before this one acts on it.

        Returns
        -------
        is_written : bool
            Whether the store is confirmed to hold the note, written by the holder.
        """
        async with self.lock:
            if not self.is_held():
                return False
            record = replace(self.record, notes=self.notes | {name: value})
            return await self.write(record)

    def forget_draining(self, name: str) -> None:
        """Omit an instance that the platform has terminated from the next write."""
        self.ended_instances.add(name)

    def record_fencing(self, fencing: int) -> None:
        """Record a fencing number that a backend server has seen.

        A number higher than this process's own comes from a later holder, or from
        before the store was restored from a backup. In both cases this process must not
        continue under its own number.
        """
        self.highest_fencing = max(self.highest_fencing, fencing)
        if fencing > self.fencing and self.is_held():
            self.expiry_s = float("-inf")
            # Writes under the old number must no longer extend the lease.
            self.sent_s.clear()
            log.warning(f"{self.name} abandoned: a server has seen number {fencing}")

    # Background task.

    async def run(self) -> None:
        """Hold the lease, or poll until it is free, until cancelled."""
        while not self.is_releasing:
            if self.is_held() or self.is_candidate():
                await self.step()
            await trio.sleep(self.step_interval_s())

    def step_interval_s(self) -> float:
        """Return how long to wait before the next step, in seconds."""
        if self.is_held():
            interval_s = min(
                RENEW_INTERVAL_S, self.remaining_s() / 3
            ) * self.rng.uniform(0.8, 1.0)
            return max(interval_s, RETRY_INTERVAL_S)
        interval_s = POLL_INTERVAL_S * self.rng.uniform(0.8, 1.2)
        if self.record is None or not self.is_reporting(self.record.holder):
            interval_s = RETRY_INTERVAL_S
        free_s = self.version_read_s + self.record_duration_s() - trio.current_time()
        return (
            max(min(interval_s, free_s), RETRY_INTERVAL_S) if free_s > 0 else interval_s
        )

    async def step(self) -> None:
        """Renew the lease if held; otherwise poll, and acquire it when it is free."""
        async with self.lock:
            was_held = self.is_held()
            if was_held:
                await self.write(self.record)
            else:
                await self.poll()
                if not self.is_held() and self.is_free() and self.may_reacquire():
                    await self.acquire()
            if was_held and not self.is_held():
                CHANGES.add(change="lapsed")
                log.warning(f"{self.name} expired", fencing=self.fencing)

    async def release(self) -> None:
        """Release the lease, so that the next holder need not wait for its expiry."""
        self.is_releasing = True
        async with self.lock:
            for _ in range(RELEASE_ATTEMPTS):
                if self.is_held() and await self.write_release():
                    CHANGES.add(change="released")
                    log.info(f"{self.name} released", fencing=self.fencing)

    async def write_release(self) -> bool:
        """Write a record without a holder; return whether the store holds it."""
        record = replace(self.record, holder="")
        self.expiry_s = float("-inf")
        return await self.write(record)

    # Internal steps.

    def record_duration_s(self) -> float:
        """Return the lease duration that the stored record gives, in seconds."""
        return self.duration_s if self.record is None else self.record.duration_s

    def is_free(self) -> bool:
        """Return whether no other process can hold the lease."""
        has_no_holder = self.record is not None and self.record.holder in (
            "",
            self.holder,
        )
        if has_no_holder and not self.is_of_earlier_era():
            return True
        if self.is_untouched():
            return True
        # A store restored from a backup may have lost the record of a holder that is
        # still active, so a missing record is waited out like an existing one.
        return trio.current_time() - self.version_read_s >= self.record_duration_s()

    def is_untouched(self) -> bool:
        """Return whether nobody has ever held the lease."""
        is_first_era = era_of(self.version) == self.first_era
        is_missing = self.record is None and revision_of(self.version) == 0
        return is_missing and is_first_era and self.is_first_start

    def is_of_earlier_era(self) -> bool:
        """Return whether what the store holds comes from before a restore.

        Another process may have acquired the lease since, and may still hold it.
        """
        if self.record is None:
            return era_of(self.version) > 0 and not self.is_untouched()
        return self.record.era != era_of(self.version)

    def next_fencing(self) -> int:
        """Return the fencing number for the next acquisition."""
        number = max(self.highest_fencing, first_fencing(era_of(self.version))) + 1
        if self.is_of_earlier_era():
            number += self.rng.randrange(MAX_LOST_FENCING)
        return min(number, MAX_FENCING)

    def may_reacquire(self) -> bool:
        """Return whether this process may acquire the lease after another holder.

        If duties move to another node and back quickly, recipients that get late calls
        from both nodes see what looks like two holders at once. The time that expiry
        and shutdown take does not prevent this, because the other holder may release
        the lease at any moment.
        """
        if self.record is None or self.record.fencing == self.fencing:
            return True
        return self.time_s() - self.last_expiry_s >= self.reacquire_delay_s

    async def poll(self) -> None:
        """Read the record from the store."""
        found = await self.store.read(KIND, self.name)
        if isinstance(found, StoredObject):
            record = LeaseRecord.from_value(found.value)
            if record is None:
                self.handle_unreadable(found.version)
            else:
                self.apply_record(found.version, record)
        elif isinstance(found, Missing):
            self.apply_record(found.version, None)

    def apply_record(self, version: int, record: LeaseRecord | None) -> None:
        """Adopt the record that the store holds.

        A record from before a restore lacks what this process has read or written since
        then: notes of its own lease, and decisions to release instances, which are
        never revoked.
        """
        known, version_before = self.record, self.version
        if self.first_era is None:
            # A candidate may read the lease for the first time after a restore.
            first_era = self.first_store_era()
            self.first_era = era_of(version) if first_era is None else first_era
        if version != self.version:
            self.version = version
            self.version_read_s = trio.current_time()
        is_own = record is not None and record.holder == self.holder
        if not is_own or record.fencing < self.fencing:
            self.expiry_s = float("-inf")
        self.record = record
        is_restored = era_of(version) != era_of(version_before)
        if is_restored and known is not None and self.is_of_earlier_era():
            self.record = self.with_known(known)
        if record is not None:
            self.highest_fencing = max(self.highest_fencing, record.fencing)
            self.extend_expiry(record)

    def with_known(self, known: LeaseRecord) -> LeaseRecord | None:
        """Return the record of an earlier era with what a later one has added."""
        record = self.record
        if record is None:
            return None
        added = [name for name in known.leaving if name not in record.leaving]
        notes = known.notes if self.is_held() else record.notes
        return replace(record, leaving=(*record.leaving, *added), notes=notes)

    def handle_unreadable(self, version: int) -> None:
        """Handle a record that another writer has overwritten with unreadable data.

        The holder continues and rewrites the record: nobody else acquires the lease
        before the duration of the holder's last write has passed. For other processes
        the holder is unknown, and they wait as if it had just written. Notes of earlier
        holders are kept, because otherwise usage would be reported a second time.
        """
        if version == self.version:
            return
        log.warning(f"record of {self.name} is unreadable", version=version)
        self.version = version
        self.version_read_s = trio.current_time()
        if self.record is not None and not self.is_held():
            self.record = replace(self.record, holder=UNKNOWN_HOLDER)

    def extend_expiry(self, record: LeaseRecord) -> None:
        """Extend the lease by a write of this process that took effect.

        A write whose response was late or lost took effect some time after it was sent.
        Measured from the response, the lease could seem held after another process has
        acquired it. Measured from before the send, it expires in time, however slow the
        store is.
        """
        sent_s = self.sent_s.get(record.write_id)
        if sent_s is None or record.holder != self.holder:
            return
        if record.fencing < self.fencing:
            return
        expiry_s = sent_s + record.duration_s - self.margin_s
        if not self.safeguards.lease_margin:
            expiry_s = self.time_s() + record.duration_s
        self.fencing = record.fencing
        self.expiry_s = max(self.expiry_s, expiry_s)
        self.last_expiry_s = self.expiry_s

    async def acquire(self) -> None:
        """Acquire the lease under the next fencing number."""
        last = self.record
        has_lost_notes = self.is_of_earlier_era()
        record = LeaseRecord(
            self.holder,
            self.next_fencing(),
            "",
            self.duration_s,
            () if last is None else last.leaving,
            {} if last is None else last.notes,
        )
        self.is_recovering = has_lost_notes
        try:
            is_written = await self.write(record)
        finally:
            self.is_recovering = False
        if is_written:
            self.acquired_s = trio.current_time()
            self.has_lost_notes = has_lost_notes
            has_no_holder = last is not None and last.holder in ("", self.holder)
            self.is_clean_handover = has_no_holder and not has_lost_notes
            CHANGES.add(change="taken")
            log.info(
                f"{self.name} acquired",
                fencing=self.fencing,
                released=self.is_clean_handover,
            )

    async def write(self, record: LeaseRecord) -> bool:
        """Write a record if the store still holds the version last read.

        The write is conditional, so if two processes both find the lease free, only one
        acquires it, and a write that arrives late does not overwrite anything written
        meanwhile. If the response is lost, the record is read back and identified by
        its write id.

        Returns
        -------
        is_written : bool
            Whether the store is confirmed to hold the record.
        """
        self.write_count += 1
        write_id = f"{self.holder}#{self.write_count}"
        leaving = tuple(
            name for name in record.leaving if name not in self.ended_instances
        )
        notes = record.notes | self.current_notes(record.notes)
        era = era_of(self.version)
        record = replace(
            record, write_id=write_id, leaving=leaving, notes=notes, era=era
        )
        self.record_send(write_id)
        outcome = await self.send(record)
        if isinstance(outcome, Written):
            self.apply_record(outcome.version, record)
            return True
        if isinstance(outcome, Conflict) or outcome.maybe_done:
            await self.poll()
        return self.record is not None and self.record.write_id == write_id

    def record_send(self, write_id: str) -> None:
        """Record when a write was sent, for as long as it can extend the lease."""
        now_s = self.time_s()
        recent = now_s - self.duration_s
        self.sent_s = {k: v for k, v in self.sent_s.items() if v > recent}
        self.sent_s[write_id] = now_s

    async def send(self, record: LeaseRecord) -> object:
        """Send one conditional write."""
        if revision_of(self.version) <= 0:
            return await self.store.create(KIND, self.name, record.to_value())
        return await self.store.update(KIND, self.name, record.to_value(), self.version)
