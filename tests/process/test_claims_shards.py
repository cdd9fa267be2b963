"""At-most-once execution with shards: admission, replication and partitions."""

import trio
from tests.process.claim_fakes import FakeCluster, claim_of, close_of, result_of

from rosemaryknot.process.claims.table import TableBounds
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.values.claims import ClaimAnswered, ClaimGranted
from rosemaryknot.values.nodes import ServerState
from rosemaryknot.values.outcomes import Reason

NODES = ("a-1", "a-2", "b-1", "b-2", "c-1", "c-2")


async def cluster_of(nursery, *names, **options):
    cluster = FakeCluster(nursery, **options)
    await cluster.start(*(names or NODES))
    return cluster


class TestAdmission:
    async def test_each_shard_has_one_owner_and_claims_need_no_store_call(
        self, autojump_clock, nursery
    ):
        cluster = await cluster_of(nursery)
        assert all(len(owners) == 1 for owners in cluster.owners())
        assert {owners[0] for owners in cluster.owners()} == set(NODES)
        calls = cluster.store.calls
        for number in range(30):
            request = claim_of(f"k{number}", f"c{number}")
            assert await cluster.claims("a-1").claim(request) == ClaimGranted(
                f"c{number}"
            )
        assert cluster.store.calls == calls

    async def test_two_entries_with_the_same_id_get_one_grant(
        self, autojump_clock, nursery
    ):
        cluster = await cluster_of(nursery)
        replies = []

        async def claim(name):
            request = claim_of("k", f"of {name}")
            replies.append(await cluster.claims(name).claim(request))

        async with trio.open_nursery() as claimants:
            for name in NODES:
                claimants.start_soon(claim, name)
        assert sum(isinstance(reply, ClaimGranted) for reply in replies) == 1

    async def test_repeat_gets_the_stored_response(self, autojump_clock, nursery):
        cluster = await cluster_of(nursery)
        request = claim_of("k", "c1", timeout_s=10.0)
        await cluster.claims("a-1").claim(request)
        running = await cluster.claims("b-1").claim(claim_of("k", "c2"))
        assert running.outcome == "running"
        result = result_of(request, "answered", status=201, body=b"slot 4")
        assert (await cluster.claims("a-1").record(result)).stored
        reply = await cluster.claims("c-1").claim(claim_of("k", "c3"))
        assert reply == ClaimAnswered(201, [], b"slot 4")
        other = await cluster.claims("c-1").claim(claim_of("k", "c4", body=b"x"))
        assert (other.outcome, other.reason) == ("not_run", Reason.BODY_DIFFERS)

    async def test_id_is_unknown_after_the_timeout_of_a_silent_entry(
        self, autojump_clock, nursery
    ):
        cluster = await cluster_of(nursery)
        await cluster.claims("a-1").claim(claim_of("k", "c1", timeout_s=10.0))
        await trio.sleep(60)
        reply = await cluster.claims("a-1").claim(claim_of("k", "c2"))
        assert (reply.outcome, reply.reason) == ("unknown", Reason.TIMED_OUT)

    async def test_full_table_refuses_new_ids_and_keeps_existing_ones(
        self, autojump_clock, nursery
    ):
        """More ids are claimed than the owner may store.

        New ids are refused with a separate reason. Records of ids that ran are kept,
        since the ids would run again otherwise. After the horizon there is free
        capacity again.
        """
        cluster = await cluster_of(nursery, "a-1", bounds=TableBounds(max_records=5))
        claims = cluster.claims("a-1")
        for number in range(5):
            request = claim_of(f"k{number}", f"c{number}", attempt=1)
            await claims.claim(request)
            await claims.record(result_of(request, "answered", status=200))
        full = await claims.claim(claim_of("new", "c9", attempt=1))
        assert (full.outcome, full.reason) == ("not_run", Reason.ID_TABLE_FULL)
        repeat = await claims.claim(claim_of("k0", "c8", attempt=2))
        assert isinstance(repeat, ClaimAnswered)
        await trio.sleep(700)
        granted = await claims.claim(claim_of("new", "c10", attempt=2))
        assert granted.outcome == "unknown"
        first = await claims.claim(claim_of("newer", "c11", attempt=1))
        assert isinstance(first, ClaimGranted)

    async def test_large_responses_are_discarded_before_records(
        self, autojump_clock, nursery
    ):
        """Stored responses exhaust the memory for records.

        A new response is not stored then, but its id is. So a repeat is refused with
        the reason that the response is lost.
        """
        bounds = TableBounds(max_bytes=8000)
        cluster = await cluster_of(nursery, "a-1", "a-2", "b-1", bounds=bounds)
        claims = cluster.claims("a-1")
        requests = [claim_of(f"k{n}", f"c{n}", attempt=1) for n in range(16)]
        replies = [await claims.claim(request) for request in requests]
        for request in requests:
            body = bytes(4000)
            await claims.record(result_of(request, "answered", status=200, body=body))
        granted = [isinstance(reply, ClaimGranted) for reply in replies]
        again = [
            claim_of(request.key, f"d{request.key}", attempt=2)
            for request, is_granted in zip(requests, granted, strict=True)
            if is_granted
        ]
        repeats = [await claims.claim(request) for request in again]
        kept = [reply for reply in repeats if isinstance(reply, ClaimAnswered)]
        lost = [reply for reply in repeats if not isinstance(reply, ClaimAnswered)]
        assert kept and {reply.reason for reply in lost} == {Reason.ANSWER_LOST}
        for member in cluster.members.values():
            for usage in (member.claims.ownership.usage, member.claims.holder.usage):
                assert usage.bytes < 1.25 * bounds.max_bytes + 8 * 1000


