"""Finds accepted model requests for pick-ups, and reads their text."""

from collections.abc import Callable
from dataclasses import replace

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.standby_table import HeldCopy, StandbyTable
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
    """The agent's part in pick-ups.

    Parameters
    ----------
    peers : PeerSet
        The other nodes and this node's entries.
    handlers : Handlers
        Handlers of the agent's links.
    table : StandbyTable
        Copies that this node holds.
    is_leaving : callable
        Tells of a node's name whether its instance is known to be leaving.
    """

    def __init__(
        self,
        peers: PeerSet,
        handlers: Handlers,
        table: StandbyTable,
        is_leaving: Callable[[str], bool],
    ) -> None:
        self.peers = peers
        self.table = table
        self.is_leaving = is_leaving
        handlers.on(StandbyFind)(self.handle_find)
        handlers.on(StandbyRead)(self.handle_read)

    async def handle_find(self, asked: StandbyFind, link: MessageLink) -> StandbyFound:
        """Tell where a request is: everywhere for our entry, here for a peer."""
        if link.hello.role != "entry":
            return await self.find_here(asked, None)
        found = await self.find_here(asked, link)
        if found.node and not found.is_copy:
            return found
        return await self.find_elsewhere(asked, found)

    async def find_here(
        self, asked: StandbyFind, asker: MessageLink | None
    ) -> StandbyFound:
        """Look for a request at our entries and among the copies."""
        name = self.peers.node.name
        for link in list(self.peers.entries):
            if link is not asker:
                answer = await link.call(asked, ENTRY_FIND_TIMEOUT_S)
                if isinstance(answer, StandbyFound) and answer.node:
                    return replace(answer, node=name)
        held = self.table.get(asked.customer, asked.request)
        if held is None:
            return StandbyFound()
        held.is_wanted = True
        return StandbyFound(name, not held.outcome, held.copy.service)

    async def find_elsewhere(
        self, asked: StandbyFind, found: StandbyFound
    ) -> StandbyFound:
        """Ask all nodes at once; the first that works on the request decides."""
        async with trio.open_nursery() as nursery:

            async def ask(name: str) -> None:
                nonlocal found
                answer = await self.peers.call(name, asked, FIND_TIMEOUT_S)
                if not isinstance(answer, StandbyFound):
                    found = replace(found, unreached=found.unreached + 1)
                elif answer.node:
                    found = replace(answer, unreached=found.unreached)
                    if not answer.is_copy:
                        nursery.cancel_scope.cancel()

            for node in self.peers.nodes():
                nursery.start_soon(ask, node.name)
        # An instance that was taken back has handed over what it held.
        silent = [n for n in self.peers.suspected() if not self.is_leaving(n)]
        return replace(found, unreached=found.unreached + len(silent))

    async def handle_read(
        self, asked: StandbyRead, link: MessageLink
    ) -> Message | None:
        """Return text of a request, from here or from the node that holds it."""
        if asked.node == self.peers.node.name:
            return await self.read_here(asked)
        timeout_s = asked.wait_s + READ_MARGIN_S
        answer = await self.peers.call(asked.node, asked, timeout_s)
        return answer if isinstance(answer, StandbyText) else None

    async def read_here(self, asked: StandbyRead) -> StandbyText:
        """Return text that our entries or the ended copies hold."""
        for link in list(self.peers.entries):
            answer = await link.call(asked, asked.wait_s + ENTRY_FIND_TIMEOUT_S)
            if isinstance(answer, StandbyText) and answer.is_found:
                return answer
        held = self.table.get(asked.customer, asked.request)
        if held is None or not held.outcome:
            return StandbyText()
        return text_of(held, asked.offset)


def text_of(held: HeldCopy, offset: int) -> StandbyText:
    """Return the text of an ended copy from an offset, bounded."""
    tokens = held.copy.tokens
    part = tokens[offset : offset + MAX_READ_TOKENS]
    is_last = offset + len(part) >= len(tokens)
    return StandbyText(
        True,
        held.copy.lineage,
        part,
        len(tokens),
        held.outcome if is_last else "",
        held.reason,
        held.detail,
    )
