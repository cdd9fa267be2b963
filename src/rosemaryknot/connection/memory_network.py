"""A `Network` of in-memory streams with faults, for tests and replay.

Virtual time jumps only while every task sleeps, which real sockets prevent; these
streams let the very same processes run under `trio.testing.MockClock`.
"""

import math
from collections import deque
from dataclasses import dataclass, field

import trio

from rosemaryknot.connection.network import StreamHandler
from rosemaryknot.values.nodes import Address

__all__ = ["MemoryNetwork", "MemoryStream", "PeerSocket"]

FIRST_PORT = 20000
BUFFER_BYTES = 256 * 1024
# Bytes under way in one direction of a connection between hosts with a bandwidth, and
# the pieces in which they go out, between which other connections have their turn.
WINDOW_BYTES = 64 * 1024
SEGMENT_BYTES = 16 * 1024


class PeerSocket:
    """What hypercorn asks of a stream's socket."""

    family = 2

    def getsockname(self) -> tuple[str, int]:
        """Return the near address."""
        return ("127.0.0.1", 1)

    def getpeername(self) -> tuple[str, int]:
        """Return the far address."""
        return ("127.0.0.1", 2)


@dataclass(slots=True)
class Pipe:
    """Bytes on the way in one direction, with the time at which each arrives."""

    chunks: deque = field(default_factory=deque)
    size: int = 0
    ends_s: float = math.inf
    reset: bool = False
    changed: trio.lowlevel.ParkingLot = field(default_factory=trio.lowlevel.ParkingLot)

    def wake(self) -> None:
        """Let both ends look again."""
        self.changed.unpark_all()

    @property
    def ended(self) -> bool:
        """Whether the sender has closed its direction."""
        return self.ends_s < math.inf

    def next_s(self) -> float:
        """Return when the next bytes or the end arrive; infinite before either."""
        return self.chunks[0][0] if self.chunks else self.ends_s


@dataclass(slots=True)
class HostLink:
    """One direction of a host's link, which all its connections share.

    Attributes
    ----------
    bytes_per_s : float
        Its bandwidth.
    free_s : float
        When all that was put on it so far has passed, in trio time.
    """

    bytes_per_s: float
    free_s: float = 0.0

    def pass_on(self, at_s: float, size: int) -> float:
        """Return when bytes that are there at a time have passed the link."""
        self.free_s = max(at_s, self.free_s) + size / self.bytes_per_s
        return self.free_s


