"""Takeover and handover of shards, with concurrent changes and lost writes."""

import trio
from tests.process.claim_fakes import FakeCluster, claim_of, close_of, result_of

from rosemaryknot.process.claims.pending_tables import PendingTables
from rosemaryknot.process.claims.records import ClaimRecord, RunState
from rosemaryknot.process.claims.shard_map import Shard, ShardMap, shard_of
from rosemaryknot.process.claims.table import to_wire
from rosemaryknot.values.claim_peers import HandoverRecords
from rosemaryknot.values.claims import ClaimAnswered, ClaimGranted
from rosemaryknot.values.nodes import ServerState
from rosemaryknot.values.outcomes import Reason

NODES = ("a-1", "a-2", "b-1", "b-2", "c-1", "c-2")


async def cluster_of(nursery, *names, **options):
    cluster = FakeCluster(nursery, **options)
    await cluster.start(*(names or NODES))
    return cluster


def confirm_ended(cluster, at, owner):
    """Confirm at a node that an owner has stopped; return the number of its shards."""
    claims = cluster.claims(at)
    shards = [shard for shard in claims.maps.map.shards if shard.owner == owner]
    for shard in shards:
        claims.maintenance.stopped_owners.confirm(shard)
    return len(shards)


class TestTakeover:
    async def test_paused_owner_stays_owner(self, autojump_clock, nursery):
        """An owner is paused for ten minutes and resumes.

        No node takes over its shards, since its instance is live or leaving. When it
        resumes, it still has its grants. With a lease, another node would have granted
        the id again.
        """
        cluster = await cluster_of(nursery)
        key = cluster.key_owned_by("a-1")
        granted = await cluster.claims("b-1").claim(claim_of(key, "c1"))
        assert granted == ClaimGranted("c1")
        cluster.paused.add("a-1")
        cluster.partition(["a-1"], NODES[1:])
        cluster.instances.states["a-1"] = ServerState.LEAVING
        await trio.sleep(300)
        maps = cluster.claims("b-1").maps
        index = shard_of(maps.map, claim_of(key, "").id)
        assert maps.map.shards[index].owner == "a-1"
        refused = await cluster.claims("b-1").claim(claim_of(key, "c2", attempt=2))
        assert refused.outcome == "unknown"
        await trio.sleep(300)
        cluster.partitions.clear()
        cluster.paused.clear()
        repeat = await cluster.claims("b-1").claim(claim_of(key, "c3"))
        assert (repeat.outcome, repeat.reason) == ("unknown", Reason.TIMED_OUT)

    async def test_missing_instance_is_no_confirmation(self, autojump_clock, nursery):
        cluster = await cluster_of(nursery)
        cluster.kill("a-1")
        del cluster.instances.states["a-1"]
        await trio.sleep(120)
        assert [] in cluster.owners()
        assert confirm_ended(cluster, "b-1", "a-1") > 0
        await trio.sleep(30)
        assert all(len(owners) == 1 for owners in cluster.owners())

    async def test_confirmation_does_not_cover_the_next_process(
        self, autojump_clock, nursery
    ):
        """An operator confirms that a node has stopped, and the node restarts later.

        The new process receives shards and is then partitioned. The earlier
        confirmation must not permit a takeover, since the new process still runs and
        grants claims.
        """
        cluster = await cluster_of(nursery)
        cluster.kill("a-1")
        del cluster.instances.states["a-1"]
        await trio.sleep(5)
        confirm_ended(cluster, "b-1", "a-1")
        await trio.sleep(30)
        await cluster.start("a-1")
        await trio.sleep(120)
        owned = len(cluster.claims("a-1").ownership.owned)
        assert owned > 0
        cluster.partition(["a-1"], NODES[1:])
        del cluster.instances.states["a-1"]
        await trio.sleep(120)
        shards = cluster.claims("b-1").maps.map.shards
        assert sum(shard.owner == "a-1" for shard in shards) == owned

    async def test_no_id_runs_twice_after_the_owner_failed(
        self, autojump_clock, nursery
    ):
        """An owner grants claims, and then its instance is terminated.

        Its successors have the granted and answered ids from the replicas. An id
        without a record may have run, so it is "unknown", unless the claim declares
        attempt 1 and arrived after the takeover. It may run after the horizon.
        """
        cluster = await cluster_of(nursery)
        keys = [cluster.key_owned_by("a-1", 1000 * n) for n in range(1, 6)]
        open_key, done_key, new_key, first_key, closed_key = keys
        claims = cluster.claims("b-1")
        await claims.claim(claim_of(open_key, "c1", attempt=1))
        request = claim_of(done_key, "c2", attempt=1)
        await claims.claim(request)
        await claims.record(result_of(request, "answered", status=201))
        await claims.close(close_of(closed_key, 2))
        old_number = claims.maps.number
        cluster.kill("a-1", ServerState.TERMINATED)
        await trio.sleep(60)
        number = claims.maps.number

        async def ask(key, name, attempt, number=number):
            return await claims.claim(claim_of(key, name, attempt, number=number))

        assert (await ask(open_key, "d1", 2)).outcome == "unknown"
        assert isinstance(await ask(done_key, "d2", 2), ClaimAnswered)
        assert (await ask(new_key, "d3", 2)).reason == Reason.OWNER_CHANGED
        assert (await ask(new_key, "d4", 0)).reason == Reason.OWNER_CHANGED
        waited = await ask(first_key, "d5", 1, old_number)
        assert waited.reason == Reason.OWNER_CHANGED
        assert await ask(first_key, "d6", 1) == ClaimGranted("d6")
        # The replica with the closed attempts may be older than a grant of attempt 3.
        assert (await ask(closed_key, "d7", 3)).reason == Reason.OWNER_CHANGED
        assert not (await claims.close(close_of(new_key, 2))).closed
        await trio.sleep(700)
        assert await ask(new_key, "d8", 2) == ClaimGranted("d8")

    async def test_first_attempts_are_refused_if_replicas_are_lost(
        self, autojump_clock, nursery
    ):
        """All agents restart together, so the records and all replicas are lost.

        Attempt 1 was delayed in transit to an entry, and attempt 2 has run. When
        attempt 1 arrives, no node has a record of the id. First attempts are therefore
        refused as "not run" for a period, which is correct for them. If only one owner
        fails, the replicas are complete and first attempts run.
        """
        cluster = await cluster_of(nursery)
        await trio.sleep(100)
        key = cluster.key_owned_by("a-1")
        cluster.kill("a-1")
        await cluster.start("a-1")
        await trio.sleep(5)

        async def first(name):
            number = cluster.claims("b-1").maps.number
            request = claim_of(key, name, attempt=1, number=number)
            return await cluster.claims("b-1").claim(request)

        assert await first("c1") == ClaimGranted("c1")
        await trio.sleep(100)
        key = cluster.key_owned_by("c-1")
        cluster.kill("c-1", ServerState.TERMINATED)
        await trio.sleep(20)
        assert await first("c2") == ClaimGranted("c2")
        for name in NODES:
            cluster.kill(name)
        for name in NODES:
            await cluster.start(name)
        await trio.sleep(5)
        key = cluster.key_owned_by("a-2")
        reply = await first("c3")
        assert (reply.outcome, reply.reason) == ("not_run", Reason.OWNER_CHANGED)

    async def test_concurrent_takeovers_leave_one_owner(self, autojump_clock, nursery):
        """All nodes try to take over the shards of a failed owner at the same time.

        The conditional write lets one node succeed for each shard, even if the
        responses to some writes are lost after they took effect.
        """
        cluster = await cluster_of(nursery)
        cluster.kill("a-1", ServerState.TERMINATED)
        cluster.store.lost_responses = 2
        lost = cluster.claims("b-1").maps.map.owned_by(cluster.members["a-1"].node)
        stopped_owners = {index: ("a-1", 1) for index in lost}
        async with trio.open_nursery() as concurrent:
            for name in NODES[1:]:
                take_over = cluster.claims(name).ownership.take_over
                concurrent.start_soon(take_over, stopped_owners)
        await trio.sleep(5)
        owners = cluster.owners()
        assert all(len(owners[index]) == 1 for index in lost)

    async def test_restarted_node_takes_over_its_shards_with_uncertainty(
        self, autojump_clock, nursery
    ):
        """A node's process fails and restarts at the same address.

        The new process confirms that the old one has stopped. It has no records, so it
        queries the peers: earlier grants are found in replicas, and ids without a
        record are "unknown".
        """
        cluster = await cluster_of(nursery)
        key, other = cluster.key_owned_by("a-1"), cluster.key_owned_by("a-1", 500)
        claims = cluster.claims("b-1")
        await claims.claim(claim_of(key, "c1"))
        cluster.kill("a-1")
        await cluster.start("a-1")
        await trio.sleep(10)
        assert all(len(owners) == 1 for owners in cluster.owners())
        assert (await claims.claim(claim_of(key, "c2"))).outcome != "not_run"
        reply = await claims.claim(claim_of(other, "c3"))
        assert reply.reason == Reason.OWNER_CHANGED

    async def test_replicas_survive_successive_failures(self, autojump_clock, nursery):
        """The owner fails, then its successor, then the next one.

        Each successor replicates the records it took over to another peer, so the last
        one still has the record of the id.
        """
        cluster = await cluster_of(nursery)
        key = cluster.key_owned_by("a-1")
        await cluster.claims("c-2").claim(claim_of(key, "c1", attempt=1))
        for name in ("a-1", "a-2", "b-1", "b-2"):
            cluster.kill(name, ServerState.TERMINATED)
            await trio.sleep(40)
        number = cluster.claims("c-2").maps.number
        repeat = claim_of(key, "c2", attempt=1, number=number)
        reply = await cluster.claims("c-2").claim(repeat)
        assert reply.outcome == "unknown"
        assert reply.reason == Reason.TIMED_OUT


