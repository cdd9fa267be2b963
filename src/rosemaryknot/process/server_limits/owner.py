"""Owner of the limits of servers: issues the permits that all nodes request.

All nodes select the owner of a server by the same hash of the nodes that are believed
to be alive. A node that is not the owner in its own view issues nothing. While nodes
that were known are not reached, they may have an owner of their own, so that an owner
issues only the share of the nodes that it reaches.
"""

from collections.abc import Callable

import trio

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.configuration_distributor import select_nodes
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.server_limits.permits import (
    Issued,
    NotIssued,
    PermitIssuer,
    Waiter,
)
from rosemaryknot.process.server_limits.records import LimitRecord, LimitRecords
from rosemaryknot.process.server_limits.rooms import RoomIssuer
from rosemaryknot.process.sliding_maximum import SlidingMaximum
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.server_limits import (
    NO_LIMIT,
    PermitReply,
    PermitRequest,
    PermitReturn,
    ServerStatement,
)

__all__ = ["CALL_TIMEOUT_S", "PermitOwner"]

# Longest wait for the owner's reply beside the time for which the request may wait
# there. Nodes reply within a few milliseconds unless they are overloaded or suspended.
CALL_TIMEOUT_S = 0.3
CHECK_INTERVAL_S = 1.0
# How long a node that is no longer reached counts as one that may issue permits to its
# side of a partition. Longer than a partition usually lasts.
KNOWN_NODES_WINDOW_S = 60.0
# Permits that an owner has issued are logged this often for each server.
LOG_INTERVAL_S = 5.0
MAX_LOGGED_NODES = 12
# An issuer that was not used for this long is dropped.
IDLE_ISSUER_S = 60.0
# Longest time that a request may wait here, whatever its sender asks for.
MAX_WAIT_S = 30.0

ISSUED = counter("server_permits_total", "Permits for limited servers, by outcome.")

log = logger("server limits")


