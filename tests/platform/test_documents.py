"""Tests of the store's objects, decoded."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemaryknot.platform.documents import (
    DocumentError,
    configuration_of,
    server_of,
)
from rosemaryknot.standin.users.system import KEY, document
from rosemaryknot.values.gateway import Repeat
from rosemaryknot.values.incarnation import ServerIncarnation

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


class TestConfiguration:
    def test_is_decoded(self):
        known = configuration_of(document(5))
        plan = known.route_of("a.example", "/plan/x")
        assert (known.version, plan.repeat, plan.timeout_s) == (5, Repeat.STREAM, 3.0)
        assert known.customer_by_key == {KEY: "ada"}
        assert known.services["writer"].engine.slots == 16
        assert known.limits.header_timeout_s == 1.0

    def test_what_may_repeat(self):
        known = configuration_of(document())
        may = {
            path: known.route_of("a.example", path).may_repeat
            for path in ("/plan/", "/ask/", "/book/", "/stock/")
        }
        assert may == {"/plan/": False, "/ask/": True, "/book/": False, "/stock/": True}

    def test_unknown_kind_of_route_is_not_repeated(self):
        data = document()
        data["routes"][3]["type"] = "something new"
        known = configuration_of(data)
        assert not known.route_of("a.example", "/stock/").may_repeat

    @given(VALUES)
    def test_any_value(self, value):
        """What is no configuration gives a `DocumentError` and nothing else."""
        with pytest.raises(DocumentError):
            configuration_of(value)

    @given(st.sampled_from(["routes", "services", "tenants", "limits"]), VALUES)
    def test_any_part(self, name, value):
        try:
            configuration_of(document(**{name: value}))
        except DocumentError:
            pass


class TestServers:
    def test_is_decoded(self):
        server = server_of(
            "i-1",
            {
                "service": "s",
                "address": "10.0.0.1:80",
                "zone": "z",
                "version": "v1",
                "slots": 4,
                "state": "draining",
                "coldRemainingMs": 0,
                "sequence": 7,
                "born": 1764722000123,
                "spot": True,
                "leaves_ms": 1500,
            },
        )
        assert server.is_leaving and server.is_reclaimable
        assert server.leaves_s == 1.5
        assert server.incarnation == ServerIncarnation("i-1", 1764722000123)

    @given(VALUES)
    def test_any_value(self, value):
        with pytest.raises(DocumentError):
            server_of("i-1", value)
