"""Forwarding of messages through other nodes to nodes without a direct link.

Only the sender tries a second route. If each node on the way tried others as well, one
call to a node out of reach would become a dozen, and those to a zone that is cut off
would keep the relays busy for seconds. What could not be reached is remembered for a
moment instead, by nodes and zones.
"""

import math
from collections.abc import Callable

import trio

from rosemaryknot.connection.links import CallFailed, Handlers, Hello, MessageLink
from rosemaryknot.process.peer_links import (
    LinkPlan,
    forwarding_candidates,
    select_relays,
)
from rosemaryknot.process.reach_memory import ReachMemory
from rosemaryknot.values.messages import (
    Message,
    MessageError,
    decode_message,
    encode_message,
)
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.peers import PeerForward, PeerForwarded

__all__ = ["Forwarder", "RelayedLink"]

MAX_HOPS = 4
MAX_ROUTES = 2
UNREACHABLE = "unreachable"
# No node of the target's availability zone is reachable from a relay.
ZONE_UNREACHABLE = "zone unreachable"

BestLink = Callable[[str], MessageLink | None]


class RelayedLink:
    """Stands in for the link in the handler of a forwarded message.

    Parameters
    ----------
    source : Node
        Original sender of the message.
    forwarder : Forwarder
        Forwards messages and calls back to the sender.

    Attributes
    ----------
    hello : Hello
        Identifies the sender, as on a direct link.
    is_closed : bool
        Always False: a relayed sender has no connection that could close.
    """

    def __init__(self, source: Node, forwarder: "Forwarder") -> None:
        self.hello = Hello(source.name, source.zone, source.incarnation, "agent", b"")
        self.forwarder = forwarder
        self.is_closed = False

    async def send(self, value: Message) -> bool:
        """Send a message to the sender; see `MessageLink.send`."""
        return await self.forwarder.send(self.hello.name, value)

    async def call(self, value: Message, timeout_s: float) -> Message | CallFailed:
        """Call the sender; see `MessageLink.call`."""
        return await self.forwarder.call(self.hello.name, value, timeout_s)


