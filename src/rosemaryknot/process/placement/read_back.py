"""A new holder's look at what there is, until it is the same for some time."""

from collections.abc import Iterable

import trio

from rosemaryknot.process.orders import OrderSender
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.placement import CloudApi, OrderClient, ServiceTarget
from rosemaryknot.values.platform import PlatformFailed

__all__ = ["ReadBack"]

STABLE_S = 6.0


class ReadBack:
    """Reads instances and orders back under a new lease until they are stable.

    Parameters
    ----------
    sender : OrderSender
        Told when what was read is stable.
    cloud : CloudApi
        Gives the instance list.
    client : OrderClient
        Asks the servers.
    servers : ServerTable
        Takes the lists over.

    Attributes
    ----------
    has_list : bool
        Whether a list was read under this lease.
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
        self.begin()

    def begin(self) -> None:
        """Start over, for a new lease."""
        self.has_list = False
        self.snapshot: object = None
        self.since_s = float("-inf")

    async def look(self, target: ServiceTarget) -> None:
        """Read once, and settle the sender when nothing has changed for long enough."""
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
        snapshot = (names(listed, target.service), await self.orders(target, live))
        now_s = trio.current_time()
        if snapshot != self.snapshot:
            self.snapshot, self.since_s = snapshot, now_s
        elif now_s - self.since_s >= STABLE_S:
            self.sender.settle()

    async def orders(
        self, target: ServiceTarget, live: list[BackendServer]
    ) -> list[tuple]:
        """Read back what is in force at the servers that take orders."""
        found: dict[str, tuple[str, ...] | None] = {}

        async def read(server: BackendServer) -> None:
            orders = await self.client.read_orders(server)
            found[server.instance] = None if orders is None else orders.models

        async with trio.open_nursery() as nursery:
            for server in live if target.is_model else ():
                nursery.start_soon(read, server)
        return sorted(found.items())


def names(listed: Iterable[BackendServer], service: str) -> list[tuple[str, str]]:
    """Return the instances of a service with their states."""
    return sorted((s.instance, str(s.state)) for s in listed if s.service == service)
