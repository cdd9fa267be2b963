"""The placement leases of all services, and what operators see of them."""

import random
from collections.abc import Callable, Iterable
from typing import Any

import trio

from rosemaryknot.process.leases import Lease, lease_candidates
from rosemaryknot.process.logs import logger
from rosemaryknot.process.orders import OrderSender
from rosemaryknot.process.placement.service import PlacementDuty
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.placement import CloudApi, OrderClient, ServiceTarget
from rosemaryknot.values.platform import ObjectStore

__all__ = ["PlacementKeeper"]

LOOK_S = 1.0

log = logger("placement")


class PlacementKeeper:
    """Takes part in the placement of each service that has one.

    Parameters
    ----------
    node : Node
        This node.
    nodes : callable
        Returns the other nodes that seem to live.
    targets : callable
        Returns what the configuration in force wants.
    store : ObjectStore
        The platform's object API.
    cloud : CloudApi
        The platform's cloud API.
    client : OrderClient
        Calls to backend servers.
    servers : ServerTable
        Backend servers.
    is_stopping : callable
        Tells whether this node is about to stop.
    rng : random.Random
        For jitter.
    safeguards : Safeguards, optional
        Tests may turn safeguards off.

    Attributes
    ----------
    duties : dict of str to PlacementDuty
        By service.
    """

    def __init__(
        self,
        node: Node,
        nodes: Callable[[], Iterable[Node]],
        targets: Callable[[], dict[str, ServiceTarget]],
        store: ObjectStore,
        cloud: CloudApi,
        client: OrderClient,
        servers: ServerTable,
        is_stopping: Callable[[], bool],
        rng: random.Random,
        safeguards: Safeguards | None = None,
    ) -> None:
        self.node = node
        self.nodes = nodes
        self.targets = targets
        self.store = store
        self.cloud = cloud
        self.client = client
        self.servers = servers
        self.is_stopping = is_stopping
        self.rng = rng
        self.safeguards = Safeguards() if safeguards is None else safeguards
        self.duties: dict[str, PlacementDuty] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.tasks = trio.CancelScope()
        self.ended = trio.Event()

    # Its tasks.

    async def run(self) -> None:
        """Take part for each service of the configuration, until cancelled."""
        try:
            with self.tasks:
                async with trio.open_nursery() as nursery:
                    while True:
                        self.match_services(nursery)
                        await trio.sleep(LOOK_S)
        finally:
            self.ended.set()

    def match_services(self, nursery: trio.Nursery) -> None:
        """Begin with new services, and end with those that are gone."""
        targets = self.targets()
        for service in targets:
            if service not in self.duties:
                self.duties[service] = self.new_duty(service)
                nursery.start_soon(self.run_duty, service)
        for service in set(self.duties) - set(targets):
            self.scopes[service].cancel()

    async def run_duty(self, service: str) -> None:
        """Keep one service's lease, and do its duty."""
        duty = self.duties[service]
        with trio.CancelScope() as scope:
            self.scopes[service] = scope
            async with trio.open_nursery() as nursery:
                nursery.start_soon(duty.lease.run)
                nursery.start_soon(duty.run)
        if not self.tasks.cancel_called:
            del self.duties[service], self.scopes[service]

    async def end(self) -> None:
        """Give no more orders, then give the leases back.

        In this order: the next holder takes a lease that was given back without a
        wait, so none of our orders may be sent after that.
        """
        self.tasks.cancel()
        await self.ended.wait()
        async with trio.open_nursery() as nursery:
            for duty in self.duties.values():
                nursery.start_soon(duty.lease.release)

    def new_duty(self, service: str) -> PlacementDuty:
        """Return the parts of one service's placement."""
        lease = Lease(
            self.store,
            f"placement-{service}",
            f"{self.node.name}/{self.node.incarnation}",
            lambda: self.is_candidate(service),
            self.rng,
            self.safeguards,
        )
        sender = OrderSender(lease, self.cloud, self.client, self.safeguards)
        return PlacementDuty(
            lambda: self.targets().get(service),
            lease,
            sender,
            self.cloud,
            self.client,
            self.servers,
        )

    def candidates(self, service: str) -> list[Node]:
        """Return the nodes that may hold a service's lease."""
        nodes = [*self.nodes(), self.node]
        return lease_candidates(nodes, f"placement-{service}")

    def is_candidate(self, service: str) -> bool:
        """Tell whether this node may take a service's lease."""
        return not self.is_stopping() and self.node in self.candidates(service)

    # What operators see.

    def status(self) -> list[dict[str, Any]]:
        """Return each service's holder and pending orders."""
        return [self.status_of(service) for service in sorted(self.duties)]

    def status_of(self, service: str) -> dict[str, Any]:
        """Return what this node knows of one service's placement."""
        duty = self.duties[service]
        lease = duty.lease
        now_s = trio.current_time()
        pending = [
            {"order": order.text, "age_s": round(now_s - order.since_s, 1)}
            for order in duty.sender.pending
        ]
        status = {
            "service": service,
            "holder": "" if lease.record is None else lease.record.holder,
            "fencing": lease.highest,
            "held_here": lease.is_held(),
            "candidates": [node.name for node in self.candidates(service)],
            "pending": pending,
            "leaving": list(lease.leaving),
        }
        if lease.is_held():
            cost = duty.cost_per_hour(service)
            settled = duty.sender.is_settled()
            status |= {"settled": settled, "cost_per_hour": round(cost, 4)}
        return status
