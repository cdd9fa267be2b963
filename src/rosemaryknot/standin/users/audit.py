"""Checks of the gateway's guarantees against records of callers and backend servers.

The checks are pure functions of records, so that the same invariants apply to plays in
virtual time and to processes on loopback.
"""

import math
import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from rosemaryknot.process.node_settings import Bounds
from rosemaryknot.standin.users.availability import (
    DrainStatement,
    PauseRequest,
    SentRequest,
    late_requests,
    requests_in_pauses,
)
from rosemaryknot.standin.users.disturbances import ALL_SUBJECTS, Disturbances
from rosemaryknot.standin.users.events import events_of
from rosemaryknot.standin.users.limit_windows import (
    CONTACT_S,
    LimitStatement,
    allowed_requests,
    limited_periods,
    most_in_window,
)
from rosemaryknot.standin.users.retry_windows import fullest_window, repeats
from rosemaryknot.standin.users.servers import Fall
from rosemaryknot.standin.users.store import ObjectChange

__all__ = [
    "DRAIN_S",
    "CallerRequest",
    "ServerRequest",
    "Observations",
    "Violation",
    "audit",
]

# Statuses which state that the request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
UNKNOWN = frozenset((401, 403, 404))
OK = 200
# Maximum time after the store has confirmed the write: until a configuration is
# active, and until a draining server receives no more requests.
APPLY_S = 3.0
DRAIN_S = Bounds().drain_ms / 1000
# Calls of a node to the store in a second; all nodes together may make 2,000 reads.
MAX_STORE_CALLS_PER_S = 100
# A request that has crashed this many servers may reach servers only a few times more
# once all undisturbed nodes have had time to learn of it.
MAX_CRASHES = 3
CRASH_NOTICE_S = 3.0
MAX_RUNS_AFTER_NOTICE = 3
# The same for a prompt segment, whose requests differ.
MAX_SEGMENT_CRASHES = 5
# First attempts at nodes that are cut off from all servers may be served this share as
# often as those at the others, or fail up to the number and share.
MIN_CUT_OFF_SHARE = 2 / 3
MAX_CUT_OFF_FAILED = 10
MAX_CUT_OFF_FAILED_SHARE = 1 / 50
# Crashes of brittle servers in one period: a number, and a share of the servers.
MAX_FALLS = 2
MAX_FALLS_SHARE = 1 / 10
# Requests that may reach more servers than their route allows attempts.
MAX_EXCEEDING = 3
# Part of the response to a request that is refused for crashes.
CRASHED = b"servers crashed"
REFUSED = 503
# What a server of another version than the default one adds to its events; also if the
# stream ends within it.
WRITER = re.compile(rb" b(?:y(?: [^\n]*)?)?(?=\n|$)")
# Streams that callers resume: from this number on, the share of those that go on is at
# least this part of the share of new streams that begin.
MIN_RESUMED = 12
MIN_RESUMED_SHARE = 1 / 2


