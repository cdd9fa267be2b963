"""Selection of servers under the rate limits that they state."""

import random
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from typing import Generic, TypeVar

import trio

from rosemaryknot.connection.links import CallFailed
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.server_limits.permits import PERMIT_TTL_S
from rosemaryknot.process.server_limits.records import LimitRecord, LimitRecords
from rosemaryknot.values.messages import Message
from rosemaryknot.values.server_limits import (
    NO_LIMIT,
    InvalidLimit,
    PermitReply,
    PermitRequest,
    ServerStatement,
)

__all__ = ["LimitGuard", "LimitsReached", "Permit", "PermitNeed", "Selected"]

Choice = TypeVar("Choice")

# Owners that are asked for one request. With many limited servers, the others are as
# likely to have no permit left.
MAX_ASKED = 3
# A server that was sent nothing for this long is preferred for the next request, since
# only a response can lift its limit.
PROBE_INTERVAL_S = 5.0
# No permit is requested for this long after the owner did not reply.
NO_REPLY_PAUSE_S = 1.0
# Share by which pauses differ, so that nodes do not ask in the same moment.
PAUSE_JITTER = 0.5
# Length of a pause if the owner names none: other nodes disagree about the owner.
MIN_PAUSE_S = 0.05

MOVED = counter(
    "server_limit_moved_total",
    "Requests that another server got because of a rate limit.",
)
HELD = counter(
    "server_limit_held_total", "Requests that waited for a limited server, by outcome."
)

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
    """

    server: str
    version: int
    owner: str
    incarnation: int
    number: int
    reports_all: bool
    expires_s: float


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
    """

    request: str
    customer: str
    priority: int
    wait_s: float
    may_repeat: bool


@dataclass(slots=True)
class Selected(Generic[Choice]):
    """A selected server.

    Attributes
    ----------
    choice : object
        What the caller's function chose.
    permit : Permit or None
        Permit to send to it; None for a server without a limit.
    """

    choice: Choice
    permit: Permit | None = None


@dataclass(slots=True, frozen=True)
class LimitsReached:
    """All servers that are left are limited, and none has a permit in time.

    Attributes
    ----------
    retry_after_s : float
        Time until one of them may have a permit, in seconds.
    """

    retry_after_s: float


