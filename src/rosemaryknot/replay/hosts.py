"""Hosts of one run: processes that can be frozen, thawed and killed as a whole.

A process that the operating system stops does nothing at all: no timer fires, no
cleanup runs, and what has arrived meanwhile is all there at once when it goes on.
Cancelling tasks cannot show that, since cancellation runs `finally` blocks. Here
each task of a host is wrapped so that it takes no step while its host is frozen;
a kill is a freeze for good together with the reset of the host's connections.
"""

import types
from collections.abc import Awaitable, Callable, Coroutine
from contextvars import ContextVar
from typing import Any

import trio

from rosemaryknot.connection.memory_network import MemoryNetwork

__all__ = ["Host", "HostInstrument"]

CURRENT_HOST: ContextVar["Host | None"] = ContextVar("current_host", default=None)


class Host:
    """Everything that runs at one IP number.

    Parameters
    ----------
    network : MemoryNetwork
        The network as seen from this host.

    Attributes
    ----------
    is_frozen, is_dead : bool
        Whether its tasks stand still, and whether for good.
    """

    def __init__(self, network: MemoryNetwork) -> None:
        self.network = network
        self.is_frozen = False
        self.is_dead = False
        self.waiting: list[trio.lowlevel.Task] = []
        self.scope = trio.CancelScope()

    async def run(self, function: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Run a process on this host until it ends or the run is over.

        Parameters
        ----------
        function : callable
            The process's async main function.
        *args
            Its arguments.
        """
        token = CURRENT_HOST.set(self)
        try:
            with self.scope:
                # Only tasks spawned after the variable is set belong to the host.
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(function, *args)
        finally:
            CURRENT_HOST.reset(token)

    def freeze(self) -> None:
        """Let no task of the host take a step."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Let the tasks go on from where they stood, unless the host is dead."""
        if not self.is_dead:
            self.release()

    def release(self) -> None:
        """Reschedule the tasks that wait."""
        self.is_frozen = False
        waiting, self.waiting = self.waiting, []
        for task in waiting:
            trio.lowlevel.reschedule(task)

    def kill(self) -> None:
        """End the host without any cleanup; its connections are reset."""
        self.is_dead = True
        self.is_frozen = True
        self.network.kill_host(self.network.host)

    def dispose(self) -> None:
        """Let the tasks of the host end; for the end of a run."""
        self.scope.cancel()
        self.release()

    async def wait_thawed(self) -> None:
        """Park the current task until the host goes on."""
        self.waiting.append(trio.lowlevel.current_task())

        def refuse_cancel(raise_cancel: Callable) -> trio.lowlevel.Abort:
            return trio.lowlevel.Abort.FAILED

        await trio.lowlevel.wait_task_rescheduled(refuse_cancel)


@types.coroutine
def steps(coroutine: Coroutine, host: Host) -> Any:
    """Drive a coroutine, taking no step while its host is frozen."""
    value = None
    while True:
        while host.is_frozen:
            yield from host.wait_thawed().__await__()
        try:
            trap = coroutine.send(value)
        except StopIteration as stop:
            return stop.value
        value = yield trap


async def freezable(coroutine: Coroutine, host: Host) -> Any:
    """Return what `steps` returns; trio wants tasks to be native coroutines."""
    return await steps(coroutine, host)


class HostInstrument(trio.abc.Instrument):
    """Makes the tasks of hosts freezable; pass it to `trio.run`."""

    def task_spawned(self, task: trio.lowlevel.Task) -> None:
        """Wrap the new task's coroutine when the task belongs to a host."""
        host = task.context.get(CURRENT_HOST)
        if host is not None:
            task.coro = freezable(task.coro, host)
