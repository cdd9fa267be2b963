"""Orders to the cloud API and to backend servers, given under a lease only.

A holder may be paused between its look at the lease and its send, for as long as the
machine pleases. So the look proves nothing by itself; what makes a late order
harmless is told at `OrderSender`.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from rosemaryknot.process.leases import Lease
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.placement import (
    CloudApi,
    InstanceKind,
    OrderClient,
    OrderDone,
    OrderFailed,
    OrderRefused,
    ServerOrder,
    ServiceTarget,
)
from rosemaryknot.values.platform import Missing, PlatformFailed, StartRefused

__all__ = ["OrderSender", "PendingOrder", "order_outcome_name"]

PAUSE_ALLOWANCE_S = 5.0
ORDER_ROOM_S = 2.5
NOT_HOLDER = "the lease is not held"
WAITING = "the last holder may still be at work"
UNSETTLED = "what was read back is not stable yet"
UNWRITTEN = "the store does not hold the decision"
NEEDS_FENCING = "the servers do not check fencing numbers"
SERVES = "it would take the service's own model away"

ORDERS = counter("placement_orders_total", "Orders by kind and outcome.")

Outcome = OrderDone | OrderRefused | OrderFailed


@dataclass(slots=True)
class PendingOrder:
    """An order without an outcome yet.

    Attributes
    ----------
    text : str
        What was ordered.
    since_s : float
        When it was sent, in trio time.
    """

    text: str
    since_s: float


class OrderSender:
    """Gives the orders of one service's placement holder.

    What keeps an order harmless that a paused holder sends late:

    - A server that checks fencing numbers refuses it, once it has seen the number of
      the next holder, who shows it to every server at the start (``fence``).
    - The cloud API and other servers check nothing. There, an order that takes
      something away is given only for an instance whose release stands in the lease
      object, written under the condition that the lease has not changed hands. Such
      a record is never taken back, so the order is right at any later time.
    - A late order that adds something is found by the next holder, which compares
      what there is with what is wanted, and takes the surplus away.
    - A server never gets an order to unload the model of its own service, so a late
      ``unload_model`` takes away nothing that serves. ``set_role`` goes only to
      servers that check.

    Parameters
    ----------
    lease : Lease
        The service's placement lease.
    cloud : CloudApi
        The platform.
    client : OrderClient
        Calls to backend servers.
    safeguards : Safeguards, optional
        Tests may turn ``additive_first`` off.

    Attributes
    ----------
    settled_fencing : int
        Fencing number under which what was read back was stable.
    pending : list of PendingOrder
        Orders under way.
    """

    def __init__(
        self,
        lease: Lease,
        cloud: CloudApi,
        client: OrderClient,
        safeguards: Safeguards | None = None,
    ) -> None:
        self.lease = lease
        self.cloud = cloud
        self.client = client
        self.safeguards = Safeguards() if safeguards is None else safeguards
        self.settled_fencing = 0
        self.pending: list[PendingOrder] = []

    def is_settled(self) -> bool:
        """Tell whether what was read back under this lease was stable."""
        return self.settled_fencing == self.lease.fencing

    def settle(self) -> None:
        """Note that what was read back under this lease was stable."""
        self.settled_fencing = self.lease.fencing

    def refusal(self, target: ServiceTarget) -> str:
        """Return why no order may be given now; empty where one may."""
        # An order is sent only where its call ends within the lease, unless the
        # process is paused.
        if self.lease.left_s() < ORDER_ROOM_S:
            return NOT_HOLDER
        must_wait = not target.checks_fencing and not self.lease.is_clean
        held_s = trio.current_time() - self.lease.acquired_s
        if must_wait and held_s < PAUSE_ALLOWANCE_S:
            return WAITING
        return ""

    def removal_refusal(self, target: ServiceTarget, instance: str) -> str:
        """Return why an instance may not be taken away now; empty where it may.

        A new holder's first list may lag behind what its predecessor did: it would
        take the last server that serves for one too many, and callers would find
        none.
        """
        refusal = self.refusal(target)
        if refusal or not self.safeguards.additive_first:
            return refusal
        if not self.is_settled():
            return UNSETTLED
        return "" if instance in self.lease.leaving else UNWRITTEN

    async def start(self, target: ServiceTarget, kind: InstanceKind) -> Outcome:
        """Ask the cloud for an instance."""
        refusal = self.refusal(target)
        if refusal:
            return OrderRefused(refusal)
        with self.under_way(f"start {kind}"):
            answer = await self.cloud.start_instance(
                target.service, kind.zone, kind.machine_class, kind.reclaimable
            )
        if isinstance(answer, StartRefused):
            outcome: Outcome = OrderRefused(answer.reason)
        else:
            outcome = cloud_outcome(answer)
        return self.counted("start", outcome)

    async def release(self, target: ServiceTarget, instance: str) -> Outcome:
        """Give an instance back to the cloud, where the store holds the decision."""
        refusal = self.removal_refusal(target, instance)
        if refusal:
            return OrderRefused(refusal)
        with self.under_way(f"release {instance}"):
            answer = await self.cloud.release_instance(instance)
        if isinstance(answer, Missing):
            answer = None
        return self.counted("release", cloud_outcome(answer))

    async def order(
        self, target: ServiceTarget, server: BackendServer, order: ServerOrder
    ) -> Outcome:
        """Give an order to a backend server, with the lease's fencing number."""
        refusal = self.server_refusal(target, server, order)
        if refusal:
            return OrderRefused(refusal)
        with self.under_way(f"{order.order} to {server.instance}"):
            outcome = await self.client.order(server, order, self.lease.fencing)
        if isinstance(outcome, OrderRefused) and outcome.fencing:
            self.lease.note_fencing(outcome.fencing)
        return self.counted(order.order, outcome)

    def server_refusal(
        self, target: ServiceTarget, server: BackendServer, order: ServerOrder
    ) -> str:
        """Return why a server may not get an order now; empty where it may."""
        if order.order == "unload_model":
            if order.arguments.get("model") == target.service:
                return SERVES
            return self.refusal(target) or ("" if self.is_settled() else UNSETTLED)
        if order.order == "set_role" and not target.checks_fencing:
            return NEEDS_FENCING
        if order.order == "drain":
            return self.removal_refusal(target, server.instance)
        return self.refusal(target)

    @contextmanager
    def under_way(self, text: str) -> Iterator[None]:
        """Show an order in the status while it has no outcome."""
        order = PendingOrder(text, trio.current_time())
        self.pending.append(order)
        try:
            yield
        finally:
            self.pending.remove(order)

    def counted(self, order: str, outcome: Outcome) -> Outcome:
        """Count an outcome and return it."""
        ORDERS.add(order=order, outcome=order_outcome_name(outcome))
        return outcome


def order_outcome_name(outcome: Outcome) -> str:
    """Return the word for an outcome in logs and metrics.

    Examples
    --------
    >>> order_outcome_name(OrderDone())
    'done'
    """
    return type(outcome).__name__.removeprefix("Order").lower()


def cloud_outcome(answer: BackendServer | PlatformFailed | None) -> Outcome:
    """Return the outcome of a call of the cloud API."""
    if not isinstance(answer, PlatformFailed):
        return OrderDone(answer)
    if answer.maybe_done:
        return OrderFailed(answer.reason)
    return OrderRefused(answer.reason)
