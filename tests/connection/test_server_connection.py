"""Tests of connections to backend servers, on sockets."""

from functools import partial

import pytest
import trio

from rosemaryknot.connection.gateway_server import ServerConnection
from rosemaryknot.connection.network import SocketNetwork
from rosemaryknot.values.gateway import RoutedServer
from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.nodes import Address

READ_BYTES = 65536
HEADERS = [(b"host", b"a.example"), (b"content-length", b"4")]
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def accept(answer, ends, stream):
    """Answer the first bytes that come, and note how the connection ends."""
    await stream.receive_some(READ_BYTES)
    await stream.send_all(answer)
    try:
        ends.append(await stream.receive_some(READ_BYTES))
    except trio.BrokenResourceError:
        ends.append("reset")


async def connected(nursery, answer, ends):
    """Return a connection to a server that takes one request."""
    network = SocketNetwork()
    handle = partial(accept, answer, ends)
    address = await nursery.start(network.listen, Address("127.0.0.1", 0), handle)
    server = RoutedServer(ServerIncarnation("s", 1), "stock", "z0", address, 1, False)
    connection = ServerConnection(await network.dial(address), server)
    await connection.send(b"POST", b"/", HEADERS, b"body")
    return connection


class TestClose:
    @pytest.mark.parametrize("answer", [b"", ANSWER[:-1]])
    async def test_request_given_up_is_not_delivered_later(self, answer):
        """Guards against a request that TCP delivers once a partition has healed."""
        ends = []
        async with trio.open_nursery() as nursery:
            connection = await connected(nursery, answer, ends)
            await trio.sleep(0.05)
            await connection.aclose()
            await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        assert ends == ["reset"]

    async def test_answered_request_ends_its_connection_in_order(self):
        ends = []
        async with trio.open_nursery() as nursery:
            connection = await connected(nursery, ANSWER, ends)
            await connection.next_event()
            async for _ in connection.chunks():
                pass
            await connection.aclose()
            await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        assert ends == [b""]
