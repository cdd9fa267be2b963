"""Read-back of the current state by a new lease holder, until it is stable."""

from collections.abc import Iterable

import trio

from rosemaryknot.process.orders import OrderSender
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.placement import CloudApi, OrderClient, ServiceTarget
from rosemaryknot.values.platform import PlatformFailed

__all__ = ["ReadBack"]

STABLE_PERIOD_S = 6.0


class ReadBack:
    """Reads instances and orders back under a new lease until they are stable.

    Parameters
    ----------
    sender : OrderSender
        Sender that is marked as settled once the state is stable.
    cloud : CloudApi
        Source of the instance list.
    client : OrderClient
        Client that reads the orders in effect at the servers.
    servers : ServerTable
        Table to which the instance lists are applied.

    Attributes
    ----------
    has_list : bool
        Whether an instance list was read under this lease.
    """

    def __init__(
        self,
        sender: OrderSender,
        cloud: CloudApi,
        client: OrderClient,
        servers: ServerTable,
    ) -> None:
        self.sender = sender
        self.cloud = cloud
        self.client = client
        self.servers = servers
        self.reset()

    def reset(self) -> None:
        """Discard the state, for a new lease."""
        self.has_list = False
        self.snapshot: object = None
        self.unchanged_since_s = float("-inf")

    async def update(self, target: ServiceTarget) -> None:
        """Read the state once, and settle the sender if it is stable.

        The state is stable once it has not changed for ``STABLE_PERIOD_S``.
        """
        listed = await self.cloud.instances()
        if isinstance(listed, PlatformFailed):
            return
        self.has_list = True
        self.servers.apply_list(listed)
        live = [
            server
            for server in listed
            if server.service == target.service and server.state == ServerState.LIVE
        ]
        snapshot = (
            instance_states(listed, target.service),
            await self.orders(target, live),
        )
        now_s = trio.current_time()
        if snapshot != self.snapshot:
            self.snapshot, self.unchanged_since_s = snapshot, now_s
        elif now_s - self.unchanged_since_s >= STABLE_PERIOD_S:
            self.sender.settle()

    async def orders(
        self, target: ServiceTarget, live: list[BackendServer]
    ) -> list[tuple]:
        """Read the loaded models from the servers that accept orders."""
        found: dict[str, tuple[str, ...] | None] = {}

        async def read(server: BackendServer) -> None:
            orders = await self.client.read_orders(server)
            found[server.instance] = None if orders is None else orders.models

        async with trio.open_nursery() as nursery:
            for server in live if target.is_model else ():
                nursery.start_soon(read, server)
        return sorted(found.items())


def instance_states(
    listed: Iterable[BackendServer], service: str
) -> list[tuple[str, str]]:
    """Return the instances of a service with their states, sorted."""
    return sorted((s.instance, str(s.state)) for s in listed if s.service == service)
