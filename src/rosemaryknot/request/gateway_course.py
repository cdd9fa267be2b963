"""What a request works with on its way through a gateway."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from rosemaryknot.connection.gateway_caller import Reply
from rosemaryknot.connection.gateway_server import ServerPool
from rosemaryknot.process.gateway_servers import ServerTable
from rosemaryknot.request.gateway_placement import Candidate
from rosemaryknot.values.gateway import (
    CustomerLimit,
    GatewayConfiguration,
    GatewayRequest,
    GatewayRoute,
    GatewayService,
)
from rosemaryknot.values.gateway_answers import GatewayWire, PlannedStop, Refusal
from rosemaryknot.values.incarnation import ServerIncarnation

__all__ = [
    "RETURN_LEAST_S",
    "UNAVAILABLE",
    "Course",
    "GatewayParts",
    "choice_of",
    "explain_cut",
    "output_tokens",
    "refusal",
]

# Callers come back within this time, drawn evenly, so that they do not come at once.
RETURN_SPREAD_S = 0.4
RETURN_LEAST_S = 0.05
# The status of a request that has not run and never will, with when to come back.
UNAVAILABLE = 503
# Ranks that servers know; 0 is the most urgent.
LAST_RANK = 9


@dataclass(slots=True)
class GatewayParts:
    """What a gateway works with.

    Attributes
    ----------
    zone : str
        Availability zone of this node.
    wire : GatewayWire
        Names of headers.
    configuration : callable
        Returns the configuration in force, or None.
    newest_version : callable
        Returns the newest version that any gateway was heard to have.
    is_behind : callable
        Tells whether another gateway was just heard to have a newer version.
    servers : ServerTable
        The backend servers.
    pool : ServerPool
        Connections to them.
    take_quota : callable
        Of customer and units; returns after how many seconds they would be there,
        0 where they were taken.
    give_back_quota : callable
        Of customer and units that were taken and not used.
    explain_quota : callable
        Of a customer; returns what the last answer of ``take_quota`` rests on.
    may_retry : callable
        Of a service; tells whether one more attempt is within the budget, and
        counts it.
    note_request : callable
        Of a service; counts a request for the budget of attempts.
    note_run : callable
        Of a customer; counts a request that began to run.
    note_work : callable
        Of a service and prompt tokens that it has to read; counts the work.
    stop : callable
        Returns the planned stop that goes on, or None.
    is_alone : callable
        Tells whether no other node of the zone is known.
    rng : random.Random
        Spreads returns and breaks ties.
    """

    zone: str
    wire: GatewayWire
    configuration: Callable[[], GatewayConfiguration | None]
    newest_version: Callable[[], int]
    is_behind: Callable[[], bool]
    servers: ServerTable
    pool: ServerPool
    take_quota: Callable[[CustomerLimit, float], float]
    give_back_quota: Callable[[CustomerLimit, float], None]
    explain_quota: Callable[[CustomerLimit], dict[str, float]]
    may_retry: Callable[[str], bool]
    note_request: Callable[[str], None]
    note_run: Callable[[str], None]
    note_work: Callable[[str, int], None]
    stop: Callable[[], PlannedStop | None]
    is_alone: Callable[[], bool]
    rng: random.Random


@dataclass(slots=True)
class Course:
    """One request on its way.

    Attributes
    ----------
    request : GatewayRequest
        What was asked.
    reply : Reply
        Where the answer goes.
    route : GatewayRoute
        The route in force when it came.
    service : GatewayService
        Drawn among the route's.
    customer : CustomerLimit or None
        Whose it is.
    units : float
        Taken from the customer's limit.
    until_s : float
        When it is given up, in trio time.
    tried : set of ServerIncarnation
        Servers that were asked; one that has started again since was not.
    sent : int
        Attempts of which a byte may have left.
    may_have_run : bool
        Whether an attempt may have run.
    last_event_id : bytes or None
        Where the stream goes on.
    version : int
        Of the configuration.
    last_rank : int
        The least urgent rank among the routes to its service.
    shortest_pause_s : float
        The shortest pause between events that the routes to its service allow.
    first_s : float or None
        When the first bytes went to the caller, from its arrival, in seconds.
    events_s : float or None
        When the last events of a stream came, in trio time.
    pause_s : float
        The longest pause between events of a stream, in seconds.
    chosen : Candidate or None
        The last server that was asked, as it looked then.
    delivery : trio.CancelScope or None
        Of a whole answer on its way to the caller.
    limit : trio.CancelScope or None
        What ends it when its time is over.
    """

    request: GatewayRequest
    reply: Reply
    route: GatewayRoute
    service: GatewayService
    customer: CustomerLimit | None
    units: float
    until_s: float
    version: int
    last_rank: int
    shortest_pause_s: float = math.inf
    tried: set[ServerIncarnation] = field(default_factory=set)
    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False
    last_event_id: bytes | None = None
    is_counted: bool = False
    first_s: float | None = None
    events_s: float | None = None
    pause_s: float = 0.0
    chosen: Candidate | None = None
    delivery: trio.CancelScope | None = None
    limit: trio.CancelScope | None = None

    @property
    def rank(self) -> int:
        """Its rank; 0 is the most urgent. A customer's goes before a route's."""
        rank = self.route.priority
        if self.customer is not None and self.customer.priority is not None:
            rank = self.customer.priority
        return max(0, min(LAST_RANK, rank))

    @property
    def is_least_urgent(self) -> bool:
        """Whether no route to its service has less urgent requests."""
        return self.rank >= min(self.last_rank, LAST_RANK)

    def left_s(self) -> float:
        """Return how long is left, in seconds."""
        return self.until_s - trio.current_time()

    def note_events(self, now_s: float) -> None:
        """Count the pause before events of a stream."""
        if self.events_s is not None:
            self.pause_s = max(self.pause_s, now_s - self.events_s)
        self.events_s = now_s


def output_tokens(request: GatewayRequest) -> int:
    """Return the most tokens that an answer may have, 0 for a plain one."""
    return 0 if request.size is None else request.size.max_output_tokens


def choice_of(course: Course) -> dict[str, object]:
    """Return what the last choice of a server was made from, for the log."""
    chosen = course.chosen
    if chosen is None:
        return {}
    now_s = trio.current_time()
    return {
        "server": chosen.state.entry.id,
        "server_born": chosen.state.entry.born,
        "server_known_s": round(now_s - chosen.state.known_s, 3),
        "server_entry_s": round(now_s - chosen.state.entry_s, 3),
        "server_failures": chosen.failures,
        "server_zone": chosen.state.entry.zone,
        "requests_there": chosen.requests,
        "tokens_there": chosen.tokens,
        "tokens_kept": chosen.kept_tokens,
        "prompt": 0
        if course.request.size is None
        else course.request.size.prompt_tokens,
        "max_output": output_tokens(course.request),
    }


def explain_cut(course: Course) -> dict[str, object]:
    """Return what a line tells of a request that is cut on its way."""
    limit_s = course.until_s - course.request.arrived_s
    return {
        "request": course.request.id,
        "route": course.route.name,
        "version": course.version,
        "limit_s": round(limit_s, 3),
        "left_s": round(course.left_s(), 3),
        "servers": len(course.tried),
        "first_s": None if course.first_s is None else round(course.first_s, 3),
        **choice_of(course),
    }


def refusal(
    rng: random.Random, status: int, reason: str, least_s: float = RETURN_LEAST_S
) -> Refusal:
    """Return a refusal whose return is spread over some time."""
    return Refusal(status, reason, least_s + rng.uniform(0, RETURN_SPREAD_S))