class MemoryStream(trio.abc.HalfCloseableStream):
    """One end of an in-memory connection."""

    def __init__(self, network: "MemoryNetwork", near: str, far: str) -> None:
        self.network = network
        self.near = near
        self.far = far
        self.incoming = Pipe()
        self.outgoing = Pipe()
        self.socket = PeerSocket()
        self.closed = False
        self.silent = False

    async def send_all(self, data: bytes) -> None:
        """Send bytes; they are dropped while the link is silent or cut."""
        await trio.lowlevel.checkpoint()
        if self.closed:
            raise trio.ClosedResourceError
        if not self.network.is_limited(self.near, self.far):
            await self.send_part(data, BUFFER_BYTES)
            return
        for start in range(0, len(data), SEGMENT_BYTES):
            await self.send_part(data[start : start + SEGMENT_BYTES], WINDOW_BYTES)

    async def send_part(self, data: bytes, window: int) -> None:
        """Send bytes once no more than a window of them are under way."""
        pipe = self.outgoing
        while pipe.size > window and not pipe.reset and not self.closed:
            await pipe.changed.park()
        if self.closed:
            raise trio.ClosedResourceError
        if pipe.reset:
            raise trio.BrokenResourceError("connection reset")
        if data:
            self.put(data)

    def send_now(self, data: bytes) -> int:
        """Send bytes without waiting; return how many were taken."""
        pipe = self.outgoing
        if self.closed or pipe.reset or pipe.size > BUFFER_BYTES:
            return 0
        self.put(data)
        return len(data)

    def put(self, data: bytes) -> None:
        """Put bytes on their way."""
        if self.silent or self.network.is_cut(self.near, self.far):
            # A cut TCP link keeps the sender waiting for acknowledgements and
            # delivers nothing; bytes sent in a cut never arrive here, so the
            # connection stays silent for good even when the cut heals.
            self.silent = True
            return
        pipe = self.outgoing
        arrives_s = self.network.arrival_s(self.near, self.far, len(data))
        pipe.chunks.append((arrives_s, bytes(data)))
        pipe.size += len(data)
        pipe.wake()

    async def wait_send_all_might_not_block(self) -> None:
        """Return when the buffer has room."""
        await trio.lowlevel.checkpoint()

    async def send_eof(self) -> None:
        """Close the sending direction."""
        await trio.lowlevel.checkpoint()
        self.end()

    def end(self) -> None:
        """Put the end of the stream on its way, which takes as long as bytes do."""
        if self.silent or self.network.is_cut(self.near, self.far):
            return
        delay = self.network.delay_s(self.near, self.far)
        self.outgoing.ends_s = min(self.outgoing.ends_s, trio.current_time() + delay)
        self.outgoing.wake()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive what has arrived."""
        await trio.lowlevel.checkpoint()
        pipe = self.incoming
        while True:
            if self.closed:
                raise trio.ClosedResourceError
            if pipe.reset:
                raise trio.BrokenResourceError("connection reset")
            wait = pipe.next_s() - trio.current_time()
            if wait <= 0:
                return self.take(max_bytes) if pipe.chunks else b""
            with trio.move_on_after(wait):
                await pipe.changed.park()

    def take(self, max_bytes: int | None) -> bytes:
        """Take the first chunk, or as much of it as fits."""
        arrival, data = self.incoming.chunks.popleft()
        limit = math.inf if max_bytes is None else max_bytes
        if len(data) > limit:
            self.incoming.chunks.appendleft((arrival, data[max_bytes:]))
            data = data[:max_bytes]
        self.incoming.size -= len(data)
        self.incoming.wake()
        return data

    def is_readable(self) -> bool:
        """Tell whether a read would return at once."""
        pipe = self.incoming
        if self.closed or pipe.reset:
            return True
        return pipe.next_s() <= trio.current_time()

    def kill(self) -> None:
        """Reset both directions, as the death of a process does."""
        for pipe in (self.incoming, self.outgoing):
            pipe.reset = True
            pipe.wake()

    async def aclose(self) -> None:
        """Close both directions."""
        if not self.closed:
            self.closed = True
            self.network.streams.discard(self)
            self.end()
            self.incoming.reset = True
            self.incoming.wake()
            self.outgoing.wake()
        await trio.lowlevel.checkpoint()


class MemoryNetwork:
    """Hosts joined by links that can be delayed, silenced, cut and killed.

    Parameters
    ----------
    host : str
        IP number of the host that this view belongs to.
    shared : MemoryNetwork, optional
        Another view of the same network.

    Attributes
    ----------
    cuts : set of frozenset of str
        Pairs of hosts that cannot reach each other.
    delays_s : dict of frozenset of str to float
        One-way delay between two hosts, in seconds.
    outbound, inbound : dict of str to HostLink
        Links of the hosts whose bandwidth is limited.
    """

    def __init__(
        self, host: str = "127.0.0.1", shared: "MemoryNetwork | None" = None
    ) -> None:
        self.host = host
        self.listeners = {} if shared is None else shared.listeners
        self.streams = set() if shared is None else shared.streams
        self.cuts = set() if shared is None else shared.cuts
        self.delays_s = {} if shared is None else shared.delays_s
        self.outbound = {} if shared is None else shared.outbound
        self.inbound = {} if shared is None else shared.inbound

    def with_host(self, host: str) -> "MemoryNetwork":
        """Return the view of another host on the same network."""
        return MemoryNetwork(host, self)

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether a partition lies between two hosts."""
        return frozenset((one, other)) in self.cuts

    def delay_s(self, one: str, other: str) -> float:
        """Return the one-way delay between two hosts in seconds."""
        return self.delays_s.get(frozenset((one, other)), 0.0)

    def limit_link(self, host: str, bytes_per_s: float) -> None:
        """Give a host's link a bandwidth, the same in both directions."""
        self.outbound[host] = HostLink(bytes_per_s)
        self.inbound[host] = HostLink(bytes_per_s)

    def is_limited(self, one: str, other: str) -> bool:
        """Tell whether a host's link bounds what two hosts exchange."""
        return one in self.outbound or other in self.outbound

    def arrival_s(self, near: str, far: str, size: int) -> float:
        """Return when bytes sent now arrive, behind what the links carry already."""
        at_s = trio.current_time()
        if near in self.outbound:
            at_s = self.outbound[near].pass_on(at_s, size)
        at_s += self.delay_s(near, far)
        if far in self.inbound:
            at_s = self.inbound[far].pass_on(at_s, size)
        return at_s

    def cut(self, one: str, other: str) -> None:
        """Partition two hosts; open connections between them go silent."""
        self.cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """End a partition; new connections work, old ones stay silent."""
        self.cuts.discard(frozenset((one, other)))

    def silence(self, one: str, other: str) -> int:
        """Make the open connections between two hosts silent for good.

        Returns
        -------
        count : int
            Number of stream ends silenced. New connections work.
        """
        ends = [s for s in self.streams if {s.near, s.far} == {one, other}]
        for stream in ends:
            stream.silent = True
        return len(ends)

    def kill_streams(self, host: str) -> None:
        """Reset the connections of a host; new ones work."""
        for stream in [s for s in self.streams if host in (s.near, s.far)]:
            stream.kill()

    def kill_host(self, host: str) -> None:
        """Reset the connections of a host and stop its listeners."""
        self.kill_streams(host)
        for address in [a for a in self.listeners if a.host == host]:
            del self.listeners[address]

    async def dial(self, address: Address) -> MemoryStream:
        """Connect to a listener; see `Network.dial`."""
        if self.is_cut(self.host, address.host):
            await trio.sleep(2.0)
            raise TimeoutError(f"no answer from {address}")
        await trio.sleep(2 * self.delay_s(self.host, address.host))
        accept = self.listeners.get(address)
        if accept is None:
            raise ConnectionRefusedError(f"nobody listens at {address}")
        near = MemoryStream(self, self.host, address.host)
        far = MemoryStream(self, address.host, self.host)
        near.outgoing, far.outgoing = far.incoming, near.incoming
        self.streams.update((near, far))
        accept(far)
        return near

    async def listen(
        self,
        address: Address,
        handler: StreamHandler,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept in-memory connections; see `Network.listen`."""
        if address.port == 0:
            address = Address(address.host, FIRST_PORT + len(self.listeners))
        if address in self.listeners:
            raise OSError(f"address in use: {address}")

        async def handle(stream: MemoryStream) -> None:
            try:
                await handler(stream)
            finally:
                # Closed, not reset: what is still on its way arrives.
                await trio.aclose_forcefully(stream)

        # The accepting task itself starts the handlers, so that they run in the
        # context of the listening host and not in that of the host that dials.
        backlog_in, backlog_out = trio.open_memory_channel(math.inf)
        accept = backlog_in.send_nowait
        self.listeners[address] = accept
        try:
            async with trio.open_nursery() as nursery:
                task_status.started(address)
                async for stream in backlog_out:
                    nursery.start_soon(handle, stream)
        finally:
            if self.listeners.get(address) is accept:
                del self.listeners[address]
