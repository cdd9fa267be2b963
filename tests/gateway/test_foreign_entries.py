"""Tests of invalid entries that another writer puts into the store."""

import random

import pytest
import structlog
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from rosemaryknot.process.leases import KIND as LEASES
from rosemaryknot.process.node import LEASE_NAME
from rosemaryknot.process.usage_tracker import UsageTracker
from rosemaryknot.standin.users.foreign_entries import FOREIGN_ENTRIES, foreign_value
from rosemaryknot.standin.users.store import RawValue
from rosemaryknot.standin.users.system import PLAIN, document, platform_system
from rosemaryknot.values.leases import LeaseRecord

SOON_S = 0.2
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
STRAYS = (None, 7, "item", [], {}, {"metadata": None}, {"metadata": {"name": 3}})


def ids_of(fleet, node="n0"):
    return set(fleet.nodes[node].state.servers.by_id)


def values_of(valid):
    """Return one value for each way in which an entry is not a valid server entry."""
    rng = random.Random(1)
    return {way: foreign_value(way, valid, rng) for way in FOREIGN_ENTRIES}


class TestServers:
    async def test_define_no_usable_server(self, autojump_clock):
        """Invalid entries of every kind are received by the watch and by a list.

        None of them defines a server. Valid entries are still applied and used, and the
        invalid ones cause no new list or watch.
        """
        async with platform_system(nodes=2) as fleet:
            known = ids_of(fleet)
            valid = fleet.servers["p0"].entry
            # The records of crashes are listed shortly after the start.
            await trio.sleep(1)
            lists = [c for c in fleet.store.calls if "watch" not in c.path]
            for way, value in values_of(valid).items():
                fleet.store.put("servers", f"x-{way}", value)
                await trio.sleep(0.05)
            for stray in STRAYS:
                fleet.store.put_invalid_item("servers", stray)
            await fleet.add_server("p9", PLAIN)
            await trio.sleep(SOON_S)
            assert ids_of(fleet) == known | {"p9"}
            assert [c for c in fleet.store.calls if "watch" not in c.path] == lists
            await fleet.nodes["n0"].watchers["servers"].list_all()
            assert ids_of(fleet) == known | {"p9"}
            assert not fleet.nodes["n0"].watchers["servers"].is_unreachable()

    @pytest.mark.parametrize("name", ["", "x y", "x\ny", "x\u00e9", "x\ud800"])
    async def test_name_that_is_not_a_valid_id(self, autojump_clock, name):
        """A valid entry has a name that is not allowed in a header.

        Sent as the expected server, it crashed the node at the first request to it.
        """
        async with platform_system(plain=0) as fleet:
            server = await fleet.add_server("p0", PLAIN)
            fleet.store.put("servers", name, server.entry)
            fleet.store.remove("servers", "p0")
            await trio.sleep(3)
            assert ids_of(fleet) == {"m0", "m1"}
            response = await fleet.ask("/stock/x", method="GET")
            assert response.status == 503

    async def test_new_node_lists_the_others(self, autojump_clock):
        async with platform_system() as fleet:
            for way, value in values_of(fleet.servers["p0"].entry).items():
                fleet.store.put("servers", f"x-{way}", value)
            for stray in STRAYS:
                fleet.store.put_invalid_item("servers", stray)
            await fleet.add_node(1)
            await trio.sleep(1)
            assert ids_of(fleet, "n1") == {"p0", "p1", "m0", "m1"}

    async def test_reach_nodes_that_do_not_watch(self, autojump_clock):
        """Fifteen nodes report invalid entries among valid ones to each other."""
        async with platform_system(nodes=15) as fleet:
            await trio.sleep(8)
            for way, value in values_of(fleet.servers["p0"].entry).items():
                fleet.store.put("servers", f"x-{way}", value)
            await fleet.add_server("p9", PLAIN)
            await trio.sleep(1)
            for name in fleet.nodes:
                assert ids_of(fleet, name) == {"p0", "p1", "m0", "m1", "p9"}

    async def test_reach_a_node_without_the_store(self, autojump_clock):
        async with platform_system(nodes=3) as fleet:
            fleet.store.faults.begin("busy", "10.2.0.2")
            await trio.sleep(6)
            for way, value in values_of(fleet.servers["p0"].entry).items():
                fleet.store.put("servers", f"x-{way}", value)
            await fleet.add_server("p9", PLAIN)
            await trio.sleep(2)
            assert "p9" in ids_of(fleet, "n1")
            assert ids_of(fleet, "n1") == ids_of(fleet)

    async def test_one_log_line_per_entry_and_change(self, autojump_clock):
        async with platform_system() as fleet:
            valid = fleet.servers["p0"].entry
            with structlog.testing.capture_logs() as lines:
                fleet.store.put("servers", "x1", valid | {"state": "resting"})
                await trio.sleep(SOON_S)
                for _ in range(3):
                    await fleet.nodes["n0"].watchers["servers"].list_all()
                fleet.store.put("servers", "x1", valid | {"slots": True})
                await trio.sleep(SOON_S)
            reasons = [x["reason"] for x in lines if "left alone" in x["event"]]
            assert reasons == ["state is not known", "slots is no whole number"]

    async def test_unknown_service_may_come_later(self, autojump_clock):
        """The service of a server is added only with the next configuration."""
        async with platform_system(plain=0) as fleet:
            with structlog.testing.capture_logs() as lines:
                await fleet.add_server("q0", "new")
                await trio.sleep(SOON_S)
            assert [x["reason"] for x in lines if "reason" in x] == [
                "service new unknown"
            ]
            services = [{"name": "new", "maxConnections": 10}]
            routes = document()["routes"][3] | {"service": "new"}
            fleet.store.put(
                "config", "main", document(7, routes=[routes], services=services)
            )
            await trio.sleep(SOON_S)
            response = await fleet.ask("/stock/x", method="GET")
            assert response.status == 200

    async def test_known_server_is_used_until_its_entry_times_out(self, autojump_clock):
        """The entry of a service's only server is overwritten and then restored.

        The server still gets requests meanwhile. If the entry is not restored, the
        server may have drained: it gets no requests after the timeout for a missing
        entry.
        """
        async with platform_system(plain=1) as fleet:
            valid = fleet.servers["p0"].entry
            fleet.store.put("servers", "p0", {"state": "resting"})
            await trio.sleep(1)
            response = await fleet.ask("/stock/x", method="GET", request_id="s1")
            assert response.status == 200
            fleet.store.put("servers", "p0", valid)
            await trio.sleep(3)
            response = await fleet.ask("/stock/x", method="GET", request_id="s2")
            assert response.status == 200
            fleet.store.put("servers", "p0", RawValue(b"{nothing}"))
            await trio.sleep(3)
            response = await fleet.ask("/stock/x", method="GET", request_id="s3")
            assert response.status == 503

    async def test_overwritten_state_is_not_a_drain(self, autojump_clock):
        async with platform_system(plain=1) as fleet:
            valid = fleet.servers["p0"].entry
            fleet.store.put("servers", "p0", valid | {"state": "resting"})
            await trio.sleep(SOON_S)
            fleet.store.put("servers", "p0", valid)
            await trio.sleep(SOON_S)
            response = await fleet.ask("/stock/x", method="GET")
            assert response.status == 200


