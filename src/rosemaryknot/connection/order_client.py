"""Orders of the placement holder to backend servers, and their read-back."""

from typing import Any

import httpx
import trio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.network import Network
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
ASK_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 2.0
HEADERS = {"connection": "close"}


class HttpOrderClient:
    """Calls to backend servers, each on a connection of its own.

    Parameters
    ----------
    network : Network
        Where connections come from.
    timeout_s : float
        Bound on an order; loading a model takes its time. In seconds.
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
        """Give one order with its fencing number.

        Parameters
        ----------
        server : BackendServer
            Who carries it out.
        order : ServerOrder
            What to do.
        fencing : int
            Number of the holder's lease.

        Returns
        -------
        outcome : OrderDone, OrderRefused or OrderFailed
            After a failure only a read-back tells what is in force.
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
            return outcome_of(response)
        return OrderFailed("timeout")

    async def read_orders(self, server: BackendServer) -> OrdersRead | None:
        """Return what is in force at a server; None without an answer."""
        fields = await self.ask(server, "/orders")
        try:
            models = tuple(sorted(str(model) for model in fields["models"]))
            return OrdersRead(int(fields["fencing"]), models)
        except (TypeError, LookupError, ValueError):
            return None

    async def requests(self, server: BackendServer) -> int | None:
        """Return how many requests a model engine has; None without an answer."""
        fields = await self.ask(server, "/load")
        try:
            return int(fields["running"]) + int(fields["waiting"])
        except (TypeError, LookupError, ValueError):
            return None

    async def ask(self, server: BackendServer, path: str) -> dict[str, Any] | None:
        """Make one short read."""
        with trio.move_on_after(ASK_TIMEOUT_S):
            try:
                url = f"http://{server.address}{path}"
                response = await self.client.get(url, headers=HEADERS)
                answer = response.json() if response.is_success else None
            except (httpx.HTTPError, ValueError):
                return None
            return answer if isinstance(answer, dict) else None
        return None


def outcome_of(response: httpx.Response) -> OrderDone | OrderRefused | OrderFailed:
    """Return the outcome that an answer tells."""
    if response.is_success:
        return OrderDone()
    if response.status_code == httpx.codes.CONFLICT:
        return OrderRefused("old fencing number", seen_fencing(response))
    if response.is_server_error:
        return OrderFailed(f"status {response.status_code}")
    return OrderRefused(f"status {response.status_code}")


def seen_fencing(response: httpx.Response) -> int:
    """Return the highest number that the server says it has seen; 0 if it does not."""
    try:
        return int(response.json()["fencing"])
    except (TypeError, LookupError, ValueError):
        return 0
