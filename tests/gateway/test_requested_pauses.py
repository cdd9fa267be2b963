"""Tests of servers that turn requests away and ask for a pause."""

import pytest
import trio
from tests.gateway.availability_load import AvailabilityLoad

from rosemaryknot.standin.users.system import platform_system


class TestPauses:
    """A server that asks for a pause gets nothing of the node until its end."""

    @pytest.mark.parametrize(
        ("path", "servers"),
        [("/ask/x", ("m0", "m1", "m2", "m3")), ("/stock/x", ("p0", "p1", "p2"))],
    )
    async def test_all_servers_ask_for_a_pause(self, autojump_clock, path, servers):
        async with platform_system(nodes=6, plain=3, models=4) as fleet:
            load = AvailabilityLoad(fleet)
            await load.run(1.0, path)
            for name in servers:
                fleet.servers[name].retry_after = "3"
                fleet.servers[name].is_turning_away = True
            await load.run(8.0, path)
            assert load.in_pauses() == []
            assert trio.current_time() > 8.0
