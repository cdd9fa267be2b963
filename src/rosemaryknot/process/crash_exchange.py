"""Exchange of records of crashes between gateways.

A change is sent to all gateways at once, through relays in a large deployment. It is
then repeated to random gateways for a while, which reaches those that a lost message or
a network partition has left out, and those that start.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterable, Iterator

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.crash_notices import (
    DecodedNotice,
    decode_notice,
    encode_notice,
)
from rosemaryknot.process.crash_records import CrashRecord, CrashRecords
from rosemaryknot.process.logs import logger
from rosemaryknot.process.newcomers import is_helper, watch_newcomers
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.relay_broadcast import (
    Items,
    Reach,
    RelayBroadcast,
    Relays,
)
from rosemaryknot.process.segment_records import SegmentRecord
from rosemaryknot.values.gateway_peers import CrashNotice
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.notices import NoticeReceived

__all__ = [
    "CrashExchange",
    "apply_notice",
    "log_refused",
    "log_segment_refused",
    "log_segment_released",
]

REPEAT_INTERVAL_S = 1.0
# How long after a change of records or membership they are repeated.
REPEAT_DURATION_S = 30.0
MAX_NOTICE_RECORDS = 64
# Kinds of items of notices, the first part of their keys.
RECORD = "record"
CLEARED = "cleared"

log = logger("crashes")


class CrashExchange:
    """Sender of this gateway's crash records and receiver of those of the others.

    Parameters
    ----------
    node : Node
        This gateway.
    peers : PeerSet
        The other gateways.
    hubs : Relays
        Determines the relays of a large deployment.
    records : CrashRecords
        The records.
    handlers : Handlers
        Message handlers of the node's links.
    rng : random.Random
        Selects gateways.

    Attributes
    ----------
    broadcast : RelayBroadcast
        Sends changed records, and cleared crashes, by digest.
    on_received : callable
        Called after a notice that contained something new.
    """

    def __init__(
        self,
        node: Node,
        peers: PeerSet,
        hubs: Relays,
        records: CrashRecords,
        handlers: Handlers,
        rng: random.Random,
    ) -> None:
        self.node = node
        self.peers = peers
        self.hubs = hubs
        self.broadcast = RelayBroadcast(peers, hubs, self.encode, merge_items, rank_of)
        self.records = records
        self.rng = rng
        self.last_change_s = float("-inf")
        self.last_peer_changes = 0
        self.on_received: Callable[[], None] = lambda: None
        handlers.on(CrashNotice)(self.handle_notice)

    def enqueue(self, record: CrashRecord | SegmentRecord) -> None:
        """Send a record that has changed to all gateways."""
        self.last_change_s = trio.current_time()
        self.broadcast.add((RECORD, record.digest), record, version_of(record))

    def enqueue_cleared(self, digest: bytes, servers: set[str]) -> None:
        """Send cleared crashes to all gateways."""
        self.last_change_s = trio.current_time()
        self.broadcast.add((CLEARED, digest), servers, frozenset(servers))

    def clear(self, digest: bytes, service: str | None = None) -> set[str]:
        """Clear a request of its crashes here and at the other gateways.

        Parameters and return value are those of `CrashRecords.clear`.
        """
        servers = self.records.table_of(digest).clear(digest, service)
        if servers:
            log.info(
                "request cleared of server crashes",
                request_digest=digest.hex(),
                servers=sorted(servers),
                by="operator" if service is None else "complete response",
            )
            self.broadcast.discard((RECORD, digest))
            self.enqueue_cleared(digest, servers)
        return servers

    def clear_servers(self, digest: bytes, servers: set[str]) -> bool:
        """Clear a segment of some crashes here and at the other gateways.

        Returns
        -------
        is_cleared : bool
            Whether any of them was on record.
        """
        if not self.records.segments.clear_servers(digest, servers):
            return False
        self.enqueue_cleared(digest, servers)
        return True

    async def run(self) -> None:
        """Send changes until cancelled."""
        await self.broadcast.run()

    def encode(self, items: Items) -> Iterator[CrashNotice]:
        """Return notices with changed records and cleared crashes.

        Records with the most crashes go first.
        """
        records = [item for (kind, _), item in items.items() if kind == RECORD]
        records.sort(key=rank_of, reverse=True)
        cleared = [(d, item) for (kind, d), item in items.items() if kind == CLEARED]
        for start in range(0, max(len(records), len(cleared)), MAX_NOTICE_RECORDS):
            end = start + MAX_NOTICE_RECORDS
            yield self.notice_of(records[start:end], cleared[start:end])

    def notice_of(
        self,
        records: Iterable[CrashRecord | SegmentRecord],
        cleared: Iterable[tuple[bytes, set[str]]] = (),
    ) -> CrashNotice:
        """Return records and cleared crashes as a message."""
        notice = encode_notice(records, cleared, trio.current_time())
        notice.era = self.records.era
        return notice

    async def run_repeats(self) -> None:
        """Repeat records to random gateways for a while after changes."""
        while True:
            await trio.sleep(REPEAT_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            now_s = trio.current_time()
            if self.peers.changes != self.last_peer_changes:
                self.last_peer_changes = self.peers.changes
                self.last_change_s = now_s
            nodes = self.repeat_nodes()
            if nodes and now_s - self.last_change_s < REPEAT_DURATION_S:
                await self.repeat(self.rng.choice(nodes).name)

    def repeat_nodes(self) -> list[Node]:
        """Return the gateways that records are repeated to.

        Links connect all gateways of a large deployment. Between gateways without a
        link, the relays would carry the repetitions of all.
        """
        linked = self.peers.linked() if self.hubs.is_enabled else []
        return linked or self.peers.nodes()

    async def run_newcomers(self) -> None:
        """Send the records to gateways that are new, until cancelled.

        Without them, a gateway that has just started runs requests that the others
        refuse, and they would learn late that it completed one.
        """
        await watch_newcomers(self.peers, self.inform)

    async def inform(self, names: list[str]) -> None:
        """Send the records to those gateways that this one helps."""
        for name in names:
            if is_helper(self.peers, name):
                await self.repeat(name)

    async def repeat(self, name: str) -> None:
        """Send a gateway the records that matter most and the latest cleared ones."""
        records, cleared = [], []
        for table in (self.records, self.records.segments):
            newest = reversed(table.by_digest.values())
            first = sorted(newest, key=lambda record: not record.is_refused)
            records += first[:MAX_NOTICE_RECORDS]
            cleared += newest_items(table.cleared, MAX_NOTICE_RECORDS)
        if records or cleared:
            notice = self.notice_of(records, cleared)
            notice.is_forwarded = True
            await self.peers.send(name, notice)

    async def handle_notice(
        self, notice: CrashNotice, link: MessageLink
    ) -> NoticeReceived:
        """Apply the records of another gateway or of an entry, and forward them."""
        decoded = apply_notice(self.records, notice)
        if decoded is None:
            return NoticeReceived()
        await self.share_completions(decoded.records, link)
        for record in decoded.completed:
            self.pass_on_completion(record)
        if decoded.is_new:
            self.last_change_s = trio.current_time()
            self.on_received()
            for entry in self.peers.entries:
                if entry is not link:
                    await entry.send(notice)
        self.forward(decoded, self.broadcast.reach_of(notice, link))
        return NoticeReceived()

    def forward(self, decoded: DecodedNotice, reach: Reach | None) -> None:
        """Forward the items of a notice, with what is known of them here."""
        for digest, servers in decoded.cleared:
            key = (CLEARED, digest)
            self.broadcast.forward(key, servers, reach, frozenset(servers))
        for received in (*decoded.records, *decoded.segments):
            record = self.records.get(received.digest)
            if record is not None:
                key = (RECORD, record.digest)
                self.broadcast.forward(key, record, reach, version_of(record))

    async def send_to_entry(self, link: MessageLink) -> None:
        """Send all records to an entry that has connected."""
        requests, segments = self.records, self.records.segments
        records = [*requests.by_digest.values(), *segments.by_digest.values()]
        cleared = [*requests.cleared.items(), *segments.cleared.items()]
        if records or cleared:
            await link.send(self.notice_of(records, cleared))

    async def share_completions(
        self, received: list[CrashRecord], link: MessageLink
    ) -> None:
        """Tell the other gateways if requests have completed here before.

        In a large deployment many gateways may have completed one, so that each tells
        only the one that sent the record; see `pass_on_completion`.
        """
        completed = [record for item in received if (record := self.completed(item))]
        for record in completed:
            record.has_completed = True
        if not completed:
            return
        self.records.signal_change()
        if self.hubs.is_enabled:
            notice = self.notice_of(completed)
            notice.is_forwarded = True
            await link.send(notice)
            return
        for record in completed:
            self.enqueue(record)

    def completed(self, received: CrashRecord) -> CrashRecord | None:
        """Return the own record of a request if only this node knows it to complete."""
        record = self.records.by_digest.get(received.digest)
        has_completed = received.digest in self.records.completed
        return None if received.has_completed or not has_completed else record

    def pass_on_completion(self, record: CrashRecord) -> None:
        """Tell the others of a large deployment that a request completed elsewhere."""
        is_relay = self.node.name in self.hubs.relays(self.node.zone)
        if self.hubs.is_enabled and (record.is_own or is_relay):
            self.enqueue(record)


def version_of(record: CrashRecord | SegmentRecord) -> Hashable:
    """Return a value that differs if a record has changed."""
    tried = record.trials if isinstance(record, SegmentRecord) else record.is_tried
    completed = isinstance(record, CrashRecord) and record.has_completed
    return frozenset(record.crashes), tried, completed, record.is_stored


def merge_items(
    earlier: CrashRecord | SegmentRecord | set[str],
    later: CrashRecord | SegmentRecord | set[str],
) -> CrashRecord | SegmentRecord | set[str]:
    """Return the item that replaces two of a notice with the same key."""
    if isinstance(earlier, set) and isinstance(later, set):
        return earlier | later
    return later


def rank_of(item: CrashRecord | SegmentRecord | set[str]) -> float:
    """Return how much an item of a notice matters: the number of crashes."""
    return len(item) if isinstance(item, set) else len(item.crashes)


def apply_notice(records: CrashRecords, notice: CrashNotice) -> DecodedNotice | None:
    """Apply a notice to records; return None if it is malformed."""
    decoded = decode_notice(notice, trio.current_time())
    if decoded is None:
        log.error("crash notice ignored: malformed")
        return None
    if notice.era != records.era:
        # The sender knows of another era of the store, perhaps of one that has ended.
        for record in (*decoded.records, *decoded.segments):
            record.is_stored = False
    for digest, servers in decoded.cleared:
        decoded.is_new |= records.table_of(digest).clear_servers(digest, servers)
    for segment in decoded.segments:
        decoded.is_new |= records.segments.merge(segment)
    for received in decoded.records:
        before = records.by_digest.get(received.digest)
        was_complete = before is not None and before.has_completed
        decoded.is_new |= records.merge(received)
        record = records.by_digest.get(received.digest)
        if record is not None and received.has_completed and not was_complete:
            decoded.completed.append(record)
    return decoded


def log_refused(record: CrashRecord) -> None:
    """Log that a request is refused from now on."""
    log.error(
        "refusing a request since servers crashed while running it",
        request_digest=record.digest.hex(),
        customer=record.customer,
        servers=list(record.crashes),
        simultaneous=record.is_simultaneous,
        stored=record.is_stored,
    )


def log_segment_refused(record: SegmentRecord) -> None:
    """Log that requests with a segment are refused from now on."""
    log.error(
        "refusing requests with a prompt segment since servers crashed under them",
        segment=record.segment,
        segment_digest=record.digest.hex(),
        customer=record.customer,
        servers=list(record.crashes),
        requests=sorted(
            {digest.hex() for c in record.crashes.values() for digest in c.requests}
        ),
        trials=record.trials,
        stored=record.is_stored,
    )


def log_segment_released(record: SegmentRecord) -> None:
    """Log that requests with a segment are not refused any more."""
    log.info(
        "prompt segment is not refused any more",
        segment=record.segment,
        segment_digest=record.digest.hex(),
        customer=record.customer,
        servers=list(record.crashes),
        trials=record.trials,
    )


def newest_items(
    items: OrderedDict[bytes, set[str]], count: int
) -> list[tuple[bytes, set[str]]]:
    """Return the last items of an ordered dictionary."""
    return [
        item for item, _ in zip(reversed(items.items()), range(count), strict=False)
    ]
