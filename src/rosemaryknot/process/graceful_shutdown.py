"""Graceful shutdown of a gateway node, which completes requests that were read."""

from collections.abc import Callable
from typing import Any

import trio

from rosemaryknot.process.leases import Lease
from rosemaryknot.process.logs import FLUSH_TIMEOUT_S, buffer_lines, logger
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.values.gateway_responses import RESPONSE_RESERVE_S, ShutdownSchedule

__all__ = ["GracefulShutdown"]

# The load balancer probes each second and drops a node after two failed probes.
NOT_READY_S = 2.6
# Part of the grace period reserved for closing connections and releasing the lease.
SHUTDOWN_RESERVE_S = 0.6
# Part of the reserve in which complete responses may still be delivered; the rest is
# for the last log lines.
FINAL_DELIVERY_S = SHUTDOWN_RESERVE_S - FLUSH_TIMEOUT_S - 0.1
# How often a shutdown compares its clock with one that includes suspension. It is a
# fraction of the reserve, which covers a suspension that is detected this late.
SUSPENSION_CHECK_INTERVAL_S = 0.1
# Two clocks that are read one after the other differ by less than this.
MIN_SUSPENSION_S = 0.02

log = logger("node")


class GracefulShutdown:
    """One graceful shutdown.

    Parameters
    ----------
    listener : object
        State shared by the callers' connections; see
        `rosemaryknot.connection.listener_state.ListenerState`.
    gateway : object
        Responds to their requests; see `rosemaryknot.request.gateway.Gateway`.
    lease : Lease
        Lease of the duties, which the shutdown releases.
    peers : PeerSet
        The other nodes, which are notified last.
    relay : object
        Relays connections to servers for peers; see
        `rosemaryknot.connection.server_relay.ServerRelay`.
    origins : object
        Records of streams that this node holds for others; see
        `rosemaryknot.process.origin_exchange.OriginExchange`.
    suspended_s : callable
        Returns how long the machine was suspended since the shutdown began, in
        seconds.

    Attributes
    ----------
    scope : trio.CancelScope
        Ends the wait for responses.
    """

    def __init__(
        self,
        listener: Any,
        gateway: Any,
        lease: Lease,
        peers: PeerSet,
        relay: Any,
        origins: Any,
        suspended_s: Callable[[], float],
    ) -> None:
        self.listener = listener
        self.gateway = gateway
        self.lease = lease
        self.peers = peers
        self.relay = relay
        self.origins = origins
        self.suspended_s = suspended_s
        self.scope = trio.CancelScope()

    @property
    def stop(self) -> ShutdownSchedule:
        """Times of the shutdown, used for admission; earlier after a suspension."""
        return self.listener.stop

    async def run(self, grace_s: float) -> None:
        """Finish the node's work within a grace period, and log aborted requests."""
        began_s = trio.current_time()
        ends_s = began_s + grace_s - SHUTDOWN_RESERVE_S
        log.info("not ready: graceful shutdown", in_flight=self.listener.busy)
        stop = ShutdownSchedule(began_s, began_s + NOT_READY_S, ends_s)
        self.listener.start_shutdown(stop)
        self.relay.is_stopping = True
        self.scope.deadline = ends_s
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.watch_suspension)
                    nursery.start_soon(self.abort_for_shutdown)
                    await self.finish_requests()
                    nursery.cancel_scope.cancel()
        finally:
            # A second signal ends the wait. The requests that it aborts are still
            # logged, so that they can be looked up.
            self.log_stopped(began_s)

    async def watch_suspension(self) -> None:
        """Shorten the shutdown by time in suspension.

        The platform measures the grace period in real time, but the monotonic clock
        excludes suspension: the process was killed before its own deadline for the
        shutdown, and the requests that this aborted were not logged.
        """
        counted_s = 0.0
        while True:
            await trio.sleep(SUSPENSION_CHECK_INTERVAL_S)
            passed_s = self.suspended_s() - counted_s
            if passed_s > MIN_SUSPENSION_S:
                counted_s += passed_s
                self.shorten_deadlines(passed_s)

    def shorten_deadlines(self, passed_s: float) -> None:
        """Move the deadlines of the shutdown and its requests earlier."""
        self.listener.stop = self.stop.earlier(passed_s)
        self.gateway.shorten_deadlines(passed_s)
        now_s = trio.current_time()
        # Requests without a response still get one if the shutdown is over by now.
        self.scope.deadline = max(self.stop.ends_s, now_s + 2 * RESPONSE_RESERVE_S)
        log.warning(
            "the machine was suspended during a graceful shutdown",
            suspended_s=round(passed_s, 3),
            stop_left_s=round(self.stop.ends_s - now_s, 3),
        )

    async def wait_until(self, moment_s: Callable[[], float]) -> None:
        """Wait until a time that suspension may move earlier."""
        while (remaining_s := moment_s() - trio.current_time()) > 0:
            await trio.sleep(min(remaining_s, SUSPENSION_CHECK_INTERVAL_S))

    async def abort_for_shutdown(self) -> None:
        """Send failures where no response can start in time, and bound the others."""
        await self.wait_until(lambda: self.stop.ends_s - RESPONSE_RESERVE_S)
        self.gateway.abort_for_shutdown(self.stop.ends_s + FINAL_DELIVERY_S)

    async def finish_requests(self) -> None:
        """Let callers use other nodes, and wait until no response is pending."""
        # A store that does not respond must not delay the callers; a lease that is not
        # released expires by itself.
        with trio.move_on_at(self.stop.deregistered_s):
            await self.lease.release()
        await self.wait_until(lambda: self.stop.deregistered_s)
        self.listener.close_idle()
        await self.listener.close()
        await self.relay.wait_ended()
        await self.origins.hand_over()
        # Last, because the other nodes treat this node as removed from now on.
        await self.peers.leave()

    def log_stopped(self, began_s: float) -> None:
        """Log the requests that the shutdown aborts, and its last line."""
        buffer_lines()
        cuts = self.listener.pending.log_aborted()
        log.info(
            "stopped",
            cut_off=cuts.cut_off,
            delivering=cuts.delivering,
            heads_unread=cuts.heads_unread,
            took_s=round(trio.current_time() - began_s, 2),
        )
