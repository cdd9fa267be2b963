"""Permits for the requests to one limited server, issued by its owner.

Load pattern: a server in need states that it takes two requests per second from all
nodes together, while the nodes would send it ten or more, and each node sends less than
one. A share of two per second for each node is nothing at hundreds of nodes, so single
permits are issued, to the node that requests one. With other servers left, a request
that gets no permit goes there at once. Without them, requests wait here in the order of
priority, and within it fairly by customer; one that cannot get a permit in time is
refused at once, with the time until the queue has room. In time is before its deadline,
or, while requests have to be refused, before its target latency.

Bound: with a rate of r, any four seconds contain at most 4 r permits and the capacity
of 1 + r / 2. Those issued up to `PERMIT_TTL_S` earlier may arrive within the same four
seconds, which adds another r. A new owner begins with an empty bucket, so that a
change of the owner adds r times the moment in which both issue permits.
"""

import math
from collections import deque
from dataclasses import dataclass, field

import trio

from rosemaryknot.process.limits.bucket import Bucket

__all__ = ["PERMIT_TTL_S", "Issued", "NotIssued", "PermitIssuer", "Waiter"]

# How long a permit may be used: as long as opening a connection may take.
PERMIT_TTL_S = 1.0
# Permits that accrue while none is requested, in seconds of the rate, beside one. With
# less, permits are lost while requests arrive in bursts.
BURST_S = 0.5
# A server that states a lower limit, or 0, still gets a request in this time, since
# only a response can lift the limit.
MAX_PROBE_INTERVAL_S = 5.0
# At high rates several permits are issued at once, for this share of a second.
BATCH_S = 0.05
MAX_BATCH = 64
# Nodes that were refused a permit request one again so often that there are a few
# requests for each permit that accrues.
REQUESTS_PER_PERMIT = 4.0
MIN_PAUSE_S = 0.02
MAX_PAUSE_S = 5.0
# How long a node is counted after its last request for a permit. Longer than the
# longest pause, including its jitter.
NODE_TTL_S = 10.0
# Refused requests of this time come back and are added to the queue.
REFUSED_WINDOW_S = 2.0
MAX_REFUSED = 1024
MAX_WAITERS = 256
# Responses in a row that have to state a higher limit, or none, before it is applied:
# a server may omit its limit in single responses. Doubled each time that the server
# lowers or states its limit again soon after.
MIN_CONFIRMATIONS = 2
MAX_CONFIRMATIONS = 16
RELAPSE_S = 30.0


@dataclass(slots=True, frozen=True)
class Issued:
    """Permits were issued.

    Attributes
    ----------
    first : int
        Number of the first one.
    count : int
        Number of permits.
    """

    first: int
    count: int


