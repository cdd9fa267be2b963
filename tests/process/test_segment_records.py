"""Tests of the records of prompt segments that servers crashed under."""

import math
from types import SimpleNamespace

import pytest
import trio

from rosemaryknot.process.crash_notices import (
    decode_notice,
    encode_notice,
    record_from_value,
    record_to_value,
)
from rosemaryknot.process.crash_records import CrashRecords
from rosemaryknot.process.segment_records import (
    FORGET_S,
    MAX_SEGMENT_CRASHES,
    MAX_UNSERVED_S,
    OBSERVATION_S,
)
from rosemaryknot.process.segment_suspicions import (
    EVIDENCE_S,
    SURVIVAL_S,
    SegmentCrash,
)
from rosemaryknot.request.crash_guard import CrashGuard
from rosemaryknot.request.segment_guard import SegmentGuard
from rosemaryknot.values.request_identity import RequestIdentity, SegmentUnit

CAUSE = SegmentUnit("writer", "dead")
COMMON = SegmentUnit("writer", "system")


def crash(number, request=None, at_s=None):
    request = f"r{number}" if request is None else request
    at_s = float(number) if at_s is None else at_s
    digests = frozenset([request.encode()])
    return SegmentCrash(f"s{number}@", "writer", at_s, requests=digests)


def add_crashes(segments, unit, numbers, customer="ada", request=None):
    for number in numbers:
        record = segments.record(customer, unit, crash(number, request))
    return record


def suspicion(segments, unit, now_s=10.0):
    return segments.suspicion(unit.digest, now_s)


