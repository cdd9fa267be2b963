"""Tests of frozen and killed hosts."""

import trio
from trio.testing import MockClock

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.replay.hosts import Host, HostInstrument
from rosemaryknot.values.nodes import Address

SERVER = "10.0.0.1"
CALLER = "10.0.0.2"


async def echo(stream):
    """Send back all received data."""
    while data := await stream.receive_some():
        await stream.send_all(data)


def run(function):
    """Run an async function in virtual time with freezable hosts."""
    clock = MockClock(autojump_threshold=0)
    return trio.run(function, clock=clock, instruments=[HostInstrument()])


class TestHost:
    """All tasks of a host are frozen, thawed and killed together."""

    def test_freeze_holds_timers_and_arrivals(self):
        """A caller sends to a frozen host and receives the echo after the thaw.

        The bytes stay in the buffer of the frozen host. The handler was started by
        an accept, so this also checks that accepted connections belong to the
        listening host and not to the dialling one.
        """

        async def main():
            network = MemoryNetwork()
            server = Host(network.with_host(SERVER))
            async with trio.open_nursery() as nursery:
                address = Address(SERVER, 1)
                nursery.start_soon(server.run, server.network.listen, address, echo)
                await trio.sleep(1)
                stream = await network.with_host(CALLER).dial(address)
                server.freeze()
                await stream.send_all(b"ping")
                with trio.move_on_after(5) as early:
                    await stream.receive_some()
                server.thaw()
                answer = await stream.receive_some()
                server.dispose()
            return early.cancelled_caught, answer, trio.current_time()

        assert run(main) == (True, b"ping", 6.0)

    def test_kill_runs_no_cleanup(self):
        """Callers of a killed host see a reset before any of its cleanup runs."""
        cleaned = []

        async def process(network, address):
            try:
                await network.listen(address, echo)
            finally:
                cleaned.append(trio.current_time())

        async def main():
            network = MemoryNetwork()
            server = Host(network.with_host(SERVER))
            address = Address(SERVER, 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.run, process, server.network, address)
                await trio.sleep(1)
                stream = await network.with_host(CALLER).dial(address)
                server.kill()
                try:
                    await stream.receive_some()
                except trio.BrokenResourceError:
                    reset = not cleaned
                await trio.sleep(1)
                server.dispose()
            return reset

        assert run(main)
        assert cleaned == [2.0]
