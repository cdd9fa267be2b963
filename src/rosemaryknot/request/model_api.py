"""Acceptance of model requests from callers, and lookup of accepted requests."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio
from quart import Request

from rosemaryknot.process.drain import Drain
from rosemaryknot.process.logs import logger
from rosemaryknot.request.admission import Admission, Slot
from rosemaryknot.request.arrivals import Arrival, record_outcome
from rosemaryknot.request.generation_table import GenerationTable
from rosemaryknot.request.generations import EventSource, Generation
from rosemaryknot.request.http_input import (
    read_body,
    read_timeout_s,
    wants_async,
)
from rosemaryknot.request.model_admission import ModelAdmission, used_tokens
from rosemaryknot.request.model_input import (
    model_request_of,
    model_service,
    parse_model_body,
)
from rosemaryknot.values.outcomes import NotRun, Reason, Running, Unknown
from rosemaryknot.values.requests import ModelRequest

__all__ = ["Finder", "ModelApi", "ModelStarter"]

UNRESOLVED_SERVICE = ""
"""Service name used until the body, which names the service, has been read."""

log = logger("request")

Finder = Callable[[str, str], Awaitable[EventSource | Unknown | None]]
"""Lookup in other processes of a request, by customer name and request id."""


class ModelStarter(Protocol):
    """The part of the model relay that the API uses."""

    async def start(self, request: ModelRequest) -> Generation | NotRun:
        """Accept and start a request, or return the reason for a refusal."""


class ModelApi:
    """Handler of model requests up to an accepted generation.

    Parameters
    ----------
    admission : Admission
        Admission control.
    drain : Drain
        Draining state of the process.
    nursery : trio.Nursery
        Nursery that stays open until the process ends.
    relay : ModelStarter
        Runs generations.
    generations : GenerationTable
        Accepted requests of this process.
    body_timeout_s : float
        Timeout for receiving a body, in seconds.
    model_admission : ModelAdmission
        Token budgets of the customers, and the fair queue in front of the engines.

    Attributes
    ----------
    finders : list of callable
        Lookups of generations that another process holds; called in order until one
        returns a result.
    """

    def __init__(
        self,
        admission: Admission,
        drain: Drain,
        nursery: trio.Nursery,
        relay: ModelStarter,
        generations: GenerationTable,
        body_timeout_s: float,
        model_admission: ModelAdmission,
    ) -> None:
        self.admission = admission
        self.drain = drain
        self.nursery = nursery
        self.relay = relay
        self.generations = generations
        self.body_timeout_s = body_timeout_s
        self.model_admission = model_admission
        self.finders: list[Finder] = []

    async def accept(self, request: Request, arrival: Arrival) -> Generation | NotRun:
        """Accept one request.

        Parameters
        ----------
        request : quart.Request
            The HTTP request.
        arrival : Arrival
            Arrival data, with the customer.

        Returns
        -------
        generation : Generation or NotRun
            The running generation, or the reason for the refusal.
        """
        drain_refusal = self.drain.refusal()
        if drain_refusal is not None:
            return drain_refusal
        services = arrival.view.services.values()
        max_timeout_s = max((s.timeout_s for s in services), default=0.0)
        timeout_s = read_timeout_s(request, max_timeout_s)
        if isinstance(timeout_s, NotRun):
            return timeout_s
        deadline_s = arrival.arrived_s + timeout_s
        # The concurrency limit depends on the service; `start` checks it once the body
        # has been read.
        slot = await self.admission.admit(
            arrival.customer.name, UNRESOLVED_SERVICE, float("inf"), deadline_s
        )
        if isinstance(slot, NotRun):
            return slot
        is_handed_over = False
        try:
            started = await self.start(request, arrival, slot, timeout_s)
            if isinstance(started, Generation):
                self.nursery.start_soon(self.hold_slot, started, slot)
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
        refusal = await self.model_admission.admit(model_request, limit, slot)
        if refusal is not None:
            return refusal
        return await self.relay.start(model_request)

    async def hold_slot(self, generation: Generation, slot: Slot) -> None:
        """Hold the slot until a generation ends, and record its outcome.

        The slot is not released at the end of the connection, since the caller may
        disconnect and retrieve the response later.
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

    async def find(self, arrival: Arrival, request_id: str) -> EventSource | Unknown:
        """Find an accepted request of the customer.

        Parameters
        ----------
        arrival : Arrival
            Arrival data of the retrieval, with the customer.
        request_id : str
            Id of the request to retrieve.

        Returns
        -------
        generation : EventSource or Unknown
            The request; `Unknown` if this customer has no such request.
        """
        customer = arrival.customer.name
        found = self.generations.find(customer, request_id)
        if found is not None and isinstance(found.outcome, Running):
            # Another entry has adopted the request; the local generation is obsolete.
            found = None
        for finder in self.finders:
            if found is not None:
                break
            found = await finder(customer, request_id)
        if found is None:
            return Unknown(Reason.UNKNOWN_REQUEST, "no such request is known here")
        return found