class TestSuspicion:
    def test_three_different_requests(self):
        segments = CrashRecords().segments
        add_crashes(segments, CAUSE, range(2))
        assert not suspicion(segments, CAUSE).is_suspected
        add_crashes(segments, CAUSE, [2])
        assert suspicion(segments, CAUSE).is_suspected

    def test_one_request_that_is_repeated(self):
        """Its own record refuses it; the segments of its prompt are not blamed."""
        segments = CrashRecords().segments
        add_crashes(segments, CAUSE, range(6), request="same")
        assert suspicion(segments, CAUSE) is None

    def test_one_request_beside_others(self):
        """Guards against a segment of all requests that is refused for one of them."""
        segments = CrashRecords().segments
        for number in range(4):
            add_crashes(segments, COMMON, [number], request="deadly")
            add_crashes(segments, COMMON, [number], request=f"r{number}")
        found = suspicion(segments, COMMON)
        assert found is None or not found.is_suspected

    def test_several_requests_that_are_repeated(self):
        """Each of them ends three servers; what they have in common is the cause."""
        segments = CrashRecords().segments
        for number in range(9):
            add_crashes(segments, CAUSE, [number], request=f"repeated{number % 3}")
            add_crashes(segments, CAUSE, [number], request=f"r{number}")
        assert suspicion(segments, CAUSE).is_suspected

    def test_cause_beside_a_popular_request(self):
        """The popular request was running at each crash, without the cause."""
        segments = CrashRecords().segments
        for number in range(3):
            add_crashes(segments, CAUSE, [number])
            add_crashes(segments, COMMON, [number])
            add_crashes(segments, COMMON, [number], request="popular")
        assert suspicion(segments, CAUSE).is_suspected
        found = suspicion(segments, COMMON)
        assert found is None or not found.is_suspected

    def test_segment_that_is_counted_anew(self):
        """Guards against a common segment that seems rare, as it was cleared lately."""
        segments = CrashRecords().segments
        add_crashes(segments, CAUSE, [0])
        segments.assess(0.0)
        segments.record_request([CAUSE] * 12)
        add_crashes(segments, CAUSE, [5, 6])
        add_crashes(segments, COMMON, [5, 6])
        segments.assess(5.0)
        segments.record("ada", COMMON, crash(7, at_s=5.5))
        segments.record_request([COMMON] * 5)
        assert suspicion(segments, CAUSE, 6.1).is_suspected
        found = suspicion(segments, COMMON, 6.1)
        assert found is None or not found.is_suspected

    def test_rack(self):
        """All servers crash in one moment."""
        segments = CrashRecords().segments
        for number in range(6):
            segments.record("ada", CAUSE, crash(number, at_s=1.0 + number / 100))
        assert suspicion(segments, CAUSE) is None

    def test_observed_before_it_is_refused(self):
        segments = CrashRecords().segments
        refused = []
        segments.on_refused = refused.append
        record = add_crashes(segments, CAUSE, range(3))
        assert not suspicion(segments, CAUSE, 3.0).is_refused
        assert suspicion(segments, CAUSE, 3.0 + OBSERVATION_S).is_refused
        assert refused == [record]

    def test_observed_while_no_server_is_available(self):
        """Nothing shows then that it is sound."""
        segments = CrashRecords().segments
        available = []
        segments.has_available = lambda service, crashed: bool(available)
        add_crashes(segments, CAUSE, range(3))
        assert not suspicion(segments, CAUSE, 3.0).is_refused
        for now_s in (3.4, 3.9, 4.4, 4.9):
            assert not suspicion(segments, CAUSE, now_s).is_refused
        available.append("m0")
        assert not suspicion(segments, CAUSE, 5.0).is_refused
        assert suspicion(segments, CAUSE, 4.9 + OBSERVATION_S).is_refused

    def test_observed_for_a_bounded_time(self):
        segments = CrashRecords().segments
        segments.has_available = lambda service, crashed: False
        add_crashes(segments, CAUSE, range(3))
        assert not suspicion(segments, CAUSE, 3.0).is_refused
        assert not suspicion(segments, CAUSE, 3.0 + MAX_UNSERVED_S).is_refused
        until_s = 3.0 + MAX_UNSERVED_S + OBSERVATION_S
        assert suspicion(segments, CAUSE, until_s).is_refused

    def test_explained_by_the_narrower_segment(self):
        segments = CrashRecords().segments
        add_crashes(segments, CAUSE, range(4))
        add_crashes(segments, COMMON, range(4))
        for _ in range(5):
            segments.record_request([COMMON])
        segments.record_request([COMMON, CAUSE])
        assert suspicion(segments, CAUSE).is_suspected
        assert suspicion(segments, COMMON) is None

    def test_not_told_apart(self):
        segments = CrashRecords().segments
        add_crashes(segments, CAUSE, range(3))
        add_crashes(segments, COMMON, range(3))
        assert suspicion(segments, CAUSE).is_suspected
        assert suspicion(segments, COMMON).is_suspected

    def test_customer_of_the_crashes_only(self):
        """No customer can have the segments of another one refused."""
        segments = CrashRecords().segments
        add_crashes(segments, CAUSE, range(9))
        found = suspicion(segments, CAUSE)
        assert found.count_for("ada") == 9 and found.count_for("bob") == 0

    def test_all_customers(self):
        segments = CrashRecords().segments
        add_crashes(segments, CAUSE, range(0, 2), "ada")
        add_crashes(segments, CAUSE, range(2, 4), "bob")
        assert suspicion(segments, CAUSE).count_for("cy") == 4

    def test_crashes_count_for_a_time(self):
        segments = CrashRecords().segments
        add_crashes(segments, CAUSE, range(2))
        segments.assess(EVIDENCE_S + 2.0)
        assert not segments.by_digest and not segments.by_unit

    def test_refused_segment_is_forgotten(self):
        segments = CrashRecords().segments
        released = []
        segments.on_released = released.append
        record = add_crashes(segments, CAUSE, range(3))
        for now_s in (3.0, 4.0, FORGET_S):
            segments.assess(now_s)
            assert segments.by_digest
        segments.assess(FORGET_S + 10.0)
        assert not segments.by_digest and released == [record]

    def test_bounded(self):
        segments = CrashRecords().segments
        record = add_crashes(segments, CAUSE, range(3 * MAX_SEGMENT_CRASHES))
        assert len(record.crashes) == MAX_SEGMENT_CRASHES


