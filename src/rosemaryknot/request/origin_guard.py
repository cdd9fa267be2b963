"""Keeps a stream at the software version that began it, over nodes and attempts."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import trio

from rosemaryknot.process.gateway_servers import ServerTable
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.origin_exchange import Lookup, OriginExchange, PendingOrigin
from rosemaryknot.process.origin_records import MAX_KEEP_S, OriginRecord
from rosemaryknot.process.server_state import ServerState
from rosemaryknot.process.software_versions import RESTART_NOTICE_S
from rosemaryknot.request.origin_rules import (
    LOOKUP_RETRY_AFTER_S,
    ORIGIN_RULES,
    Continued,
    OriginInput,
    Unresumable,
)
from rosemaryknot.values.gateway import GatewayRequest, GatewayRoute, RetryPolicy
from rosemaryknot.values.stream_origins import StreamOrigin, origin_key

__all__ = [
    "OriginGuard",
    "Resumption",
    "StreamBeginning",
    "new_beginning",
    "is_resumption",
]

ORIGIN_RULE = "recorded_or_only"
# Longest wait, after the first event has arrived, for a node to confirm the record. The
# event goes out then, and the stream cannot be resumed at another node.
PLACED_TIMEOUT_S = 0.05
# An attempt lasts for the timeout of its route at most, and its caller may come back
# until the end of another one. Streams of short routes are kept for longer, as callers
# take a while to notice that their node is gone.
KEEP_TIMEOUTS = 2.0
MIN_KEEP_S = 30.0

RESUMPTIONS = counter(
    "gateway_resumptions_total", "Streams that callers resumed, by result."
)

log = logger("origins")


@dataclass(slots=True)
class Resumption:
    """A caller's request that resumes a stream.

    Attributes
    ----------
    customer : str
        Customer that sends it; empty without one.
    request : GatewayRequest
        The request.
    route : GatewayRoute
        Its route.
    service : str
        Service to which it would go.
    """

    customer: str
    request: GatewayRequest
    route: GatewayRoute
    service: str

    @property
    def key(self) -> bytes:
        """Key of the attempt that brought the caller's first event."""
        return origin_key(self.customer, self.request.resumes or "")


@dataclass(slots=True)
class StreamBeginning:
    """What is recorded of the attempts at servers of one caller's attempt.

    Attributes
    ----------
    request_id : str
        Id of the caller's attempt; for the log.
    key : bytes
        Key of the caller's attempt.
    keep_s : float
        How long its record is kept, in seconds.
    pending : list of PendingOrigin
        Records of the attempts at servers so far, on their way to other nodes.
    """

    request_id: str
    key: bytes
    keep_s: float
    pending: list[PendingOrigin]

    @property
    def origin(self) -> StreamOrigin | None:
        """Origin by the last attempt."""
        return self.pending[-1].record.origin if self.pending else None

    @property
    def began_s(self) -> float:
        """When the last attempt began, in trio time."""
        return self.pending[-1].record.began_s

    def holders_of_others(self, origin: StreamOrigin) -> set[str]:
        """Return the nodes that may hold a record with another version."""
        return {
            name
            for pending in self.pending
            if pending.record.origin.software_version != origin.software_version
            for name in pending.sent_to
        }


