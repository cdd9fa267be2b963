"""Membership: the other nodes, and the links to them.

One task for each peer dials it, notices when its link falls silent and replaces the
link. What is known of nodes spreads over the links. All of it is a hint: that a node
is suspected gives nobody a right.
"""

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from operator import attrgetter

import trio

from rosemaryknot.connection.links import (
    CallFailed,
    Handlers,
    Hello,
    LinkClosed,
    MessageLink,
    Traffic,
    accept_link,
    open_link,
)
from rosemaryknot.connection.network import Network
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peer import LinkEnd, Peer, full_jitter
from rosemaryknot.process.peer_forwarding import Forwarder
from rosemaryknot.process.peer_links import LinkPlan, link_targets
from rosemaryknot.process.peer_table import PeerTable
from rosemaryknot.values.messages import Message
from rosemaryknot.values.nodes import Address, Node
from rosemaryknot.values.peers import (
    PeerAlive,
    PeerDigest,
    PeerProbe,
    PeerRecord,
    PeerRecords,
    PeerState,
)

__all__ = ["PeerSet"]

LOG = logger("peers")

TEND_S = 1.0
STABLE_S = 1.0
SPREAD_S = 0.05
GOSSIP_S = 5.0
PROBE_TIMEOUT_S = 1.0
SEED_PAUSE_S = 5.0
GOODBYE_S = 1.0

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
        self.key = key
        self.seeds = list(seeds)
        self.handlers = handlers
        self.plan = LinkPlan() if plan is None else plan
        self.rng = random.Random() if rng is None else rng
        self.table = PeerTable(
            PeerRecord(node.name, node.zone, node.incarnation, str(listen))
        )
        self.peers: dict[str, Peer] = {}
        self.targets: set[str] = set()
        self.entries: list[MessageLink] = []
        self.on_entry_link: list[EntryLinkHandler] = []
        self.traffic = Traffic()
        self.counters: Counter[str] = Counter()
        self.changes = 0
        self.live: list[Node] = []
        self.changed = trio.Event()
        self.touched = trio.Event()
        self.is_leaving = False
        self.nursery: trio.Nursery | None = None
        self.forwarder = Forwarder(
            node, handlers, self.best_link, self.linked, self.nodes, self.plan
        )
        handlers.on(PeerRecords)(self.handle_records)
        handlers.on(PeerDigest)(self.handle_digest)
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
        async with trio.open_nursery() as nursery:
            for node in self.nodes():
                if zone is None or node.zone == zone:
                    nursery.start_soon(self.send, node.name, value)

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
            self.nursery.start_soon(self.run_gossip)
            self.nursery.start_soon(self.run_table)
            task_status.started(self.listen)

    async def leave(self) -> None:
        """Say goodbye, so that nobody has to find out."""
        self.is_leaving = True
        own = self.table.own
        own.sequence += 1
        own.state = PeerState.LEFT
        own.suspect_since_s = trio.current_time()
        farewell = PeerRecords([own.to_fields(trio.current_time())])
        async with trio.open_nursery() as nursery:
            for peer in self.peers.values():
                end = peer.best()
                if end is not None:
                    await end.link.send(farewell)
                    nursery.start_soon(end.link.flush, GOODBYE_S)

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
            await self.spread()
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
        self.targets = link_targets(self.node, live, self.plan)
        self.targets |= link_targets(self.node, known, self.plan)
        for name in self.table.records:
            if name not in self.peers:
                self.peers[name] = Peer(self.node.name, name)
                self.nursery.start_soon(self.run_peer, self.peers[name])
        self.note_live()

    def note_live(self) -> None:
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

    async def spread(self) -> None:
        """Send the records that changed over every link."""
        records = self.table.take_unspread()
        if not records:
            return
        now_s = trio.current_time()
        value = PeerRecords([record.to_fields(now_s) for record in records])
        async with trio.open_nursery() as nursery:
            for node in self.linked():
                nursery.start_soon(self.send, node.name, value)

    async def run_gossip(self) -> None:
        """Compare the table with a peer's now and then: spreading may lose records."""
        while True:
            await trio.sleep(self.rng.uniform(0.5, 1.5) * GOSSIP_S)
            linked = self.linked()
            if linked and not self.is_leaving:
                node = self.rng.choice(linked)
                await self.send(node.name, PeerDigest(self.table.digest()))

    async def run_peer(self, peer: Peer) -> None:
        """Keep a link to one peer while it is known."""
        failures = 0
        while peer.name in self.table.records or peer.links:
            best = peer.best()
            if best is not None:
                if best.link.age_s() > STABLE_S:
                    failures = 0
                self.counters["links_replaced"] += peer.tidy()
                if not self.wants_link(peer):
                    peer.close_unwanted()
                await peer.wait(TEND_S)
            elif self.wants_link(peer):
                await self.reconnect(peer, failures)
                failures += 1
            else:
                peer.close_all("silent")
                await peer.wait(TEND_S)
        del self.peers[peer.name]

    def wants_link(self, peer: Peer) -> bool:
        """Tell whether this node keeps a link to a peer."""
        record = self.table.records.get(peer.name)
        if record is None or record.state == PeerState.LEFT or self.is_leaving:
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

    def hello(self) -> Hello:
        """Return what this node says of itself."""
        node = self.node
        address = self.table.own.address
        return Hello(
            node.name, node.zone, node.incarnation, "agent", b"", address=address
        )

    async def dial(self, address: Address) -> Hello | None:
        """Open a link; return the other end's hello, or None."""
        self.counters["dials"] += 1
        try:
            stream = await self.network.dial(address)
        except OSError:
            self.counters["dials_failed"] += 1
            return None
        try:
            link = await open_link(
                stream, self.key, self.hello(), self.handlers, self.traffic
            )
        except LinkClosed as error:
            self.refuse(str(error))
            await trio.aclose_forcefully(stream)
            return None
        if not self.admit(link):
            await trio.aclose_forcefully(stream)
            return None
        self.nursery.start_soon(self.run_link, self.adopt(link, is_dialled=True))
        return link.hello

    async def accept(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve a link that another process dialled."""
        try:
            link = await accept_link(
                stream, self.key, self.hello(), self.handlers, self.traffic
            )
        except LinkClosed as error:
            self.refuse(str(error))
            return
        if link.hello.role == "entry":
            await self.run_entry_link(link)
        elif self.admit(link):
            await self.run_link(self.adopt(link, is_dialled=False))

    def refuse(self, reason: str) -> None:
        """Count a link that did not come about."""
        self.counters["hellos_refused"] += 1
        LOG.warning("refused a link", reason=reason)

    def admit(self, link: MessageLink) -> bool:
        """Tell whether a link may stay: not to oneself, not of a dead process."""
        node = link.hello.node
        if node.name == self.node.name:
            if node.incarnation > self.node.incarnation:
                self.table.newer_self += 1
            return False
        if self.table.is_older(node):
            self.refuse(f"older incarnation of {node.name}")
            return False
        return True

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
            await end.link.send(PeerDigest(self.table.digest()))
            await end.link.run()
        finally:
            peer.remove(end)
            self.touch()

    async def run_entry_link(self, link: MessageLink) -> None:
        """Exchange messages with an entry of this node until the link ends."""
        self.entries.append(link)
        try:
            async with trio.open_nursery() as nursery:
                for handler in self.on_entry_link:
                    nursery.start_soon(handler, link)
                await link.run()
                nursery.cancel_scope.cancel()
        finally:
            self.entries.remove(link)

    # Messages.

    async def handle_records(self, value: PeerRecords, link: MessageLink) -> None:
        """Take in what another node says of the nodes."""
        now_s = trio.current_time()
        if not isinstance(value.records, list):
            return
        for fields in value.records:
            record = PeerRecord.from_fields(fields, now_s)
            if record is not None and self.table.merge(record, now_s):
                self.note_record(record)

    def note_record(self, record: PeerRecord) -> None:
        """Act on a record that changed."""
        peer = self.peers.get(record.name)
        if peer is not None and record.state == PeerState.LEFT:
            peer.close_all("left")
        self.touch()

    async def handle_digest(self, value: PeerDigest, link: MessageLink) -> None:
        """Send all records to a peer whose table differs."""
        if value.digest == self.table.digest() or self.is_leaving:
            return
        now_s = trio.current_time()
        records = [r.to_fields(now_s) for r in self.table.all_records()]
        await link.send(PeerRecords(records))

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
