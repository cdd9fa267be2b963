"""Detects which backend servers crashed, and records the requests that ran on them."""

import math
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

import trio

from rosemaryknot.process.crash_records import Crash, CrashRecord, CrashRecords
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.segment_records import SegmentRecord
from rosemaryknot.process.segment_suspicions import SegmentCrash
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.request_identity import RequestIdentity
from rosemaryknot.values.server_evidence import ServerEvidence

__all__ = ["CheckedServer", "CrashDetector", "ServerRequest"]

# Time between the first connection that a process closes as it exits and the close of
# its port.
EXIT_S = 0.1
# How long a server that accepts connections again, or does not respond, is observed: a
# server that was restarted immediately has written its entry by then.
OBSERVATION_S = 2.0
OBSERVATION_INTERVAL_S = 0.1
# A request whose caller left is counted if its server crashed no later than this.
ABANDONED_S = 0.5
# How long the incarnation of a crashed server is remembered.
CRASHED_TTL_S = 60.0
MAX_LOGGED_REQUESTS = 8
# A server that a segment of a prompt crashes ends as it begins to write the response. A
# crash later than this does not count against the segments.
MAX_PROGRESS_S = 1.0
# Part of a request's digest that tells the requests with a segment apart.
REQUEST_DIGEST_BYTES = 8

CRASHES = counter("server_crashes_total", "Crashes of backend servers.")

log = logger("crashes")


class CheckedServer(Protocol):
    """One incarnation of a server, as the detector needs it.

    Attributes
    ----------
    incarnation_key : str
        Text that identifies the incarnation.
    service : str
        Service that it runs.
    address : Address
        Address that it listens on.
    has_announced_drain : bool
        Whether it is draining.
    is_missing : bool
        Whether its entry is missing and may still return.
    is_removed : bool
        Whether it is known to have ended.
    last_answered_s : float
        When the latest of the attempts began that received the head of a response, in
        trio time.
    process_lost_s : float
        When its process was last seen to have ended, in trio time; set by the detector.
    """

    incarnation_key: str
    service: str
    address: Address
    has_announced_drain: bool
    is_missing: bool
    is_removed: bool
    last_answered_s: float
    process_lost_s: float


@dataclass(slots=True)
class ServerRequest:
    """A request that was running on a server.

    Attributes
    ----------
    identity : RequestIdentity
        The request.
    progress_s : float
        How long its response had been going on, in seconds; 0 before its begin.
    began_s : float
        When the response began, in trio time; of a completed one.
    """

    identity: RequestIdentity
    progress_s: float = 0.0
    began_s: float = -math.inf


@dataclass(slots=True)
class Check:
    """Check whether a server crashed, and the requests whose connections it closed.

    Attributes
    ----------
    state : CheckedServer
        The server.
    closed_s : float
        When the server closed the first of the connections, in trio time.
    requests : list of ServerRequest
        Requests that were running on it.
    is_accepting : bool
        Whether the server still accepts connections.
    is_crashed : bool
        Whether the check has shown that the server crashed.
    is_completion : bool
        Whether the server had completed the requests.
    """

    state: CheckedServer
    closed_s: float
    requests: list[ServerRequest] = field(default_factory=list)
    is_accepting: bool = False
    is_crashed: bool = False
    is_completion: bool = False


