"""Fair queueing of model requests in front of the engines."""

from collections.abc import Callable, Iterable

import trio

from rosemaryknot.process.server_load import ServerLoad
from rosemaryknot.request.service_queue import EnginePermit, ServiceQueue
from rosemaryknot.values.outcomes import NotRun

__all__ = ["EngineQueue", "engine_capacity", "fair_priority"]

RECHECK_INTERVAL_S = 0.1
MAX_USAGE_LEVEL = 8
# Slots that are assumed of an engine without a load report.
DEFAULT_SLOTS = 32
# See `engine_capacity`.
MIN_CAPACITY_SHARE = 1 / 8


def fair_priority(priority: int, usage_level: int) -> int:
    """Return the engine priority of a customer's next request.

    Engines order their queues and preempt requests by priority. The more requests a
    customer has at the engines, the lower the priority of the next one, so that a
    customer that fills all engines delays only its own requests.

    Parameters
    ----------
    priority : int
        0 for a short response, 1 for a long one.
    usage_level : int
        Usage level of the request's `EnginePermit`.

    Returns
    -------
    priority : int
        Engine priority; lower values run first.

    Examples
    --------
    >>> [fair_priority(0, level) for level in (0, 1, 2)], fair_priority(1, 0)
    ([0, 2, 4], 1)
    """
    return priority + 2 * min(MAX_USAGE_LEVEL, usage_level)


def engine_capacity(loads: Iterable[ServerLoad]) -> float:
    """Return the number of requests that this entry may have at some engines.

    Parameters
    ----------
    loads : iterable of ServerLoad
        Known load of each engine.

    Returns
    -------
    capacity : float
        The slots that other entries do not use, but at least `MIN_CAPACITY_SHARE` of
        all slots. Without this minimum, an entry that starts later would find every
        slot in use, and each freed slot acquired again before a load report shows it
        as free.
    """
    slots = free = 0
    for load in loads:
        own = load.report.slots if load.report else DEFAULT_SLOTS
        others = max(0.0, load.current_requests() - load.in_flight)
        slots += own
        free += max(0.0, own - others)
    return max(free, slots * MIN_CAPACITY_SHARE)


class EngineQueue:
    """Limit on this entry's requests at the engines, with fair queues for the rest.

    Engines queue requests too, but do not know the customer: requests sent beyond the
    engines' slots would wait there in the order of their arrival.

    Parameters
    ----------
    capacity : callable
        Returns the number of requests of a service that this entry may have at the
        engines.
    is_stopping : callable
        Returns whether the process is shutting down.

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

    async def acquire(
        self,
        customer: str,
        service: str,
        cost: float,
        is_short: bool,
        deadline_s: float,
    ) -> EnginePermit | NotRun:
        """Wait for a permit to send a request to an engine.

        Parameters
        ----------
        customer, service : str
            Customer that sent the request, and the requested service.
        cost : float
            Maximum number of tokens of the request.
        is_short : bool
            Whether its response is short; within one customer's requests, those with
            short responses start first.
        deadline_s : float
            Deadline of the request, in trio time.

        Returns
        -------
        permit : EnginePermit or NotRun
            The permit, which the caller must release; or the refusal with the time
            after which to retry.
        """
        return await self.queue(service).acquire(customer, cost, is_short, deadline_s)

    async def run(self) -> None:
        """Start waiting requests as other entries free capacity, until cancelled.

        The requests of other entries at the engines are known from load reports only,
        and no message announces the end of one of them, so the capacity is checked
        periodically. When the process shuts down, waiting requests have not been
        accepted yet: they are refused immediately so that callers can retry elsewhere.
        """
        while True:
            await trio.sleep(RECHECK_INTERVAL_S)
            for queue in self.services.values():
                queue.refuse_all() if self.is_stopping() else queue.start_waiting()
