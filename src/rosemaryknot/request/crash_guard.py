"""Applies the rules on requests during which backend servers crashed."""

from collections import Counter
from collections.abc import Callable

import trio

from rosemaryknot.process.crash_detector import CheckedServer, CrashDetector
from rosemaryknot.process.crash_records import MAX_CRASHES, CrashRecord, CrashRecords
from rosemaryknot.process.logs import logger
from rosemaryknot.request.crash_rules import CRASH_RULES, Allowed, Barred, CrashInput
from rosemaryknot.values.request_identity import RequestIdentity

__all__ = ["CrashGuard"]

CRASH_RULE = "limited_servers"
# Longest wait for another attempt of the same request. If that attempt ends later, the
# request is refused and the caller comes back.
MAX_WAIT_S = 1.0

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
        Shares that the request of a record has its trial.

    Attributes
    ----------
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
        record_trial: Callable[[CrashRecord], None],
    ) -> None:
        self.records = records
        self.detector = detector
        self.clear = clear
        self.is_trial_node = is_trial_node
        self.record_trial = record_trial
        self.running: Counter[bytes] = Counter()
        detector.on_completed = self.record_complete
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
        decision = self.check(identity, closed_by, has_run)
        if isinstance(decision, Allowed) or not decision.is_temporary:
            return decision
        with trio.move_on_after(min(timeout_s, MAX_WAIT_S)):
            while isinstance(decision, Barred) and decision.is_temporary:
                await self.records.changed.wait()
                # The same decision on each change of any record would displace all
                # other lines.
                decision = self.check(identity, closed_by, has_run, is_logged=False)
        has_waited = isinstance(decision, Barred) and decision.is_temporary
        return self.check(identity, closed_by, has_run, has_waited)

    def begin(self, identity: RequestIdentity, decision: Allowed) -> CrashRecord | None:
        """Record that an attempt begins; return the record to pass to `end`."""
        record = self.record_of(identity)
        if record is None:
            return None
        self.running[record.digest] += 1
        if decision.is_trial:
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

    async def confirms_end(self, state: CheckedServer) -> bool:
        """Return whether the close of a connection shows the end of its response."""
        return await self.detector.confirms_end(state)

    def record_closed(self, state: CheckedServer, identity: RequestIdentity) -> None:
        """Record that a server closed the connection of an attempt."""
        self.detector.record_closed(state, identity)

    def record_abandoned(self, state: CheckedServer, identity: RequestIdentity) -> None:
        """Record that an attempt was cancelled while the server was running it."""
        if self.record_of(identity) is None:
            self.detector.record_abandoned(state, identity)
        else:
            self.detector.record_closed(state, identity)

    def record_complete(
        self,
        state: CheckedServer,
        identity: RequestIdentity,
        is_closed_by_server: bool = False,
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
        """
        if is_closed_by_server:
            self.detector.record_completed(state, identity)
            return
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
