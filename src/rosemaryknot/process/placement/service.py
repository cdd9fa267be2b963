"""The placement of one service, done by the holder of its lease."""

from collections.abc import Callable

import trio

from rosemaryknot.process.leases import Lease
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.process.orders import OrderSender
from rosemaryknot.process.placement.policies import DEFAULT_POLICY, decide
from rosemaryknot.process.placement.rates import KindRates
from rosemaryknot.process.placement.read_back import ReadBack
from rosemaryknot.process.placement.removal import Removal
from rosemaryknot.process.placement.server_orders import ServerOrders
from rosemaryknot.process.placement.survey import Starts, placed_instances
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.placement import (
    CloudApi,
    Decision,
    Drain,
    OrderClient,
    OrderDone,
    OrderFailed,
    Phase,
    PlacementInput,
    Release,
    ServiceTarget,
    Start,
)
from rosemaryknot.values.platform import PlatformFailed

__all__ = ["PlacementDuty"]

TICK_S = 1.0
PRICES_S = 30.0

DECISIONS = counter("placement_decisions_total", "Placement decisions by kind.")
COST = gauge("placement_cost_per_hour", "Price of the live and leaving instances.")
INSTANCES = gauge("placement_instances", "Instances by service and phase.")
MISSING = gauge("placement_missing", "Instances wanted and not live or starting.")

log = logger("placement")


