"""At-most-once execution with one stored object per id, with faults of the store."""

import pytest
import trio
from tests.process.claim_fakes import FakeStore, claim_of, close_of, result_of

from rosemaryknot.process.claims.objects import ObjectClaims
from rosemaryknot.values.claims import ClaimAnswered, ClaimGranted, ClaimRefused
from rosemaryknot.values.outcomes import Reason
from rosemaryknot.values.platform import Conflict, Missing, StoredObject
from rosemaryknot.values.store_revisions import era_of, qualified, revision_of


@pytest.fixture
def store(nursery):
    store = FakeStore()
    store.nursery = nursery
    return store


def claims_of(store):
    return ObjectClaims(store, lambda: 1e9 + trio.current_time())


class TestObjectClaims:
    async def test_one_of_two_concurrent_claims_is_granted(self, autojump_clock, store):
        """Two entries claim the same id at the same time.

        Both try to create the object. The store accepts one write, and the other entry
        reads that the id is running. Without the condition both would send the request.
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

    async def test_grant_with_lost_response_is_read_back(self, autojump_clock, store):
        """The write takes effect but its response is lost.

        The claimant reads the object, finds its own claim in it and may send. A second
        claimant is refused, since the id is running.
        """
        store.lost_responses = 1
        one, two = claims_of(store), claims_of(store)
        assert await one.claim(claim_of("k", "c1")) == ClaimGranted("c1")
        reply = await two.claim(claim_of("k", "c2"))
        assert reply.outcome == "running"

    async def test_delayed_write_does_not_grant_again(self, autojump_clock, store):
        """A write times out and takes effect after its retry has succeeded.

        The retry creates the object, so the delayed write is a conflict. A later claim
        finds a single grant.
        """
        store.delayed_writes, store.write_delay_s = 1, 5.0
        assert await claims_of(store).claim(claim_of("k", "c1")) == ClaimGranted("c1")
        await trio.sleep(10)
        reply = await claims_of(store).claim(claim_of("k", "c2", attempt=2))
        assert reply.outcome != "not_run"
        assert store.kinds["claims"].version == 1

    async def test_store_outage_gives_correct_refusals(self, autojump_clock, store):
        """The store is unavailable, so nothing can be claimed or closed.

        A declared attempt 1 is refused as "not run". Any other attempt may repeat one
        that ran, so its outcome is "unknown".
        """
        store.is_down = True
        claims = claims_of(store)
        first = await claims.claim(claim_of("k", "c1", attempt=1))
        later = await claims.claim(claim_of("k", "c2", attempt=2))
        missing = await claims.claim(claim_of("k", "c3"))
        outcomes = [reply.outcome for reply in (first, later, missing)]
        assert outcomes == ["not_run", "unknown", "unknown"]
        assert not (await claims.close(close_of("k", 2))).closed

    async def test_closed_attempts_do_not_run_but_later_ones_do(
        self, autojump_clock, store
    ):
        """Attempt 1 waits at one entry while attempt 2 is refused at another.

        The refusal first closes the attempts up to 2 in the store, so the claim of the
        waiting attempt is refused. Attempt 3 may run.
        """
        here, there = claims_of(store), claims_of(store)
        assert (await there.close(close_of("k", 2))).closed
        waiting = await here.claim(claim_of("k", "c1", attempt=1))
        assert waiting.reason == Reason.ATTEMPT_CLOSED
        assert await here.claim(claim_of("k", "c3", attempt=3)) == ClaimGranted("c3")
        assert (await there.close(close_of("k", 4))).outcome == "running"

    async def test_refusal_uses_the_stored_and_not_a_cached_record(
        self, autojump_clock, store
    ):
        """One agent closes attempt 2, then another one grants attempt 3.

        A record cached by the first agent would still show the id as closed and not
        run. A repeat of attempt 2 would be refused as "not run" although the id runs.
        """
        here, there = claims_of(store), claims_of(store)
        assert (await here.close(close_of("k", 2))).closed
        assert await there.claim(claim_of("k", "c3", attempt=3)) == ClaimGranted("c3")
        assert (await here.claim(claim_of("k", "c2", attempt=2))).outcome == "running"
        assert not (await here.close(close_of("k", 2))).closed

    async def test_later_attempt_runs_after_an_unsent_grant(
        self, autojump_clock, store
    ):
        claims = claims_of(store)
        request = claim_of("k", "c1", attempt=1)
        await claims.claim(request)
        assert (await claims.record(result_of(request, "not_sent"))).stored
        again = await claims.claim(claim_of("k", "c2", attempt=1))
        assert again.reason == Reason.ATTEMPT_CLOSED
        assert await claims.claim(claim_of("k", "c3", attempt=2)) == ClaimGranted("c3")

    async def test_repeat_gets_the_stored_response_and_another_body_is_refused(
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

    async def test_objects_expire_but_open_grants_are_kept(
        self, autojump_clock, store, nursery
    ):
        """An entry is paused for an hour between its grant and sending the request.

        Its grant must still be stored when it resumes. Answered ids are deleted after
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


class RestorableStore(FakeStore):
    """A store that can go back to a copy and states its era."""

    era = 1

    def restore(self, age_s):
        for kind in self.kinds.values():
            kind.restore(trio.current_time() - age_s)
        self.era += 1

    async def read(self, kind, name):
        found = await super().read(kind, name)
        if isinstance(found, StoredObject):
            return StoredObject(qualified(self.era, found.version), found.value)
        return Missing(qualified(self.era, 0))

    async def put(self, kind, name, value, version):
        if version and era_of(version) != self.era:
            return Conflict(0)
        outcome = await super().put(kind, name, value, revision_of(version))
        return type(outcome)(qualified(self.era, outcome.version))


class TestRestores:
    """A grant that a restored store has lost is not given a second time."""

    @pytest.mark.parametrize("has_read_since", [True, False])
    async def test_lost_grant(self, autojump_clock, has_read_since):
        store = RestorableStore()
        one, two = claims_of(store), claims_of(store)
        await two.claim(claim_of("before", "c0"))
        await trio.sleep(5.0)
        assert await one.claim(claim_of("k", "c1")) == ClaimGranted("c1")
        store.restore(2.0)
        if has_read_since:
            await two.claim(claim_of("before", "c0"))
        reply = await two.claim(claim_of("k", "c2", attempt=2))
        assert (reply.outcome, reply.reason) == ("unknown", Reason.NOT_PROVEN)
        assert not (await two.close(close_of("k", 3))).closed

    async def test_first_attempts_are_granted(self, autojump_clock):
        """A request that was not sent before runs at once after a restore."""
        store = RestorableStore()
        claims = claims_of(store)
        await claims.claim(claim_of("before", "c0"))
        store.restore(2.0)
        await claims.claim(claim_of("before", "c0"))
        reply = await claims.claim(claim_of("k", "c1", attempt=1))
        assert reply == ClaimGranted("c1")

    async def test_result_of_a_lost_grant(self, autojump_clock):
        """The result is stored again, so that a repeat gets the response."""
        store = RestorableStore()
        claims = claims_of(store)
        request = claim_of("k", "c1")
        await claims.claim(request)
        await trio.sleep(1.0)
        store.restore(2.0)
        await claims.record(result_of(request, "answered", status=200, body=b"x"))
        reply = await claims_of(store).claim(claim_of("k", "c2", attempt=2))
        assert reply == ClaimAnswered(200, [], b"x")