class TestClosing:
    async def test_waiting_attempt_is_refused_after_it_was_closed(
        self, autojump_clock, nursery
    ):
        """Attempt 1 waits at one entry while attempt 2 is refused at another.

        The owner and one peer record the closed attempts before "not run" is returned,
        so the waiting attempt is refused when it is claimed. Attempt 3 runs.
        """
        cluster = await cluster_of(nursery)
        assert (await cluster.claims("b-1").close(close_of("k", 2))).closed
        waiting = await cluster.claims("a-1").claim(claim_of("k", "c1", attempt=1))
        assert waiting.reason == Reason.ATTEMPT_CLOSED
        later = await cluster.claims("a-1").claim(claim_of("k", "c3", attempt=3))
        assert later == ClaimGranted("c3")

    async def test_close_without_a_replica_is_not_confirmed(
        self, autojump_clock, nursery
    ):
        cluster = await cluster_of(nursery)
        key = cluster.key_owned_by("a-1")
        cluster.partition(["a-1"], NODES[1:])
        reply = await cluster.claims("a-1").close(close_of(key, 2))
        assert (reply.closed, reply.reason) == (False, Reason.NOT_PROVEN)

    async def test_closed_attempt_in_transit_is_refused_after_a_takeover(
        self, autojump_clock, nursery
    ):
        """Attempt 1 is delayed before its entry reads it, and attempt 2 is refused.

        The owner closes both attempts and fails. A successor takes over, and only then
        the entry reads attempt 1 and claims it with the new map. The replica at a peer
        contains the closed attempts. Without it, attempt 1 would run after the caller
        was told "not run".
        """
        for is_copied in (False, True):
            async with trio.open_nursery() as inner:
                cluster = await cluster_of(
                    inner, safeguards=Safeguards(claim_copy=is_copied)
                )
                key = cluster.key_owned_by("a-1")
                assert (await cluster.claims("b-1").close(close_of(key, 2))).closed
                cluster.kill("a-1", ServerState.TERMINATED)
                await trio.sleep(60)
                number = cluster.claims("b-1").maps.number
                late = claim_of(key, "c1", attempt=1, number=number)
                reply = await cluster.claims("b-1").claim(late)
                assert isinstance(reply, ClaimGranted) != is_copied
                inner.cancel_scope.cancel()


class TestLostMessages:
    async def test_id_runs_again_after_an_abandoned_grant(
        self, autojump_clock, nursery
    ):
        """The owner grants a claim and its reply is lost, so the entry does not send.

        The entry reports the claim as not sent. The attempt stays closed, since the
        caller of attempt 1 was told "not run". Attempt 2 runs.
        """
        cluster = await cluster_of(nursery)
        key = cluster.key_owned_by("a-1")
        claims = cluster.claims("b-1")
        for member in cluster.members.values():
            for kind in member.handlers.by_type:
                cluster.lost_replies.add(("b-1", "a-1", kind))
        request = claim_of(key, "c1", attempt=1)
        lost = await claims.claim(request)
        assert (lost.outcome, lost.maybe_granted) == ("not_run", True)
        cluster.lost_replies.clear()
        held = await claims.claim(claim_of(key, "c2", attempt=2))
        assert held.outcome == "running"
        assert (await claims.record(result_of(request, "not_sent"))).stored
        again = await claims.claim(claim_of(key, "c3", attempt=1))
        assert again.reason == Reason.ATTEMPT_CLOSED
        later = await claims.claim(claim_of(key, "c4", attempt=2))
        assert later == ClaimGranted("c4")

    async def test_claim_that_arrives_after_it_was_abandoned_is_refused(
        self, autojump_clock, nursery
    ):
        """A claim arrives after the report that it was abandoned.

        The owner receives "not sent" for an unknown claim and closes the attempt. If
        the claim that arrives later were granted, no entry would use the grant.
        """
        cluster = await cluster_of(nursery)
        request = claim_of("k", "c1", attempt=2)
        await cluster.claims("a-1").record(result_of(request, "not_sent", close=False))
        reply = await cluster.claims("a-1").claim(request)
        assert reply.reason == Reason.ATTEMPT_CLOSED
        later = await cluster.claims("a-1").claim(claim_of("k", "c2", attempt=3))
        assert later == ClaimGranted("c2")


class TestPartition:
    async def test_partitioned_zone_claims_keys_with_its_zone_hint(
        self, autojump_clock, nursery
    ):
        """Zone a is partitioned from the other zones and from the platform.

        Keys with its zone hint have their owner inside, so they are granted there, with
        the replica in the same zone. Other keys are refused with a correct outcome.
        Outside, keys of zone a are refused, since their owners may still run.
        """
        cluster = await cluster_of(nursery)
        cluster.store.is_down = True
        cluster.partition(NODES[:2], NODES[2:])
        inside, outside = cluster.claims("a-1"), cluster.claims("b-1")
        granted = await inside.claim(claim_of("zone:a/k", "c1"))
        assert granted == ClaimGranted("c1")
        key = cluster.key_owned_by("b-1")
        first = await inside.claim(claim_of(key, "c2", attempt=1))
        second = await inside.claim(claim_of(key, "c3", attempt=2))
        assert (first.outcome, second.outcome) == ("not_run", "unknown")
        repeat = await outside.claim(claim_of("zone:a/k", "c4"))
        assert (repeat.outcome, repeat.reason) == (
            "unknown",
            Reason.OWNER_UNREACHABLE,
        )

    async def test_claims_need_no_store(self, autojump_clock, nursery):
        cluster = await cluster_of(nursery)
        cluster.store.is_down = True
        await trio.sleep(300)
        for number in range(30):
            request = claim_of(f"k{number}", f"c{number}")
            assert isinstance(await cluster.claims("a-1").claim(request), ClaimGranted)
