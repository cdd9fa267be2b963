"""Splitting of an event stream into complete events."""

import re

__all__ = ["EventSplitter", "is_event_stream"]

MEDIA_TYPE = "text/event-stream"
# Two line ends in a row, each of them CRLF, LF or CR. A CR that is the last byte so far
# may be the first half of CRLF, except in a stream whose lines end with CR alone.
EVENT_END = re.compile(rb"(?:\r\n|\n)(?:\r\n|\n|\r(?=[^\n]))|\r\r\n?")
# The longest part of an event end that can be received before the rest of it.
MAX_PARTIAL_END_BYTES = 3
ID_LINE = re.compile(rb"(?:\A(?:\xef\xbb\xbf)?|[\r\n])id:([^\r\n]*)(?=[\r\n])")
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
LF_EVENT_END = b"\n\n"
LF_ID_LINE = b"\nid:"
# Comments, empty lines and the byte order mark do not belong to any event.
NO_EVENT = re.compile(rb"(?:\xef\xbb\xbf)?(?::[^\r\n]*[\r\n]|[\r\n])*")
# An event carries a few tokens, so one that reaches this size never ends.
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    r"""Buffer that splits an event stream into complete events.

    It also tracks the id of the last complete event.

    A server may fail in the middle of an event. A stream that resumes on another
    server must continue after the last complete event, or the caller would receive a
    corrupt one.

    Parameters
    ----------
    after : bytes, optional
        Id after which the stream was resumed; all of its ids must be higher.

    Attributes
    ----------
    buffer : bytearray
        Start of an event that is not complete yet.
    last_id : bytes or None
        Id of the last complete event that has an id; empty if that event resets it.
    has_events : bool
        Whether any event was complete.
    is_out_of_order : bool
        Whether an id of a resumed stream is not higher than the one before.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id
    b'1'
    >>> splitter.is_inside_event
    True
    >>> splitter.feed(b"ta: b\r\n\r\n")
    b'id: 2\ndata: b\r\n\r\n'
    >>> splitter.last_id
    b'2'
    """

    def __init__(self, after: bytes | None = None) -> None:
        self.after = after
        self.buffer = bytearray()
        self.last_id: bytes | None = None
        self.has_events = False
        self.is_out_of_order = False

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return NO_EVENT.fullmatch(self.buffer) is None

    @property
    def is_too_large(self) -> bool:
        """Whether the incomplete event exceeds the maximum size."""
        return len(self.buffer) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the events that are complete now."""
        searched = max(0, len(self.buffer) - MAX_PARTIAL_END_BYTES)
        self.buffer += chunk
        size = complete_size(self.buffer, searched)
        if not size:
            return b""
        events = bytes(self.buffer[:size])
        del self.buffer[:size]
        self.has_events = self.has_events or NO_EVENT.fullmatch(events) is None
        for event_id in ids_of(events, all_ids=self.after is not None):
            self.record_id(event_id)
        return events

    def record_id(self, event_id: bytes) -> None:
        """Record the id of a complete event."""
        before = self.after if self.last_id is None else self.last_id
        if self.after is not None and not is_higher(event_id, before):
            self.is_out_of_order = True
        self.last_id = event_id


def complete_size(data: bytearray, start: int) -> int:
    """Return the size of the complete events at the start of a buffer.

    No event ends before ``start``. Nearly all streams have no CR, and then the search
    needs no regular expression.
    """
    if b"\r" not in data:
        at = data.rfind(LF_EVENT_END, start)
        return 0 if at < 0 else at + len(LF_EVENT_END)
    size = 0
    for end in EVENT_END.finditer(data, start):
        size = end.end()
    return size


def ids_of(events: bytes, all_ids: bool) -> list[bytes]:
    """Return the ids of events in order, or the last one only."""
    if all_ids or b"\r" in events or events.startswith(BYTE_ORDER_MARK):
        return [event_id.strip() for event_id in ID_LINE.findall(events)]
    at = events.rfind(LF_ID_LINE)
    if at < 0 and not events.startswith(LF_ID_LINE[1:]):
        return []
    start = at + len(LF_ID_LINE)
    return [events[start : events.index(b"\n", start)].strip()]


def is_higher(event_id: bytes, before: bytes) -> bool:
    """Return whether an event id is higher than another one, as far as is known.

    Examples
    --------
    >>> is_higher(b"10", b"9"), is_higher(b"9", b"9"), is_higher(b"b", b"a")
    (True, False, True)
    """
    if event_id.isdigit() and before.isdigit():
        return int(event_id) > int(before)
    return event_id != before


def is_event_stream(content_type: str | None) -> bool:
    """Return whether a response with a content type is an event stream.

    Examples
    --------
    >>> is_event_stream("text/event-stream; charset=utf-8"), is_event_stream(None)
    (True, False)
    """
    media_type = (content_type or "").partition(";")[0]
    return media_type.strip().lower() == MEDIA_TYPE
