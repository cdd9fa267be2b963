"""Membership records of the other nodes, which are hints and never confirmation."""

from dataclasses import replace

import msgpack
import xxhash

from rosemaryknot.values.nodes import Node
from rosemaryknot.values.peers import PeerRecord, PeerState

__all__ = ["PeerTable"]

MAX_RECORDS = 4096
RECORD_TTL_S = 300.0


class PeerTable:
    """The newest record of each known node.

    Parameters
    ----------
    own : PeerRecord
        The record of this node.

    Attributes
    ----------
    own : PeerRecord
        The record of this node; only this node increments its sequence.
    records : dict of str to PeerRecord
        Records of the other nodes by name.
    pending_gossip : set of str
        Names of the nodes whose record changed since it was last gossiped.
    newer_incarnations_seen : int
        Number of records received about a later incarnation of this node.
    refused : int
        Number of records of new nodes rejected because the table was full.
    """

    def __init__(self, own: PeerRecord) -> None:
        self.own = own
        self.records: dict[str, PeerRecord] = {}
        self.pending_gossip: set[str] = {own.name}
        self.newer_incarnations_seen = 0
        self.refused = 0

    def all_records(self) -> list[PeerRecord]:
        """Return all records, starting with that of this node."""
        return [self.own, *self.records.values()]

    def live_nodes(self) -> list[Node]:
        """Return the other nodes that are not suspected."""
        return [r.node for r in self.records.values() if r.state == PeerState.LIVE]

    def has_newer_incarnation(self, node: Node) -> bool:
        """Return whether a later incarnation of a node is known."""
        known = self.records.get(node.name)
        return known is not None and known.incarnation > node.incarnation

    def merge(self, record: PeerRecord, now_s: float) -> bool:
        """Apply a received record if it is newer than the known one.

        Parameters
        ----------
        record : PeerRecord
            Record received from another node.
        now_s : float
            Trio time, in seconds.

        Returns
        -------
        changed : bool
            Whether the table changed.
        """
        if record.name == self.own.name:
            return self.refute(record)
        known = self.records.get(record.name)
        if known is None:
            return self.add(record, now_s)
        if record.precedence <= known.precedence:
            return self.adopt_capacity(known, record)
        if record.state != PeerState.LIVE and known.state != PeerState.LIVE:
            record.suspect_since_s = min(record.suspect_since_s, known.suspect_since_s)
        self.records[record.name] = record
        self.pending_gossip.add(record.name)
        return True

    def adopt_capacity(self, known: PeerRecord, record: PeerRecord) -> bool:
        """Complete a record that a node of earlier software has passed on."""
        is_same = record.precedence == known.precedence
        if known.capacity or not record.capacity or not is_same:
            return False
        known.capacity = record.capacity
        self.pending_gossip.add(known.name)
        return True

    def add(self, record: PeerRecord, now_s: float) -> bool:
        """Add the first record of a node."""
        if record.state != PeerState.LIVE:
            # Nodes evict the record of a removed node at different times. If one
            # learnt it again from a node that still has it, the record would
            # circulate indefinitely.
            return False
        if len(self.records) >= MAX_RECORDS and not self.evict_oldest():
            self.refused += 1
            return False
        self.records[record.name] = record
        self.pending_gossip.add(record.name)
        return True

    def evict_oldest(self) -> bool:
        """Evict the record that has been not live for longest, if there is one."""
        not_live = [r for r in self.records.values() if r.state != PeerState.LIVE]
        if not not_live:
            return False
        oldest = min(not_live, key=lambda record: record.suspect_since_s)
        del self.records[oldest.name]
        return True

    def refute(self, record: PeerRecord) -> bool:
        """Refute a received record of this node, unless it is correct."""
        if record.incarnation > self.own.incarnation:
            self.newer_incarnations_seen += 1
            return False
        if self.own.state == PeerState.LEFT or record.precedence <= self.own.precedence:
            return False
        self.own = replace(self.own, sequence=record.sequence + 1)
        self.pending_gossip.add(self.own.name)
        return True

    def suspect(self, name: str, now_s: float) -> bool:
        """Mark a live node as suspected; return whether the record changed."""
        known = self.records.get(name)
        if known is None or known.state != PeerState.LIVE:
            return False
        self.records[name] = replace(
            known, state=PeerState.SUSPECT, suspect_since_s=now_s
        )
        self.pending_gossip.add(name)
        return True

    def evict_expired(self, now_s: float) -> list[str]:
        """Evict records of nodes not seen alive for `RECORD_TTL_S` seconds.

        Returns
        -------
        names : list of str
            Names of the evicted nodes.
        """
        names = [
            record.name
            for record in self.records.values()
            if record.state != PeerState.LIVE
            and now_s - record.suspect_since_s > RECORD_TTL_S
        ]
        for name in names:
            del self.records[name]
            self.pending_gossip.discard(name)
        return names

    def take_pending_gossip(self) -> list[PeerRecord]:
        """Return the records to gossip and clear the pending set."""
        names, self.pending_gossip = self.pending_gossip, set()
        return [r for r in self.all_records() if r.name in names]

    def digest(self) -> int:
        """Return a hash that is equal for tables with equal live records."""
        # Only these fields are hashed. The state is a plain number if it came in a
        # message and a `PeerState` otherwise; if that were hashed, equal tables would
        # be sent repeatedly.
        versions = sorted(
            (r.name, r.incarnation, r.sequence)
            for r in self.all_records()
            if r.state == PeerState.LIVE
        )
        return xxhash.xxh64_intdigest(msgpack.packb(versions))
