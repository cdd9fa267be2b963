"""Standby replicas of model requests at the agent: placement, storage and takeover.

Holding a replica confirms nothing about the relaying entry. If that entry only seems
to have failed, two entries work on the request. This costs tokens but never mixes
responses, since both use the same lineage and each continues from its own text.
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
from rosemaryknot.process.standby_table import HeldReplica, StandbyTable
from rosemaryknot.values.messages import encode_message
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.standby import (
    AdoptGeneration,
    GenerationAdopted,
    StandbyAccepted,
    StandbyAck,
    StandbyBatch,
    StandbyCopy,
    StandbyProbe,
    StandbyProbed,
    StandbyUpdate,
    decode_nested,
    is_token_list,
)

__all__ = ["StandbyManager"]

MAX_PLACEMENT_ATTEMPTS = 4
PLACEMENT_TIMEOUT_S = 0.4
TAKEOVER_TIMEOUT_S = 0.8
BATCH_TIMEOUT_S = 0.5
ADOPT_TIMEOUT_S = 0.5
PROBE_TIMEOUT_S = 0.8
# Entries report at least each second; the relay is probed after two missing reports.
SILENCE_TIMEOUT_S = 2.0
# Silence after which a relay is taken over without confirmation that it stopped.
UNCONFIRMED_TAKEOVER_S = 8.0
ENTRY_SILENCE_TIMEOUT_S = 3.0
DIAL_TIMEOUT_S = 1.0
RELAY_CHECK_INTERVAL_S = 0.25

log = logger("standby")
replicas_held_gauge = gauge("standby_copies", "Copies of other nodes' model requests.")
placements_counter = counter(
    "standby_placed_total", "Copies that were to be placed, by result."
)
takeovers_counter = counter(
    "standby_takeovers_total", "Requests taken over, by result."
)


class RelayState(Enum):
    """State of an entry that has been silent."""

    ALIVE = "alive"
    STOPPED = "gone"
    SILENT = "silent"


class StandbyManager:
    """Places, stores and takes over standby replicas at the agent.

    Parameters
    ----------
    peers : PeerSet
        The other nodes and the entries of this node.
    handlers : Handlers
        Handlers of the agent's links.
    is_draining : callable
        Returns whether the instance of a node, given by name, is known to drain.
    rng : random.Random
        For the choice of standbys.

    Attributes
    ----------
    table : StandbyTable
        Replicas of requests that other nodes relay.
    finder : StandbyFinder
        Finds requests that callers pick up.
    is_stopping : bool
        Whether this node shuts down and so stores no replicas and takes over no
        requests.
    """

    def __init__(
        self,
        peers: PeerSet,
        handlers: Handlers,
        is_draining: Callable[[str], bool],
        rng: random.Random,
    ) -> None:
        self.peers = peers
        self.is_draining = is_draining
        self.rng = rng
        self.table = StandbyTable()
        self.finder = StandbyFinder(peers, handlers, self.table, is_draining)
        self.is_stopping = False
        self.started_s = trio.current_time()
        self.checking: set[tuple[str, int]] = set()
        handlers.on(StandbyCopy)(self.handle_replica)
        handlers.on(StandbyBatch)(self.handle_batch)
        handlers.on(StandbyProbe)(self.handle_probe)

    # Placement of replicas

    async def handle_replica(
        self, replica: StandbyCopy, link: MessageLink
    ) -> StandbyAccepted:
        """Place a replica for our entry, or store one for a peer."""
        if link.hello.role == "entry":
            replica.relay = self.peers.node.name
            replica.incarnation = link.hello.incarnation
            return await self.place(replica)
        return await self.store_replica(replica)

    async def store_replica(self, replica: StandbyCopy) -> StandbyAccepted:
        """Store a replica for a peer, or continue its request immediately."""
        name = self.peers.node.name
        can_adopt = bool(self.peers.entries) and is_token_list(replica.tokens)
        if self.is_stopping or not can_adopt:
            return StandbyAccepted()
        if replica.take_over:
            if not await self.adopt(replica):
                return StandbyAccepted()
            self.table.remove((replica.customer, replica.request))
            return StandbyAccepted(name)
        is_stored = self.table.add(replica)
        replicas_held_gauge.set(len(self.table.replicas))
        return StandbyAccepted(name if is_stored else "")

    def candidates(self, replica: StandbyCopy) -> list[str]:
        """Return the candidate standbys, with other zones before our own."""
        nodes = [
            node
            for node in self.peers.nodes()
            if not self.is_draining(node.name)
            and node.name not in (replica.relay, replica.avoided)
        ]
        self.rng.shuffle(nodes)
        nodes.sort(
            key=lambda node: (
                node.name != replica.preferred,
                node.zone == self.peers.node.zone,
            )
        )
        return [node.name for node in nodes]

    async def place(self, replica: StandbyCopy) -> StandbyAccepted:
        """Have the first responding candidate store a replica or take over."""
        timeout_s = TAKEOVER_TIMEOUT_S if replica.take_over else PLACEMENT_TIMEOUT_S
        for name in self.candidates(replica)[:MAX_PLACEMENT_ATTEMPTS]:
            response = await self.peers.call(name, replica, timeout_s)
            if isinstance(response, CallFailed) and replica.take_over:
                response = await self.peers.call_via_peers(name, replica, timeout_s)
            if isinstance(response, StandbyAccepted) and response.node:
                placements_counter.add(result="placed")
                return response
        placements_counter.add(result="none")
        log.warning(
            "no standby accepted the replica; continuing without one",
            request=replica.request,
        )
        return StandbyAccepted()

    # Text updates

    async def handle_batch(self, batch: StandbyBatch, link: MessageLink) -> StandbyAck:
        """Forward a batch of our entry, or apply a batch of a peer."""
        if link.hello.role != "entry":
            return self.apply_batch(batch)
        response = await self.peers.call(batch.standby, batch, BATCH_TIMEOUT_S)
        if isinstance(response, StandbyAck):
            return response
        return StandbyAck(is_reached=False)

    def apply_batch(self, batch: StandbyBatch) -> StandbyAck:
        """Apply the text updates of a batch to the replicas."""
        self.table.record_report((batch.relay, batch.incarnation))
        missing = []
        for payload in batch.updates:
            update = decode_nested(payload, StandbyUpdate)
            if update is None:
                continue
            if self.is_stopping or not self.table.apply(update):
                missing.append([update.customer, update.request])
        return StandbyAck(missing)

    # Takeover

    async def run(self) -> None:
        """Check the relays of the replicas until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(RELAY_CHECK_INTERVAL_S)
                self.table.purge(trio.current_time())
                replicas_held_gauge.set(len(self.table.replicas))
                if self.is_stopping:
                    continue
                for relay, replicas in self.table.find_silent_relays(
                    SILENCE_TIMEOUT_S
                ).items():
                    if relay not in self.checking:
                        self.checking.add(relay)
                        nursery.start_soon(self.check_relay, relay, replicas)

    async def check_relay(
        self, relay: tuple[str, int], replicas: list[HeldReplica]
    ) -> None:
        """Probe a silent entry; take over its requests unless it is alive."""
        try:
            state = await self.check_relay_state(relay, replicas[0].replica.address)
            if state is RelayState.ALIVE:
                self.table.record_report(relay)
                return
            for held in replicas:
                if state is RelayState.STOPPED or is_takeover_due(held):
                    await self.take_over(held)
            await trio.sleep(RELAY_CHECK_INTERVAL_S)
        finally:
            self.checking.discard(relay)

    async def check_relay_state(
        self, relay: tuple[str, int], address: str
    ) -> RelayState:
        """Determine the state of a silent entry, also over new connections.

        An open link can go silent permanently while new connections work. Only a
        response of its agent, a draining mark of its instance, or a refused
        connection confirms that the entry stopped. Taking over without confirmation
        would duplicate the work of a whole zone during a network partition.
        """
        node, incarnation = relay
        probe = StandbyProbe(incarnation)
        response = await self.peers.call(node, probe, PROBE_TIMEOUT_S)
        if isinstance(response, CallFailed):
            response = await self.peers.call_via_peers(node, probe, PROBE_TIMEOUT_S)
        if isinstance(response, StandbyProbed):
            return RelayState.ALIVE if response.is_alive else RelayState.STOPPED
        if self.is_draining(node) or await self.is_refused(address):
            return RelayState.STOPPED
        return RelayState.SILENT

    async def is_refused(self, address: str) -> bool:
        """Return whether connections to the address of an entry are refused."""
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
        """Respond whether an entry of this node is alive.

        An agent that has just started reports it as alive, since its entries need
        time to reconnect.
        """
        is_new = trio.current_time() - self.started_s < ENTRY_SILENCE_TIMEOUT_S
        is_connected = any(
            entry.hello.incarnation == probe.incarnation
            and entry.silence_s() < ENTRY_SILENCE_TIMEOUT_S
            for entry in self.peers.entries
        )
        return StandbyProbed(is_connected or is_new)

    async def take_over(self, held: HeldReplica) -> None:
        """Have an entry of this node, or of another node, continue a request."""
        if held.outcome or self.table.replicas.get(held.key) is not held:
            return
        remaining_s = held.deadline_s - trio.current_time()
        replica = replace(held.replica, left_s=max(0.0, remaining_s), take_over=True)
        if not await self.adopt(replica):
            if not (await self.place(replica)).node:
                return
        if self.table.replicas.get(held.key) is held:
            self.table.remove(held.key)

    async def adopt(self, replica: StandbyCopy) -> bool:
        """Have one of our entries continue a request; return whether one accepted."""
        order = AdoptGeneration(encode_message(replica))
        for link in list(self.peers.entries):
            response = await link.call(order, ADOPT_TIMEOUT_S)
            if isinstance(response, GenerationAdopted) and response.accepted:
                takeovers_counter.add(result="adopted")
                log.info(
                    f"took over from {replica.relay}",
                    request=replica.request,
                    emitted=len(replica.tokens),
                )
                return True
        takeovers_counter.add(result="failed")
        return False


def is_takeover_due(held: HeldReplica) -> bool:
    """Return whether to take over from a silent relay without confirmation.

    A pick-up request shows that the caller has lost the relay too.
    """
    return (
        held.is_pickup_requested
        or trio.current_time() - held.last_report_s > UNCONFIRMED_TAKEOVER_S
    )
