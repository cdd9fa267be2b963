"""Tests of the pages of readiness and metrics."""

import h11
import pytest

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.pages import Page, PageServer
from rosemaryknot.values.nodes import Address

ADDRESS = Address("10.0.0.1", 80)


def fail():
    raise KeyError("lost")


PAGES = {"/metrics": lambda: Page(200, b"a 1\n"), "/broken": fail}


async def start(nursery):
    network = MemoryNetwork()
    server = PageServer(network.with_host(ADDRESS.host), PAGES)
    await nursery.start(server.run, ADDRESS)
    return network.with_host("10.9.0.1")


async def ask(network, method, path):
    """Return status, headers and body of a page."""
    stream = await network.dial(ADDRESS)
    conn = h11.Connection(h11.CLIENT)
    request = h11.Request(method=method, target=path, headers=[("Host", "a")])
    await stream.send_all(conn.send(request) + conn.send(h11.EndOfMessage()))
    head, body = None, b""
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await stream.receive_some(4096))
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            return head.status_code, dict(head.headers), body


class TestMethods:
    async def test_get(self, nursery, autojump_clock):
        network = await start(nursery)
        assert (await ask(network, "GET", "/metrics"))[::2] == (200, b"a 1\n")

    async def test_head_has_no_body(self, nursery, autojump_clock):
        """Guards against a HEAD that ends the node."""
        network = await start(nursery)
        status, headers, body = await ask(network, "HEAD", "/metrics")
        assert (status, headers[b"content-length"], body) == (200, b"4", b"")

    @pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "OPTIONS", "TRACE"])
    async def test_others_are_not_allowed(self, nursery, autojump_clock, method):
        network = await start(nursery)
        status, headers, _ = await ask(network, method, "/metrics")
        assert (status, headers[b"allow"]) == (405, b"GET, HEAD")

    async def test_failed_page_ends_its_connection_only(self, nursery, autojump_clock):
        network = await start(nursery)
        with pytest.raises(h11.RemoteProtocolError):
            await ask(network, "GET", "/broken")
        assert (await ask(network, "GET", "/metrics"))[0] == 200