class LimitGuard:
    """Selects servers under their limits, and records what they state.

    Parameters
    ----------
    node : str
        Name of this node.
    records : LimitRecords
        Limits of the servers.
    acquire : callable
        Requests permits from the owner of a server.
    publish : callable
        Sends a record that begins a version to all nodes.
    report : callable
        Sends a statement to the node that issued the permit.
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
        publish: Callable[[LimitRecord], object],
        report: Callable[[ServerStatement], object],
        rng: random.Random,
    ) -> None:
        self.node = node
        self.records = records
        self.acquire = acquire
        self.publish = publish
        self.report = report
        self.rng = rng
        self.spare: dict[str, list[Permit]] = {}

    # Selection.

    async def select(
        self,
        servers: Collection[str],
        choose: Callable[[Collection[str]], Choice | None],
        server_of: Callable[[Choice], str | None],
        need: PermitNeed,
    ) -> Selected[Choice] | LimitsReached | None:
        """Select a server, with a permit if it is limited.

        Parameters
        ----------
        servers : collection of str
            Incarnations of the usable servers.
        choose : callable
            Takes the incarnations that may be chosen; returns a choice, or None.
        server_of : callable
            Returns the incarnation of a choice; None if it is not a server, but a
            reason to select none.
        need : PermitNeed
            The request.

        Returns
        -------
        selected : Selected or LimitsReached or None
            None if no server may be chosen, whatever its limit.
        """
        limited = self.records.limited
        limited = limited.intersection(servers) if limited else limited
        if not limited:
            choice = choose(servers)
            return None if choice is None else Selected(choice)
        unavailable = {s for s in limited if self.is_blocked(s)}
        for server in self.due_probes(limited - unavailable, need):
            selected = await self.try_server(server, choose, server_of, need, 0.0)
            if selected is not None:
                return selected
            unavailable.add(server)
        selected = await self.select_without_waiting(
            servers, limited, unavailable, choose, server_of, need
        )
        if selected is not None:
            return selected
        return await self.select_by_waiting(limited, choose, server_of, need)

    async def select_without_waiting(
        self,
        servers: Collection[str],
        limited: set[str],
        unavailable: set[str],
        choose: Callable[[Collection[str]], Choice | None],
        server_of: Callable[[Choice], str | None],
        need: PermitNeed,
    ) -> Selected[Choice] | None:
        """Select the best server that takes the request at once."""
        for asked in range(MAX_ASKED + 1):
            if asked == MAX_ASKED:
                unavailable = limited
            choice = choose([s for s in servers if s not in unavailable])
            if choice is None:
                return None
            server = server_of(choice)
            if server is None or server not in self.records.limited:
                if unavailable:
                    self.log_moved(need, server, unavailable)
                return Selected(choice)
            permit = await self.request_permit(server, need, 0.0)
            if permit is not None or server not in self.records.limited:
                return Selected(choice, permit)
            unavailable = unavailable | {server}
        return None

    async def select_by_waiting(
        self,
        limited: set[str],
        choose: Callable[[Collection[str]], Choice | None],
        server_of: Callable[[Choice], str | None],
        need: PermitNeed,
    ) -> Selected[Choice] | LimitsReached | None:
        """Wait for the limited server with the shortest queue."""
        started_s = trio.current_time()
        for server in sorted(limited, key=self.queue_s)[:MAX_ASKED]:
            left_s = need.wait_s - (trio.current_time() - started_s)
            if left_s <= 0 or self.is_queue_too_long(server, need, left_s):
                break
            selected = await self.try_server(server, choose, server_of, need, left_s)
            if selected is not None:
                self.log_held(need, server, started_s, "sent")
                return selected
        if choose(limited) is None:
            return None
        records = [self.records.get_limited(server) for server in limited]
        retry_after_s = min((r.retry_s for r in records if r), default=0.0)
        self.log_held(need, min(limited, key=self.queue_s), started_s, "refused")
        return LimitsReached(retry_after_s)

    async def try_server(
        self,
        server: str,
        choose: Callable[[Collection[str]], Choice | None],
        server_of: Callable[[Choice], str | None],
        need: PermitNeed,
        wait_s: float,
    ) -> Selected[Choice] | None:
        """Select one server if it may be chosen and there is a permit."""
        choice = choose([server])
        if choice is None or server_of(choice) is None:
            return None
        permit = await self.request_permit(server, need, wait_s)
        if permit is None and server in self.records.limited:
            return None
        return Selected(choice, permit)

    def is_blocked(self, server: str) -> bool:
        """Return whether no permit is requested at the moment."""
        if self.spare.get(server):
            return False
        return trio.current_time() < self.records.by_server[server].blocked_until_s

    def due_probes(self, servers: Collection[str], need: PermitNeed) -> list[str]:
        """Return a server that was sent nothing for long, if the request suits it."""
        if not need.may_repeat:
            return []
        due_s = trio.current_time() - PROBE_INTERVAL_S
        due = [s for s in servers if self.records.by_server[s].used_s < due_s]
        return due[:1]

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

    # Permits.

    async def request_permit(
        self, server: str, need: PermitNeed, wait_s: float
    ) -> Permit | None:
        """Return a permit; None if there is none, or the server is not limited."""
        now_s = trio.current_time()
        spare = self.spare.get(server, [])
        while spare:
            permit = spare.pop()
            if now_s < permit.expires_s:
                return permit
        record = self.records.get_limited(server)
        if record is None:
            return None
        record.used_s = now_s
        request = PermitRequest(
            record.to_list(), self.node, need.customer, need.priority, wait_s
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
            )
            for index in range(reply.permits)
        ]
        if len(permits) > 1:
            self.spare[server] = permits[:0:-1]
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

    # Statements.

    def record_statement(
        self,
        server: str,
        sent_version: int,
        permit: Permit | None,
        limit: float | InvalidLimit | None,
    ) -> None:
        """Record the limit in the head of a response.

        Parameters
        ----------
        server : str
            Incarnation of the server.
        sent_version : int
            Version of its limit when the request was sent.
        permit : Permit or None
            Permit of the request.
        limit : float or InvalidLimit or None
            Stated limit. An invalid one is neither a limit nor its end.
        """
        if isinstance(limit, InvalidLimit):
            return
        if limit is None and server not in self.records.limited:
            return
        record = self.records.get_limited(server)
        if record is None:
            begun = self.records.begin(server, limit, sent_version, trio.current_time())
            if begun is not None:
                self.publish(begun)
            return
        if permit is None or sent_version != record.version:
            return
        if limit != record.limit or permit.reports_all:
            self.report(
                ServerStatement(
                    server,
                    permit.version,
                    permit.owner,
                    permit.incarnation,
                    permit.number,
                    NO_LIMIT if limit is None else limit,
                )
            )

    # Logs.

    def log_moved(
        self, need: PermitNeed, server: str | None, unavailable: set[str]
    ) -> None:
        """Log that a request goes elsewhere because of limits."""
        MOVED.add()
        log.info(
            "server chosen beside limited ones",
            request=need.request,
            server=server,
            limited=sorted(unavailable)[:MAX_ASKED],
            limited_count=len(unavailable),
        )

    def log_held(
        self, need: PermitNeed, server: str, started_s: float, outcome: str
    ) -> None:
        """Log that a request waited for a limited server, or was refused."""
        HELD.add(outcome=outcome)
        log.info(
            "request waited for a limited server",
            request=need.request,
            server=server,
            outcome=outcome,
            waited_s=round(trio.current_time() - started_s, 3),
            may_wait_s=round(need.wait_s, 3),
            queue_s=round(self.queue_s(server), 3),
            customer=need.customer,
            priority=need.priority,
        )
