"""Inputs for placement and admission, collected from the server table."""

from collections.abc import Collection
from dataclasses import replace

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.request.gateway_admission import (
    ADMISSIONS,
    AdmissionInput,
    admission_retry_after_s,
)
from rosemaryknot.request.gateway_context import (
    UNAVAILABLE,
    GatewayComponents,
    RequestContext,
    refusal,
)
from rosemaryknot.request.gateway_placement import (
    POLICIES,
    Candidate,
    PlacementInput,
    accepting_servers,
    eligible_servers,
)
from rosemaryknot.request.limit_guard import LimitsReached, SelectionInput
from rosemaryknot.request.permit_client import PermitNeed
from rosemaryknot.values.gateway_responses import Refusal

__all__ = [
    "choose_server",
    "refuse_overload",
    "select_server",
    "servers_of",
    "usable_servers",
]

BAD_GATEWAY = 502
# Share of the remaining time for which a request waits for a limited server; the rest
# is for its own run.
MAX_WAIT_SHARE = 0.3
# Share of the target latency for which it may wait and still meet the target.
MAX_TARGET_SHARE = 0.5

log = logger("gateway")


def usable_servers(
    components: GatewayComponents, context: RequestContext
) -> list[ServerState]:
    """Return the servers that are eligible for the next attempt of a request."""
    is_model = context.service.engine is not None
    states = servers_of(components, context)
    return eligible_servers(states, trio.current_time(), context.tried, is_model)


def servers_of(
    components: GatewayComponents, context: RequestContext
) -> list[ServerState]:
    """Return the servers of a request's service at which its stream may go on."""
    states = components.servers.of_service(context.service.name)
    if context.origin is None:
        return states
    return components.origins.matching(states, context.origin, context.beginning)


async def select_server(
    components: GatewayComponents, context: RequestContext
) -> Candidate | Refusal | None:
    """Select the backend server for a request under the limits that servers state.

    Returns
    -------
    selected : Candidate or Refusal or None
        The server, whose permit is set in the context if it is limited; a refusal if
        the servers are overloaded or their limits are reached; None if no server is
        eligible.
    """
    usable = usable_servers(components, context)
    inputs = placement_input(components, context, usable)
    record_prompt(components, context, inputs)
    context.permit = None
    if components.limits.has_limits:
        return await select_limited(components, context, inputs)
    return choose_or_refuse(components, context, inputs)


async def select_limited(
    components: GatewayComponents, context: RequestContext, inputs: PlacementInput
) -> Candidate | Refusal | None:
    """Select a server while some servers state limits; see `select_server`."""
    servers = [candidate.state.incarnation_key for candidate in inputs.candidates]

    def choose(allowed: Collection[str]) -> Candidate | Refusal | None:
        return choose_or_refuse(components, context, restricted(inputs, allowed))

    selected = await components.limits.select(
        SelectionInput(
            servers, choose, server_of, permit_need(context), context.service.name
        )
    )
    if isinstance(selected, LimitsReached):
        last_resort = choose_failing_server(components, context)
        return last_resort or limits_reached(components, context, selected)
    if selected is None:
        return None
    context.permit = selected.permit
    return selected.choice


def restricted(inputs: PlacementInput, allowed: Collection[str]) -> PlacementInput:
    """Return the input in which only some servers may be chosen."""
    names = set(allowed)
    candidates = [c for c in inputs.servers if c.state.incarnation_key in names]
    others = [c for c in inputs.servers if c.state.incarnation_key not in names]
    return replace(inputs, candidates=candidates, unavailable=others)


def choose_or_refuse(
    components: GatewayComponents, context: RequestContext, inputs: PlacementInput
) -> Candidate | Refusal | None:
    """Return the best of some servers, or a refusal if it is overloaded."""
    candidate = choose_server(components, inputs)
    if candidate is None:
        return None
    return refuse_overload(components, context, candidate) or candidate


def choose_failing_server(
    components: GatewayComponents, context: RequestContext
) -> Candidate | None:
    """Return a server that is not eligible because it failed, and has no limit."""
    limited = components.limits.records.limited
    states = accepting_servers(
        servers_of(components, context), trio.current_time(), context.tried
    )
    states = [state for state in states if state.incarnation_key not in limited]
    return choose_server(components, placement_input(components, context, states))


