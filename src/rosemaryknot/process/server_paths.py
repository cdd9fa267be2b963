"""What a node knows of its own paths to backend servers, and the choice of peers.

A failed connection is no proof that a server failed: the node's own link may be cut
while its peers reach the server. A path counts as lost only once a peer has opened a
connection to a server that the node itself does not reach.
"""

import math
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import gauge
from rosemaryknot.values.nodes import Address, Node

__all__ = ["LostPath", "ServerPaths", "select_helper"]

# A peer that is cut off itself, or whose connection failed, is not asked for this long.
CUT_OFF_PAUSE_S = 3.0
UNREACHABLE_PAUSE_S = 2.0
BUSY_PAUSE_S = 0.3
# The same for one that did not open a connection which another one opened meanwhile.
SLOW_PAUSE_S = 1.0
# A link is usually cut to many servers at once. For this long after the loss of a path,
# others are distrusted until they have been used again.
DISTRUST_S = 2.0
# Peers of the own zone that have to be cut off before others are preferred: the link of
# the whole zone is probably cut, and each further one would delay a request.
CUT_OFF_ZONE_PEERS = 2

LOST_PATHS = gauge("server_paths_lost", "Servers that only peers of the node reach.")

log = logger("paths")


@dataclass(slots=True)
class LostPath:
    """The path to a server that this node does not reach although it may be sound.

    Attributes
    ----------
    since_s : float
        When the path was lost, in trio time.
    is_silent : bool
        Whether bytes vanish, so that open connections are unusable too. Otherwise new
        connections are refused, and open ones may live on.
    """

    since_s: float
    is_silent: bool


class ServerPaths:
    """Lost paths of a node, and the peers that may help.

    Parameters
    ----------
    zone : str
        Availability zone of this node.
    rng : random.Random
        Draws peers.

    Attributes
    ----------
    lost : dict of Address to LostPath
        Servers that only peers reach.
    reached_s : dict of Address to float
        When a connection to each server was last opened without a peer, in trio time.
    paused_until_s : dict of str to float
        Until when a peer is not asked, by its name, in trio time.
    cut_off_until_s : dict of str to float
        Until when a peer counts as cut off from the servers, by its name.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self.zone = zone
        self.rng = rng
        self.lost: dict[Address, LostPath] = {}
        self.reached_s: dict[Address, float] = {}
        self.paused_until_s: dict[str, float] = {}
        self.cut_off_until_s: dict[str, float] = {}

    # Paths.

    def record_reached(self, address: Address) -> None:
        """Record that a connection to a server was opened without a peer."""
        now_s = trio.current_time()
        self.reached_s[address] = now_s
        lost = self.lost.pop(address, None)
        if lost is not None:
            LOST_PATHS.set(len(self.lost))
            log.info(
                f"path to server {address} restored",
                lost_for_s=round(now_s - lost.since_s, 3),
                lost_paths=len(self.lost),
            )

    def record_lost(self, address: Address, is_silent: bool, peer: str = "") -> None:
        """Record that this node does not reach a server, and the peer that does."""
        if address in self.lost:
            return
        now_s = trio.current_time()
        self.lost[address] = LostPath(now_s, is_silent)
        LOST_PATHS.set(len(self.lost))
        log.warning(
            f"path to server {address} lost",
            is_silent=is_silent,
            peer=peer,
            reached_ago_s=round(now_s - self.reached_s.get(address, -math.inf), 3),
            lost_paths=len(self.lost),
        )

    def forget(self, addresses: Iterable[Address]) -> None:
        """Forget the paths to servers that are gone."""
        for address in addresses:
            self.lost.pop(address, None)
            self.reached_s.pop(address, None)
        LOST_PATHS.set(len(self.lost))

    def may_be_silent(self, address: Address) -> bool:
        """Return whether bytes on open connections to a server may vanish."""
        lost = self.lost.get(address)
        if lost is not None:
            return lost.is_silent
        since_s = trio.current_time() - DISTRUST_S
        return any(p.is_silent and p.since_s > since_s for p in self.lost.values())

    def reaches(self, other_than: Address, since_s: float) -> bool:
        """Return whether a server other than one was reached since a time.

        A connection that was opened before another one failed is no evidence: the link
        may have been cut in between.
        """
        return any(
            reached_s >= since_s
            for address, reached_s in self.reached_s.items()
            if address != other_than
        )

    # Peers.

    def pause(self, peer: str, pause_s: float) -> None:
        """Do not ask a peer for some time."""
        self.paused_until_s[peer] = trio.current_time() + pause_s

    def record_cut_off(self, peer: str) -> None:
        """Record that a peer is cut off from servers too."""
        self.pause(peer, CUT_OFF_PAUSE_S)
        self.cut_off_until_s[peer] = trio.current_time() + CUT_OFF_PAUSE_S

    def select(self, nodes: Collection[Node], asked: Collection[str]) -> Node | None:
        """Return the peer to ask next; None if there is none."""
        now_s = trio.current_time()
        if self.paused_until_s:
            self.paused_until_s = keep_later(self.paused_until_s, now_s)
            self.cut_off_until_s = keep_later(self.cut_off_until_s, now_s)
        usable = [
            node
            for node in nodes
            if node.name not in asked and node.name not in self.paused_until_s
        ]
        is_near = not asked and not self.is_zone_cut_off(nodes)
        return select_helper(usable, self.zone, is_near, self.rng)

    def is_zone_cut_off(self, nodes: Collection[Node]) -> bool:
        """Return whether the peers of the own zone are probably cut off as well."""
        names = {node.name for node in nodes if node.zone == self.zone}
        return len(names & self.cut_off_until_s.keys()) >= CUT_OFF_ZONE_PEERS


def keep_later(times: dict[str, float], now_s: float) -> dict[str, float]:
    """Return the entries whose time has not passed."""
    return {name: until_s for name, until_s in times.items() if until_s > now_s}


def select_helper(
    usable: Collection[Node], zone: str, is_near: bool, rng: random.Random
) -> Node | None:
    """Draw a peer that may relay a connection.

    A random one, so that the nodes of a zone that is cut off do not all load the same
    peer. The first one is of the own zone, since bytes between zones are slower and
    charged; the next ones are of others, as the whole zone may be cut off.

    Parameters
    ----------
    usable : collection of Node
        Peers that may be asked.
    zone : str
        Zone of this node.
    is_near : bool
        Whether to prefer peers of this zone to those of others.
    rng : random.Random
        Source of the draw.

    Examples
    --------
    >>> nodes = [Node("n1", "a", 1), Node("n2", "b", 1)]
    >>> select_helper(nodes, "a", True, random.Random(1)).name
    'n1'
    >>> select_helper(nodes, "a", False, random.Random(1)).name
    'n2'
    >>> select_helper(nodes[:1], "a", False, random.Random(1)).name
    'n1'
    """
    preferred = [node for node in usable if (node.zone == zone) == is_near]
    candidates = preferred or list(usable)
    return rng.choice(candidates) if candidates else None
