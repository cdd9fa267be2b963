"""Exchange between nodes of what servers state of their availability.

A server that drains states it in its responses, which may reach a node long before its
entry does: the store may be unreachable. The first node to learn of it tells all others
at once, since a stream that begins there has to go on elsewhere soon.
"""

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.gateway_servers import ServerTable
from rosemaryknot.process.newcomers import is_helper, watch_newcomers
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.relay_broadcast import RelayBroadcast, Relays
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.values.server_availability import ServerDrainNotice

__all__ = ["AvailabilityExchange"]

# Servers in one message; 500 are 10 KB.
MAX_NOTICE_SERVERS = 500


class AvailabilityExchange:
    """Sender of the drains that this node learned of, and receiver of the others.

    Parameters
    ----------
    peers : PeerSet
        The other nodes.
    hubs : Relays
        Determines the relays of a large deployment.
    servers : ServerTable
        Known backend servers.
    handlers : Handlers
        Message handlers of the node's links.

    Attributes
    ----------
    drained : list of str
        Incarnations whose drain waits to be sent.
    """

    def __init__(
        self, peers: PeerSet, hubs: Relays, servers: ServerTable, handlers: Handlers
    ) -> None:
        self.peers = peers
        self.broadcast = RelayBroadcast(peers, hubs)
        self.servers = servers
        self.drained: list[str] = []
        self.has_messages = trio.Event()
        handlers.on(ServerDrainNotice)(self.handle_drains)

    def record_drain(self, state: ServerState) -> None:
        """Record that a server has stated that it drains, and tell the other nodes."""
        if self.servers.record_drain(state.incarnation_key, "response"):
            self.drained.append(state.incarnation_key)
            self.has_messages.set()

    async def run(self) -> None:
        """Send notices until cancelled."""
        while True:
            await self.has_messages.wait()
            self.has_messages = trio.Event()
            drained, self.drained = self.drained, []
            for notice in drain_notices(drained):
                await self.broadcast.send(notice)

    async def run_newcomers(self) -> None:
        """Send the drains to nodes that are new or were partitioned."""
        await watch_newcomers(self.peers, self.inform)

    async def inform(self, names: list[str]) -> None:
        """Send the drains to those nodes that this one helps."""
        helped = [name for name in names if is_helper(self.peers, name)]
        for notice in drain_notices(self.servers.stated_drains()):
            notice.is_forwarded = True
            await self.peers.send_all(helped, notice)

    async def handle_drains(self, notice: ServerDrainNotice, link: MessageLink) -> None:
        """Apply the drains that another node learned of, and forward them."""
        for incarnation_key in notice.servers:
            self.servers.record_drain(str(incarnation_key), link.hello.name)
        await self.broadcast.forward(notice)


def drain_notices(servers: list[str]) -> list[ServerDrainNotice]:
    """Return notices with the incarnations of some servers."""
    return [
        ServerDrainNotice(servers[start : start + MAX_NOTICE_SERVERS])
        for start in range(0, len(servers), MAX_NOTICE_SERVERS)
    ]
