"""Tests of servers that crash if they have to turn away too many requests."""

import random
from collections import Counter
from functools import partial

import pytest
import trio

from rosemaryknot.request.limit_guard import BRITTLE_TTL_S
from rosemaryknot.standin.users.system import platform_system

OK, REFUSED = 200, 503
SLOTS = 4
WORK_S = 0.2
TURNED_AWAY = 3
# Load that is half as much again as what the servers take.
SERVERS = 3
TAKEN_PER_S = SERVERS * SLOTS / WORK_S
LENGTH_S = 12.0
# Falls that the users tolerate in one time in which servers are brittle.
MAX_FALLS = 2 + SERVERS / 10
SOON_S = 0.3


async def brittle_fleet_load(fleet, per_s, length_s=LENGTH_S, nodes=None):
    """Send requests to brittle servers; return the responses."""
    rng = random.Random(5)
    answers = []
    nodes = nodes or list(fleet.nodes)

    async def ask(number, node):
        answers.append(await fleet.ask("/stock/x", node, request_id=f"b{number}"))

    end_s = trio.current_time() + length_s
    async with trio.open_nursery() as nursery:
        number = 0
        while trio.current_time() < end_s:
            await trio.sleep(rng.expovariate(per_s))
            number += 1
            nursery.start_soon(ask, number, rng.choice(nodes))
    return answers


def make_brittle(fleet, room=SLOTS):
    for server in fleet.servers.values():
        server.brittle, server.room, server.work_s = TURNED_AWAY, room, WORK_S


async def start_fleet(fleet):
    """Write entries with few slots, and let the nodes read them."""
    for name, server in fleet.servers.items():
        server.entry = server.entry | {"slots": SLOTS}
        fleet.store.put("servers", name, server.entry)
    await trio.sleep(0.5)


def falls(fleet):
    return len(fleet.ledger.falls)


class TestFalls:
    """Brittle servers are sent no more than they have room for, and not nothing."""

    @pytest.mark.parametrize("nodes", [3, 6, 30])
    async def test_overload(self, autojump_clock, nodes):
        async with platform_system(nodes=nodes, plain=SERVERS, models=0) as fleet:
            await start_fleet(fleet)
            make_brittle(fleet)
            await brittle_fleet_load(fleet, 0.5 * TAKEN_PER_S, 3.0)
            answers = await brittle_fleet_load(fleet, 1.5 * TAKEN_PER_S)
            assert falls(fleet) <= MAX_FALLS
            statuses = Counter(answer.status for answer in answers)
            assert statuses[OK] >= 0.7 * TAKEN_PER_S * LENGTH_S
            refused = [answer for answer in answers if answer.status == REFUSED]
            assert all(float(answer.headers["retry-after"]) > 0 for answer in refused)

    @pytest.mark.parametrize("nodes", [6, 30])
    async def test_room_shrinks(self, autojump_clock, nodes):
        """A server has less room than its entry says some seconds later."""
        async with platform_system(nodes=nodes, plain=SERVERS, models=0) as fleet:
            await start_fleet(fleet)
            make_brittle(fleet, room=2 * SLOTS)
            await brittle_fleet_load(fleet, 0.5 * TAKEN_PER_S, 3.0)
            make_brittle(fleet, room=SLOTS / 2)
            answers = await brittle_fleet_load(fleet, TAKEN_PER_S)
            assert falls(fleet) <= MAX_FALLS
            served = sum(answer.status == OK for answer in answers)
            assert served >= 0.6 * TAKEN_PER_S / 2 * LENGTH_S

    async def test_one_brittle_server(self, autojump_clock):
        """The others take what it cannot, and nothing is refused."""
        async with platform_system(nodes=6, plain=SERVERS, models=0) as fleet:
            await start_fleet(fleet)
            server = fleet.servers["p0"]
            server.brittle, server.room = TURNED_AWAY, 1
            answers = await brittle_fleet_load(fleet, 60.0)
            assert falls(fleet) <= 2
            assert Counter(a.status for a in answers) == {OK: len(answers)}

    async def test_calm(self, autojump_clock, info_lines):
        """A brittle service with room for all refuses nothing."""
        async with platform_system(nodes=6, plain=SERVERS, models=0) as fleet:
            await start_fleet(fleet)
            make_brittle(fleet)
            answers = await brittle_fleet_load(fleet, 0.5 * TAKEN_PER_S)
            statuses = Counter(answer.status for answer in answers)
            assert statuses[OK] >= 0.98 * len(answers)
            assert falls(fleet) == 0

    async def test_not_brittle_any_more(self, autojump_clock):
        async with platform_system(nodes=6, plain=SERVERS, models=0) as fleet:
            await start_fleet(fleet)
            make_brittle(fleet)
            await brittle_fleet_load(fleet, 0.5 * TAKEN_PER_S, 2.0)
            for server in fleet.servers.values():
                server.brittle, server.room = None, 100
            await brittle_fleet_load(fleet, 0.5 * TAKEN_PER_S, 2.0)
            assert not any(n.server_limits.limited for n in fleet.nodes.values())
            await trio.sleep(BRITTLE_TTL_S)
            await brittle_fleet_load(fleet, 0.5 * TAKEN_PER_S, 1.0)
            guards = [n.gateway.components.limits for n in fleet.nodes.values()]
            assert not any(guard.has_limits for guard in guards)

    async def test_node_with_places_is_killed(self, autojump_clock):
        async with platform_system(nodes=3, plain=1, models=0) as fleet:
            await start_fleet(fleet)
            fleet.servers["p0"].brittle = TURNED_AWAY
            fleet.servers["p0"].work_s = WORK_S
            await brittle_fleet_load(fleet, 10.0, 2.0)
            fleet.servers["p0"].work_s = 5.0
            async with trio.open_nursery() as nursery:
                for number in range(SLOTS):
                    ask = partial(
                        fleet.ask, "/stock/x", "n1", request_id=f"held{number}"
                    )
                    nursery.start_soon(ask)
                await trio.sleep(0.1)
                fleet.kill("n1")
            fleet.servers["p0"].work_s = WORK_S
            await trio.sleep(4.0)
            # A third of the nodes is not reached, so that two thirds are issued.
            answers = await brittle_fleet_load(fleet, 4.0, 6.0, ["n0", "n2"])
            assert Counter(a.status for a in answers)[OK] >= 0.9 * len(answers)