async def watch_values(values: list) -> None:
    """Let a node watch arbitrary values among valid entries."""
    async with platform_system(plain=1, models=0) as fleet:
        for number, value in enumerate(values):
            fleet.store.put("servers", f"x{number}", value)
            fleet.store.put_invalid_item("servers", value)
            await trio.sleep(0.01)
        await fleet.add_server("p1", PLAIN)
        await trio.sleep(SOON_S)
        assert ids_of(fleet) == {"p0", "p1"}
        await fleet.nodes["n0"].watchers["servers"].list_all()
        assert ids_of(fleet) == {"p0", "p1"}
        assert (await fleet.ask("/stock/x", method="GET")).status == 200


class TestArbitraryValues:
    @settings(max_examples=25, deadline=None)
    @given(st.lists(JSON, min_size=1, max_size=4))
    def test_any_values(self, values):
        trio.run(watch_values, values, clock=MockClock(autojump_threshold=0))


class TestConfiguration:
    @pytest.mark.parametrize(
        "value",
        [
            None,
            {},
            document(9) | {"version": True},
            document(9) | {"version": "9"},
            document(9) | {"routes": [7]},
            RawValue(b"{version: 9}"),
            RawValue(b'{"version": 9, "routes": [{"weight": 1e999}]}'),
        ],
    )
    async def test_current_version_stays_active(self, autojump_clock, value):
        async with platform_system(nodes=2) as fleet:
            fleet.store.put("config", "main", value)
            fleet.store.put("config", "other", value)
            await trio.sleep(SOON_S)
            assert fleet.nodes["n0"].state.version == 1
            assert (await fleet.ask("/book/x")).status == 200
            fleet.store.put("config", "main", document(10))
            await trio.sleep(SOON_S)
            assert fleet.nodes["n0"].state.version == 10