class TestSurvival:
    @pytest.mark.parametrize(
        ("began_s", "progress_s", "is_survived"),
        [
            (1.5, SURVIVAL_S, True),
            (1.5, math.inf, True),
            (1.5, SURVIVAL_S / 2, False),
            (0.5, math.inf, False),
        ],
    )
    def test_response(self, began_s, progress_s, is_survived):
        """Only one that began after the crash and went on for longer clears it."""
        assert crash(1).is_survived(began_s, progress_s) == is_survived

    async def test_response_without_content(self, autojump_clock):
        """The rest of a stream that was complete is empty, and shows nothing."""
        segments = CrashRecords().segments
        add_crashes(segments, CAUSE, range(1))
        cleared = []
        guard = SegmentGuard(
            segments, lambda *args: cleared.append(args), bool, lambda record: None
        )
        identity = RequestIdentity("r", "ada", (), b"", "writer", lambda: ["dead"])
        guard.record_progress(identity, math.inf, is_complete=True)
        assert not cleared
        guard.record_progress(identity, trio.current_time() + 1.0, is_complete=True)
        assert cleared

    def test_late_notice_changes_nothing(self):
        segments = CrashRecords().segments
        record = add_crashes(segments, CAUSE, range(2))
        segments.clear_servers(record.digest, {"s0@", "s1@"})
        assert segments.record("ada", CAUSE, crash(0)) is None
        assert not segments.by_digest


class TestTrial:
    async def test_request_keeps_its_trial(self, autojump_clock):
        """The first server of a trial may accept no connection."""
        segments = CrashRecords().segments
        now_s = trio.current_time()
        for number in range(3):
            segments.record("ada", CAUSE, crash(number, at_s=now_s - 3.0 + number))
        guard = SegmentGuard(
            segments, lambda *args: None, lambda digest: True, lambda record: None
        )
        first, other = (
            RequestIdentity(name, "ada", (), b"", "writer", lambda: ["dead"])
            for name in ("first", "other")
        )
        assert guard.check(first, False).is_trial
        assert guard.check(first, False).is_trial
        assert guard.check(other, False).is_temporary
        guard.begin_trial(first)
        assert guard.check(first, False).is_temporary

    async def test_waiting_request_becomes_the_trial(self, autojump_clock):
        """A request does not wait for the trial that it makes itself."""
        records = CrashRecords()
        now_s = trio.current_time()
        for number in range(3):
            at_s = now_s - 3.0 + number
            records.segments.record("ada", CAUSE, crash(number, at_s=at_s))
        begins_s = now_s + 0.1

        def is_trial_node(digest):
            return trio.current_time() >= begins_s

        def ignore(*args):
            return None

        detector = SimpleNamespace(on_completed=ignore)
        guard = CrashGuard(records, detector, ignore, is_trial_node, ignore, ignore)
        identity = RequestIdentity("r", "ada", (), b"", "writer", lambda: ["dead"])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(signal_at, records, begins_s)
            decision = await guard.wait(identity, [], False, 1.0)
        assert decision.is_trial
        assert trio.current_time() == pytest.approx(begins_s)


async def signal_at(records, at_s):
    await trio.sleep_until(at_s)
    records.signal_change()


class TestForms:
    def test_message(self):
        record = add_crashes(CrashRecords().segments, CAUSE, range(3))
        record.trials, record.tried_s = 2, 5.0
        decoded = decode_notice(encode_notice([record], [], 7.0), 7.0)
        assert decoded.segments == [record]

    def test_stored_object(self):
        """A node that reads it refuses the segment without observing it."""
        record = add_crashes(CrashRecords().segments, CAUSE, range(3))
        read = record_from_value(record.digest.hex(), record_to_value(record), 50.0)
        segments = CrashRecords().segments
        segments.merge(read)
        assert suspicion(segments, CAUSE, 50.0).refuses("ada")

    @pytest.mark.parametrize("value", [{}, {"customer": 7}, {"crashes": [5]}, None])
    def test_object_of_another_writer(self, value):
        record = add_crashes(CrashRecords().segments, CAUSE, range(1))
        assert record_from_value(record.digest.hex(), value, 1.0) is None


class TestCost:
    def test_no_segment_is_hashed_without_a_crash(self):
        """The prompt is not looked at for each request."""
        segments = CrashRecords().segments
        guard = SegmentGuard(segments, lambda *args: None, bool, lambda record: None)
        identity = RequestIdentity("r", "ada", (), b"", "writer", lambda: ["dead"])
        guard.check(identity, has_run=False)
        guard.record_progress(identity, 1.0)
        assert identity.known_units is None
