"""Tests of a store that comes back from an older copy and gives out revisions again."""

import pytest
import trio
from tests.gateway.availability_load import AvailabilityLoad
from tests.gateway.test_crashing_requests import (
    REFUSED,
    crash_servers,
    request_stream,
    restart_nodes,
)

from rosemaryknot.process.crash_store import KIND, RELEASE_CHECK_INTERVAL_S
from rosemaryknot.standin.users.system import (
    MODEL,
    PLAIN,
    STORE,
    document,
    platform_system,
)

# Time within which a confirmed change has to take effect at each node.
BOUND_S = 2.0
COPY_AGE_S = 3.0
NODES = 6
DRAINING = {"state": "draining"}
# Calls of one node to the store in a second; a list of each kind, and some watches.
MAX_CALLS_PER_S = 20


class Drill:
    """A drill of the store beside changes and load.

    The operator writes configurations in series until the drill. Then two servers
    come and two drain.

    Attributes
    ----------
    confirmed : list of tuple of (float, int)
        When each version was confirmed.
    late : list of tuple of (str, int)
        Nodes without a version that was confirmed longer ago than the bound.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.load = AvailabilityLoad(fleet)
        self.confirmed = []
        self.late = []
        self.drained_s = {}
        self.highest = {}
        self.fallen = []

    def configure(self):
        """Write the next version."""
        version = self.fleet.store.objects["config"]["main"]["spec"]["version"]
        version = max([version, *[v for _, v in self.confirmed]]) + 1
        self.fleet.store.put("config", "main", document(version))
        self.confirmed.append((trio.current_time(), version))

    async def configure_each(self, interval_s, count):
        """Write versions until the drill."""
        for _ in range(count):
            self.configure()
            await trio.sleep(interval_s)

    async def check_versions(self):
        """Compare the versions of all nodes with what was confirmed."""
        while True:
            await trio.sleep(0.1)
            due_s = trio.current_time() - BOUND_S
            due = max([1, *[v for at_s, v in self.confirmed if at_s <= due_s]])
            for name, node in self.fleet.nodes.items():
                version = node.state.version
                if version < due:
                    self.late.append((name, version))
                key = (name, node.node.incarnation)
                if version < self.highest.get(key, -1):
                    self.fallen.append((name, version))
                self.highest[key] = version

    def drain(self, name):
        """Let a server write that it drains."""
        server = self.fleet.servers[name]
        server.entry = server.entry | DRAINING
        self.fleet.store.put("servers", name, server.entry)
        self.drained_s[name] = trio.current_time()

    def late_arrivals(self):
        """Return the requests that reached draining servers beyond the bound."""
        return [
            (arrival.server, arrival.timestamp_s)
            for arrival in self.fleet.ledger.arrivals
            if arrival.timestamp_s
            > self.drained_s.get(arrival.server, float("inf")) + BOUND_S
        ]

    def unused(self, names):
        """Return the pairs of a node and a server that it does not use."""
        return [
            (name, server)
            for name, node in self.fleet.nodes.items()
            for server in names
            if server not in node.state.servers.by_id
        ]

    async def run(self, restore, interval_s=0.25, after_s=2.2):
        """Run the drill; servers come and drain some seconds after it begins."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.load.run, 16.0, "/stock/x")
            nursery.start_soon(self.check_versions)
            await self.configure_each(interval_s, round(6.0 / interval_s))
            nursery.start_soon(restore)
            await trio.sleep(after_s)
            await self.fleet.add_server("p8", PLAIN)
            await self.fleet.add_server("p9", PLAIN)
            self.drain("p0")
            self.drain("p1")
            await trio.sleep(0.5)
            self.configure()
            await trio.sleep(7.0)
            nursery.cancel_scope.cancel()


def calls_per_s(fleet):
    """Return the highest number of calls to the store in one second."""
    times = sorted(call.timestamp_s for call in fleet.store.calls)
    counts = {}
    for at_s in times:
        counts[int(at_s)] = counts.get(int(at_s), 0) + 1
    return max(counts.values())


