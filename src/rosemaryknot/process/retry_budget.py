"""How many retries a service may get, as a share of what succeeds there."""

__all__ = ["RetryBudget", "RetryBudgets"]

SHARE_OF_SUCCESSES = 0.1
MAX_SAVED = 10.0


class RetryBudget:
    """Retries that one service may still get.

    When a service fails as a whole, retries multiply its load and keep it down.
    Each retry costs one unit and each success earns `SHARE_OF_SUCCESSES` of one, so
    a failing service sees at most a tenth more than what callers send.

    Attributes
    ----------
    saved : float
        Retries that may be made now.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> all(budget.take() for _ in range(10)), budget.take()
    (True, False)
    """

    __slots__ = ("saved",)

    def __init__(self) -> None:
        self.saved = MAX_SAVED

    def note_success(self) -> None:
        """Count a request that succeeded."""
        self.saved = min(MAX_SAVED, self.saved + SHARE_OF_SUCCESSES)

    def take(self) -> bool:
        """Take one retry; False where none is left."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


class RetryBudgets:
    """Budgets by service."""

    def __init__(self) -> None:
        self.by_service: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        return self.by_service.setdefault(service, RetryBudget())
