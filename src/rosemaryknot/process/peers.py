"""Membership: the other nodes, and the links to them.

One task for each peer dials it, notices when its link falls silent and replaces the
link. What is known of nodes spreads over the links. All of it is a hint: that a node
is suspected gives nobody a right.
"""

import random
from collections.abc import Awaitable, Callable, Iterable
from operator import attrgetter

import trio

from rosemaryknot.connection.links import (
    CallFailed,
    Handlers,
    Hello,
    MessageLink,
)
from rosemaryknot.connection.network import Network
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peer import SILENT_S, LinkEnd, Peer, full_jitter
from rosemaryknot.process.peer_dialler import ENTRY_ROLE, PeerDialler
from rosemaryknot.process.peer_forwarding import Forwarder
from rosemaryknot.process.peer_gossip import PeerGossip
from rosemaryknot.process.peer_links import LinkPlan, link_targets
from rosemaryknot.process.peer_table import PeerTable
from rosemaryknot.values.messages import Message, encode_message
from rosemaryknot.values.nodes import Address, Node
from rosemaryknot.values.peers import (
    PeerAlive,
    PeerProbe,
    PeerRecord,
    PeerState,
)

__all__ = ["PeerSet"]

LOG = logger("peers")

TEND_S = 1.0
IDLE_S = 10.0
# A wait so short that the clock does not move would go round for ever.
SHORTEST_S = 0.01
STABLE_S = 1.0
SPREAD_S = 0.05
PROBE_TIMEOUT_S = 1.0
SEED_PAUSE_S = 5.0
GOODBYE_S = 1.0
GOODBYE_LINGER_S = 0.1
ENTRY_SILENT_S = 5.0

EntryLinkHandler = Callable[[MessageLink], Awaitable[None]]


