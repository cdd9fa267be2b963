"""Exchange of the origins of streams between nodes.

A caller may resume its stream at another node than the one that began it, which may be
gone. So the origin of each stream that may be resumed is also held by two other
nodes, in different availability zones where there are several. All nodes find them by
the same hash of the caller's attempt. The record is sent as the request leaves for the
server, while the server still prefills the prompt, and takes no time from the first
event.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

import trio
import xxhash

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.background_tasks import BackgroundTasks
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.newcomers import watch_newcomers
from rosemaryknot.process.origin_records import OriginRecord, OriginRecords
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.stream_origins import (
    OriginQuery,
    OriginReply,
    OriginsStored,
    StoreOrigins,
)

__all__ = ["Lookup", "NodeRing", "OriginExchange", "PendingOrigin"]

# Other nodes that hold a record.
HOLDERS = 2
# Nodes that are asked for a record. Others that came since it was sent may stand before
# its holders in the order.
MAX_ASKED = 6
# Nodes reply within a few milliseconds unless overloaded, suspended or cut off.
CALL_TIMEOUT_S = 0.3
# How long a holder of an earlier record is called again if it does not confirm.
REPLACE_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.05
# Records in one message; 500 are 60 KB.
MAX_MESSAGE_RECORDS = 500
# Places of each node on the ring, which even out the share of each.
POINTS_PER_NODE = 8

PLACED = counter("stream_origins_total", "Origins sent to other nodes, by outcome.")
LOOKUPS = counter("stream_origin_lookups_total", "Lookups of origins by outcome.")

log = logger("origins")


class NodeRing:
    """Order of nodes for each key, by consistent hashing.

    All nodes compute the same order from the same list. A node that comes or goes
    changes the order of few keys. Each stream needs an order, and hashing every node
    for every key, as `select_nodes` does, would take 1.2 ms among 2,100 nodes.

    Parameters
    ----------
    nodes : iterable of Node
        The nodes.

    Attributes
    ----------
    nodes : dict of str to Node
        The nodes by name.
    points : list of tuple of (int, str)
        Places on the ring in order: hash, and name of the node.
    """

    def __init__(self, nodes: Iterable[Node] = ()) -> None:
        self.nodes: dict[str, Node] = {}
        self.points: list[tuple[int, str]] = []
        self.update(nodes)

    def update(self, nodes: Iterable[Node]) -> None:
        """Add and remove nodes so that these are left.

        Only what differs is moved: a ring of thousands of nodes takes tens of
        milliseconds to build, and a zone that is lost changes it many times a second.
        """
        wanted = {node.name: node for node in nodes}
        for name in self.nodes.keys() - wanted.keys():
            for point in points_of(name):
                del self.points[bisect_left(self.points, point)]
        for name in wanted.keys() - self.nodes.keys():
            for point in points_of(name):
                insort(self.points, point)
        self.nodes = wanted

    def order(self, key: bytes, count: int) -> list[Node]:
        """Return the first nodes for a key; the second one is of another zone.

        Examples
        --------
        >>> zones = {"a": "z0", "b": "z0", "c": "z1"}
        >>> ring = NodeRing(Node(name, zone, 1) for name, zone in zones.items())
        >>> order = ring.order(b"key", 3)
        >>> sorted(node.name for node in order), order[0].zone != order[1].zone
        (['a', 'b', 'c'], True)
        """
        start = bisect_left(self.points, (xxhash.xxh64_intdigest(key), ""))
        found: dict[str, Node] = {}
        other: Node | None = None
        for step in range(len(self.points)):
            name = self.points[(start + step) % len(self.points)][1]
            node = found.setdefault(name, self.nodes[name])
            first = next(iter(found.values()))
            if other is None and node.zone != first.zone:
                other = node
            if len(found) >= count and other is not None:
                break
        nodes = list(found.values())
        if other is not None:
            nodes.remove(other)
            nodes.insert(1, other)
        return nodes[:count]


def points_of(name: str) -> list[tuple[int, str]]:
    """Return the places of a node on the ring."""
    return [
        (xxhash.xxh64_intdigest(f"{name}/{number}".encode()), name)
        for number in range(POINTS_PER_NODE)
    ]


@dataclass(slots=True)
class PendingOrigin:
    """A record on its way to the nodes that hold it.

    Attributes
    ----------
    record : OriginRecord
        The record.
    must_replace_at : set of str
        Nodes that may hold an earlier record of the same request with another version.
    replace_until_s : float
        Until when these are called again if they do not confirm, in trio time.
    sent_to : set of str
        Nodes that it was sent to.
    stored_at : set of str
        Nodes that have confirmed it.
    failed_at : set of str
        Nodes that did not confirm it.
    changed : trio.Event
        Set and replaced with each result.
    """

    record: OriginRecord
    must_replace_at: set[str]
    replace_until_s: float
    sent_to: set[str] = field(default_factory=set)
    stored_at: set[str] = field(default_factory=set)
    failed_at: set[str] = field(default_factory=set)
    changed: trio.Event = field(default_factory=trio.Event)

    def record_result(self, node: str, is_stored: bool) -> None:
        """Record whether a node has confirmed it."""
        (self.stored_at if is_stored else self.failed_at).add(node)
        self.changed.set()
        self.changed = trio.Event()

    async def wait_stored(self, timeout_s: float) -> bool:
        """Wait until a node has confirmed it, or none is left that might."""
        with trio.move_on_after(timeout_s):
            while not self.stored_at and self.sent_to - self.failed_at:
                await self.changed.wait()
        return bool(self.stored_at)

    async def wait_replaced(self) -> bool:
        """Wait until no node can hold an earlier record with another version."""
        with trio.move_on_at(self.replace_until_s):
            while not self.must_replace_at <= self.stored_at:
                await self.changed.wait()
        return self.must_replace_at <= self.stored_at


@dataclass(slots=True)
class Lookup:
    """Result of a lookup.

    Attributes
    ----------
    record : OriginRecord or None
        The record, if it was found.
    node : str
        Node that had it; empty if it was not found.
    asked, replied : int
        Number of nodes that were asked, and that replied.
    """

    record: OriginRecord | None = None
    node: str = ""
    asked: int = 0
    replied: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether every node that might hold the record has replied."""
        return 0 < self.asked == self.replied


