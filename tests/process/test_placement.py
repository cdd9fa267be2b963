"""Tests of the placement policies, and of the placement duty in a whole system."""

import pytest
import trio
from tests.process.placement_fleet import CLASSES, MODEL, run_fleet

from rosemaryknot.process.placement.policies import decide
from rosemaryknot.process.placement.rates import KindRates
from rosemaryknot.process.placement.service import TICK_S
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.placement import (
    Drain,
    InstanceKind,
    KindFacts,
    Phase,
    PlacedInstance,
    PlacementInput,
    Release,
    ServiceTarget,
    Start,
    ZoneTarget,
)

ZONES = ("a", "b", "c")


def facts(**changed):
    """Return the facts of all kinds; ``a_spot=(price, reclaims)`` overrides one."""
    kinds = {}
    for zone in ZONES:
        for reclaimable, price, form in ((True, 1.0, "spot"), (False, 3.0, "fixed")):
            values = changed.get(f"{zone}_{form}", (price, 0.5 if reclaimable else 0.0))
            kinds[InstanceKind(zone, "g1", reclaimable)] = KindFacts(*values)
    return kinds


def placement_input(instances="", count=2, share=0.5, ceiling=float("inf"), kinds=None):
    """Return a policy input; each word of ``instances`` is zone, form and phase.

    For example, ``a1l`` is a live reclaimable instance in zone a.
    """
    phases = {"l": Phase.LIVE, "s": Phase.STARTING, "x": Phase.LEAVING}
    placed = [
        PlacedInstance(
            f"{word}{number}",
            InstanceKind(word[0], "g1", word[1] == "1"),
            phases[word[2]],
            word.endswith("d"),
        )
        for number, word in enumerate(instances.split())
    ]
    zones = tuple(ZoneTarget(z, count, ("g1",), share, ceiling) for z in ZONES)
    target = ServiceTarget(MODEL, True, True, 60.0, zones)
    return PlacementInput(target, placed, kinds or facts())


def started_kinds(decisions):
    """Return the kinds of the start decisions as sorted words like ``a1``."""
    kinds = [d.kind for d in decisions if isinstance(d, Start)]
    return " ".join(sorted(f"{k.zone}{int(k.reclaimable)}" for k in kinds))


FULL = "a1l a0l b1l b0l c1l c0l"


class TestPolicies:
    def test_spot_mix_starts_each_zone_with_its_share(self):
        assert (
            started_kinds(decide("spot_mix", placement_input())) == "a0 a1 b0 b1 c0 c1"
        )
        assert decide("spot_mix", placement_input(FULL)) == []
        assert (
            started_kinds(
                decide("spot_mix", placement_input("a1l a0s b1l b0l c1x c0l"))
            )
            == "c1"
        )

    def test_spot_mix_weighs_price_against_reclaims(self):
        """Reclaimable instances are used while price and reclaims cost less."""
        often = facts(a_spot=(2.9, 8.0), b_spot=(0.5, 30.0), c_spot=(1.0, 5.0))
        decisions = decide("spot_mix", placement_input(share=1.0, kinds=often))
        assert started_kinds(decisions) == "a0 a0 b0 b0 c1 c1"
        assert started_kinds(
            decide("spot_mix", placement_input(share=1.0, ceiling=2.0))
        ) == ("a1 a1 b1 b1 c1 c1")

    def test_spot_mix_redistributes_a_blocked_zone(self):
        """Zone a was reclaimed and refuses all starts: b and c run its instances.

        The instances are redistributed only once. When zone a accepts starts again,
        its missing instances are started before the surplus is drained.
        """
        kinds = facts()
        for kind, known in kinds.items():
            known.refused_until_s = 10.0 if kind.zone == "a" else known.refused_until_s
        assert started_kinds(
            decide("spot_mix", placement_input("b1l b0l c1l c0l", kinds=kinds))
        ) == ("b0 c0")
        redistributed = "b1l b0l b0l c1l c0l c0l"
        assert decide("spot_mix", placement_input(redistributed, kinds=kinds)) == []
        back = decide("spot_mix", placement_input(redistributed))
        assert started_kinds(back) == "a0 a1" and len(back) == 2
        drained = decide("spot_mix", placement_input(f"{FULL} b0l c0l"))
        assert [type(d) for d in drained] == [Drain, Drain]
        assert sorted(d.instance[:2] for d in drained) == ["b0", "c0"]

    def test_baselines(self):
        assert (
            started_kinds(decide("all_on_demand", placement_input()))
            == "a0 a0 b0 b0 c0 c0"
        )
        cheap = facts(b_spot=(0.2, 0.5))
        decisions = decide("cheapest_zone", placement_input(share=1.0, kinds=cheap))
        assert started_kinds(decisions) == "b1 b1 b1 b1 b1 b1"
        assert (
            started_kinds(decide("even_spread", placement_input("a1l a1l a1l")))
            == "b0 b1 c0 c1"
        )

    def test_drained_is_released(self):
        decisions = decide("spot_mix", placement_input(f"{FULL} a0xd a0x"))
        assert decisions == [Release("a0xd6", "drained")]


