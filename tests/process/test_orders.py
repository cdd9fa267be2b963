"""Tests of orders sent by lease holders that are paused after the lease check."""

import pytest
import trio
from tests.process.test_leases import TAKEOVER_TIMEOUT_S, run_region

from rosemaryknot.connection.order_client import HttpOrderClient
from rosemaryknot.process.orders import (
    NEEDS_FENCING,
    NOT_HOLDER,
    NOT_RECORDED,
    OWN_MODEL,
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
    """Freezes a process between its check of the lease and its call."""

    def __init__(self, host):
        self.host = host
        self.armed_call = ""

    async def wait(self, call):
        if self.armed_call == call:
            self.armed_call = ""
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
    """Two processes with the placement duty, and engines that record their orders."""

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
        self.pause_points = [PausePoint(host) for host in region.hosts]
        self.duties = [self.duty(index) for index in range(len(region.hosts))]

    def duty(self, index):
        """Create the placement duty of one process, as `PlacementManager` does."""
        lease = self.region.leases[index]
        point = self.pause_points[index]
        client = PausingClient(self.region.hosts[index].network, point)
        cloud = PausingCloud(self.region.clients[index], point)
        sender = OrderSender(lease, cloud, client, lease.safeguards)
        table = ServerTable()
        return PlacementDuty(lambda: self.target, lease, sender, cloud, client, table)

    async def start(self, engines):
        """Start engines and both processes."""
        self.cloud.launcher = self.start_engine
        self.cloud.prices[ZONE, "g1", True] = 1.0
        for number in range(engines):
            server = BackendServer(f"e{number}", MODEL, ZONE, "g1", True, "")
            server.address = await self.start_engine(server)
            self.cloud.add(server)
        self.region.start(self.nursery)
        for index, duty in enumerate(self.duties):
            self.region.spawn(index, duty.run)
            self.region.spawn(index, self.poll_instances, duty)

    async def poll_instances(self, duty):
        """Update the server table periodically, as `PlatformWatch` does."""
        while True:
            listed = await duty.cloud.instances()
            if isinstance(listed, list):
                duty.servers.apply_list(listed)
            await trio.sleep(2.0)

    async def start_engine(self, server):
        engine = EngineStandIn(self.settings)
        address = Address(f"10.0.1.{1 + len(self.engines)}", 9000)
        self.engines[server.instance] = engine
        network = self.region.network.with_host(address.host)
        host = Host(network)
        self.region.engine_hosts.append(host)
        self.nursery.start_soon(host.run, engine.serve, network, address)
        await trio.sleep(0.01)
        return str(address)

    async def wait_for_settled(self, other_than=-1):
        """Wait for a holder that has settled and return its index."""
        while True:
            for index, duty in enumerate(self.duties):
                if index != other_than and duty.lease.is_held():
                    if duty.sender.is_settled():
                        return index
            await trio.sleep(0.1)

    async def send_paused_order(self, index, call, order, *args):
        """Pause a holder before it sends an order, until another holder has settled."""
        region = self.region
        self.pause_points[index].armed_call = call
        region.spawn(index, order, *args)
        await trio.sleep(PAUSE_S)
        assert region.hosts[index].is_frozen
        return await self.wait_for_settled(other_than=index)

    def live_instances(self):
        return [
            name
            for name, server in self.cloud.servers.items()
            if server.state == ServerState.LIVE
        ]

    def serving_instances(self, index):
        """Return the instances that a holder counts as serving."""
        duty = self.duties[index]
        servers = duty.servers_of(MODEL)
        placement_input = duty.placement_input(self.target, servers)
        return {i.instance for i in placement_input.instances if i.phase == Phase.LIVE}


def run_holders(scenario, checks_fencing=True, count=2, engines=2, **safeguards):
    """Run an async function with two holders in virtual time; return its result."""

    async def main(region, nursery):
        region.engine_hosts = []
        holders = Holders(region, nursery, checks_fencing, count)
        await holders.start(engines)
        try:
            return await scenario(holders)
        finally:
            for host in region.engine_hosts:
                host.dispose()
            for duty in holders.duties:
                await duty.removal.client.aclose()

    return run_region(main, count=2, **safeguards)


class TestPausedHolder:
    def test_server_with_fencing_refuses_late_order(self):
        """A holder checks its lease, is paused for a minute, and sends its order.

        Meanwhile the next holder has sent its fencing token to each engine, so the
        late order is refused. An engine without the new token executes it.
        """

        async def scenario(holders):
            first = await holders.wait_for_settled()
            unfenced = BackendServer("e9", "other", ZONE, "g1", True, "")
            unfenced.address = await holders.start_engine(unfenced)
            duty = holders.duties[first]
            order = ServerOrder("load_model", {"model": "old"})
            outcomes = []

            async def send_late():
                for server in (duty.servers.get("e0"), unfenced):
                    outcome = await duty.removal.client.order(server, order, 1)
                    outcomes.append(outcome)

            await holders.send_paused_order(first, "order", send_late)
            holders.region.hosts[first].thaw()
            await trio.sleep(5.0)
            return holders, outcomes

        holders, outcomes = run_holders(scenario)
        assert [type(outcome) for outcome in outcomes] == [OrderRefused, OrderDone]
        assert outcomes[0].fencing == 2
        for name in ("e0", "e1"):
            orders = holders.engines[name].orders
            numbers = [order.fencing for order in orders.carried_out]
            assert numbers == sorted(numbers) and set(numbers) == {1, 2}
            assert orders.models == {MODEL}

    def test_late_order_without_fencing_is_repaired(self):
        """An engine that does not check fencing tokens executes a late order.

        The next holder detects and reverts it at its next read, while the service's
        own model stays loaded.
        """

        async def scenario(holders):
            first = await holders.wait_for_settled()
            duty = holders.duties[first]
            server = duty.servers.get("e0")
            order = ServerOrder("load_model", {"model": "old"})
            await holders.send_paused_order(
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

        assert run_holders(scenario, checks_fencing=False) <= REPAIR_BOUND_S

    @pytest.mark.parametrize("additive_first", [True, False])
    def test_late_release_removes_no_serving_instance(self, additive_first):
        """A holder is paused just before it releases an instance.

        If the decision is not recorded, the next holder counts the instance as
        serving, and the late order then removes it.
        """

        async def scenario(holders):
            first = await holders.wait_for_settled()
            duty = holders.duties[first]
            if additive_first:
                refused = await duty.sender.release(holders.target, "e0")
                assert refused == OrderRefused(NOT_RECORDED)
                assert await duty.lease.record_draining(["e0"])
            second = await holders.send_paused_order(
                first, "release", duty.sender.release, holders.target, "e0"
            )
            counted = holders.serving_instances(second)
            holders.region.hosts[first].thaw()
            await trio.sleep(2.0)
            return counted - set(holders.live_instances())

        removed = run_holders(scenario, additive_first=additive_first)
        assert removed == (set() if additive_first else {"e0"})

    @pytest.mark.parametrize("checks_fencing", [True, False])
    def test_late_start_is_repaired(self, checks_fencing):
        """A holder is paused just before it starts the second instance.

        The next holder starts it, and the late order of the first one adds a third.
        The next holder drains and releases one, while two serve throughout.
        """

        async def scenario(holders):
            for point in holders.pause_points:
                point.armed_call = "start"
            frozen = []
            while not frozen:
                await trio.sleep(0.1)
                hosts = holders.region.hosts
                frozen = [i for i, host in enumerate(hosts) if host.is_frozen]
            for point in holders.pause_points:
                point.armed_call = ""
            second = await holders.wait_for_settled(other_than=frozen[0])
            assert len(holders.live_instances()) == 2
            holders.region.hosts[frozen[0]].thaw()
            while len(holders.live_instances()) < 3:
                await trio.sleep(0.1)
            begin_s = trio.current_time()
            while len(holders.live_instances()) > 2:
                leaving = holders.duties[second].lease.leaving
                assert len(set(holders.live_instances()) - set(leaving)) >= 2
                await trio.sleep(0.1)
            took_s = trio.current_time() - begin_s
            await trio.sleep(60.0)
            return took_s, len(holders.live_instances()), holders.region.max_holders

        took_s, live_instances, max_holders = run_holders(
            scenario, checks_fencing=checks_fencing, engines=1
        )
        assert took_s <= SURPLUS_BOUND_S and live_instances == 2 and max_holders == 1


class TestSender:
    def test_new_holder_waits_without_fencing(self):
        """The holder and an instance fail at the same time.

        If the servers do not check fencing tokens, the next holder waits for late
        orders of its predecessor. Otherwise it starts a replacement immediately.
        """

        async def scenario(holders):
            first = await holders.wait_for_settled()
            holders.region.hosts[first].freeze()
            holders.cloud.terminate("e0")
            begin_s = trio.current_time()
            while not [d for d in holders.duties if d.lease.fencing == 2]:
                await trio.sleep(0.1)
            takeover_s = trio.current_time()
            while len(holders.live_instances()) < 2:
                await trio.sleep(0.1)
            return takeover_s - begin_s, trio.current_time() - takeover_s

        for checks_fencing, min_s, max_s in ((True, 0.0, 4.0), (False, 4.9, 7.0)):
            takeover_s, started_s = run_holders(scenario, checks_fencing=checks_fencing)
            assert takeover_s <= TAKEOVER_TIMEOUT_S
            assert min_s <= started_s <= max_s

    def test_outage_while_holding(self):
        """The store becomes unreachable, the lease expires, an instance terminates.

        The holder must not send orders any more, even if the cloud API would accept
        them. After the outage the instance is replaced.
        """

        async def scenario(holders):
            first = await holders.wait_for_settled()
            duty = holders.duties[first]
            held_s = duty.lease.remaining_s()
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
            live_instances = holders.live_instances()
            holders.region.platform.faults.outage = ""
            await holders.wait_for_settled()
            await trio.sleep(20.0)
            return outcomes, live_instances, holders.live_instances()

        outcomes, in_outage, after = run_holders(scenario)
        assert outcomes == 3 * [OrderRefused(NOT_HOLDER)]
        assert in_outage == ["e1"]
        assert len(after) == 2

    def test_harmful_orders_are_refused(self):
        """Orders that are harmful when late are never sent to such servers."""

        async def scenario(holders):
            duty = holders.duties[await holders.wait_for_settled()]
            server = duty.servers.get("e0")
            return [
                await duty.sender.order(holders.target, server, order)
                for order in (
                    ServerOrder("unload_model", {"model": MODEL}),
                    ServerOrder("set_role", {"role": "prefill"}),
                    ServerOrder("drain"),
                )
            ]

        refused = [OrderRefused(r) for r in (OWN_MODEL, NEEDS_FENCING, NOT_RECORDED)]
        assert run_holders(scenario, checks_fencing=False) == refused
