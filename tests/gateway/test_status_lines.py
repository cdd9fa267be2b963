"""Tests of responses whose status line is not valid, by each path to the server."""

import pytest
import trio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.stream_transport import stream_client
from rosemaryknot.standin.users.raw_http import RawServer
from rosemaryknot.standin.users.system import MODEL_HEADERS, platform_system
from rosemaryknot.values.nodes import Address

ADDRESS = Address("10.0.0.1", 80)
INVALID = [
    b"HTTP/1.1 000 x",
    b"HTTP/1.1 001 x",
    b"HTTP/1.1 099 x",
    b"HTTP/1.1 600 x",
    b"HTTP/1.1 999 x",
    b"HTTP/1.1 0200 x",
    b"HTTP/1.1 20 x",
    b"HTTP/1.1 -20 x",
    b"HTTP/0.0 200 x",
    b"HTTP/2.0 200 x",
    b"HTTP/9.9 200 x",
    b"HTTP/1.1 \xd9\xa2\xd9\xa0\xd9\xa0 x",
    b"ICY 200 OK",
]
VALID = [b"HTTP/1.1 599 x", b"HTTP/1.0 200 x", b"HTTP/1.2 200 x"]
HEADERS = b"Rosemaryknot-Instance-Signature: p0.sig\r\nRosemaryknot-Attempt-Id: r1\r\n"
FRAMINGS = {"length": b"Content-Length: 4\r\n", "close": b""}
status_line = pytest.mark.parametrize("line", INVALID, ids=repr)


def respond_with(server, line, framing):
    """Let a server run each request and respond with a status line."""

    async def run(arrival, wire):
        arrival.has_run = True
        await wire.send(line + b"\r\n" + HEADERS + FRAMINGS[framing] + b"\r\nbody")
        wire.close()

    server.run = run


@status_line
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("way", ["direct", "peer"])
class TestServers:
    async def test_no_caller_gets_it(self, autojump_clock, line, framing, way):
        """Guards against a response with a status that is none."""
        async with platform_system(nodes=2, plain=1, models=1) as fleet:
            if way == "peer":
                fleet.cut_off("n0", "refuse")
            for server in fleet.servers.values():
                respond_with(server, line, framing)
            booked = await fleet.ask("/book/x", "n0")
            assert booked.status == 502 and booked.is_whole
            for path in ("/stock/x", "/plan/x", "/ask/x"):
                headers = {} if path == "/stock/x" else MODEL_HEADERS
                answer = await fleet.ask(path, "n0", **headers)
                assert answer.status in (502, 503) and answer.is_whole
            # Each is a failure of the server, which is paused.
            assert all(
                s.failures for s in fleet.nodes["n0"].state.servers.by_id.values()
            )

    async def test_another_server_responds(self, autojump_clock, line, framing, way):
        async with platform_system(nodes=2) as fleet:
            if way == "peer":
                fleet.cut_off("n0", "refuse")
            for name in ("p0", "m0"):
                respond_with(fleet.servers[name], line, framing)
            for number in range(6):
                for path in ("/stock/x", "/ask/x"):
                    headers = {} if path == "/stock/x" else MODEL_HEADERS
                    request_id = f"{number}{path[1]}"
                    answer = await fleet.ask(
                        path, "n0", request_id=request_id, **headers
                    )
                    assert answer.status == 200 and answer.is_whole


class TestValidLines:
    @pytest.mark.parametrize("line", VALID, ids=repr)
    async def test_are_passed_on(self, autojump_clock, line):
        async with platform_system(plain=1, models=0) as fleet:
            respond_with(fleet.servers["p0"], line, "length")
            answer = await fleet.ask("/book/x")
            assert answer.status == int(line.split()[1])


@status_line
@pytest.mark.parametrize("make_client", [http_client, stream_client])
class TestClients:
    async def test_response_fails(self, autojump_clock, nursery, make_client, line):
        """Guards against the same on the own interface and from the store."""

        async def handle(request, wire):
            await wire.send(line + b"\r\nContent-Length: 4\r\n\r\nbody")

        network = MemoryNetwork("10.0.0.2")
        server = RawServer(handle)
        await nursery.start(server.serve, network.with_host(ADDRESS.host), ADDRESS)
        async with make_client(network, 1.0) as client:
            with pytest.raises(Exception) as raised, trio.fail_after(5):
                await client.get(f"http://{ADDRESS}/")
        assert type(raised.value).__name__ == "RemoteProtocolError"
        nursery.cancel_scope.cancel()
