"""Forms of crash records in messages between gateways and in the store."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from rosemaryknot.process.crash_records import Crash, CrashRecord
from rosemaryknot.values.gateway_peers import CrashNotice

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
    cleared : list of tuple of (bytes, set of str)
        Digests of cleared requests, and the servers whose crashes no longer count.
    is_new : bool
        Whether anything in it was not known yet.
    completed : list of CrashRecord
        Own records of requests of which the notice told that they completed before.
    """

    records: list[CrashRecord] = field(default_factory=list)
    cleared: list[tuple[bytes, set[str]]] = field(default_factory=list)
    is_new: bool = False
    completed: list[CrashRecord] = field(default_factory=list)


def encode_notice(
    records: Iterable[CrashRecord],
    cleared: Iterable[tuple[bytes, set[str]]],
    now_s: float,
) -> CrashNotice:
    """Return records and cleared crashes as a message."""
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
            for record in records
        ],
        [[digest, sorted(servers)] for digest, servers in cleared],
    )


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
        for digest, servers in notice.cleared:
            names = {as_type(str, server) for server in servers}
            decoded.cleared.append((as_type(bytes, digest), names))
    except (TypeError, ValueError):
        return None
    return decoded


def record_to_value(record: CrashRecord) -> dict[str, Any]:
    """Return a record as an object of the store."""
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


def record_from_value(name: str, value: Any, now_s: float) -> CrashRecord | None:
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
        record = CrashRecord(
            bytes.fromhex(name),
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
