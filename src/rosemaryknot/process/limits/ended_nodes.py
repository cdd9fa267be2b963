"""Which of the zone's nodes are proved to have ended."""

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.peers import PeerRecord, PeerState
from rosemaryknot.values.platform import InstanceSource

__all__ = ["EndedNodes"]

CHECK_S = 2.0

log = logger("limits")


class EndedNodes:
    """Asks the platform for the nodes of this zone that are out of reach.

    A node that is only out of reach may go on granting budget, so its part of the
    zone's share stays unused. The platform's word that its instance is terminated
    frees it. A call is made for each such node and check, and none while all are
    in reach.

    Parameters
    ----------
    peers : PeerSet
        The other nodes.
    platform : InstanceSource
        Tells the state of an instance.

    Attributes
    ----------
    ended : set of (str, int)
        Name and incarnation of the nodes that are proved to have ended.
    """

    def __init__(self, peers: PeerSet, platform: InstanceSource) -> None:
        self.peers = peers
        self.platform = platform
        self.ended: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            records = list(self.peers.table.records.values())
            self.ended &= {(record.name, record.incarnation) for record in records}
            for record in records:
                if self.is_in_doubt(record):
                    await self.check(record)
            await trio.sleep(CHECK_S)

    def is_in_doubt(self, record: PeerRecord) -> bool:
        """Tell whether a node is out of reach and may still run."""
        return (
            record.zone == self.peers.node.zone
            and record.state == PeerState.SUSPECT
            and not self.peers.is_live(record.name)
            and not self.has_ended(record)
        )

    async def check(self, record: PeerRecord) -> None:
        """Ask for one node."""
        found = await self.platform.instance(record.name)
        if isinstance(found, BackendServer) and found.state == ServerState.TERMINATED:
            self.ended.add((record.name, record.incarnation))
            log.info(f"{record.name} has ended, by the platform's word")

    def has_ended(self, record: PeerRecord) -> bool:
        """Tell whether a node is proved to have ended."""
        return (record.name, record.incarnation) in self.ended
