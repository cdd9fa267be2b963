"""Tests of the retry budget of one gateway, and of its sum over several."""

import random
from dataclasses import replace
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemaryknot.process.attempt_budget import AttemptBudget
from rosemaryknot.process.node_settings import Bounds
from rosemaryknot.request.retry_guard import (
    SERVICE_REQUESTS,
    SERVICE_RETRIES,
    RetryGuard,
)
from rosemaryknot.standin.users.retry_windows import fullest_window

RATIO = 0.2
WINDOW_S = 10.0
SLACK = 54.0
BOUNDS = Bounds(retry_ratio=RATIO, retry_window_s=WINDOW_S, retry_slack=SLACK)
STEP_S = 0.1
END_S = 45.0
NODES = 6


def new_budget(nodes=NODES, forgotten_s=float("-inf")):
    """Return a budget with a small deployment's bounds."""
    return AttemptBudget(RATIO, WINDOW_S, SLACK, lambda: nodes, forgotten_s)


def granted(budget, now_s, count=1000):
    """Return how many retries a budget grants at a moment."""
    return sum(budget.acquire("s", now_s) for _ in range(count))


def record(budget, now_s, count):
    for _ in range(count):
        budget.record_request("s", now_s)


class TestRestart:
    def test_predecessor_may_have_used_the_window(self):
        """Guards against a budget that a restart begins anew."""
        budget = new_budget(forgotten_s=100.0)
        assert not granted(budget, 100.5)
        record(budget, 101.0, 100)
        assert granted(budget, 101.0) == 6

    def test_full_budget_after_one_window(self):
        budget = new_budget(forgotten_s=100.0)
        record(budget, 105.0, 100)
        assert granted(budget, 109.9) == 6
        # The share of the slack; what was earned is spent.
        assert granted(budget, 110.1) == 8

    def test_slack_is_used_once_in_a_window(self):
        budget = new_budget(forgotten_s=100.0)
        assert [granted(budget, at_s) for at_s in (110.1, 115.0, 120.2)] == [8, 0, 8]

    @settings(deadline=None, max_examples=60)
    @given(
        seed=st.integers(0, 1 << 20),
        nodes=st.integers(4, 12),
        per_node_s=st.floats(0.5, 12.0),
        kills_s=st.lists(st.floats(5.0, 40.0), max_size=4),
        share=st.floats(0.3, 1.0),
        failing_s=st.floats(0.0, 30.0),
    )
    def test_sum_over_nodes_through_restarts(
        self, seed, nodes, per_node_s, kills_s, share, failing_s
    ):
        """Guards against any series of restarts that exceeds the budget of a window."""
        rng = random.Random(seed)
        budgets = [new_budget(nodes) for _ in range(nodes)]
        sent, retries = [], []
        for step in range(round(END_S / STEP_S)):
            now_s = step * STEP_S
            for number in range(nodes):
                if any(now_s - STEP_S < at_s <= now_s for at_s in kills_s):
                    if rng.random() < share:
                        budgets[number] = new_budget(nodes, now_s)
                for _ in range(int(per_node_s * STEP_S + rng.random())):
                    budgets[number].record_request("s", now_s)
                    sent.append(now_s)
                    if now_s >= failing_s and budgets[number].acquire("s", now_s):
                        retries.append(now_s)
        found = fullest_window(retries, sent, BOUNDS)
        assert found is None or found.used_share <= 1


