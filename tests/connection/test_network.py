"""Tests of how connections over sockets are closed."""

import pytest
import trio

from rosemaryknot.connection.network import (
    SocketNetwork,
    close_in_order,
    reset_on_close,
    wait_delivered,
)
from rosemaryknot.values.nodes import Address

PAYLOAD = b"x" * 300_000
READ_BYTES = 4096


async def receive_all(address):
    """Read slowly until the connection ends; return what was read and how it ended."""
    data = b""
    stream = await SocketNetwork().dial(address)
    async with stream:
        try:
            while chunk := await stream.receive_some(READ_BYTES):
                data += chunk
                await trio.sleep(0)
        except trio.BrokenResourceError:
            return data, "reset"
    return data, "closed"


class TestClose:
    @pytest.mark.parametrize("is_complete", [True, False])
    async def test_end_shows_whether_all_was_sent(self, nursery, is_complete):
        """Nothing but the end of the connection ends a response to HTTP/1.0."""

        async def serve(stream):
            reset_on_close(stream)
            await stream.send_all(PAYLOAD)
            if is_complete:
                close_in_order(stream)
            await wait_delivered(stream, 5.0)

        network = SocketNetwork()
        address = await nursery.start(network.listen, Address("127.0.0.1", 0), serve)
        with trio.fail_after(10.0):
            received = await receive_all(address)
        assert received == (PAYLOAD, "closed" if is_complete else "reset")

    async def test_wait_ends_with_its_timeout(self, nursery):
        """A caller that reads nothing must not hold the end of its connection up."""
        ended = trio.Event()

        async def serve(stream):
            reset_on_close(stream)
            with trio.move_on_after(0.2):
                await stream.send_all(PAYLOAD * 100)
            await wait_delivered(stream, 0.1)
            ended.set()

        network = SocketNetwork()
        address = await nursery.start(network.listen, Address("127.0.0.1", 0), serve)
        stream = await network.dial(address)
        with trio.fail_after(10.0):
            await ended.wait()
        await trio.aclose_forcefully(stream)


class TestAddresses:
    @pytest.mark.parametrize(
        "address", [Address("fe80::1%\u00e9", 80), Address("127.0.0.1", 70000)]
    )
    async def test_address_of_no_socket_is_an_os_error(self, address):
        """Guards against an exception of dialling that no caller handles."""
        with pytest.raises(OSError):
            await SocketNetwork().dial(address)

    async def test_refused_connection_is_told_from_other_failures(self):
        """Guards against a refusal that only the in-memory network reports as one."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        await listeners[0].aclose()
        with pytest.raises(ConnectionRefusedError):
            await SocketNetwork().dial(Address("127.0.0.1", port))
