"""Detection of lost paths to backend servers on connections with requests under way.

A cut that drops packets shows on open connections only as silence. A silent server that
has nothing to send looks the same, so a silent connection is checked by opening another
one, by the node's own path and through a peer.
"""

import trio

from rosemaryknot.connection.gateway_server import ServerConnection, ServerPool
from rosemaryknot.connection.relayed_stream import RelayedStream
from rosemaryknot.connection.server_dialler import ServerDialler
from rosemaryknot.process.logs import logger
from rosemaryknot.values.nodes import Address

__all__ = ["PathMonitor"]

CHECK_INTERVAL_S = 0.1
# All servers with pending responses are checked if none of them has sent anything for
# this long. A running stream sends every few tens of milliseconds, and it is unlikely
# that all servers are silent at once.
NODE_SILENCE_S = 0.4
# A single server is checked after this silence, while others are sending.
SERVER_SILENCE_S = 1.0
# Pause between two checks of a server that stays silent.
VERIFY_INTERVAL_S = 2.0
VERIFY_TIMEOUT_S = 0.8

log = logger("paths")


class PathMonitor:
    """Checks the paths to servers that are silent.

    Parameters
    ----------
    pool : ServerPool
        Connections of this node.
    dialler : ServerDialler
        Opens connections.

    Attributes
    ----------
    verified_s : dict of Address to float
        When the check of each silent server last began, in trio time.
    """

    def __init__(self, pool: ServerPool, dialler: ServerDialler) -> None:
        self.pool = pool
        self.dialler = dialler
        self.verified_s: dict[Address, float] = {}

    async def run(self) -> None:
        """Check silent servers until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(CHECK_INTERVAL_S)
                for address in self.silent_servers():
                    self.verified_s[address] = trio.current_time()
                    nursery.start_soon(self.verify, address)

    def waiting(self) -> list[ServerConnection]:
        """Return the connections by the own path on which a response is awaited."""
        return [c for c in self.pool.busy if not c.peer and c.request is not None]

    def silent_servers(self) -> list[Address]:
        """Return the servers whose silence has to be checked now."""
        received_s: dict[Address, float] = {}
        for connection in self.waiting():
            address = connection.server.address
            before_s = received_s.get(address, connection.active_s)
            received_s[address] = max(before_s, connection.active_s)
        if not received_s:
            self.verified_s.clear()
            return []
        now_s = trio.current_time()
        is_node_silent = now_s - max(received_s.values()) >= NODE_SILENCE_S
        limit_s = NODE_SILENCE_S if is_node_silent else SERVER_SILENCE_S
        return [
            address
            for address, last_s in received_s.items()
            if now_s - last_s >= limit_s and self.is_check_due(address, last_s, now_s)
        ]

    def is_check_due(self, address: Address, last_s: float, now_s: float) -> bool:
        """Return whether the last check of a silent server was long enough ago.

        The first one is due as soon as the server counts as silent.
        """
        verified_s = self.verified_s.get(address, float("-inf"))
        return verified_s < last_s or now_s - verified_s >= VERIFY_INTERVAL_S

    async def verify(self, address: Address) -> None:
        """Check the path to a silent server; abandon its connections if it is lost."""
        stream = None
        with trio.move_on_after(VERIFY_TIMEOUT_S):
            try:
                stream = await self.dialler.dial(address)
            except OSError as error:
                log.info(
                    "silent server not reached",
                    address=str(address),
                    reason=type(error).__name__,
                )
        if stream is not None:
            await trio.aclose_forcefully(stream)
        if isinstance(stream, RelayedStream):
            await self.abandon(address)

    async def abandon(self, address: Address) -> None:
        """Close the silent connections to a server whose requests may be repeated.

        The others are left alone: what they wait for may still arrive when the path is
        restored, and nobody could tell whether it ran.
        """
        now_s = trio.current_time()
        for connection in self.waiting():
            is_silent = now_s - connection.active_s >= NODE_SILENCE_S
            if connection.server.address == address and is_silent:
                await connection.abandon_path()
