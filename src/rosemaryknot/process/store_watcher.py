"""Watches one kind of object in the store: lists it, then reads its changes."""

import random
from collections.abc import Callable

import trio

from rosemaryknot.process.background_tasks import BackgroundTasks
from rosemaryknot.process.list_reader import ListReader
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.platform import (
    OUTDATED,
    TIMEOUT,
    Listed,
    ListPage,
    ObjectChanged,
    PlatformFailed,
)
from rosemaryknot.values.store_changes import Changes, ChangeSource, HistoryExpired
from rosemaryknot.values.store_revisions import era_of, revision_of

__all__ = ["StoreWatcher"]

# How long the store holds a request while there are no changes. A watch that went
# silent is replaced after this time plus the timeout of the call; changes that peers
# forward arrive earlier.
LONG_POLL_S = 5.0
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
# Minimum time between two resynchronizations that reports of other nodes trigger; equal
# to the timeout of a call.
RESYNC_INTERVAL_S = 2.0
# While the store is unreachable it is polled without waiting, so that its return is
# seen immediately. A node that others forward changes to does the same to fetch what
# it missed.
SHORT_POLL_S = 0.0
# How long a node watches the store itself after forwarded changes have proved
# incomplete: as long as a call of a watching node may take to show that the store is
# unreachable from there.
OWN_WATCH_S = LONG_POLL_S + 2.0
# After a restore of the store all nodes list the objects. Those that watch spread their
# lists over this time; the others wait for a list that is forwarded to them first, as
# hundreds of lists at once exceed the rate of the store.
RESTORE_SPREAD_S = 0.2
FORWARDED_LIST_TIMEOUT_S = 0.8
# Within this time after a restore, live servers have written again what was lost.
REWRITE_TIMEOUT_S = 2.0
# How long a decision waits for the store to confirm what is known; its responses take
# some milliseconds, and hundreds under load.
CONFIRM_TIMEOUT_S = 0.5
# Failed calls in a row after which nothing waits for the store any more.
MAX_CONFIRM_FAILURES = 1
# How often a node that others forward changes to checks whether it must watch itself.
WATCH_CHECK_INTERVAL_S = 0.25

CALLS = counter("store_calls_total", "Calls to the store by kind and outcome.")

log = logger("store")


