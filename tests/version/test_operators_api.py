"""Operators' API over HTTP: authorization, and the status of each outcome."""

import json
from contextlib import asynccontextmanager

import trio
from tests.version.documents import (
    CUSTOMER_KEY,
    EDITOR_KEY,
    VIEWER_KEY,
    count_patch,
    first_patch,
)
from tests.version.platform import PlatformHarness, running_harness

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.http_server import HttpServer
from rosemaryknot.values.nodes import Address
from rosemaryknot.version.operators_api import operators_app

AGENT = Address("127.0.9.2", 8200)
BOOTSTRAP_KEY = "bootstrap-secret"


class ApiClient:
    """Client of one agent's API."""

    def __init__(self, harness: PlatformHarness, client) -> None:
        self.harness = harness
        self.client = client

    async def call(self, method, path, key=EDITOR_KEY, content=None, **headers):
        request_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        request_headers["Authorization"] = f"Bearer {key}"
        url = f"http://{AGENT}/v1{path}"
        response = await self.client.request(
            method, url, headers=request_headers, content=content
        )
        return response.status_code, response.json()

    async def patch(self, operations, base, key=EDITOR_KEY, path="", name="first"):
        headers = {"If_Match": str(base), "Rosemaryknot_Patch": f"patch-{name}"}
        content = json.dumps(operations).encode()
        path = "/configuration" + path
        return await self.call("PATCH", path, key, content, **headers)


@asynccontextmanager
async def running_api():
    """Serve one agent's API; no configuration is stored yet."""
    async with running_harness() as harness, trio.open_nursery() as nursery:
        agent = harness.agent()
        app = operators_app(agent.holder, agent, BOOTSTRAP_KEY)
        network = harness.network.with_host(AGENT.host)
        await nursery.start(HttpServer(app, network).serve, AGENT)
        async with http_client(harness.network, 20.0) as client:
            yield ApiClient(harness, client)
        nursery.cancel_scope.cancel()


class TestOperatorsApi:
    async def test_bootstrap_key_is_invalid_after_first_editor(self, autojump_clock):
        """The bootstrap key of the settings can create the first version only."""
        async with running_api() as api:
            status, body = await api.patch(first_patch(), 0, key=BOOTSTRAP_KEY)
            assert (status, body["number"]) == (200, 1)
            status, _ = await api.call("GET", "/configuration", BOOTSTRAP_KEY)
            assert status == 401

    async def test_roles(self, autojump_clock):
        async with running_api() as api:
            await api.patch(first_patch(), 0, key=BOOTSTRAP_KEY)
            change = count_patch("waco-b", 3)
            for key, status in [("x.y", 401), (CUSTOMER_KEY, 401), (VIEWER_KEY, 403)]:
                response = await api.patch(change, 1, key=key, name="change")
                assert response[0] == status
            status, body = await api.call("GET", "/configuration", VIEWER_KEY)
            assert (status, body["number"]) == (200, 1)

    async def test_outcomes(self, autojump_clock):
        async with running_api() as api:
            await api.patch(first_patch(), 0, key=BOOTSTRAP_KEY)
            change = count_patch("waco-b", 3)
            dry = await api.patch(change, 1, path="?dry_run=1", name="change")
            assert (dry[0], dry[1]["outcome"]) == (200, "dry_run")
            done = await api.patch(change, 1, name="change")
            assert done[1]["effect"] == ["kit-assistant in waco-b: 2 → 3 instances"]
            stale = await api.patch(change, 1, name="other")
            assert (stale[0], stale[1]["number"]) == (412, 2)
            assert stale[1]["changes"][0]["author"] == "ana"
            lost = [{"op": "remove", "path": "/placements/dispatch-app"}]
            refused = await api.patch(lost, 2, name="danger")
            assert (refused[0], refused[1]["dangers"][0]["word"]) == (
                409,
                "dispatch-app",
            )
            path = "?confirm=dispatch-app"
            assert (await api.patch(lost, 2, path=path, name="danger"))[0] == 200
            status, body = await api.call("GET", "/patches/patch-change?base=1")
            assert (status, body["outcome"], body["number"]) == (200, "accepted", 2)
            status, body = await api.call("GET", "/configuration?at=1")
            assert body["document"]["placements"]["dispatch-app"]
            status, body = await api.call("GET", "/configuration/diff?from=1&to=2")
            assert body["effect"] == ["kit-assistant in waco-b: 2 → 3 instances"]
            status, body = await api.call("GET", "/configuration/undo?number=2")
            assert body["base"] == 3

    async def test_bad_input(self, autojump_clock):
        """Invalid requests get an error description, never a status of 500."""
        async with running_api() as api:
            await api.patch(first_patch(), 0, key=BOOTSTRAP_KEY)
            path, name = "/configuration", "patch-bad"
            cases = [
                ({}, b"[]", 428),
                ({"If_Match": "1"}, b"[]", 400),
                ({"If_Match": "1", "Rosemaryknot_Patch": "a b"}, b"[]", 400),
                ({"If_Match": "1", "Rosemaryknot_Patch": name}, b"{", 400),
                ({"If_Match": "1", "Rosemaryknot_Patch": name}, b"[" * 100_000, 400),
                ({"If_Match": "1", "Rosemaryknot_Patch": name}, b"[1]", 422),
                ({"If_Match": "1", "Rosemaryknot_Patch": name}, b"7", 422),
                (
                    {"If_Match": "1", "Rosemaryknot_Patch": name},
                    b'[{"op":"add","path":"/rules","value":NaN}]',
                    422,
                ),
                (
                    {"If_Match": "1", "Rosemaryknot_Patch": name},
                    b'[{"op":"replace","path":"","value":[]}]',
                    422,
                ),
            ]
            for headers, content, status in cases:
                response = await api.call("PATCH", path, content=content, **headers)
                assert response[0] == status, (content[:60], response)

    async def test_store_unreachable(self, autojump_clock):
        """In an outage the current version is shown and a patch returns 503."""
        async with running_api() as api:
            await api.patch(first_patch(), 0, key=BOOTSTRAP_KEY)
            api.harness.standin.faults.outage = "refuse"
            assert (await api.call("GET", "/configuration"))[1]["number"] == 1
            refused = await api.patch(count_patch("waco-b", 3), 1, name="change")
            assert (refused[0], refused[1]["outcome"]) == (503, "store_unavailable")
