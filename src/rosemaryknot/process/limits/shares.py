"""Which part of a limit a zone may grant, and which of its nodes grants it."""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from rosemaryknot.process.configuration_spread import chosen_nodes
from rosemaryknot.values.nodes import Node

__all__ = ["LimitKey", "ZoneMembers", "ZoneViews", "owner_of", "slot_share"]

MAX_KNOWN = 10_000


@dataclass(slots=True, frozen=True)
class LimitKey:
    """What a limit is for.

    Attributes
    ----------
    customer, service : str
        The customer, and the service that it uses.
    """

    customer: str
    service: str

    @property
    def duty(self) -> str:
        """Text that the owner is chosen by."""
        return f"limits/{self.customer}/{self.service}"


@dataclass(slots=True, frozen=True)
class ZoneMembers:
    """Our nodes of one zone, as one node knows them.

    Attributes
    ----------
    live : tuple of Node
        Those that seem to live.
    known : int
        Those that may live: all but the ones that left or are proved terminated.
    """

    live: tuple[Node, ...] = ()
    known: int = 0

    @property
    def present_share(self) -> float:
        """Share of the zone's nodes that seem to live.

        When a zone's nodes lose each other, each part chooses an owner of its own.
        All parts together must not grant more than the zone's share, so each grants
        by the nodes that it sees of those that may live.
        """
        return len(self.live) / max(1, self.known, len(self.live))


def owner_of(key: LimitKey, nodes: Sequence[Node]) -> Node | None:
    """Return the node that grants a limit's budget, by rendezvous hash."""
    chosen = chosen_nodes(nodes, key.duty, 1)
    return chosen[0] if chosen else None


def slot_share(key: LimitKey, slots: float, zone: str, zones: Sequence[str]) -> int:
    """Return a zone's share of the concurrent requests.

    Parameters
    ----------
    key : LimitKey
        What the limit is for; decides who gets the odd ones.
    slots : float
        The whole limit.
    zone : str
        The zone.
    zones : sequence of str
        All zones.

    Returns
    -------
    share : int
        The shares of all zones add up to the limit, rounded down.

    Examples
    --------
    >>> key = LimitKey("estimator-1", "kit-assistant")
    >>> sum(slot_share(key, 40, zone, "abc") for zone in "abc")
    40
    """
    if zone not in zones:
        return 0
    least, odd = divmod(int(slots), len(zones))

    def rank(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{key.duty}/{name}".encode())

    return least + (sorted(zones, key=rank).index(zone) < odd)


class ZoneViews:
    """What this node took its zone's nodes to be, lately.

    A node that becomes an owner waits until it has been one for `settle_s`, under
    every membership that it saw meanwhile: by then the owner before it has seen the
    same, or its leases have run out. Without the wait both would grant the whole
    share at once.

    Parameters
    ----------
    name : str
        This node.
    settle_s : float
        The wait, in seconds.
    now_s : float
        When the process started.

    Attributes
    ----------
    views : deque of tuple of (float, tuple of Node)
        Memberships with the time from which on they were seen.
    settled : dict of LimitKey to bool
        Answers of `is_settled` under these views: with many nodes the hashes would
        be most of an ask.
    """

    def __init__(self, name: str, settle_s: float, now_s: float) -> None:
        self.name = name
        self.settle_s = settle_s
        self.views: deque[tuple[float, tuple[Node, ...]]] = deque([(now_s, ())])
        self.settled: dict[LimitKey, bool] = {}

    def note(self, live: tuple[Node, ...], now_s: float) -> None:
        """Note the nodes that seem to live now."""
        if self.views[-1][1] != live:
            self.views.append((now_s, live))
            self.settled.clear()
        while len(self.views) > 1 and self.views[1][0] <= now_s - self.settle_s:
            self.views.popleft()
            self.settled.clear()

    def forget(self, live: tuple[Node, ...], now_s: float) -> None:
        """Start anew, as after a pause in which anything may have changed."""
        self.views.clear()
        self.views.append((now_s, ()))
        self.note(live, now_s)

    def settled_in_s(self, key: LimitKey, now_s: float) -> float:
        """Return when this node will have been the owner for long enough."""
        wait_s, is_own = 0.0, True
        for since_s, live in self.views:
            if not is_own:
                wait_s = max(0.0, since_s + self.settle_s - now_s)
            owner = owner_of(key, live)
            is_own = owner is not None and owner.name == self.name
        return wait_s if is_own else math.inf

    def is_settled(self, key: LimitKey) -> bool:
        """Tell whether this node has been the owner for long enough."""
        known = self.settled.get(key)
        if known is None:
            if len(self.settled) > MAX_KNOWN:
                self.settled.clear()
            owners = [owner_of(key, live) for _, live in self.views]
            known = all(owner and owner.name == self.name for owner in owners)
            self.settled[key] = known
        return known
