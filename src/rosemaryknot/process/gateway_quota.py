"""Customers' limits over all gateways, by what each tells the others it has taken.

Load pattern: one customer sends many times its usual, at all gateways at once. A limit
is a rate and a burst; within any window of the deployment's length a customer may take
the rate times the window and the burst. Every gateway keeps the same account of the
window: its own takings and what the others tell. Between two reports it does not see
what the others take; so while the demand of all could use up what is left meanwhile,
each gateway lets as large a part of its requests pass as what is left covers. The part
is the same for all sizes and gateways. What gateways that are not heard take meanwhile
is counted by their shares.

Dealt out in shares, what is left of a small customer's limit is less than one long
prompt at each of twenty gateways, and lies unused there.
"""

import random
from collections import deque
from dataclasses import dataclass, field

from rosemaryknot.process.limit_takings import LimitTakings
from rosemaryknot.values.gateway import CustomerLimit

__all__ = ["QuotaBook"]

# Takings of a window are added up in slots of this length, in seconds.
SLOT_S = 0.25
# Of the measured demand; long against a report, short against a window of limits.
DEMAND_S = 1.0
# What is left must cover the demand of all for this long before all requests pass, in
# seconds: until all have heard of what one has taken. Reports come each quarter second;
# through hubs three of them follow one another.
COVER_S = 0.4
HUB_COVER_S = 0.8
# Of the burst, what counts as taken before a start besides the rate. With all of it,
# no request would pass for a third of a second.
PAST_BURST = 0.9
# Refused callers come back after at least this time, and at most this one.
LEAST_WAIT_S = 0.1
MAX_WAIT_S = 2.0


@dataclass(slots=True)
class Account:
    """One customer's limit as this gateway sees it.

    Attributes
    ----------
    limit : CustomerLimit
        The limit in force.
    slots : collections.deque of list of (float, float)
        Begin and units of the window's slots.
    taken : float
        Units in the window.
    total : float
        Units that it has taken since its start.
    takings : LimitTakings
        What the other gateways have taken.
    """

    limit: CustomerLimit
    at_s: float
    slots: deque = field(default_factory=deque)
    taken: float = 0.0
    total: float = 0.0
    takings: LimitTakings = field(default_factory=lambda: LimitTakings(own_nodes=1))

    def count(self, units: float, now_s: float) -> None:
        """Count takings in the window; fewer than nothing takes some back."""
        self.taken += units
        if self.slots and now_s - self.slots[-1][0] < SLOT_S:
            self.slots[-1][1] += units
        else:
            self.slots.append([now_s, units])

    def expire(self, before_s: float) -> None:
        """Forget what lies before the window."""
        while self.slots and self.slots[0][0] + SLOT_S < before_s:
            self.taken -= self.slots.popleft()[1]


