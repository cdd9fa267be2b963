"""Callers' requests to language models, and their pick-up."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio
from quart import Request

from rosemaryknot.process.drain import Drain
from rosemaryknot.process.logs import logger
from rosemaryknot.request.admission import Admission, Slot
from rosemaryknot.request.arrivals import Arrival, record_outcome
from rosemaryknot.request.generation_table import GenerationTable
from rosemaryknot.request.generations import Followed, Generation
from rosemaryknot.request.http_input import (
    read_body,
    read_timeout_s,
    wants_async,
)
from rosemaryknot.request.model_input import (
    model_request_of,
    model_service,
    parse_model_body,
)
from rosemaryknot.request.model_share import ModelShare, used_tokens
from rosemaryknot.values.outcomes import NotRun, Reason, Running, Unknown
from rosemaryknot.values.requests import ModelRequest

__all__ = ["Finder", "ModelApi", "ModelStarter"]

UNNAMED = ""
"""Service of a request whose body has not been read yet."""

log = logger("request")

Finder = Callable[[str, str], Awaitable[Followed | Unknown | None]]


class ModelStarter(Protocol):
    """What is needed of the relay of model streams."""

    async def start(self, request: ModelRequest) -> Generation | NotRun:
        """Accept a request and start it, or say why not."""


class ModelApi:
    """Takes model requests from their head to an accepted generation.

    Parameters
    ----------
    admission : Admission
        Which requests may start.
    drain : Drain
        Whether the process is stopping.
    nursery : trio.Nursery
        Lives as long as the process.
    relay : ModelStarter
        Runs generations.
    generations : GenerationTable
        Accepted requests of this process.
    body_timeout_s : float
        Bound on the wait for a body, in seconds.
    share : ModelShare
        What the customers may use, and whose turn it is at the engines.

    Attributes
    ----------
    finders : list of callable
        Async functions of customer and request id that look for a generation which
        this process does not hold; asked in order.
    """

    def __init__(
        self,
        admission: Admission,
        drain: Drain,
        nursery: trio.Nursery,
        relay: ModelStarter,
        generations: GenerationTable,
        body_timeout_s: float,
        share: ModelShare,
    ) -> None:
        self.admission = admission
        self.drain = drain
        self.nursery = nursery
        self.relay = relay
        self.generations = generations
        self.body_timeout_s = body_timeout_s
        self.share = share
        self.finders: list[Finder] = []

    async def accept(self, request: Request, arrival: Arrival) -> Generation | NotRun:
        """Accept one request.

        Parameters
        ----------
        request : quart.Request
            The HTTP request.
        arrival : Arrival
            Whose it is.

        Returns
        -------
        generation : Generation or NotRun
            The running generation, or why the request is refused.
        """
        stopping = self.drain.refusal()
        if stopping is not None:
            return stopping
        services = arrival.view.services.values()
        longest_s = max((s.timeout_s for s in services), default=0.0)
        timeout_s = read_timeout_s(request, longest_s)
        if isinstance(timeout_s, NotRun):
            return timeout_s
        deadline_s = arrival.arrived_s + timeout_s
        slot = await self.admission.admit(
            arrival.customer.name, UNNAMED, float("inf"), deadline_s
        )
        if isinstance(slot, NotRun):
            return slot
        is_handed_over = False
        try:
            started = await self.start(request, arrival, slot, timeout_s)
            if isinstance(started, Generation):
                self.nursery.start_soon(self.hold, started, slot)
                is_handed_over = True
            return started
        finally:
            if not is_handed_over:
                slot.release()

    async def start(
        self, request: Request, arrival: Arrival, slot: Slot, timeout_s: float
    ) -> Generation | NotRun:
        """Read the body and start the generation."""
        body = await read_body(request, min(self.body_timeout_s, timeout_s))
        document = body if isinstance(body, NotRun) else parse_model_body(body)
        if isinstance(document, NotRun):
            return document
        service = model_service(document, arrival.view)
        if isinstance(service, NotRun):
            return service
        limit = arrival.customer.limit_for(service.name)
        refusal = self.admission.assign(slot, service.name, limit.concurrent_requests)
        if refusal is not None:
            return refusal
        model_request = model_request_of(
            document,
            service,
            arrival.request_id,
            arrival.customer.name,
            arrival.arrived_s,
            arrival.arrived_s + min(timeout_s, service.timeout_s),
        )
        if isinstance(model_request, NotRun):
            return model_request
        model_request.is_async = wants_async(request)
        refusal = await self.share.admit(model_request, limit, slot)
        if refusal is not None:
            return refusal
        return await self.relay.start(model_request)

    async def hold(self, generation: Generation, slot: Slot) -> None:
        """Hold the slot to the end of a generation, and note its outcome.

        The caller may hang up and pick the answer up later, so the connection's end
        says nothing.
        """
        request = generation.request
        log.info(
            "accepted",
            request=request.request_id,
            customer=request.customer,
            service=request.service,
            max_tokens=request.max_tokens,
        )
        with self.drain:
            outcome = await generation.wait_finished()
            slot.charge.settle(used_tokens(generation, slot.charge))
            slot.release()
        record_outcome(
            request.request_id,
            request.customer,
            request.service,
            request.arrived_s,
            outcome,
        )

    async def find(self, arrival: Arrival, request_id: str) -> Followed | Unknown:
        """Find an accepted request of the customer.

        Parameters
        ----------
        arrival : Arrival
            Whose the pick-up is.
        request_id : str
            Id of the request that is picked up.

        Returns
        -------
        generation : Followed or Unknown
            Another customer's request looks as if it did not exist.
        """
        customer = arrival.customer.name
        found = self.generations.find(customer, request_id)
        if found is not None and isinstance(found.outcome, Running):
            # Another entry goes on with it.
            found = None
        for finder in self.finders:
            if found is not None:
                break
            found = await finder(customer, request_id)
        if found is None:
            return Unknown(Reason.UNKNOWN_REQUEST, "no such request is known here")
        return found
