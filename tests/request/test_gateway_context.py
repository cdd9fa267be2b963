"""Tests of the request context of a gateway."""

import pytest

from rosemaryknot.request.gateway_context import RequestContext


@pytest.fixture
def context():
    return RequestContext(None, None, None, None, None, 0.0, 15.0, 1, 0)


class TestEventGap:
    def test_longest_gap_between_events(self, context):
        for now_s in (1.0, 1.1, 1.8, 1.9):
            context.record_events(now_s)
        assert context.max_event_gap_s == pytest.approx(0.7)

    def test_wait_for_first_event_is_not_a_gap(self, context):
        context.record_events(9.0)
        assert context.max_event_gap_s == 0.0
