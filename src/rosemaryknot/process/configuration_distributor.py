"""Distributes the configuration among the agents, and from an agent to its entries.

An entry is the process that runs the data plane of a node. Versions of the
configuration are numbered. A node that applies a new version offers the version number
to a few peers. Peers with an older version fetch the new one and offer it in turn. Each
second every node also compares version numbers with a random peer of its zone and one
of another zone, which makes up for lost messages.
"""

import random
from collections.abc import Sequence
from typing import Protocol

import trio
import xxhash

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.configuration import ApplyResult, ConfigurationHolder
from rosemaryknot.process.logs import logger
from rosemaryknot.values.configuration import (
    ConfigurationFetch,
    ConfigurationOffer,
    ConfigurationPush,
)
from rosemaryknot.values.messages import Message
from rosemaryknot.values.nodes import Node

__all__ = [
    "ConfigurationDistributor",
    "PeerSet",
    "select_nodes",
    "keep_entry_current",
    "register_configuration_handlers",
]

FANOUT = 8
COMPARE_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 2.0
FIRST_LINKS_TIMEOUT_S = 2.0
LINK_CHECK_INTERVAL_S = 0.1
NOT_WORTH_FETCHING = frozenset(
    {ApplyResult.STOPPED, ApplyResult.CONFLICT, ApplyResult.UNUSABLE}
)

log = logger("configuration")


class PeerSet(Protocol):
    """The other agents, as linked by `rosemaryknot.process.peers`."""

    def nodes(self) -> list[Node]:
        """Return the peers that are reachable."""

    def linked(self) -> list[Node]:
        """Return the peers to which this node has a direct link."""

    async def call(
        self, name: str, message: Message, timeout_s: float
    ) -> Message | CallFailed:
        """Call one peer."""


def select_nodes(nodes: Sequence[Node], purpose: str, count: int) -> list[Node]:
    """Select nodes for a purpose by rendezvous hashing.

    Every node makes the same selection from the same list. If a node joins or leaves,
    at most one of the selected nodes changes.

    Parameters
    ----------
    nodes : sequence of Node
        Candidates.
    purpose : str
        What the nodes are selected for; hashed together with their names.
    count : int
        Maximum number of nodes to select.

    Returns
    -------
    chosen : list of Node
        The node with the highest hash comes first.
    """

    def hash_of(node: Node) -> int:
        return xxhash.xxh64_intdigest(f"{purpose}/{node.name}".encode())

    return sorted(nodes, key=hash_of, reverse=True)[:count]


