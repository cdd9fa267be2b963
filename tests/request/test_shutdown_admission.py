"""Tests of the admission rules for a graceful shutdown."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from rosemaryknot.request.gateway_request_admission import SHUTDOWN_ADMISSION_RULE
from rosemaryknot.request.shutdown_admission import (
    SHUTDOWN_ADMISSION_RULES,
    AdmittedInShutdown,
    DurationEstimate,
    RefusedInShutdown,
    ShutdownInput,
)
from rosemaryknot.values.gateway_responses import ShutdownSchedule

decide = SHUTDOWN_ADMISSION_RULES[SHUTDOWN_ADMISSION_RULE]
GRACE = ShutdownSchedule(signalled_s=0.0, deregistered_s=2.6, ends_s=7.4)
SHORT_GRACE = ShutdownSchedule(signalled_s=0.0, deregistered_s=2.6, ends_s=1.4)
UNKNOWN = DurationEstimate(1.0, 0, None)

times = st.floats(0, 100)
durations = st.floats(0, 30)


@st.composite
def inputs(draw):
    """Return any input, also with a grace period shorter than the balancer needs."""
    signalled_s = draw(times)
    stop = ShutdownSchedule(
        signalled_s, signalled_s + draw(durations), signalled_s + draw(durations)
    )
    now_s = signalled_s + draw(durations)
    answers = draw(st.integers(0, 1000))
    return ShutdownInput(
        now_s,
        stop,
        now_s + draw(durations),
        DurationEstimate(
            draw(durations), answers, draw(durations) if answers else None
        ),
        draw(st.booleans()),
    )


class TestBound:
    @given(inputs())
    @example(ShutdownInput(2.4, GRACE, 17.4, DurationEstimate(4.2, 27, 0.1)))
    @example(ShutdownInput(4.28, GRACE, 19.28, DurationEstimate(2.9, 30, 0.1)))
    @example(ShutdownInput(0.1, SHORT_GRACE, 15.1, DurationEstimate(0.2, 30, 0.1)))
    def test_no_response_outlasts_the_shutdown(self, given):
        outcome = decide(given)
        if isinstance(outcome, RefusedInShutdown):
            return
        assert outcome.deadline_s <= given.stop.ends_s
        assert outcome.deadline_s <= given.deadline_s
        assert given.may_shorten_deadline or given.deadline_s <= given.stop.ends_s

    @given(inputs())
    def test_request_that_completes_in_time_is_admitted(self, given):
        """The deadline is before the end, and recent responses completed in time."""
        within_s = given.estimate.within_s if given.estimate.answers else 0.0
        if given.has_earlier_deadline and given.now_s + within_s < given.ends_s:
            assert decide(given) == AdmittedInShutdown(
                "the request's own deadline", given.deadline_s
            )

    @pytest.mark.parametrize("name", sorted(SHUTDOWN_ADMISSION_RULES))
    @given(given=inputs())
    def test_no_rule_extends_a_deadline(self, name, given):
        outcome = SHUTDOWN_ADMISSION_RULES[name](given)
        assert (
            isinstance(outcome, RefusedInShutdown)
            or outcome.deadline_s <= given.deadline_s
        )


class TestEdges:
    def test_no_estimate_just_after_the_start(self):
        """A node stops just after its start, without an estimate from responses."""
        assert decide(ShutdownInput(0.1, GRACE, 15.1, UNKNOWN)) == RefusedInShutdown()
        assert isinstance(
            decide(ShutdownInput(0.1, GRACE, 3.1, UNKNOWN)), AdmittedInShutdown
        )

    def test_repeatable_request_late_in_shutdown(self):
        """Half a second remains; only a repeatable request is admitted."""
        quick = DurationEstimate(0.02, 50, 0.5)
        outcome = decide(
            ShutdownInput(6.8, GRACE, 8.8, quick, may_shorten_deadline=True)
        )
        assert isinstance(outcome, AdmittedInShutdown)
        assert outcome.deadline_s < GRACE.ends_s
        assert decide(ShutdownInput(6.8, GRACE, 8.8, quick)) == RefusedInShutdown()
