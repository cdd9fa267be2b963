"""Listener for the connections of callers."""

from collections.abc import Awaitable, Callable

import trio

from rosemaryknot.connection.accept_gate import AcceptGate
from rosemaryknot.connection.body_budget import BodyBudget
from rosemaryknot.connection.gateway_caller import CallerConnection
from rosemaryknot.connection.listener_state import (
    Handler,
    HeadCheck,
    HeadHandler,
    ListenerState,
)
from rosemaryknot.connection.network import Network
from rosemaryknot.process.caller_memory import CONNECTION_BYTES, HeldBytes
from rosemaryknot.process.logs import fault_fields, logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.gateway import CallerLimits
from rosemaryknot.values.gateway_responses import GatewayWire
from rosemaryknot.values.nodes import Address

__all__ = ["GatewayListener"]

# How long a new connection waits, unread, while a node that has just started loads its
# configuration: the first responses of the store take some hundredths of a second. A
# refused caller would retry later than it is served after this wait.
STARTUP_WAIT_S = 0.25

# Connections beyond the limit while others are being closed for them.
MAX_CLOSING = 50

FAULTS = counter("faults_total", "Exceptions that ended a caller's connection.")

log = logger("callers")


class GatewayListener:
    """Listener that serves the connections of callers.

    Parameters
    ----------
    network : Network
        Network to listen on.
    wire : GatewayWire
        Codec of requests and responses.
    handler : callable
        Handles a request and sends its response.
    refuse_by_head : callable
        Refuses a request by its head if possible; returns whether it did.
    check_head : callable
        Returns when the time of a request ends, in trio time, or its refusal if its
        head is sufficient for that.
    limits : callable
        Returns the current limits.
    max_connections : callable
        Returns the maximum number of open connections. For a further one, one that
        waits for a request is closed; without such, it is closed without being read, so
        that its caller may safely retry elsewhere.
    wait_ready : callable
        Waits until the node can serve requests, at most for the given seconds.
    gate : AcceptGate
        Decides whether to accept a new connection.
    bodies : BodyBudget
        Bytes that the bodies of requests may have together.

    Attributes
    ----------
    state : ListenerState
        State that the connections share.
    """

    def __init__(
        self,
        network: Network,
        wire: GatewayWire,
        handler: Handler,
        refuse_by_head: HeadHandler,
        check_head: HeadCheck,
        limits: Callable[[], CallerLimits],
        max_connections: Callable[[], int],
        wait_ready: Callable[[float], Awaitable[None]],
        gate: AcceptGate,
        bodies: BodyBudget,
    ) -> None:
        self.network = network
        self.gate = gate
        self.state = ListenerState(
            wire, handler, refuse_by_head, check_head, limits, gate, bodies
        )
        self.max_connections = max_connections
        self.wait_ready = wait_ready

    async def run(
        self,
        address: Address,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept until cancelled."""
        await self.network.listen(address, self.handle, task_status, self.gate)

    def has_room(self) -> bool:
        """Return whether a connection may be opened, if need be for one that waits.

        Clients that open connections and send nothing would otherwise keep all others
        out until their timeouts, and again with the next ones.
        """
        beyond = self.state.open - self.max_connections()
        if beyond < 0:
            return True
        if beyond >= MAX_CLOSING or not self.state.yield_connection():
            return False
        log.info("waiting connection closed for a new one", open=self.state.open)
        return True

    async def handle(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve one connection."""
        with self.gate.track():
            await self.serve(stream)

    async def serve(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve one connection, unless the node is stopping or at its limit."""
        await self.wait_ready(STARTUP_WAIT_S)
        if self.state.is_closed:
            return
        if not self.has_room():
            log.warning(
                "connection closed: connection limit reached", open=self.state.open
            )
            return
        held = HeldBytes(self.state.bodies.memory)
        if not held.resize(CONNECTION_BYTES):
            log.warning("connection closed: memory for callers is used up")
            return
        try:
            await CallerConnection(stream, self.state, held).run()
        except Exception as error:
            # It would end the process with all other responses, and then the next node
            # at which the caller repeats the request.
            FAULTS.add(where="caller")
            log.error(
                "connection aborted by a fault of this node", **fault_fields(error)
            )
        finally:
            held.release()