class TestRates:
    async def test_reclaims_and_refusals(self, autojump_clock):
        """Reclaims count once, drains never; refusals back off by zone and class."""
        rates = KindRates()
        kind = InstanceKind("a", "g1", True)
        server = BackendServer("e1", MODEL, "a", "g1", True, "10.0.0.1:1")
        drained = BackendServer("e2", MODEL, "a", "g1", True, "10.0.0.2:1")
        before = rates.reclaims_per_hour(kind)
        await trio.sleep(1800.0)
        rates.observe([server, drained], ())
        quiet = rates.reclaims_per_hour(kind)
        server.state = drained.state = ServerState.LEAVING
        for _ in range(3):
            rates.observe([server, drained], ("e2",))
        once = rates.reclaims_per_hour(kind)
        assert quiet == pytest.approx(0.25) and before == pytest.approx(0.5)
        assert once == pytest.approx(1.5 / 2.0)
        backoffs = [rates.record_refusal(kind) for _ in range(9)]
        assert backoffs[:3] == [5.0, 10.0, 20.0] and backoffs[-1] == 300.0
        assert ("a", "g2") not in rates.refused_until_s
        rates.record_start(kind)
        assert rates.record_refusal(kind) == 5.0


class TestDuty:
    def test_instances_that_never_get_an_address(self):
        """The cloud starts instances in one zone that never get an address.

        They count as starting for two minutes, and are then released and replaced.
        The zone has its full count once the cloud works again.
        """

        async def scenario(fleet):
            launch = fleet.cloud.launcher

            async def launch_some(server):
                return "" if server.zone == "waco-a" else await launch(server)

            fleet.cloud.launcher = launch_some
            await fleet.wait_until(lambda: len(fleet.live_instances()) == 3, 30.0)
            await trio.sleep(60.0)
            first = fleet.live_instances("waco-a")
            fleet.cloud.launcher = launch
            await fleet.wait_until(
                lambda: first[0] not in fleet.live_instances(), 120.0
            )
            await trio.sleep(5.0)
            return len(first), fleet.live_counts(), fleet.platform.calls["start"]

        first, live_counts, start_calls = run_fleet(scenario, per_zone=1)
        assert first == 1 and set(live_counts.values()) == {1} and start_calls == 4

    def test_reclaimed_zone_is_replaced_immediately(self):
        """A zone is reclaimed with five seconds' notice and refuses new starts.

        The other zones run its instances before the deadline, without repeated calls
        of the cloud. Later the zone accepts starts again and returns to its count,
        while the other zones drain their surplus.
        """

        async def scenario(fleet):
            await fleet.wait_until(
                lambda: set(fleet.live_counts().values()) == {2}, 30.0
            )
            await trio.sleep(20.0)
            name, duty = await fleet.wait_for_holder()
            zone = next(z for z in fleet.live_counts() if not name.startswith(z))
            both = {(zone, "g1"), (zone, "g2")}
            fleet.cloud.faults.refused_starts = both
            before = fleet.platform.calls["start"]
            fleet.cloud.reclaim_zone(zone, 5.0)
            replaced_s = await fleet.wait_until(
                lambda: len(fleet.live_instances()) == 6, 30.0
            )
            await trio.sleep(60.0)
            start_calls = fleet.platform.calls["start"] - before
            assert fleet.live_counts()[zone] == 0 and len(fleet.live_instances()) == 6
            fleet.cloud.faults.refused_starts = set()
            await fleet.wait_until(
                lambda: set(fleet.live_counts().values()) == {2}, 200.0
            )
            return replaced_s, start_calls, len(fleet.holders())

        replaced_s, start_calls, holders = run_fleet(scenario, share=1.0)
        assert replaced_s <= 2.0
        assert start_calls <= 2 + 2 * 6
        assert holders == 1

    def test_refused_start_is_placed_elsewhere_without_a_tick_between(self):
        """A zone is reclaimed while it refuses starts of all its classes.

        The replacement must not wait for the next tick after each refused class.
        """

        async def scenario(fleet):
            await fleet.wait_until(
                lambda: set(fleet.live_counts().values()) == {2}, 30.0
            )
            await trio.sleep(20.0)
            name, _ = await fleet.wait_for_holder()
            zone = next(z for z in fleet.live_counts() if not name.startswith(z))
            fleet.cloud.faults.refused_starts = {(zone, kind) for kind in CLASSES}
            fleet.cloud.reclaim_zone(zone, 5.0)
            return await fleet.wait_until(
                lambda: len(fleet.live_instances()) == 6, 30.0
            )

        assert run_fleet(scenario, share=1.0) < TICK_S

    def test_lost_start_responses(self):
        """The cloud starts an instance but the response is lost, twice.

        The holder must wait for the instance list to show the two instances, or it
        would start too many or too few.
        """

        async def scenario(fleet):
            fleet.cloud.faults.list_lag_s = 6.0
            await fleet.wait_for_holder()
            fleet.platform.faults.lose_answers = 2
            max_live = 0
            for _ in range(60):
                await trio.sleep(1.0)
                max_live = max(max_live, len(fleet.live_instances()))
            return max_live, fleet.live_counts()

        max_live, live_counts = run_fleet(scenario)
        assert max_live == 6 and set(live_counts.values()) == {2}

    @pytest.mark.parametrize("additive_first", [True, False])
    def test_lagging_instance_list(self, additive_first):
        """A zone with a count of one has two instances; the list lags 12 seconds.

        The cheaper instance terminates without notice. The list still shows both
        when the other one, now the only one that serves, is to be drained as surplus.
        """

        async def scenario(fleet):
            await fleet.wait_until(
                lambda: set(fleet.live_counts().values()) == {1}, 30.0
            )
            await trio.sleep(20.0)
            _, duty = await fleet.wait_for_holder()
            fleet.cloud.faults.list_lag_s = 12.0
            first = fleet.live_instances("waco-a")[0]
            extra = await fleet.cloud.start(MODEL, "waco-a", "g2", False)
            await trio.sleep(17.0)
            fleet.cloud.terminate(first)
            await trio.sleep(13.0)
            return extra.instance in duty.lease.leaving

        drained = run_fleet(scenario, per_zone=1, additive_first=additive_first)
        assert drained is not additive_first

    def test_drained_server_finishes_its_requests(self):
        """A surplus instance is drained while it generates a long response.

        It must not be released before the response is complete, nor before the
        decision is recorded in the lease object.
        """

        async def scenario(fleet):
            await fleet.wait_until(
                lambda: set(fleet.live_counts().values()) == {1}, 30.0
            )
            _, duty = await fleet.wait_for_holder()
            extra = await fleet.cloud.start(MODEL, "waco-a", "g2", False)
            name = extra.instance
            engine = fleet.system.servers[name].standin
            busy = []
            engine.load.report = lambda report=engine.load.report: busy_report(
                report(), busy
            )
            busy.append(True)
            await fleet.wait_until(lambda: name in duty.lease.leaving, 60.0)
            await trio.sleep(30.0)
            was_live = name in fleet.live_instances()
            state = fleet.duties()["temple-c-1"].servers.marks.get(name).state
            busy.clear()
            released_s = await fleet.wait_until(
                lambda: name not in fleet.live_instances(), 30.0
            )
            await trio.sleep(10.0)
            return was_live, state, released_s, duty.lease.leaving

        was_live, state, released_s, leaving = run_fleet(scenario, per_zone=1)
        assert was_live and state == ServerState.LEAVING
        assert released_s <= 6.0 and leaving == ()

    def test_holder_shutdown_during_drain(self):
        """The holder shuts down gracefully during a drain.

        The next holder reads the decision from the lease object and completes it.
        """

        async def scenario(fleet):
            await fleet.wait_until(
                lambda: set(fleet.live_counts().values()) == {1}, 30.0
            )
            name, duty = await fleet.wait_for_holder()
            extra = await fleet.cloud.start(MODEL, "waco-a", "g2", False)
            await fleet.wait_until(lambda: extra.instance in duty.lease.leaving, 60.0)
            fleet.system.nodes[name].agent_stop.set()
            begin_s = trio.current_time()
            _, second = await fleet.wait_for_holder(other_than=name)
            takeover_s = trio.current_time() - begin_s
            await fleet.wait_until(
                lambda: extra.instance not in fleet.live_instances(), 60.0
            )
            return takeover_s, second.lease.fencing, fleet.live_counts()

        takeover_s, fencing, live_counts = run_fleet(scenario, per_zone=1)
        assert takeover_s <= 10.0 and fencing == 2
        assert set(live_counts.values()) == {1}


def busy_report(report, busy):
    """Return an engine's report, with a running request while it is busy."""
    if busy:
        report.running = 1
    return report
