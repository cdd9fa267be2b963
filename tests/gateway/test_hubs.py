"""Tests of what thirty gateways tell each other through the hubs of their zones."""

import itertools
import random
from bisect import bisect_left
from collections import Counter
from functools import partial

import trio

from rosemaryknot.process.hub_sums import HubBook
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


def take(fleet, names, units):
    for name in names:
        node = fleet.nodes[name]
        assert node.quota.take(limit_of(node), units, trio.current_time()) == 0


def taken(fleet):
    return {
        name: round(node.quota.accounts["ada"].taken)
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


class TestSums:
    async def test_limits_are_counted_once(self, autojump_clock):
        """Four gateways of different zones take units of one customer's limit.

        Each gateway counts what all have taken, its own part once: counted twice, a
        customer would be refused half of what it may have.
        """
        async with fleet_of(configuration()) as fleet:
            await trio.sleep(4)
            take(fleet, ["n0", "n1", "n2", "n9"], 50)
            await trio.sleep(1.5)
            take(fleet, ["n0", "n5"], 30)
            await trio.sleep(1.5)
            assert set(taken(fleet).values()) == {260}
            assert len(taken(fleet)) == NODES

    async def test_loads_are_those_of_all(self, autojump_clock):
        """Two gateways have requests in flight at one server.

        The others see both, and each of the two only the other's beside its own.
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
    """A customer asks thirty-nine gateways for many times its limit."""

    rate = 250_000
    burst = 250_000
    window_s = 8.0
    units = 4000

    @property
    def allowed(self):
        """Units in a window, with what the deployment's rule adds to the limit."""
        return 1.1 * (self.rate * self.window_s + self.burst) + 140_000

    def fleet(self):
        limited = LIMITED | {"ratePerS": self.rate, "burst": self.burst}
        document = configuration() | {"tenants": [limited]}
        bounds = Bounds(limit_window_s=self.window_s)
        return platform_system(nodes=39, configuration=document, bounds=bounds)

    async def ask(self, fleet, length_s, times, taken):
        rng = random.Random(3)
        until_s = trio.current_time() + length_s
        while trio.current_time() < until_s:
            await trio.sleep(self.units / (self.rate * times))
            node = fleet.nodes[rng.choice(list(fleet.nodes))]
            now_s = trio.current_time()
            if node.quota.take(limit_of(node), self.units, now_s) == 0:
                taken.append(now_s)

    def most_in_a_window(self, taken):
        counts = [
            bisect_left(taken, begin + self.window_s) - number
            for number, begin in enumerate(taken)
        ]
        return max(counts) * self.units

    async def test_demand_jumps(self, autojump_clock):
        """Gateways passed all requests until a demand that had jumped was known."""
        taken = []
        async with self.fleet() as fleet:
            await trio.sleep(4)
            await self.ask(fleet, 9, 8, taken)
        assert self.most_in_a_window(taken) < self.allowed

    async def test_zone_partition(self, autojump_clock):
        """Both sides of a cut zone took the whole limit, for none heard the other."""
        taken = []
        async with self.fleet() as fleet:
            await trio.sleep(4)
            await self.ask(fleet, 8, 4, taken)
            hosts = {
                node.settings.listen.callers.host: node.node.zone
                for node in fleet.nodes.values()
            }
            inside = [host for host, zone in hosts.items() if zone == "z0"]
            outside = [host for host, zone in hosts.items() if zone != "z0"]
            for pair in itertools.product(inside, outside):
                fleet.network.cut(*pair)
            await self.ask(fleet, 4, 4, taken)
            for pair in itertools.product(inside, outside):
                fleet.network.heal(*pair)
            await self.ask(fleet, 4, 4, taken)
        assert self.most_in_a_window(taken) < self.allowed


class TestDuties:
    async def test_holder_hears_all(self, autojump_clock):
        """The lease was taken by the first node that was there.

        Later it is not among those that would take it; it still has to know the
        usage and the demand of all gateways, or it reports and orders by its own.
        """
        async with fleet_of(document()) as fleet:
            await trio.sleep(3)
            nodes = [node.node for node in fleet.nodes.values()]
            candidates = lease_candidates(nodes, LEASE_NAME)
            holder = next(n for n in fleet.nodes.values() if n.node not in candidates)
            holder.exchange.hubs.holds_lease = lambda: True
            await trio.sleep(3)
            assert len(holder.exchange.fresh_reports()) == NODES - 1

    async def test_lost_reports_are_made_good(self, autojump_clock):
        """A request of n9 runs; for a second its hub passes nothing on for duties.

        The counts of a life only rise and are told whole each half second, so the next
        ones that come bring what was lost: the window is not told without the request.
        """
        async with fleet_of(configuration()) as fleet:
            await trio.sleep(4)
            node = fleet.nodes["n9"]
            hub = fleet.nodes[node.exchange.hubs.target()].exchange.hubs
            hub.book.take_for_duties = lambda: hub.book.for_duties.clear() or []
            now_s = node.clock.now()
            node.usage.note("ada", now_s)
            await trio.sleep(1)
            del hub.book.take_for_duties
            await trio.sleep(1)
            names = hub.with_duties()
            window = node.usage.window_of(now_s)
            totals = [
                fleet.nodes[name].usage.total(window, ["ada"])["ada"] for name in names
            ]
            assert totals == [1] * len(names)

    async def test_usage_is_heard_after_the_hub_is_gone(self, autojump_clock):
        """A hub is killed; requests of its zone run just then and after.

        The zone's gateways turn to another relay, which passes their counts on before
        the window is told, two seconds after its end.
        """
        async with fleet_of(configuration()) as fleet:
            await trio.sleep(4)
            hub = fleet.nodes["n0"].exchange.hubs.target()
            names = fleet.nodes[hub].exchange.hubs.with_duties()
            node = next(
                v
                for n, v in fleet.nodes.items()
                if v.node.zone == "z0" and n != hub and n not in names
            )
            now_s = node.clock.now()
            node.usage.note("ada", now_s)
            fleet.kill(hub)
            await trio.sleep(2)
            window = node.usage.window_of(now_s)
            totals = {
                fleet.nodes[name].usage.total(window, ["ada"])["ada"]
                for name in names
                if name != hub
            }
            assert totals == {1}

    async def test_holder_is_heard_without_its_hub(self, autojump_clock):
        """The hub of the lease holder's zone is killed, the holder goes on.

        Through the next hub its reports come again after more than a second. Meanwhile
        the candidates would take it for gone and look for its lease ten times a second.
        """
        async with fleet_of(document()) as fleet:
            await trio.sleep(4)
            hub = fleet.nodes["n0"].exchange.hubs.target()
            candidates = set(fleet.nodes[hub].exchange.hubs.with_duties()) - {hub}
            holder = next(
                n
                for n, v in fleet.nodes.items()
                if v.node.zone == "z0" and n != hub and n not in candidates
            )
            fleet.nodes[holder].exchange.hubs.holds_lease = lambda: True
            await trio.sleep(2)
            fleet.kill(hub)
            unheard = 0
            for _ in range(20):
                await trio.sleep(0.1)
                unheard += sum(
                    not fleet.nodes[name].is_holder_heard(f"{holder}/1")
                    for name in candidates
                )
            assert unheard == 0

    async def test_few_messages(self, autojump_clock):
        """Thirty gateways tell those with duties, who get one message a zone."""
        async with fleet_of(document()) as fleet:
            await trio.sleep(4)
            names = fleet.nodes["n0"].exchange.hubs.with_duties()
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


class TestHubIsGone:
    async def test_next_relay_takes_over(self, autojump_clock):
        """The hub of a zone is killed; a customer goes on taking at its zone.

        The zone's gateways turn to the next relay within two seconds. What was taken
        before is not counted again by it.
        """
        async with fleet_of(configuration()) as fleet:
            await trio.sleep(4)
            hub = fleet.nodes["n0"].exchange.hubs.target()
            here = [n for n, v in fleet.nodes.items() if v.node.zone == "z0"]
            others = [name for name in here if name != hub]
            take(fleet, others[:2], 50)
            await trio.sleep(1.5)
            fleet.kill(hub)
            await trio.sleep(2.5)
            take(fleet, others[:2], 30)
            await trio.sleep(2)
            counts = taken(fleet)
            del counts[hub]
            assert set(counts.values()) == {160}

    async def test_change_reaches_its_zone(self, autojump_clock):
        """The hub, which watches the store for its zone, is killed; a route changes."""
        async with fleet_of(configuration()) as fleet:
            await trio.sleep(4)
            fleet.kill(fleet.nodes["n0"].exchange.hubs.target())
            await trio.sleep(0.3)
            fleet.store.put("config", "main", configuration(7))
            await trio.sleep(3)
            versions = [n.state.version for n in fleet.nodes.values()]
            assert sorted(versions)[1:] == [7] * (NODES - 1)

    async def test_calls_stay_few(self, autojump_clock):
        """Servers change twenty times; only the hubs' watches are answered."""
        async with fleet_of(document()) as fleet:
            await trio.sleep(12)
            calls = len(fleet.store.calls)
            for number in range(20):
                entry = fleet.servers["p0"].entry | {"version": f"v{number}"}
                fleet.store.put("servers", "p0", entry)
                await trio.sleep(0.1)
            assert len(fleet.store.calls) - calls < 100


class TestPlacement:
    async def test_many_do_not_choose_alike(self, autojump_clock):
        """One of eight engines has nothing to read, and thirty gateways know it.

        Their callers ask at the same moment. Nobody hears of the others' choices
        before the next sum, so all thirty prompts went to the idle engine and were
        read one after the other: callers got their first words late beside seven
        engines with less to do. No engine may get half of what came.
        """
        async with fleet_of(document(), models=8) as fleet:
            await trio.sleep(4)
            table = fleet.nodes["n0"].state.servers
            for number in range(1, 8):
                table.begin(table.by_id[f"m{number}"], None, 4000)
            await trio.sleep(1.5)
            async with trio.open_nursery() as nursery:
                for number, name in enumerate(fleet.nodes):
                    ask = partial(fleet.ask, "/plan/x", name, request_id=f"r{number}")
                    nursery.start_soon(partial(ask, **MODEL_HEADERS))
            chosen = Counter(
                name
                for name, server in fleet.servers.items()
                for arrival in server.arrivals
                if arrival.id.startswith("r")
            )
            assert chosen.total() == NODES
            assert max(chosen.values()) < NODES / 2

    async def test_what_is_not_told_is_not_kept(self, autojump_clock):
        """A gateway of thirty sends prompts on, whose places nobody asks for.

        Kept to be told, they would grow until the process is killed for its memory.
        """
        async with fleet_of(document()) as fleet:
            await trio.sleep(4)
            answer = await fleet.ask("/plan/x", "n3", **MODEL_HEADERS)
            assert answer.status == 200
            table = fleet.nodes["n3"].state.servers
            assert table.kept.places
            assert not table.recent


class TestBook:
    def test_late_report_is_left_out(self):
        book = HubBook("n0", 1)
        book.take_report(HubReport("n1", 1, 5, 1, spent={"ada": [10, 0]}), 0.0)
        book.take_report(HubReport("n1", 1, 7, 1, spent={"ada": [30, 0]}), 0.3)
        book.take_report(HubReport("n1", 1, 6, 1, spent={"ada": [20, 0]}), 0.4)
        here = book.here_sum(0.5, 0.0)
        assert here.spent["ada"][0] == 20
        assert here.counted == {"n1": 7}
