"""Tests of the log line format, and that logging never affects the caller."""

import json
import os
import time

import pytest

from rosemaryknot.process import logs
from rosemaryknot.process.command_line import run_process
from rosemaryknot.process.settings import Settings


class Pipe:
    """A pipe that receives the log, and its read end."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)

    def lines(self) -> list[str]:
        """Return the lines written since the previous call."""
        data = b""
        try:
            while chunk := os.read(self.reader, 1 << 20):
                data += chunk
        except BlockingIOError:
            pass
        return data.decode().splitlines()


class Clock:
    """A monotonic clock that a test controls."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


class Unprintable:
    """A value that cannot be converted to text."""

    def __str__(self) -> str:
        raise RuntimeError


@pytest.fixture
def pipe():
    """Return a pipe to which the process logs."""
    pipe_to_logs = Pipe()
    logs.configure_logs(fd=pipe_to_logs.writer)
    yield pipe_to_logs
    logs.configure_logs(level="warning")
    os.close(pipe_to_logs.writer)
    os.close(pipe_to_logs.reader)


class TestLines:
    def test_text_format(self, pipe):
        logs.logger("route").info("chose waco-a-e1", request="r1", score=1.5)
        [line] = pipe.lines()
        _, rest = line.split(" ", 1)
        assert rest == "info route: chose waco-a-e1 request=r1 score=1.5"

    def test_json_format(self, pipe):
        logs.configure_logs("json", fd=pipe.writer)
        logs.logger("route").info("chose waco-a-e1", request="r1", scores={"e1": 1.5})
        [line] = map(json.loads, pipe.lines())
        assert line["part"] == "route"
        assert line["scores"] == {"e1": 1.5}

    def test_line_breaks_are_escaped(self, pipe):
        logs.logger("route").info("bad\n2026 info admin: x", name="a\n2026 info admin:")
        assert len(pipe.lines()) == 1

    def test_secrets_and_bytes_are_hidden(self, pipe):
        logs.logger("link").info("hello", cluster_key="hunter2", body=b"hunter2")
        [line] = pipe.lines()
        assert "hunter2" not in line
        assert "<7 bytes>" in line

    def test_level(self, pipe):
        logs.logger("link").debug("hello")
        assert pipe.lines() == []


class TestLineWriter:
    def test_rate_limit(self, pipe):
        """Lines above the rate limit are dropped and counted."""
        now_s = 7.2
        writer = logs.LineWriter(pipe.writer, 3, lambda: now_s)
        for number in range(5):
            writer.msg(f"line {number}")
        assert pipe.lines() == ["line 0", "line 1", "line 2"]
        assert writer.lost == 2
        now_s = 8.1
        writer.msg("next second")
        assert pipe.lines() == ["next second"]


class TestProcessExit:
    def test_last_lines_above_the_rate_limit(self, pipe):
        """A busy node shuts down after using up the line limit of the current second.

        Its last lines, which list the responses that it aborts, were dropped, and no
        later line reported their number. From the end of a shutdown on, some lines are
        buffered.
        """
        logs.configure_logs(fd=pipe.writer, max_lines_per_s=1)
        log = logs.logger("node")
        for number in range(3):
            log.info("answered", request=f"r{number}")
        logs.buffer_lines()
        log.info("response aborted", request="r9")
        log.info("stopped", cut_off=1)
        logs.flush_lines()
        *_, aborted, stopped = pipe.lines()
        assert "response aborted" in aborted and "lines_lost=2" in aborted
        assert "stopped" in stopped

    def test_slow_reader(self, pipe):
        """The log collector lags when a node shuts down, and continues shortly after.

        The pipe was full at the last line, so the line was dropped. It must be
        buffered and written once the process has no other work.
        """
        log = logs.logger("node")
        for number in range(1000):
            log.info("answered", request="r" * 100, number=number)
        logs.buffer_lines()
        log.info("stopped", cut_off=1)
        assert "stopped" not in pipe.lines()[-1]
        logs.flush_lines()
        [stopped] = pipe.lines()
        assert "stopped cut_off=1" in stopped

    def test_buffered_lines_are_written_at_exit(self, pipe):
        """The collector continues after the main function of a process has returned."""

        async def main(settings, stop, network):
            for number in range(1000):
                log.info("answered", request="r" * 100, number=number)
            logs.buffer_lines()
            log.info("stopped", cut_off=1)
            assert "stopped" not in pipe.lines()[-1]

        log = logs.logger("node")
        run_process(main, Settings("n0", "z0", "r"))
        [stopped] = pipe.lines()
        assert "stopped cut_off=1" in stopped

    def test_unresponsive_reader_does_not_block_exit(self, pipe):
        """The collector hangs permanently; the process must still exit."""
        log = logs.logger("node")
        for number in range(1000):
            log.info("answered", request="r" * 100, number=number)
        logs.buffer_lines()
        started_s = time.monotonic()
        for number in range(1000):
            log.info("response aborted", request="r" * 100, number=number)
        logs.flush_lines()
        assert time.monotonic() - started_s < 1
        os.close(pipe.reader)
        pipe.reader = os.open(os.devnull, os.O_RDONLY)
        log.info("stopped")
        logs.flush_lines()


