"""Tests of responses whose head or trailers break off, by each path to the server."""

import pytest
import trio

from rosemaryknot.standin.users.system import MODEL_HEADERS, platform_system

FRAMINGS = {
    "length": (b"Content-Length: 11\r\n", b"x answers r"),
    "chunked": (b"Transfer-Encoding: chunked\r\n", b"b\r\nx answers r\r\n0\r\n\r\n"),
    "close": (b"", b"x answers r"),
}
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
TRAILERS = b"b\r\nx answers r\r\n0\r\nX-Sum: 12\r\n\r\n"
PATHS = ("/stock/x", "/book/x", "/plan/x", "/ask/x")
# Bytes of a head between two places at which it breaks off.
STEP = 7


def head_of(framing):
    """Return a complete head of a response of a server."""
    return (
        b"HTTP/1.1 200 OK\r\nRosemaryknot-Instance-Signature: p0.sig\r\n"
        b"Rosemaryknot-Attempt-Id: r1\r\n" + FRAMINGS[framing][0] + b"\r\n"
    )


def break_off(fleet, data, has_resets):
    """Let all servers send some bytes and end each of their connections."""

    def runner(server):
        async def run(arrival, wire):
            arrival.has_run = True
            await wire.send(data)
            await trio.sleep(0.01)
            wire.reset() if has_resets else wire.close()

        return run

    for server in fleet.servers.values():
        server.run = runner(server)


async def ask(fleet, path):
    headers = MODEL_HEADERS if path.startswith(("/plan/", "/ask/")) else {}
    return await fleet.ask(path, "n0", **headers)


@pytest.mark.parametrize("has_resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("way", ["direct", "peer"])
class TestHeads:
    @pytest.mark.parametrize("interim", [b"", INTERIM], ids=["plain", "after-interim"])
    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_response_is_not_taken_for_complete(
        self, autojump_clock, framing, interim, way, has_resets
    ):
        """Guards against a 200 for a head that breaks off at any byte."""
        head = head_of(framing)
        async with platform_system(nodes=2, plain=1, models=1) as fleet:
            if way == "peer":
                fleet.cut_off("n0", "refuse")
            for size in range(1, len(head), STEP):
                break_off(fleet, interim + head[:size], has_resets)
                for path in PATHS:
                    answer = await ask(fleet, path)
                    assert answer.status in (502, 503), (size, path, answer)
                # Servers that failed are paused for a time.
                await trio.sleep(3.0)
            assert len(fleet.ledger.arrivals) > len(head) / STEP

    async def test_trailers(self, autojump_clock, way, has_resets):
        """Guards against a response for complete whose trailers break off."""
        head = head_of("chunked")
        async with platform_system(nodes=2, plain=1, models=1) as fleet:
            if way == "peer":
                fleet.cut_off("n0", "refuse")
            for size in range(len(TRAILERS) - 14, len(TRAILERS) - 1):
                break_off(fleet, head + TRAILERS[:size], has_resets)
                for path in PATHS:
                    answer = await ask(fleet, path)
                    assert not (answer.status == 200 and answer.is_whole), (size, path)
                await trio.sleep(3.0)
            assert len(fleet.ledger.arrivals) > len(TRAILERS) / 2
