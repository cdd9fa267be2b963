"""What proves that an owner's process has ended."""

import trio

from rosemaryknot.process.claims.shard_map import Shard
from rosemaryknot.process.logs import logger
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.platform import InstanceSource

__all__ = ["EndedOwners"]

ASK_PLATFORM_S = 2.0

log = logger("shards")


class EndedOwners:
    """Owners that are proven to have ended: by the platform, or by an operator's word.

    Parameters
    ----------
    platform : InstanceSource
        Tells whether an instance is terminated.

    Attributes
    ----------
    confirmed : set of (str, int)
        Name and incarnation of the processes whose end an operator confirmed. The
        word does not cover a later process of the same node.
    """

    def __init__(self, platform: InstanceSource) -> None:
        self.platform = platform
        self.confirmed: set[tuple[str, int]] = set()
        self.asked_s: dict[str, float] = {}

    def confirm(self, shard: Shard, operator: str = "") -> None:
        """Take an operator's word that the process that owns a shard has ended.

        If it still runs, ids of its shards can run twice.

        Parameters
        ----------
        shard : Shard
            One of its shards.
        operator : str
            Who said so, for the log.
        """
        process = (shard.owner, shard.incarnation)
        if process not in self.confirmed:
            self.confirmed.add(process)
            log.warning(
                "an operator confirmed that an owner ended",
                owner=shard.owner,
                incarnation=shard.incarnation,
                operator=operator,
            )

    def is_confirmed(self, shard: Shard) -> bool:
        """Tell whether an operator confirmed the end of a shard's owner."""
        return (shard.owner, shard.incarnation) in self.confirmed

    async def among(self, shards: dict[int, Shard]) -> dict[int, Shard]:
        """Return the shards whose owner has ended.

        Parameters
        ----------
        shards : dict of int to Shard
            Shards of one absent node, by index.

        Returns
        -------
        ended : dict of int to Shard
            Those that may be taken.
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
        """Ask the platform whether a node's instance is terminated.

        Leaving is no proof, since the process still runs; nor is absence from the
        list, which lags. Only what says "terminated" lets the ownership pass.
        """
        now_s = trio.current_time()
        if now_s < self.asked_s.get(name, -ASK_PLATFORM_S) + ASK_PLATFORM_S:
            return False
        self.asked_s[name] = now_s
        found = await self.platform.instance(name)
        if isinstance(found, BackendServer) and found.state == ServerState.TERMINATED:
            return True
        log.warning("an owner does not answer and is not proven ended", owner=name)
        return False
