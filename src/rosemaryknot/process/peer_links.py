"""Which nodes a node keeps links to, and whom it asks to pass a message on."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

import xxhash

from rosemaryknot.values.nodes import Node

__all__ = ["LinkPlan", "link_targets", "relays_of", "routes"]


@dataclass(slots=True)
class LinkPlan:
    """How many links nodes keep.

    Attributes
    ----------
    full_mesh_nodes : int
        Up to this many nodes everybody links to everybody.
    relays_per_zone : int
        Nodes of a zone that link to the whole zone and to other zones' relays.
    neighbours : int
        Links within the zone of a node that is no relay, besides those to relays.
    """

    full_mesh_nodes: int = 24
    relays_per_zone: int = 3
    neighbours: int = 2


def relays_of(names: Iterable[str], count: int) -> list[str]:
    """Return the relays of a zone: the names of least hash.

    Every node works them out for itself. Views that differ cost some more links or
    a hop, never a wrong answer.
    """
    return list(least_hashed(tuple(names), count))


@lru_cache(maxsize=256)
def least_hashed(names: tuple[str, ...], count: int) -> tuple[str, ...]:
    """Return the names of least hash; each message passed on asks for them."""
    ranked = sorted(
        names, key=lambda name: (xxhash.xxh64_intdigest(name.encode()), name)
    )
    return tuple(ranked[:count])


def by_zone(nodes: Iterable[Node]) -> dict[str, list[str]]:
    """Return the names of the nodes of each zone."""
    zones: dict[str, list[str]] = defaultdict(list)
    for node in nodes:
        zones[node.zone].append(node.name)
    return zones


def neighbours_of(name: str, names: Iterable[str], count: int) -> set[str]:
    """Return the next names after one on the ring of all, in order of name."""
    ring = sorted(names)
    start = ring.index(name)
    return {ring[(start + step) % len(ring)] for step in range(1, count + 1)} - {name}


def link_targets(own: Node, others: Iterable[Node], plan: LinkPlan) -> set[str]:
    """Return the names of the nodes that a node links to.

    Parameters
    ----------
    own : Node
        This node.
    others : iterable of Node
        The other live nodes.
    plan : LinkPlan
        How many links to keep.

    Returns
    -------
    names : set of str
        Nodes to keep links to.

    Examples
    --------
    >>> nodes = [Node(f"a{n}", "a", 1) for n in range(9)]
    >>> len(link_targets(nodes[0], nodes[1:], LinkPlan(full_mesh_nodes=9)))
    8
    >>> plan = LinkPlan(full_mesh_nodes=8, relays_per_zone=2, neighbours=1)
    >>> relays = relays_of([node.name for node in nodes], 2)
    >>> leaf = next(node for node in nodes if node.name not in relays)
    >>> set(relays) <= link_targets(leaf, [n for n in nodes if n != leaf], plan)
    True
    """
    others = list(others)
    if len(others) < plan.full_mesh_nodes:
        return {node.name for node in others}
    zones = by_zone([own, *others])
    members = zones.pop(own.zone)
    relays = relays_of(members, plan.relays_per_zone)
    if own.name not in relays:
        return set(relays) | neighbours_of(own.name, members, plan.neighbours)
    targets = set(members)
    for names in zones.values():
        targets.update(relays_of(names, plan.relays_per_zone))
    return targets - {own.name}


def routes(
    own: Node, target: Node, linked: list[Node], everybody: list[Node], plan: LinkPlan
) -> list[str]:
    """Return the linked nodes that may pass a message on, best first.

    Parameters
    ----------
    own, target : Node
        The two ends.
    linked : list of Node
        Nodes that this one has a usable link to.
    everybody : list of Node
        All live nodes.
    plan : LinkPlan
        How many links nodes keep.

    Returns
    -------
    names : list of str
        Relays of the target's zone, then other nodes there, then our own zone's
        relays, then relays elsewhere, then the rest. Equal ones stand in an order
        of their own for each pair of ends, or one relay would carry everything.
    """
    zones = by_zone([own, *everybody])
    relays = {
        name
        for names in zones.values()
        for name in relays_of(names, plan.relays_per_zone)
    }

    def cost(node: Node) -> tuple[bool, bool, bool, int]:
        is_relay = node.name in relays
        ends = f"{own.name}>{target.name}>{node.name}"
        return (
            node.zone != target.zone,
            not is_relay,
            node.zone != own.zone,
            xxhash.xxh64_intdigest(ends.encode()),
        )

    return [n.name for n in sorted(linked, key=cost) if n.name != target.name]
