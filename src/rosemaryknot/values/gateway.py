"""Decoded values of a gateway: configuration, backend servers and requests.

The adapter of the platform decodes them. Durations are in seconds; limits are in the
units named by their fields.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum

from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.nodes import Address

__all__ = [
    "CallerLimits",
    "CustomerLimit",
    "EngineLimits",
    "GatewayConfiguration",
    "GatewayRequest",
    "GatewayRoute",
    "GatewayService",
    "ModelInput",
    "PromptSegment",
    "RetryPolicy",
    "RoutedServer",
    "ScalingLimits",
]

Headers = list[tuple[bytes, bytes]]


class RetryPolicy(StrEnum):
    """Which requests of a route may be sent again after they may have run.

    ``ANY`` allows all, ``ONCE`` none, and ``STREAM`` those whose stream can be resumed.
    """

    ANY = "any"
    ONCE = "once"
    STREAM = "stream"


@dataclass(slots=True)
class GatewayRoute:
    """A route: the services that get the requests of a host and path prefix.

    Attributes
    ----------
    name, host, path_prefix : str
        Name of the route, and the host and path prefix that select it.
    retry_policy : str
        A `RetryPolicy` value.
    timeout_s : float
        Longest time that a request may take.
    target_s : float
        Target for the time to the response, or to the first event of a stream.
    max_event_gap_s : float
        Longest gap between events with which a stream meets its target.
    priority : int
        Priority; 0 is the highest.
    backends : list of tuple of (str, float)
        Names of services and their weights.
    max_attempts : int
        Maximum number of servers to which one request may be sent.
    is_public : bool
        Whether requests need no API key.
    is_resumable : bool
        Whether a stream may be resumed at another server.
    is_model : bool
        Whether its requests list the segments of their prompts.
    """

    name: str
    host: str
    path_prefix: str
    retry_policy: str
    timeout_s: float
    target_s: float
    priority: int
    backends: list[tuple[str, float]]
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    is_model: bool = False
    max_event_gap_s: float = math.inf

    @property
    def allows_retry(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        return self.retry_policy == RetryPolicy.ANY or (
            self.retry_policy == RetryPolicy.STREAM and self.is_resumable
        )


@dataclass(slots=True)
class EngineLimits:
    """Capacity of a model server.

    Attributes
    ----------
    slots : int
        Requests that run concurrently.
    kv_tokens : int
        Tokens that fit into its KV cache.
    """

    slots: int
    kv_tokens: int


@dataclass(slots=True)
class ScalingLimits:
    """Bounds and prices for scaling a service.

    Attributes
    ----------
    min_servers, max_servers : int
        Bounds for each availability zone, reclaimable and other servers together.
    boot_s : float
        Time from the order of a server to its first request.
    reclaimable_price : float
        Price of a reclaimable server as a share of the price of another one; 0 if the
        service has no reclaimable servers.
    zone_prices : dict of str to float
        Price of a server per second, by availability zone.
    """

    min_servers: int
    max_servers: int
    boot_s: float
    reclaimable_price: float
    zone_prices: dict[str, float]


@dataclass(slots=True)
class GatewayService:
    """A service that routes refer to.

    Attributes
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that each of its servers accepts in total.
    engine : EngineLimits or None
        Capacity of each server; None if they are not model servers.
    scaling : ScalingLimits or None
        Bounds for scaling; None if the gateway does not scale the service.
    """

    name: str
    max_connections: int = 0
    engine: EngineLimits | None = None
    scaling: ScalingLimits | None = None


@dataclass(slots=True)
class CustomerLimit:
    """A customer and its rate limit, over all instances together.

    Attributes
    ----------
    name : str
        Name of the customer.
    priority : int or None
        Overrides the priority of the route.
    rate : float
        Units per second; 0 for no limit.
    burst : float
        Units that may be used at once in addition to the rate.
    counts_tokens : bool
        Whether the unit is a token rather than a request.
    plain_tokens : int
        Tokens charged for a request that does not state its tokens.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_tokens: int = 1


