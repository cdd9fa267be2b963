"""Link topology: selection of nodes to link to, and of nodes that forward messages."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

import xxhash

from rosemaryknot.values.nodes import Node

__all__ = ["LinkPlan", "select_link_targets", "select_relays", "forwarding_candidates"]


@dataclass(slots=True)
class LinkPlan:
    """Parameters of the link topology.

    Attributes
    ----------
    full_mesh_nodes : int
        Maximum number of nodes that form a full mesh.
    relays_per_zone : int
        Number of nodes of a zone that link to the whole zone and to the relays of
        other zones. Those with the largest processors are chosen.
    neighbours : int
        Links of a non-relay node within its zone, in addition to those to relays.
    """

    full_mesh_nodes: int = 24
    relays_per_zone: int = 3
    neighbours: int = 2


def select_relays(nodes: Iterable[Node], count: int) -> list[str]:
    """Return the relays of a zone: the largest nodes, and of these the lowest hashes.

    A relay has more to do than the other nodes of its zone, so that machines of half a
    core must not be chosen where there are others. Nodes count as equal unless one has
    about twice the processor of the other.

    Each node computes the relays independently. If nodes have different views of the
    membership, the topology has additional links or a route an additional hop, but the
    result is never incorrect.

    Examples
    --------
    >>> small = [Node(f"s{n}", "a", 1, 52) for n in range(4)]
    >>> select_relays([*small, Node("large", "a", 1, 215)], 2)[0]
    'large'
    """
    keys = tuple((node.name, node.capacity.bit_length()) for node in nodes)
    return list(first_relays(keys, count))


@lru_cache(maxsize=256)
def first_relays(keys: tuple[tuple[str, int], ...], count: int) -> tuple[str, ...]:
    """Return the first names by size and hash; cached, as forwarding calls it often."""
    ranked = sorted(
        (-size, xxhash.xxh64_intdigest(name.encode()), name) for name, size in keys
    )
    return tuple(name for _, _, name in ranked[:count])


def nodes_by_zone(nodes: Iterable[Node]) -> dict[str, list[Node]]:
    """Return the nodes of each zone."""
    zones: dict[str, list[Node]] = defaultdict(list)
    for node in nodes:
        zones[node.zone].append(node)
    return zones


def ring_successors(name: str, names: Iterable[str], count: int) -> set[str]:
    """Return the names that follow a name on the ring of sorted names."""
    ring = sorted(names)
    start = ring.index(name)
    return {ring[(start + step) % len(ring)] for step in range(1, count + 1)} - {name}


def select_link_targets(own: Node, others: Iterable[Node], plan: LinkPlan) -> set[str]:
    """Return the names of the nodes that a node should link to.

    Up to `LinkPlan.full_mesh_nodes`, every node links to all others. Above, a relay
    links to its zone and to the relays of the other zones; another node links to the
    relays of its zone and to its successors on the ring of the zone's names.

    Parameters
    ----------
    own : Node
        This node.
    others : iterable of Node
        The other nodes that may be linked to.
    plan : LinkPlan
        Link topology parameters.

    Returns
    -------
    names : set of str
        Names of the nodes to link to.

    Examples
    --------
    >>> nodes = [Node(f"a{n}", "a", 1) for n in range(9)]
    >>> len(select_link_targets(nodes[0], nodes[1:], LinkPlan(full_mesh_nodes=9)))
    8
    >>> plan = LinkPlan(full_mesh_nodes=8, relays_per_zone=2, neighbours=1)
    >>> relays = select_relays(nodes, 2)
    >>> leaf = next(node for node in nodes if node.name not in relays)
    >>> set(relays) <= select_link_targets(leaf, [n for n in nodes if n != leaf], plan)
    True
    """
    others = list(others)
    if len(others) < plan.full_mesh_nodes:
        return {node.name for node in others}
    zones = nodes_by_zone([own, *others])
    members = zones.pop(own.zone)
    names = [node.name for node in members]
    relays = select_relays(members, plan.relays_per_zone)
    if own.name not in relays:
        return set(relays) | ring_successors(own.name, names, plan.neighbours)
    targets = set(names)
    for nodes in zones.values():
        targets.update(select_relays(nodes, plan.relays_per_zone))
    return targets - {own.name}


def forwarding_candidates(
    own: Node, target: Node, linked: list[Node], live_nodes: list[Node], plan: LinkPlan
) -> list[str]:
    """Return the linked nodes that may forward a message, in the order to try them.

    Parameters
    ----------
    own, target : Node
        Sender and target of the message.
    linked : list of Node
        Nodes with a usable link to this node.
    live_nodes : list of Node
        All live nodes.
    plan : LinkPlan
        Link topology parameters.

    Returns
    -------
    names : list of str
        Relays of the target's zone, then other nodes of that zone, then relays of
        the sender's zone, then other relays, then the rest. Equal candidates are
        ordered by a hash that includes sender and target; with a fixed order, one relay
        would carry all messages.
    """
    zones = nodes_by_zone([own, *live_nodes])
    relays = {
        name
        for nodes in zones.values()
        for name in select_relays(nodes, plan.relays_per_zone)
    }

    def sort_key(node: Node) -> tuple[bool, bool, bool, int]:
        is_relay = node.name in relays
        route = f"{own.name}>{target.name}>{node.name}"
        return (
            node.zone != target.zone,
            not is_relay,
            node.zone != own.zone,
            xxhash.xxh64_intdigest(route.encode()),
        )

    return [n.name for n in sorted(linked, key=sort_key) if n.name != target.name]
