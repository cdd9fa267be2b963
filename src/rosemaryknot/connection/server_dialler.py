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
# Connections that may be tried through peers in vain: at once, for each second, and for
# each connection that the node opens by itself.
MAX_HEDGES = 20.0
HEDGES_PER_S = 1.0
HEDGES_PER_CONNECTION = 0.1
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


@dataclass(slots=True)
class Race:
    """Outcome of opening a connection by several paths at once.

    Attributes
    ----------
    stream : trio.abc.HalfCloseableStream or None
        The first connection that was opened.
    failure : OSError or None
        Why the own path failed.
    is_own_failure : bool
        Whether this node's link to other servers does not work either.
    direct_ended : trio.Event
        Set once the own path has led to a connection or failed.
    """

    stream: trio.abc.HalfCloseableStream | None = None
    failure: OSError | None = None
    is_own_failure: bool = False
    direct_ended: trio.Event = field(default_factory=trio.Event)


class HedgeBudget:
    """Limit of the connections that are tried through a peer in vain.

    While all servers are overloaded, they accept connections late. If each node tried
    them through peers too, they would get several times as many. A connection that a
    peer opens costs nothing, so that a node that is cut off is not limited.

    Attributes
    ----------
    balance : float
        Attempts that are left.
    refilled_s : float
        Until when the balance was refilled, in trio time.
    """

    def __init__(self) -> None:
        self.balance = MAX_HEDGES
        self.refilled_s = trio.current_time()

    def acquire(self) -> bool:
        """Return whether an attempt may be made, and count it."""
        now_s = trio.current_time()
        accrued = (now_s - self.refilled_s) * HEDGES_PER_S
        self.balance = min(MAX_HEDGES, self.balance + accrued)
        self.refilled_s = now_s
        if self.balance < 1:
            return False
        self.balance -= 1
        return True

    def give_back(self) -> None:
        """Record that a peer opened the connection."""
        self.balance += 1

    def record_opened(self) -> None:
        """Record a connection that this node opened by itself."""
        self.balance = min(MAX_HEDGES, self.balance + HEDGES_PER_CONNECTION)


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
    hedges : HedgeBudget
        Limits the connections through peers to servers whose path is not lost.
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
        self.hedges = HedgeBudget()

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
        race = Race()
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
        """Try the own path, and that of peers unless it leads to a result at once."""
        is_doubtful = address in self.paths.lost or self.paths.may_be_silent(address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.race_direct, address, race, nursery.cancel_scope)
            with trio.move_on_after(0 if is_doubtful else HEDGE_S):
                await race.direct_ended.wait()
            if is_doubtful or self.hedges.acquire():
                await self.race_peers(address, race, nursery.cancel_scope, is_doubtful)

    async def race_direct(
        self, address: Address, race: Race, scope: trio.CancelScope
    ) -> None:
        """Open a connection by the own path, unless a peer is faster."""
        try:
            stream = await self.dial_direct(address)
        except OSError as error:
            race.failure = error
            race.direct_ended.set()
            return
        if race.stream is None:
            race.stream = stream
            scope.cancel()
        else:
            await close_shielded(stream)

    async def race_peers(
        self, address: Address, race: Race, scope: trio.CancelScope, is_doubtful: bool
    ) -> None:
        """Open a connection through a peer; end the race if that shows a result."""
        started_s = trio.current_time()
        answer = await self.ask_peers(address, race)
        if answer.stream is not None and not is_doubtful:
            self.hedges.give_back()
        if answer.stream is not None:
            # Right after the begin, the own path may just be the slower one.
            tried_s = trio.current_time() - started_s
            has_failed = race.failure is not None
            if has_failed or not is_doubtful or tried_s >= PEER_HEDGE_S:
                self.paths.record_lost(address, not has_failed, answer.stream.peer)
        elif not answer.is_final:
            race.is_own_failure = not await self.reaches_others(address, started_s)
        has_result = answer.stream is not None or answer.is_refused
        if has_result or race.is_own_failure:
            scope.cancel()

    async def dial_direct(self, address: Address) -> trio.abc.HalfCloseableStream:
        """Open a connection by this node's own path."""
        stream = await self.network.dial(address)
        self.paths.record_reached(address)
        self.hedges.record_opened()
        return stream

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
        elif reply.result == RelayResult.NO_CONNECTION:
            answer.is_refused = True
        elif reply.result == RelayResult.SILENT:
            answer.is_silent = True
        elif reply.result == RelayResult.CUT_OFF and not reply.reaches_others:
            self.paths.record_cut_off(node.name)

    async def open_relay(
        self, call: PeerCall, address: Address
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
            await send_raw(stream, encode_message(RelayOpen(str(address))))
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
        is_confirmed = answer.is_refused or answer.is_silent
        if is_confirmed or await self.reaches_others(address, started_s):
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
