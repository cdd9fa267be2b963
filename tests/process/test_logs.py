"""Logs: what a line looks like, and that logging never harms the caller."""

import json
import os
import time

import pytest

from rosemaryknot.process import logs
from rosemaryknot.process.command_line import run_process
from rosemaryknot.process.settings import Settings


class Pipe:
    """A pipe that takes the log, with its reading end."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)

    def lines(self) -> list[str]:
        """Return the lines written since the last call."""
        data = b""
        try:
            while chunk := os.read(self.reader, 1 << 20):
                data += chunk
        except BlockingIOError:
            pass
        return data.decode().splitlines()


class Clock:
    """Monotonic time that a test moves."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


class Unprintable:
    """A value whose text cannot be made."""

    def __str__(self) -> str:
        raise RuntimeError


@pytest.fixture
def pipe():
    """Return a pipe that the process logs to."""
    taken = Pipe()
    logs.configure_logs(fd=taken.writer)
    yield taken
    logs.configure_logs(level="warning")
    os.close(taken.writer)
    os.close(taken.reader)


class TestLines:
    def test_text_for_people(self, pipe):
        logs.logger("route").info("chose waco-a-e1", request="r1", score=1.5)
        [line] = pipe.lines()
        _, rest = line.split(" ", 1)
        assert rest == "info route: chose waco-a-e1 request=r1 score=1.5"

    def test_json_for_programs(self, pipe):
        logs.configure_logs("json", fd=pipe.writer)
        logs.logger("route").info("chose waco-a-e1", request="r1", scores={"e1": 1.5})
        [line] = map(json.loads, pipe.lines())
        assert line["part"] == "route"
        assert line["scores"] == {"e1": 1.5}

    def test_line_break_in_a_value_forges_no_line(self, pipe):
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
    def test_bound_in_a_second(self, pipe):
        """Many requests write many lines; the bound drops some and counts them."""
        now_s = 7.2
        writer = logs.LineWriter(pipe.writer, 3, lambda: now_s)
        for number in range(5):
            writer.msg(f"line {number}")
        assert pipe.lines() == ["line 0", "line 1", "line 2"]
        assert writer.lost == 2
        now_s = 8.1
        writer.msg("next second")
        assert pipe.lines() == ["next second"]


class TestEndOfAProcess:
    def test_last_lines_of_a_busy_second(self, pipe):
        """A busy node stops, and its second's lines are used up.

        Its last lines, which name the answers that it cuts, were dropped, and no line
        followed that could tell how many. From the end of a stop on there is room for
        some more.
        """
        logs.configure_logs(fd=pipe.writer, max_lines_per_s=1)
        log = logs.logger("node")
        for number in range(3):
            log.info("answered", request=f"r{number}")
        logs.hold_lines()
        log.info("cut off", request="r9")
        log.info("stopped", cut_off=1)
        logs.flush_lines()
        *_, cut, stopped = pipe.lines()
        assert "cut off" in cut and "lines_lost=2" in cut
        assert "stopped" in stopped

    def test_reader_that_is_behind(self, pipe):
        """The collector is behind when a node stops, and reads on a moment later.

        The pipe was full at the last line, so it was dropped. It is held and written
        once the process has nothing else to do.
        """
        log = logs.logger("node")
        for number in range(1000):
            log.info("answered", request="r" * 100, number=number)
        logs.hold_lines()
        log.info("stopped", cut_off=1)
        assert "stopped" not in pipe.lines()[-1]
        logs.flush_lines()
        [stopped] = pipe.lines()
        assert "stopped cut_off=1" in stopped

    def test_process_ends_with_the_lines_that_are_held(self, pipe):
        """The collector reads on when the main of a process has already returned."""

        async def main(settings, stop, network):
            for number in range(1000):
                log.info("answered", request="r" * 100, number=number)
            logs.hold_lines()
            log.info("stopped", cut_off=1)
            assert "stopped" not in pipe.lines()[-1]

        log = logs.logger("node")
        run_process(main, Settings("n0", "z0", "r"))
        [stopped] = pipe.lines()
        assert "stopped cut_off=1" in stopped

    def test_reader_that_never_reads(self, pipe):
        """The collector hangs for good; the process has to end all the same."""
        log = logs.logger("node")
        for number in range(1000):
            log.info("answered", request="r" * 100, number=number)
        logs.hold_lines()
        began_s = time.monotonic()
        for number in range(1000):
            log.info("cut off", request="r" * 100, number=number)
        logs.flush_lines()
        assert time.monotonic() - began_s < 1
        os.close(pipe.reader)
        pipe.reader = os.open(os.devnull, os.O_RDONLY)
        log.info("stopped")
        logs.flush_lines()


class TestHarmless:
    def test_reader_that_stops_reading(self, pipe):
        """The log collector hangs, and every caller's stream freezes with it.

        The pipe fills up, the next write blocks the one thread of the process, and
        all requests wait for the collector. So a line that does not fit is dropped,
        and the first one that fits again tells how many are missing.
        """
        log = logs.logger("route")
        for number in range(1000):
            log.info("chose waco-a-e1", request="r" * 100, number=number)
        written = pipe.lines()
        assert 100 < len(written) < 1000
        log.info("chose waco-a-e1", request="r1")
        assert pipe.lines()[0].endswith(f"lines_lost={1000 - len(written)}")

    def test_reader_that_is_gone(self):
        taken = Pipe()
        logs.configure_logs(fd=taken.writer)
        os.close(taken.reader)
        logs.logger("route").info("chose waco-a-e1")
        os.close(taken.writer)
        logs.logger("route").info("chose waco-a-e1")
        logs.configure_logs(level="warning")

    def test_value_without_text(self, pipe):
        log = logs.logger("route")
        log.info("chose waco-a-e1", server=Unprintable())
        log.info("went on")
        [line] = pipe.lines()
        assert line.endswith("route: went on lines_lost=1")


class TestRepeatLimit:
    @pytest.fixture
    def clock(self, pipe, monkeypatch):
        """Return the clock of the limit that is set up."""
        clock = Clock()
        monkeypatch.setattr(logs.RepeatLimit.__init__, "__defaults__", (clock,))
        logs.configure_logs(fd=pipe.writer)
        return clock

    def test_repeats_are_counted_instead_of_written(self, pipe, clock):
        """An engine refuses every request, and the log shows nothing else.

        Ten lines of one text pass in ten seconds; the rest is counted, and the
        count is told once the window is over, by whatever line comes next.
        """
        log = logs.logger("route")
        for _ in range(25):
            log.warning("engine refused", request="r1")
        assert len(pipe.lines()) == logs.REPEATS
        clock.now_s = logs.WINDOW_S + 1
        log.warning("another text")
        summary, other = pipe.lines()
        assert "left out repeats of: engine refused left_out=15" in summary
        assert other.endswith("another text")

    def test_decisions_are_never_left_out(self, pipe, clock):
        for number in range(50):
            logs.logger("route").info("chose waco-a-e1", request=f"r{number}")
        assert len(pipe.lines()) == 50

    def test_table_of_texts_is_bounded(self, pipe, clock):
        limit = logs.RepeatLimit(logs.render_text)
        writer = logs.LineWriter(pipe.writer)
        for number in range(3 * logs.MAX_TEXTS):
            event = {"part": "link", "event": f"lost {number}", "level": "warning"}
            limit(writer, "warning", event | {"timestamp": "now"})
        assert len(limit.texts) <= logs.MAX_TEXTS
