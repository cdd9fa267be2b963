"""Leases by the object API: one holder for a time, and a number that only rises.

A lease is an object that its holder writes again before its time is over. Nobody's
wall clock counts: the holder counts from before it sent the write, a candidate from
after it first read it, so the holder's time ends first.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

import trio

from rosemaryknot.process.configuration_spread import chosen_nodes
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.values.leases import LeaseRecord
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.platform import (
    Conflict,
    Missing,
    ObjectStore,
    StoredObject,
    Written,
)

__all__ = ["KIND", "Lease", "lease_candidates"]

KIND = "leases"
DURATION_S = 10.0
MARGIN_S = 1.5
RENEW_S = 3.0
POLL_S = 3.0
RETRY_S = 0.5
CANDIDATES = 3
RELEASE_TRIES = 2
UNKNOWN_HOLDER = "?"

CHANGES = counter("lease_changes_total", "Leases taken over, given back and lapsed.")

log = logger("leases")


def lease_candidates(
    nodes: Sequence[Node], duty: str, count: int = CANDIDATES
) -> list[Node]:
    """Choose the nodes that may hold a lease; those of different zones come first.

    A whole zone can go at once; candidates in one zone would go together, and
    nobody would be left who looks at the lease.

    Examples
    --------
    >>> nodes = [Node(f"n{i}", zone, 1) for i, zone in enumerate("aaaab")]
    >>> {node.zone for node in lease_candidates(nodes, "placement-x", 2)} == {"a", "b"}
    True
    """
    ranked = chosen_nodes(nodes, duty, len(nodes))
    firsts = list({node.zone: node for node in reversed(ranked)}.values())
    firsts.sort(key=ranked.index)
    return (firsts + [node for node in ranked if node not in firsts])[:count]


class Lease:
    """One process's view of one lease.

    Parameters
    ----------
    store : ObjectStore
        The platform's object API.
    name : str
        Name of the object.
    holder : str
        This process; another one for each incarnation.
    is_candidate : callable
        Tells whether this process should hold the lease where nobody does.
    rng : random.Random
        For jitter.
    safeguards : Safeguards, optional
        Tests may turn ``lease_margin`` off.
    duration_s : float
        Time of a lease, in seconds.
    margin_s : float
        What the holder takes off, for clocks of unequal rates, in seconds.
    suspended_s : callable
        Returns how long the machine was suspended since some moment, in seconds; the
        steady clock does not count that time, and the lease would seem to last.
    fresh_notes : callable
        Of the notes that stand in the store, those of another holder included;
        returns what goes out with each write, so that keeping it costs no call.
    is_heard : callable
        Of a holder; tells whether its node was heard just now. One that was not may
        be gone: the sooner its last write is seen, the sooner its time is over.
    least_s : float
        Least time between two holds of this process with another holder's between
        them, in seconds.
    is_first_start : bool
        Whether the whole system starts for the first time: a missing record means
        then that nobody has held the lease.

    Attributes
    ----------
    record : LeaseRecord or None
        As last read or written; None where there is none.
    fencing : int
        Number of this process's lease, or of its last one.
    acquired_s : float
        When this process took the lease, in trio time.
    is_clean : bool
        Whether no other holder can still be at work: the last one gave the lease
        back, or was this process.
    highest : int
        Highest fencing number known from anywhere.
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
        fresh_notes: Callable[[dict[str, Any]], dict[str, Any]] = dict,
        is_heard: Callable[[str], bool] = lambda holder: True,
        is_first_start: bool = False,
        least_s: float = 0.0,
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
        self.fresh_notes = fresh_notes
        self.is_heard = is_heard
        self.is_first_start = is_first_start
        self.least_s = least_s
        self.record: LeaseRecord | None = None
        self.version = -1
        self.seen_s = float("-inf")
        self.fencing = 0
        self.highest = 0
        self.until_s = float("-inf")
        self.last_until_s = float("-inf")
        self.acquired_s = float("-inf")
        self.is_clean = False
        self.is_ending = False
        self.writes = 0
        self.sent_s: dict[str, float] = {}
        self.gone: set[str] = set()
        self.lock = trio.Lock()

    # What others ask of it.

    def left_s(self) -> float:
        """Return how long this process still holds the lease, in seconds."""
        return self.until_s - self.time_s()

    def time_s(self) -> float:
        """Return trio time with the time in suspension, in seconds."""
        return trio.current_time() + self.suspended_s()

    def is_held(self) -> bool:
        """Tell whether this process holds the lease now; ask before each order."""
        return self.left_s() > 0

    @property
    def leaving(self) -> tuple[str, ...]:
        """Instances that a holder has decided to release."""
        return () if self.record is None else self.record.leaving

    async def note_leaving(self, names: Sequence[str]) -> bool:
        """Write down, for good, that instances are to be released.

        Returns
        -------
        is_written : bool
            Whether it certainly stands in the store, written by the holder.
        """
        async with self.lock:
            if not self.is_held():
                return False
            known = [name for name in self.leaving if name not in names]
            record = replace(self.record, leaving=(*known, *names))
            return await self.write(record)

    @property
    def notes(self) -> dict[str, Any]:
        """What the holders of the duty have left, by name."""
        return {} if self.record is None else self.record.notes

    async def note(self, name: str, value: Any) -> bool:
        """Leave something to the next holder, before this one acts on it.

        Returns
        -------
        is_written : bool
            Whether it certainly stands in the store, written by the holder.
        """
        async with self.lock:
            if not self.is_held():
                return False
            record = replace(self.record, notes=self.notes | {name: value})
            return await self.write(record)

    def forget_leaving(self, name: str) -> None:
        """Leave an instance that the platform has ended out of the next write."""
        self.gone.add(name)

    def note_fencing(self, fencing: int) -> None:
        """Take note of a number that a backend server has seen.

        A higher one than ours is from a later holder, or from before the store was
        restored from a backup. In both cases this process must not go on with its
        own number.
        """
        self.highest = max(self.highest, fencing)
        if fencing > self.fencing and self.is_held():
            self.until_s = float("-inf")
            # No write under the old number may count any more.
            self.sent_s.clear()
            log.warning(f"{self.name} given up: number {fencing} was seen")

    # Its task.

    async def run(self) -> None:
        """Hold the lease, or look whether it is free, until cancelled."""
        while not self.is_ending:
            if self.is_held() or self.is_candidate():
                await self.step()
            await trio.sleep(self.pause_s())

    def pause_s(self) -> float:
        """Return how long to wait before the next step, in seconds."""
        if self.is_held():
            pause_s = min(RENEW_S, self.left_s() / 3) * self.rng.uniform(0.8, 1.0)
            return max(pause_s, RETRY_S)
        pause_s = POLL_S * self.rng.uniform(0.8, 1.2)
        if self.record is None or not self.is_heard(self.record.holder):
            pause_s = RETRY_S
        free_s = self.seen_s + self.lasts_s() - trio.current_time()
        return max(min(pause_s, free_s), RETRY_S) if free_s > 0 else pause_s

    async def step(self) -> None:
        """Renew the lease while it is held, take it when it is free, or look."""
        async with self.lock:
            was_held = self.is_held()
            if was_held:
                await self.write(self.record)
            else:
                await self.look()
                if not self.is_held() and self.is_free() and self.may_return():
                    await self.take()
            if was_held and not self.is_held():
                CHANGES.add(change="lapsed")
                log.warning(f"{self.name} lapsed", fencing=self.fencing)

    async def release(self) -> None:
        """Give the lease back, so that the next holder need not wait."""
        self.is_ending = True
        async with self.lock:
            for _ in range(RELEASE_TRIES):
                if self.is_held() and await self.give_back():
                    CHANGES.add(change="released")
                    log.info(f"{self.name} given back", fencing=self.fencing)

    async def give_back(self) -> bool:
        """Write that nobody holds the lease; tell whether it certainly stands."""
        record = replace(self.record, holder="")
        self.until_s = float("-inf")
        return await self.write(record)

    # Steps.

    def lasts_s(self) -> float:
        """Return how long the record in the store lasts, in seconds."""
        return self.duration_s if self.record is None else self.record.duration_s

    def is_free(self) -> bool:
        """Tell whether no other process can hold the lease."""
        if self.record is not None and self.record.holder in ("", self.holder):
            return True
        if self.record is None and self.version == 0 and self.is_first_start:
            return True
        # A store restored from a backup may have lost the record of a holder that
        # is at work, so a missing record is waited out like a written one.
        return trio.current_time() - self.seen_s >= self.lasts_s()

    def may_return(self) -> bool:
        """Tell whether another holder's time lies far enough behind.

        Duties that go to another node and back look, to those who get late calls of
        both, like two holders at once. How long a lapse and a stop take does not keep
        them apart: the other holder may give the lease back at any moment.
        """
        if self.record is None or self.record.fencing == self.fencing:
            return True
        return self.time_s() - self.last_until_s >= self.least_s

    async def look(self) -> None:
        """Read the record."""
        found = await self.store.read(KIND, self.name)
        if isinstance(found, StoredObject):
            record = LeaseRecord.from_value(found.value)
            if record is None:
                self.note_unreadable(found.version)
            else:
                self.take_note(found.version, record)
        elif isinstance(found, Missing):
            self.take_note(0, None)

    def take_note(self, version: int, record: LeaseRecord | None) -> None:
        """Take over what the store holds."""
        if version != self.version:
            self.version = version
            self.seen_s = trio.current_time()
        self.record = record
        if record is None or record.holder != self.holder:
            self.until_s = float("-inf")
        if record is not None:
            self.highest = max(self.highest, record.fencing)
            self.credit(record)

    def note_unreadable(self, version: int) -> None:
        """Take note that another writer has overwritten the record.

        Its holder goes on and writes it anew: nobody else takes the lease before the
        time of the holder's last write is over. For the others the holder is unknown,
        and they wait as for one that has just written. What holders have left is kept,
        or usage would be told a second time.
        """
        if version == self.version:
            return
        log.warning(f"record of {self.name} cannot be read", version=version)
        self.version = version
        self.seen_s = trio.current_time()
        if self.record is not None and not self.is_held():
            self.record = replace(self.record, holder=UNKNOWN_HOLDER)

    def credit(self, record: LeaseRecord) -> None:
        """Count the time of a write of ours that took effect.

        A write whose answer came late, or never, took effect some time after it was
        sent. Counting from the answer would let this process believe in a lease
        that another has taken over since; from before the send it ends in time,
        however slow the store is.
        """
        sent_s = self.sent_s.get(record.write_id)
        if sent_s is None or record.holder != self.holder:
            return
        until_s = sent_s + record.duration_s - self.margin_s
        if not self.safeguards.lease_margin:
            until_s = self.time_s() + record.duration_s
        self.fencing = record.fencing
        self.until_s = max(self.until_s, until_s)
        self.last_until_s = self.until_s

    async def take(self) -> None:
        """Take the lease over under the next fencing number."""
        last = self.record
        record = LeaseRecord(
            self.holder,
            self.highest + 1,
            "",
            self.duration_s,
            () if last is None else last.leaving,
            {} if last is None else last.notes,
        )
        if await self.write(record):
            self.acquired_s = trio.current_time()
            self.is_clean = last is not None and last.holder in ("", self.holder)
            CHANGES.add(change="taken")
            log.info(f"{self.name} taken", fencing=self.fencing, released=self.is_clean)

    async def write(self, record: LeaseRecord) -> bool:
        """Write a record where the store still holds the one we know.

        The write is conditional, so of two processes that both find the lease free
        one gets it, and a write that lands late changes nothing that was written
        meanwhile. Where its answer is lost, the record is read back and known by
        its write id.

        Returns
        -------
        is_written : bool
            Whether the store certainly holds it.
        """
        self.writes += 1
        write_id = f"{self.holder}#{self.writes}"
        leaving = tuple(name for name in record.leaving if name not in self.gone)
        notes = record.notes | self.fresh_notes(record.notes)
        record = replace(record, write_id=write_id, leaving=leaving, notes=notes)
        self.remember_send(write_id)
        outcome = await self.send(record)
        if isinstance(outcome, Written):
            self.take_note(outcome.version, record)
            return True
        if isinstance(outcome, Conflict) or outcome.maybe_done:
            await self.look()
        return self.record is not None and self.record.write_id == write_id

    def remember_send(self, write_id: str) -> None:
        """Remember when a write was sent, for as long as it can matter."""
        now_s = self.time_s()
        recent = now_s - self.duration_s
        self.sent_s = {k: v for k, v in self.sent_s.items() if v > recent}
        self.sent_s[write_id] = now_s

    async def send(self, record: LeaseRecord) -> object:
        """Send one conditional write."""
        if self.version <= 0:
            return await self.store.create(KIND, self.name, record.to_value())
        return await self.store.update(KIND, self.name, record.to_value(), self.version)
