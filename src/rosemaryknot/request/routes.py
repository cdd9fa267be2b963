"""Which backend server gets a request: typed inputs, the choice, and its registry."""

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
    """What a route choice may know of a request.

    Attributes
    ----------
    request_id : str
        For the log.
    service : str
        Service that it is for.
    prompt_tokens : float
        Tokens to prefill, by estimate, with the answer's emitted prefix.
    remaining_tokens : int
        Most answer tokens that are still to come.
    priority : int
        Engine priority; lower runs first.
    time_left_s : float
        Time to its deadline, in seconds.
    attempt : int
        Number of this attempt, from 1.
    """

    request_id: str
    service: str
    prompt_tokens: float
    remaining_tokens: int
    priority: int
    time_left_s: float
    attempt: int = 1


@dataclass(slots=True)
class Candidate:
    """A server that may get the request, and what is known of it.

    Attributes
    ----------
    server : BackendServer
        The server.
    requests : float
        Requests there now, by its report corrected by what we sent since.
    slots : int
        Requests that run at once.
    step_time_ms : float
        Time of one step.
    prefill_tokens : float
        Prompt tokens of ours that wait there to be computed.
    cached_tokens : float
        Tokens of this request that are probably cached there.
    distance_s : float
        Time to reach the server and back, in seconds.
    time_left_s : float
        Time until it is taken away, in seconds; infinite where not known.
    free_kv_tokens : float
        Room for KV cache, in tokens.
    """

    server: BackendServer
    requests: float = 0.0
    slots: int = 32
    step_time_ms: float = 4.0
    prefill_tokens: float = 0.0
    cached_tokens: float = 0.0
    distance_s: float = 0.0
    time_left_s: float = float("inf")
    free_kv_tokens: float = float("inf")


@dataclass(slots=True)
class RouteInput:
    """Everything that a route policy may look at.

    Attributes
    ----------
    request : RequestFacts
        The request.
    candidates : list of Candidate
        At least one.
    now_s : float
        Now, in trio time.
    seed : int
        For random choices; a function of the request, so that the same input gives
        the same choice.
    turn : int
        Number of choices that this process made before.
    """

    request: RequestFacts
    candidates: list[Candidate]
    now_s: float
    seed: int = 0
    turn: int = 0


@dataclass(slots=True)
class RouteChoice:
    """The chosen server and why.

    Attributes
    ----------
    candidate : Candidate
        The chosen one.
    reason : str
        A few words.
    scores : dict of str to float
        Score of each candidate looked at, by instance; the lowest is the best.
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
    """Register a route policy under the name that the configuration gives.

    Parameters
    ----------
    name : str
        Value of a service's ``route_policy``.
    """

    def register(function: RoutePolicy) -> RoutePolicy:
        if name in POLICIES:
            raise ValueError(f"route policy {name!r} is taken")
        POLICIES[name] = function
        return function

    return register


def choose_route(name: str, given: RouteInput) -> RouteChoice:
    """Choose by a policy; an unknown name falls back to `DEFAULT_POLICY`."""
    return POLICIES.get(name, POLICIES[DEFAULT_POLICY])(given)


def scores_text(scores: dict[str, float]) -> str:
    """Return scores by instance for a log line.

    Examples
    --------
    >>> scores_text({"e1": 0.03151, "e2": 2.0})
    'e1=0.0315 e2=2.0000'
    """
    return " ".join(f"{name}={score:.4f}" for name, score in scores.items())
