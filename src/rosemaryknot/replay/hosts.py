"""Simulated hosts, whose tasks can be frozen, thawed and killed together.

In a process that the operating system has stopped, no timer fires and no cleanup
runs, and all data that arrived meanwhile is available when it continues. Cancelling
tasks does not simulate this, because cancellation runs `finally` blocks. Therefore
each task of a host is wrapped so that it makes no step while its host is frozen. A
kill is a permanent freeze together with a reset of the host's connections.
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
    """Set of all tasks that run at one IP address.

    Parameters
    ----------
    network : MemoryNetwork
        The network as seen from this host.

    Attributes
    ----------
    is_frozen, is_dead : bool
        Whether its tasks are suspended, and whether permanently.
    """

    def __init__(self, network: MemoryNetwork) -> None:
        self.network = network
        self.is_frozen = False
        self.is_dead = False
        self.waiting: list[trio.lowlevel.Task] = []
        self.scope = trio.CancelScope()

    async def run(self, function: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Run a process on this host until it returns or the host is disposed of.

        Parameters
        ----------
        function : callable
            Async main function of the process.
        *args
            Arguments of the function.
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
        """Suspend all tasks of the host."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Resume the tasks from where they were suspended, unless the host is dead."""
        if not self.is_dead:
            self.resume_tasks()

    def resume_tasks(self) -> None:
        """Reschedule the suspended tasks."""
        self.is_frozen = False
        waiting, self.waiting = self.waiting, []
        for task in waiting:
            trio.lowlevel.reschedule(task)

    def kill(self) -> None:
        """Stop the host without any cleanup and reset its connections."""
        self.is_dead = True
        self.is_frozen = True
        self.network.kill_host(self.network.host)

    def dispose(self) -> None:
        """Cancel the tasks of the host; called at the end of a run."""
        self.scope.cancel()
        self.resume_tasks()

    async def wait_thawed(self) -> None:
        """Suspend the current task until the host is thawed or disposed of."""
        self.waiting.append(trio.lowlevel.current_task())

        def refuse_cancel(raise_cancel: Callable) -> trio.lowlevel.Abort:
            return trio.lowlevel.Abort.FAILED

        await trio.lowlevel.wait_task_rescheduled(refuse_cancel)


@types.coroutine
def drive_while_thawed(coroutine: Coroutine, host: Host) -> Any:
    """Drive a coroutine, making no step while its host is frozen."""
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
    """Wrap `drive_while_thawed` in a native coroutine, as trio requires."""
    return await drive_while_thawed(coroutine, host)


class HostInstrument(trio.abc.Instrument):
    """Trio instrument that makes the tasks of hosts freezable.

    Pass it to `trio.run`.
    """

    def task_spawned(self, task: trio.lowlevel.Task) -> None:
        """Wrap the coroutine of a new task that belongs to a host."""
        host = task.context.get(CURRENT_HOST)
        if host is not None:
            task.coro = freezable(task.coro, host)