class ConfigurationDistributor:
    """Keeps the configuration of one agent in sync with its peers.

    Parameters
    ----------
    node : Node
        This node.
    holder : ConfigurationHolder
        The active version of this node.
    peers : PeerSet
        The other agents.
    expected : int
        Number of peers that the settings list. The first query waits up to
        ``FIRST_LINKS_TIMEOUT_S`` until this many are reachable.
    rng : random.Random, optional
        Source of the random choices.

    Attributes
    ----------
    peers_queried : trio.Event
        Set once the peers were queried after the start. The store is not read until
        then, because a store restored from a backup would activate an older version.
    offers : dict of str to ConfigurationOffer
        Newer versions that peers hold, by peer.
    rejected_versions : set of tuple of (int, str)
        Versions that were fetched and must not be applied.
    """

    def __init__(
        self,
        node: Node,
        holder: ConfigurationHolder,
        peers: PeerSet,
        expected: int = 0,
        rng: random.Random | None = None,
    ) -> None:
        self.node = node
        self.holder = holder
        self.peers = peers
        self.expected = expected
        self.rng = random.Random() if rng is None else rng
        self.peers_queried = trio.Event()
        self.offers: dict[str, ConfigurationOffer] = {}
        self.rejected_versions: set[tuple[int, str]] = set()
        self.offer_event = trio.Event()

    async def run(self) -> None:
        """Keep the configuration current until cancelled."""
        await self.query_peers()
        self.peers_queried.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.fetch_offered)
            nursery.start_soon(self.compare_numbers)
            nursery.start_soon(self.distribute_changes)

    async def query_peers(self) -> None:
        """Fetch the newest version that any reachable peer holds, after the start."""
        with trio.move_on_after(FIRST_LINKS_TIMEOUT_S):
            while len(self.peers.nodes()) < self.expected:
                await trio.sleep(LINK_CHECK_INTERVAL_S)
        await self.offer_to([node.name for node in self.peers.nodes()])
        while self.offers:
            await self.fetch_newest()
        number, count = self.holder.number, len(self.peers.nodes())
        log.info(
            f"queried {count} peers, newest configuration is {number}", number=number
        )

    async def compare_numbers(self) -> None:
        """Compare version numbers with random peers each second."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(COMPARE_INTERVAL_S * self.rng.uniform(0.8, 1.2))
                # A silent peer must not delay the comparison with the others.
                nursery.start_soon(self.offer_to, self.random_peers())

    def random_peers(self) -> list[str]:
        """Return a random peer of this zone and one of another, if there are any."""
        same_zone, other_zones = [], []
        for node in self.neighbours():
            (same_zone if node.zone == self.node.zone else other_zones).append(
                node.name
            )
        return [self.rng.choice(names) for names in (same_zone, other_zones) if names]

    def neighbours(self) -> list[Node]:
        """Return the peers to compare with: those with a direct link, if there are any.

        The direct links suffice, because together they connect all nodes. A comparison
        with another peer is forwarded by other nodes and costs each of them as much
        again; the relays would forward those of their whole zone.
        """
        return self.peers.linked() or self.peers.nodes()

    async def distribute_changes(self) -> None:
        """Offer each new version to several random peers immediately."""
        async with trio.open_nursery() as nursery:
            number = 0
            while True:
                view = await self.holder.wait_changed(number)
                number = view.number
                names = [node.name for node in self.neighbours()]
                selected = self.rng.sample(names, min(FANOUT, len(names)))
                nursery.start_soon(self.offer_to, selected)

    async def offer_to(self, names: Sequence[str]) -> None:
        """Exchange version numbers with several peers concurrently."""
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(self.offer_to_one, name)

    async def offer_to_one(self, name: str) -> None:
        """Exchange version numbers with one peer."""
        response = await self.peers.call(name, self.holder.offer, CALL_TIMEOUT_S)
        if isinstance(response, ConfigurationOffer):
            self.record_offer(name, response)

    def record_offer(self, name: str, offer: ConfigurationOffer) -> None:
        """Record the version that a peer holds, to be fetched if it is newer."""
        result = self.holder.compare_digest(offer.number, offer.digest, name)
        is_rejected = (offer.number, offer.digest) in self.rejected_versions
        if result is ApplyResult.APPLIED and offer.number and not is_rejected:
            self.offers[name] = offer
            self.offer_event.set()

    async def fetch_offered(self) -> None:
        """Fetch newer versions, one at a time."""
        while True:
            if not self.offers:
                self.offer_event = trio.Event()
                await self.offer_event.wait()
            await self.fetch_newest()

    async def fetch_newest(self) -> None:
        """Fetch the newest offered version from one of the peers that hold it."""
        name = max(self.offers, key=lambda name: self.offers[name].number)
        offer = self.offers.pop(name)
        if offer.number <= self.holder.number:
            return
        response = await self.peers.call(
            name, ConfigurationFetch(offer.number), FETCH_TIMEOUT_S
        )
        if isinstance(response, ConfigurationPush):
            result = self.holder.apply_push(response, f"peer {name}")
            if result in NOT_WORTH_FETCHING:
                self.rejected_versions.add((response.number, response.digest))


def register_configuration_handlers(
    handlers: Handlers,
    holder: ConfigurationHolder,
    distributor: ConfigurationDistributor | None = None,
) -> None:
    """Register the handlers of configuration messages.

    Parameters
    ----------
    handlers : Handlers
        Registry of the process's links.
    holder : ConfigurationHolder
        The active version of this process.
    distributor : ConfigurationDistributor, optional
        Distributor of an agent, which fetches newer versions that peers offer. An entry
        has none, since its agent pushes to it.
    """

    @handlers.on(ConfigurationPush)
    async def handle_push(push: ConfigurationPush, link: MessageLink) -> Message:
        holder.apply_push(push, link.hello.name)
        return holder.offer

    @handlers.on(ConfigurationFetch)
    async def handle_fetch(fetch: ConfigurationFetch, link: MessageLink) -> Message:
        return holder.push

    @handlers.on(ConfigurationOffer)
    async def handle_offer(offer: ConfigurationOffer, link: MessageLink) -> Message:
        if distributor is not None:
            distributor.record_offer(link.hello.name, offer)
        return holder.offer


async def keep_entry_current(holder: ConfigurationHolder, link: MessageLink) -> None:
    """Keep the entry at the other end of a link in sync with its agent.

    An agent that restarted during a network partition has no configuration, while its
    entry still uses one. The agent therefore adopts the entry's version if it is newer.

    Parameters
    ----------
    holder : ConfigurationHolder
        The active version of the agent.
    link : MessageLink
        Link to the entry.
    """
    while not link.is_closed:
        number = holder.number
        response = await link.call(holder.offer, CALL_TIMEOUT_S)
        if not isinstance(response, ConfigurationOffer):
            await trio.sleep(LINK_CHECK_INTERVAL_S)
            continue
        await exchange_with_entry(holder, link, response)
        # Compare again periodically, in case a push was lost.
        with trio.move_on_after(COMPARE_INTERVAL_S):
            await holder.wait_changed(number)


async def exchange_with_entry(
    holder: ConfigurationHolder, link: MessageLink, theirs: ConfigurationOffer
) -> None:
    """Push to an entry with an older version, or fetch from one with a newer one."""
    result = holder.compare_digest(theirs.number, theirs.digest, link.hello.name)
    if result is ApplyResult.OLDER:
        await link.call(holder.push, FETCH_TIMEOUT_S)
    elif result is ApplyResult.APPLIED and theirs.number:
        fetch = ConfigurationFetch(theirs.number)
        response = await link.call(fetch, FETCH_TIMEOUT_S)
        if isinstance(response, ConfigurationPush):
            holder.apply_push(response, f"entry {link.hello.name}")
