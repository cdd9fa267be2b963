"""Replication of claim records to peers.

With the replicas, the successor of a failed owner can determine which ids may have run
and which attempts were closed.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol

import trio

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.claims.records import ClaimRecord
from rosemaryknot.process.claims.shard_map import rendezvous_order
from rosemaryknot.process.claims.table import (
    RecordTable,
    TableBounds,
    TableUsage,
    from_wire,
    to_wire,
)
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.values.claim_peers import (
    GatherReplicas,
    ReplicasGathered,
    ReplicasStored,
    ReplicateRecords,
    WireRecord,
)
from rosemaryknot.values.claims import ClaimId
from rosemaryknot.values.messages import Message
from rosemaryknot.values.nodes import Node

__all__ = ["PeerClient", "ReplicaStore", "Replicator", "holder_name", "split_pages"]

REPLICATION_TIMEOUT_S = 0.4
MAX_ATTEMPTS = 3
SUSPICION_PERIOD_S = 2.0
GATHER_TIMEOUT_S = 1.0
MAX_PAGE_RECORDS = 500
MAX_PAGE_BYTES = 1024 * 1024
RESPONSE_CAPACITY_FACTOR = 1.25
REPLICATION_DISABLED = "replication disabled by a test"

Item = tuple[ClaimId, ClaimRecord]


class PeerClient(Protocol):
    """Calls to peers that the claims need."""

    def nodes(self) -> list[Node]:
        """Return the other nodes that are considered live."""

    def linked(self) -> list[Node]:
        """Return the nodes to which this node has a link."""

    async def call(
        self, name: str, value: Message, timeout_s: float
    ) -> Message | CallFailed:
        """Send a message to a node and return its reply."""

    async def broadcast(self, value: Message) -> None:
        """Send a message to every live node."""


def split_pages(items: Sequence[Item]) -> list[list[Item]]:
    """Split records so that each page fits into one frame."""
    pages: list[list[Item]] = [[]]
    size = 0
    for item in items:
        record_size = item[1].size_bytes
        if pages[-1] and (
            len(pages[-1]) >= MAX_PAGE_RECORDS or size + record_size > MAX_PAGE_BYTES
        ):
            pages.append([])
            size = 0
        pages[-1].append(item)
        size += record_size
    return pages


def is_newer(record: ClaimRecord, other: ClaimRecord) -> bool:
    """Return whether a record is newer than another one of the same id."""
    return (record.epoch, record.version) > (other.epoch, other.version)


def holder_name(node: Node) -> str:
    """Return the name of a node's process.

    It contains the incarnation, since a restarted node holds no replicas.
    """
    return f"{node.name}/{node.incarnation}"


class Replicator:
    """Replication of an owner's records to peers.

    Parameters
    ----------
    node : Node
        This node.
    peers : PeerClient
        The other nodes.
    safeguards : Safeguards
        Safeguards; tests may turn the replication off.

    Attributes
    ----------
    counters : Counter
        Number of replications by outcome: ``copied``, ``failed`` (one peer did not
        store the records), ``uncopied`` (no peer stored them).
    """

    def __init__(self, node: Node, peers: PeerClient, safeguards: Safeguards) -> None:
        self.node = node
        self.peers = peers
        self.safeguards = safeguards
        self.suspected_until_s: dict[str, float] = {}
        self.counters: Counter[str] = Counter()

    def candidates(self, index: int) -> list[Node]:
        """Return the peers in the order of attempts.

        Peers in other zones come first, and peers that recently failed last.
        """
        now_s = trio.current_time()
        nodes = rendezvous_order(index, self.peers.nodes())
        return sorted(
            nodes,
            key=lambda node: (
                self.suspected_until_s.get(node.name, 0.0) > now_s,
                node.zone == self.node.zone,
            ),
        )

    async def replicate(self, index: int, items: Sequence[Item]) -> str:
        """Replicate records to one peer.

        Parameters
        ----------
        index : int
            Shard of the records.
        items : sequence of (ClaimId, ClaimRecord)
            The records; they must fit into one frame.

        Returns
        -------
        holder : str
            Process that holds the replicas, see `holder_name`; empty if no peer
            confirmed them.
        """
        if not self.safeguards.claim_copy:
            return REPLICATION_DISABLED
        message = ReplicateRecords(index, to_wire(items, trio.current_time()))
        versions = [record.version for _, record in items]
        for node in self.candidates(index)[:MAX_ATTEMPTS]:
            reply = await self.peers.call(node.name, message, REPLICATION_TIMEOUT_S)
            if isinstance(reply, ReplicasStored) and reply.stored:
                self.counters["copied"] += 1
                for (_, record), version in zip(items, versions, strict=True):
                    if record.version == version:
                        record.holder = holder_name(node)
                return holder_name(node)
            self.counters["failed"] += 1
            self.suspected_until_s[node.name] = trio.current_time() + SUSPICION_PERIOD_S
        self.counters["uncopied"] += 1
        return ""

    async def gather_replicas(
        self, name: str, index: int
    ) -> tuple[list[Item], float] | None:
        """Fetch the replicas that a peer holds of a shard.

        Parameters
        ----------
        name : str
            Name of the peer.
        index : int
            Index of the shard.

        Returns
        -------
        found : tuple of (list, float) or None
            Records, and for how many seconds the peer's process has held replicas;
            None if the peer does not respond.
        """
        found: list[WireRecord] = []
        after = 0
        while True:
            message = GatherReplicas(index, self.node.name, after)
            reply = await self.peers.call(name, message, GATHER_TIMEOUT_S)
            if not isinstance(reply, ReplicasGathered):
                return None
            found.extend(reply.records)
            after = reply.after
            if not after:
                return from_wire(found, trio.current_time()), reply.age_s


class ReplicaStore:
    """Replicas of the records of other owners.

    Parameters
    ----------
    bounds : TableBounds
        Bounds on all replicas together.

    Attributes
    ----------
    tables : dict of int to RecordTable
        Replicas by shard.
    """

    def __init__(self, bounds: TableBounds) -> None:
        self.usage = TableUsage(bounds)
        self.started_s = trio.current_time()
        self.tables: dict[int, RecordTable] = {}
        self.snapshots: dict[tuple[str, int], list[list[Item]]] = {}

    @property
    def age_s(self) -> float:
        """Time in seconds for which this process has held replicas."""
        return trio.current_time() - self.started_s

    def table(self, index: int) -> RecordTable:
        """Return the table with the replicas of a shard."""
        return self.tables.setdefault(index, RecordTable(self.usage))

    def store(self, index: int, items: Sequence[Item]) -> bool:
        """Store replicas; return False if the capacity is exhausted for one of them."""
        table = self.table(index)
        for claim_id, record in items:
            held = table.get(claim_id)
            if held is None and not self.usage.has_capacity():
                return False
            if held is None or is_newer(record, held):
                if len(record.body) > self.usage.free_bytes(RESPONSE_CAPACITY_FACTOR):
                    # The fact that the id ran must be kept; its response may be
                    # discarded.
                    record = replace(record, body=b"", is_kept=False)
                table.put(claim_id, record)
        return True

    def items(self, index: int) -> list[Item]:
        """Return the replicas of a shard."""
        return list(self.table(index).records.items())

    def page(self, request: GatherReplicas) -> ReplicasGathered:
        """Return a page of a shard's replicas.

        All pages belong to a snapshot that is made for the first one.
        """
        key = (request.node, request.shard)
        if not request.after:
            self.snapshots[key] = split_pages(self.items(request.shard))
        pages = self.snapshots.get(key, [])
        page = pages[request.after] if request.after < len(pages) else []
        is_last = request.after + 1 >= len(pages)
        if is_last:
            self.snapshots.pop(key, None)
        records = to_wire(page, trio.current_time())
        after = 0 if is_last else request.after + 1
        return ReplicasGathered(records, after, self.age_s)

    def expire(self, now_s: float) -> None:
        """Remove expired replicas."""
        for table in self.tables.values():
            table.expire(now_s)

    def register(self, handlers: Handlers) -> None:
        """Register the handlers for messages of owners and successors."""

        @handlers.on(ReplicateRecords)
        async def replicate(value: ReplicateRecords, link: MessageLink) -> Message:
            items = from_wire(value.records, trio.current_time())
            return ReplicasStored(self.store(value.shard, items))

        @handlers.on(GatherReplicas)
        async def gather_replicas(value: GatherReplicas, link: MessageLink) -> Message:
            return self.page(value)
