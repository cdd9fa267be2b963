"""Spread of the membership records over the links, on change and by comparison."""

import random
from collections.abc import Awaitable, Callable

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.peer_table import PeerTable
from rosemaryknot.values.messages import Message
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.peers import PeerDigest, PeerRecord, PeerRecords, PeerState

__all__ = ["PeerSpread"]

GOSSIP_S = 5.0

Send = Callable[[str, Message], Awaitable[bool]]


class PeerSpread:
    """Keeps the tables of linked nodes alike.

    Parameters
    ----------
    table : PeerTable
        What this node knows.
    handlers : Handlers
        Handlers of the links; this class adds its own kinds.
    linked : callable
        Gives the nodes with a usable link.
    send : callable
        Sends a message to a node by name.
    note : callable
        Called with each record that changed.
    rng : random.Random
        For the choice of peers.

    Attributes
    ----------
    is_stopped : bool
        Whether this node has said goodbye: nothing is told any more.
    """

    def __init__(
        self,
        table: PeerTable,
        handlers: Handlers,
        linked: Callable[[], list[Node]],
        send: Send,
        note: Callable[[PeerRecord], None],
        rng: random.Random,
    ) -> None:
        self.table = table
        self.linked = linked
        self.send = send
        self.note = note
        self.rng = rng
        self.is_stopped = False
        handlers.on(PeerRecords)(self.handle_records)
        handlers.on(PeerDigest)(self.handle_digest)

    async def run(self) -> None:
        """Compare the table with a peer's now and then: spreading may lose records."""
        while True:
            await trio.sleep(self.rng.uniform(0.5, 1.5) * GOSSIP_S)
            linked = self.linked()
            if linked and not self.is_stopped:
                node = self.rng.choice(linked)
                await self.send(node.name, PeerDigest(self.table.digest()))

    async def spread(self) -> None:
        """Send the records that changed over every link."""
        records = self.table.take_unspread()
        if records:
            await self.send_all(PeerRecords(self.fields_of(records)))

    async def farewell(self) -> None:
        """Say that this node leaves, so that nobody has to find out."""
        self.is_stopped = True
        own = self.table.own
        own.sequence += 1
        own.state = PeerState.LEFT
        own.suspect_since_s = trio.current_time()
        await self.send_all(PeerRecords(self.fields_of([own])))

    async def greet(self, link: MessageLink) -> None:
        """Start the comparison with the node at the other end of a new link."""
        await link.send(PeerDigest(self.table.digest()))

    async def send_all(self, value: Message) -> None:
        """Send a message to all linked nodes; a slow one holds up no other."""
        async with trio.open_nursery() as nursery:
            for node in self.linked():
                nursery.start_soon(self.send, node.name, value)

    def fields_of(self, records: list[PeerRecord]) -> list[list]:
        """Return records as messages carry them."""
        now_s = trio.current_time()
        return [record.to_fields(now_s) for record in records]

    async def handle_records(self, value: PeerRecords, link: MessageLink) -> None:
        """Take in what another node says of the nodes."""
        now_s = trio.current_time()
        for fields in value.records:
            record = PeerRecord.from_fields(fields, now_s)
            if record is not None and self.table.merge(record, now_s):
                self.note(record)

    async def handle_digest(self, value: PeerDigest, link: MessageLink) -> None:
        """Send all records to a peer whose table differs."""
        if value.digest != self.table.digest() and not self.is_stopped:
            await link.send(PeerRecords(self.fields_of(self.table.all_records())))
