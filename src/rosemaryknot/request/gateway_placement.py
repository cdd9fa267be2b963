"""Which backend server a request goes to.

Load pattern: prompts of some thousand tokens come in clumps, a server reads one prompt
after the other between the tokens of the others, and most of a prompt's beginning was
read before by some server. What delays a first event is the unread tokens ahead; so the
server with the least of them, its own part included, is chosen, and not the one with
the fewest requests.

Where many gateways know the servers by the same sums, some hundred milliseconds old,
all of them would choose the same server until the next sum. There each request compares
only a few servers, drawn for it.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from rosemaryknot.process.gateway_servers import MODEL_SILENT_S, PLAIN_SILENT_S
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.values.gateway import ModelInput
from rosemaryknot.values.incarnation import ServerIncarnation

__all__ = ["Candidate", "Placement", "PlacementInput", "placement_policy", "usable"]

# What a running request adds to a first event's wait, in tokens: each step of the
# engine lasts longer by its share.
RUNNING_TOKENS = 60
# How much a token that need not be read again counts against one that waits: reading
# it again takes the same time, from this request and from those behind it.
KEPT_WEIGHT = 2.0
# What going to another zone is taken for, in tokens: it costs bytes between zones,
# and half a millisecond each way.
OTHER_ZONE_TOKENS = 300
OTHER_ZONE_REQUESTS = 1.0
# A server that fails this share of its attempts is left out, while enough others
# remain.
FAILING_SHARE = 0.35
# Share of the servers that must remain; below it the failing ones are used as well,
# since one node's bad luck or broken link must not empty a service.
FLOOR_SHARE = 0.5
# Servers that a request compares where what the others have in flight is known late.
# 91 gateways on 32 engines, sums each 250 ms, ten seconds, mean of two seeds: share of
# worth earned at the peak 0.87 with all compared and 0.99 with two, while a quarter of
# the engines is away 0.75 and 0.96 (`make bench-peak`).
DRAWN = 2


@dataclass(slots=True)
class Candidate:
    """A server as the choice sees it.

    Attributes
    ----------
    state : ServerState
        The server.
    requests, tokens : int
        In flight there from all nodes, and unread prompt tokens.
    kept_tokens : int
        Of this request's prompt, read there before.
    failures : int
        Attempts that failed there in a row.
    """

    state: ServerState
    requests: int
    tokens: int
    kept_tokens: int = 0
    failures: int = 0


@dataclass(slots=True)
class PlacementInput:
    """What a choice is made from.

    Attributes
    ----------
    zone : str
        Of this node.
    size : ModelInput or None
        Tokens of a model request.
    candidates : list of Candidate
        Usable servers.
    rng : random.Random
        Breaks ties.
    """

    zone: str
    size: ModelInput | None
    candidates: list[Candidate]
    rng: random.Random


Placement = Callable[[PlacementInput], Candidate | None]
POLICIES: dict[str, Placement] = {}


def placement_policy(name: str) -> Callable[[Placement], Placement]:
    """Register a placement under a name."""

    def register(policy: Placement) -> Placement:
        POLICIES[name] = policy
        return policy

    return register


@placement_policy("unread_tokens")
def least_unread_tokens(given: PlacementInput) -> Candidate | None:
    """Choose the server with the least unread tokens in front of the first event."""

    def cost(candidate: Candidate) -> tuple[float, float]:
        own = given.size.prompt_tokens - KEPT_WEIGHT * candidate.kept_tokens
        is_near = candidate.state.entry.zone == given.zone
        far = 0 if is_near else OTHER_ZONE_TOKENS
        running = candidate.requests * RUNNING_TOKENS
        return candidate.tokens + own + running + far, given.rng.random()

    return min(given.candidates, key=cost, default=None)


@placement_policy("unread_tokens_of_drawn")
def least_unread_tokens_of_drawn(given: PlacementInput) -> Candidate | None:
    """Choose the server with the least unread tokens among a few drawn ones."""
    return least_unread_tokens(drawn(given))


@placement_policy("least_busy")
def least_busy(given: PlacementInput) -> Candidate | None:
    """Choose the server with the fewest requests for its slots."""

    def cost(candidate: Candidate) -> tuple[float, float]:
        is_near = candidate.state.entry.zone == given.zone
        far = 0 if is_near else OTHER_ZONE_REQUESTS
        slots = max(1, candidate.state.entry.slots)
        return (candidate.requests + far) / slots, given.rng.random()

    return min(given.candidates, key=cost, default=None)


@placement_policy("least_busy_of_drawn")
def least_busy_of_drawn(given: PlacementInput) -> Candidate | None:
    """Choose the server with the fewest requests among a few drawn ones."""
    return least_busy(drawn(given))


def drawn(given: PlacementInput) -> PlacementInput:
    """Return what a choice is made from, with a few of the servers."""
    candidates = given.candidates
    if len(candidates) > DRAWN:
        candidates = given.rng.sample(candidates, DRAWN)
    return PlacementInput(given.zone, given.size, candidates, given.rng)


def usable(
    states: Sequence[ServerState],
    now_s: float,
    tried: set[ServerIncarnation],
    is_model: bool,
) -> list[ServerState]:
    """Return the servers that may get a request, the sound ones where enough are.

    Examples
    --------
    >>> usable([], 0.0, set(), True)
    []
    """
    limit_s = MODEL_SILENT_S if is_model else PLAIN_SILENT_S
    staying = [s for s in states if s.takes_work(now_s)]
    if tried:
        staying = [s for s in staying if s.incarnation not in tried]
    present = [s for s in staying if now_s >= s.avoid_until_s]
    present = [s for s in present if not s.is_silent(now_s, limit_s)]
    # Missing entries may have lapsed with the store; others are safer.
    listed = [s for s in present if not s.is_missing]
    if listed:
        present = listed
    sound = [s for s in present if s.failure_share < FAILING_SHARE]
    if sound and len(sound) >= FLOOR_SHARE * len(present):
        return sound
    return present or staying
