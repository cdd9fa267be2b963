"""Tests of servers that state a rate limit for all gateways together."""

import trio

from rosemaryknot.standin.users.system import platform_system


async def request_stock(fleet, request_id, node="n0"):
    return await fleet.ask("/stock/x", node, request_id=request_id, body=b"b")


class TestLogs:
    """An operator sees which server stated which limit, in which response."""

    async def test_changes_are_logged(self, autojump_clock, info_lines):
        async with platform_system(plain=1) as fleet:
            for number, limit in enumerate(("5", "5", "4.5", "-1", None)):
                fleet.servers["p0"].state_limit(limit)
                await request_stock(fleet, f"r{number}")
                await trio.sleep(1)
        lines = [x for x in info_lines if x["event"] == "server stated a rate limit"]
        stated = [(line["request"], line["limit"], line["before"]) for line in lines]
        assert stated[:2] == [("r0", 5.0, None), ("r2", 4.5, 5.0)]
        assert [request for request, _, _ in stated[2:]] == ["r3", "r4"]
