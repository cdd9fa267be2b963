"""Nodes that join, and the nodes that send them what they need to know."""

from collections.abc import Awaitable, Callable

from rosemaryknot.process.configuration_distributor import select_nodes
from rosemaryknot.process.peers import PeerSet

__all__ = ["is_helper", "watch_newcomers"]

# Nodes that send their state to one that lacks it.
HELPER_COUNT = 2


def is_helper(peers: PeerSet, name: str) -> bool:
    """Return whether this node is one of those that help another one."""
    nodes = [node for node in peers.nodes() if node.name != name]
    return peers.node in select_nodes([*nodes, peers.node], name, HELPER_COUNT)


async def watch_newcomers(
    peers: PeerSet, on_newcomers: Callable[[list[str]], Awaitable[None]]
) -> None:
    """Call a function with the names of nodes that join or restart, until cancelled."""
    seen = 0
    known: set[tuple[str, int]] = set()
    while True:
        seen = await peers.wait_changed(seen)
        live = {(node.name, node.incarnation) for node in peers.nodes()}
        newcomers, known = live - known, live
        if newcomers:
            await on_newcomers([name for name, _ in newcomers])
