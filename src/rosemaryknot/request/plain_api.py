"""Callers' requests to plain services."""

import hashlib

import trio
from quart import Request

from rosemaryknot.connection.plain_client import passed_headers
from rosemaryknot.process.detached import Detached
from rosemaryknot.process.drain import Drain
from rosemaryknot.request.accounts import Charge
from rosemaryknot.request.admission import Admission, Slot
from rosemaryknot.request.arrivals import Arrival
from rosemaryknot.request.at_most_once import AtMostOnce
from rosemaryknot.request.budget import EntryBudgets
from rosemaryknot.request.http_input import (
    read_attempt,
    read_body,
    read_key,
    read_timeout_s,
    service_path,
)
from rosemaryknot.request.plain import PlainRelay
from rosemaryknot.values.outcomes import NotRun, Outcome, Reason, Unknown
from rosemaryknot.values.requests import PlainRequest
from rosemaryknot.version.view import Service

__all__ = ["PlainApi", "refused_input"]

DIGEST_BYTES = 16
PRIVATE_HEADERS = frozenset(("authorization", "remote-addr"))


def refused_input(request: Request, refusal: NotRun) -> NotRun | Unknown:
    """Return what may be said when a request is refused for its form.

    "Not run" speaks of the id. A malformed second attempt is refused here, while the
    first one may have run: then "unknown" is what can be said. The id is not closed,
    so that the caller may send the request again in the right form.

    Parameters
    ----------
    request : quart.Request
        The request.
    refusal : NotRun
        Why it is refused.

    Returns
    -------
    outcome : NotRun or Unknown
        With the reason of the refusal.
    """
    has_key = bool(request.headers.get("Idempotency-Key"))
    if not has_key or read_attempt(request) == 1:
        return refusal
    detail = f"{refusal.detail}; whether an earlier attempt ran is not known"
    return Unknown(refusal.reason, detail)


def body_digest(request: PlainRequest) -> bytes:
    """Return the digest that tells a reused key from a repeat."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


class PlainApi:
    """Takes requests to plain services from their head to their outcome.

    Parameters
    ----------
    admission : Admission
        Which requests may start.
    drain : Drain
        Whether the process is stopping.
    detached : Detached
        Where at-most-once requests run.
    relay : PlainRelay
        Sends requests.
    at_most_once : AtMostOnce
        Keeps what is not idempotent from running twice.
    body_timeout_s : float
        Bound on the wait for a body, in seconds.
    budgets : EntryBudgets
        What the customers may use over all instances.
    """

    def __init__(
        self,
        admission: Admission,
        drain: Drain,
        detached: Detached,
        relay: PlainRelay,
        at_most_once: AtMostOnce,
        body_timeout_s: float,
        budgets: EntryBudgets,
    ) -> None:
        self.admission = admission
        self.drain = drain
        self.detached = detached
        self.relay = relay
        self.at_most_once = at_most_once
        self.body_timeout_s = body_timeout_s
        self.budgets = budgets

    async def handle(self, request: Request, arrival: Arrival, name: str) -> Outcome:
        """Handle one request.

        Parameters
        ----------
        request : quart.Request
            The HTTP request.
        arrival : Arrival
            Whose it is.
        name : str
            Service that the path names.

        Returns
        -------
        outcome : Outcome
            What the caller is told.
        """
        service = arrival.view.services.get(name)
        if service is None or service.is_model:
            detail = "there is no such plain service"
            return refused_input(request, NotRun(Reason.UNKNOWN_SERVICE, detail=detail))
        plain = read_head(request, arrival, service)
        if isinstance(plain, NotRun):
            return refused_input(request, plain)
        stopping = self.drain.refusal()
        if stopping is not None:
            return await self.refuse(plain, stopping)
        slot = await self.admit(plain, arrival)
        if isinstance(slot, NotRun):
            return await self.refuse(plain, slot)
        return await self.run_admitted(request, plain, slot)

    async def admit(self, plain: PlainRequest, arrival: Arrival) -> Slot | NotRun:
        """Return the request's slot with its charge, or why it is refused."""
        limit = arrival.customer.limit_for(plain.service)
        slot = await self.admission.admit(
            plain.customer, plain.service, limit.concurrent_requests, plain.deadline_s
        )
        if isinstance(slot, NotRun):
            return slot
        charge = None
        try:
            charge = await self.budgets.acquire(
                plain.customer, plain.service, limit, 0.0
            )
        finally:
            if not isinstance(charge, Charge):
                slot.release()
        if isinstance(charge, Charge):
            slot.charge = charge
            return slot
        return charge

    async def run_admitted(
        self, request: Request, plain: PlainRequest, slot: Slot
    ) -> Outcome:
        """Read the body and run the request; the slot is given back at its end."""
        is_handed_over = False
        try:
            left_s = plain.deadline_s - trio.current_time()
            body = await read_body(request, min(self.body_timeout_s, left_s))
            if isinstance(body, NotRun):
                return refused_input(request, body)
            plain.body = body
            plain.body_digest = body_digest(plain)
            if not plain.key:
                return await self.relay.run_idempotent(plain)
            is_handed_over = True
        finally:
            if not is_handed_over:
                slot.release()
        return await self.detached.run(plain.request_id, self.run_once, plain, slot)

    async def run_once(self, plain: PlainRequest, slot: Slot) -> Outcome:
        """Run a request at most once."""
        try:
            return await self.at_most_once.run(
                plain, lambda: self.relay.send_once(plain)
            )
        finally:
            slot.release()

    async def refuse(self, plain: PlainRequest, refusal: NotRun) -> Outcome:
        """Refuse a request so that "not run" is true of its id."""
        if not plain.key:
            return refusal
        outcome = await self.at_most_once.refuse(
            plain, refusal.reason, refusal.retry_after_s
        )
        if isinstance(outcome, NotRun):
            details = (refusal.detail, outcome.detail)
            outcome.detail = "; ".join(detail for detail in details if detail)
        return outcome


def read_head(
    request: Request, arrival: Arrival, service: Service
) -> PlainRequest | NotRun:
    """Return the request without its body, or what is wrong with its head."""
    path = service_path(request)
    key = read_key(request)
    attempt = read_attempt(request)
    timeout_s = read_timeout_s(request, service.timeout_s)
    for value in (path, key, attempt, timeout_s):
        if isinstance(value, NotRun):
            return value
    is_idempotent = service.is_idempotent(request.method, path)
    if not is_idempotent and not key:
        detail = "this call is not idempotent and needs an Idempotency-Key"
        return NotRun(Reason.BAD_REQUEST, detail=detail)
    return PlainRequest(
        request_id=arrival.request_id,
        customer=arrival.customer.name,
        service=service.name,
        method=request.method,
        path=path,
        headers=callers_headers(request),
        body=b"",
        key="" if is_idempotent else key,
        attempt=attempt,
        body_digest=b"",
        arrived_s=arrival.arrived_s,
        deadline_s=arrival.arrived_s + timeout_s,
    )


def callers_headers(request: Request) -> list[tuple[str, str]]:
    """Return the headers that the service gets; the API key stays here."""
    return [
        (name, value)
        for name, value in passed_headers(list(request.headers.items()))
        if name.lower() not in PRIVATE_HEADERS
    ]
