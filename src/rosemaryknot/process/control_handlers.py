"""What an entry does with its agent's questions and orders."""

from collections.abc import Callable
from dataclasses import asdict

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.decisions import DECISIONS, DecisionMemory
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
    memory: DecisionMemory = DECISIONS,
    note_deadline: Callable[[float], None] = lambda deadline_unix_s: None,
) -> None:
    """Let the agent ask for decisions and for a planned stop.

    Parameters
    ----------
    handlers : Handlers
        Handlers of the process's links.
    stop : trio.Event
        Set to begin the planned stop.
    memory : DecisionMemory
        Where the decisions are.
    note_deadline : callable
        Told when the node is taken away, before the planned stop begins.
    """

    @handlers.on(DecisionsFetch)
    async def find(asked: DecisionsFetch, link: MessageLink) -> DecisionsFound:
        decisions = memory.of(asked.request)
        return DecisionsFound([asdict(decision) for decision in decisions])

    @handlers.on(DrainRequest)
    async def drain(asked: DrainRequest, link: MessageLink) -> DrainAccepted:
        log.info("planned stop asked for", operator=asked.operator)
        note_deadline(asked.deadline_unix_s)
        stop.set()
        return DrainAccepted()
