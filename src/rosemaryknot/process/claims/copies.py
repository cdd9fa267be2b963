"""Copies of claims at peers: where an owner puts them, and how they are held.

A copy lets the successor of an owner that died tell which ids may have run, and
which attempts were closed.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol

import trio

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.claims.records import ClaimRecord
from rosemaryknot.process.claims.shard_map import rendezvous
from rosemaryknot.process.claims.table import (
    RecordTable,
    TableBounds,
    TableUse,
    from_wire,
    to_wire,
)
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.values.claim_peers import (
    CopiesGathered,
    CopiesStored,
    CopyRecords,
    GatherCopies,
    WireRecord,
)
from rosemaryknot.values.claims import ClaimId
from rosemaryknot.values.messages import Message
from rosemaryknot.values.nodes import Node

__all__ = ["Copier", "CopyHolder", "PeerCaller", "holder_name", "pages_of"]

COPY_TIMEOUT_S = 0.4
MAX_TRIES = 3
SUSPECT_S = 2.0
GATHER_TIMEOUT_S = 1.0
PAGE_RECORDS = 500
PAGE_BYTES = 1024 * 1024
ANSWER_SHARE = 1.25
NOT_COPIED = "not copied by request of a test"

Item = tuple[ClaimId, ClaimRecord]


class PeerCaller(Protocol):
    """What claims ask of the set of peers."""

    def nodes(self) -> list[Node]:
        """Return the other nodes that seem to live."""

    def linked(self) -> list[Node]:
        """Return those that a link of this node leads to."""

    async def call(
        self, name: str, value: Message, timeout_s: float
    ) -> Message | CallFailed:
        """Call a node."""

    async def broadcast(self, value: Message) -> None:
        """Send a message to every live node."""


def pages_of(items: Sequence[Item]) -> list[list[Item]]:
    """Split records so that each page fits into one frame."""
    pages: list[list[Item]] = [[]]
    size = 0
    for item in items:
        record_size = item[1].size_bytes
        if pages[-1] and (
            len(pages[-1]) >= PAGE_RECORDS or size + record_size > PAGE_BYTES
        ):
            pages.append([])
            size = 0
        pages[-1].append(item)
        size += record_size
    return pages


def is_newer(record: ClaimRecord, other: ClaimRecord) -> bool:
    """Tell whether a record says more than another one of the same id."""
    return (record.epoch, record.version) > (other.epoch, other.version)


def holder_name(node: Node) -> str:
    """Return the name of a process: a node that starts again holds nothing."""
    return f"{node.name}/{node.incarnation}"


class Copier:
    """Puts copies of an owner's records to a peer.

    Parameters
    ----------
    node : Node
        This node.
    peers : PeerCaller
        The other nodes.
    safeguards : Safeguards
        Tests may turn the copy off.

    Attributes
    ----------
    counters : Counter
        ``copied``, ``failed`` (one peer did not take it), ``uncopied`` (none did).
    """

    def __init__(self, node: Node, peers: PeerCaller, safeguards: Safeguards) -> None:
        self.node = node
        self.peers = peers
        self.safeguards = safeguards
        self.suspected_until_s: dict[str, float] = {}
        self.counters: Counter[str] = Counter()

    def candidates(self, index: int) -> list[Node]:
        """Return the peers to try in order: other zones first, known mutes last."""
        now_s = trio.current_time()
        nodes = rendezvous(index, self.peers.nodes())
        return sorted(
            nodes,
            key=lambda node: (
                self.suspected_until_s.get(node.name, 0.0) > now_s,
                node.zone == self.node.zone,
            ),
        )

    async def copy(self, index: int, items: Sequence[Item]) -> str:
        """Put records to one peer.

        Parameters
        ----------
        index : int
            Their shard.
        items : sequence of (ClaimId, ClaimRecord)
            The records; few enough for one frame.

        Returns
        -------
        holder : str
            Process that holds them, see `holder_name`; empty where none answered.
        """
        if not self.safeguards.claim_copy:
            return NOT_COPIED
        message = CopyRecords(index, to_wire(items, trio.current_time()))
        versions = [record.version for _, record in items]
        for node in self.candidates(index)[:MAX_TRIES]:
            reply = await self.peers.call(node.name, message, COPY_TIMEOUT_S)
            if isinstance(reply, CopiesStored) and reply.stored:
                self.counters["copied"] += 1
                for (_, record), version in zip(items, versions, strict=True):
                    if record.version == version:
                        record.holder = holder_name(node)
                return holder_name(node)
            self.counters["failed"] += 1
            self.suspected_until_s[node.name] = trio.current_time() + SUSPECT_S
        self.counters["uncopied"] += 1
        return ""

    async def gather(self, name: str, index: int) -> tuple[list[Item], float] | None:
        """Fetch the copies that a peer holds of a shard.

        Parameters
        ----------
        name : str
            The peer.
        index : int
            The shard.

        Returns
        -------
        found : tuple of (list, float) or None
            Records, and for how many seconds the peer has held copies; None where
            it is mute.
        """
        found: list[WireRecord] = []
        after = 0
        while True:
            message = GatherCopies(index, self.node.name, after)
            reply = await self.peers.call(name, message, GATHER_TIMEOUT_S)
            if not isinstance(reply, CopiesGathered):
                return None
            found.extend(reply.records)
            after = reply.after
            if not after:
                return from_wire(found, trio.current_time()), reply.age_s


class CopyHolder:
    """Holds copies of the records of other owners.

    Parameters
    ----------
    bounds : TableBounds
        Bounds on all copies together.

    Attributes
    ----------
    tables : dict of int to RecordTable
        Copies by shard.
    """

    def __init__(self, bounds: TableBounds) -> None:
        self.use = TableUse(bounds)
        self.started_s = trio.current_time()
        self.tables: dict[int, RecordTable] = {}
        self.snapshots: dict[tuple[str, int], list[list[Item]]] = {}

    @property
    def age_s(self) -> float:
        """For how long this process has held copies."""
        return trio.current_time() - self.started_s

    def table(self, index: int) -> RecordTable:
        """Return the copies of a shard."""
        return self.tables.setdefault(index, RecordTable(self.use))

    def store(self, index: int, items: Sequence[Item]) -> bool:
        """Hold copies; False where there is no room for one of them."""
        table = self.table(index)
        for claim_id, record in items:
            held = table.get(claim_id)
            if held is None and not self.use.has_room():
                return False
            if held is None or is_newer(record, held):
                if len(record.body) > self.use.room_bytes(ANSWER_SHARE):
                    # That it ran must be kept; what it was answered may go.
                    record = replace(record, body=b"", is_kept=False)
                table.put(claim_id, record)
        return True

    def items(self, index: int) -> list[Item]:
        """Return the copies of a shard."""
        return list(self.table(index).records.items())

    def page(self, request: GatherCopies) -> CopiesGathered:
        """Return a page of a shard's copies, as they were at the first page."""
        key = (request.node, request.shard)
        if not request.after:
            self.snapshots[key] = pages_of(self.items(request.shard))
        pages = self.snapshots.get(key, [])
        page = pages[request.after] if request.after < len(pages) else []
        is_last = request.after + 1 >= len(pages)
        if is_last:
            self.snapshots.pop(key, None)
        records = to_wire(page, trio.current_time())
        after = 0 if is_last else request.after + 1
        return CopiesGathered(records, after, self.age_s)

    def expire(self, now_s: float) -> None:
        """Forget the copies whose time has passed."""
        for table in self.tables.values():
            table.expire(now_s)

    def register(self, handlers: Handlers) -> None:
        """Answer owners and successors."""

        @handlers.on(CopyRecords)
        async def copy(value: CopyRecords, link: MessageLink) -> Message:
            items = from_wire(value.records, trio.current_time())
            return CopiesStored(self.store(value.shard, items))

        @handlers.on(GatherCopies)
        async def gather(value: GatherCopies, link: MessageLink) -> Message:
            return self.page(value)
