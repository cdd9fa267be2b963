"""Admission of model requests: customer budgets and fair queuing."""

import trio

from rosemaryknot.process.drain import Drain
from rosemaryknot.request.accounts import Charge
from rosemaryknot.request.admission import Slot
from rosemaryknot.request.budget import EntryBudgets
from rosemaryknot.request.engine_queue import (
    EngineQueue,
    engine_capacity,
    fair_priority,
)
from rosemaryknot.request.generations import Generation
from rosemaryknot.request.router import Router
from rosemaryknot.values.outcomes import NotRun
from rosemaryknot.values.requests import ModelRequest
from rosemaryknot.version.tables import Limit

__all__ = ["ModelAdmission", "used_tokens"]

PRIORITY_SHORT = 0
MAX_BUDGET_WAIT_S = 5.0
MAX_BUDGET_WAIT_SHARE = 0.1


def used_tokens(generation: Generation, charge: Charge) -> float:
    """Return the number of tokens that a finished generation used.

    Parameters
    ----------
    generation : Generation
        A generation with an outcome.
    charge : Charge
        Tokens charged at admission for the prompt and the longest response.

    Returns
    -------
    tokens : float
        Number of tokens, with the estimated prompt size if no engine reported it.
    """
    prompt = float(generation.prompt_tokens)
    if not prompt:
        is_refused = isinstance(generation.outcome, NotRun)
        prompt = 0.0 if is_refused else charge.tokens - generation.request.max_tokens
    return max(0.0, prompt) + len(generation.tokens)


class ModelAdmission:
    """Admission of model requests by customer limits and in fair order.

    Parameters
    ----------
    budgets : EntryBudgets
        Budgets of the customers.
    router : Router
        Provides the engines and their load.
    drain : Drain
        Draining state of the process.

    Attributes
    ----------
    queue : EngineQueue
        Fair queue for the engines.
    """

    def __init__(self, budgets: EntryBudgets, router: Router, drain: Drain) -> None:
        self.budgets = budgets
        self.router = router
        self.drain = drain
        budgets.is_stopping = lambda: drain.is_stopping
        self.queue = EngineQueue(self.capacity, lambda: drain.is_stopping)

    def capacity(self, service: str) -> float:
        """Return how many requests of a service may run at the engines."""
        router = self.router
        servers = router.candidate_servers(service)
        return engine_capacity(router.loads.of(server) for server in servers)

    async def admit(
        self, request: ModelRequest, limit: Limit, slot: Slot
    ) -> NotRun | None:
        """Charge a request and wait in the queue; store both results in the slot.

        Parameters
        ----------
        request : ModelRequest
            The request; its engine priority is updated.
        limit : Limit
            The customer's limit.
        slot : Slot
            Admission slot of the request.

        Returns
        -------
        refusal : NotRun or None
            Reason for a refusal, or None if the request is admitted.
        """
        cost = self.expected_tokens(request)
        remaining_s = request.deadline_s - trio.current_time()
        charge = await self.budgets.acquire(
            request.customer,
            request.service,
            limit,
            cost,
            min(MAX_BUDGET_WAIT_S, remaining_s * MAX_BUDGET_WAIT_SHARE),
        )
        if isinstance(charge, NotRun):
            return self.drain.refusal() or charge
        slot.charge = charge
        permit = await self.queue.acquire(
            request.customer,
            request.service,
            cost,
            request.priority == PRIORITY_SHORT,
            request.deadline_s,
        )
        # The process may have started to stop while the request waited.
        stopping = self.drain.refusal()
        if isinstance(permit, NotRun):
            return stopping or permit
        slot.permit = permit
        request.priority = fair_priority(request.priority, permit.usage_level)
        return stopping

    def expected_tokens(self, request: ModelRequest) -> float:
        """Return the estimated maximum number of tokens that a request uses."""
        chars = sum(len(str(message.get("content"))) for message in request.messages)
        prompt = self.router.token_estimator.tokens(request.service, chars)
        return prompt + request.max_tokens
