"""Pooled HTTP/1.1 connections to backend servers, implemented on h11.

Each connection carries one exchange at a time. It is reused only after a response that
ended exactly, and only if no unread bytes are waiting: such bytes belong to none of
our requests.
"""

import math
from collections.abc import AsyncIterator, Callable
from weakref import WeakSet

import h11
import trio

from rosemaryknot.connection.http_client import is_readable
from rosemaryknot.connection.network import (
    dial_failure,
    receive_next,
    reset_on_close,
)
from rosemaryknot.connection.relayed_stream import RelayedStream, RelayEnded
from rosemaryknot.connection.request_writer import RequestWriter
from rosemaryknot.connection.server_dialler import NoPath, ServerDialler
from rosemaryknot.connection.status_lines import check_status_line
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.gateway import Headers, RoutedServer
from rosemaryknot.values.gateway_responses import (
    Framing,
    GatewayWire,
    Lost,
    NodeFull,
    NotSent,
    ResponseHead,
)
from rosemaryknot.values.incarnation import ServerIncarnation

__all__ = ["ServerConnection", "ServerPool"]

READ_BYTES = 65536
# A larger body is written from where it lies, rather than copied behind its head.
MAX_JOINED_BYTES = 65536
# Servers are on the same network; connecting takes longer only if the machine is down
# or partitioned.
CONNECT_TIMEOUT_S = 0.6
# An idle connection is discarded this long before the server would close it, so that
# a request does not race with the close.
KEEP_ALIVE_MARGIN_S = 0.7
# Used if the server announces no keep-alive time. A connection may become unusable
# without an error while it is idle, so it is not kept for long.
DEFAULT_KEEP_ALIVE_S = 4.0
MAX_KEEP_ALIVE_S = 10.0
# Late responses to earlier requests that are skipped before the connection is closed.
MAX_STRAY_RESPONSES = 2
MAX_STRAY_BYTES = 1 << 20
# Interim responses (1xx) before a response; a server sends one or two.
MAX_INTERIM_RESPONSES = 16
# Parsed events after which other tasks run. 64 KB may hold thousands of them, which
# would hold the others back for tens of milliseconds.
EVENTS_BETWEEN_CHECKPOINTS = 64
# A connection to a replaced incarnation that has received nothing for this long will
# receive nothing more.
REPLACED_IDLE_TIMEOUT_S = 0.5
# An idle connection that was used no longer ago than this is reused although the paths
# to other servers were lost.
RECENT_USE_S = 0.2
# How long replaced incarnations are remembered; longer than any request takes.
REPLACED_TTL_S = 120.0
HOST = (b"host", b"server")
# h11 states of the server in which a request was sent and its response is incomplete.
AWAITING_RESPONSE = (h11.SEND_RESPONSE, h11.SEND_BODY)

CONNECTIONS = counter("server_connections_total", "Connections opened to servers.")
STRAY_RESPONSES = counter(
    "stray_answers_total", "Answers that belonged to another request."
)


