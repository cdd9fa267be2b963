"""Messages to all nodes at once, through the relays of zones in a large deployment."""

from typing import Protocol

from rosemaryknot.process.peers import PeerSet
from rosemaryknot.values.messages import Message

__all__ = ["DirectDelivery", "ForwardedMessage", "RelayBroadcast", "Relays"]


class Relays(Protocol):
    """Relays of the zones of a large deployment; see `HubExchange`.

    Attributes
    ----------
    is_enabled : bool
        Whether messages go through relays.
    """

    is_enabled: bool

    def relays(self, zone: str) -> list[str]:
        """Return the names of a zone's relays."""


class DirectDelivery:
    """Relays of a deployment whose nodes send to each other directly."""

    is_enabled = False

    def relays(self, zone: str) -> list[str]:
        """Return no relays."""
        return []


class ForwardedMessage(Protocol):
    """Message that relays forward to the nodes of their zone.

    Attributes
    ----------
    kind : str
        Kind of the message.
    is_forwarded : bool
        Whether a relay has forwarded it.
    """

    kind: str
    is_forwarded: bool


class RelayBroadcast:
    """Sender of messages to all nodes.

    Parameters
    ----------
    peers : PeerSet
        The other nodes.
    hubs : Relays
        Determines the relays of a large deployment.
    """

    def __init__(self, peers: PeerSet, hubs: Relays) -> None:
        self.peers = peers
        self.hubs = hubs

    async def send(self, message: Message) -> None:
        """Send a message to all nodes, through the relays of other zones if many."""
        if not self.hubs.is_enabled:
            await self.peers.broadcast(message)
            return
        own_zone = self.peers.node.zone
        await self.peers.broadcast(message, own_zone)
        zones = {node.zone for node in self.peers.nodes()} - {own_zone}
        relays = [name for zone in zones for name in self.hubs.relays(zone)]
        await self.peers.send_all(relays, message)

    async def forward(self, message: ForwardedMessage) -> None:
        """Forward a message of another zone to the nodes of this one, if it is new."""
        if self.hubs.is_enabled and not message.is_forwarded:
            message.is_forwarded = True
            await self.peers.broadcast(message, self.peers.node.zone)
