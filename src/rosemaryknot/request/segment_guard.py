"""Applies the rules on prompt segments that are suspected of crashing servers."""

import math
from collections.abc import Callable
from dataclasses import dataclass

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.segment_records import SegmentRecord, SegmentRecords
from rosemaryknot.process.segment_suspicions import SUSPECT_CRASHES, Suspicion
from rosemaryknot.request.crash_rules import Allowed, Barred
from rosemaryknot.request.segment_rules import SEGMENT_RULES, SegmentInput
from rosemaryknot.values.request_identity import RequestIdentity, SegmentUnit

__all__ = ["SegmentGuard"]

SEGMENT_RULE = "observed"
# How long a request that may be a trial has to begin; others are refused meanwhile.
TRIAL_START_S = 1.0

log = logger("crashes")


@dataclass(slots=True, frozen=True)
class Reservation:
    """The request that may be the trial of a segment.

    It keeps the trial while it looks for a server that accepts its connection.

    Attributes
    ----------
    request_id : str
        Id of the request.
    until_s : float
        Until when it has to begin, in trio time.
    """

    request_id: str
    until_s: float


class SegmentGuard:
    """Decides on requests by the segments of their prompts.

    Parameters
    ----------
    records : SegmentRecords
        Crashes by segment.
    clear : callable
        Clears the record with a digest of crashes of some servers, at all nodes.
    is_trial_node : callable
        Returns whether this node makes the trials of a segment, by its digest.
    record_trial : callable
        Shares that the segment of a record has a trial.

    Attributes
    ----------
    reserved : dict of bytes to Reservation
        Request that may be the trial of a segment, by the segment's digest.
    decide : callable
        Rule in use; one of `SEGMENT_RULES`.
    """

    def __init__(
        self,
        records: SegmentRecords,
        clear: Callable[[bytes, set[str]], object],
        is_trial_node: Callable[[bytes], bool],
        record_trial: Callable[[SegmentRecord], None],
    ) -> None:
        self.records = records
        self.clear = clear
        self.is_trial_node = is_trial_node
        self.record_trial = record_trial
        self.reserved: dict[bytes, Reservation] = {}
        self.decide = SEGMENT_RULES[SEGMENT_RULE]

    def suspicions(
        self, identity: RequestIdentity
    ) -> list[tuple[SegmentUnit, Suspicion]]:
        """Return what is suspected of the segments of a request."""
        if not self.records.by_digest:
            return []
        now_s = trio.current_time()
        found = ((u, self.records.suspicion(u.digest, now_s)) for u in identity.units)
        return [(unit, suspicion) for unit, suspicion in found if suspicion is not None]

    def check(
        self, identity: RequestIdentity, has_run: bool, is_logged: bool = True
    ) -> Allowed | Barred:
        """Decide whether a request may be attempted.

        Parameters
        ----------
        identity : RequestIdentity
            The request.
        has_run : bool
            Whether an earlier attempt may have run.
        is_logged : bool
            Whether to log the decision if it differs from that on other requests.
        """
        found = self.suspicions(identity)
        decision = Allowed()
        if found:
            decision = self.decide_by_worst(identity, found, has_run, is_logged)
        is_counted = is_logged and not has_run and not is_final(decision)
        if is_counted and self.records.by_unit:
            self.records.record_request(identity.units)
        return decision

    def decide_by_worst(
        self,
        identity: RequestIdentity,
        found: list[tuple[SegmentUnit, Suspicion]],
        has_run: bool,
        is_logged: bool,
    ) -> Allowed | Barred:
        """Decide by the suspected segment with most crashes, a refused one if any."""
        customer = identity.customer
        refused = [(u, s) for u, s in found if s.refuses(customer)]
        unit, worst = max(
            refused or found,
            key=lambda pair: (pair[1].count_for(customer), pair[0].digest),
        )
        inputs = SegmentInput(
            unit.segment,
            worst.count_for(customer),
            bool(refused),
            worst.observed_until_s,
            len(refused),
            has_run,
        )
        if worst.is_suspected:
            self.describe_trials(inputs, unit, worst)
            inputs.is_reserved = self.is_reserved(unit.digest, identity.request_id)
        decision = self.decide(inputs)
        if isinstance(decision, Allowed) and decision.is_trial:
            self.reserve(unit.digest, identity.request_id)
        if is_logged and (isinstance(decision, Barred) or decision.is_trial):
            log_decision(identity, inputs, worst, decision)
        return decision

    def describe_trials(
        self, inputs: SegmentInput, unit: SegmentUnit, suspicion: Suspicion
    ) -> None:
        """Add to the input what decides on a trial."""
        records = self.records.by_unit.get(unit.digest, {}).values()
        tried_s = max((record.tried_s for record in records), default=-math.inf)
        inputs.trials = max((record.trials for record in records), default=0)
        inputs.is_restored = all(record.is_restored for record in records)
        inputs.tried_ago_s = trio.current_time() - tried_s
        inputs.idle_s = trio.current_time() - max(suspicion.last_crash_s, tried_s)
        inputs.is_trial_node = self.is_trial_node(unit.digest)
        inputs.is_shadowed = self.records.is_shadowed(unit.digest)

    def reserve(self, unit: bytes, request_id: str) -> None:
        """Reserve the trial of a segment for a request."""
        now_s = trio.current_time()
        self.reserved = {u: r for u, r in self.reserved.items() if r.until_s > now_s}
        self.reserved[unit] = Reservation(request_id, now_s + TRIAL_START_S)

    def is_reserved(self, unit: bytes, request_id: str) -> bool:
        """Return whether another request here may be about to begin the trial."""
        reservation = self.reserved.get(unit)
        if reservation is None or trio.current_time() >= reservation.until_s:
            return False
        return reservation.request_id != request_id

    def is_refused(self, identity: RequestIdentity) -> bool:
        """Return whether a segment of the request is refused."""
        customer = identity.customer
        return any(s.refuses(customer) for _, s in self.suspicions(identity))

    def begin_trial(self, identity: RequestIdentity) -> None:
        """Record that a request is the trial of its suspected segments."""
        now_s = trio.current_time()
        for unit, suspicion in self.suspicions(identity):
            if suspicion.count_for(identity.customer) < SUSPECT_CRASHES:
                continue
            for record in self.records.by_unit.get(unit.digest, {}).values():
                record.trials += 1
                record.tried_s = now_s
                record.is_restored = False
                self.record_trial(record)

    def record_progress(
        self, identity: RequestIdentity, began_s: float, is_complete: bool = False
    ) -> None:
        """Clear the segments of a response that goes on, or is complete.

        Parameters
        ----------
        identity : RequestIdentity
            The request.
        began_s : float
            When the response began, in trio time; infinite if it had no content, which
            shows nothing.
        is_complete : bool
            Whether it is complete.
        """
        if not self.records.by_unit or math.isinf(began_s):
            return
        progress_s = math.inf if is_complete else trio.current_time() - began_s
        for unit in identity.units:
            records = self.records.by_unit.get(unit.digest)
            if records is None:
                continue
            for record in list(records.values()):
                servers = self.records.survived_servers(record, began_s, progress_s)
                if servers:
                    self.clear(record.digest, servers)


def is_final(decision: Allowed | Barred) -> bool:
    """Return whether a request is refused, and not only has to wait."""
    return isinstance(decision, Barred) and not decision.is_temporary


def log_decision(
    identity: RequestIdentity,
    inputs: SegmentInput,
    suspicion: Suspicion,
    decision: Allowed | Barred,
) -> None:
    """Log a decision that differs from that on an ordinary request."""
    log.info(
        "trial of a suspected prompt segment"
        if isinstance(decision, Allowed)
        else "request barred by a prompt segment",
        request=identity.request_id,
        segment=inputs.segment,
        customer=identity.customer,
        crashes=inputs.crashes,
        servers=sorted(suspicion.crashes),
        is_refused=inputs.is_refused,
        is_common=suspicion.is_common,
        suspected_s=round(trio.current_time() - suspicion.since_s, 3)
        if suspicion.is_suspected
        else 0.0,
        trials=inputs.trials,
        idle_s=round(inputs.idle_s, 3),
        has_run=inputs.has_run,
    )
