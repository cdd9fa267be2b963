"""Tests of responses of the store with malformed items."""

import json
import time

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


SERVER = {"service": "s", "address": "10.1.0.1:80", "at": [1, {"zone": "z"}]}
TEXT = json.dumps(SERVER)


def item_text(name, value):
    metadata = json.dumps({"name": name, "revision": 5, "finalizers": []})
    return f'{{"metadata": {metadata}, "spec": {value}, "status": null}}'


def event_text(name, value):
    return f'{{"object": {item_text(name, value)}, "deleted": false}}'


def later_event_text(name, value):
    return f'{{"deleted": false, "object": {item_text(name, value)}}}'


COPIED = f"{item_text('c', 7)}, {item_text('copied', TEXT)}"
CUT_VALUES = [
    *(TEXT[:size] for size in range(len(TEXT))),
    *(TEXT + brackets for brackets in ("}", "]", "}]}")),
    *(bracket + TEXT for bracket in ("{", "[", "}", "]", '"')),
    "[" * 3000,
    '{"a": ' * 3000,
    f'{{"items": [{COPIED}, {item_text("z", TEXT)[:40]}',
    f'{{"items": [{COPIED}',
]


def is_json(text):
    try:
        json.loads(text)
    except (ValueError, RecursionError):
        return False
    return True


class TestCutValues:
    """Values whose bytes end early, or have a bracket too many."""

    def names_of(self, texts, items_name):
        page = f'{{"{items_name}": [{", ".join(texts)}], "storeRevision": 11}}'
        found = parse_page(page.encode(), items_name)
        assert found["storeRevision"] == 11
        if items_name == "items":
            objects = decode_objects(found["items"], "servers")
            return {name for name in objects if objects[name].value == SERVER}
        changes = decode_events(found["events"], "servers")
        return {change.name for change in changes if change.value == SERVER}

    @pytest.mark.parametrize(
        ("encode", "items_name"),
        [(item_text, "items"), (event_text, "events"), (later_event_text, "events")],
    )
    @pytest.mark.parametrize("place", range(4))
    def test_costs_only_its_own_entry(self, encode, items_name, place):
        """Guards against one cut entry that stops every node from following a list."""
        for value in CUT_VALUES:
            texts = [encode(name, TEXT) for name in "ace"]
            texts.insert(place, encode("odd", value))
            names = self.names_of(texts, items_name)
            assert names == {"a", "c", "e"}, value

    @pytest.mark.parametrize("first", CUT_VALUES[::5] + CUT_VALUES[-9:])
    def test_two_of_them(self, first):
        """Guards against two whose brackets match each other's."""
        for second in CUT_VALUES:
            texts = [
                item_text("odd", first),
                item_text("a", TEXT),
                item_text("other", second),
                item_text("c", TEXT),
            ]
            if is_json(f"[{', '.join(texts)}]"):
                # One sound value that holds the items between.
                continue
            names = self.names_of(texts, "items")
            assert names - {"copied"} == {"a", "c"}, second

    def test_many_heads_in_a_value(self):
        """Guards against a value that takes seconds to parse."""
        value = '{"metadata": {' * 60_000
        texts = [item_text(name, TEXT) for name in "ace"]
        texts.insert(1, item_text("odd", value))
        started_s = time.process_time()
        assert self.names_of(texts, "items") == {"a", "c", "e"}
        assert time.process_time() - started_s < 1.0


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
