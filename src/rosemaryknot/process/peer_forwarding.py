"""Forwarding of messages through other nodes to nodes without a direct link."""

import math
from collections.abc import Callable

import trio

from rosemaryknot.connection.links import CallFailed, Handlers, Hello, MessageLink
from rosemaryknot.process.peer_links import LinkPlan, forwarding_candidates
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
MAX_ROUTES = 3
UNREACHABLE = "unreachable"

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
        handlers.on(PeerForward)(self.handle)

    def next_hops(
        self, target: str, path: list[str], skip_direct: bool = False
    ) -> list[MessageLink]:
        """Return the links to attempt, best first; direct unless ``skip_direct``."""
        direct = None if skip_direct else self.best_link(target)
        hops = [] if direct is None else [direct]
        node = next((n for n in self.live_nodes() if n.name == target), None)
        if node is None or len(path) >= MAX_HOPS - 1:
            return hops
        linked = [n for n in self.linked() if n.name not in path]
        names = forwarding_candidates(
            self.own, node, linked, self.live_nodes(), self.plan
        )
        links = [self.best_link(name) for name in names[:MAX_ROUTES]]
        return hops + [link for link in links if link is not None]

    def envelope(self, target: str, value: Message, wants_answer: bool) -> PeerForward:
        """Wrap a message of this node for forwarding."""
        source = [self.own.name, self.own.zone, self.own.incarnation]
        payload = encode_message(value)
        return PeerForward(target, source, [], payload, 0.0, wants_answer)

    async def send(self, target: str, value: Message) -> bool:
        """Send a message that needs no response; see `MessageLink.send`."""
        return await self.forward_send(self.envelope(target, value, wants_answer=False))

    async def call(
        self, target: str, value: Message, timeout_s: float, skip_direct: bool = False
    ) -> Message | CallFailed:
        """Call a node, optionally bypassing the direct link; see `MessageLink.call`."""
        envelope = self.envelope(target, value, wants_answer=True)
        envelope.timeout_s = timeout_s
        outcome = await self.forward_call(envelope, skip_direct)
        if isinstance(outcome, CallFailed):
            return outcome
        try:
            return decode_message(outcome)[0]
        except MessageError:
            return CallFailed("unreadable", maybe_handled=True)

    async def forward_send(self, envelope: PeerForward) -> bool:
        """Forward a message towards its target."""
        hops = self.next_hops(envelope.target, envelope.path)
        envelope.path = [*envelope.path, self.own.name]
        for link in hops:
            if await link.send(envelope):
                return True
        return False

    async def forward_call(
        self, envelope: PeerForward, skip_direct: bool = False
    ) -> bytes | CallFailed:
        """Forward a call towards its target and return the encoded response."""
        deadline_s = trio.current_time() + envelope.timeout_s
        hops = self.next_hops(envelope.target, envelope.path, skip_direct)
        envelope.path = [*envelope.path, self.own.name]
        for link in hops:
            # The first route may have used up the timeout. Trio raises an error for a
            # negative timeout, which would end the process.
            envelope.timeout_s = deadline_s - trio.current_time()
            if envelope.timeout_s <= 0:
                return CallFailed("timeout", maybe_handled=False)
            outcome = unwrap_response(await link.call(envelope, envelope.timeout_s))
            # Attempt another route only if the target certainly did not receive the
            # call; otherwise it could be handled twice.
            if not isinstance(outcome, CallFailed) or outcome.maybe_handled:
                return outcome
        return CallFailed(UNREACHABLE, maybe_handled=False)

    async def handle(self, envelope: PeerForward, link: MessageLink) -> Message | None:
        """Handle or forward a message that another node forwarded to this one."""
        if not is_well_formed(envelope):
            return PeerForwarded(reason="unreadable")
        if envelope.target == self.own.name:
            return await self.handle_locally(envelope)
        self.passed_on += 1
        if not envelope.wants_answer:
            await self.forward_send(envelope)
            return None
        outcome = await self.forward_call(envelope)
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
