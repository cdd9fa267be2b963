"""Responses of the stand-ins for servers that have no end."""

from collections.abc import Awaitable, Callable

import trio

from rosemaryknot.standin.users.raw_http import RawWire
from rosemaryknot.standin.users.servers import ENDLESS, Arrival, ServerStandIn

__all__ = ["ENDLESS_BODIES", "ENDLESS_NAMES"]

# 16 MB a second.
PIECE = b"x" * 65536
PIECE_INTERVAL_S = 0.004
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
LARGE_LENGTH = 1 << 40

Endless = Callable[[ServerStandIn, Arrival, RawWire], Awaitable[None]]


def endless(name: str) -> Callable[[Endless], Endless]:
    """Register a response without end."""

    def register(respond: Endless) -> Endless:
        ENDLESS[name] = respond
        return respond

    return register


async def send_forever(server: ServerStandIn, wire: RawWire, piece: bytes) -> None:
    """Send bytes until the connection is closed, and count what is accepted."""
    while True:
        await wire.send(piece)
        server.endless_bytes += len(piece)
        await trio.sleep(PIECE_INTERVAL_S)


@endless("endless_status")
async def endless_status(
    server: ServerStandIn, arrival: Arrival, wire: RawWire
) -> None:
    """Send a status line without end."""
    await wire.send(b"HTTP/1.1 200 ")
    await send_forever(server, wire, PIECE)


@endless("endless_header")
async def endless_header(
    server: ServerStandIn, arrival: Arrival, wire: RawWire
) -> None:
    """Send header lines without end."""
    await wire.send(b"HTTP/1.1 200 x\r\n")
    await send_forever(server, wire, b"X-More: 1\r\n" * 1000)


@endless("endless_interim")
async def endless_interim(
    server: ServerStandIn, arrival: Arrival, wire: RawWire
) -> None:
    """Send interim responses without end."""
    await send_forever(server, wire, INTERIM * 1000)


@endless("endless_stray")
async def endless_stray(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Send a response without end to another request."""
    headers = server.headers(arrival) | {"Rosemaryknot-Attempt-Id": "another"}
    await wire.head(200, headers | {"Transfer-Encoding": "chunked"})
    await send_chunks(server, wire)


@endless("endless_length")
async def endless_length(
    server: ServerStandIn, arrival: Arrival, wire: RawWire
) -> None:
    """Send a body whose length is absurd."""
    arrival.has_run = True
    headers = server.headers(arrival) | {"Content-Length": str(LARGE_LENGTH)}
    await wire.head(200, headers)
    await send_forever(server, wire, PIECE)


@endless("endless_chunks")
async def endless_chunks(
    server: ServerStandIn, arrival: Arrival, wire: RawWire
) -> None:
    """Send a body in chunks without end."""
    arrival.has_run = True
    chunked = {"Transfer-Encoding": "chunked"}
    await wire.head(200, server.headers(arrival) | chunked)
    await send_chunks(server, wire)


@endless("endless_close")
async def endless_close(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Send a body that would end with the connection, and does not."""
    arrival.has_run = True
    await wire.head(200, server.headers(arrival))
    await send_forever(server, wire, PIECE)


@endless("endless_error")
async def endless_error(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Send an error whose body has no end."""
    arrival.has_run = True
    chunked = {"Transfer-Encoding": "chunked"}
    await wire.head(500, server.headers(arrival) | chunked)
    await send_chunks(server, wire)


async def send_chunks(server: ServerStandIn, wire: RawWire) -> None:
    """Send chunks until the connection is closed."""
    await send_forever(server, wire, b"%x\r\n%s\r\n" % (len(PIECE), PIECE))


ENDLESS_NAMES = tuple(sorted(ENDLESS))
# Those that the head of a response does not show.
ENDLESS_BODIES = ("endless_length", "endless_chunks", "endless_close")
