"""Policies that choose the backend server of a request.

Load pattern: prompts of some thousand tokens arrive in bursts. A server prefills one
prompt after the other, between the decoding steps of running generations, and some
server usually has most of the prompt's prefix in its cache. The time to the first event
of the response stream is determined by the prefill tokens queued ahead of the request.
A model request therefore goes to the server with the fewest prefill tokens, including
its own uncached ones, not to the server with the fewest requests.

A server prefills a long prompt in chunks, one with each decoding step of the running
generations, which delays their events. A response whose gap between events is too long
counts as late. Long prompts are therefore assigned a separate group of servers, sized
by their share of the prefill work. All gateways use the same hash to form the groups.
Requests that exceed the capacity of their group go to servers with few running
generations.

Where load reports arrive as aggregates, many gateways use the same ones, some hundred
milliseconds old. All of these gateways would choose the same server until the next
report. Each request then compares only a small random sample of the servers.
"""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

import xxhash

from rosemaryknot.process.gateway_servers import (
    MODEL_SILENCE_TIMEOUT_S,
    PLAIN_SILENCE_TIMEOUT_S,
)
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.values.gateway import ModelInput
from rosemaryknot.values.incarnation import ServerIncarnation

__all__ = [
    "Candidate",
    "Placement",
    "PlacementInput",
    "accepting_servers",
    "eligible_servers",
    "lowest_cost",
    "placement_policy",
]

# Cost of a running request in prefill tokens: each one lengthens every step of the
# engine, and with it the time to the first event.
RUNNING_REQUEST_COST_TOKENS = 60
# Weight of a cached token relative to a queued one: recomputing it would delay this
# request and, by the same time, those queued behind it.
CACHED_TOKEN_WEIGHT = 2.0
# A prefill that takes at most this share of the target gap between events does not
# delay the events of running responses too long.
UNDELAYED_GAP_SHARE = 0.3
# Share of the target gap between events above which a prompt counts as long.
LONG_PROMPT_GAP_SHARE = 0.6
# Ratio of the share of servers for long prompts to their share of the prefill work.
# With fewer servers, long prompts delay the events of each other's responses.
LONG_PROMPT_HEADROOM = 2.0
# With fewer servers, no separate group is formed for long prompts.
MIN_SERVERS_FOR_SPLIT = 3
# Cost of a server in another zone, in prefill tokens and in requests: traffic between
# zones is charged and adds half a millisecond each way.
OTHER_ZONE_COST_TOKENS = 300
OTHER_ZONE_COST_REQUESTS = 1.0
# Servers with at least this share of failed attempts are excluded while enough others
# remain.
MAX_FAILURE_SHARE = 0.35
# Share of the servers that must remain after the exclusion. Below it the failing ones
# are used as well, so that a run of failures or a broken link at one node does not
# leave a service without servers.
MIN_REMAINING_SHARE = 0.5
# Number of servers that a request compares if the load reports of other nodes are
# delayed.
SAMPLE_SIZE = 2
# Number of servers that a request compares in addition, from the other group: the one
# for long prompts if its own prompt is not long, and vice versa.
OTHER_KIND_SAMPLE_SIZE = 1


@dataclass(slots=True)
class Candidate:
    """A server that a placement policy may choose, with its load.

    Attributes
    ----------
    state : ServerState
        The server.
    requests, tokens : int
        Requests in flight at the server from all nodes, and their prompt tokens that
        are not prefilled yet.
    cached_tokens : int
        Tokens of this request's prompt in the prefix cache of the server.
    failures : int
        Consecutive failed attempts at the server.
    """

    state: ServerState
    requests: int
    tokens: int
    cached_tokens: int = 0
    failures: int = 0


