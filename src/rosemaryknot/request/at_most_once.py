"""At-most-once execution on the entry: claim, send once, record what came of it.

Nothing is sent before the claim was granted, and nothing is sent twice. A claim
whose answer got lost is given up, never used when its grant comes late.
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
from rosemaryknot.request.answers import outcome_name
from rosemaryknot.request.claim_reports import (
    AgentCaller,
    ArrivalNumbers,
    Reports,
)
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

__all__ = ["AgentCaller", "AtMostOnce", "ClaimPolicy"]

CALL_TIMEOUT_S = 3.0
RETRY_AFTER_S = 1.0
POLL_S = 1.0

log = logger("claims")
OUTCOMES = counter("at_most_once_total", "At-most-once requests by outcome.")


@dataclass(slots=True, frozen=True)
class ClaimPolicy:
    """Bounds of a service's at-most-once requests.

    Attributes
    ----------
    timeout_s : float
        Bound on the run at the backend server.
    horizon_s : float
        How long ids and answers are kept.
    """

    timeout_s: float = 60.0
    horizon_s: float = 600.0


class AtMostOnce:
    """Run requests of an entry at most once.

    Parameters
    ----------
    agent : AgentCaller
        The entry's link to its agent.
    policy_of : callable
        Returns the `ClaimPolicy` of a service.
    safeguards : Safeguards, optional
        Tests may turn safeguards off.
    """

    def __init__(
        self,
        agent: AgentCaller,
        policy_of: Callable[[str], ClaimPolicy] = lambda service: ClaimPolicy(),
        safeguards: Safeguards | None = None,
    ) -> None:
        self.agent = agent
        self.policy_of = policy_of
        self.safeguards = safeguards or Safeguards()
        self.numbers = ArrivalNumbers()
        self.reports = Reports(agent)

    async def run_reports(self) -> None:
        """Send results and follow the shard map's number, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.reports.run)
            nursery.start_soon(self.follow_map)

    async def follow_map(self) -> None:
        """Ask the agent for the number of its shard map, again and again."""
        while True:
            reply = await self.agent.call(MapNumber(self.numbers.newest), POLL_S)
            if isinstance(reply, MapNumber):
                self.numbers.learn(reply.number)
            await trio.sleep(POLL_S)

    async def run(
        self,
        request: PlainRequest,
        send: Callable[[], Awaitable[SendResult]],
    ) -> Outcome:
        """Claim the request, send it once if granted, and record the result.

        Parameters
        ----------
        request : PlainRequest
            A request with a key.
        send : callable
            Sends it to a backend server, once. It may try another server only as
            long as no byte has left.

        Returns
        -------
        outcome : Outcome
            What the caller is told.
        """
        if trio.current_time() >= request.deadline_s:
            return await self.refuse(request, Reason.DEADLINE_TOO_SHORT, RETRY_AFTER_S)
        claim = self.claim_of(request)
        reply = await self.ask(request, claim)
        if isinstance(reply, ClaimGranted):
            outcome = await self.send_granted(request, claim, send)
        else:
            outcome = self.outcome_of(request, claim, reply)
        outcome = with_advice(request, outcome)
        self.note(request, outcome)
        return outcome

    async def refuse(
        self, request: PlainRequest, reason: Reason, retry_after_s: float
    ) -> Outcome:
        """Refuse a request that was not claimed, so that "not run" stays true.

        An earlier attempt may still wait at another entry, and run after its caller
        was told that nothing ran. So every attempt up to this one is closed first.
        A declared attempt 1 has no earlier one: its refusal costs no call.

        Parameters
        ----------
        request : PlainRequest
            The request.
        reason : Reason
            Why it is refused.
        retry_after_s : float
            When the caller may come back.

        Returns
        -------
        outcome : Outcome
            `NotRun`, or what is known of the id where it cannot be closed.
        """
        outcome = await self.closed_outcome(request, reason, retry_after_s)
        outcome = with_advice(request, outcome)
        self.note(request, outcome)
        return outcome

    async def closed_outcome(
        self, request: PlainRequest, reason: Reason, retry_after_s: float
    ) -> Outcome:
        """Close the request's attempts and return what may be said then."""
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

    def claim_of(self, request: PlainRequest) -> ClaimRequest:
        """Return the claim of a request, under a name of its own."""
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

    async def ask(
        self, request: PlainRequest, claim: ClaimRequest
    ) -> Message | CallFailed:
        """Ask the agent for the grant; a caller that leaves gives the claim up."""
        timeout_s = min(CALL_TIMEOUT_S, request.deadline_s - trio.current_time())
        try:
            return await self.agent.call(claim, timeout_s)
        except trio.Cancelled:
            self.give_up(claim, close=False)
            raise

    async def send_granted(
        self,
        request: PlainRequest,
        claim: ClaimRequest,
        send: Callable[[], Awaitable[SendResult]],
    ) -> Outcome:
        """Use the grant, and record what came of it."""
        result = self.result_of(claim, Unknown(Reason.ANSWER_LOST))
        try:
            sent = await send()
            result = self.result_of(claim, sent)
        except BaseException:
            # Cancelled or failed on the way: a byte may have left.
            self.reports.add(result)
            raise
        if isinstance(sent, NotSent):
            # The open grant holds back every other attempt until the report closes
            # this one, so "not run" is true even if the report gets lost.
            await self.reports.send_or_add(result)
            return NotRun(sent.reason, RETRY_AFTER_S)
        self.reports.add(result)
        return sent

    def result_of(self, claim: ClaimRequest, sent: SendResult) -> ResultRecord:
        """Return the report of what came of a claim."""
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

    def give_up(self, claim: ClaimRequest, close: bool) -> None:
        """Report that a claim is never used, whether it was granted or not."""
        result = self.result_of(claim, NotSent(Reason.OWNER_UNREACHABLE))
        result.close = close and self.safeguards.close_attempts
        self.reports.add(result)

    def outcome_of(
        self, request: PlainRequest, claim: ClaimRequest, reply: Message | CallFailed
    ) -> Outcome:
        """Return what the caller is told where the claim was not granted."""
        is_first = claim.attempt == 1
        if isinstance(reply, ClaimAnswered):
            return answered(reply)
        if isinstance(reply, ClaimRefused):
            if reply.maybe_granted:
                self.give_up(claim, close=is_first)
            return refused_outcome(
                reply.outcome, reply.reason, reply.retry_after_s, reply.detail
            )
        if not isinstance(reply, CallFailed) or reply.maybe_handled:
            self.give_up(claim, close=is_first)
        if is_first:
            return NotRun(Reason.OWNER_UNREACHABLE, RETRY_AFTER_S)
        return Unknown(Reason.OWNER_UNREACHABLE)

    def note(self, request: PlainRequest, outcome: Outcome) -> None:
        """Count and log an outcome."""
        name = outcome_name(outcome)
        OUTCOMES.add(outcome=name, service=request.service)
        reason = getattr(outcome, "reason", "")
        log.info(f"ended: {name}", request=request.request_id, reason=str(reason))


def answered(reply: ClaimAnswered | CloseReply) -> Answered:
    """Return the kept answer of a reply."""
    headers = [(name, value) for name, value in reply.headers]
    return Answered(reply.status, headers, reply.body)


def refused_outcome(
    outcome: str, reason: str, retry_after_s: float, detail: str
) -> Outcome:
    """Return the outcome that a refusal stands for."""
    if outcome == RefusedKind.RUNNING:
        return Running(retry_after_s)
    if outcome == RefusedKind.NOT_RUN:
        return NotRun(Reason(reason), retry_after_s, detail)
    return Unknown(Reason(reason), detail)


def with_advice(request: PlainRequest, outcome: Outcome) -> Outcome:
    """Return an outcome that says so where the request's key is closed for good.

    A refused request without an attempt number may be any of its key's sends, so all
    of them are closed with it. `Retry-After` still says when to come back; the detail
    says how, since the same key would be refused for ever.
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
