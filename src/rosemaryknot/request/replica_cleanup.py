"""Removal of replicas from standbys that stopped responding."""

from collections import deque

import trio

from rosemaryknot.process.agent_link import AgentLink
from rosemaryknot.request.replica_state import AbandonedReplica, ReplicatedGeneration
from rosemaryknot.values.messages import encode_message
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.standby import StandbyAck, StandbyBatch, StandbyUpdate

__all__ = ["BATCH_TIMEOUT_S", "ReplicaCleanup"]

BATCH_TIMEOUT_S = 1.0
MAX_ABANDONED = 4096
CLEANUP_INTERVAL_S = 2.0
HANDED_OVER_OUTCOME = "running"


class ReplicaCleanup:
    """Removal of replicas from standbys that stopped responding, with retries.

    Parameters
    ----------
    node : Node
        Node of this entry.
    link : AgentLink
        Link to the agent, which forwards the messages.

    Attributes
    ----------
    abandoned : deque of AbandonedReplica
        Replicas that standbys may still hold; bounded, the oldest are discarded.
    """

    def __init__(self, node: Node, link: AgentLink) -> None:
        self.node = node
        self.link = link
        self.abandoned: deque[AbandonedReplica] = deque(maxlen=MAX_ABANDONED)

    def add(self, standby: str, replica: ReplicatedGeneration) -> None:
        """Record a replica that a standby may still hold."""
        self.abandoned.append(AbandonedReplica(standby, replica))

    async def run(self) -> None:
        """Ask standbys to remove their replicas, until cancelled."""
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            by_standby: dict[str, list[AbandonedReplica]] = {}
            for abandoned in self.abandoned:
                by_standby.setdefault(abandoned.standby, []).append(abandoned)
            for standby, replicas in by_standby.items():
                if await self.drop_replicas(standby, replicas):
                    remaining = [r for r in self.abandoned if r not in replicas]
                    self.abandoned = deque(remaining, MAX_ABANDONED)

    async def drop_replicas(
        self, standby: str, replicas: list[AbandonedReplica]
    ) -> bool:
        """Ask one standby to remove replicas; return whether it is done."""
        now_s = trio.current_time()
        updates = [
            StandbyUpdate(*r.replica.key, 0, outcome=HANDED_OVER_OUTCOME)
            for r in replicas
            if r.replica.standby != standby
            and now_s < r.replica.generation.request.deadline_s
        ]
        if not updates:
            return True
        payloads = [encode_message(update) for update in updates]
        batch = StandbyBatch(standby, self.node.name, self.node.incarnation, payloads)
        response = await self.link.call(batch, BATCH_TIMEOUT_S)
        return isinstance(response, StandbyAck) and response.is_reached
