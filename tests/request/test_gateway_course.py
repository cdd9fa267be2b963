"""Tests of what is noted of a request on its way through a gateway."""

import pytest

from rosemaryknot.request.gateway_course import Course


@pytest.fixture
def course():
    return Course(None, None, None, None, None, 0.0, 15.0, 1, 0)


class TestPause:
    def test_longest_pause_between_events(self, course):
        for now_s in (1.0, 1.1, 1.8, 1.9):
            course.note_events(now_s)
        assert course.pause_s == pytest.approx(0.7)

    def test_wait_for_the_first_event_is_none(self, course):
        course.note_events(9.0)
        assert course.pause_s == 0.0
