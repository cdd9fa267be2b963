"""First form of at-most-once execution against a store with faults."""

import pytest
import trio
from tests.process.claim_fakes import FakeStore, claim_of, close_of, result_of

from rosemaryknot.process.claims.objects import ObjectClaims
from rosemaryknot.values.claims import ClaimAnswered, ClaimGranted, ClaimRefused
from rosemaryknot.values.outcomes import Reason


@pytest.fixture
def store(nursery):
    store = FakeStore()
    store.nursery = nursery
    return store


def claims_of(store):
    return ObjectClaims(store, lambda: 1e9 + trio.current_time())


class TestObjectClaims:
    async def test_one_of_two_claimants_is_granted(self, autojump_clock, store):
        """Two entries claim the same id at the same moment.

        Both create the object; the store lets one through, and the other one reads
        that the id is running. Without the condition both would send.
        """
        replies = []

        async def claim(name):
            replies.append(await claims_of(store).claim(claim_of("k", name)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(claim, "c1")
            nursery.start_soon(claim, "c2")
        granted = [reply for reply in replies if isinstance(reply, ClaimGranted)]
        refused = [reply for reply in replies if isinstance(reply, ClaimRefused)]
        assert len(granted) == 1
        assert [reply.outcome for reply in refused] == ["running"]

    async def test_lost_answer_of_the_grant_is_read_back(self, autojump_clock, store):
        """The write takes effect and its answer is lost.

        The claimant reads the object, finds its own claim in it and may send. A
        second claimant, which cannot know that, is told that the id is running.
        """
        store.lose = 1
        one, two = claims_of(store), claims_of(store)
        assert await one.claim(claim_of("k", "c1")) == ClaimGranted("c1")
        reply = await two.claim(claim_of("k", "c2"))
        assert reply.outcome == "running"

    async def test_write_that_lands_late_grants_nothing_more(
        self, autojump_clock, store
    ):
        """The write's answer fails, and the write lands when the retry has won.

        The retry of the claimant creates the object, so the late one meets a
        conflict. Whoever claims then finds one grant.
        """
        store.late, store.late_s = 1, 5.0
        assert await claims_of(store).claim(claim_of("k", "c1")) == ClaimGranted("c1")
        await trio.sleep(10)
        reply = await claims_of(store).claim(claim_of("k", "c2", attempt=2))
        assert reply.outcome != "not_run"
        assert store.kinds["claims"].version == 1

    async def test_store_outage_refuses_without_a_lie(self, autojump_clock, store):
        """The store is down, so nothing can be claimed or closed.

        A declared attempt 1 is refused "not run"; any other may be a repeat of one
        that ran, and its answer is unknown.
        """
        store.is_down = True
        claims = claims_of(store)
        first = await claims.claim(claim_of("k", "c1", attempt=1))
        later = await claims.claim(claim_of("k", "c2", attempt=2))
        missing = await claims.claim(claim_of("k", "c3"))
        outcomes = [reply.outcome for reply in (first, later, missing)]
        assert outcomes == ["not_run", "unknown", "unknown"]
        assert not (await claims.close(close_of("k", 2))).closed

    async def test_closed_attempts_never_run_and_a_later_one_does(
        self, autojump_clock, store
    ):
        """Trap A: attempt 1 waits at one entry while attempt 2 is refused elsewhere.

        The refusal closes attempts up to 2 in the store first, so the claim of the
        waiting attempt finds it closed. Attempt 3 may run.
        """
        here, there = claims_of(store), claims_of(store)
        assert (await there.close(close_of("k", 2))).closed
        waiting = await here.claim(claim_of("k", "c1", attempt=1))
        assert waiting.reason == Reason.ATTEMPT_CLOSED
        assert await here.claim(claim_of("k", "c3", attempt=3)) == ClaimGranted("c3")
        assert (await there.close(close_of("k", 4))).outcome == "running"

    async def test_refusal_rests_on_the_store_and_not_on_a_cached_record(
        self, autojump_clock, store
    ):
        """One agent closed attempt 2; then another one grants attempt 3.

        The first agent still remembers the id as closed and not run. A repeat of
        attempt 2 that it told "not run" would be refused while the id has run.
        """
        here, there = claims_of(store), claims_of(store)
        assert (await here.close(close_of("k", 2))).closed
        assert await there.claim(claim_of("k", "c3", attempt=3)) == ClaimGranted("c3")
        assert (await here.claim(claim_of("k", "c2", attempt=2))).outcome == "running"
        assert not (await here.close(close_of("k", 2))).closed

    async def test_unsent_grant_lets_a_later_attempt_run(self, autojump_clock, store):
        claims = claims_of(store)
        request = claim_of("k", "c1", attempt=1)
        await claims.claim(request)
        assert (await claims.record(result_of(request, "not_sent"))).stored
        again = await claims.claim(claim_of("k", "c2", attempt=1))
        assert again.reason == Reason.ATTEMPT_CLOSED
        assert await claims.claim(claim_of("k", "c3", attempt=2)) == ClaimGranted("c3")

    async def test_repeat_gets_the_kept_answer_and_another_body_none(
        self, autojump_clock, store
    ):
        claims = claims_of(store)
        request = claim_of("k", "c1")
        await claims.claim(request)
        result = result_of(
            request, "answered", status=201, headers=[["a", "b"]], body=b"slot 4"
        )
        await claims.record(result)
        there = claims_of(store)
        reply = await there.claim(claim_of("k", "c2"))
        assert reply == ClaimAnswered(201, [["a", "b"]], b"slot 4")
        other = await there.claim(claim_of("k", "c3", body=b"other"))
        assert (other.outcome, other.reason) == ("not_run", Reason.BODY_DIFFERS)
        assert store.calls == 6

    async def test_objects_go_after_their_horizon_and_open_grants_stay(
        self, autojump_clock, store, nursery
    ):
        """An entry is paused between its grant and its send, for an hour.

        Its id must still be taken when it wakes; answered ids are deleted after
        their horizon.
        """
        claims = claims_of(store)
        nursery.start_soon(claims.run)
        await claims.claim(claim_of("paused", "c1"))
        request = claim_of("done", "c2")
        await claims.claim(request)
        await claims.record(result_of(request, "answered", status=200))
        await trio.sleep(3600)
        assert len(store.kinds["claims"].objects) == 1
        assert (await claims.claim(claim_of("paused", "c3"))).outcome == "unknown"
