"""Route policies: estimated time, and baselines to compare it with."""

import random
from collections.abc import Callable

from rosemaryknot.request.routes import (
    Candidate,
    RequestFacts,
    RouteChoice,
    RouteInput,
    route_policy,
)

__all__ = [
    "estimated_time",
    "estimated_time_s",
    "least_loaded",
    "prefix_only",
    "round_robin",
]

PREFILL_TOKENS_PER_STEP = 64
SAMPLE_SIZE = 2
MAX_UNSAMPLED_CANDIDATES = 8
RECLAIM_MARGIN_S = 1.0
PRICE_WEIGHT_S = 0.02
NEAR_TIE_SHARE = 0.05
NEAR_TIE_S = 0.002


def lowest_score(
    candidates: list[Candidate], score: Callable[[Candidate], float], reason: str
) -> RouteChoice:
    """Choose the candidate with the lowest score."""
    scores = {c.server.instance: score(c) for c in candidates}
    best = min(candidates, key=lambda c: scores[c.server.instance])
    return RouteChoice(best, reason, scores)


@route_policy("round_robin")
def round_robin(inputs: RouteInput) -> RouteChoice:
    """Choose servers round-robin; a baseline."""
    ordered = sorted(inputs.candidates, key=lambda c: c.server.instance)
    return RouteChoice(
        ordered[inputs.choice_count % len(ordered)], "next in round-robin order"
    )


@route_policy("least_loaded")
def least_loaded(inputs: RouteInput) -> RouteChoice:
    """Choose the server with the fewest requests; a baseline."""
    return lowest_score(inputs.candidates, lambda c: c.requests, "fewest requests")


@route_policy("prefix_only")
def prefix_only(inputs: RouteInput) -> RouteChoice:
    """Choose the server with the longest cached prefix; a baseline."""
    return lowest_score(
        inputs.candidates, lambda c: -c.cached_tokens, "longest cached prefix"
    )


def estimated_time_s(request: RequestFacts, candidate: Candidate) -> float:
    """Return the cost of a candidate, in seconds.

    The cost is the estimated time to the first token, plus the price and the cost of
    an expected reclaim, both converted to seconds.

    Parameters
    ----------
    request : RequestFacts
        The request.
    candidate : Candidate
        The candidate server.

    Returns
    -------
    time_s : float
        Cost in seconds.
    """
    step_s = candidate.step_time_ms / 1000
    to_prefill = max(0.0, request.prompt_tokens - candidate.cached_tokens)
    steps = (candidate.prefill_tokens + to_prefill) / PREFILL_TOKENS_PER_STEP
    time_s = candidate.round_trip_s + (steps + 1) * step_s
    time_s += queue_time_s(request, candidate)
    time_s += PRICE_WEIGHT_S * candidate.server.price_per_hour
    return time_s + reclaim_cost_s(request, candidate, time_s)


def queue_time_s(request: RequestFacts, candidate: Candidate) -> float:
    """Return the estimated time until a slot is free, in seconds.

    A slot is freed whenever a running response ends. Running responses are assumed
    to be as long as this one and half complete.
    """
    ahead = candidate.requests + 1 - candidate.slots
    if ahead <= 0:
        return 0.0
    response_s = max(1, request.remaining_tokens) * candidate.step_time_ms / 1000
    return response_s / 2 * ahead / candidate.slots


def reclaim_cost_s(
    request: RequestFacts, candidate: Candidate, first_token_s: float
) -> float:
    """Return the cost of a reclaim before the response is complete, in seconds."""
    response_s = request.remaining_tokens * candidate.step_time_ms / 1000
    if first_token_s + response_s + RECLAIM_MARGIN_S <= candidate.remaining_s:
        return 0.0
    recomputed = request.prompt_tokens + request.remaining_tokens / 2
    return recomputed / PREFILL_TOKENS_PER_STEP * candidate.step_time_ms / 1000


@route_policy("estimated_time")
def estimated_time(inputs: RouteInput) -> RouteChoice:
    """Choose the lowest cost of two random servers and the one with the prefix.

    All entry instances read the same delayed load reports. If each of them chose the
    global minimum, all would send to one server until its next report, and then to
    the next minimum. Comparing only two random servers and the server with the
    longest cached prefix distributes the requests and keeps almost all of the gain.
    Near ties are broken at random for the same reason.
    """
    rng = random.Random(inputs.seed)
    sampled = sample(inputs, rng)
    scores = {c.server.instance: estimated_time_s(inputs.request, c) for c in sampled}
    best_s = min(scores.values())
    bound_s = best_s * (1 + NEAR_TIE_SHARE) + NEAR_TIE_S
    tied = [c for c in sampled if scores[c.server.instance] <= bound_s]
    chosen = rng.choice(tied)
    reason = (
        "shortest estimated time" if len(tied) == 1 else "random choice among near ties"
    )
    if chosen.cached_tokens > 0:
        reason += ", prefix cached"
    return RouteChoice(chosen, reason, scores)


def sample(inputs: RouteInput, rng: random.Random) -> list[Candidate]:
    """Return the candidates to compare."""
    candidates = sorted(inputs.candidates, key=lambda c: c.server.instance)
    if len(candidates) <= MAX_UNSAMPLED_CANDIDATES:
        return candidates
    best_cached = max(candidates, key=lambda c: c.cached_tokens)
    if best_cached.cached_tokens <= 0:
        return rng.sample(candidates, SAMPLE_SIZE)
    rest = [c for c in candidates if c is not best_cached]
    return [best_cached, *rng.sample(rest, SAMPLE_SIZE)]
