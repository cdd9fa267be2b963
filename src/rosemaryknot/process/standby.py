"""Standby copies at the agent: places them, keeps those of others, takes over.

A copy is a proof of nothing: when the relaying entry only seems dead, two entries
work on a request. That costs tokens and never mixes an answer, since both hold the
same lineage and each goes on from text that it has itself.
"""

import random
from collections.abc import Callable
from dataclasses import replace
from enum import Enum

import trio

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.standby_finder import StandbyFinder
from rosemaryknot.process.standby_table import HeldCopy, StandbyTable
from rosemaryknot.values.messages import encode_message
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.standby import (
    AdoptGeneration,
    GenerationAdopted,
    StandbyAck,
    StandbyBatch,
    StandbyCopy,
    StandbyProbe,
    StandbyProbed,
    StandbyTaken,
    StandbyUpdate,
    are_tokens,
    read_inner,
)

__all__ = ["StandbyKeeper"]

MAX_TRIES = 4
PLACE_TIMEOUT_S = 0.4
TAKE_TIMEOUT_S = 0.8
BATCH_TIMEOUT_S = 0.5
ADOPT_TIMEOUT_S = 0.5
PROBE_TIMEOUT_S = 0.8
# Entries speak at least each second: two that are missing are worth a question.
SILENT_S = 2.0
# How long a relay may be silent without any proof that it is gone.
UNPROVEN_S = 8.0
ENTRY_SILENT_S = 3.0
DIAL_TIMEOUT_S = 1.0
WATCH_S = 0.25

log = logger("standby")
held_gauge = gauge("standby_copies", "Copies of other nodes' model requests.")
placed = counter("standby_placed_total", "Copies that were to be placed, by result.")
takeovers = counter("standby_takeovers_total", "Requests taken over, by result.")


class RelayState(Enum):
    """What is known of an entry that has been silent."""

    ALIVE = "alive"
    GONE = "gone"
    SILENT = "silent"


