"""Orders to the cloud API and to backend servers, sent only while a lease is held.

A holder may be paused for any length of time between checking the lease and sending
an order, so the check alone is not sufficient. `OrderSender` describes why late orders
are harmless.
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

PREDECESSOR_GRACE_S = 5.0
MIN_LEASE_REMAINING_S = 2.5
NOT_HOLDER = "the lease is not held"
PREDECESSOR_ACTIVE = "the previous holder may still be sending orders"
UNSETTLED = "the state read back is not stable yet"
NOT_RECORDED = "the decision is not recorded in the lease object"
NEEDS_FENCING = "the servers do not check fencing tokens"
OWN_MODEL = "the order would unload the service's own model"

ORDERS = counter("placement_orders_total", "Orders by kind and outcome.")

Outcome = OrderDone | OrderRefused | OrderFailed


@dataclass(slots=True)
class PendingOrder:
    """An order without an outcome yet.

    Attributes
    ----------
    text : str
        Description of the order.
    since_s : float
        Time at which the order was sent, in trio time.
    """

    text: str
    since_s: float


class OrderSender:
    """Sends the orders of the placement lease holder of one service.

    Orders that a paused holder sends late are harmless for these reasons:

    - A server that checks fencing tokens refuses the order once it has received the
      token of the next holder, who sends it to every server at the start (``fence``).
    - The cloud API and other servers do not check tokens. There, a destructive order
      is sent only for an instance whose release is recorded in the lease object. The
      record is written under the condition that the lease has not changed hands, and
      it is never withdrawn, so the order is valid at any later time.
    - The effect of a late order that adds something is found by the next holder, which
      compares the actual state with the target and removes the surplus.
    - A server never receives an order to unload the model of its own service, so a
      late ``unload_model`` removes nothing that serves requests. ``set_role`` is sent
      only to servers that check tokens.

    Parameters
    ----------
    lease : Lease
        Placement lease of the service.
    cloud : CloudApi
        Cloud API of the platform.
    client : OrderClient
        Client for calls to backend servers.
    safeguards : Safeguards, optional
        Safeguards; tests can disable ``additive_first``.

    Attributes
    ----------
    settled_fencing : int
        Fencing token under which the state read back was stable.
    pending : list of PendingOrder
        Orders that have been sent and have no outcome yet.
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
        """Return whether the state read back under this lease is stable."""
        return self.settled_fencing == self.lease.fencing

    def settle(self) -> None:
        """Record that the state read back under this lease is stable."""
        self.settled_fencing = self.lease.fencing

    def refusal(self, target: ServiceTarget) -> str:
        """Return why no order may be sent now, or an empty string."""
        # An order is sent only if its call ends before the lease expires, unless the
        # process is paused.
        if self.lease.remaining_s() < MIN_LEASE_REMAINING_S:
            return NOT_HOLDER
        must_wait = not target.checks_fencing and not self.lease.is_clean_handover
        held_s = trio.current_time() - self.lease.acquired_s
        if must_wait and held_s < PREDECESSOR_GRACE_S:
            return PREDECESSOR_ACTIVE
        return ""

    def removal_refusal(self, target: ServiceTarget, instance: str) -> str:
        """Return why an instance may not be removed now, or an empty string.

        The first list of a new holder may lag behind the orders of its predecessor.
        Without this check, the new holder could treat the last serving instance as
        surplus, and callers would find no server.
        """
        refusal = self.refusal(target)
        if refusal or not self.safeguards.additive_first:
            return refusal
        if not self.is_settled():
            return UNSETTLED
        return "" if instance in self.lease.leaving else NOT_RECORDED

    async def start(self, target: ServiceTarget, kind: InstanceKind) -> Outcome:
        """Request an instance from the cloud."""
        refusal = self.refusal(target)
        if refusal:
            return OrderRefused(refusal)
        with self.track_pending(f"start {kind}"):
            response = await self.cloud.start_instance(
                target.service, kind.zone, kind.machine_class, kind.reclaimable
            )
        if isinstance(response, StartRefused):
            outcome: Outcome = OrderRefused(response.reason)
        else:
            outcome = outcome_of_cloud_call(response)
        return self.record_outcome("start", outcome)

    async def release(self, target: ServiceTarget, instance: str) -> Outcome:
        """Release an instance to the cloud if the decision is recorded."""
        refusal = self.removal_refusal(target, instance)
        if refusal:
            return OrderRefused(refusal)
        with self.track_pending(f"release {instance}"):
            response = await self.cloud.release_instance(instance)
        if isinstance(response, Missing):
            response = None
        return self.record_outcome("release", outcome_of_cloud_call(response))

    async def order(
        self, target: ServiceTarget, server: BackendServer, order: ServerOrder
    ) -> Outcome:
        """Send an order to a backend server, with the fencing token of the lease."""
        refusal = self.server_refusal(target, server, order)
        if refusal:
            return OrderRefused(refusal)
        with self.track_pending(f"{order.order} to {server.instance}"):
            outcome = await self.client.order(server, order, self.lease.fencing)
        if isinstance(outcome, OrderRefused) and outcome.fencing:
            self.lease.record_fencing(outcome.fencing)
        return self.record_outcome(order.order, outcome)

    def server_refusal(
        self, target: ServiceTarget, server: BackendServer, order: ServerOrder
    ) -> str:
        """Return why a server may not receive an order now, or an empty string."""
        if order.order == "unload_model":
            if order.arguments.get("model") == target.service:
                return OWN_MODEL
            return self.refusal(target) or ("" if self.is_settled() else UNSETTLED)
        if order.order == "set_role" and not target.checks_fencing:
            return NEEDS_FENCING
        if order.order == "drain":
            return self.removal_refusal(target, server.instance)
        return self.refusal(target)

    @contextmanager
    def track_pending(self, text: str) -> Iterator[None]:
        """List an order as pending while it has no outcome."""
        order = PendingOrder(text, trio.current_time())
        self.pending.append(order)
        try:
            yield
        finally:
            self.pending.remove(order)

    def record_outcome(self, order: str, outcome: Outcome) -> Outcome:
        """Count an outcome and return it."""
        ORDERS.add(order=order, outcome=order_outcome_name(outcome))
        return outcome


def order_outcome_name(outcome: Outcome) -> str:
    """Return the name of an outcome for logs and metrics.

    Examples
    --------
    >>> order_outcome_name(OrderDone())
    'done'
    """
    return type(outcome).__name__.removeprefix("Order").lower()


def outcome_of_cloud_call(response: BackendServer | PlatformFailed | None) -> Outcome:
    """Return the order outcome for a response of the cloud API."""
    if not isinstance(response, PlatformFailed):
        return OrderDone(response)
    if response.maybe_done:
        return OrderFailed(response.reason)
    return OrderRefused(response.reason)
