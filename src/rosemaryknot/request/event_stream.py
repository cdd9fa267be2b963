"""Whole events of an event stream."""

__all__ = ["EventSplitter"]

END = b"\n\n"
ID = b"id:"


class EventSplitter:
    r"""Holds an event back until it is whole, and knows the last one's id.

    A server may stop in the middle of an event. A stream that goes on elsewhere must
    go on behind the last whole one, or its caller gets a torn event.

    Attributes
    ----------
    rest : bytearray
        The beginning of an event that is not whole yet.
    last_id : bytes or None
        Id of the last whole event.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id
    b'1'
    >>> splitter.feed(b"ta: b\r\n\r\n")
    b'id: 2\ndata: b\r\n\r\n'
    >>> splitter.last_id
    b'2'
    """

    def __init__(self) -> None:
        self.rest = bytearray()
        self.last_id: bytes | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that are whole now."""
        self.rest += chunk
        end = self.rest.rfind(END)
        length = len(END)
        crlf = self.rest.rfind(b"\r\n\r\n")
        if crlf > end:
            end, length = crlf, 4
        if end < 0:
            return b""
        events = bytes(self.rest[: end + length])
        del self.rest[: end + length]
        self.note_ids(events)
        return events

    def note_ids(self, events: bytes) -> None:
        """Remember the last id."""
        at = events.rfind(b"\n" + ID)
        if at >= 0:
            at += 1
        elif events.startswith(ID):
            at = 0
        else:
            return
        line = events[at + len(ID) :].split(b"\n", 1)[0]
        self.last_id = line.strip()
