"""Nodes of the zone whose termination is confirmed by the platform."""

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.peers import PeerRecord, PeerState
from rosemaryknot.values.platform import InstanceSource

__all__ = ["StoppedNodes"]

CHECK_INTERVAL_S = 2.0

log = logger("limits")


class StoppedNodes:
    """Queries the platform for the unreachable nodes of this zone.

    An unreachable node may continue to grant budget, so its part of the zone's share
    stays unused until the platform confirms that its instance is terminated. Each
    check makes one call for each such node, and none while all nodes are reachable.

    Parameters
    ----------
    peers : PeerSet
        Other nodes known to this node.
    platform : InstanceSource
        Source of the state of instances.

    Attributes
    ----------
    stopped : set of (str, int)
        Name and incarnation of the nodes that are confirmed as terminated.
    """

    def __init__(self, peers: PeerSet, platform: InstanceSource) -> None:
        self.peers = peers
        self.platform = platform
        self.stopped: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Check the unreachable nodes periodically until cancelled."""
        while True:
            records = list(self.peers.table.records.values())
            self.stopped &= {(record.name, record.incarnation) for record in records}
            for record in records:
                if self.is_unconfirmed(record):
                    await self.check(record)
            await trio.sleep(CHECK_INTERVAL_S)

    def is_unconfirmed(self, record: PeerRecord) -> bool:
        """Return whether a node is unreachable but not confirmed as terminated."""
        return (
            record.zone == self.peers.node.zone
            and record.state == PeerState.SUSPECT
            and not self.peers.is_live(record.name)
            and not self.is_confirmed_stopped(record)
        )

    async def check(self, record: PeerRecord) -> None:
        """Query the platform for the state of one node."""
        found = await self.platform.instance(record.name)
        if isinstance(found, BackendServer) and found.state == ServerState.TERMINATED:
            self.stopped.add((record.name, record.incarnation))
            log.info(f"platform confirmed that {record.name} is terminated")

    def is_confirmed_stopped(self, record: PeerRecord) -> bool:
        """Return whether a node is confirmed as terminated."""
        return (record.name, record.incarnation) in self.stopped
