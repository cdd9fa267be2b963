"""The planned stop of a gateway node: nobody new, and what was read is answered."""

from collections.abc import Callable
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
# How often a stop compares its clock with one that goes on in suspension: a part of
# the reserve, which covers what it notices late.
SUSPENSION_STEP_S = 0.1
# Two clocks read one after the other differ by less than this.
SUSPENSION_LEAST_S = 0.02

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
    suspended_s : callable
        Returns how long the machine was suspended since the stop began, in seconds.

    Attributes
    ----------
    scope : trio.CancelScope
        Ends the wait for answers.
    """

    def __init__(
        self,
        listener: Any,
        gateway: Any,
        lease: Lease,
        peers: PeerSet,
        suspended_s: Callable[[], float],
    ) -> None:
        self.listener = listener
        self.gateway = gateway
        self.lease = lease
        self.peers = peers
        self.suspended_s = suspended_s
        self.scope = trio.CancelScope()

    @property
    def stop(self) -> PlannedStop:
        """Its times, which those who admit go by; earlier after a suspension."""
        return self.listener.stop

    async def run(self, grace_s: float) -> None:
        """End the node's work within a grace, and tell what was cut."""
        began_s = trio.current_time()
        ends_s = began_s + grace_s - STOP_RESERVE_S
        log.info("not ready: planned stop", in_flight=self.listener.busy)
        stop = PlannedStop(began_s, began_s + NOT_READY_S, ends_s)
        self.listener.begin_stop(stop)
        self.scope.deadline = ends_s
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.watch_suspension)
                    nursery.start_soon(self.abort_for_shutdown)
                    await self.end_requests()
                    nursery.cancel_scope.cancel()
        finally:
            # A second signal ends the wait; who asks for an answer that it cut finds
            # a line all the same.
            self.log_stopped(began_s)

    async def watch_suspension(self) -> None:
        """Take time in suspension off the stop.

        The platform counts the grace in true time, the steady clock leaves suspension
        out: the process was killed before its own end of the stop, and what that cut
        was named nowhere.
        """
        counted_s = 0.0
        while True:
            await trio.sleep(SUSPENSION_STEP_S)
            passed_s = self.suspended_s() - counted_s
            if passed_s > SUSPENSION_LEAST_S:
                counted_s += passed_s
                self.shorten_deadlines(passed_s)

    def shorten_deadlines(self, passed_s: float) -> None:
        """End the stop, and what it took in, earlier by a time in suspension."""
        self.listener.stop = self.stop.earlier(passed_s)
        self.gateway.shorten_deadlines(passed_s)
        now_s = trio.current_time()
        # Those without an answer still get one where the stop is over by now.
        self.scope.deadline = max(self.stop.ends_s, now_s + 2 * ANSWER_S)
        log.warning(
            "the machine was suspended in a planned stop",
            suspended_s=round(passed_s, 3),
            stop_left_s=round(self.stop.ends_s - now_s, 3),
        )

    async def reach(self, moment_s: Callable[[], float]) -> None:
        """Wait for a moment that suspension may bring nearer."""
        while (left_s := moment_s() - trio.current_time()) > 0:
            await trio.sleep(min(left_s, SUSPENSION_STEP_S))

    async def abort_for_shutdown(self) -> None:
        """Answer in time those whose answer cannot begin, and bound the rest."""
        await self.reach(lambda: self.stop.ends_s - ANSWER_S)
        self.gateway.abort_for_shutdown(self.stop.ends_s + LAST_DELIVERY_S)

    async def end_requests(self) -> None:
        """Let callers go elsewhere, and wait until none is owed an answer."""
        # A store that does not answer must not hold up the callers; a lease that is
        # not given back lapses by itself.
        with trio.move_on_at(self.stop.left_out_s):
            await self.lease.release()
        await self.reach(lambda: self.stop.left_out_s)
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
