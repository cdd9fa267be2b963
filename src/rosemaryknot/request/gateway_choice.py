"""What this node knows of the servers, put before the decisions on a request."""

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.request.gateway_admission import (
    ADMISSIONS,
    AdmissionInput,
    return_after_s,
)
from rosemaryknot.request.gateway_course import (
    UNAVAILABLE,
    Course,
    GatewayParts,
    refusal,
)
from rosemaryknot.request.gateway_placement import (
    POLICIES,
    Candidate,
    PlacementInput,
    usable,
)
from rosemaryknot.values.gateway_answers import Refusal

__all__ = ["choose_server", "refuse_overload", "usable_servers"]

log = logger("gateway")


def usable_servers(parts: GatewayParts, course: Course) -> list[ServerState]:
    """Return the servers that a request may still go to."""
    name = course.service.name
    states = [s for s in parts.servers.by_id.values() if s.entry.service == name]
    is_model = course.service.engine is not None
    return usable(states, trio.current_time(), course.tried, is_model)


def choose_server(parts: GatewayParts, course: Course) -> Candidate | None:
    """Choose a backend server for a request, None where there is none."""
    is_model = course.service.engine is not None
    size = course.request.size if is_model else None
    candidates = []
    for state in usable_servers(parts, course):
        requests, tokens = state.load()
        kept = 0
        if size is not None:
            kept = parts.servers.kept.tokens(state, size)
        candidates.append(Candidate(state, requests, tokens, kept, state.failures))
    policy = "least_busy" if size is None else "unread_tokens"
    if parts.servers.is_told_late:
        policy += "_of_drawn"
    given = PlacementInput(parts.zone, size, candidates, parts.rng)
    if size is not None:
        note_prompt(parts, course, given)
    return POLICIES[policy](given)


def note_prompt(parts: GatewayParts, course: Course, given: PlacementInput) -> None:
    """Tell a choice what long prompts are here, and count this one, once."""
    mix = parts.servers.mixes[course.service.name]
    given.pause_tokens = course.shortest_pause_s * parts.servers.rate
    given.long_share = mix.long_share
    if not course.tried:
        mix.note(given.unread_tokens, given.is_long)


def refuse_overload(
    parts: GatewayParts, course: Course, candidate: Candidate
) -> Refusal | None:
    """Refuse a model request whose server has too much to read, before it is sent.

    Nothing is refused before the rate at which servers read is known.
    """
    size = course.request.size
    rate = parts.servers.measured_rate()
    if course.tried or size is None or rate is None:
        return None
    unread = size.prompt_tokens - candidate.kept_tokens
    given = AdmissionInput(
        course.is_least_urgent,
        candidate.tokens / rate,
        unread / rate,
        course.route.target_s,
        course.left_s(),
    )
    reason = ADMISSIONS["by_rank"](given)
    if not reason:
        return None
    log.info(
        "servers overloaded",
        request=course.request.id,
        server=candidate.state.entry.id,
        server_born=candidate.state.entry.born,
        tokens_there=candidate.tokens,
        unread=unread,
        rate=round(rate),
        ahead_s=round(given.ahead_s, 3),
        own_s=round(given.own_s, 3),
        target_s=given.target_s,
        left_s=round(given.left_s, 3),
        rank=course.rank,
    )
    if course.customer is not None and course.units:
        parts.give_back_quota(course.customer, course.units)
    return refusal(parts.rng, UNAVAILABLE, reason, return_after_s(given))