class TestRestores:
    """Changes after a restore take effect in time, and none is missed."""

    @pytest.mark.parametrize(
        ("age_s", "away_s", "mode"),
        [
            (COPY_AGE_S, 1.0, "busy"),
            (COPY_AGE_S, 0.0, ""),
            (COPY_AGE_S, 1.0, "reset"),
            (COPY_AGE_S, 1.0, "silent"),
            (6.0, 1.0, "busy"),
        ],
    )
    async def test_changes_take_effect(self, autojump_clock, age_s, away_s, mode):
        async with platform_system(nodes=NODES, plain=3, models=5) as fleet:
            drill = Drill(fleet)
            await drill.run(lambda: fleet.restore_store(age_s, away_s, mode))
            assert drill.late == [] and drill.fallen == []
            assert drill.late_arrivals() == []
            assert drill.unused(["p8", "p9"]) == []
            assert calls_per_s(fleet) <= NODES * MAX_CALLS_PER_S

    async def test_nothing_is_written_but_one_change(self, autojump_clock):
        async with platform_system(nodes=NODES, plain=3, models=5) as fleet:
            drill = Drill(fleet)
            await drill.run(lambda: fleet.restore_store(COPY_AGE_S, 1.0), 2.0)
            assert drill.late == [] and drill.late_arrivals() == []
            assert drill.unused(["p8", "p9"]) == []
            assert calls_per_s(fleet) <= NODES * MAX_CALLS_PER_S

    async def test_two_restores(self, autojump_clock):
        async def restore_twice():
            fleet.nursery.start_soon(fleet.restore_store, COPY_AGE_S, 1.0)
            await trio.sleep(3.2)
            fleet.nursery.start_soon(fleet.restore_store, COPY_AGE_S, 1.0)

        async with platform_system(nodes=NODES, plain=3, models=5) as fleet:
            drill = Drill(fleet)
            await drill.run(restore_twice, after_s=5.4)
            assert drill.late == [] and drill.late_arrivals() == []
            assert drill.unused(["p8", "p9"]) == []

    @pytest.mark.parametrize("away_s", [0.0, 1.0])
    async def test_store_that_states_no_era(self, autojump_clock, away_s):
        """A list below the known revision is taken once the history has expired."""
        async with platform_system(nodes=NODES, plain=3, models=5) as fleet:
            fleet.store.era = None
            drill = Drill(fleet)
            await drill.run(
                lambda: fleet.restore_store(COPY_AGE_S, away_s, "reset"), after_s=9.0
            )
            assert drill.unused(["p8", "p9"]) == []
            assert calls_per_s(fleet) <= NODES * MAX_CALLS_PER_S

    async def test_node_is_cut_off_from_the_store(self, autojump_clock):
        """Its state comes from the others, and it follows the store when it is back."""

        async def restore():
            host = fleet.nodes["n2"].settings.listen.callers.host
            fleet.network.cut(host, STORE.host)
            await trio.sleep(1.0)
            fleet.nursery.start_soon(fleet.restore_store, COPY_AGE_S, 1.0)
            await trio.sleep(6.0)
            fleet.network.heal(host, STORE.host)

        async with platform_system(nodes=NODES, plain=3, models=5) as fleet:
            drill = Drill(fleet)
            await drill.run(restore, after_s=4.2)
            assert drill.late == [] and drill.late_arrivals() == []
            assert drill.unused(["p8", "p9"]) == []

    async def test_nodes_restart_in_series(self, autojump_clock):
        """A node that starts before the operator has written again asks the others."""

        async def restore():
            fleet.nursery.start_soon(fleet.restore_store, COPY_AGE_S, 1.0)
            await trio.sleep(1.0)
            for number in range(3):
                fleet.kill(f"n{number}")
                await fleet.add_node(number, is_first_start=False)
                await trio.sleep(0.5)

        async with platform_system(nodes=NODES, plain=3, models=5) as fleet:
            drill = Drill(fleet)
            await drill.run(restore, after_s=4.0)
            assert drill.fallen == [] and drill.late_arrivals() == []
            assert drill.unused(["p8", "p9"]) == []

    async def test_server_that_had_left(self, autojump_clock):
        """Guards against requests to a server whose removal the store has lost."""
        async with platform_system(nodes=3, plain=3, models=2) as fleet:
            load = AvailabilityLoad(fleet)
            await load.run(2.0, "/stock/x")
            fleet.store.remove("servers", "p0")
            del fleet.servers["p0"]
            removed_s = trio.current_time()
            await trio.sleep(2.1)
            fleet.nursery.start_soon(fleet.restore_store, 2.5)
            await load.run(6.0, "/stock/x")
            assert load.reached("p0", removed_s + BOUND_S) == []

    async def test_no_other_server_is_left(self, autojump_clock):
        """A server that had left is used if all others of its service drain."""
        async with platform_system(nodes=1, plain=2, models=1) as fleet:
            server = fleet.servers.pop("p0")
            fleet.store.remove("servers", "p0")
            await trio.sleep(2.1)
            fleet.store.put("servers", "p1", fleet.servers["p1"].entry | DRAINING)
            await trio.sleep(0.2)
            fleet.nursery.start_soon(fleet.restore_store, 2.4)
            await trio.sleep(1.5)
            assert server.id in fleet.nodes["n0"].state.servers.by_id
            assert (await fleet.ask("/stock/x", "n0")).status == 200

    async def test_large_deployment(self, autojump_clock):
        async with platform_system(nodes=24, plain=3, models=5) as fleet:
            drill = Drill(fleet)
            await drill.run(lambda: fleet.restore_store(COPY_AGE_S, 0.0))
            assert drill.late == [] and drill.late_arrivals() == []
            assert drill.unused(["p8", "p9"]) == []


