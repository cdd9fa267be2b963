"""Logs by structlog: short sentences with the part's prefix, then keys and values.

Until a main calls `configure_logs`, only warnings and errors are written. A line
never blocks, breaks or fills up the caller: see `LineWriter`, `RepeatLimit` and
`guarded_logger`.
"""

import json
import math
import os
import select
import time
from collections import OrderedDict, deque
from collections.abc import Callable, MutableMapping
from dataclasses import dataclass
from typing import Any

import structlog

from rosemaryknot.process.decisions import remember_line

__all__ = [
    "LineWriter",
    "RepeatLimit",
    "configure_logs",
    "flush_lines",
    "hold_lines",
    "logger",
]

STDERR = 2
# A pipe that polls as writable takes this many bytes without blocking (PIPE_BUF).
MAX_LINE_BYTES = 4096
# Lines at the end of a process that are held where they cannot be written, and how
# long it waits for their reader then: a third of what a stop leaves of its grace.
MAX_HELD = 300
FLUSH_S = 0.2
REPEATS = 10
WINDOW_S = 10.0
MAX_TEXTS = 500
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
FIRST_KEYS = ("timestamp", "level", "part", "event")
SECRET_KEYS = frozenset({"authorization", "cluster_key", "key", "password", "secret"})

EventDict = MutableMapping[str, Any]

render_fields = structlog.processors.LogfmtRenderer(bool_as_flag=False)


def one_line(text: str) -> str:
    r"""Return the text without line breaks.

    Examples
    --------
    >>> one_line("a\nb")
    'a\\nb'
    """
    return text.replace("\\", "\\\\").replace("\n", "\\n").replace("\r", "\\r")


def render_text(logger: Any, method: str, event: EventDict) -> str:
    """Render a line for people.

    Examples
    --------
    >>> line = {"timestamp": "12:00", "level": "info", "part": "route"}
    >>> render_text(None, "info", line | {"event": "chose waco-a-e1", "request": "r1"})
    '12:00 info route: chose waco-a-e1 request=r1'
    """
    head = "{timestamp} {level} {part}: ".format_map(event)
    head += one_line(str(event["event"]))
    rest = {key: value for key, value in event.items() if key not in FIRST_KEYS}
    fields = render_fields(logger, method, rest)
    return f"{head} {fields}" if fields else head


def render_json(logger: Any, method: str, event: EventDict) -> str:
    """Render a line for programs: one JSON object."""
    first = {key: event[key] for key in FIRST_KEYS}
    return json.dumps(first | dict(event), default=str)


def hide_secrets(logger: Any, method: str, event: EventDict) -> EventDict:
    """Replace values that may be secrets or caller text."""
    for key, value in event.items():
        if key in SECRET_KEYS:
            event[key] = "<hidden>"
        elif isinstance(value, bytes):
            event[key] = f"<{len(value)} bytes>"
    return event


def add_lost(writer: Any, method: str, event: EventDict) -> EventDict:
    """Add how many lines could not be written before this one."""
    if writer.lost:
        event["lines_lost"] = writer.lost
    return event


