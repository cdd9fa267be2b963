"""Tests of the rule on streams that callers resume."""

import pytest

from rosemaryknot.request.origin_rules import (
    ORIGIN_RULES,
    Continued,
    OriginInput,
    Unresumable,
)
from rosemaryknot.values.stream_origins import StreamOrigin

ORIGIN = StreamOrigin("writer", "v1", "m0@1")
KNOWN = {
    "origin": ORIGIN,
    "is_uncertain": False,
    "only_version": None,
    "service": "writer",
    "services": {"writer"},
}
decide = ORIGIN_RULES["recorded_or_only"]


class TestRecorded:
    def test_goes_on_at_the_recorded_version(self):
        assert decide(OriginInput(**KNOWN)) == Continued(ORIGIN, "recorded")

    def test_record_counts_more_than_the_only_version(self):
        """The only version of late need not be the one that began the stream."""
        decision = decide(OriginInput(**KNOWN | {"only_version": "v2"}))
        assert decision.origin.software_version == "v1"

    def test_service_of_a_split_route(self):
        """The other service of a route does not go on with a stream."""
        services = {"writer", "writer-next"}
        inputs = OriginInput(**KNOWN | {"service": "writer-next", "services": services})
        assert decide(inputs).origin.service == "writer"

    @pytest.mark.parametrize(
        "change",
        [
            {"is_uncertain": True},
            {"origin": StreamOrigin("writer", "")},
            {"services": {"other"}},
        ],
    )
    def test_is_refused_for_good(self, change):
        decision = decide(OriginInput(**KNOWN | change))
        assert isinstance(decision, Unresumable) and decision.retry_after_s is None


class TestNotRecorded:
    UNKNOWN = KNOWN | {"origin": None}

    def test_only_version(self):
        decision = decide(OriginInput(**self.UNKNOWN | {"only_version": "v1"}))
        assert decision.origin == StreamOrigin("writer", "v1")

    def test_only_version_that_is_not_confirmed(self):
        """Guards against a silent store that is taken for one without news."""
        inputs = self.UNKNOWN | {"only_version": "v1", "is_confirmed": False}
        assert decide(OriginInput(**inputs)).retry_after_s is not None

    def test_only_version_of_one_service_of_two(self):
        """The other service of the route may have begun the stream."""
        change = {"only_version": "v1", "services": {"writer", "next"}}
        assert isinstance(decide(OriginInput(**self.UNKNOWN | change)), Unresumable)

    def test_nodes_that_may_know_it_do_not_reply(self):
        decision = decide(OriginInput(**self.UNKNOWN, is_complete=False))
        assert decision.retry_after_s > 0

    def test_nobody_knows_it(self):
        assert decide(OriginInput(**self.UNKNOWN)).retry_after_s is None

    def test_caller_names_no_attempt(self):
        """Waiting does not help a caller that names no attempt."""
        inputs = OriginInput(**self.UNKNOWN, is_complete=False, names_origin=False)
        decision = decide(inputs)
        assert decision.retry_after_s is None and "Resumes" in decision.reason
