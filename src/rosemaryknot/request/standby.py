"""Standby copies at the entry: sends copies and text, and hands over."""

import json

import trio

from rosemaryknot.process.agent_link import AgentLink
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import gauge
from rosemaryknot.request.generations import Generation
from rosemaryknot.request.relay import ModelRelay
from rosemaryknot.request.standby_drops import BATCH_TIMEOUT_S, StandbyDrops
from rosemaryknot.request.standby_state import Copied, CopyKey, StandbyState
from rosemaryknot.values.messages import encode_message
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.outcomes import Answered, NotRun, Reason, Running
from rosemaryknot.values.requests import ModelRequest
from rosemaryknot.values.standby import (
    StandbyAck,
    StandbyBatch,
    StandbyCopy,
    StandbyTaken,
    StandbyUpdate,
)

__all__ = ["StandbyCopies"]

COPY_TIMEOUT_S = 1.7
HANDOVER_TIMEOUT_S = 3.0
BATCH_S = 0.25
HEARTBEAT_S = 1.0
RETRY_S = 1.0
MAX_FAILURES = 2
MAX_UPDATE_TOKENS = 512
MAX_BATCH_TOKENS = 8192
PICKUP_RETRY_S = 0.5

log = logger("standby")
copied_gauge = gauge("standby_copied", "Running model requests with a standby copy.")


