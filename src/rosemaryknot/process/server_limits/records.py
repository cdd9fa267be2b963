"""What a node knows of the rate limits that backend servers state."""

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import gauge
from rosemaryknot.values.server_limits import NO_LIMIT

__all__ = ["LimitRecord", "LimitRecords"]

# Servers of which a limit is remembered, at 0.3 KB each: more than twice the servers of
# the largest region.
MAX_RECORDS = 4096
# An unused record is kept for this long. The entry of a server that is not known here
# may arrive later than the notice, and responses that are on their way may still state
# a limit that was lifted.
UNUSED_TTL_S = 120.0
# Higher values are no limit for one server, and invalid in a message.
MAX_LIMIT = 1e9

LIMITED = gauge("limited_servers", "Servers that state a rate limit.")

log = logger("server limits")


@dataclass(slots=True)
class LimitRecord:
    """The limit of one incarnation of a server.

    A server states a limit, or none, in each response, and responses reach the nodes in
    any order. A version orders the statements: each change from limited to not limited,
    or back, starts a new one. Only the response to a request that was sent under the
    current version may change it, so that it was sent after the last change.

    Attributes
    ----------
    server : str
        Incarnation of the server.
    version : int
        Number of changes from limited to not limited, or back.
    revision : int
        Number of changes of the limit within the version, at the owner.
    limit : float or None
        Requests per second, or the places of a brittle server; None if the server
        states no limit.
    turned_away : float or None
        Requests a second that a brittle server may turn away; None for a rate limit.
    changed_s : float
        When the version began here, in trio time.
    used_s : float
        When a permit was last requested, or the record changed, in trio time.
    blocked_until_s : float
        Until when this node requests no permit, in trio time.
    queue_s, retry_s : float
        Times of the owner's last reply without a permit; see `PermitReply`.
    refused_priority : int
        Priority of the request that got that reply.
    """

    server: str
    version: int = 0
    revision: int = 0
    limit: float | None = None
    turned_away: float | None = None
    changed_s: float = -math.inf
    used_s: float = -math.inf
    blocked_until_s: float = -math.inf
    queue_s: float = 0.0
    retry_s: float = 0.0
    refused_priority: int = 0

    def to_list(self) -> list:
        """Return the form in messages."""
        limit = NO_LIMIT if self.limit is None else self.limit
        brittle = [] if self.turned_away is None else [self.turned_away]
        return [self.server, self.version, self.revision, limit, *brittle]

    @classmethod
    def from_list(cls, item: Any) -> "LimitRecord | None":
        """Return the record of a message, or None if it is malformed.

        Examples
        --------
        >>> LimitRecord.from_list(["s@1", 1, 0, 2.5]).limit
        2.5
        >>> LimitRecord.from_list(["s@1", 2, 0, NO_LIMIT]).limit is None
        True
        >>> LimitRecord.from_list(["s@1", 1, 0, float("nan")])
        """
        try:
            server, version, revision, limit, *brittle = item
            record = cls(str(server), int(version), int(revision), float(limit))
            record.turned_away = float(brittle[0]) if brittle else None
        except (TypeError, ValueError, OverflowError):
            return None
        if record.limit == NO_LIMIT:
            record.limit = None
        elif not 0 <= record.limit <= MAX_LIMIT:
            return None
        if record.turned_away is not None and not 0 <= record.turned_away <= MAX_LIMIT:
            return None
        return record

    @property
    def order(self) -> tuple[int, int, float]:
        """Sort key: of two records, the greater one holds.

        Two nodes may start the same version with different limits; the lower one holds.
        """
        limit = math.inf if self.limit is None else self.limit
        return self.version, self.revision, -limit


