"""Distributes the state of the backend servers among agents and entries.

A few agents of each zone watch the platform. A mark, which says that a server is
draining, is sent to every node at once, through relays in a large deployment. All other
state is compared with a peer periodically and fetched if it differs, which also makes
up for lost marks.
"""

import random
from collections.abc import Iterable
from dataclasses import replace

import trio
import xxhash

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.configuration_distributor import select_nodes
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.relay_broadcast import Items, PlanRelays, RelayBroadcast
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.values.control import (
    LeavingMarkApplied,
    ServersFetch,
    ServersUnchanged,
)
from rosemaryknot.values.messages import Message
from rosemaryknot.values.servers import LeavingMark, ServersPush

__all__ = ["ServerDistributor"]

MAX_WATCHERS = 3
WATCHER_SELECTION = "servers"
COMPARE_INTERVAL_S = 2.0
CALL_TIMEOUT_S = 1.0
MARK_TIMEOUT_S = 0.3
LIST_MAX_AGE_S = 4.0
REPEAT_PUSH_S = 7.0
IMMEDIATE_SOURCES = frozenset({"notice", "server", "placement"})

log = logger("servers")


class ServerDistributor:
    """Keeps the table of servers in sync on all nodes.

    Parameters
    ----------
    table : ServerTable
        Servers and marks that this node knows.
    peers : PeerSet
        The other nodes.
    handlers : Handlers
        Handlers of the agent's links; this class adds its own kinds.
    rng : random.Random
        For the choice of peers.

    Attributes
    ----------
    sent_marks : set of str
        Instances whose mark was sent to the peers, or received from them.
    broadcast : RelayBroadcast
        Sends marks by instance in a large deployment.
    """

    def __init__(
        self,
        table: ServerTable,
        peers: PeerSet,
        handlers: Handlers,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.peers = peers
        self.rng = rng
        self.sent_marks: set[str] = set()
        self.broadcast = RelayBroadcast(peers, PlanRelays(peers), marks_of)
        handlers.on(LeavingMark)(self.handle_mark)
        handlers.on(ServersFetch)(self.handle_fetch)
        peers.on_entry_link.append(self.keep_entry_current)

    def is_watcher(self) -> bool:
        """Return whether this node is one of its zone's watchers of the platform."""
        own = self.peers.node
        zone = [node for node in self.peers.nodes() if node.zone == own.zone]
        return own in select_nodes([*zone, own], WATCHER_SELECTION, MAX_WATCHERS)

    def digest(self) -> int:
        """Return a number that is equal on nodes that know the same servers."""
        rows = [
            (s.instance, s.service, s.zone, str(s.state), s.address)
            for s in self.table.servers.values()
        ]
        marks = [
            (name, str(m.state)) for name, m in self.table.marks.by_instance.items()
        ]
        return xxhash.xxh64_intdigest(repr((sorted(rows), sorted(marks))).encode())

    async def run(self) -> None:
        """Send marks and compare tables until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_marks)
            nursery.start_soon(self.broadcast.run)
            nursery.start_soon(self.compare)

    async def send_marks(self) -> None:
        """Send each mark that this node learned of first to all peers."""
        revision = 0
        while True:
            revision = await self.table.wait_changed(revision)
            marks = self.table.leaving_marks()
            self.sent_marks &= {mark.instance for mark in marks}
            for mark in marks:
                if (
                    mark.source in IMMEDIATE_SOURCES
                    and mark.instance not in self.sent_marks
                ):
                    self.sent_marks.add(mark.instance)
                    await self.send_to_all(mark)

    async def send_to_all(self, mark: LeavingMark) -> None:
        """Send one mark to all peers concurrently, or along the tree of relays."""
        if self.broadcast.hubs.is_enabled:
            self.broadcast.add(mark.instance, mark)
            return
        async with trio.open_nursery() as nursery:
            for node in self.peers.nodes():
                nursery.start_soon(self.send_mark, node.name, mark)

    async def send_mark(self, name: str, mark: LeavingMark) -> None:
        """Send a mark to a peer, through another node if the link does not respond.

        A link that has just gone silent is considered usable for several more seconds.
        Until the next comparison of tables, the peer at its other end would send work
        to the draining server.
        """
        response = await self.peers.call(name, mark, MARK_TIMEOUT_S)
        if isinstance(response, CallFailed):
            await self.peers.call_via_peers(name, mark, MARK_TIMEOUT_S)

    async def handle_mark(
        self, mark: LeavingMark, link: MessageLink
    ) -> LeavingMarkApplied:
        """Apply a mark from a peer or from an entry of this node."""
        if link.hello.role != "entry":
            self.sent_marks.add(mark.instance)
            reach = self.broadcast.reach_of(mark, link)
            self.broadcast.forward(mark.instance, mark, reach)
        self.table.apply_mark(mark)
        return LeavingMarkApplied()

    async def handle_fetch(self, fetch: ServersFetch, link: MessageLink) -> Message:
        """Respond to a peer with the servers known here, if its table differs.

        While a server is missing from the lists but not yet dropped, a response that
        the tables are the same would make the peer consider it listed just now. The
        peer would then report it back after this node drops it, and so on indefinitely.
        A push carries the time at which the server was last listed.
        """
        push = self.table.to_push()
        if fetch.digest == self.digest() and not self.table.absent_since_s:
            return ServersUnchanged(push.listed_age_s)
        for mark in self.table.leaving_marks():
            await link.send(mark)
        return push

    async def compare(self) -> None:
        """Compare the table with a random peer periodically."""
        while True:
            names = self.comparison_peers()
            if names:
                await self.compare_with(self.rng.choice(names))
            await trio.sleep(COMPARE_INTERVAL_S * self.rng.uniform(0.75, 1.25))

    def comparison_peers(self) -> list[str]:
        """Return the peers to compare with.

        A node with a current list compares with its directly linked peers, for the
        marks. Otherwise it uses the watchers of its zone, or all nodes if it is itself
        a watcher that cannot reach the platform.
        """
        nodes = self.peers.nodes()
        is_current = trio.current_time() - self.table.listed_s < LIST_MAX_AGE_S
        if not is_current and not self.is_watcher():
            zone = [n for n in nodes if n.zone == self.peers.node.zone]
            nodes = select_nodes(zone, WATCHER_SELECTION, MAX_WATCHERS) or nodes
        elif is_current:
            nodes = self.peers.linked() or nodes
        return [node.name for node in nodes]

    async def compare_with(self, name: str) -> None:
        """Fetch a peer's servers, if they differ."""
        response = await self.peers.call(
            name, ServersFetch(self.digest()), CALL_TIMEOUT_S
        )
        if isinstance(response, ServersUnchanged):
            self.apply_same(response)
        elif isinstance(response, ServersPush):
            self.apply_push(response, name)

    def apply_same(self, same: ServersUnchanged) -> None:
        """Adopt the age of the peer's list, which names the same servers."""
        listed_s = trio.current_time() - same.listed_age_s
        if listed_s > self.table.listed_s:
            seen = [(server, listed_s) for server in self.table.servers.values()]
            self.table.apply_seen(seen, listed_s)

    def apply_push(self, push: ServersPush, name: str) -> None:
        """Apply a peer's servers."""
        try:
            self.table.apply_push(push)
        except (TypeError, ValueError, AttributeError) as error:
            log.error(f"unusable servers of {name}", error=type(error).__name__)

    async def keep_entry_current(self, link: MessageLink) -> None:
        """Push the table and each mark to an entry until its link ends.

        Marks are sent before the table. The table is pushed again some time after the
        last change, because an entry drops a server only when two pushes far apart omit
        it.
        """
        revision = -1
        sent_marks: set[str] = set()
        while not link.is_closed:
            is_changed = revision != self.table.revision
            revision = self.table.revision
            for mark in self.table.leaving_marks():
                if mark.instance not in sent_marks and await link.send(mark):
                    sent_marks.add(mark.instance)
            await link.send(self.table.to_push())
            timeout_s = REPEAT_PUSH_S if is_changed else float("inf")
            with trio.move_on_after(timeout_s):
                await self.table.wait_changed(revision)


def marks_of(items: Items) -> Iterable[LeavingMark]:
    """Return copies of marks, which relays alter."""
    return [replace(mark) for mark in items.values()]
