"""State that a node keeps for one incarnation of a backend server."""

import math
from dataclasses import dataclass, field

import trio

from rosemaryknot.process.server_pause import ServerPause
from rosemaryknot.values.gateway import RoutedServer
from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.server_limits import InvalidLimit

__all__ = ["PeerLoad", "ServerState"]

# How long after the end of a process its last bytes may be read.
UNREAD_S = 1.0


@dataclass(slots=True)
class PeerLoad:
    """Load that another node has in flight at a server.

    Attributes
    ----------
    requests : int
        Requests in flight.
    tokens : int
        Prompt tokens whose prefill has not finished.
    reported_s : float
        When the report was received, in trio time.
    """

    requests: int
    tokens: int
    reported_s: float


@dataclass(slots=True, eq=False)
class ServerState:
    """One incarnation of a backend server as seen by this node.

    Everything this node knows about a server is stored here or keyed by this object.
    A new incarnation therefore starts without the history of the previous one, and
    late messages about the previous incarnation have no effect on it.

    Attributes
    ----------
    entry : RoutedServer
        Latest entry from the store; always of this incarnation.
    first_seen_s : float
        When this incarnation was first seen, in trio time.
    entry_updated_s : float
        When an entry was last applied that differs from the one before, in trio time.
    incarnation_key : str
        Text form of the incarnation in messages between nodes.
    in_flight : int
        Requests of this node.
    pending_prefill_tokens : int
        Prompt tokens of this node's requests that have no first event yet.
    failure_share : float
        Smoothed share of attempts that failed, 0 to 1.
    failures : int
        Consecutive failures.
    backoff_until_s : float
        End of the backoff after a failure, in trio time. Until then the server is
        used only if no other is left.
    last_received_s : float
        When the last bytes were received, in trio time.
    last_answered_s : float
        When the latest of the attempts began that received the head of a response, in
        trio time.
    busy_since_s : float
        When the number of requests in flight last rose from zero, in trio time.
    peers : dict of str to PeerLoad
        Load of the other nodes, by node.
    has_announced_drain : bool
        Whether the server has announced that it is draining, in its entry or in a
        response; never reset.
    has_stated_drain : bool
        Whether it did so in a response.
    drained_s : float
        When this node learned of its drain, in trio time; infinite before.
    is_removed : bool
        Whether the entry was removed and is not expected to return.
    removal_deadline_s : float
        When the server is treated as removed because its entry is missing although
        it never announced a drain, in trio time; infinite while there is an entry.
    unproven_until_s : float
        Until when nothing shows that the server of a restored entry still runs, in trio
        time.
    stated_limit : float or InvalidLimit or None
        Rate limit in the latest response that this node received.
    pause : ServerPause
        Time for which the server wants no requests of this node.
    process_lost_s : float
        When its process was last seen to have ended, in trio time; minus infinity if
        that never happened.
    back_since_s : float
        When the server first responded to a request that was sent after its process
        was seen to have ended, in trio time; infinite before.
    confirmed_s : float
        When bytes were last received on a connection that was opened while the process
        was certainly that of the entry, in trio time.
    """

    entry: RoutedServer
    first_seen_s: float = 0.0
    entry_updated_s: float = 0.0
    in_flight: int = 0
    pending_prefill_tokens: int = 0
    failure_share: float = 0.0
    failures: int = 0
    backoff_until_s: float = 0.0
    last_received_s: float = float("-inf")
    last_answered_s: float = float("-inf")
    back_since_s: float = float("inf")
    busy_since_s: float = 0.0
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    has_announced_drain: bool = False
    has_stated_drain: bool = False
    drained_s: float = math.inf
    is_removed: bool = False
    removal_deadline_s: float = math.inf
    unproven_until_s: float = float("-inf")
    stated_limit: float | InvalidLimit | None = None
    process_lost_s: float = float("-inf")
    confirmed_s: float = float("-inf")
    pause: ServerPause = field(default_factory=ServerPause)
    incarnation_key: str = field(init=False)

    def __post_init__(self) -> None:
        self.incarnation_key = self.incarnation.to_text()

    @property
    def incarnation(self) -> ServerIncarnation:
        """Incarnation of the server that this state belongs to."""
        return self.entry.incarnation

    @property
    def service(self) -> str:
        """Service that the server runs."""
        return self.entry.service

    @property
    def address(self) -> Address:
        """Address that the server listens on."""
        return self.entry.address

    @property
    def is_draining(self) -> bool:
        """Whether the server accepts no new requests."""
        return self.has_announced_drain or self.is_removed

    @property
    def is_missing(self) -> bool:
        """Whether the entry is missing and may still return."""
        return self.removal_deadline_s < math.inf

    def accepts_requests(self, now_s: float) -> bool:
        """Return whether the server takes new requests, except for a pause."""
        return (
            not self.is_draining
            and self.unproven_until_s <= now_s < self.removal_deadline_s
        )

    def may_get_requests(self, now_s: float) -> bool:
        """Return whether this node may send the server a request now."""
        return self.accepts_requests(now_s) and not self.pause.is_active(now_s)

    def record_drain(self) -> None:
        """Record that the server has stated in a response that it drains."""
        self.has_stated_drain = True
        self.announce_drain()

    def announce_drain(self) -> None:
        """Record that the server drains."""
        self.has_announced_drain = True
        self.drained_s = min(self.drained_s, trio.current_time())

    def record_answered(self, sent_s: float) -> None:
        """Record that a response to a request began to arrive."""
        now_s = trio.current_time()
        self.last_received_s = now_s
        self.last_answered_s = max(self.last_answered_s, sent_s)
        if self.back_since_s < self.process_lost_s:
            # It has ended once more since.
            self.back_since_s = float("inf")
        if sent_s > self.process_lost_s:
            self.back_since_s = min(self.back_since_s, now_s)

    def record_received(self, sent_s: float, was_confirmed: bool) -> None:
        """Record that bytes were received in response to a request.

        A process whose end was seen after the request was sent would have lost its
        connections, so it goes on: it only refuses new ones. Bytes that a process sent
        just before its end may still be unread.

        Parameters
        ----------
        sent_s : float
            When the request was sent, in trio time.
        was_confirmed : bool
            Whether the process was certainly that of the entry then.
        """
        self.last_received_s = trio.current_time()
        is_later = self.last_received_s > self.process_lost_s + UNREAD_S
        if sent_s < self.process_lost_s and is_later:
            self.process_lost_s = float("-inf")
        if was_confirmed:
            self.confirmed_s = self.last_received_s

    def load(self) -> tuple[int, int]:
        """Return the requests and pending prefill tokens of all nodes."""
        requests = self.in_flight
        tokens = self.pending_prefill_tokens
        for peer in self.peers.values():
            requests += peer.requests
            tokens += peer.tokens
        return requests, tokens

    def is_silent(self, now_s: float, timeout_s: float) -> bool:
        """Return whether responses are pending and no bytes came within a timeout."""
        if not self.in_flight:
            return False
        return now_s - max(self.last_received_s, self.busy_since_s) > timeout_s