class QuotaBook:
    """Accounts of all customers.

    Parameters
    ----------
    window_s : float
        Over which limits count, in seconds.
    is_first_start : bool
        Whether the whole system starts for the first time. A gateway that starts
        again does not know what was taken just before, and assumes nearly all.
    rng : random.Random
        Decides on requests larger than the room.

    Attributes
    ----------
    accounts : dict of str to Account
        By customer.
    cover_s : float
        How long the demand of all is to be covered by what is left.

    Examples
    --------
    A window of two seconds holds 30 units here, and the next one begins empty.

    >>> book = QuotaBook(2.0, True, random.Random(1))
    >>> limit = CustomerLimit("ada", rate=10, burst=10)
    >>> [book.take(limit, 10, 0.0) for _ in range(4)]
    [0.0, 0.0, 0.0, 1.0]
    >>> book.tick(2.5, 1)
    >>> book.take(limit, 10, 2.5)
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
        self.cover_s = COVER_S

    def account(self, limit: CustomerLimit, now_s: float) -> Account:
        """Return a customer's account, with the limit that is in force."""
        account = self.accounts.get(limit.name)
        if account is None:
            account = self.accounts[limit.name] = Account(limit, now_s)
            if not self.is_first_start:
                self.assume_past(account, now_s)
        account.limit = limit
        return account

    def assume_past(self, account: Account, now_s: float) -> None:
        """Count nearly all of the window before this gateway's start as taken.

        A customer may have used its whole window just before all gateways were killed;
        with only the rate counted, each granted the burst anew at once, and a window
        held up to 1.6 times the limit.
        """
        limit = account.limit
        whole = limit.rate * self.window_s + PAST_BURST * limit.burst
        count = max(1, round(self.window_s / SLOT_S))
        for number in range(count, 0, -1):
            account.count(whole / count, now_s - number * SLOT_S)

    def left(self, account: Account) -> float:
        """Return what of the window is not taken."""
        limit = account.limit
        return limit.rate * self.window_s + limit.burst - account.taken

    def chance(self, account: Account, units: float) -> float:
        """Return the part of such requests that passes; 1 or more where all do.

        A request larger than what is left passes as often as that is a part of it:
        were it refused each time, the rest would lie unused; were it taken each time,
        each gateway would go over by one request.
        """
        left = self.left(account)
        if left <= 0:
            return 0.0
        # Gateways that have not told of this customer yet may ask just as much: at
        # its first requests, each one would take all for itself.
        known = 1 + account.takings.nodes
        demand = account.takings.demand_of_all * max(self.nodes, known) / known
        # While nobody else has told, the demand of all is this gateway's times all
        # gateways, which a single request makes many times too large.
        cover_s = self.cover_s if account.takings.nodes else COVER_S
        return left / max(cover_s * demand, units)

    def refresh(self, account: Account, now_s: float) -> None:
        """Bring an account up to now."""
        passed_s = now_s - account.at_s
        if passed_s <= 0:
            return
        account.at_s = now_s
        account.takings.own_demand *= max(0.0, 1 - passed_s / DEMAND_S)
        account.expire(now_s - self.window_s)
        account.count(account.takings.assume(now_s), now_s)

    def take(self, limit: CustomerLimit, units: float, now_s: float) -> float:
        """Take units from a customer's limit.

        Returns
        -------
        wait_s : float
            0 where they were taken, else when to come back, in seconds.
        """
        account = self.account(limit, now_s)
        self.refresh(account, now_s)
        takings = account.takings
        takings.own_demand += units / DEMAND_S
        if self.rng.random() < self.chance(account, units):
            account.count(units, now_s)
            account.total += units
            takings.heard += units
            return 0.0
        pace = limit.rate * takings.own_demand / takings.demand_of_all
        return min(max(units / pace, LEAST_WAIT_S), MAX_WAIT_S)

    def give_back(self, limit: CustomerLimit, units: float, now_s: float) -> None:
        """Give back what a request took that was refused after all.

        The others hear of a smaller total, and count nothing until it has grown
        beyond what they know.
        """
        account = self.account(limit, now_s)
        account.count(-units, now_s)
        account.total -= units

    def tick(self, now_s: float, nodes: int) -> None:
        """Bring all accounts up to now, before a report."""
        self.nodes = nodes
        for account in self.accounts.values():
            self.refresh(account, now_s)

    def note_peer(
        self,
        limit: CustomerLimit,
        node: str,
        incarnation: int,
        total: float,
        demand: float,
        now_s: float,
    ) -> None:
        """Count what another gateway tells that it has taken."""
        account = self.account(limit, now_s)
        # A gateway that starts later has assumed what was taken before its time.
        is_new_here = node not in account.takings.sources and not self.is_first_start
        seen = total if is_new_here else 0.0
        takings = account.takings
        units = takings.note(node, incarnation, total, demand, now_s, seen=seen)
        account.count(units, now_s)

    def note_others(
        self,
        limit: CustomerLimit,
        name: str,
        nodes: int,
        taken: float,
        demand: float,
        now_s: float,
    ) -> None:
        """Count what several other gateways, told of as one, have newly taken."""
        account = self.account(limit, now_s)
        known = account.takings.sources.get(name)
        total = taken if known is None else known.total + taken
        units = account.takings.note(name, 0, total, demand, now_s, nodes)
        account.count(units, now_s)

    def report_through_hubs(self, is_through_hubs: bool) -> None:
        """Forget the other gateways, whose takings are told in another way from now."""
        self.cover_s = HUB_COVER_S if is_through_hubs else COVER_S
        for account in self.accounts.values():
            for name in list(account.takings.sources):
                account.takings.drop(name)

    def explain(self, limit: CustomerLimit) -> dict[str, float]:
        """Return what a customer's answers rest on, for the log."""
        account = self.accounts[limit.name]
        takings = account.takings
        heard = [source.heard_s for source in takings.sources.values()]
        return {
            "rate": limit.rate,
            "burst": limit.burst,
            "left": round(self.left(account)),
            "chance": round(self.chance(account, 1.0), 3),
            "demand": round(takings.own_demand),
            "demand_all": round(takings.demand_of_all),
            "nodes": self.nodes,
            "oldest_report_s": round(
                account.at_s - min(heard, default=account.at_s), 2
            ),
        }

    def told(self) -> dict[str, list[float]]:
        """Return what the others are told."""
        return {
            name: [round(account.total, 1), round(account.takings.own_demand, 1)]
            for name, account in self.accounts.items()
        }

    def forget(self, now_s: float) -> None:
        """Drop gateways that have not been heard for long."""
        for account in self.accounts.values():
            account.takings.forget(now_s)
