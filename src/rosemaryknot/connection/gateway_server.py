"""Connections to backend servers: one exchange at a time, by h11.

A pooled connection is used again only after an answer that ended exactly, and is
looked at before: bytes that lie unread belong to no request of ours.
"""

from collections.abc import AsyncIterator
from weakref import WeakSet

import h11
import trio

from rosemaryknot.connection.http_client import is_readable
from rosemaryknot.connection.network import (
    Network,
    drop_undelivered,
    receive_next,
    send_now,
)
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.gateway import Headers, RoutedServer
from rosemaryknot.values.gateway_answers import AnswerHead, GatewayWire, Lost, NotSent
from rosemaryknot.values.incarnation import ServerIncarnation

__all__ = ["ServerConnection", "ServerPool"]

READ_BYTES = 65536
# Servers are on the same network; a dial that takes longer meets a machine that is
# gone or cut off.
CONNECT_TIMEOUT_S = 0.6
# An idle connection is given up this long before the server would close it, so
# that a request does not cross the close.
KEEP_ALIVE_MARGIN_S = 0.7
# Without a word of the server's. A connection may go silent for good while it is
# idle, so it is not kept for long.
DEFAULT_KEEP_ALIVE_S = 4.0
MAX_KEEP_ALIVE_S = 10.0
# Late answers to earlier requests that are passed over before the connection is
# given up.
MAX_STRAYS = 2
# A connection to a life that is over and without a byte for this long brings none.
QUIET_S = 0.5
# How long lives that are over are remembered; no request takes as long.
OVER_S = 120.0
HOST = (b"host", b"server")
# States of the server's end in which a request is out and its answer not whole.
UNANSWERED = (h11.SEND_RESPONSE, h11.SEND_BODY)

CONNECTIONS = counter("server_connections_total", "Connections opened to servers.")
STRAYS = counter("stray_answers_total", "Answers that belonged to another request.")