class OriginExchange:
    """Sender of this node's origins, holder of those of others.

    Parameters
    ----------
    node : Node
        This node.
    peers : PeerSet
        The other nodes.
    records : OriginRecords
        Records of this node, its own and those it holds.
    handlers : Handlers
        Message handlers of the node's links.

    Attributes
    ----------
    queues : dict of str to list of PendingOrigin
        Records that wait until the previous message to a node has been answered.
    """

    def __init__(
        self, node: Node, peers: PeerSet, records: OriginRecords, handlers: Handlers
    ) -> None:
        self.node = node
        self.peers = peers
        self.records = records
        self.queues: dict[str, list[PendingOrigin]] = {}
        self.tasks = BackgroundTasks()
        self.ring = NodeRing([node])
        self.ring_revision = -1
        handlers.on(StoreOrigins)(self.handle_store)
        handlers.on(OriginQuery)(self.handle_query)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Send records until cancelled."""
        async with self.tasks.open():
            task_status.started()
            await watch_newcomers(self.peers, self.send_to_newcomers)

    async def send_to_newcomers(self, names: list[str]) -> None:
        """Send all records again if every other node is new.

        None of them knows the origins of streams that began while this node was alone.
        """
        if len(names) == len(self.peers.nodes()):
            for record in self.records.current():
                self.place(record)

    def order(self, key: bytes) -> list[str]:
        """Return the other nodes that hold a record, or may do so, best first."""
        if self.ring_revision != self.peers.changes:
            self.ring_revision = self.peers.changes
            self.ring.update([*self.peers.nodes(), self.node])
        nodes = self.ring.order(key, MAX_ASKED + 1)
        return [n.name for n in nodes if n.name != self.node.name][:MAX_ASKED]

    # Sending.

    def place(
        self, record: OriginRecord, must_replace_at: Collection[str] = ()
    ) -> PendingOrigin:
        """Send a record to the nodes that hold it, without waiting for them.

        Parameters
        ----------
        record : OriginRecord
            The record.
        must_replace_at : collection of str
            Nodes that may hold an earlier record of the request with another version.
        """
        self.records.merge(record)
        until_s = trio.current_time() + REPLACE_TIMEOUT_S
        pending = PendingOrigin(record, set(must_replace_at), until_s)
        for name in [*must_replace_at, *self.candidates(record.key)[:HOLDERS]]:
            self.enqueue(pending, name)
        return pending

    def candidates(self, key: bytes) -> list[str]:
        """Return the nodes that may hold a record, those within reach first.

        A lookup asks all of them.
        """
        names = self.order(key)
        return sorted(
            names, key=lambda name: self.peers.is_out_of_reach(self.ring.nodes[name])
        )

    def enqueue(self, pending: PendingOrigin, name: str) -> None:
        """Send a record to a node, together with others that wait for it."""
        if name in pending.sent_to or not self.tasks.is_open:
            return
        pending.sent_to.add(name)
        self.enqueue_again(pending, name)

    def enqueue_again(self, pending: PendingOrigin, name: str) -> None:
        """Send a record to a node, also if it was sent there before."""
        queue = self.queues.get(name)
        if queue is not None:
            queue.append(pending)
            return
        if self.tasks.start_soon(self.send_queue, name):
            self.queues[name] = [pending]

    async def send_queue(self, name: str) -> None:
        """Send the records that wait for a node until there are none."""
        while queue := self.queues[name]:
            batch = queue[:MAX_MESSAGE_RECORDS]
            del queue[:MAX_MESSAGE_RECORDS]
            await self.send_batch(name, batch)
        del self.queues[name]

    async def send_batch(self, name: str, batch: list[PendingOrigin]) -> None:
        """Send records to a node, and those that it does not confirm to another one."""
        message = StoreOrigins([pending.record.to_list() for pending in batch])
        reply = await self.peers.call(name, message, CALL_TIMEOUT_S)
        is_stored = isinstance(reply, OriginsStored)
        PLACED.add(len(batch), outcome="stored" if is_stored else "failed")
        if not is_stored:
            log.warning(
                "origins of streams not stored at a node",
                peer=name,
                reason=getattr(reply, "reason", "unexpected reply"),
                streams=len(batch),
            )
        for pending in batch:
            pending.record_result(name, is_stored)
            if not is_stored:
                self.send_elsewhere(pending, name)

    def send_elsewhere(self, pending: PendingOrigin, failed: str) -> None:
        """Send a record that a node did not confirm to the next one."""
        names = self.candidates(pending.record.key)
        others = [name for name in names if name not in pending.sent_to]
        if others:
            self.enqueue(pending, others[0])
        if failed in pending.must_replace_at:
            self.tasks.start_soon(self.send_again, pending, failed)

    async def send_again(self, pending: PendingOrigin, name: str) -> None:
        """Send a record once more to a node that may hold an earlier one."""
        await trio.sleep(RETRY_INTERVAL_S)
        if trio.current_time() < pending.replace_until_s:
            self.enqueue_again(pending, name)

    async def hand_over(self) -> None:
        """Send all records to other nodes, as this one leaves."""
        if not self.tasks.is_open:
            return
        pending = [self.place(record) for record in self.records.current()]
        with trio.move_on_after(CALL_TIMEOUT_S):
            for record in pending:
                await record.wait_stored(CALL_TIMEOUT_S)
        stored = sum(bool(record.stored_at) for record in pending)
        log.info("origins of streams handed over", streams=len(pending), stored=stored)

    # Lookup.

    async def find(self, key: bytes) -> Lookup:
        """Return the record of a stream, from this node or the first that has it."""
        record = self.records.get(key)
        if record is not None:
            LOOKUPS.add(outcome="own")
            return Lookup(record, self.node.name)
        names = self.order(key)
        lookup = Lookup(asked=len(names))
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(
                    self.ask, name, key, lookup, nursery.cancel_scope.cancel
                )
        LOOKUPS.add(outcome="absent" if lookup.record is None else "found")
        return lookup

    async def ask(
        self, name: str, key: bytes, lookup: Lookup, stop: Callable[[], None]
    ) -> None:
        """Ask one node for a record."""
        reply = await self.peers.call(name, OriginQuery(key), CALL_TIMEOUT_S)
        if not isinstance(reply, OriginReply):
            return
        record = OriginRecord.from_list(reply.record) if reply.record else None
        if record is None and reply.record:
            log.error("origin of a stream ignored: malformed", peer=name)
            return
        lookup.replied += 1
        if record is not None and record.key == key and lookup.record is None:
            lookup.record, lookup.node = record, name
            self.records.merge(record)
            stop()

    # Messages from other nodes.

    async def handle_store(
        self, message: StoreOrigins, link: MessageLink
    ) -> OriginsStored | None:
        """Hold the records of another node."""
        records = [OriginRecord.from_list(item) for item in message.records]
        if None in records:
            log.error("origins of streams ignored: malformed", peer=link.hello.name)
            return None
        for record in records:
            self.records.merge(record)
        return OriginsStored()

    async def handle_query(self, query: OriginQuery, link: MessageLink) -> OriginReply:
        """Reply with a record that this node has."""
        record = self.records.get(query.key)
        return OriginReply([] if record is None else record.to_list())
