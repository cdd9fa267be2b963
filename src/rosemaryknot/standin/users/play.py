"""Runs a load and faults against nodes and stand-ins, in virtual time.

A play is the description of one such run.
"""

import json
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import trio

from rosemaryknot.standin.users.audit import (
    CallerRequest,
    Observations,
    ServerRequest,
    Violation,
    audit,
)
from rosemaryknot.standin.users.configuration_changes import added_path
from rosemaryknot.standin.users.foreign_entries import PAGE_SIZES
from rosemaryknot.standin.users.play_faults import (
    PLAY_FAULTS,
    draw_busy_nodes,
    draw_changes,
    draw_cuts,
    draw_ends,
    draw_fault,
    draw_limits,
    draw_retries,
    draw_server_entry_fault,
    draw_statements,
    draw_versions,
)
from rosemaryknot.standin.users.restores import draw_restores
from rosemaryknot.standin.users.resuming_callers import ResumingCaller
from rosemaryknot.standin.users.servers import (
    CRASHING_BODY,
    CRASHING_SEGMENT,
    EVENT_TOKENS,
)
from rosemaryknot.standin.users.store import PAGE_SIZE
from rosemaryknot.standin.users.system import (
    DEPLOYMENT_BOUNDS,
    MODEL_HEADERS,
    PlatformSystem,
    platform_system,
)

__all__ = [
    "SLOW_LINK_BYTES_PER_S",
    "RESUMING_PER_S",
    "LoadMove",
    "Play",
    "PlayResult",
    "load_play",
    "random_play",
    "run_play",
]

REPEATABLE = frozenset(("ask", "stock", "added"))
STREAMS = frozenset(("ask", "plan"))
OK = 200
EVENTS = 50 // EVENT_TOKENS
SLOW_LINK_BYTES_PER_S = 5e6 / 8
# Streams per second that callers resume in plays with several versions.
RESUMING_PER_S = 3.0
MAX_STREAM_ATTEMPTS = 4
MAX_PAUSE_S = 2.0
# Load and smallest system of plays that use up the retry budget.
RETRIED_LOAD = {"ask": 15.0, "stock": 40.0}
MIN_NODES_WITH_RETRIES = 3
# Share of HTTP/1.0 in plays in which servers break responses off.
OLDER_SHARE = 0.2
# Time after the last request in which pending requests end and usage is reported.
SETTLE_S = 14.0


@dataclass(slots=True)
class LoadMove:
    """A moment from which all callers send their requests to some of the nodes.

    Attributes
    ----------
    at_s : float
        When it happens, in seconds after the start of the load.
    nodes : list of str
        Nodes that get the load.
    """

    at_s: float
    nodes: list[str]


@dataclass(slots=True)
class Play:
    """Description of a run: size of the system, load and faults.

    Attributes
    ----------
    nodes, plain, models : int
        Number of nodes, plain servers and model servers.
    length_s : float
        Duration of the load.
    load : dict of str to float
        Requests per second by route: plan, ask, book, stock.
    added_per_s : float
        Requests per second on routes that configuration changes add and drop.
    crashing_per_s : float
        Repeats per second of a request that crashes each model server that runs it.
    crashing_segments_per_s : float
        Requests per second with a prompt segment that crashes each model server, no two
        of them alike.
    page_size : int
        Objects in a page of a list of the store.
    link_bytes_per_s : float
        Bandwidth of each node's link; 0 for no limit.
    older_share : float
        Share of the requests that callers send in HTTP/1.0.
    resuming_per_s : float
        Streams per second whose callers resume them when they break off, or
        leave and come back.
    retry_slack : float
        Additional retries that all nodes together may send in a window.
    moves : list of LoadMove
        Moves of the load from some nodes to others, by time; it is spread evenly over
        all nodes before the first.
    faults : list of dict
        ``at``, ``kind`` (a name in `PLAY_FAULTS`), and the parameters of that kind.
    """

    nodes: int = 3
    plain: int = 3
    models: int = 3
    length_s: float = 20.0
    load: dict[str, float] = field(
        default_factory=lambda: {"plan": 3.0, "ask": 5.0, "book": 5.0, "stock": 5.0}
    )
    added_per_s: float = 4.0
    crashing_per_s: float = 0.0
    crashing_segments_per_s: float = 0.0
    page_size: int = PAGE_SIZE
    link_bytes_per_s: float = 0.0
    older_share: float = 0.0
    resuming_per_s: float = 0.0
    retry_slack: float = DEPLOYMENT_BOUNDS.retry_slack
    moves: list[LoadMove] = field(default_factory=list)
    faults: list[dict[str, Any]] = field(default_factory=list)

    def loaded_nodes(self, after_s: float, nodes: list[str]) -> list[str]:
        """Return which of the nodes callers send requests to at a time of the load."""
        for move in reversed(self.moves):
            if move.at_s <= after_s:
                return [name for name in move.nodes if name in nodes] or nodes
        return nodes


