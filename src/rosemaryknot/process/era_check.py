"""Regular check whether the store was restored from a copy, by one node for all.

Watches that wait while the store is restored need not be cut off: they wait on, in a
history that has ended. Without any other call, nobody would notice until they time out.
"""

import random
from collections.abc import Callable
from typing import Any

import trio

__all__ = ["EraCheck"]

# Changes have two seconds to take effect, of which reports between nodes and a list
# take half a second.
CHECK_INTERVAL_S = 0.8
# No object of this kind exists: the response has nothing but the era.
KIND = "era-checks"
NAME = "none"


class EraCheck:
    """Calls the store if no other call has been answered for a while.

    Parameters
    ----------
    store : object
        The store; see `rosemaryknot.values.platform.ObjectStore`.
    eras : object
        Era of the store, from the responses to all calls; see
        `rosemaryknot.connection.store_era.EraTracker`.
    is_checker : callable
        Returns whether this node checks on behalf of the others.
    rng : random.Random
        For jitter.
    """

    def __init__(
        self,
        store: Any,
        eras: Any,
        is_checker: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self.store = store
        self.eras = eras
        self.is_checker = is_checker
        self.rng = rng

    async def run(self) -> None:
        """Check until cancelled.

        A store that states no era has nothing to check.
        """
        while True:
            await trio.sleep(CHECK_INTERVAL_S * self.rng.uniform(0.8, 1.0))
            if not self.eras.era or not self.is_checker():
                continue
            if trio.current_time() - self.eras.stated_s >= CHECK_INTERVAL_S / 2:
                await self.store.read(KIND, NAME)
