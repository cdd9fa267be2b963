"""Servers that may not get a request now, and until when."""

import math

import trio

from rosemaryknot.process.server_state import ServerState
from rosemaryknot.request.gateway_choice import servers_of
from rosemaryknot.request.gateway_context import (
    MIN_RETRY_AFTER_S,
    GatewayComponents,
    RequestContext,
)

__all__ = [
    "are_all_paused",
    "explain_absence",
    "may_wait",
    "paused_servers",
    "replacement_delay_s",
]


def paused_servers(
    components: GatewayComponents, context: RequestContext
) -> list[ServerState]:
    """Return the servers that only a pause or its slow start bars from a request."""
    now_s = trio.current_time()
    return [
        state
        for state in servers_of(components, context)
        if state.accepts_requests(now_s)
        and state.incarnation not in context.tried
        and not state.pause.accepts(now_s)
    ]


def may_wait(paused: list[ServerState], now_s: float, max_wait_s: float) -> bool:
    """Return whether a request may wait for the end of a pause.

    Parameters
    ----------
    paused : list of ServerState
        Servers that are paused, or in the slow start after it.
    now_s, max_wait_s : float
        Current time, and until when the request may wait, in trio time.
    """
    ends_s = min((state.pause.until_s for state in paused), default=math.inf)
    return max(ends_s, now_s) < max_wait_s


def are_all_paused(components: GatewayComponents, context: RequestContext) -> bool:
    """Return whether each server that a request may go to has asked for a pause."""
    now_s = trio.current_time()
    states = servers_of(components, context)
    accepting = [state for state in states if state.accepts_requests(now_s)]
    return bool(accepting) and not any(s.pause.accepts(now_s) for s in accepting)


def explain_absence(
    components: GatewayComponents, context: RequestContext
) -> tuple[str, float]:
    """Return why no server can take a request, and when to retry, in seconds."""
    now_s = trio.current_time()
    if are_all_paused(components, context):
        states = servers_of(components, context)
        ends = [s.pause.until_s for s in states if s.accepts_requests(now_s)]
        delay_s = max(MIN_RETRY_AFTER_S, min(ends) - now_s)
        return "all servers asked for a pause", delay_s
    states = components.servers.of_service(context.service.name)
    if states and all(state.has_announced_drain for state in states):
        scaling = context.service.scaling
        boot_s = 0.0 if scaling is None else scaling.boot_s
        delay_s = replacement_delay_s(states, boot_s, now_s)
        return "all servers drain", max(MIN_RETRY_AFTER_S, delay_s)
    return "no server can take the request", MIN_RETRY_AFTER_S


def replacement_delay_s(
    states: list[ServerState], boot_s: float, now_s: float
) -> float:
    """Return when the first replacement of draining servers may serve, in seconds.

    It is ordered when the first of them is known to drain.
    """
    drained_s = min(state.drained_s for state in states)
    return drained_s + boot_s - now_s
