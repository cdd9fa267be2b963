"""Customers' limits across all gateways, tracked by exchanging usage reports.

Load pattern: one customer sends many times its usual load through all gateways at the
same time. A limit consists of a rate and a burst; within any window of the configured
length, a customer may acquire the rate times the window plus the burst. Every gateway
keeps the same account of the window: its own usage and the usage that the others
report. Between two reports it does not see what the others acquire. While the total
demand could exhaust the remaining units in that time, each gateway therefore admits
only the fraction of its requests that the remaining units cover. The fraction is the
same for all request sizes and gateways. Usage of silent gateways is estimated from
their shares.

Remaining units are not distributed to gateways as fixed shares: a small customer's
share at each of twenty gateways would be less than one long prompt and remain unused.
"""

import random
from collections import deque
from dataclasses import dataclass, field

from rosemaryknot.process.limit_usage import LimitUsage
from rosemaryknot.values.gateway import CustomerLimit

__all__ = ["QuotaTracker"]

# Usage in a window is summed in slots of this length, in seconds.
WINDOW_SLOT_S = 0.25
# Smoothing time of the measured demand: long compared with the report interval, short
# compared with the window of a limit.
DEMAND_SMOOTHING_S = 1.0
# All requests are admitted only if the remaining units cover the total demand for this
# long, in seconds: the time until a gateway's usage has been reported to all others.
# Reports are sent every quarter second; through hubs, three of them follow one another.
HEADROOM_S = 0.4
HUB_HEADROOM_S = 0.8
# Share of the burst that a gateway counts, in addition to the rate, as acquired before
# its start. With the whole burst, it would admit no request for a third of a second.
ASSUMED_BURST_SHARE = 0.9
# Bounds on the time after which refused callers are told to retry.
MIN_WAIT_S = 0.1
MAX_WAIT_S = 2.0


@dataclass(slots=True)
class Account:
    """State of one customer's limit on this gateway.

    Attributes
    ----------
    limit : CustomerLimit
        Current limit.
    updated_s : float
        Time of the last update.
    slots : collections.deque of list of (float, float)
        Start times and units of the window's slots.
    acquired : float
        Units acquired in the window.
    total : float
        Units acquired by this gateway since its start.
    limit_usage : LimitUsage
        Usage of the other gateways.
    """

    limit: CustomerLimit
    updated_s: float
    slots: deque = field(default_factory=deque)
    acquired: float = 0.0
    total: float = 0.0
    limit_usage: LimitUsage = field(default_factory=lambda: LimitUsage(own_nodes=1))

    def count(self, units: float, now_s: float) -> None:
        """Add units to the window; a negative number releases units."""
        self.acquired += units
        if self.slots and now_s - self.slots[-1][0] < WINDOW_SLOT_S:
            self.slots[-1][1] += units
        else:
            self.slots.append([now_s, units])

    def expire(self, before_s: float) -> None:
        """Remove the slots that lie before the window."""
        while self.slots and self.slots[0][0] + WINDOW_SLOT_S < before_s:
            self.acquired -= self.slots.popleft()[1]