@dataclass(slots=True)
class PlayResult:
    """Result of a play.

    Attributes
    ----------
    outcomes : collections.Counter
        Number of responses by route and status.
    violations : list of Violation
        Violated invariants.
    faults : collections.Counter
        Number of faults that were applied, by kind.
    """

    outcomes: Counter
    violations: list[Violation]
    faults: Counter

    def to_json(self) -> str:
        """Return the result as one line of JSON."""
        return json.dumps(
            {
                "requests": sum(self.outcomes.values()),
                "answered": sum(
                    count
                    for (_, status), count in self.outcomes.items()
                    if status == 200
                ),
                "faults": dict(self.faults),
                "violations": len(self.violations),
                "first": str(self.violations[0]) if self.violations else None,
            }
        )


async def play_load(
    system: PlatformSystem, play: Play, rng: random.Random, observations: Observations
) -> None:
    """Send requests to all nodes and record their responses."""
    started_s = trio.current_time()
    end_s = started_s + play.length_s
    kinds, rates = zip(*play.load.items(), strict=True)
    # A generator of its own: the other requests of a seed stay the same.
    version_rng = random.Random(play.older_share)
    number = 0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            request_added_routes, system, play, rng.random(), observations, nursery
        )
        if play.resuming_per_s:
            nursery.start_soon(request_streams, system, play, observations, nursery)
        if play.crashing_segments_per_s:
            nursery.start_soon(
                request_crashing_segments, system, play, observations, nursery
            )
        if play.crashing_per_s:
            nursery.start_soon(repeat_crashing, system, play, observations, nursery)
        while trio.current_time() < end_s:
            await trio.sleep(rng.expovariate(sum(rates)))
            kind = rng.choices(kinds, rates)[0]
            after_s = trio.current_time() - started_s
            node = rng.choice(play.loaded_nodes(after_s, list(system.nodes)))
            request = new_request(kind, f"{kind}-{number}", node, f"/{kind}/x")
            if version_rng.random() < play.older_share:
                request.version = "1.0"
            nursery.start_soon(ask, system, request, observations)
            number += 1


async def request_added_routes(
    system: PlatformSystem,
    play: Play,
    seed: float,
    observations: Observations,
    nursery: trio.Nursery,
) -> None:
    """Send requests on the routes that configuration changes add and drop."""
    rng = random.Random(seed)
    end_s = trio.current_time() + play.length_s
    number = 0
    while play.added_per_s and trio.current_time() < end_s:
        await trio.sleep(rng.expovariate(play.added_per_s))
        node = rng.choice(list(system.nodes))
        path = added_path(system.store, rng)
        request = new_request("added", f"added-{number}", node, path)
        nursery.start_soon(ask, system, request, observations)
        number += 1


async def repeat_crashing(
    system: PlatformSystem,
    play: Play,
    observations: Observations,
    nursery: trio.Nursery,
) -> None:
    """Repeat a request that crashes servers, at any node."""
    # A generator of its own: the other requests of a seed stay the same.
    rng = random.Random(play.crashing_per_s)
    end_s = trio.current_time() + play.length_s
    number = 0
    while trio.current_time() < end_s:
        await trio.sleep(rng.expovariate(play.crashing_per_s))
        node = rng.choice(list(system.nodes))
        request = new_request("ask", f"crash-{number}", node, "/ask/crash")
        nursery.start_soon(ask, system, request, observations, CRASHING_BODY)
        number += 1


async def request_crashing_segments(
    system: PlatformSystem,
    play: Play,
    observations: Observations,
    nursery: trio.Nursery,
) -> None:
    """Send requests with a segment that crashes servers, at any node."""
    # A generator of its own: the other requests of a seed stay the same.
    rng = random.Random(f"segments {play.crashing_segments_per_s}")
    end_s = trio.current_time() + play.length_s
    number = 0
    while trio.current_time() < end_s:
        await trio.sleep(rng.expovariate(play.crashing_segments_per_s))
        node = rng.choice(list(system.nodes))
        name = f"segment-{number}"
        request = new_request("ask", name, node, f"/ask/{name}")
        segments = ["aa:400", f"{CRASHING_SEGMENT}:300"]
        rng.shuffle(segments)
        prompt = ",".join([*segments, f"own{number}:300"])
        headers = {"Rosemaryknot-Prefix-Hash": prompt}
        nursery.start_soon(ask, system, request, observations, b"", headers)
        number += 1


