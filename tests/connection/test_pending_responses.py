"""Tests for the pending responses of a listener at the end of a graceful shutdown."""

import pytest
import structlog

from rosemaryknot.connection.pending_responses import (
    MAX_LOGGED_AT_SHUTDOWN,
    Cause,
    PendingResponses,
    Phase,
    ShutdownSummary,
)
from rosemaryknot.process.logs import MAX_BUFFERED_LINES, configure_logs


@pytest.fixture
def lines():
    """Return a list that collects the log lines of the process."""
    configure_logs()
    with structlog.testing.capture_logs() as written:
        yield written
    configure_logs(level="warning")


class TestEndOfShutdown:
    async def test_complete_response_in_delivery(self, autojump_clock, lines):
        """A shutdown ends while a complete response is sent to a slow caller.

        Its delivery gets more time, so it does not count as aborted yet. If the caller
        has not read it by the end of that time, it is logged as aborted.
        """
        responses = PendingResponses()
        responses.shutdown_started_s = 0.0
        read, unread = responses.begin(), responses.begin()
        read.phase = unread.phase = Phase.DELIVERY
        assert responses.log_aborted() == ShutdownSummary(delivering=2)
        assert lines == []
        read.is_logged = True
        responses.end(read)
        responses.end(unread)
        [line] = lines
        assert line["event"] == "cut off" and line["cause"] == Cause.STOP

    async def test_completely_sent_response(self, autojump_clock, lines):
        """A response is sent, and its request ends before its outcome is logged.

        The request must be logged under its id, and must not count as aborted.
        """
        responses = PendingResponses()
        pending = responses.begin()
        pending.phase, pending.is_whole = Phase.RESPONSE, True
        assert responses.log_aborted() == ShutdownSummary()
        responses.end(pending)
        [line] = lines
        assert line["event"] == "ended after its whole answer"

    async def test_each_response_is_logged_once(self, autojump_clock, lines):
        responses = PendingResponses()
        pending = responses.begin()
        pending.phase = Phase.BODY
        assert responses.log_aborted() == ShutdownSummary(cut_off=1)
        responses.end(pending)
        assert len(lines) == 1 and not responses.all

    async def test_more_responses_than_buffered_lines(self, autojump_clock, lines):
        """A shutdown aborts more responses than log lines are buffered.

        The final line with their number is logged after them and must fit into the
        buffer as well. The remaining responses are logged as their connections end.
        """
        responses = PendingResponses()
        pending = [responses.begin() for _ in range(MAX_BUFFERED_LINES + 1)]
        for response in pending:
            response.phase = Phase.RESPONSE
        assert responses.log_aborted() == ShutdownSummary(
            cut_off=MAX_BUFFERED_LINES + 1
        )
        assert len(lines) == MAX_LOGGED_AT_SHUTDOWN < MAX_BUFFERED_LINES
        for response in pending:
            responses.end(response)
        assert len(lines) == MAX_BUFFERED_LINES + 1
