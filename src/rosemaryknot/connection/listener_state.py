"""What the connections of one listener for callers share, and its planned stop."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from rosemaryknot.connection.owed_answers import OwedAnswers
from rosemaryknot.values.gateway import CallerLimits, GatewayRequest
from rosemaryknot.values.gateway_answers import GatewayWire, PlannedStop

if TYPE_CHECKING:
    from rosemaryknot.connection.gateway_caller import Reply

__all__ = ["Handler", "HeadHandler", "ListenerState"]

# How often a stop looks whether connections have ended.
CLOSE_STEP_S = 0.05

Handler = Callable[[GatewayRequest, "Reply"], Awaitable[None]]
HeadHandler = Callable[[GatewayRequest, "Reply"], Awaitable[bool]]


@dataclass(slots=True)
class ListenerState:
    """What the connections of a listener share.

    Attributes
    ----------
    wire : GatewayWire
        Names of the headers.
    handler : callable
        Answers a request.
    refuse_by_head : callable
        Refuses a request whose body is still to come, and tells whether it did.
    limits : callable
        Returns the limits in force.
    is_closed : bool
        Whether new connections are closed unread.
    open : int
        Connections that are open.
    busy : int
        Those with a request that was read in part or whole.
    stop : PlannedStop or None
        The planned stop that goes on.
    idle : set of trio.CancelScope
        Of connections that wait for a request.
    bodies : set of trio.CancelScope
        Of connections that wait for more of a body.
    owed : OwedAnswers
        What they owe their callers, to the last byte.
    """

    wire: GatewayWire
    handler: Handler
    refuse_by_head: HeadHandler
    limits: Callable[[], CallerLimits]
    is_closed: bool = False
    open: int = 0
    busy: int = 0
    stop: PlannedStop | None = None
    idle: set[trio.CancelScope] = field(default_factory=set)
    bodies: set[trio.CancelScope] = field(default_factory=set)
    owed: OwedAnswers = field(default_factory=OwedAnswers)

    def begin_stop(self, stop: PlannedStop) -> None:
        """Tell kept connections from now on to close, and go by a stop's times."""
        self.stop = stop
        self.owed.stop_began_s = stop.signalled_s
        # Those that wait for a body look whether its head is still enough to go on: a
        # slow one would be sent to its end for a request that nobody takes any more.
        for scope in self.bodies:
            scope.cancel()

    def close_idle(self) -> None:
        """Close the connections that wait for a request.

        Their callers would send on them until the process ends, and the last ones
        would be cut off; closed now, they go to another node.
        """
        for scope in self.idle:
            scope.cancel()

    async def close(self) -> None:
        """Wait until no connection is open, then take no more.

        A request may be read in the very moment in which none is in flight; sent on,
        it would be cut by the end of the process. Without a connection none is read.
        Shut before, one caller with half a head would keep all others out, unserved
        and unrefused, for as long as the node waits for the rest.
        """
        while self.open:
            if not self.busy:
                self.close_idle()
            await trio.sleep(CLOSE_STEP_S)
        self.is_closed = True
