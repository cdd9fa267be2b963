"""Exchange between nodes of what servers state of their availability.

A server that drains states it in its responses, which may reach a node long before its
entry does: the store may be unreachable. The first node to learn of it tells all others
at once, since a stream that begins there has to go on elsewhere soon.

A pause concerns the node whose requests the server has turned away. If a peer relayed
them, the server has seen that peer, which is told.
"""

import random
from collections.abc import Iterable

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.gateway_servers import ServerTable
from rosemaryknot.process.newcomers import is_helper, watch_newcomers
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.relay_broadcast import Items, RelayBroadcast, Relays
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.values.notices import NoticeReceived
from rosemaryknot.values.retry_after import MAX_RETRY_AFTER_S
from rosemaryknot.values.server_availability import (
    ServerDrainNotice,
    ServerPauseNotice,
)

__all__ = ["AvailabilityExchange"]

# Servers in one message; 500 are 10 KB.
MAX_NOTICE_SERVERS = 500
# Jitter added to a pause, as a share of it and at most: a server turns many nodes away
# in one moment, and the end of their pauses is the same.
PAUSE_JITTER_SHARE = 0.1
MAX_PAUSE_JITTER_S = 0.5


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
    rng : random.Random
        Jitter of the pauses.

    Attributes
    ----------
    broadcast : RelayBroadcast
        Sends drains by incarnation of the server.
    paused : list of tuple of (str, ServerPauseNotice)
        Pauses that wait to be sent, with the receiver.
    """

    def __init__(
        self,
        peers: PeerSet,
        hubs: Relays,
        servers: ServerTable,
        handlers: Handlers,
        rng: random.Random,
    ) -> None:
        self.peers = peers
        self.broadcast = RelayBroadcast(peers, hubs, drain_notices)
        self.servers = servers
        self.rng = rng
        self.paused: list[tuple[str, ServerPauseNotice]] = []
        self.has_messages = trio.Event()
        handlers.on(ServerDrainNotice)(self.handle_drains)
        handlers.on(ServerPauseNotice)(self.handle_pause)

    def record_drain(self, state: ServerState) -> None:
        """Record that a server has stated that it drains, and tell the other nodes."""
        if self.servers.record_drain(state.incarnation_key, "response"):
            self.broadcast.add(state.incarnation_key, state.incarnation_key)

    def record_pause(self, state: ServerState, length_s: float, peer: str) -> None:
        """Record that a server wants no requests for a time.

        Parameters
        ----------
        state : ServerState
            The server.
        length_s : float
            The time, in seconds.
        peer : str
            Peer that relayed the request; empty for none.
        """
        jitter_s = min(PAUSE_JITTER_SHARE * length_s, MAX_PAUSE_JITTER_S)
        length_s += self.rng.uniform(0, jitter_s)
        self.servers.record_pause(state.incarnation_key, length_s, "response")
        if peer:
            notice = ServerPauseNotice(state.incarnation_key, length_s)
            self.paused.append((peer, notice))
            self.has_messages.set()

    async def run(self) -> None:
        """Send notices until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.broadcast.run)
            while True:
                await self.has_messages.wait()
                self.has_messages = trio.Event()
                paused, self.paused = self.paused, []
                for peer, pause in paused:
                    await self.peers.send(peer, pause)

    async def run_newcomers(self) -> None:
        """Send the drains to nodes that are new or were partitioned."""
        await watch_newcomers(self.peers, self.inform)

    async def inform(self, names: list[str]) -> None:
        """Send the drains to those nodes that this one helps."""
        helped = [name for name in names if is_helper(self.peers, name)]
        for notice in drain_notices(self.servers.stated_drains()):
            notice.is_forwarded = True
            await self.peers.send_all(helped, notice)

    async def handle_drains(
        self, notice: ServerDrainNotice, link: MessageLink
    ) -> NoticeReceived:
        """Apply the drains that another node learned of, and forward them."""
        reach = self.broadcast.reach_of(notice, link)
        for server in notice.servers:
            self.servers.record_drain(str(server), link.hello.name)
            self.broadcast.forward(str(server), str(server), reach)
        return NoticeReceived()

    async def handle_pause(self, notice: ServerPauseNotice, link: MessageLink) -> None:
        """Apply a pause that a server asked this node for in a relayed response."""
        length_s = min(max(0.0, notice.length_s), MAX_RETRY_AFTER_S)
        self.servers.record_pause(notice.server, length_s, link.hello.name)


def drain_notices(servers: Items | Iterable[str]) -> list[ServerDrainNotice]:
    """Return notices with the incarnations of some servers."""
    servers = list(servers)
    return [
        ServerDrainNotice(servers[start : start + MAX_NOTICE_SERVERS])
        for start in range(0, len(servers), MAX_NOTICE_SERVERS)
    ]