class TestRobustness:
    def test_full_pipe_does_not_block(self, pipe):
        """The log collector hangs and must not block the streams of callers.

        The pipe fills up, the next write would block the only thread of the process,
        and all requests would wait for the collector. A line that does not fit is
        therefore dropped, and the next line that fits reports how many are missing.
        """
        log = logs.logger("route")
        for number in range(1000):
            log.info("chose waco-a-e1", request="r" * 100, number=number)
        written = pipe.lines()
        assert 100 < len(written) < 1000
        log.info("chose waco-a-e1", request="r1")
        assert pipe.lines()[0].endswith(f"lines_lost={1000 - len(written)}")

    def test_closed_pipe(self):
        pipe_to_logs = Pipe()
        logs.configure_logs(fd=pipe_to_logs.writer)
        os.close(pipe_to_logs.reader)
        logs.logger("route").info("chose waco-a-e1")
        os.close(pipe_to_logs.writer)
        logs.logger("route").info("chose waco-a-e1")
        logs.configure_logs(level="warning")

    def test_unprintable_value(self, pipe):
        log = logs.logger("route")
        log.info("chose waco-a-e1", server=Unprintable())
        log.info("next line")
        [line] = pipe.lines()
        assert line.endswith("route: next line lines_lost=1")


class TestRepeatLimit:
    @pytest.fixture
    def clock(self, pipe, monkeypatch):
        """Return the clock of the configured repeat limit."""
        clock = Clock()
        monkeypatch.setattr(logs.RepeatLimit.__init__, "__defaults__", (clock,))
        logs.configure_logs(fd=pipe.writer)
        return clock

    def test_repeats_are_suppressed(self, pipe, clock):
        """An engine refuses every request, which would flood the log.

        Ten lines of one text are written in ten seconds. The rest is counted, and the
        count is reported before the next line after the window is over.
        """
        log = logs.logger("route")
        for _ in range(25):
            log.warning("engine refused", request="r1")
        assert len(pipe.lines()) == logs.MAX_REPEATS
        clock.now_s = logs.REPEAT_WINDOW_S + 1
        log.warning("another text")
        summary, other = pipe.lines()
        assert "suppressed repeats of: engine refused left_out=15" in summary
        assert other.endswith("another text")

    def test_decisions_are_never_suppressed(self, pipe, clock):
        for number in range(50):
            logs.logger("route").info("chose waco-a-e1", request=f"r{number}")
        assert len(pipe.lines()) == 50

    def test_table_of_texts_is_bounded(self, pipe, clock):
        limit = logs.RepeatLimit(logs.render_text)
        writer = logs.LineWriter(pipe.writer)
        for number in range(3 * logs.MAX_TRACKED_TEXTS):
            event = {"part": "link", "event": f"lost {number}", "level": "warning"}
            limit(writer, "warning", event | {"timestamp": "now"})
        assert len(limit.texts) <= logs.MAX_TRACKED_TEXTS