class LimitRecords:
    """Limits of servers by incarnation.

    Parameters
    ----------
    is_known : callable
        Returns whether this node knows a server, by its incarnation.

    Attributes
    ----------
    by_server : collections.OrderedDict of str to LimitRecord
        Records, the one that changed last at the end.
    limited : set of str
        Servers that state a limit.
    """

    def __init__(self, is_known: Callable[[str], bool] = lambda server: True) -> None:
        self.is_known = is_known
        self.by_server: OrderedDict[str, LimitRecord] = OrderedDict()
        self.limited: set[str] = set()

    def version(self, server: str) -> int:
        """Return the version of a server's limit; 0 if it never stated one."""
        record = self.by_server.get(server)
        return 0 if record is None else record.version

    def get_limited(self, server: str) -> LimitRecord | None:
        """Return the record of a server that states a limit, or None."""
        return self.by_server[server] if server in self.limited else None

    def begin(
        self,
        server: str,
        limit: float | None,
        sent_version: int,
        now_s: float,
        turned_away: float | None = None,
    ) -> LimitRecord | None:
        """Begin a version, if a response to a request of the current one shows it.

        Parameters
        ----------
        server : str
            Incarnation of the server.
        limit : float or None
            Limit that the server stated.
        sent_version : int
            Version when the request was sent.
        now_s : float
            Current trio time.
        turned_away : float or None
            Requests a second that the server may turn away if it is brittle.

        Returns
        -------
        record : LimitRecord or None
            The changed record; None if nothing changed.
        """
        if sent_version != self.version(server):
            return None
        if (server in self.limited) == (limit is not None):
            return None
        record = LimitRecord(server, sent_version + 1, 0, limit, turned_away)
        self.put(record, now_s, by="response")
        return record

    def change_limit(self, record: LimitRecord, limit: float, now_s: float) -> None:
        """Change a limit within its version; only the owner does."""
        log.info(
            "server limit changed",
            server=record.server,
            limit=limit,
            before=record.limit,
            version=record.version,
        )
        record.limit = limit
        record.revision += 1
        record.used_s = now_s

    def merge(self, received: LimitRecord, now_s: float) -> bool:
        """Apply a record of another node; return whether it was newer."""
        known = self.by_server.get(received.server)
        if received.version <= 0 or (known and known.order >= received.order):
            return False
        is_revision = known is not None and known.version == received.version
        if is_revision and None not in (known.limit, received.limit):
            known.revision, known.limit = received.revision, received.limit
            known.turned_away = received.turned_away
            known.used_s = now_s
            return True
        self.put(received, now_s, by="notice")
        return True

    def put(self, record: LimitRecord, now_s: float, by: str) -> None:
        """Store the record of a new version."""
        before = self.by_server.pop(record.server, None)
        if len(self.by_server) >= MAX_RECORDS:
            self.evict()
        record.changed_s = record.used_s = now_s
        self.by_server[record.server] = record
        if record.limit is None:
            self.limited.discard(record.server)
        else:
            self.limited.add(record.server)
        LIMITED.set(len(self.limited))
        log.info(
            "server limited" if record.limit is not None else "server limit lifted",
            server=record.server,
            limit=record.limit,
            turned_away=record.turned_away,
            before=None if before is None else before.limit,
            version=record.version,
            by=by,
            after_s=None if before is None else round(now_s - before.changed_s, 3),
        )

    def evict(self) -> None:
        """Remove the oldest record, of a server without a limit if there is one."""
        lifted = (name for name in self.by_server if name not in self.limited)
        self.remove(next(lifted, next(iter(self.by_server))))

    def remove(self, server: str) -> None:
        """Forget a server."""
        del self.by_server[server]
        self.limited.discard(server)
        LIMITED.set(len(self.limited))

    def remove_unused(self, now_s: float) -> None:
        """Forget servers that are gone, and limits that were lifted long ago."""
        unused = [
            record.server
            for record in self.by_server.values()
            if now_s - record.used_s > UNUSED_TTL_S
            and (record.limit is None or not self.is_known(record.server))
        ]
        for server in unused:
            self.remove(server)
