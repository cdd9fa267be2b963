"""Budget of retries that a gateway may make for each service."""

from collections import defaultdict, deque
from collections.abc import Callable

__all__ = ["AttemptBudget"]

# Share of the allowed retries that a gateway uses. The rest is a margin for attempts
# that count twice because the windows of two gateways do not start at the same time.
USED_SHARE = 0.8
# Lower bound of the assumed number of gateways, also before the others are known.
MIN_NODES = 4
# How long a gateway that appears to have failed is still counted. This is longer
# than a network partition may last plus the windows that include its end.
MAX_NODES_HOLD_S = 60.0


class AttemptBudget:
    """Retry budget by service over a sliding window.

    Each gateway enforces the limit for its own requests and for its share of the slack,
    so that all gateways together stay within it without coordination.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    window_s : float
        Length of the window, in seconds.
    slack : float
        Additional retries that all gateways together may make in a window.
    nodes : callable
        Returns the number of reachable gateways, including this one.

    Examples
    --------
    >>> budget = AttemptBudget(0.2, 10, 10, lambda: 1)
    >>> [budget.acquire("s", 0.0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(
        self,
        ratio: float,
        window_s: float,
        slack: float,
        nodes: Callable[[], int],
    ) -> None:
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack
        self.nodes = nodes
        self.requests: dict[str, deque[float]] = defaultdict(deque)
        self.retries: dict[str, deque[float]] = defaultdict(deque)
        self.max_nodes = MIN_NODES
        self.max_nodes_s = float("-inf")

    def record_request(self, service: str, now_s: float) -> None:
        """Record a request."""
        self.assumed_nodes(now_s)
        self.drop_expired(self.requests[service], now_s)
        self.requests[service].append(now_s)

    def acquire(self, service: str, now_s: float) -> bool:
        """Acquire one retry; return whether it is allowed."""
        requests, retries = self.requests[service], self.retries[service]
        self.drop_expired(requests, now_s)
        self.drop_expired(retries, now_s)
        slack_share = self.slack / self.assumed_nodes(now_s)
        allowed = USED_SHARE * (self.ratio * len(requests) + slack_share)
        if len(retries) + 1 > allowed:
            return False
        retries.append(now_s)
        return True

    def explain(self, service: str, now_s: float) -> dict[str, float]:
        """Return the values that a decision is computed from, to log."""
        self.drop_expired(self.requests[service], now_s)
        self.drop_expired(self.retries[service], now_s)
        return {
            "budget_requests": len(self.requests[service]),
            "budget_retries": len(self.retries[service]),
            "budget_slack": self.slack,
            "budget_nodes": self.assumed_nodes(now_s),
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
