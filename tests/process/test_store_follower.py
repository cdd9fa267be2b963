"""Tests of following a kind of object while the store is slow."""

import random

import pytest
import trio

from rosemaryknot.process.store_follower import StoreFollower
from rosemaryknot.values.platform import TIMEOUT, Listed, PlatformFailed
from rosemaryknot.values.store_changes import Changes


class SlowStore:
    """A store whose changes take longer than a call may; lists do not."""

    def __init__(self):
        self.returned_s = float("-inf")
        self.asked = []

    async def list_objects(self, kind):
        self.asked.append("list")
        return Listed(9)

    async def changes(self, kind, since, wait_s):
        self.asked.append("changes")
        if wait_s and since == 9:
            return Changes(9)
        await trio.sleep(2.0 + wait_s)
        return PlatformFailed(TIMEOUT)


@pytest.fixture
def follow(autojump_clock):
    """Return a function that follows a slow store for some steps."""

    async def steps(count, is_single):
        store = SlowStore()
        rng = random.Random(1)
        follower = StoreFollower(
            store, "config", lambda listed: None, print, rng, is_single
        )
        follower.revision = 5
        for _ in range(count):
            await follower.step()
        return store, follower

    return steps


class TestSlowAnswers:
    async def test_changes_that_never_arrive_in_time(self, follow):
        """Guards against a node that asks for ever more versions, and gets none."""
        store, follower = await follow(3, is_single=True)
        assert store.asked == ["changes", "list", "changes"]
        assert follower.revision == 9 and not follower.is_lost()

    async def test_many_objects_are_not_listed_for_it(self, follow):
        """A list of many objects is larger than their changes."""
        store, _ = await follow(3, is_single=False)
        assert store.asked == ["changes"] * 3

    async def test_waits_since_before(self, follow, nursery):
        store, follower = await follow(0, is_single=False)
        assert not follower.waits_since_before(trio.current_time())
        nursery.start_soon(follower.step)
        await trio.sleep(1.0)
        assert follower.waits_since_before(trio.current_time() - 0.5)
        assert not follower.waits_since_before(trio.current_time() - 1.5)
        await trio.sleep(9.0)
        assert not follower.waits_since_before(trio.current_time())
