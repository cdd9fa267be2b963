"""Replication of an entry's generations to standbys, and handover."""

import json

import trio

from rosemaryknot.process.agent_link import AgentLink
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import gauge
from rosemaryknot.request.generations import Generation
from rosemaryknot.request.relay import ModelRelay
from rosemaryknot.request.replica_cleanup import BATCH_TIMEOUT_S, ReplicaCleanup
from rosemaryknot.request.replica_state import (
    ReplicaKey,
    ReplicatedGeneration,
    StandbyState,
)
from rosemaryknot.values.messages import encode_message
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.outcomes import Answered, NotRun, Reason, Running
from rosemaryknot.values.requests import ModelRequest
from rosemaryknot.values.standby import (
    StandbyAccepted,
    StandbyAck,
    StandbyBatch,
    StandbyCopy,
    StandbyUpdate,
)

__all__ = ["StandbyReplicator"]

COPY_TIMEOUT_S = 1.7
HANDOVER_TIMEOUT_S = 3.0
BATCH_INTERVAL_S = 0.25
HEARTBEAT_S = 1.0
RETRY_DELAY_S = 1.0
MAX_FAILURES = 2
MAX_UPDATE_TOKENS = 512
MAX_BATCH_TOKENS = 8192
RETRIEVAL_RETRY_AFTER_S = 0.5

log = logger("standby")
copied_gauge = gauge("standby_copied", "Running model requests with a standby copy.")