def server_of(choice: Candidate | Refusal) -> str | None:
    """Return the incarnation of a chosen server, None for a refusal."""
    if isinstance(choice, Refusal):
        return None
    return choice.state.incarnation_key


def permit_need(context: RequestContext) -> PermitNeed:
    """Return the properties of a request that decide on permits."""
    return PermitNeed(
        context.request.id,
        context.customer_name,
        context.priority,
        context.remaining_s() * MAX_WAIT_SHARE,
        context.route.allows_retry,
        context.route.target_s * MAX_TARGET_SHARE,
    )


def limits_reached(
    components: GatewayComponents, context: RequestContext, reached: LimitsReached
) -> Refusal:
    """Return the refusal of a request that no limited server takes in time."""
    reason = "the servers take no more requests per second"
    if context.may_have_run:
        return Refusal(BAD_GATEWAY, reason)
    return refusal(components.rng, UNAVAILABLE, reason, reached.retry_after_s)


def choose_server(
    components: GatewayComponents, inputs: PlacementInput
) -> Candidate | None:
    """Return the best of the candidates, or None without any."""
    policy = "least_busy" if inputs.size is None else "unread_tokens"
    if components.servers.uses_hub_loads:
        policy += "_of_drawn"
    return POLICIES[policy](inputs)


def placement_input(
    components: GatewayComponents, context: RequestContext, states: list[ServerState]
) -> PlacementInput:
    """Return the input of the placement policy for some servers."""
    is_model = context.service.engine is not None
    size = context.request.size if is_model else None
    candidates = []
    for state in states:
        requests, tokens = state.load()
        cached_tokens = 0
        if size is not None:
            cached_tokens = components.servers.cached.tokens(state, size)
        candidates.append(
            Candidate(state, requests, tokens, cached_tokens, state.failures)
        )
    inputs = PlacementInput(components.zone, size, candidates, components.rng)
    if size is not None:
        mix = components.servers.mixes[context.service.name]
        inputs.event_gap_tokens = context.min_event_gap_s * components.servers.rate
        inputs.long_share = mix.long_share
    return inputs


def record_prompt(
    components: GatewayComponents, context: RequestContext, inputs: PlacementInput
) -> None:
    """Record a prompt in the mix, at the first attempt of its request only."""
    if inputs.size is not None and not context.tried:
        mix = components.servers.mixes[context.service.name]
        mix.record(inputs.prefill_tokens, inputs.is_long)


def refuse_overload(
    components: GatewayComponents, context: RequestContext, candidate: Candidate
) -> Refusal | None:
    """Return a refusal if prefill work is queued too long at the chosen server.

    The check applies to model requests before their first attempt is sent. Nothing is
    refused before the prefill rate of the servers has been measured, and no stream that
    its caller resumes: it was admitted before, and few servers may go on with it.
    """
    size = context.request.size
    rate = components.servers.measured_rate()
    is_admitted = bool(context.tried) or context.origin is not None
    if is_admitted or size is None or rate is None:
        return None
    prefill_tokens = size.prompt_tokens - candidate.cached_tokens
    inputs = AdmissionInput(
        context.is_lowest_priority,
        candidate.tokens / rate,
        prefill_tokens / rate,
        context.route.target_s,
        context.remaining_s(),
    )
    reason = ADMISSIONS["by_rank"](inputs)
    if not reason:
        return None
    log.info(
        "servers overloaded",
        request=context.request.id,
        server=candidate.state.entry.id,
        server_born=candidate.state.entry.born,
        tokens_there=candidate.tokens,
        unread=prefill_tokens,
        rate=round(rate),
        ahead_s=round(inputs.queued_prefill_s, 3),
        own_s=round(inputs.own_prefill_s, 3),
        target_s=inputs.target_s,
        left_s=round(inputs.remaining_s, 3),
        rank=context.priority,
    )
    return refusal(components.rng, UNAVAILABLE, reason, admission_retry_after_s(inputs))
