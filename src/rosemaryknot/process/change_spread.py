"""Few nodes of a large deployment watch the store and tell the others.

Load pattern: each change of a server answers the waiting call of every node that
watches, so calls to the store grow with nodes times changes. A node in each
availability zone watches; the others take the changes from it and call the store only
at their start, for what they missed, and while no watching node is heard.
"""

import math
from dataclasses import dataclass
from functools import partial

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.gateway_configurations import GatewayConfigurations
from rosemaryknot.process.gateway_exchange import GatewayExchange
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peer_links import relays_of
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.store_follower import StoreFollower
from rosemaryknot.values.gateway_peers import StoreChanges
from rosemaryknot.values.messages import Message
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.platform import ObjectChanged
from rosemaryknot.values.store_changes import Changes

__all__ = ["ChangeSpread", "watching_nodes"]

# Up to this many nodes, each one watches: that costs less than a hundredth of what the
# requests are worth, and a change needs no second way.
WATCH_ALL_NODES = 12
# In a deployment of few zones, this many nodes watch at least, so that one that is
# frozen or turned away by the store is not missed.
LEAST_WATCHING = 3
# Sets of changes that wait to be told; beyond it they are dropped, and the others see
# in the reports that they are behind.
MAX_UNTOLD = 200
# Kind of object, as the followers are named.
CONFIGURATION = "configuration"

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
    each = math.ceil(LEAST_WATCHING / len(zones))
    watching: set[str] = set()
    for zone in zones:
        watching.update(relays_of([n.name for n in nodes if n.zone == zone], each))
    return watching


@dataclass(slots=True)
class Choice:
    """Which nodes watch, and of which membership that was worked out."""

    changes: int
    names: set[str]


class ChangeSpread:
    """Decides whether this node watches, and passes changes on.

    Parameters
    ----------
    node : Node
        This node.
    peers : PeerSet
        The others.
    followers : dict of str to StoreFollower
        By kind.
    exchange : GatewayExchange
        Tells which nodes are heard and reach the store.
    configurations : GatewayConfigurations
        Makes the messages that tell of configurations.
    handlers : Handlers
        Of the node's links.
    """

    def __init__(
        self,
        node: Node,
        peers: PeerSet,
        followers: dict[str, StoreFollower],
        exchange: GatewayExchange,
        configurations: GatewayConfigurations,
        handlers: Handlers,
    ) -> None:
        self.node = node
        self.peers = peers
        self.followers = followers
        self.exchange = exchange
        self.configurations = configurations
        self.choice = Choice(-1, set())
        self.untold, self.to_tell = trio.open_memory_channel(MAX_UNTOLD)
        for kind, follower in followers.items():
            follower.watches = partial(self.watches, kind)
            follower.on_taken = partial(self.note_taken, kind)
        followers[CONFIGURATION].on_listed = self.note_configuration
        handlers.on(StoreChanges)(self.handle)

    def watching(self) -> set[str]:
        """Return the names of the nodes that watch the store."""
        if self.choice.changes != self.peers.changes:
            names = watching_nodes([*self.peers.nodes(), self.node])
            self.choice = Choice(self.peers.changes, names)
        return self.choice.names

    def watches(self, kind: str) -> bool:
        """Tell whether this node watches a kind of object itself.

        It does so too while no watching node is heard that has the store: cut off
        from all of them, it would hold an old state for good.
        """
        names = self.watching()
        if self.node.name in names:
            return True
        if self.exchange.hubs.is_enabled and self.exchange.hubs.is_hub():
            return True
        return not names & self.exchange.watching(kind)

    def note_taken(self, kind: str, before: int, changes: Changes) -> None:
        """Have changes told to the others, where this node watches for them."""
        if kind == CONFIGURATION:
            self.note_configuration()
        elif self.tells():
            events = [[e.name, e.version, e.value, e.deleted] for e in changes.events]
            self.tell(StoreChanges(kind, before, changes.revision, events))

    def note_configuration(self) -> None:
        """Have the configuration told, of which only the newest version matters."""
        told = self.configurations.next_message() if self.tells() else None
        if told is not None:
            self.tell(told)

    def tells(self) -> bool:
        """Tell whether others rely on this node to pass changes on."""
        if len(self.peers.nodes()) + 1 <= WATCH_ALL_NODES:
            return False
        return self.node.name in self.watching() or self.exchange.hubs.is_enabled

    def tell(self, value: Message) -> None:
        """Have a message told to the others, soon."""
        try:
            self.untold.send_nowait(value)
        except trio.WouldBlock:
            log.warning("changes not told: too many wait", kind=value.kind)

    async def run(self) -> None:
        """Tell the others of changes, until cancelled."""
        async for told in self.to_tell:
            if self.exchange.hubs.is_enabled:
                await self.exchange.hubs.send_to_reporters(told)
            else:
                await self.peers.broadcast(told)

    async def handle(self, told: StoreChanges, link: MessageLink) -> None:
        """Take over what a watching node was told by the store."""
        follower = self.followers.get(told.kind_name)
        if follower is None:
            return
        events = [ObjectChanged(*event) for event in told.events]
        follower.take_told(told.before, Changes(told.revision, events))
