"""Tests of the transport for long streams."""

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
PAUSE_S = 60.0


@asynccontextmanager
async def answered(network, parts: list[bytes], stays_open: bool):
    """Open a stream whose server sends the parts one by one."""

    async def serve(stream) -> None:
        await stream.receive_some(65536)
        for part in parts:
            await stream.send_all(part)
            await trio.sleep(0.001)
        if stays_open:
            await trio.sleep(PAUSE_S)

    async with trio.open_nursery() as nursery:
        address = await nursery.start(network.listen, Address("127.0.0.1", 0), serve)
        async with (
            stream_client(network, 1.0) as client,
            client.stream("GET", f"http://{address}/") as answer,
        ):
            yield answer
        nursery.cancel_scope.cancel()


class TestStreamTransport:
    @pytest.mark.parametrize("whole", [CHUNKED + BODY, SIZED])
    async def test_cut_anywhere(self, whole, autojump_clock):
        """The server stays silent behind the body, wherever its bytes were parted."""
        for cut in range(1, len(whole)):
            parts = [whole[:cut], whole[cut:]]
            async with answered(MemoryNetwork(), parts, True) as answer:
                with trio.fail_after(PAUSE_S / 2):
                    assert await answer.aread() == b"alphabeta"

    @pytest.mark.parametrize("length", [19, 20, 21])
    async def test_all_that_came_is_passed_on(self, length, autojump_clock):
        """Two chunks came in one read, and then the engine pauses.

        The second one must not wait for the bytes that follow it.
        """
        parts = [CHUNKED, BODY[:length]]
        async with answered(MemoryNetwork(), parts, True) as answer:
            received = b""
            with trio.move_on_after(PAUSE_S / 2):
                async for chunk in answer.stream:
                    received += chunk
            assert received == b"alphabeta"

    @pytest.mark.parametrize("network", [MemoryNetwork(), SocketNetwork()])
    async def test_end_in_the_middle(self, network):
        """The server goes away within the body: that is an error and no short body."""
        async with answered(network, [CHUNKED, BODY[:10]], False) as answer:
            with pytest.raises(httpx.RemoteProtocolError):
                await answer.aread()

    async def test_closed_while_it_is_read(self):
        """Somebody closes the response while its reader waits on a real socket."""
        async with answered(SocketNetwork(), [CHUNKED, BODY[:10]], True) as answer:
            body = answer.stream.__aiter__()
            assert await anext(body) == b"alpha"
            async with trio.open_nursery() as nursery:
                nursery.start_soon(answer.aclose)
                with trio.fail_after(5.0), pytest.raises(httpx.ReadError):
                    await anext(body)
