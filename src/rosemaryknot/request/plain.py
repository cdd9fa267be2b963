"""Pass requests through to plain services."""

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Protocol

import trio

from rosemaryknot.connection.plain_client import PlainClient, is_leaving
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.retry_budget import RetryBudgets
from rosemaryknot.process.server_health import ServerHealth
from rosemaryknot.request.plain_route import PlainCandidate, choose_plain_server
from rosemaryknot.request.routes import scores_text
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from rosemaryknot.values.requests import NotSent, PlainRequest, SendResult

__all__ = ["PlainRelay", "ServerSource"]

MAX_TRIES = 3
SILENT_S = 3.0
BACKOFF_FIRST_S = 0.05
BACKOFF_LONGEST_S = 1.0
NO_SERVER_RETRY_S = 2.0
LEAVING_SOURCE = "server"

# What a server says when it, or something before it, could not do the work now.
RETRIED_STATUS = frozenset((502, 503, 504))
FAILED_STATUS = 500

log = logger("route")
tries = counter("plain_tries_total", "Tries of plain requests, by service and result.")


class ServerSource(Protocol):
    """What the relay needs of the table of backend servers."""

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the live servers of a service."""

    def mark_leaving(self, instance: str, deadline_unix_s: float, source: str) -> None:
        """Note that an instance is leaving."""


@dataclass(slots=True)
class Tries:
    """Tries of one request so far.

    Attributes
    ----------
    instances : set of str
        Servers tried.
    last : SendResult
        What the caller is told when no further try is made. A try that may have run
        is never replaced by one that was not sent.
    """

    instances: set[str] = field(default_factory=set)
    last: SendResult = field(default_factory=lambda: NotSent(Reason.NO_SERVER))

    def note(self, result: SendResult) -> None:
        """Take in the result of a try."""
        if not isinstance(result, NotSent) or isinstance(self.last, NotSent):
            self.last = result


class PlainRelay:
    """Sends plain requests to the servers of their service.

    Parameters
    ----------
    client : PlainClient
        Sends one request to one server.
    servers : ServerSource
        Backend servers.
    zone : str
        Availability zone of this process.
    rng : random.Random
        For jitter and for the choice of servers.
    health : ServerHealth, optional
        Which servers fail; shared with the model services.

    Attributes
    ----------
    in_flight : Counter of str
        Requests in flight, by instance.
    health : ServerHealth
        Servers that fail.
    budgets : RetryBudgets
        Retries left, by service.
    """

    def __init__(
        self,
        client: PlainClient,
        servers: ServerSource,
        zone: str,
        rng: random.Random,
        health: ServerHealth | None = None,
    ) -> None:
        self.client = client
        self.servers = servers
        self.zone = zone
        self.rng = rng
        self.in_flight: Counter[str] = Counter()
        self.health = ServerHealth() if health is None else health
        self.budgets = RetryBudgets()

    async def run_idempotent(self, request: PlainRequest) -> Outcome:
        """Run a request that may be repeated, on another server each time.

        Parameters
        ----------
        request : PlainRequest
            The request.

        Returns
        -------
        outcome : Outcome
            The answer, or why there is none.
        """
        done = Tries()
        budget = self.budgets.of(request.service)
        while True:
            result = await self.try_next(request, done, reuse=True)
            if result is None:
                break
            if not is_retried(result):
                budget.record_success()
                break
            if trio.current_time() >= request.deadline_s:
                break
            if isinstance(result, NotSent):
                # Nothing ran anywhere, so the retry adds no load to the service.
                continue
            if not budget.acquire() or not await self.back_off(request, done):
                break
        return outcome_of(done.last)

    async def send_once(self, request: PlainRequest) -> SendResult:
        """Send a request that must not be repeated.

        Another server is tried only while no byte of the request has left, or a
        server that is leaving has refused it.

        Parameters
        ----------
        request : PlainRequest
            The request, whose right to be sent is held.

        Returns
        -------
        result : SendResult
            `NotSent` only where no server can have run it.
        """
        done = Tries()
        while True:
            result = await self.try_next(request, done, reuse=False)
            if result is None or not isinstance(result, NotSent):
                return done.last

    async def try_next(
        self, request: PlainRequest, done: Tries, reuse: bool
    ) -> SendResult | None:
        """Try the next server; None where there is none or no try is left."""
        server = self.choose(request, done)
        if server is None:
            return None
        done.instances.add(server.instance)
        until_s = request.deadline_s
        if reuse and self.others(request, done):
            until_s = halfway(request)
        started_s = trio.current_time()
        self.in_flight[server.instance] += 1
        try:
            result = await self.client.send(server, request, reuse, until_s)
        finally:
            self.in_flight[server.instance] -= 1
            if not self.in_flight[server.instance]:
                del self.in_flight[server.instance]
        took_s = trio.current_time() - started_s
        result = self.noted(server, request, result, took_s)
        done.note(result)
        return result

    def others(self, request: PlainRequest, done: Tries) -> list[BackendServer]:
        """Return the servers that may be tried yet, where a try is left."""
        if len(done.instances) >= MAX_TRIES:
            return []
        usable = self.health.usable(self.servers.servers_of(request.service))
        return [s for s in usable if s.instance not in done.instances]

    def choose(self, request: PlainRequest, done: Tries) -> BackendServer | None:
        """Choose a server that was not tried yet, and log why."""
        usable = self.others(request, done)
        candidates = [PlainCandidate(s, self.in_flight[s.instance]) for s in usable]
        choice = choose_plain_server(candidates, self.zone, self.rng)
        if choice is None:
            log.info(
                "no server left",
                request=request.request_id,
                service=request.service,
                tried=len(done.instances),
            )
            return None
        log.info(
            f"chose {choice.server.instance}",
            request=request.request_id,
            service=request.service,
            scores=scores_text(choice.scores),
            reason="retry" if done.instances else "lowest score",
        )
        return choice.server

    def noted(
        self,
        server: BackendServer,
        request: PlainRequest,
        result: SendResult,
        took_s: float,
    ) -> SendResult:
        """Count a result for the server, and read a refusal for leaving."""
        if isinstance(result, Answered) and is_leaving(result):
            # The server itself says that it took no new work, so nothing ran there.
            self.servers.mark_leaving(server.instance, 0.0, LEAVING_SOURCE)
            result = NotSent(Reason.NO_SERVER)
        elif isinstance(result, Answered) and result.status < FAILED_STATUS:
            self.health.record_success(server.instance)
        elif not is_impatience(result, took_s):
            self.health.record_failure(server.instance)
        name = type(result).__name__.lower()
        tries.add(service=request.service, result=name)
        if not isinstance(result, Answered):
            log.info(
                f"{server.instance} failed",
                request=request.request_id,
                result=name,
                reason=str(result.reason),
            )
        return result

    async def back_off(self, request: PlainRequest, done: Tries) -> bool:
        """Wait with full jitter; False where the deadline would pass."""
        bound_s = BACKOFF_FIRST_S * 2 ** (len(done.instances) - 1)
        delay_s = self.rng.uniform(0.0, min(BACKOFF_LONGEST_S, bound_s))
        if trio.current_time() + delay_s >= request.deadline_s:
            return False
        await trio.sleep(delay_s)
        return True


def halfway(request: PlainRequest) -> float:
    """Return when a try leaves its time to the next one, in trio time.

    A server that takes requests and never answers would use up the whole deadline of
    a request that another server answers in milliseconds.
    """
    return (trio.current_time() + request.deadline_s) / 2


def is_retried(result: SendResult) -> bool:
    """Tell whether another server may still give the answer."""
    return not isinstance(result, Answered) or result.status in RETRIED_STATUS


def is_impatience(result: SendResult, took_s: float) -> bool:
    """Tell whether a try ended by a short deadline, which is no server's fault."""
    is_timeout = not isinstance(result, Answered) and result.reason == Reason.TIMED_OUT
    return is_timeout and took_s < SILENT_S


def outcome_of(result: SendResult) -> Outcome:
    """Return what the caller of an idempotent request is told."""
    if isinstance(result, NotSent):
        detail = "no backend server could be reached"
        return NotRun(result.reason, NO_SERVER_RETRY_S, detail)
    if isinstance(result, Unknown):
        return Unknown(result.reason, result.detail)
    return result
