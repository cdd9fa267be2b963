"""Tests for response chunks that are written without the application task."""

import json
from contextlib import asynccontextmanager

import pytest
import trio
from quart import Response, request
from quart_trio import QuartTrio

from rosemaryknot.connection.direct_write import get_direct_writer
from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.http_server import HttpServer
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.network import SocketNetwork
from rosemaryknot.request.generations import Generation
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.outcomes import Answered
from rosemaryknot.values.requests import ModelRequest

REQUEST = b"GET /stream HTTP/1.1\r\nhost: x\r\n\r\n"
SMALL, LARGE = b"a", b"b" * 4000


def generation() -> Generation:
    """Return a generation without tokens."""
    request = ModelRequest(
        request_id="r1",
        customer="estimator-1",
        service="kit-assistant",
        messages=[],
        max_tokens=9000,
        stream=True,
        priority=0,
        arrived_s=trio.current_time(),
        body={},
        deadline_s=trio.current_time() + 600.0,
    )
    return Generation(request, "l1")


def events_of(body: bytes) -> list[dict]:
    """Return the events of a complete stream, without the final marker."""
    frames = body.decode().split("\n\n")
    assert frames[-2:] == ["data: [DONE]", ""]
    return [json.loads(frame[6:]) for frame in frames[:-2]]


@asynccontextmanager
async def served(network, one: Generation):
    """Serve a generation on a network; yield the address."""
    app = QuartTrio("test")

    @app.get("/stream")
    async def stream() -> Response:
        writer = get_direct_writer(request.scope)
        response = Response(
            one.subscribe(writer=writer), content_type="text/event-stream"
        )
        response.timeout = None
        return response

    async with trio.open_nursery() as nursery:
        server = HttpServer(app, network)
        yield await nursery.start(server.serve, Address("127.0.0.1", 0))
        nursery.cancel_scope.cancel()


class TestDirectWrite:
    async def test_tokens_pass_without_the_application_task(self, autojump_clock):
        """A token is sent to the caller before any other task has run."""
        network, one = MemoryNetwork(), generation()
        async with served(network, one) as address:
            stream = await network.dial(address)
            await stream.send_all(REQUEST)
            await trio.sleep(1.0)
            assert len(one.direct_subscribers) == 1
            before = stream.incoming.size
            one.emit([SMALL])
            assert stream.incoming.size > before

    async def test_head_gets_no_body(self, autojump_clock):
        """A HEAD request targets a running stream; its response has no body.

        A token written to it would break the framing of the connection, and the
        caller's next request on it would get no response.
        """
        network, one = MemoryNetwork(), generation()
        async with served(network, one) as address:
            stream = await network.dial(address)
            await stream.send_all(REQUEST.replace(b"GET", b"HEAD"))
            await trio.sleep(1.0)
            one.emit([SMALL])
            one.finish(Answered(200, [], b""))
            await trio.sleep(1.0)
            assert (await stream.receive_some()).endswith(b"\r\n\r\n")
            assert not stream.incoming.chunks
            await stream.send_all(REQUEST)
            await trio.sleep(1.0)
            assert b"200" in await stream.receive_some()

    @pytest.mark.parametrize("network", [MemoryNetwork(), SocketNetwork()])
    async def test_slow_reader_receives_each_token_once(self, network):
        """A caller stops reading while tokens are emitted, and reads them all later.

        At some point the connection accepts only a part of a token. The rest of that
        token must be buffered and sent before later tokens. If it were lost or sent
        twice, the framing of the response would break.
        """
        one = generation()
        async with (
            served(network, one) as address,
            http_client(network) as client,
            client.stream("GET", f"http://{address}/stream") as response,
        ):
            while not one.direct_subscribers:
                await trio.sleep(0.01)
            for _ in range(1000):
                for _ in range(4):
                    one.emit([LARGE])
                await trio.lowlevel.checkpoint()
            assert not one.direct_subscribers
            one.emit([SMALL])
            one.finish(Answered(200, [], b""))
            events = events_of(await response.aread())
        assert [event["offset"] for event in events[:-1]] == list(range(4001))
        assert events[-1] == {"outcome": "answered", "tokens": 4001}

    async def test_buffered_bytes_are_sent_without_another_token(self, autojump_clock):
        """A caller reads too slowly for a moment, and the engine pauses just then.

        The bytes buffered for the caller must not wait for the engine's next token.
        """
        network, one = MemoryNetwork(), generation()
        async with served(network, one) as address:
            stream = await network.dial(address)
            await stream.send_all(REQUEST)
            await trio.sleep(1.0)
            while not one.direct_subscribers[0].writer.is_behind:
                one.emit([LARGE])
            last = b'"offset":%d,' % (len(one.tokens) - 1)
            with trio.fail_after(5.0):
                while last not in await stream.receive_some():
                    pass

    async def test_caller_that_never_reads_uses_one_chunk_of_memory(
        self, autojump_clock
    ):
        """A caller never reads; its buffer is limited and it is closed at last."""
        network, one = MemoryNetwork(), generation()
        async with served(network, one) as address:
            stream = await network.dial(address)
            await stream.send_all(REQUEST)
            await trio.sleep(1.0)
            for _ in range(4000):
                one.emit([LARGE])
            assert stream.incoming.size < 300_000
            await trio.sleep(21.0)
            assert not one.direct_subscribers
            assert stream.incoming.ended

    async def test_caller_disconnects(self, autojump_clock):
        """The caller disconnects; the engine task that writes to it must not fail."""
        network, one = MemoryNetwork(), generation()
        async with served(network, one) as address:
            stream = await network.dial(address)
            await stream.send_all(REQUEST)
            await trio.sleep(1.0)
            await stream.aclose()
            one.emit([SMALL])
            await trio.sleep(1.0)
            one.emit([SMALL])
            assert not one.direct_subscribers
            assert one.tokens == [SMALL, SMALL]