class QuotaTracker:
    """Tracker of all customers' limits.

    Parameters
    ----------
    window_s : float
        Length of the window in which limits apply, in seconds.
    is_first_start : bool
        Whether the whole system starts for the first time. A restarted gateway does
        not know what was acquired just before and assumes nearly the whole limit.
    rng : random.Random
        Decides which requests are admitted when only a fraction of them is.

    Attributes
    ----------
    accounts : dict of str to Account
        Accounts by customer.
    nodes : int
        Number of live gateways, this one included.
    headroom_s : float
        How long the remaining units must cover the total demand, in seconds.

    Examples
    --------
    A window of two seconds holds 30 units here, and the next window starts empty.

    >>> tracker = QuotaTracker(2.0, True, random.Random(1))
    >>> limit = CustomerLimit("ada", rate=10, burst=10)
    >>> [tracker.acquire(limit, 10, 0.0) for _ in range(4)]
    [0.0, 0.0, 0.0, 1.0]
    >>> tracker.tick(2.5, 1)
    >>> tracker.acquire(limit, 10, 2.5)
    0.0
    """

    def __init__(
        self, window_s: float, is_first_start: bool, rng: random.Random
    ) -> None:
        self.rng = rng
        self.window_s = window_s
        self.is_first_start = is_first_start
        self.accounts: dict[str, Account] = {}
        self.nodes = 1
        self.headroom_s = HEADROOM_S

    def account(self, limit: CustomerLimit, now_s: float) -> Account:
        """Return a customer's account, updated to the current limit."""
        account = self.accounts.get(limit.name)
        if account is None:
            account = self.accounts[limit.name] = Account(limit, now_s)
            if not self.is_first_start:
                self.assume_past_usage(account, now_s)
        account.limit = limit
        return account

    def assume_past_usage(self, account: Account, now_s: float) -> None:
        """Count nearly all of the window before this gateway's start as acquired.

        A customer may have used its whole window just before all gateways were killed.
        When only the rate was counted, each gateway granted the burst again
        immediately, and a window held up to 1.6 times the limit.
        """
        limit = account.limit
        whole = limit.rate * self.window_s + ASSUMED_BURST_SHARE * limit.burst
        count = max(1, round(self.window_s / WINDOW_SLOT_S))
        for number in range(count, 0, -1):
            account.count(whole / count, now_s - number * WINDOW_SLOT_S)

    def remaining(self, account: Account) -> float:
        """Return the units of the window that are not acquired."""
        limit = account.limit
        return limit.rate * self.window_s + limit.burst - account.acquired

    def admission_probability(self, account: Account, units: float) -> float:
        """Return the fraction of requests to admit; 1 or more if all are admitted.

        A request larger than the remaining units is admitted with a probability equal
        to the ratio of the two. If such requests were always refused, the remaining
        units would not be used; if they were always admitted, each gateway would
        exceed the limit by one request.
        """
        remaining = self.remaining(account)
        if remaining <= 0:
            return 0.0
        # Gateways that have not reported this customer yet may have the same demand.
        # Otherwise each gateway would acquire the whole limit for itself at the
        # customer's first requests.
        known = 1 + account.limit_usage.nodes
        demand = account.limit_usage.total_demand * max(self.nodes, known) / known
        # Until another gateway has reported, the total demand is extrapolated from
        # this gateway to all others, so a single request makes it many times too large.
        headroom_s = self.headroom_s if account.limit_usage.nodes else HEADROOM_S
        return remaining / max(headroom_s * demand, units)

    def update(self, account: Account, now_s: float) -> None:
        """Update an account to the current time."""
        passed_s = now_s - account.updated_s
        if passed_s <= 0:
            return
        account.updated_s = now_s
        account.limit_usage.own_demand *= max(0.0, 1 - passed_s / DEMAND_SMOOTHING_S)
        account.expire(now_s - self.window_s)
        account.count(account.limit_usage.estimate_silent(now_s), now_s)

    def acquire(self, limit: CustomerLimit, units: float, now_s: float) -> float:
        """Acquire units of a customer's limit.

        Returns
        -------
        wait_s : float
            0 if the units were acquired, else the time after which to retry, in
            seconds.
        """
        account = self.account(limit, now_s)
        self.update(account, now_s)
        limit_usage = account.limit_usage
        limit_usage.own_demand += units / DEMAND_SMOOTHING_S
        if self.rng.random() < self.admission_probability(account, units):
            account.count(units, now_s)
            account.total += units
            limit_usage.observed_units += units
            return 0.0
        pace = limit.rate * limit_usage.own_demand / limit_usage.total_demand
        return min(max(units / pace, MIN_WAIT_S), MAX_WAIT_S)

    def release(self, limit: CustomerLimit, units: float, now_s: float) -> None:
        """Release the units of a request that was refused for another reason.

        The other gateways then receive a smaller total and count nothing until it
        exceeds the last total that they recorded.
        """
        account = self.account(limit, now_s)
        account.count(-units, now_s)
        account.total -= units

    def tick(self, now_s: float, nodes: int) -> None:
        """Update all accounts to the current time, before a report."""
        self.nodes = nodes
        for account in self.accounts.values():
            self.update(account, now_s)

    def record_peer(
        self,
        limit: CustomerLimit,
        node: str,
        incarnation: int,
        total: float,
        demand: float,
        now_s: float,
    ) -> None:
        """Count the usage that another gateway reports."""
        account = self.account(limit, now_s)
        # A gateway that started after the system's first start has already assumed the
        # usage before its own start.
        is_new_here = (
            node not in account.limit_usage.sources and not self.is_first_start
        )
        seen = total if is_new_here else 0.0
        limit_usage = account.limit_usage
        units = limit_usage.record(node, incarnation, total, demand, now_s, seen=seen)
        account.count(units, now_s)

    def record_others(
        self,
        limit: CustomerLimit,
        name: str,
        nodes: int,
        acquired: float,
        demand: float,
        now_s: float,
    ) -> None:
        """Count new usage of several other gateways that are reported as one."""
        account = self.account(limit, now_s)
        known = account.limit_usage.sources.get(name)
        total = acquired if known is None else known.total + acquired
        units = account.limit_usage.record(name, 0, total, demand, now_s, nodes)
        account.count(units, now_s)

    def set_hub_reporting(self, is_through_hubs: bool) -> None:
        """Switch between direct reports and reports through hubs.

        Removes the usage of the other gateways, which arrives from other sources from
        now on.
        """
        self.headroom_s = HUB_HEADROOM_S if is_through_hubs else HEADROOM_S
        for account in self.accounts.values():
            for name in list(account.limit_usage.sources):
                account.limit_usage.remove(name)

    def explain(self, limit: CustomerLimit) -> dict[str, float]:
        """Return the values that admission of a customer is computed from, to log."""
        account = self.accounts[limit.name]
        limit_usage = account.limit_usage
        report_times = [source.last_report_s for source in limit_usage.sources.values()]
        return {
            "rate": limit.rate,
            "burst": limit.burst,
            "left": round(self.remaining(account)),
            "chance": round(self.admission_probability(account, 1.0), 3),
            "demand": round(limit_usage.own_demand),
            "demand_all": round(limit_usage.total_demand),
            "nodes": self.nodes,
            "oldest_report_s": round(
                account.updated_s - min(report_times, default=account.updated_s), 2
            ),
        }

    def report(self) -> dict[str, list[float]]:
        """Return total and demand by customer, to send to the other gateways."""
        return {
            name: [round(account.total, 1), round(account.limit_usage.own_demand, 1)]
            for name, account in self.accounts.items()
        }

    def remove_expired(self, now_s: float) -> None:
        """Remove gateways whose last report has expired."""
        for account in self.accounts.values():
            account.limit_usage.remove_expired(now_s)
