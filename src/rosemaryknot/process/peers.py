"""Cluster membership: the other nodes and the links to them.

One task for each peer dials it, detects a silent link and replaces it. Membership
records are gossiped over the links. They are hints only: no correctness decision may
rely on a node being suspected.
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
from rosemaryknot.process.background_tasks import BackgroundTasks, supervise
from rosemaryknot.process.connection_slots import ConnectionSlots
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peer import SILENCE_TIMEOUT_S, LinkEnd, Peer, full_jitter
from rosemaryknot.process.peer_dialler import ENTRY_ROLE, RELAY_ROLE, PeerDialler
from rosemaryknot.process.peer_forwarding import Forwarder
from rosemaryknot.process.peer_gossip import PeerGossip
from rosemaryknot.process.peer_links import LinkPlan, select_link_targets
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

REFRESH_INTERVAL_S = 1.0
IDLE_CHECK_INTERVAL_S = 10.0
# A shorter wait might not advance the clock, and the loop would spin indefinitely.
MIN_WAIT_S = 0.01
STABLE_LINK_AGE_S = 1.0
GOSSIP_DELAY_S = 0.05
PROBE_TIMEOUT_S = 1.0
SEED_CHECK_INTERVAL_S = 5.0
# Connections on which the cluster key is not proved yet. A handshake takes
# milliseconds, also where all nodes of a large deployment connect to a seed.
MAX_HANDSHAKES = 512
LEAVE_FLUSH_TIMEOUT_S = 1.0
LEAVE_LINGER_S = 0.1
ENTRY_SILENCE_TIMEOUT_S = 5.0

LinkHandler = Callable[[MessageLink], Awaitable[None]]


class PeerSet:
    """The other nodes of the region.

    Parameters
    ----------
    network : Network
        Accepts and opens connections.
    node : Node
        This node, with the incarnation of this process.
    listen : Address
        Address to accept links at; port 0 selects a free port.
    key : bytes
        Cluster key.
    seeds : iterable of Address
        Addresses at which to discover nodes initially.
    handlers : Handlers
        Message handlers; this class registers its own.
    plan : LinkPlan, optional
        Link topology parameters.
    rng : random.Random, optional
        Source of jitter.

    Attributes
    ----------
    entries : list of MessageLink
        Links of the entry processes of this node.
    on_entry_link : list of callable
        Async functions called with each new link of an entry, each in a task that
        is cancelled when the link closes.
    on_relay : callable or None
        Async function called with each connection that another node wants to be
        relayed to a backend server.
    traffic : Traffic
        Messages and bytes of all links by message kind.
    handshakes : ConnectionSlots
        Bound on the connections that have not proved the cluster key.
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
            PeerRecord(
                node.name,
                node.zone,
                node.incarnation,
                str(listen),
                capacity=node.capacity,
            )
        )
        self.peers: dict[str, Peer] = {}
        self.targets: set[str] = set()
        self.entries: list[MessageLink] = []
        self.on_entry_link: list[LinkHandler] = []
        self.on_relay: LinkHandler | None = None
        self.dialler = PeerDialler(network, key, self.table, handlers)
        self.traffic = self.dialler.traffic
        self.counters = self.dialler.counters
        self.handshakes = ConnectionSlots(MAX_HANDSHAKES)
        self.changes = 0
        self.live: list[Node] = []
        self.changed = trio.Event()
        self.refresh_requested = trio.Event()
        self.tasks = BackgroundTasks()
        self.forwarder = Forwarder(
            node, handlers, self.best_link, self.linked, self.nodes, self.plan
        )
        self.gossip = PeerGossip(
            self.table,
            handlers,
            self.linked,
            self.send,
            self.handle_record_change,
            self.rng,
        )
        handlers.on(PeerProbe)(self.handle_probe)

    # Queries and messaging

    def nodes(self) -> list[Node]:
        """Return the other nodes that are believed to be alive."""
        return self.live

    def is_live(self, name: str) -> bool:
        """Return whether a node is believed to be alive; a hint."""
        return any(node.name == name for node in self.live)

    def linked(self) -> list[Node]:
        """Return the nodes with a usable link."""
        ends = [peer.best() for peer in self.peers.values()]
        return [end.link.hello.node for end in ends if end is not None]

    def linked_to(self, name: str) -> bool:
        """Return whether there is a usable link to a node."""
        return self.best_link(name) is not None

    def best_link(self, name: str) -> MessageLink | None:
        """Return the preferred link to a node, or None."""
        peer = self.peers.get(name)
        end = None if peer is None else peer.best()
        return None if end is None else end.link

    def is_out_of_reach(self, node: Node) -> bool:
        """Return whether a node did not respond, or was out of reach, a moment ago."""
        return self.forwarder.memory.is_out_of_reach(node)

    def queued_bytes(self) -> int:
        """Return the number of bytes queued for writing on all links."""
        ends = [end for peer in self.peers.values() for end in peer.links]
        return sum(end.link.queued_bytes() for end in ends)

    def address_of(self, name: str) -> Address | None:
        """Return the address at which a node accepts links, or None if unknown."""
        record = self.table.records.get(name)
        if record is None or not record.address:
            return None
        return Address.from_text(record.address)

    async def call(
        self, name: str, value: Message, timeout_s: float
    ) -> Message | CallFailed:
        """Call a node over a direct link, or through other nodes if there is none.

        Parameters
        ----------
        name : str
            Name of the node.
        value : Message
            The message.
        timeout_s : float
            Timeout in seconds.

        Returns
        -------
        response : Message or CallFailed
            The response, or why there is none.
        """
        link = self.best_link(name)
        if link is None:
            return await self.forwarder.call(name, value, timeout_s)
        response = await link.call(value, timeout_s)
        if isinstance(response, CallFailed) and response.reason == "timeout":
            self.forwarder.memory.nodes.record(name)
        return response

    async def call_via_peers(
        self, name: str, value: Message, timeout_s: float
    ) -> Message | CallFailed:
        """Call a node through other nodes, bypassing an unresponsive direct link.

        Only for idempotent messages; parameters as for `call`.
        """
        return await self.forwarder.call(name, value, timeout_s, skip_direct=True)

    async def send(self, name: str, value: Message) -> bool:
        """Send a message that needs no response.

        Parameters
        ----------
        name : str
            Name of the node.
        value : Message
            The message.

        Returns
        -------
        sent : bool
            False if there is no route to the node. True does not confirm delivery.
        """
        link = self.best_link(name)
        if link is None:
            return await self.forwarder.send(name, value)
        return await link.send(value)

    async def broadcast(self, value: Message, zone: str | None = None) -> None:
        """Send a message to all live nodes, or to those of one zone."""
        nodes = [n.name for n in self.nodes() if zone is None or n.zone == zone]
        await self.send_all(nodes, value)

    async def send_all(self, names: Iterable[str], value: Message) -> None:
        """Send a message, encoded once, to several nodes concurrently.

        A slow node does not delay the others.

        Parameters
        ----------
        names : iterable of str
            Names of the nodes; this node is skipped.
        value : Message
            The message, which needs no response.
        """
        payload = encode_message(value)
        unsent = []
        for name in names:
            link = self.best_link(name)
            is_own = name == self.node.name
            if not is_own and (link is None or not link.put(value.kind, payload)):
                unsent.append(name)
        if not unsent:
            return
        async with trio.open_nursery() as nursery:
            for name in unsent:
                nursery.start_soon(self.send, name, value)

    async def wait_changed(self, after: int) -> int:
        """Wait until the set of live nodes changes.

        Parameters
        ----------
        after : int
            Return value of the previous call; 0 for the first call.

        Returns
        -------
        changes : int
            Number of changes so far.
        """
        while self.changes <= after:
            await self.changed.wait()
        return self.changes

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Add addresses at which to discover nodes, such as from the platform."""
        for seed in seeds:
            if seed not in self.seeds:
                self.seeds.append(seed)
                self.tasks.start_soon(self.run_seed, seed)

    # Tasks

    async def run(
        self, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept and maintain links until cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Receives the bound address.
        """
        async with self.tasks.open() as nursery:
            listen = self.network.listen
            self.listen = await nursery.start(listen, self.listen, self.accept)
            self.table.own.address = str(self.listen)
            for seed in self.seeds:
                nursery.start_soon(supervise, self.run_seed, seed)
            nursery.start_soon(supervise, self.gossip.run)
            nursery.start_soon(supervise, self.maintain_table)
            task_status.started(self.listen)
            await trio.sleep_forever()

    async def leave(self) -> None:
        """Announce that this node leaves, so that others need not detect it."""
        await self.gossip.announce_leave()
        async with trio.open_nursery() as nursery:
            for node in self.linked():
                nursery.start_soon(
                    self.best_link(node.name).flush, LEAVE_FLUSH_TIMEOUT_S
                )
        # Closing a link cancels the messages that the other end has not yet handled.
        # If the connection closed immediately after the leave message, the message
        # would be lost and the node suspected; the delay lets it be handled first.
        await trio.sleep(LEAVE_LINGER_S)

    async def run_seed(self, address: Address) -> None:
        """Dial an address until a node is known there, and again if it is removed."""
        failures = 0
        while address != self.listen:
            if self.is_known(address) or await self.dial(address) is not None:
                failures = 0
                await trio.sleep(SEED_CHECK_INTERVAL_S)
            else:
                failures += 1
                await trio.sleep(full_jitter(failures, self.rng))

    def is_known(self, address: Address) -> bool:
        """Return whether a known node, which has its own task, has this address."""
        text = str(address)
        return any(record.address == text for record in self.table.records.values())

    async def maintain_table(self) -> None:
        """Gossip changed records, and update the peer tasks and the live nodes."""
        while True:
            with trio.move_on_after(REFRESH_INTERVAL_S):
                await self.refresh_requested.wait()
            self.refresh_requested = trio.Event()
            self.refresh()
            await self.gossip.gossip()
            await trio.sleep(GOSSIP_DELAY_S)

    def refresh(self) -> None:
        """Update the link targets, the peer tasks and the live nodes."""
        for name in self.table.evict_expired(trio.current_time()):
            self.log_peer_event("removed expired record", name)
        records = self.table.records.values()
        not_left = [r.node for r in records if r.state != PeerState.LEFT]
        live = self.table.live_nodes()
        # Suspected nodes are dialled too, or the end of a network partition would
        # never be detected.
        targets = select_link_targets(self.node, live, self.plan)
        targets |= select_link_targets(self.node, not_left, self.plan)
        newly_needed = (targets - self.targets) & self.peers.keys()
        self.targets = targets
        for name in newly_needed:
            self.peers[name].wake()
        for name in self.table.records:
            if name not in self.peers:
                self.peers[name] = Peer(self.node.name, name)
                self.tasks.start_soon(self.run_peer, self.peers[name])
        self.update_live_nodes()

    def update_live_nodes(self) -> None:
        """Update the live nodes and wake waiters if they changed."""
        nodes = {node.name: node for node in self.table.live_nodes()}
        for node in self.linked():
            record = self.table.records.get(node.name)
            if record is not None and record.state != PeerState.LEFT:
                nodes[node.name] = node
        live = sorted(nodes.values(), key=lambda node: node.name)
        # Nodes whose capacity has become known are equal to what they were.
        before = [(node, node.capacity) for node in self.live]
        if [(node, node.capacity) for node in live] != before:
            self.live = live
            self.changes += 1
            self.changed.set()
            self.changed = trio.Event()

    async def run_peer(self, peer: Peer) -> None:
        """Maintain a link to one peer while it has a record."""
        failures = 0
        while peer.name in self.table.records or peer.links:
            best = peer.best()
            if best is not None:
                if best.link.age_s() > STABLE_LINK_AGE_S:
                    failures = 0
                self.counters["links_replaced"] += peer.clean_up()
                if not self.needs_link(peer):
                    peer.close_unneeded()
                await peer.wait(
                    max(MIN_WAIT_S, SILENCE_TIMEOUT_S - best.link.silence_s())
                )
            elif self.needs_link(peer):
                await self.reconnect(peer, failures)
                failures += 1
            else:
                # Most nodes of a large region need no link. Checking each of them
                # every second would cost more than all links; `refresh` wakes those
                # that need one.
                peer.close_all("silent")
                await peer.wait(IDLE_CHECK_INTERVAL_S)
        del self.peers[peer.name]

    def needs_link(self, peer: Peer) -> bool:
        """Return whether this node should have a link to a peer."""
        record = self.table.records.get(peer.name)
        if record is None or record.state == PeerState.LEFT or self.gossip.has_left:
            return False
        return peer.name in self.targets

    async def reconnect(self, peer: Peer, failures: int) -> None:
        """Open a new link, with backoff if the last attempt failed.

        Without backoff, a peer that accepts links and closes them immediately, as it
        does for an older incarnation, would be dialled in a tight loop.
        """
        if failures:
            await peer.wait(full_jitter(failures, self.rng))
        if not peer.usable() and not await self.connect(peer):
            await self.confirm_unreachable(peer)

    async def connect(self, peer: Peer) -> bool:
        """Open a new link to a peer.

        An open connection can go silent permanently while new connections work, so
        a new one is attempted before the peer is suspected.
        """
        record = self.table.records.get(peer.name)
        if record is None:
            return False
        hello = await self.dial(Address.from_text(record.address))
        return hello is not None and hello.name == peer.name

    async def confirm_unreachable(self, peer: Peer) -> None:
        """Suspect an unreachable peer unless other nodes can reach it."""
        record = self.table.records.get(peer.name)
        if record is None or record.state != PeerState.LIVE or peer.usable():
            return
        response = await self.forwarder.call(peer.name, PeerProbe(), PROBE_TIMEOUT_S)
        if isinstance(response, PeerAlive) or peer.usable():
            return
        if self.table.suspect(peer.name, trio.current_time()):
            self.counters["suspicions"] += 1
            self.log_peer_event("suspecting unreachable node", peer.name)
            self.request_refresh()

    # Links

    async def dial(self, address: Address) -> Hello | None:
        """Open a link; return the hello of the other end, or None on failure."""
        link = await self.dialler.dial(address)
        if link is None:
            return None
        self.tasks.start_soon(self.run_link, self.add_link(link, is_dialled=True))
        return link.hello

    async def accept(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve a link that another process dialled."""
        link = None
        with self.handshakes.hold():
            link = await self.dialler.accept(stream)
        if link is None:
            return
        if link.hello.role == ENTRY_ROLE:
            await self.run_entry_link(link)
        elif link.hello.role == RELAY_ROLE:
            if self.on_relay is not None:
                await self.on_relay(link)
        else:
            await self.run_link(self.add_link(link, is_dialled=False))

    def add_link(self, link: MessageLink, is_dialled: bool) -> LinkEnd:
        """Register a new link and the record of the node at its other end."""
        hello = link.hello
        record = PeerRecord(
            hello.name,
            hello.zone,
            hello.incarnation,
            hello.address,
            capacity=hello.capacity,
        )
        self.table.merge(record, trio.current_time())
        end = LinkEnd(link, is_dialled)
        peer = self.peers.get(hello.name)
        if peer is None:
            peer = self.peers[hello.name] = Peer(self.node.name, hello.name)
            self.tasks.start_soon(self.run_peer, peer)
        # The process of an earlier incarnation has ended; its link may still be open.
        peer.close_all("newer incarnation", before_incarnation=hello.incarnation)
        peer.add(end)
        self.request_refresh()
        return end

    async def run_link(self, end: LinkEnd) -> None:
        """Exchange messages with a peer until the link closes."""
        peer = self.peers[end.link.hello.name]
        try:
            await self.gossip.start_comparison(end.link)
            await end.link.run()
        finally:
            peer.remove(end)
            self.request_refresh()

    async def run_entry_link(self, link: MessageLink) -> None:
        """Exchange messages with an entry of this node until the link closes."""
        self.entries.append(link)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.close_when_silent, ENTRY_SILENCE_TIMEOUT_S)
                for handler in self.on_entry_link:
                    nursery.start_soon(handler, link)
                await link.run()
                nursery.cancel_scope.cancel()
        finally:
            self.entries.remove(link)

    def handle_record_change(self, record: PeerRecord) -> None:
        """Close links or wake the peer task after a record changed."""
        peer = self.peers.get(record.name)
        if peer is not None:
            if record.state == PeerState.LEFT:
                peer.close_all("left")
            peer.wake()
        self.request_refresh()

    async def handle_probe(self, value: PeerProbe, link: MessageLink) -> PeerAlive:
        """Respond that this node is alive."""
        return PeerAlive()

    def request_refresh(self) -> None:
        """Wake the table maintenance task immediately."""
        self.refresh_requested.set()

    def log_peer_event(self, text: str, name: str) -> None:
        """Write a log line about a peer."""
        LOG.info(text, peer=name)

    def suspected(self) -> list[str]:
        """Return the names of known nodes that cannot be reached."""
        return [
            record.name
            for record in self.table.records.values()
            if record.state == PeerState.SUSPECT and not self.is_live(record.name)
        ]

    def status(self) -> list[dict]:
        """Return the nodes in the format of the status call."""
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
