"""Structured logging with structlog.

A line consists of a component prefix, a short message, and keys and values. Until a
main function calls `configure_logs`, only warnings and errors are written. A log call
never blocks and never raises an error, and the rate of lines is limited: see
`LineWriter`, `guarded_logger` and `RepeatLimit`.
"""

import json
import math
import os
import select
import time
import traceback
from collections import OrderedDict, deque
from collections.abc import Callable, MutableMapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import structlog

from rosemaryknot.process.decisions import record_decision

__all__ = [
    "LineWriter",
    "RepeatLimit",
    "configure_logs",
    "fault_fields",
    "flush_lines",
    "buffer_lines",
    "logger",
]

STDERR = 2
# A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF).
MAX_LINE_BYTES = 4096
# Limits for the last lines of a process if the reader of the log is slow: the number of
# buffered lines, and how long the process waits for the reader. The wait is a third of
# `SHUTDOWN_RESERVE_S`, the part of the grace period that a shutdown reserves.
MAX_BUFFERED_LINES = 300
FLUSH_TIMEOUT_S = 0.2
# See `RepeatLimit`.
MAX_REPEATS = 10
REPEAT_WINDOW_S = 10.0
MAX_TRACKED_TEXTS = 500
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
FIRST_KEYS = ("timestamp", "level", "part", "event")
SECRET_KEYS = frozenset({"authorization", "cluster_key", "key", "password", "secret"})

EventDict = MutableMapping[str, Any]

render_fields = structlog.processors.LogfmtRenderer(bool_as_flag=False)


def escape_line_breaks(text: str) -> str:
    r"""Return the text with escaped line breaks.

    Examples
    --------
    >>> escape_line_breaks("a\nb")
    'a\\nb'
    """
    return text.replace("\\", "\\\\").replace("\n", "\\n").replace("\r", "\\r")


def render_text(logger: Any, method: str, event: EventDict) -> str:
    """Render a line for human readers.

    Examples
    --------
    >>> line = {"timestamp": "12:00", "level": "info", "part": "route"}
    >>> render_text(None, "info", line | {"event": "chose waco-a-e1", "request": "r1"})
    '12:00 info route: chose waco-a-e1 request=r1'
    """
    message = "{timestamp} {level} {part}: ".format_map(event)
    message += escape_line_breaks(str(event["event"]))
    rest = {key: value for key, value in event.items() if key not in FIRST_KEYS}
    fields = render_fields(logger, method, rest)
    return f"{message} {fields}" if fields else message


def render_json(logger: Any, method: str, event: EventDict) -> str:
    """Render a line as one JSON object."""
    first = {key: event[key] for key in FIRST_KEYS}
    return json.dumps(first | dict(event), default=str)


def redact_secrets(logger: Any, method: str, event: EventDict) -> EventDict:
    """Replace values that may be secrets or caller input."""
    for key, value in event.items():
        if key in SECRET_KEYS:
            event[key] = "<hidden>"
        elif isinstance(value, bytes):
            event[key] = f"<{len(value)} bytes>"
    return event