class OriginGuard:
    """Records where streams begin, and decides where they may go on.

    Parameters
    ----------
    node : str
        Name of this node, with its incarnation.
    servers : ServerTable
        The servers.
    exchange : OriginExchange
        Origins of the streams of all nodes.
    confirm_entries : callable
        Asks the store for all entries up to now; returns whether it has answered.
    """

    def __init__(
        self,
        node: str,
        servers: ServerTable,
        exchange: OriginExchange,
        confirm_entries: Callable[[], Awaitable[bool]],
    ) -> None:
        self.node = node
        self.servers = servers
        self.exchange = exchange
        self.confirm_entries = confirm_entries
        self.decide = ORIGIN_RULES[ORIGIN_RULE]

    # Where a stream goes on.

    async def resolve(self, resumption: Resumption) -> Continued | Unresumable:
        """Decide where a stream continues that a caller resumes."""
        request, route = resumption.request, resumption.route
        lookup = Lookup()
        if request.resumes:
            lookup = await self.exchange.find(resumption.key)
        record = lookup.record
        is_confirmed = False
        if record is None and self.only_version(resumption) is not None:
            is_confirmed = await self.confirm_entries()
        decision = self.decide(
            OriginInput(
                origin=None if record is None else record.origin,
                is_uncertain=record is not None and self.is_uncertain(record),
                only_version=None if record else self.only_version(resumption),
                is_confirmed=is_confirmed,
                service=resumption.service,
                services={name for name, weight in route.backends if weight > 0},
                is_complete=lookup.is_complete,
                names_origin=bool(request.resumes),
            )
        )
        self.log_decision(resumption, lookup, decision)
        if record is not None and isinstance(decision, Continued):
            self.renew(record, route)
        return decision

    def only_version(self, resumption: Resumption) -> str | None:
        """Return the version if the service had no other one of late, as known here."""
        states = self.servers.of_service(resumption.service)
        period_s = keep_s(resumption.route)
        return self.servers.versions.only_version(resumption.service, states, period_s)

    def is_uncertain(self, record: OriginRecord) -> bool:
        """Return whether the server may have been of another version than recorded."""
        versions = self.servers.versions
        return versions.is_uncertain(record.origin.server, record.began_s)

    def renew(self, record: OriginRecord, route: GatewayRoute) -> None:
        """Keep a record for longer: its caller may resume the stream once more."""
        expires_s = trio.current_time() + keep_s(route)
        expires_s = max(record.expires_s, expires_s)
        self.exchange.place(replace(record, expires_s=expires_s))

    def matching(
        self,
        states: list[ServerState],
        origin: StreamOrigin,
        beginning: StreamBeginning | None = None,
    ) -> list[ServerState]:
        """Return the servers that are certainly of the version of an origin.

        Parameters
        ----------
        states : list of ServerState
            Servers of the service.
        origin : StreamOrigin
            Origin of the stream.
        beginning : StreamBeginning, optional
            Records of the stream, if it began at this node: its server may have turned
            out to be of another version meanwhile.
        """
        if beginning is not None and beginning.pending:
            began_s = beginning.began_s
            if self.servers.versions.is_uncertain(origin.server, began_s):
                return []
        if not self.servers.versions.are_entries_witnessed():
            # A server may have started again with another version.
            return []
        version = origin.software_version
        is_current = self.servers.versions.is_current
        return [
            state
            for state in states
            if version and state.entry.software_version == version and is_current(state)
        ]

    def explain_absence(self, origin: StreamOrigin, is_confirmed: bool) -> Unresumable:
        """Return why no server continues the streams of an origin, and until when.

        Parameters
        ----------
        origin : StreamOrigin
            Origin of a stream.
        is_confirmed : bool
            Whether the store has confirmed the entries since the request arrived.
        """
        version = origin.software_version
        states = [
            state
            for state in self.servers.of_service(origin.service)
            if state.entry.software_version == version and not state.is_draining
        ]
        if states or not self.servers.is_listed:
            reason = f"no server of software version {version} can go on for now"
            return Unresumable(reason, RESTART_NOTICE_S)
        if not is_confirmed:
            reason = f"no server of software version {version} is known for now"
            return Unresumable(reason, LOOKUP_RETRY_AFTER_S)
        reason = f"no server of software version {version}, which began it, is left"
        return Unresumable(reason)

    # Where a stream begins.

    def record_attempt(
        self,
        beginning: StreamBeginning,
        state: ServerState,
        is_current: bool,
        origin: StreamOrigin | None = None,
    ) -> None:
        """Record the server to which a request is sent that may begin a stream.

        Parameters
        ----------
        beginning : StreamBeginning
            Records of the caller's attempt, to which this one is added.
        state : ServerState
            The server.
        is_current : bool
            Whether it is certainly of the version that its entry tells.
        origin : StreamOrigin, optional
            Origin of the stream if the request resumes one.
        """
        if origin is None:
            version = state.entry.software_version if is_current else ""
            origin = StreamOrigin(state.service, version, state.incarnation_key)
        now_s = trio.current_time()
        record = OriginRecord(
            beginning.key,
            origin,
            len(beginning.pending) + 1,
            self.node,
            now_s,
            now_s + beginning.keep_s,
        )
        required = beginning.holders_of_others(origin)
        beginning.pending.append(self.exchange.place(record, required))

    async def is_settled(self, beginning: StreamBeginning) -> bool:
        """Wait, if that is due, before the first event of a stream goes out.

        Returns
        -------
        is_settled : bool
            Whether the event may go out: no node can hold a record with the version of
            an earlier attempt. That this attempt is recorded elsewhere is no condition:
            without a record the stream cannot be resumed.
        """
        pending = beginning.pending[-1]
        if not await pending.wait_replaced():
            return False
        if not await pending.wait_stored(PLACED_TIMEOUT_S) and pending.sent_to:
            log.warning(
                "origin of a stream not stored in time",
                request=beginning.request_id,
                sent_to=sorted(pending.sent_to),
                failed_at=sorted(pending.failed_at),
            )
        return True

    # Logs.

    def log_decision(
        self,
        resumption: Resumption,
        lookup: Lookup,
        decision: Continued | Unresumable,
    ) -> None:
        """Log the decision on a stream that a caller resumes."""
        is_continued = isinstance(decision, Continued)
        RESUMPTIONS.add(result="continued" if is_continued else "refused")
        record = lookup.record
        origin = decision.origin if is_continued else None
        log.info(
            "stream resumed" if is_continued else "stream not resumed",
            request=resumption.request.id,
            service=resumption.service if origin is None else origin.service,
            software_version=None if origin is None else origin.software_version,
            basis=decision.basis if is_continued else decision.reason,
            known_at=lookup.node,
            record_age_s=None
            if record is None
            else round(trio.current_time() - record.began_s, 3),
            asked=lookup.asked,
            replied=lookup.replied,
            entries_age_s=round(self.servers.versions.entries_age_s(), 3),
            servers=0 if origin is None else self.count_servers(origin),
        )

    def count_servers(self, origin: StreamOrigin) -> int:
        """Return the number of servers at which a stream may go on."""
        now_s = trio.current_time()
        states = [
            state
            for state in self.servers.of_service(origin.service)
            if state.accepts_requests(now_s)
        ]
        return len(self.matching(states, origin))


def is_resumption(request: GatewayRequest, route: GatewayRoute) -> bool:
    """Return whether a request resumes a stream that its caller has a part of."""
    is_resumption = request.resumes is not None or request.last_event_id is not None
    return is_resumption and route.retry_policy == RetryPolicy.STREAM


def keep_s(route: GatewayRoute) -> float:
    """Return how long the origin of a stream is kept, in seconds."""
    return min(MAX_KEEP_S, max(MIN_KEEP_S, KEEP_TIMEOUTS * route.timeout_s))


def new_beginning(
    customer: str, request: GatewayRequest, route: GatewayRoute
) -> StreamBeginning | None:
    """Return what is to be recorded of a request; None if its stream cannot go on."""
    if route.retry_policy != RetryPolicy.STREAM or not route.is_resumable:
        return None
    if not request.id:
        # Nobody could name it, and all requests without an id would share a record.
        return None
    key = origin_key(customer, request.id)
    return StreamBeginning(request.id, key, keep_s(route), [])