class ServerConnection:
    """One connection to a server.

    Attributes
    ----------
    last_received_s : float
        When bytes were last received, or the connection was opened, in trio time.
    reuse_deadline_s : float
        Time from which the connection must not be reused, in trio time.
    is_reusable : bool
        Whether the last exchange ended exactly.
    writer : RequestWriter
        Writes the requests.
    is_closed_by_server : bool
        Whether the server closed or reset the connection.
    framing : Framing or None
        What marks the end of the current response; None before its head.
    body_bytes : int
        Bytes of its body that were received.
    interim_responses : int
        Interim responses that preceded it.
    parsed_events : int
        Events that were parsed since other tasks could run.
    read_bytes : int
        Bytes of the current response that are read at a time.
    started_s : float
        When the current exchange began, in trio time.
    peer : str
        Name of the peer that relays the connection; empty for a direct one.
    may_abandon_path : bool
        Whether the current request may be sent again by another path.
    is_path_lost : bool
        Whether the connection ended because of its path, not of the server.
    """

    def __init__(
        self, stream: trio.abc.HalfCloseableStream, server: RoutedServer
    ) -> None:
        self.stream = stream
        self.server = server
        self.conn = h11.Connection(h11.CLIENT)
        self.reuse_deadline_s = 0.0
        self.last_received_s = trio.current_time()
        self.is_reusable = False
        self.is_sent = False
        self.writer = RequestWriter(stream)
        self.is_closed_by_server = False
        self.framing: Framing | None = None
        self.body_bytes = 0
        self.interim_responses = 0
        self.parsed_events = 0
        self.read_bytes = READ_BYTES
        self.wants_close = False
        self.request: h11.Request | None = None
        self.unsent: list[memoryview] = []
        self.started_s = self.last_received_s
        self.peer = stream.peer if isinstance(stream, RelayedStream) else ""
        self.may_abandon_path = False
        self.is_path_lost = False

    @property
    def active_s(self) -> float:
        """When the current exchange began or last received bytes, in trio time."""
        return max(self.started_s, self.last_received_s)

    async def abandon_path(self) -> None:
        """Close the connection, as its path is lost, if the request may be repeated."""
        if self.may_abandon_path:
            self.is_path_lost = True
            await self.aclose()

    async def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Write as much of a request as possible without waiting; keep the rest."""
        self.is_sent = self.is_reusable = False
        self.framing = None
        self.body_bytes = 0
        self.interim_responses = 0
        self.read_bytes = READ_BYTES
        self.started_s = trio.current_time()
        self.request = h11.Request(method=method, target=target, headers=headers)
        data = self.conn.send(self.request)
        rest = memoryview(b"")
        if body:
            # The framing by length passes the body on as it is.
            framed = self.conn.send(h11.Data(data=body))
            if len(framed) > MAX_JOINED_BYTES:
                rest = memoryview(framed)
            else:
                data += framed
        end = self.conn.send(h11.EndOfMessage())
        if not rest:
            data, end = data + end, b""
        self.unsent = self.write_parts(memoryview(data), rest, memoryview(end))
        self.is_sent = not self.unsent

    def write_parts(self, *parts: memoryview) -> list[memoryview]:
        """Write as much as possible without waiting; return what is left."""
        for number, part in enumerate(parts):
            count = self.writer.write_now(part) if part else 0
            if count < len(part):
                return [part[count:], *parts[number + 1 :]]
        return []

    async def send_rest(self) -> None:
        """Write the rest that `send` left, concurrently with reading the response."""
        unsent, self.unsent = self.unsent, []
        for part in unsent:
            if not await self.writer.write_all(part):
                return
        self.is_sent = True

    async def head(
        self,
        wire: GatewayWire,
        request_id: str,
        on_stray: Callable[[ResponseHead], None] = lambda head: None,
    ) -> ResponseHead | Lost:
        """Return the head of the response to this request.

        A server may send a second response to an earlier request where the response
        to this one is expected. It is recognized by its request id and skipped.

        Parameters
        ----------
        wire : GatewayWire
            Decodes the head.
        request_id : str
            Id of the request.
        on_stray : callable
            Called with the head of each response that is skipped.
        """
        for _ in range(MAX_STRAY_RESPONSES + 1):
            event = await self.next_event()
            if isinstance(event, Lost):
                return event
            if not isinstance(event, h11.Response):
                return Lost("closed without an answer")
            head = wire.read_response(event.status_code, event.headers.raw_items())
            if not request_id or head.request_id in ("", request_id):
                self.framing = head.framing
                self.record_keep_alive(head)
                return head
            STRAY_RESPONSES.add()
            on_stray(head)
            if not await self.skip_stray():
                return Lost("an answer to another request")
        return Lost("answers to other requests")

    def record_keep_alive(self, head: ResponseHead) -> None:
        """Record until when the server keeps the connection open."""
        keep_alive_s = head.keep_alive_s
        keep_alive_s = DEFAULT_KEEP_ALIVE_S if keep_alive_s is None else keep_alive_s
        keep_alive_s = min(keep_alive_s, MAX_KEEP_ALIVE_S) - KEEP_ALIVE_MARGIN_S
        self.reuse_deadline_s = trio.current_time() + keep_alive_s
        self.wants_close = head.is_closing or head.framing is Framing.CLOSE

    async def skip_stray(self) -> bool:
        """Read a stray response to its end and prepare to read the next one."""
        size = 0
        while True:
            event = await self.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return False
            size += len(event.data)
            if size > MAX_STRAY_BYTES:
                return False
        rest, is_closed = self.conn.trailing_data
        if is_closed:
            return False
        self.conn = h11.Connection(h11.CLIENT)
        # Only the request method affects how h11 parses the next response.
        self.conn.send(
            h11.Request(method=self.request.method, target=b"/", headers=[HOST])
        )
        self.conn.send(h11.EndOfMessage())
        if rest:
            # h11 interprets empty data as the end of the connection.
            self.conn.receive_data(rest)
        return True

    async def next_event(self) -> object:
        """Return the next h11 event, or `Lost` if the connection failed."""
        while True:
            try:
                event = self.conn.next_event()
                if isinstance(event, (h11.Response, h11.InformationalResponse)):
                    check_status_line(event)
            except h11.RemoteProtocolError:
                return Lost("not an HTTP answer, or one that broke off")
            if event is not h11.NEED_DATA:
                await self.yield_to_others()
                if isinstance(event, h11.InformationalResponse):
                    self.interim_responses += 1
                    if self.interim_responses > MAX_INTERIM_RESPONSES:
                        return Lost("too many interim responses")
                    continue
                return event
            try:
                data = await receive_next(self.stream, self.read_bytes)
            except RelayEnded as error:
                self.is_path_lost = True
                return Lost(str(error))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                if self.is_path_lost:
                    return Lost("the path to the server was lost")
                self.is_closed_by_server = True
                return Lost("the connection was reset")
            self.is_closed_by_server = not data
            if not data and self.writer.is_broken:
                return Lost("the connection was reset")
            self.last_received_s = trio.current_time()
            self.conn.receive_data(data)

    async def yield_to_others(self) -> None:
        """Let other tasks run after some events that were parsed without waiting."""
        self.parsed_events += 1
        if self.parsed_events >= EVENTS_BETWEEN_CHECKPOINTS:
            self.parsed_events = 0
            await trio.lowlevel.checkpoint()

    async def chunks(self) -> AsyncIterator[bytes | Lost]:
        """Yield the chunks of the body, then a `Lost` if the body is truncated."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Data):
                self.body_bytes += len(event.data)
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.update_reusable()
                return
            else:
                yield event if isinstance(event, Lost) else Lost("broke off")
                return

    def update_reusable(self) -> None:
        """Determine whether the connection may be reused.

        It may not after extra bytes behind the response, an incompletely sent request
        or an announced close, since the next request on it would fail.
        """
        rest, is_closed = self.conn.trailing_data
        # A peer keeps no idle connections for others: they would outlive its shutdown.
        self.is_reusable = (
            self.is_sent
            and not self.peer
            and not rest
            and not is_closed
            and not self.wants_close
            and self.conn.our_state is h11.DONE
            and self.conn.their_state is h11.DONE
        )
        if self.is_reusable:
            self.conn.start_next_cycle()

    async def aclose(self) -> None:
        """Close immediately, with a reset if a request is abandoned.

        Otherwise bytes held up by a partition or a full link could reach the server
        after the caller has received its response from another server, and after this
        server was removed.
        """
        if self.conn.their_state in AWAITING_RESPONSE:
            reset_on_close(self.stream)
        await trio.aclose_forcefully(self.stream)


