"""Background tasks: a failure of one must not end the process with all it serves."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import trio

from rosemaryknot.process.logs import fault_fields, logger
from rosemaryknot.process.metrics import counter

__all__ = ["BackgroundTasks", "supervise"]

# Pause before a task that failed starts again; doubled with each failure in a row.
MIN_RESTART_PAUSE_S = 0.1
MAX_RESTART_PAUSE_S = 5.0
# A task that has run for this long has recovered.
RECOVERED_S = 10.0

TASK_FAILURES = counter("task_failures_total", "Failures of background tasks by task.")

log = logger("tasks")

Task = Callable[..., Awaitable[object]]


async def supervise(task: Task, *args: object) -> None:
    """Run a task, and start it again with a growing pause whenever it fails.

    An exception would otherwise end the process with the responses in progress, and
    then each other one that gets what caused it.

    Parameters
    ----------
    task : callable
        Async function that can be started again after a failure.
    *args : object
        Its arguments.
    """
    pause_s = MIN_RESTART_PAUSE_S
    while True:
        started_s = trio.current_time()
        try:
            await task(*args)
            return
        except Exception as error:
            if trio.current_time() - started_s >= RECOVERED_S:
                pause_s = MIN_RESTART_PAUSE_S
            record_failure(task, error, restart_s=pause_s)
        await trio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_RESTART_PAUSE_S)


async def run_once(task: Task, *args: object) -> None:
    """Run a task that nobody waits for; log and count its failure."""
    try:
        await task(*args)
    except Exception as error:
        record_failure(task, error, restart_s=None)


def record_failure(task: Task, error: Exception, restart_s: float | None) -> None:
    """Log and count the failure of a task, which starts again after a time or never."""
    name = getattr(task, "__qualname__", type(task).__name__)
    TASK_FAILURES.add(task=name)
    log.error("task failed", task=name, restart_s=restart_s, **fault_fields(error))


class BackgroundTasks:
    """Nursery of a component that starts no more tasks once it is cancelled.

    Components that are cancelled together end in any order. One that still runs may
    need a task of another that has ended, whose nursery raises an error then, and that
    would end the process with the responses in progress.

    Attributes
    ----------
    nursery : trio.Nursery or None
        Nursery of the tasks; None while no task can be started.
    """

    def __init__(self) -> None:
        self.nursery: trio.Nursery | None = None

    @property
    def is_open(self) -> bool:
        """Whether tasks can be started."""
        return self.nursery is not None

    @asynccontextmanager
    async def open(self) -> AsyncIterator[trio.Nursery]:
        """Let tasks be started while the block runs, and wait for them afterwards."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            try:
                yield nursery
            finally:
                self.nursery = None

    def start_soon(
        self, function: Callable[..., Awaitable[object]], *args: object
    ) -> bool:
        """Start a task; return whether it was started.

        Its failure is logged and counted, and ends nothing else.
        """
        if self.nursery is None:
            return False
        self.nursery.start_soon(run_once, function, *args)
        return True
