"""Splitting of an event stream into complete events."""

__all__ = ["EventSplitter"]

END = b"\n\n"
ID = b"id:"


class EventSplitter:
    r"""Buffer that splits an event stream into complete events.

    It also tracks the id of the last complete event.

    A server may fail in the middle of an event. A stream that resumes on another
    server must continue after the last complete event, or the caller would receive a
    corrupt one.

    Attributes
    ----------
    buffer : bytearray
        Start of an event that is not complete yet.
    last_id : bytes or None
        Id of the last complete event that has an id.

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
        self.buffer = bytearray()
        self.last_id: bytes | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the events that are complete now."""
        self.buffer += chunk
        end = self.buffer.rfind(END)
        length = len(END)
        crlf = self.buffer.rfind(b"\r\n\r\n")
        if crlf > end:
            end, length = crlf, 4
        if end < 0:
            return b""
        events = bytes(self.buffer[: end + length])
        del self.buffer[: end + length]
        self.record_last_id(events)
        return events

    def record_last_id(self, events: bytes) -> None:
        """Record the id of the last event that has one."""
        at = events.rfind(b"\n" + ID)
        if at >= 0:
            at += 1
        elif events.startswith(ID):
            at = 0
        else:
            return
        line = events[at + len(ID) :].split(b"\n", 1)[0]
        self.last_id = line.strip()
