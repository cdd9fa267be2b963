"""Notices to all nodes, along a tree over the links of a large deployment.

Load pattern: an event, such as the crash of servers, is seen by many nodes at one
moment. If each of them sends its notice to each other node, most of them through the
relays, the messages grow with the square of the nodes and meet at the relays, whose
processors are then busy for seconds with everything else waiting.

A node sends its notices to one relay of its availability zone, which sends them to the
nodes of the zone and to one relay of each other zone, which sends them to its own zone.
Each node passes an item on once, and merges the items that arrive while a message to
the same receiver is under way.
"""

from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, Protocol

import trio

from rosemaryknot.connection.links import CallFailed, MessageLink
from rosemaryknot.process.background_tasks import BackgroundTasks
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.peer_links import select_relays
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.values.messages import Message

__all__ = [
    "ForwardedMessage",
    "Items",
    "PlanRelays",
    "Reach",
    "RelayBroadcast",
    "Relays",
]

# Minimum time between two messages to the same nodes; items are merged meanwhile.
COLLECT_S = 0.02
# The same where messages go through relays. It doubles with each message, so that a
# series of events costs few, and begins anew after a time without any.
MIN_RELAYED_COLLECT_S = 0.1
MAX_RELAYED_COLLECT_S = 0.5
QUIET_S = 1.0
# A relay that does not confirm a notice within this time is passed over for a while.
RECEIPT_TIMEOUT_S = 0.4
PASSED_OVER_S = 2.0
# While no relay of a zone confirms, notices are sent again after this interval, until
# they are this old.
RETRY_INTERVAL_S = 0.2
MAX_AGE_S = 3.0
# Items that wait to be sent to one receiver; beyond this number those of the lowest
# rank are dropped.
MAX_PENDING_ITEMS = 512
# Items of which it is remembered that they were sent.
MAX_SENT_ITEMS = 4096

ITEMS = counter("notice_items_total", "Items of notices, by outcome.")

log = logger("notices")

# Items of notices by key. The key says what an item is about; a newer item replaces an
# earlier one with the same key, or is merged with it.
Items = dict[Hashable, Any]


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


class PlanRelays:
    """Relays by the link topology alone.

    Parameters
    ----------
    peers : PeerSet
        The other nodes.
    """

    def __init__(self, peers: PeerSet) -> None:
        self.peers = peers

    @property
    def is_enabled(self) -> bool:
        """Whether the deployment has too many nodes for a full mesh of links."""
        return len(self.peers.nodes()) + 1 > self.peers.plan.full_mesh_nodes

    def relays(self, zone: str) -> list[str]:
        """Return the names of a zone's relays."""
        nodes = [*self.peers.nodes(), self.peers.node]
        members = [node for node in nodes if node.zone == zone]
        return select_relays(members, self.peers.plan.relays_per_zone)


class ForwardedMessage(Protocol):
    """Message that relays forward.

    Attributes
    ----------
    kind : str
        Kind of the message.
    is_forwarded : bool
        Whether a relay has sent it to the nodes of its zone.
    """

    kind: str
    is_forwarded: bool


class Reach(IntEnum):
    """Nodes that an item is to reach from here."""

    ZONE = 1
    ALL = 2


@dataclass(slots=True)
class ZoneQueue:
    """Items that wait to be sent to a relay of one zone.

    Attributes
    ----------
    items : dict
        The items by key.
    since_s : dict
        By key: when the item began to wait, in trio time.
    """

    items: Items = field(default_factory=dict)
    since_s: dict[Hashable, float] = field(default_factory=dict)


