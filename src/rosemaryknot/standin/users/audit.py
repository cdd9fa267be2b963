"""Checks of what gateways promise, by what callers and backend servers have seen.

Pure functions of records, so that plays in virtual time and processes on loopback are
held to the same promises.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from rosemaryknot.process.node_settings import Bounds
from rosemaryknot.standin.users.contact import EVERYONE, Disturbances
from rosemaryknot.standin.users.store import Written

__all__ = ["DRAIN_S", "Asked", "Reached", "Seen", "Violation", "audit"]

# These say that the request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
UNKNOWN = frozenset((401, 403, 404))
OK = 200
# From the store's confirmation on: until a configuration is in force, and until a
# server that leaves gets no more requests.
APPLY_S = 3.0
DRAIN_S = Bounds().drain_ms / 1000


@dataclass(slots=True)
class Asked:
    """One request of a caller and what it got.

    Attributes
    ----------
    id : str
        Its id.
    kind : str
        ``plain`` or ``stream``.
    allows_retry : bool
        Whether it may run again.
    status : int
        0 where no head of an answer came.
    body : bytes
        As far as it came.
    is_whole : bool
        Whether the answer ended as it said it would.
    events : int
        Events that the whole stream has.
    node, path : str
        Whom it was sent to, and for what.
    sent_s, ended_s : float
        When it was sent, and when its answer ended, in trio time.
    """

    id: str
    kind: str
    allows_retry: bool
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    events: int = 0
    node: str = ""
    path: str = ""
    sent_s: float = 0.0
    ended_s: float = 0.0


@dataclass(slots=True)
class Reached:
    """One request that reached a server and was not refused as another's.

    Attributes
    ----------
    server, id : str
        Ids of the server and of the request.
    at_s : float
        When, in trio time.
    """

    server: str
    id: str
    at_s: float


@dataclass(slots=True)
class Seen:
    """Everything that was seen.

    Attributes
    ----------
    asked : list of Asked
        What callers asked and got.
    runs : dict of str to int
        How often each id ran, on all servers.
    usage_doubled : list of int
        Windows that were told with different counts.
    fences : list of int
        Fencing numbers of accepted calls, in order.
    holders : list of tuple of (str, int)
        Holders and numbers of accepted calls.
    trapped : list of str
        Requests that came where only entries of another writer lead.
    reached : list of Reached
        Requests that reached servers, in order.
    written : list of Written
        Changes of the store's objects, in order.
    disturbances : Disturbances
        Whom a promise with a time does not bind, and when.
    """

    asked: list[Asked] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    usage_doubled: list[int] = field(default_factory=list)
    fences: list[int] = field(default_factory=list)
    holders: list[tuple[str, int]] = field(default_factory=list)
    trapped: list[str] = field(default_factory=list)
    reached: list[Reached] = field(default_factory=list)
    written: list[Written] = field(default_factory=list)
    disturbances: Disturbances = field(default_factory=Disturbances)


@dataclass(slots=True)
class Violation:
    """A promise that was not kept.

    Attributes
    ----------
    promise : str
        Its name.
    detail : str
        The id and what was seen.
    """

    promise: str
    detail: str


Check = Callable[[Seen], Iterable[str]]
CHECKS: dict[str, Check] = {}


def promise(name: str) -> Callable[[Check], Check]:
    """Register a check, which yields a detail for each breach."""

    def register(check: Check) -> Check:
        CHECKS[name] = check
        return check

    return register


def audit(seen: Seen) -> list[Violation]:
    """Return every promise that was not kept.

    Examples
    --------
    >>> asked = Asked("r1", "plain", False, 200, b"x answers r1", True)
    >>> audit(Seen([asked], {"r1": 2}))
    [Violation(promise='runs_once', detail='r1 ran 2 times')]
    """
    return [
        Violation(name, detail)
        for name, check in CHECKS.items()
        for detail in check(seen)
    ]


@promise("runs_once")
def runs_once(seen: Seen) -> Iterable[str]:
    """Find what may not repeat and ran more than once."""
    for asked in seen.asked:
        runs = seen.runs.get(asked.id, 0)
        if not asked.allows_retry and runs > 1:
            yield f"{asked.id} ran {runs} times"


@promise("not_run_is_true")
def not_run_is_true(seen: Seen) -> Iterable[str]:
    """Find what was refused as not run and ran."""
    for asked in seen.asked:
        if asked.allows_retry or asked.status not in NOT_RUN:
            continue
        if seen.runs.get(asked.id, 0):
            yield f"{asked.id} was answered {asked.status} and ran"


@promise("asked_for")
def asked_for(seen: Seen) -> Iterable[str]:
    """Find what servers ran and no caller sent."""
    known = {asked.id for asked in seen.asked}
    for request_id in seen.runs:
        if request_id not in known:
            yield f"{request_id!r} was never sent"


@promise("ones_own")
def ones_own(seen: Seen) -> Iterable[str]:
    """Find whole plain answers that belong to another request."""
    for asked in seen.asked:
        if asked.kind != "plain" or asked.status != OK or not asked.is_whole:
            continue
        if not asked.body.endswith(f"answers {asked.id}".encode()):
            yield f"{asked.id} got {asked.body[:60]!r}"


@promise("in_order")
def in_order(seen: Seen) -> Iterable[str]:
    """Find streams that are not whole events from the first one on, or end early."""
    for asked in seen.asked:
        if asked.kind != "stream" or asked.status != OK:
            continue
        events = [
            b"id: %d\ndata: piece %d\n\n" % (number, number)
            for number in range(asked.events)
        ]
        whole = b"".join(events)
        if asked.is_whole and asked.body != whole:
            yield f"{asked.id} ended after {len(asked.body)} of {len(whole)} bytes"
        elif not whole.startswith(asked.body):
            yield f"{asked.id} is no beginning of its stream"


@promise("named_by_servers")
def named_by_servers(seen: Seen) -> Iterable[str]:
    """Find requests that went where another writer's entry leads."""
    for request_id in seen.trapped:
        yield f"{request_id!r} went to the trap"


