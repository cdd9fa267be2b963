"""Tests of what is taken during a planned stop, as a decision by itself."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from rosemaryknot.request.gateway_request_admission import SHUTDOWN_ADMISSION_RULE
from rosemaryknot.request.stop_admission import (
    STOP_ADMISSIONS,
    Likely,
    RefusedInStop,
    StopInput,
    TakenInStop,
)
from rosemaryknot.values.gateway_answers import PlannedStop

decide = STOP_ADMISSIONS[SHUTDOWN_ADMISSION_RULE]
GRACE = PlannedStop(signalled_s=0.0, left_out_s=2.6, ends_s=7.4)
SHORT_GRACE = PlannedStop(signalled_s=0.0, left_out_s=2.6, ends_s=1.4)
UNKNOWN = Likely(1.0, 0, None)

times = st.floats(0, 100)
durations = st.floats(0, 30)


@st.composite
def inputs(draw):
    """Return any input, also of graces shorter than the balancer needs."""
    signalled_s = draw(times)
    stop = PlannedStop(
        signalled_s, signalled_s + draw(durations), signalled_s + draw(durations)
    )
    now_s = signalled_s + draw(durations)
    answers = draw(st.integers(0, 1000))
    return StopInput(
        now_s,
        stop,
        now_s + draw(durations),
        Likely(draw(durations), answers, draw(durations) if answers else None),
        draw(st.booleans()),
    )


class TestBound:
    @given(inputs())
    @example(StopInput(2.4, GRACE, 17.4, Likely(4.2, 27, 0.1)))
    @example(StopInput(4.28, GRACE, 19.28, Likely(2.9, 30, 0.1)))
    @example(StopInput(0.1, SHORT_GRACE, 15.1, Likely(0.2, 30, 0.1)))
    def test_nothing_outlasts_the_stop(self, given):
        outcome = decide(given)
        if isinstance(outcome, RefusedInStop):
            return
        assert outcome.deadline_s <= given.stop.ends_s
        assert outcome.deadline_s <= given.limit_s
        assert given.may_end_early or given.limit_s <= given.stop.ends_s

    @given(inputs())
    def test_what_surely_ends_whole_is_taken(self, given):
        """Its own limit comes before the end, and answers of late were quicker."""
        within_s = given.likely.within_s if given.likely.answers else 0.0
        if given.is_bound and given.now_s + within_s < given.ends_s:
            assert decide(given) == TakenInStop("its own time limit", given.limit_s)

    @pytest.mark.parametrize("name", sorted(STOP_ADMISSIONS))
    @given(given=inputs())
    def test_no_way_prolongs_a_limit(self, name, given):
        outcome = STOP_ADMISSIONS[name](given)
        assert isinstance(outcome, RefusedInStop) or outcome.deadline_s <= given.limit_s


class TestEdges:
    def test_nothing_is_known_just_after_the_start(self):
        """A node stops moments after its start; a guess is no reason to begin."""
        assert decide(StopInput(0.1, GRACE, 15.1, UNKNOWN)) == RefusedInStop()
        assert isinstance(decide(StopInput(0.1, GRACE, 3.1, UNKNOWN)), TakenInStop)

    def test_short_plain_request_late(self):
        """Half a second is left; one that may run again is ended honestly by then."""
        quick = Likely(0.02, 50, 0.5)
        outcome = decide(StopInput(6.8, GRACE, 8.8, quick, may_end_early=True))
        assert isinstance(outcome, TakenInStop)
        assert outcome.deadline_s < GRACE.ends_s
        assert decide(StopInput(6.8, GRACE, 8.8, quick)) == RefusedInStop()
