"""Tests of orders: holders that are paused between their look and their send."""

import pytest
import trio
from tests.process.test_leases import TAKE_OVER_S, run_region

from rosemaryknot.connection.order_client import HttpOrderClient
from rosemaryknot.process.orders import (
    NEEDS_FENCING,
    NOT_HOLDER,
    SERVES,
    UNWRITTEN,
    OrderSender,
)
from rosemaryknot.process.placement.service import PlacementDuty
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.replay.hosts import Host
from rosemaryknot.standin.engine import EngineSettings, EngineStandIn
from rosemaryknot.values.nodes import Address, BackendServer, ServerState
from rosemaryknot.values.placement import (
    InstanceKind,
    OrderDone,
    OrderRefused,
    Phase,
    ServerOrder,
    ServiceTarget,
    ZoneTarget,
)

MODEL = "kit-assistant"
ZONE = "waco-a"
KIND = InstanceKind(ZONE, "g1", True)
REPAIR_BOUND_S = 15.0
SURPLUS_BOUND_S = 40.0
PAUSE_S = 60.0


class PausePoint:
    """Stops a process between its look at the lease and its send."""

    def __init__(self, host):
        self.host = host
        self.armed_for = ""

    async def wait(self, call):
        if self.armed_for == call:
            self.armed_for = ""
            self.host.freeze()
        await trio.sleep(0)


class PausingClient(HttpOrderClient):
    def __init__(self, network, point):
        super().__init__(network)
        self.point = point

    async def order(self, server, order, fencing):
        await self.point.wait("order")
        return await super().order(server, order, fencing)


class PausingCloud:
    def __init__(self, client, point):
        self.client = client
        self.point = point

    def __getattr__(self, name):
        return getattr(self.client, name)

    async def start_instance(self, *args):
        await self.point.wait("start")
        return await self.client.start_instance(*args)

    async def release_instance(self, name):
        await self.point.wait("release")
        return await self.client.release_instance(name)


class Holders:
    """Two processes with the placement duty, and engines that record each order."""

    def __init__(self, region, nursery, checks_fencing, count):
        self.region = region
        self.nursery = nursery
        self.cloud = region.platform.cloud
        self.engines = {}
        self.settings = EngineSettings(
            checks_fencing=checks_fencing, models=(MODEL,), load_model_s=0.5
        )
        zone = ZoneTarget(ZONE, count, ("g1",), 1.0)
        self.target = ServiceTarget(MODEL, True, checks_fencing, 20.0, (zone,))
        self.points = [PausePoint(host) for host in region.hosts]
        self.duties = [self.duty(index) for index in range(len(region.hosts))]

    def duty(self, index):
        """Put one process's duty together, as `PlacementKeeper` does."""
        lease = self.region.leases[index]
        point = self.points[index]
        client = PausingClient(self.region.hosts[index].network, point)
        cloud = PausingCloud(self.region.clients[index], point)
        sender = OrderSender(lease, cloud, client, lease.safeguards)
        table = ServerTable()
        return PlacementDuty(lambda: self.target, lease, sender, cloud, client, table)

    async def start(self, engines):
        """Start engines and both processes."""
        self.cloud.launcher = self.launch
        self.cloud.prices[ZONE, "g1", True] = 1.0
        for number in range(engines):
            server = BackendServer(f"e{number}", MODEL, ZONE, "g1", True, "")
            server.address = await self.launch(server)
            self.cloud.add(server)
        self.region.start(self.nursery)
        for index, duty in enumerate(self.duties):
            self.region.spawn(index, duty.run)
            self.region.spawn(index, self.poll, duty)

    async def poll(self, duty):
        """Keep a table up to date, as `PlatformWatch` does."""
        while True:
            listed = await duty.cloud.instances()
            if isinstance(listed, list):
                duty.servers.apply_list(listed)
            await trio.sleep(2.0)

    async def launch(self, server):
        engine = EngineStandIn(self.settings)
        address = Address(f"10.0.1.{1 + len(self.engines)}", 9000)
        self.engines[server.instance] = engine
        network = self.region.network.with_host(address.host)
        host = Host(network)
        self.region.hosts_of_engines.append(host)
        self.nursery.start_soon(host.run, engine.serve, network, address)
        await trio.sleep(0.01)
        return str(address)

    async def settled(self, other_than=-1):
        """Wait for a holder who has read back; return its index."""
        while True:
            for index, duty in enumerate(self.duties):
                if index != other_than and duty.lease.is_held():
                    if duty.sender.is_settled():
                        return index
            await trio.sleep(0.1)

    async def paused_order(self, index, call, order, *args):
        """Pause a holder between look and send of an order, until another holds."""
        region = self.region
        self.points[index].armed_for = call
        region.spawn(index, order, *args)
        await trio.sleep(PAUSE_S)
        assert region.hosts[index].is_frozen
        return await self.settled(other_than=index)

    def live(self):
        return [
            name
            for name, server in self.cloud.servers.items()
            if server.state == ServerState.LIVE
        ]

    def serving(self, index):
        """Return what a holder counts as serving."""
        duty = self.duties[index]
        servers = duty.servers_of(MODEL)
        given = duty.given(self.target, servers)
        return {i.instance for i in given.instances if i.phase == Phase.LIVE}


