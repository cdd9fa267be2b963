"""Limits of whole systems: entries, agents and stand-ins in virtual time."""

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
    """Yield a settled system, and a function that sends a request to each entry."""
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

        async def ask(zone, max_tokens):
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

        yield system, ask
    system.dispose()


class TestLimitsOfASystem:
    async def test_concurrent_requests(self, nursery, autojump_clock):
        """A customer with three requests at once sends six through each zone.

        Three run, wherever they came in; the others are refused at once, with when
        to come back. When the three are done, three more run, all through one zone.
        """
        limits = {MODEL: {"concurrent_requests": 3}}
        answers = []
        async with system_with(nursery, limits) as (_, ask):

            async def send(zone):
                started_s = trio.current_time()
                answer = await ask(zone, 2000)
                answers.append((answer, trio.current_time() - started_s))

            for zones in (ZONES * 6, ZONES[:1] * 6):
                answers.clear()
                async with trio.open_nursery() as senders:
                    for zone in zones:
                        senders.start_soon(send, zone)
                        await trio.sleep(0.01)
                refused = [pair for pair in answers if pair[0].status_code == 429]
                assert len(answers) - len(refused) == 3
                assert all(took_s < 0.3 for _, took_s in refused)
                bodies = [answer.json() for answer, _ in refused]
                assert {body["reason"] for body in bodies} == {"limit_reached"}
                assert all("Retry-After" in answer.headers for answer, _ in refused)
                await trio.sleep(5)

    async def test_tokens_through_one_zone(self, nursery, autojump_clock):
        """All requests come through one zone, while another one is cut off.

        The customer gets the shares of the two zones that reach each other, and is
        refused beyond them, with no more calls of the platform than without traffic.
        """
        limits = {MODEL: {"tokens_per_minute": 6000}}
        async with system_with(nursery, limits) as (system, ask):
            system.cut_zone(ZONES[2], platform_too=False)
            await trio.sleep(5)
            before = system.platform.calls.total()
            await trio.sleep(30)
            idle = system.platform.calls.total() - before
            used = 0

            async def send():
                nonlocal used
                answer = await ask(ZONES[0], 20)
                if answer.status_code == 200:
                    used += answer.json()["usage"]["total_tokens"]

            async with trio.open_nursery() as senders:
                for _ in range(300):
                    senders.start_soon(send)
                    await trio.sleep(0.1)
                # Of as many seconds as the idle count: the last requests wait for
                # budget after it, and the agents' own calls go on meanwhile.
                made = system.platform.calls.total() - before - idle
            allowed = 6000 * 2 / 3 / 2
            assert 0.8 * allowed <= used <= 1.05 * allowed + 100
            assert made <= idle + 20
