"""Fuzz tests of input from callers, servers, event streams and settings files."""

import json

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from rosemaryknot.process.node_settings import NodeSettings, load_node_settings
from rosemaryknot.request.event_stream import EventSplitter
from rosemaryknot.standin.users.system import platform_system

HEADS = st.sampled_from(
    [
        b"GET /stock/x HTTP/1.1\r\nHost: a.example\r\n\r\n",
        b"POST /book/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9\r\n\r\n",
        b"POST /book/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"GET /stock/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: -1\r\n\r\n",
        b"GET /stock/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    ]
)
PIECES = st.lists(HEADS | st.binary(max_size=80), min_size=1, max_size=5)


async def check_node_after(pieces: list[bytes]) -> None:
    """Send pieces on one connection; the node must still serve other callers."""
    async with platform_system(plain=1, models=0) as system:
        stream = await system.caller().network.dial(
            system.nodes["n0"].settings.listen.callers
        )
        try:
            for piece in pieces:
                await stream.send_all(piece)
                await trio.sleep(0.01)
        except trio.BrokenResourceError:
            pass
        await trio.sleep(0.2)
        await trio.aclose_forcefully(stream)
        response = await system.ask("/stock/x", method="GET", request_id="sound")
        assert response.body.endswith(b"answers sound")
        await trio.sleep(0.1)
        assert system.nodes["n0"].listener.state.open == 0


class TestCallerBytes:
    @settings(max_examples=25, deadline=None)
    @given(PIECES)
    def test_node_keeps_serving(self, pieces):
        clock = MockClock(autojump_threshold=0)
        trio.run(check_node_after, pieces, clock=clock)


async def check_server_response(data: bytes) -> None:
    """Let a server send any bytes; the caller gets a status or a broken response."""
    async with platform_system(plain=1, models=0) as system:
        server = system.servers["p0"]
        original_serve = server.serve

        async def send_bytes(arrival, wire):
            arrival.has_run = True
            await wire.send(data)
            wire.close()

        server.serve = send_bytes
        response = await system.ask("/book/x")
        assert response.status in (0, 502) or response.body is not None
        if response.status == 200:
            assert response.headers["rosemaryknot-instance-signature"]
        server.serve = original_serve
        response = await system.ask("/book/x", request_id="next")
        assert response.status in (200, 503)


class TestServerBytes:
    @settings(max_examples=25, deadline=None)
    @given(
        st.binary(max_size=200)
        | st.builds(
            lambda head, buffer: head + buffer,
            st.sampled_from(
                [
                    b"HTTP/1.1 200 x\r\nContent-Length: 5\r\n",
                    b"HTTP/1.1 200 x\r\n\r\n",
                    b"HTTP/1.1 503 x\r\nRosemaryknot-Not-Executed: 1\r\n\r\n",
                ]
            ),
            st.binary(max_size=60),
        )
    )
    def test_caller_gets_only_own_response(self, data):
        trio.run(check_server_response, data, clock=MockClock(autojump_threshold=0))


class TestEventSplitter:
    @given(st.lists(st.binary(max_size=20)))
    def test_nothing_is_lost_or_added(self, chunks):
        splitter = EventSplitter()
        passed = b"".join(splitter.feed(chunk) for chunk in chunks)
        assert passed + bytes(splitter.buffer) == b"".join(chunks)


class TestSettings:
    @given(st.binary(max_size=200) | st.text().map(lambda t: json.dumps(t).encode()))
    def test_arbitrary_file(self, tmp_path_factory, data):
        path = tmp_path_factory.mktemp("settings") / "node.json"
        path.write_bytes(data)
        assert not isinstance(load_node_settings(path), NodeSettings)
