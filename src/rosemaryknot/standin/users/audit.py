"""Checks of what gateways promise, by what callers and backend servers have seen.

Pure functions of records, so that plays in virtual time and processes on loopback are
held to the same promises.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

__all__ = ["Asked", "Seen", "Violation", "audit"]

# These say that the request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
OK = 200


@dataclass(slots=True)
class Asked:
    """One request of a caller and what it got.

    Attributes
    ----------
    id : str
        Its id.
    kind : str
        ``plain`` or ``stream``.
    may_repeat : bool
        Whether it may run again.
    status : int
        0 where no head of an answer came.
    body : bytes
        As far as it came.
    is_whole : bool
        Whether the answer ended as it said it would.
    events : int
        Events that the whole stream has.
    """

    id: str
    kind: str
    may_repeat: bool
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    events: int = 0


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
    """

    asked: list[Asked] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    usage_doubled: list[int] = field(default_factory=list)
    fences: list[int] = field(default_factory=list)
    holders: list[tuple[str, int]] = field(default_factory=list)
    trapped: list[str] = field(default_factory=list)


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
        if not asked.may_repeat and runs > 1:
            yield f"{asked.id} ran {runs} times"


@promise("not_run_is_true")
def not_run_is_true(seen: Seen) -> Iterable[str]:
    """Find what was refused as not run and ran."""
    for asked in seen.asked:
        if asked.may_repeat or asked.status not in NOT_RUN:
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
