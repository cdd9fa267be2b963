"""The memory of decisions that `explain` reads."""

import os

import pytest

from rosemaryknot.process.decisions import DECISIONS, Decision, DecisionMemory
from rosemaryknot.process.logs import configure_logs, logger


@pytest.fixture
def quiet_logs():
    """Write info lines nowhere, and go back to the usual level afterwards."""
    null = os.open(os.devnull, os.O_WRONLY)
    configure_logs(level="info", fd=null)
    yield
    configure_logs(level="warning")
    os.close(null)


class TestDecisionMemory:
    def test_log_lines_of_a_request_are_remembered(self, quiet_logs):
        """Also beyond the limit on repeated lines: the story must have no holes."""
        for number in range(20):
            logger("route").warning("refused", request="r-story", server=number)
        logger("route").info("no request here")
        story = DECISIONS.of("r-story")
        assert [d.fields["server"] for d in story] == [str(n) for n in range(20)]
        assert story[0].part == "route" and story[0].text == "refused"

    def test_bounded(self, monkeypatch):
        monkeypatch.setattr("rosemaryknot.process.decisions.MAX_REQUESTS", 3)
        monkeypatch.setattr("rosemaryknot.process.decisions.MAX_DECISIONS", 2)
        memory = DecisionMemory()
        for request in ("r1", "r2", "r3", "r4"):
            for number in range(5):
                memory.add(request, Decision("", "route", str(number)))
        assert memory.of("r1") == []
        assert [decision.text for decision in memory.of("r4")] == ["0", "1"]
