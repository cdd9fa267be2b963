"""Nodes that may relay connections to servers, as an agent lists them for its entries.

The entries have no links to other nodes and know none of them otherwise.
"""

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.configuration_distributor import select_nodes
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.values.nodes import Address, Node
from rosemaryknot.values.server_relays import RelayNodes

__all__ = ["KnownRelayNodes", "RelayNodesSender"]

# Nodes of the own zone and of others that an entry knows, at 60 bytes each: enough that
# some are left if most of them are cut off too.
MAX_NEAR = 8
MAX_FAR = 24
# Pause after a change of the nodes, so that a wave of changes is one message.
COLLECT_S = 1.0

log = logger("paths")


class RelayNodesSender:
    """Sender of the nodes that may relay connections, at an agent.

    Parameters
    ----------
    node : Node
        This node.
    peers : PeerSet
        The other nodes.
    """

    def __init__(self, node: Node, peers: PeerSet) -> None:
        self.node = node
        self.peers = peers

    def nodes(self) -> RelayNodes:
        """Return the nodes for the entries; each agent selects different ones."""
        live = self.peers.nodes()
        near = [node for node in live if node.zone == self.node.zone]
        far = [node for node in live if node.zone != self.node.zone]
        selected = select_nodes(near, self.node.name, MAX_NEAR)
        selected += select_nodes(far, self.node.name, MAX_FAR)
        return RelayNodes(
            [
                [node.name, node.zone, node.incarnation, str(address)]
                for node in selected
                if (address := self.peers.address_of(node.name)) is not None
            ]
        )

    async def keep_entry_current(self, link: MessageLink) -> None:
        """Send the nodes to an entry, and again whenever they change."""
        sent = None
        revision = 0
        while True:
            nodes = self.nodes()
            if nodes != sent:
                await link.send(nodes)
                sent = nodes
            revision = await self.peers.wait_changed(revision)
            await trio.sleep(COLLECT_S)


class KnownRelayNodes:
    """Nodes that may relay connections, at an entry.

    Parameters
    ----------
    handlers : Handlers
        Handlers of messages from the agent.

    Attributes
    ----------
    by_name : dict of str to tuple of (Node, Address)
        The nodes and their addresses. They stay known while the agent is gone.
    """

    def __init__(self, handlers: Handlers) -> None:
        self.by_name: dict[str, tuple[Node, Address]] = {}
        handlers.on(RelayNodes)(self.handle_nodes)

    def nodes(self) -> list[Node]:
        """Return the nodes."""
        return [node for node, _ in self.by_name.values()]

    def address_of(self, name: str) -> Address | None:
        """Return the address of a node by its name, or None."""
        known = self.by_name.get(name)
        return None if known is None else known[1]

    async def handle_nodes(self, message: RelayNodes, link: MessageLink) -> None:
        """Apply the nodes that the agent sent."""
        try:
            self.by_name = {
                str(name): (
                    Node(str(name), str(zone), int(incarnation)),
                    Address.from_text(address),
                )
                for name, zone, incarnation, address in message.nodes
            }
        except (TypeError, ValueError, AttributeError) as error:
            log.error("invalid list of relay nodes", error=type(error).__name__)
