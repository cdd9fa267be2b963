"""Tests of the store's client against the stand-in."""

import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.platform.store import PlatformStore
from rosemaryknot.platform.store_responses import decode_objects
from rosemaryknot.standin.users.store import StoreStandIn
from rosemaryknot.values.nodes import Address
from rosemaryknot.values.platform import Missing, StoredObject, Written

ADDRESS = Address("10.0.0.1", 8361)
# Text that UTF-8 can encode.
NAMES = st.text(st.characters(codec="utf-8"), min_size=1, max_size=8)


async def use_object(name: str, other: str) -> None:
    """Write, read and delete an object beside another one."""
    async with trio.open_nursery() as nursery:
        network = MemoryNetwork("10.0.0.2")
        standin = StoreStandIn()
        await nursery.start(
            standin.server.serve, network.with_host(ADDRESS.host), ADDRESS
        )
        store = PlatformStore(network, ADDRESS)
        standin.put("k", other, "other")
        created = await store.create("k", name, 1)
        assert isinstance(created, Written)
        updated = await store.update("k", name, 2, created.version)
        assert isinstance(updated, Written)
        assert await store.read("k", name) == StoredObject(updated.version, 2)
        assert isinstance(await store.delete("k", name, updated.version), Written)
        assert isinstance(await store.read("k", name), Missing)
        assert set(standin.objects["k"]) == {other}
        await store.aclose()
        nursery.cancel_scope.cancel()


class TestNames:
    @settings(max_examples=60, deadline=None)
    @given(st.lists(NAMES, min_size=2, max_size=2, unique=True))
    @example(["..", "."])
    @example(["a/b", "a"])
    def test_any_name_is_that_of_its_object(self, names):
        """Guards against a call that reaches another object, or the list of a kind."""
        trio.run(use_object, *names, clock=MockClock(autojump_threshold=0))

    def test_name_too_long_for_a_message(self):
        """Guards against a name that makes a message between nodes too large."""
        item = {"metadata": {"name": "n" * 50_000, "revision": 3}, "spec": {}}
        assert decode_objects([item], "servers") == {}
