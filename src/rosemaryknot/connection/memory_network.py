"""A `Network` of in-memory streams with fault injection, for tests and replay.

Virtual time advances only while every task sleeps, which real sockets prevent. With
these streams, the same processes run under `trio.testing.MockClock`.
"""

import math
import random
from collections import deque
from dataclasses import dataclass, field

import trio

from rosemaryknot.connection.network import ACCEPT_ALL, AcceptPolicy, StreamHandler
from rosemaryknot.values.nodes import Address

__all__ = ["MemoryNetwork", "MemoryStream", "PeerSocket"]

FIRST_PORT = 20000
BUFFER_BYTES = 256 * 1024
# If the bandwidth of a host is limited: the maximum number of bytes in transit in one
# direction of a connection, and the size of the segments in which they are sent. Other
# connections can send between two segments.
WINDOW_BYTES = 64 * 1024
SEGMENT_BYTES = 16 * 1024
# First retransmission timeouts of TCP, for the handshake and for data; each doubles
# with every further loss of the same packet.
HANDSHAKE_TIMEOUT_S = 1.0
DATA_TIMEOUT_S = 0.2


class PeerSocket:
    """Stand-in for a socket with the methods that hypercorn calls."""

    family = 2

    def getsockname(self) -> tuple[str, int]:
        """Return the local address."""
        return ("127.0.0.1", 1)

    def getpeername(self) -> tuple[str, int]:
        """Return the remote address."""
        return ("127.0.0.1", 2)


@dataclass(slots=True)
class Pipe:
    """Bytes in transit in one direction, with the arrival time of each chunk."""

    chunks: deque = field(default_factory=deque)
    size: int = 0
    eof_arrival_s: float = math.inf
    reset: bool = False
    changed: trio.lowlevel.ParkingLot = field(default_factory=trio.lowlevel.ParkingLot)

    def wake(self) -> None:
        """Wake the tasks of both ends that wait for a change."""
        self.changed.unpark_all()

    @property
    def ended(self) -> bool:
        """Whether the sender has closed its direction."""
        return self.eof_arrival_s < math.inf

    def next_arrival_s(self) -> float:
        """Return when the next chunk or the end arrives; infinite if none was sent."""
        return self.chunks[0][0] if self.chunks else self.eof_arrival_s


@dataclass(slots=True)
class HostLink:
    """One direction of a host's network link, which all its connections share.

    Attributes
    ----------
    bytes_per_s : float
        Bandwidth.
    idle_at_s : float
        When all bytes sent so far will have been transmitted, in trio time.
    """

    bytes_per_s: float
    idle_at_s: float = 0.0

    def schedule(self, queued_s: float, size: int) -> float:
        """Schedule a transmission and return when it is complete."""
        self.idle_at_s = max(queued_s, self.idle_at_s) + size / self.bytes_per_s
        return self.idle_at_s