def run_holders(story, checks_fencing=True, count=2, engines=2, **safeguards):
    """Run an async function of two holders in virtual time; return its result."""

    async def main(region, nursery):
        region.hosts_of_engines = []
        holders = Holders(region, nursery, checks_fencing, count)
        await holders.start(engines)
        try:
            return await story(holders)
        finally:
            for host in region.hosts_of_engines:
                host.dispose()
            for duty in holders.duties:
                await duty.removal.client.aclose()

    return run_region(main, count=2, **safeguards)


class TestPausedHolder:
    def test_server_that_checks_refuses(self):
        """A holder looks at its lease, is paused for a minute, and sends its order.

        The next holder has shown its number to each engine meanwhile, so the late
        order is refused. An engine that nobody showed the new number obeys it.
        """

        async def story(holders):
            first = await holders.settled()
            stranger = BackendServer("e9", "other", ZONE, "g1", True, "")
            stranger.address = await holders.launch(stranger)
            duty = holders.duties[first]
            order = ServerOrder("load_model", {"model": "old"})
            outcomes = []

            async def send_late():
                for server in (duty.servers.get("e0"), stranger):
                    outcome = await duty.removal.client.order(server, order, 1)
                    outcomes.append(outcome)

            await holders.paused_order(first, "order", send_late)
            holders.region.hosts[first].thaw()
            await trio.sleep(5.0)
            return holders, outcomes

        holders, outcomes = run_holders(story)
        assert [type(outcome) for outcome in outcomes] == [OrderRefused, OrderDone]
        assert outcomes[0].fencing == 2
        for name in ("e0", "e1"):
            orders = holders.engines[name].orders
            numbers = [order.fencing for order in orders.carried_out]
            assert numbers == sorted(numbers) and set(numbers) == {1, 2}
            assert orders.models == {MODEL}

    def test_server_that_does_not_check_is_repaired(self):
        """The same with an engine that checks nothing: it carries the order out.

        The next holder finds it at its next read-back and takes it back, and the
        service's own model stays loaded all the time.
        """

        async def story(holders):
            first = await holders.settled()
            duty = holders.duties[first]
            server = duty.servers.get("e0")
            order = ServerOrder("load_model", {"model": "old"})
            await holders.paused_order(
                first, "order", duty.sender.order, holders.target, server, order
            )
            orders = holders.engines["e0"].orders
            assert orders.models == {MODEL}
            holders.region.hosts[first].thaw()
            while "old" not in orders.models:
                await trio.sleep(0.1)
            begin_s = trio.current_time()
            while "old" in orders.models:
                assert MODEL in orders.models
                await trio.sleep(0.1)
            return trio.current_time() - begin_s

        assert run_holders(story, checks_fencing=False) <= REPAIR_BOUND_S

    @pytest.mark.parametrize("additive_first", [True, False])
    def test_late_release_takes_nothing_that_serves(self, additive_first):
        """A holder is paused just before it gives an instance back.

        The next holder counts on that instance if it cannot know of the decision;
        then the order arrives and takes away what serves.
        """

        async def story(holders):
            first = await holders.settled()
            duty = holders.duties[first]
            if additive_first:
                refused = await duty.sender.release(holders.target, "e0")
                assert refused == OrderRefused(UNWRITTEN)
                assert await duty.lease.note_leaving(["e0"])
            second = await holders.paused_order(
                first, "release", duty.sender.release, holders.target, "e0"
            )
            counted = holders.serving(second)
            holders.region.hosts[first].thaw()
            await trio.sleep(2.0)
            return counted - set(holders.live())

        taken = run_holders(story, additive_first=additive_first)
        assert taken == (set() if additive_first else {"e0"})

    @pytest.mark.parametrize("checks_fencing", [True, False])
    def test_late_start_is_repaired(self, checks_fencing):
        """A holder is paused just before it starts the second instance.

        The next holder starts it. Then the first one's order arrives, and there are
        three. The next holder drains and releases one; two serve throughout.
        """

        async def story(holders):
            for point in holders.points:
                point.armed_for = "start"
            frozen = []
            while not frozen:
                await trio.sleep(0.1)
                hosts = holders.region.hosts
                frozen = [i for i, host in enumerate(hosts) if host.is_frozen]
            for point in holders.points:
                point.armed_for = ""
            second = await holders.settled(other_than=frozen[0])
            assert len(holders.live()) == 2
            holders.region.hosts[frozen[0]].thaw()
            while len(holders.live()) < 3:
                await trio.sleep(0.1)
            begin_s = trio.current_time()
            while len(holders.live()) > 2:
                leaving = holders.duties[second].lease.leaving
                assert len(set(holders.live()) - set(leaving)) >= 2
                await trio.sleep(0.1)
            took_s = trio.current_time() - begin_s
            await trio.sleep(60.0)
            return took_s, len(holders.live()), holders.region.most_holders

        took_s, live, most = run_holders(
            story, checks_fencing=checks_fencing, engines=1
        )
        assert took_s <= SURPLUS_BOUND_S and live == 2 and most == 1