class Forwarder:
    """Forwards messages, and selects the nodes to forward through.

    Parameters
    ----------
    own : Node
        This node.
    handlers : Handlers
        Handlers for messages addressed to this node.
    best_link : callable
        Returns the link to a node by name, or None.
    linked : callable
        Returns the nodes with a usable link.
    live_nodes : callable
        Returns all live nodes.
    plan : LinkPlan
        Link topology parameters.

    Attributes
    ----------
    passed_on : int
        Number of messages of other nodes that this node forwarded.
    dropped : int
        Number of messages of other nodes that it could not forward.
    skipped : int
        Number of own messages that were not sent, as their target is out of reach.
    memory : ReachMemory
        What could not be reached recently.
    """

    def __init__(
        self,
        own: Node,
        handlers: Handlers,
        best_link: BestLink,
        linked: Callable[[], list[Node]],
        live_nodes: Callable[[], list[Node]],
        plan: LinkPlan,
    ) -> None:
        self.own = own
        self.handlers = handlers
        self.best_link = best_link
        self.linked = linked
        self.live_nodes = live_nodes
        self.plan = plan
        self.passed_on = 0
        self.dropped = 0
        self.skipped = 0
        self.memory = ReachMemory()
        handlers.on(PeerForward)(self.handle)

    def find(self, target: str) -> Node | None:
        """Return a live node by name, or None."""
        return next((n for n in self.live_nodes() if n.name == target), None)

    def routes(self, target: str, skip_direct: bool = False) -> list[MessageLink]:
        """Return the links that an own message may take, best first."""
        direct = None if skip_direct else self.best_link(target)
        links = [] if direct is None else [direct]
        node = self.find(target)
        if node is None:
            return links
        names = forwarding_candidates(
            self.own, node, self.linked(), self.live_nodes(), self.plan
        )
        failed = self.memory.routes
        names.sort(key=lambda name: failed.has((name, node.zone)))
        found = [self.best_link(name) for name in names[:MAX_ROUTES]]
        return (links + [link for link in found if link is not None])[:MAX_ROUTES]

    def next_hop(self, target: str, path: list[str]) -> MessageLink | str:
        """Return the link that a message of another node takes, or why there is none.

        A message only gets nearer to its target, or it would wander among the relays
        of a zone that have all lost the target.
        """
        direct = self.best_link(target)
        if direct is not None:
            return direct
        node = self.find(target)
        if node is None or len(path) >= MAX_HOPS - 1 or node.zone == self.own.zone:
            return UNREACHABLE
        linked = [n for n in self.linked() if n.name not in path]
        nearer = [n for n in linked if n.zone == node.zone]
        if not nearer and not self.is_relay():
            nearer = [n for n in linked if n.zone == self.own.zone]
        if not nearer:
            return ZONE_UNREACHABLE
        live = self.live_nodes()
        names = forwarding_candidates(self.own, node, nearer, live, self.plan)
        link = self.best_link(names[0]) if names else None
        return UNREACHABLE if link is None else link

    def is_relay(self) -> bool:
        """Return whether this node is a relay of its zone."""
        nodes = [*self.live_nodes(), self.own]
        members = [node for node in nodes if node.zone == self.own.zone]
        return self.own.name in select_relays(members, self.plan.relays_per_zone)

    def is_out_of_reach(self, target: str) -> bool:
        """Return whether a node could not be reached a moment ago."""
        node = self.find(target)
        return node is not None and self.memory.is_out_of_reach(node)

    def envelope(self, target: str, value: Message, wants_answer: bool) -> PeerForward:
        """Wrap a message of this node for forwarding."""
        source = [self.own.name, self.own.zone, self.own.incarnation]
        payload = encode_message(value)
        return PeerForward(target, source, [], payload, 0.0, wants_answer)

    async def send(self, target: str, value: Message) -> bool:
        """Send a message that needs no response; see `MessageLink.send`."""
        if self.is_out_of_reach(target):
            self.skipped += 1
            return False
        envelope = self.envelope(target, value, wants_answer=False)
        envelope.path = [self.own.name]
        for link in self.routes(target):
            if await link.send(envelope):
                return True
        return False

    async def call(
        self, target: str, value: Message, timeout_s: float, skip_direct: bool = False
    ) -> Message | CallFailed:
        """Call a node, optionally bypassing the direct link; see `MessageLink.call`."""
        if not skip_direct and self.is_out_of_reach(target):
            self.skipped += 1
            return CallFailed(UNREACHABLE, maybe_handled=False)
        envelope = self.envelope(target, value, wants_answer=True)
        envelope.timeout_s = timeout_s
        outcome = await self.call_on_routes(envelope, skip_direct)
        if isinstance(outcome, CallFailed):
            return outcome
        try:
            return decode_message(outcome)[0]
        except MessageError:
            return CallFailed("unreadable", maybe_handled=True)

    async def call_on_routes(
        self, envelope: PeerForward, skip_direct: bool
    ) -> bytes | CallFailed:
        """Send an own call on up to two routes and return the encoded response."""
        deadline_s = trio.current_time() + envelope.timeout_s
        envelope.path = [self.own.name]
        reasons = []
        for link in self.routes(envelope.target, skip_direct):
            # The first route may have used up the timeout. Trio raises an error for a
            # negative timeout, which would end the process.
            envelope.timeout_s = deadline_s - trio.current_time()
            if envelope.timeout_s <= 0:
                return CallFailed("timeout", maybe_handled=False)
            outcome = unwrap_response(await link.call(envelope, envelope.timeout_s))
            if not isinstance(outcome, CallFailed):
                return outcome
            self.record_failure(envelope.target, link, outcome.reason)
            # Attempt another route only if the target certainly did not receive the
            # call; otherwise it could be handled twice.
            if outcome.maybe_handled:
                return outcome
            reasons.append(outcome.reason)
        self.record_unreachable(envelope.target, reasons)
        return CallFailed(UNREACHABLE, maybe_handled=False)

    def record_failure(self, target: str, link: MessageLink, reason: str) -> None:
        """Remember the failure of one route."""
        node = self.find(target)
        if reason == "timeout":
            self.memory.nodes.record(target)
        elif reason == ZONE_UNREACHABLE and node is not None:
            self.memory.routes.record((link.hello.name, node.zone))

    def record_unreachable(self, target: str, reasons: list[str]) -> None:
        """Remember that no route led to a node."""
        node = self.find(target)
        if reasons and set(reasons) == {ZONE_UNREACHABLE} and node is not None:
            self.memory.zones.record(node.zone)
        else:
            self.memory.nodes.record(target)

    async def handle(self, envelope: PeerForward, link: MessageLink) -> Message | None:
        """Handle or forward a message that another node forwarded to this one."""
        if not is_well_formed(envelope):
            return PeerForwarded(reason="unreadable")
        if envelope.target == self.own.name:
            return await self.handle_locally(envelope)
        link = self.next_hop(envelope.target, envelope.path)
        envelope.path = [*envelope.path, self.own.name]
        if isinstance(link, str):
            self.dropped += 1
            return PeerForwarded(reason=link) if envelope.wants_answer else None
        self.passed_on += 1
        if not envelope.wants_answer:
            await link.send(envelope)
            return None
        return await self.forward_call(envelope, link)

    async def forward_call(
        self, envelope: PeerForward, link: MessageLink
    ) -> PeerForwarded:
        """Forward a call of another node, and return the response or why none came."""
        if envelope.timeout_s <= 0:
            return PeerForwarded(reason="timeout")
        outcome = unwrap_response(await link.call(envelope, envelope.timeout_s))
        if isinstance(outcome, CallFailed):
            return PeerForwarded(b"", outcome.reason, outcome.maybe_handled)
        return PeerForwarded(outcome)

    async def handle_locally(self, envelope: PeerForward) -> PeerForwarded:
        """Handle a forwarded message addressed to this node."""
        try:
            value, _, _ = decode_message(envelope.payload)
        except MessageError:
            return PeerForwarded(reason="unreadable")
        handler = self.handlers.by_type.get(type(value))
        if handler is None:
            return PeerForwarded(reason="unsupported")
        response = await handler(value, RelayedLink(Node(*envelope.source), self))
        if response is None:
            return PeerForwarded(reason="no answer", maybe_handled=True)
        return PeerForwarded(encode_message(response))


def unwrap_response(response: Message | CallFailed) -> bytes | CallFailed:
    """Return the payload or failure that the response of a relay contains."""
    if isinstance(response, CallFailed):
        return response
    if not isinstance(response, PeerForwarded):
        return CallFailed("unreadable", maybe_handled=True)
    if response.reason:
        return CallFailed(response.reason, response.maybe_handled)
    return response.payload


def is_well_formed(envelope: PeerForward) -> bool:
    """Return whether the fields of an envelope have the expected types."""
    source = envelope.source
    return (
        isinstance(envelope.target, str)
        and isinstance(envelope.payload, bytes)
        and isinstance(envelope.path, list)
        and isinstance(envelope.timeout_s, float | int)
        and math.isfinite(envelope.timeout_s)
        and isinstance(source, list)
        and len(source) == 3
        and isinstance(source[0], str)
        and isinstance(source[1], str)
        and isinstance(source[2], int)
    )
