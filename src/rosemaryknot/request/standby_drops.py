"""Drops copies at standbys that were given up."""

from collections import deque

import trio

from rosemaryknot.process.agent_link import AgentLink
from rosemaryknot.request.standby_state import Copied, GivenUp
from rosemaryknot.values.messages import encode_message
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.standby import StandbyAck, StandbyBatch, StandbyUpdate

__all__ = ["BATCH_TIMEOUT_S", "StandbyDrops"]

BATCH_TIMEOUT_S = 1.0
MAX_GIVEN_UP = 4096
DROP_S = 2.0
HANDED_OVER = "running"


class StandbyDrops:
    """Keeps telling standbys that were given up to drop their copies.

    Parameters
    ----------
    node : Node
        This entry.
    link : AgentLink
        Link to the agent, which passes the message on.

    Attributes
    ----------
    given_up : deque of GivenUp
        Copies that may still be held; the oldest is forgotten beyond a bound.
    """

    def __init__(self, node: Node, link: AgentLink) -> None:
        self.node = node
        self.link = link
        self.given_up: deque[GivenUp] = deque(maxlen=MAX_GIVEN_UP)

    def add(self, standby: str, copied: Copied) -> None:
        """Note a copy that a standby may still hold."""
        self.given_up.append(GivenUp(standby, copied))

    async def run(self) -> None:
        """Let standbys drop their copies, until cancelled."""
        while True:
            await trio.sleep(DROP_S)
            by_standby: dict[str, list[GivenUp]] = {}
            for given_up in self.given_up:
                by_standby.setdefault(given_up.standby, []).append(given_up)
            for standby, of_standby in by_standby.items():
                if await self.drop(standby, of_standby):
                    left = [g for g in self.given_up if g not in of_standby]
                    self.given_up = deque(left, MAX_GIVEN_UP)

    async def drop(self, standby: str, of_standby: list[GivenUp]) -> bool:
        """Let one standby drop copies; tell whether nothing is left to do."""
        now_s = trio.current_time()
        updates = [
            StandbyUpdate(*g.copied.key, 0, outcome=HANDED_OVER)
            for g in of_standby
            if g.copied.standby != standby
            and now_s < g.copied.generation.request.deadline_s
        ]
        if not updates:
            return True
        payloads = [encode_message(update) for update in updates]
        batch = StandbyBatch(standby, self.node.name, self.node.incarnation, payloads)
        answer = await self.link.call(batch, BATCH_TIMEOUT_S)
        return isinstance(answer, StandbyAck) and answer.is_reached
