"""Orders that a holder gives to the servers of a service, and reads back."""

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

REPAIR_S = 10.0
RETRY_S = 3.0

log = logger("placement")


class ServerOrders:
    """Keeps the service's model, and no other, loaded at its servers.

    Parameters
    ----------
    sender : OrderSender
        Gives the orders.
    client : OrderClient
        Reads back what is in force.

    Attributes
    ----------
    due_s : dict of str to float
        When each server is read back next, in trio time.
    """

    def __init__(self, sender: OrderSender, client: OrderClient) -> None:
        self.sender = sender
        self.client = client
        self.fencing = 0
        self.due_s: dict[str, float] = {}
        self.introduced: set[str] = set()

    def begin(self, fencing: int) -> None:
        """Start over with every server, for a new lease."""
        self.fencing = fencing
        self.due_s.clear()
        self.introduced.clear()

    async def look(
        self, target: ServiceTarget, servers: list[BackendServer], fencing: int
    ) -> None:
        """Look at the servers that are due, all at the same time."""
        if fencing != self.fencing:
            self.begin(fencing)
        if not target.is_model or self.sender.refusal(target):
            return
        now_s = trio.current_time()
        live = [s for s in servers if s.state == ServerState.LIVE and s.address]
        names = {server.instance for server in live}
        self.due_s = {k: v for k, v in self.due_s.items() if k in names}
        self.introduced &= names
        async with trio.open_nursery() as nursery:
            for server in live:
                if self.due_s.get(server.instance, now_s) <= now_s:
                    nursery.start_soon(self.look_at, target, server)

    async def look_at(self, target: ServiceTarget, server: BackendServer) -> None:
        """Read one server back and give it what it lacks."""
        name = server.instance
        self.due_s[name] = trio.current_time() + REPAIR_S
        read = await self.client.read_orders(server)
        if read is None:
            self.due_s[name] = trio.current_time() + RETRY_S
            return
        self.sender.lease.note_fencing(read.fencing)
        orders = self.missing_orders(target, name, read)
        for order in orders:
            outcome = await self.sender.order(target, server, order)
            is_done = isinstance(outcome, OrderDone)
            if is_done:
                self.introduced.add(name)
            text = f"{order.order} to {name}: {order_outcome_name(outcome)}"
            model = order.arguments.get("model", "")
            log.info(text, service=target.service, instance=name, model=model)
        if orders:
            # What an order did is read back at once, and not only when it failed.
            self.due_s[name] = trio.current_time() + RETRY_S

    def missing_orders(
        self, target: ServiceTarget, name: str, read: OrdersRead
    ) -> list[ServerOrder]:
        """Return the orders that a server needs.

        A server that has not seen this holder's number would still obey the last
        one, who may wake from a pause. So each is shown the number before anything
        else is expected of it.
        """
        orders = []
        if target.checks_fencing and name not in self.introduced:
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
