"""Fixtures shared by the tests of gateway nodes."""

import os

import pytest
import structlog

from rosemaryknot.process.logs import configure_logs


@pytest.fixture
def info_lines():
    """Capture log lines of level info, and restore the usual level afterwards."""
    null = os.open(os.devnull, os.O_WRONLY)
    configure_logs(level="info", fd=null)
    with structlog.testing.capture_logs() as lines:
        yield lines
    configure_logs(level="warning")
    os.close(null)
