"""Tests of servers that send bytes without end, in the place of a response or in it."""

import pytest
import trio

from rosemaryknot.standin.users.endless_responses import ENDLESS_NAMES
from rosemaryknot.standin.users.system import platform_system

MEGABYTE = 1 << 20
# What a node may read, and so hold, of one such response whose caller reads nothing.
MAX_READ_BYTES = 8 * MEGABYTE


class TestMemory:
    """A response without end takes a bounded part of a node's memory."""

    @pytest.mark.parametrize("fault", ENDLESS_NAMES)
    async def test_one_response(self, autojump_clock, fault):
        async with platform_system(nodes=1, plain=1) as fleet:
            server = fleet.servers["p0"]
            server.faults.append(fault)
            caller = await fleet.caller().open()
            await caller.send("/book/x")
            await trio.sleep(3.0)
            assert server.endless_bytes < MAX_READ_BYTES
