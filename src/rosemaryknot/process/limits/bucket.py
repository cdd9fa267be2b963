"""A bucket of tokens that fills at a rate."""

import math

__all__ = ["Bucket"]


class Bucket:
    """Tokens that accrue at a rate up to a capacity.

    Any one charge is admitted once the bucket holds as much as it can, even when the
    charge is larger; the rest becomes a debt that is paid before anything else. A
    small limit would otherwise refuse its larger requests for ever.

    Parameters
    ----------
    rate : float
        Tokens a second; infinite where nothing is limited.
    capacity : float
        Most tokens that accrue.
    balance : float
        Tokens at the start; negative for a debt.
    now_s : float
        Time of the start.

    Attributes
    ----------
    rate, capacity, balance
        As the parameters.
    filled_s : float
        Time up to which tokens have accrued.

    Examples
    --------
    >>> bucket = Bucket(rate=10, capacity=10, balance=10, now_s=0)
    >>> bucket.take(25), bucket.balance
    (True, -15)
    >>> bucket.take(1), bucket.wait_s(1)
    (False, 1.6)
    """

    __slots__ = ("rate", "capacity", "balance", "filled_s")

    def __init__(
        self, rate: float, capacity: float, balance: float, now_s: float
    ) -> None:
        self.rate = rate
        self.capacity = capacity
        self.balance = balance
        self.filled_s = now_s

    def fill(self, now_s: float, held: float = 0.0) -> None:
        """Let tokens accrue.

        Parameters
        ----------
        now_s : float
            The time.
        held : float
            Tokens on lease: they count as if they were still in the bucket, or
            each lease would add to the burst that the capacity bounds.
        """
        passed_s = max(0.0, now_s - self.filled_s)
        self.filled_s = max(self.filled_s, now_s)
        if math.isinf(self.rate):
            self.balance = math.inf
            return
        room = max(self.balance, self.capacity - held)
        self.balance = min(room, self.balance + passed_s * self.rate)

    def give_back(self, tokens: float) -> None:
        """Take tokens back, or charge more where they are negative."""
        room = max(self.balance, self.capacity)
        self.balance = min(room, self.balance + tokens)

    def take(self, tokens: float, held: float = 0.0) -> bool:
        """Take tokens; False, and nothing taken, where there are too few."""
        if self.balance < self.needed(tokens, held):
            return False
        self.balance -= tokens
        return True

    def needed(self, tokens: float, held: float = 0.0) -> float:
        """Return the balance at which as many tokens can be taken.

        Parameters
        ----------
        tokens : float
            Tokens to take.
        held : float
            Tokens on lease, which the bucket is short of when it is full.
        """
        return min(tokens, max(0.0, self.capacity - held))

    def wait_s(self, tokens: float, held: float = 0.0, ahead: float = 0.0) -> float:
        """Return the time until as many tokens can be taken, in seconds.

        Parameters
        ----------
        tokens : float
            Tokens to take.
        held : float
            Tokens on lease.
        ahead : float
            Tokens that others will take before.
        """
        missing = ahead + self.needed(tokens, held) - self.balance
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")
