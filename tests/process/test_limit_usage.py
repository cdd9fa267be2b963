"""Tests of the usage that is estimated for silent gateways."""

import pytest

from rosemaryknot.process.limit_usage import EVEN_SHARE, LimitUsage


class TestSilentSources:
    def test_reporting_hub_keeps_a_minimum_share(self):
        """Each of three hubs had all of the demand at its last report.

        The sum of their shares exceeded one, and a thousand units were counted for
        each unit that the fourth hub acquired. Its callers were refused although usage
        was far below the limit.
        """
        limit_usage = LimitUsage()
        for number, name in enumerate("abc"):
            limit_usage.record(name, 1, 0.0, 1000.0, float(number), nodes=20)
            limit_usage.record(name, 1, 0.0, 0.0, number + 0.01, nodes=20)
            limit_usage.sources[name].share = 0.85
        limit_usage.record("d", 1, 0.0, 100.0, 4.0, nodes=20)
        limit_usage.record("d", 1, 100.0, 100.0, 4.5, nodes=20)
        min_share = EVEN_SHARE * 20 / 80
        assert (
            limit_usage.estimate_silent(4.5) <= 100 * (1 - min_share) / min_share + 1e-6
        )

    def test_both_sides_of_a_partition_stay_within_the_limit(self):
        """Two sides of a partition divide the remaining units by demand, 3 to 1."""
        sides = LimitUsage(), LimitUsage()
        for side in sides:
            side.record("a", 1, 0.0, 300.0, 0.0, nodes=4)
            side.record("b", 1, 0.0, 100.0, 0.0, nodes=4)
            side.record("a", 1, 0.0, 300.0, 0.1, nodes=4)
        remaining = 1000.0
        acquired = []
        for side, name in zip(sides, "ab", strict=True):
            side.record(name, 1, 100.0, 900.0, 2.0, nodes=4)
            counted = 100.0 + side.estimate_silent(2.0)
            acquired.append(remaining * 100.0 / counted)
        assert sum(acquired) == pytest.approx(remaining)

    def test_no_usage_is_estimated_without_sources(self):
        limit_usage = LimitUsage(own_nodes=1)
        assert limit_usage.estimate_silent(5.0) == 0.0
