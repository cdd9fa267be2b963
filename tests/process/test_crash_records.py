"""Tests of the records of requests during which servers crashed."""

import pytest

from rosemaryknot.process.crash_notices import decode_notice, encode_notice
from rosemaryknot.process.crash_records import (
    MAX_CLEARED,
    MAX_CLEARED_SERVERS,
    MAX_COMPLETED,
    MAX_CRASHES,
    MAX_CRASHES_IF_COMPLETED,
    MAX_CUSTOMER_RECORDS,
    MAX_RECORDS,
    Crash,
    CrashRecord,
    CrashRecords,
)

DIGEST = b"d"


def add_crashes(records, count, digest=DIGEST, customer="ada", first=0, service="s"):
    for number in range(first, first + count):
        crash = Crash(f"{service}{number}@", service, float(number))
        records.record(digest, customer, crash)
    return records.by_digest.get(digest)


def digest_of(number):
    return number.to_bytes(4, "big")


class TestCount:
    def test_one_server_counts_once(self):
        records = CrashRecords()
        for _ in range(MAX_CRASHES):
            add_crashes(records, 1)
        assert not records.by_digest[DIGEST].is_refused

    def test_refused_from_the_limit_on(self):
        records = CrashRecords()
        refused = []
        records.on_refused = refused.append
        for first in range(MAX_CRASHES + 2):
            record = add_crashes(records, 1, first=first)
            assert record.is_refused == (first + 1 >= MAX_CRASHES)
        assert refused == [record]
        assert len(record.crashes) == MAX_CRASHES

    def test_higher_limit_if_it_completed_before(self):
        records = CrashRecords()
        records.record_completed(DIGEST)
        record = add_crashes(records, MAX_CRASHES_IF_COMPLETED - 1)
        assert not record.is_refused
        assert add_crashes(records, MAX_CRASHES_IF_COMPLETED).is_refused

    def test_merge_is_idempotent_and_adds_up(self):
        """Two halves of a partition count by themselves and then meet."""
        first, second = CrashRecords(), CrashRecords()
        mine = add_crashes(first, 2)
        theirs = add_crashes(second, 2, first=2)
        assert first.merge(theirs) and second.merge(mine)
        assert not first.merge(theirs)
        assert first.by_digest[DIGEST].is_refused
        assert second.by_digest[DIGEST].is_refused


class TestClear:
    def test_late_notice_changes_nothing(self):
        records = CrashRecords()
        late = add_crashes(CrashRecords(), 2)
        add_crashes(records, 2)
        records.clear(DIGEST, "s")
        assert not records.merge(late)
        assert DIGEST not in records.by_digest
        assert len(add_crashes(records, 1, first=5).crashes) == 1

    def test_crashes_of_other_services_stay(self):
        records = CrashRecords()
        add_crashes(records, 2)
        add_crashes(records, 2, service="t")
        records.clear(DIGEST, "s")
        assert {c.service for c in records.by_digest[DIGEST].crashes.values()} == {"t"}

    def test_release_drops_all(self):
        records = CrashRecords()
        add_crashes(records, 2)
        add_crashes(records, 2, service="t")
        assert len(records.clear(DIGEST)) == MAX_CRASHES
        assert DIGEST not in records.by_digest


class TestBounds:
    def test_many_requests_of_one_customer(self):
        """A customer's flood evicts its own records, the weakest ones first."""
        records = CrashRecords()
        add_crashes(records, MAX_CRASHES, b"kept of ada")
        add_crashes(records, 1, b"of bob", "bob")
        for number in range(2 * MAX_CUSTOMER_RECORDS):
            add_crashes(records, 1, digest_of(number))
        assert len(records.by_digest) == MAX_CUSTOMER_RECORDS + 1
        assert {b"kept of ada", b"of bob"} <= records.by_digest.keys()

    def test_many_customers(self):
        records = CrashRecords()
        for number in range(MAX_RECORDS + 10):
            add_crashes(records, 1, digest_of(number), f"c{number}")
        assert len(records.by_digest) == MAX_RECORDS
        assert digest_of(0) not in records.by_digest

    def test_cleared_and_completed(self):
        records = CrashRecords()
        for number in range(2 * max(MAX_CLEARED, MAX_COMPLETED)):
            records.record_completed(digest_of(number))
            add_crashes(records, 1, digest_of(number))
            records.clear(digest_of(number))
        assert len(records.cleared) == MAX_CLEARED
        assert len(records.completed) == MAX_COMPLETED

    def test_request_that_is_cleared_again_and_again(self):
        """A popular request outlives the crashes of many servers."""
        records = CrashRecords()
        for number in range(5 * MAX_CLEARED_SERVERS):
            add_crashes(records, 1, first=number)
            records.clear(DIGEST)
            assert len(records.cleared[DIGEST]) <= MAX_CLEARED_SERVERS
        assert add_crashes(records, 1, first=number) is None


class TestNotices:
    def test_ages_become_times_of_the_receiver(self):
        sent = add_crashes(CrashRecords(), 2)
        notice = encode_notice([sent], [(b"c", {"x@"})], 10.0)
        decoded = decode_notice(notice, 110.0)
        [record] = decoded.records
        assert [c.crashed_s for c in record.crashes.values()] == [100.0, 101.0]
        assert decoded.cleared == [(b"c", {"x@"})]

    @pytest.mark.parametrize("name", ["has_completed", "is_tried", "is_stored"])
    def test_facts_are_carried(self, name):
        record = CrashRecord(DIGEST, "ada")
        setattr(record, name, True)
        [decoded] = decode_notice(encode_notice([record], [], 0.0), 0.0).records
        assert getattr(decoded, name)
        assert decoded == record
