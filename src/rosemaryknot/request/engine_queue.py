"""Fair queueing of model requests in front of the engines."""

from collections.abc import Callable, Iterable

import trio

from rosemaryknot.process.server_load import ServerLoad
from rosemaryknot.request.service_queue import Place, ServiceQueue
from rosemaryknot.values.outcomes import NotRun

__all__ = ["EngineQueue", "engine_capacity", "fair_priority"]

RECHECK_S = 0.1
MAX_RANK = 8
DEFAULT_SLOTS = 32
LEAST_SHARE = 1 / 8


def fair_priority(priority: int, rank: int) -> int:
    """Return the engine priority of a customer's next request.

    Engines queue and pause by priority. The more requests a customer has there, the
    later the next one comes, so that a flood which fills all engines makes only
    itself wait.

    Parameters
    ----------
    priority : int
        0 for a short answer, 1 for a long one.
    rank : int
        From the request's `Place`.

    Returns
    -------
    priority : int
        Lower runs first.

    Examples
    --------
    >>> [fair_priority(0, rank) for rank in (0, 1, 2)], fair_priority(1, 0)
    ([0, 2, 4], 1)
    """
    return priority + 2 * min(MAX_RANK, rank)


def engine_capacity(loads: Iterable[ServerLoad]) -> float:
    """Return how many requests this entry may have at some engines.

    Parameters
    ----------
    loads : iterable of ServerLoad
        What is known of each engine.

    Returns
    -------
    capacity : float
        The slots that the other entries leave, but at least a share of all: an entry
        that came later would otherwise find every slot taken, and refilled before
        a report shows it free.
    """
    slots = left = 0
    for load in loads:
        own = load.report.slots if load.report else DEFAULT_SLOTS
        others = max(0.0, load.current_requests() - load.in_flight)
        slots += own
        left += max(0.0, own - others)
    return max(left, slots * LEAST_SHARE)


class EngineQueue:
    """Bounds what this entry has at the engines, and queues the rest fairly.

    An engine queues too, but without knowing whose request it is: what this entry
    sends beyond the engines' slots would wait there in the order of its arrival.

    Parameters
    ----------
    capacity : callable
        Returns how many requests of a service this entry may have at the engines.
    is_stopping : callable
        Tells whether the process stops.

    Attributes
    ----------
    services : dict of str to ServiceQueue
        Queues by service.
    """

    def __init__(
        self,
        capacity: Callable[[str], float],
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        self.capacity = capacity
        self.is_stopping = is_stopping
        self.services: dict[str, ServiceQueue] = {}

    def queue(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        queue = self.services.get(service)
        if queue is None:
            queue = ServiceQueue(lambda: self.capacity(service))
            self.services[service] = queue
        return queue

    async def enter(
        self,
        customer: str,
        service: str,
        cost: float,
        is_short: bool,
        deadline_s: float,
    ) -> Place | NotRun:
        """Wait for a place at the engines.

        Parameters
        ----------
        customer, service : str
            Whose request it is, and for which service.
        cost : float
            Tokens that it may take.
        is_short : bool
            Whether its answer is short; those of one customer go first.
        deadline_s : float
            When the caller gives it up, in trio time.

        Returns
        -------
        place : Place or NotRun
            The place, to be left; or the refusal with when to come back.
        """
        return await self.queue(service).enter(customer, cost, is_short, deadline_s)

    async def run(self) -> None:
        """Look for room that others made, until cancelled.

        What other entries have at the engines is known by load reports only, and
        nobody tells when one of theirs ends. When the process stops, what waits has
        not been accepted: its callers are told at once and go elsewhere.
        """
        while True:
            await trio.sleep(RECHECK_S)
            for queue in self.services.values():
                queue.give_up() if self.is_stopping() else queue.start_waiting()
