"""Tests of the names after which the pages of a list go on."""

from urllib.parse import quote, unquote

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemaryknot.platform.list_cursors import MAX_CURSOR_CHARS, next_cursor
from rosemaryknot.platform.store_responses import names_of

ANY_NAME = st.text(st.characters(), max_size=12)
NAMES = st.lists(ANY_NAME, min_size=1, max_size=5, unique=True).map(sorted)
IDS = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1)


def is_read_as_written(cursor):
    return unquote(quote(cursor, safe=""), errors="strict") == cursor


class TestNextCursor:
    @given(NAMES)
    def test_every_url_carries_it(self, names):
        assert is_read_as_written(next_cursor(names))

    @given(NAMES, IDS)
    def test_no_valid_id_is_passed_over(self, names, server_id):
        """Guards against a list that leaves out servers in silence."""
        if server_id > names[-1]:
            assert server_id > next_cursor(names) or server_id in names

    @given(NAMES)
    def test_list_goes_on(self, names):
        """Guards against a page that is requested without end."""
        cursor = next_cursor(names)
        assert cursor in names or cursor > names[-1]

    @pytest.mark.parametrize(
        "names, expected",
        [
            (["a", "b"], "b"),
            (["a", "b&c", "b+"], "a"),
            (["a&b"], "a&b"),
            (["a\ud800"], "a\ufffd"),
            ([""], " "),
            (["x" * 501], "x" * MAX_CURSOR_CHARS + "\U0010ffff"),
        ],
    )
    def test_examples(self, names, expected):
        assert next_cursor(names) == expected


class TestNames:
    def test_items_that_are_no_objects(self):
        """Guards against a page that names no place to go on."""
        items = [None, 3, {}, {"metadata": 1}, {"metadata": {"name": 3}}]
        items += [{"metadata": {"name": "a\ud800", "revision": "x"}}]
        assert names_of(items) == ["a\ud800"]
