"""Tasks that synchronize the table of backend servers with the platform."""

from collections.abc import Callable
from random import Random

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.values.platform import InstanceSource, PlatformFailed

__all__ = ["Backoff", "PlatformWatch"]

LIST_INTERVAL_S = 2.0
WATCHER_CHECK_INTERVAL_S = 1.0
STABLE_WATCH_S = 5.0
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0

LIST_FAILURES = counter("instance_list_failures_total", "Instance lists not read.")
WATCH_ENDS = counter("notice_watch_ends_total", "Notice watches that ended.")
WATCHING = gauge("platform_watching", "Whether this node watches the platform.")

log = logger("platform")


class Backoff:
    """Exponential backoff with full jitter.

    Nodes that lose the platform simultaneously would otherwise retry simultaneously
    each time. Drawing the delay from the full range distributes their attempts.

    Parameters
    ----------
    random : Random
        Source of jitter, seeded by the caller.
    first_s, max_s : float
        Upper limits of the first delay and of all delays, in seconds.

    Attributes
    ----------
    failures : int
        Number of consecutive failures.
    """

    def __init__(
        self,
        random: Random,
        first_s: float = INITIAL_BACKOFF_S,
        max_s: float = MAX_BACKOFF_S,
    ) -> None:
        self.random = random
        self.first_s = first_s
        self.max_s = max_s
        self.failures = 0

    def succeed(self) -> None:
        """Reset to the first delay."""
        self.failures = 0

    def next_delay_s(self) -> float:
        """Record a failure and return the delay in seconds."""
        bound_s = min(self.max_s, self.first_s * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return self.random.uniform(0.0, bound_s)


class PlatformWatch:
    """Polls the instance list and watches reclaim notices.

    Only a few nodes of each zone do so. The others receive the results in peer
    messages, so that the load on the platform does not grow with the fleet.

    Parameters
    ----------
    source : InstanceSource
        Client of the platform.
    table : ServerTable
        Table to update.
    random : Random
        Source of jitter.
    is_watcher : callable
        Returns whether this node should watch; called each second.
    interval_s : float
        Mean time between two list calls, in seconds.

    Attributes
    ----------
    lists, list_failures : int
        Numbers of successful and failed list calls.
    """

    def __init__(
        self,
        source: InstanceSource,
        table: ServerTable,
        random: Random,
        is_watcher: Callable[[], bool] = lambda: True,
        interval_s: float = LIST_INTERVAL_S,
    ) -> None:
        self.source = source
        self.table = table
        self.random = random
        self.is_watcher = is_watcher
        self.interval_s = interval_s
        self.lists = 0
        self.list_failures = 0

    async def run(self) -> None:
        """Watch the platform while this node is a watcher, until cancelled."""
        while True:
            while not self.is_watcher():
                await trio.sleep(WATCHER_CHECK_INTERVAL_S)
            WATCHING.set(1)
            log.info("started watching instances and notices")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.poll_list)
                nursery.start_soon(self.run_notice_watch)
                while self.is_watcher():
                    await trio.sleep(WATCHER_CHECK_INTERVAL_S)
                nursery.cancel_scope.cancel()
            WATCHING.set(0)
            log.info("stopped watching; other nodes watch the platform")

    async def poll_list(self) -> None:
        """Poll the instance list.

        During a platform outage the table stays unchanged: outdated servers are
        better than none, and removed servers refuse connections.
        """
        backoff = Backoff(self.random)
        while True:
            servers = await self.source.instances()
            if isinstance(servers, PlatformFailed):
                self.list_failures += 1
                LIST_FAILURES.add(reason=servers.reason)
                log.warning(f"reading the instance list failed: {servers.reason}")
                await trio.sleep(backoff.next_delay_s())
                continue
            backoff.succeed()
            self.lists += 1
            self.table.apply_list(servers)
            await trio.sleep(self.interval_s * self.random.uniform(0.75, 1.25))

    async def run_notice_watch(self) -> None:
        """Watch reclaim notices, and reconnect when a watch ends.

        A new watch starts with the pending notices, so none is missed between two
        connections.
        """
        backoff = Backoff(self.random)
        while True:
            started_s = trio.current_time()
            async with self.source.watch_notices() as notices:
                async for notice in notices:
                    self.table.mark_leaving(
                        notice.instance, notice.deadline_unix_s, "notice"
                    )
                ended = notices.ended
            WATCH_ENDS.add(reason=ended)
            log.warning(f"notice watch ended: {ended}")
            if trio.current_time() - started_s >= STABLE_WATCH_S:
                backoff.succeed()
            await trio.sleep(backoff.next_delay_s())
