"""Placement of all services: leases, duties and the status shown to operators.

A duty is a task that only the holder of a lease performs.
"""

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

__all__ = ["PlacementManager"]

CHECK_INTERVAL_S = 1.0

log = logger("placement")


class PlacementManager:
    """Runs a placement duty for each service that has a placement.

    Parameters
    ----------
    node : Node
        This node.
    nodes : callable
        Returns the other nodes that are considered live.
    targets : callable
        Returns the placement targets of the current configuration by service.
    store : ObjectStore
        Object API of the platform.
    cloud : CloudApi
        Cloud API of the platform.
    client : OrderClient
        Client for calls to backend servers.
    servers : ServerTable
        Table of the known instances.
    is_stopping : callable
        Returns whether this node is shutting down.
    rng : random.Random
        Source of jitter.
    safeguards : Safeguards, optional
        Safeguards that tests can disable.

    Attributes
    ----------
    duties : dict of str to PlacementDuty
        Placement duties by service.
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

    # Tasks.

    async def run(self) -> None:
        """Run a duty for each service of the configuration until cancelled."""
        try:
            with self.tasks:
                async with trio.open_nursery() as nursery:
                    while True:
                        self.sync_services(nursery)
                        await trio.sleep(CHECK_INTERVAL_S)
        finally:
            self.ended.set()

    def sync_services(self, nursery: trio.Nursery) -> None:
        """Start duties of new services and cancel those of removed ones."""
        targets = self.targets()
        for service in targets:
            if service not in self.duties:
                self.duties[service] = self.create_duty(service)
                nursery.start_soon(self.run_duty, service)
        for service in set(self.duties) - set(targets):
            self.scopes[service].cancel()

    async def run_duty(self, service: str) -> None:
        """Hold or await the lease of a service and perform its duty."""
        duty = self.duties[service]
        with trio.CancelScope() as scope:
            self.scopes[service] = scope
            async with trio.open_nursery() as nursery:
                nursery.start_soon(duty.lease.run)
                nursery.start_soon(duty.run)
        if not self.tasks.cancel_called:
            del self.duties[service], self.scopes[service]

    async def end(self) -> None:
        """Stop sending orders, then release the leases.

        The order matters: the next holder acquires a released lease without waiting,
        so this node must not send an order after the release.
        """
        self.tasks.cancel()
        await self.ended.wait()
        async with trio.open_nursery() as nursery:
            for duty in self.duties.values():
                nursery.start_soon(duty.lease.release)

    def create_duty(self, service: str) -> PlacementDuty:
        """Create the placement duty of a service with its lease and sender."""
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
        """Return the nodes that may hold the lease of a service."""
        nodes = [*self.nodes(), self.node]
        return lease_candidates(nodes, f"placement-{service}")

    def is_candidate(self, service: str) -> bool:
        """Return whether this node may acquire the lease of a service."""
        return not self.is_stopping() and self.node in self.candidates(service)

    # Status for operators.

    def status(self) -> list[dict[str, Any]]:
        """Return the lease holder and the pending orders of each service."""
        return [self.status_of(service) for service in sorted(self.duties)]

    def status_of(self, service: str) -> dict[str, Any]:
        """Return the placement status of a service as known to this node."""
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
            "fencing": lease.highest_fencing,
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
