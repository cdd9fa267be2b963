"""At-most-once execution at the entry: claim a request, send it once, record a result.

A request is never sent before its claim is granted, and never twice. A claim whose
response is lost is reported as unused; a grant that arrives late is not used.
"""

import math
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from rosemaryknot.connection.links import CallFailed
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.request.claim_reports import (
    AgentClient,
    ArrivalNumbers,
    ResultReporter,
)
from rosemaryknot.request.responses import outcome_name
from rosemaryknot.values.claims import (
    ClaimAnswered,
    ClaimGranted,
    ClaimRefused,
    ClaimRequest,
    CloseReply,
    CloseRequest,
    MapNumber,
    RefusedKind,
    ResultKind,
    ResultRecord,
)
from rosemaryknot.values.messages import Message
from rosemaryknot.values.outcomes import (
    Answered,
    NotRun,
    Outcome,
    Reason,
    Running,
    Unknown,
)
from rosemaryknot.values.requests import NotSent, PlainRequest, SendResult

__all__ = ["AgentClient", "AtMostOnce", "ClaimPolicy"]

CALL_TIMEOUT_S = 3.0
RETRY_AFTER_S = 1.0
POLL_INTERVAL_S = 1.0

log = logger("claims")
OUTCOMES = counter("at_most_once_total", "At-most-once requests by outcome.")


@dataclass(slots=True, frozen=True)
class ClaimPolicy:
    """Time limits of a service's at-most-once requests.

    Attributes
    ----------
    timeout_s : float
        Maximum duration of the execution at the backend server, in seconds.
    horizon_s : float
        Retention period of ids and responses, in seconds.
    """

    timeout_s: float = 60.0
    horizon_s: float = 600.0


