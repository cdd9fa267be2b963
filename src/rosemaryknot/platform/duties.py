"""Calls to the platform that carry the holder of a duty and its fencing token.

A duty is a task that only the holder of a lease performs.
"""

import json
from typing import Any

from rosemaryknot.connection.network import Network
from rosemaryknot.connection.platform_calls import PlatformCalls
from rosemaryknot.values.duties import DutyDone, DutyFailed, DutyRefused, SizeOrder
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.platform import PlatformFailed

__all__ = ["PlatformDuties"]

CONFLICT = 409


class PlatformDuties:
    """Calls of duties; implements `rosemaryknot.values.duties.DutyCalls`.

    Parameters
    ----------
    network : Network
        Opens the connections.
    address : Address
        Address of the platform.
    node : str
        Name of this node, which holds the lease.
    """

    def __init__(self, network: Network, address: Address, node: str) -> None:
        self.calls = PlatformCalls(network, address)
        self.node = node

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self.calls.aclose()

    async def send_usage(
        self, window: int, counts: dict[str, int], fencing: int
    ) -> DutyDone | DutyRefused | DutyFailed:
        """Report the usage of a window."""
        return await self.post(
            "/usage", {"windowId": window, "counts": counts}, fencing
        )

    async def send_order(
        self, order: SizeOrder, fencing: int
    ) -> DutyDone | DutyRefused | DutyFailed:
        """Order a number of servers; ``spot`` marks reclaimable ones."""
        body: dict[str, Any] = {
            "service": order.service,
            "zone": order.zone,
            "desired": order.count,
        }
        if order.is_reclaimable:
            body["spot"] = True
        return await self.post("/scale", body, fencing)

    async def post(
        self, path: str, body: dict[str, Any], fencing: int
    ) -> DutyDone | DutyRefused | DutyFailed:
        """Send one call and classify its response."""
        headers = {
            "content-type": "application/json",
            "rosemaryknot-duty-holder": self.node,
            "rosemaryknot-fencing-token": str(fencing),
        }
        content = json.dumps(body).encode()
        response = await self.calls.call("POST", path, content, headers)
        if isinstance(response, PlatformFailed):
            return DutyFailed(response.reason)
        if response.is_success:
            return DutyDone()
        if response.status_code == CONFLICT:
            return DutyRefused()
        return DutyFailed(f"status {response.status_code}")