class StandbyReplicator:
    """Replicator of long model requests to standbys, also used for handover.

    It starts model requests in place of the relay.

    Parameters
    ----------
    node : Node
        Node of this entry.
    relay : ModelRelay
        Runs generations.
    link : AgentLink
        Link to the agent, which chooses the standbys.
    holder : ConfigurationHolder
        Current configuration, with the minimum size of replicated requests.
    address : str
        Address at which this entry accepts callers.
    is_on : bool
        Whether replication is on; off only in tests.

    Attributes
    ----------
    replicas : dict of (str, str) to ReplicatedGeneration
        Running requests that have a replica or need one.
    """

    def __init__(
        self,
        node: Node,
        relay: ModelRelay,
        link: AgentLink,
        holder: ConfigurationHolder,
        address: str = "",
        is_on: bool = True,
    ) -> None:
        self.node = node
        self.relay = relay
        self.link = link
        self.holder = holder
        self.address = address
        self.is_on = is_on
        self.replicas: dict[ReplicaKey, ReplicatedGeneration] = {}
        self.standbys: dict[str, StandbyState] = {}
        self.cleanup = ReplicaCleanup(node, link)

    async def run(self) -> None:
        """Send batches until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.cleanup.run)
            while True:
                await trio.sleep(BATCH_INTERVAL_S)
                await self.send_batches()

    # Acceptance

    async def start(self, request: ModelRequest) -> Generation | NotRun:
        """Accept a request, replicate it if needed, and start it.

        Parameters
        ----------
        request : ModelRequest
            An admitted request.

        Returns
        -------
        generation : Generation or NotRun
            The running generation, or the reason for the refusal.
        """
        generation = self.relay.prepare(request)
        if isinstance(generation, NotRun):
            return generation
        is_started = False
        try:
            if self.needs_standby(request):
                # Replicate before the caller learns that the request is accepted:
                # accepted work must survive the failure of one process.
                await self.replicate(ReplicatedGeneration(generation))
            self.relay.begin(generation)
            is_started = True
        finally:
            if not is_started:
                refusal = NotRun(Reason.STOPPING, 1.0, "not started")
                self.relay.reject(generation, refusal)
        return generation

    def needs_standby(self, request: ModelRequest) -> bool:
        """Return whether a request is long enough or asynchronous."""
        view = self.holder.view
        service = None if view is None else view.services.get(request.service)
        if not self.is_on or service is None:
            return False
        return request.is_async or request.max_tokens >= service.standby_min_tokens

    async def replicate(self, replica: ReplicatedGeneration) -> None:
        """Replicate a generation to a standby, and keep the replica up to date."""
        generation = replica.generation
        replica.last_attempt_s = trio.current_time()
        copy = self.create_copy(generation, avoided=replica.avoided)
        response = await self.link.call(copy, COPY_TIMEOUT_S)
        replica.standby = response.node if isinstance(response, StandbyAccepted) else ""
        replica.sent = len(copy.tokens)
        self.replicas[replica.key] = replica
        if replica.standby:
            log.info(f"replicated to {replica.standby}", request=generation.request_id)
        else:
            log.warning("no standby holds a replica", request=generation.request_id)

    def create_copy(
        self, generation: Generation, preferred: str = "", avoided: str = ""
    ) -> StandbyCopy:
        """Return a message with the current state of a generation."""
        request = generation.request
        return StandbyCopy(
            request.request_id,
            request.customer,
            request.service,
            generation.lineage,
            json.dumps(request.body).encode(),
            request.max_tokens,
            request.priority,
            max(0.0, request.deadline_s - trio.current_time()),
            list(generation.tokens),
            self.server_of(generation),
            self.node.name,
            self.node.incarnation,
            self.address,
            preferred=preferred,
            avoided=avoided,
            software_version=generation.software_version,
        )

    def server_of(self, generation: Generation) -> str:
        """Return the instance that runs a generation, or an empty string."""
        attempt = self.relay.mover.running.get(generation.request_id)
        return "" if attempt is None else attempt.server.instance

    # Replication of text

    async def send_batches(self) -> None:
        """Send updates to each standby, and replicate requests without a standby."""
        copied_gauge.set(len(self.replicas))
        if not self.link.is_connected:
            return
        by_standby: dict[str, list[ReplicatedGeneration]] = {}
        async with trio.open_nursery() as nursery:
            for key, replica in list(self.replicas.items()):
                if self.relay.servers.marks.get(replica.standby) is not None:
                    replica.standby, replica.last_attempt_s = "", 0.0
                if replica.standby:
                    by_standby.setdefault(replica.standby, []).append(replica)
                elif replica.generation.outcome is not None:
                    del self.replicas[key]
                elif trio.current_time() - replica.last_attempt_s >= RETRY_DELAY_S:
                    nursery.start_soon(self.replicate, replica)
            for standby, replicas in by_standby.items():
                nursery.start_soon(self.send_batch, standby, replicas)

    async def send_batch(
        self, standby: str, replicas: list[ReplicatedGeneration]
    ) -> None:
        """Send one standby its updates, or a heartbeat if there are none."""
        state = self.standbys.setdefault(standby, StandbyState())
        updates = self.updates_of(replicas)
        is_due = trio.current_time() - state.last_response_s >= HEARTBEAT_S
        if not updates and not is_due:
            return
        payloads = [encode_message(update) for _, update in updates]
        batch = StandbyBatch(standby, self.node.name, self.node.incarnation, payloads)
        response = await self.link.call(batch, BATCH_TIMEOUT_S)
        if isinstance(response, StandbyAck) and response.is_reached:
            state.failures, state.last_response_s = 0, trio.current_time()
            self.apply_ack(updates, response)
        else:
            self.record_failure(standby, state, replicas)

    def updates_of(
        self, replicas: list[ReplicatedGeneration]
    ) -> list[tuple[ReplicatedGeneration, StandbyUpdate]]:
        """Return the updates of each generation, bounded in tokens."""
        updates = []
        remaining = MAX_BATCH_TOKENS
        for replica in replicas:
            generation = replica.generation
            stop = replica.sent + min(remaining, MAX_UPDATE_TOKENS)
            tokens = generation.tokens[replica.sent : stop]
            remaining -= len(tokens)
            update = StandbyUpdate(
                *replica.key,
                replica.sent,
                tokens,
                server=self.server_of(generation),
                software_version=generation.software_version,
            )
            if replica.sent + len(tokens) == len(generation.tokens):
                add_outcome(update, generation)
            if tokens or update.outcome:
                updates.append((replica, update))
        return updates

    def apply_ack(
        self, updates: list[tuple[ReplicatedGeneration, StandbyUpdate]], ack: StandbyAck
    ) -> None:
        """Record the tokens that a standby has, and the replicas that it lacks."""
        missing = {tuple(key) for key in ack.missing if isinstance(key, list)}
        for replica, update in updates:
            if replica.key in missing:
                replica.standby, replica.last_attempt_s = "", 0.0
                continue
            replica.sent += len(update.tokens)
            if update.outcome:
                self.replicas.pop(replica.key, None)

    def record_failure(
        self, standby: str, state: StandbyState, replicas: list[ReplicatedGeneration]
    ) -> None:
        """Abandon a standby that does not respond; replicate elsewhere."""
        state.failures += 1
        if state.failures < MAX_FAILURES or not self.link.is_connected:
            return
        log.warning(
            f"{standby} does not respond; replicating elsewhere", n=len(replicas)
        )
        del self.standbys[standby]
        for replica in replicas:
            replica.standby, replica.avoided, replica.last_attempt_s = "", standby, 0.0
            self.cleanup.add(standby, replica)

    # Handover

    async def hand_over_long(self, remaining_s: float) -> None:
        """Hand over the generations that may not end within a given time."""
        await self.hand_over(
            [
                g
                for g in self.relay.table.running()
                if self.time_to_end_s(g) > remaining_s
            ]
        )

    async def hand_over_all(self) -> None:
        """Hand over every generation that still runs."""
        await self.hand_over(self.relay.table.running())

    def time_to_end_s(self, generation: Generation) -> float:
        """Return the maximum remaining duration; infinite if not known."""
        attempt = self.relay.mover.running.get(generation.request_id)
        if attempt is None or not attempt.has_token:
            return float("inf")
        remaining = generation.request.max_tokens - len(generation.tokens)
        return remaining * attempt.observed_step_s()

    async def hand_over(self, generations: list[Generation]) -> None:
        """Hand generations over to other entries."""
        if not self.is_on:
            return
        async with trio.open_nursery() as nursery:
            for generation in generations:
                nursery.start_soon(self.hand_over_one, generation)

    async def hand_over_one(self, generation: Generation) -> None:
        """Hand a generation over; it ends here if another entry accepts it."""
        replica = self.replicas.get((generation.customer, generation.request_id))
        copy = self.create_copy(
            generation, preferred=replica.standby if replica else ""
        )
        copy.take_over = True
        response = await self.link.call(copy, HANDOVER_TIMEOUT_S)
        if not isinstance(response, StandbyAccepted) or not response.node:
            log.error("no entry accepted the handover", request=generation.request_id)
            return
        log.info(f"handed over to {response.node}", request=generation.request_id)
        generation.record_event(f"standby: handed over to {response.node}")
        self.relay.hand_over(generation, Running(RETRIEVAL_RETRY_AFTER_S))


def add_outcome(update: StandbyUpdate, generation: Generation) -> None:
    """Add the outcome of a generation to an update, if there is one."""
    outcome = generation.outcome
    if outcome is None:
        return
    update.outcome = type(outcome).__name__.lower()
    if not isinstance(outcome, Answered | Running):
        update.reason, update.detail = str(outcome.reason), outcome.detail