class TestMovingLoad:
    @pytest.mark.parametrize("slack", [0.0, SLACK])
    def test_load_that_moves_after_a_burst(self, slack):
        """Guards against requests that count at two nodes within one window."""
        budgets = [
            AttemptBudget(RATIO, WINDOW_S, slack, lambda: NODES) for _ in range(2)
        ]
        sent, retries = [], []
        for step in range(200):
            now_s = 100.0 + step * STEP_S
            budget = budgets[step // 100]
            record(budget, now_s, 10)
            sent += [now_s] * 10
            if step in (99, 198):
                retries += [now_s] * granted(budget, now_s)
        found = fullest_window(retries, sent, replace(BOUNDS, retry_slack=slack))
        assert len(retries) > 50 and found.used_share <= 1

    @settings(deadline=None, max_examples=60)
    @given(
        seed=st.integers(0, 1 << 20),
        slack=st.sampled_from([0.0, 5.0, SLACK]),
        moves=st.sets(st.integers(50, 400), max_size=8),
        kills=st.sets(st.integers(50, 400), max_size=3),
        spike=st.integers(1, 5),
    )
    def test_sum_over_nodes_while_load_moves(self, seed, slack, moves, kills, spike):
        """Guards against any moves of load that, with restarts, exceed the budget."""
        rng = random.Random(seed)

        def start(now_s):
            return AttemptBudget(RATIO, WINDOW_S, slack, lambda: NODES, now_s)

        budgets = [start(0.0) for _ in range(NODES)]
        sent, retries, loaded = [], [], list(range(NODES))
        for step in range(round(END_S / STEP_S)):
            now_s = 100.0 + step * STEP_S
            for _ in range(8 * spike if step + 1 in moves else 8):
                budgets[rng.choice(loaded)].record_request("s", now_s)
                sent.append(now_s)
            # All that is allowed is sent before the load leaves, and now and then.
            if step + 1 in moves or rng.random() < 0.02:
                for number in loaded:
                    retries += [now_s] * granted(budgets[number], now_s)
            if step in moves:
                loaded = rng.sample(range(NODES), rng.randint(1, NODES // 2))
            if step in kills:
                for number in rng.sample(range(NODES), rng.randint(1, NODES)):
                    budgets[number] = start(now_s)
        found = fullest_window(retries, sent, replace(BOUNDS, retry_slack=slack))
        assert found is None or found.used_share <= 1


class TestSaved:
    def test_saved_is_limited_by_the_last_window(self):
        """Guards against a burst out of requests that precede the last window."""
        budget = AttemptBudget(RATIO, WINDOW_S, 0.0, lambda: NODES)
        for second in range(60):
            record(budget, 100.0 + second, 100)
        # 0.3 x 0.2 of the thousand requests of the last window.
        assert granted(budget, 159.5) == 60

    def test_saved_expires_with_its_requests(self):
        budget = AttemptBudget(RATIO, WINDOW_S, 0.0, lambda: NODES)
        record(budget, 100.0, 1000)
        assert not granted(budget, 110.1)

    def test_explanation(self):
        budget = AttemptBudget(RATIO, WINDOW_S, 5.0, lambda: NODES)
        record(budget, 100.0, 50)
        assert granted(budget, 100.0) == 3
        assert budget.explain("s", 101.0) == {
            "budget_allowed": 0.8,
            "budget_requests": 50,
            "budget_retries": 3,
            "budget_saved": 0.0,
            "budget_slack_used": 0.0,
            "budget_nodes": NODES,
            "budget_restarted": False,
        }

    def test_parts_of_retries_add_up(self):
        """Guards against nodes with little load that never retry."""
        budget = AttemptBudget(RATIO, WINDOW_S, 5.0, lambda: NODES)
        assert not granted(budget, 100.0)
        record(budget, 100.0, 5)
        assert granted(budget, 100.0) == 1
        assert not granted(budget, 109.0)


class TestChanges:
    def test_longer_window_holds_forgotten_retries(self):
        """Guards against retries that a shorter window had dropped already."""
        budget = new_budget()
        assert granted(budget, 80.0) == 8
        budget.record_request("s", 95.0)
        budget.set_bounds(RATIO, 2 * WINDOW_S, SLACK, 96.0)
        assert not granted(budget, 96.0)
        assert granted(budget, 96.0 + 2 * WINDOW_S) == 8

    def test_smaller_slack(self):
        budget = new_budget()
        assert granted(budget, 0.0, 4) == 4
        budget.set_bounds(RATIO, WINDOW_S, SLACK / 2, 1.0)
        assert not granted(budget, 1.0)


def new_context():
    """Return the part of a request's context that decides on retries."""
    return SimpleNamespace(
        request=SimpleNamespace(id="r1"),
        service=SimpleNamespace(name="s"),
        may_have_arrived=False,
        retry_decided_s=None,
    )


class TestSending:
    async def test_retries_that_waited_count_when_they_are_sent(self, autojump_clock):
        """Guards against retries decided in one window that arrive in the next one."""
        guard = RetryGuard(new_budget())
        contexts = [new_context() for _ in range(20)]
        assert all(guard.acquire(context) for context in contexts)
        assert all(guard.is_allowed(context) for context in contexts)
        assert sum(guard.acquire(context) for context in contexts) == 8

    async def test_attempt_that_sent_nothing_costs_nothing(self, autojump_clock):
        """Guards against a budget that failed connections use up."""
        guard, context = RetryGuard(new_budget()), new_context()
        assert all(guard.is_allowed(context) for _ in range(50))
        assert guard.acquire(context)
        assert sum(guard.acquire(context) for _ in range(50)) == 8

    @pytest.mark.parametrize("lost_paths", [0, 2])
    async def test_each_further_send_counts(self, autojump_clock, lost_paths):
        """Guards against repeats after a lost path that the budget does not see."""
        guard, context = RetryGuard(new_budget()), new_context()
        context.lost_paths = lost_paths
        assert [guard.acquire(context) for _ in range(11)].count(True) == 9

    async def test_counts_by_service(self, autojump_clock):
        """Guards against nodes whose requests and retries cannot be added up."""
        guard, context = RetryGuard(new_budget()), new_context()
        context.service.name = "counted"
        for _ in range(20):
            guard.record_request("counted")
        assert guard.acquire(context) and guard.acquire(context)
        assert SERVICE_REQUESTS.value(service="counted") == 20
        assert SERVICE_RETRIES.value(service="counted") == 1
