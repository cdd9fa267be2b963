"""Tests for the HTTP client over a `Network`."""

import trio
from quart_trio import QuartTrio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.http_server import HttpServer
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.network import SocketNetwork
from rosemaryknot.values.nodes import Address

KEEPALIVE_S = 0.05


async def call_twice(nursery, network, address):
    """Call a server twice; it closes the idle connection between the calls."""
    app = QuartTrio("test")

    @app.get("/")
    async def root():
        return "whole"

    server = HttpServer(app, network)
    server.config.keep_alive_timeout = KEEPALIVE_S
    bound = await nursery.start(server.serve, address)
    async with http_client(network) as client:
        url = f"http://{bound}/"
        first = await client.get(url)
        await trio.sleep(2 * KEEPALIVE_S)
        return first.text, (await client.get(url)).text


class TestClosedIdleConnection:
    """A server closes an idle connection; the next request must not be lost on it.

    The client pools connections. If it does not check the stream before reuse, it
    writes the request to the closed connection and gets "server disconnected", which
    cannot be distinguished from a lost response.
    """

    async def test_in_memory(self, nursery, autojump_clock):
        network = MemoryNetwork("10.0.0.1")
        responses = await call_twice(nursery, network, Address("10.0.0.1", 80))
        assert responses == ("whole", "whole")

    async def test_on_sockets(self, nursery):
        responses = await call_twice(nursery, SocketNetwork(), Address("127.0.0.1", 0))
        assert responses == ("whole", "whole")