class PlacementDuty:
    """Decides on the instances of one service while its lease is held.

    Parameters
    ----------
    target : callable
        Returns what is wanted now; None where the service is gone.
    lease : Lease
        The service's lease, kept by a task of its own.
    sender : OrderSender
        Gives the orders.
    cloud : CloudApi
        The platform.
    client : OrderClient
        Calls to backend servers.
    servers : ServerTable
        What is known of the instances.
    policy : str
        Name of a registered policy.

    Attributes
    ----------
    starts : Starts
        Starts that the list does not show yet.
    rates : KindRates
        What was measured of the kinds of instance.
    """

    def __init__(
        self,
        target: Callable[[], ServiceTarget | None],
        lease: Lease,
        sender: OrderSender,
        cloud: CloudApi,
        client: OrderClient,
        servers: ServerTable,
        policy: str = DEFAULT_POLICY,
    ) -> None:
        self.target = target
        self.lease = lease
        self.sender = sender
        self.cloud = cloud
        self.servers = servers
        self.policy = policy
        self.fencing = 0
        self.is_shown = False
        self.starts = Starts()
        self.rates = KindRates()
        self.prices_s = float("-inf")
        self.read_back = ReadBack(sender, cloud, client, servers)
        self.removal = Removal(lease, sender, cloud, client, servers)
        self.server_orders = ServerOrders(sender, client)

    async def run(self) -> None:
        """Do the duty until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run_ticks)
            # An engine takes its time to load a model; a lost instance is to be
            # replaced meanwhile.
            nursery.start_soon(self.run_server_orders)

    async def run_ticks(self) -> None:
        """Look again each second, and at once after a change or a refused start."""
        while True:
            target = self.target()
            revision = self.servers.revision
            was_refused = False
            if target is not None and self.lease.is_held():
                was_refused = await self.tick(target)
            elif target is not None and self.is_shown:
                self.hide(target.service)
            if was_refused:
                continue
            with trio.move_on_after(TICK_S):
                await self.servers.wait_changed(revision)

    async def run_server_orders(self) -> None:
        """Look each second which servers need an order."""
        while True:
            target = self.target()
            if target is not None and self.fencing and self.lease.is_held():
                servers = self.servers_of(target.service)
                await self.server_orders.look(target, servers, self.lease.fencing)
            await trio.sleep(TICK_S)

    async def tick(self, target: ServiceTarget) -> bool:
        """Decide once and carry the decisions out.

        Returns
        -------
        was_refused : bool
            Whether the cloud refused a start, so that another kind may take its place.
        """
        if self.fencing != self.lease.fencing:
            self.begin()
        if not self.sender.is_settled():
            await self.read_back.look(target)
        if not self.read_back.has_list:
            return False
        await self.read_prices()
        self.removal.mark_leaving()
        servers = self.servers_of(target.service)
        await self.removal.look(target, servers)
        self.starts.reconcile(servers)
        await self.removal.give_up(target, self.starts.failed(servers))
        self.rates.observe(servers, self.lease.leaving)
        given = self.given(target, servers)
        self.show(given)
        decisions = decide(self.policy, given)
        self.removal.note_proposed(decisions)
        refusals = self.rates.refusals_seen
        for decision in decisions:
            await self.carry_out(target, decision)
        return self.rates.refusals_seen > refusals

    def begin(self) -> None:
        """Forget what belongs to an earlier lease."""
        self.fencing = self.lease.fencing
        self.read_back.begin()

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return what is known of the service's instances."""
        known = self.servers.servers.values()
        return [server for server in known if server.service == service]

    def given(
        self, target: ServiceTarget, servers: list[BackendServer]
    ) -> PlacementInput:
        """Return what the policy gets to know."""
        instances = placed_instances(
            servers, self.starts, self.lease.leaving, self.removal.drained
        )
        return PlacementInput(
            target, instances, self.rates.facts(), trio.current_time()
        )

    async def read_prices(self) -> None:
        """Read the prices now and then."""
        if trio.current_time() - self.prices_s < PRICES_S:
            return
        prices = await self.cloud.prices()
        if not isinstance(prices, PlatformFailed):
            self.prices_s = trio.current_time()
            self.rates.take_prices(prices)

    def show(self, given: PlacementInput) -> None:
        """Set the metrics."""
        service = given.target.service
        counts = dict.fromkeys((Phase.STARTING, Phase.LIVE, Phase.LEAVING), 0)
        for instance in given.instances:
            counts[instance.phase] += 1
        for phase, count in counts.items():
            INSTANCES.set(count, service=service, phase=phase)
        wanted = sum(zone.count for zone in given.target.zones)
        staying = counts[Phase.STARTING] + counts[Phase.LIVE]
        MISSING.set(max(0, wanted - staying), service=service)
        COST.set(self.cost_per_hour(service), service=service)
        self.is_shown = True

    def hide(self, service: str) -> None:
        """Set the metrics to nothing once another process may hold the lease."""
        for phase in (Phase.STARTING, Phase.LIVE, Phase.LEAVING):
            INSTANCES.set(0, service=service, phase=phase)
        MISSING.set(0, service=service)
        COST.set(0, service=service)
        self.is_shown = False

    def cost_per_hour(self, service: str) -> float:
        """Return the price of an hour of what is running."""
        return sum(
            server.price_per_hour
            for server in self.servers_of(service)
            if server.state != ServerState.TERMINATED
        )

    async def carry_out(self, target: ServiceTarget, decision: Decision) -> None:
        """Carry one decision out."""
        if isinstance(decision, Start):
            await self.start(target, decision)
        elif isinstance(decision, Drain):
            await self.removal.drain(target, decision, self.servers_of(target.service))
        elif isinstance(decision, Release):
            await self.removal.release(target, decision)

    async def start(self, target: ServiceTarget, decision: Start) -> None:
        """Start an instance, or back off where the cloud has none."""
        kind = decision.kind
        if self.rates.facts_of(kind).refused_until_s > trio.current_time():
            return
        if self.sender.refusal(target):
            return
        self.note(target, f"start {kind}: {decision.reason}", "start")
        outcome = await self.sender.start(target, kind)
        if isinstance(outcome, OrderDone) and outcome.server is not None:
            self.rates.note_start(kind)
            self.starts.note(outcome.server.instance, kind)
            return
        if isinstance(outcome, OrderFailed):
            self.starts.note_unknown(kind)
            return
        pause_s = self.rates.note_refusal(kind)
        reason = getattr(outcome, "reason", "no instance in the answer")
        self.note(target, f"{kind} refused, again in {pause_s:.0f} s: {reason}")

    def note(self, target: ServiceTarget, text: str, decision: str = "") -> None:
        """Write the log line of a decision."""
        if decision:
            DECISIONS.add(service=target.service, decision=decision)
        log.info(text, service=target.service, fencing=self.lease.fencing)
