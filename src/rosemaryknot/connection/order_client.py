"""Client that sends orders of the placement duty to backend servers.

It also reads back the orders that a server has applied.
"""

from typing import Any

import httpx
import trio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.network import Network
from rosemaryknot.values.json_text import JSON_ERRORS, parse_json
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.placement import (
    OrderDone,
    OrderFailed,
    OrderRefused,
    OrdersRead,
    ServerOrder,
)

__all__ = ["HttpOrderClient"]

ORDER_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 2.0
HEADERS = {"connection": "close"}


class HttpOrderClient:
    """Client for the orders API of backend servers, with a new connection per call.

    Parameters
    ----------
    network : Network
        Network that opens the connections.
    timeout_s : float
        Timeout of an order, in seconds; long, since an order may load a model.
    """

    def __init__(self, network: Network, timeout_s: float = ORDER_TIMEOUT_S) -> None:
        self.client = http_client(network, timeout_s)
        self.client.timeout = httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        self.timeout_s = timeout_s

    async def aclose(self) -> None:
        """Close all connections."""
        await self.client.aclose()

    async def order(
        self, server: BackendServer, order: ServerOrder, fencing: int
    ) -> OrderDone | OrderRefused | OrderFailed:
        """Send one order with its fencing token.

        Parameters
        ----------
        server : BackendServer
            Server that executes the order.
        order : ServerOrder
            The order.
        fencing : int
            Fencing token of the holder's lease.

        Returns
        -------
        outcome : OrderDone, OrderRefused or OrderFailed
            After `OrderFailed`, only `read_orders` shows which orders are applied.
        """
        body = {**order.arguments, "fencing": fencing, "order": order.order}
        url = f"http://{server.address}/orders"
        with trio.move_on_after(self.timeout_s):
            try:
                response = await self.client.post(url, json=body, headers=HEADERS)
            except (httpx.ConnectError, httpx.ConnectTimeout):
                return OrderRefused("unreachable")
            except httpx.HTTPError as error:
                return OrderFailed(type(error).__name__)
            return decode_outcome(response)
        return OrderFailed("timeout")

    async def read_orders(self, server: BackendServer) -> OrdersRead | None:
        """Return the orders that a server has applied; None if it does not respond."""
        fields = await self.request_json(server, "/orders")
        try:
            models = tuple(sorted(str(model) for model in fields["models"]))
            return OrdersRead(int(fields["fencing"]), models)
        except JSON_ERRORS:
            return None

    async def requests(self, server: BackendServer) -> int | None:
        """Return the number of requests at an engine; None if it does not respond."""
        fields = await self.request_json(server, "/load")
        try:
            return int(fields["running"]) + int(fields["waiting"])
        except JSON_ERRORS:
            return None

    async def request_json(
        self, server: BackendServer, path: str
    ) -> dict[str, Any] | None:
        """Make a short read and decode its JSON response; None if it fails."""
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            try:
                url = f"http://{server.address}{path}"
                response = await self.client.get(url, headers=HEADERS)
                fields = parse_json(response.content) if response.is_success else None
            except (httpx.HTTPError, ValueError):
                return None
            return fields if isinstance(fields, dict) else None
        return None


def decode_outcome(response: httpx.Response) -> OrderDone | OrderRefused | OrderFailed:
    """Return the outcome of an order from its response."""
    if response.is_success:
        return OrderDone()
    if response.status_code == httpx.codes.CONFLICT:
        return OrderRefused("old fencing number", decode_fencing(response))
    if response.is_server_error:
        return OrderFailed(f"status {response.status_code}")
    return OrderRefused(f"status {response.status_code}")


def decode_fencing(response: httpx.Response) -> int:
    """Return the highest fencing token that the server reports; 0 without one."""
    try:
        return int(parse_json(response.content)["fencing"])
    except JSON_ERRORS:
        return 0
