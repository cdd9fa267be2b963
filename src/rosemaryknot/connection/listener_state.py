"""State shared by the connections of one caller listener, and its shutdown."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from rosemaryknot.connection.accept_gate import AcceptGate
from rosemaryknot.connection.body_budget import BodyBudget
from rosemaryknot.connection.parsing_turns import ParsingTurns
from rosemaryknot.connection.pending_responses import PendingResponses
from rosemaryknot.values.gateway import CallerLimits, GatewayRequest
from rosemaryknot.values.gateway_responses import GatewayWire, Refusal, ShutdownSchedule

if TYPE_CHECKING:
    from rosemaryknot.connection.gateway_caller import Reply

__all__ = ["Handler", "HeadCheck", "HeadHandler", "ListenerState"]

# Interval at which a graceful shutdown checks whether connections have ended.
CLOSE_POLL_INTERVAL_S = 0.05

Handler = Callable[[GatewayRequest, "Reply"], Awaitable[None]]
HeadHandler = Callable[[GatewayRequest, "Reply"], Awaitable[bool]]
HeadCheck = Callable[[GatewayRequest], float | Refusal]


@dataclass(slots=True)
class ListenerState:
    """State shared by the connections of a listener.

    Attributes
    ----------
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
    gate : AcceptGate
        Limits new connections while the node is overloaded.
    bodies : BodyBudget
        Bytes of the bodies of all requests.
    is_closed : bool
        Whether new connections are closed without being read.
    open : int
        Number of open connections.
    busy : int
        Number of connections with a request that was at least partly read.
    stop : ShutdownSchedule or None
        The graceful shutdown in progress.
    idle_scopes : dict of trio.CancelScope to None
        Cancel scopes of connections that wait for a request, the longest first.
    head_scopes : dict of trio.CancelScope to None
        Cancel scopes of connections that wait for the rest of a head, the longest
        first.
    body_scopes : set of trio.CancelScope
        Cancel scopes of connections that wait for more of a body.
    pending : PendingResponses
        Requests whose responses are not completely sent.
    parsing : ParsingTurns
        Turns in which connections parse bodies of many small chunks.
    """

    wire: GatewayWire
    handler: Handler
    refuse_by_head: HeadHandler
    check_head: HeadCheck
    limits: Callable[[], CallerLimits]
    gate: AcceptGate
    bodies: BodyBudget
    is_closed: bool = False
    open: int = 0
    busy: int = 0
    stop: ShutdownSchedule | None = None
    idle_scopes: dict[trio.CancelScope, None] = field(default_factory=dict)
    head_scopes: dict[trio.CancelScope, None] = field(default_factory=dict)
    body_scopes: set[trio.CancelScope] = field(default_factory=set)
    pending: PendingResponses = field(default_factory=PendingResponses)
    parsing: ParsingTurns = field(default_factory=ParsingTurns)

    def start_shutdown(self, stop: ShutdownSchedule) -> None:
        """Announce the close of persistent connections and apply a shutdown's times."""
        self.stop = stop
        self.pending.shutdown_started_s = stop.signalled_s
        # Connections that wait for a body check again whether the request can be
        # refused by its head. Otherwise a caller would send a slow body to its end
        # although the request is no longer accepted.
        for scope in self.body_scopes:
            scope.cancel()

    def yield_connection(self) -> bool:
        """Close the connection that has waited longest for a request, or stalls.

        Returns
        -------
        has_yielded : bool
            Whether there was one.
        """
        for scopes in (self.idle_scopes, self.head_scopes):
            if scopes:
                scope = next(iter(scopes))
                del scopes[scope]
                scope.cancel()
                return True
        return self.bodies.withdraw_stalled()

    def close_idle(self) -> None:
        """Close the connections that wait for a request.

        Their callers would otherwise send requests until the process exits, and the
        last of these would be aborted. After the close they connect to another node.
        """
        for scope in self.idle_scopes:
            scope.cancel()

    async def close(self) -> None:
        """Wait until no connection is open, then accept no more.

        Waiting until no request is in flight would not suffice: a request could be
        read at that moment, and the exit of the process would abort it. If the listener
        closed first, one caller with an incomplete head would leave all other callers
        without a response for as long as the node waits for the rest of that head.
        """
        while self.open:
            if not self.busy:
                self.close_idle()
            await trio.sleep(CLOSE_POLL_INTERVAL_S)
        self.is_closed = True
