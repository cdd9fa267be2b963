"""Tests for connections to backend servers, on sockets."""

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
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def accept(response, ends, stream):
    """Respond to the first received bytes, and record how the connection ends."""
    await stream.receive_some(READ_BYTES)
    await stream.send_all(response)
    try:
        ends.append(await stream.receive_some(READ_BYTES))
    except trio.BrokenResourceError:
        ends.append("reset")


async def connect_and_send(nursery, response, ends):
    """Send a request to a server that accepts one, and return the connection."""
    network = SocketNetwork()
    handle = partial(accept, response, ends)
    address = await nursery.start(network.listen, Address("127.0.0.1", 0), handle)
    server = RoutedServer(ServerIncarnation("s", 1), "stock", "z0", address, 1, False)
    connection = ServerConnection(await network.dial(address), server)
    await connection.send(b"POST", b"/", HEADERS, b"body")
    return connection


class TestClose:
    @pytest.mark.parametrize("response", [b"", RESPONSE[:-1]])
    async def test_abandoned_request_is_not_delivered_later(self, response):
        """Guards against a request that TCP delivers once a partition has healed."""
        ends = []
        async with trio.open_nursery() as nursery:
            connection = await connect_and_send(nursery, response, ends)
            await trio.sleep(0.05)
            await connection.aclose()
            await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        assert ends == ["reset"]

    async def test_completed_exchange_closes_without_reset(self):
        ends = []
        async with trio.open_nursery() as nursery:
            connection = await connect_and_send(nursery, RESPONSE, ends)
            await connection.next_event()
            async for _ in connection.chunks():
                pass
            await connection.aclose()
            await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        assert ends == [b""]
