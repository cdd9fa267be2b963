"""Opening of connections to backend servers, by the node's own path or through a peer.

The node decides everything about a request as ever; only the path of its connection
changes. So one node decides, and each request is admitted, limited and counted once.
"""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import trio

from rosemaryknot.connection.link_hello import MAX_FRAME_BYTES, send_raw
from rosemaryknot.connection.links import Handlers, Hello, LinkClosed, open_link
from rosemaryknot.connection.network import Network, dial_failure
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
from rosemaryknot.values.server_evidence import ServerEvidence
from rosemaryknot.values.server_relays import RelayOpen, RelayOpened, RelayResult

__all__ = ["NoPath", "RelayPeers", "ServerDialler"]

# A connection that is not open after this time is opened through a peer too. It takes a
# few milliseconds if the server reads and no packet is lost.
HEDGE_S = 0.15
# The next peer is asked if one has not replied after this time. It may be cut off
# itself, and know nothing of it.
PEER_HEDGE_S = 0.15
MAX_PEERS = 4
PEER_TIMEOUT_S = 0.8
# How long a check of a server or of the node's own link may take.
CHECK_TIMEOUT_S = 0.3
# Servers to which the node's own link is checked at once, after another one failed.
MAX_CHECKED = 2

# A lost path is tried again after the first time, which grows by the factor up to the
# second one while it stays lost. One path of a node is tried at a time, so that a node
# that is cut off from 10,000 servers tries no more often than one cut off from one.
RECHECK_S = 0.5
RECHECK_FACTOR = 1.5
MAX_RECHECK_S = 2.0
RECHECK_TIMEOUT_S = 0.3
# After one was restored, the others are tried with this pause.
RESTORED_RECHECK_S = 0.02

log = logger("paths")


async def close_shielded(stream: trio.abc.AsyncResource | None) -> None:
    """Close a stream, if there is one, even if the task is cancelled."""
    if stream is not None:
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(stream)


