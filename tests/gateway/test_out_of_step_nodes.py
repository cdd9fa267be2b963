"""Tests of a node that is out of step while servers of a new software version join."""

import pytest
import trio

from rosemaryknot.standin.users.resuming_callers import ResumingCaller
from rosemaryknot.standin.users.system import MODEL, STORE, platform_system

STREAMS = 24
EVENTS = 10
NODE_HOSTS = ("10.2.0.1", "10.2.0.2", "10.2.0.3")
LATE = NODE_HOSTS[1]
# Longer than the time after which the only version of a service counts as certain.
ALONE_S = 70.0
CUTS = {
    "in touch": (),
    "from nodes": (NODE_HOSTS[0], NODE_HOSTS[2]),
    "from the store": (STORE.host,),
    "from both": (NODE_HOSTS[0], NODE_HOSTS[2], STORE.host),
}


async def begin_streams(system, version="v2"):
    """Begin streams at once through the first node; return those of a version."""
    callers = [ResumingCaller(system, f"s{number}") for number in range(4 * STREAMS)]
    async with trio.open_nursery() as nursery:
        for caller in callers:
            nursery.start_soon(caller.attempt, "n0", 3)
    return [caller for caller in callers if caller.versions == {version}]


async def play(cut, cut_s=8.0):
    """Resume the streams of a new version at a node that was cut off as it came."""
    async with platform_system(1, nodes=3, models=0) as system:
        for number in range(3):
            await system.add_server(f"m{number}", MODEL, f"z{number}", version="v1")
        await trio.sleep(ALONE_S)
        for host in CUTS[cut]:
            system.network.cut(LATE, host)
        began_s = trio.current_time()
        await trio.sleep(0.3)
        for number in range(3, 6):
            zone = f"z{number - 3}"
            await system.add_server(f"m{number}", MODEL, zone, version="v2")
        await trio.sleep(0.2)
        callers = await begin_streams(system)
        system.kill("n0")
        async with trio.open_nursery() as nursery:
            for caller in callers:
                nursery.start_soon(caller.attempt, "n1")
        refused = [caller for caller in callers if caller.answers[-1].status == 503]
        await trio.sleep_until(began_s + cut_s)
        for host in CUTS[cut]:
            system.network.heal(LATE, host)
        await trio.sleep(4.0)
        for caller in refused:
            await caller.attempt("n1")
        return callers, refused


def count_mixed(callers):
    """Return the number of streams that hold events of several software versions."""
    return sum(len(caller.versions) > 1 for caller in callers)


@pytest.mark.parametrize("cut", CUTS)
class TestCutOff:
    async def test_streams_are_not_joined_from_two_versions(self, autojump_clock, cut):
        """Guards against a silence of the store that is taken for no change."""
        callers, _ = await play(cut)
        assert len(callers) >= STREAMS
        assert count_mixed(callers) == 0

    async def test_refused_streams_come_back(self, autojump_clock, cut):
        """Guards against "no server is left" by a node that does not know them yet."""
        callers, refused = await play(cut)
        for caller in refused:
            assert "retry-after" in caller.answers[-2].headers, caller.answers[-2].body
        if cut != "from nodes" and cut != "from both":
            # The other holder of their records is left.
            assert all(len(caller.events) == EVENTS for caller in callers)


@pytest.mark.parametrize("pause_s", [2.0, 4.5, 6.0])
@pytest.mark.parametrize("cut", CUTS)
class TestRestarts:
    async def test_server_restarts_with_another_version(
        self, autojump_clock, cut, pause_s
    ):
        """Guards against an old entry that is taken for the server's process."""
        async with platform_system(1, nodes=3, models=0) as system:
            for number in range(4):
                zone = f"z{number % 3}"
                await system.add_server(f"m{number}", MODEL, zone, version="v1")
            await trio.sleep(3.0)
            callers = await begin_streams(system, "v1")
            for host in CUTS[cut]:
                system.network.cut(LATE, host)
            for name in ("m0", "m1", "m2"):
                await system.restart_server(name, 0.1, version="v2")
            await trio.sleep(pause_s)
            system.kill("n0")
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(caller.attempt, "n1")
            assert len(callers) >= STREAMS
            assert count_mixed(callers) == 0
            if cut in ("in touch", "from nodes"):
                # As many as the server that is left can run.
                assert sum(len(caller.events) == EVENTS for caller in callers) >= 16


class TestSilentWatches:
    @pytest.mark.parametrize("late", [("n0",), ("n0", "n1"), ("n0", "n1", "n2")])
    async def test_late_nodes_learn_from_reports(self, autojump_clock, late):
        """Guards against late nodes whose reports hide that others are ahead.

        The watches of some nodes become silent at a change; new calls are answered.
        """
        async with platform_system(nodes=5) as fleet:
            await trio.sleep(6.0)
            hosts = [fleet.nodes[n].settings.listen.callers.host for n in late]
            fleet.store.faults.begin("silent", *hosts)
            fleet.store.remove("servers", "p1")
            await trio.sleep(0.1)
            fleet.store.faults.end()
            await trio.sleep(1.4)
            for name, node in fleet.nodes.items():
                assert node.state.servers.by_id["p1"].is_missing, name
