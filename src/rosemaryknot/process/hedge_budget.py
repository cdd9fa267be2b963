"""Limit of connections that are tried by a second path in vain."""

import trio

__all__ = ["HedgeBudget"]

# Connections that may be tried through peers in vain: at once, for each second, and for
# each connection that the node opens by itself.
MAX_HEDGES = 20.0
HEDGES_PER_S = 1.0
HEDGES_PER_CONNECTION = 0.1


class HedgeBudget:
    """Limit of the connections that are tried through a peer in vain.

    While all servers are overloaded, they accept connections late. If each node tried
    them through peers too, they would get several times as many. A connection that a
    peer opens costs nothing, so that a node that is cut off is not limited.

    Attributes
    ----------
    balance : float
        Attempts that are left.
    refilled_s : float
        Until when the balance was refilled, in trio time.
    """

    def __init__(self) -> None:
        self.balance = MAX_HEDGES
        self.refilled_s = trio.current_time()

    def acquire(self) -> bool:
        """Return whether an attempt may be made, and count it."""
        now_s = trio.current_time()
        accrued = (now_s - self.refilled_s) * HEDGES_PER_S
        self.balance = min(MAX_HEDGES, self.balance + accrued)
        self.refilled_s = now_s
        if self.balance < 1:
            return False
        self.balance -= 1
        return True

    def give_back(self) -> None:
        """Record that a peer opened the connection."""
        self.balance += 1

    def record_opened(self) -> None:
        """Record a connection that this node opened by itself."""
        self.balance = min(MAX_HEDGES, self.balance + HEDGES_PER_CONNECTION)