class PermitOwner:
    """Issuer of permits for the servers that this node owns; client of the others.

    Parameters
    ----------
    node : Node
        This node.
    peers : PeerSet
        The other nodes.
    records : LimitRecords
        Limits of the servers.
    handlers : Handlers
        Handlers of messages from other nodes and entries.
    expected_nodes : int
        Number of nodes that exist as far as the settings tell, this one included.
    in_flight : callable, optional
        Returns the requests at a server as the nodes report them, by its incarnation.

    Attributes
    ----------
    issuers : dict of str to PermitIssuer
        Issuers by incarnation of the server.
    owners_changed_s : float
        When the owners were last selected anew, in trio time.
    on_changed : callable
        Called with a record that begins a version.
    """

    def __init__(
        self,
        node: Node,
        peers: PeerSet,
        records: LimitRecords,
        handlers: Handlers,
        expected_nodes: int = 1,
        in_flight: Callable[[str], int] = lambda server: 0,
    ) -> None:
        self.node = node
        self.peers = peers
        self.records = records
        self.in_flight = in_flight
        self.issuers: dict[str, PermitIssuer] = {}
        self.known_nodes = SlidingMaximum()
        self.known_nodes.record(expected_nodes, trio.current_time())
        self.owners: dict[str, str] = {}
        self.owners_revision = -1
        self.owners_changed_s = trio.current_time()
        self.on_changed: Callable[[LimitRecord], None] = lambda record: None
        handlers.on(PermitRequest)(self.handle_request)
        handlers.on(ServerStatement)(self.handle_statement)
        handlers.on(PermitReturn)(self.handle_return)

    # Selection of the owner.

    def owner(self, server: str) -> str:
        """Return the name of the node that issues the permits for a server."""
        self.refresh_owners()
        name = self.owners.get(server)
        if name is None:
            nodes = [*self.peers.nodes(), self.node]
            name = self.owners[server] = select_nodes(nodes, server, 1)[0].name
        return name

    def refresh_owners(self) -> None:
        """Select the owners anew if nodes came or went."""
        if self.owners_revision != self.peers.changes:
            self.owners_revision = self.peers.changes
            self.owners_changed_s = trio.current_time()
            self.owners.clear()

    def is_owner(self, server: str) -> bool:
        """Return whether this node issues the permits for a server."""
        return self.owner(server) == self.node.name

    def share(self, now_s: float) -> float:
        """Return the share of each limit that this node may issue."""
        reached = len(self.peers.nodes()) + 1
        self.known_nodes.record(reached, now_s)
        return reached / self.known_nodes.value(now_s, KNOWN_NODES_WINDOW_S)

    # Requests for permits.

    async def acquire(self, request: PermitRequest) -> PermitReply | CallFailed:
        """Request permits from the owner of a server, which may be this node."""
        if not request.record or not isinstance(request.record[0], str):
            return PermitReply([])
        owner = self.owner(request.record[0])
        if owner == self.node.name:
            return await self.issue(request)
        reply = await self.call(owner, request)
        if isinstance(reply, PermitReply) and reply.owner not in ("", owner):
            # The views of the nodes differ for a moment, as one of them has just come.
            if reply.owner == self.node.name:
                return PermitReply(reply.record, pause_s=reply.pause_s)
            reply = await self.call(reply.owner, request)
        return reply

    async def call(self, name: str, request: PermitRequest) -> PermitReply | CallFailed:
        """Request permits from another node."""
        timeout_s = CALL_TIMEOUT_S + min(request.wait_s, MAX_WAIT_S)
        reply = await self.peers.call(name, request, timeout_s)
        if isinstance(reply, PermitReply | CallFailed):
            return reply
        return CallFailed("unexpected reply", maybe_handled=True)

    async def handle_request(
        self, request: PermitRequest, link: MessageLink
    ) -> PermitReply:
        """Issue permits to another node; ask the owner on behalf of an entry."""
        if link not in self.peers.entries:
            return await self.issue(request)
        reply = await self.acquire(request)
        if isinstance(reply, CallFailed):
            return PermitReply(request.record, pause_s=CALL_TIMEOUT_S)
        return reply

    async def issue(self, request: PermitRequest) -> PermitReply:
        """Issue permits, or tell when to request them again."""
        now_s = trio.current_time()
        received = LimitRecord.from_list(request.record)
        if received is None:
            log.error("permit request ignored: malformed", node=request.node)
            return PermitReply([])
        self.records.merge(received, now_s)
        server = received.server
        known = self.records.by_server.get(server)
        if known is None or known.limit is None:
            return PermitReply(request.record if known is None else known.to_list())
        if not self.is_owner(server):
            self.drop(server)
            return PermitReply(known.to_list(), owner=self.owner(server))
        known.used_s = now_s
        issuer = self.issuer(known, now_s)
        if request.wait_s > 0:
            wait_s = min(request.wait_s, MAX_WAIT_S)
            waiter = issuer.enqueue(
                Waiter(
                    request.node,
                    request.priority,
                    request.customer,
                    now_s + wait_s,
                    now_s + (request.target_wait_s or wait_s),
                    request.is_first,
                ),
                now_s,
            )
            outcome = await self.wait(issuer, waiter)
        else:
            outcome = issuer.request(request.node, request.priority, now_s)
        ISSUED.add(outcome=type(outcome).__name__)
        return self.reply(known, issuer, outcome)

    def issuer(self, record: LimitRecord, now_s: float) -> PermitIssuer:
        """Return the issuer for a server, with its current limit and share."""
        issuer = self.issuers.get(record.server)
        share = self.share(now_s)
        is_brittle = record.turned_away is not None
        if issuer is not None and isinstance(issuer, RoomIssuer) != is_brittle:
            self.drop(record.server)
            issuer = None
        if issuer is None:
            # Another node may have issued the permits that accrued before.
            started_s = max(record.changed_s, self.owners_changed_s)
            issuer = self.new_issuer(record, share, started_s)
            self.issuers[record.server] = issuer
        issuer.update(record.limit, share, now_s)
        return issuer

    def new_issuer(
        self, record: LimitRecord, share: float, started_s: float
    ) -> PermitIssuer:
        """Return an issuer for the kind of limit that a server states."""
        if record.turned_away is None:
            return PermitIssuer(record.limit, share, started_s)
        return RoomIssuer(
            record.limit,
            share,
            started_s,
            record.turned_away,
            lambda: self.in_flight(record.server),
            lambda name: name == self.node.name or self.peers.is_live(name),
        )

    async def wait(self, issuer: PermitIssuer, waiter: Waiter) -> Issued | NotIssued:
        """Wait until a queued request gets a permit or is refused."""
        try:
            while waiter.outcome is None:
                with trio.move_on_at(issuer.next_s(trio.current_time())):
                    await waiter.done.wait()
                issuer.advance(trio.current_time())
        finally:
            issuer.abandon(waiter)
        return waiter.outcome

    def reply(
        self, record: LimitRecord, issuer: PermitIssuer, outcome: Issued | NotIssued
    ) -> PermitReply:
        """Return the reply to a request for permits."""
        # The server may have lifted its limit while the request waited.
        record = self.records.by_server.get(record.server, record)
        reply = PermitReply(
            record.to_list(),
            owner=self.node.name,
            incarnation=self.node.incarnation,
            reports_all=issuer.is_raise_pending,
        )
        if isinstance(outcome, Issued):
            reply.permits, reply.number = outcome.count, outcome.first
        else:
            reply.pause_s, reply.queue_s = outcome.pause_s, outcome.queue_s
            reply.retry_s = outcome.retry_s
        return reply

    # Statements of servers.

    async def handle_statement(
        self, statement: ServerStatement, link: MessageLink
    ) -> None:
        """Apply what a server stated, or forward it to the issuer of the permit."""
        if statement.owner == self.node.name:
            self.apply_statement(statement)
        elif link in self.peers.entries:
            await self.peers.send(statement.owner, statement)

    def apply_statement(self, statement: ServerStatement) -> None:
        """Apply what a server stated in response to a request with a permit."""
        record = self.records.get_limited(statement.server)
        issuer = self.issuers.get(statement.server)
        if (
            record is None
            or issuer is None
            or record.version != statement.version
            or statement.incarnation != self.node.incarnation
        ):
            return
        now_s = trio.current_time()
        limit = None if statement.limit == NO_LIMIT else statement.limit
        changed = issuer.record_statement(statement.number, limit, now_s)
        if changed is None:
            return
        if changed == float("inf"):
            lifted = self.records.begin(record.server, None, record.version, now_s)
            self.on_changed(lifted)
            self.drop(record.server)
        else:
            self.records.change_limit(record, changed, now_s)
            self.issuer(record, now_s)

    async def handle_return(self, returned: PermitReturn, link: MessageLink) -> None:
        """Apply the end of a request that had a permit of this node."""
        self.give_back(returned)

    def give_back(self, returned: PermitReturn) -> None:
        """Make the place of a request that has ended free again."""
        issuer = self.issuers.get(returned.server)
        is_own = (returned.owner, returned.incarnation) == (
            self.node.name,
            self.node.incarnation,
        )
        if is_own and isinstance(issuer, RoomIssuer):
            issuer.give_back(
                returned.number, returned.was_turned_away, trio.current_time()
            )

    # Maintenance.

    def drop(self, server: str) -> None:
        """Stop issuing permits for a server; waiting requests look for another way.

        If this node becomes the owner again, it begins with an empty bucket: the next
        owner issues the permits that accrue in the meantime.
        """
        issuer = self.issuers.pop(server, None)
        if issuer is None:
            return
        for waiter in issuer.waiters:
            waiter.finish(NotIssued())
        issuer.waiters.clear()

    async def run(self) -> None:
        """Drop issuers that are not needed and log permits, until cancelled."""
        logged_s = trio.current_time()
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now_s = trio.current_time()
            self.refresh_owners()
            share = self.share(now_s)
            self.records.remove_unused(now_s)
            for server in list(self.issuers):
                record = self.records.get_limited(server)
                is_idle = record is None or now_s - record.used_s > IDLE_ISSUER_S
                if is_idle or not self.is_owner(server):
                    self.drop(server)
            if now_s - logged_s >= LOG_INTERVAL_S:
                self.log_issued(now_s - logged_s, share)
                logged_s = now_s

    def log_issued(self, period_s: float, share: float) -> None:
        """Log the permits that were issued in a period."""
        for server, issuer in self.issuers.items():
            issued = issuer.pop_issued()
            if issued:
                log.info(
                    "server permits issued",
                    server=server,
                    limit=issuer.limit,
                    share=round(share, 3),
                    period_s=round(period_s, 1),
                    permits=sum(issued.values()),
                    by_node=dict(sorted(issued.items())[:MAX_LOGGED_NODES]),
                    waiting=len(issuer.waiters),
                    refused=len(issuer.refused),
                )
