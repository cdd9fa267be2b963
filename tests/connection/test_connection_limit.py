"""Tests for the limit on the number of caller connections."""

import pytest
import trio
from quart_trio import QuartTrio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.http_server import HttpServer
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.values.nodes import Address

SERVER = Address("10.0.0.1", 8100)
URL = f"http://{SERVER}/"


async def serve(nursery, max_connections):
    app = QuartTrio("test")

    @app.route("/", methods=["GET", "POST"])
    async def root() -> str:
        return "whole"

    network = MemoryNetwork("10.0.9.1")
    server = HttpServer(app, network.with_host(SERVER.host), max_connections)
    await nursery.start(server.serve, SERVER)
    return network


class TestConnectionLimit:
    async def test_unlimited_connections(self, nursery, autojump_clock):
        """One caller holds all allowed connections open and sends nothing on them.

        The request of another caller is refused with a response, and succeeds once a
        connection has ended. Without the limit, every connection would be accepted
        until the process runs out of memory or file descriptors.
        """
        network = await serve(nursery, 2)
        held = [await network.dial(SERVER) for _ in range(2)]
        async with http_client(network, None) as caller:
            refused = await caller.post(URL, content=b"x" * 200_000)
            await held[0].aclose()
            await trio.sleep(0.1)
            accepted = await caller.get(URL)
        assert refused.status_code == 503
        assert refused.json()["outcome"] == "not_run"
        assert refused.headers["Retry-After"] == "1"
        assert accepted.text == "whole"

    @pytest.mark.parametrize(
        ("attempt", "status", "outcome"),
        [(None, 504, "unknown"), ("1", 503, "not_run"), ("2", 504, "unknown")],
    )
    async def test_retry_of_non_idempotent_request(
        self, nursery, autojump_clock, attempt, status, outcome
    ):
        """A non-idempotent request is refused because no connection is free.

        If it is a retry, an earlier attempt may have run. After "not run", the caller
        would send the request again under a new idempotency key, and it would run
        twice. Only a declared first attempt cannot have run.
        """
        network = await serve(nursery, 1)
        held = await network.dial(SERVER)
        headers = {"Idempotency-Key": "truck-slot-7"}
        if attempt is not None:
            headers["Rosemaryknot-Attempt"] = attempt
        async with http_client(network, None) as caller:
            response = await caller.post(URL, headers=headers)
        await held.aclose()
        assert (response.status_code, response.json()["outcome"]) == (status, outcome)

    async def test_concurrent_refusals_are_limited(self, nursery, autojump_clock):
        """Connections beyond the limit that send nothing are closed within a second."""
        network = await serve(nursery, 1)
        streams = [await network.dial(SERVER) for _ in range(300)]
        await trio.sleep(1.5)
        ended = 0
        for stream in streams[1:]:
            with trio.move_on_after(0.1):
                ended += await stream.receive_some(1) == b""
        assert ended == 299