class PeerSet:
    """The other nodes of the region.

    Parameters
    ----------
    network : Network
        Where links come from.
    node : Node
        This node, with the incarnation of this start.
    listen : Address
        Where to accept links; port 0 takes a free one.
    key : bytes
        Cluster key.
    seeds : iterable of Address
        Where nodes may be found at the start.
    handlers : Handlers
        What to do with messages; this class adds its own kinds.
    plan : LinkPlan, optional
        How many links nodes keep.
    rng : random.Random, optional
        Gives the jitter.

    Attributes
    ----------
    entries : list of MessageLink
        Links of this node's entries.
    on_entry_link : list of callable
        Async functions called with each new link of an entry, in tasks that end
        with the link.
    traffic : Traffic
        Messages and bytes of all links by kind.
    counters : Counter
        ``dials``, ``dials_failed``, ``hellos_refused``, ``links_replaced``,
        ``suspicions``.
    """

    def __init__(
        self,
        network: Network,
        node: Node,
        listen: Address,
        key: bytes,
        seeds: Iterable[Address],
        handlers: Handlers,
        plan: LinkPlan | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.network = network
        self.node = node
        self.listen = listen
        self.seeds = list(seeds)
        self.plan = LinkPlan() if plan is None else plan
        self.rng = random.Random() if rng is None else rng
        self.table = PeerTable(
            PeerRecord(node.name, node.zone, node.incarnation, str(listen))
        )
        self.peers: dict[str, Peer] = {}
        self.targets: set[str] = set()
        self.entries: list[MessageLink] = []
        self.on_entry_link: list[EntryLinkHandler] = []
        self.dialler = PeerDialler(network, key, self.table, handlers)
        self.traffic = self.dialler.traffic
        self.counters = self.dialler.counters
        self.changes = 0
        self.live: list[Node] = []
        self.changed = trio.Event()
        self.touched = trio.Event()
        self.nursery: trio.Nursery | None = None
        self.forwarder = Forwarder(
            node, handlers, self.best_link, self.linked, self.nodes, self.plan
        )
        self.gossip = PeerGossip(
            self.table, handlers, self.linked, self.send, self.note_record, self.rng
        )
        handlers.on(PeerProbe)(self.handle_probe)

    # What others ask of it.

    def nodes(self) -> list[Node]:
        """Return the other nodes that seem to live."""
        return self.live

    def is_live(self, name: str) -> bool:
        """Tell whether a node seems to live; a hint."""
        return any(node.name == name for node in self.live)

    def linked(self) -> list[Node]:
        """Return the nodes with a usable link."""
        ends = [peer.best() for peer in self.peers.values()]
        return [end.link.hello.node for end in ends if end is not None]

    def linked_to(self, name: str) -> bool:
        """Tell whether there is a usable link to a node."""
        return self.best_link(name) is not None

    def best_link(self, name: str) -> MessageLink | None:
        """Return the link to use to a node, or None."""
        peer = self.peers.get(name)
        end = None if peer is None else peer.best()
        return None if end is None else end.link

    def queued_bytes(self) -> int:
        """Return how many bytes wait to be written to all links."""
        ends = [end for peer in self.peers.values() for end in peer.links]
        return sum(len(end.link.output) for end in ends)

    async def call(
        self, name: str, value: Message, timeout_s: float
    ) -> Message | CallFailed:
        """Call a node, by its own link or through other nodes.

        Parameters
        ----------
        name : str
            The node.
        value : Message
            The message.
        timeout_s : float
            Bound on the wait, in seconds.

        Returns
        -------
        answer : Message or CallFailed
            The answer, or why there is none.
        """
        link = self.best_link(name)
        if link is None:
            return await self.forwarder.call(name, value, timeout_s)
        return await link.call(value, timeout_s)

    async def call_around(
        self, name: str, value: Message, timeout_s: float
    ) -> Message | CallFailed:
        """Call a node through other nodes, past a link that gives no answer.

        For messages that may be handled twice; parameters as for `call`.
        """
        return await self.forwarder.call(name, value, timeout_s, around=True)

    async def send(self, name: str, value: Message) -> bool:
        """Send a message that needs no answer.

        Parameters
        ----------
        name : str
            The node.
        value : Message
            The message.

        Returns
        -------
        sent : bool
            False where there is no way to the node; True is no proof of arrival.
        """
        link = self.best_link(name)
        if link is None:
            return await self.forwarder.send(name, value)
        return await link.send(value)

    async def broadcast(self, value: Message, zone: str | None = None) -> None:
        """Send a message to every live node, or to those of one zone."""
        nodes = [n.name for n in self.nodes() if zone is None or n.zone == zone]
        await self.send_all(nodes, value)

    async def send_all(self, names: Iterable[str], value: Message) -> None:
        """Send a message to several nodes, encoded once; a slow one holds up no other.

        Parameters
        ----------
        names : iterable of str
            The nodes; this one is left out.
        value : Message
            The message, which needs no answer.
        """
        payload = encode_message(value)
        slow = []
        for name in names:
            link = self.best_link(name)
            is_own = name == self.node.name
            if not is_own and (link is None or not link.put(value.kind, payload)):
                slow.append(name)
        if not slow:
            return
        async with trio.open_nursery() as nursery:
            for name in slow:
                nursery.start_soon(self.send, name, value)

    async def wait_changed(self, after: int) -> int:
        """Wait until the live nodes differ from what they were.

        Parameters
        ----------
        after : int
            What this method returned last; 0 at first.

        Returns
        -------
        changes : int
            Number of changes up to now.
        """
        while self.changes <= after:
            await self.changed.wait()
        return self.changes

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Look for nodes at more addresses, such as the platform's list gives."""
        for seed in seeds:
            if seed not in self.seeds:
                self.seeds.append(seed)
                if self.nursery is not None:
                    self.nursery.start_soon(self.run_seed, seed)

    # Its tasks.

    async def run(
        self, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept and keep links until cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Told the bound address.
        """
        async with trio.open_nursery() as self.nursery:
            listen = self.network.listen
            self.listen = await self.nursery.start(listen, self.listen, self.accept)
            self.table.own.address = str(self.listen)
            for seed in self.seeds:
                self.nursery.start_soon(self.run_seed, seed)
            self.nursery.start_soon(self.gossip.run)
            self.nursery.start_soon(self.run_table)
            task_status.started(self.listen)

    async def leave(self) -> None:
        """Say goodbye, so that nobody has to find out."""
        await self.gossip.announce_leave()
        async with trio.open_nursery() as nursery:
            for node in self.linked():
                nursery.start_soon(self.best_link(node.name).flush, GOODBYE_S)
        # The end of a link cancels what its other end has still to handle. A goodbye
        # that the connection's end follows at once is lost, and the node suspected;
        # a moment between the two lets it be handled.
        await trio.sleep(GOODBYE_LINGER_S)

    async def run_seed(self, address: Address) -> None:
        """Look for a node at an address until one is known there."""
        failures = 0
        while address != self.listen:
            if self.is_known(address) or await self.dial(address) is not None:
                failures = 0
                await trio.sleep(SEED_PAUSE_S)
            else:
                failures += 1
                await trio.sleep(full_jitter(failures, self.rng))

    def is_known(self, address: Address) -> bool:
        """Tell whether a known node, which has its own task, accepts links there."""
        text = str(address)
        return any(record.address == text for record in self.table.records.values())

    async def run_table(self) -> None:
        """Spread what changed, and keep the tasks and the live nodes up to date."""
        while True:
            with trio.move_on_after(TEND_S):
                await self.touched.wait()
            self.touched = trio.Event()
            self.refresh()
            await self.gossip.gossip()
            await trio.sleep(SPREAD_S)

    def refresh(self) -> None:
        """Work out the peers to link to and the live nodes."""
        for name in self.table.forget(trio.current_time()):
            self.log_peer("forgot", name)
        records = self.table.records.values()
        known = [r.node for r in records if r.state != PeerState.LEFT]
        live = self.table.live_nodes()
        # Links to suspected nodes are tried too, or a healed partition would
        # never be noticed.
        targets = link_targets(self.node, live, self.plan)
        targets |= link_targets(self.node, known, self.plan)
        newly_wanted = (targets - self.targets) & self.peers.keys()
        self.targets = targets
        for name in newly_wanted:
            self.peers[name].wake()
        for name in self.table.records:
            if name not in self.peers:
                self.peers[name] = Peer(self.node.name, name)
                self.nursery.start_soon(self.run_peer, self.peers[name])
        self.update_live_nodes()

    def update_live_nodes(self) -> None:
        """Tell those who wait when the live nodes are others."""
        nodes = {node.name: node for node in self.table.live_nodes()}
        for node in self.linked():
            record = self.table.records.get(node.name)
            if record is not None and record.state != PeerState.LEFT:
                nodes[node.name] = node
        live = sorted(nodes.values(), key=lambda node: node.name)
        if live != self.live:
            self.live = live
            self.changes += 1
            self.changed.set()
            self.changed = trio.Event()

    async def run_peer(self, peer: Peer) -> None:
        """Keep a link to one peer while it is known."""
        failures = 0
        while peer.name in self.table.records or peer.links:
            best = peer.best()
            if best is not None:
                if best.link.age_s() > STABLE_S:
                    failures = 0
                self.counters["links_replaced"] += peer.clean_up()
                if not self.wants_link(peer):
                    peer.close_unwanted()
                await peer.wait(max(SHORTEST_S, SILENT_S - best.link.silence_s()))
            elif self.wants_link(peer):
                await self.reconnect(peer, failures)
                failures += 1
            else:
                # Most nodes of a large region are such peers; a look at each of them
                # every second would cost more than all links. `refresh` wakes those
                # that are wanted.
                peer.close_all("silent")
                await peer.wait(IDLE_S)
        del self.peers[peer.name]

    def wants_link(self, peer: Peer) -> bool:
        """Tell whether this node keeps a link to a peer."""
        record = self.table.records.get(peer.name)
        if record is None or record.state == PeerState.LEFT or self.gossip.has_left:
            return False
        return peer.name in self.targets

    async def reconnect(self, peer: Peer, failures: int) -> None:
        """Open a fresh link, after a pause if the last one came to nothing.

        A peer that takes links and ends them at once, as one does with an older
        incarnation, would otherwise be dialled without a pause.
        """
        if failures:
            await peer.wait(full_jitter(failures, self.rng))
        if not peer.usable() and not await self.connect(peer):
            await self.doubt(peer)

    async def connect(self, peer: Peer) -> bool:
        """Open a fresh link to a peer.

        An open connection can go silent for good while new ones work, so this
        comes before any suspicion.
        """
        record = self.table.records.get(peer.name)
        if record is None:
            return False
        hello = await self.dial(Address.from_text(record.address))
        return hello is not None and hello.name == peer.name

    async def doubt(self, peer: Peer) -> None:
        """Suspect a peer that cannot be reached, unless others reach it."""
        record = self.table.records.get(peer.name)
        if record is None or record.state != PeerState.LIVE or peer.usable():
            return
        answer = await self.forwarder.call(peer.name, PeerProbe(), PROBE_TIMEOUT_S)
        if isinstance(answer, PeerAlive) or peer.usable():
            return
        if self.table.suspect(peer.name, trio.current_time()):
            self.counters["suspicions"] += 1
            self.log_peer("suspects", peer.name)
            self.touch()

    # Links.

    async def dial(self, address: Address) -> Hello | None:
        """Open a link; return the other end's hello, or None."""
        link = await self.dialler.dial(address)
        if link is None:
            return None
        self.nursery.start_soon(self.run_link, self.adopt(link, is_dialled=True))
        return link.hello

    async def accept(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve a link that another process dialled."""
        link = await self.dialler.accept(stream)
        if link is None:
            return
        if link.hello.role == ENTRY_ROLE:
            await self.run_entry_link(link)
        else:
            await self.run_link(self.adopt(link, is_dialled=False))

    def adopt(self, link: MessageLink, is_dialled: bool) -> LinkEnd:
        """Take a new link in."""
        hello = link.hello
        record = PeerRecord(hello.name, hello.zone, hello.incarnation, hello.address)
        self.table.merge(record, trio.current_time())
        end = LinkEnd(link, is_dialled)
        peer = self.peers.get(hello.name)
        if peer is None:
            peer = self.peers[hello.name] = Peer(self.node.name, hello.name)
            self.nursery.start_soon(self.run_peer, peer)
        # The process of an earlier incarnation is dead; its link may stay open.
        peer.close_all("newer incarnation", before_incarnation=hello.incarnation)
        peer.add(end)
        self.touch()
        return end

    async def run_link(self, end: LinkEnd) -> None:
        """Exchange messages with a peer until the link ends."""
        peer = self.peers[end.link.hello.name]
        try:
            await self.gossip.start_comparison(end.link)
            await end.link.run()
        finally:
            peer.remove(end)
            self.touch()

    async def run_entry_link(self, link: MessageLink) -> None:
        """Exchange messages with an entry of this node until the link ends."""
        self.entries.append(link)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.close_when_silent, ENTRY_SILENT_S)
                for handler in self.on_entry_link:
                    nursery.start_soon(handler, link)
                await link.run()
                nursery.cancel_scope.cancel()
        finally:
            self.entries.remove(link)

    def note_record(self, record: PeerRecord) -> None:
        """Act on a record that changed."""
        peer = self.peers.get(record.name)
        if peer is not None:
            if record.state == PeerState.LEFT:
                peer.close_all("left")
            peer.wake()
        self.touch()

    async def handle_probe(self, value: PeerProbe, link: MessageLink) -> PeerAlive:
        """Show that this node is there."""
        return PeerAlive()

    def touch(self) -> None:
        """Let the table's task look at once."""
        self.touched.set()

    def log_peer(self, text: str, name: str) -> None:
        """Write a log line about a peer."""
        LOG.info(text, peer=name)

    def suspected(self) -> list[str]:
        """Return the names of nodes that are known and cannot be reached."""
        return [
            record.name
            for record in self.table.records.values()
            if record.state == PeerState.SUSPECT and not self.is_live(record.name)
        ]

    def status(self) -> list[dict]:
        """Return the nodes as the status call shows them."""
        linked = {node.name for node in self.linked()}
        return [
            {
                "name": record.name,
                "zone": record.zone,
                "incarnation": record.incarnation,
                "address": record.address,
                "state": PeerState(record.state).name.lower(),
                "live": self.is_live(record.name),
                "linked": record.name in linked,
            }
            for record in sorted(self.table.records.values(), key=attrgetter("name"))
        ]
