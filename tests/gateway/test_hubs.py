"""Tests of reports between thirty gateways through the hubs of their zones."""

import itertools
import random
from bisect import bisect_left
from collections import Counter
from functools import partial

import trio

from rosemaryknot.process.hub_aggregates import HubAggregator
from rosemaryknot.process.leases import lease_candidates
from rosemaryknot.process.node import LEASE_NAME
from rosemaryknot.process.node_settings import Bounds
from rosemaryknot.standin.users.system import (
    MODEL_HEADERS,
    PLAIN,
    document,
    platform_system,
    route,
)
from rosemaryknot.values.gateway_peers import HubReport

NODES = 30
LIMITED = {
    "name": "ada",
    "apiKeys": ["k"],
    "unit": "tokens",
    "plainTokens": 10,
    "ratePerS": 1000,
    "burst": 1000,
}


def limit_of(node):
    return node.state.configuration.customers["ada"]


def acquire(fleet, names, units):
    for name in names:
        node = fleet.nodes[name]
        assert node.quota.acquire(limit_of(node), units, trio.current_time()) == 0


def acquired(fleet):
    return {
        name: round(node.quota.accounts["ada"].acquired)
        for name, node in fleet.nodes.items()
        if "ada" in node.quota.accounts
    }


def configuration(version=1):
    routes = [route("stock", f"/stock{version}/", "idempotent", PLAIN)]
    return document(version, routes=routes, tenants=[LIMITED])


def fleet_of(configuration, **options):
    bounds = Bounds(limit_window_s=30.0)
    return platform_system(
        nodes=NODES, configuration=configuration, bounds=bounds, **options
    )


class TestAggregates:
    async def test_usage_is_counted_once(self, autojump_clock):
        """Four gateways of different zones acquire units of one customer's limit.

        Each gateway counts the usage of all gateways and its own usage only once. If
        own usage were counted twice, a customer would be refused at half of its limit.
        """
        async with fleet_of(configuration()) as fleet:
            await trio.sleep(4)
            acquire(fleet, ["n0", "n1", "n2", "n9"], 50)
            await trio.sleep(1.5)
            acquire(fleet, ["n0", "n5"], 30)
            await trio.sleep(1.5)
            assert set(acquired(fleet).values()) == {260}
            assert len(acquired(fleet)) == NODES

    async def test_loads_are_those_of_all(self, autojump_clock):
        """Two gateways have requests in flight at one server.

        The other gateways count both requests. Each of the two counts its own request
        only once, in addition to that of the other.
        """
        async with fleet_of(document()) as fleet:
            await trio.sleep(4)
            for name in ("n0", "n4"):
                table = fleet.nodes[name].state.servers
                table.begin(table.by_id["m0"], None, 700)
            await trio.sleep(1.5)
            seen = {
                node.state.servers.by_id["m0"].load() for node in fleet.nodes.values()
            }
            assert seen == {(2, 1400)}


class TestLimit:
    """A customer sends many times its limit through thirty-nine gateways."""

    rate = 250_000
    burst = 250_000
    window_s = 8.0
    units = 4000

    @property
    def allowed(self):
        """Units allowed in a window, including the deployment's tolerance."""
        return 1.1 * (self.rate * self.window_s + self.burst) + 140_000

    def fleet(self):
        limited = LIMITED | {"ratePerS": self.rate, "burst": self.burst}
        document = configuration() | {"tenants": [limited]}
        bounds = Bounds(limit_window_s=self.window_s)
        return platform_system(nodes=39, configuration=document, bounds=bounds)

    async def ask(self, fleet, length_s, times, acquired):
        rng = random.Random(3)
        until_s = trio.current_time() + length_s
        while trio.current_time() < until_s:
            await trio.sleep(self.units / (self.rate * times))
            node = fleet.nodes[rng.choice(list(fleet.nodes))]
            now_s = trio.current_time()
            if node.quota.acquire(limit_of(node), self.units, now_s) == 0:
                acquired.append(now_s)

    def max_in_a_window(self, acquired):
        counts = [
            bisect_left(acquired, begin + self.window_s) - number
            for number, begin in enumerate(acquired)
        ]
        return max(counts) * self.units

    async def test_sudden_increase_of_demand(self, autojump_clock):
        """Gateways admitted all requests until a sudden increase was reported."""
        acquired = []
        async with self.fleet() as fleet:
            await trio.sleep(4)
            await self.ask(fleet, 9, 8, acquired)
        assert self.max_in_a_window(acquired) < self.allowed

    async def test_zone_partition(self, autojump_clock):
        """Guards against both sides of a partition acquiring the whole limit.

        Neither side receives the other's reports during the partition.
        """
        acquired = []
        async with self.fleet() as fleet:
            await trio.sleep(4)
            await self.ask(fleet, 8, 4, acquired)
            hosts = {
                node.settings.listen.callers.host: node.node.zone
                for node in fleet.nodes.values()
            }
            inside = [host for host, zone in hosts.items() if zone == "z0"]
            outside = [host for host, zone in hosts.items() if zone != "z0"]
            for pair in itertools.product(inside, outside):
                fleet.network.cut(*pair)
            await self.ask(fleet, 4, 4, acquired)
            for pair in itertools.product(inside, outside):
                fleet.network.heal(*pair)
            await self.ask(fleet, 4, 4, acquired)
        assert self.max_in_a_window(acquired) < self.allowed


