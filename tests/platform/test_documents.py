"""Tests of the store's objects, decoded."""

import math

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

    @pytest.mark.parametrize(
        ("value", "pause_s"),
        [(600, 0.6), (None, math.inf), (0, math.inf), (-1, math.inf)],
    )
    def test_pause_between_events(self, value, pause_s):
        data = document()
        data["routes"][0]["gapAimMs"] = value
        known = configuration_of(data)
        assert known.route_of("a.example", "/plan/x").pause_s == pause_s
        assert known.pause_s_by_service["writer"] == pause_s

    @given(VALUES)
    def test_any_value(self, value):
        """What is no configuration gives a `DocumentError` and nothing else."""
        with pytest.raises(DocumentError):
            configuration_of(value)

    @pytest.mark.parametrize("number", [float("inf"), float("nan"), 10**400])
    @pytest.mark.parametrize("name", ["priority", "timeoutMs", "maxAttempts"])
    def test_number_beyond_all_bounds(self, name, number):
        """An error of another kind would end the node with the watch."""
        data = document()
        data["routes"][0][name] = number
        try:
            configuration_of(data)
        except DocumentError:
            return
        assert number == 10**400 and name != "timeoutMs"

    @given(st.sampled_from(["routes", "services", "tenants", "limits"]), VALUES)
    def test_any_part(self, name, value):
        try:
            configuration_of(document(**{name: value}))
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
MAY_BE_MISSING = ("born", "spot", "leaves_ms")
OF_ANOTHER_FORM = {
    "service": ("", 7, None, ["s"]),
    "address": ("10.0.0.1", "a.example:80", "10.0.0.1:0", "10.0.0.1:65536", ":80", 80),
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
        server = server_of("i-1", ENTRY)
        assert server.is_leaving and server.is_reclaimable
        assert server.leaves_s == 1.5
        assert server.incarnation == ServerIncarnation("i-1", 1764722000123)

    @pytest.mark.parametrize("name", sorted(set(ENTRY) - set(MAY_BE_MISSING)))
    def test_field_is_missing(self, name):
        entry = {key: value for key, value in ENTRY.items() if key != name}
        with pytest.raises(DocumentError, match=f"no {name}"):
            server_of("i-1", entry)

    @pytest.mark.parametrize("name", MAY_BE_MISSING)
    def test_field_may_be_missing(self, name):
        entry = {key: value for key, value in ENTRY.items() if key != name}
        assert server_of("i-1", entry).id == "i-1"

    @pytest.mark.parametrize(
        ("name", "value"),
        [(name, value) for name, values in OF_ANOTHER_FORM.items() for value in values],
    )
    def test_field_of_another_form(self, name, value):
        with pytest.raises(DocumentError):
            server_of("i-1", ENTRY | {name: value})

    @given(VALUES)
    def test_any_value(self, value):
        with pytest.raises(DocumentError):
            server_of("i-1", value)

    @given(st.text(), st.sampled_from(sorted(ENTRY)), VALUES)
    def test_any_name_and_field(self, server_id, name, value):
        """What names a server can be sent to: its id in a header, its address."""
        try:
            server = server_of(server_id, ENTRY | {name: value})
        except DocumentError:
            return
        assert server.id.encode("ascii").strip() == server_id.encode()
        assert 0 < server.address.port < 65536
