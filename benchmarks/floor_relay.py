"""The floor that relaying is measured against: bare trio sockets, bytes copied.

Run: ``python benchmarks/floor_relay.py PORT SOURCE_PORT``.
"""

import sys
from functools import partial

import trio


async def copy(source: trio.SocketStream, sink: trio.SocketStream) -> None:
    """Copy bytes until the source ends."""
    while True:
        data = await source.receive_some(65536)
        if not data:
            return
        await sink.send_all(data)


async def handle(near: trio.SocketStream) -> None:
    """Join one connection to the source."""
    far = await trio.open_tcp_stream("127.0.0.1", int(sys.argv[2]))
    async with far, trio.open_nursery() as nursery:
        nursery.start_soon(copy, far, near)
        try:
            await copy(near, far)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(partial(trio.serve_tcp, host="127.0.0.1"), handle, int(sys.argv[1]))
