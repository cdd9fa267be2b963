"""Tests of what is counted for gateways that are not heard."""

import pytest

from rosemaryknot.process.limit_takings import EVEN_SHARE, LimitTakings


class TestUnheard:
    def test_shares_of_different_times_leave_some_for_the_others(self):
        """Each of three hubs had all of the demand when it told last.

        Their shares were more than one together, and for each unit of the fourth a
        thousand were counted: its callers got nothing, far below the limit.
        """
        takings = LimitTakings()
        for number, name in enumerate("abc"):
            takings.note(name, 1, 0.0, 1000.0, float(number), nodes=20)
            takings.note(name, 1, 0.0, 0.0, number + 0.01, nodes=20)
            takings.sources[name].share = 0.85
        takings.note("d", 1, 0.0, 100.0, 4.0, nodes=20)
        takings.note("d", 1, 100.0, 100.0, 4.5, nodes=20)
        least = EVEN_SHARE * 20 / 80
        assert takings.assume(4.5) <= 100 * (1 - least) / least + 1e-6

    def test_both_sides_keep_to_the_limit_together(self):
        """Two sides of 3 to 1 in their demand divide what is left by it."""
        sides = LimitTakings(), LimitTakings()
        for one in sides:
            one.note("a", 1, 0.0, 300.0, 0.0, nodes=4)
            one.note("b", 1, 0.0, 100.0, 0.0, nodes=4)
            one.note("a", 1, 0.0, 300.0, 0.1, nodes=4)
        left = 1000.0
        taken = []
        for one, name in zip(sides, "ab", strict=True):
            one.note(name, 1, 100.0, 900.0, 2.0, nodes=4)
            counted = 100.0 + one.assume(2.0)
            taken.append(left * 100.0 / counted)
        assert sum(taken) == pytest.approx(left)

    def test_nothing_is_assumed_for_what_asks_for_nothing_and_is_alone(self):
        takings = LimitTakings(own_nodes=1)
        assert takings.assume(5.0) == 0.0