class LineWriter:
    """Write lines to a file descriptor without ever waiting for it.

    Parameters
    ----------
    fd : int
        File descriptor.
    max_lines_per_s : float
        Lines beyond it are dropped and counted.
    clock : callable
        Monotonic time in seconds.

    Attributes
    ----------
    lost : int
        Lines that could not be written since the last one that could.
    held : collections.deque of bytes
        Lines to write as soon as there is room, oldest first.
    room : int
        How many more may be held.
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
        self.held: deque[bytes] = deque()
        self.room = 0
        self.second = 0
        self.lines = 0

    def is_over(self) -> bool:
        """Count a line; tell whether it is beyond the bound of its second.

        Load would otherwise grow the logs without end, and the time to write them
        would go off the requests.
        """
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.lines = 0
        self.lines += 1
        return self.lines > self.max_lines_per_s

    def msg(self, line: str) -> None:
        """Write a line, or count it as lost.

        A reader that stops reading fills the pipe, and a blocking write would then
        freeze every request of the process. So a line is written only when it fits:
        a pipe that polls as writable has room for `MAX_LINE_BYTES`.
        """
        data = line.encode(errors="replace")[: MAX_LINE_BYTES - 1] + b"\n"
        is_over = self.is_over()
        self.write_held()
        if not self.held and not is_over and self.write(data):
            self.lost = 0
        elif self.room:
            self.room -= 1
            self.held.append(data)
            self.lost = 0
        else:
            self.lost += 1

    def write(self, data: bytes) -> bool:
        """Write a line where it fits; tell whether it did."""
        try:
            if not self.writable():
                return False
            os.write(self.fd, data)
        except OSError:
            return False
        return True

    def write_held(self) -> None:
        """Write the lines that are held, as far as they fit."""
        while self.held and self.write(self.held[0]):
            self.held.popleft()

    def hold(self) -> None:
        """Hold the next lines that cannot be written, in place of dropping them.

        The last lines of a process tell what it left undone. Dropped, they would be
        counted by nobody, since no line follows; a bound on them is enough, since
        little is logged after them.
        """
        self.room = MAX_HELD

    def flush(self) -> None:
        """Write the lines that are held, waiting a moment for their reader.

        It blocks, so nothing else may be at work in the process.
        """
        until_s = time.monotonic() + FLUSH_S
        self.write_held()
        while self.held and (left_s := until_s - time.monotonic()) > 0:
            if not self.writable(left_s) or not self.write(self.held[0]):
                return
            self.held.popleft()

    debug = info = warning = error = critical = exception = msg

    def writable(self, wait_s: float = 0.0) -> bool:
        """Tell whether a line can be written without waiting, or after a wait."""
        poll = select.poll()
        poll.register(self.fd, select.POLLOUT)
        return bool(poll.poll(wait_s * 1000))


@dataclass(slots=True)
class Repeats:
    """How often a text was logged in its window."""

    since_s: float
    count: int = 0


class RepeatLimit:
    """Leave out lines that repeat, and say how many were left out.

    A fault that every request meets would otherwise write a line for each and hide
    all others. An info line with a request id stays whatever its number: it is that
    request's decision, which operators look for.

    Parameters
    ----------
    render : callable
        Renders the line that tells the number left out.
    clock : callable
        Monotonic time in seconds.

    Attributes
    ----------
    texts : collections.OrderedDict
        Repeats by part and text, oldest window first; at most `MAX_TEXTS`.
    """

    def __init__(
        self,
        render: Callable[[Any, str, EventDict], str],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.render = render
        self.clock = clock
        self.texts: OrderedDict[tuple[str, str], Repeats] = OrderedDict()

    def __call__(self, writer: Any, method: str, event: EventDict) -> EventDict:
        """Pass the line on, or drop it."""
        now = self.clock()
        self.close_windows(writer, now, event["timestamp"])
        if event["level"] == "info" and "request" in event:
            return event
        text = (event["part"], str(event["event"]))
        repeats = self.texts.setdefault(text, Repeats(now))
        repeats.count += 1
        if repeats.count > REPEATS:
            raise structlog.DropEvent
        return event

    def close_windows(self, writer: Any, now: float, timestamp: str) -> None:
        """End the windows that are over, and as many more as the bound asks."""
        while self.texts:
            (part, text), repeats = next(iter(self.texts.items()))
            if now - repeats.since_s < WINDOW_S and len(self.texts) < MAX_TEXTS:
                return
            del self.texts[part, text]
            if repeats.count > REPEATS:
                summary = {
                    "timestamp": timestamp,
                    "level": "warning",
                    "part": part,
                    "event": f"left out repeats of: {text}",
                    "left_out": repeats.count - REPEATS,
                    "window_s": round(now - repeats.since_s, 1),
                }
                writer.msg(self.render(writer, "warning", summary))


def guarded_logger(level: int) -> type:
    """Return a logger class for a level whose calls never raise."""

    class GuardedLogger(structlog.make_filtering_bound_logger(level)):
        """Logger that drops a line it cannot render."""

        def _proxy_to_logger(self, *args: Any, **fields: Any) -> Any:
            try:
                return super()._proxy_to_logger(*args, **fields)
            except Exception:
                # A value whose text cannot be made must not end the request that
                # logs it; the counter in the writer tells that one is missing.
                self._logger.lost += 1
                return None

    return GuardedLogger


def configure_logs(
    format: str = "text",
    level: str = "info",
    fd: int = STDERR,
    max_lines_per_s: float = math.inf,
) -> None:
    """Set up the logs of this process.

    Parameters
    ----------
    format : str
        ``text`` for people or ``json`` for programs.
    level : str
        Lowest level that is written: debug, info, warning or error.
    fd : int
        File descriptor that takes the lines.
    max_lines_per_s : float
        Lines beyond it are dropped and counted.
    """
    render = render_json if format == "json" else render_text
    writer = LineWriter(fd, max_lines_per_s)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            remember_line,
            RepeatLimit(render),
            hide_secrets,
            add_lost,
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=guarded_logger(LEVELS[level]),
        logger_factory=lambda *args: writer,
        cache_logger_on_first_use=False,
    )


def logger(part: str) -> Any:
    """Return the logger of a part.

    Parameters
    ----------
    part : str
        Fixed prefix of its lines, such as ``route``.

    Returns
    -------
    logger : structlog.typing.FilteringBoundLogger
        Called as ``log.info("chose waco-a-e1", request=request_id)``.
    """
    return structlog.get_logger(part=part)


def hold_lines() -> None:
    """Hold the lines that cannot be written from now on; see `LineWriter.hold`."""
    current_writer().hold()


def flush_lines() -> None:
    """Write what is held at the end of a process; see `LineWriter.flush`."""
    current_writer().flush()


def current_writer() -> LineWriter:
    """Return the writer of this process's lines."""
    return structlog.get_config()["logger_factory"]()


configure_logs(level="warning")
