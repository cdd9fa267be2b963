"""Tests of the store's answers of which one item is no object, or no JSON."""

import json

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemaryknot.platform.store_answers import (
    AnswerError,
    changed_objects,
    item_of,
    objects_of,
    page_of,
    stored_object,
)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
GOOD = {"metadata": {"name": "a", "revision": 5}, "spec": {"x": 1}}
LAST = {"metadata": {"name": "z", "revision": 9}, "spec": {"x": 2}}
SPOILT = [
    b"{metadata}",
    b"NaN",
    b'"\xff\xfe"',
    b"[" * 3000 + b"]" * 3000,
    b"9" * 5000,
    b'{"metadata": {"name": "b", "revision": 6}, "spec": {"n": ' + b"9" * 5000 + b"}}",
    b'{"metadata": {"name": "b", "revision": 6}, "spec": {"t": "\xff\\"]"}, "y": ?}',
    b'{"metadata": {"name": "b", "revision": 6}, "spec": {"t": "\\ud800"}}',
    b'{"metadata": {"name": "b", "revision": true}, "spec": {}}',
    b'{"metadata": {"name": "\\ud800", "revision": 7}, "spec": {}}',
    b'{"metadata": {"name": "b", "revision": 6}, "spec": "' + b"x" * 50_000 + b'"}',
]


def page_with(items: bytes, name: str = "items") -> bytes:
    good, last = (json.dumps(item).encode() for item in (GOOD, LAST))
    return b'{"%s": [%s, %s, %s], "storeRevision": 11, "hasMore": false}' % (
        name.encode(),
        good,
        items,
        last,
    )


class TestList:
    @pytest.mark.parametrize("spoilt", SPOILT)
    def test_the_others_hold(self, spoilt):
        """One item cannot be read; the answer was lost whole, and the others too."""
        page = page_of(page_with(spoilt), "items")
        objects = objects_of(page["items"], "servers")
        assert (objects["a"].value, objects["z"].value) == ({"x": 1}, {"x": 2})
        assert page["storeRevision"] == 11
        if "b" in objects:
            assert not isinstance(objects["b"].value, dict)

    def test_large_value_of_a_server(self):
        """Some of a megabyte each make a message that is too large to be told."""
        item = GOOD | {"spec": {"zone": "x" * 50_000}}
        assert stored_object(item, "servers").value == "unreadable entry"
        assert stored_object(item, "config").value == item["spec"]

    def test_spoilt_entry_is_known_by_its_name(self):
        page = page_of(page_with(SPOILT[5]), "items")
        found = objects_of(page["items"], "servers")["b"]
        assert (found.version, found.value) == (6, "unreadable entry")

    @given(JSON)
    def test_any_item(self, item):
        text = json.dumps(item).encode()
        objects = objects_of(page_of(page_with(text), "items")["items"], "servers")
        assert {"a", "z"} <= set(objects)
        msgpack.packb({name: found.value for name, found in objects.items()})

    @given(st.binary(max_size=60))
    def test_any_bytes(self, data):
        """Bytes that hide where the item ends give an error and nothing else."""
        try:
            page = page_of(page_with(data), "items")
        except AnswerError:
            return
        objects_of(page["items"], "servers")

    @given(st.binary(max_size=200))
    def test_any_answer(self, data):
        with pytest.raises(AnswerError):
            page_of(data, "items")


class TestWatch:
    @pytest.mark.parametrize("spoilt", SPOILT)
    def test_the_others_hold(self, spoilt):
        event = b'{"object": %s, "deleted": false}'
        good, last = (event % json.dumps(item).encode() for item in (GOOD, LAST))
        content = b'{"events": [%s, %s, %s], "storeRevision": 11}'
        content %= (good, event % spoilt, last)
        page = page_of(content, "events")
        changes = changed_objects(page["events"], "servers")
        assert [changes[0].name, changes[-1].name] == ["a", "z"]
        for change in changes[1:-1]:
            assert change.name == "b" and not isinstance(change.value, dict)

    def test_spoilt_deletion_is_one(self):
        event = b'{"object": %s, "deleted": true}' % SPOILT[5]
        page = page_of(b'{"events": [%s], "storeRevision": 11}' % event, "events")
        [change] = changed_objects(page["events"], "servers")
        assert (change.name, change.deleted) == ("b", True)

    @given(st.lists(JSON, max_size=4))
    def test_any_events(self, events):
        for change in changed_objects(events, "servers"):
            msgpack.packb([change.name, change.version, change.value])


class TestRead:
    @given(st.binary(max_size=200) | JSON.map(lambda v: json.dumps(v).encode()))
    def test_any_answer(self, data):
        found = stored_object(item_of(data), "leases")
        assert found is None or isinstance(found.version, int)
