"""Opening and accepting of links between agents and from entries."""

from collections import Counter
from dataclasses import replace

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

__all__ = ["ENTRY_ROLE", "RELAY_ROLE", "PeerDialler"]

ROLE = "agent"
ENTRY_ROLE = "entry"
# Role of a connection that the accepting node is to relay to a backend server.
RELAY_ROLE = "relay"

log = logger("peers")


class PeerDialler:
    """Opens and accepts links, and rejects inadmissible ones.

    Parameters
    ----------
    network : Network
        Opens connections.
    key : bytes
        Cluster key.
    table : PeerTable
        Membership records, including that of this node.
    handlers : Handlers
        Message handlers of the links.

    Attributes
    ----------
    traffic : Traffic
        Messages and bytes of all links by message kind.
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
        """Return the hello message of this node."""
        own = self.table.own
        return Hello(
            own.name,
            own.zone,
            own.incarnation,
            ROLE,
            b"",
            address=own.address,
            capacity=own.capacity,
        )

    def relay_hello(self) -> Hello:
        """Return the hello of a connection that another node is to relay."""
        return replace(self.hello(), role=RELAY_ROLE)

    async def dial(self, address: Address) -> MessageLink | None:
        """Open a link to another agent; return None on failure."""
        self.counters["dials"] += 1
        try:
            stream = await self.network.dial(address)
        except OSError:
            self.counters["dials_failed"] += 1
            return None
        link = await self.establish_link(stream, is_dialled=True)
        if link is not None and self.is_admissible(link):
            return link
        await trio.aclose_forcefully(stream)
        return None

    async def accept(self, stream: trio.abc.HalfCloseableStream) -> MessageLink | None:
        """Accept a link, or a connection to relay; return None if it is rejected."""
        link = await self.establish_link(stream, is_dialled=False)
        if link is None or link.hello.role in (ENTRY_ROLE, RELAY_ROLE):
            return link
        if link.hello.role != ROLE:
            self.record_refused_link("unknown role")
            return None
        return link if self.is_admissible(link) else None

    async def establish_link(
        self, stream: trio.abc.HalfCloseableStream, is_dialled: bool
    ) -> MessageLink | None:
        """Exchange hellos; return None if the other end fails to prove the key."""
        handshake = open_link if is_dialled else accept_link
        try:
            return await handshake(
                stream, self.key, self.hello(), self.handlers, self.traffic
            )
        except LinkClosed as error:
            self.record_refused_link(str(error))
            return None

    def is_admissible(self, link: MessageLink) -> bool:
        """Return whether a link leads to another node's current process."""
        node, own = link.hello.node, self.table.own
        if node.name == own.name:
            self.table.newer_incarnations_seen += node.incarnation > own.incarnation
            return False
        if self.table.has_newer_incarnation(node):
            self.record_refused_link(f"older incarnation of {node.name}")
            return False
        return True

    def record_refused_link(self, reason: str) -> None:
        """Count and log a rejected link."""
        self.counters["hellos_refused"] += 1
        log.warning("rejected link", reason=reason)
