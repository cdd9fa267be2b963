"""Tests for the transport for long streams."""

from contextlib import asynccontextmanager

import httpx
import pytest
import trio

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.network import SocketNetwork
from rosemaryknot.connection.stream_transport import stream_client
from rosemaryknot.values.nodes import Address

CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
BODY = b"5\r\nalpha\r\n4\r\nbeta\r\n0\r\n\r\n"
SIZED = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nalphabeta"
OPEN_TIME_S = 60.0


@asynccontextmanager
async def open_response(network, parts: list[bytes], stays_open: bool):
    """Open a response whose server sends the parts one by one."""

    async def serve(stream) -> None:
        await stream.receive_some(65536)
        for part in parts:
            await stream.send_all(part)
            await trio.sleep(0.001)
        if stays_open:
            await trio.sleep(OPEN_TIME_S)

    async with trio.open_nursery() as nursery:
        address = await nursery.start(network.listen, Address("127.0.0.1", 0), serve)
        async with (
            stream_client(network, 1.0) as client,
            client.stream("GET", f"http://{address}/") as response,
        ):
            yield response
        nursery.cancel_scope.cancel()


class TestStreamTransport:
    @pytest.mark.parametrize("whole", [CHUNKED + BODY, SIZED])
    async def test_response_split_at_any_byte(self, whole, autojump_clock):
        """The end of a body is recognized although the connection stays open.

        The response arrives in two parts, split at each possible position.
        """
        for split in range(1, len(whole)):
            parts = [whole[:split], whole[split:]]
            async with open_response(MemoryNetwork(), parts, True) as response:
                with trio.fail_after(OPEN_TIME_S / 2):
                    assert await response.aread() == b"alphabeta"

    @pytest.mark.parametrize("length", [19, 20, 21])
    async def test_all_received_chunks_are_yielded(self, length, autojump_clock):
        """Two chunks arrive in one read, and then the engine pauses.

        The second chunk must be yielded before the bytes that follow it arrive.
        """
        parts = [CHUNKED, BODY[:length]]
        async with open_response(MemoryNetwork(), parts, True) as response:
            received = b""
            with trio.move_on_after(OPEN_TIME_S / 2):
                async for chunk in response.stream:
                    received += chunk
            assert received == b"alphabeta"

    @pytest.mark.parametrize("network", [MemoryNetwork(), SocketNetwork()])
    async def test_connection_closed_within_body(self, network):
        """A connection closed within the body raises an error, not a short body."""
        async with open_response(network, [CHUNKED, BODY[:10]], False) as response:
            with pytest.raises(httpx.RemoteProtocolError):
                await response.aread()

    async def test_response_closed_while_being_read(self):
        """The response is closed while another task waits for its body on a socket."""
        async with open_response(
            SocketNetwork(), [CHUNKED, BODY[:10]], True
        ) as response:
            body = response.stream.__aiter__()
            assert await anext(body) == b"alpha"
            async with trio.open_nursery() as nursery:
                nursery.start_soon(response.aclose)
                with trio.fail_after(5.0), pytest.raises(httpx.ReadError):
                    await anext(body)
