"""Tests of JSON from servers and the platform that no type of this project can hold."""

import httpx
import pytest

from rosemaryknot.connection.engine_client import EngineClient
from rosemaryknot.connection.order_client import HttpOrderClient, decode_fencing
from rosemaryknot.connection.platform import decode_response
from rosemaryknot.connection.platform_calls import Watch
from rosemaryknot.platform.store import decode_write
from rosemaryknot.process.server_load import LoadTable
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.platform import Conflict, PlatformFailed

SERVER = BackendServer("p0", "app", "z", "g1", True, "10.1.0.1:80")
NESTED = "[" * 9000 + "]" * 9000
NAMES = ("running", "waiting", "slots", "step_time_ms", "free_kv_tokens", "fencing")
INFINITE = "{" + ", ".join(f'"{name}": 1e999' for name in NAMES) + "}"
TEXTS = pytest.mark.parametrize("text", [NESTED, INFINITE], ids=["nested", "infinite"])


def client_of(text):
    """Return an HTTP client whose every response has a text."""

    def respond(request):
        return httpx.Response(200, stream=httpx.ByteStream(text.encode()))

    return httpx.AsyncClient(transport=httpx.MockTransport(respond))


@TEXTS
class TestServers:
    """Guards against an exception that ends the task which reads a response."""

    async def test_load_report(self, autojump_clock, text):
        loads = object.__new__(LoadTable)
        await loads.fetch_report(client_of(text), SERVER)

    async def test_engine(self, autojump_clock, text):
        engine = object.__new__(EngineClient)
        engine.client = client_of(text)
        assert await engine.status(SERVER, "r") is None
        assert await engine.export_kv(SERVER, "r") is None

    async def test_orders(self, autojump_clock, text):
        orders = object.__new__(HttpOrderClient)
        orders.client = client_of(text)
        assert await orders.requests(SERVER) is None
        assert decode_fencing(httpx.Response(409, text=text)) == 0


class TestPlatform:
    @TEXTS
    async def test_watch_ends(self, autojump_clock, text):
        """Guards against an exception that ends the task of a watch."""

        async def lines():
            yield text

        watch = Watch(lambda fields: int(fields["fencing"]), lines())
        assert [item async for item in watch] == []
        assert watch.ended == "bad_answer"

    @TEXTS
    def test_response(self, text):
        response = httpx.Response(200, text=text)
        outcome = decode_response(response, lambda fields: int(fields["fencing"]))
        assert isinstance(outcome, PlatformFailed)

    def test_conflict_with_an_unreadable_value(self):
        """Guards against a write whose conflict cannot be read."""
        text = f'{{"metadata": {{"name": "a", "revision": 7}}, "spec": {NESTED}}}'
        assert decode_write(httpx.Response(409, text=text)) == Conflict(7)
