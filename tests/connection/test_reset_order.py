"""Tests of resets and closes at any moment of an upload, on real sockets."""

import random
import select
import socket
import struct
import threading
import time

import pytest
import trio

from rosemaryknot.connection.gateway_server import ServerConnection
from rosemaryknot.connection.link_hello import FrameReader
from rosemaryknot.connection.network import SocketNetwork
from rosemaryknot.connection.plain_client import PlainClient
from rosemaryknot.connection.relayed_stream import relay_bytes
from rosemaryknot.platform.headers import PlatformWire
from rosemaryknot.values.gateway import RoutedServer
from rosemaryknot.values.gateway_responses import Lost
from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.values.outcomes import Answered
from rosemaryknot.values.requests import PlainRequest

HEAD = b"HTTP/1.1 200 OK\r\nRosemaryknot-Instance-Signature: i-1.sig\r\n\r\n"
PARTS = (b"first part;", b" second part")
WHOLE = b"".join(PARTS)
BODY = b"x" * 1_500_000
# Connections of a test; without the safeguard a quarter of the resets look complete.
ROUNDS = 150
LONGEST_READ_S = 0.008
CLOSE_TO_RESET_S = 0.002


def wait_unread(connection):
    """Wait until bytes have arrived that are not read."""
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    poll.poll()


class EarlyServer:
    """Responds while it reads a request, in a thread; then ends the connection.

    Parameters
    ----------
    end : str
        ``"reset"``: after the first part of the response, at any moment of the upload.
        ``"reset unread"``: the same, without reading the upload, so that its writer
        waits. ``"close unread"``: a close with bytes unread, which the system turns
        into a reset. ``"reset after close"``: a close for writing, and a reset while
        the upload arrives. ``"half close"``: in order after the whole response, and it
        reads on.
    """

    def __init__(self, end):
        self.end = end
        self.rng = random.Random(7)
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.thread = threading.Thread(target=self.serve, daemon=True)

    def __enter__(self):
        self.thread.start()
        return Address(*self.listening.getsockname())

    def __exit__(self, *error):
        self.listening.close()

    def serve(self):
        for _ in range(ROUNDS):
            try:
                connection, _ = self.listening.accept()
            except OSError:
                return
            with connection:
                self.respond(connection)

    def respond(self, connection):
        request = b""
        while b"\r\n\r\n" not in request:
            request += connection.recv(4096)
        connection.sendall(HEAD + PARTS[0])
        delay_s = self.rng.uniform(0.0, LONGEST_READ_S)
        if self.end.endswith("unread"):
            time.sleep(delay_s)
        else:
            self.read(connection, delay_s)
        if self.end == "close unread":
            wait_unread(connection)
            return
        if self.end == "reset after close":
            connection.shutdown(socket.SHUT_WR)
            time.sleep(CLOSE_TO_RESET_S)
        if self.end.startswith("reset"):
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return
        connection.sendall(PARTS[1])
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(1 << 16):
            pass

    def read(self, connection, for_s):
        """Read in bursts of different sizes."""
        end_s = time.monotonic() + for_s
        connection.setblocking(False)
        while time.monotonic() < end_s:
            try:
                connection.recv(self.rng.choice((4096, 1 << 20)))
            except BlockingIOError:
                time.sleep(0.0001)
        connection.setblocking(True)


async def exchange(address):
    """Send a long request; return what came of the body, and whether it looks whole."""
    entry = RoutedServer(ServerIncarnation("i-1"), "s", "z", address)
    connection = ServerConnection(await SocketNetwork().dial(address), entry)
    headers = [(b"host", b"a"), (b"content-length", b"%d" % len(BODY))]
    await connection.send(b"POST", b"/x", headers, BODY)
    chunks = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.send_rest)
        head = await connection.head(PlatformWire(), "")
        if not isinstance(head, Lost):
            chunks = [chunk async for chunk in connection.chunks()]
        nursery.cancel_scope.cancel()
    await connection.aclose()
    is_lost = isinstance(head, Lost) or isinstance(chunks[-1], Lost)
    body = b"".join(chunk for chunk in chunks if isinstance(chunk, bytes))
    return body, not is_lost


async def exchange_by_relay(address):
    """Do the same through a peer that relays the connection."""
    near, far = trio.testing.memory_stream_pair()
    body, is_whole = b"", False
    async with trio.open_nursery() as nursery:
        server = await SocketNetwork().dial(address)
        nursery.start_soon(relay_bytes, far, FrameReader(far), server)
        request = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        nursery.start_soon(near.send_all, request % len(BODY) + BODY)
        reader = FrameReader(near)
        while (frame := await reader.read_frame(1 << 20))[:1] == b"d":
            body += frame[1:]
        is_whole = frame == b"e"
        nursery.cancel_scope.cancel()
    await trio.aclose_forcefully(server)
    return body[len(HEAD) :], is_whole


async def exchange_on_own_interface(address):
    """Do the same by the client of the product's own interface."""
    client = PlainClient(SocketNetwork())
    now_s = trio.current_time()
    request = PlainRequest(
        "r1", "ada", "app", "POST", "/x", [], BODY, "", 0, b"", now_s, now_s + 5.0
    )
    server = BackendServer(
        "p0", "app", "z", "g1", True, f"{address.host}:{address.port}"
    )
    result = await client.send(server, request, False, now_s + 5.0)
    await client.aclose()
    is_whole = isinstance(result, Answered)
    return result.body if is_whole else b"", is_whole


PATHS = pytest.mark.parametrize(
    "exchange", [exchange, exchange_by_relay, exchange_on_own_interface]
)


ENDS = ("reset", "reset unread", "close unread", "reset after close")


class TestResets:
    @PATHS
    @pytest.mark.parametrize("end", ENDS, ids=[end.replace(" ", "-") for end in ENDS])
    async def test_no_part_of_a_response_looks_complete(self, exchange, end):
        """Guards against a reset that the reader of a response takes for its end."""
        with EarlyServer(end) as address:
            outcomes = [await exchange(address) for _ in range(ROUNDS)]
        assert [body for body, is_whole in outcomes if is_whole] == []


class TestOrderlyEnds:
    @PATHS
    async def test_half_close_is_the_end(self, exchange):
        """Guards against a response that is lost as its request is still being sent."""
        with EarlyServer("half close") as address:
            outcomes = [await exchange(address) for _ in range(ROUNDS)]
        assert outcomes == [(WHOLE, True)] * ROUNDS
