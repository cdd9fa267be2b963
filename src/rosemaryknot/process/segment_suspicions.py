"""Decides which prompt segments are suspected of crashing backend servers.

Load pattern: several requests a second, of which no two are alike, crash each server
that begins to answer on one of their segments. Sound requests share their other
segments and run on the same servers.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from rosemaryknot.process.crash_table import MAX_CRASHES

__all__ = [
    "EVIDENCE_S",
    "WATCHED_CRASHES",
    "SIMULTANEOUS_S",
    "SUSPECT_CRASHES",
    "SegmentCrash",
    "SegmentRequests",
    "Suspicion",
    "assess",
]

# Crashes that are no further apart may have a common cause, such as the loss of a rack.
SIMULTANEOUS_S = 0.1
# From this number of crashes on, under different requests and apart in time, a request
# with the segment gets no second attempt; from the next one on the segment is suspected
# of being their cause.
WATCHED_CRASHES = 2
SUSPECT_CRASHES = 3
# Crashes without the requests of any one customer that show a segment to be the cause
# for all customers. With fewer, one customer could have the segments of others refused.
OTHER_CUSTOMERS_CRASHES = 2
# How much longer than the response that a server crashed under another one has to go on
# to show that its segments are not the cause.
SURVIVAL_S = 0.25
# Added to the time for which requests are counted, as a rate over an instant says
# nothing.
MIN_COUNTED_S = 1.0
# Requests of which digests are kept for one crash.
MAX_REQUESTS = 4
# How long a crash counts against a segment that is not refused.
EVIDENCE_S = 60.0


@dataclass(slots=True, frozen=True)
class SegmentCrash:
    """Crash of a server at the beginning of responses on a segment.

    Attributes
    ----------
    server : str
        Text form of the server's incarnation.
    service : str
        Service of the server.
    crashed_s : float
        When the server closed their connections, in trio time.
    progress_s : float
        How long the youngest of the responses had been going on, in seconds.
    requests : frozenset of bytes
        Short digests of the requests, or some of them.
    """

    server: str
    service: str
    crashed_s: float
    progress_s: float = 0.0
    requests: frozenset[bytes] = frozenset()

    def merged(self, other: "SegmentCrash") -> "SegmentCrash":
        """Return this crash with what another node saw of it."""
        requests = sorted(self.requests | other.requests)[:MAX_REQUESTS]
        return SegmentCrash(
            self.server,
            self.service,
            self.crashed_s,
            min(self.progress_s, other.progress_s),
            frozenset(requests),
        )

    def is_survived(self, began_s: float, progress_s: float) -> bool:
        """Return whether a response with the segment shows that it was not the cause.

        A response that began before the crash shows nothing: the segment may crash
        servers only since then.
        """
        has_gone_on = progress_s >= self.progress_s + SURVIVAL_S
        return began_s > self.crashed_s and has_gone_on


class Evidence(Protocol):
    """Record of a segment in the requests of one customer.

    Attributes
    ----------
    customer : str
        The customer.
    segment : str
        Id of the segment.
    crashes : dict of str to SegmentCrash
        Crashes by server.
    """

    customer: str
    segment: str
    crashes: dict[str, SegmentCrash]


@dataclass(slots=True)
class Suspicion:
    """What is suspected of a segment.

    Attributes
    ----------
    segment : str
        Id of the segment.
    crashes : dict of str to SegmentCrash
        Crashes that no other suspected segment explains, by server.
    count : int
        Number of them, under different requests and apart in time.
    is_common : bool
        Whether the segment is suspected whatever the customer.
    customers : dict of str to int
        The same number for the requests of each customer.
    since_s : float
        Since when it is suspected, in trio time.
    unserved_s : float
        When no server was available last since it is suspected, in trio time.
    observed_until_s : float
        Until when it is observed at least, in trio time.
    is_refused : bool
        Whether it has been observed for long enough to be refused.
    """

    segment: str
    crashes: dict[str, SegmentCrash]
    count: int
    is_common: bool = False
    customers: dict[str, int] = field(default_factory=dict)
    since_s: float = math.inf
    unserved_s: float = -math.inf
    observed_until_s: float = math.inf
    is_refused: bool = False

    def count_for(self, customer: str) -> int:
        """Return the number of crashes that counts against a customer's requests."""
        return self.count if self.is_common else self.customers.get(customer, 0)

    @property
    def is_suspected(self) -> bool:
        """Whether it is suspected of crashing servers for any customer."""
        most = max(self.customers.values(), default=0)
        return (self.count if self.is_common else most) >= SUSPECT_CRASHES

    def refuses(self, customer: str) -> bool:
        """Return whether the requests of a customer are refused."""
        return self.is_refused and self.count_for(customer) >= SUSPECT_CRASHES

    @property
    def last_crash_s(self) -> float:
        """Time of the last crash, in trio time."""
        return max(crash.crashed_s for crash in self.crashes.values())


