"""In a large deployment, a few nodes watch the store and forward changes to the others.

Every change of a server completes the pending call of each node that watches, so calls
to the store grow with the number of nodes times the number of changes. Therefore a node
in each availability zone watches. The others receive the changes from it, and call the
store only at their start, for changes they missed, and while no watching node reports.
"""

import math
from dataclasses import dataclass
from functools import partial

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.gateway_configurations import GatewayConfigurations
from rosemaryknot.process.gateway_exchange import GatewayExchange
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peer_links import select_relays
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.store_watcher import StoreWatcher
from rosemaryknot.values.gateway_peers import StoreChanges
from rosemaryknot.values.messages import Message
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.platform import ObjectChanged
from rosemaryknot.values.store_changes import Changes
from rosemaryknot.values.store_revisions import era_of, qualified, revision_of

__all__ = ["ChangeDistributor", "watching_nodes"]

# Up to this many nodes, each one watches: this costs less than a hundredth of what the
# requests are worth, and changes need no second path.
WATCH_ALL_NODES = 12
# With few zones, at least this many nodes watch, so that one that is suspended or
# rejected by the store does not matter.
MIN_WATCHING_NODES = 3
# Messages waiting to be sent. Beyond this number they are dropped, and the other nodes
# learn from the reports that they are behind.
MAX_PENDING_MESSAGES = 200
# Kind of object, as used for the keys of the watchers.
CONFIGURATION = "configuration"
SERVERS = "servers"

log = logger("spread")


def watching_nodes(nodes: list[Node]) -> set[str]:
    """Return the names of the nodes that watch the store, the same at every node.

    Examples
    --------
    >>> nodes = [Node(f"n{n}", f"z{n % 3}", 1) for n in range(30)]
    >>> len(watching_nodes(nodes))
    3
    >>> len(watching_nodes(nodes[:5]))
    5
    """
    if len(nodes) <= WATCH_ALL_NODES:
        return {node.name for node in nodes}
    zones = {node.zone for node in nodes}
    each = math.ceil(MIN_WATCHING_NODES / len(zones))
    watching: set[str] = set()
    for zone in zones:
        watching.update(select_relays([n for n in nodes if n.zone == zone], each))
    return watching


@dataclass(slots=True)
class WatchingNodes:
    """The nodes that watch, and the membership they were computed from."""

    changes: int
    names: set[str]


class ChangeDistributor:
    """Decides whether this node watches the store, and forwards changes.

    Parameters
    ----------
    node : Node
        This node.
    peers : PeerSet
        The other nodes.
    watchers : dict of str to StoreWatcher
        The watchers of this node, by kind of object.
    exchange : GatewayExchange
        Knows which nodes report and reach the store.
    configurations : GatewayConfigurations
        Makes the messages that carry configurations.
    handlers : Handlers
        Handlers of the node's links.
    """

    def __init__(
        self,
        node: Node,
        peers: PeerSet,
        watchers: dict[str, StoreWatcher],
        exchange: GatewayExchange,
        configurations: GatewayConfigurations,
        handlers: Handlers,
    ) -> None:
        self.node = node
        self.peers = peers
        self.watchers = watchers
        self.exchange = exchange
        self.configurations = configurations
        self.cached_nodes = WatchingNodes(-1, set())
        self.pending_send, self.pending_receive = trio.open_memory_channel(
            MAX_PENDING_MESSAGES
        )
        for kind, watcher in watchers.items():
            watcher.should_watch = partial(self.should_watch, kind)
            watcher.on_applied = partial(self.forward_changes, kind)
        watchers[CONFIGURATION].on_listed = lambda before: self.forward_configuration()
        watchers[SERVERS].on_listed = self.forward_restored_list
        handlers.on(StoreChanges)(self.handle_changes)

    def watching(self) -> set[str]:
        """Return the names of the nodes that watch the store."""
        if self.cached_nodes.changes != self.peers.changes:
            names = watching_nodes([*self.peers.nodes(), self.node])
            self.cached_nodes = WatchingNodes(self.peers.changes, names)
        return self.cached_nodes.names

    def should_watch(self, kind: str) -> bool:
        """Return whether this node watches a kind of object itself.

        It also does so while no watching node that reaches the store reports. Otherwise
        a node partitioned from all of them would keep an old state indefinitely.
        """
        names = self.watching()
        if self.node.name in names:
            return True
        if self.exchange.hubs.is_enabled and self.exchange.hubs.is_hub():
            return True
        return not names & self.exchange.watching(kind)

    def forward_changes(self, kind: str, before: int, changes: Changes) -> None:
        """Queue changes for the other nodes if this node watches on their behalf."""
        if kind == CONFIGURATION:
            self.forward_configuration()
        elif self.is_forwarding():
            events = [
                [e.name, revision_of(e.version), e.value, e.deleted]
                for e in changes.events
            ]
            self.enqueue(
                StoreChanges(
                    kind,
                    revision_of(before),
                    revision_of(changes.revision),
                    events,
                    era_of(changes.revision),
                )
            )

    def forward_restored_list(self, before: int) -> None:
        """Queue the list of servers for the other nodes after a restore of the store.

        Otherwise each of them would list the servers itself at the same time.
        """
        revision = self.watchers[SERVERS].revision
        if 0 <= before and era_of(before) < era_of(revision) and self.is_forwarding():
            self.enqueue(self.exchange.offer_of_servers())

    def forward_configuration(self) -> None:
        """Queue the configuration, of which only the newest version matters."""
        message = self.configurations.next_message() if self.is_forwarding() else None
        if message is not None:
            self.enqueue(message)

    def is_forwarding(self) -> bool:
        """Return whether other nodes rely on this node to forward changes."""
        if len(self.peers.nodes()) + 1 <= WATCH_ALL_NODES:
            return False
        return self.node.name in self.watching() or self.exchange.hubs.is_enabled

    def enqueue(self, value: Message) -> None:
        """Queue a message for the other nodes."""
        try:
            self.pending_send.send_nowait(value)
        except trio.WouldBlock:
            log.warning("changes dropped: send queue is full", kind=value.kind)

    async def run(self) -> None:
        """Send queued messages to the other nodes, until cancelled."""
        async for message in self.pending_receive:
            if self.exchange.hubs.is_enabled:
                await self.exchange.hubs.send_to_reporters(message)
            else:
                await self.peers.broadcast(message)

    async def handle_changes(self, message: StoreChanges, link: MessageLink) -> None:
        """Apply changes that a watching node received from the store."""
        watcher = self.watchers.get(message.kind_name)
        if watcher is None:
            return
        # Nodes of earlier software state no era.
        era = message.era or era_of(watcher.revision)
        events = [
            ObjectChanged(name, qualified(era, revision), value, is_deleted)
            for name, revision, value, is_deleted in message.events
        ]
        changes = Changes(qualified(era, message.revision), events)
        watcher.apply_forwarded(qualified(era, message.before), changes)
