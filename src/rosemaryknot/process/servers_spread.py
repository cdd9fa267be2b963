"""What agents and entries tell each other of the backend servers.

A few agents of each zone watch the platform. A mark of a leaving server goes to every
node at once. All else is compared with a peer now and then and fetched where it
differs, which also makes up for marks that were lost on the way.
"""

import random

import trio
import xxhash

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.configuration_spread import chosen_nodes
from rosemaryknot.process.logs import logger
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.values.control import LeavingMarkTaken, ServersFetch, ServersSame
from rosemaryknot.values.messages import Message
from rosemaryknot.values.servers import LeavingMark, ServersPush

__all__ = ["ServersSpread"]

WATCHERS = 3
DUTY = "servers"
COMPARE_S = 2.0
CALL_TIMEOUT_S = 1.0
TELL_TIMEOUT_S = 0.3
FRESH_S = 4.0
SETTLE_S = 7.0
TOLD_AT_ONCE = frozenset({"notice", "server", "placement"})

log = logger("servers")


class ServersSpread:
    """Keeps the table of servers alike on all nodes.

    Parameters
    ----------
    table : ServerTable
        What this node knows.
    peers : PeerSet
        The other nodes.
    handlers : Handlers
        Handlers of the agent's links; this class adds its own kinds.
    rng : random.Random
        For the choice of peers.

    Attributes
    ----------
    told : set of str
        Instances whose mark the peers have been told of, or came from them.
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
        self.told: set[str] = set()
        handlers.on(LeavingMark)(self.handle_mark)
        handlers.on(ServersFetch)(self.handle_fetch)
        peers.on_entry_link.append(self.keep_entry_current)

    def is_watcher(self) -> bool:
        """Tell whether this node is among the zone's watchers of the platform."""
        own = self.peers.node
        zone = [node for node in self.peers.nodes() if node.zone == own.zone]
        return own in chosen_nodes([*zone, own], DUTY, WATCHERS)

    def digest(self) -> int:
        """Return a number that is the same where the same servers are known."""
        rows = [
            (s.instance, s.service, s.zone, str(s.state), s.address)
            for s in self.table.servers.values()
        ]
        marks = [
            (name, str(m.state)) for name, m in self.table.marks.by_instance.items()
        ]
        return xxhash.xxh64_intdigest(repr((sorted(rows), sorted(marks))).encode())

    async def run(self) -> None:
        """Tell and compare until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.tell_marks)
            nursery.start_soon(self.compare)

    async def tell_marks(self) -> None:
        """Tell all peers of each mark that this node was the first to hear of."""
        revision = 0
        while True:
            revision = await self.table.wait_changed(revision)
            marks = self.table.leaving_marks()
            self.told &= {mark.instance for mark in marks}
            for mark in marks:
                if mark.source in TOLD_AT_ONCE and mark.instance not in self.told:
                    self.told.add(mark.instance)
                    await self.tell_all(mark)

    async def tell_all(self, mark: LeavingMark) -> None:
        """Tell all peers of one mark at the same time."""
        async with trio.open_nursery() as nursery:
            for node in self.peers.nodes():
                nursery.start_soon(self.tell, node.name, mark)

    async def tell(self, name: str, mark: LeavingMark) -> None:
        """Tell a peer, through another node where the link gives no answer.

        A link that went silent a moment ago looks well for seconds more. The peer
        at its other end would send work to the leaving server until the tables are
        compared.
        """
        answer = await self.peers.call(name, mark, TELL_TIMEOUT_S)
        if isinstance(answer, CallFailed):
            await self.peers.call_around(name, mark, TELL_TIMEOUT_S)

    async def handle_mark(
        self, mark: LeavingMark, link: MessageLink
    ) -> LeavingMarkTaken:
        """Take over a mark of a peer or of an entry of this node."""
        if link.hello.role != "entry":
            self.told.add(mark.instance)
        self.table.apply_mark(mark)
        return LeavingMarkTaken()

    async def handle_fetch(self, asked: ServersFetch, link: MessageLink) -> Message:
        """Answer a peer with what this node knows, where it differs.

        While a server is missing from the lists but not yet dropped, "the same"
        would count it as just listed at the peer, who would name it to us again
        after we drop it, and so on for ever. A push says when it was last listed.
        """
        push = self.table.to_push()
        if asked.digest == self.digest() and not self.table.absent_since_s:
            return ServersSame(push.listed_age_s)
        for mark in self.table.leaving_marks():
            await link.send(mark)
        return push

    async def compare(self) -> None:
        """Compare the table with a random peer's now and then."""
        while True:
            names = self.better_peers()
            if names:
                await self.compare_with(self.rng.choice(names))
            await trio.sleep(COMPARE_S * self.rng.uniform(0.75, 1.25))

    def better_peers(self) -> list[str]:
        """Return the peers worth asking.

        A node whose own list is fresh asks those it is linked to, for the marks. Else
        it asks the watchers of its zone, or all nodes when this one is a watcher that
        cannot reach the platform.
        """
        nodes = self.peers.nodes()
        is_fresh = trio.current_time() - self.table.listed_s < FRESH_S
        if not is_fresh and not self.is_watcher():
            zone = [n for n in nodes if n.zone == self.peers.node.zone]
            nodes = chosen_nodes(zone, DUTY, WATCHERS) or nodes
        elif is_fresh:
            nodes = self.peers.linked() or nodes
        return [node.name for node in nodes]

    async def compare_with(self, name: str) -> None:
        """Fetch what a peer knows, if it differs."""
        answer = await self.peers.call(
            name, ServersFetch(self.digest()), CALL_TIMEOUT_S
        )
        if isinstance(answer, ServersSame):
            self.note_same(answer)
        elif isinstance(answer, ServersPush):
            self.take(answer, name)

    def note_same(self, same: ServersSame) -> None:
        """Count the peer's list as read here: it names the same servers."""
        listed_s = trio.current_time() - same.listed_age_s
        if listed_s > self.table.listed_s:
            seen = [(server, listed_s) for server in self.table.servers.values()]
            self.table.apply_seen(seen, listed_s)

    def take(self, push: ServersPush, name: str) -> None:
        """Take over a peer's servers."""
        try:
            self.table.apply_push(push)
        except (TypeError, ValueError, AttributeError) as error:
            log.error(f"unusable servers of {name}", error=type(error).__name__)

    async def keep_entry_current(self, link: MessageLink) -> None:
        """Push the table and each mark to an entry until its link ends.

        Marks go ahead of the table. The table is pushed once more some time after
        the last change, since an entry drops a server only when two pushes far
        apart leave it out.
        """
        revision = -1
        told: set[str] = set()
        while not link.is_closed:
            is_changed = revision != self.table.revision
            revision = self.table.revision
            for mark in self.table.leaving_marks():
                if mark.instance not in told and await link.send(mark):
                    told.add(mark.instance)
            await link.send(self.table.to_push())
            bound_s = SETTLE_S if is_changed else float("inf")
            with trio.move_on_after(bound_s):
                await self.table.wait_changed(revision)
