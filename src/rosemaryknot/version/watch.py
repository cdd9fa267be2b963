"""Watch on the stored configuration, held by a few nodes of each zone."""

import random
from typing import Any

import trio

from rosemaryknot.process.configuration_distributor import (
    ConfigurationDistributor,
    select_nodes,
)
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import gauge
from rosemaryknot.version.store import KIND, NAME, ConfigurationStore
from rosemaryknot.version.stored import StoredConfiguration, parse_stored
from rosemaryknot.version.submission import DamagedObject

__all__ = ["ConfigurationWatcher"]

WATCHERS_PER_ZONE = 3
POLL_INTERVAL_S = 2.0
SELECTION_INTERVAL_S = 1.0
WATCH_RENEWAL_S = 60.0
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0

ROLLED_BACK = gauge(
    "configuration_store_rolled_back",
    "1 while the store holds an older configuration than the one in force.",
)
DAMAGED = gauge(
    "configuration_store_damaged",
    "1 while the store's object is no configuration.",
)

log = logger("configuration")


class ConfigurationWatcher:
    """Applies new versions from the store if this node is selected as a watcher.

    Up to `WATCHERS_PER_ZONE` nodes of each zone hold a watch. The first of them also
    polls the object, since a watch can lose an event without an error.

    Parameters
    ----------
    store : ConfigurationStore
        Store of the configuration, with the holder of the current version.
    distributor : ConfigurationDistributor
        Distributor that queries the peers before the store is read.
    rng : random.Random, optional
        Random source for jitter.

    Attributes
    ----------
    is_rolled_back : bool
        Whether the last read returned an older version than the current one.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        distributor: ConfigurationDistributor,
        rng: random.Random | None = None,
    ) -> None:
        self.store = store
        self.distributor = distributor
        self.holder = store.holder
        self.rng = random.Random() if rng is None else rng
        self.is_rolled_back = False

    async def run(self) -> None:
        """Watch until cancelled, after the peers have been queried."""
        await self.distributor.peers_queried.wait()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch)
            nursery.start_soon(self.poll)

    def watcher_index(self) -> int:
        """Return this node's index in its zone's order of watchers; 0 also polls."""
        node = self.distributor.node
        zone = [n for n in self.distributor.peers.nodes() if n.zone == node.zone]
        names = [n.name for n in select_nodes([*zone, node], KIND, len(zone) + 1)]
        return names.index(node.name)

    async def watch(self) -> None:
        """Hold a watch while selected, and replace it when it ends."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            if self.watcher_index() >= WATCHERS_PER_ZONE:
                await trio.sleep(SELECTION_INTERVAL_S)
                continue
            event_count = await self.watch_once()
            backoff_s = (
                INITIAL_BACKOFF_S if event_count else min(2 * backoff_s, MAX_BACKOFF_S)
            )
            await trio.sleep(backoff_s * self.rng.uniform(0.5, 1.0))

    async def watch_once(self) -> int:
        """Hold one watch until it ends, and return the number of events received.

        A silent watch ends by its idle timeout. Each new watch starts with a list of
        all objects, so events that the previous one missed do not matter.
        """
        event_count = 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.end_watch, nursery.cancel_scope)
            async with self.store.platform.watch(KIND) as watch:
                async for change in watch:
                    event_count += 1
                    if change.name == NAME and change.value is not None:
                        self.apply_stored(change.value, change.version)
                if watch.ended:
                    log.info(f"configuration watch ended: {watch.ended}")
            nursery.cancel_scope.cancel()
        return event_count

    async def end_watch(self, scope: trio.CancelScope) -> None:
        """End the watch when it is due for renewal or this node is no longer selected.

        When a zone starts, no node knows its peers yet and every node selects itself.
        Without this check all of them would keep their watches, and each watch counts
        as a call to the platform.
        """
        renewal_s = trio.current_time() + WATCH_RENEWAL_S * self.rng.uniform(0.8, 1.2)
        while (
            trio.current_time() < renewal_s and self.watcher_index() < WATCHERS_PER_ZONE
        ):
            await trio.sleep(SELECTION_INTERVAL_S)
        scope.cancel()

    def apply_stored(self, value: Any, version: int) -> None:
        """Apply a version from the watch if it is newer than the current one."""
        stored = parse_stored(value, version)
        DAMAGED.set(int(stored is None))
        if stored is not None:
            self.holder.apply_push(stored.push, "store")
        else:
            log.error("stored object is not a valid configuration; ignored")

    async def poll(self) -> None:
        """Poll the object while this node is the first watcher of its zone."""
        while True:
            if self.watcher_index() == 0 or self.holder.view is None:
                await self.poll_once()
            await trio.sleep(POLL_INTERVAL_S * self.rng.uniform(0.8, 1.2))

    async def poll_once(self) -> None:
        """Read the object, apply a newer version and record an older one."""
        # The response must include the version that was current before the read was
        # sent. A version that a peer sends meanwhile does not indicate a rollback.
        number_before = self.holder.number
        stored = await self.store.read()
        if isinstance(stored, DamagedObject):
            DAMAGED.set(1)
            log.error("stored object is not a valid configuration; ignored")
        if not isinstance(stored, StoredConfiguration):
            return
        DAMAGED.set(0)
        self.record_rollback(stored.number, number_before)
        if stored.number:
            self.holder.apply_push(stored.push, "store")

    def record_rollback(self, stored: int, number_before: int) -> None:
        """Raise or clear the alarm for a store with an older version than before."""
        was_active, self.is_rolled_back = self.is_rolled_back, stored < number_before
        ROLLED_BACK.set(int(self.is_rolled_back))
        if self.is_rolled_back and not was_active:
            log.error(
                f"store rolled back to configuration {stored};"
                f" configuration {number_before} stays active"
            )
        if was_active and not self.is_rolled_back:
            log.info(f"rollback of the store resolved: it holds configuration {stored}")
