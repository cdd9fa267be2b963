"""Background tasks of a component, started by others while it runs."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import trio

__all__ = ["BackgroundTasks"]


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
        """Start a task; return whether it was started."""
        if self.nursery is None:
            return False
        self.nursery.start_soon(function, *args)
        return True
