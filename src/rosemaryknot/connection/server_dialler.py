"""Opening of connections to backend servers, by the node's own path or through a peer.

The node decides everything about a request as ever; only the path of its connection
changes. So one node decides, and each request is admitted, limited and counted once.
"""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import trio

from rosemaryknot.connection.network import Network, close_shielded
from rosemaryknot.connection.relay_client import (
    PEER_HEDGE_S,
    RelayClient,
    RelayPeers,
)
from rosemaryknot.process.hedge_budget import HedgeBudget
from rosemaryknot.process.server_paths import ServerPaths
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.server_evidence import ServerEvidence

__all__ = ["NoPath", "ServerDialler"]

# A connection that is not open after this time is opened through a peer too. It takes a
# few milliseconds if the server reads and no packet is lost.
HEDGE_S = 0.15
# How long a check of a server or of the node's own link may take.
CHECK_TIMEOUT_S = 0.3
# How long a check whether a server accepts connections may delay the end of a response.
# A server accepts within milliseconds, and through a peer soon after `HEDGE_S`.
END_CHECK_TIMEOUT_S = 0.5
# Servers to which the node's own link is checked at once, after another one failed. Two
# of them may have crashed in the same moment.
MAX_CHECKED = 4

# Pause before a lost path is tried again. It grows by the factor up to the maximum
# while paths stay lost. A node tries one path at a time, so that one that is cut off
# from 10,000 servers tries no more often than one that is cut off from a single one.
RECHECK_S = 0.5
RECHECK_FACTOR = 1.5
MAX_RECHECK_S = 2.0
RECHECK_TIMEOUT_S = 0.3
# After one was restored, the others are tried with this pause.
RESTORED_RECHECK_S = 0.02


class NoPath(OSError):
    """Raised if no path to a server works; the server itself may be sound."""


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
    carries_request : bool
        Whether a request is to be sent on the connection.
    """

    stream: trio.abc.HalfCloseableStream | None = None
    failure: OSError | None = None
    is_own_failure: bool = False
    direct_ended: trio.Event = field(default_factory=trio.Event)
    carries_request: bool = False


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
        self.relay_client = RelayClient(network, paths, peers)
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
        race = Race(carries_request=True)
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
        answer = await self.relay_client.open(
            address, lambda: race.stream is None, race.carries_request
        )
        if race.stream is not None:
            await close_shielded(answer.stream)
            return
        race.stream = answer.stream
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
        answer = await self.relay_client.open(address)
        if answer.stream is not None:
            await trio.aclose_forcefully(answer.stream)
            is_silent = failed == ServerEvidence.SILENT
            self.paths.record_lost(address, is_silent, answer.stream.peer)
            return ServerEvidence.ACCEPTS
        is_confirmed = answer.is_refused or answer.is_silent
        if is_confirmed or await self.reaches_others(address, started_s):
            return failed
        return ServerEvidence.UNKNOWN

    async def accepts(self, address: Address, open_s: float = 0.0) -> bool:
        """Return whether a server accepts a connection, by any path.

        Parameters
        ----------
        address : Address
            Address of the server.
        open_s : float
            How long the connection has to stay open, in seconds.
        """
        race = Race()
        try:
            with trio.move_on_after(END_CHECK_TIMEOUT_S):
                await self.run_race(address, race)
            return race.stream is not None and await stays_open(race.stream, open_s)
        finally:
            await close_shielded(race.stream)

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


async def stays_open(stream: trio.abc.HalfCloseableStream, for_s: float) -> bool:
    """Return whether the other end keeps an idle connection open for a time."""
    with trio.move_on_after(for_s):
        try:
            return bool(await stream.receive_some(1))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
    return True
