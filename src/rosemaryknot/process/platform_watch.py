"""Tasks that keep the table of backend servers in step with the platform."""

from collections.abc import Callable
from random import Random

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.values.platform import InstanceSource, PlatformFailed

__all__ = ["Backoff", "PlatformWatch"]

INTERVAL_S = 2.0
RECHECK_S = 1.0
STABLE_S = 5.0
FIRST_DELAY_S = 0.2
MAX_DELAY_S = 5.0

LIST_FAILURES = counter("instance_list_failures_total", "Instance lists not read.")
WATCH_ENDS = counter("notice_watch_ends_total", "Notice watches that ended.")
WATCHING = gauge("platform_watching", "Whether this node watches the platform.")

log = logger("platform")


class Backoff:
    """Delays that grow with each failure in a row, with full jitter.

    Nodes that lose the platform at the same moment would come back to it at the
    same moment, again and again; a delay drawn from the whole range spreads them.

    Parameters
    ----------
    random : Random
        Seeded by the caller.
    first_s, max_s : float
        Bound of the first delay and of every delay, in seconds.

    Attributes
    ----------
    failures : int
        Failures in a row.
    """

    def __init__(
        self,
        random: Random,
        first_s: float = FIRST_DELAY_S,
        max_s: float = MAX_DELAY_S,
    ) -> None:
        self.random = random
        self.first_s = first_s
        self.max_s = max_s
        self.failures = 0

    def succeed(self) -> None:
        """Start again from the first delay."""
        self.failures = 0

    def next_delay_s(self) -> float:
        """Count a failure and return how long to wait, in seconds."""
        bound = min(self.max_s, self.first_s * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return self.random.uniform(0.0, bound)


class PlatformWatch:
    """Polls the instance list and follows reclaim notices.

    A few nodes of each zone do so; the others learn by peer messages, so that the
    platform's calls don't grow with the fleet.

    Parameters
    ----------
    source : InstanceSource
        The platform.
    table : ServerTable
        Where the findings go.
    random : Random
        For jitter.
    is_watcher : callable
        Tells whether this node watches now; asked each second.
    interval_s : float
        Time between two lists, in seconds.

    Attributes
    ----------
    lists, list_failures : int
        Counters.
    """

    def __init__(
        self,
        source: InstanceSource,
        table: ServerTable,
        random: Random,
        is_watcher: Callable[[], bool] = lambda: True,
        interval_s: float = INTERVAL_S,
    ) -> None:
        self.source = source
        self.table = table
        self.random = random
        self.is_watcher = is_watcher
        self.interval_s = interval_s
        self.lists = 0
        self.list_failures = 0

    async def run(self) -> None:
        """Watch for as long as this node is a watcher, until cancelled."""
        while True:
            while not self.is_watcher():
                await trio.sleep(RECHECK_S)
            WATCHING.set(1)
            log.info("watching instances and notices")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.poll_list)
                nursery.start_soon(self.follow_notices)
                while self.is_watcher():
                    await trio.sleep(RECHECK_S)
                nursery.cancel_scope.cancel()
            WATCHING.set(0)
            log.info("left watching to other nodes")

    async def poll_list(self) -> None:
        """Read the instance list again and again.

        While the platform is out the table stays as it is: old servers are better
        than none, and those that have gone refuse the connection.
        """
        backoff = Backoff(self.random)
        while True:
            servers = await self.source.instances()
            if isinstance(servers, PlatformFailed):
                self.list_failures += 1
                LIST_FAILURES.add(reason=servers.reason)
                log.warning(f"no instance list: {servers.reason}")
                await trio.sleep(backoff.next_delay_s())
                continue
            backoff.succeed()
            self.lists += 1
            self.table.apply_list(servers)
            await trio.sleep(self.interval_s * self.random.uniform(0.75, 1.25))

    async def follow_notices(self) -> None:
        """Follow the notices over one connection after the other.

        A new watch starts with the notices that are open, so none is missed
        between two connections.
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
            if trio.current_time() - started_s >= STABLE_S:
                backoff.succeed()
            await trio.sleep(backoff.next_delay_s())
