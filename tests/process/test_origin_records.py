"""Tests of the records of origins, and of the order of the nodes that hold them."""

import random
from collections import Counter

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from rosemaryknot.process import origin_records
from rosemaryknot.process.origin_exchange import HOLDERS, MAX_ASKED, NodeRing
from rosemaryknot.process.origin_records import OriginRecord, OriginRecords
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.stream_origins import StreamOrigin, origin_key


def record(name="r1", version="v1", number=1, source="n0/1", keep_s=30.0):
    now_s = trio.current_time()
    origin = StreamOrigin("writer", version, "m0@1")
    key = origin_key("ada", name)
    return OriginRecord(key, origin, number, source, now_s, now_s + keep_s)


class TestRecords:
    async def test_late_record_of_an_earlier_attempt(self, autojump_clock):
        """A record that arrives late must not replace that of the first event."""
        records = OriginRecords()
        records.merge(record(version="v2", number=2))
        records.merge(record(version="v1", number=1))
        assert records.get(origin_key("ada", "r1")).origin.software_version == "v2"

    @pytest.mark.parametrize(("other", "expected"), [("v1", "v1"), ("v2", "")])
    async def test_two_nodes_with_the_same_id(self, autojump_clock, other, expected):
        """Which attempt brought the first event is not known."""
        records = OriginRecords()
        records.merge(record(version="v1", source="n0/1"))
        records.merge(record(version=other, source="n1/1"))
        found = records.get(origin_key("ada", "r1"))
        assert found.origin.software_version == expected

    @pytest.mark.parametrize("again", ["n0/1", "n1/1"])
    @pytest.mark.parametrize("number", [1, 2])
    async def test_contradiction_stays(self, autojump_clock, again, number):
        """A further record of one of the nodes does not decide between them."""
        records = OriginRecords()
        records.merge(record(version="v1", source="n0/1"))
        records.merge(record(version="v2", source="n1/1"))
        records.merge(record(version="v1", source=again, number=number))
        found = records.get(origin_key("ada", "r1"))
        assert found.origin.software_version == ""

    async def test_late_copy_does_not_shorten(self, autojump_clock):
        """A copy that was sent before a renewal must not end the record sooner."""
        records = OriginRecords()
        records.merge(record(keep_s=50.0))
        records.merge(record(keep_s=5.0))
        await trio.sleep(20.0)
        assert records.get(origin_key("ada", "r1")) is not None

    async def test_expires(self, autojump_clock):
        records = OriginRecords()
        records.merge(record(keep_s=5.0))
        await trio.sleep(5.1)
        assert records.get(origin_key("ada", "r1")) is None
        records.merge(record("r2"))
        assert len(records.by_key) == 1

    async def test_bound(self, autojump_clock, monkeypatch):
        """The oldest records are dropped first."""
        monkeypatch.setattr(origin_records, "MAX_RECORDS", 10)
        records = OriginRecords()
        for number in range(25):
            records.merge(record(f"r{number}"))
        assert len(records.by_key) == 10
        assert records.get(origin_key("ada", "r24")) is not None

    async def test_renewed_record_is_kept_longer(self, autojump_clock):
        records = OriginRecords()
        records.merge(record(keep_s=5.0))
        records.merge(record(keep_s=50.0))
        await trio.sleep(20.0)
        assert records.get(origin_key("ada", "r1")) is not None

    async def test_message_form(self, autojump_clock):
        await trio.sleep(3.0)
        original = record()
        assert OriginRecord.from_list(original.to_list()) == original

    @pytest.mark.parametrize(
        "change",
        [{0: "r1"}, {1: 7}, {4: True}, {6: -1.0}, {6: float("nan")}, {7: "long"}],
    )
    async def test_malformed(self, autojump_clock, change):
        """A malformed record of a faulty peer must not end the process."""
        item = record().to_list()
        for position, value in change.items():
            item[position] = value
        assert OriginRecord.from_list(item) is None
        assert OriginRecord.from_list(item[:3]) is None


class TestRing:
    def nodes(self, count, zones=3):
        return [Node(f"n{number}", f"z{number % zones}", 1) for number in range(count)]

    @given(st.integers(2, 30), st.binary(min_size=1, max_size=20))
    def test_holders_are_in_two_zones(self, count, key):
        order = NodeRing(self.nodes(count)).order(key, MAX_ASKED)
        assert len({node.name for node in order}) == len(order)
        assert len(order) == min(count, MAX_ASKED)
        assert order[0].zone != order[1].zone

    def test_holders_are_asked_after_a_third_of_the_nodes_was_lost(self):
        """Nodes that come or go must not hide who holds a record."""
        rng = random.Random(1)
        nodes = self.nodes(60)
        before = NodeRing(nodes)
        live = rng.sample(nodes, 40)
        after = NodeRing(live)
        missed = 0
        for number in range(500):
            key = number.to_bytes(4, "big")
            holders = set(before.order(key, HOLDERS)).intersection(live)
            missed += bool(holders) and not holders.intersection(
                after.order(key, MAX_ASKED)
            )
        assert missed == 0

    @given(st.lists(st.sets(st.integers(0, 12)), max_size=6))
    def test_updated_ring_is_that_of_its_nodes(self, changes):
        """Nodes that come and go must leave no place behind."""
        ring = NodeRing()
        nodes = []
        for numbers in changes:
            nodes = [Node(f"n{number}", f"z{number % 3}", 1) for number in numbers]
            ring.update(nodes)
        assert ring.points == NodeRing(nodes).points
        assert ring.nodes == NodeRing(nodes).nodes

    def test_share_of_each_node(self):
        """No node holds many times the records of the others."""
        ring = NodeRing(self.nodes(60))
        counts = Counter(
            node.name
            for number in range(6000)
            for node in ring.order(number.to_bytes(4, "big"), HOLDERS)
        )
        assert max(counts.values()) < 5 * 200
