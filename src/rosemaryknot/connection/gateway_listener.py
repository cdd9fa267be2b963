"""Accepts the connections of callers."""

from collections.abc import Awaitable, Callable

import trio

from rosemaryknot.connection.gateway_caller import CallerConnection
from rosemaryknot.connection.listener_state import Handler, HeadHandler, ListenerState
from rosemaryknot.connection.network import Network
from rosemaryknot.process.logs import logger
from rosemaryknot.values.gateway import CallerLimits
from rosemaryknot.values.gateway_answers import GatewayWire
from rosemaryknot.values.nodes import Address

__all__ = ["GatewayListener"]

# How long a connection waits unread for a node that has just started and does not know
# yet what to serve: the first answers of the store take some hundredths of a second.
# Refused, its caller would come back later than it is served now.
FIRST_WAIT_S = 0.25

log = logger("callers")


class GatewayListener:
    """Accepts callers.

    Parameters
    ----------
    network : Network
        Where to listen.
    wire : GatewayWire
        Names of the headers.
    handler : callable
        Answers a request.
    refuse_by_head : callable
        Refuses a request whose body is still to come, and tells whether it did.
    limits : callable
        Returns the limits in force.
    max_connections : int
        Open connections; more are closed unread, so that their callers may try
        elsewhere.
    wait_known : callable
        Of seconds; waits so long, or until the node knows what to serve.

    Attributes
    ----------
    state : ListenerState
        What the connections share.
    """

    def __init__(
        self,
        network: Network,
        wire: GatewayWire,
        handler: Handler,
        refuse_by_head: HeadHandler,
        limits: Callable[[], CallerLimits],
        max_connections: int,
        wait_known: Callable[[float], Awaitable[None]],
    ) -> None:
        self.network = network
        self.state = ListenerState(wire, handler, refuse_by_head, limits)
        self.max_connections = max_connections
        self.wait_known = wait_known

    async def run(
        self,
        address: Address,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept until cancelled."""
        await self.network.listen(address, self.handle, task_status=task_status)

    async def handle(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve one connection."""
        await self.wait_known(FIRST_WAIT_S)
        if self.state.is_closed:
            return
        if self.state.open >= self.max_connections:
            log.warning("connection closed: too many", open=self.state.open)
            return
        await CallerConnection(stream, self.state).run()
