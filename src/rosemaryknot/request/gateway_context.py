"""State of one request in a gateway, and the components that handle it."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from rosemaryknot.connection.gateway_caller import Reply
from rosemaryknot.connection.gateway_server import ServerPool
from rosemaryknot.process.gateway_servers import ServerTable
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.request.crash_guard import CrashGuard
from rosemaryknot.request.crash_rules import Allowed, Barred
from rosemaryknot.request.gateway_placement import Candidate
from rosemaryknot.request.held_responses import HeldResponses
from rosemaryknot.request.limit_guard import LimitGuard
from rosemaryknot.request.origin_guard import OriginGuard, StreamBeginning
from rosemaryknot.request.permit_client import Permit
from rosemaryknot.request.retry_guard import RetryGuard
from rosemaryknot.values.gateway import (
    CustomerLimit,
    GatewayConfiguration,
    GatewayRequest,
    GatewayRoute,
    GatewayService,
)
from rosemaryknot.values.gateway_responses import GatewayWire, Refusal, ShutdownSchedule
from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.request_identity import RequestIdentity
from rosemaryknot.values.stream_origins import StreamOrigin

__all__ = [
    "MIN_RETRY_AFTER_S",
    "UNAVAILABLE",
    "GatewayComponents",
    "RequestContext",
    "abort_log_fields",
    "closed_log_fields",
    "output_tokens",
    "placement_log_fields",
    "refusal",
]

# Uniformly distributed jitter added to Retry-After, so that refused callers do not all
# retry at the same time.
RETRY_JITTER_S = 0.4
MIN_RETRY_AFTER_S = 0.05
# Status of a request that has not run and will not run; sent with Retry-After.
UNAVAILABLE = 503
# Lowest priority that servers accept; 0 is the highest.
LOWEST_PRIORITY = 9


@dataclass(slots=True)
class GatewayComponents:
    """Components that a gateway uses to handle requests.

    Attributes
    ----------
    zone : str
        Availability zone of this node.
    wire : GatewayWire
        Header names and formats of the platform.
    configuration : callable
        Returns the current configuration, or None.
    newest_version : callable
        Returns the newest configuration version reported by any gateway.
    is_behind : callable
        Returns whether another gateway recently reported a newer version.
    servers : ServerTable
        Known backend servers.
    pool : ServerPool
        Connections to the backend servers.
    crashes : CrashGuard
        Decides on requests during which servers crashed.
    limits : LimitGuard
        Selects servers under the rate limits that they state.
    held : HeldResponses
        Responses that are not complete.
    origins : OriginGuard
        Keeps streams at the software version that began them.
    acquire_quota : callable
        Acquires units of a customer's limit. Takes the customer and the units; returns
        0 if they were acquired, otherwise the seconds until they are available.
    release_quota : callable
        Releases units that were acquired and not used. Takes the customer and the
        units.
    explain_quota : callable
        Takes a customer; returns the values from which the last result of
        ``acquire_quota`` was computed, for the log.
    retries : RetryGuard
        Decides whether a request may be sent to a server once more.
    record_run : callable
        Takes a customer name; counts a request that began to run.
    record_drain : callable
        Takes a server that has stated that it drains; tells the other nodes.
    record_pause : callable
        Records that a server wants no requests for a time. Takes the server, the time
        in seconds, and the peer that relayed the request; empty for none.
    record_work : callable
        Takes a service name and prompt tokens to prefill; counts the demand.
    stop : callable
        Returns the graceful shutdown in progress, or None.
    is_alone : callable
        Returns whether no other node of the zone is known.
    rng : random.Random
        Adds jitter to retry times and breaks ties.
    """

    zone: str
    wire: GatewayWire
    configuration: Callable[[], GatewayConfiguration | None]
    newest_version: Callable[[], int]
    is_behind: Callable[[], bool]
    servers: ServerTable
    pool: ServerPool
    crashes: CrashGuard
    limits: LimitGuard
    held: HeldResponses
    origins: OriginGuard
    acquire_quota: Callable[[CustomerLimit, float], float]
    release_quota: Callable[[CustomerLimit, float], None]
    explain_quota: Callable[[CustomerLimit], dict[str, float]]
    retries: RetryGuard
    record_run: Callable[[str], None]
    record_drain: Callable[[ServerState], None]
    record_pause: Callable[[ServerState, float, str], None]
    record_work: Callable[[str, int], None]
    stop: Callable[[], ShutdownSchedule | None]
    is_alone: Callable[[], bool]
    rng: random.Random


@dataclass(slots=True)
class RequestContext:
    """Context of one request, from its admission to the end of its response.

    Attributes
    ----------
    request : GatewayRequest
        Request of the caller.
    reply : Reply
        Response to the caller.
    route : GatewayRoute
        Route that matched when the request arrived.
    service : GatewayService
        Service drawn from those of the route.
    customer : CustomerLimit or None
        Customer that sent the request.
    units : float
        Units acquired from the customer's limit.
    deadline_s : float
        When the request is aborted, in trio time.
    tried : set of ServerIncarnation
        Server incarnations that have been attempted. A server that has restarted since
        is a new incarnation and may be attempted again.
    sent : int
        Number of attempts of which any byte may have been sent, without those that a
        lost path ended.
    unsent : int
        Number of attempts of which no byte was sent.
    may_have_run : bool
        Whether an attempt may have run.
    last_event_id : bytes or None
        Event id after which a stream is resumed.
    is_run_recorded : bool
        Whether the request was counted as one that began to run.
    version : int
        Version of the configuration.
    lowest_priority : int
        Lowest priority, that is the greatest number, of the routes to the service.
    min_event_gap_s : float
        Shortest of the gaps between events that the routes to the service allow.
    first_byte_s : float or None
        Time from arrival to the first bytes of the response, in seconds.
    last_event_s : float or None
        When the last events of a stream arrived, in trio time.
    max_event_gap_s : float
        Longest gap between events of a stream, in seconds.
    chosen : Candidate or None
        Server of the last attempt, with its load when it was chosen.
    delivery_scope : trio.CancelScope or None
        Scope in which a buffered response is delivered to the caller.
    deadline_scope : trio.CancelScope or None
        Scope that aborts the request at its deadline.
    closed_by : list of ServerState
        Servers that closed the connection of an attempt before the response ended.
    known_identity : RequestIdentity or None
        Result of `identity`, once it was needed.
    crash_decision : Allowed or Barred
        Latest decision on the request because of servers that crashed.
    may_have_arrived : bool
        Whether a server may have received the request, though it did not run it.
    retry_decided_s : float or None
        When it was last decided to send the request once more, in trio time; None
        before, and once it was sent.
    path : str
        Path of the last connection: empty if none was opened, ``direct``, or the name
        of the peer that relays it.
    lost_paths : int
        Number of attempts that ended because of the path to the server.
    permit : Permit or None
        Permit of the current attempt, at a server with a rate limit.
    max_wait_s : float or None
        Until when it may wait for a server that wants no requests, in trio time; None
        before it had to.
    origin : StreamOrigin or None
        Service and software version at which the stream has begun; None before its
        first event.
    beginning : StreamBeginning or None
        What is recorded of a stream that may be resumed.
    are_entries_confirmed : bool or None
        Whether the store has confirmed the entries of servers since it turned out that
        no known one may go on with the stream; None before it was asked.
    """

    request: GatewayRequest
    reply: Reply
    route: GatewayRoute
    service: GatewayService
    customer: CustomerLimit | None
    units: float
    deadline_s: float
    version: int
    lowest_priority: int
    min_event_gap_s: float = math.inf
    tried: set[ServerIncarnation] = field(default_factory=set)
    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False
    last_event_id: bytes | None = None
    is_run_recorded: bool = False
    first_byte_s: float | None = None
    last_event_s: float | None = None
    max_event_gap_s: float = 0.0
    chosen: Candidate | None = None
    delivery_scope: trio.CancelScope | None = None
    deadline_scope: trio.CancelScope | None = None
    closed_by: list[ServerState] = field(default_factory=list)
    known_identity: RequestIdentity | None = None
    crash_decision: Allowed | Barred = field(default_factory=Allowed)
    may_have_arrived: bool = False
    retry_decided_s: float | None = None
    path: str = ""
    lost_paths: int = 0
    permit: Permit | None = None
    max_wait_s: float | None = None
    origin: StreamOrigin | None = None
    beginning: StreamBeginning | None = None
    are_entries_confirmed: bool | None = None

    @property
    def customer_name(self) -> str:
        """Name of the customer; empty without one."""
        return "" if self.customer is None else self.customer.name

    @property
    def identity(self) -> RequestIdentity:
        """What is the same for each repeat of the request."""
        if self.known_identity is None:
            request = self.request
            head = (request.method, request.host.encode(), request.target)
            self.known_identity = RequestIdentity(
                request.id,
                self.customer_name,
                head,
                request.body,
                self.service.name,
                request.shared_segments,
            )
        return self.known_identity

    @property
    def priority(self) -> int:
        """Priority; 0 is the highest. The customer's overrides that of the route."""
        priority = self.route.priority
        if self.customer is not None and self.customer.priority is not None:
            priority = self.customer.priority
        return max(0, min(LOWEST_PRIORITY, priority))

    @property
    def is_lowest_priority(self) -> bool:
        """Whether no route to the service has requests of a lower priority."""
        return self.priority >= min(self.lowest_priority, LOWEST_PRIORITY)

    def remaining_s(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline_s - trio.current_time()

    def record_events(self, now_s: float) -> None:
        """Record the arrival of events of a stream and the gap before them."""
        if self.last_event_s is not None:
            self.max_event_gap_s = max(self.max_event_gap_s, now_s - self.last_event_s)
        self.last_event_s = now_s


def output_tokens(request: GatewayRequest) -> int:
    """Return the maximum output tokens of a response, 0 for a plain request."""
    return 0 if request.size is None else request.size.max_output_tokens


def placement_log_fields(context: RequestContext) -> dict[str, object]:
    """Return log fields that explain the last choice of a server."""
    chosen = context.chosen
    if chosen is None:
        return {}
    now_s = trio.current_time()
    return {
        "server": chosen.state.entry.id,
        "server_born": chosen.state.entry.born,
        "software_version": chosen.state.entry.software_version,
        "server_known_s": round(now_s - chosen.state.first_seen_s, 3),
        "server_entry_s": round(now_s - chosen.state.entry_updated_s, 3),
        "server_failures": chosen.failures,
        "server_zone": chosen.state.entry.zone,
        "path": context.path,
        "requests_there": chosen.requests,
        "tokens_there": chosen.tokens,
        "tokens_kept": chosen.cached_tokens,
        "prompt": 0
        if context.request.size is None
        else context.request.size.prompt_tokens,
        "max_output": output_tokens(context.request),
    }


def closed_log_fields(context: RequestContext) -> dict[str, object]:
    """Return log fields that identify a request whose connections servers closed.

    The digest is the same for each repeat of the request, whose id is not.
    """
    if not context.closed_by:
        return {}
    return {
        "request_digest": context.identity.digest.hex(),
        "closed_by": [state.entry.id for state in context.closed_by],
    }


def abort_log_fields(context: RequestContext) -> dict[str, object]:
    """Return log fields of a request that is aborted in progress."""
    timeout_s = context.deadline_s - context.request.arrived_s
    return {
        "request": context.request.id,
        "route": context.route.name,
        "version": context.version,
        "limit_s": round(timeout_s, 3),
        "left_s": round(context.remaining_s(), 3),
        "servers": len(context.tried),
        "first_s": None
        if context.first_byte_s is None
        else round(context.first_byte_s, 3),
        **placement_log_fields(context),
    }


def refusal(
    rng: random.Random, status: int, reason: str, min_s: float = MIN_RETRY_AFTER_S
) -> Refusal:
    """Return a refusal with jitter added to its Retry-After."""
    return Refusal(status, reason, min_s + rng.uniform(0, RETRY_JITTER_S))