def count_crashes(crashes: Iterable[SegmentCrash]) -> int:
    """Return the number of crashes that are evidence of their own.

    Crashes at the same moment may have one cause, such as the loss of a rack, and those
    under one request, repeated or resumed, have that request in common. A request that
    was running at enough of them to be refused itself is a cause of these, whatever
    other requests were there.

    Examples
    --------
    >>> first = SegmentCrash("a@", "s", 1.0, requests=frozenset((b"1",)))
    >>> resumed = SegmentCrash("b@", "s", 2.0, requests=frozenset((b"1",)))
    >>> other = SegmentCrash("c@", "s", 3.0, requests=frozenset((b"2",)))
    >>> at_once = SegmentCrash("d@", "s", 3.01, requests=frozenset((b"3",)))
    >>> count_crashes([first, resumed, other, at_once])
    2
    >>> bystanders = [frozenset((b"1", bytes([n]))) for n in range(3)]
    >>> crashes = [SegmentCrash(f"{n}@", "s", n, 0, bystanders[n]) for n in range(3)]
    >>> count_crashes(crashes)
    1
    """
    ordered = sorted(crashes, key=lambda crash: crash.crashed_s)
    present = Counter(digest for crash in ordered for digest in crash.requests)
    recurring = {digest for digest, n in present.items() if n >= MAX_CRASHES}
    count, last_s = 0, -math.inf
    known: set[bytes] = set()
    for crash in ordered:
        causes = crash.requests & recurring
        new = (causes or crash.requests) - known
        if not new or crash.crashed_s - last_s <= SIMULTANEOUS_S:
            continue
        known |= causes or {min(new)}
        last_s = crash.crashed_s
        count += 1
    return count


@dataclass(slots=True)
class SegmentRequests:
    """Requests with a segment that came to a node.

    Attributes
    ----------
    count : int
        Number of them.
    for_s : float
        For how long they have been counted, in seconds.
    """

    count: int = 0
    for_s: float = 0.0

    @property
    def per_s(self) -> float:
        """Rate of the requests, low at first.

        Segments are counted from their first crash on, and anew after responses have
        cleared them of all crashes, so that their counts alone do not compare.
        """
        return self.count / (self.for_s + MIN_COUNTED_S)


