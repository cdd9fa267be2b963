"""Budget of retries that a gateway may send for each service."""

from collections import defaultdict, deque
from collections.abc import Callable

__all__ = ["AttemptBudget"]

# Share of the allowed retries that a gateway uses. The rest is for the successors of
# gateways that restart, which do not know what was sent before; see
# docs/design/retry-budget.md for the bound over all gateways.
USED_SHARE = 0.7
# Share of the allowed retries per request in the first window after a restart. No slack
# is used then: how many gateways divide it is not known yet.
RESTARTED_SHARE = 1 - USED_SHARE
# Lower bound of the assumed number of gateways, also before the others are known.
MIN_NODES = 4
# How long a gateway that appears to have failed is still counted. This is longer
# than a network partition may last plus the windows that include its end.
MAX_NODES_HOLD_S = 60.0


class AttemptBudget:
    """Retry budget by service over a sliding window.

    Each gateway enforces the limit for its own requests and for its share of the slack,
    so that all gateways together stay within it without coordination, also when any of
    them restart and forget what they sent.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    window_s : float
        Length of the window, in seconds.
    slack : float
        Additional retries that all gateways together may send in a window.
    nodes : callable
        Returns the number of reachable gateways, including this one.
    forgotten_s : float, optional
        Until when this gateway may have sent retries that it does not know, in trio
        time: its start, unless the whole system starts for the first time.

    Examples
    --------
    >>> budget = AttemptBudget(0.2, 10, 10, lambda: 1)
    >>> [budget.acquire("s", 0.0) for _ in range(2)]
    [True, False]
    """

    def __init__(
        self,
        ratio: float,
        window_s: float,
        slack: float,
        nodes: Callable[[], int],
        forgotten_s: float = float("-inf"),
    ) -> None:
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack
        self.nodes = nodes
        self.forgotten_s = forgotten_s
        self.requests: dict[str, deque[float]] = defaultdict(deque)
        self.retries: dict[str, deque[float]] = defaultdict(deque)
        self.max_nodes = MIN_NODES
        self.max_nodes_s = float("-inf")

    def set_bounds(
        self, ratio: float, window_s: float, slack: float, now_s: float
    ) -> None:
        """Apply changed bounds.

        Retries that the former window no longer held may be within a longer one, but
        are not known any more.
        """
        if window_s > self.window_s:
            self.forgotten_s = max(self.forgotten_s, now_s - self.window_s)
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack

    def record_request(self, service: str, now_s: float) -> None:
        """Record a request."""
        self.assumed_nodes(now_s)
        self.drop_expired(self.requests[service], now_s)
        self.requests[service].append(now_s)

    def move_request(self, service: str, other: str, now_s: float) -> None:
        """Count a request that was recorded for a service for another one instead."""
        if self.requests[service]:
            self.requests[service].pop()
        self.record_request(other, now_s)

    def has_retry(self, service: str, now_s: float) -> bool:
        """Return whether a retry is allowed."""
        self.drop_expired(self.retries[service], now_s)
        return len(self.retries[service]) + 1 <= self.allowed(service, now_s)

    def acquire(self, service: str, now_s: float) -> bool:
        """Acquire one retry that is sent now; return whether it is allowed."""
        if not self.has_retry(service, now_s):
            return False
        self.retries[service].append(now_s)
        return True

    def allowed(self, service: str, now_s: float) -> float:
        """Return the retries that this gateway may send in the current window."""
        self.drop_expired(self.requests[service], now_s)
        earned = self.ratio * len(self.requests[service])
        if self.is_restarted(now_s):
            return RESTARTED_SHARE * earned
        return USED_SHARE * (earned + self.slack / self.assumed_nodes(now_s))

    def is_restarted(self, now_s: float) -> bool:
        """Return whether the window may hold retries that are not known."""
        return now_s - self.forgotten_s < self.window_s

    def explain(self, service: str, now_s: float) -> dict[str, float]:
        """Return the values that a decision is computed from, to log."""
        return {
            "budget_allowed": round(self.allowed(service, now_s), 1),
            "budget_requests": len(self.requests[service]),
            "budget_retries": len(self.retries[service]),
            "budget_nodes": self.assumed_nodes(now_s),
            "budget_restarted": self.is_restarted(now_s),
        }

    def assumed_nodes(self, now_s: float) -> int:
        """Return the recent maximum of the number of gateways.

        A gateway that appears to have failed may only be partitioned and still use its
        share. If that share were distributed among the others, it would be used twice.
        """
        nodes = max(self.nodes(), MIN_NODES)
        if nodes >= self.max_nodes or now_s - self.max_nodes_s > MAX_NODES_HOLD_S:
            self.max_nodes, self.max_nodes_s = nodes, now_s
        return self.max_nodes

    def drop_expired(self, times: deque[float], now_s: float) -> None:
        """Remove the times that precede the window."""
        while times and times[0] < now_s - self.window_s:
            times.popleft()