@dataclass(slots=True)
class PlacementInput:
    """Input of a placement policy.

    Attributes
    ----------
    zone : str
        Zone of this node.
    size : ModelInput or None
        Token counts of a model request, None for a plain request.
    candidates : list of Candidate
        Eligible servers.
    rng : random.Random
        Breaks ties and draws samples.
    event_gap_tokens : float
        Tokens that a server prefills within the longest gap between events with which
        its running responses do not count as late.
    long_share : float
        Share of the prefill work that is caused by long prompts.
    unavailable : list of Candidate
        Servers that may not be chosen now and count for the groups, so that a server
        without a permit for a moment does not move the others to another group.
    """

    zone: str
    size: ModelInput | None
    candidates: list[Candidate]
    rng: random.Random
    event_gap_tokens: float = math.inf
    long_share: float = 0.0
    unavailable: list[Candidate] = field(default_factory=list)

    @property
    def servers(self) -> list[Candidate]:
        """All servers, also those that may not be chosen now."""
        return self.candidates + self.unavailable

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens to prefill at the server with the most cached tokens."""
        uncached = [self.size.prompt_tokens - c.cached_tokens for c in self.servers]
        return max(0, min(uncached, default=0))

    @property
    def is_long(self) -> bool:
        """Whether the prefill may delay the events of other responses too long."""
        return self.prefill_tokens > LONG_PROMPT_GAP_SHARE * self.event_gap_tokens


Placement = Callable[[PlacementInput], Candidate | None]
POLICIES: dict[str, Placement] = {}


def placement_policy(name: str) -> Callable[[Placement], Placement]:
    """Return a decorator that registers a placement policy under a name."""

    def register(policy: Placement) -> Placement:
        POLICIES[name] = policy
        return policy

    return register


@placement_policy("unread_tokens")
def least_prefill_tokens(inputs: PlacementInput) -> Candidate | None:
    """Choose the server with the fewest prefill tokens before the first event."""
    return lowest_cost(inputs, inputs.candidates, servers_for_prompt_length(inputs))


@placement_policy("unread_tokens_of_drawn")
def least_prefill_tokens_of_sample(inputs: PlacementInput) -> Candidate | None:
    """Choose the server with the fewest prefill tokens in a random sample."""
    group = servers_for_prompt_length(inputs)
    in_group = [c for c in inputs.candidates if c.state in group]
    others = [c for c in inputs.candidates if c.state not in group]
    sample = draw_sample(in_group, SAMPLE_SIZE, inputs.rng) + draw_sample(
        others, OTHER_KIND_SAMPLE_SIZE, inputs.rng
    )
    return lowest_cost(inputs, sample, group)


def lowest_cost(
    inputs: PlacementInput, candidates: list[Candidate], group: set[ServerState]
) -> Candidate | None:
    """Return the candidate that delays this request and the others the least."""

    def cost(candidate: Candidate) -> tuple[float, float]:
        own_cost = (
            inputs.size.prompt_tokens - CACHED_TOKEN_WEIGHT * candidate.cached_tokens
        )
        is_same_zone = candidate.state.entry.zone == inputs.zone
        zone_cost = 0 if is_same_zone else OTHER_ZONE_COST_TOKENS
        running_cost = candidate.requests * (
            RUNNING_REQUEST_COST_TOKENS + event_delay_tokens(inputs, candidate)
        )
        group_cost = 0.0
        if candidate.state not in group:
            group_cost = UNDELAYED_GAP_SHARE * inputs.event_gap_tokens
        return (
            candidate.tokens + own_cost + running_cost + zone_cost + group_cost,
            inputs.rng.random(),
        )

    return min(candidates, key=cost, default=None)


def servers_for_prompt_length(inputs: PlacementInput) -> set[ServerState]:
    """Return the group of servers for the length of this prompt, long or not.

    All gateways order the servers by the same hash, so their groups mostly agree.
    """
    states = [candidate.state for candidate in inputs.servers]
    if math.isinf(inputs.event_gap_tokens) or len(states) < MIN_SERVERS_FOR_SPLIT:
        return set(states)
    states.sort(
        key=lambda state: xxhash.xxh64_intdigest(state.incarnation_key.encode())
    )
    count = round(LONG_PROMPT_HEADROOM * inputs.long_share * len(states))
    count = max(1, min((len(states) + 1) // 2, count))
    return set(states[:count] if inputs.is_long else states[count:])


def event_delay_tokens(inputs: PlacementInput, candidate: Candidate) -> float:
    """Return the cost of delaying one running response by the prefill, in tokens.

    If the gap between events becomes too long, the cost is that of a request that waits
    for the same time.
    """
    if math.isinf(inputs.event_gap_tokens):
        return 0.0
    uncached = inputs.size.prompt_tokens - candidate.cached_tokens
    excess = (uncached / inputs.event_gap_tokens - UNDELAYED_GAP_SHARE) / (
        1 - UNDELAYED_GAP_SHARE
    )
    return inputs.event_gap_tokens * min(max(excess, 0.0), 1.0)


@placement_policy("least_busy")
def least_busy(inputs: PlacementInput) -> Candidate | None:
    """Choose the server with the fewest requests per slot."""

    def cost(candidate: Candidate) -> tuple[float, float]:
        is_same_zone = candidate.state.entry.zone == inputs.zone
        zone_cost = 0 if is_same_zone else OTHER_ZONE_COST_REQUESTS
        slots = max(1, candidate.state.entry.slots)
        return (candidate.requests + zone_cost) / slots, inputs.rng.random()

    return min(inputs.candidates, key=cost, default=None)


@placement_policy("least_busy_of_drawn")
def least_busy_of_sample(inputs: PlacementInput) -> Candidate | None:
    """Choose the server with the fewest requests per slot in a random sample."""
    sample = draw_sample(inputs.candidates, SAMPLE_SIZE, inputs.rng)
    return least_busy(replace(inputs, candidates=sample))


def draw_sample(
    candidates: list[Candidate], count: int, rng: random.Random
) -> list[Candidate]:
    """Return a random sample of the servers, or all if there are not more."""
    return rng.sample(candidates, min(count, len(candidates)))


def accepting_servers(
    states: Sequence[ServerState], now_s: float, tried: set[ServerIncarnation]
) -> list[ServerState]:
    """Return the servers that accept requests of this node and were not tried."""
    accepting = [
        s for s in states if s.accepts_requests(now_s) and s.pause.accepts(now_s)
    ]
    if tried:
        accepting = [s for s in accepting if s.incarnation not in tried]
    return accepting


def eligible_servers(
    states: Sequence[ServerState],
    now_s: float,
    tried: set[ServerIncarnation],
    is_model: bool,
) -> list[ServerState]:
    """Return the servers that may get a request.

    Servers with many failed attempts are excluded if enough others remain. Servers in
    backoff and silent servers are returned only if there are no others.

    Examples
    --------
    >>> eligible_servers([], 0.0, set(), True)
    []
    """
    silence_timeout_s = MODEL_SILENCE_TIMEOUT_S if is_model else PLAIN_SILENCE_TIMEOUT_S
    accepting = accepting_servers(states, now_s, tried)
    available = [s for s in accepting if now_s >= s.backoff_until_s]
    available = [s for s in available if not s.is_silent(now_s, silence_timeout_s)]
    # A missing entry may have expired because the store was unreachable. Servers that
    # are still listed are preferred.
    listed = [s for s in available if not s.is_missing]
    if listed:
        available = listed
    healthy = [s for s in available if s.failure_share < MAX_FAILURE_SHARE]
    if healthy and len(healthy) >= MIN_REMAINING_SHARE * len(available):
        return healthy
    return available or accepting
