"""Lookup of accepted model requests that callers pick up, and of their text."""

from collections.abc import Callable
from dataclasses import replace

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.standby_table import HeldReplica, StandbyTable
from rosemaryknot.values.messages import Message
from rosemaryknot.values.standby import (
    StandbyFind,
    StandbyFound,
    StandbyRead,
    StandbyText,
)

__all__ = ["StandbyFinder"]

ENTRY_FIND_TIMEOUT_S = 0.4
FIND_TIMEOUT_S = 0.8
READ_MARGIN_S = 1.0
MAX_READ_TOKENS = 512


class StandbyFinder:
    """Finds requests and returns their text at the agent.

    Parameters
    ----------
    peers : PeerSet
        The other nodes and the entries of this node.
    handlers : Handlers
        Handlers of the agent's links.
    table : StandbyTable
        Replicas that this node holds.
    is_draining : callable
        Returns whether the instance of a node, given by name, is known to drain.
    """

    def __init__(
        self,
        peers: PeerSet,
        handlers: Handlers,
        table: StandbyTable,
        is_draining: Callable[[str], bool],
    ) -> None:
        self.peers = peers
        self.table = table
        self.is_draining = is_draining
        handlers.on(StandbyFind)(self.handle_find)
        handlers.on(StandbyRead)(self.handle_read)

    async def handle_find(self, query: StandbyFind, link: MessageLink) -> StandbyFound:
        """Find a request on all nodes for our entry, or on this node for a peer."""
        if link.hello.role != "entry":
            return await self.find_here(query, None)
        found = await self.find_here(query, link)
        if found.node and not found.is_copy:
            return found
        return await self.find_elsewhere(query, found)

    async def find_here(
        self, query: StandbyFind, requester: MessageLink | None
    ) -> StandbyFound:
        """Search for a request at our entries and among the replicas."""
        name = self.peers.node.name
        for link in list(self.peers.entries):
            if link is not requester:
                response = await link.call(query, ENTRY_FIND_TIMEOUT_S)
                if isinstance(response, StandbyFound) and response.node:
                    return replace(response, node=name)
        held = self.table.get(query.customer, query.request)
        if held is None:
            return StandbyFound()
        held.is_pickup_requested = True
        return StandbyFound(name, not held.outcome, held.replica.service)

    async def find_elsewhere(
        self, query: StandbyFind, found: StandbyFound
    ) -> StandbyFound:
        """Query all nodes concurrently until one relays the request."""
        async with trio.open_nursery() as nursery:

            async def query_node(name: str) -> None:
                nonlocal found
                response = await self.peers.call(name, query, FIND_TIMEOUT_S)
                if not isinstance(response, StandbyFound):
                    found = replace(found, unreached=found.unreached + 1)
                elif response.node:
                    found = replace(response, unreached=found.unreached)
                    if not response.is_copy:
                        nursery.cancel_scope.cancel()

            for node in self.peers.nodes():
                nursery.start_soon(query_node, node.name)
        # A reclaimed instance has handed over its requests.
        silent = [n for n in self.peers.suspected() if not self.is_draining(n)]
        return replace(found, unreached=found.unreached + len(silent))

    async def handle_read(
        self, query: StandbyRead, link: MessageLink
    ) -> Message | None:
        """Return text of a request, locally or from the node that holds it."""
        if query.node == self.peers.node.name:
            return await self.read_here(query)
        timeout_s = query.wait_s + READ_MARGIN_S
        response = await self.peers.call(query.node, query, timeout_s)
        return response if isinstance(response, StandbyText) else None

    async def read_here(self, query: StandbyRead) -> StandbyText:
        """Return text that our entries or the replicas of ended requests hold."""
        for link in list(self.peers.entries):
            response = await link.call(query, query.wait_s + ENTRY_FIND_TIMEOUT_S)
            if isinstance(response, StandbyText) and response.is_found:
                return response
        held = self.table.get(query.customer, query.request)
        if held is None or not held.outcome:
            return StandbyText()
        return held_text(held, query.offset)


def held_text(held: HeldReplica, offset: int) -> StandbyText:
    """Return text of an ended request from an offset, up to `MAX_READ_TOKENS`."""
    tokens = held.replica.tokens
    chunk = tokens[offset : offset + MAX_READ_TOKENS]
    is_last = offset + len(chunk) >= len(tokens)
    return StandbyText(
        True,
        held.replica.lineage,
        chunk,
        len(tokens),
        held.outcome if is_last else "",
        held.reason,
        held.detail,
    )
