"""Confirmation that the process of an owner has stopped."""

import trio

from rosemaryknot.process.claims.shard_map import Shard
from rosemaryknot.process.logs import logger
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.platform import InstanceSource

__all__ = ["StoppedOwners"]

PLATFORM_QUERY_INTERVAL_S = 2.0

log = logger("shards")


class StoppedOwners:
    """Owners that the platform or an operator has confirmed to have stopped.

    Parameters
    ----------
    platform : InstanceSource
        Source of instance states; a terminated instance has no owner process.

    Attributes
    ----------
    confirmed : set of (str, int)
        Name and incarnation of the processes that an operator confirmed to have
        stopped. A confirmation does not cover a later process of the same node.
    """

    def __init__(self, platform: InstanceSource) -> None:
        self.platform = platform
        self.confirmed: set[tuple[str, int]] = set()
        self.last_query_s: dict[str, float] = {}

    def confirm(self, shard: Shard, operator: str = "") -> None:
        """Record an operator's confirmation that the owner of a shard has stopped.

        If the owner's process still runs, ids of its shards can run twice.

        Parameters
        ----------
        shard : Shard
            One of the owner's shards.
        operator : str
            Name of the operator, for the log.
        """
        process = (shard.owner, shard.incarnation)
        if process not in self.confirmed:
            self.confirmed.add(process)
            log.warning(
                "operator confirmed that a shard owner has stopped",
                owner=shard.owner,
                incarnation=shard.incarnation,
                operator=operator,
            )

    def is_confirmed(self, shard: Shard) -> bool:
        """Return whether an operator confirmed that a shard's owner has stopped."""
        return (shard.owner, shard.incarnation) in self.confirmed

    async def select_stopped(self, shards: dict[int, Shard]) -> dict[int, Shard]:
        """Return the shards whose owner is confirmed to have stopped.

        Parameters
        ----------
        shards : dict of int to Shard
            Shards of one absent node, by index.

        Returns
        -------
        stopped : dict of int to Shard
            The shards that may be taken over.
        """
        if not shards:
            return {}
        confirmed = {
            i: shard for i, shard in shards.items() if self.is_confirmed(shard)
        }
        if len(confirmed) == len(shards):
            return confirmed
        name = next(iter(shards.values())).owner
        return shards if await self.is_terminated(name) else confirmed

    async def is_terminated(self, name: str) -> bool:
        """Query the platform whether a node's instance is terminated.

        Only the state "terminated" permits a takeover. An instance that is leaving
        still runs the process, and a missing instance is no confirmation, since the
        platform's list lags behind.
        """
        now_s = trio.current_time()
        if (
            now_s
            < self.last_query_s.get(name, -PLATFORM_QUERY_INTERVAL_S)
            + PLATFORM_QUERY_INTERVAL_S
        ):
            return False
        self.last_query_s[name] = now_s
        found = await self.platform.instance(name)
        if isinstance(found, BackendServer) and found.state == ServerState.TERMINATED:
            return True
        log.warning("shard owner is silent but not confirmed as stopped", owner=name)
        return False