async def report_window(fleet):
    """Wait for the report of a window, count more of it, and return the call."""
    await AvailabilityLoad(fleet).run(12.0, "/stock/x", per_s=10.0)
    count = len(fleet.cloud.calls)
    while len(fleet.cloud.calls) == count:
        await trio.sleep(0.02)
    call = fleet.cloud.calls[-1]
    for node in fleet.nodes.values():
        middle_s = (call.body["windowId"] + 0.5) * node.usage.window_s
        node.usage.record("ada", middle_s)
    return call


class TestDuties:
    """What holders of the lease noted in the store is lost with a restore."""

    async def test_window_is_not_reported_again(self, autojump_clock):
        """Guards against a window reported twice, as its record was lost."""
        async with platform_system(nodes=3, duties=["usage"]) as fleet:
            call = await report_window(fleet)
            fleet.nursery.start_soon(fleet.restore_store, 0.5)
            await trio.sleep(0.3)
            fleet.kill(call.holder.partition("/")[0])
            await trio.sleep(30.0)
            assert fleet.cloud.conflicting_windows == []
            assert max(fleet.cloud.usage) > call.body["windowId"] + 2
            numbers = [call.fencing for call in fleet.cloud.calls]
            assert numbers == sorted(numbers)

    async def test_holder_after_the_next_one_knows_what_was_lost(self, autojump_clock):
        """Guards against a window reported again by the second holder after."""
        async with platform_system(nodes=3, duties=["usage"]) as fleet:
            call = await report_window(fleet)
            fleet.nursery.start_soon(fleet.restore_store, 0.5)
            await trio.sleep(0.3)
            killed = {call.holder.partition("/")[0]}
            fleet.kill(*killed)
            left = [n for name, n in fleet.nodes.items() if name not in killed]
            while not any(node.lease.is_held() for node in left):
                await trio.sleep(0.02)
            second = next(node for node in left if node.lease.is_held())
            await trio.sleep(0.05)
            fleet.kill(second.node.name)
            await trio.sleep(30.0)
            assert fleet.cloud.conflicting_windows == []
            assert max(fleet.cloud.usage) > call.body["windowId"] + 2

    async def test_lease_is_not_in_the_copy(self, autojump_clock):
        """Guards against a node that reads the lease first after it was lost."""
        async with platform_system(nodes=6, duties=["usage"]) as fleet:
            call = await report_window(fleet)
            fleet.nursery.start_soon(fleet.restore_store, 1000.0)
            nodes = list(fleet.nodes.items())
            for name, node in nodes:
                if node.lease.first_era is not None:
                    fleet.kill(name)
            await trio.sleep(30.0)
            assert fleet.cloud.conflicting_windows == []
            assert max(fleet.cloud.usage) > call.body["windowId"] + 2

    async def test_holder_goes_on(self, autojump_clock):
        """The holder repeats no window that it has reported in the lost time."""
        async with platform_system(nodes=3, duties=["usage"]) as fleet:
            await report_window(fleet)
            await fleet.restore_store(0.5)
            await trio.sleep(20.0)
            assert fleet.cloud.conflicting_windows == []
            assert len({call.holder for call in fleet.cloud.calls}) == 1


class TestCrashRecords:
    """Requests that crash servers stay refused when their records are lost."""

    async def test_record_is_stored_again(self, autojump_clock):
        async with platform_system(nodes=3, models=6) as fleet:
            await crash_servers(fleet)
            await trio.sleep(1.0)
            await fleet.restore_store(5.0)
            await trio.sleep(RELEASE_CHECK_INTERVAL_S + 2.0)
            assert len(fleet.store.objects[KIND]) == 1
            assert (await request_stream(fleet, "later", "n1")).status == REFUSED
            await restart_nodes(fleet)
            assert (await request_stream(fleet, "after", "n2")).status == REFUSED

    async def test_writer_has_restarted(self, autojump_clock):
        async with platform_system(nodes=3, models=6) as fleet:
            await crash_servers(fleet)
            await trio.sleep(1.0)
            fleet.kill("n0")
            await fleet.restore_store(5.0, 1.0, "reset")
            await trio.sleep(5.0)
            assert len(fleet.store.objects[KIND]) == 1

    async def test_record_of_a_cleared_request(self, autojump_clock):
        """Guards against a cleared request that is refused after a restart."""
        async with platform_system(nodes=3, models=6) as fleet:
            await crash_servers(fleet)
            await trio.sleep(3.0)
            [name] = fleet.store.objects[KIND]
            fleet.nodes["n0"].crash_store.clear(bytes.fromhex(name), MODEL)
            await trio.sleep(1.0)
            assert not fleet.store.objects[KIND]
            fleet.nursery.start_soon(fleet.restore_store, 2.0)
            await trio.sleep(0.1)
            assert fleet.store.objects[KIND]
            await trio.sleep(5.0)
            assert not fleet.store.objects[KIND]