@dataclass(slots=True, frozen=True)
class NotIssued:
    """No permit was issued.

    Attributes
    ----------
    pause_s : float
        Time before the node requests one again, in seconds.
    queue_s : float
        Time until a request of the same priority would get one, in seconds.
    retry_s : float
        The same time if all requests that were refused of late come back, in seconds.
    """

    pause_s: float = 0.0
    queue_s: float = 0.0
    retry_s: float = 0.0


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a permit.

    Attributes
    ----------
    node : str
        Node that sends the request.
    priority : int
        Priority; 0 is the highest.
    customer : str
        Customer that sent the request.
    deadline_s : float
        Until when it may wait, in trio time.
    target_s : float
        Until when it may wait and still meet its target latency, in trio time.
    is_first : bool
        Whether no other owner has refused the request.
    tag : float
        Start tag within its priority, as in start-time fair queueing.
    outcome : Issued or NotIssued or None
        None while it waits.
    done : trio.Event
        Set together with the outcome.
    """

    node: str
    priority: int
    customer: str
    deadline_s: float
    target_s: float = math.inf
    is_first: bool = True
    tag: float = 0.0
    outcome: Issued | NotIssued | None = None
    done: trio.Event = field(default_factory=trio.Event)

    def finish(self, outcome: Issued | NotIssued) -> None:
        """Set the outcome."""
        self.outcome = outcome
        self.done.set()


class PermitIssuer:
    """Issuer of the permits for one server.

    Parameters
    ----------
    limit : float
        Requests per second that the server accepts.
    share : float
        Share of the limit that this owner may issue; less than 1 if other nodes exist
        that this node does not reach, since they may have an owner of their own.
    started_s : float
        Since when permits accrue, in trio time.

    Attributes
    ----------
    bucket : Bucket
        Permits that have accrued.
    last_number : int
        Number of the last issued permit.
    waiters : list of Waiter
        Waiting requests, in the order in which they get permits.
    nodes : dict of str to float
        When each node last requested a permit, in trio time.
    refused : collections.deque of tuple of (float, int, bool)
        Requests that were refused of late: time, priority, and whether no other owner
        has refused them.
    issued_to : dict of str to int
        Issued permits by node since `pop_issued` was last called.

    Examples
    --------
    The bucket is empty at first; half a second later there is one permit.

    >>> issuer = PermitIssuer(2.0, 1.0, 0.0)
    >>> issuer.request("n0", 0, 0.0)
    NotIssued(pause_s=0.5, queue_s=0.5, retry_s=0.5)
    >>> issuer.request("n0", 0, 0.5)
    Issued(first=1, count=1)
    """

    def __init__(self, limit: float, share: float, started_s: float) -> None:
        self.limit = limit
        self.share = share
        self.bucket = Bucket(1.0, 1.0, 0.0, started_s)
        self.last_number = 0
        self.waiters: list[Waiter] = []
        self.nodes: dict[str, float] = {}
        self.issued_to: dict[str, int] = {}
        self.refused: deque[tuple[float, int, bool]] = deque(maxlen=MAX_REFUSED)
        self.tags: dict[str, float] = {}
        self.virtual_time = 0.0
        self.confirmations = 0
        self.needed_confirmations = MIN_CONFIRMATIONS
        self.confirmed_after = 0
        self.confirmed_limit = math.inf
        self.raised_s = -math.inf
        self.set_rate(started_s)

    # Rate.

    def update(self, limit: float, share: float, now_s: float) -> None:
        """Set the limit and the share of it that this owner may issue."""
        if (limit, share) != (self.limit, self.share):
            self.limit, self.share = limit, share
            self.set_rate(now_s)

    def set_rate(self, now_s: float) -> None:
        """Apply the limit and the share to the bucket."""
        bucket = self.bucket
        bucket.refill(now_s)
        bucket.rate = max(self.limit * self.share, 1 / MAX_PROBE_INTERVAL_S)
        bucket.capacity = 1 + BURST_S * bucket.rate
        bucket.balance = min(bucket.balance, bucket.capacity)

    @property
    def is_raise_pending(self) -> bool:
        """Whether a response stated a higher limit, or none, that is not confirmed."""
        return self.confirmations > 0

    def record_statement(
        self, number: int, limit: float | None, now_s: float
    ) -> float | None:
        """Record what the server stated in response to a request with a permit.

        A lower limit holds at once. A higher one, or none, has to be confirmed by the
        responses to requests whose permits were issued after it was first stated.

        Parameters
        ----------
        number : int
            Number of the permit.
        limit : float or None
            The limit; None if none was stated.
        now_s : float
            Current trio time.

        Returns
        -------
        limit : float or None
            The limit that holds from now on, infinite if it is lifted; None if nothing
            changed.
        """
        stated = math.inf if limit is None else limit
        if stated <= self.limit:
            self.confirmations = 0
            if stated == self.limit:
                return None
            if now_s - self.raised_s < RELAPSE_S:
                self.require_more()
            return stated
        if not self.confirmations:
            self.confirmations = 1
            self.confirmed_after = self.last_number
            self.confirmed_limit = stated
        elif number > self.confirmed_after:
            self.confirmations += 1
            self.confirmed_limit = min(self.confirmed_limit, stated)
        if self.confirmations < self.needed_confirmations:
            return None
        self.confirmations = 0
        self.raised_s = now_s
        return self.confirmed_limit

    def require_more(self) -> None:
        """Require more responses before the next raise."""
        self.needed_confirmations = min(
            2 * self.needed_confirmations, MAX_CONFIRMATIONS
        )

    # Permits.

    def request(self, node: str, priority: int, now_s: float) -> Issued | NotIssued:
        """Issue permits if there are any and nobody waits for them."""
        self.record_node(node, now_s)
        self.advance(now_s)
        if self.waiters or self.bucket.balance < 1:
            return self.not_issued(priority, now_s)
        return self.issue(node)

    def enqueue(self, waiter: Waiter, now_s: float) -> Waiter:
        """Let a request wait for a permit; its outcome may be set already."""
        self.record_node(waiter.node, now_s)
        tag = max(self.virtual_time, self.tags.get(waiter.customer, 0.0)) + 1.0
        waiter.tag = self.tags[waiter.customer] = tag
        self.waiters.append(waiter)
        self.waiters.sort(key=lambda w: (w.priority, w.tag))
        self.advance(now_s)
        return waiter

    def advance(self, now_s: float) -> None:
        """Issue permits to waiting requests; refuse those that cannot be in time."""
        bucket = self.bucket
        bucket.refill(now_s)
        while self.waiters and bucket.balance >= 1:
            waiter = self.waiters.pop(0)
            self.virtual_time = max(self.virtual_time, waiter.tag)
            waiter.finish(self.issue(waiter.node, 1))
        self.expire_refused(now_s)
        kept: list[Waiter] = []
        refused: list[Waiter] = []
        for waiter in self.waiters:
            issued_s = now_s + (len(kept) + 1 - bucket.balance) / bucket.rate
            latest_s = waiter.deadline_s
            if self.is_overloaded(waiter.priority):
                latest_s = min(latest_s, waiter.target_s)
            is_late = issued_s > latest_s or len(kept) >= MAX_WAITERS
            (refused if is_late else kept).append(waiter)
        self.waiters = kept
        for waiter in refused:
            self.refused.append((now_s, waiter.priority, waiter.is_first))
            waiter.finish(self.not_issued(waiter.priority, now_s))
        if not kept:
            self.tags.clear()
            self.virtual_time = 0.0

    def abandon(self, waiter: Waiter) -> None:
        """Remove a waiting request whose node no longer waits for the reply."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def next_s(self, now_s: float) -> float:
        """Return when the next permit accrues, in trio time."""
        return now_s + max(self.bucket.wait_s(1), MIN_PAUSE_S)

    def issue(self, node: str, count: int | None = None) -> Issued:
        """Issue permits from the bucket."""
        if count is None:
            batch = self.bucket.rate * BATCH_S / max(1, len(self.nodes))
            count = max(1, min(int(batch), int(self.bucket.balance), MAX_BATCH))
        self.bucket.balance -= count
        first = self.last_number + 1
        self.last_number += count
        self.issued_to[node] = self.issued_to.get(node, 0) + count
        return Issued(first, count)

    def is_overloaded(self, priority: int) -> bool:
        """Return whether requests of this priority had to be refused of late.

        While more requests come than the server takes, a queue that is as long as their
        deadlines allow makes all of them late. A queue that is as long as their target
        latency allows serves as many, and in time.
        """
        return any(refused <= priority for _, refused, _ in self.refused)

    def expire_refused(self, now_s: float) -> None:
        """Forget the requests that were refused before the window."""
        while self.refused and now_s - self.refused[0][0] > REFUSED_WINDOW_S:
            self.refused.popleft()

    def not_issued(self, priority: int, now_s: float) -> NotIssued:
        """Return when to request a permit again, and how long the queue is."""
        self.expire_refused(now_s)
        rate = self.bucket.rate
        pause_s = len(self.nodes) / (REQUESTS_PER_PERMIT * rate)
        pause_s = max(pause_s, self.bucket.wait_s(1), MIN_PAUSE_S)
        ahead = sum(waiter.priority <= priority for waiter in self.waiters)
        queue_s = max(0.0, (ahead + 1 - self.bucket.balance) / rate)
        retry_s = queue_s + sum(is_first for _, _, is_first in self.refused) / rate
        return NotIssued(min(pause_s, MAX_PAUSE_S), queue_s, retry_s)

    def record_node(self, node: str, now_s: float) -> None:
        """Record that a node requested a permit."""
        self.nodes.pop(node, None)
        self.nodes[node] = now_s
        while now_s - next(iter(self.nodes.values())) > NODE_TTL_S:
            del self.nodes[next(iter(self.nodes))]

    def pop_issued(self) -> dict[str, int]:
        """Return and clear the issued permits by node."""
        issued, self.issued_to = self.issued_to, {}
        return issued