class TestDuties:
    async def test_holder_receives_all_reports(self, autojump_clock):
        """The lease was acquired by the first node that started.

        Later that node is not among the candidates for the lease. It still needs the
        usage and the demand of all gateways; otherwise it reports usage and orders
        servers based on its own values only.
        """
        async with fleet_of(document()) as fleet:
            await trio.sleep(3)
            nodes = [node.node for node in fleet.nodes.values()]
            candidates = lease_candidates(nodes, LEASE_NAME)
            holder = next(n for n in fleet.nodes.values() if n.node not in candidates)
            holder.exchange.hubs.holds_lease = lambda: True
            await trio.sleep(3)
            assert len(holder.exchange.current_reports()) == NODES - 1

    async def test_lost_reports_are_repeated(self, autojump_clock):
        """A request of n9 runs; for a second its hub forwards no reports for duties.

        The counts of an incarnation only increase and are reported in full each half
        second, so the next report includes the lost counts and the window is not
        reported without the request.
        """
        async with fleet_of(configuration()) as fleet:
            await trio.sleep(4)
            node = fleet.nodes["n9"]
            hub = fleet.nodes[node.exchange.hubs.target()].exchange.hubs
            hub.aggregator.pop_duty_reports = lambda: (
                hub.aggregator.for_duties.clear() or []
            )
            now_s = node.clock.now()
            node.usage.record("ada", now_s)
            await trio.sleep(1)
            del hub.aggregator.pop_duty_reports
            await trio.sleep(1)
            names = hub.duty_nodes()
            window = node.usage.window_of(now_s)
            totals = [
                fleet.nodes[name].usage.total(window, ["ada"])["ada"] for name in names
            ]
            assert totals == [1] * len(names)

    async def test_usage_is_received_after_the_hub_fails(self, autojump_clock):
        """A hub is killed while requests of its zone run.

        The zone's gateways select another relay, which forwards their counts before
        the window is reported, two seconds after its end.
        """
        async with fleet_of(configuration()) as fleet:
            await trio.sleep(4)
            hub = fleet.nodes["n0"].exchange.hubs.target()
            names = fleet.nodes[hub].exchange.hubs.duty_nodes()
            node = next(
                v
                for n, v in fleet.nodes.items()
                if v.node.zone == "z0" and n != hub and n not in names
            )
            now_s = node.clock.now()
            node.usage.record("ada", now_s)
            fleet.kill(hub)
            await trio.sleep(2)
            window = node.usage.window_of(now_s)
            totals = {
                fleet.nodes[name].usage.total(window, ["ada"])["ada"]
                for name in names
                if name != hub
            }
            assert totals == {1}

    async def test_holder_reports_without_its_hub(self, autojump_clock):
        """The hub of the lease holder's zone is killed; the holder continues.

        Its reports arrive through the next hub after more than a second. Without direct
        reports, the candidates would assume in that time that the holder had failed and
        poll its lease ten times a second.
        """
        async with fleet_of(document()) as fleet:
            await trio.sleep(4)
            hub = fleet.nodes["n0"].exchange.hubs.target()
            candidates = set(fleet.nodes[hub].exchange.hubs.duty_nodes()) - {hub}
            holder = next(
                n
                for n, v in fleet.nodes.items()
                if v.node.zone == "z0" and n != hub and n not in candidates
            )
            fleet.nodes[holder].exchange.hubs.holds_lease = lambda: True
            await trio.sleep(2)
            fleet.kill(hub)
            silent_count = 0
            for _ in range(20):
                await trio.sleep(0.1)
                silent_count += sum(
                    not fleet.nodes[name].is_holder_reporting(f"{holder}/1")
                    for name in candidates
                )
            assert silent_count == 0

    async def test_few_messages(self, autojump_clock):
        """Nodes with duties receive the reports of thirty gateways, one per zone."""
        async with fleet_of(document()) as fleet:
            await trio.sleep(4)
            names = fleet.nodes["n0"].exchange.hubs.duty_nodes()
            received = [fleet.nodes[name].peers.traffic.received for name in names]
            kinds = ("peer_forward", "gateway_report", "duty_reports")

            def count():
                return sum(
                    by_kind[kind].messages
                    for by_kind in received
                    for kind in kinds
                    if kind in by_kind
                )

            before = count()
            await trio.sleep(5)
            assert (count() - before) / 5 / len(names) < 20


