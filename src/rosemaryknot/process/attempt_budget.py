"""Budget of retries that a gateway may send for each service."""

from collections import defaultdict, deque
from collections.abc import Callable

__all__ = ["AttemptBudget"]

# Shares of the ratio that a request earns, and that a gateway may save of what the
# requests of its last window earned. A window of the deployment holds at most what all
# gateways had saved before it and what they earn in it: the two add up to the share of
# the budget that is used. The rest is for retries that arrive later than they are sent.
EARNED_SHARE = 0.6
SAVED_SHARE = 0.3
SLACK_SHARE = 0.9
# Lower bound of the assumed number of gateways, also before the others are known.
MIN_NODES = 4
# How long a gateway that appears to have failed is still counted. This is longer
# than a network partition may last plus the windows that include its end.
MAX_NODES_HOLD_S = 60.0
# Parts of a retry add up to one only within the precision of their sum.
ROUNDING_ERROR = 1e-9


class ServiceAccount:
    """What a gateway may spend on retries to one service.

    Attributes
    ----------
    requests : deque of float
        Times of the requests of the last window, in trio time.
    retries : deque of float
        Times of the retries that were sent in the last window, to log their number.
    saved : float
        Retries that requests have earned and that were not sent.
    slack_uses : deque of tuple of (float, float)
        Time and amount of the slack that was used in the last window. A retry may use
        a part of one.
    """

    __slots__ = ("requests", "retries", "saved", "slack_uses")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()
        self.saved = 0.0
        self.slack_uses: deque[tuple[float, float]] = deque()

    def drop_expired(self, start_s: float) -> None:
        """Remove what precedes the start of the window."""
        for times in (self.requests, self.retries):
            while times and times[0] < start_s:
                times.popleft()
        while self.slack_uses and self.slack_uses[0][0] < start_s:
            self.slack_uses.popleft()

    def used_slack(self) -> float:
        """Return the slack that was used in the last window."""
        return sum(amount for _, amount in self.slack_uses)


class AttemptBudget:
    """Retry budget of one gateway, by service.

    Each gateway spends what its own requests earn and its share of the slack, so that
    all gateways together stay within the deployment's budget without coordination, also
    when load moves between them and when they restart and forget what they sent. See
    docs/design/retry-budget.md for the bound.

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
        Until when this gateway may have used slack that it does not know, in trio time:
        its start, unless the whole system starts for the first time.

    Examples
    --------
    >>> budget = AttemptBudget(0.2, 10, 5, lambda: 1)
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
        self.accounts: dict[str, ServiceAccount] = defaultdict(ServiceAccount)
        self.max_nodes = MIN_NODES
        self.max_nodes_s = float("-inf")

    def set_bounds(
        self, ratio: float, window_s: float, slack: float, now_s: float
    ) -> None:
        """Apply changed bounds.

        Slack that the former window no longer held may be within a longer one, but is
        not known any more.
        """
        if window_s > self.window_s:
            self.forgotten_s = max(self.forgotten_s, now_s - self.window_s)
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack

    def record_request(self, service: str, now_s: float) -> None:
        """Record a request, which earns a part of a retry."""
        self.assumed_nodes(now_s)
        account = self.current_account(service, now_s)
        account.requests.append(now_s)
        account.saved += EARNED_SHARE * self.ratio
        self.limit_saved(account)

    def has_retry(self, service: str, now_s: float) -> bool:
        """Return whether a retry is allowed."""
        return self.allowed(service, now_s) >= 1 - ROUNDING_ERROR

    def acquire(self, service: str, now_s: float) -> bool:
        """Acquire one retry that is sent now; return whether it is allowed."""
        if not self.has_retry(service, now_s):
            return False
        account = self.accounts[service]
        account.retries.append(now_s)
        earned = min(1.0, account.saved)
        account.saved -= earned
        if earned < 1:
            account.slack_uses.append((now_s, 1 - earned))
        return True

    def allowed(self, service: str, now_s: float) -> float:
        """Return the retries that this gateway may send now."""
        account = self.current_account(service, now_s)
        return account.saved + self.unused_slack(account, now_s)

    def unused_slack(self, account: ServiceAccount, now_s: float) -> float:
        """Return the part of this gateway's share of the slack that it may still use.

        A process that has started within the window does not know what its predecessor
        has used of it, nor how many gateways divide it.
        """
        if self.is_restarted(now_s):
            return 0.0
        share = SLACK_SHARE * self.slack / self.assumed_nodes(now_s)
        return max(0.0, share - account.used_slack())

    def current_account(self, service: str, now_s: float) -> ServiceAccount:
        """Return the account of a service as of now."""
        account = self.accounts[service]
        account.drop_expired(now_s - self.window_s)
        self.limit_saved(account)
        return account

    def limit_saved(self, account: ServiceAccount) -> None:
        """Drop what is saved beyond the share of the last window's requests."""
        limit = SAVED_SHARE * self.ratio * len(account.requests)
        account.saved = min(account.saved, limit)

    def is_restarted(self, now_s: float) -> bool:
        """Return whether slack may have been used in the window that is not known."""
        return now_s - self.forgotten_s < self.window_s

    def explain(self, service: str, now_s: float) -> dict[str, float]:
        """Return the values that a decision is computed from, to log."""
        allowed = self.allowed(service, now_s)
        account = self.accounts[service]
        return {
            "budget_allowed": round(allowed, 1),
            "budget_requests": len(account.requests),
            "budget_retries": len(account.retries),
            "budget_saved": round(account.saved, 1),
            "budget_slack_used": round(account.used_slack(), 1),
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
