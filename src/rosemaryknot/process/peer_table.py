"""What a node knows of the other nodes: a hint, never a proof."""

from dataclasses import replace

import msgpack
import xxhash

from rosemaryknot.values.nodes import Node
from rosemaryknot.values.peers import PeerRecord, PeerState

__all__ = ["PeerTable"]

MAX_RECORDS = 4096
FORGET_S = 300.0


class PeerTable:
    """Records of all known nodes, newest statement of each.

    Parameters
    ----------
    own : PeerRecord
        The record of this node.

    Attributes
    ----------
    own : PeerRecord
        The record of this node; only it raises its sequence.
    records : dict of str to PeerRecord
        Records of the others by name.
    unspread : set of str
        Names whose record changed since it was last spread.
    newer_self : int
        Statements seen about a later incarnation of this very node.
    refused : int
        Records of new nodes for which there was no room.
    """

    def __init__(self, own: PeerRecord) -> None:
        self.own = own
        self.records: dict[str, PeerRecord] = {}
        self.unspread: set[str] = {own.name}
        self.newer_self = 0
        self.refused = 0

    def all_records(self) -> list[PeerRecord]:
        """Return every record, this node's own first."""
        return [self.own, *self.records.values()]

    def live_nodes(self) -> list[Node]:
        """Return the other nodes that nobody suspects."""
        return [r.node for r in self.records.values() if r.state == PeerState.LIVE]

    def is_older(self, node: Node) -> bool:
        """Tell whether a later incarnation of a node is known."""
        known = self.records.get(node.name)
        return known is not None and known.incarnation > node.incarnation

    def merge(self, record: PeerRecord, now_s: float) -> bool:
        """Take a statement in, if it is newer than what is known.

        Parameters
        ----------
        record : PeerRecord
            What another node says.
        now_s : float
            Trio time, in seconds.

        Returns
        -------
        changed : bool
            Whether the table changed.
        """
        if record.name == self.own.name:
            return self.answer(record)
        known = self.records.get(record.name)
        if known is None:
            return self.add(record, now_s)
        if record.rank <= known.rank:
            return False
        if record.state != PeerState.LIVE and known.state != PeerState.LIVE:
            record.suspect_since_s = min(record.suspect_since_s, known.suspect_since_s)
        self.records[record.name] = record
        self.unspread.add(record.name)
        return True

    def add(self, record: PeerRecord, now_s: float) -> bool:
        """Take the first statement about a node in."""
        if record.state != PeerState.LIVE:
            # Nodes forget one that is gone at different moments. Were it learnt
            # again from one that has not yet, it would be passed round for ever.
            return False
        if len(self.records) >= MAX_RECORDS and not self.make_room():
            self.refused += 1
            return False
        self.records[record.name] = record
        self.unspread.add(record.name)
        return True

    def make_room(self) -> bool:
        """Drop the node that is gone for longest, if any is."""
        gone = [r for r in self.records.values() if r.state != PeerState.LIVE]
        if not gone:
            return False
        oldest = min(gone, key=lambda record: record.suspect_since_s)
        del self.records[oldest.name]
        return True

    def answer(self, record: PeerRecord) -> bool:
        """Contradict what is said of this node, unless it is true."""
        if record.incarnation > self.own.incarnation:
            self.newer_self += 1
            return False
        if self.own.state == PeerState.LEFT or record.rank <= self.own.rank:
            return False
        self.own = replace(self.own, sequence=record.sequence + 1)
        self.unspread.add(self.own.name)
        return True

    def suspect(self, name: str, now_s: float) -> bool:
        """Note that a node cannot be reached; return whether that is news."""
        known = self.records.get(name)
        if known is None or known.state != PeerState.LIVE:
            return False
        self.records[name] = replace(
            known, state=PeerState.SUSPECT, suspect_since_s=now_s
        )
        self.unspread.add(name)
        return True

    def forget(self, now_s: float) -> list[str]:
        """Drop the nodes that have not been heard of for `FORGET_S` seconds.

        Returns
        -------
        names : list of str
            The nodes dropped.
        """
        names = [
            record.name
            for record in self.records.values()
            if record.state != PeerState.LIVE
            and now_s - record.suspect_since_s > FORGET_S
        ]
        for name in names:
            del self.records[name]
            self.unspread.discard(name)
        return names

    def take_unspread(self) -> list[PeerRecord]:
        """Return the records to spread, and clear their list."""
        names, self.unspread = self.unspread, set()
        return [r for r in self.all_records() if r.name in names]

    def digest(self) -> int:
        """Return a number that is the same where the live records are the same."""
        # Of the fields only: a state is a plain number where it came in a message and
        # a `PeerState` elsewhere. Were that in the digest, tables that agree would be
        # sent over and over.
        ranks = sorted(
            (r.name, r.incarnation, r.sequence)
            for r in self.all_records()
            if r.state == PeerState.LIVE
        )
        return xxhash.xxh64_intdigest(msgpack.packb(ranks))
