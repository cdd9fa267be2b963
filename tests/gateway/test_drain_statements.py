"""Tests of servers that state in their responses that they drain."""

import pytest
import trio
from tests.gateway.availability_load import OK, AvailabilityLoad

from rosemaryknot.standin.users.system import platform_system

# Time after which other nodes know of a drain, and those that only peers tell.
NOTICE_S = 1.0


def served_share(load, since_s):
    statuses = load.statuses(since_s)
    return sum(status == OK for status in statuses) / len(statuses)


class TestStatements:
    """A server that states that it drains gets no requests, whatever its entry says."""

    @pytest.mark.parametrize(
        ("path", "server"),
        [("/ask/x", "m0"), ("/stock/x", "p0"), ("/book/x", "p0")],
    )
    async def test_no_requests_after_the_statement(self, autojump_clock, path, server):
        async with platform_system(nodes=6, plain=3, models=4) as fleet:
            load = AvailabilityLoad(fleet)
            await load.run(2.0, path)
            fleet.servers[server].draining = "1"
            drained_s = trio.current_time()
            await load.run(8.0, path)
            assert load.late() == []
            assert load.reached(server, drained_s + NOTICE_S) == []
            assert served_share(load, drained_s) == 1.0
