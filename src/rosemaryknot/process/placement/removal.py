"""Removal of instances: drain first, then release."""

from collections.abc import Iterable

import trio

from rosemaryknot.process.leases import Lease
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.orders import OrderSender
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.placement import (
    CloudApi,
    Decision,
    Drain,
    OrderClient,
    OrderDone,
    Release,
    ServerOrder,
    ServiceTarget,
)
from rosemaryknot.values.platform import Missing, PlatformFailed

__all__ = ["Removal"]

SOURCE = "placement"
MIN_SURPLUS_S = 15.0
MIN_DRAIN_S = 5.0
IDLE_CONFIRM_S = 2.0

DECISIONS = counter("placement_decisions_total", "Placement decisions by kind.")

log = logger("placement")


class Removal:
    """Drains surplus instances and releases them once they are idle.

    Parameters
    ----------
    lease : Lease
        Placement lease of the service; its object stores the release decisions.
    sender : OrderSender
        Sends the orders.
    cloud : CloudApi
        Source of the authoritative state of an instance.
    client : OrderClient
        Client that queries servers for their number of requests.
    servers : ServerTable
        Table whose marks tell other nodes that an instance is draining.

    Attributes
    ----------
    drained : set of str
        Instances being removed that have no requests left.
    """

    def __init__(
        self,
        lease: Lease,
        sender: OrderSender,
        cloud: CloudApi,
        client: OrderClient,
        servers: ServerTable,
    ) -> None:
        self.lease = lease
        self.sender = sender
        self.cloud = cloud
        self.client = client
        self.servers = servers
        self.drained: set[str] = set()
        self.proposed_since_s: dict[str, float] = {}
        self.leaving_since_s: dict[str, float] = {}
        self.idle_since_s: dict[str, float] = {}

    # Draining.

    def record_proposed(self, decisions: Iterable[Decision]) -> None:
        """Record since when each instance has been surplus without interruption."""
        now_s = trio.current_time()
        names = {d.instance for d in decisions if isinstance(d, Drain)}
        self.proposed_since_s = {
            n: self.proposed_since_s.get(n, now_s) for n in sorted(names)
        }

    async def drain(
        self, target: ServiceTarget, decision: Drain, servers: list[BackendServer]
    ) -> None:
        """Start the removal of an instance that has been surplus for long enough.

        The decision is stored in the lease object and is final. Without the delay, a
        count that oscillates, or a start that is listed late, would cost a drain and
        a start each time.
        """
        name = decision.instance
        surplus_s = trio.current_time() - self.proposed_since_s.get(
            name, trio.current_time()
        )
        if surplus_s < MIN_SURPLUS_S or not await self.may_drain(target, name, servers):
            return
        if not await self.lease.record_draining([name]):
            return
        DECISIONS.add(service=target.service, decision="drain")
        self.record(target, f"drain {name}: {decision.reason}", name)
        self.mark_leaving()
        server = self.servers.get(name)
        if target.is_model and server is not None:
            await self.sender.order(target, server, ServerOrder("drain"))

    async def abandon_starts(self, target: ServiceTarget, names: Iterable[str]) -> None:
        """Decide to release instances that did not become ready.

        The decision is stored in the lease object and is final.
        """
        failed = [name for name in names if name not in self.lease.leaving]
        if not failed or not self.sender.is_settled():
            return
        if await self.lease.record_draining(failed):
            for name in failed:
                self.record(target, f"abandon {name}: got no address in time", name)

    async def may_drain(
        self, target: ServiceTarget, name: str, servers: list[BackendServer]
    ) -> bool:
        """Return whether the platform confirms that the remaining instances are live.

        The instance list lags: it may still show two terminated servers beside the
        only one that serves, which would then count as surplus.
        """
        if not self.sender.safeguards.additive_first:
            return not self.sender.refusal(target)
        if self.sender.refusal(target) or not self.sender.is_settled():
            return False
        for server in servers:
            if server.instance != name and server.state == ServerState.LIVE:
                if not await self.is_live(server.instance):
                    return False
        return True

    async def is_live(self, name: str) -> bool:
        """Return whether the platform reports an instance as live.

        A terminated or draining instance is also marked in the server table.
        """
        found = await self.cloud.instance(name)
        if isinstance(found, PlatformFailed):
            return False
        if isinstance(found, Missing) or found.state == ServerState.TERMINATED:
            self.servers.mark_terminated(name, "platform")
            return False
        if found.state == ServerState.LEAVING:
            self.servers.mark_leaving(name, found.deadline_unix_s, "notice")
            return False
        return True

    def mark_leaving(self) -> None:
        """Mark the instances to be released, so that they get no new requests."""
        for name in self.lease.leaving:
            if self.servers.marks.get(name) is None:
                self.servers.mark_leaving(name, 0.0, SOURCE)

    # Releasing.

    async def update(self, target: ServiceTarget, servers: list[BackendServer]) -> None:
        """Update the set of instances that are drained, and forget terminated ones."""
        now_s = trio.current_time()
        names = self.lease.leaving
        known = {server.instance: server for server in servers}
        self.leaving_since_s = {
            name: self.leaving_since_s.get(name, now_s) for name in names
        }
        self.drained &= set(names)
        for name in names:
            server = known.get(name)
            if server is None or server.state == ServerState.TERMINATED:
                await self.forget_terminated(name)
            elif await self.is_idle(target, server):
                self.drained.add(name)

    async def forget_terminated(self, name: str) -> None:
        """Forget an instance if the platform confirms its termination."""
        found = await self.cloud.instance(name)
        if isinstance(found, Missing):
            self.lease.forget_draining(name)
        elif isinstance(found, BackendServer) and (
            found.state == ServerState.TERMINATED
        ):
            self.lease.forget_draining(name)

    async def is_idle(self, target: ServiceTarget, server: BackendServer) -> bool:
        """Return whether a draining server has no requests left.

        A model engine reports its number of requests. It must report none for
        ``IDLE_CONFIRM_S``, because its report lags. Other servers report nothing, so
        they are given the timeout of one request.
        """
        name = server.instance
        draining_s = trio.current_time() - self.leaving_since_s[name]
        if draining_s < MIN_DRAIN_S or not server.address:
            return draining_s >= MIN_DRAIN_S
        if draining_s >= MIN_DRAIN_S + target.timeout_s:
            return True
        requests = await self.client.requests(server) if target.is_model else None
        if requests != 0:
            self.idle_since_s.pop(name, None)
            return False
        idle_from_s = self.idle_since_s.setdefault(name, trio.current_time())
        return trio.current_time() - idle_from_s >= IDLE_CONFIRM_S

    async def release(self, target: ServiceTarget, decision: Release) -> None:
        """Release a drained instance to the cloud."""
        name = decision.instance
        if name not in self.lease.leaving:
            return
        if self.sender.removal_refusal(target, name):
            return
        DECISIONS.add(service=target.service, decision="release")
        self.record(target, f"release {name}: {decision.reason}", name)
        outcome = await self.sender.release(target, name)
        if isinstance(outcome, OrderDone):
            self.servers.mark_terminated(name, "platform")
            self.lease.forget_draining(name)
            self.idle_since_s.pop(name, None)

    def record(self, target: ServiceTarget, text: str, name: str) -> None:
        """Log a decision."""
        fencing = self.lease.fencing
        log.info(text, service=target.service, instance=name, fencing=fencing)
