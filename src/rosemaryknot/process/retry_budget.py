"""Retry budget of a service, as a share of its successful requests."""

__all__ = ["RetryBudget", "RetryBudgets"]

RETRIES_PER_SUCCESS = 0.1
MAX_RETRIES = 10.0
# A process does not know what its predecessor spent: with the whole budget, each start
# of an entry would add ten retries. Three are needed to eject a silent server.
INITIAL_RETRIES = 3.0


class RetryBudget:
    """Token bucket of the retries for one service.

    If a service fails as a whole, retries multiply its load and prevent its recovery.
    Each retry costs one unit and each success adds `RETRIES_PER_SUCCESS` units, so the
    load on a failing service exceeds that of the callers by at most a tenth, and three
    retries for each start of a process.

    Attributes
    ----------
    available : float
        Retries that are currently available.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> all(budget.acquire() for _ in range(3)), budget.acquire()
    (True, False)
    """

    __slots__ = ("available",)

    def __init__(self) -> None:
        self.available = INITIAL_RETRIES

    def record_success(self) -> None:
        """Record a successful request."""
        self.available = min(MAX_RETRIES, self.available + RETRIES_PER_SUCCESS)

    def acquire(self) -> bool:
        """Acquire one retry; return False if none is available."""
        if self.available < 1:
            return False
        self.available -= 1
        return True


class RetryBudgets:
    """Retry budgets by service."""

    def __init__(self) -> None:
        self.by_service: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        return self.by_service.setdefault(service, RetryBudget())
