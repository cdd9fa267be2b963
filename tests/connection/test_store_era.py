"""Tests of the era of a store as its responses state it."""

import pytest
import trio

from rosemaryknot.connection.store_era import ERA_FALL_TIMEOUT_S, EraTracker

HEADER = "object-era"


@pytest.fixture
def tracker():
    return EraTracker(HEADER)


def record(tracker, text):
    return tracker.record({HEADER: text})


class TestEraTracker:
    async def test_rising_era(self, autojump_clock, tracker):
        eras = []
        tracker.on_changed.append(eras.append)
        assert [record(tracker, text) for text in ("1", "1", "2")] == [1, 1, 2]
        assert eras == [1, 2]

    @pytest.mark.parametrize(
        "text", ["", "x", "-1", "1.5", "+2", str(2**63), "9" * 30, "²", "1 2"]
    )
    async def test_invalid_era(self, autojump_clock, tracker, text):
        """A value that is no era counts as the current one, and ends nothing."""
        record(tracker, "4")
        assert record(tracker, text) == 4
        assert tracker.era == 4

    async def test_late_response(self, autojump_clock, tracker):
        """Guards against a response of before that is taken for a new history."""
        record(tracker, "3")
        assert record(tracker, "2") is None
        assert tracker.era == 3

    async def test_era_that_falls_for_good(self, autojump_clock, tracker):
        """A store that counts anew is followed once no other response arrives."""
        record(tracker, "3")
        assert record(tracker, "1") is None
        await trio.sleep(ERA_FALL_TIMEOUT_S)
        assert record(tracker, "1") == 1

    async def test_two_machines_that_differ(self, autojump_clock, tracker):
        """The later era holds as long as any response states it."""
        for _ in range(20):
            assert record(tracker, "3") == 3
            assert record(tracker, "2") is None
            await trio.sleep(1.0)
