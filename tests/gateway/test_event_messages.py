"""Tests of how many messages an event costs the relays of a large deployment."""

import pytest
import trio

from rosemaryknot.standin.users.fleet_events import (
    FleetLoad,
    MessageCounts,
    count_messages,
)
from rosemaryknot.standin.users.system import platform_system

SERVERS = 16
REQUESTS_PER_S = 1.0
SETTLE_S = 4.0
# What a node sends or receives because of one event, on each of its links, however many
# nodes have seen the event.
MAX_PER_LINK = 10
# Kinds of messages that events cause, and those that carry others.
EVENT_KINDS = frozenset(
    {
        "crash_notice",
        "notice_received",
        "server_drain_notice",
        "server_limit_notice",
        "peer_forward",
        "peer_forwarded",
    }
)


async def most_per_link(nodes, event, after_s=0.0, for_s=2.5):
    """Return the messages of the busiest node for each of its links, and its name."""
    async with (
        platform_system(nodes=nodes, models=SERVERS) as fleet,
        trio.open_nursery() as nursery,
    ):
        load = FleetLoad(fleet, REQUESTS_PER_S)
        nursery.start_soon(load.run)
        await trio.sleep(SETTLE_S)
        links = MessageCounts(fleet).links
        counts = await count_messages(fleet, event, after_s, for_s)
        nursery.cancel_scope.cancel()
    return max(
        (
            sum(n for (_, kind), n in c.items() if kind in EVENT_KINDS) / links[name],
            name,
        )
        for name, c in counts.items()
    )


class TestCrashes:
    """A quarter of the servers crash under the requests of all nodes."""

    @pytest.mark.parametrize("nodes", [26, 45])
    async def test_each_notice_crosses_a_link_once(self, autojump_clock, nodes):
        """Guards against relays that forward the notice of each node to each node."""
        most, node = await most_per_link(nodes, "crash")
        assert most < MAX_PER_LINK, node


class TestDrains:
    async def test_statements_of_many_servers(self, autojump_clock):
        """Guards against a notice of each node for each server that states a drain."""
        most, node = await most_per_link(45, "drain")
        assert most < MAX_PER_LINK, node


class TestCutZone:
    async def test_nodes_out_of_reach_are_not_called(self, autojump_clock):
        """Guards against many attempts for each call to a zone that was cut off."""
        most, node = await most_per_link(45, "cut", after_s=3.0, for_s=1.5)
        assert most < MAX_PER_LINK, node
