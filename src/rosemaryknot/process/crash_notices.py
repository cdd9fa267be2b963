"""Forms of crash records in messages between gateways and in the store."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from rosemaryknot.process.crash_records import Crash, CrashRecord
from rosemaryknot.process.segment_records import SegmentRecord
from rosemaryknot.process.segment_suspicions import SegmentCrash
from rosemaryknot.values.gateway_peers import CrashNotice
from rosemaryknot.values.request_identity import is_segment_digest

__all__ = [
    "DecodedNotice",
    "decode_notice",
    "encode_notice",
    "record_from_value",
    "record_to_value",
]

# Time between crashes of a stored record that were not simultaneous.
APART_S = 1.0


@dataclass(slots=True)
class DecodedNotice:
    """Records and cleared crashes of a notice.

    Attributes
    ----------
    records : list of CrashRecord
        Records of the sender.
    segments : list of SegmentRecord
        Its records of segments of prompts.
    cleared : list of tuple of (bytes, set of str)
        Digests of cleared requests, and the servers whose crashes no longer count.
    is_new : bool
        Whether anything in it was not known yet.
    completed : list of CrashRecord
        Own records of requests of which the notice told that they completed before.
    """

    records: list[CrashRecord] = field(default_factory=list)
    segments: list[SegmentRecord] = field(default_factory=list)
    cleared: list[tuple[bytes, set[str]]] = field(default_factory=list)
    is_new: bool = False
    completed: list[CrashRecord] = field(default_factory=list)


def encode_notice(
    records: Iterable[CrashRecord | SegmentRecord],
    cleared: Iterable[tuple[bytes, set[str]]],
    now_s: float,
) -> CrashNotice:
    """Return records and cleared crashes as a message."""
    records = list(records)
    requests = [record for record in records if isinstance(record, CrashRecord)]
    segments = [record for record in records if isinstance(record, SegmentRecord)]
    return CrashNotice(
        [
            [
                record.digest,
                record.customer,
                [
                    [crash.server, crash.service, now_s - crash.crashed_s]
                    for crash in record.crashes.values()
                ],
                record.has_completed,
                record.is_tried,
                record.is_stored,
            ]
            for record in requests
        ],
        [[digest, sorted(servers)] for digest, servers in cleared],
        segments=[encode_segment(record, now_s) for record in segments],
    )


def encode_segment(record: SegmentRecord, now_s: float) -> list[Any]:
    """Return the record of a segment as a part of a message."""
    return [
        record.digest,
        record.customer,
        record.segment,
        [
            [
                crash.server,
                crash.service,
                now_s - crash.crashed_s,
                crash.progress_s,
                sorted(crash.requests),
            ]
            for crash in record.crashes.values()
        ],
        record.trials,
        now_s - record.tried_s if record.trials else 0.0,
        record.is_stored,
    ]


def decode_segment(item: Any, now_s: float) -> SegmentRecord:
    """Decode a part of a message; raise `TypeError` or `ValueError` if malformed."""
    digest, customer, segment, crashes, trials, tried_ago_s, is_stored = item
    record = SegmentRecord(
        as_type(bytes, digest),
        as_type(str, customer),
        as_type(str, segment),
        trials=as_type(int, trials),
        tried_s=now_s - as_type(float, tried_ago_s),
        is_stored=as_type(bool, is_stored),
    )
    if not is_segment_digest(record.digest):
        raise ValueError("not the digest of a segment")
    for server, service, age_s, progress_s, requests in crashes:
        record.crashes[as_type(str, server)] = SegmentCrash(
            server,
            as_type(str, service),
            now_s - as_type(float, age_s),
            as_type(float, progress_s),
            frozenset(as_type(bytes, request) for request in requests),
        )
    return record


def decode_notice(notice: CrashNotice, now_s: float) -> DecodedNotice | None:
    """Decode a message; return None if it is malformed.

    Nothing of a malformed message is used.
    """
    decoded = DecodedNotice()
    try:
        for (
            digest,
            customer,
            crashes,
            has_completed,
            is_tried,
            is_stored,
        ) in notice.records:
            record = CrashRecord(
                as_type(bytes, digest),
                as_type(str, customer),
                has_completed=as_type(bool, has_completed),
                is_tried=as_type(bool, is_tried),
                is_stored=as_type(bool, is_stored),
            )
            for server, service, age_s in crashes:
                record.crashes[as_type(str, server)] = Crash(
                    server, as_type(str, service), now_s - as_type(float, age_s)
                )
            decoded.records.append(record)
        for item in notice.segments:
            decoded.segments.append(decode_segment(item, now_s))
        for digest, servers in notice.cleared:
            names = {as_type(str, server) for server in servers}
            decoded.cleared.append((as_type(bytes, digest), names))
    except (TypeError, ValueError):
        return None
    return decoded


def record_to_value(record: CrashRecord | SegmentRecord) -> dict[str, Any]:
    """Return a record as an object of the store."""
    if isinstance(record, SegmentRecord):
        return segment_to_value(record)
    return {
        "customer": record.customer,
        "completed_before": record.has_completed,
        "simultaneous": record.is_simultaneous,
        "tried": record.is_tried,
        "crashes": [
            {"server": crash.server, "service": crash.service}
            for crash in record.crashes.values()
        ],
    }


def segment_to_value(record: SegmentRecord) -> dict[str, Any]:
    """Return the record of a segment as an object of the store.

    Older software reads it as the record of a request that nobody sends.
    """
    return {
        "customer": record.customer,
        "completed_before": False,
        "simultaneous": False,
        "tried": record.trials > 0,
        "segment": record.segment,
        "trials": record.trials,
        "crashes": [
            {
                "server": crash.server,
                "service": crash.service,
                "progress_s": crash.progress_s,
                "requests": [request.hex() for request in sorted(crash.requests)],
            }
            for crash in record.crashes.values()
        ],
    }


def segment_from_value(digest: bytes, value: Any, now_s: float) -> SegmentRecord:
    """Return the record of a segment; raise `TypeError`, `ValueError` or `KeyError`."""
    record = SegmentRecord(
        digest,
        as_type(str, value["customer"]),
        as_type(str, value["segment"]),
        trials=as_type(int, value["trials"]),
        tried_s=now_s,
        is_stored=True,
    )
    for crash in value["crashes"]:
        server = as_type(str, crash["server"])
        record.crashes[server] = SegmentCrash(
            server,
            as_type(str, crash["service"]),
            now_s - len(record.crashes) * APART_S,
            as_type(float, crash["progress_s"]),
            frozenset(bytes.fromhex(request) for request in crash["requests"]),
        )
    return record


def record_from_value(
    name: str, value: Any, now_s: float
) -> CrashRecord | SegmentRecord | None:
    """Return the record that an object of the store describes, or None.

    The object does not tell when the servers crashed, only whether it was in the same
    moment.

    Parameters
    ----------
    name : str
        Name of the object: the digest of the request in hexadecimal.
    value : object
        Value of the object, which may come from another writer.
    now_s : float
        Current trio time.

    Examples
    --------
    >>> record = CrashRecord(b"d", "ada", {"a@": Crash("a@", "s", 5.0)})
    >>> read = record_from_value(b"d".hex(), record_to_value(record), 9.0)
    >>> read.digest, read.customer, list(read.crashes)
    (b'd', 'ada', ['a@'])
    >>> record_from_value("x", {"customer": 7}, 9.0) is None
    True
    """
    try:
        digest = bytes.fromhex(name)
        if is_segment_digest(digest):
            return segment_from_value(digest, value, now_s)
        record = CrashRecord(
            digest,
            as_type(str, value["customer"]),
            has_completed=as_type(bool, value["completed_before"]),
            is_tried=as_type(bool, value["tried"]),
            is_stored=True,
        )
        is_simultaneous = as_type(bool, value["simultaneous"])
        for crash in value["crashes"]:
            server = as_type(str, crash["server"])
            service = as_type(str, crash["service"])
            since_s = 0.0 if is_simultaneous else len(record.crashes) * APART_S
            record.crashes[server] = Crash(server, service, now_s - since_s)
    except (TypeError, ValueError, KeyError):
        return None
    return record


def as_type(expected: type, value: Any) -> Any:
    """Return a value of the expected type, or raise `TypeError`."""
    if expected is float and isinstance(value, int):
        return float(value)
    if not isinstance(value, expected):
        raise TypeError(f"{type(value).__name__} instead of {expected.__name__}")
    return value
