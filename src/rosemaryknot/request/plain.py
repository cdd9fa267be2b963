"""Relay of requests to plain services, with retries."""

import random
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Protocol

import trio

from rosemaryknot.connection.plain_client import (
    PlainClient,
    is_refused_by_drain,
    stated_limit,
    stated_pause_s,
    states_drain,
)
from rosemaryknot.process.listed_server import ListedServer
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.retry_budget import RetryBudgets
from rosemaryknot.process.server_health import ServerHealth
from rosemaryknot.process.server_pauses import ServerPauses
from rosemaryknot.request.crash_guard import CrashGuard
from rosemaryknot.request.crash_rules import Allowed, Barred
from rosemaryknot.request.event_stream import EventSplitter, is_event_stream
from rosemaryknot.request.limit_guard import (
    LimitGuard,
    LimitsReached,
    Selected,
    SelectionInput,
)
from rosemaryknot.request.permit_client import Permit, PermitNeed
from rosemaryknot.request.plain_route import PlainCandidate, choose_plain_server
from rosemaryknot.request.routes import scores_text
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from rosemaryknot.values.request_identity import RequestIdentity
from rosemaryknot.values.requests import NotSent, PlainRequest, SendResult

__all__ = ["PlainRelay", "ServerSource"]

MAX_ATTEMPTS = 3
# Share of the remaining time for which a request waits for another attempt of the same
# request under which servers have crashed, or for a server with a rate limit.
MAX_WAIT_SHARE = 0.3
SILENCE_TIMEOUT_S = 3.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
NO_SERVER_RETRY_AFTER_S = 2.0
# Shortest wait for a server that is paused, or in the slow start after it.
MIN_PAUSE_WAIT_S = 0.01
LEAVING_SOURCE = "server"

# The server, or a proxy in front of it, is temporarily unable to do the work.
RETRIED_STATUS = frozenset((502, 503, 504))
FAILED_STATUS = 500
NO_CONTENT = frozenset((204, 205, 304))

log = logger("route")
attempts_counter = counter(
    "plain_tries_total", "Tries of plain requests, by service and result."
)


