"""Records of the origins of streams that this node began or holds for others."""

import math
from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import Any

import trio

from rosemaryknot.values.stream_origins import StreamOrigin

__all__ = ["MAX_KEEP_S", "OriginRecord", "OriginRecords"]

# Bound on the records, the oldest of which are dropped first; at 0.6 KB each they take
# 12 MB.
MAX_RECORDS = 20_000
# Longest time that a record is kept, whatever its sender asks for.
MAX_KEEP_S = 600.0
# Source of a record that several nodes have contributed to. It differs from that of
# any node, so that a later record of one of them cannot replace what the others sent.
SEVERAL_NODES = ""


@dataclass(slots=True)
class OriginRecord:
    """The origin of one stream.

    Attributes
    ----------
    key : bytes
        Key of the caller's attempt; see
        `rosemaryknot.values.stream_origins.origin_key`.
    origin : StreamOrigin
        The origin.
    number : int
        Number of the attempt at a server, from 1. The record of a later one replaces
        that of an earlier one, in whichever order they arrive.
    source : str
        Node that handled the caller's attempt, with its incarnation; `SEVERAL_NODES` if
        several did.
    began_s : float
        When the request was sent to the server, in trio time.
    expires_s : float
        When the record may be dropped, in trio time.
    """

    key: bytes
    origin: StreamOrigin
    number: int
    source: str
    began_s: float
    expires_s: float

    def to_list(self) -> list[Any]:
        """Return the record in messages between nodes, with ages rather than times."""
        now_s = trio.current_time()
        origin = self.origin
        return [
            self.key,
            origin.service,
            origin.software_version,
            origin.server,
            self.number,
            self.source,
            round(now_s - self.began_s, 3),
            round(self.expires_s - now_s, 1),
        ]

    @classmethod
    def from_list(cls, item: Any) -> "OriginRecord | None":
        """Return the record in a message, or None if it is malformed."""
        try:
            key, service, version, server, number, source, age_s, keep_s = item
        except (TypeError, ValueError):
            return None
        texts = (service, version, server, source)
        if not isinstance(key, bytes) or not all(isinstance(t, str) for t in texts):
            return None
        if type(number) is not int or not is_duration(age_s) or not is_duration(keep_s):
            return None
        now_s = trio.current_time()
        return cls(
            key,
            StreamOrigin(service, version, server),
            number,
            source,
            now_s - age_s,
            now_s + min(keep_s, MAX_KEEP_S),
        )


def is_duration(value: Any) -> bool:
    """Return whether a value is a finite number of seconds that is not negative."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and value >= 0


class OriginRecords:
    """Origins of streams by key, bounded in time and number.

    Attributes
    ----------
    by_key : collections.OrderedDict of bytes to OriginRecord
        The records; those added or renewed last come last.
    """

    def __init__(self) -> None:
        self.by_key: OrderedDict[bytes, OriginRecord] = OrderedDict()

    def get(self, key: bytes) -> OriginRecord | None:
        """Return the record of a stream, or None if there is none or it has expired."""
        record = self.by_key.get(key)
        if record is None or record.expires_s < trio.current_time():
            return None
        return record

    def merge(self, received: OriginRecord) -> None:
        """Add a record, unless a later attempt of the same request is recorded.

        Two nodes that claim the same key handle two attempts with one id. Which of them
        brought the caller's first event is not known, so that the version is known only
        if both have the same.
        """
        known = self.get(received.key)
        if known is not None:
            received = merged(known, received)
        self.by_key[received.key] = received
        self.by_key.move_to_end(received.key)
        self.remove_old()

    def remove_old(self) -> None:
        """Drop expired records at the old end, and the oldest beyond the bound."""
        now_s = trio.current_time()
        while self.by_key:
            oldest = next(iter(self.by_key.values()))
            if len(self.by_key) <= MAX_RECORDS and oldest.expires_s >= now_s:
                return
            del self.by_key[oldest.key]

    def current(self) -> list[OriginRecord]:
        """Return all records that have not expired."""
        now_s = trio.current_time()
        return [r for r in self.by_key.values() if r.expires_s >= now_s]


def merged(known: OriginRecord, received: OriginRecord) -> OriginRecord:
    """Return one record of two records of the same key."""
    expires_s = max(known.expires_s, received.expires_s)
    if known.source == received.source:
        latest = received if received.number >= known.number else known
        return replace(latest, expires_s=expires_s)
    origin = known.origin
    has_same_version = (origin.service, origin.software_version) == (
        received.origin.service,
        received.origin.software_version,
    )
    if not has_same_version:
        origin = StreamOrigin(origin.service, "")
    return replace(known, origin=origin, source=SEVERAL_NODES, expires_s=expires_s)