class AtMostOnce:
    """Executor of an entry's at-most-once requests.

    Parameters
    ----------
    agent : AgentClient
        The entry's link to its agent.
    policy_of : callable
        Returns the `ClaimPolicy` of a service.
    safeguards : Safeguards, optional
        Safeguards, which tests may turn off.
    """

    def __init__(
        self,
        agent: AgentClient,
        policy_of: Callable[[str], ClaimPolicy] = lambda service: ClaimPolicy(),
        safeguards: Safeguards | None = None,
    ) -> None:
        self.agent = agent
        self.policy_of = policy_of
        self.safeguards = safeguards or Safeguards()
        self.numbers = ArrivalNumbers()
        self.reports = ResultReporter(agent)

    async def run_reports(self) -> None:
        """Send results and poll the shard map's number, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.reports.run)
            nursery.start_soon(self.poll_map_number)

    async def poll_map_number(self) -> None:
        """Poll the agent for the number of its shard map."""
        while True:
            reply = await self.agent.call(
                MapNumber(self.numbers.newest), POLL_INTERVAL_S
            )
            if isinstance(reply, MapNumber):
                self.numbers.record(reply.number)
            await trio.sleep(POLL_INTERVAL_S)

    async def run(
        self,
        request: PlainRequest,
        send: Callable[[], Awaitable[SendResult]],
    ) -> Outcome:
        """Claim the request, send it once if the claim is granted, record the result.

        Parameters
        ----------
        request : PlainRequest
            Request with an idempotency key.
        send : callable
            Sends the request to a backend server once. It may try another server only
            while no byte has been sent.

        Returns
        -------
        outcome : Outcome
            Outcome that the caller receives.
        """
        if trio.current_time() >= request.deadline_s:
            return await self.refuse(request, Reason.DEADLINE_TOO_SHORT, RETRY_AFTER_S)
        claim = self.new_claim(request)
        reply = await self.request_grant(request, claim)
        if isinstance(reply, ClaimGranted):
            outcome = await self.send_granted(request, claim, send)
        else:
            outcome = self.ungranted_outcome(request, claim, reply)
        outcome = with_closed_key_detail(request, outcome)
        self.record_outcome(request, outcome)
        return outcome

    async def refuse(
        self, request: PlainRequest, reason: Reason, retry_after_s: float
    ) -> Outcome:
        """Refuse a request that was not claimed, and ensure that "not run" stays true.

        An earlier attempt may still wait at another entry, and could run after the
        caller has received "not run". Every attempt up to this one is therefore closed
        first. A declared attempt 1 has no earlier one, so its refusal needs no call.

        Parameters
        ----------
        request : PlainRequest
            Request to refuse.
        reason : Reason
            Reason of the refusal.
        retry_after_s : float
            Time after which the caller may retry, in seconds.

        Returns
        -------
        outcome : Outcome
            `NotRun`, or the known state of the id if its attempts cannot be closed.
        """
        outcome = await self.closed_outcome(request, reason, retry_after_s)
        outcome = with_closed_key_detail(request, outcome)
        self.record_outcome(request, outcome)
        return outcome

    async def closed_outcome(
        self, request: PlainRequest, reason: Reason, retry_after_s: float
    ) -> Outcome:
        """Close the request's attempts and return the resulting outcome."""
        if request.attempt == 1 or not self.safeguards.close_attempts:
            return NotRun(reason, retry_after_s)
        message = CloseRequest(
            request.customer,
            request.service,
            request.key,
            request.attempt,
            self.policy_of(request.service).horizon_s,
        )
        reply = await self.agent.call(message, CALL_TIMEOUT_S)
        if not isinstance(reply, CloseReply):
            return Unknown(Reason.NOT_PROVEN, "The attempts could not be closed.")
        if reply.closed:
            return NotRun(reason, retry_after_s)
        if reply.outcome == "answered":
            return answered(reply)
        return refused_outcome(reply.outcome, reply.reason, reply.retry_after_s, "")

    def new_claim(self, request: PlainRequest) -> ClaimRequest:
        """Return a claim of a request, with a new random name."""
        policy = self.policy_of(request.service)
        return ClaimRequest(
            request.customer,
            request.service,
            request.key,
            secrets.token_hex(12),
            request.attempt,
            request.body_digest,
            self.numbers.at(request.arrived_s),
            policy.timeout_s,
            policy.horizon_s,
        )

    async def request_grant(
        self, request: PlainRequest, claim: ClaimRequest
    ) -> Message | CallFailed:
        """Request the grant from the agent; report the claim unused if cancelled."""
        timeout_s = min(CALL_TIMEOUT_S, request.deadline_s - trio.current_time())
        try:
            return await self.agent.call(claim, timeout_s)
        except trio.Cancelled:
            self.report_unused(claim, close=False)
            raise

    async def send_granted(
        self,
        request: PlainRequest,
        claim: ClaimRequest,
        send: Callable[[], Awaitable[SendResult]],
    ) -> Outcome:
        """Send a request whose claim was granted, and record the result."""
        result = self.new_result(claim, Unknown(Reason.ANSWER_LOST))
        try:
            sent = await send()
            result = self.new_result(claim, sent)
        except BaseException:
            # Cancelled or failed during the send: a byte may have been sent.
            self.reports.add(result)
            raise
        if isinstance(sent, NotSent):
            # The open grant blocks every other attempt until the report closes this
            # one, so "not run" is true even if the report is lost.
            await self.reports.send_or_add(result)
            return NotRun(sent.reason, sent.retry_after_s or RETRY_AFTER_S)
        self.reports.add(result)
        return sent

    def new_result(self, claim: ClaimRequest, sent: SendResult) -> ResultRecord:
        """Return the result record of a claim."""
        result = ResultRecord(
            claim.customer,
            claim.service,
            claim.key,
            claim.claim,
            claim.attempt,
            ResultKind.NOT_SENT,
            close=self.safeguards.close_attempts,
            horizon_s=claim.horizon_s,
        )
        if isinstance(sent, Answered):
            result.result = ResultKind.ANSWERED
            result.status = sent.status
            result.headers = [list(pair) for pair in sent.headers]
            result.body = sent.body
        elif isinstance(sent, Unknown):
            result.result = ResultKind.UNKNOWN
            result.reason = sent.reason
        return result

    def report_unused(self, claim: ClaimRequest, close: bool) -> None:
        """Report that a claim will never be used, whether it was granted or not."""
        result = self.new_result(claim, NotSent(Reason.OWNER_UNREACHABLE))
        result.close = close and self.safeguards.close_attempts
        self.reports.add(result)

    def ungranted_outcome(
        self, request: PlainRequest, claim: ClaimRequest, reply: Message | CallFailed
    ) -> Outcome:
        """Return the outcome of a request whose claim was not granted."""
        is_first = claim.attempt == 1
        if isinstance(reply, ClaimAnswered):
            return answered(reply)
        if isinstance(reply, ClaimRefused):
            if reply.maybe_granted:
                self.report_unused(claim, close=is_first)
            return refused_outcome(
                reply.outcome, reply.reason, reply.retry_after_s, reply.detail
            )
        if not isinstance(reply, CallFailed) or reply.maybe_handled:
            self.report_unused(claim, close=is_first)
        if is_first:
            return NotRun(Reason.OWNER_UNREACHABLE, RETRY_AFTER_S)
        return Unknown(Reason.OWNER_UNREACHABLE)

    def record_outcome(self, request: PlainRequest, outcome: Outcome) -> None:
        """Count and log an outcome."""
        name = outcome_name(outcome)
        OUTCOMES.add(outcome=name, service=request.service)
        reason = getattr(outcome, "reason", "")
        log.info(f"ended: {name}", request=request.request_id, reason=str(reason))


def answered(reply: ClaimAnswered | CloseReply) -> Answered:
    """Return the stored response that a reply carries."""
    headers = [(name, value) for name, value in reply.headers]
    return Answered(reply.status, headers, reply.body)


def refused_outcome(
    outcome: str, reason: str, retry_after_s: float, detail: str
) -> Outcome:
    """Return the outcome that a refusal represents."""
    if outcome == RefusedKind.RUNNING:
        return Running(retry_after_s)
    if outcome == RefusedKind.NOT_RUN:
        return NotRun(Reason(reason), retry_after_s, detail)
    return Unknown(Reason(reason), detail)


def with_closed_key_detail(request: PlainRequest, outcome: Outcome) -> Outcome:
    """Add a detail to an outcome if the request's key is closed permanently.

    A refused request without an attempt number may be any of the sends of its key, so
    all of them are closed with it. `Retry-After` still gives the delay before a retry;
    the detail says that it needs a new key, as the same key would be refused
    indefinitely.
    """
    is_closed = isinstance(outcome, NotRun) and outcome.reason != Reason.BODY_DIFFERS
    if request.attempt or not is_closed:
        return outcome
    wait = (
        f" after {math.ceil(outcome.retry_after_s)} s" if outcome.retry_after_s else ""
    )
    detail = (
        "Without Rosemaryknot-Attempt the refusal closes the key for good: come back"
        f"{wait} with a new Idempotency-Key, and number its sends from 1."
    )
    return NotRun(outcome.reason, outcome.retry_after_s, detail)
