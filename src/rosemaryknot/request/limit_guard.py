"""Selection of servers under the rate limits that they state."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Generic, TypeVar

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.server_limits.records import LimitRecord
from rosemaryknot.request.permit_client import Permit, PermitClient, PermitNeed
from rosemaryknot.values.server_limits import (
    NO_LIMIT,
    InvalidLimit,
    PermitReturn,
    ServerStatement,
)

__all__ = ["LimitGuard", "LimitsReached", "Selected", "SelectionInput"]

Choice = TypeVar("Choice")

# Owners that are asked for one request. With many limited servers, the others are as
# likely to have no permit left.
MAX_ASKED = 3
# A server that was sent nothing for this long is preferred for the next request, since
# only a response can lift its limit.
PROBE_INTERVAL_S = 5.0
# New servers of a service are treated as brittle for this long after one of its servers
# stated that it is.
BRITTLE_TTL_S = 30.0

MOVED = counter(
    "server_limit_moved_total",
    "Requests that another server got because of a rate limit.",
)
HELD = counter(
    "server_limit_held_total", "Requests that waited for a limited server, by outcome."
)

log = logger("server limits")


@dataclass(slots=True, frozen=True)
class SelectionInput(Generic[Choice]):
    """The servers among which one is selected for a request.

    Attributes
    ----------
    servers : collection of str
        Incarnations of the usable servers.
    choose : callable
        Takes the incarnations that may be chosen; returns a choice, or None.
    server_of : callable
        Returns the incarnation of a choice; None if it is not a server, but a reason to
        select none.
    need : PermitNeed
        The request.
    service : str
        Service of the servers.
    """

    servers: Collection[str]
    choose: Callable[[Collection[str]], Choice | None]
    server_of: Callable[[Choice], str | None]
    need: PermitNeed
    service: str = ""


@dataclass(slots=True)
class Brittleness:
    """What the servers of a service stated last of how brittle they are.

    Attributes
    ----------
    turned_away : float
        Requests a second that one may turn away.
    room : float
        Places of a server.
    stated_s : float
        When one stated it last, in trio time.
    """

    turned_away: float
    room: float
    stated_s: float


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
    permits : PermitClient
        Requests permits.
    publish : callable
        Sends a record that begins a version to all nodes.
    report : callable
        Sends a statement to the node that issued the permit.
    give_back_permit : callable
        Tells the node that issued a permit that its request has ended.

    Attributes
    ----------
    records : LimitRecords
        Limits of the servers.
    """

    def __init__(
        self,
        permits: PermitClient,
        publish: Callable[[LimitRecord], object],
        report: Callable[[ServerStatement], object],
        give_back_permit: Callable[[PermitReturn], object] = lambda returned: None,
    ) -> None:
        self.permits = permits
        self.records = permits.records
        self.publish = publish
        self.report = report
        self.give_back_permit = give_back_permit
        self.brittle: dict[str, Brittleness] = {}

    # Selection.

    @property
    def has_limits(self) -> bool:
        """Whether any server is limited, or may be treated as brittle."""
        return bool(self.records.limited or self.brittle)

    async def select(
        self, inputs: SelectionInput[Choice]
    ) -> Selected[Choice] | LimitsReached | None:
        """Select a server, with a permit if it is limited.

        Returns
        -------
        selected : Selected or LimitsReached or None
            None if no server may be chosen, whatever its limit.
        """
        self.assume_brittle(inputs)
        limited = self.records.limited.intersection(inputs.servers)
        if not limited:
            choice = inputs.choose(inputs.servers)
            return None if choice is None else Selected(choice)
        unavailable = {s for s in limited if self.permits.is_blocked(s)}
        probed = self.due_probe(limited - unavailable, inputs.need)
        if probed is not None:
            selected = await self.try_server(inputs, probed, 0.0)
            if selected is not None:
                return selected
            unavailable.add(probed)
        selected = await self.select_without_waiting(inputs, limited, unavailable)
        if selected is not None:
            return selected
        return await self.select_by_waiting(inputs, limited)

    async def select_without_waiting(
        self, inputs: SelectionInput[Choice], limited: set[str], unavailable: set[str]
    ) -> Selected[Choice] | None:
        """Select the best server that takes the request at once."""
        for asked in range(MAX_ASKED + 1):
            if asked == MAX_ASKED:
                unavailable = limited
            allowed = [s for s in inputs.servers if s not in unavailable]
            choice = inputs.choose(allowed)
            if choice is None:
                return None
            server = inputs.server_of(choice)
            if server is None or server not in self.records.limited:
                if unavailable:
                    self.log_moved(inputs.need, server, unavailable)
                return Selected(choice)
            permit = await self.permits.request(server, inputs.need, 0.0)
            if permit is not None or server not in self.records.limited:
                return Selected(choice, permit)
            unavailable = unavailable | {server}
        return None

    async def select_by_waiting(
        self, inputs: SelectionInput[Choice], limited: set[str]
    ) -> Selected[Choice] | LimitsReached | None:
        """Wait for the limited server with the shortest queue."""
        need, permits = inputs.need, self.permits
        started_s = trio.current_time()
        nearest = sorted(limited, key=permits.queue_s)[:MAX_ASKED]
        for number, server in enumerate(nearest):
            left_s = need.wait_s - (trio.current_time() - started_s)
            if left_s <= 0 or permits.is_queue_too_long(server, need, left_s):
                break
            selected = await self.try_server(inputs, server, left_s, number == 0)
            if selected is not None:
                self.log_held(need, server, started_s, "sent")
                return selected
        if inputs.choose(limited) is None:
            return None
        records = [self.records.get_limited(server) for server in limited]
        retry_after_s = min((r.retry_s for r in records if r), default=0.0)
        self.log_held(need, min(limited, key=permits.queue_s), started_s, "refused")
        return LimitsReached(retry_after_s)

    async def try_server(
        self,
        inputs: SelectionInput[Choice],
        server: str,
        wait_s: float,
        is_first: bool = True,
    ) -> Selected[Choice] | None:
        """Select one server if it may be chosen and there is a permit."""
        choice = inputs.choose([server])
        if choice is None or inputs.server_of(choice) is None:
            return None
        permit = await self.permits.request(server, inputs.need, wait_s, is_first)
        if permit is None and server in self.records.limited:
            return None
        return Selected(choice, permit)

    def due_probe(self, servers: Collection[str], need: PermitNeed) -> str | None:
        """Return a server that was sent nothing for long, if the request suits it."""
        if not need.may_repeat:
            return None
        due_s = trio.current_time() - PROBE_INTERVAL_S
        due = (s for s in servers if self.records.by_server[s].used_s < due_s)
        return next(due, None)

    # Statements.

    def assume_brittle(self, inputs: SelectionInput[Choice]) -> None:
        """Treat new servers of a brittle service as brittle until they respond.

        A server that crashed is back without any request, and all nodes would send it
        theirs before its first response states that it is brittle.
        """
        known = self.brittle.get(inputs.service)
        now_s = trio.current_time()
        if known is None:
            return
        if now_s - known.stated_s > BRITTLE_TTL_S:
            del self.brittle[inputs.service]
            return
        for server in inputs.servers:
            if server not in self.records.by_server:
                begun = self.records.begin(
                    server, known.room, 0, now_s, known.turned_away
                )
                if begun is not None:
                    self.publish(begun)

    def record_brittle(
        self,
        service: str,
        server: str,
        sent_version: int,
        turned_away: float,
        room: float,
    ) -> None:
        """Record that a server states that it is brittle.

        Parameters
        ----------
        service, server : str
            Service and incarnation of the server.
        sent_version : int
            Version of its limit when the request was sent.
        turned_away : float
            Requests a second that it may turn away.
        room : float
            Places that it has.
        """
        now_s = trio.current_time()
        self.brittle[service] = Brittleness(turned_away, room, now_s)
        if server in self.records.limited:
            return
        begun = self.records.begin(server, room, sent_version, now_s, turned_away)
        if begun is not None:
            self.publish(begun)

    def give_back(self, permit: Permit | None, was_turned_away: bool) -> None:
        """Record that the request of a permit has ended."""
        if permit is not None and permit.is_place:
            self.give_back_permit(
                PermitReturn(
                    permit.server,
                    permit.owner,
                    permit.incarnation,
                    permit.number,
                    was_turned_away,
                )
            )

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
            queue_s=round(self.permits.queue_s(server), 3),
            customer=need.customer,
            priority=need.priority,
        )
