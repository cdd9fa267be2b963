"""Placement of one service.

Placement is a duty: a task that only the holder of a lease performs. Each service has
its own lease.
"""

from collections.abc import Callable

import trio

from rosemaryknot.process.leases import Lease
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.process.orders import OrderSender
from rosemaryknot.process.placement.inventory import UnlistedStarts, placed_instances
from rosemaryknot.process.placement.policies import DEFAULT_POLICY, decide
from rosemaryknot.process.placement.rates import KindRates
from rosemaryknot.process.placement.read_back import ReadBack
from rosemaryknot.process.placement.removal import Removal
from rosemaryknot.process.placement.server_orders import ServerOrders
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
PRICES_MAX_AGE_S = 30.0

DECISIONS = counter("placement_decisions_total", "Placement decisions by kind.")
COST = gauge("placement_cost_per_hour", "Price of the live and leaving instances.")
INSTANCES = gauge("placement_instances", "Instances by service and phase.")
MISSING = gauge("placement_missing", "Instances wanted and not live or starting.")

log = logger("placement")


class PlacementDuty:
    """Starts and removes the instances of one service while its lease is held.

    Parameters
    ----------
    target : callable
        Returns the current target, or None if the service has been removed.
    lease : Lease
        Placement lease of the service, renewed by a separate task.
    sender : OrderSender
        Sends the orders.
    cloud : CloudApi
        Cloud API of the platform.
    client : OrderClient
        Client for calls to backend servers.
    servers : ServerTable
        Table of the known instances.
    policy : str
        Name of a registered policy.

    Attributes
    ----------
    starts : UnlistedStarts
        Starts that do not appear in the instance list yet.
    rates : KindRates
        Measured prices, reclaims and refusals by kind of instance.
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
        self.has_metrics = False
        self.starts = UnlistedStarts()
        self.rates = KindRates()
        self.prices_read_s = float("-inf")
        self.read_back = ReadBack(sender, cloud, client, servers)
        self.removal = Removal(lease, sender, cloud, client, servers)
        self.server_orders = ServerOrders(sender, client)

    async def run(self) -> None:
        """Perform the duty until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run_ticks)
            # A separate task, because loading a model takes long and lost instances
            # must be replaced meanwhile.
            nursery.start_soon(self.run_server_orders)

    async def run_ticks(self) -> None:
        """Evaluate each second, and immediately after a change or a refused start."""
        while True:
            target = self.target()
            revision = self.servers.revision
            was_refused = False
            if target is not None and self.lease.is_held():
                was_refused = await self.tick(target)
            elif target is not None and self.has_metrics:
                self.clear_metrics(target.service)
            if was_refused:
                continue
            with trio.move_on_after(TICK_S):
                await self.servers.wait_changed(revision)

    async def run_server_orders(self) -> None:
        """Send pending orders to the servers each second."""
        while True:
            target = self.target()
            if target is not None and self.fencing and self.lease.is_held():
                servers = self.servers_of(target.service)
                await self.server_orders.update(target, servers, self.lease.fencing)
            await trio.sleep(TICK_S)

    async def tick(self, target: ServiceTarget) -> bool:
        """Evaluate the policy once and execute its decisions.

        Returns
        -------
        was_refused : bool
            Whether the cloud refused a start, so another kind can be tried.
        """
        if self.fencing != self.lease.fencing:
            self.reset()
        if not self.sender.is_settled():
            await self.read_back.update(target)
        if not self.read_back.has_list:
            return False
        await self.read_prices()
        self.removal.mark_leaving()
        servers = self.servers_of(target.service)
        await self.removal.update(target, servers)
        self.starts.reconcile(servers)
        await self.removal.abandon_starts(
            target, self.starts.timed_out_instances(servers)
        )
        self.rates.observe(servers, self.lease.leaving)
        inputs = self.placement_input(target, servers)
        self.set_metrics(inputs)
        decisions = decide(self.policy, inputs)
        self.removal.record_proposed(decisions)
        refusals = self.rates.refusals_seen
        for decision in decisions:
            await self.execute(target, decision)
        return self.rates.refusals_seen > refusals

    def reset(self) -> None:
        """Discard the state of an earlier lease."""
        self.fencing = self.lease.fencing
        self.read_back.reset()

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the known backend servers of the service."""
        known = self.servers.servers.values()
        return [server for server in known if server.service == service]

    def placement_input(
        self, target: ServiceTarget, servers: list[BackendServer]
    ) -> PlacementInput:
        """Return the input of the policy."""
        instances = placed_instances(
            servers, self.starts, self.lease.leaving, self.removal.drained
        )
        return PlacementInput(
            target, instances, self.rates.facts(), trio.current_time()
        )

    async def read_prices(self) -> None:
        """Read the prices if they are older than ``PRICES_MAX_AGE_S``."""
        if trio.current_time() - self.prices_read_s < PRICES_MAX_AGE_S:
            return
        prices = await self.cloud.prices()
        if not isinstance(prices, PlatformFailed):
            self.prices_read_s = trio.current_time()
            self.rates.apply_prices(prices)

    def set_metrics(self, inputs: PlacementInput) -> None:
        """Set the metrics of the service."""
        service = inputs.target.service
        counts = dict.fromkeys((Phase.STARTING, Phase.LIVE, Phase.LEAVING), 0)
        for instance in inputs.instances:
            counts[instance.phase] += 1
        for phase, count in counts.items():
            INSTANCES.set(count, service=service, phase=phase)
        configured = sum(zone.count for zone in inputs.target.zones)
        staying = counts[Phase.STARTING] + counts[Phase.LIVE]
        MISSING.set(max(0, configured - staying), service=service)
        COST.set(self.cost_per_hour(service), service=service)
        self.has_metrics = True

    def clear_metrics(self, service: str) -> None:
        """Set the metrics to zero, since another process may hold the lease now."""
        for phase in (Phase.STARTING, Phase.LIVE, Phase.LEAVING):
            INSTANCES.set(0, service=service, phase=phase)
        MISSING.set(0, service=service)
        COST.set(0, service=service)
        self.has_metrics = False

    def cost_per_hour(self, service: str) -> float:
        """Return the total price per hour of the instances that are not terminated."""
        return sum(
            server.price_per_hour
            for server in self.servers_of(service)
            if server.state != ServerState.TERMINATED
        )

    async def execute(self, target: ServiceTarget, decision: Decision) -> None:
        """Execute one decision."""
        if isinstance(decision, Start):
            await self.start(target, decision)
        elif isinstance(decision, Drain):
            await self.removal.drain(target, decision, self.servers_of(target.service))
        elif isinstance(decision, Release):
            await self.removal.release(target, decision)

    async def start(self, target: ServiceTarget, decision: Start) -> None:
        """Start an instance, or back off if the cloud has no capacity."""
        kind = decision.kind
        if self.rates.facts_of(kind).refused_until_s > trio.current_time():
            return
        if self.sender.refusal(target):
            return
        self.record(target, f"start {kind}: {decision.reason}", "start")
        outcome = await self.sender.start(target, kind)
        if isinstance(outcome, OrderDone) and outcome.server is not None:
            self.rates.record_start(kind)
            self.starts.record(outcome.server.instance, kind)
            return
        if isinstance(outcome, OrderFailed):
            self.starts.record_unconfirmed(kind)
            return
        backoff_s = self.rates.record_refusal(kind)
        reason = getattr(outcome, "reason", "no instance in the response")
        self.record(target, f"{kind} refused, retry in {backoff_s:.0f} s: {reason}")

    def record(self, target: ServiceTarget, text: str, decision: str = "") -> None:
        """Log a decision, and count it if its kind is given."""
        if decision:
            DECISIONS.add(service=target.service, decision=decision)
        log.info(text, service=target.service, fencing=self.lease.fencing)
