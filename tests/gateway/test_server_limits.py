"""Tests of servers that state a rate limit for all gateways together."""

import random
from collections import Counter

import pytest
import trio

from rosemaryknot.standin.users.limit_windows import (
    CONTACT_S,
    allowed_requests,
    limited_periods,
    most_in_window,
)
from rosemaryknot.standin.users.system import MODEL_HEADERS, platform_system

OK = 200
# Load on a service, in requests per second: several times what a limited server takes.
LOAD_PER_S = 24.0


async def request_stock(fleet, request_id, node="n0"):
    return await fleet.ask("/stock/x", node, request_id=request_id, body=b"b")


async def send_load(fleet, for_s, path="/stock/x", per_s=LOAD_PER_S, nodes=None):
    """Send requests at random nodes and times; return the responses."""
    rng = random.Random(1)
    answers = []
    headers = MODEL_HEADERS if path.startswith(("/ask", "/plan")) else {}

    async def send(number):
        node = rng.choice(nodes or list(fleet.nodes))
        answers.append(await fleet.ask(path, node, request_id=f"l{number}", **headers))

    end_s = trio.current_time() + for_s
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            await trio.sleep(rng.expovariate(per_s))
            nursery.start_soon(send, number)
            number += 1
    return answers


def arrival_times(fleet, server):
    return [a.timestamp_s for a in fleet.ledger.arrivals if a.server == server]


def exceeded_periods(fleet):
    """Return the servers that got more than they stated, with the number."""
    exceeded = []
    for period in limited_periods(fleet.ledger.statements):
        times = arrival_times(fleet, period.server.partition("/")[0])
        most = most_in_window(times, period.started_s + CONTACT_S, period.ended_s)
        if most > allowed_requests(period.rate):
            exceeded.append((period.server, period.rate, most))
    return exceeded


class TestRate:
    """A server that states a limit gets no more than that from all nodes together."""

    @pytest.mark.parametrize("nodes", [1, 3, 6, 30])
    @pytest.mark.parametrize(
        ("path", "server"), [("/stock/x", "p0"), ("/book/x", "p0"), ("/ask/x", "m0")]
    )
    async def test_over_all_nodes(self, autojump_clock, nodes, path, server):
        async with platform_system(nodes=nodes, plain=3, models=3) as fleet:
            fleet.servers[server].limit = "1.8"
            answers = await send_load(fleet, 16.0, path)
            assert not exceeded_periods(fleet)
            assert Counter(a.status for a in answers) == {OK: len(answers)}


class TestLogs:
    """An operator sees which server stated which limit, in which response."""

    async def test_changes_are_logged(self, autojump_clock, info_lines):
        async with platform_system(plain=1) as fleet:
            for number, limit in enumerate(("5", "5", "4.5", "-1", None)):
                fleet.servers["p0"].limit = limit
                await request_stock(fleet, f"r{number}")
                await trio.sleep(1)
        lines = [x for x in info_lines if x["event"] == "server stated a rate limit"]
        stated = [(line["request"], line["limit"], line["before"]) for line in lines]
        assert stated[:2] == [("r0", 5.0, None), ("r2", 4.5, 5.0)]
        assert [request for request, _, _ in stated[2:]] == ["r3", "r4"]
