"""Permits for the requests to a brittle server, issued by its owner.

Load pattern: a server that turns away more than a few requests in a second, for want of
room, crashes. It states how many, and may have less room than before. Each node sees
only what it sends itself, so the node that all select as the owner of the server counts
the requests of all nodes: a permit takes one place until its request has ended.

Bound: while no request is on its way without a permit, the server holds at most as many
requests as it has places for. What it turns away lowers that number, and after half of
what it may turn away in a second nothing is issued until that second is over.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from rosemaryknot.process.server_limits.permits import (
    MIN_CONFIRMATIONS,
    MIN_PAUSE_S,
    REQUESTS_PER_PERMIT,
    Issued,
    NotIssued,
    PermitIssuer,
)

__all__ = ["RoomIssuer"]

# After a server has turned a request away, its room is this share of the requests that
# it held then.
LOWERED_SHARE = 0.9
# The room grows by one place for as many completed requests as there are places, but
# not for this long after a request was turned away.
RAISE_PAUSE_S = 2.0
# Share of what the server may turn away in a second after which nothing is issued.
TURNED_AWAY_SHARE = 0.5
TURNED_AWAY_WINDOW_S = 1.0
# A permit whose end was not reported is taken back after this time; no request to a
# server takes longer on the platforms.
MAX_HOLD_S = 30.0
# How old the reports of requests in flight may be in a large deployment.
REPORT_AGE_S = 0.5
# How long a request is expected to take its place before one has completed, and the
# weight of the newest one in the moving average.
INITIAL_HOLD_S = 1.0
HOLD_WEIGHT = 0.1
MIN_HOLD_S = 0.001


@dataclass(slots=True)
class Place:
    """A place that an issued permit takes.

    Attributes
    ----------
    node : str
        Node that sends the request.
    issued_s : float
        When it was issued, in trio time.
    """

    node: str
    issued_s: float


class RoomBucket:
    """Free places of a server, in the form of the bucket of a rate limit.

    Attributes
    ----------
    room : float
        Places that the server is expected to have.
    places : dict of int to Place
        Places that are taken, by the number of the permit.
    balance : float
        Free places when they were last counted.
    hold_s : float or None
        Mean time for which requests took their places; None before the first.
    """

    def __init__(self, room: float) -> None:
        self.room = room
        self.places: dict[int, Place] = {}
        self.balance = 0.0
        self.hold_s: float | None = None

    def wait_s(self, amount: float) -> float:
        """Return the expected time until places are free, in seconds."""
        return max(0.0, amount - self.balance) / self.rate

    @property
    def rate(self) -> float:
        """Places that become free per second while all are taken."""
        return self.room / (self.hold_s or INITIAL_HOLD_S)

    def record_completed(self, hold_s: float) -> None:
        """Record for how long a request took its place."""
        before_s = hold_s if self.hold_s is None else self.hold_s
        self.hold_s = max(MIN_HOLD_S, before_s + HOLD_WEIGHT * (hold_s - before_s))


class RoomIssuer(PermitIssuer):
    """Issuer of the permits for one brittle server.

    Parameters
    ----------
    limit : float
        Places that the server has as far as its entry tells.
    share : float
        Share of them that this owner may issue.
    started_s : float
        Since when it issues, in trio time.
    turned_away : float
        Requests a second that the server may turn away.
    in_flight : callable
        Returns the requests at the server as the nodes report them.
    is_live : callable
        Returns whether a node is alive, by its name.

    Attributes
    ----------
    unpermitted : int
        Requests at the server that may have no permit of this owner: they were sent
        before the server was known to be brittle, or another node issued theirs.

    Examples
    --------
    >>> issuer = RoomIssuer(1.0, 1.0, 0.0, 4.0, lambda: 0, lambda node: True)
    >>> issuer.request("n0", 0, 0.0)
    Issued(first=1, count=1)
    >>> issuer.request("n0", 0, 0.1).queue_s
    1.0
    >>> issuer.give_back(1, False, 0.2)
    >>> issuer.request("n0", 0, 0.3)
    Issued(first=2, count=1)
    """

    def __init__(
        self,
        limit: float,
        share: float,
        started_s: float,
        turned_away: float,
        in_flight: Callable[[], int],
        is_live: Callable[[str], bool],
    ) -> None:
        super().__init__(limit, share, started_s)
        self.turned_away = turned_away
        self.in_flight = in_flight
        self.is_live = is_live
        self.turned_away_s: deque[float] = deque()
        self.counted_s = started_s
        self.unpermitted = in_flight()
        self.bucket = RoomBucket(max(1.0, limit * share))
        self.bucket.refill = self.count_free
        self.count_free(started_s)

    def set_rate(self, now_s: float) -> None:
        """Apply the limit and the share."""
        if isinstance(self.bucket, RoomBucket):
            self.bucket.room = min(self.bucket.room, self.most_room)

    @property
    def most_room(self) -> float:
        """Places that this owner may issue at most."""
        return max(1.0, self.limit * self.share)

    def count_free(self, now_s: float) -> None:
        """Count the free places; take those back whose end was not reported."""
        self.counted_s = now_s
        places = self.bucket.places
        for number, place in list(places.items()):
            is_expired = now_s - place.issued_s >= MAX_HOLD_S
            if is_expired or not self.is_live(place.node):
                del places[number]
        if self.unpermitted:
            reported = sum(
                now_s - place.issued_s > REPORT_AGE_S for place in places.values()
            )
            others = max(0, self.in_flight() - reported)
            self.unpermitted = min(self.unpermitted, others)
        self.bucket.balance = self.bucket.room - len(places) - self.unpermitted
        while self.turned_away_s and (
            now_s - self.turned_away_s[0] > TURNED_AWAY_WINDOW_S
        ):
            self.turned_away_s.popleft()
        if len(self.turned_away_s) > TURNED_AWAY_SHARE * self.turned_away:
            self.bucket.balance = 0.0

    def not_issued(self, priority: int, now_s: float) -> NotIssued:
        """Return when to request a permit again, and how long the queue is.

        A place becomes free at any moment, not at a known one as with a rate.
        """
        outcome = super().not_issued(priority, now_s)
        pause_s = len(self.nodes) / (REQUESTS_PER_PERMIT * self.bucket.rate)
        return replace(outcome, pause_s=max(MIN_PAUSE_S, min(pause_s, outcome.pause_s)))

    def issue(self, node: str, count: int | None = None) -> Issued:
        """Issue one permit."""
        issued = super().issue(node, 1)
        self.bucket.places[issued.first] = Place(node, self.counted_s)
        return issued

    def give_back(self, number: int, was_turned_away: bool, now_s: float) -> None:
        """Record that a request with a permit has ended.

        Parameters
        ----------
        number : int
            Number of the permit.
        was_turned_away : bool
            Whether the server had no room for it.
        now_s : float
            Current trio time.
        """
        bucket = self.bucket
        place = bucket.places.pop(number, None)
        if place is None:
            return
        if was_turned_away:
            self.turned_away_s.append(now_s)
            held = len(bucket.places) + self.unpermitted
            bucket.room = max(1.0, min(bucket.room, LOWERED_SHARE * held))
        else:
            bucket.record_completed(now_s - place.issued_s)
            last_s = self.turned_away_s[-1] if self.turned_away_s else float("-inf")
            if now_s - last_s > RAISE_PAUSE_S:
                raised = bucket.room + 1 / max(1.0, bucket.room)
                bucket.room = min(self.most_room, raised)
        self.advance(now_s)

    def record_statement(
        self, number: int, limit: float | None, now_s: float
    ) -> float | None:
        """Record what the server stated: its room, or that it is not brittle any more.

        Parameters and return value are those of `PermitIssuer.record_statement`.
        """
        if limit == self.limit:
            self.confirmations = 0
        elif not self.confirmations:
            self.confirmations = 1
            self.confirmed_after = self.last_number
        elif number > self.confirmed_after:
            self.confirmations += 1
        return float("inf") if self.confirmations >= MIN_CONFIRMATIONS else None
