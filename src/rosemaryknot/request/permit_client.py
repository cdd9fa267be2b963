"""Requests for permits to send to servers with a rate limit."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from rosemaryknot.connection.links import CallFailed
from rosemaryknot.process.logs import logger
from rosemaryknot.process.server_limits.permits import PERMIT_TTL_S
from rosemaryknot.process.server_limits.records import LimitRecord, LimitRecords
from rosemaryknot.values.messages import Message
from rosemaryknot.values.server_limits import PermitReply, PermitRequest

__all__ = ["Permit", "PermitClient", "PermitNeed"]

# No permit is requested for this long after the owner did not reply.
NO_REPLY_PAUSE_S = 1.0
# Share by which pauses differ, so that nodes do not ask in the same moment.
PAUSE_JITTER = 0.5
# Length of a pause if the owner names none: other nodes disagree about the owner.
MIN_PAUSE_S = 0.05

log = logger("server limits")


@dataclass(slots=True, frozen=True)
class Permit:
    """Permission to send one request to a limited server.

    Attributes
    ----------
    server : str
        Incarnation of the server.
    version : int
        Version of its limit.
    owner : str
        Node that issued the permit.
    incarnation : int
        Incarnation of that node.
    number : int
        Number of the permit.
    reports_all : bool
        Whether the owner has to know what the server states even if it knows it.
    expires_s : float
        Until when the request may be sent, in trio time.
    is_place : bool
        Whether it takes a place of a brittle server until the request has ended.
    """

    server: str
    version: int
    owner: str
    incarnation: int
    number: int
    reports_all: bool
    expires_s: float
    is_place: bool = False


@dataclass(slots=True, frozen=True)
class PermitNeed:
    """The request for which a server is selected.

    Attributes
    ----------
    request : str
        Id of the request.
    customer : str
        Customer that sent it.
    priority : int
        Priority; 0 is the highest.
    wait_s : float
        How long it may wait for a limited server, in seconds.
    may_repeat : bool
        Whether it may run more than once, so that it may serve as a probe.
    target_wait_s : float
        How long it may wait and still meet its target latency, in seconds; 0 if it has
        none.
    """

    request: str
    customer: str
    priority: int
    wait_s: float
    may_repeat: bool
    target_wait_s: float = 0.0


class PermitClient:
    """Requests permits, and remembers when to request the next one.

    Parameters
    ----------
    node : str
        Name of this node.
    records : LimitRecords
        Limits of the servers.
    acquire : callable
        Sends a request for permits to the owner of a server.
    rng : random.Random
        Jitter of the pauses.

    Attributes
    ----------
    spare : dict of str to list of Permit
        Permits that were issued together with another one, by server.
    """

    def __init__(
        self,
        node: str,
        records: LimitRecords,
        acquire: Callable[[PermitRequest], Awaitable[Message | CallFailed]],
        rng: random.Random,
    ) -> None:
        self.node = node
        self.records = records
        self.acquire = acquire
        self.rng = rng
        self.spare: dict[str, list[Permit]] = {}

    async def request(
        self, server: str, need: PermitNeed, wait_s: float, is_first: bool = True
    ) -> Permit | None:
        """Return a permit; None if there is none, or the server is not limited.

        Parameters
        ----------
        server : str
            Incarnation of the server.
        need : PermitNeed
            The request that needs a permit.
        wait_s : float
            How long it may wait, in seconds; 0 if there are other servers.
        is_first : bool
            Whether no other owner has refused it.
        """
        now_s = trio.current_time()
        spare = [p for p in self.spare.pop(server, []) if now_s < p.expires_s]
        if len(spare) > 1:
            self.spare[server] = spare[1:]
        if spare:
            return spare[0]
        record = self.records.get_limited(server)
        if record is None:
            return None
        record.used_s = now_s
        request = PermitRequest(
            record.to_list(),
            self.node,
            need.customer,
            need.priority,
            wait_s,
            min(need.target_wait_s, wait_s),
            is_first,
        )
        reply = await self.acquire(request)
        if not isinstance(reply, PermitReply):
            self.block(server, PermitReply([], pause_s=NO_REPLY_PAUSE_S), need.priority)
            log.warning(
                "no permit: owner did not reply",
                request=need.request,
                server=server,
                reason=getattr(reply, "reason", "unexpected reply"),
            )
            return None
        return self.apply_reply(server, reply, need.priority)

    def put_back(self, permit: Permit | None) -> None:
        """Let another request use a permit; a place is given back to its owner."""
        if permit is not None and not permit.is_place:
            self.spare.setdefault(permit.server, []).append(permit)

    def apply_reply(
        self, server: str, reply: PermitReply, priority: int
    ) -> Permit | None:
        """Apply the reply of the owner; return the first permit."""
        now_s = trio.current_time()
        received = LimitRecord.from_list(reply.record)
        if received is not None and received.server == server:
            self.records.merge(received, now_s)
        if reply.permits <= 0:
            self.block(server, reply, priority)
            return None
        version = self.records.version(server)
        permits = [
            Permit(
                server,
                version,
                reply.owner,
                reply.incarnation,
                reply.number + index,
                reply.reports_all,
                now_s + PERMIT_TTL_S,
                self.is_brittle(server),
            )
            for index in range(reply.permits)
        ]
        if len(permits) > 1:
            self.spare.setdefault(server, []).extend(permits[1:])
        return permits[0]

    def block(self, server: str, reply: PermitReply, priority: int) -> None:
        """Request no permit for a server for a while."""
        record = self.records.get_limited(server)
        if record is None:
            return
        jitter = self.rng.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)
        pause_s = max(MIN_PAUSE_S, reply.pause_s * jitter)
        record.blocked_until_s = trio.current_time() + pause_s
        record.queue_s, record.retry_s = reply.queue_s, max(reply.retry_s, pause_s)
        record.refused_priority = priority

    def may_send(self, server: str, permit: Permit | None) -> bool:
        """Return whether a request may be sent now.

        The server may have stated a limit after it was selected, and opening the
        connection may have taken longer than the permit holds.
        """
        if server not in self.records.limited:
            return True
        return permit is not None and trio.current_time() < permit.expires_s

    def is_brittle(self, server: str) -> bool:
        """Return whether a server states that it is brittle."""
        record = self.records.get_limited(server)
        return record is not None and record.turned_away is not None

    def is_blocked(self, server: str) -> bool:
        """Return whether no permit is requested at the moment."""
        if self.spare.get(server):
            return False
        return trio.current_time() < self.records.by_server[server].blocked_until_s

    def queue_s(self, server: str) -> float:
        """Return the expected wait for a permit, in seconds, as far as it is known."""
        record = self.records.get_limited(server)
        if record is None or record.blocked_until_s < trio.current_time():
            return 0.0
        return record.queue_s

    def is_queue_too_long(self, server: str, need: PermitNeed, wait_s: float) -> bool:
        """Return whether a request of this priority is known to wait too long."""
        record = self.records.get_limited(server)
        is_first = record is not None and need.priority < record.refused_priority
        return not is_first and self.queue_s(server) > wait_s
