"""Types of a route choice and the registry of route policies."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rosemaryknot.values.nodes import BackendServer

__all__ = [
    "DEFAULT_POLICY",
    "POLICIES",
    "Candidate",
    "RequestFacts",
    "RouteChoice",
    "RouteInput",
    "RoutePolicy",
    "choose_route",
    "route_policy",
    "scores_text",
]

DEFAULT_POLICY = "estimated_time"


@dataclass(slots=True)
class RequestFacts:
    """Properties of a request that a route policy may use.

    Attributes
    ----------
    request_id : str
        Id of the request, for logs.
    service : str
        Requested service.
    prompt_tokens : float
        Estimated tokens to prefill: the prompt and the emitted response tokens.
    remaining_tokens : int
        Maximum number of response tokens still to be generated.
    priority : int
        Engine priority; lower runs first.
    remaining_s : float
        Time until the deadline, in seconds.
    attempt : int
        Number of this attempt, from 1.
    """

    request_id: str
    service: str
    prompt_tokens: float
    remaining_tokens: int
    priority: int
    remaining_s: float
    attempt: int = 1


@dataclass(slots=True)
class Candidate:
    """A server that can serve the request, with its estimated load.

    Attributes
    ----------
    server : BackendServer
        The server.
    requests : float
        Current requests: the server's report plus the requests sent since then.
    slots : int
        Number of requests that run concurrently.
    step_time_ms : float
        Duration of one engine step, in milliseconds.
    prefill_tokens : float
        Tokens sent by this process that the server has yet to prefill.
    cached_tokens : float
        Estimated tokens of this request in the server's prefix cache.
    round_trip_s : float
        Network round-trip time, in seconds.
    remaining_s : float
        Time until the server is reclaimed, in seconds; infinite if not known.
    free_kv_tokens : float
        Free KV cache capacity, in tokens.
    """

    server: BackendServer
    requests: float = 0.0
    slots: int = 32
    step_time_ms: float = 4.0
    prefill_tokens: float = 0.0
    cached_tokens: float = 0.0
    round_trip_s: float = 0.0
    remaining_s: float = float("inf")
    free_kv_tokens: float = float("inf")


@dataclass(slots=True)
class RouteInput:
    """Input of a route policy.

    Attributes
    ----------
    request : RequestFacts
        The request.
    candidates : list of Candidate
        Servers to choose from; at least one.
    now_s : float
        Current trio time.
    seed : int
        Seed for random choices, derived from the request so that the same input
        gives the same choice.
    choice_count : int
        Number of choices that this process has made so far.
    """

    request: RequestFacts
    candidates: list[Candidate]
    now_s: float
    seed: int = 0
    choice_count: int = 0


@dataclass(slots=True)
class RouteChoice:
    """A chosen server with the reason and the scores.

    Attributes
    ----------
    candidate : Candidate
        The chosen server.
    reason : str
        Short reason, for logs.
    scores : dict of str to float
        Score of each candidate compared, by instance; the lowest wins.
    """

    candidate: Candidate
    reason: str
    scores: dict[str, float] = field(default_factory=dict)

    @property
    def server(self) -> BackendServer:
        """The chosen server."""
        return self.candidate.server


RoutePolicy = Callable[[RouteInput], RouteChoice]

POLICIES: dict[str, RoutePolicy] = {}


def route_policy(name: str) -> Callable[[RoutePolicy], RoutePolicy]:
    """Return a decorator that registers a route policy.

    Parameters
    ----------
    name : str
        Name of the policy, as in a service's ``route_policy`` setting.
    """

    def register(function: RoutePolicy) -> RoutePolicy:
        if name in POLICIES:
            raise ValueError(f"route policy {name!r} is already registered")
        POLICIES[name] = function
        return function

    return register


def choose_route(name: str, inputs: RouteInput) -> RouteChoice:
    """Choose a server by a policy; unknown names fall back to `DEFAULT_POLICY`."""
    return POLICIES.get(name, POLICIES[DEFAULT_POLICY])(inputs)


def scores_text(scores: dict[str, float]) -> str:
    """Format scores by instance for a log line.

    Examples
    --------
    >>> scores_text({"e1": 0.03151, "e2": 2.0})
    'e1=0.0315 e2=2.0000'
    """
    return " ".join(f"{name}={score:.4f}" for name, score in scores.items())
