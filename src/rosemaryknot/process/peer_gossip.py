"""Gossip of membership records over the links, on change and by comparison."""

import random
from collections.abc import Awaitable, Callable

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.peer_table import PeerTable
from rosemaryknot.values.messages import Message
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.peers import PeerDigest, PeerRecord, PeerRecords, PeerState

__all__ = ["PeerGossip"]

GOSSIP_INTERVAL_S = 5.0

Send = Callable[[str, Message], Awaitable[bool]]


class PeerGossip:
    """Keeps the peer tables of linked nodes in sync.

    Parameters
    ----------
    table : PeerTable
        Membership records that this node knows.
    handlers : Handlers
        Handlers of the links; this class adds its own kinds.
    linked : callable
        Returns the nodes with a usable link.
    send : callable
        Sends a message to a node by name.
    on_record : callable
        Called with each record that changed.
    rng : random.Random
        For the choice of peers.

    Attributes
    ----------
    has_left : bool
        Whether this node has announced that it leaves; it then sends no more records.
    """

    def __init__(
        self,
        table: PeerTable,
        handlers: Handlers,
        linked: Callable[[], list[Node]],
        send: Send,
        on_record: Callable[[PeerRecord], None],
        rng: random.Random,
    ) -> None:
        self.table = table
        self.linked = linked
        self.send = send
        self.on_record = on_record
        self.rng = rng
        self.has_left = False
        handlers.on(PeerRecords)(self.handle_records)
        handlers.on(PeerDigest)(self.handle_digest)

    async def run(self) -> None:
        """Compare tables with a peer periodically, since gossip may lose records."""
        while True:
            await trio.sleep(self.rng.uniform(0.5, 1.5) * GOSSIP_INTERVAL_S)
            linked = self.linked()
            if linked and not self.has_left:
                node = self.rng.choice(linked)
                await self.send(node.name, PeerDigest(self.table.digest()))

    async def gossip(self) -> None:
        """Send changed records over every link."""
        records = self.table.take_pending_gossip()
        if records:
            await self.send_all(PeerRecords(self.fields_of(records)))

    async def announce_leave(self) -> None:
        """Announce that this node leaves, so that no peer needs to detect it."""
        self.has_left = True
        own = self.table.own
        own.sequence += 1
        own.state = PeerState.LEFT
        own.suspect_since_s = trio.current_time()
        await self.send_all(PeerRecords(self.fields_of([own])))

    async def start_comparison(self, link: MessageLink) -> None:
        """Start the comparison with the node at the other end of a new link."""
        await link.send(PeerDigest(self.table.digest()))

    async def send_all(self, value: Message) -> None:
        """Send a message to all linked nodes in parallel; a slow one delays none."""
        async with trio.open_nursery() as nursery:
            for node in self.linked():
                nursery.start_soon(self.send, node.name, value)

    def fields_of(self, records: list[PeerRecord]) -> list[list]:
        """Return the fields of records, as sent in messages."""
        now_s = trio.current_time()
        return [record.to_fields(now_s) for record in records]

    async def handle_records(self, value: PeerRecords, link: MessageLink) -> None:
        """Merge the records that another node sent."""
        now_s = trio.current_time()
        for fields in value.records:
            record = PeerRecord.from_fields(fields, now_s)
            if record is not None and self.table.merge(record, now_s):
                self.on_record(record)

    async def handle_digest(self, value: PeerDigest, link: MessageLink) -> None:
        """Send all records to a peer whose table differs."""
        if value.digest != self.table.digest() and not self.has_left:
            await link.send(PeerRecords(self.fields_of(self.table.all_records())))
