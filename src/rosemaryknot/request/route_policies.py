"""The route policies: ours, and the baselines that it is measured against."""

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
DRAWS = 2
FEW_CANDIDATES = 8
RECLAIM_MARGIN_S = 1.0
PRICE_WEIGHT_S = 0.02
NEAR_TIE_SHARE = 0.05
NEAR_TIE_S = 0.002


def lowest(
    candidates: list[Candidate], score: Callable[[Candidate], float], reason: str
) -> RouteChoice:
    """Return the candidate with the lowest score."""
    scores = {c.server.instance: score(c) for c in candidates}
    best = min(candidates, key=lambda c: scores[c.server.instance])
    return RouteChoice(best, reason, scores)


@route_policy("round_robin")
def round_robin(given: RouteInput) -> RouteChoice:
    """Take the servers in turn; a baseline."""
    ordered = sorted(given.candidates, key=lambda c: c.server.instance)
    return RouteChoice(ordered[given.turn % len(ordered)], "next in turn")


@route_policy("least_loaded")
def least_loaded(given: RouteInput) -> RouteChoice:
    """Take the server with the fewest requests; a baseline."""
    return lowest(given.candidates, lambda c: c.requests, "fewest requests")


@route_policy("prefix_only")
def prefix_only(given: RouteInput) -> RouteChoice:
    """Take the server with the longest cached prefix; a baseline."""
    return lowest(given.candidates, lambda c: -c.cached_tokens, "longest cached prefix")


def estimated_time_s(request: RequestFacts, candidate: Candidate) -> float:
    """Return the time to the first token at a candidate, with what else it costs.

    Parameters
    ----------
    request : RequestFacts
        The request.
    candidate : Candidate
        The server.

    Returns
    -------
    time_s : float
        Seconds. A higher price, and a server that will be taken away before the
        answer is done, count as seconds too.
    """
    step_s = candidate.step_time_ms / 1000
    to_prefill = max(0.0, request.prompt_tokens - candidate.cached_tokens)
    steps = (candidate.prefill_tokens + to_prefill) / PREFILL_TOKENS_PER_STEP
    time_s = candidate.distance_s + (steps + 1) * step_s
    time_s += queue_time_s(request, candidate)
    time_s += PRICE_WEIGHT_S * candidate.server.price_per_hour
    return time_s + moving_time_s(request, candidate, time_s)


def queue_time_s(request: RequestFacts, candidate: Candidate) -> float:
    """Return the time until a slot is free.

    A slot is freed each time one of the running answers ends; those are taken to
    be as long as this one and half done.
    """
    ahead = candidate.requests + 1 - candidate.slots
    if ahead <= 0:
        return 0.0
    answer_s = max(1, request.remaining_tokens) * candidate.step_time_ms / 1000
    return answer_s / 2 * ahead / candidate.slots


def moving_time_s(
    request: RequestFacts, candidate: Candidate, first_token_s: float
) -> float:
    """Return what it costs when the server goes before the answer is done."""
    answer_s = request.remaining_tokens * candidate.step_time_ms / 1000
    if first_token_s + answer_s + RECLAIM_MARGIN_S <= candidate.time_left_s:
        return 0.0
    again = request.prompt_tokens + request.remaining_tokens / 2
    return again / PREFILL_TOKENS_PER_STEP * candidate.step_time_ms / 1000


@route_policy("estimated_time")
def estimated_time(given: RouteInput) -> RouteChoice:
    """Take the shortest estimated time among the cache's holder and two draws.

    All entry instances read the same late reports, so all of them would send to the
    same minimum until its report shows it, and then to the next one. Looking at two
    servers drawn at random, and at the one that holds the prefix, spreads them while
    it keeps almost all of the gain; a near tie is drawn too.
    """
    draw = random.Random(given.seed)
    looked_at = sample(given, draw)
    scores = {c.server.instance: estimated_time_s(given.request, c) for c in looked_at}
    best_s = min(scores.values())
    bound_s = best_s * (1 + NEAR_TIE_SHARE) + NEAR_TIE_S
    tied = [c for c in looked_at if scores[c.server.instance] <= bound_s]
    chosen = draw.choice(tied)
    reason = "shortest estimated time" if len(tied) == 1 else "drawn from a near tie"
    if chosen.cached_tokens > 0:
        reason += ", prefix cached"
    return RouteChoice(chosen, reason, scores)


def sample(given: RouteInput, draw: random.Random) -> list[Candidate]:
    """Return the candidates that are looked at."""
    candidates = sorted(given.candidates, key=lambda c: c.server.instance)
    if len(candidates) <= FEW_CANDIDATES:
        return candidates
    holder = max(candidates, key=lambda c: c.cached_tokens)
    if holder.cached_tokens <= 0:
        return draw.sample(candidates, DRAWS)
    rest = [c for c in candidates if c is not holder]
    return [holder, *draw.sample(rest, DRAWS)]