class StoreWatcher:
    """Keeps the local state of one kind of object current.

    Parameters
    ----------
    store : ChangeSource
        The store.
    kind : str
        Kind of the objects.
    on_list : callable
        Called with each list.
    on_change : callable
        Called with each change.
    rng : random.Random
        For jitter of the backoff.
    is_single : bool
        Whether the kind has a single object, so that a list is never larger than the
        changes.

    Attributes
    ----------
    revision : int
        Revision up to which all changes are known, with the era of the store; -1 before
        the first list.
    seen : int
        Revision of the newest change that was applied.
    call_started_s : float
        When the pending call to the store started; infinite if there is none.
    own_watch_deadline_s : float
        Until when this node watches the store itself, whatever others forward.
    should_watch : callable
        Returns whether this node watches the store itself; if not, other nodes forward
        the changes to it.
    on_applied : callable
        Called with the previous revision and the changes, after changes from the store
        were applied.
    on_listed : callable
        Called with the previous revision after a list from the store was applied.
    on_era_adopted : callable
        Called with the era of the store after a list of another node was applied that
        belongs to another era.
    must_list : bool
        Whether the next step lists the objects.
    list_due_s : float
        When the objects are listed after a restore of the store, in trio time; infinite
        unless a restore is known.
    is_expired : bool
        Whether the store no longer has the history that this node knows, which a list
        has yet to replace.
    fruitless : int
        Number of consecutive responses that brought nothing new sooner than expected.
    reached_since_s : float
        Since when the store has been reached without a failure, in trio time; infinite
        while it is not.
    restored_s : float
        When this node began to follow the history of a restored store, in trio time.
    queries_begun : int
        Number of queries beside the pending call that have begun.
    ended_query, confirmed_query : int
        The last of them that has ended, and that the store has answered.
    query_ended : trio.Event
        Set and replaced with the end of each.
    agreed_s : float
        When another node last reported that it knows of no change that is missing
        here, in trio time.
    known_at_s : float
        Latest time up to which all changes are certainly known, in trio time: that of
        the last response, or of the last changes that another node forwarded.
    """

    def __init__(
        self,
        store: ChangeSource,
        kind: str,
        on_list: Callable[[Listed], None],
        on_change: Callable[[ObjectChanged], None],
        rng: random.Random,
        is_single: bool = False,
    ) -> None:
        self.store = store
        self.kind = kind
        self.list_reader = ListReader(store, kind, self.apply_page)
        self.on_list = on_list
        self.on_change = on_change
        self.rng = rng
        self.is_single = is_single
        self.revision = -1
        self.seen = -1
        self.last_resync_s = float("-inf")
        self.failures = 0
        self.is_resynchronizing = False
        self.tasks = BackgroundTasks()
        self.call_started_s = float("inf")
        self.own_watch_deadline_s = float("-inf")
        self.should_watch: Callable[[], bool] = lambda: True
        self.on_applied: Callable[[int, Changes], None] = lambda before, changes: None
        self.on_listed: Callable[[int], None] = lambda before: None
        self.on_era_adopted: Callable[[int], None] = lambda era: None
        self.must_list = False
        self.list_due_s = float("inf")
        self.is_expired = False
        self.fruitless = 0
        self.reached_since_s = float("inf")
        self.known_at_s = self.agreed_s = float("-inf")
        self.restored_s = float("-inf")
        self.scope = trio.CancelScope()
        self.queries_begun = self.ended_query = self.confirmed_query = 0
        self.query_ended = trio.Event()

    async def run(self) -> None:
        """Watch until cancelled."""
        async with self.tasks.open():
            while True:
                with trio.CancelScope() as self.scope:
                    await self.step()

    def resync(self, reason: str) -> None:
        """Query the store immediately, because another node has newer changes.

        A watch whose connection state the network has lost stays silent, and the node
        would keep an old state until the wait is over. The pending call is replaced
        only after the query has succeeded: its response may have arrived already, and a
        node that is late would otherwise give up each call before its response. For
        some time after, this node watches the store itself, or the next change would be
        delayed by the interval.
        """
        now_s = trio.current_time()
        self.own_watch_deadline_s = now_s + OWN_WATCH_S
        is_too_soon = now_s - self.last_resync_s < RESYNC_INTERVAL_S
        if is_too_soon or not self.start_query():
            return
        self.last_resync_s = now_s
        log.info(
            "resynchronizing", kind=self.kind, reason=reason, revision=self.revision
        )

    def start_query(self) -> bool:
        """Start a query beside the pending call; return whether it has begun."""
        if self.is_resynchronizing or self.revision < 0:
            return False
        if not self.tasks.start_soon(self.query_again):
            return False
        self.is_resynchronizing = True
        self.queries_begun += 1
        return True

    async def confirm(self) -> bool:
        """Ask the store for all changes up to now; return whether it has answered.

        While a watch is silent, what is known grows older without an error. The
        response to a query that begins now holds all changes that have had an effect
        anywhere before. Its callers share a query; one that had begun before a caller
        came proves nothing to it.
        """
        if self.failures > MAX_CONFIRM_FAILURES:
            return False
        begun = self.queries_begun
        with trio.move_on_after(CONFIRM_TIMEOUT_S):
            while self.ended_query <= begun:
                if not self.is_resynchronizing and not self.start_query():
                    return False
                await self.query_ended.wait()
        return self.confirmed_query > begun

    async def query_again(self) -> None:
        """Query the store beside the pending call, and replace that call then."""
        number = self.queries_begun
        try:
            if await self.query():
                self.confirmed_query = number
        finally:
            self.is_resynchronizing = False
            self.ended_query = number
            self.query_ended.set()
            self.query_ended = trio.Event()

    async def query(self) -> bool:
        """Query the store; return whether all changes up to now are known."""
        if self.is_single:
            outcome = await ListReader(self.store, self.kind).read()
        else:
            outcome = await self.store.changes(self.kind, self.revision, SHORT_POLL_S)
        if isinstance(outcome, PlatformFailed):
            CALLS.add(kind=self.kind, outcome=outcome.reason)
            log.warning(
                "resynchronization failed", kind=self.kind, reason=outcome.reason
            )
            return False
        is_complete = True
        if isinstance(outcome, Changes):
            self.apply_store_changes(outcome)
        elif isinstance(outcome, Listed) and self.is_successor(outcome):
            self.record_success()
            self.apply_list(outcome)
        else:
            # The next call lists the objects, and finds out whether history has ended.
            self.must_list, is_complete = True, False
        self.scope.cancel()
        return is_complete

    def is_successor(self, listed: Listed) -> bool:
        """Return whether a list belongs to the known history and is not older."""
        is_same_era = era_of(listed.version) == era_of(self.revision)
        return is_same_era and listed.version >= self.revision

    def apply_list(self, listed: Listed) -> None:
        """Apply a list that follows what is known."""
        before = self.revision
        self.on_list(listed)
        self.revision = listed.version
        found = [entry.version for entry in listed.objects.values()]
        self.seen = max([self.seen, *found])
        self.on_listed(before)

    def record_era(self, era: int) -> None:
        """List the objects soon, as the store has begun another era.

        A pending watch waits in a history that has ended, and may do so in silence.
        """
        if self.revision < 0 or era == era_of(self.revision):
            return
        if era < era_of(self.revision):
            # The store counts its eras anew, so that nothing known compares to them.
            self.revision = self.seen = -1
        self.list_soon()

    def record_peer_seen(self, revision: int) -> None:
        """Record the newest change that a node knows which reaches the store."""
        if revision <= self.revision:
            self.agreed_s = trio.current_time()

    def witnessed_s(self) -> float:
        """Return when the store or a node last showed that nothing is missing here."""
        return max(self.known_at_s, self.agreed_s)

    def record_peer_era(self, era: int) -> None:
        """List the objects soon, as another node knows a later era of the store."""
        now_s = trio.current_time()
        is_due = now_s - self.last_resync_s >= RESYNC_INTERVAL_S
        if 0 <= self.revision and era_of(self.revision) < era and is_due:
            self.last_resync_s = now_s
            self.list_soon()

    def list_soon(self) -> None:
        """List the objects after a delay that differs between nodes."""
        spread_s = self.rng.uniform(0.0, RESTORE_SPREAD_S)
        if not self.should_watch():
            spread_s += FORWARDED_LIST_TIMEOUT_S
        due_s = trio.current_time() + spread_s
        if due_s < self.list_due_s:
            self.list_due_s = due_s
            self.scope.cancel()

    def adopt_list(self, listed: Listed) -> None:
        """Apply a list that another node has received from the store."""
        is_same_era = era_of(listed.version) == era_of(self.revision)
        before = self.revision
        self.on_list(listed)
        self.revision = listed.version
        self.seen = max(self.seen, listed.version)
        if not is_same_era:
            self.list_due_s = float("inf")
            self.is_expired = False
            self.log_restored(before)
            self.on_era_adopted(era_of(listed.version))
            self.scope.cancel()

    def has_call_since_before(self, moment_s: float) -> bool:
        """Return whether a call that started before a time is still pending."""
        return self.call_started_s < moment_s

    async def step(self) -> None:
        """List the objects, or wait for changes, and apply the result."""
        if self.list_due_s < float("inf"):
            await trio.sleep(max(0.0, self.list_due_s - trio.current_time()))
            self.list_due_s = float("inf")
            self.is_expired = True
        if self.revision < 0 or self.must_list or self.is_expired:
            await self.list_all()
            return
        is_watching = (
            self.should_watch() or trio.current_time() < self.own_watch_deadline_s
        )
        if not is_watching and not self.failures:
            await trio.sleep(WATCH_CHECK_INTERVAL_S)
            return
        wait_s = LONG_POLL_S if is_watching and not self.failures else SHORT_POLL_S
        self.call_started_s = started_s = trio.current_time()
        try:
            outcome = await self.store.changes(self.kind, self.revision, wait_s)
        finally:
            self.call_started_s = float("inf")
        if isinstance(outcome, PlatformFailed):
            # Changes that a slow link could not deliver within the timeout of the call
            # only grow in number; a list does not.
            self.must_list = self.is_single and outcome.reason == TIMEOUT
            await self.record_failure(outcome)
        elif isinstance(outcome, HistoryExpired):
            log.info(
                "change history expired, listing again",
                kind=self.kind,
                era=era_of(self.revision),
                revision=revision_of(self.revision),
            )
            self.is_expired = True
            await self.list_all()
        else:
            self.apply_store_changes(outcome)
            took_s = trio.current_time() - started_s
            if outcome.events or took_s >= wait_s / 2:
                self.fruitless = 0
            else:
                await self.back_off_fruitless()

    def apply_store_changes(self, changes: Changes) -> None:
        """Apply changes that the store returned."""
        self.record_success()
        before = self.revision
        self.apply(changes)
        if changes.events:
            self.on_applied(before, changes)
        # While an object is written faster than its versions can be read, each response
        # holds more of them than the previous one; a list holds only the newest.
        self.must_list = self.is_single and len(changes.events) > 1

    def apply_forwarded(self, before: int, changes: Changes) -> None:
        """Apply changes after a revision that another node received from the store.

        If changes before them are missing here, they are still newer than all that is
        known and take effect immediately. The response to the next call brings them
        again, together with the missing ones.
        """
        if self.revision < 0 or era_of(changes.revision) < era_of(self.revision):
            return
        if before > self.revision:
            for change in changes.events:
                self.on_change(change)
            self.resync(f"changes from {revision_of(before)} on were forwarded")
            self.record_peer_era(era_of(before))
            return
        self.apply(changes)
        self.known_at_s = trio.current_time()

    def advance_to(self, revision: int) -> None:
        """Advance to a revision up to which all relevant changes are known.

        A revision of another era says nothing about this one.
        """
        if self.revision >= 0 and era_of(revision) == era_of(self.revision):
            self.revision = max(self.revision, revision)
            self.seen = max(self.seen, revision)

    def apply(self, changes: Changes) -> None:
        """Apply changes in their order, and skip those that are already known.

        Nodes forward changes to each other while a response of the store is in transit.
        Without the check, an entry that this response still holds, and whose deletion
        was forwarded meanwhile, would be restored permanently.
        """
        for change in changes.events:
            if change.version > self.revision:
                self.on_change(change)
                self.seen = max(self.seen, change.version)
        self.revision = max(self.revision, changes.revision)

    async def list_all(self) -> None:
        """List the objects and apply the list."""
        listed = await self.list_reader.read()
        if isinstance(listed, PlatformFailed):
            await self.record_failure(listed)
            return
        before, was_expired = self.revision, self.is_expired
        is_same_era = era_of(listed.version) == era_of(before)
        # A store that states no era shows only by an expired history that it may return
        # to an earlier revision.
        if listed.version < before and not (was_expired and is_same_era):
            log.warning(
                "outdated list ignored",
                kind=self.kind,
                era=era_of(listed.version),
                at=revision_of(listed.version),
                known_era=era_of(before),
                revision=revision_of(before),
            )
            await self.record_failure(PlatformFailed(OUTDATED))
            return
        self.record_success()
        self.must_list = self.is_expired = False
        self.on_list(listed)
        self.revision = listed.version
        is_restored = listed.version < before or not is_same_era
        found = [entry.version for entry in listed.objects.values()]
        self.seen = max([-1 if is_restored else self.seen, *found])
        if is_restored and before >= 0:
            self.log_restored(before)
        self.on_listed(before)
        if was_expired:
            await self.back_off_fruitless()

    def apply_page(self, page: ListPage) -> None:
        """Apply the objects of a page as changes, before the rest of the list is there.

        What is missing from a page says nothing. After a restore of the store, only the
        complete list shows which objects it has lost.
        """
        if 0 <= self.revision and era_of(page.version) != era_of(self.revision):
            return
        if page.next_after is None:
            return
        for name, found in page.objects.items():
            if found.version > self.revision:
                self.on_change(ObjectChanged(name, found.version, found.value))

    def log_restored(self, before: int) -> None:
        """Log that this node follows another history of the store from now on."""
        self.restored_s = trio.current_time()
        log.warning(
            "following the history of a restored store",
            kind=self.kind,
            era=era_of(self.revision),
            before=era_of(before),
            revision=revision_of(self.revision),
            revision_before=revision_of(before),
        )

    async def back_off_fruitless(self) -> None:
        """Wait before the next call if calls in a row bring nothing to wait for.

        The first may be repeated at once: it shows that a history has ended.
        """
        self.fruitless += 1
        if self.fruitless > 1:
            await trio.sleep(backoff_s(self.fruitless - 1) * self.rng.uniform(0.5, 1.0))

    def is_unreachable(self) -> bool:
        """Return whether the store is currently unreachable."""
        return self.failures > 0 or self.revision < 0

    def current_since_s(self) -> float:
        """Return since when all objects are known, in trio time; infinite if not.

        Entries of a copy may be older than what their servers wrote.
        """
        rewritten_s = self.restored_s + REWRITE_TIMEOUT_S
        if trio.current_time() < rewritten_s:
            return float("inf")
        return max(self.reached_since_s, rewritten_s)

    def record_success(self) -> None:
        """Count a successful call."""
        CALLS.add(kind=self.kind, outcome="ok")
        self.known_at_s = trio.current_time()
        self.reached_since_s = min(self.reached_since_s, self.known_at_s)
        if self.failures:
            log.info("store reachable again", kind=self.kind, failures=self.failures)
            self.failures = 0

    async def record_failure(self, failed: PlatformFailed) -> None:
        """Count a failed call and back off."""
        CALLS.add(kind=self.kind, outcome=failed.reason)
        self.failures += 1
        self.reached_since_s = float("inf")
        if self.failures == 1:
            log.warning("store unreachable", kind=self.kind, reason=failed.reason)
        await trio.sleep(backoff_s(self.failures) * self.rng.uniform(0.5, 1.0))


def backoff_s(count: int) -> float:
    """Return the maximum time to wait after a number of calls in vain, in seconds."""
    return min(MIN_BACKOFF_S * 2 ** min(count - 1, 5), MAX_BACKOFF_S)
