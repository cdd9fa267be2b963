"""How shards pass: proof of the owner's end, handover, races and lost writes."""

import trio
from tests.process.claim_fakes import FakeCluster, claim_of, close_of, result_of

from rosemaryknot.process.claims.pending import PendingTables
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
    """Confirm the end of an owner at a node; return the number of its shards."""
    claims = cluster.claims(at)
    shards = [shard for shard in claims.maps.map.shards if shard.owner == owner]
    for shard in shards:
        claims.duties.ended.confirm(shard)
    return len(shards)


class TestTakeover:
    async def test_paused_owner_stays_owner(self, autojump_clock, nursery):
        """Trap B: the owner is paused for ten minutes and wakes.

        Nobody takes its shards, as its instance lives or is only leaving. When it
        wakes it still knows what it granted. A lease would have let another node
        grant the id again.
        """
        cluster = await cluster_of(nursery)
        key = cluster.key_owned_by("a-1")
        granted = await cluster.claims("b-1").claim(claim_of(key, "c1"))
        assert granted == ClaimGranted("c1")
        cluster.paused.add("a-1")
        cluster.cut(["a-1"], NODES[1:])
        cluster.instances.states["a-1"] = ServerState.LEAVING
        await trio.sleep(300)
        maps = cluster.claims("b-1").maps
        index = shard_of(maps.map, claim_of(key, "").id)
        assert maps.map.shards[index].owner == "a-1"
        refused = await cluster.claims("b-1").claim(claim_of(key, "c2", attempt=2))
        assert refused.outcome == "unknown"
        await trio.sleep(300)
        cluster.cuts.clear()
        cluster.paused.clear()
        repeat = await cluster.claims("b-1").claim(claim_of(key, "c3"))
        assert (repeat.outcome, repeat.reason) == ("unknown", Reason.TIMED_OUT)

    async def test_absence_from_the_platform_is_no_proof(self, autojump_clock, nursery):
        cluster = await cluster_of(nursery)
        cluster.kill("a-1")
        del cluster.instances.states["a-1"]
        await trio.sleep(120)
        assert [] in cluster.owners()
        assert confirm_ended(cluster, "b-1", "a-1") > 0
        await trio.sleep(30)
        assert all(len(owners) == 1 for owners in cluster.owners())

    async def test_word_on_an_ended_process_does_not_cover_the_next(
        self, autojump_clock, nursery
    ):
        """An operator confirms that a node ended; it is started again later.

        Its new process gets shards and is cut off. The old word must not pass them
        on: the new process lives and grants.
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
        cluster.cut(["a-1"], NODES[1:])
        del cluster.instances.states["a-1"]
        await trio.sleep(120)
        shards = cluster.claims("b-1").maps.map.shards
        assert sum(shard.owner == "a-1" for shard in shards) == owned

    async def test_dead_owner_leaves_no_id_to_run_twice(self, autojump_clock, nursery):
        """An owner grants, the entry sends, and the owner's instance is terminated.

        Its successors know granted and answered ids by their copies. An id that was
        never heard of may have run, so it is unknown, unless it declares attempt 1
        and arrived after the takeover. After the horizon it may run.
        """
        cluster = await cluster_of(nursery)
        keys = [cluster.key_owned_by("a-1", 1000 * n) for n in range(1, 6)]
        open_key, done_key, new_key, fresh_key, closed_key = keys
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
        waited = await ask(fresh_key, "d5", 1, old_number)
        assert waited.reason == Reason.OWNER_CHANGED
        assert await ask(fresh_key, "d6", 1) == ClaimGranted("d6")
        # The copy of the closing may be older than a grant of attempt 3.
        assert (await ask(closed_key, "d7", 3)).reason == Reason.OWNER_CHANGED
        assert not (await claims.close(close_of(new_key, 2))).closed
        await trio.sleep(700)
        assert await ask(new_key, "d8", 2) == ClaimGranted("d8")

    async def test_first_attempts_wait_where_copies_died_with_the_owner(
        self, autojump_clock, nursery
    ):
        """All agents are restarted at once, so owners and copies are gone.

        Attempt 1 has been held up on its way to an entry; attempt 2 has run. When
        the first arrives, nobody knows of the id. First attempts are refused "not
        run" for a while, which is true of them, rather than granted in this one's
        place. After the death of one owner alone the copies tell, and they run.
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
        late = await first("c3")
        assert (late.outcome, late.reason) == ("not_run", Reason.OWNER_CHANGED)

    async def test_successors_race_and_one_wins(self, autojump_clock, nursery):
        """All nodes try to take the shards of a dead owner at the same moment.

        The conditional write lets one through for each shard, also when the answers
        of some writes are lost after they took effect.
        """
        cluster = await cluster_of(nursery)
        cluster.kill("a-1", ServerState.TERMINATED)
        cluster.store.lose = 2
        lost = cluster.claims("b-1").maps.map.owned_by(cluster.members["a-1"].node)
        ended = {index: ("a-1", 1) for index in lost}
        async with trio.open_nursery() as racers:
            for name in NODES[1:]:
                take = cluster.claims(name).ownership.take
                racers.start_soon(take, ended)
        await trio.sleep(5)
        owners = cluster.owners()
        assert all(len(owners[index]) == 1 for index in lost)

    async def test_restarted_node_takes_its_shards_back_in_doubt(
        self, autojump_clock, nursery
    ):
        """A node's process dies and starts again at the same address.

        The new process proves the old one gone. It has forgotten everything, so it
        asks the peers: what it granted before is found, and unheard ids are unknown.
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

    async def test_second_death_finds_the_copies_again(self, autojump_clock, nursery):
        """The owner dies, then the successor, then the next one.

        Each successor copies what it took over to a peer of its own, so the id is
        still known to the last one.
        """
        cluster = await cluster_of(nursery)
        key = cluster.key_owned_by("a-1")
        await cluster.claims("c-2").claim(claim_of(key, "c1", attempt=1))
        for name in ("a-1", "a-2", "b-1", "b-2"):
            cluster.kill(name, ServerState.TERMINATED)
            await trio.sleep(40)
        number = cluster.claims("c-2").maps.number
        late = claim_of(key, "c2", attempt=1, number=number)
        reply = await cluster.claims("c-2").claim(late)
        assert reply.outcome == "unknown"
        assert reply.reason == Reason.TIMED_OUT


class TestHandover:
    async def test_planned_stop_hands_everything_over(self, autojump_clock, nursery):
        """A node stops by plan while ids of its shards are open and answered.

        Its successors know them as it did, so nothing is in doubt: a repeat gets
        the kept answer, an unheard id runs.
        """
        cluster = await cluster_of(nursery)
        key, new_key = cluster.key_owned_by("a-1"), cluster.key_owned_by("a-1", 500)
        claims = cluster.claims("b-1")
        request = claim_of(key, "c1")
        await claims.claim(request)
        assert await cluster.claims("a-1").duties.hand_over_all() == 0
        assert (await claims.record(result_of(request, "answered", status=201))).stored
        cluster.kill("a-1", ServerState.TERMINATED)
        await trio.sleep(30)
        assert all(len(owners) == 1 for owners in cluster.owners())
        assert isinstance(await claims.claim(claim_of(key, "c2")), ClaimAnswered)
        assert isinstance(await claims.claim(claim_of(new_key, "c3")), ClaimGranted)

    async def test_map_write_that_lands_late_leaves_one_owner(
        self, autojump_clock, nursery
    ):
        """The store fails in the map's write, which lands a second later.

        The owner cannot tell, so it does not go on. The successor reads the map
        that names it and admits, while the store still fails the owner. Never do
        two nodes admit for the shard.
        """
        cluster = await cluster_of(nursery)
        index = next(iter(cluster.claims("a-1").ownership.owned))
        store, owners = cluster.store, cluster.owners
        store.late, store.late_s = 1, 1.0
        hand_over = cluster.claims("a-1").ownership.hand_over
        nursery.start_soon(hand_over, index, cluster.members["b-1"].node)
        while store.late:
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

    async def test_old_table_of_a_broken_handover_is_not_used(
        self, autojump_clock, nursery
    ):
        """A handover breaks off after the table was sent, and the owner goes on.

        It grants an id and dies. The node that still has the old table takes the
        shard over, under the very epoch of that handover. It must gather the
        copies, as the old table does not know the id.
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

    async def test_part_of_an_earlier_try_that_comes_late_is_refused(
        self, autojump_clock
    ):
        """A handover is tried twice, and the first try's table arrives last.

        The first table is older: the owner went on between the tries. The later one
        must stay, or ids granted meanwhile would run again.
        """
        tables = PendingTables()
        granted = ClaimRecord(state=RunState.GRANTED, claim="c1")
        newer = to_wire([(claim_of("k", "c1").id, granted)], trio.current_time())
        assert tables.add(HandoverRecords(3, 2, newer, serial=2))
        assert not tables.add(HandoverRecords(3, 2, [], serial=1))
        pending = tables.take(3, Shard("a", "b-1", 1, epoch=2))
        assert [record.claim for _, record in pending.items] == ["c1"]

    async def test_new_nodes_get_shards_and_nothing_swings(
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

    async def test_restored_store_does_not_bring_old_owners_back(
        self, autojump_clock, nursery
    ):
        """The platform restores a backup in which an older map stands.

        The nodes know a higher number; they neither follow the old map nor write a
        new one on top of it, and go on admitting.
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
