"""What a gateway knows: routes, services, customers, backend servers, requests.

Everything here is already decoded; durations are in seconds and limits in the units
that their fields name.
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
    "Repeat",
    "RoutedServer",
    "ScalingLimits",
]

Headers = list[tuple[bytes, bytes]]


class Repeat(StrEnum):
    """What may be done to a request more than once."""

    ANY = "any"
    ONCE = "once"
    STREAM = "stream"


@dataclass(slots=True)
class GatewayRoute:
    """Where requests of a host and path prefix go.

    Attributes
    ----------
    name, host, path_prefix : str
        Name, and what selects the route.
    repeat : str
        A `Repeat` value.
    timeout_s : float
        Longest that a request is kept waiting.
    target_s : float
        Time to the answer, or to a stream's first event, that is wanted.
    pause_s : float
        Longest pause between a stream's events with which it is in time.
    priority : int
        Rank; 0 is the most urgent.
    backends : list of tuple of (str, float)
        Services and their weights.
    max_attempts : int
        Servers to which one request may be sent.
    is_public : bool
        Whether no key is needed.
    is_resumable : bool
        Whether a stream may go on at another server.
    is_model : bool
        Whether its requests carry the parts of their prompts.
    """

    name: str
    host: str
    path_prefix: str
    repeat: str
    timeout_s: float
    target_s: float
    priority: int
    backends: list[tuple[str, float]]
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    is_model: bool = False
    pause_s: float = math.inf

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.repeat == Repeat.ANY or (
            self.repeat == Repeat.STREAM and self.is_resumable
        )


@dataclass(slots=True)
class EngineLimits:
    """What a model server can hold.

    Attributes
    ----------
    slots : int
        Requests that run at once.
    kv_tokens : int
        Tokens that fit its memory.
    """

    slots: int
    kv_tokens: int


@dataclass(slots=True)
class ScalingLimits:
    """Within which the number of a service's servers may be set.

    Attributes
    ----------
    min_servers, max_servers : int
        For each availability zone, of both kinds together.
    boot_s : float
        From the order to the first request.
    reclaimable_price : float
        Price of a reclaimable server against another one's; 0 where there are none.
    zone_prices : dict of str to float
        Price of a server for a second, by availability zone.
    """

    min_servers: int
    max_servers: int
    boot_s: float
    reclaimable_price: float
    zone_prices: dict[str, float]


@dataclass(slots=True)
class GatewayService:
    """A service behind routes.

    Attributes
    ----------
    name : str
        Its name.
    max_connections : int
        Connections that each of its servers accepts from all callers together.
    engine : EngineLimits or None
        Where its servers are model servers.
    scaling : ScalingLimits or None
        Where the number of its servers is ours to set.
    """

    name: str
    max_connections: int = 0
    engine: EngineLimits | None = None
    scaling: ScalingLimits | None = None


@dataclass(slots=True)
class CustomerLimit:
    """A customer and what it may use, over all instances together.

    Attributes
    ----------
    name : str
        Its name.
    priority : int or None
        Goes before that of the route.
    rate : float
        Units per second; 0 where there is no limit.
    burst : float
        Units besides.
    counts_tokens : bool
        Whether the unit is a token rather than a request.
    plain_tokens : int
        What a request that names no tokens counts for.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_tokens: int = 1


@dataclass(slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Sizes.
    header_timeout_s : float
        From the first byte of a request to the end of its headers.
    idle_timeout_s : float
        How long a kept connection may stay without a request.
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
        Only rises.
    routes_by_host : dict of str to list of GatewayRoute
        The longest path prefix first.
    services : dict of str to GatewayService
        By name.
    customers : dict of str to CustomerLimit
        By name; empty where no keys are asked for.
    customer_by_key : dict of str to str
        Names by key.
    limits : CallerLimits
        Of callers' connections.
    last_rank_by_service : dict of str to int
        The least urgent rank among the routes to a service.
    pause_s_by_service : dict of str to float
        The shortest pause that the routes to a service allow.
    """

    version: int
    routes_by_host: dict[str, list[GatewayRoute]] = field(default_factory=dict)
    services: dict[str, GatewayService] = field(default_factory=dict)
    customers: dict[str, CustomerLimit] = field(default_factory=dict)
    customer_by_key: dict[str, str] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    last_rank_by_service: dict[str, int] = field(init=False, default_factory=dict)
    pause_s_by_service: dict[str, float] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        """Find what the routes to each service have in common."""
        ranks = self.last_rank_by_service
        pauses = self.pause_s_by_service
        for routes in self.routes_by_host.values():
            for route in routes:
                for service, _ in route.backends:
                    ranks[service] = max(ranks.get(service, 0), route.priority)
                    pauses[service] = min(pauses.get(service, math.inf), route.pause_s)

    def route_of(self, host: str, path: str) -> GatewayRoute | None:
        """Return the route with the longest prefix of the path, or None.

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
    """A backend server as its entry in the store tells.

    Attributes
    ----------
    incarnation : ServerIncarnation
        Which life of which server; an address may be used again by another.
    service, zone : str
        What it serves, and where.
    address : Address
        Where it listens.
    slots : int
        Requests that it works on at once; 0 where not told.
    is_leaving : bool
        Whether it takes no new work.
    is_reclaimable : bool
        Whether the cloud may take it back.
    leaves_s : float or None
        How long after the entry was written it ends, where known.
    """

    incarnation: ServerIncarnation
    service: str
    zone: str
    address: Address
    slots: int = 0
    is_leaving: bool = False
    is_reclaimable: bool = False
    leaves_s: float | None = None

    @property
    def id(self) -> str:
        """Its id, which a later life may have as well."""
        return self.incarnation.id

    @property
    def born(self) -> int | None:
        """When this life started, in milliseconds of the epoch, where it was told."""
        return self.incarnation.born_ms


@dataclass(slots=True, frozen=True)
class PromptSegment:
    """A part of a prompt that requests may share.

    Attributes
    ----------
    id : str
        Equal for equal text in front of it and in it.
    tokens : int
        Its length.
    """

    id: str
    tokens: int


@dataclass(slots=True)
class ModelInput:
    """Size of a model request.

    Attributes
    ----------
    prompt_tokens, max_output_tokens : int
        Sizes.
    segments : tuple of PromptSegment
        The prompt in order; the last part is the request's or its session's own.
    """

    prompt_tokens: int = 0
    max_output_tokens: int = 0
    segments: tuple[PromptSegment, ...] = ()


@dataclass(slots=True)
class GatewayRequest:
    """A request of a caller, read whole.

    Attributes
    ----------
    id : str
        The caller's id of this attempt; empty where it gave none.
    method, target : bytes
        As they came.
    host, path : str
        What selects the route.
    headers : list of tuple of (bytes, bytes)
        Those that go on to the backend server.
    body : bytes
        As it came.
    key : str or None
        The API key.
    patience_s : float or None
        How long the caller waits, from ``arrived_s``.
    arrived_s : float
        Trio time at which its headers were read.
    size : ModelInput or None
        Tokens of a model request.
    last_event_id : bytes or None
        Where a stream is to go on.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    key: str | None
    patience_s: float | None
    arrived_s: float
    size: ModelInput | None = None
    last_event_id: bytes | None = None
