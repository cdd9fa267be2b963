"""Handlers of the control messages that an entry receives from its agent."""

from collections.abc import Callable
from dataclasses import asdict

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.decisions import DECISIONS, DecisionLog
from rosemaryknot.process.logs import logger
from rosemaryknot.values.control import (
    DecisionsFetch,
    DecisionsFound,
    DrainAccepted,
    DrainRequest,
)

__all__ = ["register_control_handlers"]

log = logger("drain")


def register_control_handlers(
    handlers: Handlers,
    stop: trio.Event,
    memory: DecisionLog = DECISIONS,
    set_stop_deadline: Callable[[float], None] = lambda deadline_unix_s: None,
) -> None:
    """Register handlers for decision queries and graceful shutdown.

    Parameters
    ----------
    handlers : Handlers
        Message handlers of the process.
    stop : trio.Event
        Set to start the graceful shutdown.
    memory : DecisionLog
        Log of decisions to query.
    set_stop_deadline : callable
        Called with the Unix time at which the instance is terminated, before the
        graceful shutdown starts.
    """

    @handlers.on(DecisionsFetch)
    async def find(query: DecisionsFetch, link: MessageLink) -> DecisionsFound:
        decisions = memory.of(query.request)
        return DecisionsFound([asdict(decision) for decision in decisions])

    @handlers.on(DrainRequest)
    async def drain(request: DrainRequest, link: MessageLink) -> DrainAccepted:
        log.info("graceful shutdown requested", operator=request.operator)
        set_stop_deadline(request.deadline_unix_s)
        stop.set()
        return DrainAccepted()
