"""Deterministic runs in virtual time: equal seeds give equal runs."""

import hashlib
from collections.abc import Awaitable, Callable, Iterator, MutableMapping
from contextlib import contextmanager
from typing import Any

import structlog
import trio
from trio._core import _run as trio_scheduler
from trio.testing import MockClock

from rosemaryknot.process.decisions import record_decision
from rosemaryknot.process.logs import LineWriter, redact_secrets, render_text
from rosemaryknot.replay.hosts import HostInstrument

__all__ = ["DecisionLog", "run_in_virtual_time"]

DIGEST_HEX_DIGITS = 16
INFO_LEVEL = 20


class DecisionLog:
    """Digest of the log lines of a run, each with its virtual time.

    Parameters
    ----------
    shown : bool
        Whether the lines are also written to standard error.

    Attributes
    ----------
    lines : int
        Number of lines so far.
    """

    def __init__(self, shown: bool = False) -> None:
        self.shown = shown
        self.lines = 0
        self.hash = hashlib.sha256()
        self.writer = LineWriter()

    @contextmanager
    def recording(self) -> Iterator[None]:
        """Add all log lines of this process to the digest within the context."""
        before = structlog.get_config()
        structlog.configure(
            processors=[
                structlog.processors.add_log_level,
                record_decision,
                redact_secrets,
                self.add_line,
            ],
            wrapper_class=structlog.make_filtering_bound_logger(INFO_LEVEL),
            logger_factory=lambda *args: self.writer,
            cache_logger_on_first_use=False,
        )
        try:
            yield
        finally:
            structlog.configure(**before)

    def add_line(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any] | str:
        """Add one line to the digest; a structlog processor."""
        event["timestamp"] = f"{trio.current_time():.6f}"
        line = render_text(logger, method, event)
        self.lines += 1
        self.hash.update(line.encode(errors="replace") + b"\n")
        if not self.shown:
            raise structlog.DropEvent
        return line

    @property
    def digest(self) -> str:
        """Hexadecimal digest of all lines, shortened."""
        return self.hash.hexdigest()[:DIGEST_HEX_DIGITS]


def run_in_virtual_time(
    seed: int, function: Callable[..., Awaitable[Any]], *args: Any
) -> Any:
    """Run an async function over freezable hosts in virtual time.

    Trio schedules runnable tasks in random order, so that programs do not depend on a
    particular order. This function enables trio's internal switch that sorts them and
    seeds its random number generator, as trio's pytest plugin does to repeat a run.

    Parameters
    ----------
    seed : int
        Seed of the order in which tasks are scheduled.
    function : callable
        Async function to run.
    *args
        Arguments of the function.

    Returns
    -------
    value
        Return value of the function.
    """
    sorted_before = trio_scheduler._ALLOW_DETERMINISTIC_SCHEDULING
    state_before = trio_scheduler._r.getstate()
    trio_scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_scheduler._r.seed(seed)
    try:
        clock = MockClock(autojump_threshold=0)
        return trio.run(function, *args, clock=clock, instruments=[HostInstrument()])
    finally:
        trio_scheduler._ALLOW_DETERMINISTIC_SCHEDULING = sorted_before
        trio_scheduler._r.setstate(state_before)
