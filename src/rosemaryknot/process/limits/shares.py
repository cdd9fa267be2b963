"""Share of a limit that a zone may grant, and selection of the limit's owner."""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from rosemaryknot.process.configuration_distributor import select_nodes
from rosemaryknot.values.nodes import Node

__all__ = ["LimitKey", "ZoneMembers", "MembershipHistory", "owner_of", "slot_share"]

MAX_CACHED_KEYS = 10_000


@dataclass(slots=True, frozen=True)
class LimitKey:
    """Key of a limit.

    Attributes
    ----------
    customer, service : str
        Customer, and service that the customer uses.
    """

    customer: str
    service: str

    @property
    def duty(self) -> str:
        """Hash key for the selection of the owner."""
        return f"limits/{self.customer}/{self.service}"


@dataclass(slots=True, frozen=True)
class ZoneMembers:
    """Nodes of one zone, as seen by one node.

    Attributes
    ----------
    live : tuple of Node
        Nodes that are considered live.
    known : int
        Number of nodes that may be running: all except those that left or are
        confirmed as terminated.
    """

    live: tuple[Node, ...] = ()
    known: int = 0

    @property
    def present_share(self) -> float:
        """Share of the zone's nodes that are considered live.

        If a network partition splits a zone, each side selects its own owner. All
        sides together must not grant more than the zone's share, so each side grants
        in proportion to its visible nodes among those that may be running.
        """
        return len(self.live) / max(1, self.known, len(self.live))


def owner_of(key: LimitKey, nodes: Sequence[Node]) -> Node | None:
    """Return the owner of a limit, selected by rendezvous hashing."""
    chosen = select_nodes(nodes, key.duty, 1)
    return chosen[0] if chosen else None


def slot_share(key: LimitKey, slots: float, zone: str, zones: Sequence[str]) -> int:
    """Return a zone's share of the concurrent requests.

    Parameters
    ----------
    key : LimitKey
        Key of the limit; determines which zones get the remaining slots.
    slots : float
        Limit over all zones.
    zone : str
        Zone of the share.
    zones : sequence of str
        All zones that share the limit.

    Returns
    -------
    share : int
        Share of the zone. The shares of all zones add up to the limit, rounded down.

    Examples
    --------
    >>> key = LimitKey("estimator-1", "kit-assistant")
    >>> sum(slot_share(key, 40, zone, "abc") for zone in "abc")
    40
    """
    if zone not in zones:
        return 0
    base_share, remainder = divmod(int(slots), len(zones))

    def zone_hash(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{key.duty}/{name}".encode())

    return base_share + (sorted(zones, key=zone_hash).index(zone) < remainder)


class MembershipHistory:
    """Recent memberships of the zone, as seen by this node.

    A new owner must have been the owner for `settle_s` before it grants, under every
    membership seen in that time. By then the previous owner has seen the same
    membership or its leases have expired. Without the wait, both would grant the
    whole share at the same time.

    Parameters
    ----------
    name : str
        Name of this node.
    settle_s : float
        Time to wait before granting, in seconds.
    now_s : float
        Start time of the process.

    Attributes
    ----------
    memberships : deque of tuple of (float, tuple of Node)
        Memberships with the time at which each was first seen.
    settled : dict of LimitKey to bool
        Cached results of `is_settled` for the current memberships. With many nodes,
        hashing would otherwise take most of the time of a budget request.
    """

    def __init__(self, name: str, settle_s: float, now_s: float) -> None:
        self.name = name
        self.settle_s = settle_s
        self.memberships: deque[tuple[float, tuple[Node, ...]]] = deque([(now_s, ())])
        self.settled: dict[LimitKey, bool] = {}

    def record(self, live: tuple[Node, ...], now_s: float) -> None:
        """Record the nodes that are considered live now."""
        if self.memberships[-1][1] != live:
            self.memberships.append((now_s, live))
            self.settled.clear()
        while (
            len(self.memberships) > 1
            and self.memberships[1][0] <= now_s - self.settle_s
        ):
            self.memberships.popleft()
            self.settled.clear()

    def reset(self, live: tuple[Node, ...], now_s: float) -> None:
        """Restart the history, for example after a pause with unknown changes."""
        self.memberships.clear()
        self.memberships.append((now_s, ()))
        self.record(live, now_s)

    def settled_in_s(self, key: LimitKey, now_s: float) -> float:
        """Return the time until this node is a settled owner, in seconds."""
        wait_s, is_own = 0.0, True
        for since_s, live in self.memberships:
            if not is_own:
                wait_s = max(0.0, since_s + self.settle_s - now_s)
            owner = owner_of(key, live)
            is_own = owner is not None and owner.name == self.name
        return wait_s if is_own else math.inf

    def is_settled(self, key: LimitKey) -> bool:
        """Return whether this node has been the owner for at least `settle_s`."""
        is_settled = self.settled.get(key)
        if is_settled is None:
            if len(self.settled) > MAX_CACHED_KEYS:
                self.settled.clear()
            owners = [owner_of(key, live) for _, live in self.memberships]
            is_settled = all(owner and owner.name == self.name for owner in owners)
            self.settled[key] = is_settled
        return is_settled