async def request_streams(
    system: PlatformSystem,
    play: Play,
    observations: Observations,
    nursery: trio.Nursery,
) -> None:
    """Send requests of callers that resume their streams."""
    # A generator of its own: the other requests of a seed stay the same.
    rng = random.Random(f"resuming {play.resuming_per_s}")
    end_s = trio.current_time() + play.length_s
    number = 0
    while trio.current_time() < end_s:
        await trio.sleep(rng.expovariate(play.resuming_per_s))
        caller = ResumingCaller(system, f"resumed-{number}")
        nursery.start_soon(request_stream, system, caller, rng.random(), observations)
        number += 1


async def request_stream(
    system: PlatformSystem,
    caller: ResumingCaller,
    seed: float,
    observations: Observations,
) -> None:
    """Request one stream at several nodes in turn until it is complete."""
    rng = random.Random(seed)
    max_events = rng.choice((None, 1, 3))
    for _ in range(MAX_STREAM_ATTEMPTS):
        node = rng.choice(list(system.nodes))
        name = f"{caller.name}-{caller.attempts + 1}"
        request = new_request("ask", name, node, caller.path)
        request.stream = caller.name
        request.first_event = len(caller.events)
        observations.caller_requests.append(request)
        request.sent_s = request.ended_s = trio.current_time()
        answer = await caller.attempt(node, max_events)
        request.ended_s = trio.current_time()
        request.status, request.body = answer.status, answer.body
        request.is_whole = answer.is_whole
        request.has_left = max_events is not None and not answer.is_whole
        if answer.is_whole and answer.status == OK:
            return
        max_events = None
        await trio.sleep(rng.uniform(0.05, MAX_PAUSE_S))


def new_request(kind: str, name: str, node: str, path: str) -> CallerRequest:
    """Return the record of a request that is about to be sent."""
    return CallerRequest(
        name,
        "stream" if kind in STREAMS else "plain",
        kind in REPEATABLE,
        events=EVENTS,
        node=node,
        path=path,
    )


async def ask(
    system: PlatformSystem,
    request: CallerRequest,
    observations: Observations,
    body: bytes = b"",
    more_headers: dict[str, str] | None = None,
) -> None:
    """Send a request and record its response."""
    observations.caller_requests.append(request)
    request.sent_s = request.ended_s = trio.current_time()
    headers = MODEL_HEADERS if request.kind == "stream" else {}
    headers = headers | (more_headers or {})
    method = "GET" if request.path.startswith("/stock/") else "POST"
    try:
        answer = await system.ask(
            request.path,
            request.node,
            method=method,
            request_id=request.id,
            body=body,
            version=request.version,
            **headers,
        )
    except (OSError, trio.BrokenResourceError):
        return
    finally:
        request.ended_s = trio.current_time()
    request.status = answer.status
    request.body = answer.body
    request.is_whole = answer.is_whole


async def run_play(play: Play, seed: int) -> PlayResult:
    """Run a play and check the invariants."""
    rng = random.Random(seed)
    bounds = replace(DEPLOYMENT_BOUNDS, retry_slack=play.retry_slack)
    observations = Observations(bounds=bounds)
    fault_counts: Counter = Counter()
    async with platform_system(
        seed,
        page_size=play.page_size,
        nodes=play.nodes,
        plain=play.plain,
        models=play.models,
        bounds=bounds,
        duties=["usage"],
    ) as system:
        if play.link_bytes_per_s:
            system.limit_links(play.link_bytes_per_s)
        await trio.sleep(3)

        async def apply_fault(fault: dict[str, Any]) -> None:
            await trio.sleep(fault["at"])
            fault_counts[fault["kind"]] += 1
            await PLAY_FAULTS[fault["kind"]](system, fault)

        for fault in play.faults:
            system.nursery.start_soon(apply_fault, fault)
        await play_load(system, play, rng, observations)
        await trio.sleep(SETTLE_S)
        record_observations(system, observations)
        calls = system.store.calls
        observations.store_calls = [(call.timestamp_s, call.caller) for call in calls]
    outcomes = Counter(
        (a.id.partition("-")[0], a.status) for a in observations.caller_requests
    )
    return PlayResult(outcomes, audit(observations), fault_counts)


