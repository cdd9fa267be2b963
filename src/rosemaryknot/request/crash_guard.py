"""Applies the rules on requests during which backend servers crashed."""

import math
from collections import Counter
from collections.abc import Callable

import trio

from rosemaryknot.process.crash_detector import (
    CheckedServer,
    CrashDetector,
    ServerRequest,
)
from rosemaryknot.process.crash_records import MAX_CRASHES, CrashRecord, CrashRecords
from rosemaryknot.process.logs import logger
from rosemaryknot.process.segment_records import SegmentRecord
from rosemaryknot.request.crash_rules import CRASH_RULES, Allowed, Barred, CrashInput
from rosemaryknot.request.segment_guard import SegmentGuard
from rosemaryknot.values.request_identity import RequestIdentity

__all__ = ["CrashGuard"]

CRASH_RULE = "limited_servers"
# Longest wait for another attempt of the same request. If that attempt ends later, the
# request is refused and the caller comes back.
MAX_WAIT_S = 1.0
# Longest wait for the check of a server that closed a connection. Most take 10 ms.
MAX_CHECK_S = 0.05

log = logger("crashes")


class CrashGuard:
    """Decides on attempts of requests, and records how the attempts end.

    Parameters
    ----------
    records : CrashRecords
        Crashes by request.
    detector : CrashDetector
        Checks servers that close connections.
    clear : callable
        Clears a request, by its digest and the service that completed it, at all nodes.
    is_trial_node : callable
        Returns whether this node makes the trial of a request, by its digest.
    record_trial : callable
        Shares that the request of a record has its trial, or the segment of one.
    clear_servers : callable
        Clears the record with a digest of crashes of some servers, at all nodes.

    Attributes
    ----------
    segments : SegmentGuard
        Decides by the segments of the prompts.
    running : collections.Counter of bytes
        Attempts in progress of requests that have a record, by digest.
    decide : callable
        Rule in use; one of `CRASH_RULES`.
    """

    def __init__(
        self,
        records: CrashRecords,
        detector: CrashDetector,
        clear: Callable[[bytes, str], object],
        is_trial_node: Callable[[bytes], bool],
        record_trial: Callable[[CrashRecord | SegmentRecord], None],
        clear_servers: Callable[[bytes, set[str]], object],
    ) -> None:
        self.records = records
        self.segments = SegmentGuard(
            records.segments, clear_servers, is_trial_node, record_trial
        )
        self.detector = detector
        self.clear = clear
        self.is_trial_node = is_trial_node
        self.record_trial = record_trial
        self.running: Counter[bytes] = Counter()
        detector.on_completed = self.record_confirmed
        self.decide = CRASH_RULES[CRASH_RULE]

    def record_of(self, identity: RequestIdentity) -> CrashRecord | None:
        """Return the record of a request, or None without a crash."""
        if not self.records.by_digest:
            return None
        return self.records.by_digest.get(identity.digest)

    def check(
        self,
        identity: RequestIdentity,
        closed_by: list[CheckedServer],
        has_run: bool,
        has_waited: bool = False,
        is_logged: bool = True,
    ) -> Allowed | Barred:
        """Decide whether a request may be attempted.

        Parameters
        ----------
        identity : RequestIdentity
            The request.
        closed_by : list of CheckedServer
            Servers that closed the connections of its previous attempts. Until the
            check of such a server has ended, it counts as crashed.
        has_run : bool
            Whether an earlier attempt may have run.
        has_waited : bool
            Whether the request has waited for other attempts as long as it may.
        is_logged : bool
            Whether to log the decision if it differs from that on other requests.
        """
        decision = self.check_request(
            identity, closed_by, has_run, has_waited, is_logged
        )
        if isinstance(decision, Barred):
            return decision
        by_segment = self.segments.check(identity, has_run, is_logged)
        if isinstance(by_segment, Barred) or by_segment.is_trial:
            return by_segment
        return decision

    def check_request(
        self,
        identity: RequestIdentity,
        closed_by: list[CheckedServer],
        has_run: bool,
        has_waited: bool,
        is_logged: bool,
    ) -> Allowed | Barred:
        """Decide by the crashes under the same request; parameters as for `check`."""
        record = self.record_of(identity)
        suspects = [s for s in closed_by if self.detector.may_have_crashed(s)]
        if record is None and not suspects:
            return Allowed()
        inputs = CrashInput(0, MAX_CRASHES, has_run=has_run, has_waited=has_waited)
        servers = {state.incarnation_key for state in suspects}
        servers -= self.records.cleared.get(identity.digest, set())
        if record is not None:
            servers |= record.crashes.keys()
            inputs.limit = record.limit
            inputs.has_completed = record.has_completed
            inputs.running = self.running[record.digest]
            inputs.is_tried = record.is_tried
            inputs.is_simultaneous = record.is_simultaneous
            inputs.is_trial_node = self.is_trial_node(record.digest)
            inputs.refused_for_s = trio.current_time() - record.last_crash_s
        inputs.crashes = len(servers)
        decision = self.decide(inputs)
        if is_logged and (isinstance(decision, Barred) or decision.is_trial):
            log_decision(identity, servers, inputs, decision)
        return decision

    async def wait(
        self,
        identity: RequestIdentity,
        closed_by: list[CheckedServer],
        has_run: bool,
        timeout_s: float,
    ) -> Allowed | Barred:
        """Wait while a decision is temporary; parameters as for `check`.

        Returns
        -------
        decision : Allowed or Barred
            The decision when the time is over, at the latest.
        """
        await self.wait_checked(closed_by)
        decision = self.check(identity, closed_by, has_run)
        if isinstance(decision, Allowed) or not decision.is_temporary:
            return decision
        with trio.move_on_after(min(timeout_s, MAX_WAIT_S)):
            while isinstance(decision, Barred) and decision.is_temporary:
                with trio.move_on_at(decision.until_s):
                    await self.records.changed.wait()
                # The same decision on each change of any record would displace all
                # other lines.
                decision = self.check(identity, closed_by, has_run, is_logged=False)
        has_waited = isinstance(decision, Barred) and decision.is_temporary
        return self.check(identity, closed_by, has_run, has_waited)

    def crashed_servers(self, identity: RequestIdentity) -> set[str]:
        """Return the incarnations that crashed under a request or its segments."""
        record = self.record_of(identity)
        servers = set() if record is None else set(record.crashes)
        for _, suspicion in self.segments.suspicions(identity):
            servers |= suspicion.crashes.keys()
        return servers

    async def wait_checked(self, closed_by: list[CheckedServer]) -> None:
        """Wait until it is known whether the servers of earlier attempts crashed.

        Otherwise the next attempt would begin before this crash counts against the
        segments of the prompt.
        """
        if not closed_by or not self.records.segments.by_digest:
            return
        with trio.move_on_after(MAX_CHECK_S):
            while any(self.detector.is_undecided(state) for state in closed_by):
                await self.records.changed.wait()

    def begin(self, identity: RequestIdentity, decision: Allowed) -> CrashRecord | None:
        """Record that an attempt begins; return the record to pass to `end`."""
        record = self.record_of(identity)
        if record is None:
            return None
        self.running[record.digest] += 1
        if decision.is_trial and record.is_refused:
            record.is_tried = True
            self.record_trial(record)
        return record

    def end(self, record: CrashRecord | None) -> None:
        """Record that an attempt has ended."""
        if record is None:
            return
        self.running[record.digest] -= 1
        if not self.running[record.digest]:
            del self.running[record.digest]
        self.records.signal_change()

    def refusal(self, identity: RequestIdentity) -> Barred | None:
        """Return the decision on a request with a refused segment, or None."""
        if not self.segments.is_refused(identity):
            return None
        decision = self.segments.check(identity, has_run=True)
        return decision if isinstance(decision, Barred) else None

    def begin_trial(self, identity: RequestIdentity) -> None:
        """Record that a request is sent as the trial of its refused segments."""
        self.segments.begin_trial(identity)

    async def confirms_end(self, state: CheckedServer) -> bool:
        """Return whether the close of a connection shows the end of its response."""
        return await self.detector.confirms_end(state)

    def record_closed(
        self, state: CheckedServer, identity: RequestIdentity, progress_s: float = 0.0
    ) -> None:
        """Record that a server closed the connection of an attempt.

        Parameters
        ----------
        state : CheckedServer
            The server.
        identity : RequestIdentity
            The request.
        progress_s : float
            How long the response had been going on, in seconds.
        """
        self.detector.record_closed(state, ServerRequest(identity, progress_s))

    def record_abandoned(
        self, state: CheckedServer, identity: RequestIdentity, progress_s: float = 0.0
    ) -> None:
        """Record that an attempt was cancelled; parameters as for `record_closed`."""
        request = ServerRequest(identity, progress_s)
        if self.record_of(identity) is None:
            self.detector.record_abandoned(state, request)
        else:
            self.detector.record_closed(state, request)

    @property
    def watches_progress(self) -> bool:
        """Whether it matters that responses go on."""
        return bool(self.records.segments.by_unit)

    def record_progress(self, identity: RequestIdentity, began_s: float) -> None:
        """Record that a response goes on that began at some time, in trio time."""
        self.segments.record_progress(identity, began_s)

    def record_confirmed(self, state: CheckedServer, request: ServerRequest) -> None:
        """Clear a completed request whose server has proved not to have crashed."""
        self.record_complete(state, request.identity, began_s=request.began_s)

    def record_complete(
        self,
        state: CheckedServer,
        identity: RequestIdentity,
        is_closed_by_server: bool = False,
        began_s: float = -math.inf,
    ) -> None:
        """Clear a request that a server has completed: it does not crash them.

        Parameters
        ----------
        state : CheckedServer
            The server.
        identity : RequestIdentity
            The request.
        is_closed_by_server : bool
            Whether the server ended the response with its connection. It may have
            crashed then, so the request is cleared once it has proved not to have.
        began_s : float
            When the response began, in trio time.
        """
        if is_closed_by_server:
            self.detector.record_completed(state, ServerRequest(identity, 0.0, began_s))
            return
        self.segments.record_progress(identity, began_s, is_complete=True)
        record = self.record_of(identity)
        if record is not None:
            self.clear(record.digest, state.service)
        if not identity.has_long_body:
            self.records.record_completed(identity.digest)


def log_decision(
    identity: RequestIdentity,
    servers: set[str],
    inputs: CrashInput,
    decision: Allowed | Barred,
) -> None:
    """Log a decision that differs from that on an ordinary request."""
    log.info(
        "trial of a refused request"
        if isinstance(decision, Allowed)
        else "request barred after server crashes",
        request=identity.request_id,
        request_digest=identity.digest.hex(),
        customer=identity.customer,
        crashes=inputs.crashes,
        limit=inputs.limit,
        servers=sorted(servers),
        running=inputs.running,
        has_run=inputs.has_run,
        last_crash_s=round(inputs.refused_for_s, 3),
    )