@dataclass(slots=True)
class CallerLimits:
    """Limits on what a caller may send, and for how long.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum sizes.
    header_timeout_s : float
        Time from the first byte of a request to the end of its headers.
    idle_timeout_s : float
        How long a persistent connection may stay without a request.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True)
class GatewayConfiguration:
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Version number, which only increases.
    routes_by_host : dict of str to list of GatewayRoute
        Routes by host, in order of decreasing path prefix length.
    services : dict of str to GatewayService
        Services by name.
    customers : dict of str to CustomerLimit
        Customers by name; empty if no API keys are required.
    customer_by_key : dict of str to str
        Names of customers by API key.
    limits : CallerLimits
        Limits on callers' connections.
    lowest_priority_by_service : dict of str to int
        Lowest priority (the highest number) among the routes to a service.
    min_event_gap_s_by_service : dict of str to float
        Shortest gap between events among the routes to a service.
    """

    version: int
    routes_by_host: dict[str, list[GatewayRoute]] = field(default_factory=dict)
    services: dict[str, GatewayService] = field(default_factory=dict)
    customers: dict[str, CustomerLimit] = field(default_factory=dict)
    customer_by_key: dict[str, str] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    lowest_priority_by_service: dict[str, int] = field(init=False, default_factory=dict)
    min_event_gap_s_by_service: dict[str, float] = field(
        init=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        """Compute the lowest priority and shortest event gap for each service."""
        priorities = self.lowest_priority_by_service
        gaps = self.min_event_gap_s_by_service
        for routes in self.routes_by_host.values():
            for route in routes:
                for service, _ in route.backends:
                    priorities[service] = max(
                        priorities.get(service, 0), route.priority
                    )
                    gaps[service] = min(
                        gaps.get(service, math.inf), route.max_event_gap_s
                    )

    def route_of(self, host: str, path: str) -> GatewayRoute | None:
        """Return the route with the longest matching path prefix, or None.

        Examples
        --------
        >>> route = GatewayRoute("r", "a.example", "/x/", "any", 1, 1, 0, [])
        >>> both = GatewayConfiguration(1, {"a.example": [route]})
        >>> both.route_of("a.example", "/x/1").name
        'r'
        >>> both.route_of("a.example", "/y/1") is None
        True
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclass(slots=True)
class RoutedServer:
    """A backend server, decoded from its entry in the store.

    Attributes
    ----------
    incarnation : ServerIncarnation
        Id and incarnation of the server. The address does not identify it, since
        another server may reuse it.
    service, zone : str
        Service that it runs, and its availability zone.
    address : Address
        Address that it listens on.
    slots : int
        Requests that it runs concurrently; 0 if unknown.
    is_draining : bool
        Whether it accepts no new requests.
    is_reclaimable : bool
        Whether the cloud may reclaim it.
    shutdown_after_s : float or None
        Time from the writing of the entry to the end of the server; None if unknown.
    software_version : str
        Version of the server's software; versions have no order. Empty if unknown.
    """

    incarnation: ServerIncarnation
    service: str
    zone: str
    address: Address
    slots: int = 0
    is_draining: bool = False
    is_reclaimable: bool = False
    shutdown_after_s: float | None = None
    software_version: str = ""

    @property
    def id(self) -> str:
        """Id of the server, which a later incarnation may share."""
        return self.incarnation.id

    @property
    def born(self) -> int | None:
        """Start of this incarnation, in milliseconds since the epoch, if known."""
        return self.incarnation.born_ms


@dataclass(slots=True, frozen=True)
class PromptSegment:
    """A segment of a prompt that several requests may share.

    Attributes
    ----------
    id : str
        Equal for segments with the same text and the same text before them.
    tokens : int
        Length of the segment.
    """

    id: str
    tokens: int


@dataclass(slots=True)
class ModelInput:
    """Size of a model request.

    Attributes
    ----------
    prompt_tokens, max_output_tokens : int
        Size of the prompt, and limit on the size of the output.
    segments : tuple of PromptSegment
        Segments of the prompt in order; the last one is specific to the request or its
        session.
    """

    prompt_tokens: int = 0
    max_output_tokens: int = 0
    segments: tuple[PromptSegment, ...] = ()


@dataclass(slots=True)
class GatewayRequest:
    """A request of a caller, with its whole body.

    Attributes
    ----------
    id : str
        The caller's id of this attempt; empty if it sent none.
    method, target : bytes
        Method and target as received.
    host, path : str
        Host without port, and path without query string; they select the route.
    headers : list of tuple of (bytes, bytes)
        Headers that are forwarded to the backend server.
    body : bytes
        Body as received.
    key : str or None
        The API key, if there is one.
    caller_timeout_s : float or None
        How long the caller waits after ``arrived_s``, if it said so.
    arrived_s : float
        Trio time when its headers were read.
    size : ModelInput or None
        Tokens of a model request; None for other requests.
    last_event_id : bytes or None
        Id of the last event received; the stream resumes after it.
    resumes : str or None
        Id of the caller's attempt that brought the first event of the stream which this
        request resumes.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    key: str | None
    caller_timeout_s: float | None
    arrived_s: float
    size: ModelInput | None = None
    last_event_id: bytes | None = None
    resumes: str | None = None

    def shared_segments(self) -> list[str]:
        """Return the ids of the prompt segments that other requests may share."""
        if self.size is None:
            return []
        return [segment.id for segment in self.size.segments[:-1]]