@promise("one_usage_report")
def one_usage_report(seen: Seen) -> Iterable[str]:
    """Find usage windows that were told with different counts."""
    for window in seen.usage_doubled:
        yield f"window {window}"


@promise("fences_rise")
def fences_rise(seen: Seen) -> Iterable[str]:
    """Find fencing numbers that fell, or have two holders."""
    if seen.fences != sorted(seen.fences):
        yield f"accepted in the order {seen.fences}"
    holder_of: dict[int, str] = {}
    for holder, fence in seen.holders:
        if holder_of.setdefault(fence, holder) != holder:
            yield f"number {fence} of {holder_of[fence]} and {holder}"


@dataclass(slots=True)
class Version:
    """A configuration that the store confirmed."""

    at_s: float
    number: int
    prefixes: set[str]


def versions_of(seen: Seen) -> list[Version]:
    """Return the configurations in the order in which they were confirmed."""
    return [
        Version(
            written.at_s,
            written.spec["version"],
            {route["pathPrefix"] for route in written.spec["routes"]},
        )
        for written in seen.written
        if written.kind == "config"
    ]


def allowed_versions(versions: list[Version], asked: Asked) -> list[Version]:
    """Return the configurations that a request may be handled by."""
    newer = [v for v in versions if asked.sent_s - APPLY_S < v.at_s <= asked.ended_s]
    due = [v for v in versions if v.at_s <= asked.sent_s - APPLY_S]
    return due[-1:] + newer


@promise("configuration_in_force")
def configuration_in_force(seen: Seen) -> Iterable[str]:
    """Find requests that were handled as only a replaced configuration allows."""
    versions = versions_of(seen)
    for asked in seen.asked:
        if not seen.disturbances.is_calm(asked.node, asked.sent_s, asked.ended_s):
            continue
        allowed = allowed_versions(versions, asked)
        prefix = f"/{asked.path.split('/')[1]}/" if asked.path else ""
        if not prefix or not allowed:
            continue
        if asked.status in UNKNOWN and all(prefix in v.prefixes for v in allowed):
            yield f"{asked.id} got {asked.status}, in {allowed[0].number}: {prefix}"
        if seen.runs.get(asked.id) and not any(prefix in v.prefixes for v in allowed):
            yield f"{asked.id} ran, not in {allowed[0].number}: {prefix}"


def leaving_since(seen: Seen, reached: Reached) -> float | None:
    """Return since when a server has been leaving when a request reached it."""
    since_s = None
    address = None
    born_ms = 0
    for written in seen.written:
        if written.at_s > reached.at_s:
            break
        entry = written.spec
        if (written.kind, written.name) != ("servers", reached.server):
            continue
        if not isinstance(entry, dict) or entry.get("address") != (
            address or entry.get("address")
        ):
            # Removed, or of another writer.
            continue
        address = entry["address"]
        if entry.get("born", 0) < born_ms:
            # A late word of an earlier life.
            continue
        born_ms = entry.get("born", 0)
        if entry["state"] != "draining":
            since_s = None
        elif since_s is None:
            since_s = written.at_s
    return since_s


@promise("leaving_get_nothing")
def leaving_get_nothing(seen: Seen) -> Iterable[str]:
    """Find requests that reached a server too long after it said that it leaves."""
    leaving = {
        written.name
        for written in seen.written
        if written.kind == "servers"
        and isinstance(written.spec, dict)
        and written.spec.get("state") == "draining"
    }
    asked_of = {asked.id: asked for asked in seen.asked}
    is_calm = seen.disturbances.is_calm
    for reached in seen.reached:
        if reached.server not in leaving or reached.id not in asked_of:
            continue
        since_s = leaving_since(seen, reached)
        if since_s is None or reached.at_s - since_s <= DRAIN_S:
            continue
        asked = asked_of[reached.id]
        if (
            is_calm(asked.node, asked.sent_s, reached.at_s)
            and is_calm(reached.server, since_s, reached.at_s)
            and is_calm(EVERYONE, since_s, reached.at_s)
        ):
            late_s = reached.at_s - since_s
            yield f"{reached.id} reached {reached.server} {late_s:.2f} s after"
