"""Tests of decoding objects of the store."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemaryknot.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_server,
)
from rosemaryknot.standin.users.system import KEY, document
from rosemaryknot.values.gateway import RetryPolicy
from rosemaryknot.values.incarnation import ServerIncarnation

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


class TestConfiguration:
    def test_is_decoded(self):
        known = decode_configuration(document(5))
        plan = known.route_of("a.example", "/plan/x")
        assert (known.version, plan.retry_policy, plan.timeout_s) == (
            5,
            RetryPolicy.STREAM,
            3.0,
        )
        assert known.customer_by_key == {KEY: "ada"}
        assert known.services["writer"].engine.slots == 16
        assert known.limits.header_timeout_s == 1.0

    def test_which_routes_may_retry(self):
        known = decode_configuration(document())
        may = {
            path: known.route_of("a.example", path).allows_retry
            for path in ("/plan/", "/ask/", "/book/", "/stock/")
        }
        assert may == {"/plan/": False, "/ask/": True, "/book/": False, "/stock/": True}

    def test_unknown_type_of_route_is_not_retried(self):
        data = document()
        data["routes"][3]["type"] = "something new"
        known = decode_configuration(data)
        assert not known.route_of("a.example", "/stock/").allows_retry

    @pytest.mark.parametrize(
        ("value", "max_event_gap_s"),
        [(600, 0.6), (None, math.inf), (0, math.inf), (-1, math.inf)],
    )
    def test_max_event_gap(self, value, max_event_gap_s):
        data = document()
        data["routes"][0]["gapAimMs"] = value
        known = decode_configuration(data)
        assert known.route_of("a.example", "/plan/x").max_event_gap_s == max_event_gap_s
        assert known.min_event_gap_s_by_service["writer"] == max_event_gap_s

    @given(VALUES)
    def test_any_value(self, value):
        """A value that is no configuration raises `DocumentError` and nothing else."""
        with pytest.raises(DocumentError):
            decode_configuration(value)

    @pytest.mark.parametrize("number", [float("inf"), float("nan"), 10**400])
    @pytest.mark.parametrize("name", ["priority", "timeoutMs", "maxAttempts"])
    def test_unbounded_number(self, name, number):
        """Any other exception would end the watch, and the node with it."""
        data = document()
        data["routes"][0][name] = number
        try:
            decode_configuration(data)
        except DocumentError:
            return
        assert number == 10**400 and name != "timeoutMs"

    @given(st.sampled_from(["routes", "services", "tenants", "limits"]), VALUES)
    def test_any_section_value(self, name, value):
        try:
            decode_configuration(document(**{name: value}))
        except DocumentError:
            pass


ENTRY = {
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
}
OPTIONAL_FIELDS = ("born", "spot", "leaves_ms")
INVALID_VALUES = {
    "service": ("", 7, None, ["s"]),
    "address": (
        *("10.0.0.1", "a.example:80", "10.0.0.1:0", "10.0.0.1:65536", ":80", 80),
        *("10.0.0.1:\u0663", "10.0.0.1:8_0", "10.0.0.1: 80", "10.0.0.1:+80"),
        *("255.255.255.255:80", "0.0.0.0:80", "224.0.0.1:80", "[::]:80"),
        "10.0.0.1:" + "8" * 6000,
    ),
    "zone": ("", 1, None),
    "version": (1, None, {}),
    "slots": (True, -1, 4.0, "4", 2**64, None),
    "state": ("resting", "READY", "", None, True),
    "coldRemainingMs": (True, -1, "x", None, float("nan")),
    "sequence": (True, -1, 1.5, "7", None),
    "born": (True, -1, 1764722000123.0, "1764722000123", None, 2**64, []),
    "leaves_ms": ("soon", [], float("inf")),
}


class TestServers:
    def test_is_decoded(self):
        server = decode_server("i-1", ENTRY)
        assert server.is_draining and server.is_reclaimable
        assert server.shutdown_after_s == 1.5
        assert server.incarnation == ServerIncarnation("i-1", 1764722000123)
        assert server.software_version == ENTRY["version"]

    @pytest.mark.parametrize("name", sorted(set(ENTRY) - set(OPTIONAL_FIELDS)))
    def test_field_is_missing(self, name):
        entry = {key: value for key, value in ENTRY.items() if key != name}
        with pytest.raises(DocumentError, match=f"no {name}"):
            decode_server("i-1", entry)

    @pytest.mark.parametrize("name", OPTIONAL_FIELDS)
    def test_field_may_be_missing(self, name):
        entry = {key: value for key, value in ENTRY.items() if key != name}
        assert decode_server("i-1", entry).id == "i-1"

    @pytest.mark.parametrize(
        ("name", "value"),
        [(name, value) for name, values in INVALID_VALUES.items() for value in values],
    )
    def test_invalid_field_value(self, name, value):
        with pytest.raises(DocumentError):
            decode_server("i-1", ENTRY | {name: value})

    @given(VALUES)
    def test_any_value(self, value):
        with pytest.raises(DocumentError):
            decode_server("i-1", value)

    @given(st.text(), st.sampled_from(sorted(ENTRY)), VALUES)
    def test_any_name_and_field(self, server_id, name, value):
        """The id of a decoded server fits into a header, and its address is valid."""
        try:
            server = decode_server(server_id, ENTRY | {name: value})
        except DocumentError:
            return
        assert server.id.encode("ascii").strip() == server_id.encode()
        assert 0 < server.address.port < 65536
