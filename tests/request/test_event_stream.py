"""Tests of the splitting of event streams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemaryknot.request.event_stream import MAX_EVENT_BYTES, EventSplitter

LINE_ENDS = [b"\n", b"\r\n", b"\r"]
MARK = b"\xef\xbb\xbf"


@st.composite
def streams(draw):
    """Draw the events of a stream, with line ends of one kind or mixed, and a cut."""
    ends = draw(st.sampled_from([*([end] for end in LINE_ENDS), LINE_ENDS]))
    events = []
    for number in range(draw(st.integers(1, 6))):
        lines = [b"id: %d" % number, b"data: piece %d" % number]
        if draw(st.booleans()):
            lines.insert(draw(st.integers(0, 2)), b": keep-alive")
        lines.append(b"")
        events.append(b"".join(line + draw(st.sampled_from(ends)) for line in lines))
    return (MARK if draw(st.booleans()) else b""), events


def split_at(data, sizes):
    """Return data in chunks of some sizes, which repeat."""
    chunks = []
    while data:
        size = sizes[len(chunks) % len(sizes)]
        chunks.append(data[:size])
        data = data[size:]
    return chunks


class TestEventSplitter:
    @given(streams(), st.lists(st.integers(1, 9), min_size=1))
    def test_chunks_do_not_matter(self, drawn, sizes):
        mark, events = drawn
        splitter = EventSplitter()
        passed = b""
        whole = mark + b"".join(events)
        for chunk in split_at(whole, sizes):
            passed += splitter.feed(chunk)
        assert whole.startswith(passed)
        assert passed + bytes(splitter.buffer) == whole
        # The last byte may be half of a line end, which more bytes would show.
        passed += splitter.feed(b": end\n\n")
        assert passed == whole + b": end\n\n"
        assert not splitter.is_inside_event
        assert splitter.last_id == b"%d" % (len(events) - 1)

    @given(streams(), st.integers(0, 200), st.lists(st.integers(1, 9), min_size=1))
    def test_only_complete_events_pass(self, drawn, size, sizes):
        mark, events = drawn
        whole = mark + b"".join(events)
        splitter = EventSplitter()
        passed = b"".join(splitter.feed(c) for c in split_at(whole[:size], sizes))
        ends = [len(mark) + sum(map(len, events[:n])) for n in range(len(events) + 1)]
        complete = [end for end in ends if end <= min(size, len(whole))]
        # In lines that end with CRLF, the last LF adds nothing to a complete event.
        assert {len(passed), len(passed) + 1} & {0, *complete}

    @pytest.mark.parametrize("end", LINE_ENDS)
    def test_end_inside_event(self, end):
        event = end.join([b"id: 7", b"data: a", b"", b""])
        for size in range(1, len(event)):
            splitter = EventSplitter()
            assert splitter.feed(event[:size]) == b""
            assert splitter.is_inside_event and not splitter.has_events
        splitter = EventSplitter()
        assert splitter.feed(event) == event
        assert not splitter.is_inside_event and splitter.last_id == b"7"

    @pytest.mark.parametrize("rest", [b"", b"\n", b": bye\n", MARK + b":\r\n\r\n"])
    def test_rest_without_event(self, rest):
        splitter = EventSplitter()
        splitter.feed(rest)
        assert not splitter.is_inside_event and not splitter.has_events

    def test_cut_comment_is_incomplete(self):
        splitter = EventSplitter()
        splitter.feed(b"data: a\n\n: keep-al")
        assert splitter.is_inside_event

    def test_long_event_is_searched_once(self):
        """A server that never ends an event must not cost time by its square."""
        splitter = EventSplitter()
        for _ in range(MAX_EVENT_BYTES // 1024):
            splitter.feed(b"x" * 1024)
        assert not splitter.is_too_large
        splitter.feed(b"x")
        assert splitter.is_too_large

    @pytest.mark.parametrize(
        ("ids", "is_out_of_order"),
        [
            ((3, 4), False),
            ((10, 11), False),
            ((2,), True),
            ((1,), True),
            ((3, 3), True),
        ],
    )
    def test_ids_of_resumed_stream(self, ids, is_out_of_order):
        splitter = EventSplitter(after=b"2")
        splitter.feed(b"".join(b"id: %d\ndata: a\n\n" % number for number in ids))
        assert splitter.is_out_of_order == is_out_of_order

    def test_ids_of_first_stream_are_the_servers(self):
        splitter = EventSplitter()
        splitter.feed(b"id: 5\ndata: a\n\nid: 5\ndata: b\n\n")
        assert not splitter.is_out_of_order
