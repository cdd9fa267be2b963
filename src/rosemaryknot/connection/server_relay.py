"""Relaying of connections to backend servers for peers that do not reach them."""

from collections.abc import Awaitable, Callable

import trio

from rosemaryknot.connection.link_hello import MAX_FRAME_BYTES, send_raw
from rosemaryknot.connection.links import LinkClosed, MessageLink
from rosemaryknot.connection.network import Network
from rosemaryknot.connection.relayed_stream import relay_bytes
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.process.server_paths import ServerPaths
from rosemaryknot.values.messages import MessageError, decode_message, encode_message
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.server_relays import RelayOpen, RelayOpened, RelayResult

__all__ = ["ServerRelay"]

# Connections relayed at once, of two files and at most 128 KB of buffers each. The
# node's own callers keep the rest of the files reserved for servers.
MAX_RELAYS = 64
# How long a peer may take to say which server it wants.
OPEN_TIMEOUT_S = 2.0
# A peer whose path to one server is lost is asked for others if it has reached one
# within this time.
LOST_EVIDENCE_S = 1.0
# A server that accepts connections does so within a few milliseconds.
DIAL_TIMEOUT_S = 0.3

RELAYS = gauge("server_relays", "Connections to servers that are relayed for peers.")
RELAYED = counter("server_relays_total", "Requests of peers for a relay, by result.")

log = logger("relay")


class ServerRelay:
    """Opens connections to servers for peers and relays their bytes.

    Parameters
    ----------
    network : Network
        Opens connections.
    paths : ServerPaths
        Paths of this node.
    may_relay : callable
        Returns whether an address is that of a server that accepts connections, or
        requests, of this node. Takes the address and whether it is a request.
    reaches_others : callable
        Returns whether this node reaches servers other than that with an address
        since a time.

    Attributes
    ----------
    active : int
        Number of connections that are relayed.
    is_stopping : bool
        Whether this node accepts no further ones.
    """

    def __init__(
        self,
        network: Network,
        paths: ServerPaths,
        may_relay: Callable[[Address, bool], bool],
        reaches_others: Callable[[Address, float], Awaitable[bool]],
    ) -> None:
        self.network = network
        self.paths = paths
        self.may_relay = may_relay
        self.reaches_others = reaches_others
        self.active = 0
        self.is_stopping = False
        self.ended = trio.lowlevel.ParkingLot()

    async def serve(self, link: MessageLink) -> None:
        """Serve a connection that a peer wants to be relayed."""
        try:
            with trio.fail_after(OPEN_TIMEOUT_S):
                payload = await link.reader.read_frame(MAX_FRAME_BYTES)
            request = decode_message(payload)[0]
        except (LinkClosed, MessageError, OSError, trio.BrokenResourceError) as error:
            log.warning("relay not opened", reason=type(error).__name__)
            return
        except trio.TooSlowError:
            log.warning("relay not opened", reason="no request", peer=link.hello.name)
            return
        if not isinstance(request, RelayOpen):
            log.warning("relay not opened", reason="unknown request")
            return
        self.active += 1
        RELAYS.set(self.active)
        try:
            await self.relay(link, request)
        finally:
            self.active -= 1
            RELAYS.set(self.active)
            self.ended.unpark_all()

    async def relay(self, link: MessageLink, request: RelayOpen) -> None:
        """Open the connection, reply, and relay its bytes until it ends."""
        started_s = trio.current_time()
        server, reply = await self.open(request)
        RELAYED.add(result=str(reply.result))
        log.info(
            "relay requested",
            peer=link.hello.name,
            address=request.address,
            result=str(reply.result),
            reaches_others=reply.reaches_others,
            active=self.active,
            took_s=round(trio.current_time() - started_s, 3),
        )
        try:
            await send_raw(link.stream, encode_message(reply))
            if server is not None:
                await relay_bytes(link.stream, link.reader, server)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            log.info("relay ended by the peer", peer=link.hello.name)
        finally:
            if server is not None:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(server)

    async def open(
        self, request: RelayOpen
    ) -> tuple[trio.abc.HalfCloseableStream | None, RelayOpened]:
        """Open a connection to a server, by this node's own path only."""
        try:
            address = Address.from_text(request.address)
        except ValueError:
            return None, RelayOpened(RelayResult.UNKNOWN_SERVER)
        if not self.may_relay(address, request.carries_request):
            return None, RelayOpened(RelayResult.UNKNOWN_SERVER)
        if self.is_stopping or self.active > MAX_RELAYS:
            return None, RelayOpened(RelayResult.BUSY)
        if address in self.paths.lost:
            since_s = trio.current_time() - LOST_EVIDENCE_S
            reaches_others = await self.reaches_others(address, since_s)
            return None, RelayOpened(RelayResult.CUT_OFF, reaches_others)
        started_s = trio.current_time()
        is_silent = True
        with trio.move_on_after(DIAL_TIMEOUT_S):
            try:
                stream = await self.network.dial(address)
            except OSError:
                stream, is_silent = None, False
            if stream is not None:
                self.paths.record_reached(address)
                return stream, RelayOpened(RelayResult.OPEN, True)
        if await self.reaches_others(address, started_s):
            result = RelayResult.SILENT if is_silent else RelayResult.NO_CONNECTION
            return None, RelayOpened(result, True)
        self.paths.record_lost(address, is_silent)
        return None, RelayOpened(RelayResult.CUT_OFF)

    async def wait_ended(self) -> None:
        """Wait until no connection is relayed any more."""
        while self.active:
            await self.ended.park()
