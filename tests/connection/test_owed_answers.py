"""What a listener owes its callers, counted at the end of a planned stop."""

import pytest
import structlog

from rosemaryknot.connection.owed_answers import (
    MAX_NAMED,
    Cause,
    OwedAnswers,
    Phase,
    StopCuts,
)
from rosemaryknot.process.logs import MAX_HELD, configure_logs


@pytest.fixture
def lines():
    """Return the lines that the process writes, as they are written."""
    configure_logs()
    with structlog.testing.capture_logs() as written:
        yield written
    configure_logs(level="warning")


class TestEndOfAStop:
    async def test_whole_answer_on_its_way(self, autojump_clock, lines):
        """A stop ends while a whole answer is written to a caller that reads slowly.

        It gets a moment longer, so it is no cut yet; where the caller has not read it
        then, it is named all the same.
        """
        answers = OwedAnswers()
        answers.stop_began_s = 0.0
        read, unread = answers.begin(), answers.begin()
        read.phase = unread.phase = Phase.DELIVERY
        assert answers.cut() == StopCuts(delivering=2)
        assert lines == []
        read.is_told = True
        answers.end(read)
        answers.end(unread)
        [line] = lines
        assert line["event"] == "cut off" and line["cause"] == Cause.STOP

    async def test_answer_that_went_out_whole(self, autojump_clock, lines):
        """An answer is out, and its request ends before its own line is written.

        It has a line under its id, and is not counted as cut.
        """
        answers = OwedAnswers()
        owed = answers.begin()
        owed.phase, owed.is_whole = Phase.ANSWER, True
        assert answers.cut() == StopCuts()
        answers.end(owed)
        [line] = lines
        assert line["event"] == "ended after its whole answer"

    async def test_each_is_named_once(self, autojump_clock, lines):
        answers = OwedAnswers()
        owed = answers.begin()
        owed.phase = Phase.BODY
        assert answers.cut() == StopCuts(cut_off=1)
        answers.end(owed)
        assert len(lines) == 1 and not answers.all

    async def test_more_than_the_held_lines(self, autojump_clock, lines):
        """A stop cuts more answers than lines are held where nobody reads them.

        The line that tells their number comes after them, and must be held too. The
        others are named as their connections end.
        """
        answers = OwedAnswers()
        owed = [answers.begin() for _ in range(MAX_HELD + 1)]
        for one in owed:
            one.phase = Phase.ANSWER
        assert answers.cut() == StopCuts(cut_off=MAX_HELD + 1)
        assert len(lines) == MAX_NAMED < MAX_HELD
        for one in owed:
            answers.end(one)
        assert len(lines) == MAX_HELD + 1
