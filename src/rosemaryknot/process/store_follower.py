"""Follows one kind of object in the store: a list, then its changes, for ever."""

import random
from collections.abc import Callable

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.platform import (
    TIMEOUT,
    Listed,
    ObjectChanged,
    PlatformFailed,
)
from rosemaryknot.values.store_changes import Changes, ChangeSource, HistoryGone

__all__ = ["StoreFollower"]

# How long the store holds an answer without changes. A watch that went silent is
# replaced after this and the call's own bound; peers tell of changes before.
WAIT_S = 5.0
RETRY_S = 0.1
MAX_RETRY_S = 0.8
# Between two questions that other nodes' reports call for; a call's own bound.
NUDGE_PAUSE_S = 2.0
# While the store is lost it is asked without a wait, so that its return shows at once.
# So does a node that others tell of changes, when it asks for what it has missed.
NO_WAIT_S = 0.0
# How long a node watches for itself after the word of others has failed it: as long as
# a call of a watching node may take to show that it has lost the store.
OWN_WATCH_S = WAIT_S + 2.0
# How often a node that is told of changes looks whether it has to watch again.
REST_S = 0.25

CALLS = counter("store_calls_total", "Calls to the store by kind and outcome.")

log = logger("store")


class StoreFollower:
    """Keeps a kind of object known.

    Parameters
    ----------
    store : ChangeSource
        The store.
    kind : str
        Kind of the objects.
    on_list : callable
        Called with a list.
    on_change : callable
        Called with a change.
    rng : random.Random
        Spreads tries.
    is_single : bool
        Whether one object counts, whose list is never larger than its changes.

    Attributes
    ----------
    revision : int
        Up to which changes are known; -1 before the first list.
    seen : int
        Revision of the newest change that was taken over.
    asked_s : float
        Since when the store has been waited for; infinite where it is not.
    own_until_s : float
        Until when this node watches the store itself whatever others tell.
    watches : callable
        Tells whether this node watches the store itself; others tell it otherwise.
    on_taken : callable
        Called with the revision before and the changes, after the store told them.
    on_listed : callable
        Called after a list of the store was taken over.
    lists_next : bool
        Whether the next answer is to be a list.
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
        self.on_list = on_list
        self.on_change = on_change
        self.rng = rng
        self.is_single = is_single
        self.revision = -1
        self.seen = -1
        self.nudged_s = float("-inf")
        self.failures = 0
        self.is_asked = False
        self.asked_s = float("inf")
        self.own_until_s = float("-inf")
        self.watches: Callable[[], bool] = lambda: True
        self.on_taken: Callable[[int, Changes], None] = lambda before, changes: None
        self.on_listed: Callable[[], None] = lambda: None
        self.lists_next = False
        self.scope = trio.CancelScope()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            with trio.CancelScope() as self.scope:
                await self.step()

    def look_again(self, reason: str) -> None:
        """Ask the store at once: another node knows something newer than this one.

        A watch that the network has lost track of says nothing for good, and its
        node would go on with an old state until the wait is over. Asked again no
        sooner than a call may take, or no call would ever end. Until then and some time
        more this node watches for itself, or the next change would wait for the pause.
        """
        now_s = trio.current_time()
        self.own_until_s = now_s + OWN_WATCH_S
        if now_s - self.nudged_s < NUDGE_PAUSE_S:
            return
        self.nudged_s = now_s
        self.is_asked = True
        self.lists_next = self.is_single
        log.info("looks again", kind=self.kind, reason=reason, revision=self.revision)
        self.scope.cancel()

    def waits_since_before(self, at_s: float) -> bool:
        """Tell whether the store was asked before a time and has not answered."""
        return self.asked_s < at_s

    async def step(self) -> None:
        """List, or wait for changes; then take them over."""
        if self.revision < 0 or self.lists_next:
            await self.list_all()
            return
        watches = self.watches() or trio.current_time() < self.own_until_s
        if not watches and not self.failures and not self.is_asked:
            await trio.sleep(REST_S)
            return
        self.is_asked = False
        wait_s = WAIT_S if watches and not self.failures else NO_WAIT_S
        self.asked_s = trio.current_time()
        try:
            outcome = await self.store.changes(self.kind, self.revision, wait_s)
        finally:
            self.asked_s = float("inf")
        if isinstance(outcome, PlatformFailed):
            # Changes that a slow link did not bring within the call's bound only
            # become more; a list does not.
            self.lists_next = self.is_single and outcome.reason == TIMEOUT
            await self.record_failure(outcome)
        elif isinstance(outcome, HistoryGone):
            log.info("history gone, listing again", kind=self.kind)
            await self.list_all()
        else:
            self.take_changes(outcome)

    def take_changes(self, changes: Changes) -> None:
        """Take over what the store tells."""
        self.record_success()
        before = self.revision
        self.apply(changes)
        if changes.events:
            self.on_taken(before, changes)
        # While an object is written faster than its versions can be read, each answer
        # holds more of them than the one before; a list holds only the newest.
        self.lists_next = self.is_single and len(changes.events) > 1

    def take_told(self, before: int, changes: Changes) -> None:
        """Take over what another node was told by the store, from a revision on.

        Behind a gap the changes are newer than all that is known here and count at
        once; the answer to the next call brings them again with what is missing.
        """
        if self.revision < 0:
            return
        if before > self.revision:
            for change in changes.events:
                self.on_change(change)
            self.look_again(f"changes from {before} on were told")
            return
        self.apply(changes)

    def pass_to(self, revision: int) -> None:
        """Continue from a revision up to which all that matters is known."""
        if self.revision >= 0:
            self.revision = max(self.revision, revision)
            self.seen = max(self.seen, revision)

    def apply(self, changes: Changes) -> None:
        """Take over changes in their order, those that are known already left out.

        Nodes tell each other of changes while an answer of the store is on its way.
        An entry that this answer still holds, and whose deletion was told meanwhile,
        would come back for good.
        """
        for change in changes.events:
            if change.version > self.revision:
                self.on_change(change)
                self.seen = max(self.seen, change.version)
        self.revision = max(self.revision, changes.revision)

    async def list_all(self) -> None:
        """Take over a list."""
        listed = await self.store.list_objects(self.kind)
        if isinstance(listed, PlatformFailed):
            await self.record_failure(listed)
            return
        self.record_success()
        self.lists_next = False
        if listed.version < self.revision:
            log.warning("older list left alone", kind=self.kind, at=listed.version)
            return
        self.on_list(listed)
        self.revision = listed.version
        found = [entry.version for entry in listed.objects.values()]
        self.seen = max([self.seen, *found])
        self.on_listed()

    def is_lost(self) -> bool:
        """Tell whether the store does not answer at the moment."""
        return self.failures > 0 or self.revision < 0

    def record_success(self) -> None:
        """Count an answer."""
        CALLS.add(kind=self.kind, outcome="ok")
        if self.failures:
            log.info("store regained", kind=self.kind, failures=self.failures)
            self.failures = 0

    async def record_failure(self, failed: PlatformFailed) -> None:
        """Count a failure and wait a little."""
        CALLS.add(kind=self.kind, outcome=failed.reason)
        self.failures += 1
        if self.failures == 1:
            log.warning("store lost", kind=self.kind, reason=failed.reason)
        pause_s = min(RETRY_S * 2 ** min(self.failures - 1, 5), MAX_RETRY_S)
        await trio.sleep(pause_s * self.rng.uniform(0.5, 1.0))
