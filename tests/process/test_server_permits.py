"""Tests of the permits for a limited server, and of the versions of a limit."""

import heapq
import random

import pytest

from rosemaryknot.process.server_limits.permits import (
    MAX_CONFIRMATIONS,
    MAX_PROBE_INTERVAL_S,
    MIN_CONFIRMATIONS,
    PERMIT_TTL_S,
    Issued,
    NotIssued,
    PermitIssuer,
    Waiter,
)
from rosemaryknot.process.server_limits.records import LimitRecord, LimitRecords
from rosemaryknot.standin.users.limit_windows import allowed_requests, most_in_window


def request_in_turn(issuer, nodes, for_s, seed=1):
    """Let nodes request permits as often as they may; return the times of both."""
    rng = random.Random(seed)
    due = [(rng.uniform(0, 1), f"n{number}") for number in range(nodes)]
    heapq.heapify(due)
    requested, issued = [], []
    while due[0][0] < for_s:
        now_s, node = heapq.heappop(due)
        requested.append(now_s)
        outcome = issuer.request(node, 0, now_s)
        pause_s = 0.001
        if isinstance(outcome, Issued):
            issued += [now_s] * outcome.count
        else:
            pause_s = max(0.05, outcome.pause_s * rng.uniform(0.5, 1.5))
        heapq.heappush(due, (now_s + pause_s, node))
    return requested, issued


def outcomes(waiters):
    return [type(waiter.outcome).__name__ for waiter in waiters]


class TestRate:
    @pytest.mark.parametrize("nodes", [1, 6, 65, 2100])
    @pytest.mark.parametrize("limit", [0.5, 1.8, 40.0, 3000.0])
    def test_used_and_not_exceeded(self, nodes, limit):
        """Permits of any window, sent at once or at the end of their time."""
        requested, issued = request_in_turn(PermitIssuer(limit, 1.0, 0.0), nodes, 60.0)
        rng = random.Random(2)
        sent = [at_s + rng.uniform(0, PERMIT_TTL_S) for at_s in issued]
        assert most_in_window(sent, 0.0, 99.0) <= allowed_requests(limit)
        assert len(issued) >= 0.8 * limit * 60

    def test_requests_for_permits_are_bounded(self):
        """All nodes of a large deployment want the only server that is left."""
        requested, issued = request_in_turn(PermitIssuer(2.0, 1.0, 0.0), 2100, 60.0)
        settled = [at_s for at_s in requested if at_s > 10]
        assert len(settled) / 50 < 2100 / 4
        assert len(issued) >= 0.8 * 2.0 * 60

    def test_lower_limit_holds_at_once(self):
        issuer = PermitIssuer(100.0, 1.0, 0.0)
        request_in_turn(issuer, 3, 10.0)
        issuer.update(2.0, 1.0, 10.0)
        issued = 0
        for number in range(200):
            outcome = issuer.request("n0", 0, 10.0 + number * 0.02)
            issued += isinstance(outcome, Issued)
        assert issued <= 2.0 * 4 + 2

    def test_zero_is_probed(self):
        issuer = PermitIssuer(0.0, 1.0, 0.0)
        _, issued = request_in_turn(issuer, 6, 100.0)
        assert 100 / MAX_PROBE_INTERVAL_S * 0.8 <= len(issued) <= 22

    def test_share_of_a_partition(self):
        _, issued = request_in_turn(PermitIssuer(4.0, 0.25, 0.0), 3, 60.0)
        assert 0.8 * 60 <= len(issued) <= 62


