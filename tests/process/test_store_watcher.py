"""Tests of watching a kind of object while the store is slow."""

import math
import random

import pytest
import trio

from rosemaryknot.process.store_watcher import REWRITE_TIMEOUT_S, StoreWatcher
from rosemaryknot.values.platform import TIMEOUT, ListPage, PlatformFailed
from rosemaryknot.values.store_changes import Changes


class SlowStore:
    """A store whose changes take longer than the call timeout; lists do not."""

    def __init__(self):
        self.reconnected_s = float("-inf")
        self.calls = []

    async def list_page(self, kind, after):
        self.calls.append("list")
        return ListPage(9)

    async def changes(self, kind, since, wait_s):
        self.calls.append("changes")
        if wait_s and since == 9:
            return Changes(9)
        await trio.sleep(2.0 + wait_s)
        return PlatformFailed(TIMEOUT)


@pytest.fixture
def watch_steps(autojump_clock):
    """Return a function that watches a slow store for a number of steps."""

    async def steps(count, is_single):
        store = SlowStore()
        rng = random.Random(1)
        watcher = StoreWatcher(
            store, "config", lambda listed: None, print, rng, is_single
        )
        watcher.revision = 5
        for _ in range(count):
            await watcher.step()
        return store, watcher

    return steps


class TestSlowResponses:
    async def test_changes_that_always_time_out(self, autojump_clock, watch_steps):
        """Guards against a node that requests ever more versions and receives none."""
        store, watcher = await watch_steps(3, is_single=True)
        assert store.calls == ["changes", "list", "changes"]
        assert watcher.revision == 9 and not watcher.is_unreachable()

    async def test_many_objects_are_not_listed_after_timeout(
        self, autojump_clock, watch_steps
    ):
        """A timeout causes no list of many objects, which is larger than changes."""
        store, _ = await watch_steps(3, is_single=False)
        assert store.calls == ["changes"] * 3

    async def test_has_call_since_before(self, autojump_clock, watch_steps, nursery):
        store, watcher = await watch_steps(0, is_single=False)
        assert not watcher.has_call_since_before(trio.current_time())
        nursery.start_soon(watcher.step)
        await trio.sleep(1.0)
        assert watcher.has_call_since_before(trio.current_time() - 0.5)
        assert not watcher.has_call_since_before(trio.current_time() - 1.5)
        await trio.sleep(9.0)
        assert not watcher.has_call_since_before(trio.current_time())


class TestRestoredStore:
    async def test_entries_are_not_certain_at_once(self, autojump_clock):
        """Guards against a stream taken up at a server known from an older copy."""
        rng = random.Random(1)
        watcher = StoreWatcher(SlowStore(), "servers", lambda listed: None, print, rng)
        watcher.revision = 20
        watcher.is_expired = True
        watcher.record_success()
        await watcher.list_all()
        assert watcher.revision == 9
        assert watcher.current_since_s() == float("inf")
        await trio.sleep(REWRITE_TIMEOUT_S)
        assert watcher.current_since_s() == trio.current_time()


class LateStore:
    """A store whose responses are handled late; its first watch is never answered."""

    LAG_S = 2.5

    def __init__(self):
        self.reconnected_s = float("-inf")
        self.is_first = True

    async def list_page(self, kind, after):
        await trio.sleep(self.LAG_S)
        return ListPage(9)

    async def changes(self, kind, since, wait_s):
        if wait_s and self.is_first:
            self.is_first = False
            await trio.sleep_forever()
        await trio.sleep(self.LAG_S if since < 9 else self.LAG_S + wait_s)
        return Changes(9)


class TestLateResponses:
    @pytest.mark.parametrize("is_single", [True, False])
    async def test_resynchronizations_give_up_no_response(
        self, autojump_clock, nursery, is_single
    ):
        """Guards against a late node that gives up each call before its response."""
        store = LateStore()
        watcher = StoreWatcher(
            store,
            "servers",
            lambda listed: None,
            lambda change: None,
            random.Random(1),
            is_single,
        )
        watcher.revision = 5
        nursery.start_soon(watcher.run)
        for _ in range(20):
            await trio.sleep(0.25)
            watcher.resync("another node has a newer revision")
        assert watcher.revision == 9


class CountedStore:
    """A store that answers short queries after a time, or never."""

    def __init__(self, takes_s):
        self.takes_s = takes_s
        self.revision = 1
        self.queries = 0

    async def list_page(self, kind, after):
        return ListPage(self.revision)

    async def changes(self, kind, since, wait_s):
        if wait_s:
            await trio.sleep_forever()
        self.queries += 1
        revision = self.revision
        await trio.sleep(self.takes_s)
        return Changes(revision)


@pytest.fixture
async def confirm(autojump_clock, nursery):
    """Return a function that starts a watcher and confirms several times in turn."""

    async def run(store, count, pause_s):
        watcher = StoreWatcher(
            store, "servers", lambda listed: None, print, random.Random(1)
        )
        nursery.start_soon(watcher.run)
        await trio.sleep(0.1)
        outcomes = []

        async def confirm_one():
            began, revision = trio.current_time(), store.revision
            is_confirmed = await watcher.confirm()
            took_s = round(trio.current_time() - began, 2)
            outcomes.append((is_confirmed, watcher.revision >= revision, took_s))

        async with trio.open_nursery() as callers:
            for _ in range(count):
                callers.start_soon(confirm_one)
                await trio.sleep(pause_s)
                store.revision += 1
        return sorted(outcomes)

    return run


class TestConfirm:
    async def test_silent_store_confirms_nothing(self, autojump_clock, confirm):
        """Guards against a call without an error that is taken for an answer."""
        assert await confirm(CountedStore(math.inf), 1, 0.01) == [(False, True, 0.5)]

    async def test_query_that_had_begun_before_proves_nothing(
        self, autojump_clock, confirm
    ):
        """Guards against an answer that is older than the question."""
        outcomes = await confirm(CountedStore(0.1), 3, 0.03)
        assert outcomes == [(True, True, 0.1), (True, True, 0.14), (True, True, 0.17)]

    async def test_callers_share_a_query(self, autojump_clock, confirm):
        store = CountedStore(0.1)
        assert len(await confirm(store, 50, 0.001)) == 50
        assert store.queries == 2

    async def test_store_that_is_known_to_be_unreachable(self, autojump_clock):
        watcher = StoreWatcher(
            CountedStore(math.inf), "servers", print, print, random.Random(1)
        )
        watcher.revision, watcher.failures = 1, 2
        assert not await watcher.confirm()
        assert trio.current_time() == 0.0
