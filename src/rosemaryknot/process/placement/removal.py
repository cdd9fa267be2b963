"""Drain before release: how an instance is taken away without harm."""

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
HOLD_S = 15.0
SETTLE_S = 5.0
IDLE_S = 2.0

DECISIONS = counter("placement_decisions_total", "Placement decisions by kind.")

log = logger("placement")


class Removal:
    """Drains instances that are too many, and releases them once they are idle.

    Parameters
    ----------
    lease : Lease
        Holds the decisions to release.
    sender : OrderSender
        Gives the orders.
    cloud : CloudApi
        Knows the true state of an instance.
    client : OrderClient
        Asks servers how many requests they have.
    servers : ServerTable
        Spreads the mark that an instance is leaving.

    Attributes
    ----------
    drained : set of str
        Leaving instances whose work has ended.
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
        self.proposed_s: dict[str, float] = {}
        self.leaving_s: dict[str, float] = {}
        self.idle_s: dict[str, float] = {}

    # Draining.

    def note_proposed(self, decisions: Iterable[Decision]) -> None:
        """Remember since when each instance has been too much without a break."""
        now_s = trio.current_time()
        names = {d.instance for d in decisions if isinstance(d, Drain)}
        self.proposed_s = {n: self.proposed_s.get(n, now_s) for n in sorted(names)}

    async def drain(
        self, target: ServiceTarget, decision: Drain, servers: list[BackendServer]
    ) -> None:
        """Decide for good that an instance goes, once it was too much for long enough.

        A count that goes up and down, or a start that shows up late, would else
        cost a drain and a start each time.
        """
        name = decision.instance
        held_s = trio.current_time() - self.proposed_s.get(name, trio.current_time())
        if held_s < HOLD_S or not await self.may_drain(target, name, servers):
            return
        if not await self.lease.note_leaving([name]):
            return
        DECISIONS.add(service=target.service, decision="drain")
        self.note(target, f"drain {name}: {decision.reason}", name)
        self.mark_leaving()
        server = self.servers.get(name)
        if target.is_model and server is not None:
            await self.sender.order(target, server, ServerOrder("drain"))

    async def give_up(self, target: ServiceTarget, names: Iterable[str]) -> None:
        """Decide for good that instances which never came up go."""
        failed = [name for name in names if name not in self.lease.leaving]
        if not failed or not self.sender.is_settled():
            return
        if await self.lease.note_leaving(failed):
            for name in failed:
                self.note(target, f"give up {name}: it did not come up", name)

    async def may_drain(
        self, target: ServiceTarget, name: str, servers: list[BackendServer]
    ) -> bool:
        """Tell whether the instances that would stay are really there.

        The list lags: it may still show two servers that are gone, beside the one
        that serves, which would then be one too many.
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
        """Ask the platform for the true state of an instance."""
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
        """Mark what a holder has decided to release, so that it gets no new work."""
        for name in self.lease.leaving:
            if self.servers.marks.get(name) is None:
                self.servers.mark_leaving(name, 0.0, SOURCE)

    # Releasing.

    async def look(self, target: ServiceTarget, servers: list[BackendServer]) -> None:
        """Find out which leaving instances have ended their work."""
        now_s = trio.current_time()
        names = self.lease.leaving
        known = {server.instance: server for server in servers}
        self.leaving_s = {name: self.leaving_s.get(name, now_s) for name in names}
        self.drained &= set(names)
        for name in names:
            server = known.get(name)
            if server is None or server.state == ServerState.TERMINATED:
                await self.look_at_gone(name)
            elif await self.is_idle(target, server):
                self.drained.add(name)

    async def look_at_gone(self, name: str) -> None:
        """Forget an instance once the platform says that it has ended."""
        found = await self.cloud.instance(name)
        if isinstance(found, Missing):
            self.lease.forget_leaving(name)
        elif isinstance(found, BackendServer) and (
            found.state == ServerState.TERMINATED
        ):
            self.lease.forget_leaving(name)

    async def is_idle(self, target: ServiceTarget, server: BackendServer) -> bool:
        """Tell whether a leaving server has no work left.

        A model engine says so; it is asked twice, since its report lags. Of another
        server nothing is known, so it gets the time that one request may take.
        """
        name = server.instance
        left_s = trio.current_time() - self.leaving_s[name]
        if left_s < SETTLE_S or not server.address:
            return left_s >= SETTLE_S
        if left_s >= SETTLE_S + target.timeout_s:
            return True
        requests = await self.client.requests(server) if target.is_model else None
        if requests != 0:
            self.idle_s.pop(name, None)
            return False
        since_s = self.idle_s.setdefault(name, trio.current_time())
        return trio.current_time() - since_s >= IDLE_S

    async def release(self, target: ServiceTarget, decision: Release) -> None:
        """Give a drained instance back."""
        name = decision.instance
        if name not in self.lease.leaving:
            return
        if self.sender.removal_refusal(target, name):
            return
        DECISIONS.add(service=target.service, decision="release")
        self.note(target, f"release {name}: {decision.reason}", name)
        outcome = await self.sender.release(target, name)
        if isinstance(outcome, OrderDone):
            self.servers.mark_terminated(name, "platform")
            self.lease.forget_leaving(name)
            self.idle_s.pop(name, None)

    def note(self, target: ServiceTarget, text: str, name: str) -> None:
        """Write the log line of a decision."""
        fencing = self.lease.fencing
        log.info(text, service=target.service, instance=name, fencing=fencing)
