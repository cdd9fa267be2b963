"""Fair queueing of model requests for the engines of backend servers."""

from collections.abc import Callable, Iterable

import trio

from rosemaryknot.process.server_load import ServerLoad
from rosemaryknot.request.service_queue import EnginePermit, ServiceQueue
from rosemaryknot.values.outcomes import NotRun

__all__ = ["EngineQueue", "engine_capacity", "fair_priority"]

RECHECK_INTERVAL_S = 0.1
MAX_USAGE_LEVEL = 8
# Number of slots assumed for an engine that has not sent a load report.
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
        Priority within one customer's requests: 0 for a short response, 1 for a long
        one.
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
    """Return the number of requests that this entry may have at the given engines.

    Parameters
    ----------
    loads : iterable of ServerLoad
        Load of each engine, as known to this process.

    Returns
    -------
    capacity : float
        Number of slots that other entries do not use, but at least
        `MIN_CAPACITY_SHARE` of all slots. Without this minimum, an entry that starts
        after the others would get no slot: all are in use, and the other entries
        acquire each freed slot again before a load report shows it as free.
    """
    total_slots = free_slots = 0
    for load in loads:
        engine_slots = load.report.slots if load.report else DEFAULT_SLOTS
        other_requests = max(0.0, load.current_requests() - load.in_flight)
        total_slots += engine_slots
        free_slots += max(0.0, engine_slots - other_requests)
    return max(free_slots, total_slots * MIN_CAPACITY_SHARE)


class EngineQueue:
    """Limits this entry's requests at the engines; queues the rest fairly by customer.

    Requests beyond the engines' slots are queued here, since an engine would queue them
    in the order of arrival: it does not know which customer sent a request.

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
        """Return the queue of a service; create it on first use."""
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
            The permit, to be released when the request ends; or the refusal, with the
            time after which to retry.
        """
        return await self.queue(service).acquire(customer, cost, is_short, deadline_s)

    async def run(self) -> None:
        """Check periodically whether queued requests can start, until cancelled.

        Requests of other entries are known from the engines' load reports only. No
        message reports the end of a single request, so the free capacity is polled.
        When the process shuts down, queued requests have not been accepted yet: they
        are refused immediately so that callers can retry elsewhere.
        """
        while True:
            await trio.sleep(RECHECK_INTERVAL_S)
            for queue in self.services.values():
                queue.refuse_all() if self.is_stopping() else queue.start_waiting()