@dataclass(slots=True)
class HostProcessor:
    """Processor of a host, which handles one read or write after the other.

    Attributes
    ----------
    read_s, write_s : float
        Processor time of a read and of a write, in seconds.
    idle_at_s : float
        When all work so far will have been done, in trio time.
    """

    read_s: float
    write_s: float
    idle_at_s: float = 0.0

    def schedule(self, work_s: float) -> float:
        """Schedule work and return when it is done."""
        self.idle_at_s = max(trio.current_time(), self.idle_at_s) + work_s
        return self.idle_at_s


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
        self.resets = False
        # When the processor will have handled the first chunk that has arrived.
        self.handled_s = math.inf

    async def send_all(self, data: bytes) -> None:
        """Send bytes; they are dropped if the stream is silent or partitioned."""
        await trio.lowlevel.checkpoint()
        if self.closed:
            raise trio.ClosedResourceError
        if not self.network.is_limited(self.near, self.far):
            await self.send_segment(data, BUFFER_BYTES)
            return
        for start in range(0, len(data), SEGMENT_BYTES):
            await self.send_segment(data[start : start + SEGMENT_BYTES], WINDOW_BYTES)

    async def send_segment(self, data: bytes, window: int) -> None:
        """Send bytes once at most a window of bytes is in transit."""
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
        """Send bytes without waiting; return how many were accepted."""
        pipe = self.outgoing
        if self.closed or pipe.reset or pipe.size > BUFFER_BYTES:
            return 0
        self.put(data)
        return len(data)

    def put(self, data: bytes) -> None:
        """Put bytes in transit."""
        processor = self.network.processors.get(self.near)
        if processor is not None:
            processor.schedule(processor.write_s)
        if self.silent or self.network.is_blocked(self.near, self.far):
            # During a partition, a TCP sender waits for acknowledgements and nothing
            # is delivered. In this model, bytes sent during a partition are lost, so
            # the connection stays silent even after the partition heals.
            self.silent = True
            return
        pipe = self.outgoing
        arrives_s = self.network.arrival_s(self.near, self.far, len(data))
        arrives_s += self.network.retransmission_s(self.near, self.far, DATA_TIMEOUT_S)
        if pipe.chunks:
            arrives_s = max(arrives_s, pipe.chunks[-1][0])
        pipe.chunks.append((arrives_s, bytes(data)))
        pipe.size += len(data)
        pipe.wake()

    async def wait_send_all_might_not_block(self) -> None:
        """Return immediately; `send_all` waits for free capacity."""
        await trio.lowlevel.checkpoint()

    async def send_eof(self) -> None:
        """Close the sending direction."""
        await trio.lowlevel.checkpoint()
        self.end()

    def end(self) -> None:
        """Put the end of the stream in transit, with the same delay as bytes."""
        if self.silent or self.network.is_blocked(self.near, self.far):
            return
        delay = self.network.delay_s(self.near, self.far)
        self.outgoing.eof_arrival_s = min(
            self.outgoing.eof_arrival_s, trio.current_time() + delay
        )
        self.outgoing.wake()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive the bytes that have arrived."""
        await trio.lowlevel.checkpoint()
        pipe = self.incoming
        while True:
            if self.closed:
                raise trio.ClosedResourceError
            if pipe.reset:
                raise trio.BrokenResourceError("connection reset")
            wait = pipe.next_arrival_s() - trio.current_time()
            if wait <= 0:
                wait = self.handling_s()
            if wait <= 0:
                return self.pop_chunk(max_bytes) if pipe.chunks else b""
            with trio.move_on_after(wait):
                await pipe.changed.park()

    def handling_s(self) -> float:
        """Return how long the processor will take to handle the first chunk."""
        processor = self.network.processors.get(self.near)
        if processor is None or not self.incoming.chunks:
            return 0.0
        if self.handled_s == math.inf:
            self.handled_s = processor.schedule(processor.read_s)
        return self.handled_s - trio.current_time()

    def pop_chunk(self, max_bytes: int | None) -> bytes:
        """Remove and return the first chunk, or as much of it as fits."""
        self.handled_s = math.inf
        arrival, data = self.incoming.chunks.popleft()
        limit = math.inf if max_bytes is None else max_bytes
        if len(data) > limit:
            self.incoming.chunks.appendleft((arrival, data[max_bytes:]))
            data = data[:max_bytes]
        self.incoming.size -= len(data)
        self.incoming.wake()
        return data

    def is_readable(self) -> bool:
        """Return whether a read would return immediately."""
        pipe = self.incoming
        if self.closed or pipe.reset:
            return True
        return pipe.next_arrival_s() <= trio.current_time()

    def kill(self) -> None:
        """Reset both directions, as the crash of a process does."""
        for pipe in (self.incoming, self.outgoing):
            pipe.reset = True
            pipe.wake()

    def reset_on_close(self) -> None:
        """Make closing reset the connection."""
        self.resets = True

    def close_in_order(self) -> None:
        """Undo `reset_on_close`."""
        self.resets = False

    def has_undelivered(self) -> bool:
        """Return whether bytes are in transit."""
        return bool(self.outgoing.chunks) and not self.outgoing.reset

    async def aclose(self) -> None:
        """Close both directions."""
        if not self.closed:
            self.closed = True
            self.network.streams.discard(self)
            is_blocked = self.network.is_blocked(self.near, self.far)
            if self.resets and not self.silent and not is_blocked:
                self.outgoing.reset = True
            self.end()
            self.incoming.reset = True
            self.incoming.wake()
            self.outgoing.wake()
        await trio.lowlevel.checkpoint()


class MemoryNetwork:
    """Hosts whose connections can be delayed, silenced, partitioned and reset.

    Parameters
    ----------
    host : str
        IP address of the host to which this view belongs.
    shared : MemoryNetwork, optional
        Another view of the same network.

    Attributes
    ----------
    partitions : set of frozenset of str
        Pairs of hosts that cannot reach each other.
    one_way_partitions : set of tuple of (str, str)
        Pairs of hosts of which nothing from the first reaches the second.
    refusing : set of frozenset of str
        Pairs of hosts between which new connections are refused.
    losses : dict of frozenset of str to float
        Share of packets lost between two hosts, each retransmitted after a timeout.
    delays_s : dict of frozenset of str to float
        One-way delay between two hosts, in seconds.
    outbound, inbound : dict of str to HostLink
        Links of the hosts whose bandwidth is limited.
    processors : dict of str to HostProcessor
        Processors of the hosts that take time for what they read and write.
    """

    def __init__(
        self, host: str = "127.0.0.1", shared: "MemoryNetwork | None" = None
    ) -> None:
        self.host = host
        self.listeners = {} if shared is None else shared.listeners
        self.streams = set() if shared is None else shared.streams
        self.partitions = set() if shared is None else shared.partitions
        self.one_way_partitions = set() if shared is None else shared.one_way_partitions
        self.refusing = set() if shared is None else shared.refusing
        self.losses = {} if shared is None else shared.losses
        self.rng = random.Random(0) if shared is None else shared.rng
        self.delays_s = {} if shared is None else shared.delays_s
        self.outbound = {} if shared is None else shared.outbound
        self.inbound = {} if shared is None else shared.inbound
        self.processors = {} if shared is None else shared.processors

    def with_host(self, host: str) -> "MemoryNetwork":
        """Return another host's view of the same network."""
        return MemoryNetwork(host, self)

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether two hosts are partitioned."""
        return frozenset((one, other)) in self.partitions

    def is_blocked(self, near: str, far: str) -> bool:
        """Return whether nothing from a host reaches another one."""
        return self.is_partitioned(near, far) or (near, far) in self.one_way_partitions

    def retransmission_s(self, one: str, other: str, timeout_s: float) -> float:
        """Return the delay of a packet that is lost until it gets through."""
        share = self.losses.get(frozenset((one, other)), 0.0)
        delay_s = 0.0
        while share and self.rng.random() < share:
            delay_s += timeout_s
            timeout_s *= 2
        return delay_s

    def delay_s(self, one: str, other: str) -> float:
        """Return the one-way delay between two hosts in seconds."""
        return self.delays_s.get(frozenset((one, other)), 0.0)

    def limit_link(self, host: str, bytes_per_s: float) -> None:
        """Limit the bandwidth of a host's link in each direction."""
        self.outbound[host] = HostLink(bytes_per_s)
        self.inbound[host] = HostLink(bytes_per_s)

    def limit_processor(self, host: str, read_s: float, write_s: float) -> None:
        """Let a host take time for each read and write, one after the other."""
        self.processors[host] = HostProcessor(read_s, write_s)

    def free_processor(self, host: str) -> None:
        """Let a host handle at once what it reads from now on."""
        self.processors.pop(host, None)

    def is_limited(self, one: str, other: str) -> bool:
        """Return whether the bandwidth between two hosts is limited."""
        return one in self.outbound or other in self.outbound

    def arrival_s(self, near: str, far: str, size: int) -> float:
        """Schedule bytes after those already queued; return when they arrive."""
        arrives_s = trio.current_time()
        if near in self.outbound:
            arrives_s = self.outbound[near].schedule(arrives_s, size)
        arrives_s += self.delay_s(near, far)
        if far in self.inbound:
            arrives_s = self.inbound[far].schedule(arrives_s, size)
        return arrives_s

    def cut(self, one: str, other: str) -> None:
        """Partition two hosts; open connections between them become silent."""
        self.partitions.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """End a partition; new connections work, old ones stay silent."""
        pair = frozenset((one, other))
        self.partitions.discard(pair)
        self.refusing.discard(pair)
        self.losses.pop(pair, None)
        self.one_way_partitions.discard((one, other))
        self.one_way_partitions.discard((other, one))

    def cut_one_way(self, near: str, far: str) -> None:
        """Drop all that a host sends to another one."""
        self.one_way_partitions.add((near, far))

    def refuse(self, one: str, other: str) -> None:
        """Refuse new connections between two hosts; open ones work."""
        self.refusing.add(frozenset((one, other)))

    def reset(self, one: str, other: str) -> None:
        """Reset the connections between two hosts and refuse new ones."""
        self.refuse(one, other)
        for stream in [s for s in self.streams if {s.near, s.far} == {one, other}]:
            stream.kill()

    def lose(self, one: str, other: str, share: float) -> None:
        """Lose a share of the packets between two hosts."""
        self.losses[frozenset((one, other))] = share

    def silence(self, one: str, other: str) -> int:
        """Make the open connections between two hosts silent permanently.

        New connections work.

        Returns
        -------
        count : int
            Number of stream ends that were silenced.
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
        self.stop_listening(host)

    def stop_listening(self, host: str) -> None:
        """Refuse new connections to a host; open ones work."""
        for address in [a for a in self.listeners if a.host == host]:
            del self.listeners[address]

    async def dial(self, address: Address) -> MemoryStream:
        """Connect to a listener; see `Network.dial`."""
        host = address.host
        if self.is_blocked(self.host, host) or self.is_blocked(host, self.host):
            await trio.sleep(2.0)
            raise TimeoutError(f"connecting to {address} timed out")
        retransmission_s = self.retransmission_s(self.host, host, HANDSHAKE_TIMEOUT_S)
        await trio.sleep(2 * self.delay_s(self.host, host) + retransmission_s)
        if frozenset((self.host, host)) in self.refusing:
            raise ConnectionRefusedError(f"{address} refused the connection")
        accept = self.listeners.get(address)
        if accept is None:
            raise ConnectionRefusedError(f"no listener at {address}")
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
        policy: AcceptPolicy = ACCEPT_ALL,
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
                # The stream is closed and not reset, so bytes in transit still arrive.
                await trio.aclose_forcefully(stream)

        # The listening task starts the handlers, so that they run in the context of the
        # listening host and not in that of the dialling host.
        backlog_in, backlog_out = trio.open_memory_channel(math.inf)
        accept = backlog_in.send_nowait
        self.listeners[address] = accept
        try:
            async with trio.open_nursery() as nursery:
                task_status.started(address)
                async for stream in backlog_out:
                    await policy.wait_turn()
                    if policy.may_accept():
                        nursery.start_soon(handle, stream)
                    else:
                        await trio.aclose_forcefully(stream)
        finally:
            if self.listeners.get(address) is accept:
                del self.listeners[address]
