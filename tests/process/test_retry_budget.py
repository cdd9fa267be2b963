"""Tests of the retry budget of entries."""

from rosemaryknot.process.retry_budget import RetryBudget

EJECTION_FAILURES = 3


class TestStart:
    def test_restarts_do_not_begin_the_budget_anew(self):
        """Guards against a budget that each start of an entry begins anew."""
        budgets = [RetryBudget() for _ in range(5)]
        granted = sum(budget.acquire() for budget in budgets for _ in range(20))
        assert granted <= len(budgets) * EJECTION_FAILURES

    def test_one_silent_server_can_be_ejected(self):
        budget = RetryBudget()
        assert all(budget.acquire() for _ in range(EJECTION_FAILURES))
