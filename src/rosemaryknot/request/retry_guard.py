"""Use of the retry budget by the requests of a gateway."""

from typing import TYPE_CHECKING

import trio

from rosemaryknot.process.attempt_budget import AttemptBudget
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, histogram

if TYPE_CHECKING:
    from rosemaryknot.request.gateway_context import RequestContext

__all__ = ["RetryGuard"]

RETRIES = counter("gateway_retries_total", "Decisions of the retry budget by outcome.")
# Summed over the nodes, these two are what the deployment's budget compares; of one
# node, they show load that moves to it or away.
SERVICE_REQUESTS = counter(
    "gateway_service_requests_total", "Requests that earn retries, by service."
)
SERVICE_RETRIES = counter(
    "gateway_service_retries_total", "Retries that were sent, by service."
)
RETRY_WAIT = histogram(
    "gateway_retry_wait_seconds", "Time from the decision on a retry until it is sent."
)

log = logger("gateway")


class RetryGuard:
    """Decides whether requests may be sent to a server once more.

    A retry is counted when it is sent, not when it is decided: between the two it may
    wait for a server, and what waits arrives in one window with later retries.

    Parameters
    ----------
    budget : AttemptBudget
        Budget of this gateway.
    """

    __slots__ = ("budget",)

    def __init__(self, budget: AttemptBudget) -> None:
        self.budget = budget

    def record_request(self, service: str) -> None:
        """Count a request for the budget of its service."""
        SERVICE_REQUESTS.add(service=service)
        self.budget.record_request(service, trio.current_time())

    def has_retry(self, context: "RequestContext") -> bool:
        """Return whether the budget has a retry left for a request."""
        return self.budget.has_retry(context.service.name, trio.current_time())

    def is_allowed(self, context: "RequestContext") -> bool:
        """Return whether to look for a server for one more attempt."""
        if not self.has_retry(context):
            self.record_refusal(context)
            return False
        context.retry_decided_s = trio.current_time()
        return True

    def acquire(self, context: "RequestContext") -> bool:
        """Return whether the request may be sent now, and count it if it is a retry."""
        if not context.may_have_arrived:
            context.may_have_arrived = True
            return True
        now_s = trio.current_time()
        if not self.budget.acquire(context.service.name, now_s):
            self.record_refusal(context)
            return False
        RETRIES.add(outcome="sent")
        SERVICE_RETRIES.add(service=context.service.name)
        if context.retry_decided_s is not None:
            RETRY_WAIT.observe(now_s - context.retry_decided_s)
            context.retry_decided_s = None
        return True

    def explain(self, context: "RequestContext") -> dict[str, float]:
        """Return the values that decisions are computed from, to log."""
        return self.budget.explain(context.service.name, trio.current_time())

    def record_refusal(self, context: "RequestContext") -> None:
        """Count and log a request that gets no further attempt."""
        RETRIES.add(outcome="refused")
        log.info(
            "retry refused by the budget",
            request=context.request.id,
            service=context.service.name,
            **self.explain(context),
        )