class TestLease:
    @pytest.mark.parametrize(
        "value",
        [
            None,
            "mine",
            {"holder": "n0/1"},
            {
                "holder": "x",
                "fencing": 10**17,
                "write_id": "",
                "duration_s": 2.0,
                "leaving": [],
            },
            {
                "holder": "x",
                "fencing": 1,
                "write_id": "",
                "duration_s": 1e9,
                "leaving": [],
            },
            {"holder": 7, "fencing": True, "write_id": "", "duration_s": "1e999"},
            RawValue(b"{holder}"),
            RawValue(b'{"fencing": ' + b"9" * 5000 + b"}"),
            RawValue(b"[" * 3000 + b"]" * 3000),
        ],
    )
    async def test_holder_keeps_the_lease(self, autojump_clock, value):
        """Another writer overwrites the record of the duty lease.

        The holder keeps the lease and writes its record again. No other node acquires
        it, and each usage window is reported once.
        """
        async with platform_system(nodes=3, duties=["usage"]) as fleet:
            await trio.sleep(14)
            calls = len(fleet.cloud.calls)
            [holder] = {c.holder for c in fleet.cloud.calls}
            fencing = fleet.nodes[holder].lease.fencing
            fleet.store.put(LEASES, LEASE_NAME, value)
            for _ in range(40):
                await trio.sleep(0.1)
                assert fleet.nodes[holder].lease.is_held()
            await trio.sleep(14)
            assert fleet.nodes[holder].lease.fencing == fencing
            assert len(fleet.cloud.calls) > calls
            assert {c.holder for c in fleet.cloud.calls} == {holder}
            assert not fleet.cloud.conflicting_windows

    @pytest.mark.parametrize(
        "notes",
        [
            {"usage": 7, "usage_kept": 7},
            {"usage": {"window": "x", "counts": {}}, "usage_kept": {"x": {"y": 1}}},
            {"usage": {"window": 3, "counts": {"ada": []}}, "usage_kept": {"3": {}}},
        ],
    )
    async def test_unreadable_notes(self, autojump_clock, notes):
        """The notes for the next holder are corrupt when it acquires the lease."""
        async with platform_system(nodes=2, duties=["usage"]) as fleet:
            await trio.sleep(14)
            known = fleet.store.objects[LEASES][LEASE_NAME]["spec"]
            holder = known["holder"].partition("/")[0]
            fleet.kill(holder)
            fleet.store.put(LEASES, LEASE_NAME, known | {"notes": notes})
            calls = len(fleet.cloud.calls)
            await trio.sleep(14)
            [other] = set(fleet.nodes) - {holder}
            assert fleet.nodes[other].lease.is_held()
            assert len(fleet.cloud.calls) > calls

    @given(JSON)
    def test_any_record(self, value):
        assert LeaseRecord.from_value(value) is None

    @given(
        st.sampled_from(["holder", "fencing", "write_id", "duration_s", "notes"]), JSON
    )
    def test_any_field(self, name, value):
        valid = LeaseRecord("n0/1", 3, "w", 2.0).to_value()
        record = LeaseRecord.from_value(valid | {name: value})
        if record is not None:
            assert record.duration_s > 0 and record.fencing + 1 > 0

    @given(JSON)
    def test_any_usage(self, value):
        book = UsageTracker("n0", 1, 5.0)
        book.restore(value)
        book.restore({"3": {"n1/2": value}})
        assert book.total(3, ["ada"])["ada"] >= 0
