"""What a node believes of one life of a backend server."""

import math
from dataclasses import dataclass, field

from rosemaryknot.values.gateway import RoutedServer
from rosemaryknot.values.incarnation import ServerIncarnation

__all__ = ["PeerLoad", "ServerState"]


@dataclass(slots=True)
class PeerLoad:
    """What another node has in flight at a server.

    Attributes
    ----------
    requests : int
        Requests in flight.
    tokens : int
        Prompt tokens that are not read yet.
    at_s : float
        When it was told, in trio time.
    """

    requests: int
    tokens: int
    at_s: float


@dataclass(slots=True, eq=False)
class ServerState:
    """One life of a backend server as this node sees it.

    All that is believed of a server is held here or by this object, so a life that
    begins anew begins without it, and late words of the one before change nothing.

    Attributes
    ----------
    entry : RoutedServer
        As the store tells; always of this life.
    known_s : float
        Since when this life is known, in trio time.
    entry_s : float
        When its entry was last taken over, in trio time.
    told_as : str
        How nodes name this life to each other.
    in_flight : int
        Requests of this node.
    waiting_tokens : int
        Prompt tokens of this node's requests that have no first event yet.
    failure_share : float
        Smoothed share of attempts that failed, 0 to 1.
    failures : int
        Failures in a row.
    avoid_until_s : float
        No work before, unless nothing else is left.
    heard_s : float
        When the last bytes came.
    waiting_since_s : float
        Since when it owes bytes.
    peers : dict of str to PeerLoad
        By node.
    has_drained : bool
        Whether it said that it leaves; never taken back.
    is_gone : bool
        Whether its entry is gone for good, as far as is known.
    gone_at_s : float
        When it counts as gone, since its entry is missing although it never said
        that it leaves; infinite while there is one.
    """

    entry: RoutedServer
    known_s: float = 0.0
    entry_s: float = 0.0
    in_flight: int = 0
    waiting_tokens: int = 0
    failure_share: float = 0.0
    failures: int = 0
    avoid_until_s: float = 0.0
    heard_s: float = float("-inf")
    waiting_since_s: float = 0.0
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    has_drained: bool = False
    is_gone: bool = False
    gone_at_s: float = math.inf
    told_as: str = field(init=False)

    def __post_init__(self) -> None:
        self.told_as = self.incarnation.to_text()

    @property
    def incarnation(self) -> ServerIncarnation:
        """Which life of the server this is."""
        return self.entry.incarnation

    @property
    def is_leaving(self) -> bool:
        """Whether it takes no new work."""
        return self.has_drained or self.is_gone

    @property
    def is_missing(self) -> bool:
        """Whether its entry is missing and it may yet come back."""
        return self.gone_at_s < math.inf

    def takes_work(self, now_s: float) -> bool:
        """Tell whether it may get new work, as far as is known."""
        return not self.is_leaving and now_s < self.gone_at_s

    def load(self) -> tuple[int, int]:
        """Return requests and unread prompt tokens of all nodes."""
        requests = self.in_flight
        tokens = self.waiting_tokens
        for peer in self.peers.values():
            requests += peer.requests
            tokens += peer.tokens
        return requests, tokens

    def is_silent(self, now_s: float, limit_s: float) -> bool:
        """Tell whether it owes bytes and has sent none for too long."""
        if not self.in_flight:
            return False
        return now_s - max(self.heard_s, self.waiting_since_s) > limit_s