class TestHubFailure:
    async def test_next_relay_becomes_hub(self, autojump_clock):
        """The hub of a zone is killed while a customer acquires units in its zone.

        The zone's gateways select the next relay within two seconds. That relay does
        not count the earlier usage again.
        """
        async with fleet_of(configuration()) as fleet:
            await trio.sleep(4)
            hub = fleet.nodes["n0"].exchange.hubs.target()
            here = [n for n, v in fleet.nodes.items() if v.node.zone == "z0"]
            others = [name for name in here if name != hub]
            acquire(fleet, others[:2], 50)
            await trio.sleep(1.5)
            fleet.kill(hub)
            await trio.sleep(2.5)
            acquire(fleet, others[:2], 30)
            await trio.sleep(2)
            counts = acquired(fleet)
            del counts[hub]
            assert set(counts.values()) == {160}

    async def test_change_reaches_the_zone_of_a_failed_hub(self, autojump_clock):
        """The hub that watches the store for its zone is killed; a route changes."""
        async with fleet_of(configuration()) as fleet:
            await trio.sleep(4)
            fleet.kill(fleet.nodes["n0"].exchange.hubs.target())
            await trio.sleep(0.3)
            fleet.store.put("config", "main", configuration(7))
            await trio.sleep(3)
            versions = [n.state.version for n in fleet.nodes.values()]
            assert sorted(versions)[1:] == [7] * (NODES - 1)

    async def test_calls_stay_few(self, autojump_clock):
        """Servers change twenty times; only the hubs' watches receive responses."""
        async with fleet_of(document()) as fleet:
            await trio.sleep(12)
            calls = len(fleet.store.calls)
            for number in range(20):
                entry = fleet.servers["p0"].entry | {"version": f"v{number}"}
                fleet.store.put("servers", "p0", entry)
                await trio.sleep(0.1)
            assert len(fleet.store.calls) - calls < 100


class TestPlacement:
    async def test_idle_engine_is_not_overloaded(self, autojump_clock):
        """One of eight engines is idle, and thirty gateways know it.

        Their callers send requests at the same moment. No gateway learns of the others'
        choices before the next aggregate, so all thirty prompts were sent to the idle
        engine and prefilled one after the other: callers received their first tokens
        late although seven engines had less work. No engine may receive half of the
        requests.
        """
        async with fleet_of(document(), models=8) as fleet:
            await trio.sleep(4)
            table = fleet.nodes["n0"].state.servers
            for number in range(1, 8):
                table.begin(table.by_id[f"m{number}"], None, 4000)
            await trio.sleep(1.5)
            async with trio.open_nursery() as nursery:
                for number, name in enumerate(fleet.nodes):
                    send = partial(fleet.ask, "/plan/x", name, request_id=f"r{number}")
                    nursery.start_soon(partial(send, **MODEL_HEADERS))
            chosen = Counter(
                name
                for name, server in fleet.servers.items()
                for arrival in server.arrivals
                if arrival.id.startswith("r")
            )
            assert chosen.total() == NODES
            assert max(chosen.values()) < NODES / 2

    async def test_unreported_locations_are_not_queued(self, autojump_clock):
        """One of thirty gateways forwards prompts; prefix locations are not reported.

        If locations were queued for reports, they would grow until the process runs out
        of memory.
        """
        async with fleet_of(document()) as fleet:
            await trio.sleep(4)
            response = await fleet.ask("/plan/x", "n3", **MODEL_HEADERS)
            assert response.status == 200
            table = fleet.nodes["n3"].state.servers
            assert table.cached.locations
            assert not table.recent_locations


class TestAggregator:
    def test_late_report_is_ignored(self):
        aggregator = HubAggregator("n0", 1)
        aggregator.apply_report(HubReport("n1", 1, 5, 1, spent={"ada": [10, 0]}), 0.0)
        aggregator.apply_report(HubReport("n1", 1, 7, 1, spent={"ada": [30, 0]}), 0.3)
        aggregator.apply_report(HubReport("n1", 1, 6, 1, spent={"ada": [20, 0]}), 0.4)
        here = aggregator.local_aggregate(0.5, 0.0)
        assert here.spent["ada"][0] == 20
        assert here.counted == {"n1": 7}