def record_observations(system: PlatformSystem, observations: Observations) -> None:
    """Add the records of the servers, the store and the cloud."""
    observations.limit_statements = system.ledger.statements
    observations.falls = system.ledger.falls
    observations.drains = system.ledger.drains
    observations.pauses = system.ledger.pauses
    for arrival in system.ledger.arrivals:
        times = observations.arrivals.setdefault(arrival.incarnation, [])
        times.append((arrival.timestamp_s, arrival.id))
        of_service = observations.service_arrivals.setdefault(arrival.service, [])
        of_service.append((arrival.timestamp_s, arrival.id))
        if arrival.has_run:
            observations.runs[arrival.id] = observations.runs.get(arrival.id, 0) + 1
        if arrival.ended != "refused":
            observations.server_requests.append(
                ServerRequest(
                    arrival.server,
                    arrival.id,
                    arrival.timestamp_s,
                    f"{arrival.request.path} {arrival.request.body.decode('latin-1')}",
                    arrival.crashed_s,
                    tuple(arrival.crashing_segments),
                )
            )
    observations.object_changes = system.store.object_changes
    observations.disturbances = system.disturbances
    observations.misrouted = [arrival.id for arrival in system.trap.arrivals]
    accepted = [call for call in system.cloud.calls if call.status == 200]
    observations.conflicting_usage_windows = system.cloud.conflicting_windows
    observations.fencing_tokens = [call.fencing for call in accepted]
    observations.holders = [(call.holder, call.fencing) for call in accepted]


def random_play(
    seed: int,
    crashing_per_s: float = 0.0,
    has_limits: bool = False,
    has_cuts: bool = False,
    has_ends: bool = False,
    has_versions: bool = False,
    crashing_segments_per_s: float = 0.0,
    has_statements: bool = False,
    has_restores: bool = False,
    has_busy_nodes: bool = False,
    has_retries: bool = False,
    has_moves: bool = False,
) -> Play:
    """Return a play with random faults of a seed, some of which overlap."""
    rng = random.Random(seed)
    play = Play(nodes=rng.choice((1, 2, 3, 4)))
    for _ in range(rng.randint(3, 7)):
        play.faults.append(draw_fault(rng, play.nodes))
    for _ in range(rng.randint(1, 4)):
        play.faults.append(draw_server_entry_fault(rng))
    for _ in range(rng.choice((0, 1, 2))):
        play.faults.append(draw_changes(rng))
    play.link_bytes_per_s = rng.choice((0.0, SLOW_LINK_BYTES_PER_S))
    play.page_size = random.Random(f"pages {seed}").choice(PAGE_SIZES)
    play.crashing_per_s = crashing_per_s
    play.crashing_segments_per_s = crashing_segments_per_s
    if has_limits:
        play.faults += draw_limits(random.Random(f"limits {seed}"))
    if has_cuts:
        play.faults += draw_cuts(random.Random(f"cuts {seed}"), play.nodes)
    if has_ends:
        play.faults += draw_ends(random.Random(f"ends {seed}"))
        play.older_share = OLDER_SHARE
    if has_versions:
        play.faults += draw_versions(random.Random(f"versions {seed}"))
        play.resuming_per_s = RESUMING_PER_S
    if has_statements:
        play.faults += draw_statements(random.Random(f"statements {seed}"))
    if has_busy_nodes:
        busy_rng = random.Random(f"busy nodes {seed}")
        play.faults += draw_busy_nodes(busy_rng, play.nodes)
    if has_retries:
        play.nodes = max(play.nodes, MIN_NODES_WITH_RETRIES)
        play.load |= RETRIED_LOAD
        retry_rng = random.Random(f"retries {seed}")
        play.faults += draw_retries(retry_rng, play.nodes)
    if has_moves:
        play.moves = draw_moves(
            random.Random(f"moves {seed}"), play.nodes, play.length_s
        )
    if has_restores:
        play.faults += draw_restores(random.Random(f"restores {seed}"))
        play.faults += draw_statements(random.Random(f"statements {seed}"))
    return play


def draw_moves(rng: random.Random, nodes: int, length_s: float) -> list[LoadMove]:
    """Draw moves of the load to some of the nodes, several within a window."""
    names = [f"n{number}" for number in range(nodes)]
    moves, at_s = [], 0.0
    while at_s < length_s:
        moves.append(LoadMove(round(at_s, 2), rng.sample(names, rng.randint(1, nodes))))
        at_s += rng.uniform(1.0, 8.0)
    return moves


def load_play(path: Path) -> Play:
    """Read a play from a JSON file.

    Raises
    ------
    ValueError
        If the file has an unknown field or an unknown kind of fault.
    """
    data = json.loads(path.read_text(encoding="utf-8"))
    unknown = set(data) - set(Play.__slots__)
    if unknown:
        raise ValueError(f"unknown fields in play: {', '.join(sorted(unknown))}")
    for fault in data.get("faults", []):
        if fault.get("kind") not in PLAY_FAULTS:
            kinds = ", ".join(sorted(PLAY_FAULTS))
            raise ValueError(
                f"unknown kind of fault {fault.get('kind')!r}; known kinds: {kinds}"
            )
    data["moves"] = [LoadMove(**move) for move in data.get("moves", [])]
    return Play(**data)
