"""A model request's way from the caller to its turn at the engines."""

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

__all__ = ["ModelShare", "used_tokens"]

PRIORITY_SHORT = 0
BUDGET_WAIT_S = 5.0
BUDGET_WAIT_SHARE = 0.1


def used_tokens(generation: Generation, charge: Charge) -> float:
    """Return the tokens that an ended generation used.

    Parameters
    ----------
    generation : Generation
        An ended one.
    charge : Charge
        What it was charged for the prompt and the longest answer.

    Returns
    -------
    tokens : float
        Tokens; the estimate of the prompt where no engine has counted it.
    """
    prompt = float(generation.prompt_tokens)
    if not prompt:
        is_refused = isinstance(generation.outcome, NotRun)
        prompt = 0.0 if is_refused else charge.tokens - generation.request.max_tokens
    return max(0.0, prompt) + len(generation.tokens)


class ModelShare:
    """Lets model requests pass by their customers' limits and in fair turns.

    Parameters
    ----------
    budgets : EntryBudgets
        What the customers may use.
    router : Router
        Knows the engines and their load.
    drain : Drain
        Whether the process is stopping.

    Attributes
    ----------
    queue : EngineQueue
        Whose turn it is.
    """

    def __init__(self, budgets: EntryBudgets, router: Router, drain: Drain) -> None:
        self.budgets = budgets
        self.router = router
        self.drain = drain
        budgets.is_stopping = lambda: drain.is_stopping
        self.queue = EngineQueue(self.capacity, lambda: drain.is_stopping)

    def capacity(self, service: str) -> float:
        """Return how many requests of a service may be at the engines."""
        router = self.router
        servers = router.considered(service)
        return engine_capacity(router.loads.of(server) for server in servers)

    async def admit(
        self, request: ModelRequest, limit: Limit, slot: Slot
    ) -> NotRun | None:
        """Charge a request and wait for its turn; the slot keeps what it gets.

        Parameters
        ----------
        request : ModelRequest
            The request; its engine priority is set.
        limit : Limit
            The customer's limit.
        slot : Slot
            Its slot.

        Returns
        -------
        refusal : NotRun or None
            Why it may not go on.
        """
        cost = self.expected_tokens(request)
        left_s = request.deadline_s - trio.current_time()
        charge = await self.budgets.acquire(
            request.customer,
            request.service,
            limit,
            cost,
            min(BUDGET_WAIT_S, left_s * BUDGET_WAIT_SHARE),
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
        # The process may have begun to stop while the request waited.
        stopping = self.drain.refusal()
        if isinstance(permit, NotRun):
            return stopping or permit
        slot.permit = permit
        request.priority = fair_priority(request.priority, permit.usage_level)
        return stopping

    def expected_tokens(self, request: ModelRequest) -> float:
        """Return the tokens that a request may use, by estimate."""
        chars = sum(len(str(part.get("content"))) for part in request.messages)
        prompt = self.router.sizes.tokens(request.service, chars)
        return prompt + request.max_tokens