class CrashDetector:
    """Checks of servers that closed connections before their responses ended.

    A server may also close a connection because it truncates a response, has too many
    connections or is reset by the network. Only a server that has ended counts: it
    refuses the connections of peers too, or its next incarnation appears. A node whose
    own link is cut sees all servers refuse.

    Parameters
    ----------
    check_server : callable
        Returns what this node and its peers see of the server with an address.
    accepts : callable
        Returns whether the server with an address accepts a connection and leaves it
        open for a time, in seconds.
    records : CrashRecords
        Receives the crashes.

    Attributes
    ----------
    checks : dict of str to Check
        Checks in progress, and of servers that crashed recently.
    completions : dict of str to Check
        Checks in progress of servers that closed connections after their responses.
    abandoned : collections.deque of tuple
        Attempts that callers left recently: time, server incarnation and request.
    on_recorded : callable
        Called with each record to which a crash was added.
    on_completed : callable
        Called with a server that did not crash and each request that it completed.
    on_crashed : callable
        Called after a server has crashed and the requests there were recorded.
    """

    def __init__(
        self,
        check_server: Callable[[Address], Awaitable[ServerEvidence]],
        accepts: Callable[[Address, float], Awaitable[bool]],
        records: CrashRecords,
    ) -> None:
        self.check_server = check_server
        self.accepts = accepts
        self.records = records
        self.checks: dict[str, Check] = {}
        self.completions: dict[str, Check] = {}
        self.abandoned: deque[tuple[float, str, ServerRequest]] = deque()
        self.on_recorded: Callable[[CrashRecord | SegmentRecord], None] = (
            lambda record: None
        )
        self.on_completed: Callable[[CheckedServer, ServerRequest], None] = (
            lambda state, request: None
        )
        self.on_crashed: Callable[[], None] = lambda: None
        self.pending_send, self.pending_receive = trio.open_memory_channel[Check](
            math.inf
        )

    async def run(self) -> None:
        """Check servers until cancelled."""
        async with trio.open_nursery() as nursery:
            async for check in self.pending_receive:
                run = self.check_completion if check.is_completion else self.check
                nursery.start_soon(run, check)

    async def confirms_end(self, state: CheckedServer) -> bool:
        """Return whether the close of a connection shows the end of its response.

        The system closes the connections of a process that has ended in the same way as
        those of one that has sent everything. So a response whose end is marked by that
        of its connection is complete only if its server is seen to go on.

        That holds for one that drains too: it goes on serving until it exits, and may
        exit within a response. As it exits, it may close its connections before the
        port, so that the connection of the check has to stay open for a time.
        """
        open_s = EXIT_S if state.has_announced_drain else 0.0
        return await self.accepts(state.address, open_s)

    def record_closed(self, state: CheckedServer, request: ServerRequest) -> None:
        """Record that a server closed the connection of a request.

        A server that drains ends its remaining requests when it stops, which is no
        crash. One that does not announce a drain removes its entry.
        """
        if state.has_announced_drain or state.is_missing:
            return
        check = self.checks.get(state.incarnation_key)
        if check is None:
            check = Check(state, trio.current_time())
            self.checks[state.incarnation_key] = check
            self.pending_send.send_nowait(check)
        if check.is_crashed:
            self.record_crash(check, request)
        else:
            check.requests.append(request)

    def record_completed(self, state: CheckedServer, request: ServerRequest) -> None:
        """Record that a server closed the connection of a request it had completed.

        The request is passed to `on_completed` once the server has proved not to have
        crashed. These checks stand apart from the others: a service may end each
        response so, and a crash is observed for its whole time.
        """
        check = self.completions.get(state.incarnation_key)
        if check is None:
            check = Check(state, trio.current_time(), is_completion=True)
            self.completions[state.incarnation_key] = check
            self.pending_send.send_nowait(check)
        check.requests.append(request)

    def may_have_crashed(self, state: CheckedServer) -> bool:
        """Return whether a server that closed a connection seems to have ended."""
        check = self.checks.get(state.incarnation_key)
        return check is not None and (check.is_crashed or not check.is_accepting)

    def is_undecided(self, state: CheckedServer) -> bool:
        """Return whether the check of a server has found nothing out yet."""
        check = self.checks.get(state.incarnation_key)
        return check is not None and not (check.is_crashed or check.is_accepting)

    def record_abandoned(self, state: CheckedServer, request: ServerRequest) -> None:
        """Record that an attempt was cancelled while the server was running it.

        The caller left, or the time was over; the attempt does not see the server
        crash.
        """
        now_s = trio.current_time()
        while self.abandoned and now_s - self.abandoned[0][0] > ABANDONED_S:
            self.abandoned.popleft()
        self.abandoned.append((now_s, state.incarnation_key, request))

    async def check(self, check: Check) -> None:
        """Find out whether a server crashed and record the requests that it ran."""
        if await self.has_crashed(check):
            self.record_abandoned_there(check)
            check.is_crashed = True
            check.state.process_lost_s = check.closed_s
            CRASHES.add()
            log.warning(
                f"server {check.state.incarnation_key} crashed",
                service=check.state.service,
                requests=len(check.requests),
                request_digests=[
                    request.identity.digest.hex()
                    for request in check.requests[:MAX_LOGGED_REQUESTS]
                ],
                segments=[
                    [unit.segment for unit in request.identity.units]
                    for request in check.requests[:MAX_LOGGED_REQUESTS]
                ],
                progress_s=[
                    round(request.progress_s, 3)
                    for request in check.requests[:MAX_LOGGED_REQUESTS]
                ],
                known_after_s=round(trio.current_time() - check.closed_s, 3),
            )
            for request in check.requests:
                self.record_crash(check, request)
            check.requests.clear()
            self.on_crashed()
            await trio.sleep(CRASHED_TTL_S)
        del self.checks[check.state.incarnation_key]

    async def check_completion(self, check: Check) -> None:
        """Pass the completed requests on if their server did not crash."""
        has_crashed = await self.has_crashed(check)
        del self.completions[check.state.incarnation_key]
        if not has_crashed:
            for request in check.requests:
                self.on_completed(check.state, request)

    async def has_crashed(self, check: Check) -> bool:
        """Return whether a server that closed a connection has ended."""
        evidence = await self.check_server(check.state.address)
        if evidence == ServerEvidence.REFUSES:
            return True
        if evidence == ServerEvidence.ACCEPTS:
            check.is_accepting = True
            self.records.signal_change()
        end_s = check.closed_s + OBSERVATION_S
        while trio.current_time() < end_s:
            await trio.sleep(OBSERVATION_INTERVAL_S)
            if check.state.has_announced_drain:
                return False
            if check.state.is_removed or check.state.is_missing:
                return True
            if check.state.last_answered_s > check.closed_s:
                return False
        return evidence == ServerEvidence.SILENT

    def record_abandoned_there(self, check: Check) -> None:
        """Add the requests whose callers left shortly before a server crashed."""
        for left_s, server, request in self.abandoned:
            is_recent = abs(check.closed_s - left_s) <= ABANDONED_S
            if is_recent and server == check.state.incarnation_key:
                check.requests.append(request)

    def record_crash(self, check: Check, request: ServerRequest) -> None:
        """Record a crash against a request that was running on the server."""
        state = check.state
        identity = request.identity
        crash = Crash(state.incarnation_key, state.service, check.closed_s)
        record = self.records.record(identity.digest, identity.customer, crash)
        if record is not None:
            record.is_own = True
            self.on_recorded(record)
        if request.progress_s <= MAX_PROGRESS_S:
            self.record_segment_crashes(check, request)

    def record_segment_crashes(self, check: Check, request: ServerRequest) -> None:
        """Record a crash against the segments of a request's prompt."""
        state, identity = check.state, request.identity
        crash = SegmentCrash(
            state.incarnation_key,
            state.service,
            check.closed_s,
            request.progress_s,
            frozenset((identity.digest[-REQUEST_DIGEST_BYTES:],)),
        )
        for unit in identity.units:
            record = self.records.segments.record(identity.customer, unit, crash)
            if record is not None:
                record.is_own = True
                self.on_recorded(record)
