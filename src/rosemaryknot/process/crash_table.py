"""Bounded table of what is recorded of crashes, by digest."""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

__all__ = [
    "MAX_CLEARED",
    "MAX_CLEARED_SERVERS",
    "MAX_CRASHES",
    "MAX_CUSTOMER_RECORDS",
    "MAX_RECORDS",
    "CrashTable",
]

# A request that was running on this many servers when they crashed is refused.
MAX_CRASHES = 3
# Maximum number of records, at 0.6 KB each, and of one customer's, so that a customer
# who sends many such requests does not evict the records of others.
MAX_RECORDS = 4096
MAX_CUSTOMER_RECORDS = 512
# Maximum number of cleared records whose crashes are still recognized in late notices.
MAX_CLEARED = 1024
# Maximum number of servers remembered for one of them; beyond it only the latest are. A
# popular request is cleared after each crash of a server, for as long as a node runs.
MAX_CLEARED_SERVERS = 64


class Record(Protocol):
    """A record as the table needs it.

    Attributes
    ----------
    digest : bytes
        Digest of what is recorded.
    customer : str
        Name of the customer; empty without one.
    crashes : dict of str to Crash
        Crashes by server.
    is_stored : bool
        Whether the platform's store has a record of it.
    was_stored : bool
        Whether it had one before it was restored from a copy.
    """

    digest: bytes
    customer: str
    crashes: dict
    is_stored: bool
    was_stored: bool

    def reset(self) -> None:
        """Forget what was decided on crashes that no longer count."""


RecordType = TypeVar("RecordType", bound=Record)


class CrashTable(Generic[RecordType]):
    """Records by digest, bounded in total and by customer.

    Attributes
    ----------
    by_digest : OrderedDict of bytes to Record
        Records by digest, the least recently changed first.
    counts : collections.Counter of str
        Number of records by customer.
    cleared : OrderedDict of bytes to set of str
        Servers whose crashes no longer count against a record, by its digest.
    """

    def __init__(self) -> None:
        self.by_digest: OrderedDict[bytes, RecordType] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self.cleared: OrderedDict[bytes, set[str]] = OrderedDict()

    def signal_change(self) -> None:
        """Tell that something has changed that decisions depend on."""
        raise NotImplementedError

    def add(self, record: RecordType) -> RecordType:
        """Add a record, after evicting another one if there is no room."""
        customer = record.customer
        if self.counts[customer] >= MAX_CUSTOMER_RECORDS:
            self.evict(r for r in self.by_digest.values() if r.customer == customer)
        elif len(self.by_digest) >= MAX_RECORDS:
            self.evict(self.by_digest.values())
        self.by_digest[record.digest] = record
        self.counts[customer] += 1
        return record

    def evict(self, records: Iterable[RecordType]) -> None:
        """Remove the record with the fewest crashes, of these the oldest."""
        self.remove(min(records, key=lambda record: len(record.crashes)))

    def remove(self, record: RecordType) -> None:
        """Remove a record."""
        del self.by_digest[record.digest]
        self.counts[record.customer] -= 1
        if not self.counts[record.customer]:
            del self.counts[record.customer]

    def forget_stored(self) -> None:
        """Record that the store may have lost all records in a restore."""
        for record in self.by_digest.values():
            record.was_stored = record.was_stored or record.is_stored
            record.is_stored = False

    def clear(self, digest: bytes, service: str | None = None) -> set[str]:
        """Drop the crashes of a record whose request has completed or was released.

        A crash that was dropped is recognized in late notices and not counted again.

        Parameters
        ----------
        digest : bytes
            Digest of the record.
        service : str or None
            Service at which it completed; crashes of other services' servers still
            count. None for all services.

        Returns
        -------
        servers : set of str
            Servers whose crashes were dropped.
        """
        record = self.by_digest.get(digest)
        if record is None:
            return set()
        servers = {
            crash.server
            for crash in record.crashes.values()
            if service in (None, crash.service)
        }
        self.clear_servers(digest, servers)
        return servers

    def clear_servers(self, digest: bytes, servers: set[str]) -> bool:
        """Drop crashes from a record; return whether any of them was there."""
        if not servers:
            return False
        known = self.cleared.setdefault(digest, set())
        if len(known | servers) > MAX_CLEARED_SERVERS:
            known.clear()
        known.update(servers)
        self.cleared.move_to_end(digest)
        while len(self.cleared) > MAX_CLEARED:
            self.cleared.popitem(last=False)
        record = self.by_digest.get(digest)
        if record is None or not servers & record.crashes.keys():
            return False
        for server in servers & record.crashes.keys():
            del record.crashes[server]
        record.reset()
        if not record.crashes:
            self.remove(record)
        self.signal_change()
        return True