class ServerSource(Protocol):
    """The part of the server table that the relay uses."""

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the live servers of a service."""

    def mark_leaving(self, instance: str, deadline_unix_s: float, source: str) -> None:
        """Mark an instance as draining."""


@dataclass(slots=True)
class RequestAttempts:
    """Attempts of one request so far.

    Attributes
    ----------
    instances : set of str
        Servers that were tried.
    closed_by : list of ListedServer
        Servers that closed the connection before the response ended.
    last : SendResult
        Result to report if there is no further attempt. The result of an attempt that
        may have run is never replaced by that of one that was not sent.
    """

    instances: set[str] = field(default_factory=set)
    closed_by: list[ListedServer] = field(default_factory=list)
    last: SendResult = field(default_factory=lambda: NotSent(Reason.NO_SERVER))

    def record(self, result: SendResult) -> None:
        """Record the result of an attempt."""
        if not isinstance(result, NotSent) or isinstance(self.last, NotSent):
            self.last = result


class PlainRelay:
    """Relay that sends plain requests to the servers of their service.

    Parameters
    ----------
    client : PlainClient
        Sends one request to one server.
    servers : ServerSource
        Backend servers.
    zone : str
        Availability zone of this process.
    rng : random.Random
        Source of the jitter and of the choice of servers.
    health : ServerHealth, optional
        Failures of the servers; shared with the model services.

    Attributes
    ----------
    in_flight : Counter of str
        Requests in flight, by instance.
    health : ServerHealth
        Failures of the servers.
    budgets : RetryBudgets
        Available retries, by service.
    crashes : CrashGuard or None
        Decides on requests during which servers crashed; None for no limit.
    limits : LimitGuard or None
        Selects servers under the rate limits that they state; None for no limits.
    pauses : ServerPauses
        Pauses that servers asked for.
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
        self.pauses = ServerPauses()
        self.crashes: CrashGuard | None = None
        self.limits: LimitGuard | None = None

    async def run_idempotent(self, request: PlainRequest) -> Outcome:
        """Run a request that may be retried, on a different server each time.

        Parameters
        ----------
        request : PlainRequest
            The request.

        Returns
        -------
        outcome : Outcome
            The response, or the reason why there is none.
        """
        attempts = RequestAttempts()
        budget = self.budgets.of(request.service)
        while True:
            result = await self.attempt_next(request, attempts, reuse=True)
            if result is None:
                break
            if not is_retried(result):
                budget.record_success()
                break
            if trio.current_time() >= request.deadline_s:
                break
            if isinstance(result, NotSent):
                # The request did not run, so a retry adds no load to the service.
                continue
            if not budget.acquire() or not await self.back_off(request, attempts):
                break
        return outcome_of(attempts.last)

    async def send_once(self, request: PlainRequest) -> SendResult:
        """Send a request that must not be retried after it may have run.

        Another server is tried only if no byte of the request was sent, or if a
        draining server refused it.

        Parameters
        ----------
        request : PlainRequest
            The request; its claim must be held.

        Returns
        -------
        result : SendResult
            `NotSent` only if no server can have run the request.
        """
        attempts = RequestAttempts()
        while True:
            result = await self.attempt_next(request, attempts, reuse=False)
            if result is None or not isinstance(result, NotSent):
                return attempts.last

    async def attempt_next(
        self, request: PlainRequest, attempts: RequestAttempts, reuse: bool
    ) -> SendResult | None:
        """Try the next server; None if no server or attempt is left."""
        decision = await self.decide_after_crashes(request, attempts)
        if isinstance(decision, Barred):
            attempts.record(NotSent(Reason.SERVER_FAILED))
            return None
        selected = await self.select(request, attempts, may_repeat=reuse)
        if isinstance(selected, LimitsReached):
            attempts.record(NotSent(Reason.OVERLOADED, selected.retry_after_s))
            return None
        if selected is None:
            return await self.wait_for_pauses(request, attempts, reuse)
        server = selected.choice
        sent_version = 0
        if self.limits is not None:
            sent_version = self.limits.records.version(server.instance)
        attempts.instances.add(server.instance)
        attempt_deadline_s = request.deadline_s
        if reuse and self.untried_servers(request, attempts):
            attempt_deadline_s = half_deadline_s(request)
        started_s = trio.current_time()
        self.in_flight[server.instance] += 1
        self.pauses.begin(server.instance, request.request_id)
        record = result = None
        if self.crashes is not None:
            record = self.crashes.begin(identity_of(request), decision)
        try:
            result = await self.client.send(server, request, reuse, attempt_deadline_s)
        finally:
            if self.crashes is not None:
                self.crashes.end(record)
            if isinstance(result, Answered):
                self.record_availability(server, request, result)
            self.pauses.end(server.instance, request.request_id)
            self.in_flight[server.instance] -= 1
            if not self.in_flight[server.instance]:
                del self.in_flight[server.instance]
        result = await self.check_end(server, request, result)
        took_s = trio.current_time() - started_s
        self.record_crash(server, request, attempts, result)
        if self.limits is not None and isinstance(result, Answered):
            self.record_limit(server, sent_version, selected.permit, result)
        result = self.record_result(server, request, result, took_s)
        attempts.record(result)
        return result

    async def wait_for_pauses(
        self, request: PlainRequest, attempts: RequestAttempts, reuse: bool
    ) -> SendResult | None:
        """Wait for the end of a pause and try again; None if that takes too long."""
        servers = self.remaining_servers(request, attempts)
        delay_s = self.pauses.delay_s(servers)
        if delay_s is None:
            self.log_no_server(request, attempts)
            return None
        remaining_s = request.deadline_s - trio.current_time()
        if delay_s > remaining_s * MAX_WAIT_SHARE:
            attempts.record(NotSent(Reason.OVERLOADED, delay_s))
            log.info(
                "all servers are paused",
                request=request.request_id,
                service=request.service,
                retry_after_s=round(delay_s, 3),
            )
            return None
        await trio.sleep(max(MIN_PAUSE_WAIT_S, delay_s))
        return await self.attempt_next(request, attempts, reuse)

    def record_availability(
        self,
        server: BackendServer,
        request: PlainRequest,
        response: Answered,
    ) -> None:
        """Record that a server states that it drains, or wants a pause."""
        if states_drain(response):
            self.servers.mark_leaving(server.instance, 0.0, LEAVING_SOURCE)
        pause_s = stated_pause_s(response)
        if pause_s > 0:
            self.pauses.record(server.instance, pause_s, request.request_id)
        else:
            self.pauses.record_response(server.instance, request.request_id)

    async def check_end(
        self, server: BackendServer, request: PlainRequest, result: SendResult
    ) -> SendResult:
        """Return `Unknown` in place of a response that its server broke off.

        An event stream is complete only after a whole event, and a response that ends
        with its connection only if the server is seen to go on.
        """
        if not isinstance(result, Answered) or result.status >= FAILED_STATUS:
            return result
        if ends_inside_event(result):
            return Unknown(Reason.ANSWER_LOST, "the event stream ended inside an event")
        if self.crashes is None or not may_be_cut(request, result):
            return result
        if await self.crashes.confirms_end(ListedServer(server, self.servers)):
            return result
        detail = "closed without a length by a server that accepts no connection"
        return Unknown(Reason.ANSWER_LOST, detail)

    async def decide_after_crashes(
        self, request: PlainRequest, attempts: RequestAttempts
    ) -> Allowed | Barred:
        """Decide whether the request may be attempted although servers crashed."""
        if self.crashes is None:
            return Allowed()
        remaining_s = request.deadline_s - trio.current_time()
        return await self.crashes.wait(
            identity_of(request),
            attempts.closed_by,
            bool(attempts.closed_by),
            remaining_s * MAX_WAIT_SHARE,
        )

    def record_crash(
        self,
        server: BackendServer,
        request: PlainRequest,
        attempts: RequestAttempts,
        result: SendResult,
    ) -> None:
        """Record whether a server completed a request or closed its connection."""
        if self.crashes is None:
            return
        listed = ListedServer(server, self.servers)
        if isinstance(result, Answered) and result.status < FAILED_STATUS:
            self.crashes.record_complete(
                listed, identity_of(request), may_be_cut(request, result)
            )
        elif isinstance(result, Unknown) and result.reason == Reason.ANSWER_LOST:
            attempts.closed_by.append(listed)
            self.crashes.record_closed(listed, identity_of(request))

    def untried_servers(
        self, request: PlainRequest, attempts: RequestAttempts
    ) -> list[BackendServer]:
        """Return the usable servers not tried yet; none if no attempt is left."""
        return self.pauses.usable(self.remaining_servers(request, attempts))

    def remaining_servers(
        self, request: PlainRequest, attempts: RequestAttempts
    ) -> list[BackendServer]:
        """Return the servers not tried yet, those that are paused too."""
        if len(attempts.instances) >= MAX_ATTEMPTS:
            return []
        usable = self.health.usable(self.servers.servers_of(request.service))
        return [s for s in usable if s.instance not in attempts.instances]

    async def select(
        self, request: PlainRequest, attempts: RequestAttempts, may_repeat: bool
    ) -> Selected[BackendServer] | LimitsReached | None:
        """Select a server that was not tried yet, under the limits of the servers."""
        servers = {s.instance: s for s in self.untried_servers(request, attempts)}

        def choose(allowed: Collection[str]) -> BackendServer | None:
            return self.choose(request, attempts, [servers[name] for name in allowed])

        if self.limits is None:
            choice = choose(servers)
            return None if choice is None else Selected(choice)
        remaining_s = request.deadline_s - trio.current_time()
        need = PermitNeed(
            request.request_id,
            request.customer,
            0,
            remaining_s * MAX_WAIT_SHARE,
            may_repeat,
        )
        inputs = SelectionInput(servers, choose, attrgetter("instance"), need)
        return await self.limits.select(inputs)

    def record_limit(
        self,
        server: BackendServer,
        sent_version: int,
        permit: Permit | None,
        response: Answered,
    ) -> None:
        """Record the rate limit that a server states, or that it states none."""
        limit = stated_limit(response)
        if limit is not None or response.status < FAILED_STATUS:
            self.limits.record_statement(server.instance, sent_version, permit, limit)

    def log_no_server(self, request: PlainRequest, attempts: RequestAttempts) -> None:
        """Log that no server is left for a request."""
        log.info(
            "no server left",
            request=request.request_id,
            service=request.service,
            tried=len(attempts.instances),
        )

    def choose(
        self,
        request: PlainRequest,
        attempts: RequestAttempts,
        servers: list[BackendServer],
    ) -> BackendServer | None:
        """Choose one of some servers, and log the choice."""
        candidates = [PlainCandidate(s, self.in_flight[s.instance]) for s in servers]
        choice = choose_plain_server(candidates, self.zone, self.rng)
        if choice is None:
            return None
        log.info(
            f"chose {choice.server.instance}",
            request=request.request_id,
            service=request.service,
            scores=scores_text(choice.scores),
            reason="retry" if attempts.instances else "lowest score",
        )
        return choice.server

    def record_result(
        self,
        server: BackendServer,
        request: PlainRequest,
        result: SendResult,
        took_s: float,
    ) -> SendResult:
        """Record a result; treat the refusal of a draining server as not sent."""
        if isinstance(result, Answered) and is_refused_by_drain(result):
            # A draining server accepts no new requests, so the request did not run.
            result = NotSent(Reason.NO_SERVER)
        elif isinstance(result, Answered) and stated_pause_s(result) > 0:
            # It asked for the pause instead of failing.
            pass
        elif isinstance(result, Answered) and result.status < FAILED_STATUS:
            self.health.record_success(server.instance)
        elif not is_short_timeout(result, took_s):
            self.health.record_failure(server.instance)
        name = type(result).__name__.lower()
        attempts_counter.add(service=request.service, result=name)
        if not isinstance(result, Answered):
            log.info(
                f"{server.instance} failed",
                request=request.request_id,
                result=name,
                reason=str(result.reason),
            )
        return result

    async def back_off(self, request: PlainRequest, attempts: RequestAttempts) -> bool:
        """Wait with full jitter; return False if the deadline would pass."""
        bound_s = INITIAL_BACKOFF_S * 2 ** (len(attempts.instances) - 1)
        delay_s = self.rng.uniform(0.0, min(MAX_BACKOFF_S, bound_s))
        if trio.current_time() + delay_s >= request.deadline_s:
            return False
        await trio.sleep(delay_s)
        return True


