"""The planned stop of a gateway node: nobody new, and what was read is answered."""

from typing import Any

import trio

from rosemaryknot.process.leases import Lease
from rosemaryknot.process.logs import FLUSH_S, hold_lines, logger
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.values.gateway_answers import ANSWER_S, PlannedStop

__all__ = ["NodeStop"]

# The balancer asks each second and leaves a node out after two misses.
NOT_READY_S = 2.6
# What is left of the grace for closing connections and giving the lease back.
STOP_RESERVE_S = 0.6
# How much of it whole answers may still use; the rest is for the last lines.
LAST_DELIVERY_S = STOP_RESERVE_S - FLUSH_S - 0.1

log = logger("node")


class NodeStop:
    """One planned stop.

    Parameters
    ----------
    listener : object
        What the callers' connections share; see
        `rosemaryknot.connection.listener_state.ListenerState`.
    gateway : object
        Answers their requests; see `rosemaryknot.request.gateway.Gateway`.
    lease : Lease
        Of the duties; given back.
    peers : PeerSet
        The other nodes; told goodbye last.
    """

    def __init__(
        self, listener: Any, gateway: Any, lease: Lease, peers: PeerSet
    ) -> None:
        self.listener = listener
        self.gateway = gateway
        self.lease = lease
        self.peers = peers

    async def run(self, grace_s: float) -> None:
        """End the node's work within a grace, and tell what was cut."""
        began_s = trio.current_time()
        ends_s = began_s + grace_s - STOP_RESERVE_S
        log.info("not ready: planned stop", in_flight=self.listener.busy)
        stop = PlannedStop(began_s, began_s + NOT_READY_S, ends_s)
        self.listener.begin_stop(stop)
        try:
            with trio.move_on_at(ends_s):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.end_for_stop, ends_s)
                    await self.end_requests(stop)
                    nursery.cancel_scope.cancel()
        finally:
            # A second signal ends the wait; who asks for an answer that it cut finds
            # a line all the same.
            self.log_stopped(began_s)

    async def end_for_stop(self, ends_s: float) -> None:
        """Answer in time those whose answer cannot begin, and bound the rest."""
        await trio.sleep_until(ends_s - ANSWER_S)
        self.gateway.end_for_stop(ends_s + LAST_DELIVERY_S)

    async def end_requests(self, stop: PlannedStop) -> None:
        """Let callers go elsewhere, and wait until none is owed an answer."""
        # A store that does not answer must not hold up the callers; a lease that is
        # not given back lapses by itself.
        with trio.move_on_at(stop.left_out_s):
            await self.lease.release()
        await trio.sleep_until(stop.left_out_s)
        self.listener.close_idle()
        await self.listener.close()
        # Last, since the others take this node for gone from here on.
        await self.peers.leave()

    def log_stopped(self, began_s: float) -> None:
        """Write what the stop cuts, and its last line."""
        hold_lines()
        cuts = self.listener.owed.cut()
        log.info(
            "stopped",
            cut_off=cuts.cut_off,
            delivering=cuts.delivering,
            heads_unread=cuts.heads_unread,
            took_s=round(trio.current_time() - began_s, 2),
        )
