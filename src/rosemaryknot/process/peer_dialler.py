"""Opening and accepting of links, with what this node says of itself."""

from collections import Counter

import trio

from rosemaryknot.connection.links import (
    Handlers,
    Hello,
    LinkClosed,
    MessageLink,
    Traffic,
    accept_link,
    open_link,
)
from rosemaryknot.connection.network import Network
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peer_table import PeerTable
from rosemaryknot.values.nodes import Address

__all__ = ["PeerDialler"]

ROLE = "agent"
ENTRY_ROLE = "entry"

log = logger("peers")


class PeerDialler:
    """Makes links of connections, and turns away those that may not stay.

    Parameters
    ----------
    network : Network
        Where connections come from.
    key : bytes
        Cluster key.
    table : PeerTable
        What is known of the nodes, this one included.
    handlers : Handlers
        What to do with messages.

    Attributes
    ----------
    traffic : Traffic
        Messages and bytes of all links by kind.
    counters : Counter
        ``dials``, ``dials_failed``, ``hellos_refused``.
    """

    def __init__(
        self, network: Network, key: bytes, table: PeerTable, handlers: Handlers
    ) -> None:
        self.network = network
        self.key = key
        self.table = table
        self.handlers = handlers
        self.traffic = Traffic()
        self.counters: Counter[str] = Counter()

    def hello(self) -> Hello:
        """Return what this node says of itself."""
        own = self.table.own
        return Hello(
            own.name, own.zone, own.incarnation, ROLE, b"", address=own.address
        )

    async def dial(self, address: Address) -> MessageLink | None:
        """Open a link to another agent; None where it does not come about."""
        self.counters["dials"] += 1
        try:
            stream = await self.network.dial(address)
        except OSError:
            self.counters["dials_failed"] += 1
            return None
        link = await self.link_of(stream, is_dialled=True)
        if link is not None and self.admits(link):
            return link
        await trio.aclose_forcefully(stream)
        return None

    async def accept(self, stream: trio.abc.HalfCloseableStream) -> MessageLink | None:
        """Make a link of a connection of an agent or an entry, or return None."""
        link = await self.link_of(stream, is_dialled=False)
        if link is None or link.hello.role == ENTRY_ROLE:
            return link
        if link.hello.role != ROLE:
            self.refuse("unknown role")
            return None
        return link if self.admits(link) else None

    async def link_of(
        self, stream: trio.abc.HalfCloseableStream, is_dialled: bool
    ) -> MessageLink | None:
        """Exchange hellos; None where the other end does not prove the key."""
        make = open_link if is_dialled else accept_link
        try:
            return await make(
                stream, self.key, self.hello(), self.handlers, self.traffic
            )
        except LinkClosed as error:
            self.refuse(str(error))
            return None

    def admits(self, link: MessageLink) -> bool:
        """Tell whether a link may stay: not to oneself, not of a dead process."""
        node, own = link.hello.node, self.table.own
        if node.name == own.name:
            self.table.newer_self += node.incarnation > own.incarnation
            return False
        if self.table.is_older(node):
            self.refuse(f"older incarnation of {node.name}")
            return False
        return True

    def refuse(self, reason: str) -> None:
        """Count a link that did not come about."""
        self.counters["hellos_refused"] += 1
        log.warning("refused a link", reason=reason)