class ServerPool:
    """Pool of connections to servers.

    Parameters
    ----------
    dialler : ServerDialler
        Opens the connections.

    Attributes
    ----------
    idle : dict of ServerIncarnation to list of ServerConnection
        Idle connections by incarnation of the server, the most recently used one last.
        A connection to an earlier incarnation may be dead without having been reset,
        so that a request on it would get no response.
    busy : WeakSet of ServerConnection
        Connections in use.
    replaced_times : dict of ServerIncarnation to float
        When each incarnation was replaced by its successor, in trio time.
    max_open : callable
        Returns how many connections may be open, in use and idle.
    """

    def __init__(self, dialler: ServerDialler) -> None:
        self.max_open: Callable[[], float] = lambda: math.inf
        self.dialler = dialler
        self.idle: dict[ServerIncarnation, list[ServerConnection]] = {}
        self.busy: WeakSet[ServerConnection] = WeakSet()
        self.replaced_times: dict[ServerIncarnation, float] = {}

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self.busy) + sum(map(len, self.idle.values()))

    async def acquire(
        self, server: RoutedServer, may_reuse: bool = True
    ) -> ServerConnection | NotSent:
        """Return an idle connection to a server, or a new one."""
        while may_reuse and self.idle.get(server.incarnation):
            connection = self.idle[server.incarnation].pop()
            if self.is_usable(connection):
                self.busy.add(connection)
                connection.may_abandon_path = False
                return connection
            await connection.aclose()
        return await self.dial(server)

    def is_usable(self, connection: ServerConnection) -> bool:
        """Return whether an idle connection may be reused."""
        now_s = trio.current_time()
        if now_s >= connection.reuse_deadline_s or is_readable(connection.stream):
            return False
        is_recent = now_s - connection.last_received_s < RECENT_USE_S
        address = connection.server.address
        return is_recent or not self.dialler.paths.may_be_silent(address)

    async def dial(self, server: RoutedServer) -> ServerConnection | NotSent:
        """Open a connection, if a descriptor is left for it."""
        if self.open_count >= self.max_open():
            return NodeFull("no descriptor is left for a connection to a server")
        CONNECTIONS.add()
        started_s = trio.current_time()
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                stream = await self.dialler.dial(server.address)
            except OSError as error:
                took_s = trio.current_time() - started_s
                return NotSent(
                    f"no connection: {dial_failure(error)} after {took_s:.3f} s",
                    is_path_failure=isinstance(error, NoPath),
                    is_refused=isinstance(error, ConnectionRefusedError),
                )
            connection = ServerConnection(stream, server)
            self.busy.add(connection)
            return connection
        return NotSent("no connection: timeout")

    async def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        self.busy.discard(connection)
        if connection.is_reusable:
            connection.is_reusable = False
            incarnation = connection.server.incarnation
            self.idle.setdefault(incarnation, []).append(connection)
        else:
            await connection.aclose()

    async def release_unused(self, connection: ServerConnection) -> None:
        """Return a connection on which nothing was sent since it was acquired."""
        connection.is_reusable = connection.reuse_deadline_s > trio.current_time()
        await self.release(connection)

    async def close_all(self, incarnation: ServerIncarnation) -> None:
        """Close the idle connections to an incarnation that has ended."""
        for connection in self.idle.pop(incarnation, []):
            await connection.aclose()

    def record_replaced(self, incarnation: ServerIncarnation) -> None:
        """Record that an incarnation of a server was replaced by its successor."""
        self.replaced_times[incarnation] = trio.current_time()

    async def close_replaced(self) -> None:
        """Close connections in use to replaced incarnations that receive nothing.

        A machine that lost power sends no reset, and a stream on it would wait until
        its caller disconnects. After the close, a resumable stream continues on another
        server. Bytes already in transit arrive within `REPLACED_IDLE_TIMEOUT_S`.
        """
        now_s = trio.current_time()
        for connection in list(self.busy):
            replaced_s = self.replaced_times.get(connection.server.incarnation)
            if replaced_s is None:
                continue
            if (
                now_s - max(replaced_s, connection.last_received_s)
                > REPLACED_IDLE_TIMEOUT_S
            ):
                await connection.aclose()
        # Longer than any request lasts, so that none is left there.
        self.replaced_times = {
            k: v for k, v in self.replaced_times.items() if now_s - v < REPLACED_TTL_S
        }

    async def clean_up(self) -> None:
        """Close connections that were idle for too long."""
        now_s = trio.current_time()
        if self.replaced_times:
            await self.close_replaced()
        for incarnation, connections in list(self.idle.items()):
            expired = [c for c in connections if c.reuse_deadline_s <= now_s]
            self.idle[incarnation] = [
                c for c in connections if c.reuse_deadline_s > now_s
            ]
            if not self.idle[incarnation]:
                del self.idle[incarnation]
            for connection in expired:
                await connection.aclose()
