"""Tests of limits in whole systems with simulated servers, in virtual time."""

from contextlib import asynccontextmanager

import trio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.replay.system import System, SystemPlan
from rosemaryknot.version.view import new_key

ZONES = ["waco-a", "waco-b", "temple-c"]
MODEL, PLAIN = "kit-assistant", "dispatch-app"
SETTLED_S = 10.0


@asynccontextmanager
async def system_with(nursery, limits):
    """Yield a settled system, and a function that sends a request to an entry."""
    api_key, keys = new_key("estimator-1")
    document = {
        "services": {
            MODEL: {"kind": "model", "step_time_ms": 3, "max_tokens": 4096},
            PLAIN: {"kind": "plain", "at_most_once": {"form": "shards"}},
        },
        "placements": {MODEL: {zone: {"count": 1} for zone in ZONES}},
        "customers": {"estimator-1": {"limits": limits}},
        "keys": keys,
    }
    kinds = {MODEL: "model", PLAIN: "plain"}
    plan = SystemPlan(document, ZONES, 1, {MODEL: 1, PLAIN: 1}, kinds)
    system = System(plan, nursery)
    await system.start()
    await trio.sleep(SETTLED_S)
    async with http_client(system.callers, None) as client:

        async def send_request(zone, max_tokens):
            return await client.post(
                f"http://{system.nodes[f'{zone}-1'].settings.listen.callers}"
                "/v1/chat/completions",
                headers={"Authorization": f"Bearer {api_key}"},
                json={
                    "model": MODEL,
                    "messages": [{"role": "user", "content": "beam span"}],
                    "max_tokens": max_tokens,
                },
                timeout=60,
            )

        yield system, send_request
    system.dispose()


class TestLimitsOfASystem:
    async def test_concurrent_requests(self, nursery, autojump_clock):
        """A customer limited to three concurrent requests sends six to each zone.

        Three requests run, independent of their zone, and the others are refused
        immediately with a retry time. After that, the six requests sent to a single
        zone also get three slots.
        """
        limits = {MODEL: {"concurrent_requests": 3}}
        responses = []
        async with system_with(nursery, limits) as (_, send_request):

            async def send(zone):
                started_s = trio.current_time()
                response = await send_request(zone, 2000)
                responses.append((response, trio.current_time() - started_s))

            for zones in (ZONES * 6, ZONES[:1] * 6):
                responses.clear()
                async with trio.open_nursery() as senders:
                    for zone in zones:
                        senders.start_soon(send, zone)
                        await trio.sleep(0.01)
                refused = [pair for pair in responses if pair[0].status_code == 429]
                assert len(responses) - len(refused) == 3
                assert all(took_s < 0.3 for _, took_s in refused)
                bodies = [response.json() for response, _ in refused]
                assert {body["reason"] for body in bodies} == {"limit_reached"}
                assert all("Retry-After" in response.headers for response, _ in refused)
                await trio.sleep(5)

    async def test_tokens_through_one_zone(self, nursery, autojump_clock):
        """All requests arrive in one zone, while another zone is partitioned.

        The customer gets the shares of the two connected zones and is refused beyond
        them. The requests cause no additional calls of the platform.
        """
        limits = {MODEL: {"tokens_per_minute": 6000}}
        async with system_with(nursery, limits) as (system, send_request):
            system.partition_zone(ZONES[2], platform_too=False)
            await trio.sleep(5)
            before = system.platform.calls.total()
            await trio.sleep(30)
            idle = system.platform.calls.total() - before
            used = 0

            async def send():
                nonlocal used
                response = await send_request(ZONES[0], 20)
                if response.status_code == 200:
                    used += response.json()["usage"]["total_tokens"]

            async with trio.open_nursery() as senders:
                for _ in range(300):
                    senders.start_soon(send)
                    await trio.sleep(0.1)
                # Count the calls of as many seconds as in the idle measurement: the
                # last requests still wait for budget afterwards, while the agents
                # continue to make calls of their own.
                made = system.platform.calls.total() - before - idle
            allowed = 6000 * 2 / 3 / 2
            assert 0.8 * allowed <= used <= 1.05 * allowed + 100
            assert made <= idle + 20