class TestQueue:
    def test_by_priority_then_fairly_by_customer(self):
        issuer = PermitIssuer(1.0, 1.0, 0.0)
        flood = [issuer.enqueue(Waiter("n0", 1, "ada", 99.0), 0.0) for _ in range(3)]
        other = issuer.enqueue(Waiter("n1", 1, "bob", 99.0), 0.0)
        urgent = issuer.enqueue(Waiter("n2", 0, "ada", 99.0), 0.0)
        order = []
        for now_s in range(1, 7):
            issuer.advance(float(now_s))
            waiters = {"flood": flood[0], "other": other, "urgent": urgent}
            order += [n for n, w in waiters.items() if w.outcome and n not in order]
        assert order == ["urgent", "flood", "other"]

    def test_hopeless_request_is_refused_at_once(self):
        issuer = PermitIssuer(2.0, 1.0, 0.0)
        waiters = [issuer.enqueue(Waiter("n0", 0, "ada", 1.1), 0.0) for _ in range(4)]
        assert outcomes(waiters) == ["NoneType"] * 2 + ["NotIssued"] * 2
        assert waiters[3].outcome.queue_s == 1.5

    def test_urgent_request_displaces_one_that_would_be_late(self):
        issuer = PermitIssuer(2.0, 1.0, 0.0)
        first = issuer.enqueue(Waiter("n0", 1, "ada", 0.6), 0.0)
        urgent = issuer.enqueue(Waiter("n0", 0, "bob", 0.6), 0.0)
        assert isinstance(first.outcome, NotIssued) and urgent.outcome is None

    def test_refused_requests_count_for_retry_after(self):
        issuer = PermitIssuer(2.0, 1.0, 0.0)
        waiters = [issuer.enqueue(Waiter("n0", 0, "ada", 0.6), 0.0) for _ in range(9)]
        assert waiters[8].outcome.retry_s >= 8 / 2.0

    def test_refused_by_several_owners_counts_once(self):
        issuer = PermitIssuer(2.0, 1.0, 0.0)
        for _ in range(9):
            issuer.enqueue(Waiter("n0", 0, "ada", 0.6, is_first=False), 0.0)
        assert issuer.request("n0", 0, 0.0).retry_s <= 2.0

    def test_short_queue_while_overloaded(self):
        """Ten times as many requests as the server takes: those served are in time."""
        issuer = PermitIssuer(2.0, 1.0, 0.0)
        served, late = 0, 0
        waiting = []
        for number in range(400):
            now_s = number * 0.05
            waiter = Waiter("n0", 0, "ada", now_s + 3.0, now_s + 0.3)
            waiting.append(issuer.enqueue(waiter, now_s))
            issued = [w for w in waiting if isinstance(w.outcome, Issued)]
            waiting = [w for w in waiting if w.outcome is None]
            served += len(issued)
            late += sum(now_s > waiter.target_s for waiter in issued)
        assert served >= 0.9 * 2.0 * 20
        assert late <= 0.2 * served

    def test_waiting_requests_come_before_others(self):
        issuer = PermitIssuer(1.0, 1.0, 0.0)
        waiter = issuer.enqueue(Waiter("n0", 9, "ada", 9.0), 0.0)
        assert isinstance(issuer.request("n1", 0, 1.0), NotIssued)
        assert isinstance(waiter.outcome, Issued)

    def test_abandoned_request_gets_no_permit(self):
        issuer = PermitIssuer(1.0, 1.0, 0.0)
        issuer.abandon(issuer.enqueue(Waiter("n0", 0, "ada", 9.0), 0.0))
        assert isinstance(issuer.request("n1", 0, 1.0), Issued)


class TestStatements:
    def issuer(self, permits=20):
        issuer = PermitIssuer(2.0, 1.0, 0.0)
        issuer.last_number = permits
        return issuer

    def test_lower_limit(self):
        assert self.issuer().record_statement(1, 1.5, 0.0) == 1.5

    def test_end_is_confirmed(self):
        issuer = self.issuer()
        assert issuer.record_statement(20, None, 0.0) is None
        assert issuer.is_raise_pending
        assert issuer.record_statement(19, None, 0.1) is None
        assert issuer.record_statement(21, None, 0.2) == float("inf")

    def test_raise_to_the_lowest_confirmed(self):
        issuer = self.issuer()
        issuer.record_statement(20, 8.0, 0.0)
        assert issuer.record_statement(21, 6.0, 0.1) == 6.0

    def test_limit_in_between(self):
        issuer = self.issuer()
        issuer.record_statement(20, None, 0.0)
        issuer.record_statement(21, 2.0, 0.1)
        assert issuer.record_statement(22, None, 0.2) is None

    def test_relapses_need_more_confirmations(self):
        issuer = self.issuer()
        for _ in range(9):
            issuer.raised_s = 0.0
            issuer.record_statement(20, 1.0, 1.0)
        assert issuer.needed_confirmations == MAX_CONFIRMATIONS
        assert self.issuer().needed_confirmations == MIN_CONFIRMATIONS


class TestRecords:
    def test_only_responses_of_the_current_version_change_it(self):
        records = LimitRecords()
        assert records.begin("s@1", 2.0, 0, 0.0).version == 1
        assert records.begin("s@1", None, 0, 0.0) is None
        assert records.begin("s@1", None, 1, 0.0).version == 2
        assert records.begin("s@1", 2.0, 1, 0.0) is None
        assert not records.limited

    def test_merge_in_any_order(self):
        items = [("s@1", 1, 0, 2.0), ("s@1", 1, 1, 3.0), ("s@1", 2, 0, None)]
        items += [("s@1", 3, 0, 5.0), ("s@1", 3, 0, 4.0)]
        for seed in range(20):
            records = LimitRecords()
            for item in random.Random(seed).sample(items, len(items)):
                records.merge(LimitRecord(*item), 0.0)
            assert records.get_limited("s@1").limit == 4.0

    def test_many_servers_are_bounded(self):
        records = LimitRecords()
        for number in range(5000):
            records.begin(f"s{number}@1", 2.0, 0, 0.0)
        assert len(records.by_server) == len(records.limited) <= 4096

    def test_servers_that_are_gone_are_forgotten(self):
        records = LimitRecords(is_known=lambda server: server == "here@1")
        records.begin("here@1", 2.0, 0, 0.0)
        records.begin("gone@1", 2.0, 0, 0.0)
        records.remove_unused(1000.0)
        assert records.limited == {"here@1"}
