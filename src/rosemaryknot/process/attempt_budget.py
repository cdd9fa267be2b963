"""How many attempts beyond the first a gateway may make for each service."""

from collections import defaultdict, deque
from collections.abc import Callable

__all__ = ["AttemptBudget"]

# Part of the bound that is used; the rest is for attempts that count twice because
# two gateways' windows do not begin at once.
USED_SHARE = 0.8
# Gateways assumed before the others are known.
LEAST_NODES = 4
# How long a gateway that seems dead is counted on; longer than a partition may last
# and the windows that see its end.
COUNTED_S = 60.0


class AttemptBudget:
    """Counts requests and further attempts over a sliding window.

    Each gateway keeps the bound for its own requests and its part of what is allowed
    besides, so that all of them together keep it without asking each other.

    Parameters
    ----------
    ratio : float
        Further attempts for each request.
    window_s : float
        Length of the window, in seconds.
    slack : float
        Attempts that all gateways together may make besides.
    nodes : callable
        Returns how many gateways there are.

    Examples
    --------
    >>> budget = AttemptBudget(0.2, 10, 10, lambda: 1)
    >>> [budget.take("s", 0.0) for _ in range(3)]
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
        self.further: dict[str, deque[float]] = defaultdict(deque)
        self.most_nodes = LEAST_NODES
        self.most_s = float("-inf")

    def record_request(self, service: str, now_s: float) -> None:
        """Count a request."""
        self.counted_nodes(now_s)
        self.drop_old(self.requests[service], now_s)
        self.requests[service].append(now_s)

    def take(self, service: str, now_s: float) -> bool:
        """Count a further attempt, if there may be one."""
        requests, further = self.requests[service], self.further[service]
        self.drop_old(requests, now_s)
        self.drop_old(further, now_s)
        part = self.slack / self.counted_nodes(now_s)
        allowed = USED_SHARE * (self.ratio * len(requests) + part)
        if len(further) + 1 > allowed:
            return False
        further.append(now_s)
        return True

    def counted_nodes(self, now_s: float) -> int:
        """Return the most gateways of late: one that seems dead may be cut off.

        It goes on spending its part where it is; dealt out anew among the others, that
        part would be spent twice.
        """
        nodes = max(self.nodes(), LEAST_NODES)
        if nodes >= self.most_nodes or now_s - self.most_s > COUNTED_S:
            self.most_nodes, self.most_s = nodes, now_s
        return self.most_nodes

    def drop_old(self, times: deque[float], now_s: float) -> None:
        """Forget what lies before the window."""
        while times and times[0] < now_s - self.window_s:
            times.popleft()