class NoPath(OSError):
    """Raised if neither this node nor a peer reaches a server, for no fault of its."""


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
        Whether a peer that reaches other servers does not reach this one either.
    """

    stream: RelayedStream | None = None
    is_refused: bool = False

    @property
    def is_final(self) -> bool:
        """Whether no further peer has to be asked."""
        return self.stream is not None or self.is_refused


@dataclass(slots=True)
class Race:
    """Outcome of opening a connection by several paths at once.

    Attributes
    ----------
    stream : trio.abc.HalfCloseableStream or None
        The first connection that was opened.
    failure : OSError or None
        Why the own path failed.
    is_hedged : bool
        Whether the own path was tried alone before.
    is_own_failure : bool
        Whether this node's link to other servers does not work either.
    """

    stream: trio.abc.HalfCloseableStream | None = None
    failure: OSError | None = None
    is_hedged: bool = False
    is_own_failure: bool = False


class ServerDialler:
    """Opens connections to servers by the path that works.

    Parameters
    ----------
    network : Network
        Opens connections.
    paths : ServerPaths
        What is known of this node's own paths.
    peers : RelayPeers
        Peers that may relay connections.
    servers : callable
        Returns the addresses of the known servers.
    rng : random.Random
        Draws servers to check.

    Attributes
    ----------
    unreached_s : float
        When a check of this node's own link last failed, in trio time.
    """

    def __init__(
        self,
        network: Network,
        paths: ServerPaths,
        peers: RelayPeers,
        servers: Callable[[], Collection[Address]],
        rng: random.Random,
    ) -> None:
        self.network = network
        self.paths = paths
        self.peers = peers
        self.servers = servers
        self.rng = rng
        self.unreached_s = float("-inf")

    async def dial(self, address: Address) -> trio.abc.HalfCloseableStream:
        """Open a connection to a server.

        Returns
        -------
        stream : trio.abc.HalfCloseableStream
            The connection; a `RelayedStream` if it goes through a peer.

        Raises
        ------
        OSError
            If the server does not accept connections; `NoPath` if that is not known,
            as neither this node's link works nor a peer reaches the server.
        """
        failure = None
        is_lost = address in self.paths.lost
        if not is_lost and not self.paths.may_be_silent(address):
            with trio.move_on_after(HEDGE_S):
                try:
                    return await self.dial_direct(address)
                except OSError as error:
                    failure = error
            return await self.race(address, Race(failure=failure, is_hedged=True))
        return await self.race(address, Race())

    async def dial_direct(self, address: Address) -> trio.abc.HalfCloseableStream:
        """Open a connection by this node's own path."""
        stream = await self.network.dial(address)
        self.paths.record_reached(address)
        return stream

    async def race(self, address: Address, race: Race) -> trio.abc.HalfCloseableStream:
        """Open a connection through a peer, and by the own path unless it failed."""
        try:
            await self.run_race(address, race)
        except BaseException:
            await close_shielded(race.stream)
            raise
        if race.stream is not None:
            return race.stream
        if race.is_own_failure:
            self.paths.record_lost(address, race.failure is None)
            raise NoPath("no path to the server") from race.failure
        raise race.failure or TimeoutError("neither this node nor a peer reaches it")

    async def run_race(self, address: Address, race: Race) -> None:
        """Try all paths at once until one of them leads to a result."""
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            if race.failure is None:
                nursery.start_soon(self.race_direct, address, race, scope)
            answer = await self.ask_peers(address, race)
            if not answer.is_final and race.stream is None:
                race.is_own_failure = not await self.reaches_others(address, started_s)
            if answer.is_final or race.is_own_failure or race.failure is not None:
                scope.cancel()
        if isinstance(race.stream, RelayedStream):
            # Right after the begin, the own path may just be the slower one.
            tried_s = trio.current_time() - started_s
            if race.failure is not None or tried_s >= PEER_HEDGE_S or race.is_hedged:
                is_silent = race.failure is None
                self.paths.record_lost(address, is_silent, race.stream.peer)

    async def race_direct(
        self, address: Address, race: Race, scope: trio.CancelScope
    ) -> None:
        """Open a connection by the own path, unless a peer is faster."""
        try:
            stream = await self.dial_direct(address)
        except OSError as error:
            race.failure = error
            return
        if race.stream is None:
            race.stream = stream
            scope.cancel()
        else:
            await close_shielded(stream)

    # Peers.

    async def ask_peers(self, address: Address, race: Race) -> PeerAnswer:
        """Ask peers for a connection, one after the other, until one opens it."""
        answer = PeerAnswer()
        calls: dict[str, PeerCall] = {}
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = trio.current_time() + PEER_TIMEOUT_S
            for _ in range(MAX_PEERS):
                node = self.paths.select(self.peers.nodes(), calls)
                if node is None:
                    break
                call = calls[node.name] = PeerCall(node)
                nursery.start_soon(self.ask, call, address, answer, race)
                with trio.move_on_after(PEER_HEDGE_S):
                    await call.ended.wait()
                if not call.is_reached:
                    self.paths.pause(node.name, UNREACHABLE_PAUSE_S)
                if answer.is_final:
                    break
            if answer.is_final:
                nursery.cancel_scope.cancel()
        if answer.stream is not None:
            for name, call in calls.items():
                if not call.ended.is_set():
                    # Probably it is cut off as well, and would delay the next request.
                    self.paths.pause(name, SLOW_PAUSE_S)
        return answer

    async def ask(
        self,
        call: PeerCall,
        address: Address,
        answer: PeerAnswer,
        race: Race,
    ) -> None:
        """Ask one peer for a connection and record its reply."""
        node = call.node
        reply = await self.open_relay(call, address)
        call.ended.set()
        if isinstance(reply, RelayedStream):
            if race.stream is not None:
                await trio.aclose_forcefully(reply)
                return
            answer.stream = race.stream = reply
            return
        log.info(
            "no relay",
            peer=node.name,
            address=str(address),
            result=str(reply.result),
            reaches_others=reply.reaches_others,
        )
        if reply.result == RelayResult.BUSY:
            self.paths.pause(node.name, BUSY_PAUSE_S)
        elif reply.result == RelayResult.NO_CONNECTION and reply.reaches_others:
            answer.is_refused = True
        elif reply.result == RelayResult.CUT_OFF and not reply.reaches_others:
            self.paths.record_cut_off(node.name)

    async def open_relay(
        self, call: PeerCall, address: Address
    ) -> RelayedStream | RelayOpened:
        """Open a connection through a peer; return its reply if it does not."""
        node = call.node
        peer_address = self.peers.address_of(node.name)
        if peer_address is None:
            return RelayOpened(RelayResult.UNKNOWN_SERVER)
        stream = relayed = None
        try:
            stream = await self.network.dial(peer_address)
            link = await open_link(
                stream, self.peers.key, self.peers.hello(), Handlers()
            )
            call.is_reached = True
            await send_raw(stream, encode_message(RelayOpen(str(address))))
            payload = await link.reader.read_frame(MAX_FRAME_BYTES)
            reply = decode_message(payload)[0]
            if not isinstance(reply, RelayOpened):
                raise MessageError("expected server_relay_opened")
            if reply.result != RelayResult.OPEN:
                return reply
            relayed = RelayedStream(stream, link.reader, node.name)
            return relayed
        except (OSError, LinkClosed, MessageError, trio.BrokenResourceError) as error:
            reason = dial_failure(error) if isinstance(error, OSError) else str(error)
            log.info("peer not reached for a relay", peer=node.name, reason=reason)
            return RelayOpened(RelayResult.CUT_OFF, True)
        finally:
            if relayed is None:
                await close_shielded(stream)

    # Evidence.

    async def check(self, address: Address) -> ServerEvidence:
        """Return what this node and its peers see of a server."""
        failed = ServerEvidence.SILENT
        started_s = trio.current_time()
        with trio.move_on_after(CHECK_TIMEOUT_S):
            try:
                stream = await self.dial_direct(address)
            except OSError:
                failed = ServerEvidence.REFUSES
            else:
                await trio.aclose_forcefully(stream)
                return ServerEvidence.ACCEPTS
        answer = await self.ask_peers(address, Race())
        if answer.stream is not None:
            await trio.aclose_forcefully(answer.stream)
            is_silent = failed == ServerEvidence.SILENT
            self.paths.record_lost(address, is_silent, answer.stream.peer)
            return ServerEvidence.ACCEPTS
        if answer.is_refused or await self.reaches_others(address, started_s):
            return failed
        return ServerEvidence.UNKNOWN

    async def reaches_others(self, address: Address, since_s: float) -> bool:
        """Return whether this node reaches servers by its own path.

        Parameters
        ----------
        address : Address
            Server that it does not reach, which does not count.
        since_s : float
            When it failed to reach that server, in trio time.
        """
        if self.paths.reaches(address, since_s):
            return True
        # While paths are lost, they are tried again in the background.
        ttl_s = MAX_RECHECK_S if self.paths.lost else CHECK_TIMEOUT_S
        if trio.current_time() - self.unreached_s < ttl_s:
            return False
        others = [other for other in self.servers() if other != address]
        if not others and not self.peers.nodes():
            # Nothing else is known that could show a failure of the link.
            return True
        checked = self.rng.sample(others, min(MAX_CHECKED, len(others)))
        with trio.move_on_after(CHECK_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for other in checked:
                    nursery.start_soon(self.check_link, other, nursery.cancel_scope)
        if self.paths.reaches(address, since_s):
            return True
        self.unreached_s = trio.current_time()
        return False

    async def check_link(self, address: Address, scope: trio.CancelScope) -> None:
        """Open a connection to a server by the own path, and close it."""
        try:
            stream = await self.dial_direct(address)
        except OSError:
            return
        await trio.aclose_forcefully(stream)
        scope.cancel()

    # Way back.

    async def run_rechecks(self) -> None:
        """Try lost paths again until cancelled."""
        interval_s = RECHECK_S
        while True:
            await trio.sleep(interval_s * self.rng.uniform(0.75, 1.25))
            known = set(self.servers())
            self.paths.forget([a for a in self.paths.reached_s if a not in known])
            self.paths.forget([a for a in self.paths.lost if a not in known])
            if not self.paths.lost:
                interval_s = RECHECK_S
            elif await self.recheck(self.rng.choice(list(self.paths.lost))):
                interval_s = RESTORED_RECHECK_S
            else:
                interval_s = max(interval_s, RECHECK_S) * RECHECK_FACTOR
                interval_s = min(interval_s, MAX_RECHECK_S)

    async def recheck(self, address: Address) -> bool:
        """Try a lost path; return whether it is restored."""
        with trio.move_on_after(RECHECK_TIMEOUT_S):
            try:
                stream = await self.dial_direct(address)
            except OSError:
                return False
            await trio.aclose_forcefully(stream)
            return True
        return False