class StandbyCopies:
    """The entry's part in standby copies; starts model requests as the relay does.

    Parameters
    ----------
    node : Node
        This entry.
    relay : ModelRelay
        Runs generations.
    link : AgentLink
        Link to the agent, which places the copies.
    holder : ConfigurationHolder
        Tells from how many tokens on a request is copied.
    address : str
        Where this entry accepts callers.
    is_on : bool
        Off only in tests.

    Attributes
    ----------
    copies : dict of (str, str) to Copied
        Running requests with a copy, or in want of one.
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
        self.copies: dict[CopyKey, Copied] = {}
        self.standbys: dict[str, StandbyState] = {}
        self.drops = StandbyDrops(node, link)

    async def run(self) -> None:
        """Send batches until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.drops.run)
            while True:
                await trio.sleep(BATCH_S)
                await self.send_batches()

    # Accepting

    async def start(self, request: ModelRequest) -> Generation | NotRun:
        """Accept a request, copy it where it is long, and start it.

        Parameters
        ----------
        request : ModelRequest
            An admitted request.

        Returns
        -------
        generation : Generation or NotRun
            The running generation, or why it was refused.
        """
        generation = self.relay.prepare(request)
        if isinstance(generation, NotRun):
            return generation
        is_begun = False
        try:
            if self.wants_copy(request):
                # Before the caller hears that it is accepted: a promise that dies
                # with one process is none.
                await self.protect(Copied(generation))
            self.relay.begin(generation)
            is_begun = True
        finally:
            if not is_begun:
                refusal = NotRun(Reason.STOPPING, 1.0, "not started")
                self.relay.give_up(generation, refusal)
        return generation

    def wants_copy(self, request: ModelRequest) -> bool:
        """Tell whether a request is long enough, or has nobody who waits for it."""
        view = self.holder.view
        service = None if view is None else view.services.get(request.service)
        if not self.is_on or service is None:
            return False
        return request.is_async or request.max_tokens >= service.standby_min_tokens

    async def protect(self, copied: Copied) -> None:
        """Copy a generation to a standby, and keep the copy current from now on."""
        generation = copied.generation
        copied.tried_s = trio.current_time()
        copy = self.copy_of(generation, avoided=copied.avoided)
        answer = await self.link.call(copy, COPY_TIMEOUT_S)
        copied.standby = answer.node if isinstance(answer, StandbyTaken) else ""
        copied.sent = len(copy.tokens)
        self.copies[copied.key] = copied
        if copied.standby:
            log.info(f"copied to {copied.standby}", request=generation.request_id)
        else:
            log.warning("has no copy", request=generation.request_id)

    def copy_of(
        self, generation: Generation, preferred: str = "", avoided: str = ""
    ) -> StandbyCopy:
        """Return a generation as it stands now."""
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
        )

    def server_of(self, generation: Generation) -> str:
        """Return the instance that is at work on a generation, or an empty text."""
        attempt = self.relay.mover.running.get(generation.request_id)
        return "" if attempt is None else attempt.server.instance

    # Text

    async def send_batches(self) -> None:
        """Send each standby what is new, and look for standbys where one is missing."""
        copied_gauge.set(len(self.copies))
        if not self.link.is_connected:
            return
        by_standby: dict[str, list[Copied]] = {}
        async with trio.open_nursery() as nursery:
            for key, copied in list(self.copies.items()):
                if self.relay.servers.marks.get(copied.standby) is not None:
                    copied.standby, copied.tried_s = "", 0.0
                if copied.standby:
                    by_standby.setdefault(copied.standby, []).append(copied)
                elif copied.generation.outcome is not None:
                    del self.copies[key]
                elif trio.current_time() - copied.tried_s >= RETRY_S:
                    nursery.start_soon(self.protect, copied)
            for standby, of_standby in by_standby.items():
                nursery.start_soon(self.send_batch, standby, of_standby)

    async def send_batch(self, standby: str, of_standby: list[Copied]) -> None:
        """Send one standby what is new; also shows it that we are there."""
        state = self.standbys.setdefault(standby, StandbyState())
        updates = self.updates_of(of_standby)
        is_due = trio.current_time() - state.heard_s >= HEARTBEAT_S
        if not updates and not is_due:
            return
        payloads = [encode_message(update) for _, update in updates]
        batch = StandbyBatch(standby, self.node.name, self.node.incarnation, payloads)
        answer = await self.link.call(batch, BATCH_TIMEOUT_S)
        if isinstance(answer, StandbyAck) and answer.is_reached:
            state.failures, state.heard_s = 0, trio.current_time()
            self.note_taken(updates, answer)
        else:
            self.record_failure(standby, state, of_standby)

    def updates_of(
        self, of_standby: list[Copied]
    ) -> list[tuple[Copied, StandbyUpdate]]:
        """Return what is new of each generation, bounded."""
        found = []
        room = MAX_BATCH_TOKENS
        for copied in of_standby:
            generation = copied.generation
            stop = copied.sent + min(room, MAX_UPDATE_TOKENS)
            tokens = generation.tokens[copied.sent : stop]
            room -= len(tokens)
            update = StandbyUpdate(
                *copied.key, copied.sent, tokens, server=self.server_of(generation)
            )
            if copied.sent + len(tokens) == len(generation.tokens):
                add_outcome(update, generation)
            if tokens or update.outcome:
                found.append((copied, update))
        return found

    def note_taken(
        self, updates: list[tuple[Copied, StandbyUpdate]], ack: StandbyAck
    ) -> None:
        """Note what a standby has now, and which copies it does not hold."""
        missing = {tuple(key) for key in ack.missing if isinstance(key, list)}
        for copied, update in updates:
            if copied.key in missing:
                copied.standby, copied.tried_s = "", 0.0
                continue
            copied.sent += len(update.tokens)
            if update.outcome:
                self.copies.pop(copied.key, None)

    def record_failure(
        self, standby: str, state: StandbyState, of_standby: list[Copied]
    ) -> None:
        """Give a standby up that does not answer, and copy its share elsewhere."""
        state.failures += 1
        if state.failures < MAX_FAILURES or not self.link.is_connected:
            return
        log.warning(f"{standby} does not answer: copying elsewhere", n=len(of_standby))
        del self.standbys[standby]
        for copied in of_standby:
            copied.standby, copied.avoided, copied.tried_s = "", standby, 0.0
            self.drops.add(standby, copied)

    # Handing over

    async def hand_over_long(self, left_s: float) -> None:
        """Hand over the generations that may not end within a time."""
        await self.hand_over(
            [g for g in self.relay.table.running() if self.time_to_end_s(g) > left_s]
        )

    async def hand_over_all(self) -> None:
        """Hand over every generation that still runs."""
        await self.hand_over(self.relay.table.running())

    def time_to_end_s(self, generation: Generation) -> float:
        """Return how long a generation takes at most; infinite where not known."""
        attempt = self.relay.mover.running.get(generation.request_id)
        if attempt is None or not attempt.has_token:
            return float("inf")
        left = generation.request.max_tokens - len(generation.tokens)
        return left * attempt.observed_step_s()

    async def hand_over(self, generations: list[Generation]) -> None:
        """Let other entries go on with generations."""
        if not self.is_on:
            return
        async with trio.open_nursery() as nursery:
            for generation in generations:
                nursery.start_soon(self.hand_over_one, generation)

    async def hand_over_one(self, generation: Generation) -> None:
        """Let another entry go on with a generation; it ends here when one does."""
        copied = self.copies.get((generation.customer, generation.request_id))
        copy = self.copy_of(generation, preferred=copied.standby if copied else "")
        copy.take_over = True
        answer = await self.link.call(copy, HANDOVER_TIMEOUT_S)
        if not isinstance(answer, StandbyTaken) or not answer.node:
            log.error("nobody took it over", request=generation.request_id)
            return
        log.info(f"handed over to {answer.node}", request=generation.request_id)
        generation.tell(f"standby: handed over to {answer.node}")
        self.relay.hand_over(generation, Running(PICKUP_RETRY_S))


def add_outcome(update: StandbyUpdate, generation: Generation) -> None:
    """Add to an update how its generation ended, if it did."""
    outcome = generation.outcome
    if outcome is None:
        return
    update.outcome = type(outcome).__name__.lower()
    if not isinstance(outcome, Answered | Running):
        update.reason, update.detail = str(outcome.reason), outcome.detail