class StandbyKeeper:
    """The agent's part in standby copies.

    Parameters
    ----------
    peers : PeerSet
        The other nodes and this node's entries.
    handlers : Handlers
        Handlers of the agent's links.
    is_leaving : callable
        Tells of a node's name whether its instance is known to be leaving.
    rng : random.Random
        For the choice of standbys.

    Attributes
    ----------
    table : StandbyTable
        Copies of requests that other nodes relay.
    finder : StandbyFinder
        Finds requests for pick-ups.
    is_stopping : bool
        Whether this node stops: it keeps no copies and takes nothing over.
    """

    def __init__(
        self,
        peers: PeerSet,
        handlers: Handlers,
        is_leaving: Callable[[str], bool],
        rng: random.Random,
    ) -> None:
        self.peers = peers
        self.is_leaving = is_leaving
        self.rng = rng
        self.table = StandbyTable()
        self.finder = StandbyFinder(peers, handlers, self.table, is_leaving)
        self.is_stopping = False
        self.started_s = trio.current_time()
        self.taking: set[tuple[str, int]] = set()
        handlers.on(StandbyCopy)(self.handle_copy)
        handlers.on(StandbyBatch)(self.handle_batch)
        handlers.on(StandbyProbe)(self.handle_probe)

    # Placing a copy

    async def handle_copy(self, copy: StandbyCopy, link: MessageLink) -> StandbyTaken:
        """Place a copy of our entry's, or keep a peer's."""
        if link.hello.role == "entry":
            copy.relay = self.peers.node.name
            copy.incarnation = link.hello.incarnation
            return await self.place(copy)
        return await self.keep(copy)

    async def keep(self, copy: StandbyCopy) -> StandbyTaken:
        """Keep a peer's copy, or go on with its request at once."""
        name = self.peers.node.name
        is_able = bool(self.peers.entries) and are_tokens(copy.tokens)
        if self.is_stopping or not is_able:
            return StandbyTaken()
        if copy.take_over:
            if not await self.adopt(copy):
                return StandbyTaken()
            self.table.remove((copy.customer, copy.request))
            return StandbyTaken(name)
        is_kept = self.table.add(copy)
        held_gauge.set(len(self.table.copies))
        return StandbyTaken(name if is_kept else "")

    def candidates(self, copy: StandbyCopy) -> list[str]:
        """Return the nodes to ask, other zones before our own."""
        nodes = [
            node
            for node in self.peers.nodes()
            if not self.is_leaving(node.name)
            and node.name not in (copy.relay, copy.avoided)
        ]
        self.rng.shuffle(nodes)
        nodes.sort(
            key=lambda node: (
                node.name != copy.preferred,
                node.zone == self.peers.node.zone,
            )
        )
        return [node.name for node in nodes]

    async def place(self, copy: StandbyCopy) -> StandbyTaken:
        """Let the first node that answers keep a copy, or take it over."""
        timeout_s = TAKE_TIMEOUT_S if copy.take_over else PLACE_TIMEOUT_S
        for name in self.candidates(copy)[:MAX_TRIES]:
            answer = await self.peers.call(name, copy, timeout_s)
            if isinstance(answer, CallFailed) and copy.take_over:
                answer = await self.peers.call_around(name, copy, timeout_s)
            if isinstance(answer, StandbyTaken) and answer.node:
                placed.add(result="placed")
                return answer
        placed.add(result="none")
        log.warning("no standby answers: goes on without a copy", request=copy.request)
        return StandbyTaken()

    # Text

    async def handle_batch(self, batch: StandbyBatch, link: MessageLink) -> StandbyAck:
        """Pass our entry's batch on, or take a peer's in."""
        if link.hello.role != "entry":
            return self.take_batch(batch)
        answer = await self.peers.call(batch.standby, batch, BATCH_TIMEOUT_S)
        if isinstance(answer, StandbyAck):
            return answer
        return StandbyAck(is_reached=False)

    def take_batch(self, batch: StandbyBatch) -> StandbyAck:
        """Add a batch's text to the copies."""
        self.table.note_heard((batch.relay, batch.incarnation))
        missing = []
        for payload in batch.updates:
            update = read_inner(payload, StandbyUpdate)
            if update is None:
                continue
            if self.is_stopping or not self.table.apply(update):
                missing.append([update.customer, update.request])
        return StandbyAck(missing)

    # Taking over

    async def run(self) -> None:
        """Watch the relays of the copies until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(WATCH_S)
                self.table.purge(trio.current_time())
                held_gauge.set(len(self.table.copies))
                if self.is_stopping:
                    continue
                for relay, copies in self.table.silent(SILENT_S).items():
                    if relay not in self.taking:
                        self.taking.add(relay)
                        nursery.start_soon(self.check_relay, relay, copies)

    async def check_relay(self, relay: tuple[str, int], copies: list[HeldCopy]) -> None:
        """Ask after a silent entry; take its requests over unless it lives."""
        try:
            state = await self.relay_state(relay, copies[0].copy.address)
            if state is RelayState.ALIVE:
                self.table.note_heard(relay)
                return
            for held in copies:
                if state is RelayState.GONE or is_due(held):
                    await self.take_over(held)
            await trio.sleep(WATCH_S)
        finally:
            self.taking.discard(relay)

    async def relay_state(self, relay: tuple[str, int], address: str) -> RelayState:
        """Find out about a silent entry, over new connections too.

        An open link can go silent for good while new ones work. Only the word of
        its agent, a mark of its instance, or a refused connection proves that the
        entry is gone. Going on without a proof would do the work of a whole zone
        twice whenever that zone is cut off.
        """
        node, incarnation = relay
        probe = StandbyProbe(incarnation)
        answer = await self.peers.call(node, probe, PROBE_TIMEOUT_S)
        if isinstance(answer, CallFailed):
            answer = await self.peers.call_around(node, probe, PROBE_TIMEOUT_S)
        if isinstance(answer, StandbyProbed):
            return RelayState.ALIVE if answer.is_alive else RelayState.GONE
        if self.is_leaving(node) or await self.is_refused(address):
            return RelayState.GONE
        return RelayState.SILENT

    async def is_refused(self, address: str) -> bool:
        """Tell whether nobody listens any more where an entry did."""
        try:
            with trio.move_on_after(DIAL_TIMEOUT_S):
                stream = await self.peers.network.dial(Address.from_text(address))
                await trio.aclose_forcefully(stream)
        except ConnectionRefusedError:
            return True
        except (OSError, ValueError):
            return False
        return False

    async def handle_probe(
        self, probe: StandbyProbe, link: MessageLink
    ) -> StandbyProbed:
        """Tell whether one of our entries is there.

        An agent that has just started cannot know yet: its entries need a moment
        to connect again.
        """
        is_new = trio.current_time() - self.started_s < ENTRY_SILENT_S
        is_there = any(
            entry.hello.incarnation == probe.incarnation
            and entry.silence_s() < ENTRY_SILENT_S
            for entry in self.peers.entries
        )
        return StandbyProbed(is_there or is_new)

    async def take_over(self, held: HeldCopy) -> None:
        """Let our entry go on with a request, or that of another node."""
        if held.outcome or self.table.copies.get(held.key) is not held:
            return
        left_s = held.deadline_s - trio.current_time()
        copy = replace(held.copy, left_s=max(0.0, left_s), take_over=True)
        if not await self.adopt(copy):
            if not (await self.place(copy)).node:
                return
        if self.table.copies.get(held.key) is held:
            self.table.remove(held.key)

    async def adopt(self, copy: StandbyCopy) -> bool:
        """Let one of our entries go on with a request; tell whether one does."""
        order = AdoptGeneration(encode_message(copy))
        for link in list(self.peers.entries):
            answer = await link.call(order, ADOPT_TIMEOUT_S)
            if isinstance(answer, GenerationAdopted) and answer.accepted:
                takeovers.add(result="adopted")
                log.info(
                    f"took over from {copy.relay}",
                    request=copy.request,
                    emitted=len(copy.tokens),
                )
                return True
        takeovers.add(result="failed")
        return False


def is_due(held: HeldCopy) -> bool:
    """Tell whether a copy of a silent relay is to be taken over without a proof.

    A pick-up shows that its caller has lost the relay too.
    """
    return held.is_wanted or trio.current_time() - held.heard_s > UNPROVEN_S
