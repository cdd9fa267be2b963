"""Requests to peers for connections to backend servers."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import trio

from rosemaryknot.connection.link_hello import MAX_FRAME_BYTES, send_raw
from rosemaryknot.connection.links import Handlers, Hello, LinkClosed, open_link
from rosemaryknot.connection.network import Network, close_shielded, dial_failure
from rosemaryknot.connection.relayed_stream import RelayedStream
from rosemaryknot.process.logs import logger
from rosemaryknot.process.server_paths import (
    BUSY_PAUSE_S,
    SLOW_PAUSE_S,
    UNREACHABLE_PAUSE_S,
    ServerPaths,
)
from rosemaryknot.values.messages import MessageError, decode_message, encode_message
from rosemaryknot.values.nodes import Address, Node
from rosemaryknot.values.server_relays import RelayOpen, RelayOpened, RelayResult

__all__ = ["PEER_HEDGE_S", "PeerAnswer", "PeerCall", "RelayClient", "RelayPeers"]

# The next peer is asked if one has not replied after this time. It may be cut off
# itself, and know nothing of it.
PEER_HEDGE_S = 0.15
MAX_PEERS = 4
PEER_TIMEOUT_S = 0.8

log = logger("paths")


@dataclass(slots=True)
class RelayPeers:
    """The peers that may relay connections.

    Attributes
    ----------
    nodes : callable
        Returns the other nodes that are believed to be alive.
    address_of : callable
        Returns the address of a node by its name, or None.
    key : bytes
        Key that proves a node's membership.
    hello : callable
        Returns the hello of this node.
    """

    nodes: Callable[[], Collection[Node]]
    address_of: Callable[[str], Address | None]
    key: bytes
    hello: Callable[[], Hello]


@dataclass(slots=True)
class PeerCall:
    """Request to one peer for a connection.

    Attributes
    ----------
    node : Node
        The peer.
    is_reached : bool
        Whether the peer itself has responded. Its own connection to the server may take
        longer, which says nothing of its others.
    ended : trio.Event
        Set once the call has ended.
    """

    node: Node
    is_reached: bool = False
    ended: trio.Event = field(default_factory=trio.Event)


@dataclass(slots=True)
class PeerAnswer:
    """What the peers that were asked for a connection have shown.

    Attributes
    ----------
    stream : RelayedStream or None
        Connection through a peer.
    is_refused : bool
        Whether the server refused the connection of a peer that reaches others.
    is_silent : bool
        Whether the server did not answer a peer that reaches others.
    """

    stream: RelayedStream | None = None
    is_refused: bool = False
    is_silent: bool = False

    @property
    def is_final(self) -> bool:
        """Whether no further peer has to be asked."""
        return self.stream is not None or self.is_refused or self.is_silent


class RelayClient:
    """Asks peers to open connections to servers.

    Parameters
    ----------
    network : Network
        Opens connections to peers.
    paths : ServerPaths
        Selects the peers, and records which of them are cut off.
    peers : RelayPeers
        Peers that may relay connections.
    """

    def __init__(self, network: Network, paths: ServerPaths, peers: RelayPeers) -> None:
        self.network = network
        self.paths = paths
        self.peers = peers

    async def open(
        self,
        address: Address,
        is_needed: Callable[[], bool] = lambda: True,
        carries_request: bool = False,
    ) -> PeerAnswer:
        """Ask peers for a connection, one after the other, until one opens it.

        Parameters
        ----------
        address : Address
            The server.
        is_needed : callable
            Returns whether the connection is still needed once a peer has opened it.
        carries_request : bool
            Whether a request is to be sent on it.
        """
        answer = PeerAnswer()
        message = RelayOpen(str(address), carries_request)
        try:
            calls = await self.ask_in_turn(message, answer, is_needed)
        except BaseException:
            await close_shielded(answer.stream)
            raise
        if answer.stream is not None:
            for name, call in calls.items():
                if not call.ended.is_set():
                    # Probably it is cut off as well, and would delay the next request.
                    self.paths.pause(name, SLOW_PAUSE_S)
        return answer

    async def ask_in_turn(
        self, message: RelayOpen, answer: PeerAnswer, is_needed: Callable[[], bool]
    ) -> dict[str, PeerCall]:
        """Ask peers until one shows a result; return the calls by peer."""
        calls: dict[str, PeerCall] = {}
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = trio.current_time() + PEER_TIMEOUT_S
            for _ in range(MAX_PEERS):
                node = self.paths.select(self.peers.nodes(), calls)
                if node is None:
                    break
                call = calls[node.name] = PeerCall(node)
                nursery.start_soon(self.ask, call, message, answer, is_needed)
                with trio.move_on_after(PEER_HEDGE_S):
                    await call.ended.wait()
                if not call.is_reached:
                    self.paths.pause(node.name, UNREACHABLE_PAUSE_S)
                if answer.is_final:
                    break
            if answer.is_final:
                nursery.cancel_scope.cancel()
        return calls

    async def ask(
        self,
        call: PeerCall,
        message: RelayOpen,
        answer: PeerAnswer,
        is_needed: Callable[[], bool],
    ) -> None:
        """Ask one peer for a connection and record its reply."""
        node = call.node
        reply = await self.open_relay(call, message)
        call.ended.set()
        if isinstance(reply, RelayedStream):
            if answer.stream is None and is_needed():
                answer.stream = reply
            else:
                await trio.aclose_forcefully(reply)
            return
        log.info(
            "no relay",
            peer=node.name,
            address=message.address,
            result=str(reply.result),
            reaches_others=reply.reaches_others,
        )
        if reply.result == RelayResult.BUSY:
            self.paths.pause(node.name, BUSY_PAUSE_S)
        elif reply.result == RelayResult.NO_CONNECTION:
            answer.is_refused = True
        elif reply.result == RelayResult.SILENT:
            answer.is_silent = True
        elif reply.result == RelayResult.CUT_OFF and not reply.reaches_others:
            self.paths.record_cut_off(node.name)

    async def open_relay(
        self, call: PeerCall, message: RelayOpen
    ) -> RelayedStream | RelayOpened:
        """Open a connection through a peer; return its reply if it does not."""
        node = call.node
        stream = relayed = None
        try:
            peer_address = self.peers.address_of(node.name)
            if peer_address is None:
                return RelayOpened(RelayResult.CUT_OFF, True)
            stream = await self.network.dial(peer_address)
            link = await open_link(
                stream, self.peers.key, self.peers.hello(), Handlers()
            )
            call.is_reached = True
            await send_raw(stream, encode_message(message))
            payload = await link.reader.read_frame(MAX_FRAME_BYTES)
            reply = decode_message(payload)[0]
            if not isinstance(reply, RelayOpened):
                raise MessageError("expected server_relay_opened")
            if reply.result != RelayResult.OPEN:
                return reply
            relayed = RelayedStream(stream, link.reader, node.name)
            return relayed
        except (OSError, LinkClosed, ValueError, trio.BrokenResourceError) as error:
            reason = dial_failure(error) if isinstance(error, OSError) else str(error)
            log.info("peer not reached for a relay", peer=node.name, reason=reason)
            return RelayOpened(RelayResult.CUT_OFF, True)
        finally:
            if relayed is None:
                await close_shielded(stream)
