"""Orders from the lease holder to the backend servers of a service."""

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.orders import OrderSender, order_outcome_name
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.placement import (
    OrderClient,
    OrderDone,
    OrdersRead,
    ServerOrder,
    ServiceTarget,
)

__all__ = ["ServerOrders"]

VERIFY_INTERVAL_S = 10.0
RETRY_DELAY_S = 3.0

log = logger("placement")


class ServerOrders:
    """Ensures that the servers of a service have its model, and no other, loaded.

    Parameters
    ----------
    sender : OrderSender
        Sends the orders.
    client : OrderClient
        Client that reads the current state of the servers.

    Attributes
    ----------
    next_read_s : dict of str to float
        Time of the next read of each server, in trio time.
    fenced : set of str
        Servers that have received the fencing token of this lease.
    """

    def __init__(self, sender: OrderSender, client: OrderClient) -> None:
        self.sender = sender
        self.client = client
        self.fencing = 0
        self.next_read_s: dict[str, float] = {}
        self.fenced: set[str] = set()

    def reset(self, fencing: int) -> None:
        """Discard the state of all servers, for a new lease."""
        self.fencing = fencing
        self.next_read_s.clear()
        self.fenced.clear()

    async def update(
        self, target: ServiceTarget, servers: list[BackendServer], fencing: int
    ) -> None:
        """Update the servers whose next read is due, concurrently."""
        if fencing != self.fencing:
            self.reset(fencing)
        if not target.is_model or self.sender.refusal(target):
            return
        now_s = trio.current_time()
        live = [s for s in servers if s.state == ServerState.LIVE and s.address]
        names = {server.instance for server in live}
        self.next_read_s = {k: v for k, v in self.next_read_s.items() if k in names}
        self.fenced &= names
        async with trio.open_nursery() as nursery:
            for server in live:
                if self.next_read_s.get(server.instance, now_s) <= now_s:
                    nursery.start_soon(self.update_server, target, server)

    async def update_server(self, target: ServiceTarget, server: BackendServer) -> None:
        """Read the state of one server and send the orders that it lacks."""
        name = server.instance
        self.next_read_s[name] = trio.current_time() + VERIFY_INTERVAL_S
        read = await self.client.read_orders(server)
        if read is None:
            self.next_read_s[name] = trio.current_time() + RETRY_DELAY_S
            return
        self.sender.lease.record_fencing(read.fencing)
        orders = self.missing_orders(target, name, read)
        for order in orders:
            outcome = await self.sender.order(target, server, order)
            is_done = isinstance(outcome, OrderDone)
            if is_done:
                self.fenced.add(name)
            text = f"{order.order} to {name}: {order_outcome_name(outcome)}"
            model = order.arguments.get("model", "")
            log.info(text, service=target.service, instance=name, model=model)
        if orders:
            # Read the effect of an order back soon, also if the order succeeded.
            self.next_read_s[name] = trio.current_time() + RETRY_DELAY_S

    def missing_orders(
        self, target: ServiceTarget, name: str, read: OrdersRead
    ) -> list[ServerOrder]:
        """Return the orders that a server needs.

        A server that has not received the fencing token of this holder would still
        execute orders of the previous one, whose process may resume after a pause.
        So the token is sent to each server before any other order.
        """
        orders = []
        if target.checks_fencing and name not in self.fenced:
            orders.append(ServerOrder("fence"))
        if not read.models:
            return orders
        if target.service not in read.models:
            orders.append(ServerOrder("load_model", {"model": target.service}))
        if self.sender.is_settled():
            orders += [
                ServerOrder("unload_model", {"model": model})
                for model in read.models
                if model != target.service
            ]
        return orders
