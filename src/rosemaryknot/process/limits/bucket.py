"""Token bucket with debt."""

import math

__all__ = ["Bucket"]


class Bucket:
    """Token bucket that refills at a constant rate up to a capacity.

    A charge larger than the capacity is admitted once the bucket is full. The excess
    becomes a debt that is repaid before any other charge is admitted. Otherwise a
    small limit would refuse its larger requests indefinitely.

    Parameters
    ----------
    rate : float
        Tokens per second; infinite if not limited.
    capacity : float
        Maximum number of tokens that accrue.
    balance : float
        Initial number of tokens; negative for a debt.
    now_s : float
        Current time.

    Attributes
    ----------
    rate, capacity, balance
        Same as the parameters; ``balance`` is the current value.
    refilled_s : float
        Time up to which accrued tokens have been added.

    Examples
    --------
    >>> bucket = Bucket(rate=10, capacity=10, balance=10, now_s=0)
    >>> bucket.acquire(25), bucket.balance
    (True, -15)
    >>> bucket.acquire(1), bucket.wait_s(1)
    (False, 1.6)
    """

    __slots__ = ("rate", "capacity", "balance", "refilled_s")

    def __init__(
        self, rate: float, capacity: float, balance: float, now_s: float
    ) -> None:
        self.rate = rate
        self.capacity = capacity
        self.balance = balance
        self.refilled_s = now_s

    def refill(self, now_s: float, leased_tokens: float = 0.0) -> None:
        """Add the tokens accrued since the last call.

        Parameters
        ----------
        now_s : float
            Current time.
        leased_tokens : float
            Tokens on lease. They count as if they were still in the bucket, because
            otherwise each lease would add to the burst that the capacity bounds.
        """
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.refilled_s = max(self.refilled_s, now_s)
        if math.isinf(self.rate):
            self.balance = math.inf
            return
        max_balance = max(self.balance, self.capacity - leased_tokens)
        self.balance = min(max_balance, self.balance + elapsed_s * self.rate)

    def release(self, tokens: float) -> None:
        """Return tokens to the bucket, or charge more if the number is negative."""
        max_balance = max(self.balance, self.capacity)
        self.balance = min(max_balance, self.balance + tokens)

    def acquire(self, tokens: float, leased_tokens: float = 0.0) -> bool:
        """Withdraw tokens; return False and withdraw nothing if there are too few."""
        if self.balance < self.needed(tokens, leased_tokens):
            return False
        self.balance -= tokens
        return True

    def needed(self, tokens: float, leased_tokens: float = 0.0) -> float:
        """Return the balance at which a number of tokens can be acquired.

        Parameters
        ----------
        tokens : float
            Tokens to acquire.
        leased_tokens : float
            Tokens on lease, which reduce the balance of a full bucket.
        """
        return min(tokens, max(0.0, self.capacity - leased_tokens))

    def wait_s(
        self, tokens: float, leased_tokens: float = 0.0, tokens_ahead: float = 0.0
    ) -> float:
        """Return the time until a number of tokens can be acquired, in seconds.

        Parameters
        ----------
        tokens : float
            Tokens to acquire.
        leased_tokens : float
            Tokens on lease.
        tokens_ahead : float
            Tokens needed by the requests queued ahead.
        """
        missing = tokens_ahead + self.needed(tokens, leased_tokens) - self.balance
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")
