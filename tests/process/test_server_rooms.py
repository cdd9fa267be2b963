"""Tests of the places that the owner of a brittle server issues."""

import random

import pytest

from rosemaryknot.process.server_limits.permits import Issued
from rosemaryknot.process.server_limits.records import LimitRecord
from rosemaryknot.process.server_limits.rooms import MAX_HOLD_S, RoomIssuer

ROOM = 8.0
TURNED_AWAY = 6.0


def new_issuer(room=ROOM, in_flight=lambda: 0, is_live=lambda name: True, share=1.0):
    return RoomIssuer(room, share, 0.0, TURNED_AWAY, in_flight, is_live)


def issue_all(issuer, now_s, nodes=("n0",), limit=100):
    """Request permits until there is none; return their numbers."""
    issued = []
    while len(issued) < limit:
        outcome = issuer.request(nodes[len(issued) % len(nodes)], 0, now_s)
        if not isinstance(outcome, Issued):
            break
        issued.append(outcome.first)
    return issued


class TestPlaces:
    """No more requests are under way than there is room for."""

    @pytest.mark.parametrize("nodes", [1, 6, 2100])
    def test_room_is_never_exceeded(self, nodes):
        issuer = new_issuer()
        names = [f"n{number}" for number in range(nodes)]
        rng = random.Random(3)
        running, now_s, most = [], 0.0, 0
        for _ in range(4000):
            now_s += rng.expovariate(200)
            outcome = issuer.request(rng.choice(names), 0, now_s)
            if isinstance(outcome, Issued):
                running.append((now_s + rng.uniform(0.05, 0.3), outcome.first))
            most = max(most, len(running))
            for ended in [item for item in running if item[0] <= now_s]:
                running.remove(ended)
                issuer.give_back(ended[1], False, now_s)
        assert ROOM - 1 <= most <= ROOM

    def test_requests_without_a_permit_count(self):
        in_flight = 5
        issuer = new_issuer(in_flight=lambda: in_flight)
        assert len(issue_all(issuer, 0.0)) == ROOM - 5
        in_flight = 8
        assert not issue_all(issuer, 1.0)
        in_flight = 3
        assert len(issue_all(issuer, 1.1)) == 5

    def test_share_in_a_partition(self):
        assert len(issue_all(new_issuer(share=0.5), 0.0)) == ROOM / 2

    def test_room_follows_what_is_turned_away(self):
        issuer = new_issuer()
        issued = issue_all(issuer, 0.0)
        issuer.give_back(issued[-1], True, 0.1)
        for number in issued[:-1]:
            issuer.give_back(number, False, 0.2)
        assert len(issue_all(issuer, 0.3)) == int(0.9 * (ROOM - 1))

    def test_nothing_after_half_of_what_may_be_turned_away(self):
        issuer = new_issuer()
        issued = issue_all(issuer, 0.0)
        for number in issued[:4]:
            issuer.give_back(number, True, 0.1)
        for number in issued[4:]:
            issuer.give_back(number, False, 0.2)
        assert not issue_all(issuer, 0.9)
        assert issue_all(issuer, 1.2)

    def test_room_grows_again(self):
        issuer = new_issuer()
        issuer.give_back(issue_all(issuer, 0.0)[0], True, 0.0)
        now_s = 3.0
        for _ in range(60):
            now_s += 0.1
            for number in list(issuer.bucket.places):
                issuer.give_back(number, False, now_s)
            issue_all(issuer, now_s)
        assert len(issuer.bucket.places) == ROOM


class TestWaiting:
    """How long the queue is follows from the requests, also after a pause."""

    def test_expected_wait(self):
        issuer = new_issuer()
        for start_s in (0.0, 100.0):
            for number in issue_all(issuer, start_s):
                issuer.give_back(number, False, start_s + 0.2)
            issue_all(issuer, start_s + 0.3)
            refused = issuer.request("n0", 0, start_s + 0.3)
            assert refused.queue_s < 2 * 0.2 / ROOM
            for number in list(issuer.bucket.places):
                issuer.give_back(number, False, start_s + 0.5)

    def test_first_requests_wait(self):
        """Nothing is refused before the first request has shown how long one takes."""
        issuer = new_issuer()
        issue_all(issuer, 0.0)
        assert issuer.request("n0", 0, 0.1).queue_s <= 1 / ROOM


class TestLostReturns:
    """A place whose end nobody reports is free again."""

    def test_node_that_ended(self):
        live = {"n0", "n1"}
        issuer = new_issuer(is_live=lambda name: name in live)
        issue_all(issuer, 0.0, ["n0", "n1"])
        live.discard("n1")
        assert len(issue_all(issuer, 1.0)) == ROOM / 2

    def test_after_the_longest_time(self):
        issuer = new_issuer()
        issue_all(issuer, 0.0)
        assert not issue_all(issuer, MAX_HOLD_S - 1.0)
        assert len(issue_all(issuer, MAX_HOLD_S + 1.0)) == ROOM

    def test_repeated_return(self):
        issuer = new_issuer()
        number = issue_all(issuer, 0.0)[0]
        for _ in range(3):
            issuer.give_back(number, False, 0.1)
        assert len(issue_all(issuer, 0.2)) == 1


class TestRecords:
    @pytest.mark.parametrize("item", [["s@1", 1, 0, 8.0], ["s@1", 1, 0, 8.0, 3.0]])
    def test_message_form(self, item):
        assert LimitRecord.from_list(item).to_list() == item

    @pytest.mark.parametrize("value", ["x", None, [], float("nan")])
    def test_malformed(self, value):
        assert LimitRecord.from_list(["s@1", 1, 0, 8.0, value]) is None