@dataclass(slots=True)
class CallerRequest:
    """A request of a caller and the response that it received.

    Attributes
    ----------
    id : str
        Id of the request.
    kind : str
        ``plain`` or ``stream``.
    allows_retry : bool
        Whether the request may run more than once.
    status : int
        Status of the response; 0 if no response head was received.
    body : bytes
        The part of the body that was received.
    is_whole : bool
        Whether the response was complete according to its framing.
    events : int
        Number of events in the complete stream.
    node, path : str
        Gateway node that the request was sent to, and the request path.
    sent_s, ended_s : float
        When the request was sent and when its response ended, in trio time.
    version : str
        HTTP version that the caller uses.
    stream : str
        Name of the stream that it requests, which other requests may have begun; empty
        if it is the only one.
    first_event : int
        Number of the first event that it requests.
    has_left : bool
        Whether the caller left before the end.
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
    version: str = "1.1"
    stream: str = ""
    first_event: int = 0
    has_left: bool = False


@dataclass(slots=True)
class ServerRequest:
    """A request that reached a server and that the server did not refuse.

    Attributes
    ----------
    server, id : str
        Ids of the server and of the request.
    timestamp_s : float
        When the request arrived, in trio time.
    content : str
        Path and body, which are the same for each repeat of a request.
    crashed_s : float or None
        When the request crashed the server, in trio time.
    crashing_segments : tuple of str
        Segments of its prompt that crash servers.
    """

    server: str
    id: str
    timestamp_s: float
    content: str = ""
    crashed_s: float | None = None
    crashing_segments: tuple[str, ...] = ()


@dataclass(slots=True)
class Observations:
    """Records of a play or a soak, which `audit` checks.

    Attributes
    ----------
    caller_requests : list of CallerRequest
        Requests of all callers, with their responses.
    runs : dict of str to int
        Number of runs by request id, over all servers.
    conflicting_usage_windows : list of int
        Windows whose usage was reported with different counts.
    fencing_tokens : list of int
        Fencing tokens of accepted calls, in order.
    holders : list of tuple of (str, int)
        Lease holders and fencing tokens of accepted calls.
    misrouted : list of str
        Ids of requests that arrived at the address which only foreign entries name.
    server_requests : list of ServerRequest
        Requests that reached servers, in order.
    object_changes : list of ObjectChange
        Changes of the store's objects, in order.
    limit_statements : list of LimitStatement
        Rate limits that servers stated or omitted in their responses, in order.
    arrivals : dict of str to list of tuple of (float, str)
        Times and ids of all requests that reached a server, by its incarnation.
    service_arrivals : dict of str to list of tuple of (float, str)
        The same by service, also of requests that the server refused.
    bounds : Bounds
        Bounds of the deployment.
    falls : list of Fall
        Crashes of brittle servers, in order.
    drains : list of DrainStatement
        Responses that stated that their server drains, in order.
    pauses : list of PauseRequest
        Responses that asked for a pause, in order.
    disturbances : Disturbances
        Subjects and periods for which invariants with a time limit do not hold.
    store_calls : list of tuple of (float, str)
        Times and hosts of all calls to the store, in order; empty if nodes share a
        host.
    """

    caller_requests: list[CallerRequest] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    conflicting_usage_windows: list[int] = field(default_factory=list)
    fencing_tokens: list[int] = field(default_factory=list)
    holders: list[tuple[str, int]] = field(default_factory=list)
    misrouted: list[str] = field(default_factory=list)
    server_requests: list[ServerRequest] = field(default_factory=list)
    object_changes: list[ObjectChange] = field(default_factory=list)
    limit_statements: list[LimitStatement] = field(default_factory=list)
    arrivals: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    service_arrivals: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    bounds: Bounds = field(default_factory=Bounds)
    falls: list[Fall] = field(default_factory=list)
    drains: list[DrainStatement] = field(default_factory=list)
    pauses: list[PauseRequest] = field(default_factory=list)
    disturbances: Disturbances = field(default_factory=Disturbances)
    store_calls: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True)
class Violation:
    """A violated invariant.

    Attributes
    ----------
    invariant : str
        Name of the invariant.
    detail : str
        The id concerned and what was observed.
    """

    invariant: str
    detail: str


Check = Callable[[Observations], Iterable[str]]
CHECKS: dict[str, Check] = {}


def invariant(name: str) -> Callable[[Check], Check]:
    """Register a check, which yields a detail for each violation."""

    def register(check: Check) -> Check:
        CHECKS[name] = check
        return check

    return register


def audit(observations: Observations) -> list[Violation]:
    """Return all violations of the invariants.

    Examples
    --------
    >>> request = CallerRequest("r1", "plain", False, 200, b"x answers r1", True)
    >>> audit(Observations([request], {"r1": 2}))
    [Violation(invariant='runs_once', detail='r1 ran 2 times')]
    """
    return [
        Violation(name, detail)
        for name, check in CHECKS.items()
        for detail in check(observations)
    ]


@invariant("runs_once")
def runs_once(observations: Observations) -> Iterable[str]:
    """Find non-repeatable requests that ran more than once."""
    for request in observations.caller_requests:
        runs = observations.runs.get(request.id, 0)
        if not request.allows_retry and runs > 1:
            yield f"{request.id} ran {runs} times"


@invariant("not_run_is_true")
def not_run_is_true(observations: Observations) -> Iterable[str]:
    """Find requests that ran although their response says that they did not."""
    for request in observations.caller_requests:
        if request.allows_retry or request.status not in NOT_RUN:
            continue
        if observations.runs.get(request.id, 0):
            yield f"{request.id} was answered {request.status} and ran"


@invariant("asked_for")
def asked_for(observations: Observations) -> Iterable[str]:
    """Find requests that servers ran and that no caller sent."""
    known = {request.id for request in observations.caller_requests}
    for request_id in observations.runs:
        if request_id not in known:
            yield f"{request_id!r} was never sent"


@invariant("ones_own")
def ones_own(observations: Observations) -> Iterable[str]:
    """Find complete plain responses that belong to another request."""
    for request in observations.caller_requests:
        if request.kind != "plain" or request.status != OK or not request.is_whole:
            continue
        if not request.body.endswith(own_body_end(request)):
            yield f"{request.id} got {request.body[:60]!r}"


def own_body_end(request: CallerRequest) -> bytes:
    """Return the end of each complete plain response to a request."""
    return f"answers {request.id}".encode()


def whole_stream(request: CallerRequest) -> bytes:
    """Return the complete stream in response to a request, without its writers."""
    events = [
        b"id: %d\ndata: piece %d\n\n" % (number, number)
        for number in range(request.first_event, request.events)
    ]
    return b"".join(events)


def without_writers(body: bytes) -> bytes:
    r"""Return a stream without the versions of the servers that wrote its events.

    Examples
    --------
    >>> without_writers(b"id: 0\ndata: piece 0 by v2\n\nid: 1\ndata: piece 1 b")
    b'id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1'
    """
    return WRITER.sub(b"", body)


@invariant("in_order")
def in_order(observations: Observations) -> Iterable[str]:
    """Find streams that are truncated or not a prefix of the expected stream."""
    for request in observations.caller_requests:
        if request.kind != "stream" or request.status != OK:
            continue
        whole, body = whole_stream(request), without_writers(request.body)
        if request.is_whole and body != whole:
            yield f"{request.id} ended after {len(body)} of {len(whole)} bytes"
        elif not whole.startswith(body):
            yield f"{request.id}: body is not a prefix of the expected stream"


@invariant("named_by_servers")
def named_by_servers(observations: Observations) -> Iterable[str]:
    """Find requests that were sent to the address of a foreign entry."""
    for request_id in observations.misrouted:
        yield f"{request_id!r} was sent to the address of a foreign entry"


@invariant("one_usage_report")
def one_usage_report(observations: Observations) -> Iterable[str]:
    """Find usage windows that were reported with different counts."""
    for window in observations.conflicting_usage_windows:
        yield f"window {window}"


@invariant("fences_rise")
def fences_rise(observations: Observations) -> Iterable[str]:
    """Find fencing tokens that decreased or had two holders."""
    if observations.fencing_tokens != sorted(observations.fencing_tokens):
        yield f"accepted in the order {observations.fencing_tokens}"
    holder_of: dict[int, str] = {}
    for holder, token in observations.holders:
        if holder_of.setdefault(token, holder) != holder:
            yield f"token {token} held by {holder_of[token]} and {holder}"


@dataclass(slots=True)
class Version:
    """A configuration that the store confirmed."""

    timestamp_s: float
    number: int
    prefixes: set[str]


def versions_of(observations: Observations) -> list[Version]:
    """Return the configurations in the order in which they were confirmed."""
    return [
        Version(
            change.timestamp_s,
            change.spec["version"],
            {route["pathPrefix"] for route in change.spec["routes"]},
        )
        for change in observations.object_changes
        if change.kind == "config"
    ]


def allowed_versions(versions: list[Version], request: CallerRequest) -> list[Version]:
    """Return the configurations that may be active while a request is handled."""
    newer = [
        v
        for v in versions
        if request.sent_s - APPLY_S < v.timestamp_s <= request.ended_s
    ]
    due = [v for v in versions if v.timestamp_s <= request.sent_s - APPLY_S]
    return due[-1:] + newer


@invariant("configuration_in_force")
def configuration_in_force(observations: Observations) -> Iterable[str]:
    """Find requests that were handled by a configuration that is no longer active."""
    versions = versions_of(observations)
    for request in observations.caller_requests:
        if not observations.disturbances.is_undisturbed(
            request.node, request.sent_s, request.ended_s
        ):
            continue
        allowed = allowed_versions(versions, request)
        prefix = f"/{request.path.split('/')[1]}/" if request.path else ""
        if not prefix or not allowed:
            continue
        if request.status in UNKNOWN and all(prefix in v.prefixes for v in allowed):
            yield (
                f"{request.id} got {request.status}, but {prefix} is in "
                f"configuration {allowed[0].number}"
            )
        if observations.runs.get(request.id) and not any(
            prefix in v.prefixes for v in allowed
        ):
            yield (
                f"{request.id} ran, but {prefix} is not in "
                f"configuration {allowed[0].number}"
            )


def draining_since(observations: Observations, arrival: ServerRequest) -> float | None:
    """Return since when a server was draining when a request reached it, or None."""
    since_s = None
    address = None
    born_ms = 0
    for change in observations.object_changes:
        if change.timestamp_s > arrival.timestamp_s:
            break
        entry = change.spec
        if (change.kind, change.name) != ("servers", arrival.server):
            continue
        if not isinstance(entry, dict) or entry.get("address") != (
            address or entry.get("address")
        ):
            # Removed, or written by another writer.
            continue
        address = entry["address"]
        if entry.get("born", 0) < born_ms:
            # A delayed write of an earlier incarnation.
            continue
        born_ms = entry.get("born", 0)
        if entry["state"] != "draining":
            since_s = None
        elif since_s is None:
            since_s = change.timestamp_s
    return since_s


@invariant("leaving_get_nothing")
def leaving_get_nothing(observations: Observations) -> Iterable[str]:
    """Find requests that reached a server too long after it began to drain."""
    draining = {
        change.name
        for change in observations.object_changes
        if change.kind == "servers"
        and isinstance(change.spec, dict)
        and change.spec.get("state") == "draining"
    }
    request_by_id = {request.id: request for request in observations.caller_requests}
    is_undisturbed = observations.disturbances.is_undisturbed
    for arrival in observations.server_requests:
        if arrival.server not in draining or arrival.id not in request_by_id:
            continue
        since_s = draining_since(observations, arrival)
        if since_s is None or arrival.timestamp_s - since_s <= DRAIN_S:
            continue
        request = request_by_id[arrival.id]
        if (
            is_undisturbed(request.node, request.sent_s, arrival.timestamp_s)
            and is_undisturbed(arrival.server, since_s, arrival.timestamp_s)
            and is_undisturbed(ALL_SUBJECTS, since_s, arrival.timestamp_s)
        ):
            late_s = arrival.timestamp_s - since_s
            yield (
                f"{arrival.id} reached {arrival.server} {late_s:.2f} s after "
                "it began to drain"
            )


@invariant("store_is_not_flooded")
def store_is_not_flooded(observations: Observations) -> Iterable[str]:
    """Find nodes that call the store in a tight loop."""
    counts: Counter[tuple[str, int]] = Counter()
    for timestamp_s, caller in observations.store_calls:
        counts[caller, int(timestamp_s)] += 1
    for (caller, second), count in counts.items():
        if count > MAX_STORE_CALLS_PER_S:
            yield f"{caller} made {count} calls to the store in second {second}"


@invariant("others_are_served")
def others_are_served(observations: Observations) -> Iterable[str]:
    """Find requests refused for crashes although the same request had completed."""
    completed_s: dict[str, float] = {}
    for request in observations.caller_requests:
        if is_served(request):
            ended_s = min(completed_s.get(request.path, math.inf), request.ended_s)
            completed_s[request.path] = ended_s
    for request in observations.caller_requests:
        is_refused = request.status == REFUSED and CRASHED in request.body
        if is_refused and request.sent_s > completed_s.get(request.path, math.inf):
            yield f"{request.id} got {request.body[:60]!r}"


@invariant("crashing_requests_are_refused")
def crashing_requests_are_refused(observations: Observations) -> Iterable[str]:
    """Find requests that reach servers although they have crashed several."""
    arrivals_by_content = defaultdict(list)
    for arrival in observations.server_requests:
        arrivals_by_content[arrival.content].append(arrival)
    yield from late_runs(observations, arrivals_by_content, MAX_CRASHES)


@invariant("crashing_segments_are_refused")
def crashing_segments_are_refused(observations: Observations) -> Iterable[str]:
    """Find prompt segments that reach servers although they have crashed several."""
    arrivals_by_segment = defaultdict(list)
    for arrival in observations.server_requests:
        for segment in arrival.crashing_segments:
            arrivals_by_segment[f"segment {segment}"].append(arrival)
    yield from late_runs(observations, arrivals_by_segment, MAX_SEGMENT_CRASHES)


def late_runs(
    observations: Observations,
    arrivals_by_cause: dict[str, list[ServerRequest]],
    max_crashes: int,
) -> Iterable[str]:
    """Find causes that reach servers after all nodes had time to learn of them."""
    request_by_id = {request.id: request for request in observations.caller_requests}
    for cause, arrivals in arrivals_by_cause.items():
        crashes = sorted(a.crashed_s for a in arrivals if a.crashed_s is not None)
        if len(crashes) < max_crashes:
            continue
        known_s = crashes[max_crashes - 1] + CRASH_NOTICE_S
        late = [
            a
            for a in arrivals
            if a.timestamp_s > known_s
            and observations.disturbances.is_undisturbed(
                request_by_id[a.id].node, known_s, a.timestamp_s
            )
        ]
        if len(late) > MAX_RUNS_AFTER_NOTICE:
            yield f"{cause} reached servers {len(late)} times after {known_s:.2f} s"


@invariant("server_limits_are_kept")
def server_limits_are_kept(observations: Observations) -> Iterable[str]:
    """Find servers that got more requests than the rate limit that they stated."""
    request_by_id = {request.id: request for request in observations.caller_requests}
    is_undisturbed = observations.disturbances.is_undisturbed
    for period in limited_periods(observations.limit_statements):
        start_s = period.started_s + CONTACT_S
        times = [
            time_s
            for time_s, request_id in observations.arrivals.get(period.server, ())
            if request_id in request_by_id
            and is_undisturbed(
                request_by_id[request_id].node, time_s - CONTACT_S, time_s
            )
        ]
        most = most_in_window(times, start_s, period.ended_s)
        if most > allowed_requests(period.rate):
            yield f"{period.server} stated {period.rate} a second and got {most}"


@invariant("retries_are_bounded")
def retries_are_bounded(observations: Observations) -> Iterable[str]:
    """Find services that got more retries in a window than the budget allows."""
    requests = requests_by_service(observations)
    for service, arrivals in observations.service_arrivals.items():
        found = fullest_window(
            repeats(arrivals), requests.get(service, []), observations.bounds
        )
        if found is not None and found.used_share > 1:
            yield (
                f"{service} got {found.retries} retries from {found.start_s:.2f} s, "
                f"{found.allowed:.1f} allowed"
            )


def requests_by_service(observations: Observations) -> dict[str, list[float]]:
    """Return the times of the requests on routes to each service, in order."""
    services = {
        entry["pathPrefix"]: entry["service"]
        for change in observations.object_changes
        if change.kind == "config" and change.spec
        for entry in change.spec["routes"]
        if "service" in entry
    }
    times: dict[str, list[float]] = defaultdict(list)
    for request in observations.caller_requests:
        prefix = next((p for p in services if request.path.startswith(p)), None)
        if prefix is not None:
            times[services[prefix]].append(request.sent_s)
    return {service: sorted(sent) for service, sent in times.items()}


@invariant("attempts_are_bounded")
def attempts_are_bounded(observations: Observations) -> Iterable[str]:
    """Find requests that reached more servers than their route allows attempts."""
    reached: dict[str, set[str]] = defaultdict(set)
    for incarnation, arrivals in observations.arrivals.items():
        for _, request_id in arrivals:
            reached[request_id].add(incarnation)
    limits = max_attempts_by_prefix(observations)
    exceeding = []
    for request in observations.caller_requests:
        servers = reached[request.id]
        limit = max(
            (n for p, n in limits.items() if request.path.startswith(p)), default=0
        )
        if not 0 < limit < len(servers):
            continue
        lasting = [name for name in servers if is_lasting(observations, name, request)]
        if len(lasting) > limit:
            exceeding.append(f"{request.id} reached {sorted(lasting)}, {limit} allowed")
    if len(exceeding) > MAX_EXCEEDING:
        yield f"{len(exceeding)} requests, first: {exceeding[0]}"


def max_attempts_by_prefix(observations: Observations) -> dict[str, int]:
    """Return the largest number of attempts that any configuration allows a route."""
    limits: dict[str, int] = {}
    for change in observations.object_changes:
        if change.kind == "config" and change.spec:
            for entry in change.spec["routes"]:
                prefix = entry["pathPrefix"]
                most = max(limits.get(prefix, 0), entry.get("maxAttempts", 0))
                limits[prefix] = most
    return limits


def is_lasting(
    observations: Observations, incarnation: str, request: CallerRequest
) -> bool:
    """Return whether a server neither ended nor was cut off during a request."""
    start_s, end_s = request.sent_s, request.ended_s
    server = incarnation.partition("/")[0]
    disturbances = observations.disturbances
    return not (
        any(
            request.node in cut.nodes and cut.start_s <= end_s and cut.end_s >= start_s
            for cut in disturbances.cuts
        )
        or any(
            change.kind == "servers"
            and change.name == server
            and start_s <= change.timestamp_s <= end_s
            for change in observations.object_changes
        )
        or any(
            found.server == server
            and found.crashed_s is not None
            and start_s <= found.crashed_s <= end_s
            for found in observations.server_requests
        )
        or any(
            fall.server == server and start_s <= fall.timestamp_s <= end_s
            for fall in observations.falls
        )
    )


@invariant("stated_drains_hold")
def stated_drains_hold(observations: Observations) -> Iterable[str]:
    """Find requests to a server whose drain their node had passed on before."""
    requests = {
        request.id: SentRequest(
            request.node, request.sent_s, request.ended_s, is_served(request)
        )
        for request in observations.caller_requests
        if observations.runs.get(request.id, 0) <= 1
    }
    late = late_requests(observations.drains, observations.arrivals, requests, DRAIN_S)
    for found in late:
        if is_running(observations, found.node, found.known_s, found.arrived_s):
            late_s = found.arrived_s - found.known_s
            yield (
                f"{found.request} reached {found.server} {late_s:.2f} s after "
                f"{found.node} had passed on that it drains"
            )


@invariant("pauses_hold")
def pauses_hold(observations: Observations) -> Iterable[str]:
    """Find servers that get requests of a node in the pause that they asked it for."""
    node_of = {request.id: request.node for request in observations.caller_requests}
    pauses = observations.pauses
    found = requests_in_pauses(pauses, observations.arrivals, node_of.get)
    for pause, node, count in found:
        end_s = pause.timestamp_s + pause.length_s
        if is_running(observations, node, pause.timestamp_s, end_s):
            yield (
                f"{pause.server} asked {node} for {pause.length_s} s at "
                f"{pause.timestamp_s:.2f} s and got {count} requests"
            )


def is_running(
    observations: Observations, node: str, start_s: float, end_s: float
) -> bool:
    """Return whether a node neither restarted nor was suspended in a period."""
    return observations.disturbances.is_undisturbed(node, start_s, end_s)


@invariant("cut_off_nodes_serve")
def cut_off_nodes_serve(observations: Observations) -> Iterable[str]:
    """Find nodes that are cut off from the servers and serve worse than the others."""
    disturbances = observations.disturbances
    for cut in disturbances.cuts:
        start_s = cut.start_s + CONTACT_S
        sent = [
            request
            for request in observations.caller_requests
            if not request.has_left
            and start_s <= request.sent_s
            and request.ended_s <= cut.end_s
            and disturbances.is_undisturbed(
                request.node, request.sent_s, request.ended_s
            )
        ]
        cut_off = {name for other in disturbances.cuts for name in other.nodes}
        peers = {r.node for r in observations.caller_requests} - cut_off
        near = [
            is_served(r)
            for r in sent
            if r.node in cut.nodes and has_peer(disturbances, peers, r)
        ]
        far = [is_served(r) for r in sent if r.node not in cut_off]
        if not near or not far:
            continue
        is_worse = sum(near) / len(near) < MIN_CUT_OFF_SHARE * sum(far) / len(far)
        allowed = MAX_CUT_OFF_FAILED + MAX_CUT_OFF_FAILED_SHARE * len(near)
        if is_worse and len(near) - sum(near) > allowed:
            yield (
                f"{cut.nodes} served {sum(near)} of {len(near)} from {start_s:.2f} s, "
                f"the others {sum(far)} of {len(far)}"
            )


def has_peer(
    disturbances: Disturbances, peers: Iterable[str], request: CallerRequest
) -> bool:
    """Return whether a peer that is not disturbed can relay a request.

    A node that reaches no server and none of these peers cannot serve.
    """
    period = request.sent_s, request.ended_s
    return any(
        disturbances.is_undisturbed(name, *period)
        and disturbances.are_connected(name, request.node, *period)
        for name in peers
    )


def is_served(request: CallerRequest) -> bool:
    """Return whether a request got its complete response, by framing and body."""
    if request.status != OK or not request.is_whole:
        return False
    if request.kind == "stream":
        return without_writers(request.body) == whole_stream(request)
    return request.body.endswith(own_body_end(request))


@invariant("brittle_servers_stand")
def brittle_servers_stand(observations: Observations) -> Iterable[str]:
    """Find brittle servers that undisturbed nodes made crash too often."""
    node_of = {request.id: request.node for request in observations.caller_requests}
    is_undisturbed = observations.disturbances.is_undisturbed
    for period in observations.disturbances.brittle:
        start_s = period.start_s + CONTACT_S
        falls = 0
        for fall in observations.falls:
            if fall.server not in period.servers:
                continue
            if not start_s <= fall.timestamp_s <= period.end_s:
                continue
            calm = sum(
                is_undisturbed(node_of[request], fall.timestamp_s, fall.timestamp_s)
                for request in fall.requests
                if request in node_of
            )
            falls += calm > len(fall.requests) / 2
        if falls > MAX_FALLS + MAX_FALLS_SHARE * len(period.servers):
            yield f"{period.servers} crashed {falls} times from {start_s:.2f} s"


@invariant("one_version")
def one_version(observations: Observations) -> Iterable[str]:
    """Find streams with events of several software versions, over all attempts."""
    versions: defaultdict[str, dict[str, str]] = defaultdict(dict)
    for request in observations.caller_requests:
        if request.kind != "stream" or request.status != OK:
            continue
        for event in events_of(request.body):
            name = request.stream or request.id
            versions[name].setdefault(event.software_version, request.id)
    for name, first_by_version in versions.items():
        if len(first_by_version) > 1:
            yield f"{name} has events of several versions: {first_by_version}"


@invariant("streams_are_resumed")
def streams_are_resumed(observations: Observations) -> Iterable[str]:
    """Find too many streams that do not go on although servers of theirs serve."""
    began = {
        request.stream: next(iter(events_of(request.body))).software_version
        for request in observations.caller_requests
        if request.stream and request.first_event == 0 and events_of(request.body)
    }
    new, resumed = [], []
    for request in observations.caller_requests:
        if not request.stream or not is_in_touch(observations, request):
            continue
        goes_on = request.status == OK
        if request.first_event == 0:
            new.append(goes_on)
        elif count_ready(observations, began.get(request.stream, ""), request) > 1:
            resumed.append(goes_on)
    if len(resumed) < MIN_RESUMED or not new:
        return
    share, share_of_new = sum(resumed) / len(resumed), sum(new) / len(new)
    if share < MIN_RESUMED_SHARE * share_of_new:
        yield (
            f"{sum(resumed)} of {len(resumed)} streams went on, "
            f"{sum(new)} of {len(new)} new ones began"
        )


def is_in_touch(observations: Observations, request: CallerRequest) -> bool:
    """Return whether nothing disturbed a node from some time before a request on."""
    since_s = request.sent_s - CONTACT_S
    disturbances = observations.disturbances
    return disturbances.is_undisturbed(
        request.node, since_s, request.ended_s
    ) and disturbances.is_undisturbed(ALL_SUBJECTS, since_s, request.ended_s)


def count_ready(
    observations: Observations, software_version: str, request: CallerRequest
) -> int:
    """Return the servers of a version that were ready all the time of a request."""
    ready: dict[str, float] = {}
    for change in observations.object_changes:
        if change.kind != "servers" or change.timestamp_s > request.ended_s:
            continue
        entry = change.spec if isinstance(change.spec, dict) else {}
        is_ready = entry.get("state") == "ready"
        if is_ready and entry.get("version") == software_version:
            ready.setdefault(change.name, change.timestamp_s)
        else:
            ready.pop(change.name, None)
    return sum(since_s < request.sent_s - CONTACT_S for since_s in ready.values())
