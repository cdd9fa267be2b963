"""Records of which nodes and servers a fault disturbed, and when.

Invariants with a time limit are checked only for undisturbed nodes and servers.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

__all__ = [
    "ALL_SUBJECTS",
    "RECOVERY_S",
    "BrittlePeriod",
    "CutPeriod",
    "Disturbance",
    "Disturbances",
    "Partition",
]

# Time after the end of a disturbance until invariants with a time limit hold again.
RECOVERY_S = 3.0
ALL_SUBJECTS = ""


@dataclass(slots=True)
class Disturbance:
    """A period in which a fault disturbs a subject.

    Attributes
    ----------
    subject : str
        Name of the node or server; `ALL_SUBJECTS` for all of them.
    start_s, end_s : float
        When it began and ended, in trio time.
    """

    subject: str
    start_s: float
    end_s: float = math.inf


@dataclass(slots=True)
class CutPeriod:
    """A period in which some nodes are cut off from all servers.

    It is no disturbance: their callers, the store and the other nodes reach them.

    Attributes
    ----------
    nodes : list of str
        Names of the nodes.
    start_s, end_s : float
        When it began and ended, in trio time.
    """

    nodes: list[str]
    start_s: float
    end_s: float = math.inf


@dataclass(slots=True)
class Partition:
    """A period in which two nodes do not reach each other.

    It is no disturbance: the store and all servers reach both.

    Attributes
    ----------
    nodes : frozenset of str
        Names of the two nodes.
    start_s, end_s : float
        When it began and ended, in trio time.
    """

    nodes: frozenset[str]
    start_s: float
    end_s: float = math.inf


@dataclass(slots=True)
class BrittlePeriod:
    """A period in which servers state that they are brittle.

    Attributes
    ----------
    servers : list of str
        Ids of the servers.
    start_s, end_s : float
        When it began and ended, in trio time.
    """

    servers: list[str]
    start_s: float
    end_s: float = math.inf


class Disturbances:
    """Disturbances during a play or a soak.

    Examples
    --------
    >>> disturbances = Disturbances()
    >>> disturbances.spans.append(Disturbance("n1", 10.0, 12.0))
    >>> disturbances.is_undisturbed("n1", 14.0, 15.0)
    False
    >>> disturbances.is_undisturbed("n1", 15.5, 16.0)
    True
    >>> disturbances.is_undisturbed("n2", 11.0, 12.0)
    True
    """

    def __init__(self) -> None:
        self.spans: list[Disturbance] = []
        self.cuts: list[CutPeriod] = []
        self.partitions: list[Partition] = []
        self.brittle: list[BrittlePeriod] = []

    @contextmanager
    def make_brittle(self, servers: list[str]) -> Iterator[None]:
        """Record servers as brittle while the block runs."""
        period = BrittlePeriod(servers, trio.current_time())
        self.brittle.append(period)
        try:
            yield
        finally:
            period.end_s = trio.current_time()

    @contextmanager
    def cut_off(self, nodes: list[str]) -> Iterator[None]:
        """Record nodes as cut off from all servers while the block runs."""
        period = CutPeriod(nodes, trio.current_time())
        self.cuts.append(period)
        try:
            yield
        finally:
            period.end_s = trio.current_time()

    @contextmanager
    def separate(self, one: str, other: str) -> Iterator[None]:
        """Record two nodes as not reaching each other while the block runs."""
        partition = Partition(frozenset((one, other)), trio.current_time())
        self.partitions.append(partition)
        try:
            yield
        finally:
            partition.end_s = trio.current_time()

    def are_connected(self, one: str, other: str, start_s: float, end_s: float) -> bool:
        """Return whether no partition of two nodes overlaps a period."""
        return not any(
            partition.nodes == {one, other}
            and partition.start_s <= end_s
            and partition.end_s >= start_s
            for partition in self.partitions
        )

    @contextmanager
    def disturb(self, subject: str = ALL_SUBJECTS) -> Iterator[None]:
        """Record a subject as disturbed while the block runs."""
        span = Disturbance(subject, trio.current_time())
        self.spans.append(span)
        try:
            yield
        finally:
            span.end_s = trio.current_time()

    def is_undisturbed(self, subject: str, start_s: float, end_s: float) -> bool:
        """Return whether no disturbance of a subject overlaps a period.

        A disturbance counts until `RECOVERY_S` after its end.
        """
        return not any(
            span.subject in (subject, ALL_SUBJECTS)
            and span.start_s <= end_s
            and span.end_s >= start_s - RECOVERY_S
            for span in self.spans
        )
