"""Exchange of records of crashes between gateways.

A change is sent to all gateways at once, through relays in a large deployment. It is
then repeated to random gateways for a while, which reaches those that a lost message or
a network partition has left out, and those that start.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable

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
from rosemaryknot.process.relay_broadcast import RelayBroadcast, Relays
from rosemaryknot.process.segment_records import SegmentRecord
from rosemaryknot.values.gateway_peers import CrashNotice
from rosemaryknot.values.nodes import Node

__all__ = [
    "CrashExchange",
    "apply_notice",
    "log_refused",
    "log_segment_refused",
    "log_segment_released",
]

# Minimum time between two notices; changes are collected meanwhile.
COLLECT_S = 0.02
REPEAT_INTERVAL_S = 1.0
# How long after a change of records or membership they are repeated.
REPEAT_DURATION_S = 30.0
MAX_NOTICE_RECORDS = 64
# Records that wait to be sent; beyond this number those with the fewest crashes are
# left to the repetitions.
MAX_QUEUED_RECORDS = 512

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
    queue : dict of bytes to CrashRecord or SegmentRecord
        Changed records that wait to be sent, by digest.
    cleared : dict of bytes to set of str
        Cleared crashes that wait to be sent.
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
        self.broadcast = RelayBroadcast(peers, hubs)
        self.records = records
        self.rng = rng
        self.queue: dict[bytes, CrashRecord | SegmentRecord] = {}
        self.cleared: dict[bytes, set[str]] = {}
        self.has_changes = trio.Event()
        self.last_change_s = float("-inf")
        self.last_peer_changes = 0
        self.on_received: Callable[[], None] = lambda: None
        handlers.on(CrashNotice)(self.handle_notice)

    def enqueue(self, record: CrashRecord | SegmentRecord) -> None:
        """Queue a record that has changed."""
        self.queue[record.digest] = record
        if len(self.queue) > MAX_QUEUED_RECORDS:
            least = min(self.queue.values(), key=lambda r: len(r.crashes))
            del self.queue[least.digest]
            log.warning("crash record not sent at once: send queue is full")
        self.signal_change()

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
            self.queue.pop(digest, None)
            self.cleared.setdefault(digest, set()).update(servers)
            self.signal_change()
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
        self.cleared.setdefault(digest, set()).update(servers)
        self.signal_change()
        return True

    def signal_change(self) -> None:
        """Wake the sender."""
        self.last_change_s = trio.current_time()
        self.has_changes.set()

    async def run(self) -> None:
        """Send changes until cancelled."""
        while True:
            await self.has_changes.wait()
            self.has_changes = trio.Event()
            while self.queue or self.cleared:
                await self.broadcast.send(self.next_notice())
                await trio.sleep(COLLECT_S)

    def next_notice(self) -> CrashNotice:
        """Return the next changes as a notice; those with most crashes go first."""
        first = sorted(self.queue.values(), key=lambda r: -len(r.crashes))
        first = first[:MAX_NOTICE_RECORDS]
        for record in first:
            del self.queue[record.digest]
        cleared = list(self.cleared.items())[:MAX_NOTICE_RECORDS]
        for digest, _ in cleared:
            del self.cleared[digest]
        return self.notice_of(first, cleared)

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
            nodes = self.peers.nodes()
            if nodes and now_s - self.last_change_s < REPEAT_DURATION_S:
                await self.repeat(self.rng.choice(nodes).name)

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

    async def handle_notice(self, notice: CrashNotice, link: MessageLink) -> None:
        """Apply the records of another gateway or of an entry, and forward them."""
        decoded = apply_notice(self.records, notice)
        if decoded is None:
            return
        for record in decoded.records:
            await self.share_completion(record, link)
        for record in decoded.completed:
            self.pass_on_completion(record)
        if decoded.is_new:
            self.last_change_s = trio.current_time()
            self.on_received()
            for entry in self.peers.entries:
                if entry is not link:
                    await entry.send(notice)
        if link in self.peers.entries:
            await self.broadcast.send(notice)
        else:
            await self.broadcast.forward(notice)

    async def send_to_entry(self, link: MessageLink) -> None:
        """Send all records to an entry that has connected."""
        requests, segments = self.records, self.records.segments
        records = [*requests.by_digest.values(), *segments.by_digest.values()]
        cleared = [*requests.cleared.items(), *segments.cleared.items()]
        if records or cleared:
            await link.send(self.notice_of(records, cleared))

    async def share_completion(self, received: CrashRecord, link: MessageLink) -> None:
        """Tell the other gateways if a request has completed here before.

        In a large deployment many gateways may have completed it, so that each tells
        only the one that sent the record; see `pass_on_completion`.
        """
        record = self.records.by_digest.get(received.digest)
        has_completed = received.digest in self.records.completed
        if record is None or received.has_completed or not has_completed:
            return
        record.has_completed = True
        self.records.signal_change()
        if not self.broadcast.hubs.is_enabled:
            self.enqueue(record)
            return
        notice = self.notice_of([record])
        notice.is_forwarded = True
        await link.send(notice)

    def pass_on_completion(self, record: CrashRecord) -> None:
        """Tell the others of a large deployment that a request completed elsewhere."""
        hubs = self.broadcast.hubs
        is_relay = self.node.name in hubs.relays(self.node.zone)
        if hubs.is_enabled and (record.is_own or is_relay):
            self.enqueue(record)


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