class RelayBroadcast:
    """Sender of the notices of one subject to all nodes.

    Parameters
    ----------
    peers : PeerSet
        The other nodes.
    hubs : Relays
        Determines the relays of a large deployment.
    encode : callable
        Returns notices with some items.
    merge : callable, optional
        Returns the item that replaces two with the same key, the earlier one first; by
        default the later one.
    rank : callable, optional
        Returns how much an item matters if too many wait.

    Attributes
    ----------
    pending : dict
        By key: the item to be sent next, and the nodes it is to reach.
    queues : dict of str to ZoneQueue
        Items on their way to a relay, by zone.
    sent : collections.OrderedDict
        Versions and reach of the items that this node has sent, by key.
    passed_over_until_s : dict of str to float
        Relays that did not confirm a notice, in trio time.
    interval_s : float
        How long items are collected before the next message.
    last_sent_s : float
        When the last message was sent, in trio time.
    """

    def __init__(
        self,
        peers: PeerSet,
        hubs: Relays,
        encode: Callable[[Items], Iterable[Message]],
        merge: Callable[[Any, Any], Any] = lambda earlier, later: later,
        rank: Callable[[Any], float] = lambda item: 0.0,
    ) -> None:
        self.peers = peers
        self.hubs = hubs
        self.encode = encode
        self.merge = merge
        self.rank = rank
        self.pending: dict[Hashable, tuple[Any, Reach]] = {}
        self.queues: dict[str, ZoneQueue] = {}
        self.sent: OrderedDict[Hashable, tuple[Hashable, Reach]] = OrderedDict()
        self.passed_over_until_s: dict[str, float] = {}
        self.interval_s = MIN_RELAYED_COLLECT_S
        self.last_sent_s = float("-inf")
        self.has_items = trio.Event()
        self.tasks = BackgroundTasks()

    def add(self, key: Hashable, item: Any, version: Hashable = None) -> None:
        """Send an item of this node to all nodes."""
        self.record_sent(key, version, Reach.ALL)
        self.enqueue(key, item, Reach.ALL)

    def forward(
        self, key: Hashable, item: Any, reach: Reach | None, version: Hashable = None
    ) -> None:
        """Send an item of another node on, unless this node has sent it before.

        Parameters
        ----------
        key : hashable
            What the item is about.
        item : object
            The item.
        reach : Reach or None
            Result of `reach_of` for the notice with the item.
        version : hashable, optional
            Tells items with the same key apart.
        """
        if reach is None:
            return
        known = self.sent.get(key)
        if known is not None and known[0] == version and known[1] >= reach:
            ITEMS.add(outcome="known")
            return
        self.record_sent(key, version, reach)
        self.enqueue(key, item, reach)

    def reach_of(self, notice: ForwardedMessage, link: MessageLink) -> Reach | None:
        """Return which nodes the items of a notice are to reach from here, if any."""
        if link in self.peers.entries:
            return Reach.ALL
        if not self.hubs.is_enabled or notice.is_forwarded:
            return None
        is_own_zone = link.hello.zone == self.peers.node.zone
        return Reach.ALL if is_own_zone else Reach.ZONE

    def discard(self, key: Hashable) -> None:
        """Drop an item that has not been sent yet."""
        self.pending.pop(key, None)

    def record_sent(self, key: Hashable, version: Hashable, reach: Reach) -> None:
        """Remember that an item is sent."""
        self.sent[key] = (version, reach)
        self.sent.move_to_end(key)
        if len(self.sent) > MAX_SENT_ITEMS:
            self.sent.popitem(last=False)

    def enqueue(self, key: Hashable, item: Any, reach: Reach) -> None:
        """Queue an item, merged with one that waits already."""
        known = self.pending.get(key)
        if known is not None:
            item, reach = self.merge(known[0], item), max(known[1], reach)
        self.pending[key] = (item, reach)
        if len(self.pending) > MAX_PENDING_ITEMS:
            del self.pending[min(self.pending, key=self.pending_rank)]
            ITEMS.add(outcome="dropped")
            log.warning("notice not sent at once: send queue is full")
        self.has_items.set()

    def pending_rank(self, key: Hashable) -> float:
        """Return how much a pending item matters."""
        return self.rank(self.pending[key][0])

    async def run(self) -> None:
        """Send items until cancelled."""
        async with self.tasks.open():
            while True:
                await self.has_items.wait()
                self.has_items = trio.Event()
                pending, self.pending = self.pending, {}
                await self.send(pending)
                await trio.sleep(self.next_interval_s())

    def next_interval_s(self) -> float:
        """Return how long items are collected before the next message, in seconds."""
        if not self.hubs.is_enabled:
            return COLLECT_S
        now_s = trio.current_time()
        is_quiet = now_s - self.last_sent_s > QUIET_S
        self.last_sent_s = now_s
        interval_s = MIN_RELAYED_COLLECT_S if is_quiet else 2 * self.interval_s
        self.interval_s = min(interval_s, MAX_RELAYED_COLLECT_S)
        return self.interval_s

    async def send(self, pending: dict[Hashable, tuple[Any, Reach]]) -> None:
        """Send items to the next nodes on their way."""
        items = {key: item for key, (item, _) in pending.items()}
        ITEMS.add(len(items), outcome="sent")
        own = self.peers.node
        if not self.hubs.is_enabled:
            for notice in self.encode(items):
                await self.peers.broadcast(notice)
        elif own.name not in self.hubs.relays(own.zone):
            self.send_to_relay(own.zone, items)
        else:
            for_all = {k: i for k, (i, reach) in pending.items() if reach == Reach.ALL}
            for zone in {node.zone for node in self.peers.nodes()} - {own.zone}:
                self.send_to_relay(zone, for_all)
            await self.send_to_zone(items)

    async def send_to_zone(self, items: Items) -> None:
        """Send items to the nodes of this zone."""
        linked = [n.name for n in self.peers.linked() if n.zone == self.peers.node.zone]
        for notice in self.encode(items):
            notice.is_forwarded = True
            await self.peers.send_all(linked, notice)

    def send_to_relay(self, zone: str, items: Items) -> None:
        """Send items to a relay of a zone, together with those that wait for it."""
        if not items:
            return
        now_s = trio.current_time()
        queue = self.queues.get(zone)
        if queue is None:
            if not self.tasks.start_soon(self.send_queue, zone):
                return
            queue = self.queues[zone] = ZoneQueue()
        for key, item in items.items():
            if key in queue.items:
                item = self.merge(queue.items[key], item)
            queue.items[key] = item
            queue.since_s.setdefault(key, now_s)

    async def send_queue(self, zone: str) -> None:
        """Send the items that wait for a zone until there are none."""
        queue = self.queues[zone]
        while queue.items:
            items, since_s = queue.items, queue.since_s
            queue.items, queue.since_s = {}, {}
            if await self.is_delivered(zone, items):
                continue
            await trio.sleep(RETRY_INTERVAL_S)
            self.queue_again(zone, queue, items, since_s)
        del self.queues[zone]

    def queue_again(
        self,
        zone: str,
        queue: ZoneQueue,
        items: Items,
        since_s: dict[Hashable, float],
    ) -> None:
        """Queue items that no relay has confirmed, unless they are too old."""
        oldest_s = trio.current_time() - MAX_AGE_S
        expired = 0
        for key, item in items.items():
            if since_s[key] < oldest_s:
                expired += 1
                continue
            later = queue.items.get(key)
            queue.items[key] = item if later is None else self.merge(item, later)
            queue.since_s[key] = since_s[key]
        if expired:
            ITEMS.add(expired, outcome="expired")
            log.warning("notices not delivered to a zone", zone=zone, items=expired)

    async def is_delivered(self, zone: str, items: Items) -> bool:
        """Send items to a relay of a zone; return whether one has confirmed them."""
        for name in self.candidates(zone):
            link = self.peers.best_link(name)
            if link is not None and await self.is_received(link, items):
                return True
        return False

    def candidates(self, zone: str) -> list[str]:
        """Return the relays of a zone in the order to use them.

        The hub comes last, since it has the most to do.
        """
        hub, *others = self.hubs.relays(zone) or [""]
        now_s = trio.current_time()
        return sorted(
            [*others, hub],
            key=lambda name: self.passed_over_until_s.get(name, 0.0) > now_s,
        )

    async def is_received(self, link: MessageLink, items: Items) -> bool:
        """Send items to one relay; return whether it has confirmed them."""
        for notice in self.encode(items):
            reply = await link.call(notice, RECEIPT_TIMEOUT_S)
            if isinstance(reply, CallFailed):
                name = link.hello.name
                self.passed_over_until_s[name] = trio.current_time() + PASSED_OVER_S
                log.info(
                    "relay did not confirm a notice",
                    kind=notice.kind,
                    relay=name,
                    items=len(items),
                    reason=reply.reason,
                )
                return False
        return True