class ServerConnection:
    """One connection to a server.

    Attributes
    ----------
    heard_s : float
        When bytes came last, or it was opened, in trio time.
    idle_until_s : float
        When it may not be used again, in trio time.
    is_reusable : bool
        Whether the last exchange ended exactly.
    """

    def __init__(
        self, stream: trio.abc.HalfCloseableStream, server: RoutedServer
    ) -> None:
        self.stream = stream
        self.server = server
        self.conn = h11.Connection(h11.CLIENT)
        self.idle_until_s = 0.0
        self.heard_s = trio.current_time()
        self.is_reusable = False
        self.is_sent = False
        self.wants_close = False
        self.request: h11.Request | None = None
        self.unsent = b""

    async def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Write as much of a request as the connection takes; the rest is kept."""
        self.is_sent = False
        self.is_reusable = False
        self.request = h11.Request(method=method, target=target, headers=headers)
        data = self.conn.send(self.request)
        if body:
            data += self.conn.send(h11.Data(data=body))
        data += self.conn.send(h11.EndOfMessage())
        count = send_now(self.stream, data)
        self.unsent = data[count:]
        self.is_sent = not self.unsent

    async def send_rest(self) -> None:
        """Write what `send` could not, beside the reading of the answer."""
        try:
            await self.stream.send_all(self.unsent)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        self.is_sent = True

    async def head(self, wire: GatewayWire, request_id: str) -> AnswerHead | Lost:
        """Return the head of the answer to this request.

        A server may give a second answer to an earlier request where the answer to
        this one is due. Its id shows it, and it is passed over.
        """
        for _ in range(MAX_STRAYS + 1):
            event = await self.next_event()
            if isinstance(event, Lost):
                return event
            if not isinstance(event, h11.Response):
                return Lost("closed without an answer")
            head = wire.read_answer(event.status_code, event.headers.raw_items())
            if not request_id or head.request_id in ("", request_id):
                self.note_head(head)
                return head
            STRAYS.add()
            if not await self.skip_stray():
                return Lost("an answer to another request")
        return Lost("answers to other requests")

    def note_head(self, head: AnswerHead) -> None:
        """Remember when the connection ends."""
        keep_s = head.keep_alive_s
        keep_s = DEFAULT_KEEP_ALIVE_S if keep_s is None else keep_s
        keep_s = min(keep_s, MAX_KEEP_ALIVE_S) - KEEP_ALIVE_MARGIN_S
        self.idle_until_s = trio.current_time() + keep_s
        self.wants_close = head.is_closing or not head.has_length

    async def skip_stray(self) -> bool:
        """Read a stray answer to its end and expect the right one behind it."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return False
        rest, is_closed = self.conn.trailing_data
        if is_closed:
            return False
        self.conn = h11.Connection(h11.CLIENT)
        # Only the method decides how the next answer is read.
        self.conn.send(
            h11.Request(method=self.request.method, target=b"/", headers=[HOST])
        )
        self.conn.send(h11.EndOfMessage())
        if rest:
            # No bytes would stand for the end of the connection.
            self.conn.receive_data(rest)
        return True

    async def next_event(self) -> object:
        """Return the next event of h11, or `Lost` where the connection broke."""
        while True:
            try:
                event = self.conn.next_event()
            except h11.RemoteProtocolError:
                return Lost("not an HTTP answer, or one that broke off")
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.InformationalResponse):
                    continue
                return event
            try:
                data = await receive_next(self.stream, READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return Lost("the connection was reset")
            self.heard_s = trio.current_time()
            self.conn.receive_data(data)

    async def chunks(self) -> AsyncIterator[bytes | Lost]:
        """Yield the parts of the body; the last item is a `Lost` if it broke off."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.note_end()
                return
            else:
                yield event if isinstance(event, Lost) else Lost("broke off")
                return

    def note_end(self) -> None:
        """Decide whether the connection may be used again.

        Bytes after a whole answer, a request that has not gone out whole, or a word
        of closing would spoil the next request.
        """
        rest, is_closed = self.conn.trailing_data
        self.is_reusable = (
            self.is_sent
            and not rest
            and not is_closed
            and not self.wants_close
            and self.conn.our_state is h11.DONE
            and self.conn.their_state is h11.DONE
        )
        if self.is_reusable:
            self.conn.start_next_cycle()

    async def aclose(self) -> None:
        """Close at once, with a reset where a request is given up.

        What a partition or a full link holds up would otherwise reach the server when
        the caller has its answer from elsewhere, and the server has left.
        """
        if self.conn.their_state in UNANSWERED:
            drop_undelivered(self.stream)
        await trio.aclose_forcefully(self.stream)


class ServerPool:
    """Kept connections to servers.

    Parameters
    ----------
    network : Network
        Where connections come from.

    Attributes
    ----------
    idle : dict of ServerIncarnation to list of ServerConnection
        By the server's life, the last used one at the end. One to a life before may
        lead nowhere: without a reset from there, a request on it gets no answer.
    busy : WeakSet of ServerConnection
        Those in use.
    over : dict of ServerIncarnation to float
        Lives that the next one has replaced, and when, in trio time.
    """

    def __init__(self, network: Network) -> None:
        self.network = network
        self.idle: dict[ServerIncarnation, list[ServerConnection]] = {}
        self.busy: WeakSet[ServerConnection] = WeakSet()
        self.over: dict[ServerIncarnation, float] = {}

    async def take(
        self, server: RoutedServer, may_reuse: bool = True
    ) -> ServerConnection | NotSent:
        """Return an idle connection to a server, or a new one."""
        while may_reuse and self.idle.get(server.incarnation):
            connection = self.idle[server.incarnation].pop()
            is_fresh = trio.current_time() < connection.idle_until_s
            if is_fresh and not is_readable(connection.stream):
                self.busy.add(connection)
                return connection
            await connection.aclose()
        return await self.dial(server)

    async def dial(self, server: RoutedServer) -> ServerConnection | NotSent:
        """Open a connection."""
        CONNECTIONS.add()
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                stream = await self.network.dial(server.address)
            except OSError as error:
                return NotSent(f"no connection: {type(error).__name__}")
            connection = ServerConnection(stream, server)
            self.busy.add(connection)
            return connection
        return NotSent("no connection: timeout")

    async def give_back(self, connection: ServerConnection) -> None:
        """Keep a connection for the next request, or close it."""
        self.busy.discard(connection)
        if connection.is_reusable:
            connection.is_reusable = False
            life = connection.server.incarnation
            self.idle.setdefault(life, []).append(connection)
        else:
            await connection.aclose()

    async def close_all(self, life: ServerIncarnation) -> None:
        """Close the idle connections to a life of a server that is over."""
        for connection in self.idle.pop(life, []):
            await connection.aclose()

    def note_over(self, life: ServerIncarnation) -> None:
        """Take note that the next life of a server has replaced one."""
        self.over[life] = trio.current_time()

    async def close_quiet(self) -> None:
        """Close connections in use to lives that are over, once they are quiet.

        A machine that lost power resets nothing, and a stream on it would wait until
        its caller leaves; closed, one that may be resumed goes on elsewhere. What was
        on its way still arrives within the time.
        """
        now_s = trio.current_time()
        for connection in list(self.busy):
            over_s = self.over.get(connection.server.incarnation)
            if over_s is None:
                continue
            if now_s - max(over_s, connection.heard_s) > QUIET_S:
                await connection.aclose()
        # Longer than any request lasts, so that none is left there.
        self.over = {k: v for k, v in self.over.items() if now_s - v < OVER_S}

    async def clean_up(self) -> None:
        """Close connections that were idle for too long."""
        now_s = trio.current_time()
        if self.over:
            await self.close_quiet()
        for life, connections in list(self.idle.items()):
            stale = [c for c in connections if c.idle_until_s <= now_s]
            self.idle[life] = [c for c in connections if c.idle_until_s > now_s]
            if not self.idle[life]:
                del self.idle[life]
            for connection in stale:
                await connection.aclose()
