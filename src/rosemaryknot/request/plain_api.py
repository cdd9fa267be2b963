"""Handling of callers' requests to plain services."""

import hashlib

import trio
from quart import Request

from rosemaryknot.connection.plain_client import end_to_end_headers
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

__all__ = ["PlainApi", "input_refusal"]

DIGEST_BYTES = 16
PRIVATE_HEADERS = frozenset(("authorization", "remote-addr"))


def input_refusal(request: Request, refusal: NotRun) -> NotRun | Unknown:
    """Return the outcome of a request that is refused as malformed.

    "Not run" refers to all attempts with the same id. If a malformed second attempt is
    refused, the first one may have run, so the outcome is "unknown". The id is not
    closed, so that the caller can repeat the request in the correct form.

    Parameters
    ----------
    request : quart.Request
        The request.
    refusal : NotRun
        Reason for the refusal.

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
    """Return a digest that distinguishes a repeat from another use of its key."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


class PlainApi:
    """Handler of requests to plain services.

    Parameters
    ----------
    admission : Admission
        Admission control.
    drain : Drain
        Draining state of the process.
    detached : Detached
        Runs at-most-once requests independently of the caller's connection.
    relay : PlainRelay
        Sends requests to servers.
    at_most_once : AtMostOnce
        Prevents requests that are not idempotent from running twice.
    body_timeout_s : float
        Timeout for receiving a body, in seconds.
    budgets : EntryBudgets
        Budgets of the customers across all instances.
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
            Arrival data, with the customer.
        name : str
            Name of the service, from the path.

        Returns
        -------
        outcome : Outcome
            Outcome to report to the caller.
        """
        service = arrival.view.services.get(name)
        if service is None or service.is_model:
            detail = "there is no such plain service"
            return input_refusal(request, NotRun(Reason.UNKNOWN_SERVICE, detail=detail))
        plain = read_head(request, arrival, service)
        if isinstance(plain, NotRun):
            return input_refusal(request, plain)
        stopping = self.drain.refusal()
        if stopping is not None:
            return await self.refuse(plain, stopping)
        slot = await self.admit(plain, arrival)
        if isinstance(slot, NotRun):
            return await self.refuse(plain, slot)
        return await self.run_admitted(request, plain, slot)

    async def admit(self, plain: PlainRequest, arrival: Arrival) -> Slot | NotRun:
        """Return the slot and charge of a request, or the reason for a refusal."""
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
        """Read the body and run the request; release the slot at the end."""
        is_handed_over = False
        try:
            remaining_s = plain.deadline_s - trio.current_time()
            body = await read_body(request, min(self.body_timeout_s, remaining_s))
            if isinstance(body, NotRun):
                return input_refusal(request, body)
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
        """Refuse a request; with a key, "not run" must hold for all its attempts."""
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
    """Return the request without its body, or the error in its headers."""
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
        headers=forwarded_headers(request),
        body=b"",
        key="" if is_idempotent else key,
        attempt=attempt,
        body_digest=b"",
        arrived_s=arrival.arrived_s,
        deadline_s=arrival.arrived_s + timeout_s,
    )


def forwarded_headers(request: Request) -> list[tuple[str, str]]:
    """Return the headers for the service, without the caller's API key."""
    return [
        (name, value)
        for name, value in end_to_end_headers(list(request.headers.items()))
        if name.lower() not in PRIVATE_HEADERS
    ]
