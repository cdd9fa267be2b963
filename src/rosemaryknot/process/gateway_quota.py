"""Customers' limits over all gateways, by what each tells the others it has taken.

Load pattern: one customer sends many times its usual, at all gateways at once. Every
gateway keeps the same account: it refills at the customer's rate and everybody's
takings go off it. Between two reports a gateway does not see what the others take, so
it takes no more than its share of what was there, by its share of the demand.
"""

from dataclasses import dataclass, field

from rosemaryknot.values.gateway import CustomerLimit

__all__ = ["QuotaBook"]

# Of the measured demand; long against a report, short against a window of limits.
DEMAND_S = 2.0
# A gateway with no demand yet still has this part of an equal share.
LEAST_SHARE = 0.25
# After this long without a report a gateway is taken to go on as before: it may be
# cut off and take its share unseen. Four reports.
UNHEARD_S = 1.0
# After this long it is taken to be gone.
FORGET_S = 20.0
# Refused callers come back after at least this time.
LEAST_WAIT_S = 0.1
MAX_WAIT_S = 2.0


@dataclass(slots=True)
class PeerTakings:
    """What another gateway has taken of a limit.

    Attributes
    ----------
    incarnation : int
        Its life.
    total : float
        Units since its start.
    demand : float
        Units asked for in a second.
    heard_s : float
        When it last told.
    assumed : float
        Units that were taken off for it since.
    pace : float
        Units that it took in a second, between its last reports.
    """

    incarnation: int
    total: float
    demand: float
    heard_s: float
    assumed: float = 0.0
    pace: float = 0.0


@dataclass(slots=True)
class Account:
    """One customer's limit as this gateway sees it."""

    rate: float
    burst: float
    level: float
    at_s: float
    part: float = 0.0
    total: float = 0.0
    demand: float = 0.0
    peers: dict[str, PeerTakings] = field(default_factory=dict)


class QuotaBook:
    """Accounts of all customers.

    Parameters
    ----------
    is_first_start : bool
        Whether the whole system starts for the first time. A gateway that starts
        again does not know what was taken just before, so its accounts begin empty.

    Attributes
    ----------
    accounts : dict of str to Account
        By customer.
    """

    def __init__(self, is_first_start: bool) -> None:
        self.is_first_start = is_first_start
        self.accounts: dict[str, Account] = {}
        self.ticked_s = float("-inf")
        self.nodes = 1

    def account(self, limit: CustomerLimit, now_s: float) -> Account:
        """Return a customer's account, with the limit that is in force."""
        account = self.accounts.get(limit.name)
        if account is None:
            level = limit.burst if self.is_first_start else 0.0
            account = Account(limit.rate, limit.burst, level, now_s)
            account.part = level * self.share(account)
            self.accounts[limit.name] = account
        if (account.rate, account.burst) != (limit.rate, limit.burst):
            account.rate, account.burst = limit.rate, limit.burst
            account.level = min(account.level, limit.burst)
            account.part = min(account.part, limit.burst)
        return account

    def share(self, account: Account) -> float:
        """Return this gateway's part of the demand, 0 to 1."""
        others = sum(peer.demand for peer in account.peers.values())
        equal = 1.0 / max(self.nodes, 1 + len(account.peers))
        if account.demand + others <= 0:
            return equal
        by_demand = account.demand / (account.demand + others)
        return max(by_demand, LEAST_SHARE * equal)

    def refill(self, account: Account, now_s: float) -> None:
        """Add what has come since the last time."""
        added_s = now_s - account.at_s
        if added_s <= 0:
            return
        account.at_s = now_s
        account.level = min(account.burst, account.level + account.rate * added_s)
        account.part += account.rate * added_s * self.share(account)
        account.demand *= max(0.0, 1 - added_s / DEMAND_S)
        for peer in account.peers.values():
            self.assume(account, peer, now_s, added_s)

    def assume(
        self, account: Account, peer: PeerTakings, now_s: float, added_s: float
    ) -> None:
        """Take off what a gateway that is not heard may go on taking.

        Cut off from the others it still serves its callers within its share. If
        nobody counted that, both sides together would go over the limit.
        """
        silent_s = now_s - peer.heard_s
        if UNHEARD_S < silent_s < FORGET_S:
            units = min(peer.pace, account.rate) * added_s
            peer.assumed += units
            account.level -= units

    def take(self, limit: CustomerLimit, units: float, now_s: float) -> float:
        """Take units from a customer's limit.

        Returns
        -------
        wait_s : float
            0 where they were taken, else when to come back, in seconds.
        """
        account = self.account(limit, now_s)
        self.refill(account, now_s)
        account.demand += units / DEMAND_S
        if account.level > 0 and account.part > 0:
            account.level -= units
            account.part -= units
            account.total += units
            return 0.0
        missing = units - min(account.level, account.part)
        pace = max(account.rate * self.share(account), 1e-9)
        return min(max(missing / pace, LEAST_WAIT_S), MAX_WAIT_S)

    def tick(self, now_s: float, nodes: int) -> None:
        """Deal out what is there anew, at each report."""
        self.nodes = nodes
        for account in self.accounts.values():
            self.refill(account, now_s)
            fair = max(account.level, 0.0) * self.share(account)
            account.part = min(account.part, 0.0) + fair

    def note_peer(
        self,
        customer: str,
        node: str,
        incarnation: int,
        total: float,
        demand: float,
        now_s: float,
    ) -> None:
        """Take off what another gateway tells that it has taken."""
        account = self.accounts.get(customer)
        if account is None:
            return
        peer = account.peers.get(node)
        if peer is None or peer.incarnation != incarnation:
            # Its earlier takings are in the level already, or were before this
            # gateway's time.
            seen = total if peer is None else 0.0
            peer = PeerTakings(incarnation, seen, demand, now_s)
            account.peers[node] = peer
        taken = max(0.0, total - peer.total)
        passed_s = max(now_s - peer.heard_s, 0.05)
        account.level -= max(0.0, taken - peer.assumed)
        peer.pace = 0.7 * peer.pace + 0.3 * taken / passed_s
        peer.assumed = 0.0
        peer.total = max(peer.total, total)
        peer.demand = demand
        peer.heard_s = now_s

    def explain(self, limit: CustomerLimit) -> dict[str, float]:
        """Return what a customer's answers rest on, for the log."""
        account = self.accounts[limit.name]
        return {
            "rate": account.rate,
            "burst": account.burst,
            "level": round(account.level),
            "part": round(account.part),
            "share": round(self.share(account), 3),
            "demand": round(account.demand),
            "demand_all": round(
                account.demand + sum(p.demand for p in account.peers.values())
            ),
            "nodes": self.nodes,
        }

    def told(self) -> dict[str, list[float]]:
        """Return what the others are told."""
        return {
            name: [round(account.total, 1), round(account.demand, 1)]
            for name, account in self.accounts.items()
        }

    def forget(self, now_s: float) -> None:
        """Drop gateways that have not been heard for long."""
        for account in self.accounts.values():
            account.peers = {
                name: peer
                for name, peer in account.peers.items()
                if now_s - peer.heard_s < FORGET_S
            }