class TestHandover:
    async def test_graceful_shutdown_hands_over_all_shards(
        self, autojump_clock, nursery
    ):
        """A node shuts down gracefully while ids of its shards are open or answered.

        Its successors receive all records, so there is no uncertainty: a repeat gets
        the stored response, and an id without a record runs.
        """
        cluster = await cluster_of(nursery)
        key, new_key = cluster.key_owned_by("a-1"), cluster.key_owned_by("a-1", 500)
        claims = cluster.claims("b-1")
        request = claim_of(key, "c1")
        await claims.claim(request)
        assert await cluster.claims("a-1").maintenance.hand_over_all() == 0
        assert (await claims.record(result_of(request, "answered", status=201))).stored
        cluster.kill("a-1", ServerState.TERMINATED)
        await trio.sleep(30)
        assert all(len(owners) == 1 for owners in cluster.owners())
        assert isinstance(await claims.claim(claim_of(key, "c2")), ClaimAnswered)
        assert isinstance(await claims.claim(claim_of(new_key, "c3")), ClaimGranted)

    async def test_delayed_map_write_leaves_one_owner(self, autojump_clock, nursery):
        """The write of the map times out and takes effect a second later.

        The owner is uncertain about the outcome, so it does not resume. The successor
        adopts the map that names it and becomes active while the store is unavailable
        to the owner. At no time are two nodes active for the shard.
        """
        cluster = await cluster_of(nursery)
        index = next(iter(cluster.claims("a-1").ownership.owned))
        store, owners = cluster.store, cluster.owners
        store.delayed_writes, store.write_delay_s = 1, 1.0
        hand_over = cluster.claims("a-1").ownership.hand_over
        nursery.start_soon(hand_over, index, cluster.members["b-1"].node)
        while store.delayed_writes:
            await trio.sleep(0.001)
        store.is_down = True
        await trio.sleep(0.9)
        assert owners()[index] == []
        await trio.sleep(0.2)
        stored = store.kinds["shards"].objects["map"].value
        cluster.claims("b-1").maps.adopt(ShardMap.from_value(stored))
        await trio.sleep(0.1)
        assert owners()[index] == ["b-1"]
        store.is_down = False
        await trio.sleep(10)
        assert owners()[index] == ["b-1"]

    async def test_table_of_an_aborted_handover_is_not_used(
        self, autojump_clock, nursery
    ):
        """A handover is aborted after the table was sent, and the owner continues.

        The owner grants an id and fails. The node that still has the old table takes
        over the shard, with the same epoch as that handover. It must gather the
        replicas, since the old table has no record of the id.
        """
        cluster = await cluster_of(nursery, "a-1", "b-1", "b-2")
        key = cluster.key_owned_by("a-1")
        claims = cluster.claims("a-1")
        index = shard_of(claims.maps.map, claim_of(key, "").id)
        cluster.store.is_down = True
        for name in ("b-1", "b-2"):
            assert not await claims.ownership.hand_over(
                index, cluster.members[name].node
            )
        cluster.store.is_down = False
        assert isinstance(await claims.claim(claim_of(key, "c1", 1)), ClaimGranted)
        cluster.kill("a-1", ServerState.TERMINATED)
        await trio.sleep(30)
        reply = await cluster.claims("b-1").claim(claim_of(key, "c2", attempt=2))
        assert reply.outcome == "unknown"

    async def test_late_page_of_an_earlier_attempt_is_refused(self, autojump_clock):
        """The table of a first handover attempt arrives after that of the second.

        The first table is older, since the owner continued between the attempts. The
        later table must be kept, or ids granted meanwhile would run again.
        """
        tables = PendingTables()
        granted = ClaimRecord(state=RunState.GRANTED, claim="c1")
        newer = to_wire([(claim_of("k", "c1").id, granted)], trio.current_time())
        assert tables.add(HandoverRecords(3, 2, newer, serial=2))
        assert not tables.add(HandoverRecords(3, 2, [], serial=1))
        pending = tables.take_over(3, Shard("a", "b-1", 1, epoch=2))
        assert [record.claim for _, record in pending.items] == ["c1"]

    async def test_new_nodes_get_shards_without_oscillation(
        self, autojump_clock, nursery
    ):
        cluster = await cluster_of(nursery, "a-1", "b-1")
        await cluster.start("a-2", "b-2")
        await trio.sleep(120)
        owners = [names[0] for names in cluster.owners()]
        assert {owners.count(name) for name in ("a-1", "a-2", "b-1", "b-2")} == {3}
        number = cluster.claims("a-1").maps.number
        await trio.sleep(300)
        assert cluster.claims("a-1").maps.number == number

    async def test_restored_store_does_not_restore_old_owners(
        self, autojump_clock, nursery
    ):
        """The platform restores a backup that contains an older map.

        The nodes know a map with a higher number. They neither adopt the old map nor
        write a change based on it, and continue with the known one.
        """
        cluster = await cluster_of(nursery)
        kind = cluster.store.kinds["shards"]
        old = kind.objects["map"].value
        cluster.kill("a-1", ServerState.TERMINATED)
        await trio.sleep(30)
        number = cluster.claims("b-1").maps.number
        kind.put("map", old, kind.objects["map"].version)
        cluster.kill("b-2", ServerState.TERMINATED)
        await trio.sleep(60)
        assert cluster.claims("b-1").maps.number == number
        assert kind.objects["map"].value == old
