"""Which backend server a request goes to.

Load pattern: prompts of some thousand tokens come in clumps, a server reads one prompt
after the other between the tokens of the others, and most of a prompt's beginning was
read before by some server. What delays a first event is the unread tokens ahead; so the
server with the least of them, its own part included, is chosen, and not the one with
the fewest requests.

A server reads a long prompt in parts, one with each step of the answers that it runs,
and their events come as much later. Answers whose events pause too long are late, so
long prompts have servers of their own, by their part of the reading, chosen alike by
all gateways; what they cannot take goes where few answers run.

Where many gateways know the servers by the same sums, some hundred milliseconds old,
all of them would choose the same server until the next sum. There each request compares
only a few servers, drawn for it.
"""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import xxhash

from rosemaryknot.process.gateway_servers import MODEL_SILENT_S, PLAIN_SILENT_S
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.values.gateway import ModelInput
from rosemaryknot.values.incarnation import ServerIncarnation

__all__ = [
    "Candidate",
    "Placement",
    "PlacementInput",
    "least_costly",
    "placement_policy",
    "usable",
]

# What a running request adds to a first event's wait, in tokens: each step of the
# engine lasts longer by its share.
RUNNING_TOKENS = 60
# How much a token that need not be read again counts against one that waits: reading
# it again takes the same time, from this request and from those behind it.
KEPT_WEIGHT = 2.0
# Share of the wanted pause within which a prompt can be read beside running answers
# and delays none of their events too long.
EASY_SHARE = 0.3
# Share of the wanted pause from which a prompt counts as long.
LONG_SHARE = 0.6
# Servers for long prompts, against their part of the reading: on fewer ones, long
# prompts make each other's answers pause.
LONG_ROOM = 2.0
# With fewer servers, none are set apart for long prompts.
LEAST_SERVERS = 3
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
DRAWN = 2
# Besides them, of the servers for prompts of the other kind.
OTHERS_DRAWN = 1


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
    pause_tokens : float
        What a server reads within the longest pause between events with which the
        answers that it runs are in time.
    long_share : float
        Part of the reading that long prompts bring.
    """

    zone: str
    size: ModelInput | None
    candidates: list[Candidate]
    rng: random.Random
    pause_tokens: float = math.inf
    long_share: float = 0.0

    @property
    def unread_tokens(self) -> int:
        """What the server that keeps most of the prompt would have to read."""
        unread = [self.size.prompt_tokens - c.kept_tokens for c in self.candidates]
        return max(0, min(unread, default=0))

    @property
    def is_long(self) -> bool:
        """Whether reading the prompt may make other answers pause too long."""
        return self.unread_tokens > LONG_SHARE * self.pause_tokens


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
    return least_costly(given, given.candidates, servers_of_kind(given))


@placement_policy("unread_tokens_of_drawn")
def least_unread_tokens_of_drawn(given: PlacementInput) -> Candidate | None:
    """Choose the server with the least unread tokens among a few drawn ones."""
    own_servers = servers_of_kind(given)
    own = [c for c in given.candidates if c.state in own_servers]
    others = [c for c in given.candidates if c.state not in own_servers]
    few = draw(own, DRAWN, given.rng) + draw(others, OTHERS_DRAWN, given.rng)
    return least_costly(given, few, own_servers)


def least_costly(
    given: PlacementInput, candidates: list[Candidate], own_servers: set[ServerState]
) -> Candidate | None:
    """Return the candidate where the request, and the others there, wait least."""

    def cost(candidate: Candidate) -> tuple[float, float]:
        own = given.size.prompt_tokens - KEPT_WEIGHT * candidate.kept_tokens
        is_near = candidate.state.entry.zone == given.zone
        far = 0 if is_near else OTHER_ZONE_TOKENS
        running = candidate.requests * (
            RUNNING_TOKENS + paused_tokens(given, candidate)
        )
        other = 0.0
        if candidate.state not in own_servers:
            other = EASY_SHARE * given.pause_tokens
        return candidate.tokens + own + running + far + other, given.rng.random()

    return min(candidates, key=cost, default=None)


def servers_of_kind(given: PlacementInput) -> set[ServerState]:
    """Return the servers for long prompts if this is one, otherwise the others.

    All gateways order the servers alike, by a hash, so that they mostly agree.
    """
    states = [candidate.state for candidate in given.candidates]
    if math.isinf(given.pause_tokens) or len(states) < LEAST_SERVERS:
        return set(states)
    states.sort(key=lambda state: xxhash.xxh64_intdigest(state.told_as.encode()))
    count = round(LONG_ROOM * given.long_share * len(states))
    count = max(1, min((len(states) + 1) // 2, count))
    return set(states[:count] if given.is_long else states[count:])


def paused_tokens(given: PlacementInput, candidate: Candidate) -> float:
    """Return what it counts for each running answer that a prompt is read beside it.

    One that pauses too long counts like one that has waited as long.
    """
    if math.isinf(given.pause_tokens):
        return 0.0
    unread = given.size.prompt_tokens - candidate.kept_tokens
    part = (unread / given.pause_tokens - EASY_SHARE) / (1 - EASY_SHARE)
    return given.pause_tokens * min(max(part, 0.0), 1.0)


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
    few = draw(given.candidates, DRAWN, given.rng)
    return least_busy(replace(given, candidates=few))


def draw(
    candidates: list[Candidate], count: int, rng: random.Random
) -> list[Candidate]:
    """Return a few of the servers, all where there are no more."""
    return rng.sample(candidates, min(count, len(candidates)))


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
