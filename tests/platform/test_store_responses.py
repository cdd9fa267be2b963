"""Tests of responses of the store with malformed items."""

import json

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemaryknot.platform.store_responses import (
    AnswerError,
    decode_events,
    decode_object,
    decode_objects,
    parse_item,
    parse_page,
)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
VALID_ITEM = {"metadata": {"name": "a", "revision": 5}, "spec": {"x": 1}}
LAST_ITEM = {"metadata": {"name": "z", "revision": 9}, "spec": {"x": 2}}
MALFORMED_ITEMS = [
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
    valid, last = (json.dumps(item).encode() for item in (VALID_ITEM, LAST_ITEM))
    return b'{"%s": [%s, %s, %s], "storeRevision": 11, "hasMore": false}' % (
        name.encode(),
        valid,
        items,
        last,
    )


class TestList:
    @pytest.mark.parametrize("malformed", MALFORMED_ITEMS)
    def test_other_items_are_kept(self, malformed):
        """One malformed item must not make the whole response unusable."""
        page = parse_page(page_with(malformed), "items")
        objects = decode_objects(page["items"], "servers")
        assert (objects["a"].value, objects["z"].value) == ({"x": 1}, {"x": 2})
        assert page["storeRevision"] == 11
        if "b" in objects:
            assert not isinstance(objects["b"].value, dict)

    def test_large_value_of_a_server(self):
        """A few entries of a megabyte each would exceed the largest message."""
        item = VALID_ITEM | {"spec": {"zone": "x" * 50_000}}
        assert decode_object(item, "servers").value == "unreadable entry"
        assert decode_object(item, "config").value == item["spec"]

    def test_malformed_entry_keeps_its_name(self):
        page = parse_page(page_with(MALFORMED_ITEMS[5]), "items")
        found = decode_objects(page["items"], "servers")["b"]
        assert (found.version, found.value) == (6, "unreadable entry")

    @given(JSON)
    def test_any_item(self, item):
        text = json.dumps(item).encode()
        objects = decode_objects(
            parse_page(page_with(text), "items")["items"], "servers"
        )
        assert {"a", "z"} <= set(objects)
        msgpack.packb({name: found.value for name, found in objects.items()})

    @given(st.binary(max_size=60))
    def test_any_bytes(self, data):
        """Bytes that hide the end of an item raise `AnswerError` and nothing else."""
        try:
            page = parse_page(page_with(data), "items")
        except AnswerError:
            return
        decode_objects(page["items"], "servers")

    @given(st.binary(max_size=200))
    def test_any_answer(self, data):
        with pytest.raises(AnswerError):
            parse_page(data, "items")


class TestWatch:
    @pytest.mark.parametrize("malformed", MALFORMED_ITEMS)
    def test_other_items_are_kept(self, malformed):
        event = b'{"object": %s, "deleted": false}'
        valid, last = (
            event % json.dumps(item).encode() for item in (VALID_ITEM, LAST_ITEM)
        )
        content = b'{"events": [%s, %s, %s], "storeRevision": 11}'
        content %= (valid, event % malformed, last)
        page = parse_page(content, "events")
        changes = decode_events(page["events"], "servers")
        assert [changes[0].name, changes[-1].name] == ["a", "z"]
        for change in changes[1:-1]:
            assert change.name == "b" and not isinstance(change.value, dict)

    def test_malformed_deletion_is_reported(self):
        event = b'{"object": %s, "deleted": true}' % MALFORMED_ITEMS[5]
        page = parse_page(b'{"events": [%s], "storeRevision": 11}' % event, "events")
        [change] = decode_events(page["events"], "servers")
        assert (change.name, change.deleted) == ("b", True)

    @given(st.lists(JSON, max_size=4))
    def test_any_events(self, events):
        for change in decode_events(events, "servers"):
            msgpack.packb([change.name, change.version, change.value])


class TestRead:
    @given(st.binary(max_size=200) | JSON.map(lambda v: json.dumps(v).encode()))
    def test_any_answer(self, data):
        found = decode_object(parse_item(data), "leases")
        assert found is None or isinstance(found.version, int)