def add_lost_count(writer: Any, method: str, event: EventDict) -> EventDict:
    """Add the number of lines lost since the last line written or buffered."""
    if writer.lost:
        event["lines_lost"] = writer.lost
    return event


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    Parameters
    ----------
    fd : int
        File descriptor.
    max_lines_per_s : float
        Maximum rate; lines above it are dropped and counted.
    clock : callable
        Returns the monotonic time in seconds.

    Attributes
    ----------
    lost : int
        Number of lines lost since the last one written or buffered.
    buffered : collections.deque of bytes
        Lines to write as soon as possible, oldest first.
    buffer_capacity : int
        Number of further lines that may be buffered.
    """

    def __init__(
        self,
        fd: int = STDERR,
        max_lines_per_s: float = math.inf,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.fd = fd
        self.max_lines_per_s = max_lines_per_s
        self.clock = clock
        self.lost = 0
        self.buffered: deque[bytes] = deque()
        self.buffer_capacity = 0
        self.second = 0
        self.lines = 0

    def exceeds_rate(self) -> bool:
        """Count a line; return whether it exceeds the limit of the current second.

        Without the limit, the logs would grow without bound under load, and writing
        them would take processor time from the requests.
        """
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.lines = 0
        self.lines += 1
        return self.lines > self.max_lines_per_s

    def msg(self, line: str) -> None:
        """Write or buffer a line, or count it as lost.

        If the reader stops reading, the pipe fills up, and a blocking write would stall
        all requests of the process. A line is therefore written only if the pipe polls
        as writable; it then accepts `MAX_LINE_BYTES` without blocking.
        """
        data = line.encode(errors="replace")[: MAX_LINE_BYTES - 1] + b"\n"
        is_over_rate = self.exceeds_rate()
        self.write_buffered()
        if not self.buffered and not is_over_rate and self.write(data):
            self.lost = 0
        elif self.buffer_capacity:
            self.buffer_capacity -= 1
            self.buffered.append(data)
            self.lost = 0
        else:
            self.lost += 1

    def write(self, data: bytes) -> bool:
        """Write a line if this does not block; return whether it was written."""
        try:
            if not self.is_writable():
                return False
            os.write(self.fd, data)
        except OSError:
            return False
        return True

    def write_buffered(self) -> None:
        """Write buffered lines until a write would block."""
        while self.buffered and self.write(self.buffered[0]):
            self.buffered.popleft()

    def enable_buffering(self) -> None:
        """Buffer further lines that cannot be written instead of dropping them.

        The last lines of a process report the work that it left incomplete. The number
        of dropped lines is reported by the next line, so the loss of the last ones
        would not be reported. Few lines follow, so a fixed limit on the buffered lines
        is sufficient.
        """
        self.buffer_capacity = MAX_BUFFERED_LINES

    def flush(self) -> None:
        """Write the buffered lines, waiting up to `FLUSH_TIMEOUT_S` for the reader.

        This blocks, so no other work may be running in the process.
        """
        deadline_s = time.monotonic() + FLUSH_TIMEOUT_S
        self.write_buffered()
        while self.buffered and (remaining_s := deadline_s - time.monotonic()) > 0:
            if not self.is_writable(remaining_s) or not self.write(self.buffered[0]):
                return
            self.buffered.popleft()

    debug = info = warning = error = critical = exception = msg

    def is_writable(self, wait_s: float = 0.0) -> bool:
        """Return whether a line can be written within the given time."""
        poll = select.poll()
        poll.register(self.fd, select.POLLOUT)
        return bool(poll.poll(wait_s * 1000))


@dataclass(slots=True)
class RepeatCount:
    """Number of times that a text was logged since the start of its time window."""

    since_s: float
    count: int = 0


class RepeatLimit:
    """Drops repeated lines and reports how many were dropped.

    An error that affects every request would otherwise write a line for each of them
    and hide all other lines. Info lines with a request id are never dropped: they
    report the decisions about that request, which operators search for.

    Parameters
    ----------
    render : callable
        Renders the line that reports the number of dropped lines.
    clock : callable
        Returns the monotonic time in seconds.

    Attributes
    ----------
    texts : collections.OrderedDict
        Counts by component and text, oldest window first; at most
        `MAX_TRACKED_TEXTS`.
    """

    def __init__(
        self,
        render: Callable[[Any, str, EventDict], str],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.render = render
        self.clock = clock
        self.texts: OrderedDict[tuple[str, str], RepeatCount] = OrderedDict()

    def __call__(self, writer: Any, method: str, event: EventDict) -> EventDict:
        """Return the line; drop it if its text was repeated too often."""
        now = self.clock()
        self.close_windows(writer, now, event["timestamp"])
        if event["level"] == "info" and "request" in event:
            return event
        key = (event["part"], str(event["event"]))
        repeats = self.texts.setdefault(key, RepeatCount(now))
        repeats.count += 1
        if repeats.count > MAX_REPEATS:
            raise structlog.DropEvent
        return event

    def close_windows(self, writer: Any, now: float, timestamp: str) -> None:
        """Close expired windows, and the oldest while too many texts are tracked."""
        while self.texts:
            (part, text), repeats = next(iter(self.texts.items()))
            if (
                now - repeats.since_s < REPEAT_WINDOW_S
                and len(self.texts) < MAX_TRACKED_TEXTS
            ):
                return
            del self.texts[part, text]
            if repeats.count > MAX_REPEATS:
                summary = {
                    "timestamp": timestamp,
                    "level": "warning",
                    "part": part,
                    "event": f"suppressed repeats of: {text}",
                    "left_out": repeats.count - MAX_REPEATS,
                    "window_s": round(now - repeats.since_s, 1),
                }
                writer.msg(self.render(writer, "warning", summary))


def guarded_logger(level: int) -> type:
    """Return a logger class with a minimum level whose methods never raise an error."""

    class GuardedLogger(structlog.make_filtering_bound_logger(level)):
        """Logger that drops and counts lines that cannot be rendered."""

        def _proxy_to_logger(self, *args: Any, **fields: Any) -> Any:
            try:
                return super()._proxy_to_logger(*args, **fields)
            except Exception:
                # A value that cannot be converted to text must not abort the request
                # that logs it. The line is counted as lost.
                self._logger.lost += 1
                return None

    return GuardedLogger


def configure_logs(
    format: str = "text",
    level: str = "info",
    fd: int = STDERR,
    max_lines_per_s: float = math.inf,
) -> None:
    """Configure the logs of this process.

    Parameters
    ----------
    format : str
        ``text`` for human readers or ``json`` for programs.
    level : str
        Minimum level that is written: debug, info, warning or error.
    fd : int
        File descriptor to write to.
    max_lines_per_s : float
        Maximum rate; lines above it are dropped and counted.
    """
    render = render_json if format == "json" else render_text
    writer = LineWriter(fd, max_lines_per_s)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            record_decision,
            RepeatLimit(render),
            redact_secrets,
            add_lost_count,
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=guarded_logger(LEVELS[level]),
        logger_factory=lambda *args: writer,
        cache_logger_on_first_use=False,
    )


def logger(part: str) -> Any:
    """Return the logger of a component.

    Parameters
    ----------
    part : str
        Name of the component, which is the prefix of its lines, such as ``route``.

    Returns
    -------
    logger : structlog.typing.FilteringBoundLogger
        Called as ``log.info("chose waco-a-e1", request=request_id)``.
    """
    return structlog.get_logger(part=part)


def fault_fields(error: BaseException) -> dict[str, str]:
    """Return log fields that tell which fault of this program an exception shows.

    The message of the exception is left out, as it may contain text of a caller.

    Examples
    --------
    >>> try:
    ...     {}["x"]
    ... except KeyError as error:
    ...     fault_fields(error)["error"]
    'KeyError'
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
    return {"error": type(error).__name__, "place": place}


def buffer_lines() -> None:
    """Buffer lines that cannot be written; see `LineWriter.enable_buffering`."""
    current_line_writer().enable_buffering()


def flush_lines() -> None:
    """Write the buffered lines at the end of a process; see `LineWriter.flush`."""
    current_line_writer().flush()


def current_line_writer() -> LineWriter:
    """Return the line writer of this process."""
    return structlog.get_config()["logger_factory"]()


configure_logs(level="warning")