def ends_inside_event(response: Answered) -> bool:
    """Return whether a response is an event stream that ends inside an event."""
    for name, value in response.headers:
        if name.lower() == "content-type" and is_event_stream(value):
            splitter = EventSplitter()
            splitter.feed(response.body)
            return splitter.is_inside_event
    return False


def may_be_cut(request: PlainRequest, response: Answered) -> bool:
    """Return whether nothing but the end of its connection ended a response."""
    has_body = request.method != "HEAD" and response.status not in NO_CONTENT
    return response.is_ended_by_close and has_body


def identity_of(request: PlainRequest) -> RequestIdentity:
    """Return what is the same for each repeat of a request."""
    head = (request.service.encode(), request.method.encode(), request.path.encode())
    return RequestIdentity(request.request_id, request.customer, head, request.body)


def half_deadline_s(request: PlainRequest) -> float:
    """Return the time halfway to the deadline, in trio time.

    An attempt that is not the last one ends there. Otherwise a server that accepts
    requests and never responds would use up the whole deadline of a request that
    another server can answer in milliseconds.
    """
    return (trio.current_time() + request.deadline_s) / 2


def is_retried(result: SendResult) -> bool:
    """Return whether another server may still give a response."""
    return not isinstance(result, Answered) or result.status in RETRIED_STATUS


def is_short_timeout(result: SendResult, took_s: float) -> bool:
    """Return whether a short deadline, not the server, caused a timeout."""
    is_timeout = not isinstance(result, Answered) and result.reason == Reason.TIMED_OUT
    return is_timeout and took_s < SILENCE_TIMEOUT_S


def outcome_of(result: SendResult) -> Outcome:
    """Return the outcome of an idempotent request."""
    if isinstance(result, NotSent):
        detail = "no backend server could be reached"
        if result.reason == Reason.OVERLOADED:
            detail = "the backend servers take no more requests for now"
        retry_after_s = result.retry_after_s or NO_SERVER_RETRY_AFTER_S
        return NotRun(result.reason, retry_after_s, detail)
    if isinstance(result, Unknown):
        return Unknown(result.reason, result.detail)
    return result
