"""Spread of the configuration among the agents, and from an agent to its entries.

A node that takes a new version offers its number to a few peers; those that are
behind fetch it and offer it on. Each second every node also compares numbers with a
random peer of its zone and one of another, so that whatever was lost on the way is
made up for.
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
    "ConfigurationSpread",
    "PeerSet",
    "chosen_nodes",
    "keep_entry_current",
    "register_configuration_handlers",
]

FANOUT = 8
COMPARE_S = 1.0
CALL_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 2.0
FIRST_LINKS_S = 2.0
LINK_CHECK_S = 0.1
NOT_WORTH_FETCHING = frozenset(
    {ApplyResult.STOPPED, ApplyResult.CONFLICT, ApplyResult.UNUSABLE}
)

log = logger("configuration")


class PeerSet(Protocol):
    """The other agents, as `rosemaryknot.process.peers` links them."""

    def nodes(self) -> list[Node]:
        """Return the peers that answer."""

    def linked(self) -> list[Node]:
        """Return those that a link of this node leads to."""

    async def call(
        self, name: str, message: Message, timeout_s: float
    ) -> Message | CallFailed:
        """Ask one peer."""


def chosen_nodes(nodes: Sequence[Node], duty: str, count: int) -> list[Node]:
    """Choose nodes for a duty by rendezvous hash.

    Every node comes to the same choice from the same list, and a node that comes or
    goes changes the choice by itself only.

    Parameters
    ----------
    nodes : sequence of Node
        Candidates.
    duty : str
        What they are chosen for.
    count : int
        How many are wanted.

    Returns
    -------
    chosen : list of Node
        The first one ranks highest.
    """

    def rank(node: Node) -> int:
        return xxhash.xxh64_intdigest(f"{duty}/{node.name}".encode())

    return sorted(nodes, key=rank, reverse=True)[:count]


class ConfigurationSpread:
    """Keeps one agent's configuration equal to its peers'.

    Parameters
    ----------
    node : Node
        This node.
    holder : ConfigurationHolder
        What is in force here.
    peers : PeerSet
        The other agents.
    expected : int
        Peers that the settings name; the first question waits a little for them.
    rng : random.Random, optional
        Source of the random choices.

    Attributes
    ----------
    asked : trio.Event
        Set once the peers were asked after the start. The store is not read before:
        one restored from a backup would put an older version into force.
    heard : dict of str to ConfigurationOffer
        Newer versions that peers hold, by peer.
    refused : set of tuple of (int, str)
        Versions that were fetched and may not be taken.
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
        self.asked = trio.Event()
        self.heard: dict[str, ConfigurationOffer] = {}
        self.refused: set[tuple[int, str]] = set()
        self.woken = trio.Event()

    async def run(self) -> None:
        """Keep the configuration current until cancelled."""
        await self.ask_all()
        self.asked.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.fetch_heard)
            nursery.start_soon(self.compare_numbers)
            nursery.start_soon(self.tell_changes)

    async def ask_all(self) -> None:
        """Take the newest version that any linked peer holds, after the start."""
        with trio.move_on_after(FIRST_LINKS_S):
            while len(self.peers.nodes()) < self.expected:
                await trio.sleep(LINK_CHECK_S)
        await self.offer_to([node.name for node in self.peers.nodes()])
        while self.heard:
            await self.fetch_newest()
        number, count = self.holder.number, len(self.peers.nodes())
        log.info(f"asked {count} peers, {number} is the newest", number=number)

    async def compare_numbers(self) -> None:
        """Compare numbers with random peers each second."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(COMPARE_S * self.rng.uniform(0.8, 1.2))
                # A silent peer must not hold up the comparison with the others.
                nursery.start_soon(self.offer_to, self.random_peers())

    def random_peers(self) -> list[str]:
        """Return a random peer of this zone and one of another, where there are."""
        near, far = [], []
        for node in self.neighbours():
            (near if node.zone == self.node.zone else far).append(node.name)
        return [self.rng.choice(names) for names in (near, far) if names]

    def neighbours(self) -> list[Node]:
        """Return the peers to compare with: those with a link, where there are any.

        The links connect all nodes. A comparison that other nodes pass on costs each
        of them the same again, and the relays carry those of their whole zone.
        """
        return self.peers.linked() or self.peers.nodes()

    async def tell_changes(self) -> None:
        """Offer each new version to some peers at once."""
        async with trio.open_nursery() as nursery:
            number = 0
            while True:
                view = await self.holder.wait_changed(number)
                number = view.number
                names = [node.name for node in self.neighbours()]
                some = self.rng.sample(names, min(FANOUT, len(names)))
                nursery.start_soon(self.offer_to, some)

    async def offer_to(self, names: Sequence[str]) -> None:
        """Exchange numbers with several peers at the same time."""
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(self.offer_to_one, name)

    async def offer_to_one(self, name: str) -> None:
        """Exchange numbers with one peer."""
        answer = await self.peers.call(name, self.holder.offer, CALL_TIMEOUT_S)
        if isinstance(answer, ConfigurationOffer):
            self.hear(name, answer)

    def hear(self, name: str, offer: ConfigurationOffer) -> None:
        """Note the version that a peer holds, to be fetched where it is newer."""
        result = self.holder.note_digest(offer.number, offer.digest, name)
        is_refused = (offer.number, offer.digest) in self.refused
        if result is ApplyResult.APPLIED and offer.number and not is_refused:
            self.heard[name] = offer
            self.woken.set()

    async def fetch_heard(self) -> None:
        """Fetch what is newer, one version at a time."""
        while True:
            if not self.heard:
                self.woken = trio.Event()
                await self.woken.wait()
            await self.fetch_newest()

    async def fetch_newest(self) -> None:
        """Fetch the newest version heard of from one of the peers that hold it."""
        name = max(self.heard, key=lambda name: self.heard[name].number)
        offer = self.heard.pop(name)
        if offer.number <= self.holder.number:
            return
        answer = await self.peers.call(
            name, ConfigurationFetch(offer.number), FETCH_TIMEOUT_S
        )
        if isinstance(answer, ConfigurationPush):
            result = self.holder.apply_push(answer, f"peer {name}")
            if result in NOT_WORTH_FETCHING:
                self.refused.add((answer.number, answer.digest))


def register_configuration_handlers(
    handlers: Handlers,
    holder: ConfigurationHolder,
    spread: ConfigurationSpread | None = None,
) -> None:
    """Register what a process does with the messages of the configuration.

    Parameters
    ----------
    handlers : Handlers
        Registry of the process's links.
    holder : ConfigurationHolder
        What is in force here.
    spread : ConfigurationSpread, optional
        Of an agent: fetches a newer version that a peer offers. An entry has none
        and is pushed what it lacks.
    """

    @handlers.on(ConfigurationPush)
    async def take(push: ConfigurationPush, link: MessageLink) -> Message:
        holder.apply_push(push, link.hello.name)
        return holder.offer

    @handlers.on(ConfigurationFetch)
    async def give(fetch: ConfigurationFetch, link: MessageLink) -> Message:
        return holder.push

    @handlers.on(ConfigurationOffer)
    async def compare(offer: ConfigurationOffer, link: MessageLink) -> Message:
        if spread is not None:
            spread.hear(link.hello.name, offer)
        return holder.offer


async def keep_entry_current(holder: ConfigurationHolder, link: MessageLink) -> None:
    """Keep the entry at the other end of a link on the agent's configuration.

    An agent that restarted while cut off knows nothing, while its entry still serves
    by a version; so the agent takes the entry's where that one is newer.

    Parameters
    ----------
    holder : ConfigurationHolder
        What is in force at the agent.
    link : MessageLink
        Link to the entry.
    """
    while not link.is_closed:
        number = holder.number
        answer = await link.call(holder.offer, CALL_TIMEOUT_S)
        if not isinstance(answer, ConfigurationOffer):
            await trio.sleep(LINK_CHECK_S)
            continue
        await exchange_with_entry(holder, link, answer)
        # Compared again now and then, in case a push was lost.
        with trio.move_on_after(COMPARE_S):
            await holder.wait_changed(number)


async def exchange_with_entry(
    holder: ConfigurationHolder, link: MessageLink, theirs: ConfigurationOffer
) -> None:
    """Push to an entry that is behind, or fetch from one that is ahead."""
    result = holder.note_digest(theirs.number, theirs.digest, link.hello.name)
    if result is ApplyResult.OLDER:
        await link.call(holder.push, FETCH_TIMEOUT_S)
    elif result is ApplyResult.APPLIED and theirs.number:
        fetch = ConfigurationFetch(theirs.number)
        answer = await link.call(fetch, FETCH_TIMEOUT_S)
        if isinstance(answer, ConfigurationPush):
            holder.apply_push(answer, f"entry {link.hello.name}")