class TestSender:
    def test_new_holder_waits_for_servers_that_check_nothing(self):
        """The holder vanishes and an instance with it.

        Where nothing checks its number, the next one waits once more for orders
        that its predecessor may still send; where they are checked it acts at once.
        """

        async def story(holders):
            first = await holders.settled()
            holders.region.hosts[first].freeze()
            holders.cloud.terminate("e0")
            begin_s = trio.current_time()
            while not [d for d in holders.duties if d.lease.fencing == 2]:
                await trio.sleep(0.1)
            taken_s = trio.current_time()
            while len(holders.live()) < 2:
                await trio.sleep(0.1)
            return taken_s - begin_s, trio.current_time() - taken_s

        for checks_fencing, least_s, most_s in ((True, 0.0, 4.0), (False, 4.9, 7.0)):
            taken_s, started_s = run_holders(story, checks_fencing=checks_fencing)
            assert taken_s <= TAKE_OVER_S
            assert least_s <= started_s <= most_s

    def test_outage_while_holding(self):
        """The store goes out, the lease lapses, then an instance ends.

        The holder sends no order any more, whether or not the cloud API would take
        it. After the outage the instance is replaced.
        """

        async def story(holders):
            first = await holders.settled()
            duty = holders.duties[first]
            held_s = duty.lease.left_s()
            holders.region.platform.faults.outage = "refuse"
            await trio.sleep(held_s)
            outcomes = [
                await duty.sender.start(holders.target, KIND),
                await duty.sender.release(holders.target, "e1"),
                await duty.sender.order(
                    holders.target, duty.servers.get("e1"), ServerOrder("fence")
                ),
            ]
            holders.cloud.terminate("e0")
            await trio.sleep(60.0)
            live = holders.live()
            holders.region.platform.faults.outage = ""
            await holders.settled()
            await trio.sleep(20.0)
            return outcomes, live, holders.live()

        outcomes, in_outage, after = run_holders(story)
        assert outcomes == 3 * [OrderRefused(NOT_HOLDER)]
        assert in_outage == ["e1"]
        assert len(after) == 2

    def test_orders_that_could_harm_are_refused(self):
        """Orders that could harm when they come late never go to such servers."""

        async def story(holders):
            duty = holders.duties[await holders.settled()]
            server = duty.servers.get("e0")
            return [
                await duty.sender.order(holders.target, server, order)
                for order in (
                    ServerOrder("unload_model", {"model": MODEL}),
                    ServerOrder("set_role", {"role": "prefill"}),
                    ServerOrder("drain"),
                )
            ]

        refused = [OrderRefused(r) for r in (SERVES, NEEDS_FENCING, UNWRITTEN)]
        assert run_holders(story, checks_fencing=False) == refused
