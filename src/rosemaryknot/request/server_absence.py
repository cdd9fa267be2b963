"""Explanation of why no server can take a request, and until when."""

import trio

from rosemaryknot.process.server_state import ServerState
from rosemaryknot.request.gateway_context import (
    MIN_RETRY_AFTER_S,
    GatewayComponents,
    RequestContext,
)

__all__ = ["explain_absence", "replacement_delay_s"]


def explain_absence(
    components: GatewayComponents, context: RequestContext
) -> tuple[str, float]:
    """Return why no server can take a request, and when to retry, in seconds."""
    states = components.servers.of_service(context.service.name)
    if states and all(state.has_announced_drain for state in states):
        scaling = context.service.scaling
        boot_s = 0.0 if scaling is None else scaling.boot_s
        delay_s = replacement_delay_s(states, boot_s, trio.current_time())
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
