"""Properties of a backend server's response, and the log line of its end."""

from rosemaryknot.connection.gateway_server import ServerConnection
from rosemaryknot.process.logs import logger
from rosemaryknot.request.event_stream import EventSplitter, is_event_stream
from rosemaryknot.values.gateway import Headers
from rosemaryknot.values.gateway_responses import Completed, Framing, ResponseHead

__all__ = ["DIRECT_PATH", "log_response_end", "may_be_event_stream", "stream_headers"]

# Path of a connection that no peer relays, in log lines.
DIRECT_PATH = "direct"

log = logger("gateway")


def may_be_event_stream(head: ResponseHead) -> bool:
    """Return whether a successful response on a streaming route is an event stream.

    It is one unless the server states another type.
    """
    for name, value in head.headers:
        if name == b"content-type":
            return is_event_stream(value.decode("latin-1"))
    return True


def stream_headers(head: ResponseHead) -> Headers:
    """Return the headers of a stream without its length.

    A stream may be resumed at another server, so the first one cannot know the length.
    """
    return [pair for pair in head.headers if pair[0] != b"content-length"]


def log_response_end(
    request_id: str,
    connection: ServerConnection,
    splitter: EventSplitter,
    outcome: object,
    after_s: float,
) -> None:
    """Log how a response ended, unless its framing and its content were complete.

    Callers see only whether their own response is complete; an end by close, an end
    inside an event and a reset can be told apart here.

    Parameters
    ----------
    request_id : str
        Id of the request.
    connection : ServerConnection
        Connection to the server.
    splitter : EventSplitter
        Splitter of the response, if it is a stream.
    outcome : object
        Outcome of the attempt.
    after_s : float
        Time since the attempt began, in seconds.
    """
    if connection.framing is None:
        return
    is_complete = isinstance(outcome, Completed)
    if is_complete and connection.framing is not Framing.CLOSE:
        return
    last_id = splitter.last_id
    log.info(
        "response ended",
        request=request_id,
        server=connection.server.id,
        server_born=connection.server.born,
        path=connection.peer or DIRECT_PATH,
        outcome=type(outcome).__name__,
        reason=getattr(outcome, "reason", None),
        framing=connection.framing,
        is_closed_by_server=connection.is_closed_by_server,
        body_bytes=connection.body_bytes,
        last_event_id=None if last_id is None else last_id.decode("latin-1"),
        incomplete_event_bytes=len(splitter.buffer),
        after_s=round(after_s, 3),
    )
