"""Requests that wait until a server of their service accepts requests again."""

import math
from collections import defaultdict
from dataclasses import dataclass, field

import trio

__all__ = ["PauseQueue", "Waiter"]

# Requests that look for a server again at once, in order. The others follow as servers
# respond, so that a long queue does not cost a choice per request and response.
MAX_WOKEN = 8


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits.

    Attributes
    ----------
    order : tuple of (int, float)
        Its priority, of which 0 is the highest, and its arrival, in trio time.
    due_s : float
        When a server may accept it at the latest, in trio time.
    is_due : trio.Event
        Set when it is to look for a server again.
    """

    order: tuple[int, float]
    due_s: float
    is_due: trio.Event = field(default_factory=trio.Event)


class PauseQueue:
    """Requests that wait, by service, woken in the order of their priority and arrival.

    Attributes
    ----------
    waiters : dict of str to list of Waiter
        Waiting requests by service.
    """

    def __init__(self) -> None:
        self.waiters: defaultdict[str, list[Waiter]] = defaultdict(list)
        self.signalled: set[str] = set()
        self.has_changed = trio.Event()

    async def wait(
        self, service: str, order: tuple[int, float], due_s: float, until_s: float
    ) -> bool:
        """Wait until a server may accept the request.

        Parameters
        ----------
        service : str
            Service of the request.
        order, due_s
            Attributes of the `Waiter`.
        until_s : float
            Longest wait, in trio time.

        Returns
        -------
        is_due : bool
            Whether the request is to look for a server again.
        """
        waiter = Waiter(order, due_s)
        self.waiters[service].append(waiter)
        self.has_changed.set()
        try:
            with trio.move_on_at(until_s):
                await waiter.is_due.wait()
        finally:
            self.waiters[service].remove(waiter)
            if not self.waiters[service]:
                del self.waiters[service]
        return waiter.is_due.is_set()

    def signal(self, service: str) -> None:
        """Wake requests of a service of which a server may accept more."""
        if service in self.waiters:
            self.signalled.add(service)
            self.has_changed.set()

    async def run(self) -> None:
        """Wake requests until cancelled."""
        while True:
            with trio.move_on_at(self.next_s()):
                await self.has_changed.wait()
            self.has_changed = trio.Event()
            signalled, self.signalled = self.signalled, set()
            for service in list(self.waiters):
                await self.wake(service, service in signalled)

    def next_s(self) -> float:
        """Return when the next request is due, in trio time."""
        due = (w.due_s for waiters in self.waiters.values() for w in waiters)
        return min(due, default=math.inf)

    async def wake(self, service: str, is_signalled: bool) -> None:
        """Wake the first requests of a service, one after the other.

        Each one has chosen its server when the next one runs.
        """
        now_s = trio.current_time()
        due = [w for w in self.waiters[service] if is_signalled or w.due_s <= now_s]
        due.sort(key=lambda waiter: waiter.order)
        for number, waiter in enumerate(due):
            if number < MAX_WOKEN:
                waiter.is_due.set()
                await trio.lowlevel.checkpoint()
            else:
                # Woken by the responses to those before it, or at the end of its wait.
                waiter.due_s = math.inf
