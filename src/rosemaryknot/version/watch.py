"""Watch of the stored configuration by a few nodes of each zone."""

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
from rosemaryknot.version.stored import StoredConfiguration, read_stored
from rosemaryknot.version.submission import DamagedObject

__all__ = ["ConfigurationWatcher"]

WATCHERS = 3
POLL_S = 2.0
CHOICE_S = 1.0
RENEWAL_S = 60.0
FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 2.0

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
    """Takes new versions from the store where this node is chosen to.

    Some nodes of each zone hold a watch; the first of them also reads the object
    now and then, since a watch can lose an event without a sign.

    Parameters
    ----------
    store : ConfigurationStore
        The store, with the holder.
    distributor : ConfigurationDistributor
        Exchange with the peers, which is asked before the store.
    rng : random.Random, optional
        Source of jitter.

    Attributes
    ----------
    is_rolled_back : bool
        Whether the store was last seen with an older version than ours.
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
        """Watch until cancelled, once the peers were asked."""
        await self.distributor.peers_queried.wait()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch)
            nursery.start_soon(self.poll)

    def rank(self) -> int:
        """Return this node's place among its zone's watchers; 0 polls as well."""
        node = self.distributor.node
        zone = [n for n in self.distributor.peers.nodes() if n.zone == node.zone]
        names = [n.name for n in select_nodes([*zone, node], KIND, len(zone) + 1)]
        return names.index(node.name)

    async def watch(self) -> None:
        """Hold a watch while chosen, and replace it when it ends."""
        pause_s = FIRST_PAUSE_S
        while True:
            if self.rank() >= WATCHERS:
                await trio.sleep(CHOICE_S)
                continue
            heard = await self.watch_once()
            pause_s = FIRST_PAUSE_S if heard else min(2 * pause_s, LONGEST_PAUSE_S)
            await trio.sleep(pause_s * self.rng.uniform(0.5, 1.0))

    async def watch_once(self) -> int:
        """Follow one watch to its end; return how many changes it told of.

        A watch that goes silent ends by its idle bound. Each new one starts with a
        list, so it does not matter what the old one missed.
        """
        heard = 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.end_watch, nursery.cancel_scope)
            async with self.store.platform.watch(KIND) as watch:
                async for change in watch:
                    heard += 1
                    if change.name == NAME and change.value is not None:
                        self.take(change.value, change.version)
                if watch.ended:
                    log.info(f"the watch ended: {watch.ended}")
            nursery.cancel_scope.cancel()
        return heard

    async def end_watch(self, scope: trio.CancelScope) -> None:
        """End the watch when it is due for renewal, or this node not chosen any more.

        Without this every node of a starting zone, which sees no peers yet, would
        keep its watch, and each counts as a call of the platform's.
        """
        renewal = trio.current_time() + RENEWAL_S * self.rng.uniform(0.8, 1.2)
        while trio.current_time() < renewal and self.rank() < WATCHERS:
            await trio.sleep(CHOICE_S)
        scope.cancel()

    def take(self, value: Any, version: int) -> None:
        """Put a watched version into force where it is newer."""
        stored = read_stored(value, version)
        DAMAGED.set(int(stored is None))
        if stored is not None:
            self.holder.apply_push(stored.push, "store")
        else:
            log.error("the store's object is no configuration, not taken")

    async def poll(self) -> None:
        """Read the object now and then while first among the zone's watchers."""
        while True:
            if self.rank() == 0 or self.holder.view is None:
                await self.poll_once()
            await trio.sleep(POLL_S * self.rng.uniform(0.8, 1.2))

    async def poll_once(self) -> None:
        """Read the object, take what is newer and notice what is older."""
        # Only what was in force before the read was sent must be in the answer; a
        # version that came meanwhile from a peer is no sign of a rollback.
        before = self.holder.number
        stored = await self.store.read()
        if isinstance(stored, DamagedObject):
            DAMAGED.set(1)
            log.error("the store's object is no configuration, not taken")
        if not isinstance(stored, StoredConfiguration):
            return
        DAMAGED.set(0)
        self.note_rollback(stored.number, before)
        if stored.number:
            self.holder.apply_push(stored.push, "store")

    def note_rollback(self, stored: int, before: int) -> None:
        """Raise or clear the alarm for a store that holds less than it did."""
        was, self.is_rolled_back = self.is_rolled_back, stored < before
        ROLLED_BACK.set(int(self.is_rolled_back))
        if self.is_rolled_back and not was:
            log.error(f"the store went back to {stored}, {before} stays in force")
        if was and not self.is_rolled_back:
            log.info(f"the store holds {stored} again")
