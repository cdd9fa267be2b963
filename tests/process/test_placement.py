"""Tests of placement: the policies, and the duty in the whole system."""

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
    """Return prices of all kinds; ``a_spot=(price, reclaims)`` changes one."""
    kinds = {}
    for zone in ZONES:
        for reclaimable, price, form in ((True, 1.0, "spot"), (False, 3.0, "fixed")):
            values = changed.get(f"{zone}_{form}", (price, 0.5 if reclaimable else 0.0))
            kinds[InstanceKind(zone, "g1", reclaimable)] = KindFacts(*values)
    return kinds


def given(instances="", count=2, share=0.5, ceiling=float("inf"), kinds=None):
    """Return an input; each word of ``instances`` is zone, form and phase.

    For example ``a1l`` is a live reclaimable instance in zone a.
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


def starts(decisions):
    """Return the started kinds as sorted words like ``a1``."""
    kinds = [d.kind for d in decisions if isinstance(d, Start)]
    return " ".join(sorted(f"{k.zone}{int(k.reclaimable)}" for k in kinds))


FULL = "a1l a0l b1l b0l c1l c0l"


class TestPolicies:
    def test_spot_mix_fills_each_zone_with_its_share(self):
        assert starts(decide("spot_mix", given())) == "a0 a1 b0 b1 c0 c1"
        assert decide("spot_mix", given(FULL)) == []
        assert starts(decide("spot_mix", given("a1l a0s b1l b0l c1x c0l"))) == "c1"

    def test_spot_mix_weighs_price_against_reclaims(self):
        """Reclaimable instances are taken while they are worth their reclaims."""
        often = facts(a_spot=(2.9, 8.0), b_spot=(0.5, 30.0), c_spot=(1.0, 5.0))
        decisions = decide("spot_mix", given(share=1.0, kinds=often))
        assert starts(decisions) == "a0 a0 b0 b0 c1 c1"
        assert starts(decide("spot_mix", given(share=1.0, ceiling=2.0))) == (
            "a1 a1 b1 b1 c1 c1"
        )

    def test_spot_mix_puts_a_blocked_zone_elsewhere(self):
        """Zone a was reclaimed and refuses all starts: b and c take its part.

        They take it once. When zone a gives instances again it is filled before
        anything is drained, and the surplus goes after that.
        """
        kinds = facts()
        for kind, known in kinds.items():
            known.refused_until_s = 10.0 if kind.zone == "a" else known.refused_until_s
        assert starts(decide("spot_mix", given("b1l b0l c1l c0l", kinds=kinds))) == (
            "b0 c0"
        )
        spilled = "b1l b0l b0l c1l c0l c0l"
        assert decide("spot_mix", given(spilled, kinds=kinds)) == []
        back = decide("spot_mix", given(spilled))
        assert starts(back) == "a0 a1" and len(back) == 2
        drained = decide("spot_mix", given(f"{FULL} b0l c0l"))
        assert [type(d) for d in drained] == [Drain, Drain]
        assert sorted(d.instance[:2] for d in drained) == ["b0", "c0"]

    def test_baselines(self):
        assert starts(decide("all_on_demand", given())) == "a0 a0 b0 b0 c0 c0"
        cheap = facts(b_spot=(0.2, 0.5))
        kept = decide("cheapest_zone", given(share=1.0, kinds=cheap))
        assert starts(kept) == "b1 b1 b1 b1 b1 b1"
        assert starts(decide("even_spread", given("a1l a1l a1l"))) == "b0 b1 c0 c1"

    def test_drained_is_released(self):
        decisions = decide("spot_mix", given(f"{FULL} a0xd a0x"))
        assert decisions == [Release("a0xd6", "drained")]


class TestRates:
    async def test_reclaims_and_refusals(self, autojump_clock):
        """A reclaim counts once, a drain never; refusals back off by zone and class."""
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
        pauses = [rates.note_refusal(kind) for _ in range(9)]
        assert pauses[:3] == [5.0, 10.0, 20.0] and pauses[-1] == 300.0
        assert ("a", "g2") not in rates.refused_until_s
        rates.note_start(kind)
        assert rates.note_refusal(kind) == 5.0


class TestDuty:
    def test_instances_that_never_come_up(self):
        """The cloud starts instances in one zone that never get an address.

        They count as starting for two minutes, are then released and replaced, and
        the zone is whole once the cloud works again.
        """

        async def story(fleet):
            launch = fleet.cloud.launcher

            async def launch_some(server):
                return "" if server.zone == "waco-a" else await launch(server)

            fleet.cloud.launcher = launch_some
            await fleet.until(lambda: len(fleet.live()) == 3, 30.0)
            await trio.sleep(60.0)
            first = fleet.live("waco-a")
            fleet.cloud.launcher = launch
            await fleet.until(lambda: first[0] not in fleet.live(), 120.0)
            await trio.sleep(5.0)
            return len(first), fleet.counts(), fleet.platform.calls["start"]

        first, counts, asked = run_fleet(story, per_zone=1)
        assert first == 1 and set(counts.values()) == {1} and asked == 4

    def test_reclaimed_zone_is_replaced_at_once(self):
        """A zone is reclaimed with five seconds' notice and refuses new starts.

        The others run its part before the deadline, and the cloud is not asked
        over and over. Later the zone gives instances again and gets its part back,
        while the others drain what they have too much.
        """

        async def story(fleet):
            await fleet.until(lambda: set(fleet.counts().values()) == {2}, 30.0)
            await trio.sleep(20.0)
            name, duty = await fleet.holder()
            zone = next(z for z in fleet.counts() if not name.startswith(z))
            both = {(zone, "g1"), (zone, "g2")}
            fleet.cloud.faults.refused_starts = both
            before = fleet.platform.calls["start"]
            fleet.cloud.reclaim_zone(zone, 5.0)
            replaced_s = await fleet.until(lambda: len(fleet.live()) == 6, 30.0)
            await trio.sleep(60.0)
            asked = fleet.platform.calls["start"] - before
            assert fleet.counts()[zone] == 0 and len(fleet.live()) == 6
            fleet.cloud.faults.refused_starts = set()
            await fleet.until(lambda: set(fleet.counts().values()) == {2}, 200.0)
            return replaced_s, asked, len(fleet.holders())

        replaced_s, asked, holders = run_fleet(story, share=1.0)
        assert replaced_s <= 2.0
        assert asked <= 2 + 2 * 6
        assert holders == 1

    def test_refused_start_is_placed_elsewhere_without_a_tick_between(self):
        """A refusal of each class of a zone must not cost a second of its own.

        The instances of a zone are reclaimed while the zone refuses all starts.
        """

        async def story(fleet):
            await fleet.until(lambda: set(fleet.counts().values()) == {2}, 30.0)
            await trio.sleep(20.0)
            name, _ = await fleet.holder()
            zone = next(z for z in fleet.counts() if not name.startswith(z))
            fleet.cloud.faults.refused_starts = {(zone, kind) for kind in CLASSES}
            fleet.cloud.reclaim_zone(zone, 5.0)
            return await fleet.until(lambda: len(fleet.live()) == 6, 30.0)

        assert run_fleet(story, share=1.0) < TICK_S

    def test_lost_answers_of_starts(self):
        """The cloud starts an instance, and the answer is lost, twice.

        The holder can't know; it waits for the list to show them, and neither
        starts one too many nor one too few.
        """

        async def story(fleet):
            fleet.cloud.faults.list_lag_s = 6.0
            await fleet.holder()
            fleet.platform.faults.lose_answers = 2
            most = 0
            for _ in range(60):
                await trio.sleep(1.0)
                most = max(most, len(fleet.live()))
            return most, fleet.counts()

        most, counts = run_fleet(story)
        assert most == 6 and set(counts.values()) == {2}

    @pytest.mark.parametrize("additive_first", [True, False])
    def test_list_that_lags(self, additive_first):
        """Two instances in a zone that wants one; the list is twelve seconds late.

        The cheaper one ends, unannounced. The list still shows both when the other
        is due to be drained as one too many: it is the only one that serves.
        """

        async def story(fleet):
            await fleet.until(lambda: set(fleet.counts().values()) == {1}, 30.0)
            await trio.sleep(20.0)
            _, duty = await fleet.holder()
            fleet.cloud.faults.list_lag_s = 12.0
            first = fleet.live("waco-a")[0]
            extra = await fleet.cloud.start(MODEL, "waco-a", "g2", False)
            await trio.sleep(17.0)
            fleet.cloud.terminate(first)
            await trio.sleep(13.0)
            return extra.instance in duty.lease.leaving

        drained = run_fleet(story, per_zone=1, additive_first=additive_first)
        assert drained is not additive_first

    def test_drained_server_ends_its_work(self):
        """One instance too many is drained while it works on a long answer.

        It is released when the answer is done, not before, and never while the
        lease object does not hold the decision.
        """

        async def story(fleet):
            await fleet.until(lambda: set(fleet.counts().values()) == {1}, 30.0)
            _, duty = await fleet.holder()
            extra = await fleet.cloud.start(MODEL, "waco-a", "g2", False)
            name = extra.instance
            engine = fleet.system.servers[name].standin
            busy = []
            engine.load.report = lambda report=engine.load.report: busy_report(
                report(), busy
            )
            busy.append(True)
            await fleet.until(lambda: name in duty.lease.leaving, 60.0)
            await trio.sleep(30.0)
            was_live = name in fleet.live()
            state = fleet.duties()["temple-c-1"].servers.marks.get(name).state
            busy.clear()
            released_s = await fleet.until(lambda: name not in fleet.live(), 30.0)
            await trio.sleep(10.0)
            return was_live, state, released_s, duty.lease.leaving

        was_live, state, released_s, leaving = run_fleet(story, per_zone=1)
        assert was_live and state == ServerState.LEAVING
        assert released_s <= 6.0 and leaving == ()

    def test_holder_stops_while_an_instance_is_drained(self):
        """The holder stops as planned with a drain half done.

        The next holder reads the decision in the lease object and ends it.
        """

        async def story(fleet):
            await fleet.until(lambda: set(fleet.counts().values()) == {1}, 30.0)
            name, duty = await fleet.holder()
            extra = await fleet.cloud.start(MODEL, "waco-a", "g2", False)
            await fleet.until(lambda: extra.instance in duty.lease.leaving, 60.0)
            fleet.system.nodes[name].agent_stop.set()
            begin_s = trio.current_time()
            _, second = await fleet.holder(other_than=name)
            taken_s = trio.current_time() - begin_s
            await fleet.until(lambda: extra.instance not in fleet.live(), 60.0)
            return taken_s, second.lease.fencing, fleet.counts()

        taken_s, fencing, counts = run_fleet(story, per_zone=1)
        assert taken_s <= 10.0 and fencing == 2
        assert set(counts.values()) == {1}


def busy_report(report, busy):
    """Let an engine report a request for as long as it is busy."""
    if busy:
        report.running = 1
    return report