@dataclass(slots=True)
class Candidate:
    """A segment with all crashes at which it was present.

    Attributes
    ----------
    unit : bytes
        Digest of the segment.
    records : list of Evidence
        Its records, one for each customer.
    crashes : dict of str to SegmentCrash
        Crashes by server, over all customers.
    requests : SegmentRequests
        Requests with the segment that came to this node.
    """

    unit: bytes
    records: list[Evidence]
    crashes: dict[str, SegmentCrash]
    requests: SegmentRequests

    def rank(self, explained: set[str]) -> tuple[bool, float, float, bytes]:
        """Return the order in which segments are suspected.

        Of those with enough crashes the first one has many crashes and few requests for
        each of them. A segment that all requests have is present at every crash,
        whatever its cause, and to refuse it would refuse them all; one that some of the
        crashing requests have is narrower than the cause and has fewer crashes.
        """
        rest = self.unexplained(explained)
        count = count_crashes(rest.values())
        weight = count**2 / max(1, len(requests_of(rest.values())))
        return count >= SUSPECT_CRASHES, weight, -self.requests.per_s, self.unit

    def resembles(self, other: "Candidate", explained: set[str]) -> bool:
        """Return whether another segment seems to come in the same requests."""
        own, rest = self.unexplained(explained), other.unexplained(explained)
        is_alike = self.requests.count == other.requests.count
        if not is_alike or own.keys() != rest.keys():
            return False
        return all(own[s].requests == crash.requests for s, crash in rest.items())

    def unexplained(self, explained: set[str]) -> dict[str, SegmentCrash]:
        """Return the crashes at which no suspected segment was present."""
        return {s: c for s, c in self.crashes.items() if s not in explained}

    def suspicion(self, explained: set[str]) -> Suspicion:
        """Return what is suspected of the segment."""
        rest = self.unexplained(explained)
        own = {
            record.customer: {s: c for s, c in record.crashes.items() if s in rest}
            for record in self.records
        }
        least = min(
            count_crashes(c for s, c in rest.items() if s not in crashes)
            for crashes in own.values()
        )
        return Suspicion(
            self.records[0].segment,
            rest,
            count_crashes(rest.values()),
            least >= OTHER_CUSTOMERS_CRASHES,
            {name: count_crashes(crashes.values()) for name, crashes in own.items()},
        )


def requests_of(crashes: Iterable[SegmentCrash]) -> set[bytes]:
    """Return the digests of the requests that were running at crashes."""
    return set().union(*(crash.requests for crash in crashes))


def candidate_of(
    unit: bytes, records: list[Evidence], requests: SegmentRequests
) -> Candidate:
    """Return a segment with the crashes in the records of all customers."""
    crashes: dict[str, SegmentCrash] = {}
    for record in records:
        for server, crash in record.crashes.items():
            known = crashes.get(server)
            crashes[server] = crash if known is None else known.merged(crash)
    return Candidate(unit, records, crashes, requests)


def assess(
    by_unit: Mapping[bytes, Mapping[bytes, Evidence]],
    requests: Mapping[bytes, SegmentRequests],
    refused: Collection[bytes] = (),
) -> dict[bytes, Suspicion]:
    """Return the segments that crashes cast suspicion on.

    A crash needs one cause only. The first segment in the order of `Candidate.rank`
    explains the crashes at which it was present, and the others are judged by the rest:
    segments that often come with the cause are not refused with it. Segments that came
    in the same requests cannot be told apart and are suspected together.

    Parameters
    ----------
    by_unit : mapping of bytes to mapping of bytes to Evidence
        Records by segment.
    requests : mapping of bytes to SegmentRequests
        Requests with each segment that came to this node.
    refused : collection of bytes
        Segments that are refused. They come first, whatever came with them since:
        only responses that go on show that they are not the cause.

    Returns
    -------
    suspicions : dict of bytes to Suspicion
        Segments with at least `WATCHED_CRASHES` unexplained crashes.
    """
    candidates = [
        candidate_of(
            unit, list(records.values()), requests.get(unit, SegmentRequests())
        )
        for unit, records in by_unit.items()
    ]
    remaining = [c for c in candidates if len(c.crashes) >= WATCHED_CRASHES]
    explained: set[str] = set()
    found: dict[bytes, Suspicion] = {}
    for candidate in [c for c in remaining if c.unit in refused]:
        suspicion = candidate.suspicion(set())
        if suspicion.is_suspected:
            found[candidate.unit] = suspicion
            remaining.remove(candidate)
            explained |= candidate.crashes.keys()
    while remaining:
        first = max(remaining, key=lambda candidate: candidate.rank(explained))
        rest = first.unexplained(explained)
        if count_crashes(rest.values()) < SUSPECT_CRASHES:
            break
        group = [c for c in remaining if c.resembles(first, explained)]
        for candidate in group:
            found[candidate.unit] = candidate.suspicion(explained)
            remaining.remove(candidate)
        explained |= rest.keys()
    for candidate in remaining:
        suspicion = candidate.suspicion(explained)
        if suspicion.count >= WATCHED_CRASHES:
            found[candidate.unit] = suspicion
    return found
